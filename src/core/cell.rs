//! Cells: groups of workers and tasks, each owned by one entry VM at a time.
//!
//! Every member computes the owner of each cell of its zone from the members that it considers live. Two members can
//! disagree for a while. Conditional appends to the cell's log and the control leases of its workers then ensure that
//! only one of them acts as owner.

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
    /// Availability zone of the cell.
    pub zone: zone::Id,
    /// Number of the cell in its zone, from 0.
    pub index: u16,
}

impl Id {
    /// Zone and index packed into one number, as input for hashing.
    pub fn number(self) -> u64 {
        (u64::from(self.zone.0) << 16) | u64::from(self.index)
    }
}

/// Role of this process for a cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Reads the log, then appends a takeover record.
    Recovering,
    /// Keeps services and running tasks alive during recovery while the store cannot be reached.
    Caretaker,
    /// Appends to the log, places tasks and replicas, and holds the leases under its epoch.
    Owner,
}

/// A job with tasks that belong to this cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Adopted {
    /// Number of the job's tasks that belong to this cell; 0 once all of them finished.
    pub count: u32,
    /// Number of those tasks that have not ended.
    pub open: u32,
    /// Version of the configuration that declared the job.
    pub version: u64,
    /// Whether the job was cancelled.
    pub cancelled: bool,
    /// Whether the tasks are in the arena. They are not while the configuration of this process lacks the job.
    pub expanded: bool,
}

/// A cell that this process acts for.
#[derive(Debug, Clone)]
pub struct Cell {
    /// Identity of the cell.
    pub id: Id,
    /// Role of this process.
    pub role: Role,
    /// Epoch of the last takeover record in the log that this process knows.
    pub epoch: u64,
    /// Highest epoch that a worker reported to this process as caretaker.
    pub worker_epoch: u64,
    /// Time from which this process acts for the cell.
    pub acting_since: Instant,
    /// State of the cell's log.
    pub log: journal::Log,
    /// Tasks by identity.
    pub tasks: Map<task::Id, task::Key>,
    /// Adopted jobs by identity.
    pub jobs: Map<job::Id, Adopted>,
    /// Tasks that wait for a worker.
    pub queue: task::Queue,
    /// Replicas that run or were started.
    pub replicas: replica::Set,
    /// Configuration version, and the number of replicas to run of each service in the order of that plan's services.
    pub desired_replicas: (u64, Vec<u32>),
    /// Connection grants that members hold.
    pub grants: grant::Slots,
    /// Whether the cell came by a handover, so that a predecessor issued grants under the same epoch.
    pub is_handed_over: bool,
    /// Whether a placement pass is scheduled.
    pub place_scheduled: bool,
    /// Time of the next periodic placement pass, which needs no event; `None` before the first pass.
    pub next_pass: Option<Instant>,
    /// Whether the search for a snapshot is complete, whether or not one exists.
    pub is_snapshot_read: bool,
}

impl Cell {
    /// Epoch under which routes and grants are published. A caretaker appends no takeover, so it uses the epoch that
    /// the workers report if that is higher.
    pub fn published_epoch(&self) -> u64 {
        match self.role {
            Role::Owner => self.epoch,
            Role::Recovering | Role::Caretaker => self.epoch.max(self.worker_epoch),
        }
    }

    /// Whether this process is not the owner and has neither read nor appended any record of the log.
    pub fn is_log_unread(&self) -> bool {
        self.role != Role::Owner && self.log.next == 0 && self.log.is_idle()
    }
}

/// Cells that this process acts for.
#[derive(Debug, Clone, Default)]
pub struct Table {
    arena: SlotMap<Key, Cell>,
    by_id: Map<Id, Key>,
    /// Epoch and next log position at which this process last stopped acting for a cell.
    left_at: Map<Id, (u64, u64)>,
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

    /// Whether this process has acted for a cell at or after the position of the log and the epoch of a handover, so that
    /// the handover is a repeated message.
    pub fn has_left(&self, id: Id, epoch: u64, next: u64) -> bool {
        self.left_at.get(&id).is_some_and(|left| (epoch, next) <= *left)
    }

    /// All keys.
    pub fn keys(&self) -> Vec<Key> {
        self.arena.keys().collect()
    }
}

/// Interval between reviews of cell ownership.
const REVIEW_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which a preferred owner has to be live before a cell moves to it, so that a member that repeatedly joins
/// and leaves does not make cells move back and forth.
const MIN_SUCCESSOR_LIVE_TIME: Duration = Duration::from_secs(3);

/// Starts recovery of cells for which this member ranks first, and hands over cells for which another member does.
pub(crate) fn review_ownership(state: &mut State, out: &mut Vec<Effect>) {
    state.timers.set(state.now + REVIEW_INTERVAL, Timer::ReviewOwnership);
    let plan = state.config.plan.clone();
    let Some((_, zone)) = plan.zone(state.me.zone) else { return };
    // Shortly after its start a process has no heartbeats from other members, so it would rank first for every cell.
    if state.now.since(state.started) < state.tuning.suspect_after {
        return;
    }
    for id in plan.cells(zone) {
        let preferred = member::rank_candidates(state, id.number()).first().copied();
        match (state.cells.key(id), preferred) {
            (None, Some(preferred)) if preferred == state.me.id => recovery::begin(state, id, out),
            (Some(key), Some(preferred)) if preferred != state.me.id => {
                hand_over_if_stable(state, key, preferred, out)
            }
            _ => {}
        }
    }
}

/// Hands a cell over to the member that ranks first if that member has been live for [`MIN_SUCCESSOR_LIVE_TIME`], or if
/// this process shuts down.
fn hand_over_if_stable(state: &mut State, key: Key, successor: member::Id, out: &mut Vec<Effect>) {
    let Some(member) = state.members.get(successor) else { return };
    let is_stable =
        state.now.since(member.live_since) > MIN_SUCCESSOR_LIVE_TIME || !state.shutdown.is_running();
    if is_stable {
        hand_over(state, key, successor, out);
    }
}

/// Stops acting for a cell, releases the leases of its workers, and sends the successor a handover message if the log
/// is idle.
pub(crate) fn hand_over(state: &mut State, key: Key, successor: member::Id, out: &mut Vec<Effect>) {
    let Some(cell) = state.cells.get(key) else { return };
    // An append in flight can still take effect, so without an idle log the successor has to read the log itself.
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

/// Stops acting for a cell without a handover, for example after another member took it over.
pub(crate) fn step_down(state: &mut State, key: Key, reason: &str, out: &mut Vec<Effect>) {
    let Some(cell) = state.cells.get(key) else { return };
    record(out, Subject::Cell(cell.id), "deposed", reason);
    remove(state, key);
}

fn remove(state: &mut State, key: Key) {
    let Some(cell) = state.cells.arena.remove(key) else { return };
    state.cells.by_id.remove(&cell.id);
    let left = state.cells.left_at.entry(cell.id).or_default();
    *left = (*left).max((cell.epoch, cell.log.next));
    for task in cell.tasks.into_values() {
        state.tasks.remove(task);
    }
    worker::cell_lost(state, cell.id);
}

/// Adds a cell in the recovering role and starts polling its workers.
pub(crate) fn insert(state: &mut State, id: Id) -> Key {
    // Routes are ordered by epoch and version. A random start makes it unlikely that a successor under the same epoch
    // publishes other routes under a version that is already in use.
    let version = state.next_random() & 0x00ff_ffff;
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
        replicas: replica::Set { routes_version: version, ..replica::Set::default() },
        desired_replicas: (0, Vec::new()),
        grants: grant::Slots::default(),
        is_handed_over: false,
        place_scheduled: false,
        next_pass: None,
        is_snapshot_read: false,
    });
    state.cells.by_id.insert(id, key);
    worker::cell_gained(state, id);
    key
}

/// Applies a changed plan to every cell: reorders its queue, adds tasks of adopted jobs, adopts new jobs and cancels
/// undeclared ones.
pub(crate) fn plan_changed(state: &mut State) {
    for key in state.cells.keys() {
        task::reorder_queue(state, key);
        task::add_missing_tasks_of_all_jobs(state, key);
        reconcile_jobs(state, key);
        place::schedule_pass(state, key);
    }
}

/// Appends records that adopt the plan's new jobs in a cell and cancel its adopted jobs that are no longer declared.
pub(crate) fn reconcile_jobs(state: &mut State, key: Key) {
    let plan = state.config.plan.clone();
    let Some(cell) = state.cells.get(key).filter(|cell| cell.role == Role::Owner) else { return };
    let version = state.config.index.version;
    let mut records = Vec::new();
    for job in plan.jobs.iter().filter(|job| !job.is_cancelled && !cell.jobs.contains_key(&job.id)) {
        let count = task::home_indices(job, cell.id).count() as u32;
        if count > 0 {
            records.push(Record::Adopt { job: job.id, count, version });
        }
    }
    for (job, adopted) in &cell.jobs {
        let is_declared = plan.job(*job).is_some_and(|(_, job)| !job.is_cancelled);
        // With a configuration older than the adoption, an undeclared job may be new rather than removed.
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
