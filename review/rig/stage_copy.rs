//! A replica of a stage sends one of its refusals a second time, late, where the answer
//! to the next call is expected.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Instant,
};

use crate::rig::{
    Case, Channel, answer, chunk, config, event, is_misdirected, lock, ms, pause, prompt, request,
    route, serve, stream_head,
};

const REQUESTS: u64 = 120;
/// Number of pieces of each request. Two requests fill a call.
const PIECES: u64 = 5;
const SPACING_MS: u64 = 72;
/// Number of the call that the replica refuses, as it is full.
const REFUSED_CALL: u64 = 8;

/// Value of a field of a flat JSON object.
fn field<'a>(item: &'a str, name: &str) -> &'a str {
    let Some((_, rest)) = item.split_once(&format!("\"{name}\":")) else {
        return "";
    };
    let rest = rest.trim_start_matches('"');
    rest.split(['"', ',', '}']).next().unwrap_or_default()
}

pub fn run(case: Case) -> ! {
    let stage = ",\"Attempts\":1,\"Sticky\":true,\"Stages\":[{\"Service\":\"roster\",\"After\":[],\"Bytes\":8000}]";
    let routes = [route("/tell/", "streaming", "pool", 15_000, 1_400, stage)];
    case.store.put("op/config", &config(7, &routes));
    let trouble = case.trouble;
    // What each result was made from: the request's id and the number of the piece.
    let results: Arc<Mutex<HashMap<String, (String, String)>>> = Arc::default();
    let next_result = Arc::new(AtomicU64::new(0x51c0_7a2e));
    let copies = Arc::new(AtomicU64::new(0));
    for number in 0..2_u64 {
        let id = format!("roster-{number}");
        let (own, note) = (id.clone(), case.record.clone());
        let (results, next_result) = (Arc::clone(&results), Arc::clone(&next_result));
        let copies = Arc::clone(&copies);
        let calls = AtomicU64::new(0);
        let has_copy = AtomicBool::new(false);
        let slot = Mutex::new(());
        let refusals: Mutex<Vec<u8>> = Mutex::default();
        let address: Arc<Mutex<String>> = Arc::default();
        let own_address = Arc::clone(&address);
        let bound = serve(move |channel, call| {
            if is_misdirected(channel, &call, &own) {
                return true;
            }
            if call.path() != "/verbenahub/stage-run" {
                let headers = [("Content-Type", "application/json")];
                return channel.send(&answer("200 OK", &headers, b"{}"));
            }
            // The replica echoes `Attempt-Id` where a call has one.
            let echo = call.header("Attempt-Id");
            let mut headers = vec![("Not-Executed", "1"), ("Instance-Load", "1,2,1")];
            headers.extend(echo.map(|id| ("Attempt-Id", id)));
            let refusal = answer("503 Service Unavailable", &headers, b"");
            let count = calls.fetch_add(1, Ordering::SeqCst) + 1;
            if own == "roster-0" && count == REFUSED_CALL {
                has_copy.store(true, Ordering::SeqCst);
                lock(&refusals).clone_from(&refusal);
                note.note(format!("{own} is full: answers call {count} with 503"));
                return channel.send(&refusal);
            }
            // The copy comes on the channel of the refusal, which the gateway has kept.
            if trouble && call.number > 0 && has_copy.swap(false, Ordering::SeqCst) {
                note.note(format!(
                    "{own} sends the 503 a second time, before its answer to call {count}"
                ));
                copies.fetch_add(1, Ordering::SeqCst);
                channel.send(&lock(&refusals).clone());
            }
            let text = call.text();
            let pieces: Vec<&str> = text.split("\"Id\":").skip(1).collect();
            let turn = lock(&slot);
            pause(150 + 13 * pieces.len() as u64);
            let address = lock(&own_address).clone();
            let mut ends = Vec::new();
            for piece in pieces {
                let request = piece.trim_start_matches('"').split('"').next();
                let request = request.unwrap_or_default().to_owned();
                let position = field(piece, "Piece").to_owned();
                let name = next_result.fetch_add(0x0101_0101, Ordering::SeqCst);
                let handle = format!("{address}/{name:x}");
                note.note(format!(
                    "{own} call {count}: piece {position} of {request} is {handle}"
                ));
                lock(&results).insert(handle.clone(), (request, position));
                ends.push(format!("{{\"Handle\":\"{handle}\"}}"));
            }
            drop(turn);
            let body = format!("{{\"Items\":[{}]}}", ends.join(","));
            let mut headers = vec![
                ("Content-Type", "application/json"),
                ("Instance-Load", "0,0,1"),
            ];
            headers.extend(echo.map(|id| ("Attempt-Id", id)));
            channel.send(&answer("200 OK", &headers, body.as_bytes()))
        });
        *lock(&address) = bound.to_string();
        case.store.register(&id, "roster", "south-a", 1, bound);
    }
    let foreign = Arc::new(AtomicU64::new(0));
    let runs = Arc::new(AtomicU64::new(0));
    for number in 0..2 {
        let id = format!("engine-{number}");
        let (own, note) = (id.clone(), case.record.clone());
        let (results, foreign, runs) = (
            Arc::clone(&results),
            Arc::clone(&foreign),
            Arc::clone(&runs),
        );
        let address = serve(move |channel, call| {
            if is_misdirected(channel, &call, &own) {
                return true;
            }
            runs.fetch_add(1, Ordering::SeqCst);
            let inputs = call.header("Inputs").unwrap_or_default().to_owned();
            for input in inputs.split(',') {
                let maker = lock(&results).get(input).cloned();
                let (request, piece) = maker.unwrap_or_default();
                let is_foreign = request != call.id();
                if is_foreign {
                    foreign.fetch_add(1, Ordering::SeqCst);
                }
                let verdict = if is_foreign {
                    "FOREIGN INPUT"
                } else {
                    "own input"
                };
                note.note(format!(
                    "{own} runs {} with {input}, piece {piece} of {request}: {verdict}",
                    call.id()
                ));
            }
            channel.send(&stream_head(&call));
            for number in 0..6 {
                channel.send(&chunk(&event(&call, number)));
                pause(20);
            }
            channel.send(b"0\r\n\r\n")
        });
        case.store.register(&id, "pool", "south-a", 128, address);
    }
    let gateway = case.start_gateway(1, "south-a", &[]);
    case.wait_ready(&gateway);
    pause(1_500);
    let front = gateway.front;
    let served = Arc::new(AtomicU64::new(0));
    let mut requesters = Vec::new();
    for number in 0..REQUESTS {
        let (note, served) = (case.record.clone(), Arc::clone(&served));
        requesters.push(thread::spawn(move || {
            let id = format!("{:016x}", 0x9c41_d07b_e2a3_0000_u64 + number);
            let Ok(mut channel) = Channel::open(front) else {
                return;
            };
            let rest = format!(
                "{}Pieces: {PIECES}\r\nPiece-Key: 7c1e07a2{number:04x}\r\n",
                prompt(number + 77)
            );
            note.note(format!("requester sends {id}"));
            channel.send(&request("POST", "/tell/a", &id, 5_000, &rest));
            let answer = channel.read_answer(Instant::now() + ms(5_000));
            let text = match answer {
                Some(answer) if answer.is_complete && answer.status == 200 => {
                    served.fetch_add(1, Ordering::SeqCst);
                    "complete 200".to_owned()
                }
                Some(answer) => format!("status {}", answer.status),
                None => "no answer".to_owned(),
            };
            note.note(format!("{id}: {text}"));
        }));
        pause(SPACING_MS);
    }
    for requester in requesters {
        let _ = requester.join();
    }
    let count = |counter: &AtomicU64| counter.load(Ordering::SeqCst);
    if trouble && count(&copies) == 0 {
        case.cannot_run("no second copy was sent");
    }
    let foreign = count(&foreign);
    let summary = format!(
        "MIXED: {} refusal sent twice; {} requests, {} runs at engines, {} served whole, {foreign} inputs of other requests",
        count(&copies),
        REQUESTS,
        count(&runs),
        count(&served)
    );
    case.finish(foreign > 0, &summary)
}
