//! An engine that has named a limit drains while a request waits for its turn there.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::rig::{
    Case, Channel, answer, chunk, config, event, is_misdirected, lock, ms, pause, prompt, request,
    route, serve,
};

/// `DrainMs` of the settings.
const DRAIN_MS: u64 = 2_000;
/// The engine serves for `DrainMs` after the store's confirmation, "and a little longer".
const EXIT_MS: u64 = 3_200;
/// Requests a second that an engine takes from all machines together, as in the users' record.
const LIMIT: &str = "1.3";
const EVENTS: u64 = 40;
/// One of them drains: 0.125 of all.
const ENGINES: u64 = 8;
const SPACING_MS: u64 = 40;
/// Longer than `StableWindowMs`.
const SETTLING_MS: u64 = 5_000;
const TRAFFIC_MS: u64 = 6_000;
/// When the engine reports that it drains, after the start of the traffic.
const DRAIN_AT_MS: u64 = 900;

pub fn run(case: Case) -> ! {
    let rest = ",\"Attempts\":1,\"Sticky\":true,\"Stages\":[{\"Service\":\"roster\",\"After\":[],\"Bytes\":8000}]";
    let routes = [route("/tell/", "streaming", "pool", 15_000, 1_600, rest)];
    case.store.put("op/config", &config(7, &routes));
    let trouble = case.trouble;
    for number in 0..2_u64 {
        let id = format!("roster-{number}");
        let own = id.clone();
        let next = AtomicU64::new(0x51c0_7a2e);
        let address: Arc<Mutex<String>> = Arc::default();
        let own_address = Arc::clone(&address);
        let slot = Mutex::new(());
        let bound = serve(move |channel, call| {
            if is_misdirected(channel, &call, &own) {
                return true;
            }
            let headers = [("Content-Type", "application/json")];
            if call.path() != "/verbenahub/stage-run" {
                return channel.send(&answer("200 OK", &headers, b"{}"));
            }
            let count = call.text().matches("\"Id\":").count();
            let turn = lock(&slot);
            pause(150 + 13 * count as u64);
            drop(turn);
            let address = lock(&own_address).clone();
            let handles: Vec<String> = (0..count)
                .map(|_| {
                    let name = next.fetch_add(0x0101_0101, Ordering::SeqCst);
                    format!("{{\"Handle\":\"{address}/{name:x}\"}}")
                })
                .collect();
            let body = format!("{{\"Items\":[{}]}}", handles.join(","));
            channel.send(&answer("200 OK", &headers, body.as_bytes()))
        });
        *lock(&address) = bound.to_string();
        case.store.register(&id, "roster", "south-a", 1, bound);
    }
    let drained_at: Arc<Mutex<Option<Duration>>> = Arc::default();
    let has_exited = Arc::new(AtomicBool::new(false));
    let (late, cut) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let mut drained_address = None;
    for number in 0..ENGINES {
        let id = format!("engine-{number}");
        let (own, note) = (id.clone(), case.record.clone());
        let (drained_at, has_exited) = (Arc::clone(&drained_at), Arc::clone(&has_exited));
        let (late, cut) = (Arc::clone(&late), Arc::clone(&cut));
        let address = serve(move |channel, call| {
            if is_misdirected(channel, &call, &own) {
                return true;
            }
            let is_drained = number == 0;
            if is_drained && has_exited.load(Ordering::SeqCst) {
                return false;
            }
            let now = note.now();
            let since = lock(&drained_at).map(|at| now.saturating_sub(at));
            let mut is_late = false;
            if let Some(since) = since.filter(|_| is_drained) {
                is_late = since > ms(DRAIN_MS);
                let verdict = if is_late {
                    "LATER THAN DrainMs"
                } else {
                    "within DrainMs"
                };
                note.note(format!(
                    "{own}, draining, gets {} {} ms after the confirmation: {verdict}",
                    call.id(),
                    since.as_millis()
                ));
                late.fetch_add(u64::from(is_late), Ordering::SeqCst);
            } else {
                note.note(format!("{own} gets {}", call.id()));
            }
            let head = format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nResponse-Signature: 3e1b.07\r\nServer-Limit: {LIMIT}\r\n\
                 Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
                call.id()
            );
            channel.send(head.as_bytes());
            for number in 0..EVENTS {
                if is_drained && has_exited.load(Ordering::SeqCst) {
                    note.note(format!("{own} exits during {}", call.id()));
                    cut.fetch_add(u64::from(is_late), Ordering::SeqCst);
                    return false;
                }
                if !channel.send(&chunk(&event(&call, number))) {
                    return false;
                }
                pause(25);
            }
            channel.send(b"0\r\n\r\n")
        });
        drained_address.get_or_insert(address);
        case.store.register(&id, "pool", "south-a", 128, address);
    }
    let gateway = case.start_gateway(1, "south-a", &[]);
    case.wait_ready(&gateway);
    pause(SETTLING_MS);
    let front = gateway.front;
    let begun = Instant::now();
    if let Some(address) = drained_address.filter(|_| trouble) {
        let (store, note) = (case.store.clone(), case.record.clone());
        thread::spawn(move || {
            pause(DRAIN_AT_MS);
            store.register_as("engine-0", "pool", "south-a", 128, address, "draining");
            *lock(&drained_at) = Some(note.now());
            note.note("the store confirms that engine-0 is draining");
            pause(EXIT_MS);
            has_exited.store(true, Ordering::SeqCst);
            store.remove("servers/engine-0");
            note.note("engine-0 exits");
        });
    }
    let counts: Arc<Mutex<std::collections::BTreeMap<String, u64>>> = Arc::default();
    let mut requesters = Vec::new();
    let mut number = 0_u64;
    while begun.elapsed() < ms(TRAFFIC_MS) {
        number += 1;
        let (note, counts) = (case.record.clone(), Arc::clone(&counts));
        requesters.push(thread::spawn(move || {
            let id = format!("stream-{number}");
            let Ok(mut channel) = Channel::open(front) else {
                return;
            };
            let rest = format!(
                "{}Pieces: 1\r\nPiece-Key: 7c1e07a2{number:04x}\r\n",
                prompt(number + 77)
            );
            channel.send(&request("POST", "/tell/a", &id, 15_000, &rest));
            let answer = channel.read_answer(Instant::now() + ms(15_000));
            let text = match &answer {
                Some(answer) if answer.status == 200 && !answer.is_complete => {
                    "200, CUT".to_owned()
                }
                Some(answer) => answer.status.to_string(),
                None => "no answer".to_owned(),
            };
            if text != "503" {
                note.note(format!("{id}: {text}"));
            }
            *lock(&counts).entry(text).or_default() += 1;
        }));
        pause(SPACING_MS);
    }
    for requester in requesters {
        let _ = requester.join();
    }
    let late = late.load(Ordering::SeqCst);
    let summary = format!(
        "DRAIN: {number} streams, answers {:?}; {late} reached the draining engine later than DrainMs, {} of \
         these were cut as it exited",
        lock(&counts),
        cut.load(Ordering::SeqCst)
    );
    case.finish(late > 0, &summary)
}
