//! Figures of a load: counts, attainment, latencies and cost.

mod latency_record;
mod latency_summary;
mod load_stats;
mod load_summary;
mod outcome_counts;
mod part_stats;
mod part_summary;
mod second_counts;

pub use self::{
    latency_record::LatencyRecord, latency_summary::LatencySummary, load_stats::LoadStats,
    load_summary::LoadSummary, outcome_counts::OutcomeCounts, part_stats::PartStats,
    part_summary::PartSummary, second_counts::SecondCounts,
};
