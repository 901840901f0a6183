//! Staged requests at the worst load, over all stages of a large deployment.

mod stage_model;

use self::stage_model::{KindStage, LoadBurst, LoadKind, ModelService, StageDay};
use verbenahub_core::{clock::TimeSpan, routes::StageService, units::ByteSize};

fn service(batch: usize, piece_ms: f64, room: u64) -> StageService {
    StageService {
        slots: 1,
        batch,
        call_ms: 150.0,
        piece_ms,
        room: ByteSize::from_bytes(room),
        result_lifetime: TimeSpan::from_secs(4),
    }
}

const fn stage(service: usize, after: Option<usize>, pieces: f64, bytes: u64) -> KindStage {
    KindStage {
        service,
        after,
        pieces,
        spread: 0.0,
        share: 1.0,
        bytes,
        work: 1.0,
    }
}

/// A deployment like the users' larger one: surveys and questions with three
/// stages in a row, chats with one.
fn large_day(bursts: Vec<LoadBurst>, scale: f64, length_ms: u64, seed: u64) -> StageDay {
    let services = vec![
        ModelService::new("a", service(14, 9.2, 63_000_000), 17, 4),
        ModelService::new("b", service(72, 1.8, 13_000_000), 15, 4),
        ModelService::new("c", service(96, 1.3, 1_700_000), 26, 4),
    ];
    let chain = |first: usize| {
        vec![
            KindStage {
                work: 0.3,
                ..stage(0, None, 1.0, 8_000)
            },
            stage(1, Some(first), 6.0, 60_000),
            KindStage {
                spread: 0.4,
                ..stage(2, Some(first + 1), 16.0, 6_000)
            },
        ]
    };
    let mut survey = vec![KindStage {
        share: 0.4,
        spread: 0.6,
        ..stage(0, None, 1.5, 3_000_000)
    }];
    survey.extend(chain(1));
    let chat = vec![KindStage {
        share: 0.7,
        spread: 0.6,
        ..stage(0, None, 2.5, 3_000_000)
    }];
    let kinds = vec![
        LoadKind {
            per_second: 159.0 * scale,
            goal_ms: 1_500,
            dead_ms: 8_000,
            priority: 1,
            worth: (3.2, 0.48),
            stages: survey,
        },
        LoadKind {
            per_second: 181.0 * scale,
            goal_ms: 1_400,
            dead_ms: 5_000,
            priority: 0,
            worth: (1.9, 0.28),
            stages: chain(0),
        },
        LoadKind {
            per_second: 51.0 * scale,
            goal_ms: 690,
            dead_ms: 2_700,
            priority: 2,
            worth: (1.3, 0.2),
            stages: chat,
        },
    ];
    StageDay::new(services, kinds, bursts, length_ms, seed)
}

fn burst(kind: Option<usize>, times: f64, from: u64, to: u64) -> LoadBurst {
    LoadBurst {
        kind,
        times,
        span: from..to,
    }
}

/// Sets of 16 pieces in a second that full calls of the last stage carry: 26
/// targets, 96 pieces in 302 ms, what they read included.
const LAST_STAGE_SETS: f64 = 26.0 * 96.0 / 0.302 / 16.0;

fn part(count: usize, of: usize) -> f64 {
    let number = |count| f64::from(u32::try_from(count).expect("a count"));
    number(count) / number(of)
}

#[test]
fn calm_load_is_on_time() {
    let end = large_day(Vec::new(), 1.0, 4_000, 1).play();
    for kind in &end.kinds {
        assert_eq!(kind.on_time, kind.asked, "{kind:?}");
    }
}

#[test]
fn burst_above_the_last_stage_is_served_as_far_as_that_can_be() {
    let end = large_day(vec![burst(Some(0), 2.54, 1_000, 6_000)], 1.12, 9_000, 1).play();
    let [survey, question, chat] = end.kinds[..] else {
        panic!("three kinds");
    };
    let on_time = f64::from(u32::try_from(survey.on_time + question.on_time).expect("a count"));
    // For five of nine seconds the last stage is full, then it is not.
    let carried = 5.0 * LAST_STAGE_SETS + 4.0 * 1.12 * 340.0;
    assert!(on_time >= 0.8 * carried, "{on_time} of {carried}: {end:?}");
    // Chats have no part in what is full.
    assert!(part(chat.on_time, chat.asked) >= 0.95, "{chat:?}");
    // Nobody is kept waiting in vain, and few for long.
    assert_eq!(survey.failed + question.failed + chat.failed, 0, "{end:?}");
    let refused = survey.refused + question.refused;
    let refused_late = survey.refused_late + question.refused_late;
    assert!(part(refused_late, refused) <= 0.1, "{end:?}");
}

#[test]
fn load_after_a_burst_is_on_time_again() {
    let end = large_day(vec![burst(None, 1.84, 1_000, 5_000)], 1.0, 12_000, 2).play();
    let after = &end.seconds[8..12];
    let (earned, owed) = after.iter().fold((0.0, 0.0), |sum, second| {
        (sum.0 + second.0, sum.1 + second.1)
    });
    assert!(earned >= 0.95 * owed, "{earned} of {owed}: {end:?}");
}

#[test]
fn results_are_read_in_their_zone() {
    let end = large_day(Vec::new(), 1.0, 4_000, 3).play();
    assert!(end.away_bytes <= 0.2 * end.read_bytes, "{end:?}");
}
