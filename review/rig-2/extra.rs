//! Case: a faulty replica sends additional bytes after a complete response, and they
//! arrive where the next response is expected. Does a requester get them as its answer?
mod rig;
use rig::*;
use std::{
    collections::HashMap,
    io::Write,
    sync::{Arc, Mutex, atomic::{AtomicBool, AtomicU64, Ordering}},
    thread,
};

/// One answer in so many is followed by additional bytes, if a faulty replica gives it
/// (x = .04).
const EVERY: u64 = 25;
const WORK_MS: u64 = 15;

fn main() {
    let folder = case_folder();
    let record = Record::create(&folder);
    let store = Store::start();
    let answers = Arc::new(AtomicU64::new(0));
    let extra = Arc::new(AtomicU64::new(0));
    for (index, zone) in ["zone-a", "zone-b", "zone-c"].into_iter().enumerate() {
        let id = format!("i-{index}ba5eba1");
        let (record, own) = (Arc::clone(&record), id.clone());
        let (answers, extra) = (Arc::clone(&answers), Arc::clone(&extra));
        // Bytes that are still to come on a channel, by the address of its other end.
        let pending: Mutex<HashMap<std::net::SocketAddr, Vec<u8>>> = Mutex::default();
        let server = Server::start(move |request, stream| {
            let attempt = request.header("attempt-id").to_owned();
            let peer = stream.peer_addr().unwrap();
            let rest = pending.lock().unwrap().remove(&peer);
            if let Some(bytes) = rest {
                record.line(&format!("{own} sends {} additional bytes after an earlier answer; {attempt} waits", bytes.len()));
                extra.fetch_add(1, Ordering::SeqCst);
                if stream.write_all(&bytes).is_err() {
                    return false;
                }
            }
            record.line(&format!("{own} runs {attempt}"));
            thread::sleep(ms(WORK_MS));
            let signature = format!("sig.{own}.{attempt}");
            let body = format!("visit of {attempt}");
            let number = answers.fetch_add(1, Ordering::SeqCst);
            // One of the three replicas is faulty.
            if !calm() && index < 1 && number % EVERY == 0 {
                let again = format!("HTTP/1.1 200 OK\r\nResponse-Signature: {signature}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
                pending.lock().unwrap().insert(peer, again.into_bytes());
            }
            reply(stream, "200 OK", &[("Attempt-Id", &attempt), ("Response-Signature", &signature), ("Instance-Load", "1,0,6")], body.as_bytes())
        });
        store.put(&format!("servers/{id}"), &entry("visit-desk", server.address, zone, 6, "ready", 1_700_000_000_000));
    }
    store.put("op/config", "{\"Version\":11,\"Routes\":[{\"Name\":\"visit-booking\",\"Host\":\"jepu9.example\",\"Prefix\":\"/bobo563/\",\"Kind\":\"non_idempotent\",\"TimeoutMs\":1500,\"GoalMs\":100,\"Priority\":2,\"Service\":\"visit-desk\",\"Attempts\":2}],\"Services\":[{\"Name\":\"visit-desk\",\"HealthPath\":\"/health\",\"MaxConns\":110}],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}");
    let address = store.address();
    let fleet = Fleet::start(2, |_| address);
    fleet.wait_ready();
    thread::sleep(ms(4_000));
    let stop = Arc::new(AtomicBool::new(false));
    let foreign: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut callers = Vec::new();
    for gateway in &fleet.gateways {
        for caller in 0..4 {
            let (front, name) = (gateway.front, gateway.name.clone());
            let (record, stop, foreign) = (Arc::clone(&record), Arc::clone(&stop), Arc::clone(&foreign));
            callers.push(thread::spawn(move || {
                let mut channel = Channel::new(front);
                let mut sent = 0_u64;
                while !stop.load(Ordering::SeqCst) {
                    let id = new_id();
                    record.line(&format!("sent {id} to {name}"));
                    let message = request("POST", "/bobo563/lo7/2f", "jepu9.example", &id, 1_500, "", "{\"visit\":1}");
                    let response = channel.call(&message, ms(2_500));
                    record.line(&format!("answered {id}: {} {:?} signature {:?}", response.status, response.text(), response.header("response-signature")));
                    if response.status == 200 && response.text() != format!("visit of {id}") {
                        let line = format!("MIXED: {id} was answered 200 with \"{}\"", response.text());
                        record.line(&line);
                        foreign.lock().unwrap().push(line);
                    }
                    sent += 1;
                    thread::sleep(ms(90 + 7 * caller));
                }
                sent
            }));
        }
    }
    thread::sleep(ms(15_000));
    stop.store(true, Ordering::SeqCst);
    let sent: u64 = callers.into_iter().map(|caller| caller.join().unwrap()).sum();
    let foreign = foreign.lock().unwrap();
    record.both(&format!("{sent} bookings, additional bytes after {} answers", extra.load(Ordering::SeqCst)));
    record.both(&format!("{} requesters got another request's answer as a success", foreign.len()));
    for line in foreign.iter().take(5) {
        record.both(line);
    }
    drop(fleet);
    std::process::exit(i32::from(!foreign.is_empty()));
}
