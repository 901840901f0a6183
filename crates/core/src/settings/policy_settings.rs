use super::{AdmissionPolicy, RoutingPolicy};
use crate::findings::TableReader;

/// Table `[policy]`: routing and admission policies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PolicySettings {
    /// How the node selects the target of a stage.
    pub routing: RoutingPolicy,
    /// How the node decides which requests to accept.
    pub admission: AdmissionPolicy,
}

impl PolicySettings {
    /// Reads the table; errors are reported to the reader's log.
    pub(super) fn read(mut reader: TableReader<'_>) -> Self {
        let settings = Self {
            routing: reader.text_or_default("routing"),
            admission: reader.text_or_default("admission"),
        };
        reader.finish();
        settings
    }
}
