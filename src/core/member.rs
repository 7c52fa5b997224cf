//! Membership and failure detection of the entry VMs.
//!
//! The platform's VM list supplies the addresses of the entry VMs, and heartbeats show which of them are alive. A
//! process generates a new identity at each start, so a restarted process counts as another member. Each heartbeat
//! round goes to a fixed number of members, so the traffic per member does not grow with the zone. Heartbeats carry the
//! newest counters of other members, so liveness also reaches members that get no heartbeat directly.

use std::net::SocketAddr;

use std::time::Duration;

use slotmap::{Key as _, KeyData, SlotMap, new_key_type};

use super::effect::Effect;
use super::listing::{Kind, Vm};
use super::peer::Message;
use super::state::{State, record};
use super::time::Instant;
use super::timer::Timer;
use super::trace::Subject;
use crate::declare::zone;
use crate::hash::{self, Map};

new_key_type! {
    /// Key of a member, valid in this process only.
    pub struct Key;
}

/// Identity of one run of an entry VM's process; each restart has another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Id(pub u64);

impl Id {
    /// Identity of a process that starts at `unix_ms`; a later start at the same address has a higher one.
    pub fn generate(unix_ms: u64, entropy: u64) -> Self {
        const RANDOM_BITS: u32 = 20;
        Self(unix_ms << RANDOM_BITS | entropy >> (u64::BITS - RANDOM_BITS))
    }
}

/// Health of a member as this process sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// Its heartbeat counter rises. Members of other zones are not checked and stay live.
    Live,
    /// Its counter has not risen in time or is not known yet; other members take over its cells.
    Suspect,
    /// It announced that it leaves, or the VM list marks it as leaving.
    Leaving,
}

/// An entry VM.
#[derive(Debug, Clone)]
pub struct Member {
    /// Identity of its current run; 0 until its first message.
    pub id: Id,
    /// Name in the VM list.
    pub name: String,
    /// Availability zone.
    pub zone: zone::Id,
    /// Address that peers send messages to.
    pub address: SocketAddr,
    /// Highest heartbeat counter received.
    pub counter: u64,
    /// When its counter last rose, directly or through another member's heartbeat.
    pub last_heard: Instant,
    /// Start of its current period as [`Health::Live`].
    pub live_since: Instant,
    /// Health as this process sees it.
    pub health: Health,
    /// Whether the latest VM list contains it.
    pub is_listed: bool,
    /// Highest configuration version that it reported as in force; 0 until its first heartbeat.
    pub config_version: u64,
}

/// Liveness of a member as heartbeats relay it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Liveness {
    /// The member.
    pub id: Id,
    /// Its heartbeat counter, which rises by one per round.
    pub counter: u64,
}

/// This process as a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// Identity of this run.
    pub id: Id,
    /// Name in the VM list.
    pub name: String,
    /// Availability zone.
    pub zone: zone::Id,
    /// Address that peers send messages to, as in the VM list.
    pub address: SocketAddr,
    /// Heartbeat counter, which rises by one per round.
    pub counter: u64,
}

/// All members known to this process, without itself.
#[derive(Debug, Clone, Default)]
pub struct Table {
    arena: SlotMap<Key, Member>,
    by_id: Map<Id, Key>,
}

impl Table {
    /// Iterates over all other members.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.arena.values()
    }

    /// The member with identity `id`.
    pub fn get(&self, id: Id) -> Option<&Member> {
        self.arena.get(*self.by_id.get(&id)?)
    }

    fn get_mut(&mut self, id: Id) -> Option<&mut Member> {
        self.arena.get_mut(*self.by_id.get(&id)?)
    }

    fn by_address_mut(&mut self, address: SocketAddr) -> Option<(Key, &mut Member)> {
        self.arena.iter_mut().find(|(_, member)| member.address == address)
    }

    /// Moves `last_heard` of every member forward by `late`.
    pub(crate) fn shift_last_heard(&mut self, late: Duration) {
        for member in self.arena.values_mut() {
            member.last_heard = member.last_heard + late;
        }
    }
}

/// Live members in the zone of this process, without itself.
pub fn neighbours(state: &State) -> impl Iterator<Item = &Member> {
    let zone = state.me.zone;
    state.members.iter().filter(move |member| member.zone == zone && member.health == Health::Live)
}

/// Orders this process and its live neighbours by rendezvous hash of `subject`; the first is responsible for it.
///
/// A process that shuts down leaves itself out.
pub fn rank_candidates(state: &State, subject: u64) -> Vec<Id> {
    let me = state.shutdown.is_running().then_some(state.me.id.0);
    let candidates = neighbours(state).map(|member| member.id.0).chain(me);
    hash::rendezvous(subject, candidates).into_iter().map(Id).collect()
}

/// Updates the members from a VM list reading.
pub(crate) fn handle_listing(state: &mut State, vms: &[Vm], out: &mut Vec<Effect>) {
    let now = state.now;
    for member in state.members.arena.values_mut() {
        member.is_listed = false;
    }
    let own = state.me.address;
    for vm in vms.iter().filter(|vm| vm.kind == Kind::Entry && vm.address != own) {
        match state.members.by_address_mut(vm.address) {
            Some((_, member)) => {
                member.is_listed = true;
                if vm.leaving {
                    member.health = Health::Leaving;
                }
            }
            None => {
                record(out, Subject::Process, "add-member", format!("{} is listed", vm.name));
                state.members.arena.insert(new_member(vm, now));
            }
        }
    }
}

fn new_member(vm: &Vm, now: Instant) -> Member {
    Member {
        id: Id(0),
        name: vm.name.clone(),
        zone: vm.zone,
        address: vm.address,
        counter: 0,
        last_heard: now,
        live_since: now,
        // A listed VM owns no cells before its first heartbeat, because its process may not run.
        health: if vm.leaving { Health::Leaving } else { Health::Suspect },
        is_listed: true,
        config_version: 0,
    }
}

/// Updates the identity of the member at `address` from the sender of a message.
///
/// A message of an earlier run can arrive late, so a lower identity than the known one is ignored.
pub(crate) fn update_identity(state: &mut State, from: Id, address: SocketAddr, out: &mut Vec<Effect>) {
    let table = &mut state.members;
    let Some((key, member)) = table.by_address_mut(address) else { return };
    if from <= member.id {
        return;
    }
    let earlier = member.id;
    let reason = format!("{} runs at {address}, after {:x}", member.name, earlier.0);
    *member = Member { id: from, counter: 0, health: Health::Suspect, config_version: 0, ..member.clone() };
    table.by_id.remove(&earlier);
    table.by_id.insert(from, key);
    record(out, Subject::Member(from), "meet-member", reason);
}

/// Starts a heartbeat round: reviews the health of members, then sends heartbeats.
pub(crate) fn send_heartbeats(state: &mut State, out: &mut Vec<Effect>) {
    state.timers.set(state.now + state.tuning.heartbeat_interval, Timer::Heartbeat);
    review_health(state, out);
    state.me.counter += 1;
    let round = hash::numbers([state.me.id.0, state.me.counter]);
    let message = Message::Heartbeat {
        counter: state.me.counter,
        version: state.config.index.version,
        others: newest_counters(state),
    };
    for address in heartbeat_targets(state, round) {
        out.push(Effect::Peer { to: address, message: message.clone() });
    }
}

/// Addresses for the heartbeat of this round: `heartbeat_fanout` members of the own zone and one of another zone.
fn heartbeat_targets(state: &State, round: u64) -> Vec<SocketAddr> {
    let pick = |own_zone: bool, count: usize| {
        let candidates = state
            .members
            .arena
            .iter()
            .filter(|(_, member)| (member.zone == state.me.zone) == own_zone && member.is_listed)
            .map(|(key, _)| key.data().as_ffi());
        hash::rendezvous(round, candidates).into_iter().take(count)
    };
    pick(true, state.tuning.heartbeat_fanout)
        .chain(pick(false, 1))
        .filter_map(|key| Some(state.members.arena.get(KeyData::from_ffi(key).into())?.address))
        .collect()
}

/// Counters of the most recently heard neighbours, for members that get no heartbeat from them directly.
fn newest_counters(state: &State) -> Vec<Liveness> {
    const COUNTERS_MAX: usize = 8;
    let mut newest: Vec<&Member> = neighbours(state).collect();
    newest.sort_unstable_by_key(|member| (std::cmp::Reverse(member.last_heard), member.id));
    newest
        .into_iter()
        .take(COUNTERS_MAX)
        .map(|member| Liveness { id: member.id, counter: member.counter })
        .collect()
}

/// Suspects members whose counter has not risen in time and removes unlisted ones after a longer silence.
fn review_health(state: &mut State, out: &mut Vec<Effect>) {
    let (now, tuning, zone) = (state.now, state.tuning, state.me.zone);
    // Members of other zones send heartbeats here rarely and own no cells of this zone, so they are not suspected.
    for member in state.members.arena.values_mut().filter(|member| member.zone == zone) {
        let silence = now.since(member.last_heard);
        if member.health == Health::Live && silence > tuning.suspect_after {
            member.health = Health::Suspect;
            let reason = format!("{} was silent for {} ms", member.name, silence.as_millis());
            record(out, Subject::Member(member.id), "suspect", reason);
        }
    }
    let table = &mut state.members;
    table.arena.retain(|_, member| member.is_listed || now.since(member.last_heard) <= tuning.remove_after);
    table.by_id.retain(|_, key| table.arena.contains_key(*key));
}

/// Records the sender's counter and configuration version, and the counters that its heartbeat relays.
pub(crate) fn handle_heartbeat(state: &mut State, from: Id, counter: u64, version: u64, others: &[Liveness]) {
    let now = state.now;
    raise_counter(state, from, counter, now);
    if let Some(member) = state.members.get_mut(from) {
        member.config_version = member.config_version.max(version);
    }
    for other in others {
        raise_counter(state, other.id, other.counter, now);
    }
}

fn raise_counter(state: &mut State, id: Id, counter: u64, now: Instant) {
    let Some(member) = state.members.get_mut(id) else { return };
    if counter <= member.counter || member.health == Health::Leaving {
        return;
    }
    member.counter = counter;
    member.last_heard = now;
    if member.health == Health::Suspect {
        member.health = Health::Live;
        member.live_since = now;
    }
}

/// Marks a member as leaving after its `Leave` message.
pub(crate) fn mark_leaving(state: &mut State, from: Id, out: &mut Vec<Effect>) {
    let Some(member) = state.members.get_mut(from) else { return };
    member.health = Health::Leaving;
    record(out, Subject::Member(from), "leave", "the member said that it is leaving");
}
