//! Log output as one JSON object per line, to standard error or a file.

use std::io::{self, Write};
use std::path::Path;
use std::sync::OnceLock;

use flexi_logger::{DeferredNow, FileSpec, Logger, LoggerHandle};
use log::Record;
use log::kv::{self, Key, Value, VisitSource};
use serde_json::{Map, json};

use crate::error::{Error, Result};

/// Name of this process in log lines. It is a static because a format function of flexi_logger cannot carry state.
static PROCESS: OnceLock<String> = OnceLock::new();

/// Starts logging, which ends when the handle is dropped.
///
/// `level` is a log specification such as `info` or `info, nutmegfold::port=debug`.
///
/// # Errors
///
/// The specification cannot be parsed, the file cannot be opened, or logging has already been started.
pub fn start(
    process: impl Into<String>,
    level: impl AsRef<str>,
    file: Option<&Path>,
) -> Result<LoggerHandle> {
    let to_error = |error| Error::call("start logging", error);
    let logger = Logger::try_with_str(level).map_err(to_error)?.format(format);
    let logger = match file {
        None => logger.log_to_stderr(),
        Some(path) => logger.log_to_file(FileSpec::try_from(path).map_err(to_error)?).append(),
    };
    PROCESS.get_or_init(|| process.into());
    logger.start().map_err(to_error)
}

fn format(output: &mut dyn Write, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
    let mut values = Values::default();
    if let Err(error) = record.key_values().visit(&mut values) {
        values.0.insert("error".to_owned(), json!(error.to_string()));
    }
    let line = json!({
        "time": now.now_utc_owned().format("%Y-%m-%dT%H:%M:%S%.6fZ").to_string(),
        "level": record.level().as_str(),
        "module": record.module_path().unwrap_or_default(),
        "process": PROCESS.get().map_or("", String::as_str),
        "message": record.args().to_string(),
        "values": values.0,
    });
    write!(output, "{line}")
}

#[derive(Default)]
struct Values(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Values {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> std::result::Result<(), kv::Error> {
        let number = value.to_u64().map(|n| json!(n)).or_else(|| value.to_i64().map(|n| json!(n)));
        let value =
            number.or_else(|| value.to_bool().map(|b| json!(b))).unwrap_or_else(|| json!(value.to_string()));
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against line breaks and quotes in a message that make the line invalid JSON, and against lost key-value
    /// pairs.
    #[test]
    fn a_record_is_one_json_object_on_one_line() {
        let values = [("cell", Value::from(3_u64)), ("late", Value::from(true)), ("vm", Value::from("a\"b"))];
        let mut line = Vec::new();
        let record = Record::builder()
            .args(format_args!("first\nsecond \"quoted\""))
            .level(log::Level::Warn)
            .module_path(Some("nutmegfold::port"))
            .key_values(&values)
            .build();
        format(&mut line, &mut DeferredNow::new(), &record).expect("writes to memory");
        assert!(!line.contains(&b'\n'));
        let parsed: serde_json::Value = serde_json::from_slice(&line).expect("JSON");
        assert_eq!(parsed["message"], "first\nsecond \"quoted\"");
        assert_eq!(parsed["level"], "WARN");
        assert_eq!(parsed["values"], json!({"cell": 3, "late": true, "vm": "a\"b"}));
    }
}
