use std::{
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use smol::Timer;
use verbenahub_core::clock::{ClockTime, TimeSpan};

use super::{FaultSpec, StandinClock};

/// The faults of one stand-in, switched while it runs.
#[derive(Debug)]
pub struct FaultSwitches {
    clock: StandinClock,
    spec: Mutex<FaultSpec>,
    frozen_until: AtomicU64,
    silent_below: AtomicU64,
    silent_spared: AtomicU64,
    random: Mutex<fastrand::Rng>,
}

impl FaultSwitches {
    /// Creates switches that are all off.
    #[must_use]
    pub fn new(clock: StandinClock, seed: u64) -> Self {
        Self {
            clock,
            spec: Mutex::default(),
            frozen_until: AtomicU64::new(0),
            silent_below: AtomicU64::new(0),
            silent_spared: AtomicU64::new(u64::MAX),
            random: Mutex::new(fastrand::Rng::with_seed(seed)),
        }
    }

    /// Puts the faults in force.
    ///
    /// `next_connection` is the number that the next connection will get;
    /// `own_connection` carries this very call and does not go silent.
    pub fn set(&self, spec: FaultSpec, next_connection: u64, own_connection: u64) {
        let thaw = spec.freeze_ms.map_or(ClockTime::ZERO, |millis| {
            self.clock.now() + TimeSpan::from_millis(millis)
        });
        self.frozen_until.store(thaw.as_millis(), Ordering::SeqCst);
        let below = if spec.silent_open_connections {
            next_connection
        } else {
            0
        };
        self.silent_spared.store(own_connection, Ordering::SeqCst);
        self.silent_below.store(below, Ordering::SeqCst);
        *self.spec.lock().unwrap_or_else(PoisonError::into_inner) = spec;
    }

    /// The faults in force.
    #[must_use]
    pub fn spec(&self) -> FaultSpec {
        *self.spec.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether nothing is answered on a connection.
    #[must_use]
    pub fn is_silent(&self, connection: u64) -> bool {
        connection < self.silent_below.load(Ordering::SeqCst)
            && connection != self.silent_spared.load(Ordering::SeqCst)
    }

    /// Waits until the stand-in is not frozen.
    pub async fn thawed(&self) {
        loop {
            let thaw = ClockTime::from_millis(self.frozen_until.load(Ordering::SeqCst));
            let rest = self.clock.now().until(thaw);
            if rest.is_zero() {
                return;
            }
            Timer::after(rest.into()).await;
        }
    }

    /// A time in execution under the present slowness.
    #[must_use]
    pub fn scaled(&self, duration: Duration) -> Duration {
        let factor = self.spec().slow_factor.unwrap_or(1.0).clamp(0.0, 1e6);
        duration.mul_f64(factor)
    }

    /// Waits for a time in execution under the present faults.
    pub async fn work(&self, duration: Duration) {
        Timer::after(self.scaled(duration)).await;
        self.thawed().await;
    }

    /// Waits as long as answers are late.
    pub async fn late(&self) {
        if let Some(millis) = self.spec().late_ms {
            Timer::after(Duration::from_millis(millis)).await;
        }
    }

    /// Decides whether the next call fails.
    #[must_use]
    pub fn fails_next(&self) -> bool {
        let share = self.spec().fail_share.unwrap_or(0.0);
        share > 0.0 && self.draw() < share
    }

    /// Decides whether the next call fails after it has run.
    #[must_use]
    pub fn fails_after_run(&self) -> bool {
        let share = self.spec().fail_after_run_share.unwrap_or(0.0);
        share > 0.0 && self.draw() < share
    }

    /// Decides whether the next answer is that of another request.
    #[must_use]
    pub fn alien_next(&self) -> bool {
        let share = self.spec().alien_share.unwrap_or(0.0);
        share > 0.0 && self.draw() < share
    }

    /// Takes the order to break a stream, which holds once.
    #[must_use]
    pub fn take_break(&self) -> Option<u64> {
        let mut spec = self.spec.lock().unwrap_or_else(PoisonError::into_inner);
        spec.break_stream_at.take()
    }

    /// A number from 0 to 1.
    #[must_use]
    pub fn draw(&self) -> f64 {
        let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
        random.f64()
    }

    /// A time that differs from `mean` by at most the share `jitter`.
    #[must_use]
    pub fn jittered(&self, mean: Duration, jitter: f64) -> Duration {
        let spread = jitter.clamp(0.0, 1.0) * (2.0 * self.draw() - 1.0);
        mean.mul_f64(1.0 + spread)
    }
}
