//! Parser for quantities with units, such as `60 GB`, `12 ms` or `30 Mbit/s`.
//!
//! Decimal numbers are converted with integer arithmetic, so that equal texts give equal values in every process.

use std::time::Duration;

/// Units of one kind of quantity, each with its factor to the base unit.
type Units = &'static [(&'static str, u64)];

/// Units of sizes, in bytes.
const SIZE_UNITS: Units = &[
    ("B", 1),
    ("KB", 1_000),
    ("MB", 1_000_000),
    ("GB", 1_000_000_000),
    ("TB", 1_000_000_000_000),
    ("KiB", 1 << 10),
    ("MiB", 1 << 20),
    ("GiB", 1 << 30),
    ("TiB", 1 << 40),
];

/// Units of durations, in nanoseconds.
const DURATION_UNITS: Units = &[
    ("us", 1_000),
    ("ms", 1_000_000),
    ("s", 1_000_000_000),
    ("min", 60_000_000_000),
    ("h", 3_600_000_000_000),
    ("d", 86_400_000_000_000),
];

/// Units of bandwidths, in bits per second.
const BANDWIDTH_UNITS: Units =
    &[("bit/s", 1), ("kbit/s", 1_000), ("Mbit/s", 1_000_000), ("Gbit/s", 1_000_000_000)];

/// Maximum number of digits, which exceeds any useful quantity. The product with a factor fits into 128 bits.
const MAX_DIGITS: usize = 18;

/// Parses a size, in bytes.
///
/// # Errors
///
/// Returns a message that says what is expected.
pub fn bytes(text: &str) -> Result<u64, String> {
    parse_quantity(text, "a size such as \"60 GB\"", SIZE_UNITS)
}

/// Parses a duration.
///
/// # Errors
///
/// Returns a message that says what is expected.
pub fn duration(text: &str) -> Result<Duration, String> {
    parse_quantity(text, "a duration such as \"40 s\"", DURATION_UNITS).map(Duration::from_nanos)
}

/// Parses a bandwidth, in bits per second.
///
/// # Errors
///
/// Returns a message that says what is expected.
pub fn bandwidth(text: &str) -> Result<u64, String> {
    parse_quantity(text, "a bandwidth such as \"30 Mbit/s\"", BANDWIDTH_UNITS)
}

fn parse_quantity(text: &str, expected: &str, units: Units) -> Result<u64, String> {
    let split = text.find(|c: char| !c.is_ascii_digit() && c != '.').unwrap_or(text.len());
    let (number, unit) = (&text[..split], text[split..].trim_start());
    let allowed = || units.iter().map(|(unit, _)| *unit).collect::<Vec<_>>().join(", ");
    let Some((digits, decimals)) = parse_decimal(number) else {
        return Err(format!("expected {expected}, found \"{text}\"; units: {}", allowed()));
    };
    let Some((_, factor)) = units.iter().find(|(name, _)| *name == unit) else {
        let fault = if unit.is_empty() { "no unit".to_owned() } else { format!("unknown unit `{unit}`") };
        return Err(format!("{fault} in \"{text}\"; units: {}", allowed()));
    };
    let value = u128::from(digits) * u128::from(*factor) / 10_u128.pow(decimals);
    u64::try_from(value).map_err(|_| format!("\"{text}\" is too large"))
}

/// Digits of a decimal number as an integer, and the number of digits after the decimal point.
fn parse_decimal(text: &str) -> Option<(u64, u32)> {
    let (whole, fraction) = text.split_once('.').unwrap_or((text, "0"));
    if whole.is_empty() || fraction.is_empty() || whole.len() + fraction.len() > MAX_DIGITS {
        return None;
    }
    let digits = format!("{whole}{fraction}").parse().ok()?;
    Some((digits, fraction.len() as u32))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against confusion of decimal and binary units, and against rounded fractions.
    #[test]
    fn units_have_their_factors() {
        assert_eq!(bytes("60 GB"), Ok(60_000_000_000));
        assert_eq!(bytes("512MiB"), Ok(512 << 20));
        assert_eq!(duration("0.5 ms"), Ok(Duration::from_micros(500)));
        assert_eq!(duration("1 min"), Ok(Duration::from_secs(60)));
        assert_eq!(bandwidth("30 Mbit/s"), Ok(30_000_000));
    }

    /// Guards against a number without a unit that is accepted with some default unit.
    #[test]
    fn faults_list_the_units() {
        for text in ["60", "60 gb", "", "GB", "-1 GB", "1.2.3 GB", "1e3 GB", ".5 GB"] {
            let fault = bytes(text).unwrap_err();
            assert!(fault.contains("KiB, MiB"), "{text}: {fault}");
        }
        assert!(bytes("99999999 TB").unwrap_err().contains("too large"));
    }
}
