//! Adapter to the users' platform: its store, its workers, its operator's configuration and its callers.
//!
//! This folder only translates. It decodes the names of the platform's interfaces once, into types whose fields say what
//! they hold, and decides nothing.

mod config;
mod entry;
pub mod front;
mod job;
pub mod store;
mod task;
pub mod worker;

/// Environment variable that holds the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "NUTMEGFOLD_BOOT";
