use crate::clock::TimeSpan;

/// Time for which new connections are taken behind a balancer: it asks once a
/// second, notices after two misses, and its last connections are on their way.
const BALANCER_SPAN: TimeSpan = TimeSpan::from_millis(2_300);
/// Time for which idle connections stay open after that. Requests that are
/// taken more than three seconds after the signal may not be cut at the end.
const IDLE_SPAN: TimeSpan = TimeSpan::from_millis(400);
/// Part of the time to stop that is kept for the end of the process.
const END_MARGIN: TimeSpan = TimeSpan::from_millis(400);

/// Times of a graceful stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainLimits {
    /// How long the node serves new connections after it turned unready, so
    /// that the balancer notices.
    pub unready: TimeSpan,
    /// How long idle connections stay open after the node stopped accepting,
    /// so that a request already under way is answered.
    pub closing: TimeSpan,
    /// From the signal to the end of all waiting for work.
    pub work: TimeSpan,
    /// From the end of the work to the end of the process.
    pub handover: TimeSpan,
}

impl DrainLimits {
    /// The times of a node behind a balancer that is ended after `stop_span`. It
    /// has nothing to hand over, so the time for that goes to requests which
    /// arrived as their idle connections closed.
    #[must_use]
    pub const fn behind_balancer(stop_span: TimeSpan) -> Self {
        Self {
            unready: BALANCER_SPAN,
            closing: IDLE_SPAN,
            work: stop_span.saturating_sub(END_MARGIN),
            handover: stop_span
                .saturating_sub(BALANCER_SPAN)
                .saturating_sub(IDLE_SPAN)
                .saturating_sub(END_MARGIN),
        }
    }
}
