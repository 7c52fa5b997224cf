//! Cells: the workers and tasks that one entry VM owns at a time.
//!
//! Every member computes the owner of each cell of its zone from the members it sees as live. Two members can disagree
//! for a while; the log of the cell and the leases of its workers then decide who can act.

use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

use super::effect::Effect;
use super::journal::{self, Record};
use super::peer::Message;
use super::state::{State, record};
use super::time::Instant;
use super::timer::Timer;
use super::trace::Subject;
use super::{grant, member, place, recovery, replica, task, worker};
use crate::declare::{job, zone};
use crate::hash::Map;

new_key_type! {
    /// Key of a cell in this process.
    pub struct Key;
}

/// Identity of a cell over all processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Id {
    /// Its zone.
    pub zone: zone::Id,
    /// Its number in the zone.
    pub index: u16,
}

impl Id {
    /// Number for hashing.
    pub fn number(self) -> u64 {
        (u64::from(self.zone.0) << 16) | u64::from(self.index)
    }
}

/// What this process does for a cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Reads the log, then appends its takeover.
    Recovering,
    /// Recovering, and the store cannot be reached: keeps services and running tasks alive.
    Caretaker,
    /// Owns the cell.
    Owner,
}

/// A job of which this cell is a home.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Adopted {
    /// Tasks with their home here; 0 once all of them finished.
    pub count: u32,
    /// Tasks that did not end yet.
    pub open: u32,
    /// Configuration version that declared it.
    pub version: u64,
    /// Whether the job was cancelled.
    pub cancelled: bool,
    /// Whether its tasks are in the arena; they are not while this process has an older configuration.
    pub expanded: bool,
}

/// A cell that this process acts for.
#[derive(Debug, Clone)]
pub struct Cell {
    /// Identity.
    pub id: Id,
    /// What this process does for it.
    pub role: Role,
    /// Epoch of the last takeover in the log.
    pub epoch: u64,
    /// Highest epoch that a worker told a caretaker.
    pub worker_epoch: u64,
    /// When this process began to act for it.
    pub acting_since: Instant,
    /// The log.
    pub log: journal::Log,
    /// Tasks by identity.
    pub tasks: Map<task::Id, task::Key>,
    /// Adopted jobs.
    pub jobs: Map<job::Id, Adopted>,
    /// Tasks that wait for a worker.
    pub queue: task::Queue,
    /// Running replicas.
    pub replicas: replica::Set,
    /// Replicas to run of each service, in the order of the plan's services, and the configuration version they are of.
    pub desired_replicas: (u64, Vec<u32>),
    /// Connection grants given out.
    pub grants: grant::Slots,
    /// Whether a placement pass is scheduled.
    pub place_scheduled: bool,
    /// When the next pass without an event is due.
    pub next_pass: Option<Instant>,
    /// Whether the store was searched for a snapshot.
    pub is_snapshot_read: bool,
}

impl Cell {
    /// Epoch under which routes and grants are published.
    pub fn published_epoch(&self) -> u64 {
        match self.role {
            Role::Owner => self.epoch,
            Role::Recovering | Role::Caretaker => self.epoch.max(self.worker_epoch),
        }
    }

    /// Whether nothing of the log was read or appended.
    pub fn is_log_unread(&self) -> bool {
        self.role != Role::Owner && self.log.next == 0 && self.log.is_idle()
    }
}

/// Cells that this process acts for.
#[derive(Debug, Clone, Default)]
pub struct Table {
    arena: SlotMap<Key, Cell>,
    by_id: Map<Id, Key>,
}

impl Table {
    /// Key of the cell with identity `id`.
    pub fn key(&self, id: Id) -> Option<Key> {
        self.by_id.get(&id).copied()
    }

    /// Cell behind `key`.
    pub fn get(&self, key: Key) -> Option<&Cell> {
        self.arena.get(key)
    }

    /// Cell behind `key`.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut Cell> {
        self.arena.get_mut(key)
    }

    /// All cells.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &Cell)> {
        self.arena.iter()
    }

    /// All keys.
    pub fn keys(&self) -> Vec<Key> {
        self.arena.keys().collect()
    }
}

/// Interval between reviews of the ownership.
const REVIEW_INTERVAL: Duration = Duration::from_millis(250);

/// A cell moves to a preferred owner only after that member was live for this time, so that a member that comes and
/// goes does not make cells move back and forth.
const MIN_SUCCESSOR_LIVE_TIME: Duration = Duration::from_secs(3);

/// Takes up cells that this process is responsible for and hands over others.
pub(crate) fn review_ownership(state: &mut State, out: &mut Vec<Effect>) {
    state.timers.set(state.now + REVIEW_INTERVAL, Timer::Ownership);
    let plan = state.config.plan.clone();
    let Some((_, zone)) = plan.zone(state.me.zone) else { return };
    // A process that has just started has not heard of the others yet and would take every cell.
    if state.now.since(state.started) < state.tuning.suspect {
        return;
    }
    for id in plan.cells(zone) {
        let preferred = member::ranked(state, id.number()).first().copied();
        match (state.cells.key(id), preferred) {
            (None, Some(preferred)) if preferred == state.me.id => recovery::begin(state, id, out),
            (Some(key), Some(preferred)) if preferred != state.me.id => {
                hand_over_if_stable(state, key, preferred, out)
            }
            _ => {}
        }
    }
}

/// Hands a cell to a member that ranks first, once that member has been live for a while.
fn hand_over_if_stable(state: &mut State, key: Key, successor: member::Id, out: &mut Vec<Effect>) {
    let Some(member) = state.members.get(successor) else { return };
    let is_stable =
        state.now.since(member.live_since) > MIN_SUCCESSOR_LIVE_TIME || !state.shutdown.is_running();
    if is_stable {
        hand_over(state, key, successor, out);
    }
}

/// Ends acting for a cell and tells the successor.
pub(crate) fn hand_over(state: &mut State, key: Key, successor: member::Id, out: &mut Vec<Effect>) {
    let Some(cell) = state.cells.get(key) else { return };
    // An append in flight may still take effect, so the successor has to read the log itself.
    let is_idle = cell.role == Role::Owner && cell.log.is_idle();
    let (id, epoch, next) = (cell.id, cell.epoch, cell.log.next);
    worker::release_leases(state, id, out);
    if let (true, Some(member)) = (is_idle, state.members.get(successor)) {
        let snapshot = journal::build_snapshot(state, key);
        let message = Message::Handover { cell: id, epoch, next, snapshot };
        out.push(Effect::Peer { to: member.address, message });
    }
    record(out, Subject::Cell(id), "hand-over", format!("to member {:x}, epoch {epoch}", successor.0));
    remove(state, key);
}

/// Ends acting for a cell after another member took it over.
pub(crate) fn step_down(state: &mut State, key: Key, reason: &str, out: &mut Vec<Effect>) {
    let Some(cell) = state.cells.get(key) else { return };
    record(out, Subject::Cell(cell.id), "deposed", reason);
    remove(state, key);
}

fn remove(state: &mut State, key: Key) {
    let Some(cell) = state.cells.arena.remove(key) else { return };
    state.cells.by_id.remove(&cell.id);
    for task in cell.tasks.into_values() {
        state.tasks.remove(task);
    }
    worker::cell_lost(state, cell.id);
}

/// Adds a cell that this process begins to act for.
pub(crate) fn insert(state: &mut State, id: Id) -> Key {
    // A successor under the same epoch must not reuse a version number for other routes.
    let version = state.draw() & 0x00ff_ffff;
    let key = state.cells.arena.insert(Cell {
        id,
        role: Role::Recovering,
        epoch: 0,
        worker_epoch: 0,
        acting_since: state.now,
        log: journal::Log::default(),
        tasks: Map::default(),
        jobs: Map::default(),
        queue: task::Queue::default(),
        replicas: replica::Set { version, ..replica::Set::default() },
        desired_replicas: (0, Vec::new()),
        grants: grant::Slots::default(),
        place_scheduled: false,
        next_pass: None,
        is_snapshot_read: false,
    });
    state.cells.by_id.insert(id, key);
    worker::cell_gained(state, id);
    key
}

/// Adopts new jobs and cancels those that are no longer declared.
pub(crate) fn plan_changed(state: &mut State) {
    for key in state.cells.keys() {
        task::expand_jobs(state, key);
        reconcile_jobs(state, key);
        place::schedule(state, key);
    }
}

/// Compares the jobs of the plan with those of the log of one cell.
pub(crate) fn reconcile_jobs(state: &mut State, key: Key) {
    let plan = state.config.plan.clone();
    let Some(cell) = state.cells.get(key).filter(|cell| cell.role == Role::Owner) else { return };
    let version = state.config.index.version;
    let mut records = Vec::new();
    for job in plan.jobs.iter().filter(|job| !job.cancelled && !cell.jobs.contains_key(&job.id)) {
        let count = task::home_indices(job, cell.id).count() as u32;
        if count > 0 {
            records.push(Record::Adopt { job: job.id, count, version });
        }
    }
    for (job, adopted) in &cell.jobs {
        let is_declared = plan.job(*job).is_some_and(|(_, job)| !job.cancelled);
        // A process whose configuration is older than the adoption cannot tell whether the job was removed.
        let is_removed = !is_declared && adopted.version <= version;
        if is_removed && !adopted.cancelled && adopted.open > 0 {
            records.push(Record::Cancel { job: *job });
        }
    }
    records.sort_unstable_by_key(|record| match record {
        Record::Adopt { job, .. } | Record::Cancel { job } => *job,
        _ => job::Id(0),
    });
    for record in records {
        journal::push(state, key, record);
    }
}

/// Number of cells in the whole plan.
pub fn total(state: &State) -> u32 {
    state.config.plan.zones.iter().map(|zone| u32::from(zone.cells)).sum()
}
