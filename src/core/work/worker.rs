//! Workers: what they report, what their leases allow, and what runs on them.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use slotmap::SlotMap;

use super::spec::Room;
use super::{image, run};
use crate::core::time::Instant;
use crate::hash::Map;

slotmap::new_key_type! {
    /// A worker.
    pub struct Key;
}

/// Rate by which a worker's clock may be slow, in thousandths.
const CLOCK_SLOW_PER_MILLE: u64 = 20;

/// Part of what serving runs reserve that they leave unused at a usual load, in percent.
const SERVING_IDLE_PERCENT: i64 = 50;

/// Whether a worker takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// It does.
    Ready,
    /// It leaves soon.
    Draining,
}

/// What a worker reports about itself in the store.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// Service that it works for.
    pub service: String,
    /// Address for orders.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Whether it takes new work.
    pub readiness: Readiness,
    /// What it holds, if it says so.
    pub capacity: Option<Room>,
    /// Its kind, and its rack.
    pub labels: Vec<String>,
    /// Start of its life in milliseconds since the Unix epoch.
    pub started_unix_ms: Option<u64>,
}

impl Report {
    /// Rack of the worker.
    pub fn rack(&self) -> Option<&str> {
        self.labels.get(1).map(String::as_str)
    }
}

/// Reading of a worker's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockReading {
    /// The worker's clock in milliseconds.
    pub clock_ms: u64,
    /// When the answer arrived.
    pub at: Instant,
}

/// A worker.
#[derive(Debug, Clone)]
pub struct Worker {
    /// Identity.
    pub id: String,
    /// Address for orders.
    pub address: SocketAddr,
    /// Newest report; `None` while it is known from the roster only.
    pub report: Option<Report>,
    /// Whether the store lists it.
    pub is_listed: bool,
    /// Life that answered last.
    pub born: Option<u64>,
    /// Newest reading of its clock.
    pub clock_reading: Option<ClockReading>,
    /// When everything that was ordered there has surely lapsed without another renewal.
    pub leases_lapse_at: Instant,
    /// Whether the roster in the store has it.
    pub is_enrolled: bool,
    /// When it last answered an order of this term.
    pub last_answer_at: Option<Instant>,
    /// Since when it has not answered.
    pub silent_since: Option<Instant>,
    /// When the renewal in flight was sent.
    pub renewal_sent_at: Option<Instant>,
    /// When the next renewal is due.
    pub next_renewal_at: Instant,
    /// When the earliest timer for a renewal is due.
    pub renewal_timer_at: Option<Instant>,
    /// Highest end that was read.
    pub last_end_read: u64,
    /// Highest end that may be acknowledged.
    pub durable_end: u64,
    /// Highest end whose acknowledgement the worker has confirmed.
    pub confirmed_end: u64,
    /// Highest end that the renewal in flight acknowledges.
    pub acknowledging_end: u64,
    /// Ends that wait for a commit: sequence of the commit, number of the end.
    pub pending_acknowledgements: VecDeque<(u64, u64)>,
    /// Runs that take room.
    pub runs: Vec<run::Key>,
    /// Room that the runs take.
    pub used_room: Room,
    /// Processor time that serving runs reserve, in thousandths of a core.
    pub serving_cpu: u32,
    /// Filling runs.
    pub filling_runs: u32,
    /// Runs with users of their own.
    pub serving_runs: u32,
    /// Failed runs without a success between, by job.
    pub failed_jobs: Vec<super::spec::Id>,
    /// Until when it gets no new runs, after failures.
    pub suspect_until: Instant,
    /// When the pace of a run was changed last.
    pub pace_changed_at: Instant,
    /// Before this no better place is looked for its slow filling runs.
    pub next_move_at: Instant,
    /// Processor time that the filling runs used at the last reading, by image.
    pub filling_usage: Vec<image::Usage>,
}

impl Worker {
    /// A worker that was never called.
    pub fn new(id: String, address: SocketAddr, now: Instant) -> Self {
        Self {
            id,
            address,
            report: None,
            is_listed: false,
            born: None,
            clock_reading: None,
            leases_lapse_at: Instant::default(),
            is_enrolled: false,
            last_answer_at: None,
            silent_since: None,
            renewal_sent_at: None,
            next_renewal_at: now,
            renewal_timer_at: None,
            last_end_read: 0,
            durable_end: 0,
            confirmed_end: 0,
            acknowledging_end: 0,
            pending_acknowledgements: VecDeque::new(),
            runs: Vec::new(),
            used_room: Room::default(),
            serving_cpu: 0,
            filling_runs: 0,
            serving_runs: 0,
            failed_jobs: Vec::new(),
            suspect_until: Instant::default(),
            pace_changed_at: Instant::default(),
            next_move_at: Instant::default(),
            filling_usage: Vec::new(),
        }
    }

    /// Free room; nothing while the capacity is not known.
    pub fn free_room(&self) -> Room {
        self.report.as_ref().and_then(|report| report.capacity).unwrap_or_default().without(self.used_room)
    }

    /// Processor time that is expected to be left for filling runs if none is there, in thousandths of a core.
    pub fn fillable_cpu(&self) -> i64 {
        let reserved = i64::from(self.serving_cpu) * SERVING_IDLE_PERCENT / 100;
        i64::from(self.free_room().cpu) + reserved
    }

    /// Whether new runs may be sent there.
    pub fn is_schedulable(&self, now: Instant) -> bool {
        let is_ready = self.report.as_ref().is_some_and(|report| report.readiness == Readiness::Ready);
        is_ready
            && self.is_listed
            && self.is_enrolled
            && self.last_answer_at.is_some()
            && self.clock_reading.is_some()
            && self.silent_since.is_none()
            && self.suspect_until <= now
    }

    /// End of a lease of `length` from now on the worker's clock, and when it has surely lapsed on ours.
    pub fn compute_lease(&self, now: Instant, length: Duration, margin: Duration) -> Option<(u64, Instant)> {
        let ClockReading { clock_ms, at } = self.clock_reading?;
        let until_ms = clock_ms + (now.since(at) + length).as_millis() as u64;
        let span = Duration::from_millis(until_ms - clock_ms);
        let longest = span * (1000 + CLOCK_SLOW_PER_MILLE) as u32 / 1000;
        Some((until_ms, at + longest + margin))
    }

    /// Adds a run that takes room.
    pub fn add_run(&mut self, run: run::Key, charged: Room, share: run::Profile) {
        self.runs.push(run);
        self.used_room = self.used_room.with(charged);
        self.filling_runs += u32::from(share.filling_cpu > 0);
        self.serving_runs += u32::from(share.serves);
        self.serving_cpu += if share.serves { charged.cpu } else { 0 };
    }

    /// Removes a run and gives its room back.
    pub fn remove_run(&mut self, run: run::Key, charged: Room, share: run::Profile) {
        self.runs.retain(|other| *other != run);
        self.used_room = self.used_room.without(charged);
        self.filling_runs -= u32::from(share.filling_cpu > 0);
        self.serving_runs -= u32::from(share.serves);
        self.serving_cpu -= if share.serves { charged.cpu } else { 0 };
    }

    /// Forgets what belonged to an earlier life.
    pub fn reset_for_restart(&mut self, born: Option<u64>) {
        self.born = born;
        self.last_end_read = 0;
        self.durable_end = 0;
        self.confirmed_end = 0;
        self.pending_acknowledgements.clear();
        self.failed_jobs.clear();
        self.filling_usage.clear();
        self.clock_reading = None;
        self.suspect_until = Instant::default();
    }

    /// Highest end to acknowledge now; 0 for none.
    ///
    /// A worker that starts anew numbers its ends from 1 again, so an old number could make it forget ends that nobody
    /// has read. It is sent only right after the ends were read, and never after a call without an answer.
    pub fn next_acknowledgement(&self) -> u64 {
        let is_due = self.durable_end > self.confirmed_end && self.silent_since.is_none();
        if is_due { self.durable_end } else { 0 }
    }

    /// Notes a reading of the worker's clock.
    pub fn record_clock(&mut self, clock_ms: Option<u64>, at: Instant) {
        if let Some(clock_ms) = clock_ms {
            self.clock_reading = Some(ClockReading { clock_ms, at });
        }
    }
}

/// Workers of the deployment.
#[derive(Debug, Clone, Default)]
pub struct Table {
    /// Workers.
    pub all: SlotMap<Key, Worker>,
    /// Workers by identity.
    pub by_id: Map<String, Key>,
    /// Whether the roster in the store lacks a worker.
    pub is_roster_stale: bool,
    /// Until when records of earlier terms may still run somewhere unseen.
    pub gate: Option<Gate>,
}

/// Wait for the workers of an earlier term.
///
/// An earlier leader may have started tasks on workers that this process has not reached yet. Tasks that were accepted
/// before this term, and are seen nowhere, start only when every such worker has answered, or when everything there has
/// lapsed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Gate {
    /// Workers without an answer.
    pub unreached: Vec<Key>,
    /// When everything on them has lapsed.
    pub until: Instant,
}

impl Table {
    /// The worker with this identity, added if it is new.
    pub fn get_or_insert(&mut self, id: &str, address: SocketAddr, now: Instant) -> Key {
        if let Some(key) = self.by_id.get(id) {
            return *key;
        }
        let key = self.all.insert(Worker::new(id.to_owned(), address, now));
        self.by_id.insert(id.to_owned(), key);
        key
    }

    /// Forgets a worker.
    pub fn remove(&mut self, key: Key) {
        if let Some(worker) = self.all.remove(key) {
            self.by_id.remove(&worker.id);
        }
    }

    /// Notes that nothing of an earlier term is hidden on a worker.
    pub fn mark_reached(&mut self, key: Key) {
        if let Some(gate) = &mut self.gate {
            gate.unreached.retain(|other| *other != key);
        }
    }

    /// Whether tasks of an earlier term may still run unseen; opens the gate when that is over.
    pub fn is_gated(&mut self, now: Instant) -> bool {
        if self.gate.as_ref().is_some_and(|gate| gate.unreached.is_empty() || gate.until <= now) {
            self.gate = None;
        }
        self.gate.is_some()
    }
}
