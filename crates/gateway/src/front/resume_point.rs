use crate::targets::TargetExchange;

/// Where a stream that is resumed goes on.
#[derive(Debug)]
pub(super) struct ResumePoint<'a> {
    /// Identifier of the last event that was relayed, if any was.
    pub(super) last_event: Option<&'a str>,
    /// Exchange with the target that has served the stream so far. It may still be
    /// open, and is closed before another target can work on the stream for long.
    pub(super) previous: &'a mut TargetExchange,
}
