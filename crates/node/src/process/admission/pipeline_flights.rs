use std::sync::{
    Arc,
    atomic::{AtomicU32, Ordering},
};

use verbenahub_core::{ids::PipelineName, records::PipelineRecord};

use crate::process::GrowingMap;

/// Counts the requests in flight at this node by pipeline, and holds them to
/// the limits of the records.
#[derive(Debug, Default)]
pub struct PipelineFlights {
    counts: GrowingMap<PipelineName, AtomicU32>,
}

/// The place of one request in flight; given up when dropped.
#[derive(Debug)]
pub struct PipelineFlight(Arc<AtomicU32>);

impl PipelineFlights {
    /// Takes a place for a request; nothing when the pipeline has as many
    /// requests in flight as its record allows.
    #[must_use]
    pub fn enter(&self, record: &PipelineRecord) -> Option<PipelineFlight> {
        let count = self.counts.get(&record.name);
        let add = |flights: u32| (flights < record.in_flight_limit).then_some(flights + 1);
        let entered = count.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
        entered.ok().map(|_| PipelineFlight(count))
    }
}

impl Drop for PipelineFlight {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
