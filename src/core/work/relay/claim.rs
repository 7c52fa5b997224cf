//! Election of the relay of an availability zone, by a conditional write of the zone's key in the store.
//!
//! The key is not bound to a lease: it stays with its VM, also across restarts of the process, until another VM of the zone
//! finds that the relay does not deliver.

use std::net::SocketAddr;
use std::time::Duration;

use super::search::Search;
use crate::core::effect::Effect;
use crate::core::time::Instant;
use crate::core::trace::Subject;
use crate::core::work::State;
use crate::core::work::leadership;
use crate::core::work::state::{self, Purpose};
use crate::core::work::store::{Key, Relay, Reply, Request, Revision, Transaction, Value};
use crate::declare::zone;

/// Time without a newer configuration after which a VM takes over from the relay of its zone.
const PATIENCE: Duration = Duration::from_millis(900);

/// Shortest time between two claims of a VM.
const CLAIM_INTERVAL: Duration = Duration::from_millis(200);

/// Additional delay of a claim by a VM with little CPU capacity, so that VMs with more can claim first.
const WEAK_CLAIM_DELAY: Duration = Duration::from_millis(300);

/// Multiple of its own lag by which a VM claims later, so that one that is slow does not become the relay.
const LAG_FACTOR: u32 = 4;

/// Largest random delay of a claim, which keeps the VMs of a zone from claiming at the same time.
const CLAIM_JITTER_MAX: Duration = Duration::from_millis(100);

/// Difference of the round trips to the store from which a relay takes another one to be nearer to the store. It lies between
/// a round trip within a region and one between regions.
const REGION_ROUND_TRIP: Duration = Duration::from_millis(10);

/// Relay of an availability zone according to the store.
#[derive(Debug, Clone)]
pub(super) struct Holder {
    zone: zone::Id,
    relay: Relay,
    /// Revision of the key.
    revision: Revision,
    /// When this process learned of it.
    seen_at: Instant,
    /// Whether the latest request to it failed.
    has_failed: bool,
}

/// Records the relay of a zone, as the store names it.
pub fn record_key(state: &mut State, key: Key, value: &Value, revision: Revision) {
    let (Key::Relay(zone), Value::Relay(relay)) = (key, value) else { return };
    let holder = Holder { zone, relay: relay.clone(), revision, seen_at: state.now, has_failed: false };
    let holders = &mut state.relay.holders;
    match holders.binary_search_by_key(&zone, |holder| holder.zone) {
        Ok(found) if holders[found].revision >= revision => {}
        Ok(found) => holders[found] = holder,
        Err(position) => holders.insert(position, holder),
    }
}

/// Records that the key of a zone was removed.
pub fn remove_key(state: &mut State, key: Key) {
    if let Key::Relay(zone) = key {
        state.relay.holders.retain(|holder| holder.zone != zone);
    }
}

/// Relay of the own zone; `None` if the store names none.
fn own_holder(state: &State) -> Option<&Holder> {
    state.relay.holders.iter().find(|holder| holder.zone == state.identity.zone)
}

/// Value of the zone's key while this VM is the relay.
fn own_relay(state: &State) -> Relay {
    Relay {
        vm: state.identity.vm.clone(),
        address: state.identity.address,
        cpu_millicores: state.identity.cpu_millicores,
        store_round_trip: state.leadership.store_round_trip,
    }
}

/// Whether this VM is the relay of its zone.
pub(super) fn is_relay(state: &State) -> bool {
    own_holder(state).is_some_and(|holder| holder.relay.address == state.identity.address)
}

/// Relays of other VMs, that of the own zone first and then those of the zones after it, so that the relays of other zones
/// share the requests.
fn other_relays(state: &State) -> impl Iterator<Item = &Holder> {
    let holders = &state.relay.holders;
    let own = holders.partition_point(|holder| holder.zone < state.identity.zone);
    let in_order = holders[own..].iter().chain(&holders[..own]);
    in_order.filter(|holder| holder.relay.address != state.identity.address)
}

/// Addresses of the relays in the order in which they are asked. Relays whose latest request failed come last.
pub(super) fn relays(state: &State) -> Vec<SocketAddr> {
    let mut others: Vec<&Holder> = other_relays(state).collect();
    others.sort_by_key(|holder| holder.has_failed);
    others.iter().map(|holder| holder.relay.address).collect()
}

/// Relay that is nearer to the store than this VM, the relay of its zone; `None` if there is none that answers. Its changes
/// take less of the link between two regions than the whole configuration.
pub(super) fn nearer_relay(state: &State) -> Option<SocketAddr> {
    let own = own_holder(state).filter(|_| is_relay(state))?.relay.store_round_trip;
    let is_nearer = |holder: &&Holder| holder.relay.store_round_trip + REGION_ROUND_TRIP <= own;
    let nearer = other_relays(state).filter(|holder| !holder.has_failed).find(is_nearer)?;
    Some(nearer.relay.address)
}

/// Records whether the latest request to the relay at `address` failed.
pub(super) fn mark_failed(state: &mut State, address: SocketAddr, has_failed: bool) {
    for holder in state.relay.holders.iter_mut().filter(|holder| holder.relay.address == address) {
        holder.has_failed = has_failed;
    }
}

/// Delay of the claims of a search, which orders the VMs of a zone.
pub(super) fn draw_delay(state: &mut State) -> Duration {
    let weak_delay = if leadership::is_weak(state) { WEAK_CLAIM_DELAY } else { Duration::ZERO };
    weak_delay + state.jitter(CLAIM_JITTER_MAX)
}

/// When this VM claims to be the relay, if the search lasts until then: at once if no relay serves the zone, or one with much
/// less CPU capacity does, otherwise once the relay has not delivered for some time.
pub(super) fn due(state: &State, search: &Search) -> Instant {
    let serving = own_holder(state).filter(|holder| !holder.has_failed);
    let is_weaker = |holder: &Holder| {
        leadership::has_at_most_half(holder.relay.cpu_millicores, state.identity.cpu_millicores)
    };
    let earliest = state.relay.claimed_at + CLAIM_INTERVAL;
    // A weak relay may deliver before the delay of a claim is over, so it would stay.
    if serving.is_some_and(is_weaker) {
        return search.since.max(earliest);
    }
    let due = match serving {
        Some(holder) => search.since.max(holder.seen_at) + PATIENCE,
        None => search.since,
    };
    (due + search.claim_delay + state.lag.longest() * LAG_FACTOR).max(earliest)
}

/// Claims to be the relay of this zone, unless a claim is in flight.
pub(super) fn send(state: &mut State, reason: &str, out: &mut Vec<Effect>) {
    if state.is_stopping || state.has_call_in_flight(&Purpose::ClaimRelay) {
        return;
    }
    state.relay.claimed_at = state.now;
    let key = Key::Relay(state.identity.zone);
    let relay = own_relay(state);
    let held = own_holder(state).map_or(0, |holder| holder.revision);
    let before = own_holder(state).map_or("none", |holder| &holder.relay.vm);
    state::record(out, Subject::Process, "claim-relay", format!("{reason}, relay before: {before}"));
    let transaction = Transaction {
        expect: vec![(key, held)],
        put: vec![(key, Value::Relay(relay), None)],
        delete: Vec::new(),
    };
    state.call_store(Purpose::ClaimRelay, Request::Commit(transaction), out);
}

/// Handles the outcome of a claim. If the reply is lost, the watch of the leadership's keys reports the new relay.
pub fn handle_claim(state: &mut State, reply: Reply, out: &mut Vec<Effect>) {
    let key = Key::Relay(state.identity.zone);
    match reply {
        Reply::Committed(revision) => {
            let relay = own_relay(state);
            state::record(out, Subject::Process, "relay", format!("revision {revision}"));
            record_key(state, key, &Value::Relay(relay), revision);
        }
        Reply::Conflict(items) => {
            if !items.iter().any(|(found, ..)| *found == key) {
                remove_key(state, key);
            }
            for (found, value, revision) in items {
                record_key(state, found, &value, revision);
            }
        }
        _ => {}
    }
    super::advance(state, out);
}
