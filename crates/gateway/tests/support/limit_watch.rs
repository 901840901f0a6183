//! Checks from the outside that a target gets no more requests than the limit that
//! it names, by the platform's rule.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use verbenahub_platform_standin::RawReply;

/// Header that names the limit.
pub const LIMIT_HEADER: &str = "Server-Limit";
/// Time after which the limit counts, from when it was first named.
const GRACE: Duration = Duration::from_secs(3);
/// Time after which a gateway that has passed on the limit must keep it.
const REACTION: Duration = Duration::from_millis(500);
/// Period in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Multiple of the limit that is tolerated, and the requests beyond that.
const TOLERANCE: f64 = 1.5;
const SLACK: f64 = 5.0;

#[derive(Debug, Default)]
struct WatchedRequests {
    /// Requests that reached the target, in order.
    arrivals: Vec<(String, Instant)>,
    first_named: Option<Instant>,
    is_withdrawn: bool,
}

/// A target's limit and the requests that reached it.
#[derive(Clone, Debug)]
pub struct LimitWatch {
    limit: f64,
    requests: Arc<Mutex<WatchedRequests>>,
}

/// What is known of the gateways that sent the requests.
#[derive(Clone, Debug, Default)]
pub struct GatewayHistory {
    /// Address of the gateway that each request was sent to.
    pub senders: BTreeMap<String, SocketAddr>,
    /// When each gateway first passed on an answer that named the limit.
    pub told_at: BTreeMap<SocketAddr, Instant>,
    /// Gateways that were frozen, with the begin and the end.
    pub frozen: Vec<(SocketAddr, Instant, Instant)>,
}

impl LimitWatch {
    /// Watches a target with a limit in requests a second.
    pub fn new(limit: f64) -> Self {
        Self {
            limit,
            requests: Arc::default(),
        }
    }

    /// Records a request, and names the limit in the reply to it.
    pub fn name_in(&self, request: &str, reply: RawReply) -> RawReply {
        let mut requests = self.lock();
        if requests.is_withdrawn {
            return reply;
        }
        let now = Instant::now();
        requests.arrivals.push((request.to_owned(), now));
        requests.first_named.get_or_insert(now);
        reply.with_header(LIMIT_HEADER, &self.limit.to_string())
    }

    /// Names no limit from now on.
    pub fn withdraw(&self) {
        self.lock().is_withdrawn = true;
    }

    /// Panics if a window has more requests than the limit allows. Those of gateways
    /// that had not been told the limit, or were frozen, don't count.
    pub fn check(&self, history: &GatewayHistory) -> usize {
        let requests = self.lock();
        let Some(first_named) = requests.first_named else {
            return 0;
        };
        let counted = requests.arrivals.iter().filter(|(request, at)| {
            let sender = history.senders.get(request);
            let told_at = sender.and_then(|sender| history.told_at.get(sender));
            let is_told = told_at.is_some_and(|told_at| *told_at + REACTION <= *at);
            let mut freezes = history.frozen.iter();
            let is_excused = freezes.any(|(frozen, from, until)| {
                Some(frozen) == sender && *at >= *from && *at < *until + GRACE
            });
            is_told && !is_excused && *at >= first_named + GRACE
        });
        let counted: Vec<Instant> = counted.map(|(_, at)| *at).collect();
        let in_window = |from: &Instant| {
            let in_window = counted
                .iter()
                .filter(|at| *at >= from && **at < *from + WINDOW);
            in_window.count()
        };
        let most = counted.iter().map(in_window).max().unwrap_or_default();
        let allowed = TOLERANCE * self.limit * WINDOW.as_secs_f64() + SLACK;
        let count = f64::from(u32::try_from(most).expect("a small number"));
        assert!(
            count <= allowed,
            "{most} requests in a window, {allowed} allowed"
        );
        most
    }

    fn lock(&self) -> MutexGuard<'_, WatchedRequests> {
        self.requests.lock().expect("the lock is not poisoned")
    }
}
