//! Compares what services, jobs and quotas ask for with what the pools have.

use super::capacity;
use super::draft::{Demand, Document};
use super::job::Job;
use super::plan::Plan;
use super::pool::Filter;
use super::report::{Place, Report, Spot};
use super::resolve::Resolved;
use super::service::Service;
use super::size::Size;

/// Checks all services and jobs. Items with findings are left out, since their sizes are not the declared ones.
pub(crate) fn check(resolved: &Resolved, documents: &[Document], report: &mut Report) {
    let Resolved { plan, platform, services, jobs } = resolved;
    if !platform {
        return;
    }
    let largest = largest(plan);
    let drafts = documents.iter().flat_map(|document| &document.services);
    let mut totals = Totals::of_pools(plan);
    for ((service, item), sound) in plan.services.iter().zip(drafts).zip(services) {
        if *sound
            && fits(plan, &service.filter, &item.body.demand, &largest, &item.place, report)
            && holds_replicas(plan, service, &item.body.replicas, report)
        {
            totals.take(service, &item.body.replicas, report);
        }
    }
    let drafts = documents.iter().flat_map(|document| &document.jobs);
    for ((job, item), sound) in plan.jobs.iter().zip(drafts).zip(jobs) {
        if *sound && fits(plan, &job.filter, &item.body.demand, &largest, &item.place, report) {
            check_quota(plan, job, &item.body.team, report);
        }
    }
}

/// Largest amount of each resource on any VM.
fn largest(plan: &Plan) -> Size {
    plan.pools.iter().fold(Size::default(), |most, pool| Size {
        millicores: most.millicores.max(pool.size.millicores),
        memory_mib: most.memory_mib.max(pool.size.memory_mib),
        accelerators: most.accelerators.max(pool.size.accelerators),
        slots: most.slots.max(pool.size.slots),
    })
}

/// Whether a task fits on a VM it may use; reports why not.
fn fits(
    plan: &Plan,
    filter: &Filter,
    demand: &Demand,
    largest: &Size,
    place: &Place,
    report: &mut Report,
) -> bool {
    let size = demand.size();
    let mut allowed = plan.pools.iter().filter(|pool| filter.allows_pool(pool)).peekable();
    if allowed.peek().is_none() {
        report.add(place, "its zones, racks and labels match no pool");
        return false;
    }
    if !size.fits(largest) {
        report_oversize(demand, largest, report);
        return false;
    }
    let is_held = allowed.any(|pool| size.fits(&pool.size));
    if !is_held {
        report.add(place, "one task fits on no VM that its zones, racks and labels allow");
    }
    is_held
}

fn report_oversize(demand: &Demand, largest: &Size, report: &mut Report) {
    let Demand { millicores, memory_mib, accelerators } = demand;
    if millicores.value > largest.millicores {
        let most = f64::from(largest.millicores) / 1000.0;
        report.add(&millicores.place, format!("more cores than any VM has; the largest has {most}"));
    }
    if memory_mib.value > largest.memory_mib {
        let most = largest.memory_mib;
        report.add(&memory_mib.place, format!("more memory than any VM has; the largest has {most} MiB"));
    }
    if accelerators.value > largest.accelerators {
        let most = largest.accelerators;
        report.add(&accelerators.place, format!("more accelerators than any VM has; the most are {most}"));
    }
}

/// Whether the least replicas of a service fit on the VMs it may use, if these were empty; reports it if not.
fn holds_replicas(plan: &Plan, service: &Service, replicas: &Spot<(u32, u32)>, report: &mut Report) -> bool {
    let held: u64 =
        plan.pools.iter().map(|pool| capacity::of_pool(pool, &service.filter, &service.size)).sum();
    let min = u64::from(replicas.value.0);
    if min > held {
        report.add(&replicas.place, format!("{min} replicas do not fit; the VMs allowed hold {held}"));
    }
    min <= held
}

/// Reports a job whose team's quota is smaller than one task.
fn check_quota(plan: &Plan, job: &Job, team: &Spot<String>, report: &mut Report) {
    let Some(quota) = plan.team(job.team).quota else { return };
    if !job.size.fits(&quota) {
        let message =
            format!("the quota of the team \"{}\" is smaller than one task of this job", team.value);
        report.add(&team.place, message);
    }
}

/// What the pools have left for the least replicas of further services; `None` once a shortage was reported.
struct Totals([(&'static str, Option<u64>); 4]);

impl Totals {
    fn of_pools(plan: &Plan) -> Self {
        let mut sums = [0_u64; 4];
        for pool in &plan.pools {
            for (sum, amount) in sums.iter_mut().zip(amounts(&pool.size)) {
                *sum = sum.saturating_add(amount * u64::from(pool.count));
            }
        }
        let [cores, memory, accelerators, slots] = sums.map(Some);
        Self([("cores", cores), ("memory", memory), ("accelerators", accelerators), ("slots", slots)])
    }

    /// Takes the least replicas of a service; reports the first service that exceeds a total.
    fn take(&mut self, service: &Service, replicas: &Spot<(u32, u32)>, report: &mut Report) {
        let min = u64::from(replicas.value.0);
        for ((name, left), amount) in self.0.iter_mut().zip(amounts(&service.size)) {
            let Some(had) = *left else { continue };
            *left = had.checked_sub(amount * min);
            if left.is_none() {
                let message = format!(
                    "with this service, the least replicas of all services need more {name} than the pools have"
                );
                report.add(&replicas.place, message);
            }
        }
    }
}

fn amounts(size: &Size) -> [u64; 4] {
    [size.millicores, size.memory_mib, size.accelerators, size.slots].map(u64::from)
}
