//! Service replicas of a cell: as many as declared are kept running, spread over racks.
//!
//! A replica has no unique work, so it needs no log record. Each start has a new run, and a new owner learns the running
//! ones from the workers.

use std::time::Duration;

use super::cell;
use super::control::{Command, Start, Work};
use super::effect::Effect;
use super::place;
use super::run;
use super::state::{State, record};
use super::time::Instant;
use super::trace::Subject;
use super::worker::{self, Reservation, Worker};
use crate::declare::plan::Plan;
use crate::declare::service::{self, Service};
use crate::declare::spread;
use crate::hash::Map;

/// A replica that is running or was told to start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Replica {
    /// Its service.
    pub service: service::Id,
    /// Worker it is on.
    pub worker: worker::Key,
    /// Whether the worker reported it.
    pub is_running: bool,
    /// Since when it gets no new requests and is about to be stopped.
    pub draining: Option<Instant>,
}

/// Replicas of a cell.
#[derive(Debug, Clone, Default)]
pub struct Set {
    /// Replicas by run.
    pub by_run: Map<run::Id, Replica>,
    /// Version of the published routes.
    pub version: u64,
    /// Routes as last published.
    pub published: Vec<super::peer::Route>,
}

/// Time after taking over in which missing replicas are not started, since workers may still report them.
const SETTLE: Duration = Duration::from_secs(3);

/// Time for which a replica gets no new requests before it is stopped, at least.
const DRAIN: Duration = Duration::from_secs(3);

/// A worker reported a replica.
pub(crate) fn found(
    state: &mut State,
    cell: cell::Key,
    worker: worker::Key,
    run: run::Id,
    service: Option<service::Id>,
) {
    let Some(home) = state.cells.get_mut(cell) else { return };
    match (home.replicas.by_run.get_mut(&run), service) {
        (Some(replica), _) => replica.is_running = true,
        (None, Some(service)) => {
            home.replicas.by_run.insert(run, Replica { service, worker, is_running: true, draining: None });
        }
        (None, None) => {}
    }
}

/// A replica is surely not running.
pub(crate) fn gone(state: &mut State, cell: cell::Key, run: run::Id) {
    if let Some(home) = state.cells.get_mut(cell) {
        home.replicas.by_run.remove(&run);
    }
}

/// Starts missing replicas and stops those that are too many.
pub(crate) fn reconcile(state: &mut State, key: cell::Key, out: &mut Vec<Effect>) {
    stop_drained(state, key, out);
    if !is_settled(state, key) {
        return;
    }
    let plan = state.config.plan.clone();
    refresh_wanted(state, key, &plan);
    for (at, service) in plan.services.iter().enumerate() {
        reconcile_service(state, key, &plan, (at, service), out);
    }
    drain_undeclared(state, key, &plan);
}

/// Computes the number of replicas to run once per configuration, since spreading them looks at every cell.
fn refresh_wanted(state: &mut State, key: cell::Key, plan: &Plan) {
    let version = state.config.index.version;
    let Some(cell) = state.cells.get_mut(key).filter(|cell| cell.desired_replicas.0 != version) else {
        return;
    };
    let id = cell.id;
    let of = |(at, service): (usize, &Service)| {
        spread::replicas(plan, service::Key(at as u16), service.replicas.0, id)
    };
    cell.desired_replicas = (version, plan.services.iter().enumerate().map(of).collect());
}

/// Whether every worker of the cell has answered, or had time to.
fn is_settled(state: &State, key: cell::Key) -> bool {
    let Some(cell) = state.cells.get(key) else { return false };
    let now = state.now;
    let all_held = state.workers.in_cell(cell.id).all(|(_, worker)| worker.is_held(now));
    all_held || now.since(cell.acting_since) > SETTLE
}

fn reconcile_service(
    state: &mut State,
    key: cell::Key,
    plan: &Plan,
    (at, service): (usize, &Service),
    out: &mut Vec<Effect>,
) {
    let Some(cell) = state.cells.get(key) else { return };
    let wanted = cell.desired_replicas.1.get(at).map_or(0, |count| *count as usize);
    let mut present = usable(state, key, service.id);
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

/// Replicas of a service on workers that may be used, oldest runs first in a fixed order.
fn usable(state: &State, key: cell::Key, service: service::Id) -> Vec<run::Id> {
    let Some(cell) = state.cells.get(key) else { return Vec::new() };
    let is_usable = |replica: &Replica| {
        replica.service == service
            && replica.draining.is_none()
            && state.workers.get(replica.worker).is_some_and(|worker| worker.is_usable(state.now))
    };
    let mut runs: Vec<run::Id> =
        cell.replicas.by_run.iter().filter(|(_, replica)| is_usable(replica)).map(|(run, _)| *run).collect();
    runs.sort_unstable();
    runs
}

/// Starts one replica on the worker whose rack and self have the fewest of them.
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
    let on: Vec<&Worker> =
        present.iter().filter_map(|run| state.workers.get(cell.replicas.by_run.get(run)?.worker)).collect();
    let crowding = |worker: &Worker| {
        let same_worker = on.iter().filter(|other| other.id == worker.id).count() as u64;
        let same_rack = on.iter().filter(|other| other.rack == worker.rack).count() as u64;
        (same_worker << 40)
            + (same_rack << 20)
            + (place::LEAST_LOADED.cost)(worker, &service.size).min(1 << 20)
    };
    let is_allowed =
        |worker: &Worker| worker.is_usable(now) && place::is_admitted(plan, &service.filter, worker);
    let Some(target) = place::choose(state, id, &service.size, is_allowed, crowding) else {
        place::make_room(state, key, &service.size, u8::MAX, is_allowed, out);
        return None;
    };
    let run = run::Id(state.draw());
    let replica = Replica { service: service.id, worker: target, is_running: false, draining: None };
    state.cells.get_mut(key)?.replicas.by_run.insert(run, replica);
    worker::reserve(state, target, Work::Replica(run), Reservation::new(service.size, 1));
    let worker = state.workers.get(target)?.id;
    record(out, Subject::Replica(run), "start-replica", format!("{} on worker {:x}", service.name, worker.0));
    worker::queue_command(state, worker, Command::Start(start_of(run, service)));
    Some(run)
}

fn start_of(run: run::Id, service: &Service) -> Start {
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

/// Marks replicas as getting no new requests; they are stopped after a while.
fn drain(state: &mut State, key: cell::Key, runs: impl IntoIterator<Item = run::Id>) {
    let now = state.now;
    let Some(cell) = state.cells.get_mut(key) else { return };
    for run in runs {
        if let Some(replica) = cell.replicas.by_run.get_mut(&run) {
            replica.draining.get_or_insert(now);
        }
    }
}

/// Drains replicas on workers that are leaving, once enough others run.
fn drain_unusable(state: &mut State, key: cell::Key, service: service::Id) {
    let Some(cell) = state.cells.get(key) else { return };
    let running = |run: &run::Id| cell.replicas.by_run.get(run).is_some_and(|replica| replica.is_running);
    if !usable(state, key, service).iter().all(running) {
        return;
    }
    let is_leaving = |replica: &Replica| {
        replica.service == service
            && state
                .workers
                .get(replica.worker)
                .is_some_and(|worker| worker.leaving || worker.absent_since.is_some())
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

/// Stops replicas that have got no new requests for long enough.
fn stop_drained(state: &mut State, key: cell::Key, out: &mut Vec<Effect>) {
    let now = state.now;
    let plan = state.config.plan.clone();
    let Some(cell) = state.cells.get(key) else { return };
    let is_due = |replica: &Replica| {
        let timeout = plan.service(replica.service).map_or(DRAIN, |(_, service)| service.timeout);
        replica.draining.is_some_and(|since| now.since(since) > DRAIN.max(timeout))
    };
    let mut due: Vec<(run::Id, worker::Key)> = cell
        .replicas
        .by_run
        .iter()
        .filter(|(_, replica)| is_due(replica))
        .map(|(run, replica)| (*run, replica.worker))
        .collect();
    due.sort_unstable();
    for (run, worker) in due {
        let Some(worker) = state.workers.get(worker).map(|worker| worker.id) else { continue };
        record(out, Subject::Replica(run), "stop-replica", "drained");
        worker::queue_command(
            state,
            worker,
            Command::Stop { work: Work::Replica(run), attempt: 1, checkpoint: false },
        );
    }
}

/// Replicas running and declared in a cell.
pub fn count(state: &State, key: cell::Key) -> (u32, u32) {
    let Some(cell) = state.cells.get(key) else { return (0, 0) };
    let running = cell.replicas.by_run.values().filter(|replica| replica.is_running).count() as u32;
    (running, cell.desired_replicas.1.iter().sum())
}
