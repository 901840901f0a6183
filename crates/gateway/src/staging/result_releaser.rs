use std::{cell::RefCell, collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use smol::Timer;
use verbenahub_core::{
    clock::TimeSpan,
    ids::{NodeId, PoolName},
    targets::TargetRecord,
};
use verbenahub_platform::{decode_stage_run, encode_stage_free, headers, paths, result_producer};

use super::FreeRequest;
use crate::{
    http::HeaderList,
    peers::{FREE_PATH, PeerAck},
    process::Shared,
    targets::{
        CallPurpose, PermitDenied, PermitRequest, SendError, SendPermit, TargetCall,
        TargetExchange, within,
    },
};

/// Time for which names of results are batched before they are sent on. Short
/// against the duration of a call, which may wait for the room of the results;
/// long against the time between requests.
const BATCH_DELAY: Duration = Duration::from_millis(8);
/// Longest wait for a permit to free results at a target that has named a limit.
/// Results that are not freed expire after some seconds.
const PERMIT_PATIENCE: TimeSpan = TimeSpan::from_millis(2_000);
/// Timeout of a call that frees results.
const ANSWER_TIMEOUT: TimeSpan = TimeSpan::from_millis(1_000);

/// Frees results that are no longer needed.
///
/// Their names go to the collector of their service, which plans calls by the
/// free room of the targets, and from it to the targets that hold the results.
#[derive(Debug, Default)]
pub struct ResultReleaser {
    pending_for_collectors: RefCell<HashMap<(NodeId, PoolName), Vec<String>>>,
    pending_for_targets: RefCell<HashMap<(SocketAddr, PoolName), Vec<String>>>,
}

impl ResultReleaser {
    /// Frees results of a request. `service` is the one whose targets hold them.
    pub fn free(&self, shared: &Shared, request: &str, service: PoolName, names: Vec<String>) {
        let owner = shared.stage_client.collector(shared, &service, request);
        let Some(owner) = owner.filter(|owner| *owner != shared.profile.node) else {
            shared
                .stage_collector
                .free_results(shared, FreeRequest { service, names });
            return;
        };
        let mut pending = self.pending_for_collectors.borrow_mut();
        let batch = pending.entry((owner.clone(), service.clone())).or_default();
        let is_first = batch.is_empty();
        batch.extend(names);
        if is_first {
            let task = Shared::clone(shared);
            shared.tasks.spawn(async move {
                Timer::after(BATCH_DELAY).await;
                task.result_releaser
                    .send_to_collector(&task, owner, service)
                    .await;
            });
        }
    }

    /// Sends the names of results to the targets that hold them.
    pub fn notify_targets(&self, shared: &Shared, service: &PoolName, names: Vec<String>) {
        let mut pending = self.pending_for_targets.borrow_mut();
        for name in names {
            let Some(address) = result_producer(&name) else {
                slog::warn!(shared.log, "stage: Result name without a target address."; "result" => name);
                continue;
            };
            let batch = pending.entry((address, service.clone())).or_default();
            batch.push(name);
            if batch.len() == 1 {
                let (task, service) = (Shared::clone(shared), service.clone());
                shared.tasks.spawn(async move {
                    Timer::after(BATCH_DELAY).await;
                    task.result_releaser
                        .send_to_target(&task, address, service)
                        .await;
                });
            }
        }
    }

    async fn send_to_collector(&self, shared: &Shared, owner: NodeId, service: PoolName) {
        let key = (owner.clone(), service.clone());
        let names = self.pending_for_collectors.borrow_mut().remove(&key);
        let names = names.unwrap_or_default();
        let address = shared.fleet.borrow().address_of(&owner);
        let request = FreeRequest { service, names };
        let sent = match address {
            Some(address) => {
                let peers = &shared.peers;
                let call = peers.call::<_, PeerAck>(address, FREE_PATH, &request, ANSWER_TIMEOUT);
                call.await.map_err(|error| error.to_string())
            }
            None => Err("unknown address".to_owned()),
        };
        if let Err(error) = sent {
            slog::debug!(shared.log, "stage: Collector not reached to free results; calling their targets.";
                "collector" => %owner, "error" => error);
            self.notify_targets(shared, &request.service, request.names);
        }
    }

    /// Frees results at their target, then their room in this node's queue. Names
    /// that arrive while the call waits for a permit share the call.
    async fn send_to_target(&self, shared: &Shared, address: SocketAddr, service: PoolName) {
        let permit = Self::acquire_permit(shared, address).await;
        let names = self
            .pending_for_targets
            .borrow_mut()
            .remove(&(address, service.clone()));
        let names = names.unwrap_or_default();
        match permit {
            Ok(permit) => {
                // Results do not outlive the target that holds them.
                if let Some(permit) = permit {
                    self.free_at_target(shared, permit, &names).await;
                }
                shared.stage_collector.mark_freed(&service, &names);
            }
            Err(PermitDenied::Departed) => {
                shared.stage_collector.mark_freed(&service, &names);
            }
            Err(PermitDenied::OverLimit { retry_after }) => {
                slog::info!(shared.log, "stage: Results not freed, the limit of their target is used up; they will expire.";
                    "service" => %service, "address" => %address, "results" => names.len(),
                    "retry_after" => %retry_after);
            }
        }
    }

    /// Obtains a permit for a call that frees results. `None` if the target is gone.
    async fn acquire_permit(
        shared: &Shared,
        address: SocketAddr,
    ) -> Result<Option<SendPermit>, PermitDenied> {
        let Some(record) = find_target(shared, address) else {
            return Ok(None);
        };
        let permit = PermitRequest {
            record: &record,
            purpose: CallPurpose::Free,
            request: None,
            patience: PERMIT_PATIENCE,
        };
        shared.permits.acquire(shared, permit).await.map(Some)
    }

    async fn free_at_target(&self, shared: &Shared, permit: SendPermit, names: &[String]) {
        let record = Arc::clone(permit.record());
        let backoff = shared
            .loads
            .borrow()
            .backoff_remaining(&record, shared.now());
        if !backoff.is_zero() {
            slog::debug!(shared.log, "stage: Results not freed, their target is in backoff; they will expire.";
                "target" => %record.id, "results" => names.len(), "closed_for" => %backoff);
            return;
        }
        let body = match encode_stage_free(names) {
            Ok(body) => Bytes::from(body),
            Err(error) => {
                slog::error!(shared.log, "stage: Free request not encoded."; "error" => %error);
                return;
            }
        };
        let mut fields = HeaderList::default();
        fields.push("Host", record.address.to_string());
        fields.push(headers::EXPECT_TARGET, record.id.to_string());
        fields.push("Content-Type", "application/json");
        let call = TargetCall {
            method: b"POST",
            target: paths::STAGE_FREE.as_bytes(),
            headers: fields,
            body: Some(&body),
            request: None,
            purpose: CallPurpose::Free,
            head_timeout: ANSWER_TIMEOUT,
        };
        let sent = async {
            let mut exchange = TargetExchange::begin(shared, permit, call).await?;
            exchange.hold_connection();
            let answer = exchange.collect().await?;
            // With a copy of an answer to an earlier call, the one to this call has yet
            // to arrive on the connection.
            if decode_stage_run(&answer).is_err() {
                exchange.release_connection();
            }
            Ok(())
        };
        let sent = within(ANSWER_TIMEOUT, sent).await;
        if let Err(error) = sent.unwrap_or(Err(SendError::Stalled)) {
            // The target drops results by itself when their lifetime is over.
            slog::debug!(shared.log, "stage: Results not freed.";
                "target" => %record.id, "results" => names.len(), "error" => %error);
        }
    }
}

fn find_target(shared: &Shared, address: SocketAddr) -> Option<Arc<TargetRecord>> {
    let registry = shared.registry.borrow();
    let found = registry.records().find(|record| record.address == address);
    found.map(Arc::clone)
}
