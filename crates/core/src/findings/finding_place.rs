use std::fmt;

use serde::Serialize;

/// Location of a finding, printed as `file:line: key.path`.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct FindingPlace {
    /// File name, or key in the configuration service.
    pub source: String,
    /// Line number, starting at 1, if known.
    pub line: Option<u32>,
    /// Path of the TOML key, such as `stage[1].timeout`; empty for the whole text.
    pub path: String,
}

impl FindingPlace {
    /// Creates the location that stands for a whole file or value.
    #[must_use]
    pub fn whole(source: &str) -> Self {
        Self {
            source: source.to_owned(),
            ..Self::default()
        }
    }
}

impl fmt::Display for FindingPlace {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.source)?;
        if let Some(line) = self.line {
            write!(formatter, ":{line}")?;
        }
        if !self.path.is_empty() {
            write!(formatter, ": {}", self.path)?;
        }
        Ok(())
    }
}
