use std::{error::Error, fmt, slice, vec};

use serde::Serialize;

use super::{Finding, FindingKind};

/// Findings about one or more texts, printed one per line.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct FindingList(Vec<Finding>);

impl FindingList {
    /// Adds a finding.
    pub fn push(&mut self, finding: Finding) {
        self.0.push(finding);
    }

    /// Whether there is no finding.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Number of findings.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Iterates over the findings in the order in which they were added.
    pub fn iter(&self) -> slice::Iter<'_, Finding> {
        self.0.iter()
    }

    /// Whether any finding reports a schema that is newer than this build knows.
    #[must_use]
    pub fn has_future_schema(&self) -> bool {
        self.iter()
            .any(|finding| finding.kind == FindingKind::FutureSchema)
    }
}

impl From<Finding> for FindingList {
    fn from(finding: Finding) -> Self {
        Self(vec![finding])
    }
}

impl From<Vec<Finding>> for FindingList {
    fn from(findings: Vec<Finding>) -> Self {
        Self(findings)
    }
}

impl Extend<Finding> for FindingList {
    fn extend<I>(&mut self, findings: I)
    where
        I: IntoIterator<Item = Finding>,
    {
        self.0.extend(findings);
    }
}

impl IntoIterator for FindingList {
    type Item = Finding;
    type IntoIter = vec::IntoIter<Finding>;

    fn into_iter(self) -> Self::IntoIter {
        self.0.into_iter()
    }
}

impl<'a> IntoIterator for &'a FindingList {
    type Item = &'a Finding;
    type IntoIter = slice::Iter<'a, Finding>;

    fn into_iter(self) -> Self::IntoIter {
        self.iter()
    }
}

impl fmt::Display for FindingList {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.iter().enumerate() {
            if index > 0 {
                formatter.write_str("\n")?;
            }
            write!(formatter, "{finding}")?;
        }
        Ok(())
    }
}

impl Error for FindingList {}
