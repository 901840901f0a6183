use std::{net::TcpListener, time::Duration};

use bytes::Bytes;
use futures_lite::FutureExt;
use serde::{Serialize, de::DeserializeOwned};
use smol::{Async, Timer};
use verbenahub_core::engines::EngineQuery;

use super::{
    ANSWER_QUERY_PATH, CRASH_PATH, ENGINE_PATH, ENGINE_PROGRESS_PATH, ENGINE_WAIT_PATH,
    FOLLOW_PATH, FREE_PATH, FollowRequest, GOSSIP_PATH, GossipMessage, GossipReply, PERMIT_PATH,
    PROBE_PATH, PeerAck, QUARANTINE_PATH, ReplicaStatus, STAGE_PATH, STATUS_PATH, UpdateReply,
};
use crate::{
    engines::{EngineProgress, ReadWait},
    http::{BodyReader, HeaderList, HttpStream, RequestHead, ResponseHead, request_framing},
    process::{Shared, accept_each},
    quarantine::{AnswerQuery, AnswerReply, CrashBatch, QuarantineUpdate},
    staging::{FreeRequest, StageRequest},
    targets::{PermitQuery, within},
};

/// Maximum size of the head of a request.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// Maximum size of the body of a request. The largest ones hold the names of all
/// results that a set of pieces needs.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Time for which changes are batched before they are sent to followers. Short
/// against the time within which followers must apply them.
const UPDATE_BATCH_DELAY: Duration = Duration::from_millis(20);

/// Serves the calls of other gateways.
#[derive(Clone, Debug)]
pub struct PeerListener {
    shared: Shared,
}

impl PeerListener {
    /// Creates the listener.
    #[must_use]
    pub const fn new(shared: Shared) -> Self {
        Self { shared }
    }

    /// Accepts connections until the future is dropped.
    pub async fn run(self, listener: Async<TcpListener>) {
        accept_each(&self.shared, "peers", listener, |stream| {
            let server = self.clone();
            self.shared
                .tasks
                .spawn(async move { server.serve(stream).await });
        })
        .await;
    }

    async fn serve(&self, mut stream: HttpStream) {
        while let Ok(Some(head)) = stream.read_request(MAX_HEAD_BYTES).await {
            let Ok(framing) = request_framing(&head.headers) else {
                return;
            };
            let Ok(body) = BodyReader::new(framing)
                .collect(&mut stream, MAX_BODY_BYTES)
                .await
            else {
                return;
            };
            let answer = async { Some(self.answer(&head, &body).await) };
            let closed = async {
                stream.wait_closed().await;
                None
            };
            // If the caller closes the connection, the work for it is dropped.
            let Some(answer) = answer.or(closed).await else {
                return;
            };
            let (status, body) = match answer {
                Some(body) => (200, body),
                None => (400, Vec::new()),
            };
            let mut headers = HeaderList::default();
            headers.push("Content-Length", body.len().to_string());
            let mut message = ResponseHead::encode(status, b"Answer", &headers);
            message.extend_from_slice(&body);
            if stream.write(&message).await.is_err() {
                return;
            }
        }
    }

    async fn answer(&self, head: &RequestHead, body: &Bytes) -> Option<Vec<u8>> {
        match head.path() {
            path if path == GOSSIP_PATH.as_bytes() => {
                let message: GossipMessage = self.decode(body)?;
                let now = self.shared.now();
                let reply = GossipReply {
                    members: self.shared.fleet.borrow().members(),
                    news: UpdateReply::since(&self.shared, &message.holding, now),
                };
                self.shared.fleet.borrow_mut().merge(message.members, now);
                self.shared.merge_leaving(message.leaving, "gossip");
                self.shared.merge_limits(message.limits, "gossip");
                self.shared.merge_evacuations(message.zones, "gossip");
                let quarantine = &self.shared.quarantine;
                quarantine.merge(&self.shared, message.quarantine, "gossip");
                self.encode(&reply)
            }
            path if path == STAGE_PATH.as_bytes() => {
                let request: StageRequest = self.decode(body)?;
                let _guard = self.shared.work.begin();
                let answer = self.shared.stage_collector.run(&self.shared, request).await;
                self.encode(&answer)
            }
            path if path == ENGINE_PATH.as_bytes() => {
                let request: EngineQuery = self.decode(body)?;
                let reply = self.shared.engine_chooser.choose(&self.shared, &request);
                self.encode(&reply)
            }
            path if path == ENGINE_WAIT_PATH.as_bytes() => {
                let request: ReadWait = self.decode(body)?;
                self.shared.engine_chooser.wait_until_read(&request).await;
                self.encode(&PeerAck)
            }
            path if path == ENGINE_PROGRESS_PATH.as_bytes() => {
                let progress: EngineProgress = self.decode(body)?;
                self.shared
                    .engine_chooser
                    .record_progress(&self.shared, &progress);
                self.encode(&PeerAck)
            }
            path if path == FOLLOW_PATH.as_bytes() => {
                let request: FollowRequest = self.decode(body)?;
                self.wait_for_update(&request).await;
                let reply = UpdateReply::since(&self.shared, &request.holding, self.shared.now());
                self.encode(&reply)
            }
            path if path == STATUS_PATH.as_bytes() => {
                self.encode(&ReplicaStatus::of(&self.shared, self.shared.now()))
            }
            path if path == PERMIT_PATH.as_bytes() => {
                let query: PermitQuery = self.decode(body)?;
                let reply = self.shared.permits.answer(&self.shared, query);
                self.encode(&reply)
            }
            path if path == CRASH_PATH.as_bytes() => {
                let batch: CrashBatch = self.decode(body)?;
                let owner = &self.shared.crash_owner;
                let reply = owner.receive(&self.shared, &batch).await;
                self.encode(&reply)
            }
            path if path == ANSWER_QUERY_PATH.as_bytes() => {
                let query: AnswerQuery = self.decode(body)?;
                let quarantine = &self.shared.quarantine;
                let answers = quarantine.answers(&query.parts, self.shared.now());
                self.encode(&AnswerReply { answers })
            }
            path if path == QUARANTINE_PATH.as_bytes() => {
                let update: QuarantineUpdate = self.decode(body)?;
                let quarantine = &self.shared.quarantine;
                quarantine.merge(&self.shared, update.quarantine, "update");
                self.encode(&PeerAck)
            }
            path if path == PROBE_PATH.as_bytes() => self.encode(&PeerAck),
            path if path == FREE_PATH.as_bytes() => {
                let request: FreeRequest = self.decode(body)?;
                self.shared
                    .stage_collector
                    .free_results(&self.shared, request);
                self.encode(&PeerAck)
            }
            _ => None,
        }
    }

    /// Waits until this node holds something newer or is not connected to the store,
    /// for at most the time that the request gives.
    async fn wait_for_update(&self, request: &FollowRequest) {
        let newer = async {
            loop {
                let changed = self.shared.changed.listen();
                let holding = ReplicaStatus::of(&self.shared, self.shared.now());
                let left = holding.connection_left();
                if holding.is_newer_than(&request.holding) || left.is_zero() {
                    break;
                }
                within(left, changed).await;
            }
            // Changes often arrive in groups.
            Timer::after(UPDATE_BATCH_DELAY).await;
        };
        within(request.wait, newer).await;
    }

    fn decode<Message>(&self, body: &[u8]) -> Option<Message>
    where
        Message: DeserializeOwned,
    {
        let decoded = rmp_serde::from_slice(body);
        if let Err(error) = &decoded {
            slog::warn!(self.shared.log, "peers: Request not decoded."; "error" => %error);
        }
        decoded.ok()
    }

    fn encode<Message>(&self, message: &Message) -> Option<Vec<u8>>
    where
        Message: Serialize,
    {
        let encoded = rmp_serde::to_vec(message);
        if let Err(error) = &encoded {
            slog::error!(self.shared.log, "peers: Answer not encoded."; "error" => %error);
        }
        encoded.ok()
    }
}
