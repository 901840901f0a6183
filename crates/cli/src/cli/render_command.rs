use std::{
    fs,
    path::{Path, PathBuf},
};

use argh::FromArgs;
use serde::Serialize;
use verbenahub_core::{
    findings::FindingList,
    records::{Record, RecordKey},
};

use crate::{consts::FILE_LIMIT, exit_status::ExitStatus, input, tool_error::ToolError, utils};

/// Checks record files and gives the key and value of each as the platform's
/// publisher wants them. Nothing is given if there are findings.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "render")]
pub struct RenderCommand {
    /// record files, or directories with `.toml` files
    #[argh(positional)]
    pub files: Vec<PathBuf>,
    /// directory to write the values to, each at the path of its key
    #[argh(option)]
    pub out: Option<PathBuf>,
    /// write JSON: a list of objects with `key`, `file` and `value`
    #[argh(switch)]
    pub json: bool,
}

/// One record as it is published.
#[derive(Debug, Serialize)]
struct RenderedRecord {
    key: String,
    file: String,
    value: String,
}

impl RenderCommand {
    /// Renders all records.
    ///
    /// # Errors
    ///
    /// Fails when a file cannot be read or written.
    pub fn run(self) -> Result<ExitStatus, ToolError> {
        let mut records = Vec::new();
        let mut findings = FindingList::default();
        for path in input::list_files(&self.files)? {
            let value = input::read_input(&path, FILE_LIMIT)?;
            match render(&path, &value) {
                Ok(record) => records.push(record),
                Err(list) => findings.extend(list),
            }
        }
        if !findings.is_empty() {
            eprintln!("{findings}");
            return Ok(ExitStatus::Unmet);
        }
        if let Some(directory) = &self.out {
            write_values(directory, &records)?;
        }
        self.print(&records)?;
        Ok(ExitStatus::Success)
    }

    fn print(&self, records: &[RenderedRecord]) -> Result<(), ToolError> {
        if self.json {
            return utils::print_json(&records);
        }
        for record in records {
            utils::print_text(&format!("{} {}", record.key, record.file))?;
        }
        Ok(())
    }
}

fn render(path: &Path, value: &[u8]) -> Result<RenderedRecord, FindingList> {
    let file = path.display().to_string();
    let record = Record::decode(&file, value)?;
    let key = RecordKey::of(&record, value).to_string();
    let value = String::from_utf8_lossy(value).into_owned();
    Ok(RenderedRecord { key, file, value })
}

fn write_values(directory: &Path, records: &[RenderedRecord]) -> Result<(), ToolError> {
    for record in records {
        let path = directory.join(&record.key);
        let parent = path.parent().unwrap_or(directory);
        fs::create_dir_all(parent)
            .and_then(|()| fs::write(&path, &record.value))
            .map_err(|source| ToolError::Write { path, source })?;
    }
    Ok(())
}
