//! Log levels and their names in the settings.

use toml::de::DeValue;

use crate::declare::value;

/// Minimum severity of logged messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Level {
    /// Faults that an operator has to resolve.
    Error,
    /// Faults that the process handles itself.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Details for developers.
    Debug,
    /// Every event and effect.
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
    /// Name of the level in the settings.
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
