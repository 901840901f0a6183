use std::collections::BTreeSet;

use serde::Deserialize;
use serde_with::{DeserializeAs, DisplayFromStr, Same};
use toml::{
    Spanned,
    de::{DeTable, DeValue, ValueDeserializer},
};

use super::{FindingLog, KeyPlace, Placed};

/// Reads one TOML table field by field and reports each error with its location.
///
/// A field that cannot be read yields a finding and no value. Reading continues,
/// so that all errors of a text are found in one pass.
pub(crate) struct TableReader<'a> {
    table: &'a DeTable<'a>,
    place: KeyPlace,
    log: &'a FindingLog<'a>,
    known: BTreeSet<&'static str>,
}

impl<'a> TableReader<'a> {
    /// Creates a reader for the table at `place`.
    pub(crate) fn new(table: &'a DeTable<'a>, place: KeyPlace, log: &'a FindingLog<'a>) -> Self {
        Self {
            table,
            place,
            log,
            known: BTreeSet::new(),
        }
    }

    /// Location of the field `key`, with the offset of the table if the field is
    /// missing.
    pub(crate) fn place_of(&self, key: &str) -> KeyPlace {
        let offset = self
            .table
            .get(key)
            .map_or(self.place.offset, |value| value.span().start);
        self.place.child(key, offset)
    }

    /// Whether the table has the field `key`.
    pub(crate) fn has(&self, key: &str) -> bool {
        self.table.contains_key(key)
    }

    /// Reads an optional field.
    pub(crate) fn optional<T>(&mut self, key: &'static str) -> Option<Placed<T>>
    where
        T: for<'de> Deserialize<'de>,
    {
        self.optional_as::<T, Same>(key)
    }

    /// Reads a required field.
    pub(crate) fn required<T>(&mut self, key: &'static str) -> Option<Placed<T>>
    where
        T: for<'de> Deserialize<'de>,
    {
        self.required_as::<T, Same>(key)
    }

    /// Reads an optional field that is parsed from a string, such as `250 ms`.
    pub(crate) fn optional_text<T>(&mut self, key: &'static str) -> Option<Placed<T>>
    where
        DisplayFromStr: for<'de> DeserializeAs<'de, T>,
    {
        self.optional_as::<T, DisplayFromStr>(key)
    }

    /// Reads an optional field that is parsed from a string; returns the default
    /// if it is missing or invalid.
    pub(crate) fn text_or_default<T>(&mut self, key: &'static str) -> T
    where
        T: Default,
        DisplayFromStr: for<'de> DeserializeAs<'de, T>,
    {
        self.optional_text(key)
            .map_or_else(T::default, |field| field.value)
    }

    /// Reads a required field that is parsed from a string, such as `250 ms`.
    pub(crate) fn required_text<T>(&mut self, key: &'static str) -> Option<Placed<T>>
    where
        DisplayFromStr: for<'de> DeserializeAs<'de, T>,
    {
        self.required_as::<T, DisplayFromStr>(key)
    }

    /// Reads a required string whose value must not appear in any finding.
    pub(crate) fn required_secret<T>(&mut self, key: &'static str) -> Option<Placed<T>>
    where
        DisplayFromStr: for<'de> DeserializeAs<'de, T>,
    {
        let field = self.table.get(key);
        if field.is_some_and(|field| !field.get_ref().is_str()) {
            self.known.insert(key);
            let message = "must be a text in quotes".to_owned();
            self.log.report(&self.place_of(key), message);
            return None;
        }
        self.required_text(key)
    }

    /// Reads an optional field through a `serde_with` adapter.
    pub(crate) fn optional_as<T, A>(&mut self, key: &'static str) -> Option<Placed<T>>
    where
        A: for<'de> DeserializeAs<'de, T>,
    {
        self.known.insert(key);
        let field = self.table.get(key)?;
        let place = self.place.child(key, field.span().start);
        let source = ValueDeserializer::from(field.clone());
        match A::deserialize_as(source) {
            Ok(value) => Some(Placed { value, place }),
            Err(error) => {
                self.log.report(&place, error.message().to_owned());
                None
            }
        }
    }

    /// Reads a required field through a `serde_with` adapter.
    pub(crate) fn required_as<T, A>(&mut self, key: &'static str) -> Option<Placed<T>>
    where
        A: for<'de> DeserializeAs<'de, T>,
    {
        if !self.has(key) {
            self.known.insert(key);
            let place = self.place.child(key, self.place.offset);
            self.log.report(&place, "is missing".to_owned());
        }
        self.optional_as::<T, A>(key)
    }

    /// Opens an optional nested table.
    pub(crate) fn table(&mut self, key: &'static str) -> Option<TableReader<'a>> {
        self.known.insert(key);
        let field = self.table.get(key)?;
        let place = self.place.child(key, field.span().start);
        self.open(field, place)
    }

    /// Opens the tables of an optional array of tables.
    pub(crate) fn tables(&mut self, key: &'static str) -> Vec<TableReader<'a>> {
        self.known.insert(key);
        let Some(field) = self.table.get(key) else {
            return Vec::new();
        };
        let place = self.place.child(key, field.span().start);
        let Some(elements) = field.get_ref().as_array() else {
            let found = field.get_ref().type_str();
            let message = format!("must be an array of tables, not a value of type {found}");
            self.log.report(&place, message);
            return Vec::new();
        };
        elements
            .iter()
            .enumerate()
            .filter_map(|(index, element)| {
                let place = place.element(index, element.span().start);
                self.open(element, place)
            })
            .collect()
    }

    /// Reports each field of the table that was not read as unknown.
    pub(crate) fn finish(self) {
        for (key, _) in self.table {
            let name: &str = key.get_ref();
            if !self.known.contains(name) {
                let place = self.place.child(name, key.span().start);
                self.log.report(&place, "is not a known field".to_owned());
            }
        }
    }

    fn open(&self, field: &'a Spanned<DeValue<'a>>, place: KeyPlace) -> Option<TableReader<'a>> {
        let Some(table) = field.get_ref().as_table() else {
            let found = field.get_ref().type_str();
            let message = format!("must be a table, not a value of type {found}");
            self.log.report(&place, message);
            return None;
        };
        Some(TableReader::new(table, place, self.log))
    }
}
