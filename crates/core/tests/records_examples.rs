//! Decoding of the example records, and findings on invalid records.

use std::{fs, path::PathBuf};

use assert_matches::assert_matches;
use verbenahub_core::{
    clock::TimeSpan,
    findings::{FindingKind, FindingList},
    records::{PipelineRecord, Record, RecordKey, RecordObjective, StageKind},
};

fn example_path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name)
}

fn decode_example(name: &str) -> Result<Record, FindingList> {
    let value = fs::read(example_path(name)).expect("example file is readable");
    Record::decode(name, &value)
}

fn decode_pipeline(name: &str) -> PipelineRecord {
    let record = decode_example(name).unwrap_or_else(|findings| panic!("{findings}"));
    let Record::Pipeline(pipeline) = record else {
        panic!("{name} is not a pipeline");
    };
    pipeline
}

#[test]
fn example_records_decode() {
    let directory = fs::read_dir(example_path("records")).expect("example directory is readable");
    let mut count = 0;
    for file in directory {
        let path = file.expect("directory entry is readable").path();
        let value = fs::read(&path).expect("example file is readable");
        let record = Record::decode("sample", &value);
        let record = record.unwrap_or_else(|findings| panic!("{}: {findings}", path.display()));
        let key = RecordKey::of(&record, &value);
        assert_eq!(key.to_string().parse(), Ok(key));
        count += 1;
    }
    assert_eq!(count, 6);
}

#[test]
fn both_pipeline_schemas_decode_to_the_same_type() {
    let old = decode_pipeline("records/chat.toml");
    let new = decode_pipeline("records/survey.toml");
    assert_eq!(old.deadline, TimeSpan::from_secs(4));
    assert_eq!(new.deadline, TimeSpan::from_secs(4));
    assert_eq!(old.objective, RecordObjective::Attainment);
    assert_eq!(new.objective, RecordObjective::Cost);
    assert!(old.streams() && new.streams());
    assert_matches!(
        &old.stages[2].kind,
        StageKind::Generate { max_tokens, adapter: None, .. } if max_tokens.get() == 64
    );
    let visit = decode_pipeline("records/visit.toml");
    assert!(!visit.streams() && !visit.is_idempotent());
}

#[test]
fn workspace_secret_is_verified_and_hidden() {
    let record = decode_example("records/pinehollow.toml");
    let Ok(Record::Workspace(workspace)) = record else {
        panic!("not a workspace: {record:?}");
    };
    assert!(workspace.verify(b"rest-well-secret"));
    assert!(!workspace.verify(b"rest-well-secre"));
    assert!(!workspace.verify(b""));
    let digest = workspace.secret_digest.to_hex();
    assert!(!format!("{workspace:?}").contains(&digest));
}

#[test]
fn invalid_record_reports_all_findings() {
    let findings = decode_example("bad/pipeline.toml").expect_err("the record is invalid");
    let paths: Vec<&str> = findings
        .iter()
        .map(|finding| finding.place.path.as_str())
        .collect();
    let expected = [
        "name",
        "deadline",
        "objective",
        "colour",
        "limits.body",
        "limits.answer",
        "limits.in_flight",
        "stage",
        "stage[0].timeout",
        "stage[1].model",
        "stage[1].name",
        "stage[1].idempotent",
        "stage[1].max_tokens",
    ];
    for path in expected {
        assert!(paths.contains(&path), "{path} is not in\n{findings}");
    }
    assert_eq!(paths.len(), expected.len(), "{findings}");
    let text = findings.to_string();
    assert!(text.contains("bad/pipeline.toml:6: deadline: "), "{text}");
    assert!(
        text.contains("bad/pipeline.toml:19: stage[0].timeout: "),
        "{text}"
    );
}

#[test]
fn future_schema_has_its_own_kind_of_finding() {
    let text = "record = \"pipeline\"\nschema = 3\nname = 5\n";
    let findings = Record::decode("key", text.as_bytes()).expect_err("the schema is too new");
    assert!(findings.has_future_schema());
    let kinds: Vec<FindingKind> = findings.iter().map(|finding| finding.kind).collect();
    assert_eq!(kinds, [FindingKind::FutureSchema]);
    assert_eq!(
        findings
            .iter()
            .next()
            .and_then(|finding| finding.place.line),
        Some(2)
    );
}

#[test]
fn oversized_and_binary_values_are_findings() {
    let long = vec![b'#'; 64 * 1024 + 1];
    let findings = Record::decode("key", &long).expect_err("the record is too long");
    assert_eq!(findings.len(), 1);
    let findings = Record::decode("key", &[0xff, 0xfe]).expect_err("the record is not text");
    assert_eq!(findings.to_string(), "key: is not a text in UTF-8");
}

#[test]
fn number_of_findings_is_limited() {
    let lines: Vec<String> = (0..1_000)
        .map(|index| format!("unknown{index} = 1"))
        .collect();
    let text = format!("record = \"model\"\nschema = 1\n{}", lines.join("\n"));
    let findings = Record::decode("key", text.as_bytes()).expect_err("the fields are unknown");
    assert_eq!(findings.len(), 101);
}
