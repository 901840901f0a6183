//! Queues of a stage with targets and sets, shared by the queue tests.

#![allow(dead_code)] // Each test file uses a part of this module.

use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    ids::{TargetId, ZoneName},
    routes::StageService,
    staging::{CallEnd, PieceEnd, StageCall, StageQueue, StageSet},
    units::ByteSize,
};

/// A stage like the users' slowest one: a call costs 150 ms, a piece adds little.
pub const SERVICE: StageService = StageService {
    slots: 1,
    batch: 44,
    call_ms: 150.0,
    piece_ms: 2.9,
    room: ByteSize::from_bytes(7_900_000),
    result_lifetime: TimeSpan::from_secs(4),
};
pub const TARGETS: usize = 5;
pub const PIECES: u32 = 8;

pub fn target(number: usize) -> TargetId {
    TargetId::new(&format!("t{number}")).expect("an id")
}

pub fn zone(number: usize) -> ZoneName {
    ZoneName::new(&format!("z{number}")).expect("a zone")
}

pub fn queue(service: StageService, targets: usize) -> StageQueue {
    let mut queue = StageQueue::new(service);
    queue.set_targets((0..targets).map(|number| (target(number), zone(number % 3), 1)));
    queue
}

pub fn set(now: ClockTime, goal_ms: u64, dead_ms: u64) -> StageSet {
    StageSet {
        pieces: PIECES,
        piece_bytes: 0,
        preferred_zone: None,
        priority: 0,
        downstream: Vec::new(),
        goal_at: now + TimeSpan::from_millis(goal_ms),
        deadline: now + TimeSpan::from_millis(dead_ms),
        refusable: true,
        movable: true,
        route: String::new(),
        workspace: String::new(),
    }
}

pub fn results(call: &StageCall) -> CallEnd {
    let names = call.pieces.iter().map(|piece| {
        let name = format!("{}/{}.{}", call.target, piece.set.0, piece.piece);
        PieceEnd::Held(name)
    });
    CallEnd::Answered(names.collect())
}

pub fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}
