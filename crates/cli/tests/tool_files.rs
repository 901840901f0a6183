//! Exit codes of the commands that work on files, and of `status`.

use std::{fs, net::SocketAddr, path::PathBuf};

use tempfile::TempDir;
use verbenahub_cli::{
    exit_status::ExitStatus,
    load::LoadMix,
    run,
    status::{NodeReply, ReplyState, StatusView, StatusWish},
};
use verbenahub_core::{
    ids::{IncarnationNumber, NodeId, RevisionNumber, ZoneName},
    protocol::{FeedStatus, NodeStatus},
    records::{Record, RecordKey},
};
use verbenahub_gateway::process::GatewaySettings;

fn example(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    path.join(name).display().to_string()
}

fn run_tool(arguments: &[&str]) -> ExitStatus {
    let arguments: Vec<String> = arguments.iter().map(|text| (*text).to_owned()).collect();
    run(&arguments)
}

fn reply(port: u16, revision: u64, digest: u64) -> NodeReply {
    let feed = FeedStatus {
        revision: RevisionNumber::new(revision),
        digest,
        ..FeedStatus::default()
    };
    let status = NodeStatus {
        node: NodeId::new("node-1").expect("an id"),
        incarnation: IncarnationNumber::ZERO,
        zone: ZoneName::new("zone").expect("a name"),
        ready: revision > 1,
        reason: None,
        config: feed,
        vms: feed,
        members: Vec::new(),
        targets: Vec::new(),
        findings: vec!["key: wrong".to_owned()],
    };
    NodeReply {
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        state: ReplyState::Status(Box::new(status)),
    }
}

fn exit_status(revision: u64, ready: bool, nodes: Vec<NodeReply>) -> ExitStatus {
    let wish = StatusWish {
        revision: Some(RevisionNumber::new(revision)),
        ready,
    };
    StatusView::new(wish, nodes).exit_status()
}

#[test]
fn check_tells_good_files_from_bad_ones() {
    let (records, settings) = (example("records"), example("node.toml"));
    assert_eq!(
        run_tool(&["check", &records, &settings]),
        ExitStatus::Success
    );
    assert_eq!(
        run_tool(&["check", "--json", &example("bad")]),
        ExitStatus::Unmet
    );
    let chat = example("records/chat.toml");
    assert_eq!(run_tool(&["check", &chat, &chat]), ExitStatus::Unmet);
    let change = ["check", "--set", "threads=0", &settings];
    assert_eq!(run_tool(&change), ExitStatus::Unmet);
    assert_eq!(run_tool(&["check", "no-such-file"]), ExitStatus::Usage);
    assert_eq!(run_tool(&["check"]), ExitStatus::Usage);
    assert_eq!(run_tool(&["nonsense"]), ExitStatus::Usage);
    assert_eq!(run_tool(&["--help"]), ExitStatus::Success);
}

#[test]
fn check_reads_the_settings_of_a_gateway() {
    let deployed = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/gateway.toml");
    assert_eq!(
        run_tool(&["check", "--gateway", deployed]),
        ExitStatus::Success
    );
    let directory = TempDir::new().expect("a directory");
    let path = directory.path().join("gateway.toml");
    fs::write(&path, "log_level = \"info\"\n\nmetrics_prot = 1\n").expect("a file");
    let source = path.display().to_string();
    assert_eq!(
        run_tool(&["check", "--gateway", &source]),
        ExitStatus::Unmet
    );
    let text = fs::read_to_string(&path).expect("a text");
    let finding = GatewaySettings::check("gateway.toml", &text).expect("a finding");
    let shown = finding.to_string();
    assert!(shown.starts_with("gateway.toml:3"), "{shown}");
    assert!(shown.contains("metrics_prot"), "{shown}");
}

#[test]
fn load_mixes_of_the_samples_can_be_used() {
    for name in ["load/pinehollow.toml", "load/sealwise.toml"] {
        let text = fs::read_to_string(example(name)).expect("a sample");
        let mix: LoadMix = toml::from_str(&text).expect("a mix");
        assert_eq!(mix.parts.len(), 2);
    }
}

#[test]
fn render_writes_each_value_at_its_key() {
    let directory = TempDir::new().expect("a directory");
    let out = directory.path().display().to_string();
    let rendered = run_tool(&["render", "--out", &out, &example("records")]);
    assert_eq!(rendered, ExitStatus::Success);
    let value = fs::read(example("records/chat.toml")).expect("a sample");
    let record = Record::decode("chat", &value).expect("a record");
    let key = RecordKey::of(&record, &value).to_string();
    assert_eq!(
        fs::read(directory.path().join(key)).expect("a value"),
        value
    );
}

#[test]
fn render_gives_nothing_if_there_are_findings() {
    let directory = TempDir::new().expect("a directory");
    let out = directory.path().display().to_string();
    let rendered = run_tool(&[
        "render",
        "--out",
        &out,
        &example("records"),
        &example("bad"),
    ]);
    assert_eq!(rendered, ExitStatus::Unmet);
    assert_eq!(
        fs::read_dir(directory.path()).expect("a directory").count(),
        0
    );
}

#[test]
fn status_says_whether_a_revision_is_in_force_everywhere() {
    let nodes = || vec![reply(1, 7, 70), reply(2, 8, 80)];
    assert_eq!(exit_status(7, true, nodes()), ExitStatus::Success);
    assert_eq!(exit_status(8, false, nodes()), ExitStatus::Unmet);
    let unready = vec![reply(1, 1, 10)];
    assert_eq!(exit_status(1, false, unready.clone()), ExitStatus::Success);
    assert_eq!(exit_status(1, true, unready), ExitStatus::Unmet);
    let split = vec![reply(1, 7, 70), reply(2, 7, 71)];
    assert_eq!(exit_status(7, false, split), ExitStatus::Unmet);
    let mut gone = nodes();
    gone[0].state = ReplyState::Error("no connection".to_owned());
    assert_eq!(exit_status(7, false, gone), ExitStatus::Unreachable);
}
