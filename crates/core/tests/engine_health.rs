//! Engines that fail, that can't be reached and that come back.

mod engine_fixture;

use self::engine_fixture::{CACHE_CAPACITY, ENGINES, at, engines, progress, query, report};
use verbenahub_core::{
    engines::{PromptProgress, PromptScheduler, PromptStep},
    ids::TargetId,
};

#[test]
fn engine_that_fails_twice_gets_nothing_for_a_while() {
    let records = engines(ENGINES);
    let mut book = PromptScheduler::new(CACHE_CAPACITY);
    let first = book.choose(&query("r1", "p", 10_000, 100), &records, at(0));
    report(&mut book, "r1", PromptStep::Failed, 0);
    let again = book.choose(&query("r2", "p", 10_000, 100), &records, at(0));
    assert_eq!(again, first, "one failure may be the request's");
    report(&mut book, "r2", PromptStep::Failed, 0);
    let other = book.choose(&query("r3", "p", 10_000, 100), &records, at(10));
    assert_ne!(other, first);
    let back = book.choose(&query("r4", "q", 10_000, 100), &records[..1], at(10));
    assert_eq!(back, Some(records[0].id.clone()), "the only one is used");
}

#[test]
fn engine_that_is_gone_is_tried_by_one_request_at_a_time() {
    let records = engines(ENGINES);
    let mut book = PromptScheduler::new(CACHE_CAPACITY);
    // Prompts that no engine holds.
    let wanted = |number: u64| query(&format!("r{number}"), &format!("p{number}"), 10_000, 100);
    let first = book.choose(&wanted(0), &records, at(0)).expect("one");
    report(&mut book, "r0", PromptStep::Gone, 0);
    // It crashes and stays away for ten seconds, in which a request comes every
    // 20 ms. What it refuses is known a moment later.
    let mut refused = 0;
    for number in 1..500 {
        let now = at(number * 20);
        let chosen = book.choose(&wanted(number), &records, now).expect("one");
        if chosen == first {
            refused += 1;
        }
        // Others have much to read, so one that has nothing would draw them all.
        let told = |ago: u64| number.checked_sub(ago).filter(|earlier| *earlier > 0);
        let at_first = told(5).map(|earlier| format!("r{earlier}"));
        let at_first = at_first.filter(|request| book.engine_of(request) == Some(&first));
        if let Some(request) = at_first {
            report(&mut book, &request, PromptStep::Gone, number * 20);
        }
        let at_others = told(40).map(|earlier| format!("r{earlier}"));
        let at_others = at_others.filter(|request| book.engine_of(request).is_some());
        if let Some(request) = at_others {
            report(&mut book, &request, PromptStep::Read, number * 20);
        }
    }
    assert!((1..=8).contains(&refused), "{refused} tries in ten seconds");
    // It is back and reads a prompt.
    let mut now = 20_000;
    while book.choose(&wanted(now), &records, at(now)) != Some(first.clone()) {
        report(&mut book, &format!("r{now}"), PromptStep::Ended, now);
        now += 100;
        assert!(now < 30_000, "it isn't tried again");
    }
    report(&mut book, &format!("r{now}"), PromptStep::Read, now);
    let again = (1..30).filter(|number| {
        let chosen = book.choose(&wanted(now + number), &records, at(now + number));
        chosen.as_ref() == Some(&first)
    });
    assert!(again.count() >= 2, "it takes several at a time again");
}

#[test]
fn engines_that_are_gone_get_nothing_though_they_are_most_of_all() {
    let records = engines(ENGINES);
    let mut book = PromptScheduler::new(CACHE_CAPACITY);
    let mut number = 0;
    let mut choose = |book: &mut PromptScheduler, now: u64| {
        number += 1;
        let request = format!("r{number}");
        let wanted = query(&request, &format!("p{}", number % 40), 10_000, 100);
        let chosen = book.choose(&wanted, &records, at(now)).expect("one");
        (request, chosen)
    };
    // Six of nine crash at the same time.
    let is_crashed = |engine: &TargetId| {
        let crashed = &records[..6];
        crashed.iter().any(|record| record.id == *engine)
    };
    let mut refused = 0;
    for now in 0..600 {
        let (request, chosen) = choose(&mut book, now);
        let step = if is_crashed(&chosen) {
            refused += 1;
            PromptStep::Gone
        } else {
            PromptStep::Read
        };
        report(&mut book, &request, step, now);
        if step == PromptStep::Read {
            report(&mut book, &request, PromptStep::Ended, now);
        }
    }
    assert_eq!(refused, 6, "each is tried once");
}

#[test]
fn engine_that_failed_is_tried_again_though_its_streams_go_on() {
    let records = engines(2);
    let mut book = PromptScheduler::new(CACHE_CAPACITY);
    let wanted = |request: &str| query(request, "p", 10_000, 100);
    let first = book.choose(&wanted("long"), &records, at(0)).expect("one");
    // Its stream lasts for seconds; two others fail.
    report(&mut book, "long", PromptStep::Read, 100);
    for request in ["a", "b"] {
        assert_eq!(
            book.choose(&wanted(request), &records, at(100)),
            Some(first.clone())
        );
        report(&mut book, request, PromptStep::Failed, 100);
    }
    let other = book.choose(&wanted("c"), &records, at(200));
    assert_ne!(other, Some(first.clone()));
    report(&mut book, "c", PromptStep::Read, 300);
    report(&mut book, "c", PromptStep::Ended, 400);
    let again = book.choose(&wanted("d"), &records, at(1_000));
    assert_eq!(again, Some(first), "0.7 seconds are over");
}

#[test]
fn news_of_the_engine_that_a_request_has_left_does_not_count_for_its_next_one() {
    let records = engines(ENGINES);
    let mut book = PromptScheduler::new(CACHE_CAPACITY);
    let is_crashed = |engine: &TargetId| records[..2].iter().any(|record| record.id == *engine);
    // Two of nine crash. Their requests go on at once, and what is told of them
    // comes a moment after their next choice.
    let mut late: Vec<(u64, PromptProgress)> = Vec::new();
    let mut taken = vec![0; ENGINES];
    let mut refused = 0;
    for now in 0..2_000 {
        late.retain(|(due, news)| {
            if *due <= now {
                book.record_progress(news, at(now));
            }
            *due > now
        });
        if now % 10 != 0 {
            continue;
        }
        let request = format!("r{now}");
        let mut wanted = query(&request, &format!("p{}", now % 400), 10_000, 100);
        let mut chosen = book.choose(&wanted, &records, at(now)).expect("one");
        while is_crashed(&chosen) {
            refused += 1;
            late.push((now + 10, progress(&request, &chosen, PromptStep::Gone)));
            wanted.avoid.push(chosen);
            chosen = book.choose(&wanted, &records, at(now)).expect("one");
        }
        let place = records.iter().position(|record| record.id == chosen);
        taken[place.expect("one of them")] += 1;
        late.push((now + 100, progress(&request, &chosen, PromptStep::Read)));
        late.push((now + 500, progress(&request, &chosen, PromptStep::Ended)));
    }
    // At first, and after 0.7 and 1.4 seconds more.
    assert!(refused <= 6, "{refused} requests went to the crashed ones");
    // Each of the others gets half of its share at least.
    assert!(taken[2..].iter().all(|count| *count >= 14), "{taken:?}");
}
