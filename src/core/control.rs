//! Calls to a worker's control interface, and its replies.
//!
//! The worker decides who holds its control lease, and executes commands of the holder only. See "Cells, ownership and
//! fencing" in the design page.

use super::{cell, member, run, task};
use crate::declare::size::Size;

/// A unit of work on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Work {
    /// A batch task.
    Batch(task::Id),
    /// A service replica.
    Replica(run::Id),
}

/// Identity of a checkpoint that the platform stores.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Checkpoint(pub u64);

/// A unit of work to start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Start {
    /// Unit of work.
    pub work: Work,
    /// Attempt number, from 1; always 1 for a replica.
    pub attempt: u32,
    /// Resources to reserve.
    pub size: Size,
    /// Checkpoint to resume from; `None` to start from the beginning.
    pub checkpoint: Option<Checkpoint>,
    /// Name of the job or service, passed to the program.
    pub name: String,
    /// Kind of work, which the worker reports with usage.
    pub kind: String,
    /// Expected run time in milliseconds; 0 for a replica.
    pub run_time_ms: u64,
    /// Number of requests that a replica serves concurrently; 0 for a batch task.
    pub concurrency: u16,
}

/// A command that the worker executes for the lease holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Reserve resources and start a unit of work.
    Start(Start),
    /// Stop a unit of work.
    Stop {
        /// Unit of work.
        work: Work,
        /// Attempt number that the command applies to.
        attempt: u32,
        /// Whether to take a checkpoint first, if the task supports it.
        checkpoint: bool,
    },
    /// Limit the processor time of a unit of work.
    Throttle {
        /// Unit of work.
        work: Work,
        /// Share of its reserved processor time, in percent.
        percent: u8,
    },
}

/// A call to the control interface.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Member that makes the call.
    pub holder: member::Id,
    /// Cell that the caller acts for.
    pub cell: cell::Id,
    /// Epoch of the cell, which serves as fencing token.
    pub epoch: u64,
    /// Instance that the call is addressed to; any other instance treats the call as an inquiry. 0 addresses any
    /// instance.
    pub instance: u64,
    /// Whether the caller claims as caretaker, without proof that the epoch is still the newest.
    pub caretaker: bool,
    /// Number that increases with each call under one lease.
    pub sequence: u64,
    /// Requested expiry time of the lease, in milliseconds of the worker's clock; 0 leaves it unchanged.
    pub until_ms: u64,
    /// Whether to release the lease after this call.
    pub release: bool,
    /// Longest time in milliseconds that the worker waits for an event before it replies.
    pub wait_ms: u64,
    /// Ended work, with attempt numbers, whose result is stored and which the worker may forget.
    pub acknowledge: Vec<(Work, u32)>,
    /// Commands, executed in order if the lease is granted.
    pub commands: Vec<Command>,
}

/// Result of a claim or renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// The caller holds the lease; commands were executed.
    Granted,
    /// Nothing was changed, since `until_ms` was 0 or the call was addressed to another instance.
    Inquiry,
    /// Another member holds the lease; nothing was executed.
    Held,
    /// The worker knows a higher epoch than that of the call; nothing was executed.
    Stale,
    /// The sequence number was not higher than the last one; nothing was executed.
    Repeated,
}

/// A unit of work on a worker that has not ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Running {
    /// Unit of work.
    pub work: Work,
    /// Attempt number.
    pub attempt: u32,
    /// Resources that it holds.
    pub size: Size,
    /// Service of a replica; `None` for a batch task.
    pub service: Option<crate::declare::service::Id>,
}

/// How a unit of work ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// Finished successfully.
    Finished,
    /// Ran and failed.
    Failed,
    /// Stopped by a command or by the expiry of the lease; with a checkpoint if one was taken.
    Stopped(Option<Checkpoint>),
    /// Not started, for lack of resources or because the attempt is stale.
    Refused,
}

/// A unit of work that has ended and whose result is not acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ended {
    /// Unit of work.
    pub work: Work,
    /// Attempt number.
    pub attempt: u32,
    /// How it ended.
    pub outcome: Outcome,
}

/// Measured usage of one unit of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// Unit of work.
    pub work: Work,
    /// Time of the measurement, in milliseconds of the worker's clock.
    pub taken_ms: u64,
    /// Processor time in thousandths of a core.
    pub millicores: u32,
    /// Memory in MiB.
    pub memory_mib: u32,
    /// Speed in percent of the speed without interference by other work, as the worker measures it.
    pub speed_percent: u8,
}

/// Reply of the control interface.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// Result of the claim or renewal.
    pub status: Status,
    /// Instance number of the worker.
    pub instance: u64,
    /// Monotonic clock of the worker, in milliseconds.
    pub clock_ms: u64,
    /// Expiry time of the current lease, in milliseconds of the worker's clock; 0 if nobody holds it.
    pub lease_until_ms: u64,
    /// Highest epoch that the worker knows.
    pub epoch: u64,
    /// All work that has not ended.
    pub running: Vec<Running>,
    /// Ended work that is not acknowledged.
    pub ended: Vec<Ended>,
    /// Usage samples since the last reply.
    pub usage: Vec<Usage>,
}
