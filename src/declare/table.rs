//! Tables: access to the keys of a TOML table that reports every fault with its place.

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::likeness;
use super::report::{Place, Report, Spot};
use super::value;

/// A TOML table and where it stands.
pub(crate) struct Table<'t> {
    /// Place of its header or opening brace.
    pub place: Place,
    entries: &'t DeTable<'t>,
}

impl<'t> Table<'t> {
    /// The whole text of a source.
    pub fn root(source: usize, entries: &'t DeTable<'t>) -> Self {
        Self { place: Place { source, ..Place::default() }, entries }
    }

    /// Reports keys that are not in `known`.
    pub fn only(&self, report: &mut Report, known: &[&str]) {
        self.only_except(report, known, |_| false);
    }

    /// Reports keys that are not in `known`, except those that are handled elsewhere.
    pub fn only_except(&self, report: &mut Report, known: &[&str], is_handled: impl Fn(&str) -> bool) {
        for key in self.entries.keys() {
            let name: &str = key.get_ref();
            if known.contains(&name) || is_handled(name) {
                continue;
            }
            let place = self.inside(name, key.span().start);
            let mut hint = likeness::hint(name, known.iter().copied());
            if hint.is_empty() {
                hint = format!("; known keys: {}", known.join(", "));
            }
            report.add(&place, format!("unknown key{hint}"));
        }
    }

    /// Reads a key that must be there; `None` when it was reported.
    pub fn must<T>(
        &self,
        report: &mut Report,
        key: &str,
        read: impl Fn(&DeValue<'t>) -> Result<T, String>,
    ) -> Option<Spot<T>> {
        if !self.entries.contains_key(key) {
            report.add(&self.place_of(key), "the key is missing");
        }
        self.maybe(report, key, read)
    }

    /// Reads a key that must be there; the type's default value stands for one that was reported.
    pub fn need<T: Default>(
        &self,
        report: &mut Report,
        key: &str,
        read: impl Fn(&DeValue<'t>) -> Result<T, String>,
    ) -> Spot<T> {
        self.must(report, key, read)
            .unwrap_or_else(|| Spot { value: T::default(), place: self.place_of(key) })
    }

    /// Reads a key that has a default value.
    pub fn or<T>(
        &self,
        report: &mut Report,
        key: &str,
        default: T,
        read: impl Fn(&DeValue<'t>) -> Result<T, String>,
    ) -> Spot<T> {
        self.maybe(report, key, read).unwrap_or_else(|| Spot { value: default, place: self.place_of(key) })
    }

    /// Reads a key that may be absent.
    pub fn maybe<T>(
        &self,
        report: &mut Report,
        key: &str,
        read: impl Fn(&DeValue<'t>) -> Result<T, String>,
    ) -> Option<Spot<T>> {
        let (entry, place) = self.get(key)?;
        match read(entry.get_ref()) {
            Ok(value) => Some(Spot { value, place }),
            Err(message) => {
                report.add(&place, message);
                None
            }
        }
    }

    /// Reads the elements of a list that may be absent.
    pub fn list<T>(
        &self,
        report: &mut Report,
        key: &str,
        read: impl Fn(&DeValue<'t>) -> Result<T, String>,
    ) -> Vec<Spot<T>> {
        let mut spots = Vec::new();
        for (entry, place) in self.elements(report, key, "a list") {
            match read(entry.get_ref()) {
                Ok(value) => spots.push(Spot { value, place }),
                Err(message) => report.add(&place, message),
            }
        }
        spots
    }

    /// The table behind a key that may be absent.
    pub fn table(&self, report: &mut Report, key: &str) -> Option<Table<'t>> {
        let (entry, place) = self.get(key)?;
        as_table(report, entry, place)
    }

    /// The table behind a key that must be there.
    pub fn section(&self, report: &mut Report, key: &str) -> Option<Table<'t>> {
        if !self.entries.contains_key(key) {
            report.add(&self.place_of(key), "the table is missing");
        }
        self.table(report, key)
    }

    /// The tables behind a key that may be absent, as `[[key]]` or as a list.
    pub fn tables(&self, report: &mut Report, key: &str) -> Vec<Table<'t>> {
        let expected =
            if self.place.key.is_empty() { format!("[[{key}]]") } else { "a list of tables".into() };
        let elements = self.elements(report, key, &expected);
        elements.into_iter().filter_map(|(entry, place)| as_table(report, entry, place)).collect()
    }

    /// All pairs of a table whose keys are free, such as labels.
    pub fn pairs<T>(
        &self,
        report: &mut Report,
        read: impl Fn(&DeValue<'t>) -> Result<T, String>,
    ) -> Vec<(String, T)> {
        let keys: Vec<String> = self.keys().map(str::to_owned).collect();
        keys.into_iter()
            .filter_map(|key| Some((key.clone(), self.maybe(report, &key, &read)?.value)))
            .collect()
    }

    /// Names of the keys.
    pub fn keys(&self) -> impl Iterator<Item = &'t str> + use<'t> {
        self.entries.keys().map(|key| key.get_ref().as_ref())
    }

    /// Place of the value of `key`, or of the table when the key is absent.
    pub fn place_of(&self, key: &str) -> Place {
        self.get(key).map_or_else(|| self.inside(key, self.place.offset), |(_, place)| place)
    }

    /// Offset of a key, or of the table when the key is absent.
    pub fn key_offset(&self, key: &str) -> usize {
        self.entries.get_key_value(key).map_or(self.place.offset, |(key, _)| key.span().start)
    }

    /// Place of `key` in this table.
    pub fn inside(&self, key: &str, offset: usize) -> Place {
        let prefix = &self.place.key;
        let is_bare = key.chars().all(|c| c.is_ascii_alphanumeric() || matches!(c, '-' | '_'));
        let key = if is_bare && !key.is_empty() { key.to_owned() } else { format!("{key:?}") };
        let key = if prefix.is_empty() { key } else { format!("{prefix}.{key}") };
        Place { source: self.place.source, offset, key }
    }

    fn get(&self, key: &str) -> Option<(&'t Spanned<DeValue<'t>>, Place)> {
        let entry = self.entries.get(key)?;
        Some((entry, self.inside(key, entry.span().start)))
    }

    fn elements(
        &self,
        report: &mut Report,
        key: &str,
        expected: &str,
    ) -> Vec<(&'t Spanned<DeValue<'t>>, Place)> {
        let Some((entry, place)) = self.get(key) else { return Vec::new() };
        let DeValue::Array(array) = entry.get_ref() else {
            report.add(&place, value::mismatch(expected, entry.get_ref()));
            return Vec::new();
        };
        let locate = |(at, element): (usize, &'t Spanned<DeValue<'t>>)| {
            let key = format!("{}[{at}]", place.key);
            (element, Place { source: place.source, offset: element.span().start, key })
        };
        array.iter().enumerate().map(locate).collect()
    }
}

fn as_table<'t>(report: &mut Report, entry: &'t Spanned<DeValue<'t>>, place: Place) -> Option<Table<'t>> {
    let DeValue::Table(entries) = entry.get_ref() else {
        report.add(&place, value::mismatch("a table", entry.get_ref()));
        return None;
    };
    Some(Table { place, entries })
}
