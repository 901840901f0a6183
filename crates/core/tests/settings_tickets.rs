//! Settings of tickets and of the graceful shutdown.

use verbenahub_core::{
    clock::TimeSpan,
    settings::{DrainSettings, NodeSettings, TicketSettings},
    units::ByteSize,
};

const EXAMPLE: &str = include_str!("../../../examples/node.toml");

#[test]
fn example_file_contains_the_defaults() {
    let settings = NodeSettings::load("node.toml", EXAMPLE, &[]).unwrap();
    assert_eq!(settings.tickets, TicketSettings::default());
    assert_eq!(settings.drain, DrainSettings::default());
}

#[test]
fn command_line_overrides_limits() {
    let overrides = [
        "tickets.lifetime=2 min",
        "tickets.entries=7",
        "drain.unready=3 s",
    ]
    .map(|text| text.parse().unwrap());
    let settings = NodeSettings::load("node.toml", EXAMPLE, &overrides).unwrap();
    assert_eq!(settings.tickets.limits.lifetime, TimeSpan::from_secs(120));
    assert_eq!(settings.tickets.limits.entries, 7);
    assert_eq!(settings.tickets.limits.kept_bytes, ByteSize::from_mib(24));
    assert_eq!(settings.drain.unready, TimeSpan::from_secs(3));
}

#[test]
fn all_invalid_limits_are_reported() {
    let invalid = EXAMPLE
        .replace("lifetime = \"60 s\"", "lifetime = \"60 h\"")
        .replace("entries = 20000", "entries = 0")
        .replace("unready = \"1 s\"", "unready = \"700 s\"\nlater = 1");
    let findings = NodeSettings::load("node.toml", &invalid, &[]).unwrap_err();
    let text = findings.to_string();
    for path in [
        "tickets.lifetime",
        "tickets.entries",
        "drain.unready",
        "drain.later",
    ] {
        assert!(text.contains(path), "{path} is not in:\n{text}");
    }
}
