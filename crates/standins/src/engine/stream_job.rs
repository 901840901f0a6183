use std::{sync::Arc, time::Duration};

use async_channel::Sender;
use bytes::Bytes;
use futures_lite::FutureExt;
use smol::Timer;
use verbenahub_core::{ids::AttemptNumber, protocol::TargetChunk};

use super::{EngineHandler, GeneratedText};
use crate::{
    load::{RunTimer, SlotWait},
    server::{IncomingCall, RunLabel},
};

/// Time for the last tokens to leave before an ordered break.
const BREAK_PAUSE: Duration = Duration::from_millis(5);

/// Distance of the attempt that a token of another attempt names.
const ALIEN_ATTEMPTS: u64 = 1_000;

/// One stream of an engine, from the queue to its last line.
#[derive(Debug)]
pub struct StreamJob {
    /// The engine.
    pub handler: Arc<EngineHandler>,
    /// The attempt that is run.
    pub label: RunLabel,
    /// The call with its prompt.
    pub call: IncomingCall,
    /// Bytes of the body that are the prompt.
    pub prompt_bytes: usize,
    /// The answer.
    pub text: GeneratedText,
    /// Number of tokens that the caller has.
    pub offset: u64,
    /// Whether the stream fails half way, by order.
    pub fails: bool,
    /// Takes the lines of the stream.
    pub lines: Sender<Bytes>,
}

/// Why a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamEnd {
    Whole,
    Failed,
    Cancelled,
    Gone,
}

impl StreamJob {
    /// Runs the stream.
    pub async fn run(self, wait: SlotWait) {
        let desk = &self.handler.desk;
        let cancel = desk.cancels.enter(self.label.clone());
        let cancelled = async {
            cancel.cancelled().await;
            StreamEnd::Cancelled
        };
        let gone = async {
            self.call.link.closed().await;
            StreamEnd::Gone
        };
        let end = self.generate(wait).or(cancelled).or(gone).await;
        if matches!(end, StreamEnd::Cancelled | StreamEnd::Gone) {
            desk.context.stats.add_cancel();
        }
        match end {
            StreamEnd::Cancelled => self.send_failure("cancelled").await,
            StreamEnd::Failed => self.send_failure("ordered to fail").await,
            StreamEnd::Whole | StreamEnd::Gone => {}
        }
        desk.note_load();
    }

    async fn generate(&self, wait: SlotWait) -> StreamEnd {
        let desk = &self.handler.desk;
        let slot = wait.slot().await;
        let timer = RunTimer::start(desk);
        self.prefill().await;
        let end = self.decode().await;
        drop(slot);
        drop(timer);
        end
    }

    async fn prefill(&self) {
        let cached = self
            .handler
            .use_prompt(&self.call.body[..self.prompt_bytes]);
        let fresh = self.call.body.len().saturating_sub(cached);
        let time = self.handler.pace.prefill_time(fresh);
        self.handler.desk.context.switches.work(time).await;
    }

    async fn decode(&self) -> StreamEnd {
        let desk = &self.handler.desk;
        let break_at = desk.context.switches.take_break();
        let fail_at = self.text.tokens() / 2;
        for offset in self.offset..self.text.tokens() {
            if break_at == Some(offset - self.offset) {
                return self.break_off().await;
            }
            if self.fails && offset >= fail_at {
                desk.context.stats.add_failure();
                return StreamEnd::Failed;
            }
            let time = self.handler.pace.token_time(desk.queue.running());
            desk.context.switches.work(time).await;
            if !self.send_token(offset).await {
                return StreamEnd::Gone;
            }
        }
        if break_at.is_some() {
            return self.break_off().await;
        }
        desk.context.switches.late().await;
        let end = TargetChunk::End {
            request: self.label.request.clone(),
            attempt: self.label.attempt,
            tokens: self.text.tokens(),
        };
        self.send(&end).await;
        StreamEnd::Whole
    }

    async fn break_off(&self) -> StreamEnd {
        while !self.lines.is_empty() && !self.lines.is_closed() {
            Timer::after(BREAK_PAUSE).await;
        }
        Timer::after(BREAK_PAUSE).await;
        self.call.link.cut();
        StreamEnd::Gone
    }

    async fn send_token(&self, offset: u64) -> bool {
        self.handler.desk.context.stats.add_tokens(1);
        let chunk = TargetChunk::Tokens {
            request: self.label.request.clone(),
            attempt: self.label.attempt,
            offset,
            tokens: 1,
            text: self.text.token(offset),
        };
        if self.handler.desk.context.switches.alien_next() {
            self.send_alien(offset).await;
            self.send(&chunk).await;
        }
        self.send(&chunk).await
    }

    /// Sends a token of an attempt that there is not, by order.
    async fn send_alien(&self, offset: u64) {
        let chunk = TargetChunk::Tokens {
            request: self.label.request.clone(),
            attempt: AttemptNumber::new(self.label.attempt.get() + ALIEN_ATTEMPTS),
            offset,
            tokens: 1,
            text: "alien ".to_owned(),
        };
        self.send(&chunk).await;
    }

    async fn send_failure(&self, message: &str) {
        let chunk = TargetChunk::Failed {
            request: self.label.request.clone(),
            attempt: self.label.attempt,
            message: message.to_owned(),
        };
        self.send(&chunk).await;
    }

    /// Sends a line; says whether there is still a reader.
    async fn send(&self, chunk: &TargetChunk) -> bool {
        let Ok(mut line) = serde_json::to_vec(chunk) else {
            return false;
        };
        line.push(b'\n');
        self.lines.send(line.into()).await.is_ok()
    }
}
