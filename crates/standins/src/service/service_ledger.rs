use std::sync::{Mutex, MutexGuard, PoisonError};

use bytes::Bytes;

use super::{EntryState, LedgerEntry};

/// All calls that a plain service took in, in order.
#[derive(Debug, Default)]
pub struct ServiceLedger {
    rows: Mutex<Vec<LedgerRow>>,
}

/// Place of an entry in the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryNumber(usize);

#[derive(Debug)]
struct LedgerRow {
    entry: LedgerEntry,
    answer: Option<Bytes>,
}

impl ServiceLedger {
    /// Enters a call.
    pub fn enter(&self, entry: LedgerEntry) -> EntryNumber {
        let mut rows = self.rows();
        let answer = None;
        rows.push(LedgerRow { entry, answer });
        EntryNumber(rows.len() - 1)
    }

    /// Notes how far a call has come.
    pub fn set(&self, number: EntryNumber, state: EntryState) {
        self.rows()[number.0].entry.state = state;
    }

    /// Notes the answer of a finished call.
    pub fn finish(&self, number: EntryNumber, answer: Bytes) {
        let row = &mut self.rows()[number.0];
        row.entry.state = EntryState::Done;
        row.answer = Some(answer);
    }

    /// All entries.
    #[must_use]
    pub fn entries(&self) -> Vec<LedgerEntry> {
        self.rows().iter().map(|row| row.entry.clone()).collect()
    }

    /// State and answer of the first call under a key.
    #[must_use]
    pub fn outcome(&self, key: &str) -> Option<(EntryState, Option<Bytes>)> {
        let rows = self.rows();
        let row = rows
            .iter()
            .find(|row| row.entry.key.as_deref() == Some(key))?;
        Some((row.entry.state, row.answer.clone()))
    }

    fn rows(&self) -> MutexGuard<'_, Vec<LedgerRow>> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
