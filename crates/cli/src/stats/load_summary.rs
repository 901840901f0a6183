use std::{fmt, time::Duration};

use comfy_table::Table;
use serde::Serialize;

use super::{LatencySummary, PartSummary, SecondCounts};
use crate::{load::StageCost, utils};

const HEADING: [&str; 9] = [
    "PART",
    "OFFERED",
    "ATTAINMENT",
    "DONE",
    "IN TIME",
    "FAILED",
    "NOT RUN",
    "UNKNOWN",
    "DROPPED",
];

/// Figures of a whole load.
#[derive(Clone, Debug, Serialize)]
pub struct LoadSummary {
    /// Seconds that were measured.
    pub seconds_measured: f64,
    /// Requests that were due per second.
    pub offered_per_second: f64,
    /// Whole answers per second.
    pub achieved_per_second: f64,
    /// Whole answers within the deadline per second.
    pub goodput_per_second: f64,
    /// Tokens of whole answers per second, the first of each not counted.
    pub tokens_per_second: f64,
    /// Figures of all requests.
    pub all: PartSummary,
    /// Figures by part of the mix.
    pub parts: Vec<PartSummary>,
    /// Cost by stage.
    pub costs: Vec<StageCost>,
    /// Cost of all stages for one whole answer within the deadline.
    pub cost_per_done_in_time: f64,
    /// Counts of each second.
    pub seconds: Vec<SecondCounts>,
}

impl LoadSummary {
    /// Puts the figures together.
    #[must_use]
    #[allow(clippy::cast_precision_loss)] // Counts of one load are far below 2^53.
    pub fn new(
        duration: Duration,
        all: PartSummary,
        parts: Vec<PartSummary>,
        costs: &[StageCost],
        seconds: Vec<SecondCounts>,
    ) -> Self {
        let length = duration.as_secs_f64();
        let per_second = |count: u64| count as f64 / length;
        let cost = costs.iter().fold(0.0, |sum, stage| sum + stage.cost);
        Self {
            seconds_measured: length,
            offered_per_second: per_second(all.offered),
            achieved_per_second: per_second(all.counts.done),
            goodput_per_second: per_second(all.counts.done_in_time),
            tokens_per_second: per_second(all.between_tokens.map_or(0, |gaps| gaps.count)),
            cost_per_done_in_time: cost / all.counts.done_in_time.max(1) as f64,
            all,
            parts,
            costs: costs.to_vec(),
            seconds,
        }
    }

    fn count_table(&self) -> Table {
        let mut table = utils::new_table(&HEADING);
        for part in self.parts.iter().chain([&self.all]) {
            let counts = &part.counts;
            table.add_row([
                part.name.clone(),
                part.offered.to_string(),
                format!("{:.2} %", part.attainment * 100.0),
                counts.done.to_string(),
                counts.done_in_time.to_string(),
                counts.failed.to_string(),
                counts.not_run.to_string(),
                counts.outcome_unknown.to_string(),
                counts.dropped.to_string(),
            ]);
        }
        table
    }

    fn latency_table(&self) -> Table {
        let mut table = utils::new_table(&["LATENCY", "COUNT", ""]);
        let all = &self.all;
        let rows = [
            ("whole answer", all.total),
            ("first token", all.first_token),
            ("between tokens", all.between_tokens),
            ("refusal", all.refusal),
        ];
        for (name, summary) in rows {
            table.add_row(latency_row(name, summary));
        }
        table
    }

    fn cost_table(&self) -> Table {
        let mut table = utils::new_table(&["PIPELINE", "STAGE", "COST"]);
        for stage in &self.costs {
            let cost = format!("{:.3}", stage.cost);
            table.add_row([stage.pipeline.as_str(), stage.stage.as_str(), &cost]);
        }
        table
    }
}

impl fmt::Display for LoadSummary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "{}\n", self.count_table())?;
        writeln!(formatter, "{}\n", self.latency_table())?;
        if !self.costs.is_empty() {
            writeln!(formatter, "{}\n", self.cost_table())?;
        }
        for (code, count) in &self.all.counts.codes {
            writeln!(formatter, "{code}: {count}")?;
        }
        for (message, count) in &self.all.counts.troubles {
            writeln!(formatter, "{message}: {count}")?;
        }
        if self.all.counts.unreachable > 0 {
            writeln!(
                formatter,
                "no node reached: {}",
                self.all.counts.unreachable
            )?;
        }
        if self.all.counts.damaged > 0 {
            writeln!(formatter, "answers not whole: {}", self.all.counts.damaged)?;
        }
        write!(
            formatter,
            "offered {:.1} /s, achieved {:.1} /s, in time {:.1} /s, cost of one answer in time {:.4}",
            self.offered_per_second,
            self.achieved_per_second,
            self.goodput_per_second,
            self.cost_per_done_in_time
        )
    }
}

fn latency_row(name: &str, summary: Option<LatencySummary>) -> [String; 3] {
    match summary {
        Some(summary) => [
            name.to_owned(),
            summary.count.to_string(),
            summary.to_string(),
        ],
        None => [name.to_owned(), "0".to_owned(), String::new()],
    }
}
