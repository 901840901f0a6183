use std::{fmt::Display, net::SocketAddr, ops::RangeInclusive, path::PathBuf, time::Duration};

use argh::FromArgs;
use verbenahub_core::{clock::TimeSpan, units::RateLimit};

use crate::{
    consts::{IN_FLIGHT_MOST, RATE_MOST, THREADS_MOST},
    exit_status::ExitStatus,
    load::{BurstSpec, LoadMix, LoadPlan, run_load},
    tool_error::ToolError,
    utils,
};

/// Sends requests at a given rate, whether or not earlier ones have been
/// answered, and shows attainment, latencies and cost by stage. Exit code 0
/// when the load ran, whatever the figures; 1 with `--least-attainment` when
/// attainment is lower, or when an answer was not whole.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "load")]
pub struct LoadCommand {
    /// address and port of a node; may be repeated, used in turn
    #[argh(option)]
    pub node: Vec<SocketAddr>,
    /// file with the mix of requests, in TOML
    #[argh(option)]
    pub mix: PathBuf,
    /// requests per second, such as `200 /s`
    #[argh(option)]
    pub rate: RateLimit,
    /// time that is measured (default 10 s)
    #[argh(option, default = "TimeSpan::from_secs(10)")]
    pub duration: TimeSpan,
    /// time at the start that is not measured (default 0 s)
    #[argh(option, default = "TimeSpan::ZERO")]
    pub warmup: TimeSpan,
    /// requests per second during a burst
    #[argh(option)]
    pub burst_rate: Option<RateLimit>,
    /// begin of the burst, from the start of the load (default 0 s)
    #[argh(option, default = "TimeSpan::ZERO")]
    pub burst_start: TimeSpan,
    /// length of the burst (default 1 s)
    #[argh(option, default = "TimeSpan::from_secs(1)")]
    pub burst_length: TimeSpan,
    /// seed of arrivals, bodies and the mix (default 1)
    #[argh(option, default = "1")]
    pub seed: u64,
    /// most requests in flight; more are dropped and counted (default 2000)
    #[argh(option, default = "2_000")]
    pub in_flight: usize,
    /// worker threads (default 2)
    #[argh(option, default = "2")]
    pub threads: usize,
    /// longest time for one request (default 10 s)
    #[argh(option, default = "TimeSpan::from_secs(10)")]
    pub timeout: TimeSpan,
    /// attainment from 0 to 1 below which the exit code is 1
    #[argh(option)]
    pub least_attainment: Option<f64>,
    /// write JSON, with the counts of each second
    #[argh(switch)]
    pub json: bool,
}

impl LoadCommand {
    /// Runs the load.
    ///
    /// # Errors
    ///
    /// Fails when an option or the mix cannot be used.
    pub fn run(self) -> Result<ExitStatus, ToolError> {
        self.check()?;
        let (json, least) = (self.json, self.least_attainment.unwrap_or(0.0));
        let summary = run_load(self.into_plan()?);
        if json {
            utils::print_json(&summary)?;
        } else {
            utils::print_text(&summary.to_string())?;
        }
        if summary.all.attainment < least || summary.all.counts.damaged > 0 {
            Ok(ExitStatus::Unmet)
        } else {
            Ok(ExitStatus::Success)
        }
    }

    fn check(&self) -> Result<(), ToolError> {
        if self.node.is_empty() {
            return Err(ToolError::NoNode);
        }
        let rates = 0.001..=RATE_MOST;
        check_option("rate", &self.rate.as_per_second(), &rates)?;
        if let Some(rate) = self.burst_rate {
            check_option("burst-rate", &rate.as_per_second(), &rates)?;
        }
        let millisecond = TimeSpan::from_millis(1);
        check_option("duration", &self.duration, &(millisecond..=TimeSpan::MAX))?;
        check_option("in-flight", &self.in_flight, &(1..=IN_FLIGHT_MOST))?;
        check_option("threads", &self.threads, &(1..=THREADS_MOST))
    }

    fn into_plan(self) -> Result<LoadPlan, ToolError> {
        let burst = self.burst_rate.map(|rate| BurstSpec {
            rate,
            start: self.burst_start.into(),
            length: self.burst_length.into(),
        });
        Ok(LoadPlan {
            nodes: self.node,
            mix: LoadMix::read(&self.mix)?,
            rate: self.rate,
            burst,
            warmup: Duration::from(self.warmup),
            duration: Duration::from(self.duration),
            seed: self.seed,
            in_flight: self.in_flight,
            threads: self.threads,
            timeout: self.timeout,
        })
    }
}

fn check_option<T>(
    option: &'static str,
    value: &T,
    range: &RangeInclusive<T>,
) -> Result<(), ToolError>
where
    T: PartialOrd + Display,
{
    if range.contains(value) {
        return Ok(());
    }
    Err(ToolError::OptionRange {
        option,
        lowest: range.start().to_string(),
        highest: range.end().to_string(),
    })
}
