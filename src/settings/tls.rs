//! Files for TLS.

use std::path::PathBuf;

use crate::declare::report::Report;
use crate::declare::table::Table;
use crate::declare::value;

/// PEM files for TLS.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tls {
    /// Certificate chain of this VM.
    pub certificate: PathBuf,
    /// Private key of this VM.
    pub key: PathBuf,
    /// Certificates that peers must be signed by.
    pub authority: PathBuf,
}

pub(super) fn read(root: &Table<'_>, report: &mut Report) -> Option<Tls> {
    let table = root.table(report, "tls")?;
    table.reject_unknown(report, &["certificate", "key", "authority"]);
    let mut path = |key| PathBuf::from(table.required_or_default(report, key, value::string).value);
    Some(Tls { certificate: path("certificate"), key: path("key"), authority: path("authority") })
}
