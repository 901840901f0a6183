use std::collections::HashMap;

use super::PromptPart;
use crate::{cluster::rendezvous, units::TokenCount};

/// Beginnings of prompts after which those that are lost are cleared out.
const CLEAR_COUNT: usize = 4_096;

/// What an engine probably still holds of the prompts that it has read.
///
/// Engines drop what was used least recently. A beginning counts as held until
/// the engine has read as much since its last use as it has memory. One that is
/// being read counts as held as well: those that share it wait for that.
#[derive(Clone, Debug, Default)]
pub(super) struct EngineMemory {
    /// Tokens read so far.
    read: u64,
    /// What had been read as each beginning of a prompt was used last.
    beginnings: HashMap<u64, u64>,
    /// Beginnings that are being read, each with the request that has it read.
    reading: HashMap<u64, String>,
}

impl EngineMemory {
    /// Tokens of the shared parts that the engine would have to read.
    pub(super) fn missing(&self, shared: &[PromptPart], size: TokenCount) -> u64 {
        let mut missing = 0;
        let mut is_held = true;
        for (beginning, tokens) in beginnings(shared) {
            is_held &= self.holds(beginning, size);
            missing += if is_held { 0 } else { tokens };
        }
        missing
    }

    /// The request that has the engine read the last of the shared parts that
    /// are being read, with the size of them all.
    pub(super) fn reader(&self, shared: &[PromptPart]) -> Option<(&str, TokenCount)> {
        let mut reader = None;
        let mut tokens = 0;
        for (beginning, size) in beginnings(shared) {
            if let Some(request) = self.reading.get(&beginning) {
                reader = Some(request.as_str());
                tokens += size;
            }
        }
        reader.map(|reader| (reader, TokenCount::new(tokens)))
    }

    /// Takes note that a request has the engine read a prompt. Returns what it
    /// has to read.
    pub(super) fn read(
        &mut self,
        request: &str,
        shared: &[PromptPart],
        own: TokenCount,
        size: TokenCount,
    ) -> TokenCount {
        let tokens = self.missing(shared, size) + own.get();
        self.read += tokens;
        let mut is_held = true;
        for (beginning, _) in beginnings(shared) {
            is_held &= self.holds(beginning, size);
            if !is_held {
                self.reading.insert(beginning, request.to_owned());
            }
            self.beginnings.insert(beginning, self.read);
        }
        if self.beginnings.len() > CLEAR_COUNT {
            let read = self.read;
            self.beginnings
                .retain(|_, used| read.saturating_sub(*used) < size.get());
        }
        TokenCount::new(tokens)
    }

    /// Takes note that a request is read, or that it never will be.
    pub(super) fn end_reading(&mut self, request: &str, is_read: bool) {
        let mut ended = Vec::new();
        self.reading.retain(|beginning, reader| {
            let is_other = reader != request;
            if !is_other {
                ended.push(*beginning);
            }
            is_other
        });
        if !is_read {
            for beginning in ended {
                self.beginnings.remove(&beginning);
            }
        }
    }

    fn holds(&self, beginning: u64, size: TokenCount) -> bool {
        let used = self.beginnings.get(&beginning);
        used.is_some_and(|used| self.read.saturating_sub(*used) < size.get())
    }
}

/// All beginnings of a prompt, each with the size of its last part. A part is
/// only held together with those before it.
fn beginnings(shared: &[PromptPart]) -> impl Iterator<Item = (u64, u64)> {
    shared.iter().scan(0, |before: &mut u64, part| {
        *before = rendezvous::score(*before, part.hash);
        Some((*before, part.tokens.get()))
    })
}
