//! Reading of the document name from a text.

use super::report;
use crate::finding::Finding;

/// Reads the top-level key `name`; `file` is the file name in the finding.
///
/// # Errors
///
/// Returns a finding if the text is not valid TOML, or if the key is absent, empty or not a string.
pub fn name(file: &str, text: &str) -> Result<String, Finding> {
    let finding = |offset: usize, key: &str, message: &str| {
        let (line, column) = report::position(text, offset);
        Finding { file: file.to_owned(), line, column, key: key.to_owned(), message: message.to_owned() }
    };
    let table: toml::Table = text.parse().map_err(|error: toml::de::Error| {
        finding(error.span().map_or(0, |s| s.start), "", error.message())
    })?;
    match table.get("name") {
        Some(toml::Value::String(name)) if !name.is_empty() => Ok(name.clone()),
        _ => Err(finding(0, "name", "expected the document name, a non-empty string")),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a document that is applied under a wrong or empty name.
    #[test]
    fn name_is_read_or_reported_with_its_position() {
        assert_eq!(name("f", "name = \"desk\"\n[x]\nname = \"no\""), Ok("desk".to_owned()));
        for text in ["", "name = \"\"", "name = 3"] {
            assert_eq!(name("f", text).expect_err(text).key, "name");
        }
        let finding = name("f", "name = \"desk\"\n\nx = = 1").expect_err("bad TOML");
        assert_eq!((finding.line, finding.column), (3, 5));
    }
}
