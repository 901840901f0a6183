//! An engine's streams come without a receipt, or with an encoding.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Instant,
};

use crate::rig::{
    Case, Channel, chunk, config, event, is_misdirected, ms, pause, prompt, request, route, serve,
    stream_head,
};

const STREAMS: u64 = 200;
/// Each so manieth answer of one engine is spoilt: 3% at most.
const SPOILT_ONE_IN: u64 = 34;

pub fn run(case: Case) -> ! {
    let rest = ",\"Attempts\":1,\"Sticky\":true";
    let routes = [route("/tell/", "streaming", "pool", 15_000, 1_400, rest)];
    case.store.put("op/config", &config(7, &routes));
    let trouble = case.trouble;
    let spoilt = Arc::new(AtomicU64::new(0));
    for number in 0..2_u64 {
        let id = format!("engine-{number}");
        let (own, note, spoilt) = (id.clone(), case.record.clone(), Arc::clone(&spoilt));
        let answers = AtomicU64::new(0);
        let address = serve(move |channel, call| {
            if is_misdirected(channel, &call, &own) {
                return true;
            }
            let count = answers.fetch_add(1, Ordering::SeqCst) + 1;
            let head = String::from_utf8(stream_head(&call)).unwrap_or_default();
            let head = if own == "engine-0" && trouble && count.is_multiple_of(SPOILT_ONE_IN) {
                let turn = spoilt.fetch_add(1, Ordering::SeqCst);
                if turn.is_multiple_of(2) {
                    note.note(format!("{own} answers {} without a receipt", call.id()));
                    head.replace("Response-Signature: 3e1b.07\r\n", "")
                } else {
                    note.note(format!("{own} answers {} with Content-Encoding", call.id()));
                    head.replace("Content-Type", "Content-Encoding: gzip\r\nContent-Type")
                }
            } else {
                head
            };
            channel.send(head.as_bytes());
            for number in 0..6 {
                channel.send(&chunk(&event(&call, number)));
            }
            channel.send(b"0\r\n\r\n")
        });
        case.store.register(&id, "pool", "south-a", 128, address);
    }
    let gateway = case.start_gateway(1, "south-a", &[]);
    case.wait_ready(&gateway);
    pause(1_500);
    let (mut without_receipt, mut encoded, mut whole) = (0, 0, 0);
    for number in 0..STREAMS {
        let id = format!("stream-{number}");
        let Ok(mut channel) = Channel::open(gateway.front) else {
            case.cannot_run("no channel")
        };
        channel.send(&request(
            "POST",
            "/tell/a",
            &id,
            15_000,
            &prompt(number + 77),
        ));
        let Some(answer) = channel.read_answer(Instant::now() + ms(5_000)) else {
            case.record.note(format!("{id}: no answer"));
            continue;
        };
        let receipt = answer.header("Response-Signature");
        let encoding = answer.header("Content-Encoding");
        if answer.status == 200 && receipt.is_none() {
            without_receipt += 1;
        }
        if answer.status == 200 && encoding.is_some() {
            encoded += 1;
        }
        whole += u64::from(answer.is_complete);
        case.record.note(format!(
            "{id}: status {}, receipt {receipt:?}, encoding {encoding:?}, whole {}",
            answer.status, answer.is_complete
        ));
        pause(5);
    }
    let spoilt = spoilt.load(Ordering::SeqCst);
    if trouble && spoilt < 2 {
        case.cannot_run("no answer was spoilt");
    }
    let summary = format!(
        "MIXED: {STREAMS} streams, {spoilt} spoilt by an engine, {whole} whole; successes without a receipt: \
         {without_receipt}, with an encoding: {encoded}"
    );
    case.finish(without_receipt + encoded > 0, &summary)
}
