//! One engine sends bytes without end in the body of a stream.

use std::{
    io::Read,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Instant,
};

use crate::rig::{
    Case, Channel, chunk, config, event, is_misdirected, lock, ms, pause, prompt, request, route,
    serve, signed, stream_head,
};

/// `TimeoutMs` of the route of bookings.
const TIMEOUT_MS: u64 = 1_500;
/// Time after which the rule wants an answer.
const RULE_MS: u64 = TIMEOUT_MS + 500;
/// Requesters abandon a stream after a gap of four times its `GoalMs`.
const ABANDON_MS: u64 = 4 * 1_400;
/// `Deadline-Ms` of the requesters, who leave then.
const DEADLINE_MS: u64 = 4_000;
const BOOKINGS: u64 = 40;

pub fn run(case: Case) -> ! {
    let routes = [
        route(
            "/tell/",
            "streaming",
            "pool",
            15_000,
            1_400,
            ",\"Attempts\":1,\"Sticky\":true",
        ),
        route(
            "/book/",
            "non_idempotent",
            "desk",
            TIMEOUT_MS as u32,
            100,
            ",\"Attempts\":1",
        ),
    ];
    case.store.put("op/config", &config(7, &routes));
    let trouble = case.trouble;
    let is_endless = Arc::new(AtomicBool::new(false));
    for number in 0..2 {
        let id = format!("engine-{number}");
        let (own, note, flag) = (id.clone(), case.record.clone(), Arc::clone(&is_endless));
        let address = serve(move |channel, call| {
            if is_misdirected(channel, &call, &own) {
                return true;
            }
            note.note(format!("{own} runs {}", call.id()));
            channel.send(&stream_head(&call));
            channel.send(&chunk(&event(&call, 0)));
            if own == "engine-0" && trouble {
                flag.store(true, Ordering::SeqCst);
                note.note(format!("{own} sends bytes without end"));
                let bytes = chunk(&"\n".repeat(0x8000)).repeat(8);
                while channel.send(&bytes) {}
                note.note(format!("{own}: channel closed by the gateway"));
                return false;
            }
            for number in 1..10 {
                pause(20);
                channel.send(&chunk(&event(&call, number)));
            }
            channel.send(b"0\r\n\r\n")
        });
        case.store.register(&id, "pool", "south-a", 128, address);
    }
    for number in 0..2 {
        let id = format!("desk-{number}");
        let (own, note) = (id.clone(), case.record.clone());
        let address = serve(move |channel, call| {
            if is_misdirected(channel, &call, &own) {
                return true;
            }
            note.note(format!("{own} runs {}", call.id()));
            pause(15);
            channel.send(&signed(&call, "booked\n"))
        });
        case.store.register(&id, "desk", "south-a", 6, address);
    }
    let gateway = case.start_gateway(1, "south-a", &[]);
    case.wait_ready(&gateway);
    pause(1_000);
    // Requesters' streams, until the engine in trouble has one of them.
    let front = gateway.front;
    let streams = Arc::new(AtomicU64::new(0));
    for number in 0..12_u64 {
        let (note, streams) = (case.record.clone(), Arc::clone(&streams));
        thread::spawn(move || {
            let id = format!("stream-{number}");
            let Ok(mut channel) = Channel::open(front) else {
                return;
            };
            channel.send(&request(
                "POST",
                "/tell/a",
                &id,
                15_000,
                &prompt(number + 77),
            ));
            note.note(format!("requester sends {id}"));
            let mut bytes = vec![0; 1 << 20];
            let mut total = 0;
            let mut event_at = Instant::now();
            while let Ok(count @ 1..) = channel.stream.read(&mut bytes) {
                total += count;
                let has_event =
                    total < 4_096 || bytes[..count].windows(4).any(|text| text == b"id: ");
                if has_event {
                    event_at = Instant::now();
                }
                let is_whole = total < 4_096 && bytes[..count].ends_with(b"0\r\n\r\n");
                if is_whole || event_at.elapsed() > ms(ABANDON_MS) {
                    break;
                }
            }
            note.note(format!(
                "requester has read {total} bytes of {id} and closes its channel"
            ));
            drop(channel);
            streams.fetch_add(1, Ordering::SeqCst);
        });
        pause(150);
        if is_endless.load(Ordering::SeqCst) {
            break;
        }
    }
    if trouble && !is_endless.load(Ordering::SeqCst) {
        case.cannot_run("the engine got no stream");
    }
    pause(300);
    // Bookings, each on a channel of its own.
    let results: Arc<Mutex<Vec<(u64, Option<u64>)>>> = Arc::default();
    let mut requesters = Vec::new();
    for number in 0..BOOKINGS {
        let (note, results) = (case.record.clone(), Arc::clone(&results));
        requesters.push(thread::spawn(move || {
            let id = format!("booking-{number}");
            let begun = Instant::now();
            let Ok(mut channel) = Channel::open(front) else {
                note.note(format!("{id}: no channel"));
                lock(&results).push((number, None));
                return;
            };
            channel.send(&request("POST", "/book/a", &id, DEADLINE_MS, ""));
            note.note(format!("requester sends {id}"));
            let answer = channel.read_answer(begun + ms(DEADLINE_MS));
            let took = u64::try_from(begun.elapsed().as_millis()).unwrap_or(u64::MAX);
            let status = answer.map(|answer| answer.status);
            note.note(format!("{id}: status {status:?} after {took} ms"));
            lock(&results).push((number, status.map(|_| took)));
        }));
        pause(100);
    }
    let is_ready = gateway.is_ready(ms(1_000));
    case.record.note(format!(
        "readiness check answered with 200 within a second: {is_ready}"
    ));
    for requester in requesters {
        let _ = requester.join();
    }
    let results = lock(&results);
    let after = |limit: u64| {
        let late = results
            .iter()
            .filter(|(_, took)| took.is_none_or(|took| took > limit));
        late.count()
    };
    let (at_timeout, at_rule) = (after(TIMEOUT_MS), after(RULE_MS));
    // More than half of those unanswered at the timeout; eight or more, and over a
    // quarter of all.
    let broken = at_rule * 2 > at_timeout && at_rule >= 8 && at_rule * 4 > results.len();
    let summary = format!(
        "CONFIG: {} bookings, {at_timeout} unanswered at TimeoutMs, {at_rule} of them 0.5 s later",
        results.len()
    );
    drop(results);
    case.finish(broken, &summary)
}
