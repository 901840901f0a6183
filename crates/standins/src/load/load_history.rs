use std::{
    collections::VecDeque,
    sync::{Mutex, PoisonError},
};

use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    protocol::LoadReport,
};

/// Load reports that are shown only after a lag.
#[derive(Debug)]
pub struct LoadHistory {
    lag: TimeSpan,
    reports: Mutex<VecDeque<(ClockTime, LoadReport)>>,
}

/// Reports that are kept at most.
const REPORT_LIMIT: usize = 65_536;

impl LoadHistory {
    /// Creates a history that begins with an idle target.
    #[must_use]
    pub fn new(lag: TimeSpan, first: LoadReport) -> Self {
        let reports = Mutex::new(VecDeque::from([(ClockTime::ZERO, first)]));
        Self { lag, reports }
    }

    /// Notes the load from now on.
    pub fn push(&self, now: ClockTime, report: LoadReport) {
        let mut reports = self.reports.lock().unwrap_or_else(PoisonError::into_inner);
        if reports.back().is_some_and(|(time, _)| *time == now) {
            reports.pop_back();
        }
        reports.push_back((now, report));
        let visible = now - self.lag;
        while reports.len() > REPORT_LIMIT || reports.get(1).is_some_and(|next| next.0 <= visible) {
            reports.pop_front();
        }
    }

    /// The load as it was one lag before now.
    #[must_use]
    pub fn report(&self, now: ClockTime) -> LoadReport {
        let reports = self.reports.lock().unwrap_or_else(PoisonError::into_inner);
        let visible = now - self.lag;
        let newest = reports.iter().rev().find(|(time, _)| *time <= visible);
        newest
            .or_else(|| reports.front())
            .map(|(_, report)| *report)
            .unwrap_or_default()
    }
}
