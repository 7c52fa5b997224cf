//! What an entry VM logs, and where.

use std::path::PathBuf;

use super::level::{self, Level};
use crate::declare::report::Report;
use crate::declare::table::Table;
use crate::declare::value;

/// Log output.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Log {
    /// Least severity that is logged.
    pub level: Level,
    /// File of the log; standard error when absent.
    pub file: Option<PathBuf>,
    /// File of the time line; kept in memory only when absent.
    pub timeline: Option<PathBuf>,
}

pub(super) fn read(root: &Table<'_>, report: &mut Report) -> Log {
    let Some(table) = root.table(report, "log") else { return Log::default() };
    table.reject_unknown(report, &["level", "file", "timeline"]);
    let level = table.with_default(report, "level", Level::default(), level::read).value;
    let mut path = |key| table.optional(report, key, value::string).map(|path| PathBuf::from(path.value));
    Log { level, file: path("file"), timeline: path("timeline") }
}
