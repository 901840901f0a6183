use std::{cell::RefCell, collections::HashMap, sync::Arc, time::Duration};

use futures_lite::FutureExt;
use smol::Timer;
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    engines::{EngineQuery, PromptProgress, PromptStep},
    ids::{NodeId, PoolName},
    targets::TargetRecord,
};

use super::{EngineAssignment, EngineProgress, EngineReply, ReadWait};
use crate::{
    peers::{ENGINE_PATH, ENGINE_PROGRESS_PATH, ENGINE_WAIT_PATH, PeerAck, PeerError},
    process::Shared,
    targets::within,
};

/// Timeout for asking another node to choose an engine. Beyond it, choosing
/// without that node is better.
const CHOICE_TIMEOUT: TimeSpan = TimeSpan::from_millis(50);
/// How long a node that did not respond isn't asked again.
const UNRESPONSIVE_BACKOFF: TimeSpan = TimeSpan::from_millis(500);
/// Maximum wait for an engine to read another request's prompt. All prompts
/// queued at an engine take less time to read.
const PROMPT_READ_TIMEOUT: TimeSpan = TimeSpan::from_millis(2_000);
/// How long progress news is batched before it is sent. Short compared with the
/// time in which an engine reads a prompt.
const NEWS_BATCH_INTERVAL: Duration = Duration::from_millis(8);
/// Timeout for sending a batch of progress news.
const NEWS_TIMEOUT: TimeSpan = TimeSpan::from_millis(1_000);

/// Asks the nodes that choose engines, and reports the progress of requests to
/// them.
#[derive(Debug, Default)]
pub struct EngineClient {
    pending_news: RefCell<HashMap<(NodeId, PoolName), Vec<PromptProgress>>>,
    /// Nodes that did not respond, and until when they aren't asked.
    unresponsive: RefCell<HashMap<NodeId, ClockTime>>,
}

impl EngineClient {
    /// Asks the node that chooses engines for all nodes to choose one for a
    /// prompt. If another request is already having the engine read shared parts
    /// of the prompt, waits until it has read them or the engine departs. Returns
    /// `None` if no node chooses, it doesn't respond, or it names an engine that is
    /// not a candidate or must be avoided.
    pub async fn choose(
        &self,
        shared: &Shared,
        key: &str,
        ask: &EngineQuery,
        candidates: &[Arc<TargetRecord>],
    ) -> Option<EngineAssignment> {
        let chooser = shared.stage_client.collector(shared, &ask.service, key)?;
        let reply = if chooser == shared.profile.node {
            shared.engine_chooser.choose(shared, ask)
        } else {
            self.ask_chooser(shared, &chooser, ask).await?
        };
        let engine = reply.engine?;
        let mut records = candidates.iter();
        let named = records.find(|record| record.id == engine);
        let Some(record) = named.filter(|_| !ask.avoid.contains(&engine)) else {
            let news = PromptProgress {
                request: ask.request.clone(),
                engine,
                started_at: None,
                step: PromptStep::Ended,
                first_event_after: None,
                work_percent: None,
            };
            self.report(shared, &chooser, &ask.service, news);
            return None;
        };
        let record = Arc::clone(record);
        let assignment = EngineAssignment::new(shared, chooser, record, &ask.request, reply.pace);
        if let Some(reader) = reply.reader {
            let read = self.wait_until_read(shared, assignment.chooser(), ask, reader);
            read.or(shared.wait_until_departed(assignment.record()))
                .await;
        }
        Some(assignment)
    }

    /// Waits until an engine has read another request's prompt, or never will.
    async fn wait_until_read(
        &self,
        shared: &Shared,
        chooser: &NodeId,
        ask: &EngineQuery,
        reader: String,
    ) {
        let started = shared.now();
        let read = ReadWait {
            service: ask.service.clone(),
            request: reader,
            wait: PROMPT_READ_TIMEOUT,
        };
        let address = shared.fleet.borrow().address_of(chooser);
        if *chooser == shared.profile.node {
            shared.engine_chooser.wait_until_read(&read).await;
        } else if let Some(address) = address {
            let peers = &shared.peers;
            let call =
                peers.call::<_, PeerAck>(address, ENGINE_WAIT_PATH, &read, PROMPT_READ_TIMEOUT);
            if let Err(error) = call.await {
                slog::warn!(shared.log, "engines: Could not wait for a shared prompt.";
                    "request" => &ask.request, "chooser" => %chooser, "error" => %error);
            }
        }
        slog::info!(shared.log, "engines: Waited for a shared prompt.";
            "request" => &ask.request, "reader" => &read.request,
            "took" => %shared.now().since(started));
    }

    async fn ask_chooser(
        &self,
        shared: &Shared,
        chooser: &NodeId,
        ask: &EngineQuery,
    ) -> Option<EngineReply> {
        let now = shared.now();
        let unresponsive = self.unresponsive.borrow().get(chooser).copied();
        if unresponsive.is_some_and(|until| until > now) {
            return None;
        }
        let address = shared.fleet.borrow().address_of(chooser)?;
        let call = shared.peers.call(address, ENGINE_PATH, ask, CHOICE_TIMEOUT);
        let reply: Option<Result<EngineReply, PeerError>> = within(CHOICE_TIMEOUT, call).await;
        match reply.unwrap_or(Err(PeerError::Timeout)) {
            Ok(reply) => Some(reply),
            Err(error) => {
                slog::warn!(shared.log, "engines: Chooser did not answer.";
                    "request" => &ask.request, "chooser" => %chooser, "error" => %error);
                let until = shared.now() + UNRESPONSIVE_BACKOFF;
                self.unresponsive
                    .borrow_mut()
                    .insert(chooser.clone(), until);
                None
            }
        }
    }

    /// Reports progress of a request to the node that chose its engine. News for
    /// other nodes is sent in batches.
    pub(super) fn report(
        &self,
        shared: &Shared,
        chooser: &NodeId,
        service: &PoolName,
        news: PromptProgress,
    ) {
        if *chooser == shared.profile.node {
            let progress = EngineProgress {
                service: service.clone(),
                news: vec![news],
            };
            shared.engine_chooser.record_progress(shared, &progress);
            return;
        }
        let key = (chooser.clone(), service.clone());
        let mut pending = self.pending_news.borrow_mut();
        let batch = pending.entry(key.clone()).or_default();
        batch.push(news);
        if batch.len() == 1 {
            let task = Shared::clone(shared);
            shared.tasks.spawn(async move {
                Timer::after(NEWS_BATCH_INTERVAL).await;
                task.engines.send_news(&task, key).await;
            });
        }
    }

    async fn send_news(&self, shared: &Shared, key: (NodeId, PoolName)) {
        let news = self
            .pending_news
            .borrow_mut()
            .remove(&key)
            .unwrap_or_default();
        let (chooser, service) = key;
        let Some(address) = shared.fleet.borrow().address_of(&chooser) else {
            return;
        };
        let progress = EngineProgress { service, news };
        let peers = &shared.peers;
        let call = peers.call::<_, PeerAck>(address, ENGINE_PROGRESS_PATH, &progress, NEWS_TIMEOUT);
        if let Err(error) = call.await {
            // Not retried, since the chooser forgets requests by itself after a
            // while.
            slog::debug!(shared.log, "engines: News not delivered.";
                "chooser" => %chooser, "news" => progress.news.len(), "error" => %error);
        }
    }
}
