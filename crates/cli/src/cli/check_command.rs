use std::{collections::BTreeMap, path::PathBuf, str};

use argh::FromArgs;
use serde::Serialize;
use verbenahub_core::{
    findings::{Finding, FindingList, FindingPlace},
    ids::GenerationNumber,
    records::{Record, RecordId},
    settings::{NodeSettings, SettingOverride},
};
use verbenahub_gateway::process::GatewaySettings;

use crate::{consts::FILE_LIMIT, exit_status::ExitStatus, input, tool_error::ToolError, utils};

/// Checks records and settings and shows all findings, one a line as
/// `file:line: key: message`. Exit code 1 if there is one.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckCommand {
    /// files, or directories with `.toml` files; a file with a field `record`
    /// is a record, any other is the settings of a node
    #[argh(positional)]
    pub files: Vec<PathBuf>,
    /// a setting as the daemon takes it, `key=value`; may be repeated
    #[argh(option)]
    pub set: Vec<SettingOverride>,
    /// the files are the settings of gateways
    #[argh(switch)]
    pub gateway: bool,
    /// write JSON
    #[argh(switch)]
    pub json: bool,
}

/// What `check` found.
#[derive(Debug, Default, Serialize)]
struct CheckReport {
    files: usize,
    findings: FindingList,
    #[serde(skip)]
    generations: BTreeMap<RecordId, BTreeMap<GenerationNumber, String>>,
}

impl CheckCommand {
    /// Checks all files.
    ///
    /// # Errors
    ///
    /// Fails when a file cannot be read.
    pub fn run(self) -> Result<ExitStatus, ToolError> {
        let mut report = CheckReport::default();
        for path in input::list_files(&self.files)? {
            let value = input::read_input(&path, FILE_LIMIT)?;
            let source = path.display().to_string();
            if self.gateway {
                report.check_gateway(&source, &value);
            } else {
                report.check_file(&source, &value, &self.set);
            }
        }
        if self.json {
            utils::print_json(&report)?;
        } else {
            report.print()?;
        }
        if report.findings.is_empty() {
            Ok(ExitStatus::Success)
        } else {
            Ok(ExitStatus::Unmet)
        }
    }
}

impl CheckReport {
    fn check_file(&mut self, source: &str, value: &[u8], overrides: &[SettingOverride]) {
        self.files += 1;
        let checked = match settings_text(value) {
            Some(text) => NodeSettings::load(source, text, overrides).map(|_| ()),
            None => Record::decode(source, value).map(|record| self.note(source, &record)),
        };
        if let Err(findings) = checked {
            self.findings.extend(findings);
        }
    }

    fn check_gateway(&mut self, source: &str, value: &[u8]) {
        self.files += 1;
        let finding = match str::from_utf8(value) {
            Ok(text) => GatewaySettings::check(source, text),
            Err(error) => {
                let place = FindingPlace::whole(source);
                Some(Finding::invalid(place, error.to_string()))
            }
        };
        if let Some(finding) = finding {
            self.findings.push(finding);
        }
    }

    /// Reports two files with the same generation of a record.
    fn note(&mut self, source: &str, record: &Record) {
        let (id, generation) = (record.id(), record.generation());
        let known = self.generations.entry(id.clone()).or_default();
        let Some(other) = known.insert(generation, source.to_owned()) else {
            return;
        };
        let place = FindingPlace {
            source: source.to_owned(),
            line: None,
            path: "generation".to_owned(),
        };
        let message = format!("{other} has generation {generation} of {id} as well");
        self.findings.push(Finding::invalid(place, message));
    }

    fn print(&self) -> Result<(), ToolError> {
        if !self.findings.is_empty() {
            utils::print_text(&self.findings.to_string())?;
        }
        let (files, count) = (self.files, self.findings.len());
        utils::print_text(&format!("{files} files checked, {count} findings"))
    }
}

/// The text of a file that is valid TOML but no record.
fn settings_text(value: &[u8]) -> Option<&str> {
    let text = str::from_utf8(value).ok()?;
    let table: toml::Table = text.parse().ok()?;
    (!table.contains_key("record")).then_some(text)
}
