//! Workers and their control leases.
//!
//! The worker is the arbiter of its lease; this module keeps the holder's side of it. Everything that may be on a worker
//! counts as its load until the worker, the VM list or the lapse of the lease proves that it is gone.

use std::net::SocketAddr;
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

use super::cell::{self, Role};
use super::control::{Call, Command, Ended, Outcome, Reply, Running, Status, Work};
use super::effect::Effect;
use super::listing::{Kind, Vm};
use super::state::{State, record};
use super::task::Stage;
use super::time::Instant;
use super::timer::Timer;
use super::trace::Subject;
use super::tuning::Tuning;
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

/// A reading of a worker's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Reading {
    sent: Instant,
    received: Instant,
    clock_ms: u64,
}

/// The holder's side of a control lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Lease {
    /// When the lease ends for this process, if it holds one.
    pub safe_end: Option<Instant>,
    /// Whether it is held as caretaker.
    pub is_caretaker: bool,
    /// Epoch it is held under.
    pub epoch: u64,
    /// Whether the lease ended without an answer; an inquiry comes first then, since the instance may be another one.
    is_silent: bool,
    reading: Option<Reading>,
    /// Latest end that was ever asked for, in the worker's clock.
    until_ms: u64,
}

/// Longest time that `span` of another clock can take.
fn stretch(span: Duration, tuning: &Tuning) -> Duration {
    span + span * tuning.drift_per_mille as u32 / 1000
}

/// Shortest time that `span` of another clock can take.
fn shrink(span: Duration, tuning: &Tuning) -> Duration {
    span * 1000 / (1000 + tuning.drift_per_mille as u32)
}

impl Reading {
    /// Highest value that the worker's clock can have at `now`, in milliseconds.
    fn latest_clock_ms(&self, now: Instant, tuning: &Tuning) -> u64 {
        self.clock_ms + stretch(now.since(self.sent), tuning).as_millis() as u64 + 1
    }
}

/// A call in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Sent {
    at: Instant,
    is_poll: bool,
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
    acknowledge: Vec<(Work, u32)>,
    calls: Map<u64, Sent>,
    sequence: u64,
    is_polling: bool,
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

/// Shortest interval between two polls of a worker.
const POLL_SPACING: Duration = Duration::from_millis(20);

/// Wait after a lost or refused poll.
const POLL_RETRY: Duration = Duration::from_millis(500);

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
    if worker.load.is_empty() {
        worker.cell = cell;
    }
    let pool = plan.pool(&worker.pool_name);
    worker.pool = pool.map(|(key, _)| key);
    worker.size = pool.map(|(_, pool)| pool.size).unwrap_or_default();
    worker.connections = pool.map_or(0, |(_, pool)| pool.connections);
}

/// Another instance runs under the worker's name: all earlier work is gone.
fn replaced(state: &mut State, key: Key, instance: u64, out: &mut Vec<Effect>) {
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
            Work::Batch(task) => task::lost(state, cell, task, load.attempt),
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
        state.timers.set(now, Timer::Renew(key));
    }
}

fn poll_later(state: &mut State, key: Key, wait: Duration) {
    state.timers.set(state.now + wait, Timer::Renew(key));
}

/// What differs between calls.
#[derive(Debug, Clone, Default)]
struct Draft {
    epoch: Option<u64>,
    is_caretaker: bool,
    until_ms: u64,
    release: bool,
    wait: Duration,
    acknowledge: Vec<(Work, u32)>,
    commands: Vec<Command>,
    is_poll: bool,
}

fn send(state: &mut State, key: Key, draft: Draft, out: &mut Vec<Effect>) {
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

/// Renews or claims the lease of a worker, or asks how it stands.
pub(crate) fn renew(state: &mut State, key: Key, out: &mut Vec<Effect>) {
    expire(state, key, out);
    let Some(worker) = state.workers.get_mut(key) else { return };
    let Some(cell) = state.cells.key(worker.cell).and_then(|cell| state.cells.get(cell)) else {
        worker.is_polling = false;
        return;
    };
    if worker.calls.values().any(|sent| sent.is_poll) {
        return;
    }
    let is_held = worker.is_held(state.now);
    let claims = is_held || (cell.role == Role::Owner && !worker.lease.is_silent);
    let draft = match worker.lease.reading {
        Some(reading) if claims => claim(worker, reading, state.now, &state.tuning),
        _ => Draft { is_poll: true, ..Draft::default() },
    };
    send(state, key, draft, out);
}

/// A claim or renewal, based on a reading of the worker's clock.
fn claim(worker: &mut Worker, reading: Reading, now: Instant, tuning: &Tuning) -> Draft {
    /// Age after which a reading is refreshed by a call without a wait, since its error grows with the drift.
    const READING_AGE: Duration = Duration::from_secs(20);
    let is_held = worker.is_held(now);
    let waits = is_held && now.since(reading.received) < READING_AGE;
    let lease = worker.lease;
    Draft {
        until_ms: reading.latest_clock_ms(now, tuning) + tuning.worker_lease.as_millis() as u64,
        is_caretaker: lease.is_caretaker,
        epoch: lease.is_caretaker.then_some(lease.epoch),
        wait: if waits { tuning.renew_interval } else { Duration::ZERO },
        acknowledge: if is_held { std::mem::take(&mut worker.acknowledge) } else { Vec::new() },
        is_poll: true,
        ..Draft::default()
    }
}

/// Ends a lease that reached its safe end.
fn expire(state: &mut State, key: Key, out: &mut Vec<Effect>) {
    let now = state.now;
    let Some(worker) = state.workers.get_mut(key) else { return };
    if worker.lease.safe_end.is_none_or(|end| now < end) {
        return;
    }
    worker.lease.safe_end = None;
    worker.lease.is_silent = true;
    record(out, Subject::Worker(worker.id), "lease-lapsed", "no answer to the renewals");
    let cell = worker.cell;
    place::schedule_id(state, cell);
}

/// Takes over a worker's answer.
pub(crate) fn answered(
    state: &mut State,
    key: Key,
    sequence: u64,
    reply: Option<Reply>,
    out: &mut Vec<Effect>,
) {
    let now = state.now;
    let Some(worker) = state.workers.get_mut(key) else { return };
    let Some(sent) = worker.calls.remove(&sequence) else { return };
    let Some(reply) = reply.filter(|reply| reply.instance >= worker.instance) else {
        if sent.is_poll {
            poll_later(state, key, POLL_RETRY);
        }
        return;
    };
    if reply.instance > worker.instance {
        replaced(state, key, reply.instance, out);
    }
    read_clock(state, key, sent, &reply);
    let wait = match reply.status {
        Status::Granted => {
            granted(state, key, sequence, reply, out);
            POLL_SPACING.saturating_sub(now.since(sent.at))
        }
        Status::Inquiry => inquired(state, key, &reply, out),
        Status::Repeated => Duration::ZERO,
        Status::Held => refused(state, key),
        Status::Stale => stale(state, key, reply.epoch, out),
    };
    if sent.is_poll {
        poll_later(state, key, wait);
    }
}

/// Keeps the reading that bounds the worker's clock best.
fn read_clock(state: &mut State, key: Key, sent: Sent, reply: &Reply) {
    let (now, tuning) = (state.now, state.tuning);
    let Some(worker) = state.workers.get_mut(key) else { return };
    let reading = Reading { sent: sent.at, received: now, clock_ms: reply.clock_ms };
    let latest = |reading: &Reading| reading.latest_clock_ms(now, &tuning);
    if worker.lease.reading.is_none_or(|best| latest(&reading) <= latest(&best)) {
        worker.lease.reading = Some(reading);
    }
}

fn granted(state: &mut State, key: Key, sequence: u64, reply: Reply, out: &mut Vec<Effect>) {
    let (now, tuning) = (state.now, state.tuning);
    let Some(worker) = state.workers.get_mut(key) else { return };
    let lease = &mut worker.lease;
    lease.is_silent = false;
    if let Some(reading) = lease.reading {
        let left = Duration::from_millis(reply.lease_until_ms.saturating_sub(reading.clock_ms));
        let end = reading.sent + shrink(left, &tuning) - tuning.margin;
        lease.safe_end = (end > now).then_some(end);
    }
    reconcile(state, key, sequence, &reply, out);
}

/// The worker told how its lease stands. Returns the wait before the next poll.
fn inquired(state: &mut State, key: Key, reply: &Reply, out: &mut Vec<Effect>) -> Duration {
    let role = state.workers.get(key).and_then(|worker| state.cells.key(worker.cell));
    let role = role.and_then(|cell| state.cells.get(cell)).map(|cell| cell.role);
    let Some(worker) = state.workers.get_mut(key) else { return POLL_RETRY };
    worker.lease.is_silent = false;
    let is_free = reply.lease_until_ms <= reply.clock_ms;
    match role {
        Some(Role::Owner) => Duration::ZERO,
        Some(Role::Caretaker) if is_free => {
            worker.lease.is_caretaker = true;
            worker.lease.epoch = reply.epoch;
            let cell = worker.cell;
            raise_epoch(state, cell, reply.epoch);
            let Some(worker) = state.workers.get_mut(key) else { return POLL_RETRY };
            if let Some(reading) = worker.lease.reading {
                let draft = claim(worker, reading, state.now, &state.tuning);
                send(state, key, draft, out);
            }
            POLL_RETRY
        }
        _ => POLL_RETRY,
    }
}

/// A caretaker publishes routes and grants under the epoch that the workers know.
fn raise_epoch(state: &mut State, cell: cell::Id, epoch: u64) {
    let Some(cell) = state.cells.key(cell).and_then(|cell| state.cells.get_mut(cell)) else { return };
    cell.worker_epoch = cell.worker_epoch.max(epoch);
}

/// Another holder has the lease. Returns the wait before the next poll.
fn refused(state: &mut State, key: Key) -> Duration {
    if let Some(worker) = state.workers.get_mut(key) {
        worker.lease.safe_end = None;
        worker.lease.is_caretaker = false;
    }
    POLL_RETRY
}

/// The worker saw a higher epoch: another member took the cell over.
fn stale(state: &mut State, key: Key, epoch: u64, out: &mut Vec<Effect>) -> Duration {
    refused(state, key);
    let Some(worker) = state.workers.get(key) else { return POLL_RETRY };
    let Some(cell) = state.cells.key(worker.cell) else { return POLL_RETRY };
    let is_owner = state.cells.get(cell).is_some_and(|c| c.role == Role::Owner && c.epoch < epoch);
    if is_owner {
        let reason = format!("worker {:x} saw epoch {epoch}", worker.id.0);
        cell::depose(state, cell, &reason, out);
    }
    POLL_RETRY
}

/// Compares what this process believes to be on the worker with what the worker says.
fn reconcile(state: &mut State, key: Key, sequence: u64, reply: &Reply, out: &mut Vec<Effect>) {
    let Some(worker) = state.workers.get(key) else { return };
    let Some(cell) = state.cells.key(worker.cell) else { return };
    for running in &reply.running {
        found(state, key, cell, running);
    }
    for ended in &reply.ended {
        finished(state, key, cell, ended, out);
    }
    let missing = missing(state, key, sequence, reply);
    for (work, load) in missing {
        absent(state, key, cell, work, load);
    }
    place::schedule(state, cell);
}

/// Work on the worker's list.
fn found(state: &mut State, key: Key, cell: cell::Key, running: &Running) {
    let Some(worker) = state.workers.get_mut(key) else { return };
    match worker.load.get_mut(&running.work) {
        Some(load) => load.is_confirmed = true,
        None => {
            let load = Load { size: running.size, attempt: running.attempt, sent: 0, is_confirmed: true };
            worker.load.insert(running.work, load);
            worker.used += running.size;
        }
    }
    match running.work {
        Work::Batch(id) => task_found(state, key, cell, id, running.attempt),
        Work::Replica(run) => replica::found(state, cell, key, run, running.service),
    }
}

fn task_found(state: &mut State, key: Key, cell: cell::Key, id: task::Id, attempt: u32) {
    let Some(home) = state.cells.get(cell) else { return };
    let (worker, is_owner) = (state.workers.get(key).map(|worker| worker.id), home.role == Role::Owner);
    let task = home.tasks.get(&id).copied().and_then(|task| state.tasks.get_mut(task));
    match task {
        Some(task) if task.is_assigned_to(worker, attempt) => {
            task.stage = if task.stage == Stage::Starting { Stage::Running } else { task.stage };
        }
        // The log does not say that the task runs here, so it must not go on.
        _ if is_owner => {
            let Some(worker) = worker else { return };
            command(state, worker, Command::Stop { work: Work::Batch(id), attempt, checkpoint: false });
        }
        _ => {}
    }
}

/// A unit of work ended.
fn finished(state: &mut State, key: Key, cell: cell::Key, ended: &Ended, out: &mut Vec<Effect>) {
    let Some(worker) = state.workers.get(key) else { return };
    let id = worker.id;
    match ended.work {
        Work::Replica(run) => {
            free(state, id, ended.work);
            acknowledge(state, id, ended.work, ended.attempt);
            replica::gone(state, cell, run);
        }
        Work::Batch(task) => {
            let Some(home) = state.cells.get(cell).filter(|home| home.role == Role::Owner) else { return };
            let known = home.tasks.get(&task).copied().and_then(|task| state.tasks.get(task));
            if known.is_some_and(|known| known.is_assigned_to(Some(id), ended.attempt)) {
                judge(state, key, task, ended.outcome, out);
                task::reported(state, cell, task, ended.attempt, ended.outcome);
            } else {
                // The report can be repeated until it is acknowledged, when a later attempt has its room here.
                let worker = state.workers.get(key);
                let load = worker.and_then(|worker| worker.load.get(&ended.work));
                if load.is_some_and(|load| load.attempt == ended.attempt) {
                    free(state, id, ended.work);
                }
                acknowledge(state, id, ended.work, ended.attempt);
            }
        }
    }
}

/// Takes a worker that fails everything out of batch placement for a while.
fn judge(state: &mut State, key: Key, task: task::Id, outcome: Outcome, out: &mut Vec<Effect>) {
    let (now, tuning) = (state.now, state.tuning);
    let Some(worker) = state.workers.get_mut(key) else { return };
    match outcome {
        Outcome::Finished => worker.failures.clear(),
        Outcome::Failed if !worker.failures.contains(&task) => worker.failures.push(task),
        _ => {}
    }
    let (id, cell) = (worker.id, worker.cell);
    if worker.failures.len() < tuning.quarantine_failures as usize {
        return;
    }
    let total = state.workers.of(cell).count();
    let is_out = |worker: &Worker| worker.quarantined.is_some_and(|until| now < until);
    let others = state.workers.of(cell).filter(|(other, worker)| *other != key && is_out(worker)).count();
    // A small cell may still lose one worker to this rule, as long as another one remains.
    let most = (total * tuning.quarantine_percent as usize / 100).max(1).min(total.saturating_sub(1));
    if others >= most {
        return;
    }
    if let Some(worker) = state.workers.get_mut(key).filter(|worker| !is_out(worker)) {
        worker.quarantined = Some(now + tuning.quarantine);
        worker.failures.clear();
        let reason = format!("{} tasks failed with no success between", tuning.quarantine_failures);
        record(out, Subject::Worker(id), "quarantine", reason);
    }
}

/// Load that the worker does not list, although the call that started it came before this reply.
fn missing(state: &State, key: Key, sequence: u64, reply: &Reply) -> Vec<(Work, Load)> {
    let Some(worker) = state.workers.get(key) else { return Vec::new() };
    let is_listed = |work: &Work| {
        reply.running.iter().any(|running| running.work == *work)
            || reply.ended.iter().any(|ended| ended.work == *work)
    };
    let mut missing: Vec<(Work, Load)> = worker
        .load
        .iter()
        .filter(|(work, load)| load.sent < sequence && !is_listed(work))
        .map(|(work, load)| (*work, *load))
        .collect();
    missing.sort_unstable_by_key(|(work, _)| *work);
    missing
}

/// The worker surely does not have this work: a start that was not executed is repeated, all else is gone.
fn absent(state: &mut State, key: Key, cell: cell::Key, work: Work, load: Load) {
    let Some((id, instance)) = state.workers.get(key).map(|worker| (worker.id, worker.instance)) else {
        return;
    };
    match work {
        Work::Replica(run) => {
            free(state, id, work);
            replica::gone(state, cell, run);
        }
        Work::Batch(task) => {
            let Some(home) = state.cells.get(cell).filter(|home| home.role == Role::Owner) else { return };
            let Some(known) = home.tasks.get(&task).copied() else { return free(state, id, work) };
            let Some(found) = state.tasks.get(known) else { return };
            let is_same = found.is_assigned_at(id, instance);
            match found.stage {
                // An `Assign` that waits for the log reserves room without a start.
                Stage::Proposed(_) | Stage::Reported => {}
                Stage::Starting if !load.is_confirmed && is_same => task::send_start(state, known),
                _ => task::lost(state, cell, task, load.attempt),
            }
        }
    }
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
