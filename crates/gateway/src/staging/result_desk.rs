use std::{cell::RefCell, collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use smol::Timer;
use verbenahub_core::{
    clock::TimeSpan,
    ids::{NodeId, PoolName},
    targets::TargetRecord,
};
use verbenahub_platform::{encode_stage_free, headers, paths, result_producer};

use super::FreeNote;
use crate::{
    http::HeaderList,
    peers::{FREE_PATH, PeerAck},
    process::Shared,
    targets::{SendError, TargetCall, TargetExchange, within},
};

/// Time over which results are collected before the news of them goes on.
/// Short against the time of a call, which may wait for their room; long
/// against the time between requests.
const COLLECT_TIME: Duration = Duration::from_millis(8);
/// Time for an answer to the news.
const ANSWER_TIMEOUT: TimeSpan = TimeSpan::from_millis(1_000);

/// Passes on the news of results that nobody needs any more: to the node that
/// collects for their service, which plans with the room, and by it to the
/// targets that hold them.
#[derive(Debug, Default)]
pub struct ResultDesk {
    for_collectors: RefCell<HashMap<(NodeId, PoolName), Vec<String>>>,
    for_makers: RefCell<HashMap<(SocketAddr, PoolName), Vec<String>>>,
}

impl ResultDesk {
    /// Gives up results of a request.
    pub fn free(&self, shared: &Shared, request: &str, service: PoolName, names: Vec<String>) {
        let owner = shared.stages.collector(shared, &service, request);
        let Some(owner) = owner.filter(|owner| *owner != shared.profile.node) else {
            shared.desk.free(shared, FreeNote { service, names });
            return;
        };
        let mut waiting = self.for_collectors.borrow_mut();
        let collected = waiting.entry((owner.clone(), service.clone())).or_default();
        let is_first = collected.is_empty();
        collected.extend(names);
        if is_first {
            let task = Shared::clone(shared);
            shared.tasks.spawn(async move {
                Timer::after(COLLECT_TIME).await;
                task.results.tell_collector(&task, owner, service).await;
            });
        }
    }

    /// Tells the targets that hold results that these are no longer needed.
    pub fn tell_makers(&self, shared: &Shared, service: &PoolName, names: Vec<String>) {
        let mut waiting = self.for_makers.borrow_mut();
        for name in names {
            let Some(maker) = result_producer(&name) else {
                slog::warn!(shared.log, "stage: Result without a maker."; "result" => name);
                continue;
            };
            let collected = waiting.entry((maker, service.clone())).or_default();
            collected.push(name);
            if collected.len() == 1 {
                let (task, service) = (Shared::clone(shared), service.clone());
                shared.tasks.spawn(async move {
                    Timer::after(COLLECT_TIME).await;
                    task.results.send(&task, maker, service).await;
                });
            }
        }
    }

    async fn tell_collector(&self, shared: &Shared, owner: NodeId, service: PoolName) {
        let key = (owner.clone(), service.clone());
        let names = self.for_collectors.borrow_mut().remove(&key);
        let names = names.unwrap_or_default();
        let address = shared.fleet.borrow().address_of(&owner);
        let note = FreeNote { service, names };
        let told = match address {
            Some(address) => {
                let peers = &shared.peers;
                let call = peers.call::<_, PeerAck>(address, FREE_PATH, &note, ANSWER_TIMEOUT);
                call.await.map_err(|error| error.to_string())
            }
            None => Err("unknown address".to_owned()),
        };
        if let Err(error) = told {
            slog::debug!(shared.log, "stage: Collector not told of results.";
                "collector" => %owner, "error" => error);
            self.tell_makers(shared, &note.service, note.names);
        }
    }

    /// Tells a target and then, as there is room now, the queue.
    async fn send(&self, shared: &Shared, maker: SocketAddr, service: PoolName) {
        let names = self
            .for_makers
            .borrow_mut()
            .remove(&(maker, service.clone()));
        let names = names.unwrap_or_default();
        self.tell(shared, maker, &names).await;
        shared.desk.release(&service, &names);
    }

    async fn tell(&self, shared: &Shared, maker: SocketAddr, names: &[String]) {
        // Results don't outlive their maker.
        let Some(record) = find(shared, maker) else {
            return;
        };
        let closed = shared
            .loads
            .borrow()
            .backoff_remaining(&record, shared.now());
        if !closed.is_zero() {
            slog::debug!(shared.log, "stage: Results left to lapse, their maker turns calls away.";
                "target" => %record.id, "results" => names.len(), "closed_for" => %closed);
            return;
        }
        let body = match encode_stage_free(names) {
            Ok(body) => Bytes::from(body),
            Err(error) => {
                slog::error!(shared.log, "stage: News not encoded."; "error" => %error);
                return;
            }
        };
        let mut fields = HeaderList::default();
        fields.push("Host", maker.to_string());
        fields.push(headers::EXPECT_TARGET, record.id.to_string());
        fields.push("Content-Type", "application/json");
        let ask = TargetCall {
            method: b"POST",
            target: paths::STAGE_FREE.as_bytes(),
            headers: fields,
            body: Some(&body),
            request: None,
            head_timeout: ANSWER_TIMEOUT,
        };
        let sent = async {
            let mut exchange = TargetExchange::begin(shared, &record, ask).await?;
            exchange.collect().await
        };
        let sent = within(ANSWER_TIMEOUT, sent).await;
        if let Err(error) = sent.unwrap_or(Err(SendError::Stalled)) {
            // The maker drops results by itself after a while.
            slog::debug!(shared.log, "stage: Results not freed.";
                "target" => %record.id, "results" => names.len(), "error" => %error);
        }
    }
}

fn find(shared: &Shared, address: SocketAddr) -> Option<Arc<TargetRecord>> {
    let registry = shared.registry.borrow();
    let found = registry.records().find(|record| record.address == address);
    found.map(Arc::clone)
}
