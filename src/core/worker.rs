//! Workers of the zone: their leases, reservations and control calls.
//!
//! The worker decides who holds its lease; this module keeps the holder's state. Work that may be on a worker keeps its
//! reservation until a reply of the worker, its replacement by another instance, its long absence from the VM list, or
//! a record of the log shows that the work is not there.

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

/// Identity of a worker: a hash of its name, so another instance of the worker has the same identity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Id(pub u64);

impl Id {
    /// Identity of the worker called `name`.
    pub fn of(name: impl AsRef<str>) -> Self {
        Self(hash::name(name))
    }
}

/// Resources reserved on a worker for one unit of work that may be there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reservation {
    /// Reserved resources.
    pub size: Size,
    /// Attempt number.
    pub attempt: u32,
    /// Sequence number of the call with the start command; 0 if there is none. The reply to a later call shows whether
    /// the start was executed.
    pub start_sequence: u64,
    /// Sequence number of the call with the last stop command; 0 if there is none. A reply to a later call that still
    /// lists the work shows that the command was lost.
    pub stop_sequence: u64,
    /// Whether the worker has reported the work as running.
    pub is_confirmed: bool,
}

impl Reservation {
    /// Reservation for a unit of work that no worker has reported.
    pub fn new(size: Size, attempt: u32) -> Self {
        Self { size, attempt, start_sequence: 0, stop_sequence: 0, is_confirmed: false }
    }
}

/// A control call in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PendingCall {
    pub sent_at: Instant,
    pub is_poll: bool,
}

/// A worker of this zone.
#[derive(Debug, Clone)]
pub struct Worker {
    /// Identity of the worker.
    pub id: Id,
    /// Name in the VM list.
    pub name: String,
    /// Address for control calls and requests.
    pub address: SocketAddr,
    /// Number of the highest instance that is known to run under the worker's name.
    pub instance: u64,
    /// Rack according to the VM list.
    pub rack: String,
    /// Name of the worker's pool.
    pub pool_name: String,
    /// Pool in the plan in force; `None` if the plan lacks it.
    pub pool: Option<pool::Key>,
    /// Capacity, as the plan declares it for the pool.
    pub size: Size,
    /// Largest number of concurrent connections that the worker accepts.
    pub connections: u16,
    /// Cell that the worker belongs to.
    pub cell: cell::Id,
    /// Time since which the VM list lacks the worker; `None` while it lists it.
    pub absent_since: Option<Instant>,
    /// Whether the platform or an operator is about to remove the worker.
    pub leaving: bool,
    /// Control lease.
    pub lease: Lease,
    /// Time since which the worker has reported batch work of another cell; `None` if its last report listed none.
    pub foreign_since: Option<Instant>,
    /// Reservations for all work that may be on the worker.
    pub reservations: Map<Work, Reservation>,
    /// Sum of the reserved sizes.
    pub used: Size,
    /// Different tasks that failed here since the last success or quarantine.
    pub failed_tasks: Vec<task::Id>,
    /// Time until which the worker gets no batch tasks; `None` if this instance was never quarantined.
    pub quarantined_until: Option<Instant>,
    outbox: Vec<Command>,
    pub(super) acknowledge: Vec<(Work, u32)>,
    pub(super) pending_calls: Map<u64, PendingCall>,
    sequence: u64,
    pub(super) is_polling: bool,
}

impl Worker {
    /// Capacity without the reserved resources.
    pub fn free_capacity(&self) -> Size {
        self.size.saturating_sub(self.used)
    }

    /// Whether this process holds the worker's lease at `now`.
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

    /// Share of the worker's cores that is reserved for batch tasks, in percent.
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

    /// Workers of one cell.
    pub fn in_cell(&self, cell: cell::Id) -> impl Iterator<Item = (Key, &Worker)> {
        self.arena.iter().filter(move |(_, worker)| worker.cell == cell)
    }

    fn keys_in_cell(&self, cell: cell::Id) -> Vec<Key> {
        self.in_cell(cell).map(|(key, _)| key).collect()
    }
}

/// Absence from the VM list after which a worker counts as removed. A reading of the list can be older than the one
/// before it, so a short absence does not prove that the VM is gone.
pub const ABSENCE_TIMEOUT: Duration = Duration::from_secs(60);

/// Updates the workers of the zone from a reading of the VM list.
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
        foreign_since: None,
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
        record(out, Subject::Worker(id), "worker-leaving", "the VM list marks the worker as leaving");
        place::schedule_pass_by_id(state, cell);
    }
}

/// Looks up pools, capacities and cells of all workers in a changed plan.
pub(crate) fn plan_changed(state: &mut State) {
    let keys: Vec<Key> = state.workers.arena.keys().collect();
    for key in keys {
        resolve(state, key);
        start_polling(state, key);
    }
}

/// Looks up the pool, capacity and cell of a worker in the plan.
fn resolve(state: &mut State, key: Key) {
    let plan = state.config.plan.clone();
    let Some(worker) = state.workers.get_mut(key) else { return };
    let Some((_, zone)) = plan.zone(state.me.zone) else { return };
    let cell = plan.cell_of_worker(zone, worker.id.0);
    // A worker with reservations stays in the cell that its tasks belong to.
    if worker.reservations.is_empty() {
        worker.cell = cell;
    }
    let pool = plan.pool(&worker.pool_name);
    worker.pool = pool.map(|(key, _)| key);
    worker.size = pool.map(|(_, pool)| pool.size).unwrap_or_default();
    worker.connections = pool.map_or(0, |(_, pool)| pool.connections);
}

/// Handles a newer instance of the worker: drops the lease and the reservations of work on earlier instances.
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

/// Drops the reservations of work on instances of the worker before `instance`, which no longer runs.
///
/// A previous owner can assign tasks to `instance` itself before this process learns of that instance; those tasks keep
/// their reservations. Only the owner may append to the log that a task is lost, so other roles keep the reservations
/// of all batch tasks.
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
            Work::Batch(task) => task::propose_lost(state, cell, task, reservation.attempt),
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

/// Removes workers that were absent from the VM list for longer than [`ABSENCE_TIMEOUT`], with their reservations. A
/// worker stays while reservations of batch tasks remain.
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

/// Starts polling the workers of a cell that this process begins to act for.
pub(crate) fn cell_gained(state: &mut State, cell: cell::Id) {
    for key in state.workers.keys_in_cell(cell) {
        start_polling(state, key);
    }
}

/// Resets the leases of a cell's workers after this process became the owner, so that it claims them under its epoch.
pub(crate) fn owner_changed(state: &mut State, cell: cell::Key) {
    let Some(id) = state.cells.get(cell).map(|cell| cell.id) else { return };
    for key in state.workers.keys_in_cell(id) {
        if let Some(worker) = state.workers.get_mut(key) {
            let Lease { clock_reading, needs_inquiry, .. } = worker.lease;
            worker.lease = Lease { clock_reading, needs_inquiry, ..Lease::default() };
        }
        start_polling(state, key);
    }
}

/// Drops the leases, reservations and pending calls of the workers of a cell that this process no longer acts for.
pub(crate) fn cell_lost(state: &mut State, cell: cell::Id) {
    for key in state.workers.keys_in_cell(cell) {
        let Some(worker) = state.workers.get_mut(key) else { continue };
        worker.lease = Lease::default();
        worker.reservations.clear();
        worker.used = Size::default();
        worker.outbox.clear();
        worker.acknowledge.clear();
        worker.pending_calls.clear();
        // The reply to a poll in flight is ignored now that its call is dropped, so it schedules no further poll.
        worker.is_polling = false;
    }
}

/// Releases the leases that this process holds on the workers of a cell.
pub(crate) fn release_leases(state: &mut State, cell: cell::Id, out: &mut Vec<Effect>) {
    for key in state.workers.keys_in_cell(cell) {
        let now = state.now;
        if state.workers.get(key).is_some_and(|worker| worker.is_held(now)) {
            release_lease(state, key, out);
        }
    }
}

/// Releases the lease of a worker that this process holds.
pub(super) fn release_lease(state: &mut State, key: Key, out: &mut Vec<Effect>) {
    let Some(worker) = state.workers.get(key) else { return };
    let until_ms = worker.lease.requested_until_ms;
    send(state, key, CallOptions { until_ms, release: true, ..CallOptions::default() }, out);
}

/// Starts polling a worker unless that is under way, if this process acts for the worker's cell.
fn start_polling(state: &mut State, key: Key) {
    let now = state.now;
    let Some(worker) = state.workers.get_mut(key) else { return };
    let is_own_cell = state.cells.key(worker.cell).is_some();
    if is_own_cell && !worker.is_polling {
        worker.is_polling = true;
        state.timers.set(now, Timer::RenewLease(key));
    }
}

pub(super) fn schedule_poll(state: &mut State, key: Key, wait: Duration) {
    state.timers.set(state.now + wait, Timer::RenewLease(key));
}

/// The parts of a control call that depend on its purpose.
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
    // A claim that is sent late only results in a shorter lease. Commands require that the lease is still held when
    // they are written to the connection.
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

/// Reserves resources on a worker for a unit of work.
pub(crate) fn reserve(state: &mut State, key: Key, work: Work, reservation: Reservation) {
    let Some(worker) = state.workers.get_mut(key) else { return };
    if worker.reservations.insert(work, reservation).is_none() {
        worker.used += reservation.size;
    }
}

/// Reserves resources for work that the log assigns to a worker, which the VM list may no longer contain.
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

/// Whether a unit of work has a reservation on instance `instance` of a worker.
pub(crate) fn is_reserved(state: &State, id: Id, instance: u64, work: Work) -> bool {
    let worker = state.workers.key(id).and_then(|key| state.workers.get(key));
    worker.is_some_and(|worker| worker.instance == instance && worker.reservations.contains_key(&work))
}

/// Removes the reservation of a unit of work.
pub(crate) fn unreserve(state: &mut State, id: Id, work: Work) {
    let Some(worker) = state.workers.key(id).and_then(|key| state.workers.get_mut(key)) else { return };
    if let Some(reservation) = worker.reservations.remove(&work) {
        worker.used -= reservation.size;
    }
}

/// Sets the size of a unit of work's reservation, which was not known when the work was reserved.
pub(crate) fn resize(state: &mut State, id: Id, work: Work, size: Size) {
    let Some(worker) = state.workers.key(id).and_then(|key| state.workers.get_mut(key)) else { return };
    if let Some(reservation) = worker.reservations.get_mut(&work) {
        worker.used -= reservation.size;
        worker.used += size;
        reservation.size = size;
    }
}

/// Queues a command for the next call to a worker.
pub(crate) fn queue_command(state: &mut State, id: Id, command: Command) {
    let Some(key) = state.workers.key(id) else { return };
    if let Some(worker) = state.workers.get_mut(key) {
        worker.outbox.push(command);
        state.workers.dirty.push(key);
    }
}

/// Queues the acknowledgement of a result that is stored, after which the worker may forget it.
pub(crate) fn acknowledge(state: &mut State, id: Id, work: Work, attempt: u32) {
    let Some(key) = state.workers.key(id) else { return };
    if let Some(worker) = state.workers.get_mut(key) {
        worker.acknowledge.push((work, attempt));
        state.workers.dirty.push(key);
    }
}

/// Sends queued commands and acknowledgements in one call per worker.
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
        match command {
            Command::Start(start) => {
                if let Some(reservation) = worker.reservations.get_mut(&start.work) {
                    reservation.start_sequence = sequence;
                }
            }
            Command::Stop { work, .. } => {
                if let Some(reservation) = worker.reservations.get_mut(work) {
                    reservation.stop_sequence = sequence;
                }
            }
            Command::Throttle { .. } => {}
        }
    }
    if !worker.is_held(now) {
        // Reconciliation after the next lease grant repeats the starts and the stops.
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
