use std::fmt;

use super::model_target::as_f64;

/// Counters and measurements of one run.
#[derive(Clone, Debug, Default)]
pub struct RunStats {
    /// Number of requests that arrived.
    pub arrived: u32,
    /// Number of requests that were answered in time.
    pub in_time: u32,
    /// Number of requests that were refused at admission.
    pub refused: u32,
    /// Number of requests that were admitted but not answered in time.
    pub late: u32,
    /// Latencies of the requests answered in time, in milliseconds.
    pub latencies: Vec<u64>,
    /// Number of arrivals of each workspace.
    pub arrived_by_workspace: Vec<u32>,
    /// Number of requests of each workspace that were answered in time.
    pub in_time_by_workspace: Vec<u32>,
    /// Time for which engines were busy, in milliseconds.
    pub busy_ms: f64,
    /// Mean engine time that a request needs, in milliseconds.
    pub mean_work_ms: f64,
    /// Number of requests that the engines can serve in the measured time.
    pub capacity: f64,
}

impl RunStats {
    /// Percentage of the requests that were answered in time.
    pub fn attainment(&self) -> f64 {
        percent(self.in_time, self.arrived)
    }

    /// Requests answered in time, as a percentage of the capacity.
    pub fn goodput(&self) -> f64 {
        100.0 * f64::from(self.in_time) / self.capacity
    }

    /// Engine time spent per request answered in time, relative to the engine time
    /// that a request needs.
    pub fn cost(&self) -> f64 {
        self.busy_ms / (f64::from(self.in_time.max(1)) * self.mean_work_ms)
    }

    /// Lowest attainment among the workspaces except the first, which sends the
    /// burst.
    pub fn worst_quiet_attainment(&self) -> f64 {
        let workspaces = self
            .in_time_by_workspace
            .iter()
            .zip(&self.arrived_by_workspace)
            .skip(1);
        workspaces
            .map(|(in_time, arrived)| percent(*in_time, *arrived))
            .fold(100.0, f64::min)
    }

    /// Percentage of the requests that were refused.
    pub fn refused_percent(&self) -> f64 {
        percent(self.refused, self.arrived)
    }
}

impl RunStats {
    /// Percentage of the requests that were admitted but not answered in time.
    pub fn late_percent(&self) -> f64 {
        percent(self.late, self.arrived)
    }

    /// 95th percentile of the latencies of requests answered in time, in
    /// milliseconds.
    pub fn p95_latency(&self) -> f64 {
        let mut latencies = self.latencies.clone();
        latencies.sort_unstable();
        let rank = latencies.len() * 95 / 100;
        latencies.get(rank).map_or(0.0, |latency| as_f64(*latency))
    }
}

fn percent(part: u32, whole: u32) -> f64 {
    100.0 * f64::from(part) / f64::from(whole.max(1))
}

/// Mean and range of a figure over the seeds.
pub struct SeedRange {
    mean: f64,
    low: f64,
    high: f64,
}

impl SeedRange {
    pub fn of<I>(values: I) -> Self
    where
        I: Iterator<Item = f64>,
    {
        let mut count = 0.0;
        let mut sum = 0.0;
        let mut low = f64::INFINITY;
        let mut high = f64::NEG_INFINITY;
        for value in values {
            count += 1.0;
            sum += value;
            low = low.min(value);
            high = high.max(value);
        }
        let mean = sum / count;
        Self { mean, low, high }
    }
}

impl fmt::Display for SeedRange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{:.2} ({:.2}..{:.2})",
            self.mean, self.low, self.high
        )
    }
}
