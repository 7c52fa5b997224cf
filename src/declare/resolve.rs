//! Resolution of names: merges the documents, reports duplicates and resolves names to keys.

use std::collections::BTreeMap;

use super::draft::{self, Document, Item};
use super::names::{self, Names};
use super::plan::Plan;
use super::report::Report;
use super::{job, pool, sample, service, team, zone};
use crate::core::cell;

/// Number of workers per cell in a zone that sets no number of cells.
const WORKERS_PER_CELL: u64 = 64;

/// A plan before the capacity checks. Its items keep the order of the documents and include those with findings.
pub(crate) struct Resolved {
    pub plan: Plan,
    /// Whether all zones and pools are free of findings.
    pub is_platform_valid: bool,
    /// Whether each service is free of findings.
    pub service_validity: Vec<bool>,
    /// Whether each job is free of findings.
    pub job_validity: Vec<bool>,
}

/// Declared names that other items refer to.
struct Declared<'a> {
    regions: Names<'a>,
    zones: Names<'a>,
    teams: Names<'a>,
    services: Names<'a>,
    racks: Names<'a>,
}

/// Resolves the names of all documents and builds the plan, without homes of new jobs and without the job index.
pub(crate) fn resolve(documents: &[Document], report: &mut Report) -> Resolved {
    let declared = index_names(documents, report);
    let mut plan = Plan {
        regions: items(documents, |d| &d.regions).map(|region| region.body.value.clone()).collect(),
        teams: items(documents, |d| &d.teams).map(|item| team(&item.body)).collect(),
        links: links(documents, &declared, report),
        ..Plan::default()
    };
    let zones = resolve_items(&mut plan.zones, items(documents, |d| &d.zones), report, |item, report| {
        zone(item, &declared, report)
    });
    let pools = resolve_items(&mut plan.pools, items(documents, |d| &d.pools), report, |item, report| {
        pool(item, &declared, report)
    });
    let is_platform_valid = zones.into_iter().chain(pools).all(|is_valid| is_valid);
    set_default_cells(&mut plan, documents);
    let service_validity =
        resolve_items(&mut plan.services, items(documents, |d| &d.services), report, |item, report| {
            service(item, &declared, report)
        });
    let job_validity =
        resolve_items(&mut plan.jobs, items(documents, |d| &d.jobs), report, |item, report| {
            job(item, &declared, report)
        });
    plan.samples =
        items(documents, |d| &d.samples).map(|item| sample(&item.body, &declared, report)).collect();
    restore_homes(&mut plan, documents, &declared, report);
    Resolved { plan, is_platform_valid, service_validity, job_validity }
}

/// Items of one kind across all documents.
fn items<'a, T: 'a>(
    documents: &'a [Document],
    kind: impl Fn(&'a Document) -> &'a Vec<Item<T>>,
) -> impl Iterator<Item = &'a Item<T>> {
    documents.iter().flat_map(kind)
}

/// Resolves items and appends them to `list`; returns for each whether it is free of findings.
fn resolve_items<'a, D: 'a, T>(
    list: &mut Vec<T>,
    items: impl Iterator<Item = &'a Item<D>>,
    report: &mut Report,
    resolve: impl Fn(&D, &mut Report) -> T,
) -> Vec<bool> {
    let mut validity = Vec::new();
    for item in items {
        let before = report.len();
        list.push(resolve(&item.body, report));
        validity.push(item.is_valid && report.len() == before);
    }
    validity
}

fn index_names<'a>(documents: &'a [Document], report: &mut Report) -> Declared<'a> {
    let documents_by_name = documents.iter().map(|document| &document.name);
    names::index("document", documents, documents_by_name, report);
    names::index("pool", documents, items(documents, |d| &d.pools).map(|item| &item.body.name), report);
    let jobs = || items(documents, |d| &d.jobs).map(|item| &item.body.name);
    names::index("job", documents, jobs(), report);
    let job_ids = items(documents, |d| &d.jobs)
        .map(|item| (&item.body.name, job::Id::of(&item.body.name.value, item.body.run)));
    names::check_identities("job", job_ids, report);
    let zones = || items(documents, |d| &d.zones).map(|item| &item.body.name);
    names::check_identities("zone", zones().map(|name| (name, zone::Id::of(&name.value))), report);
    let services = || items(documents, |d| &d.services).map(|item| &item.body.name);
    names::check_identities("service", services().map(|name| (name, service::Id::of(&name.value))), report);
    names::check_case_conflicts(services(), report);
    let racks = items(documents, |d| &d.pools).flat_map(|item| &item.body.racks);
    Declared {
        regions: names::index(
            "region",
            documents,
            items(documents, |d| &d.regions).map(|item| &item.body),
            report,
        ),
        zones: names::index("zone", documents, zones(), report),
        teams: names::index(
            "team",
            documents,
            items(documents, |d| &d.teams).map(|item| &item.body.name),
            report,
        ),
        services: names::index("service", documents, services(), report),
        racks: Names { kind: "rack", indexes: racks.map(|rack| (rack.as_str(), 0)).collect() },
    }
}

fn links(documents: &[Document], declared: &Declared<'_>, report: &mut Report) -> Vec<zone::Link> {
    let mut links: Vec<zone::Link> = Vec::new();
    for item in items(documents, |d| &d.links) {
        let ends: Vec<usize> =
            item.body.between.iter().filter_map(|region| declared.regions.find(region, report)).collect();
        let [a, b] = ends[..] else { continue };
        let between = (zone::Region(a.min(b) as u16), zone::Region(a.max(b) as u16));
        if links.iter().any(|link| link.between == between) {
            report.add(&item.location, "the link between these regions is already declared");
        }
        let draft::platform::Link { bits_per_second, delay, .. } = item.body;
        links.push(zone::Link { between, bits_per_second, delay });
    }
    links
}

fn zone(draft: &draft::platform::Zone, declared: &Declared<'_>, report: &mut Report) -> zone::Zone {
    zone::Zone {
        id: zone::Id::of(&draft.name.value),
        name: draft.name.value.clone(),
        region: zone::Region(declared.regions.find_or_first(&draft.region, report) as u16),
        cells: draft.cells.unwrap_or_default(),
        entry_vms: draft.entry_vms,
        is_retired: draft.is_retired,
    }
}

fn pool(draft: &draft::platform::Pool, declared: &Declared<'_>, report: &mut Report) -> pool::Pool {
    pool::Pool {
        name: draft.name.value.clone(),
        zone: zone::Key(declared.zones.find_or_first(&draft.zone, report) as u16),
        racks: draft.racks.clone(),
        count: draft.count,
        size: draft.size,
        connections: draft.connections,
        labels: draft.labels.clone(),
    }
}

/// Sets the number of cells of zones that declare none, from the expected number of workers.
fn set_default_cells(plan: &mut Plan, documents: &[Document]) {
    for (index, item) in items(documents, |d| &d.zones).enumerate() {
        if item.body.cells.is_some() {
            continue;
        }
        let pools = plan.pools.iter().filter(|pool| usize::from(pool.zone.0) == index);
        let workers: u64 = pools.map(|pool| u64::from(pool.count)).sum();
        let cells = workers.div_ceil(WORKERS_PER_CELL).max(1);
        plan.zones[index].cells = u16::try_from(cells).unwrap_or(u16::MAX);
    }
}

fn team(draft: &draft::team::Team) -> team::Team {
    team::Team { name: draft.name.value.clone(), quota: draft.quota, weight: draft.weight }
}

fn filter(draft: &draft::Filter, declared: &Declared<'_>, report: &mut Report) -> pool::Filter {
    let zones = draft.zones.iter().filter_map(|name| declared.zones.find(name, report));
    let zones = zones.map(|index| zone::Key(index as u16)).collect();
    for rack in &draft.racks {
        declared.racks.find(rack, report);
    }
    let racks = draft.racks.iter().map(|rack| rack.value.clone()).collect();
    pool::Filter { zones, racks, labels: draft.labels.clone() }
}

fn service(
    draft: &draft::service::Service,
    declared: &Declared<'_>,
    report: &mut Report,
) -> service::Service {
    service::Service {
        id: service::Id::of(&draft.name.value),
        name: draft.name.value.clone(),
        team: team::Key(declared.teams.find_or_first(&draft.team, report) as u16),
        replicas: draft.replicas.value,
        size: draft.demand.size(),
        priority: draft.priority,
        latency_target: draft.latency_target,
        timeout: draft.timeout,
        concurrency: draft.concurrency,
        filter: filter(&draft.filter, declared, report),
        routes: draft.routes.clone(),
    }
}

fn job(draft: &draft::job::Job, declared: &Declared<'_>, report: &mut Report) -> job::Job {
    job::Job {
        id: job::Id::of(&draft.name.value, draft.run),
        name: draft.name.value.clone(),
        run: draft.run,
        team: team::Key(declared.teams.find_or_first(&draft.team, report) as u16),
        tasks: draft.tasks,
        size: draft.demand.size(),
        run_time: draft.run_time,
        deadline: draft.deadline,
        retries: draft.retries,
        is_checkpointable: draft.is_checkpointable,
        priority: draft.priority,
        kind: draft.kind.clone(),
        filter: filter(&draft.filter, declared, report),
        is_cancelled: draft.is_cancelled,
        homes: Vec::new(),
    }
}

fn sample(draft: &draft::sample::Sample, declared: &Declared<'_>, report: &mut Report) -> sample::Sample {
    sample::Sample {
        service: service::Key(declared.services.find_or_first(&draft.service, report) as u16),
        path: draft.path.clone(),
        requests: draft.requests,
        body_bytes: draft.body_bytes,
    }
}

/// Sets the homes of jobs from the generated tables of stored documents.
fn restore_homes(plan: &mut Plan, documents: &[Document], declared: &Declared<'_>, report: &mut Report) {
    let mut first_index = 0;
    for document in documents {
        let job_indexes: BTreeMap<String, usize> = document
            .jobs
            .iter()
            .enumerate()
            .map(|(index, job)| (job.body.home_key(), first_index + index))
            .collect();
        for home in &document.homes {
            let cells = home_cells(home, &plan.zones, declared, report);
            match job_indexes.get(&home.job) {
                Some(job_index) => plan.jobs[*job_index].homes = cells,
                None => report.add(&home.cells.location, "the document has no job with this name and run"),
            }
        }
        first_index += document.jobs.len();
    }
}

/// Cells of a stored list of homes. Reports a cell that no longer exists, since its tasks would be lost.
fn home_cells(
    home: &draft::home::Home,
    zones: &[zone::Zone],
    declared: &Declared<'_>,
    report: &mut Report,
) -> Vec<cell::Id> {
    let mut cells = Vec::new();
    for (name, number) in &home.cells.value {
        let Some(zone_index) = declared.zones.indexes.get(name.as_str()) else {
            let message = format!(
                "the job has tasks in zone \"{name}\", which is not declared; keep it with `retired = true`"
            );
            report.add(&home.cells.location, message);
            continue;
        };
        let zone = &zones[*zone_index];
        if *number >= zone.cells {
            let message = format!(
                "the job has tasks in cell {number} of zone \"{name}\", which has {} cells; do not lower `cells` \
                 while the job is declared",
                zone.cells
            );
            report.add(&home.cells.location, message);
        }
        cells.push(cell::Id { zone: zone.id, index: *number });
    }
    cells
}
