//! Routes: the replicas that requests can be sent to, and the choice among them.

use std::net::SocketAddr;

use slotmap::{SlotMap, new_key_type};

use super::effect::Effect;
use super::peer;
use super::state::State;
use super::time::Instant;
use super::{cell, exchange, run};
use crate::declare::service;
use crate::hash::{Map, Set};

new_key_type! {
    /// Key of a replica in this process.
    pub struct Key;
}

/// A replica as a target of requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Target {
    /// What its cell's owner published.
    pub route: peer::Route,
    /// Cell it belongs to.
    pub cell: cell::Id,
    /// Requests of this process in flight at it.
    pub in_flight: u16,
    /// Moving average of its latency in microseconds; 0 before the first answer.
    pub latency_us: f64,
    /// Attempts without an answer since the last one that had one.
    pub failures: u8,
    /// Gets no new requests until then, after several failures.
    pub ejected: Option<Instant>,
}

/// How targets are compared.
#[derive(Debug, Clone, Copy)]
pub struct Policy {
    /// Name in reports.
    pub name: &'static str,
    /// Number of randomly drawn targets to compare; 0 compares all.
    pub choices: usize,
    /// Cost of a target; the lowest wins.
    pub cost: fn(&Target) -> f64,
}

/// Power of two choices by load and recent latency.
pub const TWO_CHOICES: Policy = Policy { name: "two-choices", choices: 2, cost: expected_wait };

/// Least requests in flight over all targets.
pub const LEAST_IN_FLIGHT: Policy =
    Policy { name: "least-in-flight", choices: 0, cost: |target| f64::from(target.in_flight) };

/// One random target.
pub const RANDOM: Policy = Policy { name: "random", choices: 1, cost: |_| 0.0 };

/// Expected wait behind the requests in flight, longer where batch tasks use the cores.
fn expected_wait(target: &Target) -> f64 {
    const UNKNOWN_LATENCY_US: f64 = 1000.0;
    let latency = if target.latency_us > 0.0 { target.latency_us } else { UNKNOWN_LATENCY_US };
    (f64::from(target.in_flight) + 1.0) * latency * (1.0 + f64::from(target.route.batch_percent) / 200.0)
}

/// Version of a cell's routes: epoch of the owner, then its counter.
pub type Version = (u64, u64);

/// Targets by service.
#[derive(Debug, Clone, Default)]
pub struct Table {
    arena: SlotMap<Key, Target>,
    by_service: Map<service::Id, Vec<Key>>,
    versions: Map<cell::Id, Version>,
    /// Requests of this process in flight at each worker.
    connections: Map<SocketAddr, u16>,
}

impl Table {
    /// Target behind `key`.
    pub fn get(&self, key: Key) -> Option<&Target> {
        self.arena.get(key)
    }

    /// Version of the routes of a cell.
    pub fn version(&self, cell: cell::Id) -> Version {
        self.versions.get(&cell).copied().unwrap_or_default()
    }

    /// Number of targets.
    pub fn len(&self) -> usize {
        self.arena.len()
    }

    /// Whether there are no targets.
    pub fn is_empty(&self) -> bool {
        self.arena.is_empty()
    }

    /// Targets of a service.
    pub fn of(&self, service: service::Id) -> &[Key] {
        self.by_service.get(&service).map_or(&[], Vec::as_slice)
    }
}

/// Takes over the routes of a cell, if they are newer.
pub(crate) fn update(
    state: &mut State,
    cell: cell::Id,
    version: Version,
    replicas: &[peer::Route],
    out: &mut Vec<Effect>,
) {
    if version <= state.routes.version(cell) {
        return;
    }
    let table = &mut state.routes;
    table.versions.insert(cell, version);
    let fresh: Map<run::Id, peer::Route> = replicas.iter().map(|route| (route.run, *route)).collect();
    let mut known: Set<run::Id> = Set::default();
    // Targets keep their keys, which requests in flight refer to.
    table.arena.retain(|_, target| {
        if target.cell != cell {
            return true;
        }
        let Some(route) = fresh.get(&target.route.run) else { return false };
        target.route = *route;
        known.insert(route.run);
        true
    });
    for route in replicas.iter().filter(|route| !known.contains(&route.run)) {
        let target =
            Target { route: *route, cell, in_flight: 0, latency_us: 0.0, failures: 0, ejected: None };
        table.arena.insert(target);
    }
    rebuild(table);
    wake(state, out);
}

fn rebuild(table: &mut Table) {
    table.by_service.clear();
    for (key, target) in &table.arena {
        table.by_service.entry(target.route.service).or_default().push(key);
    }
}

/// Drops routes of zones and cells that are no longer declared.
pub(crate) fn plan_changed(state: &mut State) {
    let plan = state.config.plan.clone();
    let is_declared = |cell: cell::Id| plan.zone(cell.zone).is_some_and(|(_, zone)| cell.index < zone.cells);
    state.routes.arena.retain(|_, target| is_declared(target.cell));
    rebuild(&mut state.routes);
}

/// Targets or grants changed: requests that wait may go on.
pub(crate) fn wake(state: &mut State, out: &mut Vec<Effect>) {
    exchange::pump_all(state, out);
}

/// Chooses a target with a free connection for a service.
pub(crate) fn choose(state: &mut State, service: service::Id) -> Option<Key> {
    let draw = state.next_random();
    let candidates = state.routes.of(service);
    if candidates.is_empty() {
        return None;
    }
    let policy = state.routing;
    let cheapest = |keys: &mut dyn Iterator<Item = Key>| {
        keys.filter(|key| is_open(state, *key)).min_by(|a, b| {
            let cost = |key: &Key| state.routes.get(*key).map_or(f64::MAX, policy.cost);
            cost(a).total_cmp(&cost(b))
        })
    };
    let sampled = match policy.choices {
        0 => None,
        count => {
            let mut sample = (0..count).map(|n| pick(candidates, draw, n));
            cheapest(&mut sample)
        }
    };
    // The sampled ones may all be full while others are not.
    sampled.or_else(|| cheapest(&mut candidates.iter().copied()))
}

fn pick(candidates: &[Key], draw: u64, n: usize) -> Key {
    let rotated = draw.rotate_left(n as u32 * 21) % candidates.len() as u64;
    candidates[rotated as usize]
}

/// Whether a target may get one more request of this process.
fn is_open(state: &State, key: Key) -> bool {
    let Some(target) = state.routes.get(key) else { return false };
    let is_ejected = target.ejected.is_some_and(|until| state.now < until);
    if target.route.leaving || is_ejected {
        return false;
    }
    let Some(held) = state.grants.valid(target.cell, state.now) else { return false };
    if held.epoch != state.routes.version(target.cell).0 {
        return false;
    }
    let share = target.route.connections / state.tuning.grant_slots;
    state.routes.connections.get(&target.route.address).copied().unwrap_or(0) < share
}

/// Counts a request that is sent to a target.
pub(crate) fn take(state: &mut State, key: Key) {
    let Some(target) = state.routes.arena.get_mut(key) else { return };
    target.in_flight += 1;
    *state.routes.connections.entry(target.route.address).or_default() += 1;
}

/// Failures in a row after which a target gets no requests for a while.
const EJECT_FAILURES: u8 = 5;

/// Time for which an ejected target gets no requests.
const EJECTION: std::time::Duration = std::time::Duration::from_secs(10);

/// A request at a target ended.
pub(crate) fn release(
    state: &mut State,
    key: Key,
    address: SocketAddr,
    latency: Option<std::time::Duration>,
) {
    const SMOOTHING: f64 = 0.2;
    if let Some(count) = state.routes.connections.get_mut(&address) {
        *count = count.saturating_sub(1);
    }
    let now = state.now;
    let Some(target) = state.routes.arena.get_mut(key) else { return };
    target.in_flight = target.in_flight.saturating_sub(1);
    match latency {
        Some(latency) => {
            let sample = latency.as_micros() as f64;
            let old = if target.latency_us > 0.0 { target.latency_us } else { sample };
            target.latency_us = old + SMOOTHING * (sample - old);
            target.failures = 0;
        }
        None => target.failures = target.failures.saturating_add(1),
    }
    if target.failures >= EJECT_FAILURES {
        target.failures = 0;
        target.ejected = Some(now + EJECTION);
    }
}
