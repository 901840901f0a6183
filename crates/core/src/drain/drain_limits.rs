use crate::clock::TimeSpan;

/// How long a node behind a load balancer accepts connections after it reports
/// not ready. The balancer probes once a second and removes a node after two
/// failed probes; the rest is for connections that it opened before that.
const LOAD_BALANCER_DELAY: TimeSpan = TimeSpan::from_millis(2_300);
/// How long idle connections stay open after that. Both times together must stay
/// below three seconds: a request that is accepted later than that after the
/// signal counts as lost if it is aborted at the end of the grace period.
const IDLE_CONNECTION_TIME: TimeSpan = TimeSpan::from_millis(400);
/// Part of the grace period that is reserved for the exit of the process.
const EXIT_MARGIN: TimeSpan = TimeSpan::from_millis(400);

/// Timing of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainLimits {
    /// How long the node still accepts connections after it reports not ready,
    /// so that the load balancer can notice.
    pub unready: TimeSpan,
    /// How long idle connections stay open after the node has stopped accepting,
    /// so that a request that was already sent is answered.
    pub closing: TimeSpan,
    /// Maximum time from the signal until the node stops waiting for work.
    pub work: TimeSpan,
    /// Maximum time from the end of the work until the process exits.
    pub handover: TimeSpan,
}

impl DrainLimits {
    /// Timing of a node behind a load balancer that is killed `grace_period`
    /// after the signal. The node has no tickets to hand over, so that time is
    /// used for requests that arrived while their idle connections were closed.
    #[must_use]
    pub const fn behind_balancer(grace_period: TimeSpan) -> Self {
        Self {
            unready: LOAD_BALANCER_DELAY,
            closing: IDLE_CONNECTION_TIME,
            work: grace_period.saturating_sub(EXIT_MARGIN),
            handover: grace_period
                .saturating_sub(LOAD_BALANCER_DELAY)
                .saturating_sub(IDLE_CONNECTION_TIME)
                .saturating_sub(EXIT_MARGIN),
        }
    }
}
