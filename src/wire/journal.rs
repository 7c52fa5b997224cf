//! Protobuf encoding of the segments and snapshots of a cell's log, in an [`envelope`].

use prost::{Message, Oneof};

use super::envelope::{self, Kind};
use crate::core::control::{Checkpoint, Outcome};
use crate::core::journal::{Adoption, Record, Segment, Snapshot, TaskSnapshot, TaskState};
use crate::core::{member, task, worker};
use crate::declare::job;
use crate::error::Decode;

/// Encodes a segment.
pub fn encode_segment(segment: &Segment) -> Vec<u8> {
    let message = SegmentMessage {
        write_id: segment.write_id,
        epoch: segment.epoch,
        position: segment.position,
        records: segment
            .records
            .iter()
            .map(|record| RecordMessage { body: Some(record_body(record)) })
            .collect(),
    };
    envelope::seal(Kind::Segment, message.encode_to_vec())
}

/// Decodes a segment.
///
/// # Errors
///
/// The bytes are damaged, of another format version or kind, or lack a required field.
pub fn decode_segment(bytes: impl AsRef<[u8]>) -> Result<Segment, Decode> {
    let message = SegmentMessage::decode(envelope::open(Kind::Segment, bytes)?.as_slice())?;
    let records = message.records.into_iter().map(record).collect::<Result<_, _>>()?;
    let SegmentMessage { position, write_id, epoch, .. } = message;
    Ok(Segment { position, write_id, epoch, records })
}

/// Encodes a snapshot.
pub fn encode_snapshot(snapshot: &Snapshot) -> Vec<u8> {
    let message = SnapshotMessage {
        next: snapshot.next,
        epoch: snapshot.epoch,
        jobs: snapshot.jobs.iter().map(adoption_message).collect(),
        tasks: snapshot.tasks.iter().map(task_snapshot_message).collect(),
        stored_position: snapshot.stored_position,
    };
    envelope::seal(Kind::Snapshot, message.encode_to_vec())
}

/// Decodes a snapshot.
///
/// # Errors
///
/// The bytes are damaged, of another format version or kind, or lack a required field.
pub fn decode_snapshot(bytes: impl AsRef<[u8]>) -> Result<Snapshot, Decode> {
    let message = SnapshotMessage::decode(envelope::open(Kind::Snapshot, bytes)?.as_slice())?;
    Ok(Snapshot {
        next: message.next,
        epoch: message.epoch,
        jobs: message.jobs.into_iter().map(adoption).collect(),
        tasks: message.tasks.into_iter().map(task_snapshot).collect::<Result<_, _>>()?,
        stored_position: message.stored_position,
    })
}

fn adoption_message(adoption: &Adoption) -> AdoptionMessage {
    let Adoption { job, count, version, cancelled } = *adoption;
    AdoptionMessage { job: job.0, count, version, cancelled }
}

fn adoption(message: AdoptionMessage) -> Adoption {
    let AdoptionMessage { job, count, version, cancelled } = message;
    Adoption { job: job::Id(job), count, version, cancelled }
}

#[derive(Clone, PartialEq, Message)]
struct SegmentMessage {
    #[prost(fixed64, tag = "1")]
    write_id: u64,
    #[prost(uint64, tag = "2")]
    epoch: u64,
    #[prost(message, repeated, tag = "3")]
    records: Vec<RecordMessage>,
    #[prost(uint64, tag = "4")]
    position: u64,
}

#[derive(Clone, PartialEq, Message)]
struct SnapshotMessage {
    #[prost(uint64, tag = "1")]
    next: u64,
    #[prost(uint64, tag = "2")]
    epoch: u64,
    #[prost(message, repeated, tag = "3")]
    jobs: Vec<AdoptionMessage>,
    #[prost(message, repeated, tag = "4")]
    tasks: Vec<TaskSnapshotMessage>,
    #[prost(uint64, tag = "5")]
    stored_position: u64,
}

#[derive(Clone, PartialEq, Message)]
struct RecordMessage {
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6, 7")]
    body: Option<Body>,
}

#[derive(Clone, PartialEq, Oneof)]
enum Body {
    #[prost(message, tag = "1")]
    Takeover(TakeoverMessage),
    #[prost(message, tag = "2")]
    Adopt(AdoptMessage),
    #[prost(message, tag = "3")]
    Assign(AssignMessage),
    #[prost(message, tag = "4")]
    Done(DoneMessage),
    #[prost(message, tag = "5")]
    Release(ReleaseMessage),
    #[prost(fixed64, tag = "6")]
    Cancel(u64),
    #[prost(message, tag = "7")]
    Failed(FailedMessage),
}

#[derive(Clone, PartialEq, Message)]
struct TakeoverMessage {
    #[prost(uint64, tag = "1")]
    epoch: u64,
    #[prost(fixed64, tag = "2")]
    member: u64,
}

#[derive(Clone, PartialEq, Message)]
struct AdoptMessage {
    #[prost(fixed64, tag = "1")]
    job: u64,
    #[prost(uint32, tag = "2")]
    count: u32,
    #[prost(uint64, tag = "3")]
    version: u64,
}

#[derive(Clone, PartialEq, Message)]
struct AdoptionMessage {
    #[prost(fixed64, tag = "1")]
    job: u64,
    #[prost(uint32, tag = "2")]
    count: u32,
    #[prost(uint64, tag = "3")]
    version: u64,
    #[prost(bool, tag = "4")]
    cancelled: bool,
}

#[derive(Clone, PartialEq, Message)]
struct TaskMessage {
    #[prost(fixed64, tag = "1")]
    job: u64,
    #[prost(uint32, tag = "2")]
    index: u32,
}

#[derive(Clone, PartialEq, Message)]
struct AssignMessage {
    #[prost(message, optional, tag = "1")]
    task: Option<TaskMessage>,
    #[prost(uint32, tag = "2")]
    attempt: u32,
    #[prost(fixed64, tag = "3")]
    worker: u64,
    #[prost(uint64, tag = "4")]
    instance: u64,
    #[prost(fixed64, optional, tag = "5")]
    checkpoint: Option<u64>,
}

#[derive(Clone, PartialEq, Message)]
struct DoneMessage {
    #[prost(message, optional, tag = "1")]
    task: Option<TaskMessage>,
    #[prost(uint32, tag = "2")]
    attempt: u32,
    #[prost(enumeration = "Ending", tag = "3")]
    ending: i32,
    #[prost(fixed64, optional, tag = "4")]
    checkpoint: Option<u64>,
}

#[derive(Clone, PartialEq, Message)]
struct ReleaseMessage {
    #[prost(message, optional, tag = "1")]
    task: Option<TaskMessage>,
    #[prost(uint32, tag = "2")]
    attempt: u32,
    #[prost(fixed64, optional, tag = "3")]
    checkpoint: Option<u64>,
}

#[derive(Clone, PartialEq, Message)]
struct FailedMessage {
    #[prost(message, optional, tag = "1")]
    task: Option<TaskMessage>,
    #[prost(enumeration = "Cause", tag = "2")]
    cause: i32,
}

#[derive(Clone, PartialEq, Message)]
struct TaskSnapshotMessage {
    #[prost(message, optional, tag = "1")]
    task: Option<TaskMessage>,
    #[prost(uint32, tag = "2")]
    attempt: u32,
    #[prost(uint32, tag = "3")]
    failures: u32,
    #[prost(oneof = "Place", tags = "4, 5, 6, 7, 8")]
    place: Option<Place>,
}

#[derive(Clone, PartialEq, Oneof)]
enum Place {
    #[prost(message, tag = "4")]
    Queued(QueuedMessage),
    #[prost(message, tag = "5")]
    Assigned(AssignedMessage),
    #[prost(bool, tag = "6")]
    Finished(bool),
    #[prost(enumeration = "Cause", tag = "7")]
    Failed(i32),
    #[prost(bool, tag = "8")]
    Cancelled(bool),
}

#[derive(Clone, PartialEq, Message)]
struct QueuedMessage {
    #[prost(fixed64, optional, tag = "1")]
    checkpoint: Option<u64>,
}

#[derive(Clone, PartialEq, Message)]
struct AssignedMessage {
    #[prost(fixed64, tag = "1")]
    worker: u64,
    #[prost(uint64, tag = "2")]
    instance: u64,
    #[prost(fixed64, optional, tag = "3")]
    checkpoint: Option<u64>,
}

/// How an attempt ended. 0 is the protobuf default, so it stands for an absent field, which is an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
enum Ending {
    Absent = 0,
    Finished = 1,
    Failed = 2,
    Stopped = 3,
    Refused = 4,
}

/// Why a task failed permanently; 0 stands for an absent field, as in [`Ending`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
enum Cause {
    Absent = 0,
    AlwaysFails = 1,
    FitsNothing = 2,
}

fn record_body(record: &Record) -> Body {
    match *record {
        Record::Takeover { epoch, member } => Body::Takeover(TakeoverMessage { epoch, member: member.0 }),
        Record::Adopt { job, count, version } => Body::Adopt(AdoptMessage { job: job.0, count, version }),
        Record::Assign { task, attempt, worker, instance, checkpoint } => Body::Assign(AssignMessage {
            task: Some(task_message(task)),
            attempt,
            worker: worker.0,
            instance,
            checkpoint: checkpoint_number(checkpoint),
        }),
        Record::Done { task, attempt, outcome } => {
            let (ending, checkpoint) = ending(outcome);
            let ending = ending as i32;
            Body::Done(DoneMessage { task: Some(task_message(task)), attempt, ending, checkpoint })
        }
        Record::Release { task, attempt, checkpoint } => Body::Release(ReleaseMessage {
            task: Some(task_message(task)),
            attempt,
            checkpoint: checkpoint_number(checkpoint),
        }),
        Record::Cancel { job } => Body::Cancel(job.0),
        Record::Failed { task, reason } => {
            Body::Failed(FailedMessage { task: Some(task_message(task)), cause: cause(reason) as i32 })
        }
    }
}

fn record(message: RecordMessage) -> Result<Record, Decode> {
    Ok(match message.body.ok_or(Decode::Field("record"))? {
        Body::Takeover(m) => Record::Takeover { epoch: m.epoch, member: member::Id(m.member) },
        Body::Adopt(m) => Record::Adopt { job: job::Id(m.job), count: m.count, version: m.version },
        Body::Assign(m) => Record::Assign {
            task: task(m.task)?,
            attempt: m.attempt,
            worker: worker::Id(m.worker),
            instance: m.instance,
            checkpoint: m.checkpoint.map(Checkpoint),
        },
        Body::Done(m) => Record::Done {
            task: task(m.task)?,
            attempt: m.attempt,
            outcome: outcome(m.ending, m.checkpoint)?,
        },
        Body::Release(m) => Record::Release {
            task: task(m.task)?,
            attempt: m.attempt,
            checkpoint: m.checkpoint.map(Checkpoint),
        },
        Body::Cancel(job) => Record::Cancel { job: job::Id(job) },
        Body::Failed(m) => Record::Failed { task: task(m.task)?, reason: reason(m.cause)? },
    })
}

fn task_snapshot_message(snapshot: &TaskSnapshot) -> TaskSnapshotMessage {
    let place = match snapshot.state {
        TaskState::Queued { checkpoint } => {
            Place::Queued(QueuedMessage { checkpoint: checkpoint_number(checkpoint) })
        }
        TaskState::Assigned { worker, instance, checkpoint } => Place::Assigned(AssignedMessage {
            worker: worker.0,
            instance,
            checkpoint: checkpoint_number(checkpoint),
        }),
        TaskState::Finished => Place::Finished(true),
        TaskState::Failed(reason) => Place::Failed(cause(reason) as i32),
        TaskState::Cancelled => Place::Cancelled(true),
    };
    TaskSnapshotMessage {
        task: Some(task_message(snapshot.task)),
        attempt: snapshot.attempt,
        failures: snapshot.failures,
        place: Some(place),
    }
}

fn task_snapshot(message: TaskSnapshotMessage) -> Result<TaskSnapshot, Decode> {
    let state = match message.place.ok_or(Decode::Field("standing"))? {
        Place::Queued(m) => TaskState::Queued { checkpoint: m.checkpoint.map(Checkpoint) },
        Place::Assigned(m) => TaskState::Assigned {
            worker: worker::Id(m.worker),
            instance: m.instance,
            checkpoint: m.checkpoint.map(Checkpoint),
        },
        Place::Finished(_) => TaskState::Finished,
        Place::Failed(cause) => TaskState::Failed(reason(cause)?),
        Place::Cancelled(_) => TaskState::Cancelled,
    };
    Ok(TaskSnapshot {
        task: task(message.task)?,
        attempt: message.attempt,
        failures: message.failures,
        state,
    })
}

fn task_message(task: task::Id) -> TaskMessage {
    TaskMessage { job: task.job.0, index: task.index }
}

fn task(message: Option<TaskMessage>) -> Result<task::Id, Decode> {
    let message = message.ok_or(Decode::Field("task"))?;
    Ok(task::Id { job: job::Id(message.job), index: message.index })
}

fn checkpoint_number(checkpoint: Option<Checkpoint>) -> Option<u64> {
    checkpoint.map(|checkpoint| checkpoint.0)
}

fn ending(outcome: Outcome) -> (Ending, Option<u64>) {
    match outcome {
        Outcome::Finished => (Ending::Finished, None),
        Outcome::Failed => (Ending::Failed, None),
        Outcome::Stopped(checkpoint) => (Ending::Stopped, checkpoint_number(checkpoint)),
        Outcome::Refused => (Ending::Refused, None),
    }
}

fn outcome(ending: i32, checkpoint: Option<u64>) -> Result<Outcome, Decode> {
    match Ending::try_from(ending) {
        Ok(Ending::Finished) => Ok(Outcome::Finished),
        Ok(Ending::Failed) => Ok(Outcome::Failed),
        Ok(Ending::Stopped) => Ok(Outcome::Stopped(checkpoint.map(Checkpoint))),
        Ok(Ending::Refused) => Ok(Outcome::Refused),
        Ok(Ending::Absent) | Err(_) => Err(Decode::Field("outcome")),
    }
}

fn cause(reason: task::Reason) -> Cause {
    match reason {
        task::Reason::AlwaysFails => Cause::AlwaysFails,
        task::Reason::FitsNothing => Cause::FitsNothing,
    }
}

fn reason(cause: i32) -> Result<task::Reason, Decode> {
    match Cause::try_from(cause) {
        Ok(Cause::AlwaysFails) => Ok(task::Reason::AlwaysFails),
        Ok(Cause::FitsNothing) => Ok(task::Reason::FitsNothing),
        Ok(Cause::Absent) | Err(_) => Err(Decode::Field("reason")),
    }
}

#[cfg(test)]
mod tests {
    use proptest::collection::vec;
    use proptest::option;
    use proptest::prelude::*;

    use super::*;

    fn any_task() -> impl Strategy<Value = task::Id> {
        any::<(u64, u32)>().prop_map(|(job, index)| task::Id { job: job::Id(job), index })
    }

    fn any_checkpoint() -> impl Strategy<Value = Option<Checkpoint>> {
        option::of(any::<u64>().prop_map(Checkpoint))
    }

    fn any_outcome() -> impl Strategy<Value = Outcome> {
        prop_oneof![
            Just(Outcome::Finished),
            Just(Outcome::Failed),
            Just(Outcome::Refused),
            any_checkpoint().prop_map(Outcome::Stopped),
        ]
    }

    fn any_reason() -> impl Strategy<Value = task::Reason> {
        prop_oneof![Just(task::Reason::AlwaysFails), Just(task::Reason::FitsNothing)]
    }

    fn any_record() -> impl Strategy<Value = Record> {
        prop_oneof![
            any::<(u64, u64)>().prop_map(|(epoch, m)| Record::Takeover { epoch, member: member::Id(m) }),
            any::<(u64, u32, u64)>().prop_map(|(job, count, version)| Record::Adopt {
                job: job::Id(job),
                count,
                version
            }),
            (any_task(), any::<(u32, u64, u64)>(), any_checkpoint()).prop_map(
                |(task, (attempt, worker, instance), checkpoint)| Record::Assign {
                    task,
                    attempt,
                    worker: worker::Id(worker),
                    instance,
                    checkpoint
                }
            ),
            (any_task(), any::<u32>(), any_outcome()).prop_map(|(task, attempt, outcome)| Record::Done {
                task,
                attempt,
                outcome
            }),
            (any_task(), any::<u32>(), any_checkpoint())
                .prop_map(|(task, attempt, checkpoint)| Record::Release { task, attempt, checkpoint }),
            any::<u64>().prop_map(|job| Record::Cancel { job: job::Id(job) }),
            (any_task(), any_reason()).prop_map(|(task, reason)| Record::Failed { task, reason }),
        ]
    }

    fn any_segment() -> impl Strategy<Value = Segment> {
        (any::<(u64, u64, u64)>(), vec(any_record(), 0..20))
            .prop_map(|((position, write_id, epoch), records)| Segment { position, write_id, epoch, records })
    }

    fn any_task_state() -> impl Strategy<Value = TaskState> {
        prop_oneof![
            any_checkpoint().prop_map(|checkpoint| TaskState::Queued { checkpoint }),
            (any::<(u64, u64)>(), any_checkpoint()).prop_map(|((worker, instance), checkpoint)| {
                TaskState::Assigned { worker: worker::Id(worker), instance, checkpoint }
            }),
            Just(TaskState::Finished),
            any_reason().prop_map(TaskState::Failed),
            Just(TaskState::Cancelled),
        ]
    }

    fn any_snapshot() -> impl Strategy<Value = Snapshot> {
        let task = (any_task(), any::<(u32, u32)>(), any_task_state())
            .prop_map(|(task, (attempt, failures), state)| TaskSnapshot { task, attempt, failures, state });
        let job = any::<(u64, u32, u64, bool)>().prop_map(|(job, count, version, cancelled)| Adoption {
            job: job::Id(job),
            count,
            version,
            cancelled,
        });
        (any::<(u64, u64, u64)>(), vec(job, 0..5), vec(task, 0..20)).prop_map(
            |((next, epoch, stored_position), jobs, tasks)| Snapshot {
                next,
                epoch,
                jobs,
                tasks,
                stored_position,
            },
        )
    }

    proptest! {
        /// Guards against a field that is lost or changed by the encoding.
        #[test]
        fn segments_survive_the_round_trip(segment in any_segment()) {
            prop_assert_eq!(decode_segment(encode_segment(&segment)), Ok(segment));
        }

        /// Guards against a field that is lost or changed by the encoding.
        #[test]
        fn snapshots_survive_the_round_trip(snapshot in any_snapshot()) {
            prop_assert_eq!(decode_snapshot(encode_snapshot(&snapshot)), Ok(snapshot));
        }

        /// Guards against a truncated value that is decoded as a shorter value.
        #[test]
        fn truncated_values_are_errors(segment in any_segment(), cut in any::<prop::sample::Index>()) {
            let bytes = encode_segment(&segment);
            prop_assert!(decode_segment(&bytes[..cut.index(bytes.len())]).is_err());
        }

        /// Guards against a flipped bit that changes a record.
        #[test]
        fn flipped_bits_are_errors(
            snapshot in any_snapshot(),
            at in any::<prop::sample::Index>(),
            bit in 0u8..8,
        ) {
            let mut bytes = encode_snapshot(&snapshot);
            let at = at.index(bytes.len());
            bytes[at] ^= 1 << bit;
            prop_assert!(decode_snapshot(&bytes).is_err());
        }

        /// Guards against a panic on a damaged value.
        #[test]
        fn random_bytes_never_panic(bytes in vec(any::<u8>(), 0..300)) {
            prop_assert!(decode_segment(&bytes).is_err());
            let sealed = envelope::seal(Kind::Snapshot, bytes);
            let _ = decode_snapshot(sealed);
        }
    }
}
