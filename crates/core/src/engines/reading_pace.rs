use crate::{clock::ClockTime, policy::numbers};

/// Time constant over which the lasting pace of an engine is learned. Engines
/// differ by their hardware, so it is long; an engine that gets few prompts
/// drifts back to the mean within it and is tried again.
const LASTING_DECAY_MILLIS: f64 = 20_000.0;
/// Time constant over which a passing slow-down is followed. Slow-downs last
/// from half a second to a few seconds.
const RECENT_DECAY_MILLIS: f64 = 1_000.0;
/// Weight of the service's mean against the lasting samples, as the expected
/// time of the prompts that have the same weight: about two long prompts.
const LASTING_PRIOR_MILLIS: f64 = 200.0;
/// Weight of the lasting pace against the recent samples, likewise.
const RECENT_PRIOR_MILLIS: f64 = 150.0;
/// Bounds of a pace. They cover engines that differ by three times and a
/// slow-down of two and a half times, and keep a slow engine in use.
const MIN_PACE: f64 = 0.4;
const MAX_PACE: f64 = 4.0;
/// Longest time of a sample, as a multiple of the expected time, so that one
/// outlier has little effect. A prompt counted as cached that the engine has
/// evicted takes several times as long as expected.
const MAX_SAMPLE_RATIO: f64 = 6.0;
/// Ratio between neighboring classes of paces. Small differences must not
/// change the choice, since each change has shared prompts read again.
const CLASS_RATIO: f64 = 1.25;

/// How long an engine process takes to read prompts, relative to the mean of its
/// service: 2 means twice as long.
///
/// The lasting pace starts at the mean and returns to it without samples. The
/// recent pace starts at the lasting one and returns to it. Choices use classes
/// of these paces, which change only when a pace has left the neighborhood of
/// its class.
#[derive(Debug, Default)]
pub(super) struct ReadingPace {
    lasting: TimeRatio,
    recent: TimeRatio,
    lasting_class: i32,
    class: i32,
    /// When the last sample was taken.
    sampled_at: Option<ClockTime>,
}

/// Sums of the measured and the expected times of samples, at a point in time.
/// They decay from then on.
#[derive(Debug, Default)]
struct TimeRatio {
    taken: f64,
    expected: f64,
    at: ClockTime,
}

impl ReadingPace {
    /// Adds a sample: the time in milliseconds that the engine took for prompts
    /// and the time expected of a mean engine.
    pub(super) fn observe(&mut self, taken: f64, expected: f64, now: ClockTime) {
        let taken = taken.min(expected * MAX_SAMPLE_RATIO);
        self.lasting
            .observe(taken, expected, LASTING_DECAY_MILLIS, now);
        self.recent
            .observe(taken, expected, RECENT_DECAY_MILLIS, now);
        self.sampled_at = Some(now);
    }

    /// When the last sample was taken.
    pub(super) const fn sampled_at(&self) -> Option<ClockTime> {
        self.sampled_at
    }

    /// Moves the classes to the paces at a point in time.
    pub(super) fn update_classes(&mut self, now: ClockTime) {
        if self.sampled_at.is_none() {
            return;
        }
        let lasting = self.lasting_pace(now);
        let pace = self.recent.pace(
            lasting,
            RECENT_PRIOR_MILLIS,
            self.recent.decay(RECENT_DECAY_MILLIS, now),
        );
        self.lasting_class = next_class(self.lasting_class, lasting);
        self.class = next_class(self.class, pace);
    }

    /// The time that the engine takes now relative to the mean.
    pub(super) fn current(&self) -> f64 {
        class_pace(self.class)
    }

    /// The time that the engine takes relative to the mean, without passing
    /// slow-downs.
    pub(super) fn lasting(&self) -> f64 {
        class_pace(self.lasting_class)
    }

    fn lasting_pace(&self, now: ClockTime) -> f64 {
        let decay = self.lasting.decay(LASTING_DECAY_MILLIS, now);
        self.lasting.pace(1.0, LASTING_PRIOR_MILLIS, decay)
    }
}

impl TimeRatio {
    fn observe(&mut self, taken: f64, expected: f64, decay_millis: f64, now: ClockTime) {
        let decay = self.decay(decay_millis, now);
        self.taken = self.taken * decay + taken;
        self.expected = self.expected * decay + expected;
        self.at = now;
    }

    /// The share of the sums that is left at a point in time.
    fn decay(&self, decay_millis: f64, now: ClockTime) -> f64 {
        (-numbers::millis(now.since(self.at)) / decay_millis).exp()
    }

    /// The pace when `prior` weighs as much as samples of `prior_millis`.
    fn pace(&self, prior: f64, prior_millis: f64, decay: f64) -> f64 {
        let taken = prior_millis * prior + self.taken * decay;
        let expected = prior_millis + self.expected * decay;
        (taken / expected).clamp(MIN_PACE, MAX_PACE)
    }
}

/// The class of a pace. It stays while the pace is less than a whole class away.
fn next_class(class: i32, pace: f64) -> i32 {
    let position = pace.ln() / CLASS_RATIO.ln();
    if (position - f64::from(class)).abs() < 1.0 {
        return class;
    }
    nearest(position)
}

// Paces are bounded, so their classes are small.
#[allow(clippy::cast_possible_truncation)]
fn nearest(position: f64) -> i32 {
    position.round() as i32
}

fn class_pace(class: i32) -> f64 {
    CLASS_RATIO.powi(class)
}
