//! Settings of a process that schedules the jobs that callers hand in.

use std::net::SocketAddr;
use std::time::Duration;

use crate::core::work::tuning::Tuning;
use crate::declare::report::Report;
use crate::declare::table::Table;
use crate::declare::value;

/// Settings of a process that schedules the jobs that callers hand in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Jobs {
    /// Address of the load balancer's readiness check.
    pub ready: SocketAddr,
    /// Longest lease that workers grant.
    pub lease_max: Duration,
    /// How long the state of an ended job is kept.
    pub retention: Duration,
    /// Processor time of the VM in thousandths of a core; 0 if it is not stated.
    pub cpu: u32,
}

impl Jobs {
    /// Times and limits of the scheduling under these settings.
    pub fn tuning(&self) -> Tuning {
        let default = Tuning::default();
        Tuning {
            worker_lease: default.worker_lease.min(self.lease_max),
            retention: default.retention.max(self.retention),
            ..default
        }
    }
}

pub(super) fn read(root: &Table<'_>, report: &mut Report) -> Option<Jobs> {
    let default = Tuning::default();
    let table = root.table(report, "jobs")?;
    table.reject_unknown(report, &["ready", "lease_max", "retention", "cores"]);
    let lease_max = table.with_default(report, "lease_max", default.worker_lease, value::duration).value;
    let retention = table.with_default(report, "retention", default.retention, value::duration).value;
    let cpu = table.with_default(report, "cores", 0, value::rounded_millicores).value;
    let ready = table.required(report, "ready", value::address)?.value;
    Some(Jobs { ready, lease_max, retention, cpu })
}
