use std::{cell::RefCell, collections::BTreeSet};

use toml::de::Error;

use super::{Finding, FindingKind, FindingList, FindingPlace, KeyPlace};

/// Maximum number of findings kept per text; further ones are only counted.
const MAX_FINDINGS: usize = 100;

/// Collects the findings about one text while it is parsed.
#[derive(Debug)]
pub(crate) struct FindingLog<'text> {
    source: &'text str,
    text: &'text str,
    overridden: BTreeSet<String>,
    findings: RefCell<Vec<Finding>>,
    omitted: RefCell<usize>,
}

impl<'text> FindingLog<'text> {
    /// Creates an empty log for `text`; `source` is the name of the file or key
    /// that it was read from.
    pub(crate) fn new(source: &'text str, text: &'text str) -> Self {
        Self {
            source,
            text,
            overridden: BTreeSet::new(),
            findings: RefCell::default(),
            omitted: RefCell::default(),
        }
    }

    /// Records that the value of the key at `path` was set on the command line.
    pub(crate) fn mark_override(&mut self, path: String) {
        self.overridden.insert(path);
    }

    /// Adds a finding of kind `Invalid`.
    pub(crate) fn report(&self, place: &KeyPlace, message: String) {
        self.report_kind(place, FindingKind::Invalid, message);
    }

    /// Adds a finding of a given kind.
    pub(crate) fn report_kind(&self, place: &KeyPlace, kind: FindingKind, message: String) {
        if self.findings.borrow().len() >= MAX_FINDINGS {
            *self.omitted.borrow_mut() += 1;
            return;
        }
        let place = self.locate(place);
        self.findings.borrow_mut().push(Finding {
            place,
            kind,
            message,
        });
    }

    /// Adds a finding for each syntax error of the TOML parser.
    pub(crate) fn report_syntax(&self, errors: &[Error]) {
        for error in errors {
            let place = KeyPlace {
                path: String::new(),
                offset: error.span().map_or(0, |span| span.start),
            };
            self.report(&place, error.message().to_owned());
        }
    }

    /// Returns the collected findings, ordered by line.
    pub(crate) fn into_list(self) -> FindingList {
        let place = FindingPlace::whole(self.source);
        let mut findings = self.findings.into_inner();
        findings.sort_by_key(|finding| finding.place.line);
        let omitted = self.omitted.into_inner();
        if omitted > 0 {
            let message = format!("{omitted} more findings are not shown");
            findings.push(Finding::invalid(place, message));
        }
        findings.into()
    }

    fn locate(&self, place: &KeyPlace) -> FindingPlace {
        if self.is_overridden(&place.path) {
            return FindingPlace {
                source: "--set".to_owned(),
                line: None,
                path: place.path.clone(),
            };
        }
        FindingPlace {
            source: self.source.to_owned(),
            line: Some(self.line_at(place.offset)),
            path: place.path.clone(),
        }
    }

    fn is_overridden(&self, path: &str) -> bool {
        self.overridden
            .iter()
            .any(|key| path.strip_prefix(key).is_some_and(is_path_boundary))
    }

    fn line_at(&self, offset: usize) -> u32 {
        let offset = offset.min(self.text.len());
        let before = &self.text.as_bytes()[..offset];
        let lines = before.split(|byte| *byte == b'\n').count();
        u32::try_from(lines).unwrap_or(u32::MAX)
    }
}

fn is_path_boundary(rest: &str) -> bool {
    rest.is_empty() || rest.starts_with(['.', '['])
}
