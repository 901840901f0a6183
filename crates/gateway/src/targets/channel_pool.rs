use std::{cell::RefCell, collections::HashMap};

use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    ids::TargetId,
};

use crate::http::{HttpStream, ResponseHead};

/// Idle connections that are kept for one target. Targets serve one request at
/// a time on each.
const IDLE_LIMIT: usize = 32;
/// How long an idle connection is kept whose target doesn't say for how long
/// it does.
const USUAL_LIFETIME: TimeSpan = TimeSpan::from_millis(4_000);
/// Part of the announced time that is left unused, for the way and for clocks
/// that run apart.
const LIFETIME_MARGIN: TimeSpan = TimeSpan::from_millis(700);

#[derive(Debug)]
struct IdleChannel {
    stream: HttpStream,
    usable_until: ClockTime,
}

/// Idle connections to targets.
#[derive(Debug, Default)]
pub struct ChannelPool {
    idle: RefCell<HashMap<TargetId, Vec<IdleChannel>>>,
}

impl ChannelPool {
    /// Takes the connection that was used last, if one is usable.
    #[must_use]
    pub fn take(&self, target: &TargetId, now: ClockTime) -> Option<HttpStream> {
        let mut idle = self.idle.borrow_mut();
        let channels = idle.get_mut(target)?;
        while let Some(channel) = channels.pop() {
            if channel.usable_until > now && channel.stream.is_quiet() {
                return Some(channel.stream);
            }
        }
        None
    }

    /// Keeps a connection whose last answer was read to its end.
    pub fn put(&self, target: &TargetId, stream: HttpStream, head: &ResponseHead, now: ClockTime) {
        if head.closes() || !stream.is_clean() {
            return;
        }
        let lifetime = announced_lifetime(head).unwrap_or(USUAL_LIFETIME);
        let lifetime = lifetime.saturating_sub(LIFETIME_MARGIN);
        let mut idle = self.idle.borrow_mut();
        let channels = idle.entry(target.clone()).or_default();
        channels.retain(|channel| channel.usable_until > now);
        if channels.len() < IDLE_LIMIT && !lifetime.is_zero() {
            channels.push(IdleChannel {
                stream,
                usable_until: now + lifetime,
            });
        }
    }

    /// Closes connections to targets that are no longer known.
    pub fn retain<Known>(&self, is_known: Known)
    where
        Known: Fn(&TargetId) -> bool,
    {
        self.idle.borrow_mut().retain(|target, _| is_known(target));
    }

    /// Closes the idle connections to a target.
    pub fn forget(&self, target: &TargetId) {
        self.idle.borrow_mut().remove(target);
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }
}

/// The time in `Keep-Alive: timeout=5`.
fn announced_lifetime(head: &ResponseHead) -> Option<TimeSpan> {
    let value = head.headers.text("keep-alive")?;
    let mut parameters = value.split(',').map(str::trim);
    let timeout = parameters.find_map(|parameter| parameter.strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(TimeSpan::from_secs)
}
