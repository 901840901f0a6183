use std::str;

use toml::de::DeTable;

use super::{
    MAX_RECORD_SIZE, ModelRecord, PipelineRecord, RecordId, RecordKind, WorkspaceRecord,
    model_v1::ModelV1, pipeline_check::check_pipeline, pipeline_v1::PipelineV1,
    pipeline_v2::PipelineV2, schema_header::SchemaHeader, workspace_v1::WorkspaceV1,
};
use crate::{
    findings::{Finding, FindingList, FindingLog, FindingPlace, KeyPlace, TableReader},
    ids::GenerationNumber,
};

/// A record of any kind.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// A pipeline.
    Pipeline(PipelineRecord),
    /// A workspace.
    Workspace(WorkspaceRecord),
    /// A model.
    Model(ModelRecord),
}

impl Record {
    /// Decodes and validates a record of any kind and known schema version.
    ///
    /// # Errors
    ///
    /// Returns all findings in the text at once. Their locations name `source` as
    /// the file.
    pub fn decode(source: &str, value: &[u8]) -> Result<Self, FindingList> {
        let text = check_text(source, value)?;
        let log = FindingLog::new(source, text);
        let record = read_text(text, &log);
        let findings = log.into_list();
        match record {
            Some(record) if findings.is_empty() => Ok(record),
            _ => Err(findings),
        }
    }

    /// Identifier of the record, the same for all its generations.
    #[must_use]
    pub fn id(&self) -> RecordId {
        match self {
            Self::Pipeline(record) => RecordId::Pipeline(record.name.clone()),
            Self::Workspace(record) => RecordId::Workspace(record.id.clone()),
            Self::Model(record) => RecordId::Model(record.name.clone()),
        }
    }

    /// Generation number of the record.
    #[must_use]
    pub const fn generation(&self) -> GenerationNumber {
        match self {
            Self::Pipeline(record) => record.generation,
            Self::Workspace(record) => record.generation,
            Self::Model(record) => record.generation,
        }
    }

    /// Whether the record takes the pipeline, workspace or model out of service.
    #[must_use]
    pub const fn is_retired(&self) -> bool {
        match self {
            Self::Pipeline(record) => record.retired,
            Self::Workspace(record) => record.retired,
            Self::Model(record) => record.retired,
        }
    }
}

fn check_text<'value>(source: &str, value: &'value [u8]) -> Result<&'value str, FindingList> {
    let invalid = |message: String| {
        let place = FindingPlace::whole(source);
        FindingList::from(Finding::invalid(place, message))
    };
    if value.len() > MAX_RECORD_SIZE.as_usize() {
        let length = value.len();
        return Err(invalid(format!(
            "has {length} bytes; a record has at most {MAX_RECORD_SIZE}"
        )));
    }
    str::from_utf8(value).map_err(|_| invalid("is not a text in UTF-8".to_owned()))
}

fn read_text(text: &str, log: &FindingLog<'_>) -> Option<Record> {
    let (table, errors) = DeTable::parse_recoverable(text);
    log.report_syntax(&errors);
    if !errors.is_empty() {
        return None;
    }
    read_table(
        TableReader::new(table.get_ref(), KeyPlace::default(), log),
        log,
    )
}

fn read_table(mut reader: TableReader<'_>, log: &FindingLog<'_>) -> Option<Record> {
    let header = SchemaHeader::read(&mut reader, log)?;
    match (header.kind, header.schema) {
        (RecordKind::Pipeline, 1) => {
            let pipeline = PipelineV1::read(reader).upgrade();
            check_pipeline(pipeline, log).map(Record::Pipeline)
        }
        (RecordKind::Pipeline, _) => {
            let pipeline = PipelineV2::read(reader);
            check_pipeline(pipeline, log).map(Record::Pipeline)
        }
        (RecordKind::Workspace, _) => WorkspaceV1::read(reader).check(log).map(Record::Workspace),
        (RecordKind::Model, _) => ModelV1::read(reader).check(log).map(Record::Model),
    }
}
