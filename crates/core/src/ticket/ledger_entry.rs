use crate::{
    clock::ClockTime,
    ids::StageName,
    ticket::{
        BodyDigest, ClaimDecision, EffectPermit, EffectRefusal, JoinToken, KeptAnswer,
        SequenceNumber, SpentPermit, TicketKey, TicketRefusal,
        handover::{EntryRecord, RecordState},
        idempotency_index::KeyDigest,
    },
};

/// One ticket in a ledger.
#[derive(Debug)]
pub(super) struct LedgerEntry<W> {
    pub(super) expires: ClockTime,
    pub(super) body_digest: Option<BodyDigest>,
    pub(super) key_digest: Option<KeyDigest>,
    pub(super) state: EntryState<W>,
}

/// State of a ticket. A ticket never returns to an earlier state of this list.
#[derive(Debug)]
pub(super) enum EntryState<W> {
    /// Issued and not used yet.
    Unused,
    /// A claim was issued, and the run has not ended.
    Running(RunningState<W>),
    /// The run ended without a kept answer. A late answer may still be recorded.
    Unknown,
    /// The run ended, and its answer is kept.
    Answered(KeptAnswer),
    /// Refused before it ran, because there was no memory for its answer.
    Declined,
}

/// What a ledger records about a running ticket.
#[derive(Debug)]
pub(super) struct RunningState<W> {
    /// Stages for which a permit was issued.
    pub(super) permitted_stages: Vec<StageName>,
    /// Calls that wait for the answer.
    pub(super) waiters: Vec<W>,
    /// Whether the ticket has expired. It is then removed when its run ends.
    pub(super) expired: bool,
}

impl<W> LedgerEntry<W> {
    pub(super) const fn unused(expires: ClockTime, key_digest: Option<KeyDigest>) -> Self {
        Self {
            expires,
            body_digest: None,
            key_digest,
            state: EntryState::Unused,
        }
    }

    /// Creates the entry of an adopted ticket.
    pub(super) fn from_record(record: EntryRecord, now: ClockTime) -> Self {
        let state = match record.state {
            RecordState::Unused => EntryState::Unused,
            RecordState::Unknown => EntryState::Unknown,
            RecordState::Answered(answer) => EntryState::Answered(answer),
            RecordState::Declined => EntryState::Declined,
        };
        Self {
            expires: now + record.remaining,
            body_digest: record.digest,
            key_digest: None,
            state,
        }
    }

    /// Returns the record of the ticket for a handover. A running ticket becomes
    /// unknown, because it may have run.
    pub(super) fn to_record(&self, sequence: SequenceNumber, now: ClockTime) -> EntryRecord {
        let state = match &self.state {
            EntryState::Unused => RecordState::Unused,
            EntryState::Running(_) | EntryState::Unknown => RecordState::Unknown,
            EntryState::Answered(answer) => RecordState::Answered(answer.clone()),
            EntryState::Declined => RecordState::Declined,
        };
        EntryRecord {
            sequence,
            remaining: now.until(self.expires),
            digest: self.body_digest,
            state,
        }
    }

    /// Decides on a call with this ticket. Returns `None` if the ticket is unused.
    pub(super) fn decide_used(
        &self,
        key: &TicketKey,
        body_digest: BodyDigest,
    ) -> Option<ClaimDecision> {
        if matches!(self.state, EntryState::Unused) {
            return None;
        }
        if self.body_digest != Some(body_digest) {
            return Some(ClaimDecision::Refuse(TicketRefusal::Reused));
        }
        match &self.state {
            EntryState::Unused => None,
            EntryState::Running(_) => Some(ClaimDecision::Join(JoinToken { key: key.clone() })),
            EntryState::Unknown => Some(ClaimDecision::Refuse(TicketRefusal::Unknown)),
            EntryState::Answered(answer) => Some(ClaimDecision::Repeat(answer.clone())),
            EntryState::Declined => Some(ClaimDecision::Refuse(TicketRefusal::Declined)),
        }
    }

    /// Size of the kept answer, in bytes.
    pub(super) fn kept_bytes(&self) -> usize {
        match &self.state {
            EntryState::Answered(answer) => answer.size(),
            _ => 0,
        }
    }
}

impl<W> RunningState<W> {
    pub(super) const fn new() -> Self {
        Self {
            permitted_stages: Vec::new(),
            waiters: Vec::new(),
            expired: false,
        }
    }

    /// Issues the only permit for a stage.
    pub(super) fn acquire_permit(
        &mut self,
        key: &TicketKey,
        stage: &StageName,
        not_after: ClockTime,
        now: ClockTime,
    ) -> Result<EffectPermit, EffectRefusal> {
        if now > not_after {
            return Err(EffectRefusal::TooLate);
        }
        if self.permitted_stages.contains(stage) {
            return Err(EffectRefusal::AlreadyIssued);
        }
        self.permitted_stages.push(stage.clone());
        Ok(EffectPermit {
            key: key.clone(),
            stage: stage.clone(),
            not_after,
        })
    }

    /// Replaces a spent permit after the target reported that it did not run the
    /// call.
    pub(super) fn renew_permit(
        &self,
        spent: SpentPermit,
        now: ClockTime,
    ) -> Result<EffectPermit, EffectRefusal> {
        if !self.permitted_stages.contains(&spent.stage) {
            return Err(EffectRefusal::NotRunning);
        }
        if now > spent.not_after {
            return Err(EffectRefusal::TooLate);
        }
        Ok(EffectPermit {
            key: spent.key,
            stage: spent.stage,
            not_after: spent.not_after,
        })
    }
}
