//! Connection grants: shares of the connections of every worker of a cell.
//!
//! The owner of a cell has a fixed number of slots. The holder of a slot may open that fraction of each worker's
//! connections. A slot goes to another member only after its last grant lapsed, so the shares never add up to more than
//! a worker accepts, and requests do not depend on the owner being alive at each moment.

use std::net::SocketAddr;
use std::time::Duration;

use super::cell::{self, Role};
use super::effect::Effect;
use super::peer::{Message, Route};
use super::state::State;
use super::time::Instant;
use super::timer::Timer;
use super::tuning::Tuning;
use super::{member, route};
use crate::hash::Map;

/// A slot of the owner's grant table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Slot(pub u16);

/// Interval between asks while no grant is held at all: requests wait or are forwarded until one comes.
const FIRST_ASK: Duration = Duration::from_millis(100);

/// A grant given out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Given {
    to: member::Id,
    until: Instant,
    /// Where routes are pushed to; none for this process.
    address: Option<SocketAddr>,
}

/// Grants given out by the owner of a cell.
#[derive(Debug, Clone, Default)]
pub struct Slots {
    given: Map<Slot, Given>,
    /// Until then only slots that members present are granted again, since a predecessor may have given out others.
    closed_until: Option<Instant>,
}

/// A grant held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Held {
    /// The slot.
    pub slot: Slot,
    /// Epoch of the owner that gave it.
    pub epoch: u64,
    /// When it ends for this process.
    pub until: Instant,
}

/// Grants held by this process.
#[derive(Debug, Clone, Default)]
pub struct Table {
    held: Map<cell::Id, Held>,
}

impl Table {
    /// Grant for a cell that is valid at `now`.
    pub fn valid(&self, cell: cell::Id, now: Instant) -> Option<Held> {
        self.held.get(&cell).copied().filter(|held| now < held.until)
    }
}

/// A request for a grant.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Ask {
    pub from: member::Id,
    pub address: SocketAddr,
    pub cell: cell::Id,
    pub held: Option<Slot>,
    pub asked_us: u64,
    pub routes: u64,
}

/// A grant as it arrives.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Offer {
    pub epoch: u64,
    pub slot: Slot,
    pub asked_us: u64,
    pub ttl_ms: u64,
}

/// Asks the owners of the zone's cells for grants.
pub(crate) fn ask(state: &mut State, out: &mut Vec<Effect>) {
    let plan = state.config.plan.clone();
    let holds_one = state.grants.held.values().any(|held| state.now < held.until);
    let interval = if holds_one { state.tuning.grant_interval } else { FIRST_ASK };
    state.timers.set(state.now + interval, Timer::GrantAsk);
    let Some((_, zone)) = plan.zone(state.me.zone) else { return };
    if !state.shutdown.is_running() {
        return;
    }
    for cell in plan.cells(zone) {
        let Some(owner) = member::ranked(state, cell.number()).first().copied() else { continue };
        let held = state.grants.valid(cell, state.now).map(|held| held.slot);
        if owner == state.me.id {
            grant_to_self(state, cell, held);
        } else if let Some(member) = state.members.get(owner) {
            let message = Message::GrantAsk {
                cell,
                held,
                asked_us: state.now.0,
                routes: stamp(state.routes.version(cell)),
            };
            out.push(Effect::Peer { to: member.address, message });
        }
    }
}

fn grant_to_self(state: &mut State, id: cell::Id, held: Option<Slot>) {
    let Some(key) = state.cells.key(id) else { return };
    let (me, now) = (state.me.id, state.now);
    if let Some((slot, epoch, ttl)) = give(state, key, me, None, held) {
        state.grants.held.insert(id, Held { slot, epoch, until: now + ttl });
    }
}

/// Answers a member that asks for a grant.
pub(crate) fn asked(state: &mut State, ask: Ask, out: &mut Vec<Effect>) {
    let Some(key) = state.cells.key(ask.cell) else { return };
    let Some((slot, epoch, ttl)) = give(state, key, ask.from, Some(ask.address), ask.held) else { return };
    let ttl_ms = ttl.as_millis() as u64;
    let message = Message::Grant { cell: ask.cell, epoch, slot, asked_us: ask.asked_us, ttl_ms };
    out.push(Effect::Peer { to: ask.address, message });
    let Some(cell) = state.cells.get_mut(key) else { return };
    let own = stamp((cell.published_epoch(), cell.replicas.version));
    if own < ask.routes && ask.routes >> 32 == cell.published_epoch() {
        // A predecessor under the same epoch published more versions than this process.
        cell.replicas.version = (ask.routes & u64::from(u32::MAX)) + 1;
    }
    if own != ask.routes {
        out.push(Effect::Peer { to: ask.address, message: routes_of(cell) });
    }
}

/// Gives or renews a slot.
fn give(
    state: &mut State,
    key: cell::Key,
    to: member::Id,
    address: Option<SocketAddr>,
    held: Option<Slot>,
) -> Option<(Slot, u64, Duration)> {
    let (now, tuning) = (state.now, state.tuning);
    let cell = state.cells.get_mut(key).filter(|cell| cell.role != Role::Recovering)?;
    let epoch = cell.published_epoch();
    let is_first_owner = cell.epoch == 1 && cell.role == Role::Owner;
    let slots = &mut cell.grants;
    slots.given.retain(|_, given| now < given.until);
    let closed_until = *slots.closed_until.get_or_insert(now + closed_for(&tuning, is_first_owner));
    let is_free = |slots: &Slots, slot: Slot| slots.given.get(&slot).is_none_or(|given| given.to == to);
    let own = slots.given.iter().find(|(_, given)| given.to == to).map(|(slot, _)| *slot);
    let presented = held.filter(|slot| slot.0 < tuning.grant_slots && is_free(slots, *slot));
    let unused = || (0..tuning.grant_slots).map(Slot).find(|slot| !slots.given.contains_key(slot));
    let slot = own.or(presented).or_else(|| (now >= closed_until).then(unused).flatten())?;
    // The owner keeps the slot a little longer than the holder, whose time counts from when it asked.
    slots.given.insert(slot, Given { to, until: now + tuning.grant + tuning.margin, address });
    Some((slot, epoch, tuning.grant))
}

/// How long slots that a predecessor may have given out stay closed.
fn closed_for(tuning: &Tuning, is_first_owner: bool) -> Duration {
    if is_first_owner { Duration::ZERO } else { tuning.worker_lease + tuning.grant + tuning.margin * 2 }
}

/// Takes over a grant.
pub(crate) fn granted(state: &mut State, cell: cell::Id, offer: Offer, out: &mut Vec<Effect>) {
    let asked = Instant(offer.asked_us);
    let until = asked + Duration::from_millis(offer.ttl_ms);
    if asked > state.now || until <= state.now {
        return;
    }
    let held = Held { slot: offer.slot, epoch: offer.epoch, until };
    let newest = state.grants.held.get(&cell).copied();
    if newest.is_none_or(|newest| (newest.epoch, newest.until) < (held.epoch, held.until)) {
        state.grants.held.insert(cell, held);
        route::wake(state, out);
    }
}

/// Publishes the routes of a cell if they changed.
pub(crate) fn publish(state: &mut State, key: cell::Key, out: &mut Vec<Effect>) {
    let routes = current_routes(state, key);
    let now = state.now;
    let Some(cell) = state.cells.get_mut(key).filter(|cell| cell.replicas.published != routes) else {
        return;
    };
    cell.replicas.version += 1;
    cell.replicas.published = routes;
    let message = routes_of(cell);
    let mut holders: Vec<SocketAddr> = cell
        .grants
        .given
        .values()
        .filter(|given| now < given.until)
        .filter_map(|given| given.address)
        .collect();
    holders.sort_unstable();
    let (id, version) = (cell.id, (cell.published_epoch(), cell.replicas.version));
    let replicas = cell.replicas.published.clone();
    out.extend(holders.into_iter().map(|to| Effect::Peer { to, message: message.clone() }));
    route::update(state, id, version, &replicas, out);
}

/// One number for a version of routes: epoch, then counter.
fn stamp((epoch, counter): route::Version) -> u64 {
    epoch << 32 | (counter & u64::from(u32::MAX))
}

fn routes_of(cell: &cell::Cell) -> Message {
    Message::Routes {
        cell: cell.id,
        epoch: cell.published_epoch(),
        version: cell.replicas.version,
        replicas: cell.replicas.published.clone(),
    }
}

/// Running replicas with the addresses of their workers.
fn current_routes(state: &State, key: cell::Key) -> Vec<Route> {
    let Some(cell) = state.cells.get(key) else { return Vec::new() };
    let mut routes: Vec<Route> = cell
        .replicas
        .by_run
        .iter()
        .filter(|(_, replica)| replica.is_running)
        .filter_map(|(run, replica)| {
            let worker = state.workers.get(replica.worker)?;
            Some(Route {
                run: *run,
                service: replica.service,
                address: worker.address,
                connections: worker.connections,
                leaving: worker.leaving || worker.absent_since.is_some() || replica.draining.is_some(),
                batch_percent: worker.batch_percent() / 10 * 10,
            })
        })
        .collect();
    routes.sort_unstable_by_key(|route| route.run);
    routes
}
