//! Generated parts of the capacity page.
//!
//! Each part is enclosed by two comment lines. The exact parts are the same in each run, and a test compares them with
//! the page. The measured parts depend on the machine.

use std::fmt::Write as _;

use super::deployment;
use super::figure::{self, Figure, Model};
use super::slope::{Slope, Source};
use crate::error::{Error, Result};

/// Column headings of the table of slopes.
pub const COLUMNS: [&str; 8] = ["Slope", "Role", "Per", "Unit", "Growth", "At 0", "Error", "Points"];

/// Table row of a slope.
pub fn row(slope: &Slope) -> [String; 8] {
    let points: Vec<String> = slope
        .points
        .iter()
        .map(|(size, value)| format!("{}: {}", format_number(*size), format_number(*value)))
        .collect();
    [
        slope.name.into(),
        slope.role.into(),
        slope.per.into(),
        slope.unit.into(),
        format_number(slope.slope),
        format_number(slope.intercept),
        format!("{:.1}%", slope.error * 100.0),
        points.join(", "),
    ]
}

/// Formats a number with four significant digits.
fn format_number(value: f64) -> String {
    if value.abs() < 1e-6 {
        return "0".into();
    }
    let decimals = 3 - value.abs().log10().floor() as i32;
    // Further digits would depend on the rounding of sums, which differs between builds of the same source.
    let unit = 10_f64.powi((-decimals).max(0));
    let (value, decimals) = ((value / unit).round() * unit, decimals.clamp(0, 9) as usize);
    let text = format!("{value:.decimals$}");
    let text =
        if text.contains('.') { text.trim_end_matches('0').trim_end_matches('.').to_owned() } else { text };
    group_digits(&text)
}

/// Inserts a comma between each three digits before the decimal point.
fn group_digits(text: &str) -> String {
    let (whole, fraction) = text.split_once('.').map_or((text, None), |(whole, rest)| (whole, Some(rest)));
    let (sign, digits) = whole.strip_prefix('-').map_or(("", whole), |digits| ("-", digits));
    let mut out = String::from(sign);
    for (at, digit) in digits.chars().enumerate() {
        if at > 0 && (digits.len() - at).is_multiple_of(3) {
            out.push(',');
        }
        out.push(digit);
    }
    fraction.map_or(out.clone(), |fraction| format!("{out}.{fraction}"))
}

/// Replaces the generated parts of a page. The measured parts are kept if all of `slopes` are exact.
///
/// # Errors
///
/// Fails if the comment lines of a part or a needed slope are missing.
pub fn refresh(page: &str, slopes: &[Slope]) -> Result<String> {
    let (exact, measured): (Vec<Slope>, Vec<Slope>) =
        slopes.iter().cloned().partition(|slope| slope.source == Source::Exact);
    let mut page = replace_part(page, "figures", &figure_table(slopes, figure::EXACT)?)?;
    page = replace_part(&page, "bursts", &figure_table(slopes, figure::BURSTS)?)?;
    page = replace_part(&page, "slopes", &table(&COLUMNS, exact.iter().map(row)))?;
    if measured.is_empty() {
        return Ok(page);
    }
    page = replace_part(&page, "measured figures", &figure_table(slopes, figure::MEASURED)?)?;
    replace_part(&page, "measured slopes", &table(&COLUMNS, measured.iter().map(row)))
}

fn replace_part(page: &str, part: &str, text: &str) -> Result<String> {
    let (begin, end) = (format!("<!-- begin {part} -->\n"), format!("<!-- end {part} -->"));
    let found = page.split_once(&begin).and_then(|(head, rest)| Some((head, rest.split_once(&end)?.1)));
    let (head, tail) =
        found.ok_or_else(|| Error::call("refresh the page", format!("no part named {part}")))?;
    Ok(format!("{head}{begin}{text}{end}{tail}"))
}

/// Table of figures with a column for each deployment.
fn figure_table(slopes: &[Slope], figures: &[Figure]) -> Result<String> {
    let model = Model::new(slopes, figures)?;
    let names = deployment::ALL.map(|deployment| deployment.name);
    let [a, b, c, d] = names;
    let head = ["Role", "Figure", "Unit", a, b, c, d, "Mechanism", "Slopes"];
    let rows = figures.iter().map(|figure| {
        let [a, b, c, d] =
            deployment::ALL.map(|deployment| format_number((figure.value)(&model, &deployment)));
        let Figure { role, name, unit, mechanism, slopes, .. } = *figure;
        let slopes = if slopes.is_empty() { "configuration".to_owned() } else { slopes.join(", ") };
        [role.into(), name.into(), unit.into(), a, b, c, d, mechanism.into(), slopes]
    });
    Ok(table(&head, rows))
}

fn table<const N: usize>(head: &[&str; N], rows: impl Iterator<Item = [String; N]>) -> String {
    let mut text = format!("| {} |\n|{}\n", head.join(" | "), "---|".repeat(N));
    for row in rows {
        // Writing to a string cannot fail.
        let _ = writeln!(text, "| {} |", row.join(" | "));
    }
    text
}
