//! Workers and their control leases.
//!
//! The worker is the arbiter of its lease; this module keeps the holder's side of it. Everything that may be on a worker
//! counts as its load until the worker, the VM list or the lapse of the lease proves that it is gone.

use std::net::SocketAddr;
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

use super::cell::{self, Role};
use super::control::{Call, Command, Work};
use super::effect::Effect;
use super::lease::Lease;
use super::listing::{Kind, Vm};
use super::state::{State, record};
use super::time::Instant;
use super::timer::Timer;
use super::trace::Subject;
use super::{place, replica, task};
use crate::declare::pool;
use crate::declare::size::Size;
use crate::hash::{self, Map};

new_key_type! {
    /// Key of a worker in this process.
    pub struct Key;
}

/// Identity of a worker: a hash of its name, kept over replacements.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Id(pub u64);

impl Id {
    /// Identity of the worker called `name`.
    pub fn of(name: impl AsRef<str>) -> Self {
        Self(hash::name(name))
    }
}

/// One unit of work that may be on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Resources it holds.
    pub size: Size,
    /// Attempt.
    pub attempt: u32,
    /// Sequence number of the call that carried its start; a reply to a later call tells whether it was executed.
    pub sent: u64,
    /// Whether the worker reported it.
    pub is_confirmed: bool,
}

impl Load {
    /// Load of a unit of work that no worker has reported.
    pub fn new(size: Size, attempt: u32) -> Self {
        Self { size, attempt, sent: 0, is_confirmed: false }
    }
}

/// A call in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Sent {
    pub at: Instant,
    pub is_poll: bool,
}

/// A worker of this zone.
#[derive(Debug, Clone)]
pub struct Worker {
    /// Identity.
    pub id: Id,
    /// Name in the VM list.
    pub name: String,
    /// Control and data address.
    pub address: SocketAddr,
    /// Number of the instance.
    pub instance: u64,
    /// Rack.
    pub rack: String,
    /// Name of its pool.
    pub pool_name: String,
    /// Its pool in the plan in force.
    pub pool: Option<pool::Key>,
    /// Capacity.
    pub size: Size,
    /// Connections it accepts.
    pub connections: u16,
    /// Cell it belongs to.
    pub cell: cell::Id,
    /// Since when the VM list has not named it; `None` while it does.
    pub absent: Option<Instant>,
    /// The platform, or an operator, takes it away.
    pub leaving: bool,
    /// Lease.
    pub lease: Lease,
    /// Everything that may be on it.
    pub load: Map<Work, Load>,
    /// Sum of the load's sizes.
    pub used: Size,
    /// Failures of different tasks without a success between.
    pub failures: Vec<task::Id>,
    /// Gets no batch tasks until then.
    pub quarantined: Option<Instant>,
    outbox: Vec<Command>,
    pub(super) acknowledge: Vec<(Work, u32)>,
    pub(super) calls: Map<u64, Sent>,
    sequence: u64,
    pub(super) is_polling: bool,
}

impl Worker {
    /// Capacity that nothing may hold.
    pub fn free(&self) -> Size {
        self.size.saturating_sub(self.used)
    }

    /// Whether this process holds its lease at `now`.
    pub fn is_held(&self, now: Instant) -> bool {
        self.lease.safe_end.is_some_and(|end| now < end)
    }

    /// Whether work may be started on it at `now`.
    pub fn is_usable(&self, now: Instant) -> bool {
        self.is_held(now) && !self.leaving && self.absent.is_none()
    }

    /// Whether batch tasks may be started on it at `now`.
    pub fn takes_batch(&self, now: Instant) -> bool {
        let is_quarantined = self.quarantined.is_some_and(|until| now < until);
        self.is_usable(now) && !self.lease.is_caretaker && !is_quarantined
    }

    /// Share of its cores that batch tasks hold, in percent.
    pub fn batch_percent(&self) -> u8 {
        let batch = self.load.iter().filter(|(work, _)| matches!(work, Work::Batch(_)));
        let used: u64 = batch.map(|(_, load)| u64::from(load.size.millicores)).sum();
        (used * 100 / u64::from(self.size.millicores.max(1))).min(100) as u8
    }
}

/// Workers of this zone.
#[derive(Debug, Clone, Default)]
pub struct Table {
    arena: SlotMap<Key, Worker>,
    by_id: Map<Id, Key>,
    /// Workers with commands or acknowledgements to send.
    dirty: Vec<Key>,
}

impl Table {
    /// Worker behind `key`.
    pub fn get(&self, key: Key) -> Option<&Worker> {
        self.arena.get(key)
    }

    /// Worker behind `key`.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut Worker> {
        self.arena.get_mut(key)
    }

    /// Key of the worker with identity `id`.
    pub fn key(&self, id: Id) -> Option<Key> {
        self.by_id.get(&id).copied()
    }

    /// All workers.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &Worker)> {
        self.arena.iter()
    }

    /// Workers of a cell.
    pub fn of(&self, cell: cell::Id) -> impl Iterator<Item = (Key, &Worker)> {
        self.arena.iter().filter(move |(_, worker)| worker.cell == cell)
    }

    fn keys_of(&self, cell: cell::Id) -> Vec<Key> {
        self.of(cell).map(|(key, _)| key).collect()
    }
}

/// A list reading can be older than another one, so a VM counts as gone only after it was absent for this time.
pub const LIST_LAG: Duration = Duration::from_secs(60);

/// Takes over a reading of the VM list.
pub(crate) fn listed(state: &mut State, vms: &[Vm], out: &mut Vec<Effect>) {
    let zone = state.me.zone;
    let mut seen = hash::Set::default();
    for vm in vms.iter().filter(|vm| vm.kind == Kind::Worker && vm.zone == zone) {
        let id = Id::of(&vm.name);
        seen.insert(id);
        match state.workers.key(id) {
            Some(key) => relisted(state, key, vm, out),
            None => added(state, id, vm, out),
        }
    }
    let now = state.now;
    for worker in state.workers.arena.values_mut().filter(|worker| !seen.contains(&worker.id)) {
        worker.absent.get_or_insert(now);
    }
    remove_gone(state, out);
}

fn added(state: &mut State, id: Id, vm: &Vm, out: &mut Vec<Effect>) {
    record(out, Subject::Worker(id), "add-worker", format!("{} is listed in rack {}", vm.name, vm.rack));
    let key = insert(state, id, vm.instance);
    relisted(state, key, vm, out);
    start_polling(state, key);
}

fn insert(state: &mut State, id: Id, instance: u64) -> Key {
    let unknown = SocketAddr::from(([127, 0, 0, 1], 0));
    let key = state.workers.arena.insert(Worker {
        id,
        name: String::new(),
        address: unknown,
        instance,
        rack: String::new(),
        pool_name: String::new(),
        pool: None,
        size: Size::default(),
        connections: 0,
        cell: cell::Id { zone: state.me.zone, index: 0 },
        absent: Some(state.now),
        leaving: false,
        lease: Lease::default(),
        load: Map::default(),
        used: Size::default(),
        failures: Vec::new(),
        quarantined: None,
        outbox: Vec::new(),
        acknowledge: Vec::new(),
        calls: Map::default(),
        sequence: 0,
        is_polling: false,
    });
    state.workers.by_id.insert(id, key);
    key
}

fn relisted(state: &mut State, key: Key, vm: &Vm, out: &mut Vec<Effect>) {
    let Some(worker) = state.workers.get_mut(key) else { return };
    worker.absent = None;
    let was_leaving = worker.leaving;
    if vm.instance > worker.instance {
        replaced(state, key, vm.instance, out);
    }
    let Some(worker) = state.workers.get_mut(key) else { return };
    if vm.instance < worker.instance {
        return;
    }
    worker.name.clone_from(&vm.name);
    worker.rack.clone_from(&vm.rack);
    worker.pool_name.clone_from(&vm.pool);
    worker.address = vm.address;
    worker.leaving |= vm.leaving;
    let (id, cell, is_leaving) = (worker.id, worker.cell, worker.leaving);
    resolve(state, key);
    if is_leaving && !was_leaving {
        record(out, Subject::Worker(id), "worker-leaving", "the VM list says so");
        place::schedule_pass_by_id(state, cell);
    }
}

/// The plan changed: capacities and cells are looked up again.
pub(crate) fn plan_changed(state: &mut State) {
    let keys: Vec<Key> = state.workers.arena.keys().collect();
    for key in keys {
        resolve(state, key);
        start_polling(state, key);
    }
}

/// Looks up pool and cell of a worker in the plan.
fn resolve(state: &mut State, key: Key) {
    let plan = state.config.plan.clone();
    let Some(worker) = state.workers.get_mut(key) else { return };
    let Some((_, zone)) = plan.zone(state.me.zone) else { return };
    let cell = plan.cell_of(zone, worker.id.0);
    // A worker with work on it stays with the cell whose tasks those are.
    if worker.load.is_empty() {
        worker.cell = cell;
    }
    let pool = plan.pool(&worker.pool_name);
    worker.pool = pool.map(|(key, _)| key);
    worker.size = pool.map(|(_, pool)| pool.size).unwrap_or_default();
    worker.connections = pool.map_or(0, |(_, pool)| pool.connections);
}

/// Another instance runs under the worker's name: all earlier work is gone.
pub(super) fn replaced(state: &mut State, key: Key, instance: u64, out: &mut Vec<Effect>) {
    let Some(worker) = state.workers.get_mut(key) else { return };
    record(out, Subject::Worker(worker.id), "worker-replaced", format!("instance {instance}"));
    worker.instance = instance;
    worker.leaving = false;
    worker.lease = Lease::default();
    worker.sequence += 1;
    worker.failures.clear();
    worker.quarantined = None;
    drop_load(state, key, instance);
}

/// Everything on instances of the worker before `instance` is surely gone.
///
/// A predecessor may have assigned tasks to `instance` itself before this process learned of it; they stay. Only the
/// owner may say in the log that a task is gone; until this process is the owner, batch tasks stay counted.
fn drop_load(state: &mut State, key: Key, instance: u64) {
    let Some(worker) = state.workers.get_mut(key) else { return };
    worker.outbox.clear();
    worker.acknowledge.clear();
    let (id, worker_id) = (worker.cell, worker.id);
    let Some(cell) = state.cells.key(id) else { return };
    let mut dropped: Vec<(Work, Load)> = worker.load.iter().map(|(work, load)| (*work, *load)).collect();
    dropped.retain(|(work, _)| match work {
        Work::Replica(_) => true,
        Work::Batch(task) => is_batch_gone(state, cell, *task, worker_id, instance),
    });
    dropped.sort_unstable_by_key(|(work, _)| *work);
    for (work, load) in dropped {
        if let Some(worker) = state.workers.get_mut(key) {
            worker.load.remove(&work);
            worker.used -= load.size;
        }
        match work {
            Work::Batch(task) => task::propose_lost(state, cell, task, load.attempt),
            Work::Replica(run) => replica::remove(state, cell, run),
        }
    }
    place::schedule_pass_by_id(state, id);
}

fn is_batch_gone(state: &State, cell: cell::Key, task: task::Id, worker: Id, instance: u64) -> bool {
    let Some(home) = state.cells.get(cell).filter(|home| home.role == Role::Owner) else { return false };
    let task = home.tasks.get(&task).and_then(|key| state.tasks.get(*key));
    task.is_none_or(|task| task.assigned_instance(worker).is_none_or(|assigned| assigned < instance))
}

/// Removes workers that have been absent for long, and takes their work as gone.
fn remove_gone(state: &mut State, out: &mut Vec<Effect>) {
    let now = state.now;
    let is_gone = |worker: &Worker| worker.absent.is_some_and(|since| now.since(since) > LIST_LAG);
    let gone: Vec<Key> =
        state.workers.arena.iter().filter(|(_, worker)| is_gone(worker)).map(|(key, _)| key).collect();
    for key in gone {
        drop_load(state, key, u64::MAX);
        if state.workers.get(key).is_none_or(|worker| !worker.load.is_empty()) {
            continue;
        }
        if let Some(worker) = state.workers.arena.remove(key) {
            state.workers.by_id.remove(&worker.id);
            record(out, Subject::Worker(worker.id), "worker-gone", "absent from the VM list for 60 s");
        }
    }
}

/// This process begins to act for a cell.
pub(crate) fn cell_gained(state: &mut State, cell: cell::Id) {
    for key in state.workers.keys_of(cell) {
        start_polling(state, key);
    }
}

/// This process became the owner of a cell: it claims every worker under its epoch.
pub(crate) fn owner_changed(state: &mut State, cell: cell::Key) {
    let Some(id) = state.cells.get(cell).map(|cell| cell.id) else { return };
    for key in state.workers.keys_of(id) {
        if let Some(worker) = state.workers.get_mut(key) {
            let reading = worker.lease.reading;
            worker.lease = Lease { reading, ..Lease::default() };
        }
        start_polling(state, key);
    }
}

/// This process no longer acts for a cell.
pub(crate) fn cell_lost(state: &mut State, cell: cell::Id) {
    for key in state.workers.keys_of(cell) {
        let Some(worker) = state.workers.get_mut(key) else { continue };
        worker.lease = Lease::default();
        worker.load.clear();
        worker.used = Size::default();
        worker.outbox.clear();
        worker.acknowledge.clear();
        worker.calls.clear();
        // The answer to a poll in flight is dropped with its call, so it would not set the next one.
        worker.is_polling = false;
    }
}

/// Gives up the leases of all workers of a cell.
pub(crate) fn release_all(state: &mut State, cell: cell::Id, out: &mut Vec<Effect>) {
    for key in state.workers.keys_of(cell) {
        let now = state.now;
        let Some(worker) = state.workers.get(key).filter(|worker| worker.is_held(now)) else { continue };
        let until_ms = worker.lease.until_ms;
        send(state, key, Draft { until_ms, release: true, ..Draft::default() }, out);
    }
}

/// Makes sure that a worker is polled, if this process acts for its cell.
fn start_polling(state: &mut State, key: Key) {
    let now = state.now;
    let Some(worker) = state.workers.get_mut(key) else { return };
    let is_mine = state.cells.key(worker.cell).is_some();
    if is_mine && !worker.is_polling {
        worker.is_polling = true;
        state.timers.set(now, Timer::RenewLease(key));
    }
}

pub(super) fn poll_later(state: &mut State, key: Key, wait: Duration) {
    state.timers.set(state.now + wait, Timer::RenewLease(key));
}

/// What differs between calls.
#[derive(Debug, Clone, Default)]
pub(super) struct Draft {
    pub epoch: Option<u64>,
    pub is_caretaker: bool,
    pub until_ms: u64,
    pub release: bool,
    pub wait: Duration,
    pub acknowledge: Vec<(Work, u32)>,
    pub commands: Vec<Command>,
    pub is_poll: bool,
}

pub(super) fn send(state: &mut State, key: Key, draft: Draft, out: &mut Vec<Effect>) {
    let now = state.now;
    let holder = state.me.id;
    let patience = state.tuning.call_timeout;
    let Some(worker) = state.workers.get_mut(key) else { return };
    let epoch = state.cells.key(worker.cell).and_then(|cell| state.cells.get(cell)).map_or(0, |c| c.epoch);
    worker.sequence += 1;
    worker.lease.until_ms = worker.lease.until_ms.max(draft.until_ms);
    worker.calls.insert(worker.sequence, Sent { at: now, is_poll: draft.is_poll });
    // A claim that is sent late only makes its own lease shorter; commands need the lease at the time of the write.
    let not_after = match (draft.commands.is_empty(), worker.lease.safe_end) {
        (false, Some(end)) => end,
        _ => now + patience,
    };
    let call = Call {
        holder,
        cell: worker.cell,
        epoch: draft.epoch.unwrap_or(epoch),
        instance: worker.instance,
        caretaker: draft.is_caretaker,
        sequence: worker.sequence,
        until_ms: draft.until_ms,
        release: draft.release,
        wait_ms: draft.wait.as_millis() as u64,
        acknowledge: draft.acknowledge,
        commands: draft.commands,
    };
    out.push(Effect::Worker { worker: key, address: worker.address, call, not_after });
}

/// Reserves resources on a worker, for work that is about to be assigned or started.
pub(crate) fn reserve(state: &mut State, key: Key, work: Work, load: Load) {
    let Some(worker) = state.workers.get_mut(key) else { return };
    if worker.load.insert(work, load).is_none() {
        worker.used += load.size;
    }
}

/// Counts work that the log names on a worker, which the VM list may not name any more.
pub(crate) fn reserve_named(
    state: &mut State,
    cell: cell::Id,
    (id, instance): (Id, u64),
    work: Work,
    load: Load,
) {
    let key = match state.workers.key(id) {
        Some(key) => key,
        None => insert(state, id, instance),
    };
    if let Some(worker) = state.workers.get_mut(key).filter(|worker| worker.load.is_empty()) {
        worker.cell = cell;
    }
    reserve(state, key, work, load);
}

/// Whether a unit of work is counted on instance `instance` of a worker.
pub(crate) fn is_reserved(state: &State, id: Id, instance: u64, work: Work) -> bool {
    let worker = state.workers.key(id).and_then(|key| state.workers.get(key));
    worker.is_some_and(|worker| worker.instance == instance && worker.load.contains_key(&work))
}

/// Frees what a unit of work held.
pub(crate) fn free(state: &mut State, id: Id, work: Work) {
    let Some(worker) = state.workers.key(id).and_then(|key| state.workers.get_mut(key)) else { return };
    if let Some(load) = worker.load.remove(&work) {
        worker.used -= load.size;
    }
}

/// Queues a command for a worker.
pub(crate) fn command(state: &mut State, id: Id, command: Command) {
    let Some(key) = state.workers.key(id) else { return };
    if let Some(worker) = state.workers.get_mut(key) {
        worker.outbox.push(command);
        state.workers.dirty.push(key);
    }
}

/// Lets a worker forget a result that is stored.
pub(crate) fn acknowledge(state: &mut State, id: Id, work: Work, attempt: u32) {
    let Some(key) = state.workers.key(id) else { return };
    if let Some(worker) = state.workers.get_mut(key) {
        worker.acknowledge.push((work, attempt));
        state.workers.dirty.push(key);
    }
}

/// Sends queued commands and acknowledgements, one call a worker.
pub(crate) fn flush(state: &mut State, out: &mut Vec<Effect>) {
    let mut dirty = std::mem::take(&mut state.workers.dirty);
    dirty.sort_unstable();
    dirty.dedup();
    for key in dirty {
        flush_one(state, key, out);
    }
}

fn flush_one(state: &mut State, key: Key, out: &mut Vec<Effect>) {
    let now = state.now;
    let Some(worker) = state.workers.get_mut(key) else { return };
    let sequence = worker.sequence + 1;
    for command in &worker.outbox {
        if let Command::Start(start) = command
            && let Some(load) = worker.load.get_mut(&start.work)
        {
            load.sent = sequence;
        }
    }
    if !worker.is_held(now) {
        // Starts are repeated after the next grant; stops are decided again then.
        worker.outbox.clear();
        return;
    }
    let commands = std::mem::take(&mut worker.outbox);
    let acknowledge = std::mem::take(&mut worker.acknowledge);
    let lease = worker.lease;
    let draft = Draft {
        until_ms: lease.until_ms,
        is_caretaker: lease.is_caretaker,
        epoch: lease.is_caretaker.then_some(lease.epoch),
        acknowledge,
        commands,
        ..Draft::default()
    };
    send(state, key, draft, out);
}
