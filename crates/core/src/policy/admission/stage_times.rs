use crate::{
    clock::TimeSpan,
    policy::{DecayedMean, QuantileSketch, numbers},
};

/// Load classes in which times are learned apart.
const CLASSES: usize = 4;
/// Upper bounds of the classes but the last, as calls per slot.
const CLASS_BOUNDS: [f64; CLASSES - 1] = [0.5, 0.9, 1.3];
/// Times that a class must have seen before it is believed.
const SAMPLES: u32 = 20;
/// Weight of one call in the mean work.
const WORK_WEIGHT: f64 = 0.05;

/// Learned times of one stage, by the load of its pool. Lives as long as the
/// process and is shared by threads.
#[derive(Debug, Default)]
pub struct StageTimes {
    classes: [QuantileSketch; CLASSES],
    work: DecayedMean,
}

impl StageTimes {
    /// Notes a call that took `took` at a target while its pool had `load`
    /// calls per slot, `work` of it in execution.
    pub fn record(&self, took: TimeSpan, work: TimeSpan, load: f64) {
        self.classes[class_of(load)].record(took);
        self.work.observe(numbers::millis(work), WORK_WEIGHT);
    }

    /// The time that a `share` of the calls does not exceed at this load;
    /// `unknown` until enough calls were seen.
    #[must_use]
    pub fn time(&self, share: f64, load: f64, unknown: TimeSpan) -> TimeSpan {
        let class = class_of(load);
        let below = self.classes[..=class].iter().rev();
        let above = self.classes[class + 1..].iter();
        let mut nearest = below.chain(above);
        let known = nearest.find(|sketch| sketch.len() >= SAMPLES);
        known
            .and_then(|sketch| sketch.quantile(share))
            .unwrap_or(unknown)
    }

    /// The mean time in execution; `unknown` until a call was seen.
    #[must_use]
    pub fn work(&self, unknown: TimeSpan) -> TimeSpan {
        self.work.get().map_or(unknown, numbers::span)
    }

    /// Lets old times fade. To be called about every 10 s.
    pub fn decay(&self) {
        for sketch in &self.classes {
            sketch.halve();
        }
    }
}

fn class_of(load: f64) -> usize {
    let bounds = CLASS_BOUNDS.iter();
    bounds.filter(|bound| load > **bound).count()
}
