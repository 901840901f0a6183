//! Case: a model replica turns slow, and it is one that doesn't drop a request when its
//! channel closes, but only when it can't write to it any more. Does a request go on at
//! another replica while this one works on it?
mod rig;
use rig::*;
use std::{
    collections::HashMap,
    io::Write,
    sync::{Arc, Mutex, atomic::{AtomicBool, Ordering}},
    thread,
    time::Duration,
};

/// Time until the first event, and between events, of a replica as usual.
const FIRST_MS: u64 = 450;
const GAP_MS: u64 = 50;
const EVENTS: u64 = 6;
/// `srv_slow`: work takes 5 times as long, for 6.5 s, on one of four replicas.
const FACTOR: u64 = 5;
const SLOW_S: f64 = 6.5;
/// Time for which the replica before may still work on a request.
const OVERLAP: f64 = 0.4;

#[derive(Clone, Debug)]
struct Run {
    replica: usize,
    from: f64,
    to: Option<f64>,
}

fn main() {
    let folder = case_folder();
    let record = Record::create(&folder);
    let store = Store::start();
    let runs: Arc<Mutex<HashMap<String, Vec<Run>>>> = Arc::default();
    let slow = Arc::new(AtomicBool::new(false));
    for index in 0..4_usize {
        let id = format!("i-{index}a11ce{index}");
        let (record, own, runs, slow) = (Arc::clone(&record), id.clone(), Arc::clone(&runs), Arc::clone(&slow));
        let server = Server::start(move |request, stream| {
            let attempt = request.header("attempt-id").to_owned();
            let from: u64 = request.header("last-event-id").parse().unwrap_or(0);
            let factor = if index == 0 && slow.load(Ordering::SeqCst) { FACTOR } else { 1 };
            let position = {
                let mut runs = runs.lock().unwrap();
                let runs = runs.entry(attempt.clone()).or_default();
                runs.push(Run { replica: index, from: record.now(), to: None });
                runs.len() - 1
            };
            record.line(&format!("{own} begins {attempt}{}", if factor > 1 { ", slow" } else { "" }));
            thread::sleep(ms(FIRST_MS * factor));
            let head = format!("HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: sig.{attempt}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            let mut open = stream.write_all(head.as_bytes()).is_ok();
            for event in from + 1..=EVENTS {
                let text = format!("id: {event}\ndata: {attempt}\n\n");
                open = open && stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).is_ok();
                if !open {
                    break;
                }
                thread::sleep(ms(GAP_MS * factor));
            }
            runs.lock().unwrap().get_mut(&attempt).unwrap()[position].to = Some(record.now());
            record.line(&format!("{own} ends its work on {attempt}"));
            open && stream.write_all(b"0\r\n\r\n").is_ok()
        });
        let zone = ["zone-a", "zone-b", "zone-c"][index % 3];
        store.put(&format!("servers/{id}"), &entry("verbena-pool", server.address, zone, 128, "ready", 1_700_000_000_000));
    }
    store.put("op/config", "{\"Version\":11,\"Routes\":[{\"Name\":\"customer-answer\",\"Host\":\"jepu9.example\",\"Prefix\":\"/cufi501/\",\"Kind\":\"streaming\",\"TimeoutMs\":5000,\"GoalMs\":1500,\"Priority\":0,\"Service\":\"verbena-pool\",\"Attempts\":2,\"Sticky\":true,\"Resumable\":true,\"GapTargetMs\":250}],\"Services\":[{\"Name\":\"verbena-pool\",\"HealthPath\":\"/health\",\"MaxConns\":630,\"Engine\":{\"Slots\":128,\"KvCapacity\":607517,\"KvTokenBytes\":96256}}],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}");
    let address = store.address();
    let fleet = Fleet::start(3, |_| address);
    fleet.wait_ready();
    thread::sleep(ms(5_000));
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    for gateway in &fleet.gateways {
        for caller in 0..4_u64 {
            let (front, name) = (gateway.front, gateway.name.clone());
            let (record, stop) = (Arc::clone(&record), Arc::clone(&stop));
            callers.push(thread::spawn(move || {
                let mut channel = Channel::new(front);
                let (mut sent, mut whole) = (0_u64, 0_u64);
                while !stop.load(Ordering::SeqCst) {
                    let id = new_id();
                    record.line(&format!("sent {id} to {name}"));
                    let extra = format!("Model: m\r\nToken-Counts: 1800,24\r\nPrompt-Prefix: 5c1e07a2:400,{:08x}:168,{id}:1800\r\n", caller * 7 + sent % 5);
                    let response = channel.call(&request("POST", "/cufi501/2f", "jepu9.example", &id, 5_000, &extra, "{}"), ms(6_000));
                    record.line(&format!("answered {id}: {} complete={}", response.status, response.complete));
                    sent += 1;
                    whole += u64::from(response.status == 200 && response.complete);
                    thread::sleep(ms(100 + 30 * caller));
                }
                (sent, whole)
            }));
        }
    }
    thread::sleep(ms(4_000));
    if calm() {
        record.both("no replica turns slow");
    } else {
        slow.store(true, Ordering::SeqCst);
        record.both("one of four replicas works 5 times as long");
    }
    thread::sleep(Duration::from_secs_f64(SLOW_S));
    slow.store(false, Ordering::SeqCst);
    thread::sleep(ms(4_000));
    stop.store(true, Ordering::SeqCst);
    let (mut sent, mut whole) = (0, 0);
    for caller in callers {
        let (more, answered) = caller.join().unwrap();
        sent += more;
        whole += answered;
    }
    thread::sleep(ms(4_000));
    let runs = runs.lock().unwrap();
    let now = record.now();
    let mut twice = Vec::new();
    for (id, runs) in runs.iter() {
        for (before, next) in runs.iter().zip(runs.iter().skip(1)) {
            let to = before.to.unwrap_or(now);
            if before.replica != next.replica && to > next.from + OVERLAP {
                twice.push(format!("{id}: replica {} begins at {:.3}, replica {} works on until {:.3}", next.replica, next.from, before.replica, to));
            }
        }
    }
    record.both(&format!("{sent} requests, {whole} answered whole"));
    record.both(&format!("{} requests went on at another replica while the one before worked on for over 0.4 s", twice.len()));
    for line in twice.iter().take(5) {
        record.both(line);
    }
    drop(fleet);
    std::process::exit(i32::from(!twice.is_empty()));
}
