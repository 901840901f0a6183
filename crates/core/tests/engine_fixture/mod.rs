//! Engines, prompts and news of them, for the tests of their choice.

#![allow(dead_code)] // Each test file uses a part of this module.

use std::sync::Arc;

use verbenahub_core::{
    clock::ClockTime,
    engines::{EngineQuery, PromptPart, PromptProgress, PromptScheduler, PromptStep},
    ids::{EraNumber, PoolName, StoreRevision, TargetId, ZoneName},
    targets::{TargetRecord, TargetState},
    units::TokenCount,
};

pub const MEMORY: TokenCount = TokenCount::new(845_000);
pub const ENGINES: usize = 9;

pub fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

pub fn engines(count: usize) -> Vec<Arc<TargetRecord>> {
    let record = |number: usize| TargetRecord {
        id: TargetId::new(&format!("e{number}")).expect("an id"),
        service: PoolName::new("pool").expect("a name"),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: ZoneName::new(&format!("z{}", number % 4)).expect("a name"),
        slots: 128,
        state: TargetState::Ready,
        started_at: Some(1),
        revision: StoreRevision::new(EraNumber::ZERO, 1),
    };
    (0..count).map(|number| Arc::new(record(number))).collect()
}

pub fn ask(request: &str, prompt: &str, shared: u64, own: u64) -> EngineQuery {
    EngineQuery {
        service: PoolName::new("pool").expect("a name"),
        request: request.to_owned(),
        shared: vec![PromptPart::new(prompt, TokenCount::new(shared))],
        own: TokenCount::new(own),
        results: Vec::new(),
        avoid: Vec::new(),
    }
}

pub fn news(request: &str, engine: &TargetId, step: PromptStep) -> PromptProgress {
    PromptProgress {
        request: request.to_owned(),
        engine: engine.clone(),
        started_at: Some(1),
        step,
    }
}

/// Tells a book how far the engine that it has chosen for a request has come.
pub fn tell(book: &mut PromptScheduler, request: &str, step: PromptStep, now: u64) {
    let engine = book.engine_of(request).expect("a place").clone();
    book.record_progress(&news(request, &engine, step), at(now));
}
