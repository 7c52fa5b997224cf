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
pub struct Reservation {
    /// Resources it holds.
    pub size: Size,
    /// Attempt.
    pub attempt: u32,
    /// Sequence number of the call that carried its start; a reply to a later call tells whether it was executed.
    pub start_sequence: u64,
    /// Whether the worker reported it.
    pub is_confirmed: bool,
}

impl Reservation {
    /// Load of a unit of work that no worker has reported.
    pub fn new(size: Size, attempt: u32) -> Self {
        Self { size, attempt, start_sequence: 0, is_confirmed: false }
    }
}

/// A call in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PendingCall {
    pub sent_at: Instant,
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
    pub absent_since: Option<Instant>,
    /// The platform, or an operator, takes it away.
    pub leaving: bool,
    /// Lease.
    pub lease: Lease,
    /// Everything that may be on it.
    pub reservations: Map<Work, Reservation>,
    /// Sum of the load's sizes.
    pub used: Size,
    /// Failures of different tasks without a success between.
    pub failed_tasks: Vec<task::Id>,
    /// Gets no batch tasks until then.
    pub quarantined_until: Option<Instant>,
    outbox: Vec<Command>,
    pub(super) acknowledge: Vec<(Work, u32)>,
    pub(super) pending_calls: Map<u64, PendingCall>,
    sequence: u64,
    pub(super) is_polling: bool,
}

impl Worker {
    /// Capacity that nothing may hold.
    pub fn free_capacity(&self) -> Size {
        self.size.saturating_sub(self.used)
    }

    /// Whether this process holds its lease at `now`.
    pub fn is_held(&self, now: Instant) -> bool {
        self.lease.expires_at.is_some_and(|end| now < end)
    }

    /// Whether work may be started on it at `now`.
    pub fn is_usable(&self, now: Instant) -> bool {
        self.is_held(now) && !self.leaving && self.absent_since.is_none()
    }

    /// Whether batch tasks may be started on it at `now`.
    pub fn accepts_batch(&self, now: Instant) -> bool {
        let is_quarantined = self.quarantined_until.is_some_and(|until| now < until);
        self.is_usable(now) && !self.lease.is_caretaker && !is_quarantined
    }

    /// Share of its cores that batch tasks hold, in percent.
    pub fn batch_percent(&self) -> u8 {
        let batch = self.reservations.iter().filter(|(work, _)| matches!(work, Work::Batch(_)));
        let used: u64 = batch.map(|(_, reservation)| u64::from(reservation.size.millicores)).sum();
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
    pub fn in_cell(&self, cell: cell::Id) -> impl Iterator<Item = (Key, &Worker)> {
        self.arena.iter().filter(move |(_, worker)| worker.cell == cell)
    }

    fn keys_in_cell(&self, cell: cell::Id) -> Vec<Key> {
        self.in_cell(cell).map(|(key, _)| key).collect()
    }
}

/// A list reading can be older than another one, so a VM counts as gone only after it was absent for this time.
pub const ABSENCE_TIMEOUT: Duration = Duration::from_secs(60);

/// Takes over a reading of the VM list.
pub(crate) fn handle_listing(state: &mut State, vms: &[Vm], out: &mut Vec<Effect>) {
    let zone = state.me.zone;
    let mut listed = hash::Set::default();
    for vm in vms.iter().filter(|vm| vm.kind == Kind::Worker && vm.zone == zone) {
        let id = Id::of(&vm.name);
        listed.insert(id);
        match state.workers.key(id) {
            Some(key) => update_listed(state, key, vm, out),
            None => add_listed(state, id, vm, out),
        }
    }
    let now = state.now;
    for worker in state.workers.arena.values_mut().filter(|worker| !listed.contains(&worker.id)) {
        worker.absent_since.get_or_insert(now);
    }
    remove_absent(state, out);
}

fn add_listed(state: &mut State, id: Id, vm: &Vm, out: &mut Vec<Effect>) {
    record(out, Subject::Worker(id), "add-worker", format!("{} is listed in rack {}", vm.name, vm.rack));
    let key = insert(state, id, vm.instance);
    update_listed(state, key, vm, out);
    start_polling(state, key);
}

fn insert(state: &mut State, id: Id, instance: u64) -> Key {
    let placeholder = SocketAddr::from(([127, 0, 0, 1], 0));
    let key = state.workers.arena.insert(Worker {
        id,
        name: String::new(),
        address: placeholder,
        instance,
        rack: String::new(),
        pool_name: String::new(),
        pool: None,
        size: Size::default(),
        connections: 0,
        cell: cell::Id { zone: state.me.zone, index: 0 },
        absent_since: Some(state.now),
        leaving: false,
        lease: Lease::default(),
        reservations: Map::default(),
        used: Size::default(),
        failed_tasks: Vec::new(),
        quarantined_until: None,
        outbox: Vec::new(),
        acknowledge: Vec::new(),
        pending_calls: Map::default(),
        sequence: 0,
        is_polling: false,
    });
    state.workers.by_id.insert(id, key);
    key
}

fn update_listed(state: &mut State, key: Key, vm: &Vm, out: &mut Vec<Effect>) {
    let Some(worker) = state.workers.get_mut(key) else { return };
    worker.absent_since = None;
    let was_leaving = worker.leaving;
    if vm.instance > worker.instance {
        handle_replacement(state, key, vm.instance, out);
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
        place::schedule_id(state, cell);
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
    if worker.reservations.is_empty() {
        worker.cell = cell;
    }
    let pool = plan.pool(&worker.pool_name);
    worker.pool = pool.map(|(key, _)| key);
    worker.size = pool.map(|(_, pool)| pool.size).unwrap_or_default();
    worker.connections = pool.map_or(0, |(_, pool)| pool.connections);
}

/// Another instance runs under the worker's name: all earlier work is gone.
pub(super) fn handle_replacement(state: &mut State, key: Key, instance: u64, out: &mut Vec<Effect>) {
    let Some(worker) = state.workers.get_mut(key) else { return };
    record(out, Subject::Worker(worker.id), "worker-replaced", format!("instance {instance}"));
    worker.instance = instance;
    worker.leaving = false;
    worker.lease = Lease::default();
    worker.sequence += 1;
    worker.failed_tasks.clear();
    worker.quarantined_until = None;
    drop_reservations(state, key, instance);
}

/// Everything on instances of the worker before `instance` is surely gone.
///
/// A predecessor may have assigned tasks to `instance` itself before this process learned of it; they stay. Only the
/// owner may say in the log that a task is gone; until this process is the owner, batch tasks stay counted.
fn drop_reservations(state: &mut State, key: Key, instance: u64) {
    let Some(worker) = state.workers.get_mut(key) else { return };
    worker.outbox.clear();
    worker.acknowledge.clear();
    let (id, worker_id) = (worker.cell, worker.id);
    let Some(cell) = state.cells.key(id) else { return };
    let mut dropped: Vec<(Work, Reservation)> =
        worker.reservations.iter().map(|(work, reservation)| (*work, *reservation)).collect();
    dropped.retain(|(work, _)| match work {
        Work::Replica(_) => true,
        Work::Batch(task) => is_batch_gone(state, cell, *task, worker_id, instance),
    });
    dropped.sort_unstable_by_key(|(work, _)| *work);
    for (work, reservation) in dropped {
        if let Some(worker) = state.workers.get_mut(key) {
            worker.reservations.remove(&work);
            worker.used -= reservation.size;
        }
        match work {
            Work::Batch(task) => task::lost(state, cell, task, reservation.attempt),
            Work::Replica(run) => replica::gone(state, cell, run),
        }
    }
    place::schedule_id(state, id);
}

fn is_batch_gone(state: &State, cell: cell::Key, task: task::Id, worker: Id, instance: u64) -> bool {
    let Some(home) = state.cells.get(cell).filter(|home| home.role == Role::Owner) else { return false };
    let task = home.tasks.get(&task).and_then(|key| state.tasks.get(*key));
    task.is_none_or(|task| task.assigned_instance(worker).is_none_or(|assigned| assigned < instance))
}

/// Removes workers that have been absent for long, and takes their work as gone.
fn remove_absent(state: &mut State, out: &mut Vec<Effect>) {
    let now = state.now;
    let is_gone =
        |worker: &Worker| worker.absent_since.is_some_and(|since| now.since(since) > ABSENCE_TIMEOUT);
    let gone: Vec<Key> =
        state.workers.arena.iter().filter(|(_, worker)| is_gone(worker)).map(|(key, _)| key).collect();
    for key in gone {
        drop_reservations(state, key, u64::MAX);
        if state.workers.get(key).is_none_or(|worker| !worker.reservations.is_empty()) {
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
    for key in state.workers.keys_in_cell(cell) {
        start_polling(state, key);
    }
}

/// This process became the owner of a cell: it claims every worker under its epoch.
pub(crate) fn owner_changed(state: &mut State, cell: cell::Key) {
    let Some(id) = state.cells.get(cell).map(|cell| cell.id) else { return };
    for key in state.workers.keys_in_cell(id) {
        if let Some(worker) = state.workers.get_mut(key) {
            let reading = worker.lease.clock_reading;
            worker.lease = Lease { clock_reading: reading, ..Lease::default() };
        }
        start_polling(state, key);
    }
}

/// This process no longer acts for a cell.
pub(crate) fn cell_lost(state: &mut State, cell: cell::Id) {
    for key in state.workers.keys_in_cell(cell) {
        let Some(worker) = state.workers.get_mut(key) else { continue };
        worker.lease = Lease::default();
        worker.reservations.clear();
        worker.used = Size::default();
        worker.outbox.clear();
        worker.acknowledge.clear();
        worker.pending_calls.clear();
        // The answer to a poll in flight is dropped with its call, so it would not set the next one.
        worker.is_polling = false;
    }
}

/// Gives up the leases of all workers of a cell.
pub(crate) fn release_leases(state: &mut State, cell: cell::Id, out: &mut Vec<Effect>) {
    for key in state.workers.keys_in_cell(cell) {
        let now = state.now;
        let Some(worker) = state.workers.get(key).filter(|worker| worker.is_held(now)) else { continue };
        let until_ms = worker.lease.requested_until_ms;
        send(state, key, CallOptions { until_ms, release: true, ..CallOptions::default() }, out);
    }
}

/// Makes sure that a worker is polled, if this process acts for its cell.
fn start_polling(state: &mut State, key: Key) {
    let now = state.now;
    let Some(worker) = state.workers.get_mut(key) else { return };
    let is_own_cell = state.cells.key(worker.cell).is_some();
    if is_own_cell && !worker.is_polling {
        worker.is_polling = true;
        state.timers.set(now, Timer::Renew(key));
    }
}

pub(super) fn schedule_poll(state: &mut State, key: Key, wait: Duration) {
    state.timers.set(state.now + wait, Timer::Renew(key));
}

/// What differs between calls.
#[derive(Debug, Clone, Default)]
pub(super) struct CallOptions {
    pub epoch: Option<u64>,
    pub is_caretaker: bool,
    pub until_ms: u64,
    pub release: bool,
    pub wait: Duration,
    pub acknowledge: Vec<(Work, u32)>,
    pub commands: Vec<Command>,
    pub is_poll: bool,
}

pub(super) fn send(state: &mut State, key: Key, options: CallOptions, out: &mut Vec<Effect>) {
    let now = state.now;
    let holder = state.me.id;
    let timeout = state.tuning.call_timeout;
    let Some(worker) = state.workers.get_mut(key) else { return };
    let epoch = state.cells.key(worker.cell).and_then(|cell| state.cells.get(cell)).map_or(0, |c| c.epoch);
    worker.sequence += 1;
    worker.lease.requested_until_ms = worker.lease.requested_until_ms.max(options.until_ms);
    worker.pending_calls.insert(worker.sequence, PendingCall { sent_at: now, is_poll: options.is_poll });
    // A claim that is sent late only makes its own lease shorter; commands need the lease at the time of the write.
    let not_after = match (options.commands.is_empty(), worker.lease.expires_at) {
        (false, Some(end)) => end,
        _ => now + timeout,
    };
    let call = Call {
        holder,
        cell: worker.cell,
        epoch: options.epoch.unwrap_or(epoch),
        instance: worker.instance,
        caretaker: options.is_caretaker,
        sequence: worker.sequence,
        until_ms: options.until_ms,
        release: options.release,
        wait_ms: options.wait.as_millis() as u64,
        acknowledge: options.acknowledge,
        commands: options.commands,
    };
    out.push(Effect::Worker { worker: key, address: worker.address, call, not_after });
}

/// Reserves resources on a worker, for work that is about to be assigned or started.
pub(crate) fn reserve(state: &mut State, key: Key, work: Work, reservation: Reservation) {
    let Some(worker) = state.workers.get_mut(key) else { return };
    if worker.reservations.insert(work, reservation).is_none() {
        worker.used += reservation.size;
    }
}

/// Counts work that the log names on a worker, which the VM list may not name any more.
pub(crate) fn reserve_from_log(
    state: &mut State,
    cell: cell::Id,
    (id, instance): (Id, u64),
    work: Work,
    reservation: Reservation,
) {
    let key = match state.workers.key(id) {
        Some(key) => key,
        None => insert(state, id, instance),
    };
    if let Some(worker) = state.workers.get_mut(key).filter(|worker| worker.reservations.is_empty()) {
        worker.cell = cell;
    }
    reserve(state, key, work, reservation);
}

/// Whether a unit of work is counted on instance `instance` of a worker.
pub(crate) fn is_reserved(state: &State, id: Id, instance: u64, work: Work) -> bool {
    let worker = state.workers.key(id).and_then(|key| state.workers.get(key));
    worker.is_some_and(|worker| worker.instance == instance && worker.reservations.contains_key(&work))
}

/// Frees what a unit of work held.
pub(crate) fn unreserve(state: &mut State, id: Id, work: Work) {
    let Some(worker) = state.workers.key(id).and_then(|key| state.workers.get_mut(key)) else { return };
    if let Some(reservation) = worker.reservations.remove(&work) {
        worker.used -= reservation.size;
    }
}

/// Queues a command for a worker.
pub(crate) fn queue_command(state: &mut State, id: Id, command: Command) {
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
        flush_worker(state, key, out);
    }
}

fn flush_worker(state: &mut State, key: Key, out: &mut Vec<Effect>) {
    let now = state.now;
    let Some(worker) = state.workers.get_mut(key) else { return };
    let sequence = worker.sequence + 1;
    for command in &worker.outbox {
        if let Command::Start(start) = command
            && let Some(reservation) = worker.reservations.get_mut(&start.work)
        {
            reservation.start_sequence = sequence;
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
    let options = CallOptions {
        until_ms: lease.requested_until_ms,
        is_caretaker: lease.is_caretaker,
        epoch: lease.is_caretaker.then_some(lease.epoch),
        acknowledge,
        commands,
        ..CallOptions::default()
    };
    send(state, key, options, out);
}
