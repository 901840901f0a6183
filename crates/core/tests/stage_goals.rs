//! Shares of latency goals that a stage's queue has met and missed by key.

use verbenahub_core::{clock::ClockTime, staging::RecentGoals};

const HALF_LIFE_MS: u64 = 3_000;

/// Guards against a key that is judged by a burst long past.
#[test]
fn missed_goals_count_less_with_time() {
    let mut goals = RecentGoals::default();
    for _ in 0..10 {
        let key = goals.open("r");
        goals.miss(key);
    }
    goals.decay(ClockTime::from_millis(HALF_LIFE_MS));
    for _ in 0..5 {
        let key = goals.open("r");
        goals.meet(key);
    }
    let key = goals.open("r");
    goals.forget(key);
    assert!((goals.missed_share(key) - 0.5).abs() < 0.01);
}

/// Guards against a choice that swings between keys, as goals are met only some
/// time after others were given up.
#[test]
fn open_goals_count_as_met_until_they_are_missed() {
    let mut goals = RecentGoals::default();
    let (first, second) = (goals.open("r"), goals.open("r"));
    goals.miss(first);
    assert!((goals.missed_share(first) - 0.5).abs() < 0.01);
    goals.miss(second);
    assert!(goals.missed_share(first) > 0.99);
}

/// Guards against state that grows with the names that requests carry, and against
/// an entry that is reused while one of its goals is open.
#[test]
fn number_of_keys_is_bounded() {
    let mut goals = RecentGoals::default();
    let open = goals.open("first");
    for number in 0..1_000 {
        let key = goals.open(&format!("k{number}"));
        goals.miss(key);
    }
    assert!(goals.key_count() <= 64);
    goals.decay(ClockTime::from_millis(20 * HALF_LIFE_MS));
    for number in 0..1_000 {
        let key = goals.open(&format!("k{number}"));
        goals.meet(key);
    }
    assert!(goals.missed_share(open) < 0.01);
    goals.miss(open);
    assert!(goals.missed_share(open) > 0.99);
}
