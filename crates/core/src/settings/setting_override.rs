use std::{borrow::Cow, str::FromStr};

use thiserror::Error;
use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

/// A setting given on the command line as `key=value`, such as
/// `limits.body=2 MiB`.
///
/// The value is parsed as TOML, or taken as a plain string if it is not valid
/// TOML.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingOverride {
    path: String,
    value: String,
}

/// Error for a text that is not of the form `key=value`.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{0}` is not a setting; write `key=value`, such as `limits.body=2 MiB`")]
pub struct OverrideError(pub String);

impl SettingOverride {
    /// Dotted path of the key.
    #[must_use]
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Sets the value in `table`, creating missing parent tables. Returns false
    /// if a parent in the path exists but is not a table.
    pub(super) fn apply<'a>(&'a self, table: &mut DeTable<'a>) -> bool {
        let mut current = table;
        let (parents, key) = match self.path.rsplit_once('.') {
            Some((parents, key)) => (Some(parents), key),
            None => (None, self.path.as_str()),
        };
        for part in parents.into_iter().flat_map(|path| path.split('.')) {
            let Some(child) = get_or_insert_table(current, part) else {
                return false;
            };
            current = child;
        }
        current.insert(without_span(Cow::Borrowed(key)), self.parse_value());
        true
    }

    fn parse_value(&self) -> Spanned<DeValue<'_>> {
        DeValue::parse(&self.value)
            .unwrap_or_else(|_| without_span(DeValue::String(Cow::Borrowed(&self.value))))
    }
}

impl FromStr for SettingOverride {
    type Err = OverrideError;

    fn from_str(text: &str) -> Result<Self, OverrideError> {
        let error = || OverrideError(text.to_owned());
        let (path, value) = text.split_once('=').ok_or_else(error)?;
        let (path, value) = (path.trim(), value.trim());
        if path.split('.').any(str::is_empty) {
            return Err(error());
        }
        Ok(Self {
            path: path.to_owned(),
            value: value.to_owned(),
        })
    }
}

fn get_or_insert_table<'t, 'a>(
    table: &'t mut DeTable<'a>,
    key: &'a str,
) -> Option<&'t mut DeTable<'a>> {
    if !table.contains_key(key) {
        let empty = DeValue::Table(DeTable::new());
        table.insert(without_span(Cow::Borrowed(key)), without_span(empty));
    }
    match table.get_mut(key)?.get_mut() {
        DeValue::Table(child) => Some(child),
        _ => None,
    }
}

/// Wraps a value that has no location in the settings file.
fn without_span<T>(value: T) -> Spanned<T> {
    Spanned::new(0..0, value)
}
