//! Staged requests under peak load, simulated over all stages of a large
//! deployment.

mod stage_model;

use self::stage_model::{
    KindStage, LoadBurst, RequestKind, SimulatedService, SimulationResult, StageSimulation,
};
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
        variation: 0.0,
        probability: 1.0,
        bytes,
        time_factor: 1.0,
    }
}

/// A large deployment modelled on the larger one of the users: surveys and
/// questions with three consecutive stages, chats with one.
fn large_deployment(
    bursts: Vec<LoadBurst>,
    scale: f64,
    length_ms: u64,
    seed: u64,
) -> StageSimulation {
    let services = vec![
        SimulatedService::new("a", service(14, 9.2, 63_000_000), 17, 4),
        SimulatedService::new("b", service(72, 1.8, 13_000_000), 15, 4),
        SimulatedService::new("c", service(96, 1.3, 1_700_000), 26, 4),
    ];
    let chain = |first: usize| {
        vec![
            KindStage {
                time_factor: 0.3,
                ..stage(0, None, 1.0, 8_000)
            },
            stage(1, Some(first), 6.0, 60_000),
            KindStage {
                variation: 0.4,
                ..stage(2, Some(first + 1), 16.0, 6_000)
            },
        ]
    };
    let mut survey = vec![KindStage {
        probability: 0.4,
        variation: 0.6,
        ..stage(0, None, 1.5, 3_000_000)
    }];
    survey.extend(chain(1));
    let chat = vec![KindStage {
        probability: 0.7,
        variation: 0.6,
        ..stage(0, None, 2.5, 3_000_000)
    }];
    let kinds = vec![
        RequestKind {
            route: "survey",
            workspace: "w",
            per_second: 159.0 * scale,
            goal_ms: 1_500,
            deadline_ms: 8_000,
            priority: 1,
            value: (3.2, 0.48),
            stages: survey,
        },
        RequestKind {
            route: "question",
            workspace: "w",
            per_second: 181.0 * scale,
            goal_ms: 1_400,
            deadline_ms: 5_000,
            priority: 0,
            value: (1.9, 0.28),
            stages: chain(0),
        },
        RequestKind {
            route: "chat",
            workspace: "w",
            per_second: 51.0 * scale,
            goal_ms: 690,
            deadline_ms: 2_700,
            priority: 2,
            value: (1.3, 0.2),
            stages: chat,
        },
    ];
    StageSimulation::new(services, kinds, bursts, length_ms, seed)
}

/// The stages of the second deployment at a burst of all routes. The last stage is
/// saturated, and its calls take longer than published, as measured there.
fn second_deployment(factor: f64, seed: u64) -> StageSimulation {
    let mut services = vec![
        SimulatedService::new("a", service(14, 9.2, 80_000_000), 18, 4),
        SimulatedService::new("b", service(60, 2.1, 11_000_000), 15, 4),
        SimulatedService::new("c", service(96, 1.3, 1_700_000), 17, 4),
    ];
    services[2].slowdown = LAST_STAGE_SLOWDOWN;
    let chain = |first: usize| {
        vec![
            stage(0, None, 1.0, 8_000),
            stage(1, Some(first), 8.0, 60_000),
            stage(2, Some(first + 1), 16.0, 6_000),
        ]
    };
    let large = |probability, pieces| KindStage {
        probability,
        variation: 0.6,
        ..stage(0, None, pieces, 3_000_000)
    };
    let mut chat = vec![large(0.4, 1.5)];
    chat.extend(chain(1));
    let kind = |route, per_second, goal_ms, deadline_ms, priority, value, stages| RequestKind {
        route,
        workspace: "w",
        per_second,
        goal_ms,
        deadline_ms,
        priority,
        value,
        stages,
    };
    let review = vec![large(0.7, 2.5)];
    let kinds = vec![
        kind("review", 162.0, 920, 6_000, 1, (1.3, 0.2), review),
        kind("brief", 181.0, 1_500, 6_000, 0, (3.2, 0.48), chain(0)),
        kind("chat", 39.0, 1_400, 15_000, 2, (1.9, 0.28), chat),
    ];
    let bursts = vec![burst(None, factor, 2_000, 10_000)];
    StageSimulation::new(services, kinds, bursts, 12_000, seed)
}

/// Share of the requests of a kind that were on time, of those that arrived in the
/// last six of the eight seconds of the burst.
fn burst_share(result: &SimulationResult, kind: usize) -> f64 {
    let seconds = result.goals[kind][4..10].iter();
    let (on_time, all) = seconds.fold((0, 0), |sum, goals| (sum.0 + goals.0, sum.1 + goals.1));
    fraction(on_time, all)
}

fn burst(kind: Option<usize>, factor: f64, from: u64, to: u64) -> LoadBurst {
    LoadBurst {
        kind,
        factor,
        span: from..to,
    }
}

/// Sets of 16 pieces per second that full calls of the last stage process: 26
/// targets, 96 pieces in 302 ms including the time to read their inputs.
const LAST_STAGE_SETS_PER_SECOND: f64 = 26.0 * 96.0 / 0.302 / 16.0;

/// Time of a full call of the last stage over the published one, as measured on a
/// day of high load.
const LAST_STAGE_SLOWDOWN: f64 = 333.0 / 275.0;

/// Largest difference between the shares of goals met by the most and the least
/// urgent route.
const ROUTE_GAP: f64 = 0.15;
/// Largest difference between the shares of goals met by two workspaces.
const WORKSPACE_GAP: f64 = 0.1;

fn fraction(count: usize, of: usize) -> f64 {
    let number = |count| f64::from(u32::try_from(count).expect("the count fits 32 bits"));
    number(count) / number(of)
}

#[test]
fn normal_load_is_on_time() {
    let result = large_deployment(Vec::new(), 1.0, 4_000, 1).run();
    for kind in &result.kinds {
        assert_eq!(kind.on_time, kind.requests, "{kind:?}");
    }
}

#[test]
fn burst_above_the_last_stage_is_served_near_its_capacity() {
    let result = large_deployment(vec![burst(Some(0), 2.54, 1_000, 6_000)], 1.12, 9_000, 1).run();
    let [survey, question, chat] = result.kinds[..] else {
        panic!("three kinds");
    };
    let on_time = f64::from(
        u32::try_from(survey.on_time + question.on_time).expect("the count fits 32 bits"),
    );
    // The last stage is saturated for five of nine seconds.
    let carried = 5.0 * LAST_STAGE_SETS_PER_SECOND + 4.0 * 1.12 * 340.0;
    assert!(
        on_time >= 0.8 * carried,
        "{on_time} of {carried}: {result:?}"
    );
    // Chats do not use the saturated stage.
    assert!(fraction(chat.on_time, chat.requests) >= 0.95, "{chat:?}");
    // No request waits in vain, and few refusals come late.
    assert_eq!(
        survey.failed + question.failed + chat.failed,
        0,
        "{result:?}"
    );
    let refused = survey.refused + question.refused;
    let refused_late = survey.refused_late + question.refused_late;
    assert!(fraction(refused_late, refused) <= 0.1, "{result:?}");
}

#[test]
fn load_after_a_burst_is_on_time_again() {
    let result = large_deployment(vec![burst(None, 1.84, 1_000, 5_000)], 1.0, 12_000, 2).run();
    let after = &result.seconds[8..12];
    let (earned, offered) = after.iter().fold((0.0, 0.0), |sum, second| {
        (sum.0 + second.0, sum.1 + second.1)
    });
    assert!(
        earned >= 0.95 * offered,
        "{earned} of {offered}: {result:?}"
    );
}

/// Guards against choosing the late sets by cost and priority alone: each request of
/// the smallest and least urgent route then misses its goal in a burst.
#[test]
fn smallest_route_is_on_time_about_as_often_as_others_in_a_burst() {
    for factor in [1.7, 2.2, 3.0] {
        let shares = [1, 2, 3].map(|seed| {
            let result = second_deployment(factor, seed).run();
            (burst_share(&result, 1), burst_share(&result, 2))
        });
        let brief = shares.iter().map(|(brief, _)| brief).sum::<f64>() / 3.0;
        let chat = shares.iter().map(|(_, chat)| chat).sum::<f64>() / 3.0;
        assert!(chat >= brief - ROUTE_GAP, "x{factor}: {shares:?}");
        // The more urgent route is not worse off.
        assert!(chat <= brief, "x{factor}: {shares:?}");
    }
}

/// Guards against a workspace that takes all places by many small requests.
#[test]
fn workspace_with_ten_times_the_traffic_leaves_the_others_their_share() {
    let kind = |workspace, per_second, pieces| RequestKind {
        route: "r",
        workspace,
        per_second,
        goal_ms: 1_200,
        deadline_ms: 6_000,
        priority: 1,
        value: (1.0, 0.15),
        stages: vec![stage(0, None, pieces, 6_000)],
    };
    let services = vec![SimulatedService::new(
        "c",
        service(96, 1.3, 17_000_000),
        16,
        4,
    )];
    // Two and a half times the capacity of full calls, 5,590 pieces per second.
    let kinds = vec![
        kind("large", 1_000.0, 10.0),
        kind("small", 100.0, 16.0),
        kind("other", 100.0, 16.0),
    ];
    let result = StageSimulation::new(services, kinds, Vec::new(), 12_000, 1).run();
    let [large, small, other] = [0, 1, 2].map(|kind| burst_share(&result, kind));
    for share in [small, other] {
        assert!(
            (share - large).abs() <= WORKSPACE_GAP,
            "{large} {small} {other}"
        );
    }
}

#[test]
fn results_are_read_in_their_zone() {
    let result = large_deployment(Vec::new(), 1.0, 4_000, 3).run();
    assert!(
        result.cross_zone_bytes <= 0.2 * result.read_bytes,
        "{result:?}"
    );
}
