//! Adapter to the platform on which jobs run: its store, its workers, its operator's configuration and its callers.
//!
//! The modules translate between the formats of the platform's interfaces and the types of [`crate::core::work`]. The
//! platform's field names are converted here, once, to the descriptive names of those types. The modules make no
//! decisions.

mod config;
mod entry;
pub mod front;
mod job;
mod link;
pub mod store;
mod task;
pub mod worker;

/// Environment variable with the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "NUTMEGFOLD_BOOT";
