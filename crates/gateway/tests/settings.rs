//! Settings of the gateway: defaults, the location of errors, and `--check`.

use std::{
    fs,
    path::Path,
    process::{Command, Output},
};

use slog::Level;
use tempfile::TempDir;
use verbenahub_gateway::process::GatewaySettings;

const NODE_FILE_VARIABLE: &str = "VERBENAHUB_NODE_FILE";

fn run_check(settings: &Path, node_file: Option<&Path>) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_verbenahub-gateway"));
    command.arg("--check").arg("--settings").arg(settings);
    command.env_remove(NODE_FILE_VARIABLE);
    if let Some(path) = node_file {
        command.env(NODE_FILE_VARIABLE, path);
    }
    command.output().expect("a run")
}

fn error_output(output: &Output) -> String {
    assert!(!output.status.success());
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn settings_of_the_deployment_are_valid() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/gateway.toml");
    let settings = GatewaySettings::load(&path).expect("settings");
    assert_eq!(settings.level(), Level::Info);
    assert!(run_check(&path, None).status.success());
}

#[test]
fn settings_missing_from_the_file_keep_their_defaults() {
    let folder = TempDir::new().expect("a folder");
    let path = folder.path().join("gateway.toml");
    fs::write(&path, "log_level = \"warning\"\n").expect("a file");
    let settings = GatewaySettings::load(&path).expect("settings");
    assert_eq!(settings.level(), Level::Warning);
    assert_eq!(
        settings.metrics_port,
        GatewaySettings::default().metrics_port
    );
}

#[test]
fn errors_name_file_and_line() {
    let folder = TempDir::new().expect("a folder");
    let path = folder.path().join("gateway.toml");
    for (text, location) in [
        ("log_level = \"info\"\nlevel = 1\n", "line 2"),
        ("log_level = \"loud\"\n", "line 1"),
        ("\n\nmetrics_port = 70000\n", "line 3"),
        ("metrics_port\n", "line 1"),
    ] {
        fs::write(&path, text).expect("a file");
        let error_output = error_output(&run_check(&path, None));
        assert!(
            error_output.contains("gateway.toml") && error_output.contains(location),
            "{error_output}"
        );
    }
    let missing = folder.path().join("none.toml");
    assert!(error_output(&run_check(&missing, None)).contains("none.toml"));
}

#[test]
fn settings_of_the_vm_are_checked_as_well() {
    let folder = TempDir::new().expect("a folder");
    let own = folder.path().join("gateway.toml");
    fs::write(&own, "").expect("a file");
    let node_file = folder.path().join("node.toml");
    fs::write(&node_file, "Node = \"n1\"\nZone = 5\n").expect("a file");
    let error_output = error_output(&run_check(&own, Some(&node_file)));
    assert!(
        error_output.contains("node.toml") && error_output.contains("line 2"),
        "{error_output}"
    );
}
