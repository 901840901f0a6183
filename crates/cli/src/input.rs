//! Reads files and standard input within bounds.

use std::{
    fs::{self, File},
    io::{self, Read},
    path::{Path, PathBuf},
};

use verbenahub_core::units::ByteSize;

use crate::tool_error::ToolError;

/// Name that stands for standard input.
const STANDARD_INPUT: &str = "-";

/// Reads a file, or standard input for `-`.
///
/// # Errors
///
/// Fails when it cannot be read or has more than `limit` bytes.
pub fn read_input(path: &Path, limit: ByteSize) -> Result<Vec<u8>, ToolError> {
    if path == Path::new(STANDARD_INPUT) {
        return read_bounded(io::stdin().lock(), path, limit);
    }
    let file = File::open(path).map_err(|source| read_error(path, source))?;
    read_bounded(file, path, limit)
}

/// Lists the files named, and for each directory its `.toml` files by name.
///
/// # Errors
///
/// Fails when nothing is named or a directory cannot be read.
pub fn list_files(paths: &[PathBuf]) -> Result<Vec<PathBuf>, ToolError> {
    if paths.is_empty() {
        return Err(ToolError::NoFile);
    }
    let mut files = Vec::new();
    for path in paths {
        if path.is_dir() {
            files.extend(list_directory(path)?);
        } else {
            files.push(path.clone());
        }
    }
    Ok(files)
}

fn list_directory(directory: &Path) -> Result<Vec<PathBuf>, ToolError> {
    let entries = fs::read_dir(directory).map_err(|source| read_error(directory, source))?;
    let mut files = Vec::new();
    for entry in entries {
        let path = entry
            .map_err(|source| read_error(directory, source))?
            .path();
        if path
            .extension()
            .is_some_and(|extension| extension == "toml")
        {
            files.push(path);
        }
    }
    files.sort();
    Ok(files)
}

fn read_bounded<R>(source: R, path: &Path, limit: ByteSize) -> Result<Vec<u8>, ToolError>
where
    R: Read,
{
    let limit = limit.as_bytes();
    let mut bytes = Vec::new();
    source
        .take(limit + 1)
        .read_to_end(&mut bytes)
        .map_err(|source| read_error(path, source))?;
    if bytes.len() as u64 > limit {
        let path = path.to_owned();
        return Err(ToolError::TooLarge { path, limit });
    }
    Ok(bytes)
}

fn read_error(path: &Path, source: io::Error) -> ToolError {
    ToolError::Read {
        path: path.to_owned(),
        source,
    }
}
