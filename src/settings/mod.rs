//! Settings of one entry VM: its name, zone, addresses, log and limits.
//!
//! Settings may differ between VMs and are read once at startup. Values that must be the same on all VMs are part of
//! the declared configuration instead.

pub mod jobs;
pub mod level;
pub mod limit;
pub mod listen;
pub mod log;
pub mod platform;
pub mod tls;

use crate::declare::check::{self, Source};
use crate::declare::report::Report;
use crate::declare::table::Table;
use crate::declare::value;
use crate::finding::Finding;
use jobs::Jobs;
use limit::Limits;
use listen::Listen;
use log::Log;
use platform::Platform;
use tls::Tls;

/// Settings of one entry VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Name of the VM, as in the VM list of the platform.
    pub name: String,
    /// Name of the availability zone.
    pub zone: String,
    /// Addresses that the process listens on.
    pub listen: Listen,
    /// Addresses of the services of the platform.
    pub platform: Platform,
    /// Files for TLS between entry VMs; `None` uses plain TCP.
    pub tls: Option<Tls>,
    /// Log and timeline output.
    pub log: Log,
    /// Limits on the requests of callers.
    pub limits: Limits,
    /// Set in a process that schedules jobs submitted by callers; `None` in one that schedules declared work.
    pub jobs: Option<Jobs>,
}

/// Parses and validates settings; `file` is the file name in findings.
///
/// # Errors
///
/// Returns all findings, sorted by position.
pub fn parse(file: &str, text: &str) -> Result<Settings, Vec<Finding>> {
    let sources = [Source { name: file, text, is_stored: false }];
    let mut report = Report::default();
    let settings = check::parse(0, text, &mut report)
        .and_then(|tree| read(&Table::root(0, tree.get_ref()), &mut report));
    match settings {
        Some(settings) if report.len() == 0 => Ok(settings),
        _ => Err(report.into_findings(&sources)),
    }
}

/// Reads all sections; `None` if a required address is missing or invalid, which is reported.
fn read(root: &Table<'_>, report: &mut Report) -> Option<Settings> {
    root.reject_unknown(report, &["name", "zone", "listen", "platform", "tls", "log", "limits", "jobs"]);
    let name = root.required_or_default(report, "name", value::name).value;
    let zone = root.required_or_default(report, "zone", value::name).value;
    let listen = listen::read(root, report);
    let jobs = jobs::read(root, report);
    let needs_listing = root.keys().all(|key| key != "jobs");
    let platform = platform::read(root, report, needs_listing);
    let tls = tls::read(root, report);
    let log = log::read(root, report);
    let limits = limit::read(root, report);
    Some(Settings { name, zone, listen: listen?, platform: platform?, tls, log, limits, jobs })
}
