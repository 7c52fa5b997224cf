//! Calls to a worker's control interface.
//!
//! The worker is the arbiter of its control lease. See "Cells, ownership and fencing" in the design page.

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

/// Identity of a checkpoint kept by the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Checkpoint(pub u64);

/// What to start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Start {
    /// Unit of work.
    pub work: Work,
    /// Attempt number, from 1; always 1 for a replica.
    pub attempt: u32,
    /// Resources to reserve.
    pub size: Size,
    /// Checkpoint to resume from.
    pub checkpoint: Option<Checkpoint>,
    /// Name of the job or service, passed to the program.
    pub name: String,
    /// Kind of work, reported with usage.
    pub kind: String,
    /// Expected run time in milliseconds; 0 for a replica.
    pub run_time_ms: u64,
    /// Requests a replica serves at once; 0 for a batch task.
    pub concurrency: u16,
}

/// One command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Reserve resources and start.
    Start(Start),
    /// Stop; with a checkpoint first if `checkpoint` is set and the task can.
    Stop {
        /// Unit of work.
        work: Work,
        /// Attempt it applies to.
        attempt: u32,
        /// Take a checkpoint first.
        checkpoint: bool,
    },
    /// Limit processor time.
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
    /// Caller's identity.
    pub holder: member::Id,
    /// Cell on whose behalf.
    pub cell: cell::Id,
    /// Cell epoch.
    pub epoch: u64,
    /// Instance the call is meant for; another one treats the call as an inquiry. 0 for any.
    pub instance: u64,
    /// Claim without proof that the epoch is still the newest.
    pub caretaker: bool,
    /// Rises with each call under one lease.
    pub sequence: u64,
    /// Requested end of the lease in the worker's clock; 0 changes nothing.
    pub until_ms: u64,
    /// Give the lease up after this call.
    pub release: bool,
    /// Longest wait for an event before the reply.
    pub wait_ms: u64,
    /// Ended work whose result is stored and may be forgotten.
    pub acknowledge: Vec<(Work, u32)>,
    /// Commands, executed in order if the lease is granted.
    pub commands: Vec<Command>,
}

/// What became of a claim or renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// The caller holds the lease; commands were executed.
    Granted,
    /// Nothing was changed, since `until_ms` was 0 or the call was meant for another instance.
    Inquiry,
    /// Another holder has the lease; nothing was executed.
    Held,
    /// A higher epoch was seen; nothing was executed.
    Stale,
    /// The sequence number was not above the last one; nothing was executed.
    Repeated,
}

/// Work present on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Running {
    /// Unit of work.
    pub work: Work,
    /// Attempt.
    pub attempt: u32,
    /// Resources it holds.
    pub size: Size,
    /// Service of a replica; `None` for a batch task.
    pub service: Option<crate::declare::service::Id>,
}

/// How a unit of work ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// Finished with success.
    Finished,
    /// Ran and failed.
    Failed,
    /// Stopped by command or by the end of its lease, with a checkpoint if one was taken.
    Stopped(Option<Checkpoint>),
    /// Never started: refused for lack of room or a stale attempt.
    Refused,
}

/// A unit of work that ended and whose result was not acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ended {
    /// Unit of work.
    pub work: Work,
    /// Attempt.
    pub attempt: u32,
    /// How it ended.
    pub outcome: Outcome,
}

/// Measured usage of one unit of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// Unit of work.
    pub work: Work,
    /// When it was taken, in the worker's clock.
    pub taken_ms: u64,
    /// Processor time in thousandths of a core.
    pub millicores: u32,
    /// Memory in MiB.
    pub memory_mib: u32,
    /// Speed relative to running alone, in percent, as the worker measures it.
    pub speed_percent: u8,
}

/// Answer of the control interface.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// What became of the call.
    pub status: Status,
    /// Number of the worker's instance.
    pub instance: u64,
    /// Worker's monotonic clock.
    pub clock_ms: u64,
    /// End of the current lease in the worker's clock; 0 when none.
    pub lease_until_ms: u64,
    /// Highest epoch seen.
    pub epoch: u64,
    /// All work present.
    pub running: Vec<Running>,
    /// Ended work that was not acknowledged.
    pub ended: Vec<Ended>,
    /// Usage samples since the last reply.
    pub usage: Vec<Usage>,
}
