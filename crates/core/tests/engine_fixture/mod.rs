//! Engines, queries and progress reports for the tests of the prompt scheduler.

#![allow(dead_code)] // Each test file uses only some of these items.

use std::sync::Arc;

use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    engines::{EngineQuery, PromptPart, PromptProgress, PromptScheduler, PromptStep},
    ids::{EraNumber, PoolName, StoreRevision, TargetId, ZoneName},
    targets::{TargetRecord, TargetState},
    units::TokenCount,
};

pub const CACHE_CAPACITY: TokenCount = TokenCount::new(845_000);
pub const ENGINES: usize = 9;

pub fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

pub fn engines(count: usize) -> Vec<Arc<TargetRecord>> {
    let record = |number: usize| TargetRecord {
        id: TargetId::new(&format!("e{number}")).expect("a valid target identifier"),
        service: PoolName::new("pool").expect("a valid pool name"),
        address: "10.0.0.1:80".parse().expect("a valid address"),
        zone: ZoneName::new(&format!("z{}", number % 4)).expect("a valid zone name"),
        slots: 128,
        state: TargetState::Ready,
        started_at: Some(1),
        revision: StoreRevision::new(EraNumber::ZERO, 1),
        cold_left: TimeSpan::ZERO,
        write_number: None,
    };
    (0..count).map(|number| Arc::new(record(number))).collect()
}

pub fn query(request: &str, prompt: &str, shared: u64, own: u64) -> EngineQuery {
    EngineQuery {
        service: PoolName::new("pool").expect("a valid pool name"),
        request: request.to_owned(),
        shared: vec![PromptPart::new(prompt, TokenCount::new(shared))],
        own: TokenCount::new(own),
        results: Vec::new(),
        avoid: Vec::new(),
    }
}

pub fn progress(request: &str, engine: &TargetId, step: PromptStep) -> PromptProgress {
    PromptProgress {
        request: request.to_owned(),
        engine: engine.clone(),
        started_at: Some(1),
        step,
        first_event_after: None,
        work_percent: None,
    }
}

/// Reports a step of a request at the engine that it is assigned to.
pub fn report(scheduler: &mut PromptScheduler, request: &str, step: PromptStep, now: u64) {
    let engine = scheduler
        .engine_of(request)
        .expect("the request is assigned")
        .clone();
    scheduler.record_progress(&progress(request, &engine, step), at(now));
}
