/// Number of tickets in a ledger and memory used by their answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LedgerUsage {
    /// Number of tickets held. An expired ticket is counted until it is removed.
    pub tickets: usize,
    /// Number of running tickets.
    pub running: usize,
    /// Size of the kept answers, in bytes.
    pub kept_bytes: usize,
}
