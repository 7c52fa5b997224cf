//! Connection grants, which divide the connections of a cell's workers among the members.
//!
//! The owner of a cell issues a fixed number of slots, each for a limited time. The holder of one of n slots may have
//! 1/n of the connections of each worker open. A slot is issued to another member only after its last grant expired, so
//! the shares never add up to more connections than a worker accepts. A holder can send requests until its grant
//! expires, even while the owner is unavailable.

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

/// Interval between requests for grants while this process holds none and has to queue or forward its requests.
const UNGRANTED_REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// A grant issued to a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Issued {
    holder: member::Id,
    expires: Instant,
    /// Address that changed routes are sent to; `None` for this process.
    address: Option<SocketAddr>,
}

/// Grants issued by the owner of a cell.
#[derive(Debug, Clone, Default)]
pub struct Slots {
    issued: Map<Slot, Issued>,
    /// Until then a free slot is issued only to a member that presents it, since a predecessor may have issued the
    /// others. `None` before the first request.
    reserved_until: Option<Instant>,
}

/// A grant held by this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Held {
    /// The slot.
    pub slot: Slot,
    /// Epoch of the owner that issued it.
    pub epoch: u64,
    /// Expiry in this process's clock, counted from the time of the request.
    pub expires: Instant,
}

/// Grants held by this process.
#[derive(Debug, Clone, Default)]
pub struct Table {
    by_cell: Map<cell::Id, Held>,
}

impl Table {
    /// Grant for a cell that has not expired at `now`.
    pub fn valid(&self, cell: cell::Id, now: Instant) -> Option<Held> {
        self.by_cell.get(&cell).copied().filter(|held| now < held.expires)
    }
}

/// A member's request for a grant.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Request {
    pub from: member::Id,
    pub address: SocketAddr,
    pub cell: cell::Id,
    pub held: Option<Slot>,
    pub asked_us: u64,
    pub routes: u64,
}

/// A grant as received from the owner of a cell.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Offer {
    pub epoch: u64,
    pub slot: Slot,
    pub asked_us: u64,
    pub ttl_ms: u64,
}

/// Requests or renews a grant from the owner of each cell of the zone.
pub(crate) fn request_all(state: &mut State, out: &mut Vec<Effect>) {
    let plan = state.config.plan.clone();
    let has_grant = state.grants.by_cell.values().any(|held| state.now < held.expires);
    let interval = if has_grant { state.tuning.grant_interval } else { UNGRANTED_REQUEST_INTERVAL };
    state.timers.set(state.now + interval, Timer::RenewGrants);
    let Some((_, zone)) = plan.zone(state.me.zone) else { return };
    if !state.shutdown.is_running() {
        return;
    }
    for cell in plan.cells(zone) {
        let Some(owner) = member::rank_candidates(state, cell.number()).first().copied() else { continue };
        let held = state.grants.valid(cell, state.now).map(|held| held.slot);
        if owner == state.me.id {
            grant_to_self(state, cell, held);
        } else if let Some(member) = state.members.get(owner) {
            let message = Message::GrantAsk {
                cell,
                held,
                asked_us: state.now.0,
                routes_version: pack_version(state.routes.version(cell)),
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

/// Issues a grant to a member, and sends it the routes if it has another version of them.
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
        // The member has a higher version, which a predecessor published under the same epoch.
        cell.replicas.routes_version = (request.routes & u64::from(u32::MAX)) + 1;
    }
    if own_version != request.routes {
        out.push(Effect::Peer { to: request.address, message: routes_message(cell) });
    }
}

/// Issues or renews a slot, and returns it with the epoch and the length of the grant.
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
    let is_first_owner = cell.epoch == 1 && cell.role == Role::Owner && !cell.is_handed_over;
    let slots = &mut cell.grants;
    slots.issued.retain(|_, issued| now < issued.expires);
    let reserved_until = *slots.reserved_until.get_or_insert(now + reservation_time(&tuning, is_first_owner));
    let is_free =
        |slots: &Slots, slot: Slot| slots.issued.get(&slot).is_none_or(|issued| issued.holder == holder);
    let own = slots.issued.iter().find(|(_, issued)| issued.holder == holder).map(|(slot, _)| *slot);
    let presented = held.filter(|slot| slot.0 < tuning.grant_slots && is_free(slots, *slot));
    let unused = || (0..tuning.grant_slots).map(Slot).find(|slot| !slots.issued.contains_key(slot));
    let slot = own.or(presented).or_else(|| (now >= reserved_until).then(unused).flatten())?;
    // The slot stays assigned for `margin` longer than the holder may use it, whose time counts from its request.
    slots
        .issued
        .insert(slot, Issued { holder, expires: now + tuning.grant_duration + tuning.margin, address });
    Some((slot, epoch, tuning.grant_duration))
}

/// Time for which slots that a predecessor may have issued are reserved; zero without a predecessor.
fn reservation_time(tuning: &Tuning, is_first_owner: bool) -> Duration {
    if is_first_owner {
        Duration::ZERO
    } else {
        tuning.worker_lease + tuning.grant_duration + tuning.margin * 2
    }
}

/// Stores a received grant, unless it has expired or is not newer than the one held.
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

/// Publishes the routes of a cell to the holders of its grants if they changed.
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

/// Packs a version of routes into one number: the epoch in the upper 32 bits, the counter in the lower.
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

/// Routes to the running replicas of a cell, ordered by run.
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
                leaving: worker.leaving || worker.absent_since.is_some() || replica.draining_since.is_some(),
                batch_percent: worker.batch_percent() / 10 * 10,
            })
        })
        .collect();
    routes.sort_unstable_by_key(|route| route.run);
    routes
}
