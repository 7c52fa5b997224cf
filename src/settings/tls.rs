//! Files for TLS between entry VMs.

use std::path::PathBuf;

use crate::declare::report::Report;
use crate::declare::table::Table;
use crate::declare::value;

/// Paths of the PEM files for TLS between entry VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tls {
    /// Certificate chain of this VM.
    pub certificate: PathBuf,
    /// Private key of this VM.
    pub key: PathBuf,
    /// Certificates of the authorities that may sign the certificate of a peer.
    pub authority: PathBuf,
}

pub(super) fn read(root: &Table<'_>, report: &mut Report) -> Option<Tls> {
    let table = root.table(report, "tls")?;
    table.reject_unknown(report, &["certificate", "key", "authority"]);
    let mut path = |key| PathBuf::from(table.required_or_default(report, key, value::string).value);
    Some(Tls { certificate: path("certificate"), key: path("key"), authority: path("authority") })
}
