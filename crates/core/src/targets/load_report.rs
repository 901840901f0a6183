use crate::clock::ClockTime;

/// The load that a target has reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Number of requests in execution.
    pub running: u32,
    /// Number of requests that wait for a slot.
    pub waiting: u32,
    /// Number of slots.
    pub slots: u32,
    /// How long work takes on the target's VM now, in percent of the usual time.
    /// Stated only by targets that share their VMs with others.
    pub work_percent: Option<u32>,
    /// When the report arrived.
    pub at: ClockTime,
}

impl LoadReport {
    /// Decodes the figures of a report that arrived at a point in time. `None` if
    /// one of the first three can't be read. A fourth one that can't be read counts
    /// as absent.
    #[must_use]
    pub fn decode(text: &str, at: ClockTime) -> Option<Self> {
        let mut figures = text.split(',').map(|figure| figure.trim().parse().ok());
        let mut next = || figures.next().flatten();
        Some(Self {
            running: next()?,
            waiting: next()?,
            slots: next()?,
            // Work can't take no time, so zero is no statement.
            work_percent: next().filter(|percent| *percent > 0),
            at,
        })
    }
}
