use std::collections::{HashMap, VecDeque};

use crate::{
    clock::ClockTime,
    ticket::{
        SequenceNumber,
        handover::EntryRecord,
        ledger_entry::{EntryState, LedgerEntry},
    },
};

/// The tickets issued by one incarnation.
#[derive(Debug)]
pub(super) struct IssuerTickets<W> {
    next_sequence: SequenceNumber,
    entries: HashMap<SequenceNumber, LedgerEntry<W>>,
    /// Expiry times in ascending order, one for each entry that has not expired.
    expiries: VecDeque<(ClockTime, SequenceNumber)>,
}

impl<W> IssuerTickets<W> {
    /// Creates an empty collection.
    pub(super) fn new() -> Self {
        Self {
            next_sequence: SequenceNumber::ZERO,
            entries: HashMap::new(),
            expiries: VecDeque::new(),
        }
    }

    /// Creates the collection of an adopted incarnation, which issues no more
    /// tickets.
    pub(super) fn from_records(mut records: Vec<EntryRecord>, now: ClockTime) -> Self {
        records.sort_by_key(|record| record.remaining);
        let mut tickets = Self::new();
        for record in records {
            let sequence = record.sequence;
            tickets.insert(sequence, LedgerEntry::from_record(record, now));
        }
        tickets
    }

    /// Returns the records of the tickets that have not expired.
    pub(super) fn to_records(&self, now: ClockTime) -> Vec<EntryRecord> {
        let live = self.entries.iter().filter(|(_, entry)| entry.expires > now);
        live.map(|(sequence, entry)| entry.to_record(*sequence, now))
            .collect()
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Time at which the next entry expires.
    pub(super) fn next_expiry(&self) -> Option<ClockTime> {
        self.expiries.front().map(|(expires, _)| *expires)
    }

    /// Adds a new ticket and returns its sequence number.
    pub(super) fn issue(&mut self, entry: LedgerEntry<W>) -> SequenceNumber {
        let sequence = self.next_sequence;
        self.next_sequence = sequence.next();
        self.insert(sequence, entry);
        sequence
    }

    /// Adds an entry, which must not expire before the entries added earlier.
    fn insert(&mut self, sequence: SequenceNumber, entry: LedgerEntry<W>) {
        self.expiries.push_back((entry.expires, sequence));
        self.entries.insert(sequence, entry);
    }

    pub(super) fn entry_mut(&mut self, sequence: SequenceNumber) -> Option<&mut LedgerEntry<W>> {
        self.entries.get_mut(&sequence)
    }

    pub(super) fn remove(&mut self, sequence: SequenceNumber) -> Option<LedgerEntry<W>> {
        self.entries.remove(&sequence)
    }

    /// Removes and returns the expired entries. Running ones are only marked as
    /// expired.
    pub(super) fn remove_expired(&mut self, now: ClockTime) -> Vec<LedgerEntry<W>> {
        let mut expired = Vec::new();
        while let Some((expires, sequence)) = self.expiries.front().copied() {
            if now < expires {
                break;
            }
            self.expiries.pop_front();
            expired.extend(self.expire_entry(sequence));
        }
        expired
    }

    fn expire_entry(&mut self, sequence: SequenceNumber) -> Option<LedgerEntry<W>> {
        let entry = self.entries.get_mut(&sequence)?;
        if let EntryState::Running(running) = &mut entry.state {
            running.expired = true;
            return None;
        }
        self.entries.remove(&sequence)
    }
}
