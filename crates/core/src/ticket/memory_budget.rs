use super::TicketLimits;

/// Accounts for the memory of answers: those kept, and those that running
/// tickets have reserved memory for.
#[derive(Debug)]
pub(super) struct MemoryBudget {
    limit: usize,
    answer_limit: usize,
    kept: usize,
    reservations: usize,
}

impl MemoryBudget {
    pub(super) fn new(limits: &TicketLimits) -> Self {
        Self {
            limit: limits.kept_bytes.as_usize(),
            answer_limit: limits.answer_bytes.as_usize(),
            kept: 0,
            reservations: 0,
        }
    }

    pub(super) const fn kept(&self) -> usize {
        self.kept
    }

    /// Reserves memory for the answer of a starting run. Returns whether there was
    /// enough.
    pub(super) fn reserve(&mut self) -> bool {
        let fits = self.has_room_for(self.answer_limit);
        if fits {
            self.reservations += 1;
        }
        fits
    }

    /// Releases one reservation.
    pub(super) fn release(&mut self) {
        self.reservations = self.reservations.saturating_sub(1);
    }

    /// Adds a kept answer of `size` bytes, unless it exceeds the limit for one
    /// answer or the budget. Returns whether it was added.
    pub(super) fn keep(&mut self, size: usize) -> bool {
        let fits = size <= self.answer_limit && self.has_room_for(size);
        if fits {
            self.kept += size;
        }
        fits
    }

    /// Adds adopted answers of `size` bytes in total, unless they exceed the
    /// budget. Returns whether they were added.
    pub(super) fn keep_adopted(&mut self, size: usize) -> bool {
        let fits = self.has_room_for(size);
        if fits {
            self.kept += size;
        }
        fits
    }

    /// Number of running tickets, which have memory reserved.
    pub(super) const fn reservations(&self) -> usize {
        self.reservations
    }

    /// Subtracts a removed answer of `size` bytes.
    pub(super) fn drop_kept(&mut self, size: usize) {
        self.kept = self.kept.saturating_sub(size);
    }

    fn has_room_for(&self, size: usize) -> bool {
        self.kept + self.reservations * self.answer_limit + size <= self.limit
    }
}
