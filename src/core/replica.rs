//! Service replicas of a cell: the declared number is kept running, spread over workers and racks.
//!
//! Replicas of a service are interchangeable, so they need no log record. Each start is a new run, and a new owner
//! learns of the running ones from the workers.

use std::time::Duration;

use super::cell;
use super::control::{Command, Start, Work};
use super::effect::Effect;
use super::place;
use super::run;
use super::state::{State, record};
use super::time::Instant;
use super::trace::Subject;
use super::worker::{self, Load, Worker};
use crate::declare::plan::Plan;
use crate::declare::service::{self, Service};
use crate::declare::spread;
use crate::hash::Map;

/// A replica that is running or has a start command pending.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Replica {
    /// Service it belongs to.
    pub service: service::Id,
    /// Worker it runs on.
    pub worker: worker::Key,
    /// Whether the worker has reported it as running.
    pub is_running: bool,
    /// Start of draining, during which it gets no new requests until it is stopped; `None` if it is not draining.
    pub draining_since: Option<Instant>,
}

/// Replicas of a cell.
#[derive(Debug, Clone, Default)]
pub struct Set {
    /// Replicas by run.
    pub by_run: Map<run::Id, Replica>,
    /// Version of the published routes within the epoch.
    pub routes_version: u64,
    /// Routes as last published.
    pub published_routes: Vec<super::peer::Route>,
}

/// Time after a takeover during which missing replicas are not started, since workers may still report them.
const INVENTORY_TIMEOUT: Duration = Duration::from_secs(3);

/// Shortest time for which a replica drains before it is stopped.
const DRAIN_MIN: Duration = Duration::from_secs(3);

/// Records a replica that a worker reports; one that is not known is added only if its service is given.
pub(crate) fn record_running(
    state: &mut State,
    cell: cell::Key,
    worker: worker::Key,
    run: run::Id,
    service: Option<service::Id>,
) {
    let Some(owned) = state.cells.get_mut(cell) else { return };
    match (owned.replicas.by_run.get_mut(&run), service) {
        (Some(replica), _) => replica.is_running = true,
        (None, Some(service)) => {
            owned
                .replicas
                .by_run
                .insert(run, Replica { service, worker, is_running: true, draining_since: None });
        }
        (None, None) => {}
    }
}

/// Removes a replica that certainly does not run.
pub(crate) fn remove(state: &mut State, cell: cell::Key, run: run::Id) {
    if let Some(owned) = state.cells.get_mut(cell) {
        owned.replicas.by_run.remove(&run);
    }
}

/// Stops drained replicas, starts missing ones, and drains surplus, leaving and undeclared ones.
pub(crate) fn reconcile(state: &mut State, key: cell::Key, out: &mut Vec<Effect>) {
    stop_drained(state, key, out);
    if !is_inventory_complete(state, key) {
        return;
    }
    let plan = state.config.plan.clone();
    refresh_wanted(state, key, &plan);
    for (index, service) in plan.services.iter().enumerate() {
        reconcile_service(state, key, &plan, (index, service), out);
    }
    drain_undeclared(state, key, &plan);
}

/// Computes the wanted number of replicas once per configuration version, since spreading them visits every cell.
fn refresh_wanted(state: &mut State, key: cell::Key, plan: &Plan) {
    let version = state.config.index.version;
    let Some(cell) = state.cells.get_mut(key).filter(|cell| cell.wanted.0 != version) else { return };
    let id = cell.id;
    let wanted_count = |(index, service): (usize, &Service)| {
        spread::replicas(plan, service::Key(index as u16), service.replicas.0, id)
    };
    cell.wanted = (version, plan.services.iter().enumerate().map(wanted_count).collect());
}

/// Whether a control lease is held on every worker of the cell, or [`INVENTORY_TIMEOUT`] has passed.
fn is_inventory_complete(state: &State, key: cell::Key) -> bool {
    let Some(cell) = state.cells.get(key) else { return false };
    let now = state.now;
    let has_all_leases = state.workers.of(cell.id).all(|(_, worker)| worker.is_held(now));
    has_all_leases || now.since(cell.since) > INVENTORY_TIMEOUT
}

fn reconcile_service(
    state: &mut State,
    key: cell::Key,
    plan: &Plan,
    (index, service): (usize, &Service),
    out: &mut Vec<Effect>,
) {
    let Some(cell) = state.cells.get(key) else { return };
    let wanted = cell.wanted.1.get(index).map_or(0, |count| *count as usize);
    let mut present = usable_runs(state, key, service.id);
    while present.len() < wanted {
        let Some(run) = start(state, key, plan, service, &present, out) else { break };
        present.push(run);
    }
    if present.len() >= wanted {
        let surplus: Vec<run::Id> = present.drain(wanted..).collect();
        drain(state, key, surplus);
        drain_unusable(state, key, service.id);
    }
}

/// Replicas of a service on usable workers that are not draining, ordered by run.
fn usable_runs(state: &State, key: cell::Key, service: service::Id) -> Vec<run::Id> {
    let Some(cell) = state.cells.get(key) else { return Vec::new() };
    let is_usable = |replica: &Replica| {
        replica.service == service
            && replica.draining_since.is_none()
            && state.workers.get(replica.worker).is_some_and(|worker| worker.is_usable(state.now))
    };
    let mut runs: Vec<run::Id> =
        cell.replicas.by_run.iter().filter(|(_, replica)| is_usable(replica)).map(|(run, _)| *run).collect();
    runs.sort_unstable();
    runs
}

/// Starts a replica on the worker with the fewest replicas of the service, then by rack, then by load.
fn start(
    state: &mut State,
    key: cell::Key,
    plan: &Plan,
    service: &Service,
    present: &[run::Id],
    out: &mut Vec<Effect>,
) -> Option<run::Id> {
    let cell = state.cells.get(key)?;
    let id = cell.id;
    let now = state.now;
    let others: Vec<&Worker> =
        present.iter().filter_map(|run| state.workers.get(cell.replicas.by_run.get(run)?.worker)).collect();
    let cost = |worker: &Worker| {
        let same_worker = others.iter().filter(|other| other.id == worker.id).count() as u64;
        let same_rack = others.iter().filter(|other| other.rack == worker.rack).count() as u64;
        (same_worker << 40)
            + (same_rack << 20)
            + (place::LEAST_LOADED.cost)(worker, &service.size).min(1 << 20)
    };
    let is_allowed =
        |worker: &Worker| worker.is_usable(now) && place::is_admitted(plan, &service.filter, worker);
    let Some(target) = place::choose(state, id, &service.size, is_allowed, cost) else {
        place::make_room(state, key, &service.size, u8::MAX, is_allowed, out);
        return None;
    };
    let run = run::Id(state.draw());
    let replica = Replica { service: service.id, worker: target, is_running: false, draining_since: None };
    state.cells.get_mut(key)?.replicas.by_run.insert(run, replica);
    worker::reserve(state, target, Work::Replica(run), Load::new(service.size, 1));
    let worker = state.workers.get(target)?.id;
    record(out, Subject::Replica(run), "start-replica", format!("{} on worker {:x}", service.name, worker.0));
    worker::command(state, worker, Command::Start(start_command(run, service)));
    Some(run)
}

fn start_command(run: run::Id, service: &Service) -> Start {
    Start {
        work: Work::Replica(run),
        attempt: 1,
        size: service.size,
        checkpoint: None,
        name: service.name.clone(),
        kind: service.name.clone(),
        run_time_ms: 0,
        concurrency: service.concurrency,
    }
}

/// Starts to drain replicas; [`stop_drained`] stops them later.
fn drain(state: &mut State, key: cell::Key, runs: impl IntoIterator<Item = run::Id>) {
    let now = state.now;
    let Some(cell) = state.cells.get_mut(key) else { return };
    for run in runs {
        if let Some(replica) = cell.replicas.by_run.get_mut(&run) {
            replica.draining_since.get_or_insert(now);
        }
    }
}

/// Drains replicas on workers that are leaving or absent, once those on usable workers run.
fn drain_unusable(state: &mut State, key: cell::Key, service: service::Id) {
    let Some(cell) = state.cells.get(key) else { return };
    let running = |run: &run::Id| cell.replicas.by_run.get(run).is_some_and(|replica| replica.is_running);
    if !usable_runs(state, key, service).iter().all(running) {
        return;
    }
    let is_leaving = |replica: &Replica| {
        replica.service == service
            && state
                .workers
                .get(replica.worker)
                .is_some_and(|worker| worker.leaving || worker.absent.is_some())
    };
    let leaving: Vec<run::Id> =
        cell.replicas.by_run.iter().filter(|(_, replica)| is_leaving(replica)).map(|(run, _)| *run).collect();
    drain(state, key, leaving);
}

/// Drains replicas of services that are no longer declared.
fn drain_undeclared(state: &mut State, key: cell::Key, plan: &Plan) {
    let Some(cell) = state.cells.get(key) else { return };
    let undeclared: Vec<run::Id> = cell
        .replicas
        .by_run
        .iter()
        .filter(|(_, replica)| plan.service(replica.service).is_none())
        .map(|(run, _)| *run)
        .collect();
    drain(state, key, undeclared);
}

/// Stops replicas that have drained for longer than [`DRAIN_MIN`] and the timeout of their service.
fn stop_drained(state: &mut State, key: cell::Key, out: &mut Vec<Effect>) {
    let now = state.now;
    let plan = state.config.plan.clone();
    let Some(cell) = state.cells.get(key) else { return };
    let is_drained = |replica: &Replica| {
        let timeout = plan.service(replica.service).map_or(DRAIN_MIN, |(_, service)| service.timeout);
        replica.draining_since.is_some_and(|since| now.since(since) > DRAIN_MIN.max(timeout))
    };
    let mut drained: Vec<(run::Id, worker::Key)> = cell
        .replicas
        .by_run
        .iter()
        .filter(|(_, replica)| is_drained(replica))
        .map(|(run, replica)| (*run, replica.worker))
        .collect();
    drained.sort_unstable();
    for (run, worker) in drained {
        let Some(worker) = state.workers.get(worker).map(|worker| worker.id) else { continue };
        record(out, Subject::Replica(run), "stop-replica", "drained");
        worker::command(
            state,
            worker,
            Command::Stop { work: Work::Replica(run), attempt: 1, checkpoint: false },
        );
    }
}

/// Number of running replicas in a cell, and of declared ones.
pub fn count(state: &State, key: cell::Key) -> (u32, u32) {
    let Some(cell) = state.cells.get(key) else { return (0, 0) };
    let running = cell.replicas.by_run.values().filter(|replica| replica.is_running).count() as u32;
    (running, cell.wanted.1.iter().sum())
}
