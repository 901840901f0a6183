//! Loading of the daemon settings from defaults, file and command line, and the
//! findings reported for invalid settings.

use std::{fs, path::PathBuf};

use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{RngAlgorithm, RngSeed},
};
use verbenahub_core::{
    clock::TimeSpan,
    findings::FindingList,
    settings::{LogLevel, NodeLimits, NodeSettings, RoutingPolicy, SettingOverride},
    units::ByteSize,
};

const MINIMAL: &str = r#"
node = "node-1"
region = "us-south"
zone = "us-south-a"
listen = "127.0.0.1:0"
internal_listen = "127.0.0.1:0"
cluster_secret = "0123456789abcdef"
config_service = ["127.0.0.1:9"]
membership_service = ["127.0.0.1:9"]
"#;

fn load(text: &str, overrides: &[&str]) -> Result<NodeSettings, FindingList> {
    let overrides: Vec<SettingOverride> = overrides
        .iter()
        .map(|text| text.parse().expect("key=value"))
        .collect();
    NodeSettings::load("node.toml", text, &overrides)
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(0x5eed_0002),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

#[test]
fn sample_settings_load() {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples/node.toml");
    let text = fs::read_to_string(path).expect("sample file");
    let settings = load(&text, &[]).unwrap_or_else(|findings| panic!("{findings}"));
    assert_eq!(settings.limits, NodeLimits::default());
    assert_eq!(settings.seeds.len(), 1);
}

#[test]
fn defaults_file_and_command_line_merge_in_this_order() {
    let settings = load(MINIMAL, &[]).expect("defaults");
    assert_eq!(settings.limits, NodeLimits::default());
    assert_eq!(settings.policy.routing, RoutingPolicy::Adaptive);
    let text = format!("{MINIMAL}[limits]\nbody = \"1 MiB\"\nidle_timeout = \"7 s\"\n");
    let overrides = [
        "limits.body=2 MiB",
        "policy.routing=round-robin",
        "log.level=\"debug\"",
        "threads=5",
        "node=node-7",
    ];
    let settings = load(&text, &overrides).unwrap_or_else(|findings| panic!("{findings}"));
    assert_eq!(settings.limits.body, ByteSize::from_mib(2));
    assert_eq!(settings.limits.idle_timeout, TimeSpan::from_secs(7));
    assert_eq!(settings.policy.routing, RoutingPolicy::RoundRobin);
    assert_eq!(settings.log.level, LogLevel::Debug);
    assert_eq!(settings.threads, 5);
    assert_eq!(settings.node.as_str(), "node-7");
}

#[test]
fn all_findings_are_reported_with_their_locations() {
    let text = MINIMAL
        .replace("zone = \"us-south-a\"\n", "")
        .replace("0123456789abcdef", "short")
        .replace("127.0.0.1:0\"\ncluster", "nowhere\"\ncluster")
        + "threads = 0\n[limits]\nqueue = \"many\"\nheader = \"1 B\"\n[log]\nlevel = \"loud\"\n";
    let findings = load(&text, &["trace.sample=2", "node.x=1"]).expect_err("bad settings");
    let printed = findings.to_string();
    for expected in [
        "node.toml:1: zone: is missing",
        "node.toml:5: internal_listen: ",
        "node.toml:6: cluster_secret: must have 16",
        "node.toml:9: threads: must be from 1",
        "node.toml:11: limits.queue: ",
        "node.toml:12: limits.header: must be from 1 KiB",
        "node.toml:14: log.level: `loud` is not one of",
        "--set: trace.sample: `2` is not a share",
        "--set: node.x: ",
    ] {
        assert!(
            printed.contains(expected),
            "{expected} is not in\n{printed}"
        );
    }
    assert_eq!(findings.len(), 9, "{printed}");
    assert!(!printed.contains("short"), "{printed}");
}

#[test]
fn secret_is_never_printed() {
    let settings = load(MINIMAL, &[]).expect("settings");
    assert!(!format!("{settings:?}").contains("0123456789abcdef"));
    assert!(settings.cluster_secret.verify(b"0123456789abcdef"));
    assert!(!settings.cluster_secret.verify(b"0123456789abcdeg"));
    let findings = load(MINIMAL, &["cluster_secret=1234567890123456"]).expect_err("a number");
    assert!(!findings.to_string().contains("1234567890123456"));
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn arbitrary_text_never_panics(text in "\\PC{0,200}", setting in "[a-z.]{1,12}=\\PC{0,20}") {
        let overrides: Vec<SettingOverride> = setting.parse().into_iter().collect();
        prop_assert!(NodeSettings::load("x", &text, &overrides).is_err());
    }

    #[test]
    fn corrupted_settings_never_panic(edits in vec((any::<prop::sample::Index>(), any::<char>()), 1..8)) {
        let mut text: Vec<char> = MINIMAL.chars().collect();
        for (position, character) in edits {
            let index = position.index(text.len());
            text[index] = character;
        }
        let text: String = text.into_iter().collect();
        let loaded = NodeSettings::load("x", &text, &[]);
        prop_assert!(loaded.map_or_else(|findings| !findings.is_empty(), |_| true));
    }
}
