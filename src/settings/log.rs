//! Settings of the log and timeline output of an entry VM.

use std::path::PathBuf;

use super::level::{self, Level};
use crate::declare::report::Report;
use crate::declare::table::Table;
use crate::declare::value;

/// Settings of the log and timeline output.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Log {
    /// Minimum severity of logged messages.
    pub level: Level,
    /// Path of the log file; `None` logs to standard error.
    pub file: Option<PathBuf>,
    /// Path of the timeline file, or `-` for standard output; `None` keeps the timeline in memory only.
    pub timeline: Option<PathBuf>,
}

pub(super) fn read(root: &Table<'_>, report: &mut Report) -> Log {
    let Some(table) = root.table(report, "log") else { return Log::default() };
    table.reject_unknown(report, &["level", "file", "timeline"]);
    let level = table.with_default(report, "level", Level::default(), level::read).value;
    let mut path = |key| table.optional(report, key, value::string).map(|path| PathBuf::from(path.value));
    Log { level, file: path("file"), timeline: path("timeline") }
}
