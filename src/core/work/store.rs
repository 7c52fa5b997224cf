//! Calls to the platform's key-value store: typed keys and values, conditional transactions, leases and watches.

use std::net::SocketAddr;
use std::time::Duration;

use super::config::Config;
use super::image::Estimates;
use super::request::Phase;
use super::spec::{Id, Name, Spec};
use super::worker::Report;
use crate::declare::zone;

/// Number of a store call; unique within a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Call(pub u64);

/// Modification revision of a key, or revision of the whole store; 0 for a key that does not exist.
pub type Revision = u64;

/// A key that the scheduler writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Key {
    /// The current leader; bound to a lease.
    Leader,
    /// The leader of the highest term; not bound to a lease.
    Term,
    /// The relay of an availability zone; not bound to a lease.
    Relay(zone::Id),
    /// Identity of the latest commit.
    Tip,
    /// Workers that may run tasks.
    Roster,
    /// Image estimates.
    Images,
    /// Record of an accepted job that has not ended.
    Job(Id),
    /// Progress of a job.
    Progress(Id),
}

/// Value of a [`Key`].
#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    /// Value of [`Key::Leader`] and [`Key::Term`].
    Leader(Leader),
    /// Value of [`Key::Relay`].
    Relay(Relay),
    /// Value of [`Key::Tip`].
    Tip(Tip),
    /// Value of [`Key::Roster`].
    Roster(Roster),
    /// Value of [`Key::Images`].
    Images(Estimates),
    /// Value of [`Key::Job`].
    Job(Box<Record>),
    /// Value of [`Key::Progress`].
    Progress(Progress),
}

/// What each commit writes.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Tip {
    /// Random number of the commit.
    pub write: u64,
    /// Orders to start that may be sent, or may be carried out, after the commit. Those in the progress of a job may be left out.
    pub starts: Vec<Start>,
}

/// An order to start a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Start {
    /// The task.
    pub task: Name,
    /// Identity of the worker.
    pub worker_id: String,
    /// Number of the run.
    pub number: u32,
}

/// The leader of one term.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Leader {
    /// Name of the leader's VM.
    pub vm: String,
    /// Address at which other entry VMs reach the leader.
    pub address: SocketAddr,
    /// Term, which increases with every leader.
    pub term: u64,
    /// Random number that distinguishes processes on the same VM.
    pub nonce: u64,
    /// CPU capacity of the VM in thousandths of a core; 0 if it is not known.
    pub cpu_millicores: u32,
}

/// The entry VM that reads large configurations for the others of its availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Relay {
    /// Name of the VM.
    pub vm: String,
    /// Address at which other entry VMs reach it.
    pub address: SocketAddr,
    /// CPU capacity of the VM in thousandths of a core; 0 if it is not known.
    pub cpu_millicores: u32,
    /// Round trip between the VM and the store.
    pub store_round_trip: Duration,
}

/// The workers that may run tasks.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Roster {
    /// The workers.
    pub members: Vec<Member>,
    /// Term of the leader that wrote it when it resigned; 0 if it was written otherwise.
    pub resigned_in: u64,
}

/// A worker that may run tasks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Identity of the worker.
    pub id: String,
    /// Address for orders.
    pub address: SocketAddr,
    /// The tasks that may run on it if it takes no new runs; `None` if any task may.
    pub remaining: Option<Vec<Name>>,
    /// Time until all leases there have expired, as of the resignation of the leader; `None` if it is not known.
    pub wait: Option<Duration>,
}

/// Stored record of an accepted job.
#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    /// Name of the queue.
    pub queue: String,
    /// Service of the queue when the job was accepted; used if the queue is no longer configured.
    pub service: String,
    /// Job as submitted by the caller.
    pub spec: Spec,
    /// Time of acceptance in milliseconds since the Unix epoch.
    pub accepted_unix_ms: u64,
}

/// Stored progress of a job.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Progress {
    /// Phase; only a terminal phase is sure to be current.
    pub phase: Phase,
    /// Progress of the tasks that are done, have failed runs, or have orders to start without an answer.
    pub task_progress: Vec<TaskProgress>,
    /// Time of the end in milliseconds since the Unix epoch; 0 if the job has not ended.
    pub finished_unix_ms: u64,
    /// Whether an order to start a task of the ended job could still be carried out when this was written.
    pub has_late_start: bool,
}

/// Stored progress of one task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskProgress {
    /// Occurrence of the job, from 0.
    pub occurrence: u32,
    /// Number of the step, from 0.
    pub step: u32,
    /// Number of the task in the step, from 0.
    pub index: u32,
    /// Whether the task is done.
    pub done: bool,
    /// Numbers of the failed runs.
    pub failed_runs: Vec<u32>,
    /// Numbers of the runs that may have crashed their workers.
    pub crashed_runs: Vec<u32>,
    /// Those of them whose worker had no other run that may have crashed it.
    pub sole_crashes: Vec<u32>,
    /// Identities of workers that could still carry out an order to start it when this was written.
    pub late_on: Vec<String>,
}

/// Range of keys that is listed or watched.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Range {
    /// [`Key::Leader`], [`Key::Term`] and [`Key::Relay`].
    Leadership,
    /// Records of accepted jobs.
    Jobs,
    /// Progress of jobs.
    Progress,
    /// Reports of workers.
    Workers,
    /// Configuration of the operator.
    Config,
    /// Requests of the operator to evacuate availability zones.
    Evacuations,
}

/// Decoded key and value in a list or a watch event.
#[derive(Debug, Clone, PartialEq)]
pub enum Item {
    /// A key that the scheduler writes.
    Own(Key, Value),
    /// Identity and report of a worker; `None` if the report describes no usable worker.
    Worker(String, Option<Report>),
    /// Configuration of the operator.
    Config(Config),
    /// Request to evacuate the availability zone with this name.
    Evacuation(String),
    /// A value that cannot be decoded or a key of an unknown kind, with the reason.
    Unreadable(String),
}

/// A deleted key.
#[derive(Debug, Clone, PartialEq)]
pub enum Removed {
    /// A key that the scheduler writes.
    Own(Key),
    /// Report of the worker with this identity.
    Worker(String),
    /// Request to evacuate the availability zone with this name.
    Evacuation(String),
    /// A key of another kind.
    Other,
}

/// A change in the reply to a watch.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// A key was written at this revision.
    Set(Item, Revision),
    /// A key was deleted, or its lease expired.
    Removed(Removed),
}

/// An atomic, conditional change of several keys.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Transaction {
    /// Conditions: keys and their required revisions.
    pub expect: Vec<(Key, Revision)>,
    /// Keys to write, with the lease that each is bound to.
    pub put: Vec<(Key, Value, Option<u64>)>,
    /// Keys to delete.
    pub delete: Vec<Key>,
}

impl Transaction {
    /// The tip that it writes, if it does.
    pub fn tip(&self) -> Option<&Tip> {
        self.put.iter().find_map(|(_, value, _)| match value {
            Value::Tip(tip) => Some(tip),
            _ => None,
        })
    }
}

/// An operation of the store.
#[derive(Debug, Clone, PartialEq)]
pub enum Request {
    /// Create a lease.
    Lease {
        /// Time to live without a renewal.
        ttl: Duration,
    },
    /// Renew a lease.
    Renew {
        /// The lease.
        lease: u64,
    },
    /// Execute a transaction.
    Commit(Transaction),
    /// Read one key.
    Read(Key),
    /// Read one page of a range.
    List {
        /// The range.
        range: Range,
        /// Key after which the page begins; `None` for the first page.
        after: Option<String>,
        /// Largest answer that is read, in bytes; `None` for any size.
        limit: Option<usize>,
    },
    /// Wait for changes of a range.
    Watch {
        /// The range.
        range: Range,
        /// Revision after which changes are returned.
        after: Revision,
        /// Longest wait for a change.
        wait: Duration,
        /// Time beyond the wait after which the call is lost.
        allowance: Duration,
        /// Largest answer that is read, in bytes; `None` for any size.
        limit: Option<usize>,
    },
}

/// Reply to a store call.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// The lease with this number was created.
    Leased(u64),
    /// The lease was renewed.
    Renewed,
    /// The transaction took effect at this revision.
    Committed(Revision),
    /// A condition failed; lists the current values and revisions of the condition's keys that exist.
    Conflict(Vec<(Key, Value, Revision)>),
    /// Value and revision of the key; `None` if it does not exist.
    Read(Option<(Value, Revision)>),
    /// A page of a range.
    Page {
        /// Items with their revisions.
        items: Vec<(Item, Revision)>,
        /// Key after which the next page begins; `None` on the last page.
        next: Option<String>,
        /// Revision of the store when the page was read.
        as_of: Revision,
        /// Size of the answer.
        bytes: usize,
    },
    /// Changes of a range; empty after a wait without changes.
    Changes {
        /// Changes in the order of their revisions.
        changes: Vec<Change>,
        /// Revision after which the next watch starts.
        as_of: Revision,
        /// Size of the answer.
        bytes: usize,
    },
    /// The lease has expired, or the store no longer has the history that a watch asked for.
    Gone,
    /// The answer exceeds the limit of the call and was not read.
    TooLarge,
    /// The call had no effect.
    Refused,
    /// The call may have taken effect, but its reply is lost.
    Lost,
}
