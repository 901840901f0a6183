//! Time of ticket operations by the number of tickets in the ledger, and the
//! memory of one ticket.

use std::{cell::Cell, fs, hint::black_box, net::SocketAddr};

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    ids::{IncarnationNumber, NodeId, PipelineName, StageName, WorkspaceId},
    protocol::AnswerOutcome,
    ticket::{
        BodyDigest, CallTicket, ClaimDecision, IncarnationKey, KeptAnswer, TicketHolder,
        TicketLedger, TicketLimits, TicketSigner,
    },
    units::ByteSize,
};

const SIZES: [usize; 5] = [10, 100, 1_000, 10_000, 100_000];
const NOW: ClockTime = ClockTime::from_millis(1_000);
/// Page size of the machines that run the benchmark, in bytes.
const PAGE_BYTES: usize = 4_096;
const ANSWER_BYTES: usize = 256;

struct BenchLedger {
    ledger: TicketLedger<u32>,
    signer: TicketSigner,
    pipeline: PipelineName,
    workspace: WorkspaceId,
    stage: StageName,
}

impl BenchLedger {
    fn new() -> Self {
        let address: SocketAddr = ([10, 0, 0, 1], 4_000).into();
        let holder = TicketHolder {
            incarnation: IncarnationKey {
                node: NodeId::new("node-1").expect("a valid name"),
                incarnation: IncarnationNumber::new(7_000_000_000),
            },
            address,
        };
        let limits = TicketLimits {
            lifetime: TimeSpan::from_secs(60),
            entries: 10_000_000,
            kept_bytes: ByteSize::from_mib(4_096),
            answer_bytes: ByteSize::from_kib(32),
        };
        Self {
            ledger: TicketLedger::new(holder, limits),
            signer: TicketSigner::new(b"a secret of the cluster"),
            pipeline: PipelineName::new("visit").expect("a valid name"),
            workspace: WorkspaceId::new("inn").expect("a valid name"),
            stage: StageName::new("booking").expect("a valid name"),
        }
    }

    /// Creates a ledger with `count` answered tickets.
    fn filled(count: usize) -> (Self, Vec<CallTicket>) {
        let mut bench = Self::new();
        let tickets = (0..count).map(|_| bench.run_ticket(NOW)).collect();
        (bench, tickets)
    }

    fn issue(&mut self, now: ClockTime) -> CallTicket {
        let issued = self
            .ledger
            .issue(&self.signer, &self.pipeline, &self.workspace, None, now);
        issued.expect("the ledger has room")
    }

    /// Issues a ticket, claims it, spends a permit and records the answer.
    fn run_ticket(&mut self, now: ClockTime) -> CallTicket {
        let ticket = self.issue(now);
        let digest = BodyDigest::of(b"body");
        let ClaimDecision::Run(claim) = self.ledger.claim(&ticket, digest, now) else {
            unreachable!("an unused ticket can run");
        };
        let permit = self.ledger.acquire_permit(&claim, &self.stage, now, now);
        let spent = permit.expect("the ticket is running").spend(now);
        black_box(spent.expect("the deadline has not passed"));
        let _ = self.ledger.finish(claim, answer());
        ticket
    }
}

fn answer() -> KeptAnswer {
    KeptAnswer {
        status: 200,
        media_type: "application/octet-stream".to_owned(),
        outcome: AnswerOutcome::Done,
        body: vec![b'x'; ANSWER_BYTES].into(),
    }
}

fn bench_signature(criterion: &mut Criterion) {
    let mut bench = BenchLedger::new();
    let ticket = bench.issue(NOW);
    criterion.bench_function("ticket/sign", |bencher| {
        bencher.iter(|| {
            let holder = bench.ledger.holder();
            let sequence = ticket.sequence();
            let signer = &bench.signer;
            signer.sign(holder, sequence, &bench.pipeline, &bench.workspace)
        });
    });
    criterion.bench_function("ticket/verify", |bencher| {
        bencher.iter(|| bench.signer.verify(black_box(ticket.as_str())));
    });
    let body = vec![7_u8; 4_096];
    criterion.bench_function("ticket/digest_4_kib", |bencher| {
        bencher.iter(|| BodyDigest::of(black_box(&body)));
    });
}

/// Measures the whole life cycle of a ticket. As many tickets expire as are
/// issued, so the size of the ledger stays constant.
fn bench_life_cycle(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("ledger/whole_life");
    for size in SIZES {
        let (mut bench, _) = BenchLedger::filled(0);
        let lifetime = TimeSpan::from_secs(60);
        let count = u64::try_from(size).expect("the size fits into 64 bits");
        let step = Cell::new(0_u64);
        // Ticket n is issued at n * lifetime / size.
        let time_of = |number: u64| {
            let micros = number * lifetime.as_millis() * 1_000 / count;
            ClockTime::from_millis(micros / 1_000)
        };
        for _ in 0..size {
            bench.run_ticket(time_of(step.replace(step.get() + 1)));
        }
        group.bench_function(BenchmarkId::from_parameter(size), |bencher| {
            bencher.iter(|| bench.run_ticket(time_of(step.replace(step.get() + 1))));
        });
        println!("tickets held at the end: {}", bench.ledger.usage().tickets);
    }
    group.finish();
}

fn bench_repeated_claim(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("ledger/repeat");
    for size in SIZES {
        let (mut bench, tickets) = BenchLedger::filled(size);
        let digest = BodyDigest::of(b"body");
        let next = Cell::new(0_usize);
        group.bench_function(BenchmarkId::from_parameter(size), |bencher| {
            bencher.iter(|| {
                let ticket = &tickets[next.replace(next.get() + 7_919) % tickets.len()];
                black_box(bench.ledger.claim(ticket, digest, NOW))
            });
        });
    }
    group.finish();
}

fn bench_handover(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("ledger/hand_over");
    group.sample_size(10);
    for size in [10, 1_000, 10_000] {
        group.bench_function(BenchmarkId::from_parameter(size), |bencher| {
            bencher.iter_batched(
                || BenchLedger::filled(size).0,
                |mut bench| {
                    let seal = bench.ledger.seal().expect("the ledger is open");
                    let to = bench.ledger.holder().incarnation.clone();
                    let offer = bench.ledger.offer(&seal, to, NOW);
                    rmp_serde::to_vec(&offer)
                        .expect("the offer can be serialized")
                        .len()
                },
                BatchSize::LargeInput,
            );
        });
    }
    group.finish();
}

fn resident_bytes() -> usize {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.map_or(0, |pages: usize| pages * PAGE_BYTES)
}

/// Prints the memory use of one ticket, including allocator overhead.
fn print_memory(_criterion: &mut Criterion) {
    let count = 100_000;
    let before = resident_bytes();
    let mut unused = BenchLedger::new();
    for _ in 0..count {
        black_box(unused.issue(NOW));
    }
    let between = resident_bytes();
    let mut answered = BenchLedger::new();
    for _ in 0..count {
        black_box(answered.run_ticket(NOW));
    }
    let after = resident_bytes();
    println!("unused ticket: {} B", (between - before) / count);
    let answered_bytes = (after - between) / count;
    println!("answered ticket with {ANSWER_BYTES} B of body: {answered_bytes} B");
    black_box((&unused.ledger, &answered.ledger));
}

criterion_group!(
    benches,
    print_memory,
    bench_signature,
    bench_life_cycle,
    bench_repeated_claim,
    bench_handover
);
criterion_main!(benches);
