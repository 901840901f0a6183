//! Case: a planned stop, while a sound model replica has preempted a stream and the other
//! one is full and slow to say so. Does the stream reach its end?
mod rig;
use rig::*;
use std::{
    collections::HashMap,
    io::Write,
    sync::{Arc, Mutex, atomic::{AtomicBool, Ordering}},
    thread,
};

const FIRST_MS: u64 = 300;
const GAP_MS: u64 = 100;
const EVENTS: u64 = 12;
/// How long a preempted request is silent until it is read in again.
const PREEMPTED_MS: u64 = 3_700;
/// Time in which a full replica answers 503.
const REFUSAL_MS: u64 = 400;

fn main() {
    let folder = case_folder();
    let record = Record::create(&folder);
    let store = Store::start();
    // Set when the memory of the first replica runs out and the second one is full.
    let is_tight = Arc::new(AtomicBool::new(false));
    let ended: Arc<Mutex<HashMap<String, String>>> = Arc::default();
    for index in 0..2_usize {
        let id = format!("i-{index}decade{index}");
        let (record, own, is_tight, ended) = (Arc::clone(&record), id.clone(), Arc::clone(&is_tight), Arc::clone(&ended));
        let server = Server::start(move |request, stream| {
            let attempt = request.header("attempt-id").to_owned();
            let from: u64 = request.header("last-event-id").parse().unwrap_or(0);
            if index == 1 && is_tight.load(Ordering::SeqCst) {
                thread::sleep(ms(REFUSAL_MS));
                record.line(&format!("{own} is full and rejects {attempt}"));
                return reply(stream, "503 Service Unavailable", &[("Attempt-Id", &attempt), ("Not-Executed", "1")], b"");
            }
            record.line(&format!("{own} begins {attempt}"));
            thread::sleep(ms(FIRST_MS));
            let head = format!("HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: sig.{attempt}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            let mut open = stream.write_all(head.as_bytes()).is_ok();
            let mut preempted = false;
            for event in from + 1..=EVENTS {
                if index == 0 && !preempted && is_tight.load(Ordering::SeqCst) {
                    preempted = true;
                    record.line(&format!("{own} preempts {attempt} after {} events", event - 1));
                    thread::sleep(ms(PREEMPTED_MS));
                    record.line(&format!("{own} goes on with {attempt}"));
                }
                let text = format!("id: {event}\ndata: {attempt}\n\n");
                open = open && stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).is_ok();
                thread::sleep(ms(GAP_MS));
            }
            open = open && stream.write_all(b"0\r\n\r\n").is_ok();
            let end = format!("{own} has made all events of {attempt}{}", if open { "" } else { ", but its channel was closed" });
            record.line(&end);
            ended.lock().unwrap().insert(attempt, end);
            open
        });
        store.put(&format!("servers/{id}"), &entry("verbena-pool", server.address, "zone-a", 128, "ready", 1_700_000_000_000));
    }
    store.put("op/config", "{\"Version\":11,\"Routes\":[{\"Name\":\"customer-answer\",\"Host\":\"jepu9.example\",\"Prefix\":\"/cufi501/\",\"Kind\":\"streaming\",\"TimeoutMs\":15000,\"GoalMs\":1500,\"Priority\":0,\"Service\":\"verbena-pool\",\"Attempts\":2,\"Sticky\":true,\"Resumable\":true,\"GapTargetMs\":250}],\"Services\":[{\"Name\":\"verbena-pool\",\"HealthPath\":\"/health\",\"MaxConns\":630,\"Engine\":{\"Slots\":128,\"KvCapacity\":607517,\"KvTokenBytes\":96256}}],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}");
    let address = store.address();
    let fleet = Fleet::start(2, |_| address);
    fleet.wait_ready();
    thread::sleep(ms(6_000));
    let front = fleet.gateways[0].front;
    let mut callers = Vec::new();
    for caller in 0..8_u64 {
        let record = Arc::clone(&record);
        callers.push(thread::spawn(move || {
            let id = new_id();
            let mut channel = Channel::new(front);
            record.line(&format!("sent {id}"));
            let extra = format!("Model: m\r\nToken-Counts: 1800,48\r\nPrompt-Prefix: {caller:08x}:568,{id}:1800\r\n");
            let response = channel.call(&request("POST", "/cufi501/2f", "jepu9.example", &id, 15_000, &extra, "{}"), ms(16_000));
            let events = response.text().matches("id: ").count();
            record.line(&format!("end of {id}: {} with {events} of {EVENTS} events, complete={}", response.status, response.complete));
            (id, response.status == 200 && response.complete, events)
        }));
    }
    thread::sleep(ms(700));
    if calm() {
        record.both("no request is preempted");
    } else {
        is_tight.store(true, Ordering::SeqCst);
        record.both("the first replica preempts its requests; the second one is full");
    }
    thread::sleep(ms(200));
    fleet.gateways[0].signal(SIGTERM);
    record.both("SIGTERM to the gateway that has the requests");
    let results: Vec<_> = callers.into_iter().map(|caller| caller.join().unwrap()).collect();
    thread::sleep(ms(3_000));
    let lost: Vec<_> = results.iter().filter(|(_, whole, _)| !whole).collect();
    record.both(&format!("{} streams, {} ended without a complete answer: {lost:?}", results.len(), lost.len()));
    let ended = ended.lock().unwrap();
    for (id, _, _) in &lost {
        record.both(ended.get(id).map_or("no replica has made all events", |end| end));
    }
    drop(fleet);
    std::process::exit(i32::from(!lost.is_empty()));
}
