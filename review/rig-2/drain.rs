//! Case: a watch of the store is cut, and a replica leaves without reporting
//! `draining`. Does it get requests later than `DrainMs` after its entry is gone?
mod rig;
use rig::*;
use std::{
    sync::{Arc, Mutex, atomic::{AtomicBool, Ordering}},
    thread,
    time::{Duration, Instant},
};

const DRAIN_MS: u64 = 2_000;
/// How long the replica serves after `DrainMs` ("a little longer").
const LINGER_MS: u64 = 450;
const WORK_MS: u64 = 150;

fn main() {
    let folder = case_folder();
    let record = Record::create(&folder);
    let store = Store::start();
    let removed_at: Arc<Mutex<Option<Instant>>> = Arc::default();
    let late: Arc<Mutex<Vec<(f64, String)>>> = Arc::default();
    let mut replicas = Vec::new();
    for (index, zone) in ["zone-a", "zone-b", "zone-c"].into_iter().enumerate() {
        let id = format!("i-{index}c0ffee{index}");
        let (record, removed_at, late, own) = (Arc::clone(&record), Arc::clone(&removed_at), Arc::clone(&late), id.clone());
        let server = Server::start(move |request, stream| {
            let attempt = request.header("attempt-id").to_owned();
            let echo = [("Attempt-Id", attempt.as_str())];
            if request.path() == "/health" {
                return reply(stream, "200 OK", &[("Instance-Id", &own)], b"");
            }
            if !request.header("expect-instance").is_empty() && request.header("expect-instance") != own {
                return reply(stream, "421 Misdirected Request", &[echo[0], ("Not-Executed", "1"), ("Instance-Id", &own)], b"");
            }
            record.line(&format!("{own} runs {attempt}"));
            if index == 2 && let Some(at) = *removed_at.lock().unwrap() {
                let after = at.elapsed();
                if after > ms(DRAIN_MS) {
                    late.lock().unwrap().push((after.as_secs_f64(), attempt.clone()));
                    record.line(&format!("LATE: {own} gets {attempt} {:.3} s after its entry was removed", after.as_secs_f64()));
                }
            }
            thread::sleep(ms(WORK_MS));
            let signature = format!("sig.{attempt}");
            reply(stream, "200 OK", &[echo[0], ("Response-Signature", &signature), ("Instance-Load", "1,0,6")], attempt.as_bytes())
        });
        store.put(&format!("servers/{id}"), &entry("visit-desk", server.address, zone, 6, "ready", 1_700_000_000_000 + index as u64));
        replicas.push((id, server));
    }
    store.put("op/config", "{\"Version\":11,\"Routes\":[{\"Name\":\"visit-booking\",\"Host\":\"jepu9.example\",\"Prefix\":\"/bobo563/\",\"Kind\":\"non_idempotent\",\"TimeoutMs\":1500,\"GoalMs\":100,\"Priority\":2,\"Service\":\"visit-desk\",\"Attempts\":2}],\"Services\":[{\"Name\":\"visit-desk\",\"HealthPath\":\"/health\"}],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":5000,\"IdleTimeoutMs\":20000}}");
    let address = store.address();
    let fleet = Fleet::start(3, |_| address);
    fleet.wait_ready();
    // The whole fleet is up and in touch for longer than StableWindowMs.
    thread::sleep(ms(6_000));
    let stop = Arc::new(AtomicBool::new(false));
    let lost: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut callers = Vec::new();
    for gateway in &fleet.gateways {
        for caller in 0..4_u64 {
            let (front, name) = (gateway.front, gateway.name.clone());
            let (record, stop, lost) = (Arc::clone(&record), Arc::clone(&stop), Arc::clone(&lost));
            callers.push(thread::spawn(move || {
                let mut channel = Channel::new(front);
                let mut sent = 0;
                while !stop.load(Ordering::SeqCst) {
                    let id = new_id();
                    let begun = Instant::now();
                    record.line(&format!("sent {id} to {name}"));
                    let message = request("POST", "/bobo563/lo7/2f", "jepu9.example", &id, 1_500, "", "{\"visit\":1}");
                    let response = channel.call(&message, ms(2_500));
                    record.line(&format!("answered {id}: {} complete={}", response.status, response.complete));
                    if response.status != 200 {
                        lost.lock().unwrap().push(format!("{id}: {}", response.status));
                    }
                    sent += 1;
                    thread::sleep(ms(171 + 13 * caller).saturating_sub(begun.elapsed()));
                }
                sent
            }));
        }
    }
    thread::sleep(ms(4_000));
    if calm() {
        record.both("no watch is cut");
    } else {
        store.cut_watches();
        record.both("the store has cut the watches that waited");
    }
    thread::sleep(ms(300));
    let (id, leaving) = &replicas[2];
    store.remove(&format!("servers/{id}"));
    *removed_at.lock().unwrap() = Some(Instant::now());
    record.both(&format!("the entry of {id} is removed; it serves for {} ms more", DRAIN_MS + LINGER_MS));
    thread::sleep(ms(DRAIN_MS + LINGER_MS));
    leaving.stop();
    record.both(&format!("{id} has exited"));
    thread::sleep(Duration::from_secs(4));
    stop.store(true, Ordering::SeqCst);
    let sent: u64 = callers.into_iter().map(|caller| caller.join().unwrap()).sum();
    let (late, lost) = (late.lock().unwrap(), lost.lock().unwrap());
    record.both(&format!("{sent} bookings sent, {} not answered with 200: {:?}", lost.len(), lost));
    record.both(&format!("{} requests reached the replica later than DrainMs: {:?}", late.len(), late));
    let log = fleet.log_of(0);
    for line in log.lines().filter(|line| line.contains("store: ") || line.contains("targets: ") || line.contains("news: ")) {
        record.line(line);
    }
    drop(fleet);
    std::process::exit(i32::from(!late.is_empty()));
}
