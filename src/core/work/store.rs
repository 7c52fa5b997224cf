//! Calls to the platform's store: typed keys and values, transactions under conditions, leases and watches.

use std::net::SocketAddr;
use std::time::Duration;

use super::config::Config;
use super::image::Knowledge;
use super::request::Phase;
use super::spec::{Id, Spec};
use super::worker::Report;

/// Number of a store call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Call(pub u64);

/// Revision of a key; 0 stands for a key that does not exist.
pub type Revision = u64;

/// Key that this project writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Key {
    /// Who leads; bound to a lease.
    Leader,
    /// Number of the newest term.
    Term,
    /// Identity of the newest commit.
    Tip,
    /// Workers that may run tasks.
    Roster,
    /// What is known of images.
    Images,
    /// An accepted job.
    Job(Id),
    /// Progress of a job.
    Progress(Id),
}

/// Value of a key.
#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    /// Of [`Key::Leader`] and [`Key::Term`].
    Leader(Leader),
    /// Of [`Key::Tip`].
    Tip(u64),
    /// Of [`Key::Roster`].
    Roster(Vec<Member>),
    /// Of [`Key::Images`].
    Images(Knowledge),
    /// Of [`Key::Job`].
    Job(Box<Record>),
    /// Of [`Key::Progress`].
    Progress(Progress),
}

/// Who leads.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Leader {
    /// Name of its VM.
    pub vm: String,
    /// Address for other entry VMs.
    pub address: SocketAddr,
    /// Number of its term.
    pub term: u64,
    /// Distinguishes processes.
    pub nonce: u64,
    /// Processor time of its VM in thousandths of a core; 0 if it is not known.
    pub cpu_millicores: u32,
}

/// A worker that may run tasks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Identity.
    pub id: String,
    /// Address for orders.
    pub address: SocketAddr,
}

/// An accepted job.
#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    /// Name of its queue.
    pub queue: String,
    /// Service that ran it when it was accepted.
    pub service: String,
    /// What the caller asked for.
    pub spec: Spec,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub accepted_unix_ms: u64,
}

/// Progress of a job.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Progress {
    /// State; only the ended ones are final.
    pub phase: Phase,
    /// Tasks that are done or have failed.
    pub task_progress: Vec<TaskProgress>,
    /// When it ended, in milliseconds since the Unix epoch.
    pub finished_unix_ms: u64,
}

/// What must last of one task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskProgress {
    /// Occurrence of the job.
    pub occurrence: u32,
    /// Step.
    pub step: u32,
    /// Number in the step.
    pub index: u32,
    /// Whether it is done.
    pub done: bool,
    /// Numbers of the runs that failed.
    pub failed_runs: Vec<u32>,
}

/// Part of the store that is listed or watched.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Range {
    /// Leader and term.
    Leadership,
    /// Accepted jobs.
    Jobs,
    /// Progress of jobs.
    Progress,
    /// Entries of workers.
    Workers,
    /// Configuration.
    Config,
}

/// Content of a key in a list or an event.
#[derive(Debug, Clone, PartialEq)]
pub enum Item {
    /// Key of this project.
    Own(Key, Value),
    /// Entry of a worker; `None` if it names no worker that can be used.
    Worker(String, Option<Report>),
    /// Configuration of the operator.
    Config(Config),
    /// A value that cannot be read, or a key of another kind.
    Unreadable(String),
}

/// Key that was removed.
#[derive(Debug, Clone, PartialEq)]
pub enum Removed {
    /// Key of this project.
    Own(Key),
    /// Entry of a worker.
    Worker(String),
    /// Another key.
    Other,
}

/// Change that a watch saw.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// A key was written.
    Set(Item, Revision),
    /// A key was removed.
    Removed(Removed),
}

/// A change of several keys, made whole or not at all.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Transaction {
    /// Revisions that must hold.
    pub expect: Vec<(Key, Revision)>,
    /// Keys to write, some under a lease.
    pub put: Vec<(Key, Value, Option<u64>)>,
    /// Keys to delete.
    pub delete: Vec<Key>,
}

/// A call.
#[derive(Debug, Clone, PartialEq)]
pub enum Request {
    /// Create a lease.
    Lease {
        /// Its life without a renewal.
        ttl: Duration,
    },
    /// Renew a lease.
    Renew {
        /// The lease.
        lease: u64,
    },
    /// Change keys under conditions.
    Commit(Transaction),
    /// Read one key.
    Read(Key),
    /// Read a range, one page a call.
    List {
        /// The range.
        range: Range,
        /// Key after which the page begins.
        after: Option<String>,
    },
    /// Wait for changes of a range.
    Watch {
        /// The range.
        range: Range,
        /// Revision after which changes count.
        after: Revision,
        /// Longest wait.
        wait: Duration,
    },
}

/// Answer to a call.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// A lease was created.
    Leased(u64),
    /// A lease was renewed.
    Renewed,
    /// A transaction was made.
    Committed(Revision),
    /// A condition does not hold; the current state of its keys, absent ones left out.
    Conflict(Vec<(Key, Value, Revision)>),
    /// A key; `None` if it does not exist.
    Read(Option<(Value, Revision)>),
    /// A page.
    Page {
        /// Items with their revisions.
        items: Vec<(Item, Revision)>,
        /// Key after which the next page begins, if there is one.
        next: Option<String>,
        /// Revision of the store.
        as_of: Revision,
    },
    /// Changes of a range.
    Changes {
        /// The changes.
        changes: Vec<Change>,
        /// Revision from which to go on.
        as_of: Revision,
    },
    /// The lease has ended, or the history that a watch asked for is gone.
    Gone,
    /// Nothing was done.
    Refused,
    /// The call may have taken effect.
    Lost,
}
