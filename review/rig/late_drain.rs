//! An engine drains while requests wait for it to read a prompt that they share.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::rig::{
    Case, Channel, chunk, config, event, is_misdirected, lock, ms, pause, request, route, serve,
    stream_head,
};

/// `DrainMs` of the settings.
const DRAIN_MS: u64 = 2_000;
/// The engine serves for `DrainMs` after the store's confirmation, "and a little longer".
const EXIT_MS: u64 = 2_700;
/// Time for which the slow engine reads the shared prompt.
const READ_MS: u64 = 2_900;
const EVENTS: u64 = 40;
const REQUESTS: u64 = 5;

pub fn run(case: Case) -> ! {
    let rest = ",\"Attempts\":1,\"Sticky\":true";
    let routes = [route("/tell/", "streaming", "pool", 15_000, 1_400, rest)];
    case.store.put("op/config", &config(7, &routes));
    let trouble = case.trouble;
    // Number of the engine that reads the shared prompt, plus one.
    let reader = Arc::new(AtomicU64::new(0));
    let drained_at: Arc<Mutex<Option<Duration>>> = Arc::default();
    let has_exited = Arc::new(AtomicBool::new(false));
    let (late, cut) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let mut addresses = Vec::new();
    for number in 0..3_u64 {
        let id = format!("engine-{number}");
        let (own, note, reader) = (id.clone(), case.record.clone(), Arc::clone(&reader));
        let (drained_at, has_exited) = (Arc::clone(&drained_at), Arc::clone(&has_exited));
        let (late, cut) = (Arc::clone(&late), Arc::clone(&cut));
        let address = serve(move |channel, call| {
            if is_misdirected(channel, &call, &own) {
                return true;
            }
            let now = note.now();
            let is_first = reader
                .compare_exchange(0, number + 1, Ordering::SeqCst, Ordering::SeqCst)
                .is_ok();
            let is_reader = reader.load(Ordering::SeqCst) == number + 1;
            let since = lock(&drained_at).map(|at| now.saturating_sub(at));
            let is_gone = || is_reader && has_exited.load(Ordering::SeqCst);
            if is_gone() {
                return false;
            }
            let mut is_late = false;
            if let Some(since) = since.filter(|_| is_reader) {
                is_late = since > ms(DRAIN_MS);
                let verdict = if is_late { "LATER THAN DrainMs" } else { "within DrainMs" };
                note.note(format!(
                    "{own}, draining, gets {} {} ms after the confirmation: {verdict}",
                    call.id(),
                    since.as_millis()
                ));
                late.fetch_add(u64::from(is_late), Ordering::SeqCst);
            } else {
                note.note(format!("{own} gets {}", call.id()));
            }
            channel.send(&stream_head(&call));
            if is_first && trouble {
                note.note(format!("{own} reads the shared prompt slowly"));
                let until = Instant::now() + ms(READ_MS);
                while Instant::now() < until && !is_gone() {
                    pause(10);
                }
            }
            for number in 0..EVENTS {
                if is_gone() {
                    if is_late {
                        cut.fetch_add(1, Ordering::SeqCst);
                    }
                    return false;
                }
                if !channel.send(&chunk(&event(&call, number))) {
                    return false;
                }
                pause(25);
            }
            channel.send(b"0\r\n\r\n")
        });
        case.store.register(&id, "pool", "south-a", 128, address);
        addresses.push(address);
    }
    let gateway = case.start_gateway(1, "south-a", &[]);
    case.wait_ready(&gateway);
    // Longer than `StableWindowMs`: the machine is in touch.
    pause(4_000);
    let front = gateway.front;
    let (whole, broken_off) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let mut requesters = Vec::new();
    // The first request makes an engine read the shared prompt, slowly.
    let send = |number: u64| {
        let (note, whole, broken_off) = (case.record.clone(), Arc::clone(&whole), Arc::clone(&broken_off));
        thread::spawn(move || {
            let id = format!("stream-{number}");
            let Ok(mut channel) = Channel::open(front) else {
                return;
            };
            let rest = format!(
                "Model: m\r\nToken-Counts: 9190,80\r\nPrompt-Prefix: 5c1e07a2:2520,91bd3f06:3780,{:x}:290\r\n",
                0xe440_2b7d_u64 + number
            );
            note.note(format!("requester sends {id}"));
            channel.send(&request("POST", "/tell/a", &id, 15_000, &rest));
            let answer = channel.read_answer(Instant::now() + ms(15_000));
            let is_whole = answer.as_ref().is_some_and(|answer| answer.is_complete);
            let status = answer.map(|answer| answer.status);
            note.note(format!("{id}: status {status:?}, whole {is_whole}"));
            if is_whole {
                whole.fetch_add(1, Ordering::SeqCst);
            } else {
                broken_off.fetch_add(1, Ordering::SeqCst);
            }
        })
    };
    requesters.push(send(0));
    pause(400);
    let reader = reader.load(Ordering::SeqCst);
    let own = usize::try_from(reader.saturating_sub(1)).unwrap_or(0);
    let other = usize::try_from(reader % 3).unwrap_or(0);
    case.store.register_as(&format!("engine-{other}"), "pool", "south-a", 128, addresses[other], "draining");
    pause(10);
    let id = format!("engine-{own}");
    case.store.register_as(&id, "pool", "south-a", 128, addresses[own], "draining");
    *lock(&drained_at) = Some(case.record.now());
    case.record.note(format!("the store confirms that {id} is draining"));
    let (exited, note, store) = (Arc::clone(&has_exited), case.record.clone(), case.store.clone());
    thread::spawn(move || {
        pause(EXIT_MS);
        exited.store(true, Ordering::SeqCst);
        store.remove(&format!("servers/{id}"));
        note.note(format!("{id} exits"));
    });
    for number in 1..REQUESTS {
        pause(40);
        requesters.push(send(number));
    }
    for requester in requesters {
        let _ = requester.join();
    }
    let late = late.load(Ordering::SeqCst);
    let summary = format!(
        "DRAIN: {REQUESTS} streams, {late} reached the draining engine later than DrainMs, {} of these were \
         cut as it exited; {} whole, {} not whole",
        cut.load(Ordering::SeqCst),
        whole.load(Ordering::SeqCst),
        broken_off.load(Ordering::SeqCst)
    );
    case.finish(late > 0, &summary)
}
