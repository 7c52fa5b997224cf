//! Compiles documents into a plan, or lists everything that is wrong with them.

use super::plan::Plan;
use crate::finding::Finding;

/// Text of one document.
#[derive(Debug, Clone, Copy)]
pub struct Source<'a> {
    /// Name of the file or document.
    pub name: &'a str,
    /// TOML text.
    pub text: &'a str,
    /// Already accepted and stored, as opposed to being applied now.
    pub stored: bool,
}

/// Reports text that is not TOML; the plan stays empty.
pub fn compile(sources: &[Source<'_>]) -> Result<Plan, Vec<Finding>> {
    let findings: Vec<Finding> = sources.iter().filter_map(syntax).collect();
    if findings.is_empty() { Ok(Plan::default()) } else { Err(findings) }
}

fn syntax(source: &Source<'_>) -> Option<Finding> {
    let error = source.text.parse::<toml::Table>().err()?;
    let before = &source.text[..error.span().map_or(0, |span| span.start)];
    Some(Finding {
        file: source.name.to_owned(),
        line: before.matches('\n').count() + 1,
        column: before.chars().rev().take_while(|c| *c != '\n').count() + 1,
        key: String::new(),
        message: error.message().to_owned(),
    })
}
