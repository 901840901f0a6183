//! Choice of engines when some fail, become unreachable or recover.

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
    let second = book.choose(&query("r2", "p", 10_000, 100), &records, at(0));
    assert_eq!(second, first, "one failure may be caused by the request");
    report(&mut book, "r2", PromptStep::Failed, 0);
    let third = book.choose(&query("r3", "p", 10_000, 100), &records, at(10));
    assert_ne!(third, first);
    let only = book.choose(&query("r4", "q", 10_000, 100), &records[..1], at(10));
    assert_eq!(only, Some(records[0].id.clone()), "the only engine is used");
}

#[test]
fn engine_that_is_gone_is_tried_by_one_request_at_a_time() {
    let records = engines(ENGINES);
    let mut book = PromptScheduler::new(CACHE_CAPACITY);
    // Each request has a prompt of its own that no engine holds.
    let ask_for = |number: u64| query(&format!("r{number}"), &format!("p{number}"), 10_000, 100);
    let first = book
        .choose(&ask_for(0), &records, at(0))
        .expect("an engine");
    report(&mut book, "r0", PromptStep::Gone, 0);
    // The engine crashes and stays unreachable for ten seconds, with one request
    // every 20 ms. The book learns 100 ms later that a request couldn't reach it.
    let mut refused = 0;
    for number in 1..500 {
        let now = at(number * 20);
        let chosen = book
            .choose(&ask_for(number), &records, now)
            .expect("an engine");
        if chosen == first {
            refused += 1;
        }
        // The other engines have prompts to read for 800 ms, so an engine without
        // pending prompts would attract all requests.
        let request_before = |ago: u64| number.checked_sub(ago).filter(|earlier| *earlier > 0);
        let at_first = request_before(5).map(|earlier| format!("r{earlier}"));
        let at_first = at_first.filter(|request| book.engine_of(request) == Some(&first));
        if let Some(request) = at_first {
            report(&mut book, &request, PromptStep::Gone, number * 20);
        }
        let at_others = request_before(40).map(|earlier| format!("r{earlier}"));
        let at_others = at_others.filter(|request| book.engine_of(request).is_some());
        if let Some(request) = at_others {
            report(&mut book, &request, PromptStep::Read, number * 20);
        }
    }
    assert!(
        (1..=8).contains(&refused),
        "{refused} requests were tried there in ten seconds"
    );
    // The engine recovers and reads a prompt.
    let mut now = 20_000;
    while book.choose(&ask_for(now), &records, at(now)) != Some(first.clone()) {
        report(&mut book, &format!("r{now}"), PromptStep::Ended, now);
        now += 100;
        assert!(now < 30_000, "the recovered engine is not tried again");
    }
    report(&mut book, &format!("r{now}"), PromptStep::Read, now);
    let chosen_again = (1..30).filter(|number| {
        let chosen = book.choose(&ask_for(now + number), &records, at(now + number));
        chosen.as_ref() == Some(&first)
    });
    assert!(
        chosen_again.count() >= 2,
        "the recovered engine gets several requests at a time again"
    );
}

#[test]
fn engines_that_are_gone_get_nothing_though_they_are_most_of_all() {
    let records = engines(ENGINES);
    let mut book = PromptScheduler::new(CACHE_CAPACITY);
    let mut number = 0;
    let mut choose = |book: &mut PromptScheduler, now: u64| {
        number += 1;
        let request = format!("r{number}");
        let engine_ask = query(&request, &format!("p{}", number % 40), 10_000, 100);
        let chosen = book
            .choose(&engine_ask, &records, at(now))
            .expect("an engine");
        (request, chosen)
    };
    // Six of nine engines crash at the same time.
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
    assert_eq!(refused, 6, "each crashed engine is tried once");
}

#[test]
fn engine_that_failed_is_tried_again_though_its_streams_go_on() {
    let records = engines(2);
    let mut book = PromptScheduler::new(CACHE_CAPACITY);
    let ask_for = |request: &str| query(request, "p", 10_000, 100);
    let first = book
        .choose(&ask_for("long"), &records, at(0))
        .expect("an engine");
    // One request streams for a long time while two others fail.
    report(&mut book, "long", PromptStep::Read, 100);
    for request in ["a", "b"] {
        assert_eq!(
            book.choose(&ask_for(request), &records, at(100)),
            Some(first.clone())
        );
        report(&mut book, request, PromptStep::Failed, 100);
    }
    let third = book.choose(&ask_for("c"), &records, at(200));
    assert_ne!(third, Some(first.clone()));
    report(&mut book, "c", PromptStep::Read, 300);
    report(&mut book, "c", PromptStep::Ended, 400);
    let fourth = book.choose(&ask_for("d"), &records, at(1_000));
    assert_eq!(fourth, Some(first), "the ejection of 0.7 seconds is over");
}

#[test]
fn news_of_the_engine_that_a_request_has_left_does_not_count_for_its_next_one() {
    let records = engines(ENGINES);
    let mut book = PromptScheduler::new(CACHE_CAPACITY);
    let is_crashed = |engine: &TargetId| records[..2].iter().any(|record| record.id == *engine);
    // Two of nine engines crash. Their requests move to another engine at once, and
    // the news of the failure arrives 10 ms after that next choice.
    let mut pending_news: Vec<(u64, PromptProgress)> = Vec::new();
    let mut served = vec![0; ENGINES];
    let mut refused = 0;
    for now in 0..2_000 {
        pending_news.retain(|(due, news)| {
            if *due <= now {
                book.record_progress(news, at(now));
            }
            *due > now
        });
        if now % 10 != 0 {
            continue;
        }
        let request = format!("r{now}");
        let mut engine_ask = query(&request, &format!("p{}", now % 400), 10_000, 100);
        let mut chosen = book
            .choose(&engine_ask, &records, at(now))
            .expect("an engine");
        while is_crashed(&chosen) {
            refused += 1;
            pending_news.push((now + 10, progress(&request, &chosen, PromptStep::Gone)));
            engine_ask.avoid.push(chosen);
            chosen = book
                .choose(&engine_ask, &records, at(now))
                .expect("an engine");
        }
        let index = records.iter().position(|record| record.id == chosen);
        served[index.expect("a known engine")] += 1;
        pending_news.push((now + 100, progress(&request, &chosen, PromptStep::Read)));
        pending_news.push((now + 500, progress(&request, &chosen, PromptStep::Ended)));
    }
    // Both are tried at first, and again when ejections of 0.7 and 1.4 seconds end.
    assert!(
        refused <= 6,
        "{refused} requests went to the crashed engines"
    );
    // Each of the others gets at least half of its share.
    assert!(served[2..].iter().all(|count| *count >= 14), "{served:?}");
}
