//! Log levels.

use toml::de::DeValue;

use crate::declare::value;

/// Least severity that is logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Level {
    /// Faults that need an operator.
    Error,
    /// Faults that are handled.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Details for developers.
    Debug,
    /// Each event and effect.
    Trace,
}

const LEVELS: [(&str, Level); 5] = [
    ("error", Level::Error),
    ("warn", Level::Warn),
    ("info", Level::Info),
    ("debug", Level::Debug),
    ("trace", Level::Trace),
];

impl Level {
    /// Name in settings.
    pub fn name(self) -> &'static str {
        LEVELS.iter().find(|(_, level)| *level == self).map_or("info", |(name, _)| name)
    }
}

pub(super) fn read(value: &DeValue<'_>) -> Result<Level, String> {
    let text = value::string(value)?;
    let found = LEVELS.iter().find(|(name, _)| *name == text).map(|(_, level)| *level);
    found.ok_or_else(|| {
        let names: Vec<&str> = LEVELS.iter().map(|(name, _)| *name).collect();
        format!("unknown level \"{text}\"; levels: {}", names.join(", "))
    })
}
