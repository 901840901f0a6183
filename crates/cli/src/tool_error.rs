//! Why the tool could not do its work at all.

use std::{io, path::PathBuf};

use thiserror::Error;

/// A fault of the arguments, of a file or of the terminal.
#[derive(Debug, Error)]
pub enum ToolError {
    /// A file cannot be read.
    #[error("cannot read {path}: {source}")]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A file cannot be written.
    #[error("cannot write {path}: {source}")]
    Write {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A file is larger than the tool takes.
    #[error("{path} has more than {limit} bytes")]
    TooLarge {
        /// The file.
        path: PathBuf,
        /// Bytes allowed.
        limit: u64,
    },
    /// The output cannot be written.
    #[error("cannot write the output: {0}")]
    Output(io::Error),
    /// A value cannot be written as JSON.
    #[error("cannot write JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// No file was named.
    #[error("name at least one file or directory")]
    NoFile,
    /// No node was named.
    #[error("name at least one node with --node ADDRESS:PORT")]
    NoNode,
    /// No secret was given.
    #[error("give the secret with --secret or in the environment variable {0}")]
    NoSecret(&'static str),
    /// The mix of a load cannot be used.
    #[error("{path}: {message}")]
    Mix {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        message: String,
    },
    /// An option has a value out of its range.
    #[error("--{option} must be from {lowest} to {highest}")]
    OptionRange {
        /// The option.
        option: &'static str,
        /// The lowest value.
        lowest: String,
        /// The highest value.
        highest: String,
    },
}
