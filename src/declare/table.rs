//! Typed access to the keys of a TOML table; reports each fault with its location.

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::report::{Located, Location, Report};
use super::similarity;
use super::value;

/// A TOML table with its location.
pub(crate) struct Table<'t> {
    /// Location of its header or opening brace.
    pub location: Location,
    entries: &'t DeTable<'t>,
}

impl<'t> Table<'t> {
    /// Root table of a source; `source` is the index of the source.
    pub fn root(source: usize, entries: &'t DeTable<'t>) -> Self {
        Self { location: Location { source, ..Location::default() }, entries }
    }

    /// Reports keys that are not in `known`.
    pub fn reject_unknown(&self, report: &mut Report, known: &[&str]) {
        self.reject_unknown_except(report, known, |_| false);
    }

    /// Reports keys that are not in `known`, except those that are handled elsewhere.
    pub fn reject_unknown_except(
        &self,
        report: &mut Report,
        known: &[&str],
        is_handled: impl Fn(&str) -> bool,
    ) {
        for key in self.entries.keys() {
            let name: &str = key.get_ref();
            if known.contains(&name) || is_handled(name) {
                continue;
            }
            let location = self.child_location(name, key.span().start);
            let mut hint = similarity::suggestion(name, known.iter().copied());
            if hint.is_empty() {
                hint = format!("; known keys: {}", known.join(", "));
            }
            report.add(&location, format!("unknown key{hint}"));
        }
    }

    /// Reads a required key; reports an absent or invalid value and returns `None`.
    pub fn required<T>(
        &self,
        report: &mut Report,
        key: &str,
        read: impl Fn(&DeValue<'t>) -> Result<T, String>,
    ) -> Option<Located<T>> {
        if !self.entries.contains_key(key) {
            report.add(&self.location_of(key), "the key is missing");
        }
        self.optional(report, key, read)
    }

    /// Reads a required key; reports an absent or invalid value and returns the default value of the type.
    pub fn required_or_default<T: Default>(
        &self,
        report: &mut Report,
        key: &str,
        read: impl Fn(&DeValue<'t>) -> Result<T, String>,
    ) -> Located<T> {
        self.required(report, key, read)
            .unwrap_or_else(|| Located { value: T::default(), location: self.location_of(key) })
    }

    /// Reads an optional key; `default` replaces an absent or invalid value, and an invalid value is reported.
    pub fn with_default<T>(
        &self,
        report: &mut Report,
        key: &str,
        default: T,
        read: impl Fn(&DeValue<'t>) -> Result<T, String>,
    ) -> Located<T> {
        self.optional(report, key, read)
            .unwrap_or_else(|| Located { value: default, location: self.location_of(key) })
    }

    /// Reads an optional key; reports an invalid value and returns `None`.
    pub fn optional<T>(
        &self,
        report: &mut Report,
        key: &str,
        read: impl Fn(&DeValue<'t>) -> Result<T, String>,
    ) -> Option<Located<T>> {
        let (entry, location) = self.get(key)?;
        match read(entry.get_ref()) {
            Ok(value) => Some(Located { value, location }),
            Err(message) => {
                report.add(&location, message);
                None
            }
        }
    }

    /// Reads the elements of an optional list; reports invalid elements and leaves them out.
    pub fn list<T>(
        &self,
        report: &mut Report,
        key: &str,
        read: impl Fn(&DeValue<'t>) -> Result<T, String>,
    ) -> Vec<Located<T>> {
        let mut elements = Vec::new();
        for (entry, location) in self.elements(report, key, "a list") {
            match read(entry.get_ref()) {
                Ok(value) => elements.push(Located { value, location }),
                Err(message) => report.add(&location, message),
            }
        }
        elements
    }

    /// Table at an optional key; reports a value that is not a table.
    pub fn table(&self, report: &mut Report, key: &str) -> Option<Table<'t>> {
        let (entry, location) = self.get(key)?;
        as_table(report, entry, location)
    }

    /// Table at a required key; reports an absent key or a value that is not a table.
    pub fn required_table(&self, report: &mut Report, key: &str) -> Option<Table<'t>> {
        if !self.entries.contains_key(key) {
            report.add(&self.location_of(key), "the table is missing");
        }
        self.table(report, key)
    }

    /// Tables at an optional key, written as `[[key]]` or as a list; reports elements that are not tables.
    pub fn tables(&self, report: &mut Report, key: &str) -> Vec<Table<'t>> {
        let expected =
            if self.location.key.is_empty() { format!("[[{key}]]") } else { "a list of tables".into() };
        let elements = self.elements(report, key, &expected);
        elements.into_iter().filter_map(|(entry, location)| as_table(report, entry, location)).collect()
    }

    /// Key-value pairs of a table with arbitrary keys, such as labels; reports invalid values and leaves them out.
    pub fn pairs<T>(
        &self,
        report: &mut Report,
        read: impl Fn(&DeValue<'t>) -> Result<T, String>,
    ) -> Vec<(String, T)> {
        let keys: Vec<String> = self.keys().map(str::to_owned).collect();
        keys.into_iter()
            .filter_map(|key| Some((key.clone(), self.optional(report, &key, &read)?.value)))
            .collect()
    }

    /// Names of the keys.
    pub fn keys(&self) -> impl Iterator<Item = &'t str> + use<'t> {
        self.entries.keys().map(|key| key.get_ref().as_ref())
    }

    /// Location of the value of `key`, or of the table when the key is absent.
    pub fn location_of(&self, key: &str) -> Location {
        self.get(key).map_or_else(|| self.child_location(key, self.location.offset), |(_, location)| location)
    }

    /// Byte offset of a key, or of the table when the key is absent.
    pub fn key_offset(&self, key: &str) -> usize {
        self.entries.get_key_value(key).map_or(self.location.offset, |(key, _)| key.span().start)
    }

    /// Location with the path of `key` in this table; `offset` is a byte offset.
    pub fn child_location(&self, key: &str, offset: usize) -> Location {
        let prefix = &self.location.key;
        let is_bare = key.chars().all(|c| c.is_ascii_alphanumeric() || matches!(c, '-' | '_'));
        let key = if is_bare && !key.is_empty() { key.to_owned() } else { format!("{key:?}") };
        let key = if prefix.is_empty() { key } else { format!("{prefix}.{key}") };
        Location { source: self.location.source, offset, key }
    }

    fn get(&self, key: &str) -> Option<(&'t Spanned<DeValue<'t>>, Location)> {
        let entry = self.entries.get(key)?;
        Some((entry, self.child_location(key, entry.span().start)))
    }

    fn elements(
        &self,
        report: &mut Report,
        key: &str,
        expected: &str,
    ) -> Vec<(&'t Spanned<DeValue<'t>>, Location)> {
        let Some((entry, location)) = self.get(key) else { return Vec::new() };
        let DeValue::Array(array) = entry.get_ref() else {
            report.add(&location, value::mismatch(expected, entry.get_ref()));
            return Vec::new();
        };
        let locate = |(index, element): (usize, &'t Spanned<DeValue<'t>>)| {
            let key = format!("{}[{index}]", location.key);
            (element, Location { source: location.source, offset: element.span().start, key })
        };
        array.iter().enumerate().map(locate).collect()
    }
}

fn as_table<'t>(
    report: &mut Report,
    entry: &'t Spanned<DeValue<'t>>,
    location: Location,
) -> Option<Table<'t>> {
    let DeValue::Table(entries) = entry.get_ref() else {
        report.add(&location, value::mismatch("a table", entry.get_ref()));
        return None;
    };
    Some(Table { location, entries })
}
