//! What engines hold, what they are reading, and what is forgotten.

mod engine_fixture;

use std::sync::Arc;

use self::engine_fixture::{ENGINES, MEMORY, ask, at, engines, news, tell};
use fastrand::Rng;
use verbenahub_core::{
    clock::TimeSpan,
    engines::{PromptScheduler, PromptStep},
    ids::TargetId,
    targets::TargetRecord,
    units::TokenCount,
};

#[test]
fn prompt_that_others_have_pushed_out_is_not_held() {
    let records = engines(1);
    let mut book = PromptScheduler::new(TokenCount::new(30_000));
    let id = records[0].id.clone();
    let pending_of = |book: &mut PromptScheduler, request: &str, prompt: &str| {
        book.choose(&ask(request, prompt, 10_000, 1_000), &records, at(0));
        let pending = book.pending_tokens(&id).get();
        tell(book, request, PromptStep::Read, 0);
        pending
    };
    assert_eq!(pending_of(&mut book, "r1", "p"), 11_000);
    assert_eq!(pending_of(&mut book, "r2", "p"), 1_000);
    for (request, prompt) in [("r3", "q"), ("r4", "r"), ("r5", "s")] {
        pending_of(&mut book, request, prompt);
    }
    assert_eq!(pending_of(&mut book, "r6", "p"), 11_000);
}

#[test]
fn engine_that_must_be_avoided_or_has_started_again_is_passed_over_or_empty() {
    let mut records = engines(2);
    let mut book = PromptScheduler::new(MEMORY);
    let first = book.choose(&ask("r1", "p", 10_000, 100), &records, at(0));
    let first = first.expect("an engine");
    let mut avoiding = ask("r2", "p", 10_000, 100);
    avoiding.avoid.push(first.clone());
    assert_ne!(book.choose(&avoiding, &records, at(0)), Some(first.clone()));
    for record in &mut records {
        let again = TargetRecord {
            started_at: Some(2),
            ..TargetRecord::clone(record)
        };
        *record = Arc::new(again);
    }
    book.choose(&ask("r3", "p", 10_000, 100), &records, at(0));
    let pending: u64 = records
        .iter()
        .map(|record| book.pending_tokens(&record.id).get())
        .sum();
    assert_eq!(
        pending, 10_100,
        "what was pending at the runs before is gone"
    );
}

#[test]
fn end_that_is_never_told_is_forgotten_after_a_while() {
    let records = engines(1);
    let mut book = PromptScheduler::new(MEMORY);
    book.choose(&ask("r1", "p", 10_000, 100), &records, at(0));
    let later = at(0) + TimeSpan::from_secs(7);
    book.choose(&ask("r2", "p", 10_000, 100), &records, later);
    assert_eq!(book.pending_tokens(&records[0].id).get(), 100);
    // Told after all, it changes nothing.
    book.record_progress(&news("r1", &records[0].id, PromptStep::Read), later);
    assert_eq!(book.pending_tokens(&records[0].id).get(), 100);
}

#[test]
fn prompts_that_come_together_are_read_once_by_one_engine() {
    let records = engines(ENGINES);
    let mut book = PromptScheduler::new(MEMORY);
    let mut rng = Rng::with_seed(3);
    // A burst in which 200 requests share 20 long prompts and come 2 ms apart.
    // An engine reads each prompt that is sent to it, unless it has read it.
    let mut free_at = [0; ENGINES];
    let mut sent: Vec<(u64, String, TargetId)> = Vec::new();
    let mut waiting: Vec<(String, String)> = Vec::new();
    let mut read: Vec<(usize, String)> = Vec::new();
    let mut twice = 0;
    let mut done = 0;
    let mut now = 0;
    while done < 200 {
        sent.retain(|(due, request, engine)| {
            if *due <= now {
                let prompt = request.split('-').next().expect("a prompt").to_owned();
                let place = records.iter().position(|record| record.id == *engine);
                read.push((place.expect("one of them"), prompt));
                book.record_progress(&news(request, engine, PromptStep::Read), at(now));
                done += 1;
            }
            *due > now
        });
        let mut ready: Vec<String> = Vec::new();
        waiting.retain(|(request, reader)| {
            let waits = book.is_prefill_pending(reader);
            if !waits {
                ready.push(request.clone());
            }
            waits
        });
        if now % 2 == 0 && now < 400 {
            let prompt = format!("p{}", rng.u32(0..20));
            let request = format!("{prompt}-{now}");
            book.choose(&ask(&request, &prompt, 12_000, 400), &records, at(now));
            match book.awaited_request(&request) {
                Some(reader) => waiting.push((request.clone(), reader.to_owned())),
                None => ready.push(request),
            }
        }
        for request in ready {
            let prompt = request.split('-').next().expect("a prompt").to_owned();
            let engine = book.engine_of(&request).expect("a place").clone();
            let place = records.iter().position(|record| record.id == engine);
            let place = place.expect("one of them");
            let is_held = read.contains(&(place, prompt.clone()));
            let others = sent.iter();
            let mut others = others.filter(|(_, other, at)| {
                *at == engine && other.split('-').next() == Some(prompt.as_str())
            });
            if !is_held && others.next().is_some() {
                twice += 1;
            }
            let tokens = if is_held { 400 } else { 12_400 };
            free_at[place] = now.max(free_at[place]) + tokens / 100;
            sent.push((free_at[place], request, engine));
        }
        now += 1;
    }
    assert_eq!(twice, 0, "prompts sent to an engine that was reading them");
}

#[test]
fn prompt_whose_reading_has_failed_is_neither_held_nor_waited_for() {
    let records = engines(1);
    let mut book = PromptScheduler::new(MEMORY);
    let wanted = |request: &str| ask(request, "p", 10_000, 100);
    book.choose(&wanted("r1"), &records, at(0));
    book.choose(&wanted("r2"), &records, at(0));
    assert_eq!(book.awaited_request("r2"), Some("r1"));
    tell(&mut book, "r1", PromptStep::Failed, 10);
    assert!(!book.is_prefill_pending("r1"));
    book.choose(&wanted("r2"), &records, at(20));
    assert_eq!(book.awaited_request("r2"), None);
    assert_eq!(
        book.pending_tokens(&records[0].id).get(),
        10_100,
        "it reads all"
    );
    tell(&mut book, "r2", PromptStep::Read, 120);
    book.choose(&wanted("r3"), &records, at(130));
    assert_eq!(book.awaited_request("r3"), None, "it is held");
    assert_eq!(book.pending_tokens(&records[0].id).get(), 100);
}
