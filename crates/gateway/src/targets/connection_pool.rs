use std::{cell::RefCell, collections::HashMap};

use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    ids::TargetId,
};

use super::TargetConnection;
use crate::http::ResponseHead;

/// Maximum number of idle connections per target. A target serves one request at
/// a time on each connection.
const MAX_IDLE_PER_TARGET: usize = 32;
/// How long an idle connection is kept if the target sent no `Keep-Alive`
/// timeout.
const DEFAULT_IDLE_LIFETIME: TimeSpan = TimeSpan::from_millis(4_000);
/// Subtracted from the lifetime of an idle connection to allow for network
/// latency and clock drift.
const IDLE_LIFETIME_MARGIN: TimeSpan = TimeSpan::from_millis(700);

#[derive(Debug)]
struct IdleConnection {
    connection: TargetConnection,
    expires_at: ClockTime,
}

/// Idle keep-alive connections to targets.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: RefCell<HashMap<TargetId, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Takes the most recently used connection that is still usable.
    #[must_use]
    pub fn take(&self, target: &TargetId, now: ClockTime) -> Option<TargetConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(target)?;
        while let Some(idle) = connections.pop() {
            if idle.expires_at > now && idle.connection.is_reusable() {
                return Some(idle.connection);
            }
        }
        None
    }

    /// Adds a connection whose last response was read to its end. The connection
    /// is closed if it can't be reused or the pool is full.
    pub fn put(
        &self,
        target: &TargetId,
        connection: TargetConnection,
        head: &ResponseHead,
        now: ClockTime,
    ) {
        if head.closes() || !connection.stream.is_buffer_empty() {
            return;
        }
        let lifetime = announced_lifetime(head).unwrap_or(DEFAULT_IDLE_LIFETIME);
        let lifetime = lifetime.saturating_sub(IDLE_LIFETIME_MARGIN);
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(target.clone()).or_default();
        connections.retain(|idle| idle.expires_at > now);
        if connections.len() < MAX_IDLE_PER_TARGET && !lifetime.is_zero() {
            connections.push(IdleConnection {
                connection,
                expires_at: now + lifetime,
            });
        }
    }

    /// Closes the idle connections to targets for which `is_known` is false.
    pub fn retain<Known>(&self, is_known: Known)
    where
        Known: Fn(&TargetId) -> bool,
    {
        self.idle.borrow_mut().retain(|target, _| is_known(target));
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }
}

/// The timeout of a `Keep-Alive: timeout=5` header, which is in seconds.
fn announced_lifetime(head: &ResponseHead) -> Option<TimeSpan> {
    let value = head.headers.text("keep-alive")?;
    let mut parameters = value.split(',').map(str::trim);
    let timeout = parameters.find_map(|parameter| parameter.strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(TimeSpan::from_secs)
}
