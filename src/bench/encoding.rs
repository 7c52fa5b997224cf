//! Encoded sizes of messages and records by the number of their entries.

use std::net::SocketAddr;

use super::shape::{SMALL, Shape};
use super::slope::{Label, Slope, Source};
use super::traffic;
use crate::core::config::{Document, Index};
use crate::core::control::{
    Call, Checkpoint, Command, Ended, Outcome, Reply, Running, Start, Status, Usage, Work,
};
use crate::core::journal::{Adoption, Record, Segment, Snapshot, TaskSnapshot, TaskState};
use crate::core::peer::{Message, Route};
use crate::core::store::Request;
use crate::core::{cell, member, run, store, task, worker};
use crate::declare::check::{Source as Text, compile};
use crate::declare::size::Size;
use crate::declare::{home, job, service, zone};
use crate::hash;
use crate::session::site;
use crate::wire::{control, listing};

/// A message or record whose encoded size depends on the number of its entries.
struct Sample {
    name: &'static str,
    role: &'static str,
    per: &'static str,
    sizes: &'static [usize],
    bytes: fn(usize) -> u64,
}

/// Measures all messages and records.
pub fn run() -> Vec<Slope> {
    SAMPLES.iter().map(measure).collect()
}

fn measure(sample: &Sample) -> Slope {
    let Sample { name, role, per, sizes, bytes } = *sample;
    let points = sizes.iter().map(|size| (*size as f64, bytes(*size) as f64)).collect();
    Slope::new(Label { name, role, per, unit: "bytes", source: Source::Exact }, points)
}

const SMALL_SIZES: &[usize] = &[1, 8, 64];
const LARGE_SIZES: &[usize] = &[16, 256, 4_096];

const SAMPLES: &[Sample] = &[
    Sample {
        name: "call-commands",
        role: "worker control",
        per: "start",
        sizes: SMALL_SIZES,
        bytes: call_bytes,
    },
    Sample {
        name: "reply-running",
        role: "worker control",
        per: "running task",
        sizes: SMALL_SIZES,
        bytes: |count| reply_bytes(count, 0, 0),
    },
    Sample {
        name: "reply-ended",
        role: "worker control",
        per: "ended task",
        sizes: SMALL_SIZES,
        bytes: |count| reply_bytes(0, count, 0),
    },
    Sample {
        name: "reply-usage",
        role: "worker control",
        per: "usage sample",
        sizes: SMALL_SIZES,
        bytes: |count| reply_bytes(0, 0, count),
    },
    Sample {
        name: "segment-assign",
        role: "store",
        per: "Assign record",
        sizes: LARGE_SIZES,
        bytes: |count| {
            segment_bytes(count, |task| {
                let (worker, checkpoint) = (worker::Id(sample_id(task.index)), None);
                Record::Assign { task, attempt: 1, worker, instance: 1, checkpoint }
            })
        },
    },
    Sample {
        name: "segment-done",
        role: "store",
        per: "Done record",
        sizes: LARGE_SIZES,
        bytes: |count| {
            segment_bytes(count, |task| Record::Done { task, attempt: 1, outcome: Outcome::Finished })
        },
    },
    Sample {
        name: "snapshot-tasks",
        role: "store",
        per: "task",
        sizes: LARGE_SIZES,
        bytes: |count| {
            let snapshot = Snapshot { tasks: task_snapshots(count), ..snapshot() };
            traffic::store_request_bytes(&Request::WriteSnapshot { cell: CELL, snapshot })
        },
    },
    Sample {
        name: "snapshot-jobs",
        role: "store",
        per: "adopted job",
        sizes: LARGE_SIZES,
        bytes: |count| {
            let snapshot = Snapshot { jobs: adoptions(count), ..snapshot() };
            traffic::store_request_bytes(&Request::WriteSnapshot { cell: CELL, snapshot })
        },
    },
    Sample {
        name: "index-documents",
        role: "reader",
        per: "document",
        sizes: &[1, 12, 150],
        bytes: |count| traffic::store_reply_bytes(&store::Reply::Index { revision: 1, index: index(count) }),
    },
    Sample {
        name: "document-jobs",
        role: "reader",
        per: "job",
        sizes: &[10, 150, 2_000],
        bytes: |count| stored_text(count).len() as u64,
    },
    Sample {
        name: "list-vms",
        role: "member",
        per: "VM",
        sizes: &[65, 1_300, 30_000],
        bytes: |count| traffic::json_bytes(&vm_list(count)),
    },
    Sample {
        name: "heartbeat-beats",
        role: "member",
        per: "beat",
        sizes: SMALL_SIZES,
        bytes: |count| {
            let others = (0..count as u32)
                .map(|at| member::Liveness { id: member::Id(sample_id(at)), counter: 1 << 33 });
            peer_bytes(&Message::Heartbeat { counter: 1 << 33, version: 17_000, others: others.collect() })
        },
    },
    Sample {
        name: "routes-replicas",
        role: "router",
        per: "replica",
        sizes: LARGE_SIZES,
        bytes: |count| {
            peer_bytes(&Message::Routes { cell: CELL, epoch: 3, version: 9, replicas: routes(count) })
        },
    },
    Sample {
        name: "offer-documents",
        role: "reader",
        per: "document",
        sizes: &[1, 12, 150],
        bytes: |count| peer_bytes(&Message::ConfigOffer { index: index(count), documents: Vec::new() }),
    },
    Sample {
        name: "ask-documents",
        role: "reader",
        per: "document",
        sizes: &[1, 12, 150],
        bytes: |count| {
            let documents = (0..count as u32).map(sample_id).collect();
            peer_bytes(&Message::ConfigAsk { known_version: 17_000, documents })
        },
    },
    Sample {
        name: "handover-tasks",
        role: "owner",
        per: "task",
        sizes: LARGE_SIZES,
        bytes: |count| {
            let snapshot = Snapshot { tasks: task_snapshots(count), ..snapshot() };
            peer_bytes(&Message::Handover { cell: CELL, epoch: 3, next: 9, snapshot })
        },
    },
];

const CELL: cell::Id = cell::Id { zone: zone::Id(0xdead_beef), index: 20 };
const CLOCK_MS: u64 = 86_400_000;

/// An identity of typical encoded length.
fn sample_id(at: u32) -> u64 {
    hash::numbers([u64::from(at)]) | 1 << 63
}

fn task(index: u32) -> task::Id {
    task::Id { job: job::Id(sample_id(7)), index }
}

fn size() -> Size {
    Size { millicores: 2_000, memory_mib: 4_096, accelerators: 0, slots: 1 }
}

fn call_bytes(count: usize) -> u64 {
    let start = |index| {
        Command::Start(Start {
            work: Work::Batch(task(index)),
            attempt: 1,
            size: size(),
            checkpoint: None,
            name: "weaving-roster".into(),
            kind: "weaving-roster".into(),
            run_time_ms: 60_000,
            concurrency: 0,
        })
    };
    traffic::call_bytes(&Call {
        holder: member::Id(sample_id(0)),
        cell: CELL,
        epoch: 3,
        instance: 1,
        caretaker: false,
        sequence: 100_000,
        until_ms: CLOCK_MS,
        release: false,
        wait_ms: 2_000,
        acknowledge: Vec::new(),
        commands: (0..count as u32).map(start).collect(),
    })
}

fn reply_bytes(running: usize, ended: usize, usage: usize) -> u64 {
    traffic::json_bytes(&reply(running, ended, usage))
}

/// A worker's reply with the given numbers of entries.
pub fn reply(running: usize, ended: usize, usage: usize) -> control::Reply {
    let work = |at: usize| Work::Batch(task(at as u32));
    control::Reply::from(Reply {
        status: Status::Granted,
        instance: 1,
        clock_ms: CLOCK_MS,
        lease_until_ms: CLOCK_MS,
        epoch: 3,
        running: (0..running)
            .map(|at| Running { work: work(at), attempt: 1, size: size(), service: None })
            .collect(),
        ended: (0..ended)
            .map(|at| Ended { work: work(at), attempt: 1, outcome: Outcome::Finished })
            .collect(),
        usage: (0..usage)
            .map(|at| Usage {
                work: work(at),
                taken_ms: CLOCK_MS,
                millicores: 1_900,
                memory_mib: 3_900,
                speed_percent: 100,
            })
            .collect(),
    })
}

fn segment_bytes(count: usize, record: fn(task::Id) -> Record) -> u64 {
    let records = (0..count as u32).map(|index| record(task(index))).collect();
    let segment = Segment { position: 100_000, write_id: sample_id(1), epoch: 3, records };
    traffic::store_request_bytes(&Request::Append { cell: CELL, expect: 1, segment })
}

fn snapshot() -> Snapshot {
    Snapshot { next: 100_000, epoch: 3, jobs: Vec::new(), tasks: Vec::new(), stored_position: 99_936 }
}

fn task_snapshots(count: usize) -> Vec<TaskSnapshot> {
    let task_snapshot = |index| TaskSnapshot {
        task: task(index),
        attempt: 1,
        failures: 0,
        state: TaskState::Assigned {
            worker: worker::Id(sample_id(index)),
            instance: 1,
            checkpoint: Some(Checkpoint(sample_id(index))),
        },
    };
    (0..count as u32).map(task_snapshot).collect()
}

fn adoptions(count: usize) -> Vec<Adoption> {
    let adoption =
        |at| Adoption { job: job::Id(sample_id(at)), count: 10, version: 17_000, cancelled: false };
    (0..count as u32).map(adoption).collect()
}

fn routes(count: usize) -> Vec<Route> {
    let route = |at: u32| Route {
        run: run::Id(sample_id(at)),
        service: service::Id(sample_id(3)),
        address: site::worker_address(at as u16),
        connections: 64,
        leaving: false,
        batch_percent: 50,
    };
    (0..count as u32).map(route).collect()
}

/// An index of `count` documents, one for each team.
pub fn index(count: usize) -> Index {
    let document = |at: u32| Document {
        name: format!("team-{at:03}"),
        version: 17_000,
        hash: sample_id(at),
        author: "operator".into(),
        applied_s: 1_800_000_000,
    };
    Index { version: 17_000, write_id: sample_id(1), documents: (0..count as u32).map(document).collect() }
}

/// Stored text of a document with `jobs` jobs, with the homes of their tasks.
pub fn stored_text(jobs: usize) -> String {
    let text = Shape { remote_jobs: jobs, zones: 23, remote_workers: 1_300, ..SMALL }.document();
    let plan = compile(&[Text { name: "bench", text: &text, is_stored: false }]).unwrap_or_default();
    home::append_homes(&text, "bench", &plan, None)
}

/// A VM list of `count` workers in 23 zones.
pub fn vm_list(count: usize) -> Vec<listing::Vm> {
    let vm = |at: usize| listing::Vm {
        name: format!("zone-{}-worker-{at:05}", at % 23),
        instance: 1,
        kind: listing::Kind::Worker,
        zone: format!("zone-{}", at % 23),
        rack: format!("zone-{}-rack-{}", at % 23, at % 130),
        pool: format!("pool-{}", at % 23),
        address: SocketAddr::from(([10, 0, (at >> 8) as u8, at as u8], 7_000)),
        state: listing::State::Live,
    };
    (0..count).map(vm).collect()
}

fn peer_bytes(message: &Message) -> u64 {
    traffic::peer_bytes(member::Id(sample_id(0)), message)
}
