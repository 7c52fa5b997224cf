//! Protobuf encoding of jobs: requests that entry VMs forward, and values in the store.

use std::time::Duration;

use prost::Message;

use super::envelope::{self, Kind};
use super::generated::job as proto;
use crate::core::work::config::{Queue, Service, Update};
use crate::core::work::image::{Estimates, Image, Pair};
use crate::core::work::request::{Answer, Phase, Request, Verb};
use crate::core::work::spec::{Id, Name, Resources, Schedule, Spec, Step};
use crate::core::work::store::{
    Key, Leader, Member, Progress, Record, Relay, Roster, Start, TaskProgress, Tip, Value,
};
use crate::declare::zone;
use crate::error::Decode;

/// Prefix of the keys of accepted jobs.
pub const JOBS: &str = "jobs/";

/// Prefix of the keys of the progress of jobs.
pub const PROGRESS: &str = "progress/";

/// Prefix of the keys of leader election.
pub const LEADERSHIP: &str = "lead/";

const LEADER: &str = "lead/holder";
const TERM: &str = "lead/term";
const RELAY: &str = "lead/relay/";
const TIP: &str = "tip";
const ROSTER: &str = "roster";
const IMAGES: &str = "images";

/// Text of a key.
pub fn key_text(key: Key) -> String {
    match key {
        Key::Leader => LEADER.to_owned(),
        Key::Term => TERM.to_owned(),
        Key::Relay(zone) => format!("{RELAY}{:08x}", zone.0),
        Key::Tip => TIP.to_owned(),
        Key::Roster => ROSTER.to_owned(),
        Key::Images => IMAGES.to_owned(),
        Key::Job(id) => format!("{JOBS}{id}"),
        Key::Progress(id) => format!("{PROGRESS}{id}"),
    }
}

/// Key with this text; `None` if it is not a key that the scheduler writes.
pub fn parse_key(text: &str) -> Option<Key> {
    let id = |hex: &str| u64::from_str_radix(hex, 16).ok().map(Id);
    match text {
        LEADER => Some(Key::Leader),
        TERM => Some(Key::Term),
        TIP => Some(Key::Tip),
        ROSTER => Some(Key::Roster),
        IMAGES => Some(Key::Images),
        _ => match (text.strip_prefix(JOBS), text.strip_prefix(PROGRESS), text.strip_prefix(RELAY)) {
            (Some(hex), ..) => id(hex).map(Key::Job),
            (_, Some(hex), _) => id(hex).map(Key::Progress),
            (.., Some(hex)) => u32::from_str_radix(hex, 16).ok().map(|zone| Key::Relay(zone::Id(zone))),
            _ => None,
        },
    }
}

/// Encodes a value.
pub fn encode(value: &Value) -> Vec<u8> {
    match value {
        Value::Leader(leader) => envelope::seal(Kind::Leader, proto::Leader::from(leader).encode_to_vec()),
        Value::Relay(relay) => envelope::seal(Kind::Relay, proto::Relay::from(relay).encode_to_vec()),
        Value::Tip(tip) => envelope::seal(Kind::Tip, proto::Tip::from(tip).encode_to_vec()),
        Value::Roster(roster) => envelope::seal(Kind::Roster, proto::Roster::from(roster).encode_to_vec()),
        Value::Images(estimates) => {
            envelope::seal(Kind::Images, proto::Images::from(estimates).encode_to_vec())
        }
        Value::Job(record) => envelope::seal(Kind::Job, proto::Job::from(&**record).encode_to_vec()),
        Value::Progress(progress) => {
            envelope::seal(Kind::Progress, proto::Progress::from(progress).encode_to_vec())
        }
    }
}

/// Decodes the value of a key.
///
/// # Errors
///
/// The bytes are damaged, of another format version, or not a value of this key.
pub fn decode(key: Key, bytes: &[u8]) -> Result<Value, Decode> {
    match key {
        Key::Leader | Key::Term => {
            let body = envelope::open(Kind::Leader, bytes)?;
            Ok(Value::Leader(proto::Leader::decode(body.as_slice())?.try_into()?))
        }
        Key::Relay(_) => {
            let body = envelope::open(Kind::Relay, bytes)?;
            Ok(Value::Relay(proto::Relay::decode(body.as_slice())?.try_into()?))
        }
        Key::Tip => {
            let body = envelope::open(Kind::Tip, bytes)?;
            Ok(Value::Tip(proto::Tip::decode(body.as_slice())?.try_into()?))
        }
        Key::Roster => {
            let body = envelope::open(Kind::Roster, bytes)?;
            Ok(Value::Roster(proto::Roster::decode(body.as_slice())?.try_into()?))
        }
        Key::Images => {
            let body = envelope::open(Kind::Images, bytes)?;
            Ok(Value::Images(proto::Images::decode(body.as_slice())?.into()))
        }
        Key::Job(_) => {
            let body = envelope::open(Kind::Job, bytes)?;
            Ok(Value::Job(Box::new(proto::Job::decode(body.as_slice())?.try_into()?)))
        }
        Key::Progress(_) => {
            let body = envelope::open(Kind::Progress, bytes)?;
            Ok(Value::Progress(proto::Progress::decode(body.as_slice())?.into()))
        }
    }
}

impl From<&Leader> for proto::Leader {
    fn from(leader: &Leader) -> Self {
        Self {
            vm: leader.vm.clone(),
            address: leader.address.to_string(),
            term: leader.term,
            nonce: leader.nonce,
            cpu: leader.cpu_millicores,
        }
    }
}

impl TryFrom<proto::Leader> for Leader {
    type Error = Decode;

    fn try_from(leader: proto::Leader) -> Result<Self, Decode> {
        let address = leader.address.parse().map_err(|_| Decode::Field("address"))?;
        Ok(Self {
            vm: leader.vm,
            address,
            term: leader.term,
            nonce: leader.nonce,
            cpu_millicores: leader.cpu,
        })
    }
}

impl From<&Relay> for proto::Relay {
    fn from(relay: &Relay) -> Self {
        Self {
            vm: relay.vm.clone(),
            address: relay.address.to_string(),
            cpu: relay.cpu_millicores,
            round_trip_us: u32::try_from(relay.store_round_trip.as_micros()).unwrap_or(u32::MAX),
        }
    }
}

impl TryFrom<proto::Relay> for Relay {
    type Error = Decode;

    fn try_from(relay: proto::Relay) -> Result<Self, Decode> {
        let address = relay.address.parse().map_err(|_| Decode::Field("address"))?;
        Ok(Self {
            vm: relay.vm,
            address,
            cpu_millicores: relay.cpu,
            store_round_trip: Duration::from_micros(relay.round_trip_us.into()),
        })
    }
}

impl From<&Roster> for proto::Roster {
    fn from(roster: &Roster) -> Self {
        let workers = roster.members.iter().map(proto::Member::from).collect();
        Self { workers, resigned_in: roster.resigned_in }
    }
}

impl TryFrom<proto::Roster> for Roster {
    type Error = Decode;

    fn try_from(roster: proto::Roster) -> Result<Self, Decode> {
        let members = roster.workers.into_iter().map(Member::try_from).collect::<Result<_, _>>()?;
        Ok(Self { members, resigned_in: roster.resigned_in })
    }
}

impl From<&Name> for proto::Task {
    fn from(name: &Name) -> Self {
        Self { job: name.job.0, occurrence: name.occurrence, step: name.step, index: name.index }
    }
}

impl From<proto::Task> for Name {
    fn from(task: proto::Task) -> Self {
        Self { job: Id(task.job), occurrence: task.occurrence, step: task.step, index: task.index }
    }
}

impl From<&Tip> for proto::Tip {
    fn from(tip: &Tip) -> Self {
        let start = |start: &Start| proto::Start {
            task: Some((&start.task).into()),
            worker: start.worker_id.clone(),
            number: start.number,
        };
        Self { write: tip.write, starts: tip.starts.iter().map(start).collect() }
    }
}

impl TryFrom<proto::Tip> for Tip {
    type Error = Decode;

    fn try_from(tip: proto::Tip) -> Result<Self, Decode> {
        let start = |start: proto::Start| {
            let task = start.task.ok_or(Decode::Field("task"))?.into();
            Ok(Start { task, worker_id: start.worker, number: start.number })
        };
        let starts = tip.starts.into_iter().map(start).collect::<Result<_, Decode>>()?;
        Ok(Self { write: tip.write, starts })
    }
}

impl From<&Member> for proto::Member {
    fn from(member: &Member) -> Self {
        Self {
            id: member.id.clone(),
            address: member.address.to_string(),
            is_closed: member.remaining.is_some(),
            remaining: member.remaining.iter().flatten().map(proto::Task::from).collect(),
            wait_ms: member.wait.map(|wait| wait.as_millis() as u64),
        }
    }
}

impl TryFrom<proto::Member> for Member {
    type Error = Decode;

    fn try_from(member: proto::Member) -> Result<Self, Decode> {
        let address = member.address.parse().map_err(|_| Decode::Field("address"))?;
        Ok(Self {
            id: member.id,
            address,
            remaining: member.is_closed.then(|| member.remaining.into_iter().map(Name::from).collect()),
            wait: member.wait_ms.map(Duration::from_millis),
        })
    }
}

impl From<&Estimates> for proto::Images {
    fn from(estimates: &Estimates) -> Self {
        let image = |(name, image): &(String, Image)| proto::Image {
            name: name.clone(),
            floor: image.floor.unwrap_or_default(),
            mean: image.mean,
            peak: image.peak,
        };
        let pair = |(serving, filling, pair): &(usize, usize, Pair)| proto::Pair {
            serving: *serving as u32,
            filling: *filling as u32,
            weight: pair.weight,
            variance: pair.variance,
        };
        Self {
            images: estimates.images.iter().map(image).collect(),
            pairs: estimates.pairs.iter().map(pair).collect(),
        }
    }
}

impl From<proto::Images> for Estimates {
    fn from(images: proto::Images) -> Self {
        let image = |image: proto::Image| {
            let floor = (image.floor > 0.0).then_some(image.floor);
            (image.name, Image { floor, mean: image.mean, peak: image.peak })
        };
        let pair = |pair: proto::Pair| {
            let estimate = Pair { weight: pair.weight, variance: pair.variance };
            (pair.serving as usize, pair.filling as usize, estimate)
        };
        Self {
            images: images.images.into_iter().map(image).collect(),
            pairs: images.pairs.into_iter().map(pair).collect(),
        }
    }
}

impl From<&Record> for proto::Job {
    fn from(record: &Record) -> Self {
        Self {
            queue: record.queue.clone(),
            service: record.service.clone(),
            spec: Some((&record.spec).into()),
            accepted_unix_ms: record.accepted_unix_ms,
        }
    }
}

impl TryFrom<proto::Job> for Record {
    type Error = Decode;

    fn try_from(job: proto::Job) -> Result<Self, Decode> {
        Ok(Self {
            queue: job.queue,
            service: job.service,
            spec: job.spec.ok_or(Decode::Field("spec"))?.into(),
            accepted_unix_ms: job.accepted_unix_ms,
        })
    }
}

impl From<Phase> for proto::Phase {
    fn from(phase: Phase) -> Self {
        match phase {
            Phase::Queued => Self::Queued,
            Phase::Running => Self::Running,
            Phase::Completed => Self::Completed,
            Phase::Failed => Self::Failed,
            Phase::Cancelled => Self::Cancelled,
        }
    }
}

impl From<proto::Phase> for Phase {
    fn from(phase: proto::Phase) -> Self {
        match phase {
            proto::Phase::Queued => Self::Queued,
            proto::Phase::Running => Self::Running,
            proto::Phase::Completed => Self::Completed,
            proto::Phase::Failed => Self::Failed,
            proto::Phase::Cancelled => Self::Cancelled,
        }
    }
}

impl From<&Progress> for proto::Progress {
    fn from(progress: &Progress) -> Self {
        let mark = |task: &TaskProgress| proto::Mark {
            occurrence: task.occurrence,
            step: task.step,
            index: task.index,
            done: task.done,
            failed_runs: task.failed_runs.clone(),
            crashed_runs: task.crashed_runs.clone(),
            sole_crashes: task.sole_crashes.clone(),
            late_on: task.late_on.clone(),
        };
        Self {
            phase: proto::Phase::from(progress.phase).into(),
            marks: progress.task_progress.iter().map(mark).collect(),
            finished_unix_ms: progress.finished_unix_ms,
            has_late_start: progress.has_late_start,
        }
    }
}

impl From<proto::Progress> for Progress {
    fn from(progress: proto::Progress) -> Self {
        let mark = |mark: proto::Mark| TaskProgress {
            occurrence: mark.occurrence,
            step: mark.step,
            index: mark.index,
            done: mark.done,
            failed_runs: mark.failed_runs,
            crashed_runs: mark.crashed_runs,
            sole_crashes: mark.sole_crashes,
            late_on: mark.late_on,
        };
        Self {
            phase: progress.phase().into(),
            finished_unix_ms: progress.finished_unix_ms,
            has_late_start: progress.has_late_start,
            task_progress: progress.marks.into_iter().map(mark).collect(),
        }
    }
}

impl From<&Spec> for proto::Spec {
    fn from(spec: &Spec) -> Self {
        let schedule = spec.schedule.map(|schedule| proto::Schedule {
            start_unix_ms: schedule.start_unix_ms,
            interval_ms: schedule.interval_ms,
            times: schedule.times,
        });
        Self { text: spec.text.clone(), steps: spec.steps.iter().map(proto::Step::from).collect(), schedule }
    }
}

impl From<proto::Spec> for Spec {
    fn from(spec: proto::Spec) -> Self {
        let schedule = spec.schedule.map(|schedule| Schedule {
            start_unix_ms: schedule.start_unix_ms,
            interval_ms: schedule.interval_ms,
            times: schedule.times,
        });
        Self { text: spec.text, steps: spec.steps.into_iter().map(Step::from).collect(), schedule }
    }
}

impl From<&Step> for proto::Step {
    fn from(step: &Step) -> Self {
        Self {
            count: step.count,
            cpu: step.resources.cpu_millicores,
            memory_mb: step.resources.memory_mb,
            gpu: step.resources.gpu,
            estimate_ms: step.estimate.as_millis() as u64,
            after: step.depends_on.clone(),
            checkpoint: step.is_checkpointable,
            gang: step.is_gang,
            same_rack: step.prefers_same_rack,
            requires: step.required_label.clone().unwrap_or_default(),
            affinity: step.affinity.clone().unwrap_or_default(),
            max_per_worker: step.max_per_worker.unwrap_or_default(),
            speculative: step.is_speculative,
            lasting: step.is_long_running,
            image: step.image.clone(),
            target_ms: step.latency_target.unwrap_or_default().as_millis() as u64,
            fills: step.is_filling,
            may_miss: step.max_unavailable,
        }
    }
}

impl From<proto::Step> for Step {
    fn from(step: proto::Step) -> Self {
        let text = |text: String| (!text.is_empty()).then_some(text);
        Self {
            count: step.count,
            resources: Resources { cpu_millicores: step.cpu, memory_mb: step.memory_mb, gpu: step.gpu },
            estimate: Duration::from_millis(step.estimate_ms),
            depends_on: step.after,
            is_checkpointable: step.checkpoint,
            is_gang: step.gang,
            prefers_same_rack: step.same_rack,
            required_label: text(step.requires),
            affinity: text(step.affinity),
            max_per_worker: (step.max_per_worker > 0).then_some(step.max_per_worker),
            is_speculative: step.speculative,
            is_long_running: step.lasting,
            image: step.image,
            latency_target: (step.target_ms > 0).then(|| Duration::from_millis(step.target_ms)),
            is_filling: step.fills,
            max_unavailable: step.may_miss,
        }
    }
}

impl From<&Request> for proto::Query {
    fn from(request: &Request) -> Self {
        use proto::query::Verb as Wire;
        let verb = match &request.verb {
            Verb::Submit(spec) => Wire::Submit(spec.into()),
            Verb::Read => Wire::Read(proto::Empty {}),
            Verb::Cancel => Wire::Cancel(proto::Empty {}),
        };
        Self {
            host: request.host.clone(),
            path: request.path.clone(),
            timeout_ms: request.timeout.as_millis() as u64,
            verb: Some(verb),
            min_config: request.min_config,
        }
    }
}

impl TryFrom<proto::Query> for Request {
    type Error = Decode;

    fn try_from(query: proto::Query) -> Result<Self, Decode> {
        use proto::query::Verb as Wire;
        let verb = match query.verb.ok_or(Decode::Field("verb"))? {
            Wire::Submit(spec) => Verb::Submit(spec.into()),
            Wire::Read(_) => Verb::Read,
            Wire::Cancel(_) => Verb::Cancel,
        };
        let timeout = Duration::from_millis(query.timeout_ms);
        Ok(Self { host: query.host, path: query.path, verb, timeout, min_config: query.min_config })
    }
}

impl From<Answer> for proto::Answer {
    fn from(answer: Answer) -> Self {
        use proto::answer::Answer as Wire;
        let empty = proto::Empty {};
        let answer = match answer {
            Answer::Accepted => Wire::Accepted(empty),
            Answer::Cancelled => Wire::Cancelled(empty),
            Answer::Phase(phase) => Wire::Phase(proto::Phase::from(phase).into()),
            Answer::Pending(count) => Wire::Pending(count),
            Answer::UnknownJob => Wire::UnknownJob(empty),
            Answer::UnknownQueue => Wire::UnknownQueue(empty),
            Answer::Refused(wait) => Wire::Refused(wait),
            Answer::Unknown => Wire::Unknown(empty),
            Answer::Malformed(reason) => Wire::Malformed(reason),
        };
        Self { answer: Some(answer) }
    }
}

impl TryFrom<proto::Answer> for Answer {
    type Error = Decode;

    fn try_from(answer: proto::Answer) -> Result<Self, Decode> {
        use proto::answer::Answer as Wire;
        Ok(match answer.answer.ok_or(Decode::Field("answer"))? {
            Wire::Accepted(_) => Answer::Accepted,
            Wire::Cancelled(_) => Answer::Cancelled,
            Wire::Phase(phase) => {
                Answer::Phase(proto::Phase::try_from(phase).map_err(|_| Decode::Field("phase"))?.into())
            }
            Wire::Pending(count) => Answer::Pending(count),
            Wire::UnknownJob(_) => Answer::UnknownJob,
            Wire::UnknownQueue(_) => Answer::UnknownQueue,
            Wire::Refused(wait) => Answer::Refused(wait),
            Wire::Unknown(_) => Answer::Unknown,
            Wire::Malformed(reason) => Answer::Malformed(reason),
        })
    }
}

impl From<Queue> for proto::Queue {
    fn from(queue: Queue) -> Self {
        Self {
            name: queue.name,
            host: queue.host,
            prefix: queue.prefix,
            service: queue.service,
            priority: queue.priority,
            max_attempts: queue.max_attempts,
            stretch: queue.stretch,
            objective_us: queue.objective.as_micros() as u64,
        }
    }
}

impl From<proto::Queue> for Queue {
    fn from(queue: proto::Queue) -> Self {
        Self {
            name: queue.name,
            host: queue.host,
            prefix: queue.prefix,
            service: queue.service,
            priority: queue.priority,
            max_attempts: queue.max_attempts,
            stretch: queue.stretch,
            objective: Duration::from_micros(queue.objective_us),
        }
    }
}

impl From<Option<Update>> for proto::ConfigUpdate {
    fn from(update: Option<Update>) -> Self {
        let Some(update) = update else { return Self::default() };
        Self {
            base: update.base,
            version: update.version,
            queues: update.queues.into_iter().map(proto::Queue::from).collect(),
            removed: update.removed,
            services: update.services.into_iter().map(|service| service.name).collect(),
            revision: update.newest_until,
        }
    }
}

impl From<proto::ConfigUpdate> for Option<Update> {
    fn from(update: proto::ConfigUpdate) -> Self {
        (update.version > 0).then(|| Update {
            base: update.base,
            version: update.version,
            queues: update.queues.into_iter().map(Queue::from).collect(),
            removed: update.removed,
            services: update.services.into_iter().map(|name| Service { name }).collect(),
            newest_until: update.revision,
        })
    }
}
