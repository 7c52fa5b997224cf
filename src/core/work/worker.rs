//! Workers: what they report, what their leases allow, and what runs on them.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use slotmap::SlotMap;

use super::spec::Resources;
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
pub enum Standing {
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
    pub standing: Standing,
    /// What it holds, if it says so.
    pub capacity: Option<Resources>,
    /// Its kind, and its rack.
    pub labels: Vec<String>,
    /// Start of its life in milliseconds since the Unix epoch.
    pub born: Option<u64>,
}

impl Report {
    /// Rack of the worker.
    pub fn rack(&self) -> Option<&str> {
        self.labels.get(1).map(String::as_str)
    }
}

/// Reading of a worker's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reading {
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
    pub reading: Option<Reading>,
    /// When everything that was ordered there has surely lapsed without another renewal.
    pub lapses: Instant,
    /// Whether the roster in the store has it.
    pub is_enrolled: bool,
    /// When it last answered an order of this term.
    pub answered: Option<Instant>,
    /// Since when it has not answered.
    pub silent_since: Option<Instant>,
    /// When the renewal in flight was sent.
    pub holding: Option<Instant>,
    /// When the next renewal is due.
    pub next_hold: Instant,
    /// When the earliest timer for a renewal is due.
    pub armed: Option<Instant>,
    /// Highest end that was read.
    pub seen: u64,
    /// Highest end that may be acknowledged.
    pub acknowledged: u64,
    /// Highest end whose acknowledgement the worker has confirmed.
    pub confirmed: u64,
    /// Highest end that the renewal in flight acknowledges.
    pub acknowledging: u64,
    /// Ends that wait for a commit: sequence of the commit, number of the end.
    pub unacknowledged: VecDeque<(u64, u64)>,
    /// Runs that take room.
    pub runs: Vec<run::Key>,
    /// Room that the runs take.
    pub used: Resources,
    /// Processor time that serving runs reserve, in thousandths of a core.
    pub serving_cpu: u32,
    /// Filling runs.
    pub filling: u32,
    /// Runs with users of their own.
    pub serving: u32,
    /// Failed runs without a success between, by job.
    pub failures: Vec<super::spec::Id>,
    /// Until when it gets no new runs, after failures.
    pub suspect_until: Instant,
    /// When the pace of a run was changed last.
    pub paced_at: Instant,
    /// Before this no better place is looked for its slow filling runs.
    pub move_from: Instant,
    /// Processor time that the filling runs used at the last reading, by image.
    pub loads: Vec<image::Load>,
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
            reading: None,
            lapses: Instant::default(),
            is_enrolled: false,
            answered: None,
            silent_since: None,
            holding: None,
            next_hold: now,
            armed: None,
            seen: 0,
            acknowledged: 0,
            confirmed: 0,
            acknowledging: 0,
            unacknowledged: VecDeque::new(),
            runs: Vec::new(),
            used: Resources::default(),
            serving_cpu: 0,
            filling: 0,
            serving: 0,
            failures: Vec::new(),
            suspect_until: Instant::default(),
            paced_at: Instant::default(),
            move_from: Instant::default(),
            loads: Vec::new(),
        }
    }

    /// Free room; nothing while the capacity is not known.
    pub fn free(&self) -> Resources {
        self.report.as_ref().and_then(|report| report.capacity).unwrap_or_default().saturating_sub(self.used)
    }

    /// Processor time that is expected to be left for filling runs if none is there, in thousandths of a core.
    pub fn fillable(&self) -> i64 {
        let reserved = i64::from(self.serving_cpu) * SERVING_IDLE_PERCENT / 100;
        i64::from(self.free().cpu_millicores) + reserved
    }

    /// Whether new runs may be sent there.
    pub fn takes_work(&self, now: Instant) -> bool {
        let is_ready = self.report.as_ref().is_some_and(|report| report.standing == Standing::Ready);
        is_ready
            && self.is_listed
            && self.is_enrolled
            && self.answered.is_some()
            && self.reading.is_some()
            && self.silent_since.is_none()
            && self.suspect_until <= now
    }

    /// End of a lease of `length` from now on the worker's clock, and when it has surely lapsed on ours.
    pub fn lease(&self, now: Instant, length: Duration, margin: Duration) -> Option<(u64, Instant)> {
        let Reading { clock_ms, at } = self.reading?;
        let until_ms = clock_ms + (now.since(at) + length).as_millis() as u64;
        let span = Duration::from_millis(until_ms - clock_ms);
        let slow = span * (1000 + CLOCK_SLOW_PER_MILLE) as u32 / 1000;
        Some((until_ms, at + slow + margin))
    }

    /// Adds a run that takes room.
    pub fn attach(&mut self, run: run::Key, charged: Resources, share: run::Share) {
        self.runs.push(run);
        self.used = self.used.saturating_add(charged);
        self.filling += u32::from(share.filling_cpu > 0);
        self.serving += u32::from(share.serves);
        self.serving_cpu += if share.serves { charged.cpu_millicores } else { 0 };
    }

    /// Removes a run and gives its room back.
    pub fn detach(&mut self, run: run::Key, charged: Resources, share: run::Share) {
        self.runs.retain(|other| *other != run);
        self.used = self.used.saturating_sub(charged);
        self.filling -= u32::from(share.filling_cpu > 0);
        self.serving -= u32::from(share.serves);
        self.serving_cpu -= if share.serves { charged.cpu_millicores } else { 0 };
    }

    /// Forgets what belonged to an earlier life.
    pub fn rebirth(&mut self, born: Option<u64>) {
        self.born = born;
        self.seen = 0;
        self.acknowledged = 0;
        self.confirmed = 0;
        self.unacknowledged.clear();
        self.failures.clear();
        self.loads.clear();
        self.reading = None;
        self.suspect_until = Instant::default();
    }

    /// Highest end to acknowledge now; 0 for none.
    ///
    /// A worker that starts anew numbers its ends from 1 again, so an old number could make it forget ends that nobody
    /// has read. It is sent only right after the ends were read, and never after a call without an answer.
    pub fn next_acknowledgement(&self) -> u64 {
        let is_due = self.acknowledged > self.confirmed && self.silent_since.is_none();
        if is_due { self.acknowledged } else { 0 }
    }

    /// Notes a reading of the worker's clock.
    pub fn read_clock(&mut self, clock_ms: Option<u64>, at: Instant) {
        if let Some(clock_ms) = clock_ms {
            self.reading = Some(Reading { clock_ms, at });
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
    pub waiting: Vec<Key>,
    /// When everything on them has lapsed.
    pub until: Instant,
}

impl Table {
    /// The worker with this identity, added if it is new.
    pub fn enter(&mut self, id: &str, address: SocketAddr, now: Instant) -> Key {
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
    pub fn reached(&mut self, key: Key) {
        if let Some(gate) = &mut self.gate {
            gate.waiting.retain(|other| *other != key);
        }
    }

    /// Whether tasks of an earlier term may still run unseen; opens the gate when that is over.
    pub fn is_gated(&mut self, now: Instant) -> bool {
        if self.gate.as_ref().is_some_and(|gate| gate.waiting.is_empty() || gate.until <= now) {
            self.gate = None;
        }
        self.gate.is_some()
    }
}
