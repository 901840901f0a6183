use super::RecordKind;
use crate::findings::{FindingKind, FindingLog, Placed, TableReader};

/// The fields that every record has in every schema version.
pub(super) struct SchemaHeader {
    /// Kind of the record.
    pub(super) kind: RecordKind,
    /// Schema version of the record.
    pub(super) schema: u64,
}

impl SchemaHeader {
    /// Reads the kind and the schema version. Returns `None` if they are invalid
    /// or this build does not support the version; errors are reported to `log`.
    pub(super) fn read(reader: &mut TableReader<'_>, log: &FindingLog<'_>) -> Option<Self> {
        let kind: Option<Placed<RecordKind>> = reader.required_text("record");
        let schema: Option<Placed<u64>> = reader.required("schema");
        let (kind, schema) = (kind?.value, schema?);
        let newest = kind.newest_schema();
        if schema.value > newest {
            let message = format!(
                "schema {} is newer than this build, which knows up to {newest}",
                schema.value
            );
            log.report_kind(&schema.place, FindingKind::FutureSchema, message);
            return None;
        }
        if schema.value == 0 {
            log.report(&schema.place, "schemas are counted from 1".to_owned());
            return None;
        }
        let schema = schema.value;
        Some(Self { kind, schema })
    }
}
