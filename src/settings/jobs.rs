//! Settings of a process that schedules submitted jobs.

use std::net::SocketAddr;
use std::time::Duration;

use toml::de::DeValue;

use crate::core::work::admission::Mode;
use crate::core::work::tuning::Tuning;
use crate::declare::report::Report;
use crate::declare::table::Table;
use crate::declare::value;

/// Largest share of the processor time of all runs that speculative copies may cost, in percent: a copy of every run takes
/// half of the processor time.
const COPY_SHARE_MAX: u32 = 50;

/// Largest share of the workers that may be kept free of long-running runs, in percent.
const RESERVE_MAX: u32 = 50;

/// Settings of a process that schedules jobs submitted by callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Jobs {
    /// Address at which the process answers the readiness check of the load balancer.
    pub readiness_address: SocketAddr,
    /// Longest lease that workers grant; the scheduler requests no longer one.
    pub lease_max: Duration,
    /// Minimum time for which the state of an ended job is kept.
    pub retention: Duration,
    /// Share of the processor time of all runs that speculative copies may cost, in percent; 0 starts none.
    pub copy_share_percent: u32,
    /// Share of the workers of each service that is kept free of long-running runs, in percent.
    pub reserve_percent: u32,
    /// Which submissions the process accepts while it leads.
    pub admission: Mode,
    /// CPU capacity of the VM in thousandths of a core; 0 if it is not specified.
    pub cpu_millicores: u32,
    /// Factor by which a task takes longer outside the rack of its data, in thousandths.
    pub far_factor_per_mille: u32,
}

impl Jobs {
    /// Default tuning of the scheduler, with the lease capped at `lease_max` and the retention at least `retention`.
    pub fn tuning(&self) -> Tuning {
        let default = Tuning::default();
        Tuning {
            worker_lease: default.worker_lease.min(self.lease_max),
            lease_max: self.lease_max,
            retention: default.retention.max(self.retention),
            copy_share_percent: self.copy_share_percent,
            reserve_percent: self.reserve_percent,
            far_factor: f64::from(self.far_factor_per_mille) / 1_000.0,
            admission: self.admission,
            ..default
        }
    }
}

pub(super) fn read(root: &Table<'_>, report: &mut Report) -> Option<Jobs> {
    let default = Tuning::default();
    let table = root.table(report, "jobs")?;
    table.reject_unknown(
        report,
        &["ready", "lease_max", "retention", "admission", "cores", "copies", "reserve", "far_factor"],
    );
    let lease_max = table.with_default(report, "lease_max", default.lease_max, value::duration).value;
    let retention = table.with_default(report, "retention", default.retention, value::duration).value;
    let admission = table.with_default(report, "admission", Mode::default(), read_mode).value;
    let cpu_millicores = table.with_default(report, "cores", 0, value::rounded_millicores).value;
    let copy_share_percent = table
        .with_default(report, "copies", default.copy_share_percent, value::integer(0..=COPY_SHARE_MAX))
        .value;
    let reserve_percent =
        table.with_default(report, "reserve", default.reserve_percent, value::integer(0..=RESERVE_MAX)).value;
    let far_factor_per_mille = table.with_default(report, "far_factor", 1_000, value::factor_per_mille).value;
    let readiness_address = table.required(report, "ready", value::address)?.value;
    Some(Jobs {
        readiness_address,
        lease_max,
        retention,
        admission,
        copy_share_percent,
        reserve_percent,
        cpu_millicores,
        far_factor_per_mille,
    })
}

/// Modes of admission control and their names in the settings.
const MODES: [(&str, Mode); 2] = [("all", Mode::All), ("forecast", Mode::Forecast)];

fn read_mode(value: &DeValue<'_>) -> Result<Mode, String> {
    let text = value::string(value)?;
    let found = MODES.iter().find(|(name, _)| *name == text).map(|(_, mode)| *mode);
    found.ok_or_else(|| {
        let names = MODES.map(|(name, _)| name).join(", ");
        format!("unknown admission \"{text}\"; allowed: {names}")
    })
}
