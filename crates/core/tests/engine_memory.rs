//! The scheduler's estimate of cached prefixes and pending prefills, and the expiry
//! of requests.

mod engine_fixture;

use std::sync::Arc;

use self::engine_fixture::{CACHE_CAPACITY, ENGINES, at, engines, progress, query, report};
use fastrand::Rng;
use verbenahub_core::{
    clock::TimeSpan,
    engines::{PromptScheduler, PromptStep},
    ids::TargetId,
    targets::TargetRecord,
    units::TokenCount,
};

#[test]
fn prompt_that_was_evicted_by_others_is_not_cached() {
    let records = engines(1);
    let mut scheduler = PromptScheduler::new(TokenCount::new(30_000));
    let id = records[0].id.clone();
    let assign = |scheduler: &mut PromptScheduler, request: &str, prompt: &str| {
        scheduler.choose(&query(request, prompt, 10_000, 1_000), &records, at(0));
        let pending = scheduler.pending_tokens(&id).get();
        report(scheduler, request, PromptStep::Read, 0);
        pending
    };
    assert_eq!(assign(&mut scheduler, "r1", "p"), 11_000);
    assert_eq!(assign(&mut scheduler, "r2", "p"), 1_000);
    for (request, prompt) in [("r3", "q"), ("r4", "r"), ("r5", "s")] {
        assign(&mut scheduler, request, prompt);
    }
    assert_eq!(assign(&mut scheduler, "r6", "p"), 11_000);
}

#[test]
fn avoided_engine_is_skipped_and_restarted_engine_has_nothing_cached() {
    let mut records = engines(2);
    let mut scheduler = PromptScheduler::new(CACHE_CAPACITY);
    let first = scheduler.choose(&query("r1", "p", 10_000, 100), &records, at(0));
    let first = first.expect("a chosen engine");
    let mut avoiding = query("r2", "p", 10_000, 100);
    avoiding.avoid.push(first.clone());
    assert_ne!(
        scheduler.choose(&avoiding, &records, at(0)),
        Some(first.clone())
    );
    for record in &mut records {
        let restarted = TargetRecord {
            started_at: Some(2),
            ..TargetRecord::clone(record)
        };
        *record = Arc::new(restarted);
    }
    scheduler.choose(&query("r3", "p", 10_000, 100), &records, at(0));
    let pending: u64 = records
        .iter()
        .map(|record| scheduler.pending_tokens(&record.id).get())
        .sum();
    assert_eq!(
        pending, 10_100,
        "tokens pending before the restart do not count"
    );
}

#[test]
fn request_whose_end_is_never_reported_expires() {
    let records = engines(1);
    let mut scheduler = PromptScheduler::new(CACHE_CAPACITY);
    scheduler.choose(&query("r1", "p", 10_000, 100), &records, at(0));
    let later = at(0) + TimeSpan::from_secs(7);
    scheduler.choose(&query("r2", "p", 10_000, 100), &records, later);
    assert_eq!(scheduler.pending_tokens(&records[0].id).get(), 100);
    // A report after the expiry changes nothing.
    scheduler.record_progress(&progress("r1", &records[0].id, PromptStep::Read), later);
    assert_eq!(scheduler.pending_tokens(&records[0].id).get(), 100);
}

#[test]
fn prompts_that_arrive_together_are_prefilled_once_per_engine() {
    let records = engines(ENGINES);
    let mut scheduler = PromptScheduler::new(CACHE_CAPACITY);
    let mut rng = Rng::with_seed(3);
    // A burst in which 200 requests share 20 long prompts and arrive 2 ms apart.
    // An engine prefills each prompt that is sent to it, unless it has done so
    // before.
    let mut free_at = [0; ENGINES];
    let mut sent: Vec<(u64, String, TargetId)> = Vec::new();
    let mut waiting: Vec<(String, String)> = Vec::new();
    let mut cached: Vec<(usize, String)> = Vec::new();
    let mut duplicates = 0;
    let mut done = 0;
    let mut now = 0;
    while done < 200 {
        sent.retain(|(due, request, engine)| {
            if *due <= now {
                let prompt = request.split('-').next().expect("a prompt name").to_owned();
                let index = records.iter().position(|record| record.id == *engine);
                cached.push((index.expect("the engine is a candidate"), prompt));
                scheduler.record_progress(&progress(request, engine, PromptStep::Read), at(now));
                done += 1;
            }
            *due > now
        });
        let mut ready: Vec<String> = Vec::new();
        waiting.retain(|(request, awaited)| {
            let is_waiting = scheduler.is_prefill_pending(awaited);
            if !is_waiting {
                ready.push(request.clone());
            }
            is_waiting
        });
        if now % 2 == 0 && now < 400 {
            let prompt = format!("p{}", rng.u32(0..20));
            let request = format!("{prompt}-{now}");
            scheduler.choose(&query(&request, &prompt, 12_000, 400), &records, at(now));
            match scheduler.awaited_request(&request) {
                Some(awaited) => waiting.push((request.clone(), awaited.to_owned())),
                None => ready.push(request),
            }
        }
        for request in ready {
            let prompt = request.split('-').next().expect("a prompt name").to_owned();
            let engine = scheduler
                .engine_of(&request)
                .expect("the request is assigned")
                .clone();
            let index = records.iter().position(|record| record.id == engine);
            let index = index.expect("the engine is a candidate");
            let is_cached = cached.contains(&(index, prompt.clone()));
            let in_progress = sent.iter();
            let mut in_progress = in_progress.filter(|(_, other, at)| {
                *at == engine && other.split('-').next() == Some(prompt.as_str())
            });
            if !is_cached && in_progress.next().is_some() {
                duplicates += 1;
            }
            let tokens = if is_cached { 400 } else { 12_400 };
            free_at[index] = now.max(free_at[index]) + tokens / 100;
            sent.push((free_at[index], request, engine));
        }
        now += 1;
    }
    assert_eq!(
        duplicates, 0,
        "prompts sent to an engine that was prefilling them"
    );
}

#[test]
fn prompt_whose_prefill_has_failed_is_neither_cached_nor_awaited() {
    let records = engines(1);
    let mut scheduler = PromptScheduler::new(CACHE_CAPACITY);
    let wanted = |request: &str| query(request, "p", 10_000, 100);
    scheduler.choose(&wanted("r1"), &records, at(0));
    scheduler.choose(&wanted("r2"), &records, at(0));
    assert_eq!(scheduler.awaited_request("r2"), Some("r1"));
    report(&mut scheduler, "r1", PromptStep::Failed, 10);
    assert!(!scheduler.is_prefill_pending("r1"));
    scheduler.choose(&wanted("r2"), &records, at(20));
    assert_eq!(scheduler.awaited_request("r2"), None);
    assert_eq!(
        scheduler.pending_tokens(&records[0].id).get(),
        10_100,
        "the whole prompt is prefilled"
    );
    report(&mut scheduler, "r2", PromptStep::Read, 120);
    scheduler.choose(&wanted("r3"), &records, at(130));
    assert_eq!(
        scheduler.awaited_request("r3"),
        None,
        "the shared part is cached"
    );
    assert_eq!(scheduler.pending_tokens(&records[0].id).get(), 100);
}
