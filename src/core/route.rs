//! Replicas as targets of requests, and load balancing among them.
//!
//! The owner of a cell publishes the routes of its running replicas. A target is available if it is neither leaving nor
//! ejected, a connection grant of the routes' epoch is held for its cell, and this process has a connection to its
//! worker left under that grant.

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
    /// Route as published by the owner of the cell.
    pub route: peer::Route,
    /// Cell it belongs to.
    pub cell: cell::Id,
    /// Requests that this process has in flight to it.
    pub in_flight: u16,
    /// Exponential moving average of its latency in microseconds; 0 before the first response.
    pub latency_us: f64,
    /// Attempts without a response since the last response or ejection.
    pub consecutive_failures: u8,
    /// End of the last ejection, until which it gets no new requests; `None` if it was never ejected.
    pub ejected_until: Option<Instant>,
}

/// Load-balancing policy.
#[derive(Debug, Clone, Copy)]
pub struct Policy {
    /// Name in reports.
    pub name: &'static str,
    /// Number of random targets to compare; 0 compares all.
    pub sample_size: usize,
    /// Cost of a target; the target with the lowest cost is chosen.
    pub cost: fn(&Target) -> f64,
}

/// Power of two choices by load and recent latency.
pub const TWO_CHOICES: Policy = Policy { name: "two-choices", sample_size: 2, cost: expected_wait };

/// Fewest requests in flight over all targets.
pub const LEAST_IN_FLIGHT: Policy =
    Policy { name: "least-in-flight", sample_size: 0, cost: |target| f64::from(target.in_flight) };

/// One random target.
pub const RANDOM: Policy = Policy { name: "random", sample_size: 1, cost: |_| 0.0 };

/// Expected wait in microseconds behind the requests in flight, increased by the batch load of the worker.
fn expected_wait(target: &Target) -> f64 {
    const DEFAULT_LATENCY_US: f64 = 1000.0;
    let latency = if target.latency_us > 0.0 { target.latency_us } else { DEFAULT_LATENCY_US };
    (f64::from(target.in_flight) + 1.0) * latency * (1.0 + f64::from(target.route.batch_percent) / 200.0)
}

/// Version of a cell's routes: epoch of the owner, then the owner's counter.
pub type Version = (u64, u64);

/// Targets by service.
#[derive(Debug, Clone, Default)]
pub struct Table {
    arena: SlotMap<Key, Target>,
    by_service: Map<service::Id, Vec<Key>>,
    version_by_cell: Map<cell::Id, Version>,
    /// Requests that this process has in flight to each worker.
    in_flight_by_worker: Map<SocketAddr, u16>,
}

impl Table {
    /// Target with key `key`, unless it was removed.
    pub fn get(&self, key: Key) -> Option<&Target> {
        self.arena.get(key)
    }

    /// Version of the routes of a cell; zero if there are none.
    pub fn version(&self, cell: cell::Id) -> Version {
        self.version_by_cell.get(&cell).copied().unwrap_or_default()
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
    pub fn for_service(&self, service: service::Id) -> &[Key] {
        self.by_service.get(&service).map_or(&[], Vec::as_slice)
    }
}

/// Replaces the routes of a cell if the version is newer.
pub(crate) fn update_cell(
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
    table.version_by_cell.insert(cell, version);
    let published: Map<run::Id, peer::Route> = replicas.iter().map(|route| (route.run, *route)).collect();
    let mut updated: Set<run::Id> = Set::default();
    // Targets that stay keep their keys, since requests in flight refer to them.
    table.arena.retain(|_, target| {
        if target.cell != cell {
            return true;
        }
        let Some(route) = published.get(&target.route.run) else { return false };
        target.route = *route;
        updated.insert(route.run);
        true
    });
    for route in replicas.iter().filter(|route| !updated.contains(&route.run)) {
        let target = Target {
            route: *route,
            cell,
            in_flight: 0,
            latency_us: 0.0,
            consecutive_failures: 0,
            ejected_until: None,
        };
        table.arena.insert(target);
    }
    index_by_service(table);
    dispatch_queued(state, out);
}

fn index_by_service(table: &mut Table) {
    table.by_service.clear();
    for (key, target) in &table.arena {
        table.by_service.entry(target.route.service).or_default().push(key);
    }
}

/// Removes targets in zones and cells that are no longer declared.
pub(crate) fn remove_undeclared(state: &mut State) {
    let plan = state.config.plan.clone();
    let is_declared = |cell: cell::Id| plan.zone(cell.zone).is_some_and(|(_, zone)| cell.index < zone.cells);
    state.routes.arena.retain(|_, target| is_declared(target.cell));
    index_by_service(&mut state.routes);
}

/// Dispatches queued requests after a change of targets or grants.
pub(crate) fn dispatch_queued(state: &mut State, out: &mut Vec<Effect>) {
    exchange::dispatch_queued(state, out);
}

/// Chooses an available target of a service by the load-balancing policy.
pub(crate) fn choose(state: &mut State, service: service::Id) -> Option<Key> {
    let random = state.next_random();
    let candidates = state.routes.for_service(service);
    if candidates.is_empty() {
        return None;
    }
    let policy = state.routing;
    let cheapest = |keys: &mut dyn Iterator<Item = Key>| {
        keys.filter(|key| is_available(state, *key)).min_by(|a, b| {
            let cost = |key: &Key| state.routes.get(*key).map_or(f64::MAX, policy.cost);
            cost(a).total_cmp(&cost(b))
        })
    };
    let sampled = match policy.sample_size {
        0 => None,
        count => {
            let mut sample = (0..count).map(|n| random_candidate(candidates, random, n));
            cheapest(&mut sample)
        }
    };
    // All sampled targets may be unavailable while others are available.
    sampled.or_else(|| cheapest(&mut candidates.iter().copied()))
}

fn random_candidate(candidates: &[Key], random: u64, n: usize) -> Key {
    let position = random.rotate_left(n as u32 * 21) % candidates.len() as u64;
    candidates[position as usize]
}

/// Whether this process may send one more request to a target.
fn is_available(state: &State, key: Key) -> bool {
    let Some(target) = state.routes.get(key) else { return false };
    let is_ejected = target.ejected_until.is_some_and(|until| state.now < until);
    if target.route.leaving || is_ejected {
        return false;
    }
    let Some(grant) = state.grants.valid(target.cell, state.now) else { return false };
    if grant.epoch != state.routes.version(target.cell).0 {
        return false;
    }
    let connection_limit = target.route.connections / state.tuning.grant_slots;
    state.routes.in_flight_by_worker.get(&target.route.address).copied().unwrap_or(0) < connection_limit
}

/// Counts a request as in flight to a target.
pub(crate) fn begin_request(state: &mut State, key: Key) {
    let Some(target) = state.routes.arena.get_mut(key) else { return };
    target.in_flight += 1;
    *state.routes.in_flight_by_worker.entry(target.route.address).or_default() += 1;
}

/// Consecutive failures after which a target is ejected.
const EJECTION_FAILURES: u8 = 5;

/// Time for which an ejected target gets no requests.
const EJECTION_TIME: std::time::Duration = std::time::Duration::from_secs(10);

/// Counts a request to a target as ended; `latency` is `None` if it ended without a response.
pub(crate) fn end_request(
    state: &mut State,
    key: Key,
    address: SocketAddr,
    latency: Option<std::time::Duration>,
) {
    const SMOOTHING: f64 = 0.2;
    if let Some(count) = state.routes.in_flight_by_worker.get_mut(&address) {
        *count = count.saturating_sub(1);
    }
    let now = state.now;
    let Some(target) = state.routes.arena.get_mut(key) else { return };
    target.in_flight = target.in_flight.saturating_sub(1);
    match latency {
        Some(latency) => {
            let sample = latency.as_micros() as f64;
            let average = if target.latency_us > 0.0 { target.latency_us } else { sample };
            target.latency_us = average + SMOOTHING * (sample - average);
            target.consecutive_failures = 0;
        }
        None => target.consecutive_failures = target.consecutive_failures.saturating_add(1),
    }
    if target.consecutive_failures >= EJECTION_FAILURES {
        target.consecutive_failures = 0;
        target.ejected_until = Some(now + EJECTION_TIME);
    }
}
