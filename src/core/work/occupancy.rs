//! Occupancy of the workers of each service: the processor time that runs reserve and use, by kind of run, and the room that
//! is left.
//!
//! A survey goes once over the workers and the runs. It is made for a report of the leader, about once a second, and changes
//! nothing.

use super::run::{self, Run};
use super::worker::{self, Tenure};
use super::{symbol, wait};
use crate::hash::Map;

/// Kind of a run, by what it reserves and when it ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// It runs until its job is cancelled.
    LongRunning,
    /// It reserves processor time, and ends.
    Ending,
    /// It reserves no processor time.
    Filling,
}

/// All kinds with their names in metrics and timeline entries, in the order of the variants.
pub const KINDS: [(Kind, &str); 3] =
    [(Kind::LongRunning, "long-running"), (Kind::Ending, "ending"), (Kind::Filling, "filling")];

impl Kind {
    fn of(profile: run::Profile) -> Self {
        if profile.filling_cpu_millicores > 0 {
            Self::Filling
        } else if profile.is_long_running {
            Self::LongRunning
        } else {
            Self::Ending
        }
    }
}

/// Runs of one kind and their processor time, in thousandths of a core.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Share {
    /// Number of runs.
    pub runs: u64,
    /// Processor time that they reserve.
    pub reserved_millicores: u64,
    /// Processor time that they use, by their newest readings; a run without one uses none.
    pub used_millicores: u64,
}

/// Occupancy of the workers of a service. Free processor time counts on the workers that take new runs.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Occupancy {
    /// Name of the service.
    pub service: String,
    /// Number of workers that take new runs.
    pub open_workers: u64,
    /// Number of them without a long-running run.
    pub workers_without_long_running: u64,
    /// Capacity of all workers, in thousandths of a core.
    pub capacity_millicores: u64,
    /// Free processor time in sum.
    pub free_millicores: u64,
    /// Largest free processor time of one worker.
    pub largest_free_millicores: u64,
    /// Runs by kind, in the order of [`KINDS`].
    pub shares: [Share; KINDS.len()],
}

impl Occupancy {
    /// Text of a timeline entry.
    pub fn describe(&self) -> String {
        let Self { service, open_workers, workers_without_long_running, .. } = self;
        let cores = |millicores: u64| millicores as f64 / 1_000.0;
        let shares = KINDS.iter().zip(&self.shares).map(|((_, name), share)| {
            format!(
                "{name} {} runs, {:.0} cores reserved, {:.0} used",
                share.runs,
                cores(share.reserved_millicores),
                cores(share.used_millicores)
            )
        });
        format!(
            "service {service}: {:.0} cores; {}; free {:.0} cores on {open_workers} workers, at most {:.1} on one; workers without \
             long-running runs: {workers_without_long_running}",
            cores(self.capacity_millicores),
            shares.collect::<Vec<_>>().join("; "),
            cores(self.free_millicores),
            cores(self.largest_free_millicores),
        )
    }
}

/// Returns the occupancy of each service that has workers, by name.
pub fn survey(workers: &worker::Table, runs: &run::Table, tenure: Tenure) -> Vec<Occupancy> {
    let mut by_service: Map<symbol::Key, Occupancy> = Map::default();
    for worker in workers.all.values() {
        let (Some(report), Some(service)) = (&worker.report, worker.service) else { continue };
        let occupancy = by_service
            .entry(service)
            .or_insert_with(|| Occupancy { service: report.service.clone(), ..Occupancy::default() });
        occupancy.capacity_millicores +=
            u64::from(report.capacity.map_or(0, |capacity| capacity.cpu_millicores));
        if wait::exclusion(worker, true, tenure).is_some() {
            continue;
        }
        let free = u64::from(worker.free_resources().cpu_millicores);
        occupancy.open_workers += 1;
        occupancy.workers_without_long_running += u64::from(worker.long_running_runs == 0);
        occupancy.free_millicores += free;
        occupancy.largest_free_millicores = occupancy.largest_free_millicores.max(free);
    }
    for run in runs.values() {
        let service = workers.all.get(run.worker).and_then(|worker| worker.service);
        let Some(occupancy) = service.and_then(|service| by_service.get_mut(&service)) else { continue };
        let share = &mut occupancy.shares[Kind::of(run.profile) as usize];
        share.runs += 1;
        share.reserved_millicores += u64::from(run.charged.cpu_millicores);
        share.used_millicores += used_millicores(run);
    }
    let mut all: Vec<_> = by_service.into_values().collect();
    all.sort_unstable_by(|one, other| one.service.cmp(&other.service));
    all
}

/// Processor time that a run uses by its newest reading; that of a serving run follows from its load.
fn used_millicores(run: &Run) -> u64 {
    if run.profile.is_serving {
        (run.own_load.unwrap_or_default() * f64::from(run.charged.cpu_millicores)) as u64
    } else {
        run.reading.map_or(0, u64::from)
    }
}
