//! Readers for single TOML values.
//!
//! Each reader returns a Rust value, or a message that says which value is expected.

use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use toml::de::DeValue;

use super::unit;

/// Maximum length of a name, which is part of URLs and store keys.
const MAX_NAME_BYTES: usize = 64;

/// Bytes in a MiB.
const BYTES_PER_MIB: u64 = 1 << 20;

/// Largest factor; a larger one is taken for a mistake.
const FACTOR_MAX: f64 = 100.0;

/// Tolerance for the rounding error of binary fractions, in thousandths of a core.
const MAX_ERROR_MILLICORES: f64 = 1e-3;

/// Reads a non-empty string.
pub(crate) fn string(value: &DeValue<'_>) -> Result<String, String> {
    let Some(text) = value.as_str() else { return Err(mismatch("a string", value)) };
    if text.is_empty() {
        return Err("the string is empty".to_owned());
    }
    Ok(text.to_owned())
}

/// Reads a name that can be part of a URL and of a store key.
pub(crate) fn name(value: &DeValue<'_>) -> Result<String, String> {
    let name = string(value)?;
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if name.len() > MAX_NAME_BYTES || !name.chars().all(is_allowed) || name.starts_with('.') {
        return Err(format!(
            "a name has at most {MAX_NAME_BYTES} letters, digits, `-`, `_` or `.`, and no `.` at its start"
        ));
    }
    Ok(name)
}

/// Reads a path that starts with `/`.
pub(crate) fn path(value: &DeValue<'_>) -> Result<String, String> {
    let path = string(value)?;
    if !path.starts_with('/') {
        return Err(format!("the path \"{path}\" does not start with `/`"));
    }
    if path.contains(|c: char| c.is_control() || c.is_whitespace() || matches!(c, '?' | '#')) {
        return Err("a path has no white space, control characters, `?` or `#`".to_owned());
    }
    Ok(path)
}

/// Reads a boolean.
pub(crate) fn boolean(value: &DeValue<'_>) -> Result<bool, String> {
    value.as_bool().ok_or_else(|| mismatch("true or false", value))
}

/// Reads a whole number in `range`.
pub(crate) fn integer<T: Copy + Display + PartialOrd + TryFrom<i64>>(
    range: RangeInclusive<T>,
) -> impl Fn(&DeValue<'_>) -> Result<T, String> {
    move |value| {
        let Some(integer) = value.as_integer() else { return Err(mismatch("a whole number", value)) };
        i64::from_str_radix(integer.as_str(), integer.radix())
            .ok()
            .and_then(|number| T::try_from(number).ok())
            .filter(|number| range.contains(number))
            .ok_or_else(|| format!("{integer} is not allowed; expected {} to {}", range.start(), range.end()))
    }
}

/// Reads a number of cores in thousandths; a finer fraction is an error.
pub(crate) fn millicores(value: &DeValue<'_>) -> Result<u32, String> {
    let number = read_cores(value)?;
    if (number * 1000.0 - (number * 1000.0).round()).abs() > MAX_ERROR_MILLICORES {
        return Err(format!("{number} is not a multiple of 0.001 cores"));
    }
    rounded_millicores(value)
}

/// Reads a number of cores in thousandths; a finer fraction is rounded.
pub(crate) fn rounded_millicores(value: &DeValue<'_>) -> Result<u32, String> {
    let number = read_cores(value)?;
    let rounded = (number * 1000.0).round();
    if !(1.0..=f64::from(u32::MAX)).contains(&rounded) {
        return Err(format!("{number} cores are not allowed; expected 0.001 to {}", u32::MAX / 1000));
    }
    Ok(rounded as u32)
}

fn read_cores(value: &DeValue<'_>) -> Result<f64, String> {
    read_number(value).ok_or_else(|| mismatch("a number of cores such as 16 or 0.5", value))
}

/// Reads a number; `None` if the value is of another type.
fn read_number(value: &DeValue<'_>) -> Option<f64> {
    match value {
        DeValue::Integer(integer) => Some(
            i64::from_str_radix(integer.as_str(), integer.radix())
                .map_or(f64::INFINITY, |number| number as f64),
        ),
        DeValue::Float(float) => Some(float.as_str().parse().unwrap_or(f64::NAN)),
        _ => None,
    }
}

/// Reads a factor of at least 1 in thousandths; a finer fraction is rounded.
pub(crate) fn factor_per_mille(value: &DeValue<'_>) -> Result<u32, String> {
    let number = read_number(value).ok_or_else(|| mismatch("a number such as 2 or 1.5", value))?;
    if !(1.0..=FACTOR_MAX).contains(&number) {
        return Err(format!("{number} is not allowed; expected 1 to {FACTOR_MAX}"));
    }
    Ok((number * 1000.0).round() as u32)
}

/// Reads an amount of memory in MiB, rounded down.
///
/// Capacities and demands are rounded in the same way, so that tasks whose sizes in the file add up to the size of a VM
/// fit on it.
pub(crate) fn memory_mib(value: &DeValue<'_>) -> Result<u32, String> {
    let bytes = read_quantity(value, "a size such as \"60 GB\"", unit::bytes)?;
    match u32::try_from(bytes / BYTES_PER_MIB) {
        Ok(0) => Err("memory is smaller than 1 MiB".to_owned()),
        Ok(mib) => Ok(mib),
        Err(_) => Err("memory is too large".to_owned()),
    }
}

/// Reads a size in bytes below 4 GiB.
pub(crate) fn bytes(value: &DeValue<'_>) -> Result<u32, String> {
    let bytes = read_quantity(value, "a size such as \"2 KB\"", unit::bytes)?;
    u32::try_from(bytes).map_err(|_| "the size is too large; it must be below 4 GiB".to_owned())
}

/// Reads a non-zero size in bytes, below 4 GiB.
pub(crate) fn nonzero_bytes(value: &DeValue<'_>) -> Result<u32, String> {
    bytes(value).and_then(|bytes| if bytes == 0 { Err("the size is zero".to_owned()) } else { Ok(bytes) })
}

/// Reads a non-zero duration.
pub(crate) fn duration(value: &DeValue<'_>) -> Result<Duration, String> {
    let duration = read_quantity(value, "a duration such as \"40 s\"", unit::duration)?;
    if duration.is_zero() { Err("the duration is zero".to_owned()) } else { Ok(duration) }
}

/// Reads a non-zero bandwidth in bits per second.
pub(crate) fn bandwidth(value: &DeValue<'_>) -> Result<u64, String> {
    let bandwidth = read_quantity(value, "a bandwidth such as \"30 Mbit/s\"", unit::bandwidth)?;
    if bandwidth == 0 { Err("the bandwidth is zero".to_owned()) } else { Ok(bandwidth) }
}

/// Reads an IP address with a port.
pub(crate) fn address(value: &DeValue<'_>) -> Result<SocketAddr, String> {
    let text = string(value)?;
    text.parse().map_err(|_| {
        format!("expected an IP address with a port such as \"127.0.0.1:8080\", found \"{text}\"")
    })
}

/// Reads an IP address with a port to connect to; an unspecified address and port 0 are errors.
pub(crate) fn remote_address(value: &DeValue<'_>) -> Result<SocketAddr, String> {
    let target = address(value)?;
    if target.port() == 0 || target.ip().is_unspecified() {
        return Err(format!("{target} is not an address to connect to"));
    }
    Ok(target)
}

/// Message for a value of the wrong type.
pub(crate) fn mismatch(expected: &str, value: &DeValue<'_>) -> String {
    let found = match value {
        DeValue::String(_) => "a string",
        DeValue::Integer(_) => "a whole number",
        DeValue::Float(_) => "a decimal number",
        DeValue::Boolean(_) => "a boolean",
        DeValue::Datetime(_) => "a date or time",
        DeValue::Array(_) => "a list",
        DeValue::Table(_) => "a table",
    };
    format!("expected {expected}, found {found}")
}

/// Parses a quantity. A TOML number is parsed as text, so that the message lists the allowed units.
fn read_quantity<T>(
    value: &DeValue<'_>,
    expected: &str,
    parse: impl Fn(&str) -> Result<T, String>,
) -> Result<T, String> {
    match value {
        DeValue::String(text) => parse(text),
        DeValue::Integer(number) => parse(number.as_str()),
        DeValue::Float(number) => parse(number.as_str()),
        _ => Err(mismatch(expected, value)),
    }
}
