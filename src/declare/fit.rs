//! Capacity checks: compares the demand of services and jobs with pools and quotas.
//!
//! The checks find declarations that can never be satisfied. They treat all VMs as empty and cover the minimum number
//! of replicas of each service, and one task of each job.

use super::capacity;
use super::draft::{Demand, Document};
use super::job::Job;
use super::plan::Plan;
use super::pool::Filter;
use super::report::{Located, Location, Report};
use super::resolve::Resolved;
use super::service::Service;
use super::size::Size;

/// Checks all services and jobs; does nothing if zones or pools have findings.
///
/// Items with findings are left out, since they hold fallback sizes in place of the declared ones.
pub(crate) fn check(resolved: &Resolved, documents: &[Document], report: &mut Report) {
    let Resolved { plan, is_platform_valid, service_validity, job_validity } = resolved;
    if !is_platform_valid {
        return;
    }
    let largest = max_amounts(plan);
    let drafts = documents.iter().flat_map(|document| &document.services);
    let mut remaining_resources = RemainingResources::of_pools(plan);
    for ((service, item), is_valid) in plan.services.iter().zip(drafts).zip(service_validity) {
        if *is_valid
            && fits(plan, &service.filter, &item.body.demand, &largest, &item.location, report)
            && fits_min_replicas(plan, service, &item.body.replicas, report)
        {
            remaining_resources.reserve(service, &item.body.replicas, report);
        }
    }
    let drafts = documents.iter().flat_map(|document| &document.jobs);
    for ((job, item), is_valid) in plan.jobs.iter().zip(drafts).zip(job_validity) {
        if *is_valid && fits(plan, &job.filter, &item.body.demand, &largest, &item.location, report) {
            check_quota(plan, job, &item.body.team, report);
        }
    }
}

/// Largest amount of each resource on any VM; the amounts may come from different VMs.
fn max_amounts(plan: &Plan) -> Size {
    plan.pools.iter().fold(Size::default(), |most, pool| Size {
        millicores: most.millicores.max(pool.size.millicores),
        memory_mib: most.memory_mib.max(pool.size.memory_mib),
        accelerators: most.accelerators.max(pool.size.accelerators),
        slots: most.slots.max(pool.size.slots),
    })
}

/// Whether a task fits on at least one VM that its filter allows; reports the reason if not.
fn fits(
    plan: &Plan,
    filter: &Filter,
    demand: &Demand,
    largest: &Size,
    location: &Location,
    report: &mut Report,
) -> bool {
    let size = demand.size();
    let mut allowed = plan.pools.iter().filter(|pool| filter.allows_pool(pool)).peekable();
    if allowed.peek().is_none() {
        report.add(location, "no pool matches the zones, racks and labels");
        return false;
    }
    if !size.fits(largest) {
        report_oversize(demand, largest, report);
        return false;
    }
    let fits_allowed_pool = allowed.any(|pool| size.fits(&pool.size));
    if !fits_allowed_pool {
        report.add(location, "no VM that the zones, racks and labels allow is large enough for one task");
    }
    fits_allowed_pool
}

fn report_oversize(demand: &Demand, largest: &Size, report: &mut Report) {
    let Demand { millicores, memory_mib, accelerators } = demand;
    if millicores.value > largest.millicores {
        let most = f64::from(largest.millicores) / 1000.0;
        report.add(&millicores.location, format!("more cores than any VM has; the largest has {most}"));
    }
    if memory_mib.value > largest.memory_mib {
        let most = largest.memory_mib;
        report.add(&memory_mib.location, format!("more memory than any VM has; the largest has {most} MiB"));
    }
    if accelerators.value > largest.accelerators {
        let most = largest.accelerators;
        report.add(
            &accelerators.location,
            format!("more accelerators than any VM has; the largest number is {most}"),
        );
    }
}

/// Whether the minimum replicas of a service fit on the VMs that its filter allows, if these are empty; reports it if
/// not.
fn fits_min_replicas(
    plan: &Plan,
    service: &Service,
    replicas: &Located<(u32, u32)>,
    report: &mut Report,
) -> bool {
    let capacity: u64 =
        plan.pools.iter().map(|pool| capacity::tasks_in_pool(pool, &service.filter, &service.size)).sum();
    let min = u64::from(replicas.value.0);
    if min > capacity {
        report.add(&replicas.location, format!("{min} replicas do not fit; the allowed VMs hold {capacity}"));
    }
    min <= capacity
}

/// Reports a job whose team's quota is smaller than one task.
fn check_quota(plan: &Plan, job: &Job, team: &Located<String>, report: &mut Report) {
    let Some(quota) = plan.team(job.team).quota else { return };
    if !job.size.fits(&quota) {
        let message =
            format!("the quota of the team \"{}\" is smaller than one task of this job", team.value);
        report.add(&team.location, message);
    }
}

/// Amount of each resource that the pools have left after the minimum replicas of the services so far.
///
/// `None` after a shortage of the resource, so that each shortage is reported once.
struct RemainingResources([(&'static str, Option<u64>); 4]);

impl RemainingResources {
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

    /// Subtracts the minimum replicas of a service; reports the first service for which a resource runs short.
    fn reserve(&mut self, service: &Service, replicas: &Located<(u32, u32)>, report: &mut Report) {
        let min = u64::from(replicas.value.0);
        for ((name, remaining), amount) in self.0.iter_mut().zip(amounts(&service.size)) {
            let Some(available) = *remaining else { continue };
            *remaining = available.checked_sub(amount * min);
            if remaining.is_none() {
                let message = format!(
                    "with this service, the minimum replicas of all services need more {name} than the pools have"
                );
                report.add(&replicas.location, message);
            }
        }
    }
}

fn amounts(size: &Size) -> [u64; 4] {
    [size.millicores, size.memory_mib, size.accelerators, size.slots].map(u64::from)
}
