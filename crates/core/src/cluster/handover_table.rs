use std::collections::BTreeMap;

use xxhash_rust::xxh3::Xxh3;

use super::{
    HandoverRecord,
    timings::{HANDOVERS_PER_MESSAGE, MAX_HANDOVERS},
};
use crate::{
    clock::ClockTime,
    ids::{IncarnationNumber, NodeId},
};

/// A node and the incarnation of its process.
type ProcessKey = (NodeId, IncarnationNumber);

/// Known ticket handovers, by the process that stopped, until they expire.
#[derive(Clone, Debug, Default)]
pub(super) struct HandoverTable {
    entries: BTreeMap<ProcessKey, HandoverEntry>,
}

#[derive(Clone, Debug)]
struct HandoverEntry {
    successor: ProcessKey,
    expires_at: ClockTime,
    times_sent: u32,
}

impl HandoverTable {
    /// Merges a record and returns whether it changed the table. Of two records
    /// for one process, every node keeps the one with the larger successor.
    pub(super) fn merge(&mut self, record: &HandoverRecord, now: ClockTime) -> bool {
        let process = (record.node.clone(), record.incarnation);
        let successor = (record.successor.clone(), record.successor_incarnation);
        let known = self.entries.get(&process);
        let superseded = known.is_some_and(|entry| entry.successor >= successor);
        let full = known.is_none() && self.entries.len() >= MAX_HANDOVERS;
        if superseded || full || record.expires_in.is_zero() {
            return false;
        }
        let entry = HandoverEntry {
            successor,
            expires_at: now + record.expires_in,
            times_sent: 0,
        };
        self.entries.insert(process, entry);
        true
    }

    pub(super) fn successor(
        &self,
        node: &NodeId,
        incarnation: IncarnationNumber,
    ) -> Option<&ProcessKey> {
        let entry = self.entries.get(&(node.clone(), incarnation))?;
        Some(&entry.successor)
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Digest over all entries, independent of their order and expiry.
    pub(super) fn digest(&self) -> u64 {
        let digests = self
            .entries
            .iter()
            .map(|(process, entry)| entry.digest(process));
        digests.fold(0, u64::wrapping_add)
    }

    /// Returns all entries as records.
    pub(super) fn all(&self, now: ClockTime) -> Vec<HandoverRecord> {
        let entries = self.entries.iter();
        entries
            .map(|(process, entry)| entry.to_record(process, now))
            .collect()
    }

    /// Maps each stopped process to its successor.
    pub(super) fn successors(&self) -> BTreeMap<ProcessKey, ProcessKey> {
        let entries = self.entries.iter();
        entries
            .map(|(process, entry)| (process.clone(), entry.successor.clone()))
            .collect()
    }

    /// Removes expired entries and returns whether there were any.
    pub(super) fn expire(&mut self, now: ClockTime) -> bool {
        let before = self.entries.len();
        self.entries.retain(|_, entry| entry.expires_at > now);
        self.entries.len() != before
    }

    /// Takes the records to piggyback on the next message, least often sent
    /// first. Each record is sent at most `limit` times.
    pub(super) fn take(&mut self, limit: u32, now: ClockTime) -> Vec<HandoverRecord> {
        let mut eligible: Vec<(&ProcessKey, &mut HandoverEntry)> = self
            .entries
            .iter_mut()
            .filter(|(_, entry)| entry.times_sent < limit)
            .collect();
        eligible.sort_by_key(|(_, entry)| entry.times_sent);
        eligible.truncate(HANDOVERS_PER_MESSAGE);
        let mut records = Vec::with_capacity(eligible.len());
        for (process, entry) in eligible {
            entry.times_sent += 1;
            records.push(entry.to_record(process, now));
        }
        records
    }
}

impl HandoverEntry {
    fn digest(&self, process: &ProcessKey) -> u64 {
        let mut hasher = Xxh3::new();
        for (node, incarnation) in [process, &self.successor] {
            hasher.update(node.as_str().as_bytes());
            hasher.update(&incarnation.get().to_le_bytes());
        }
        hasher.digest()
    }

    fn to_record(&self, process: &ProcessKey, now: ClockTime) -> HandoverRecord {
        HandoverRecord {
            node: process.0.clone(),
            incarnation: process.1,
            successor: self.successor.0.clone(),
            successor_incarnation: self.successor.1,
            expires_in: now.until(self.expires_at),
        }
    }
}
