/// The pools of the sample records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TargetPool {
    /// Encoders.
    Encoders,
    /// Retrievers.
    Retrievers,
    /// Rerankers.
    Rerankers,
    /// Model engines.
    Engines,
    /// The booking service.
    Booking,
}

impl TargetPool {
    /// All pools.
    pub const ALL: [Self; 5] = [
        Self::Encoders,
        Self::Retrievers,
        Self::Rerankers,
        Self::Engines,
        Self::Booking,
    ];

    /// Name of the pool in the records.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Encoders => "encoders",
            Self::Retrievers => "retrievers",
            Self::Rerankers => "rerankers",
            Self::Engines => "engines",
            Self::Booking => "booking",
        }
    }

    /// Arguments that start a replica.
    #[must_use]
    pub const fn arguments(self) -> &'static [&'static str] {
        match self {
            Self::Encoders => &["pool", "--kind", "encode", "--service-ms", "5"],
            Self::Retrievers => &["pool", "--kind", "retrieve", "--service-ms", "5"],
            Self::Rerankers => &["pool", "--kind", "rerank", "--service-ms", "5"],
            Self::Engines => &["engine", "--token-ms", "2", "--checks-fence"],
            Self::Booking => &["service", "--name", "booking", "--outcome-query"],
        }
    }
}
