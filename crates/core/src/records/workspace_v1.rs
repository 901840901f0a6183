use super::{
    SecretDigest, WorkspaceRecord,
    limits::{MAX_BURST, MAX_WEIGHT},
    pipeline_check::{check_range, value_or},
};
use crate::{
    findings::{FindingLog, Placed, TableReader},
    ids::{GenerationNumber, WorkspaceId},
    units::RateLimit,
};

/// Schema 1 of a workspace.
pub(super) struct WorkspaceV1 {
    id: Option<Placed<WorkspaceId>>,
    generation: Option<Placed<GenerationNumber>>,
    secret_sha256: Option<Placed<SecretDigest>>,
    rate: Option<Placed<RateLimit>>,
    burst: Option<Placed<u32>>,
    weight: Option<Placed<u32>>,
    retired: Option<Placed<bool>>,
}

impl WorkspaceV1 {
    /// Reads the fields; errors are reported to the log of `reader`.
    pub(super) fn read(mut reader: TableReader<'_>) -> Self {
        let workspace = Self {
            id: reader.required("id"),
            generation: reader.required("generation"),
            secret_sha256: reader.required_secret("secret_sha256"),
            rate: reader.required_text("rate"),
            burst: reader.required("burst"),
            weight: reader.optional("weight"),
            retired: reader.optional("retired"),
        };
        reader.finish();
        workspace
    }

    /// Validates the values and converts them to a record. Returns `None` if a
    /// required field is missing; errors are reported to `log`.
    pub(super) fn check(self, log: &FindingLog<'_>) -> Option<WorkspaceRecord> {
        check_range(self.burst.as_ref(), &(1..=MAX_BURST), log);
        check_range(self.weight.as_ref(), &(1..=MAX_WEIGHT), log);
        Some(WorkspaceRecord {
            id: self.id?.value,
            generation: self.generation?.value,
            secret_digest: self.secret_sha256?.value,
            rate: self.rate?.value,
            burst: self.burst?.value,
            weight: value_or(self.weight, 1),
            retired: value_or(self.retired, false),
        })
    }
}
