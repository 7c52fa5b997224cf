//! Settings of one entry VM: its name, zone, addresses, log and limits.
//!
//! Settings differ between VMs and are read once at the start; what must be equal everywhere is declared instead.

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
    /// Name of the VM, as in the platform's VM list.
    pub name: String,
    /// Name of its availability zone.
    pub zone: String,
    /// Addresses it listens on.
    pub listen: Listen,
    /// Addresses of the platform.
    pub platform: Platform,
    /// Files for TLS between entry VMs; plain TCP when absent.
    pub tls: Option<Tls>,
    /// What is logged, and where.
    pub log: Log,
    /// Limits on callers.
    pub limits: Limits,
    /// Set in a process that schedules the jobs that callers hand in, instead of declared work.
    pub jobs: Option<Jobs>,
}

/// Parses and checks settings; `file` names them in findings.
///
/// # Errors
///
/// All findings, sorted by position.
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

/// Reads all sections; `None` if a required address was reported.
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
