use std::{cell::RefCell, collections::HashMap, sync::Arc, time::Duration};

use smol::Timer;
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    engines::{EngineQuery, PromptProgress, PromptStep},
    ids::{NodeId, PoolName},
    targets::TargetRecord,
};

use super::{EngineProgress, EngineReply, PromptPlace, ReadWait};
use crate::{
    peers::{ENGINE_PATH, ENGINE_PROGRESS_PATH, ENGINE_WAIT_PATH, PeerAck, PeerError},
    process::Shared,
    targets::within,
};

/// Time for the choice of another node. Longer, and a choice without it is
/// better.
const ASK_TIMEOUT: TimeSpan = TimeSpan::from_millis(50);
/// Time for which a node that did not answer isn't asked.
const SILENCE_SPAN: TimeSpan = TimeSpan::from_millis(500);
/// Longest time for which another request's prompt is waited for. Sums of
/// prompts that engines have to read are shorter.
const READ_TIMEOUT: TimeSpan = TimeSpan::from_millis(2_000);
/// Time over which news is collected before it is told. Short against the
/// time in which an engine reads a prompt.
const COLLECT_TIME: Duration = Duration::from_millis(8);
/// Time for an answer to the news.
const NOTE_TIMEOUT: TimeSpan = TimeSpan::from_millis(1_000);

/// Asks the node that chooses engines, and tells it how requests go on.
#[derive(Debug, Default)]
pub struct EngineClient {
    news: RefCell<HashMap<(NodeId, PoolName), Vec<PromptProgress>>>,
    /// Nodes that did not answer, and until when they aren't asked.
    silent: RefCell<HashMap<NodeId, ClockTime>>,
}

impl EngineClient {
    /// Has an engine chosen for a prompt by the node that chooses for all, and
    /// waits until that has read the parts which others have it read. Gives
    /// nothing if there is none, it doesn't answer, or it names an engine that
    /// isn't one of the candidates or must be avoided.
    pub async fn choose(
        &self,
        shared: &Shared,
        key: &str,
        ask: &EngineQuery,
        candidates: &[Arc<TargetRecord>],
    ) -> Option<PromptPlace> {
        let chooser = shared.stage_client.collector(shared, &ask.service, key)?;
        let reply = if chooser == shared.profile.node {
            shared.engine_chooser.choose(shared, ask)
        } else {
            self.ask(shared, &chooser, ask).await?
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
            };
            self.note(shared, &chooser, &ask.service, news);
            return None;
        };
        let record = Arc::clone(record);
        let place = PromptPlace::new(shared, chooser, record, &ask.request);
        if let Some(reader) = reply.reader {
            self.wait_until_read(shared, place.chooser(), ask, reader)
                .await;
        }
        Some(place)
    }

    /// Waits until an engine has read another request, or never will.
    async fn wait_until_read(
        &self,
        shared: &Shared,
        chooser: &NodeId,
        ask: &EngineQuery,
        reader: String,
    ) {
        let begun = shared.now();
        let read = ReadWait {
            service: ask.service.clone(),
            request: reader,
            wait: READ_TIMEOUT,
        };
        let address = shared.fleet.borrow().address_of(chooser);
        if *chooser == shared.profile.node {
            shared.engine_chooser.wait_until_read(&read).await;
        } else if let Some(address) = address {
            let peers = &shared.peers;
            let told = peers.call::<_, PeerAck>(address, ENGINE_WAIT_PATH, &read, READ_TIMEOUT);
            if let Err(error) = told.await {
                slog::warn!(shared.log, "engines: Wait for a prompt broke off.";
                    "request" => &ask.request, "chooser" => %chooser, "error" => %error);
            }
        }
        slog::info!(shared.log, "engines: Waited for a shared prompt.";
            "request" => &ask.request, "reader" => &read.request,
            "took" => %shared.now().since(begun));
    }

    async fn ask(
        &self,
        shared: &Shared,
        chooser: &NodeId,
        ask: &EngineQuery,
    ) -> Option<EngineReply> {
        let now = shared.now();
        let silent = self.silent.borrow().get(chooser).copied();
        if silent.is_some_and(|until| until > now) {
            return None;
        }
        let address = shared.fleet.borrow().address_of(chooser)?;
        let call = shared.peers.call(address, ENGINE_PATH, ask, ASK_TIMEOUT);
        let reply: Option<Result<EngineReply, PeerError>> = within(ASK_TIMEOUT, call).await;
        match reply.unwrap_or(Err(PeerError::Timeout)) {
            Ok(reply) => Some(reply),
            Err(error) => {
                slog::warn!(shared.log, "engines: Chooser did not answer.";
                    "request" => &ask.request, "chooser" => %chooser, "error" => %error);
                let until = shared.now() + SILENCE_SPAN;
                self.silent.borrow_mut().insert(chooser.clone(), until);
                None
            }
        }
    }

    /// Tells the node that chose an engine how far that has come.
    pub(super) fn note(
        &self,
        shared: &Shared,
        chooser: &NodeId,
        service: &PoolName,
        news: PromptProgress,
    ) {
        if *chooser == shared.profile.node {
            let note = EngineProgress {
                service: service.clone(),
                news: vec![news],
            };
            shared.engine_chooser.record_progress(shared, &note);
            return;
        }
        let key = (chooser.clone(), service.clone());
        let mut collecting = self.news.borrow_mut();
        let collected = collecting.entry(key.clone()).or_default();
        collected.push(news);
        if collected.len() == 1 {
            let task = Shared::clone(shared);
            shared.tasks.spawn(async move {
                Timer::after(COLLECT_TIME).await;
                task.engines.tell(&task, key).await;
            });
        }
    }

    async fn tell(&self, shared: &Shared, key: (NodeId, PoolName)) {
        let news = self.news.borrow_mut().remove(&key).unwrap_or_default();
        let (chooser, service) = key;
        let Some(address) = shared.fleet.borrow().address_of(&chooser) else {
            return;
        };
        let note = EngineProgress { service, news };
        let peers = &shared.peers;
        let told = peers.call::<_, PeerAck>(address, ENGINE_PROGRESS_PATH, &note, NOTE_TIMEOUT);
        if let Err(error) = told.await {
            // The chooser forgets requests by itself after a while.
            slog::debug!(shared.log, "engines: News not told.";
                "chooser" => %chooser, "news" => note.news.len(), "error" => %error);
        }
    }
}
