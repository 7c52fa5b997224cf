//! JSON encoding of a worker's control interface.

use serde::{Deserialize, Serialize};

use crate::core::{cell, control, member, run, task};
use crate::declare::size::Size as Amount;
use crate::declare::{job, service, zone};

/// Path of the control interface.
pub const PATH: &str = "/v1/control";
/// Response header of a request that a worker refused without running it; its value is `1`.
pub const NOT_RUN: &str = "nutmegfold-not-run";

/// Path on the worker for a request to `path` of the replica with this run.
pub fn replica_path(run: run::Id, path: impl AsRef<str>) -> String {
    format!("/replica/{:016x}/{}", run.0, path.as_ref().trim_start_matches('/'))
}

/// A unit of work on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Work {
    /// A batch task.
    Batch {
        /// Identity of the job.
        job: u64,
        /// Index of the task in its job.
        index: u32,
    },
    /// A service replica, with the identity of its run.
    Replica(u64),
}

/// Amount of each resource.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Size {
    millicores: u32,
    memory_mib: u32,
    accelerators: u32,
    slots: u32,
}

/// A command to the worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "command", rename_all = "snake_case")]
pub enum Command {
    /// Reserve resources and start a unit of work.
    Start {
        /// Unit of work.
        work: Work,
        /// Attempt number, from 1; always 1 for a replica.
        attempt: u32,
        /// Resources to reserve.
        size: Size,
        /// Checkpoint to resume from; `None` to start from the beginning.
        checkpoint: Option<u64>,
        /// Name of the job or service, passed to the program.
        name: String,
        /// Kind of work, which the worker reports with usage.
        kind: String,
        /// Expected run time in milliseconds; 0 for a replica.
        run_time_ms: u64,
        /// Number of requests that a replica serves concurrently; 0 for a batch task.
        concurrency: u16,
    },
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

/// Body of a control call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    holder: u64,
    cell: Cell,
    epoch: u64,
    /// Instance that the call is addressed to; 0 addresses any instance.
    instance: u64,
    caretaker: bool,
    sequence: u64,
    until_ms: u64,
    #[serde(default)]
    release: bool,
    #[serde(default)]
    wait_ms: u64,
    #[serde(default)]
    acknowledge: Vec<(Work, u32)>,
    #[serde(default)]
    commands: Vec<Command>,
}

/// Identity of a cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Cell {
    zone: u32,
    index: u16,
}

/// Result of a claim or renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
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

/// Body of a control reply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    status: Status,
    instance: u64,
    clock_ms: u64,
    lease: Lease,
    tasks: Vec<Running>,
    events: Vec<Ended>,
    usage: Vec<Usage>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Lease {
    until_ms: u64,
    epoch: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Running {
    work: Work,
    attempt: u32,
    size: Size,
    service: Option<u64>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
enum Outcome {
    Finished,
    Failed,
    Stopped { checkpoint: Option<u64> },
    Refused,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Ended {
    work: Work,
    attempt: u32,
    #[serde(flatten)]
    outcome: Outcome,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Usage {
    work: Work,
    taken_ms: u64,
    millicores: u32,
    memory_mib: u32,
    speed_percent: u8,
}

impl From<control::Work> for Work {
    fn from(work: control::Work) -> Self {
        match work {
            control::Work::Batch(task) => Self::Batch { job: task.job.0, index: task.index },
            control::Work::Replica(run) => Self::Replica(run.0),
        }
    }
}

impl From<Work> for control::Work {
    fn from(work: Work) -> Self {
        match work {
            Work::Batch { job, index } => Self::Batch(task::Id { job: job::Id(job), index }),
            Work::Replica(run) => Self::Replica(run::Id(run)),
        }
    }
}

impl From<Amount> for Size {
    fn from(size: Amount) -> Self {
        let Amount { millicores, memory_mib, accelerators, slots } = size;
        Self { millicores, memory_mib, accelerators, slots }
    }
}

impl From<Size> for Amount {
    fn from(size: Size) -> Self {
        let Size { millicores, memory_mib, accelerators, slots } = size;
        Self { millicores, memory_mib, accelerators, slots }
    }
}

impl From<control::Command> for Command {
    fn from(command: control::Command) -> Self {
        match command {
            control::Command::Start(start) => Self::Start {
                work: start.work.into(),
                attempt: start.attempt,
                size: start.size.into(),
                checkpoint: start.checkpoint.map(|checkpoint| checkpoint.0),
                name: start.name,
                kind: start.kind,
                run_time_ms: start.run_time_ms,
                concurrency: start.concurrency,
            },
            control::Command::Stop { work, attempt, checkpoint } => {
                Self::Stop { work: work.into(), attempt, checkpoint }
            }
            control::Command::Throttle { work, percent } => Self::Throttle { work: work.into(), percent },
        }
    }
}

impl From<Command> for control::Command {
    fn from(command: Command) -> Self {
        match command {
            Command::Start { work, attempt, size, checkpoint, name, kind, run_time_ms, concurrency } => {
                Self::Start(control::Start {
                    work: work.into(),
                    attempt,
                    size: size.into(),
                    checkpoint: checkpoint.map(control::Checkpoint),
                    name,
                    kind,
                    run_time_ms,
                    concurrency,
                })
            }
            Command::Stop { work, attempt, checkpoint } => {
                Self::Stop { work: work.into(), attempt, checkpoint }
            }
            Command::Throttle { work, percent } => Self::Throttle { work: work.into(), percent },
        }
    }
}

impl From<control::Call> for Call {
    fn from(call: control::Call) -> Self {
        Self {
            holder: call.holder.0,
            cell: Cell { zone: call.cell.zone.0, index: call.cell.index },
            epoch: call.epoch,
            instance: call.instance,
            caretaker: call.caretaker,
            sequence: call.sequence,
            until_ms: call.until_ms,
            release: call.release,
            wait_ms: call.wait_ms,
            acknowledge: call.acknowledge.into_iter().map(|(work, attempt)| (work.into(), attempt)).collect(),
            commands: call.commands.into_iter().map(Command::from).collect(),
        }
    }
}

impl From<Call> for control::Call {
    fn from(call: Call) -> Self {
        Self {
            holder: member::Id(call.holder),
            cell: cell::Id { zone: zone::Id(call.cell.zone), index: call.cell.index },
            epoch: call.epoch,
            instance: call.instance,
            caretaker: call.caretaker,
            sequence: call.sequence,
            until_ms: call.until_ms,
            release: call.release,
            wait_ms: call.wait_ms,
            acknowledge: call.acknowledge.into_iter().map(|(work, attempt)| (work.into(), attempt)).collect(),
            commands: call.commands.into_iter().map(control::Command::from).collect(),
        }
    }
}

impl From<control::Status> for Status {
    fn from(status: control::Status) -> Self {
        match status {
            control::Status::Granted => Self::Granted,
            control::Status::Inquiry => Self::Inquiry,
            control::Status::Held => Self::Held,
            control::Status::Stale => Self::Stale,
            control::Status::Repeated => Self::Repeated,
        }
    }
}

impl From<Status> for control::Status {
    fn from(status: Status) -> Self {
        match status {
            Status::Granted => Self::Granted,
            Status::Inquiry => Self::Inquiry,
            Status::Held => Self::Held,
            Status::Stale => Self::Stale,
            Status::Repeated => Self::Repeated,
        }
    }
}

impl From<control::Outcome> for Outcome {
    fn from(outcome: control::Outcome) -> Self {
        match outcome {
            control::Outcome::Finished => Self::Finished,
            control::Outcome::Failed => Self::Failed,
            control::Outcome::Stopped(checkpoint) => {
                Self::Stopped { checkpoint: checkpoint.map(|checkpoint| checkpoint.0) }
            }
            control::Outcome::Refused => Self::Refused,
        }
    }
}

impl From<Outcome> for control::Outcome {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Finished => Self::Finished,
            Outcome::Failed => Self::Failed,
            Outcome::Stopped { checkpoint } => Self::Stopped(checkpoint.map(control::Checkpoint)),
            Outcome::Refused => Self::Refused,
        }
    }
}

impl From<control::Running> for Running {
    fn from(running: control::Running) -> Self {
        Self {
            work: running.work.into(),
            attempt: running.attempt,
            size: running.size.into(),
            service: running.service.map(|service| service.0),
        }
    }
}

impl From<Running> for control::Running {
    fn from(running: Running) -> Self {
        Self {
            work: running.work.into(),
            attempt: running.attempt,
            size: running.size.into(),
            service: running.service.map(service::Id),
        }
    }
}

impl From<control::Ended> for Ended {
    fn from(ended: control::Ended) -> Self {
        Self { work: ended.work.into(), attempt: ended.attempt, outcome: ended.outcome.into() }
    }
}

impl From<Ended> for control::Ended {
    fn from(ended: Ended) -> Self {
        Self { work: ended.work.into(), attempt: ended.attempt, outcome: ended.outcome.into() }
    }
}

impl From<control::Usage> for Usage {
    fn from(usage: control::Usage) -> Self {
        let control::Usage { work, taken_ms, millicores, memory_mib, speed_percent } = usage;
        Self { work: work.into(), taken_ms, millicores, memory_mib, speed_percent }
    }
}

impl From<Usage> for control::Usage {
    fn from(usage: Usage) -> Self {
        let Usage { work, taken_ms, millicores, memory_mib, speed_percent } = usage;
        Self { work: work.into(), taken_ms, millicores, memory_mib, speed_percent }
    }
}

impl From<control::Reply> for Reply {
    fn from(reply: control::Reply) -> Self {
        Self {
            status: reply.status.into(),
            instance: reply.instance,
            clock_ms: reply.clock_ms,
            lease: Lease { until_ms: reply.lease_until_ms, epoch: reply.epoch },
            tasks: reply.running.into_iter().map(Running::from).collect(),
            events: reply.ended.into_iter().map(Ended::from).collect(),
            usage: reply.usage.into_iter().map(Usage::from).collect(),
        }
    }
}

impl From<Reply> for control::Reply {
    fn from(reply: Reply) -> Self {
        Self {
            status: reply.status.into(),
            instance: reply.instance,
            clock_ms: reply.clock_ms,
            lease_until_ms: reply.lease.until_ms,
            epoch: reply.lease.epoch,
            running: reply.tasks.into_iter().map(control::Running::from).collect(),
            ended: reply.events.into_iter().map(control::Ended::from).collect(),
            usage: reply.usage.into_iter().map(control::Usage::from).collect(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn task(index: u32) -> control::Work {
        control::Work::Batch(task::Id { job: job::Id(u64::MAX), index })
    }

    /// Guards against a field of a call that is lost or changed by the encoding.
    #[test]
    fn calls_survive_the_round_trip() {
        let start = control::Start {
            work: control::Work::Replica(run::Id(u64::MAX - 1)),
            attempt: 1,
            size: Amount { millicores: 500, memory_mib: 64, accelerators: 1, slots: 1 },
            checkpoint: Some(control::Checkpoint(8)),
            name: "quotes".into(),
            kind: "web".into(),
            run_time_ms: 7,
            concurrency: 4,
        };
        let call = control::Call {
            holder: member::Id(u64::MAX),
            cell: cell::Id { zone: zone::Id(5), index: 2 },
            epoch: 3,
            instance: 3,
            caretaker: true,
            sequence: 9,
            until_ms: 100,
            release: true,
            wait_ms: 50,
            acknowledge: vec![(task(1), 2)],
            commands: vec![
                control::Command::Start(start),
                control::Command::Stop { work: task(2), attempt: 3, checkpoint: true },
                control::Command::Throttle { work: task(2), percent: 40 },
            ],
        };
        let text = serde_json::to_string(&Call::from(call.clone())).expect("a call is plain data");
        let decoded: Call = serde_json::from_str(&text).expect("own encoding");
        assert_eq!(control::Call::from(decoded), call);
    }

    /// Guards against a field of a reply that is lost or changed by the encoding.
    #[test]
    fn replies_survive_the_round_trip() {
        let ended = |outcome| control::Ended { work: task(4), attempt: 2, outcome };
        let reply = control::Reply {
            status: control::Status::Held,
            instance: u64::MAX,
            clock_ms: 12,
            lease_until_ms: 13,
            epoch: 14,
            running: vec![control::Running {
                work: control::Work::Replica(run::Id(1)),
                attempt: 1,
                size: Amount::default(),
                service: Some(service::Id(u64::MAX)),
            }],
            ended: vec![
                ended(control::Outcome::Finished),
                ended(control::Outcome::Failed),
                ended(control::Outcome::Refused),
                ended(control::Outcome::Stopped(Some(control::Checkpoint(u64::MAX)))),
                ended(control::Outcome::Stopped(None)),
            ],
            usage: vec![control::Usage {
                work: task(4),
                taken_ms: 1,
                millicores: 2,
                memory_mib: 3,
                speed_percent: 4,
            }],
        };
        let text = serde_json::to_string(&Reply::from(reply.clone())).expect("a reply is plain data");
        let decoded: Reply = serde_json::from_str(&text).expect("own encoding");
        assert_eq!(control::Reply::from(decoded), reply);
    }
}
