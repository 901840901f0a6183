use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use futures_lite::FutureExt;
use http_types::{Method, Response, StatusCode};
use smol::Timer;
use verbenahub_core::{
    clock::TimeSpan,
    ids::RevisionNumber,
    protocol::{FeedPage, paths},
};

use super::{CallCounter, ChangeSignal, FeedStore, ReaderParity};
use crate::server::{CallHandler, IncomingCall, ServerContext, reply};

/// Longest that a watch may wait.
const WAIT_LIMIT: TimeSpan = TimeSpan::from_secs(60);
/// Time between looks at a feed whose changes are seen after a lag.
const LAG_POLL: Duration = Duration::from_millis(10);
/// Time between looks at a feed that shows changes at once.
const IDLE_POLL: Duration = Duration::from_secs(1);
/// When to come back while the feed is down.
const DOWN_RETRY: TimeSpan = TimeSpan::from_millis(500);

/// Answers the calls to a feed.
#[derive(Debug)]
pub struct FeedHandler {
    context: ServerContext,
    lag: TimeSpan,
    state: Mutex<FeedState>,
    signal: ChangeSignal,
    calls: CallCounter,
}

#[derive(Debug, Default)]
struct FeedState {
    store: FeedStore,
    stale: Option<StaleView>,
    down: bool,
}

/// An old revision that some readers see.
#[derive(Clone, Copy, Debug)]
struct StaleView {
    revision: RevisionNumber,
    readers: ReaderParity,
}

impl FeedHandler {
    /// Creates an empty feed.
    #[must_use]
    pub fn new(context: ServerContext, lag: TimeSpan) -> Self {
        Self {
            context,
            lag,
            state: Mutex::default(),
            signal: ChangeSignal::default(),
            calls: CallCounter::default(),
        }
    }

    async fn changes(&self, call: &IncomingCall) -> Response {
        self.calls.add(self.context.clock.now());
        let after = RevisionNumber::new(call.query_number("after").unwrap_or(0));
        let wait = TimeSpan::from_millis(call.query_number("wait_ms").unwrap_or(0));
        let end = self.context.clock.now() + wait.min(WAIT_LIMIT);
        loop {
            let changed = self.signal.register();
            let Some(page) = self.page(after, call.link.number) else {
                return reply::refusal(StatusCode::ServiceUnavailable, DOWN_RETRY);
            };
            let rest = self.context.clock.now().until(end);
            let news = !page.entries.is_empty() || page.snapshot;
            if news || rest.is_zero() {
                self.context.switches.thawed().await;
                self.context.switches.late().await;
                return reply::json(&page);
            }
            let poll = if self.lag.is_zero() {
                IDLE_POLL
            } else {
                LAG_POLL
            };
            let pause = Duration::from(rest).min(poll);
            let woken = async {
                let _ = changed.recv().await;
                true
            };
            let timed = async {
                Timer::after(pause).await;
                true
            };
            let gone = async {
                call.link.closed().await;
                false
            };
            if !woken.or(timed).or(gone).await {
                return reply::text(StatusCode::InternalServerError, "the reader has gone");
            }
        }
    }

    fn page(&self, after: RevisionNumber, connection: u64) -> Option<FeedPage> {
        let state = self.state();
        if state.down {
            return None;
        }
        let visible = state.store.visible(self.context.clock.now(), self.lag);
        let old = state
            .stale
            .filter(|view| view.readers.includes(connection))
            .map(|view| view.revision.min(visible));
        Some(state.store.page(after, old.unwrap_or(visible)))
    }

    fn put(&self, call: &IncomingCall, value: Option<Vec<u8>>) -> Response {
        let Some(key) = call.query("key") else {
            return reply::text(StatusCode::BadRequest, "the key is missing");
        };
        let now = self.context.clock.now();
        let revision = self.state().store.push(now, key, value);
        self.signal.notify();
        reply::json(&revision)
    }

    fn set_stale(&self, call: &IncomingCall) -> Response {
        let readers = match call.query("readers").map(|text| text.parse()) {
            None => ReaderParity::All,
            Some(Ok(readers)) => readers,
            Some(Err(error)) => return reply::text(StatusCode::BadRequest, &format!("{error}")),
        };
        let revision = call.query_number("revision").map(RevisionNumber::new);
        self.state().stale = revision.map(|revision| StaleView { revision, readers });
        self.signal.notify();
        Response::new(StatusCode::NoContent)
    }

    fn set_down(&self, call: &IncomingCall) -> Response {
        self.state().down = call.query("on").as_deref() == Some("true");
        self.signal.notify();
        Response::new(StatusCode::NoContent)
    }

    fn compact(&self, call: &IncomingCall) -> Response {
        let revision = call.query_number("revision").unwrap_or(u64::MAX);
        self.state().store.compact(RevisionNumber::new(revision));
        Response::new(StatusCode::NoContent)
    }

    fn state(&self) -> MutexGuard<'_, FeedState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl CallHandler for FeedHandler {
    async fn handle(self: Arc<Self>, call: IncomingCall) -> Response {
        match (call.method(), call.path()) {
            (Method::Get, paths::CHANGES) => self.changes(&call).await,
            (Method::Get, "/calls") => reply::json(&self.calls.report()),
            (Method::Get, "/admin/revision") => reply::json(&self.state().store.revision()),
            (Method::Post, "/admin/put") => self.put(&call, Some(call.body.to_vec())),
            (Method::Post, "/admin/delete") => self.put(&call, None),
            (Method::Post, "/admin/stale") => self.set_stale(&call),
            (Method::Post, "/admin/down") => self.set_down(&call),
            (Method::Post, "/admin/compact") => self.compact(&call),
            _ => reply::not_found(),
        }
    }
}
