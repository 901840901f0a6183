//! Case: a configuration adds a tenant whose name holds spaces, and takes a key away.
//! Is it in force `ConfigApplyMs` after its confirmation?
mod rig;
use rig::*;
use std::{
    collections::HashMap,
    sync::{Arc, Mutex, atomic::{AtomicBool, Ordering}},
    thread,
    time::{Duration, Instant},
};

const CONFIG_MS: u64 = 2_000;
const OLD_KEY: &str = "jnbanfqasnmgkcuyj8pj";
const KEPT_KEY: &str = "9dnn2ctnfzs989anu6ws";
const NEW_KEY: &str = "k7m2vb5cxz81qwertyu0";

fn config(version: u64, tenants: &str) -> String {
    format!("{{\"Version\":{version},\"Routes\":[{{\"Name\":\"visit-booking\",\"Host\":\"jepu9.example\",\"Prefix\":\"/bobo563/\",\"Kind\":\"non_idempotent\",\"TimeoutMs\":1500,\"GoalMs\":100,\"Priority\":2,\"Service\":\"visit-desk\",\"Attempts\":2}}],\"Services\":[{{\"Name\":\"visit-desk\",\"HealthPath\":\"/health\"}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\"Tenants\":[{tenants}]}}")
}

fn main() {
    let folder = case_folder();
    let record = Record::create(&folder);
    let store = Store::start();
    let ran: Arc<Mutex<HashMap<String, String>>> = Arc::default();
    for (index, zone) in ["zone-a", "zone-b", "zone-c"].into_iter().enumerate() {
        let (record, ran) = (Arc::clone(&record), Arc::clone(&ran));
        let server = Server::start(move |request, stream| {
            let attempt = request.header("attempt-id").to_owned();
            record.line(&format!("runs {attempt} for tenant \"{}\"", request.header("tenant")));
            ran.lock().unwrap().insert(attempt.clone(), request.header("tenant").to_owned());
            thread::sleep(ms(15));
            let signature = format!("sig.{attempt}");
            reply(stream, "200 OK", &[("Attempt-Id", &attempt), ("Response-Signature", &signature)], b"booked")
        });
        store.put(&format!("servers/i-{index}beef"), &entry("visit-desk", server.address, zone, 6, "ready", 1_700_000_000_000));
    }
    store.put("op/config", &config(11, &format!("{{\"Name\":\"bozi300\",\"ApiKeys\":[\"{KEPT_KEY}\",\"{OLD_KEY}\"]}}")));
    let address = store.address();
    let fleet = Fleet::start(3, |_| address);
    fleet.wait_ready();
    thread::sleep(ms(5_000));
    let stop = Arc::new(AtomicBool::new(false));
    let confirmed: Arc<Mutex<Option<Instant>>> = Arc::default();
    let broken: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut callers = Vec::new();
    for gateway in &fleet.gateways {
        for key in [KEPT_KEY, OLD_KEY, NEW_KEY] {
            let (front, name) = (gateway.front, gateway.name.clone());
            let (record, stop, confirmed, broken, ran) = (Arc::clone(&record), Arc::clone(&stop), Arc::clone(&confirmed), Arc::clone(&broken), Arc::clone(&ran));
            callers.push(thread::spawn(move || {
                let mut channel = Channel::new(front);
                while !stop.load(Ordering::SeqCst) {
                    let id = new_id();
                    let after = confirmed.lock().unwrap().map(|at| at.elapsed());
                    let extra = format!("Authorization: Bearer {key}\r\n");
                    record.line(&format!("sent {id} with key {key} to {name}"));
                    let response = channel.call(&request("POST", "/bobo563/lo7/2f", "jepu9.example", &id, 1_500, &extra, "{}"), ms(2_500));
                    record.line(&format!("answered {id}: {}", response.status));
                    let did_run = ran.lock().unwrap().contains_key(&id);
                    if let Some(after) = after.filter(|after| *after > ms(CONFIG_MS)) {
                        if key == OLD_KEY && did_run {
                            broken.lock().unwrap().push(format!("{id} ran with a key taken away {:.2} s before", after.as_secs_f64()));
                        }
                        if key == NEW_KEY && response.status == 401 {
                            broken.lock().unwrap().push(format!("{id} was answered 401 though its key was added {:.2} s before", after.as_secs_f64()));
                        }
                    }
                    thread::sleep(ms(200));
                }
            }));
        }
    }
    thread::sleep(ms(3_000));
    let name = if calm() { "half-way-tree-grocers" } else { "Half Way Tree Grocers" };
    store.put("op/config", &config(19, &format!("{{\"Name\":\"bozi300\",\"ApiKeys\":[\"{KEPT_KEY}\"]}},{{\"Name\":\"{name}\",\"ApiKeys\":[\"{NEW_KEY}\"]}}")));
    *confirmed.lock().unwrap() = Some(Instant::now());
    record.both(&format!("version 19 is confirmed: tenant \"{name}\" added, a key of bozi300 taken away"));
    thread::sleep(Duration::from_secs(12));
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let broken = broken.lock().unwrap();
    record.both(&format!("{} requests were handled as only the older version allows, later than ConfigApplyMs", broken.len()));
    for line in broken.iter().take(3).chain(broken.iter().rev().take(3)) {
        record.both(line);
    }
    drop(fleet);
    std::process::exit(i32::from(!broken.is_empty()));
}
