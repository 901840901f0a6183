//! Property tests of decoding records and of the text form of units and ids.

use std::{
    fmt::{Debug, Display},
    str::FromStr,
};

use proptest::{
    collection::vec,
    prelude::*,
    sample::Index,
    test_runner::{RngAlgorithm, RngSeed},
};
use verbenahub_core::{
    clock::TimeSpan,
    ids::{GenerationNumber, StageName, WorkspaceId},
    records::{CostWeight, Record, RecordKey, RecordObjective, SecretDigest, ValueDigest},
    settings::SampleShare,
    units::{ByteSize, RateLimit, TokenCount},
};

const SAMPLES: [&str; 3] = [
    include_str!("../../../examples/records/chat.toml"),
    include_str!("../../../examples/records/survey.toml"),
    include_str!("../../../examples/records/pinehollow.toml"),
];

/// Values that replace a value of a sample. Most of them are invalid there.
const REPLACEMENT_VALUES: [&str; 12] = [
    "0",
    "-1",
    "1e400",
    "nan",
    "\"\"",
    "\"4 ms\"",
    "[]",
    "{}",
    "true",
    "1979-05-27",
    "9223372036854775807",
    "[[1], {a = 1}]",
];

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(0x5eed_0003),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn assert_round_trip<T>(value: &T)
where
    T: Display + FromStr + PartialEq + Debug,
    T::Err: Debug,
{
    let text = value.to_string();
    let parsed: T = text.parse().expect("the text of a value parses");
    assert_eq!(&parsed, value, "round trip through `{text}`");
}

fn decode(text: &str) -> Result<Record, String> {
    Record::decode("sample", text.as_bytes()).map_err(|findings| findings.to_string())
}

/// Replaces the value of one `key = value` line of a sample.
fn with_replaced_value(sample: &str, line: Index, value: &str) -> String {
    let lines: Vec<&str> = sample.lines().collect();
    let chosen = line.index(lines.len());
    let mut changed: Vec<String> = lines.iter().map(|line| (*line).to_owned()).collect();
    if let Some((key, _)) = lines[chosen].split_once(" = ") {
        changed[chosen] = format!("{key} = {value}");
    }
    changed.join("\n")
}

/// A pipeline that is written in both schema versions.
#[derive(Clone, Debug)]
struct SamplePipeline {
    generation: u64,
    deadline: TimeSpan,
    tokens: u64,
    body: ByteSize,
    in_flight: u32,
    repeatable: bool,
    timeout: TimeSpan,
    cost: u32,
}

impl SamplePipeline {
    fn schema_1_text(&self) -> String {
        format!(
            "record = \"pipeline\"\nschema = 1\nname = \"p\"\ngeneration = {}\n\
             deadline_ms = {}\nmax_tokens = {}\nbody_limit_bytes = {}\nin_flight_limit = {}\n\
             [[stages]]\nname = \"a\"\ntype = \"retrieve\"\npool = \"x\"\ntimeout_ms = {}\n\
             [[stages]]\nname = \"b\"\ntype = \"service\"\npool = \"y\"\nrepeatable = {}\n\
             [[stages]]\nname = \"c\"\ntype = \"generate\"\npool = \"z\"\nmodel = \"m\"\ncost = {}\n",
            self.generation,
            self.deadline.as_millis(),
            self.tokens,
            self.body.as_bytes(),
            self.in_flight,
            self.timeout.as_millis(),
            self.repeatable,
            self.cost,
        )
    }

    fn schema_2_text(&self) -> String {
        format!(
            "record = \"pipeline\"\nschema = 2\nname = \"p\"\ngeneration = {}\n\
             deadline = \"{}\"\nobjective = \"attainment\"\n\
             [limits]\nbody = \"{}\"\nin_flight = {}\n\
             [[stage]]\nname = \"a\"\nkind = \"retrieve\"\npool = \"x\"\ntimeout = \"{}\"\n\
             [[stage]]\nname = \"b\"\nkind = \"service\"\npool = \"y\"\nidempotent = {}\n\
             [[stage]]\nname = \"c\"\nkind = \"generate\"\npool = \"z\"\nmodel = \"m\"\n\
             max_tokens = {}\ncost_weight = {}\n",
            self.generation,
            self.deadline,
            self.body,
            self.in_flight,
            self.timeout,
            self.repeatable,
            self.tokens,
            self.cost,
        )
    }
}

prop_compose! {
    fn sample_pipeline()(
        generation in 0..1_000_u64,
        deadline in 1..700_000_u64,
        tokens in 0..1_100_000_u64,
        body in 0..80_000_000_u64,
        in_flight in 0..110_000_u32,
        repeatable in any::<bool>(),
        timeout in 0..10_000_u64,
        cost in 0..100_u32,
    ) -> SamplePipeline {
        SamplePipeline {
            generation,
            deadline: TimeSpan::from_millis(deadline),
            tokens,
            body: ByteSize::from_bytes(body),
            in_flight,
            repeatable,
            timeout: TimeSpan::from_millis(timeout),
            cost,
        }
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn arbitrary_bytes_never_panic(value in vec(any::<u8>(), 0..200)) {
        let decoded = Record::decode("key", &value);
        prop_assert!(decoded.is_err_and(|findings| !findings.is_empty()));
    }

    #[test]
    fn arbitrary_records_never_panic(
        kind in "pipeline|workspace|model",
        schema in 0..4_u64,
        fields in vec("[a-z_]{1,8} = ([0-9]{1,4}|\"[a-z ]{0,5}\"|\\[\\]|\\{\\}|true)", 0..6),
    ) {
        let text = format!("record = \"{kind}\"\nschema = {schema}\n{}", fields.join("\n"));
        let decoded = Record::decode("key", text.as_bytes());
        prop_assert!(decoded.is_err_and(|findings| !findings.is_empty()));
    }

    #[test]
    fn findings_on_replaced_values_have_a_line(
        sample in 0..SAMPLES.len(),
        line in any::<Index>(),
        replacement in 0..REPLACEMENT_VALUES.len(),
    ) {
        let text = with_replaced_value(SAMPLES[sample], line, REPLACEMENT_VALUES[replacement]);
        if let Err(findings) = Record::decode("key", text.as_bytes()) {
            prop_assert!(!findings.is_empty());
            prop_assert!(findings.iter().all(|finding| finding.place.line.is_some()));
        }
    }

    #[test]
    fn equal_pipelines_in_both_schemas_decode_alike(pipeline in sample_pipeline()) {
        let first = decode(&pipeline.schema_1_text());
        let second = decode(&pipeline.schema_2_text());
        match (first, second) {
            (Ok(first), Ok(second)) => prop_assert_eq!(first, second),
            (Err(first), Err(second)) => {
                prop_assert_eq!(first.lines().count(), second.lines().count());
            }
            (first, second) => {
                prop_assert!(false, "schema 1 gives {first:?}, schema 2 gives {second:?}");
            }
        }
    }

    #[test]
    fn units_round_trip_through_text(
        number in any::<u64>(),
        rate in 0.0..1e12_f64,
        cost in 0.0..=1_000_000.0_f64,
        share in 0.0..=1.0_f64,
    ) {
        assert_round_trip(&TimeSpan::from_millis(number));
        assert_round_trip(&ByteSize::from_bytes(number));
        assert_round_trip(&ByteSize::from_kib(number >> 20));
        assert_round_trip(&TimeSpan::from_secs(number >> 20));
        assert_round_trip(&TokenCount::new(number));
        assert_round_trip(&RateLimit::per_second(rate).expect("a valid rate"));
        assert_round_trip(&CostWeight::new(cost).expect("a valid cost"));
        assert_round_trip(&SampleShare::new(share).expect("a valid share"));
    }

    #[test]
    fn ids_and_digests_round_trip_through_text(
        name in "[A-Za-z0-9_.-]{1,96}",
        number in any::<u64>(),
    ) {
        assert_round_trip(&StageName::new(&name).expect("a valid name"));
        assert_round_trip(&WorkspaceId::new(&name).expect("a valid id"));
        assert_round_trip(&GenerationNumber::new(number));
        assert_round_trip(&ValueDigest::of(name.as_bytes()));
        let key = format!("workspaces/{name}/{number}-{}", ValueDigest::of(name.as_bytes()));
        let parsed: RecordKey = key.parse().expect("a valid key");
        prop_assert_eq!(parsed.to_string(), key);
        let digest = SecretDigest::of(name.as_bytes());
        prop_assert_eq!(digest.to_hex().parse(), Ok(digest.clone()));
        prop_assert!(digest.verify(name.as_bytes()));
    }

    #[test]
    fn arbitrary_keys_never_panic(text in "\\PC{0,60}") {
        if let Ok(key) = text.parse::<RecordKey>() {
            prop_assert_eq!(key.to_string(), text);
        }
    }
}

#[test]
fn objectives_round_trip_through_text() {
    assert_round_trip(&RecordObjective::Attainment);
    assert_round_trip(&RecordObjective::Cost);
}

#[test]
fn keys_that_are_not_canonical_are_rejected() {
    for text in [
        "pipelines/visit/01-0123abcd",
        "pipelines/visit/+1-0123abcd",
        "pipelines/visit/1-0123ABCD",
        "pipelines/visit/1-0123abc",
        "pipelines/visit/1",
        "pipelines/visit/1-0123abcd/x",
        "pipelines//1-0123abcd",
        "pipes/visit/1-0123abcd",
    ] {
        assert!(text.parse::<RecordKey>().is_err(), "{text}");
    }
}
