use crate::{
    clock::TimeSpan,
    policy::{DecayedMean, QuantileSketch, numbers},
};

/// Number of load classes, each with its own distribution of times.
const LOAD_CLASSES: usize = 4;
/// Upper bounds of all classes but the last, in calls per slot.
const LOAD_CLASS_BOUNDS: [f64; LOAD_CLASSES - 1] = [0.5, 0.9, 1.3];
/// Number of calls that a class must have counted before it is used.
const MIN_SAMPLES: u32 = 20;
/// Weight of one call in the mean work.
const WORK_WEIGHT: f64 = 0.05;

/// Learned times of one stage, by the load of its pool. Kept for the life of
/// the process and shared by threads.
#[derive(Debug, Default)]
pub struct StageTimes {
    classes: [QuantileSketch; LOAD_CLASSES],
    work: DecayedMean,
}

impl StageTimes {
    /// Records a call that took `took` at a target, `work` of it in execution,
    /// while its pool had `load` calls per slot.
    pub fn record(&self, took: TimeSpan, work: TimeSpan, load: f64) {
        self.classes[load_class(load)].record(took);
        self.work.observe(numbers::millis(work), WORK_WEIGHT);
    }

    /// The time that a `share` (0 to 1) of the calls does not exceed at `load`
    /// calls per slot. Uses the nearest lower class with enough calls, else the
    /// nearest higher one; `fallback` if there is none.
    #[must_use]
    pub fn time(&self, share: f64, load: f64, fallback: TimeSpan) -> TimeSpan {
        let class = load_class(load);
        let lower = self.classes[..=class].iter().rev();
        let higher = self.classes[class + 1..].iter();
        let mut nearest = lower.chain(higher);
        let learned = nearest.find(|sketch| sketch.len() >= MIN_SAMPLES);
        learned
            .and_then(|sketch| sketch.quantile(share))
            .unwrap_or(fallback)
    }

    /// The mean time in execution; `fallback` until a call was recorded.
    #[must_use]
    pub fn work(&self, fallback: TimeSpan) -> TimeSpan {
        self.work.get().map_or(fallback, numbers::span)
    }

    /// Halves the counts of the recorded times, so that newer ones prevail. To
    /// be called about every 10 s.
    pub fn decay(&self) {
        for sketch in &self.classes {
            sketch.halve();
        }
    }
}

fn load_class(load: f64) -> usize {
    let bounds = LOAD_CLASS_BOUNDS.iter();
    bounds.filter(|bound| load > **bound).count()
}
