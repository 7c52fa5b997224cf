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
const UNGRANTED_REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// A grant given out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Issued {
    holder: member::Id,
    expires: Instant,
    /// Where routes are pushed to; none for this process.
    address: Option<SocketAddr>,
}

/// Grants given out by the owner of a cell.
#[derive(Debug, Clone, Default)]
pub struct Slots {
    issued: Map<Slot, Issued>,
    /// Until then only slots that members present are granted again, since a predecessor may have given out others.
    reserved_until: Option<Instant>,
}

/// A grant held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Held {
    /// The slot.
    pub slot: Slot,
    /// Epoch of the owner that gave it.
    pub epoch: u64,
    /// When it ends for this process.
    pub expires: Instant,
}

/// Grants held by this process.
#[derive(Debug, Clone, Default)]
pub struct Table {
    by_cell: Map<cell::Id, Held>,
}

impl Table {
    /// Grant for a cell that is valid at `now`.
    pub fn valid(&self, cell: cell::Id, now: Instant) -> Option<Held> {
        self.by_cell.get(&cell).copied().filter(|held| now < held.expires)
    }
}

/// A request for a grant.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Request {
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
pub(crate) fn request_all(state: &mut State, out: &mut Vec<Effect>) {
    let plan = state.config.plan.clone();
    let has_grant = state.grants.by_cell.values().any(|held| state.now < held.expires);
    let interval = if has_grant { state.tuning.grant_interval } else { UNGRANTED_REQUEST_INTERVAL };
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
                routes: pack_version(state.routes.version(cell)),
            };
            out.push(Effect::Peer { to: member.address, message });
        }
    }
}

fn grant_to_self(state: &mut State, id: cell::Id, held: Option<Slot>) {
    let Some(key) = state.cells.key(id) else { return };
    let (me, now) = (state.me.id, state.now);
    if let Some((slot, epoch, ttl)) = issue(state, key, me, None, held) {
        state.grants.by_cell.insert(id, Held { slot, epoch, expires: now + ttl });
    }
}

/// Answers a member that asks for a grant.
pub(crate) fn handle_request(state: &mut State, request: Request, out: &mut Vec<Effect>) {
    let Some(key) = state.cells.key(request.cell) else { return };
    let Some((slot, epoch, ttl)) = issue(state, key, request.from, Some(request.address), request.held)
    else {
        return;
    };
    let ttl_ms = ttl.as_millis() as u64;
    let message = Message::Grant { cell: request.cell, epoch, slot, asked_us: request.asked_us, ttl_ms };
    out.push(Effect::Peer { to: request.address, message });
    let Some(cell) = state.cells.get_mut(key) else { return };
    let own_version = pack_version((cell.published_epoch(), cell.replicas.routes_version));
    if own_version < request.routes && request.routes >> 32 == cell.published_epoch() {
        // A predecessor under the same epoch published more versions than this process.
        cell.replicas.routes_version = (request.routes & u64::from(u32::MAX)) + 1;
    }
    if own_version != request.routes {
        out.push(Effect::Peer { to: request.address, message: routes_message(cell) });
    }
}

/// Gives or renews a slot.
fn issue(
    state: &mut State,
    key: cell::Key,
    holder: member::Id,
    address: Option<SocketAddr>,
    held: Option<Slot>,
) -> Option<(Slot, u64, Duration)> {
    let (now, tuning) = (state.now, state.tuning);
    let cell = state.cells.get_mut(key).filter(|cell| cell.role != Role::Recovering)?;
    let epoch = cell.published_epoch();
    let is_first_owner = cell.epoch == 1 && cell.role == Role::Owner;
    let slots = &mut cell.grants;
    slots.issued.retain(|_, issued| now < issued.expires);
    let reserved_until = *slots.reserved_until.get_or_insert(now + reservation_time(&tuning, is_first_owner));
    let is_free =
        |slots: &Slots, slot: Slot| slots.issued.get(&slot).is_none_or(|issued| issued.holder == holder);
    let own = slots.issued.iter().find(|(_, issued)| issued.holder == holder).map(|(slot, _)| *slot);
    let presented = held.filter(|slot| slot.0 < tuning.grant_slots && is_free(slots, *slot));
    let unused = || (0..tuning.grant_slots).map(Slot).find(|slot| !slots.issued.contains_key(slot));
    let slot = own.or(presented).or_else(|| (now >= reserved_until).then(unused).flatten())?;
    // The owner keeps the slot a little longer than the holder, whose time counts from when it asked.
    slots.issued.insert(slot, Issued { holder, expires: now + tuning.grant + tuning.margin, address });
    Some((slot, epoch, tuning.grant))
}

/// How long slots that a predecessor may have given out stay closed.
fn reservation_time(tuning: &Tuning, is_first_owner: bool) -> Duration {
    if is_first_owner { Duration::ZERO } else { tuning.worker_lease + tuning.grant + tuning.margin * 2 }
}

/// Takes over a grant.
pub(crate) fn handle_grant(state: &mut State, cell: cell::Id, offer: Offer, out: &mut Vec<Effect>) {
    let asked = Instant(offer.asked_us);
    let expires = asked + Duration::from_millis(offer.ttl_ms);
    if asked > state.now || expires <= state.now {
        return;
    }
    let held = Held { slot: offer.slot, epoch: offer.epoch, expires };
    let current = state.grants.by_cell.get(&cell).copied();
    if current.is_none_or(|current| (current.epoch, current.expires) < (held.epoch, held.expires)) {
        state.grants.by_cell.insert(cell, held);
        route::dispatch_queued(state, out);
    }
}

/// Publishes the routes of a cell if they changed.
pub(crate) fn publish(state: &mut State, key: cell::Key, out: &mut Vec<Effect>) {
    let routes = current_routes(state, key);
    let now = state.now;
    let Some(cell) = state.cells.get_mut(key).filter(|cell| cell.replicas.published_routes != routes) else {
        return;
    };
    cell.replicas.routes_version += 1;
    cell.replicas.published_routes = routes;
    let message = routes_message(cell);
    let mut holders: Vec<SocketAddr> = cell
        .grants
        .issued
        .values()
        .filter(|issued| now < issued.expires)
        .filter_map(|issued| issued.address)
        .collect();
    holders.sort_unstable();
    let (id, version) = (cell.id, (cell.published_epoch(), cell.replicas.routes_version));
    let replicas = cell.replicas.published_routes.clone();
    out.extend(holders.into_iter().map(|to| Effect::Peer { to, message: message.clone() }));
    route::update_cell(state, id, version, &replicas, out);
}

/// One number for a version of routes: epoch, then counter.
fn pack_version((epoch, counter): route::Version) -> u64 {
    epoch << 32 | (counter & u64::from(u32::MAX))
}

fn routes_message(cell: &cell::Cell) -> Message {
    Message::Routes {
        cell: cell.id,
        epoch: cell.published_epoch(),
        version: cell.replicas.routes_version,
        replicas: cell.replicas.published_routes.clone(),
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
                leaving: worker.leaving || worker.absent.is_some() || replica.draining_since.is_some(),
                batch_percent: worker.batch_percent() / 10 * 10,
            })
        })
        .collect();
    routes.sort_unstable_by_key(|route| route.run);
    routes
}
