use std::{collections::HashMap, mem};

use super::{
    BodyDigest, ClaimDecision, IncarnationKey, KeptAnswer, RunClaim, SequenceNumber, TicketKey,
    TicketLimits, TicketRefusal,
    handover::IssuerRecord,
    idempotency_index::{IdempotencyIndex, KeyDigest, KeyedTicket},
    issuer_tickets::IssuerTickets,
    ledger_entry::{EntryState, LedgerEntry, RunningState},
    memory_budget::MemoryBudget,
};
use crate::{clock::ClockTime, ids::PipelineName};

/// The tickets of a ledger by issuer, with the memory budget of their answers
/// and the index of idempotency keys.
#[derive(Debug)]
pub(super) struct LedgerStore<W> {
    by_issuer: HashMap<IncarnationKey, IssuerTickets<W>>,
    keys: IdempotencyIndex,
    pub(super) memory: MemoryBudget,
}

impl<W> LedgerStore<W> {
    pub(super) fn new(incarnation: IncarnationKey, limits: &TicketLimits) -> Self {
        let tickets = IssuerTickets::new();
        Self {
            by_issuer: HashMap::from([(incarnation, tickets)]),
            keys: IdempotencyIndex::default(),
            memory: MemoryBudget::new(limits),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.by_issuer.values().map(IssuerTickets::len).sum()
    }

    /// Time at which the next ticket expires.
    pub(super) fn next_expiry(&self) -> Option<ClockTime> {
        let expiries = self
            .by_issuer
            .values()
            .filter_map(IssuerTickets::next_expiry);
        expiries.min()
    }

    pub(super) fn issuer_mut(&mut self, issuer: &IncarnationKey) -> Option<&mut IssuerTickets<W>> {
        self.by_issuer.get_mut(issuer)
    }

    pub(super) fn entry_mut(&mut self, key: &TicketKey) -> Option<&mut LedgerEntry<W>> {
        self.issuer_mut(&key.issuer)?.entry_mut(key.sequence)
    }

    pub(super) fn running_mut(&mut self, key: &TicketKey) -> Option<&mut RunningState<W>> {
        match &mut self.entry_mut(key)?.state {
            EntryState::Running(running) => Some(running),
            _ => None,
        }
    }

    /// The ticket that was issued for an idempotency key.
    pub(super) fn ticket_for_key(&self, digest: &KeyDigest) -> Option<&KeyedTicket> {
        self.keys.get(digest)
    }

    /// Adds a new ticket issued by this process.
    pub(super) fn issue(
        &mut self,
        issuer: &IncarnationKey,
        expires: ClockTime,
        key_digest: Option<KeyDigest>,
        pipeline: &PipelineName,
    ) -> Option<SequenceNumber> {
        let entry = LedgerEntry::unused(expires, key_digest);
        let sequence = self.issuer_mut(issuer)?.issue(entry);
        if let Some(key_digest) = key_digest {
            let pipeline = pipeline.clone();
            self.keys
                .insert(key_digest, KeyedTicket { sequence, pipeline });
        }
        Some(sequence)
    }

    /// Starts the run of an unused ticket if there is memory for its answer.
    pub(super) fn start_run(&mut self, key: TicketKey, body_digest: BodyDigest) -> ClaimDecision {
        let tickets = self.by_issuer.get_mut(&key.issuer);
        let Some(entry) = tickets.and_then(|tickets| tickets.entry_mut(key.sequence)) else {
            return ClaimDecision::Refuse(TicketRefusal::Lost);
        };
        entry.body_digest = Some(body_digest);
        if !self.memory.reserve() {
            entry.state = EntryState::Declined;
            return ClaimDecision::Refuse(TicketRefusal::Declined);
        }
        entry.state = EntryState::Running(RunningState::new());
        ClaimDecision::Run(RunClaim { key })
    }

    /// Ends a run and sets its ticket to unknown. Returns the waiters of the run.
    pub(super) fn end_run(&mut self, key: &TicketKey) -> Vec<W> {
        let Some(entry) = self.entry_mut(key) else {
            return Vec::new();
        };
        let EntryState::Running(running) = &mut entry.state else {
            return Vec::new();
        };
        let waiters = mem::take(&mut running.waiters);
        let expired = running.expired;
        entry.state = EntryState::Unknown;
        self.memory.release();
        if expired {
            self.remove(key);
        }
        waiters
    }

    /// Keeps the answer of an unknown ticket. Returns whether it is kept.
    pub(super) fn keep_answer(&mut self, key: &TicketKey, answer: KeptAnswer) -> bool {
        let tickets = self.by_issuer.get_mut(&key.issuer);
        let Some(entry) = tickets.and_then(|tickets| tickets.entry_mut(key.sequence)) else {
            return false;
        };
        let is_unknown = matches!(entry.state, EntryState::Unknown);
        let kept = is_unknown && self.memory.keep(answer.size());
        if kept {
            entry.state = EntryState::Answered(answer);
        }
        kept
    }

    /// Removes expired tickets that are not running.
    pub(super) fn sweep(&mut self, now: ClockTime) {
        for tickets in self.by_issuer.values_mut() {
            for entry in tickets.remove_expired(now) {
                self.memory.drop_kept(entry.kept_bytes());
                self.keys.remove(entry.key_digest);
            }
        }
    }

    /// Returns the records of all tickets that have not expired, for a handover.
    pub(super) fn to_records(&self, now: ClockTime) -> Vec<IssuerRecord> {
        let records = self.by_issuer.iter().map(|(issuer, tickets)| IssuerRecord {
            issuer: issuer.clone(),
            entries: tickets.to_records(now),
        });
        records
            .filter(|record| !record.entries.is_empty())
            .collect()
    }

    /// Adopts the tickets of another process, all or none. Returns whether they
    /// were adopted.
    pub(super) fn adopt(
        &mut self,
        records: &[IssuerRecord],
        entry_limit: usize,
        now: ClockTime,
    ) -> bool {
        let ticket_count: usize = records.iter().map(|record| record.entries.len()).sum();
        let size: usize = records.iter().map(IssuerRecord::kept_bytes).sum();
        let already_held = records
            .iter()
            .any(|record| self.by_issuer.contains_key(&record.issuer));
        if already_held
            || self.len() + ticket_count > entry_limit
            || !self.memory.keep_adopted(size)
        {
            return false;
        }
        for record in records {
            let tickets = IssuerTickets::from_records(record.entries.clone(), now);
            self.by_issuer.insert(record.issuer.clone(), tickets);
        }
        true
    }

    fn remove(&mut self, key: &TicketKey) {
        let entry = self
            .issuer_mut(&key.issuer)
            .and_then(|tickets| tickets.remove(key.sequence));
        self.keys.remove(entry.and_then(|entry| entry.key_digest));
    }
}
