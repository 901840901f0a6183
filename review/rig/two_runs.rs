//! A silent stream goes on at another engine, whose answer is lost, while the engine
//! before still works on it.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::rig::{
    Case, Channel, chunk, config, event, is_misdirected, lock, ms, pause, prompt, request, route,
    serve, stream_head,
};

/// `GoalMs` of the site's `customer-answer`. Requesters wait for an event for four times
/// as long: 6 s.
const GOAL_MS: u32 = 1_500;
const TIMEOUT_MS: u32 = 15_000;
/// Silence of the first engine in the middle of one stream.
const SILENCE_MS: u64 = 3_600;
/// Time after which the rule wants the engine before to have stopped.
const RULE_MS: u64 = 400;
/// Streams before, at both engines.
const BEFORE: u64 = 60;
/// Events of the stream that is silent for a while, and the pause between them.
const EVENTS: u64 = 24;
const EVENT_PAUSE_MS: u64 = 120;

/// Requests and the times at which an engine began to run them and last worked on them.
type Runs = Arc<Mutex<Vec<(String, String, Duration, Duration)>>>;

pub fn run(case: Case) -> ! {
    let rest = ",\"Attempts\":2,\"Sticky\":true,\"Resumable\":true";
    let routes = [route(
        "/answer/",
        "streaming",
        "pool",
        TIMEOUT_MS,
        GOAL_MS,
        rest,
    )];
    case.store.put("op/config", &config(7, &routes));
    let trouble = case.trouble;
    let is_warm = Arc::new(AtomicBool::new(false));
    let is_chosen = Arc::new(AtomicBool::new(false));
    let answers: Arc<[AtomicU64; 2]> = Arc::default();
    let lost = Arc::new(AtomicU64::new(0));
    let runs: Runs = Arc::default();
    for number in 0..2_usize {
        let id = format!("engine-{number}");
        let (own, note) = (id.clone(), case.record.clone());
        let (is_warm, is_chosen) = (Arc::clone(&is_warm), Arc::clone(&is_chosen));
        let (answers, lost, runs) = (Arc::clone(&answers), Arc::clone(&lost), Arc::clone(&runs));
        let address = serve(move |channel, call| {
            if is_misdirected(channel, &call, &own) {
                return true;
            }
            answers[number].fetch_add(1, Ordering::SeqCst);
            if !is_warm.load(Ordering::SeqCst) {
                channel.send(&stream_head(&call));
                for number in 0..6 {
                    channel.send(&chunk(&event(&call, number)));
                }
                return channel.send(b"0\r\n\r\n");
            }
            let last = call.header("Last-Event-Id").and_then(|id| id.parse().ok());
            let first = last.map_or(0, |last: u64| last + 1);
            let is_silent = last.is_none() && !is_chosen.swap(true, Ordering::SeqCst);
            let is_lost = trouble && last.is_some() && lost.fetch_add(1, Ordering::SeqCst) == 0;
            note.note(format!("{own} runs {} from event {first}", call.id()));
            let index = {
                let now = note.now();
                let mut runs = lock(&runs);
                runs.push((own.clone(), call.id().to_owned(), now, now));
                runs.len() - 1
            };
            if is_lost {
                note.note(format!("{own}: its answer to {} is lost", call.id()));
            } else {
                channel.send(&stream_head(&call));
            }
            for number in first..EVENTS {
                if number == 2 && is_silent {
                    note.note(format!("{own}: {} is silent", call.id()));
                    pause(SILENCE_MS);
                }
                let is_taken = is_lost || channel.send(&chunk(&event(&call, number)));
                if channel.is_closed() || !is_taken {
                    note.note(format!(
                        "{own}: {} closed by the gateway at event {number}",
                        call.id()
                    ));
                    return false;
                }
                lock(&runs)[index].3 = note.now();
                note.note(format!("{own} has made event {number} of {}", call.id()));
                pause(EVENT_PAUSE_MS);
            }
            note.note(format!("{own} has made all events of {}", call.id()));
            if is_lost {
                // Nothing more comes on this channel.
                while !channel.is_closed() {
                    pause(20);
                }
                return false;
            }
            channel.send(b"0\r\n\r\n")
        });
        case.store.register(&id, "pool", "south-a", 128, address);
    }
    let gateway = case.start_gateway(1, "south-a", &[]);
    case.wait_ready(&gateway);
    // Longer than `StableWindowMs`: the machine is in touch.
    pause(4_000);
    let front = gateway.front;
    for number in 0..BEFORE {
        let Ok(mut channel) = Channel::open(front) else {
            case.cannot_run("no channel")
        };
        let id = format!("before-{number}");
        channel.send(&request(
            "POST",
            "/answer/a",
            &id,
            5_000,
            &prompt(number + 7_000),
        ));
        let answer = channel.read_answer(Instant::now() + ms(5_000));
        if !answer.is_some_and(|answer| answer.is_complete) {
            case.record.note(format!("{id} was not served"));
        }
    }
    let counts = answers.each_ref().map(|count| count.load(Ordering::SeqCst));
    case.record.note(format!(
        "the engines have answered {counts:?} streams before"
    ));
    is_warm.store(true, Ordering::SeqCst);
    let begun = Instant::now();
    let note = case.record.clone();
    let requester = thread::spawn(move || {
        let mut channel = Channel::open(front).ok()?;
        note.note("requester sends stream-0");
        let deadline = u64::from(TIMEOUT_MS);
        channel.send(&request(
            "POST",
            "/answer/a",
            "stream-0",
            deadline,
            &prompt(77),
        ));
        // Requesters abandon a stream after a gap of four times the objective.
        let mut answer = channel.read_head(begun + ms(deadline))?;
        let _ = channel
            .stream
            .set_read_timeout(Some(ms(4 * u64::from(GOAL_MS))));
        let mut text = Vec::new();
        let mut bytes = [0; 4_096];
        while let Ok(count @ 1..) = std::io::Read::read(&mut channel.stream, &mut bytes) {
            text.extend_from_slice(&bytes[..count]);
            if text.ends_with(b"0\r\n\r\n") {
                answer.is_complete = true;
                break;
            }
        }
        answer.body = text;
        Some(answer)
    });
    let answer = requester.join().ok().flatten().unwrap_or_default();
    let events = answer.text().matches("id: ").count();
    case.record.note(format!(
        "requester has {events} of {EVENTS} events after {} ms, whole {}",
        begun.elapsed().as_millis(),
        answer.is_complete
    ));
    pause(300);
    let runs = lock(&runs);
    let mut overlap = Duration::ZERO;
    for (engine, id, earlier, until) in runs.iter() {
        for (other, other_id, begun, _) in runs.iter() {
            if engine != other && id == other_id && earlier < begun {
                overlap = overlap.max(until.saturating_sub(*begun));
            }
        }
    }
    let engines = runs.len();
    drop(runs);
    if engines < 2 {
        case.cannot_run("the silent stream did not go on at another engine");
    }
    let summary = format!(
        "TWICE: the engine before worked for {} ms more after the next one had begun to run the \
         request; the requester got {events} of {EVENTS} events, whole {}",
        overlap.as_millis(),
        answer.is_complete
    );
    case.finish(overlap > ms(RULE_MS), &summary)
}
