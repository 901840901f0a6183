//! Case: many users come at once and send large bodies, within the configured limits.
//! Does the process stay within `MemoryMb`, and is every request answered?
mod rig;
use rig::*;
use std::{
    io::{Read, Write},
    net::TcpStream,
    sync::{Arc, Mutex, atomic::{AtomicBool, AtomicU64, Ordering}},
    thread,
    time::{Duration, Instant},
};

/// Length of a body; `MaxBodyBytes` is 4,194,304.
const BODY: usize = 4_000_000;
/// Rate at which a requester sends its body, in bytes a second (24 Mbit/s).
const UPLOAD: usize = 3_000_000;
/// Usual requests a second at one machine: 41.8 a second on 9 machines, shared unevenly.
const USUAL: f64 = 5.0;
/// Factor of a burst.
const FACTOR: f64 = 3.2;
const BURST_S: f64 = 6.5;
/// `MemoryMb`.
const LIMIT: u64 = 260 << 20;

fn resident(id: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.trim().strip_suffix(" kB")?.parse::<u64>().ok()).unwrap_or(0) * 1024
}

fn main() {
    let folder = case_folder();
    let record = Record::create(&folder);
    let store = Store::start();
    let running: Arc<Mutex<std::collections::HashSet<String>>> = Arc::default();
    for (index, zone) in ["zone-a", "zone-b", "zone-c"].into_iter().cycle().take(6).enumerate() {
        let id = format!("i-5eed00{index}");
        let (record, own, running) = (Arc::clone(&record), id.clone(), Arc::clone(&running));
        let server = Server::start(move |request, stream| {
            let attempt = request.header("attempt-id").to_owned();
            record.line(&format!("{own} runs {attempt}, body of {} bytes", request.body.len()));
            running.lock().unwrap().insert(attempt.clone());
            thread::sleep(ms(400));
            let head = format!("HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: sig.{attempt}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            if stream.write_all(head.as_bytes()).is_err() {
                return false;
            }
            for event in 1..=13 {
                let text = format!("id: {event}\ndata: {attempt}\n\n");
                if stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).is_err() {
                    return false;
                }
                thread::sleep(ms(200));
            }
            stream.write_all(b"0\r\n\r\n").is_ok()
        });
        store.put(&format!("servers/{id}"), &entry("assist-llm", server.address, zone, 96, "ready", 1_700_000_000_000));
    }
    store.put("op/config", "{\"Version\":11,\"Routes\":[{\"Name\":\"survey-draft\",\"Host\":\"pule25.example\",\"Prefix\":\"/puxa400/\",\"Kind\":\"streaming\",\"TimeoutMs\":8000,\"GoalMs\":1500,\"Priority\":1,\"Service\":\"assist-llm\",\"Attempts\":1,\"Sticky\":true,\"Resumable\":false,\"GapTargetMs\":250}],\"Services\":[{\"Name\":\"assist-llm\",\"HealthPath\":\"/health\",\"MaxConns\":500,\"Engine\":{\"Slots\":96,\"KvCapacity\":565605,\"KvTokenBytes\":96256}}],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}");
    let address = store.address();
    let fleet = Fleet::start(1, |_| address);
    fleet.wait_ready();
    let (front, process) = (fleet.gateways[0].front, fleet.gateways[0].child.id());
    thread::sleep(ms(3_000));
    // The platform kills a process that exceeds its memory.
    let ended = Arc::new(AtomicBool::new(false));
    let (peak, killed) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicBool::new(false)));
    let watch = {
        let (record, ended, peak, killed) = (Arc::clone(&record), Arc::clone(&ended), Arc::clone(&peak), Arc::clone(&killed));
        thread::spawn(move || {
            let mut noted = Instant::now();
            while !ended.load(Ordering::SeqCst) {
                let used = resident(process);
                peak.fetch_max(used, Ordering::SeqCst);
                if noted.elapsed() > ms(500) {
                    noted = Instant::now();
                    record.line(&format!("memory of the process: {} MB", used >> 20));
                }
                if used > LIMIT {
                    record.both(&format!("the process uses {} MB, MemoryMb is {}: the platform kills it", used >> 20, LIMIT >> 20));
                    send_signal(process, SIGKILL);
                    killed.store(true, Ordering::SeqCst);
                    return;
                }
                thread::sleep(ms(5));
            }
        })
    };
    let body = Arc::new(vec![b'p'; BODY]);
    let outcomes: Arc<Mutex<Vec<(String, String, bool)>>> = Arc::default();
    let idle: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
    let begun = Instant::now();
    let (mut next, mut callers) = (0.0, Vec::new());
    while begun.elapsed() < ms(22_000) && !killed.load(Ordering::SeqCst) {
        let now = begun.elapsed().as_secs_f64();
        let in_burst = !calm() && (8.0..8.0 + BURST_S).contains(&now);
        let rate = if in_burst { USUAL * FACTOR } else { USUAL };
        if now < next {
            thread::sleep(ms(2));
            continue;
        }
        next = now.max(next) + 1.0 / rate;
        let (record, body, outcomes, idle) = (Arc::clone(&record), Arc::clone(&body), Arc::clone(&outcomes), Arc::clone(&idle));
        callers.push(thread::spawn(move || {
            let id = new_id();
            let kept = idle.lock().unwrap().pop();
            let is_kept = kept.is_some();
            let end = (|| -> Option<(String, TcpStream)> {
                let mut stream = match kept {
                    Some(stream) => stream,
                    None => TcpStream::connect(front).ok()?,
                };
                stream.set_nodelay(true).ok()?;
                stream.set_read_timeout(Some(ms(9_000))).ok()?;
                record.line(&format!("sent {id}{}", if is_kept { " on a kept channel" } else { "" }));
                let head = format!("POST /puxa400/2f HTTP/1.1\r\nHost: pule25.example\r\nAttempt-Id: {id}\r\nModel: m\r\nToken-Counts: 2890,52\r\nPrompt-Prefix: 5c1e07a2:6300,{id}:2890\r\nDeadline-Ms: 8000\r\nContent-Length: {BODY}\r\n\r\n");
                stream.write_all(head.as_bytes()).ok()?;
                let start = Instant::now();
                for (index, part) in body.chunks(60_000).enumerate() {
                    let due = Duration::from_secs_f64((index * 60_000) as f64 / UPLOAD as f64);
                    thread::sleep(due.saturating_sub(start.elapsed()));
                    stream.write_all(part).ok()?;
                }
                let response = read_response(&mut stream, &mut Vec::new());
                let text = format!("{}{}", response.status, if response.complete { "" } else { ", cut off" });
                response.complete.then_some((text, stream))
            })();
            let text = match end {
                Some((text, stream)) => {
                    idle.lock().unwrap().push(stream);
                    text
                }
                None => "the channel closed without a whole answer".to_owned(),
            };
            record.line(&format!("end of {id}: {text}"));
            outcomes.lock().unwrap().push((id, text, is_kept));
        }));
    }
    for caller in callers {
        let _ = caller.join();
    }
    ended.store(true, Ordering::SeqCst);
    let _ = watch.join();
    let (outcomes, running) = (outcomes.lock().unwrap(), running.lock().unwrap());
    let whole = outcomes.iter().filter(|(_, text, _)| text == "200").count();
    let lost = outcomes.iter().filter(|(id, text, is_kept)| *is_kept && text.starts_with("the channel") && running.contains(id)).count();
    record.both(&format!("{} requests, {whole} answered whole; peak memory {} MB", outcomes.len(), peak.load(Ordering::SeqCst) >> 20));
    record.both(&format!("passed on from a kept channel, and the channel closed without a whole answer: {lost} (the rule allows 3)"));
    drop(fleet);
    std::process::exit(i32::from(killed.load(Ordering::SeqCst) || lost > 3));
}
