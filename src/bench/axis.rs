//! Measurement axes: sizes of a deployment, each varied while the others are constant.

use super::shape::{SMALL, Shape};
use super::slope::{Label, Slope, Source};
use super::traffic::Flow;
use super::trial::{self, Trial};

/// A quantity that is read from a trial.
#[derive(Debug, Clone, Copy)]
pub struct Metric {
    /// Name of the slope.
    name: &'static str,
    /// Unit of the value.
    unit: &'static str,
    /// How the value is obtained.
    source: Source,
    /// Reads the value from a trial.
    read: fn(&Trial) -> f64,
}

/// A size that is varied, and the quantities that are measured at each value of it.
#[derive(Debug, Clone, Copy)]
pub struct Axis {
    /// Role of the measured process.
    role: &'static str,
    /// Item that the size counts.
    per: &'static str,
    /// Sizes at which a trial runs.
    sizes: &'static [usize],
    /// Shape of the deployment of a size.
    shape: fn(usize) -> Shape,
    /// Size as it results from the trial.
    size: fn(&Trial) -> f64,
    /// Measured quantities.
    metrics: &'static [Metric],
}

/// Number of runs of each shape for time measurements. The fastest counts.
const REPEATS: usize = 3;

/// Runs all axes and fits a line for each metric. Without `timed`, runs only the metrics that are the same in each run.
pub fn run(timed: bool) -> Vec<Slope> {
    AXES.iter().flat_map(|axis| run_axis(axis, timed)).collect()
}

fn run_axis(axis: &Axis, timed: bool) -> Vec<Slope> {
    let metrics: Vec<&Metric> =
        axis.metrics.iter().filter(|metric| timed || metric.source == Source::Exact).collect();
    if metrics.is_empty() {
        return Vec::new();
    }
    let repeats = if timed { REPEATS } else { 1 };
    let trials: Vec<Trial> =
        axis.sizes.iter().map(|size| trial::run_fastest((axis.shape)(*size), repeats)).collect();
    metrics.into_iter().map(|metric| fit(axis, metric, &trials)).collect()
}

fn fit(axis: &Axis, metric: &Metric, trials: &[Trial]) -> Slope {
    let points = trials.iter().map(|trial| ((axis.size)(trial), (metric.read)(trial))).collect();
    let Metric { name, unit, source, .. } = *metric;
    Slope::new(Label { name, role: axis.role, per: axis.per, unit, source }, points)
}

/// Processor time of the first entry VM's reducer, in microseconds per second.
fn first_cpu(trial: &Trial) -> f64 {
    trial.first.reducer_time.as_secs_f64() * 1e6 / trial.span_s
}

/// Mean processor time of the reducer of an entry VM, in microseconds per second.
fn mean_cpu(trial: &Trial) -> f64 {
    trial.all.reducer_time.as_secs_f64() * 1e6 / trial.span_s / process_count(trial)
}

fn process_count(trial: &Trial) -> f64 {
    (trial.shape.live_zones * trial.shape.members) as f64
}

fn per_second(trial: &Trial, count: u64) -> f64 {
    count as f64 / trial.span_s
}

/// Messages of a kind that all entry VMs together sent.
fn sent_flow(trial: &Trial, kind: &str) -> Flow {
    trial.all.sent.get(kind).copied().unwrap_or_default()
}

fn starts_per_second(trial: &Trial) -> f64 {
    per_second(trial, trial.first.starts)
}

/// A cell of 64 workers, of which `batch_workers` run tasks of 4 s each.
fn cell_with_starts(batch_workers: usize) -> Shape {
    const TASKS_PER_WORKER: usize = 80;
    Shape { workers: 64, batch_workers, tasks: batch_workers * TASKS_PER_WORKER, run_time_ms: 4_000, ..SMALL }
}

const fn exact_metric(name: &'static str, unit: &'static str, read: fn(&Trial) -> f64) -> Metric {
    Metric { name, unit, source: Source::Exact, read }
}

const fn time_metric(name: &'static str, read: fn(&Trial) -> f64) -> Metric {
    Metric { name, unit: "µs/s", source: Source::Time, read }
}

const OWNER: &str = "owner";
const MEMBER: &str = "member";
const ROUTER: &str = "router";
const READER: &str = "reader";
const STORE: &str = "store";

const AXES: &[Axis] = &[
    Axis {
        role: OWNER,
        per: "worker of the cell",
        sizes: &[1, 8, 64],
        shape: |workers| Shape { workers, batch_workers: workers, ..SMALL },
        size: |trial| trial.shape.workers as f64,
        metrics: &[
            exact_metric("control-calls", "calls/s", |t| {
                per_second(t, t.first.flow(&["control"]).count) / 2.0
            }),
            exact_metric("control-bytes", "bytes/s", |t| per_second(t, t.first.control_bytes())),
            exact_metric("owner-events", "events/s", |t| per_second(t, t.first.events)),
            time_metric("owner-cpu-workers", first_cpu),
        ],
    },
    Axis {
        role: OWNER,
        per: "running task",
        sizes: &[8, 64, 504],
        shape: |tasks| Shape { workers: 64, batch_workers: 64, tasks, ..SMALL },
        size: |trial| trial.shape.tasks as f64,
        metrics: &[
            exact_metric("running-bytes", "bytes/s", |t| per_second(t, t.first.control_bytes())),
            time_metric("owner-cpu-running", first_cpu),
        ],
    },
    Axis {
        role: OWNER,
        per: "start/s",
        sizes: &[1, 8, 64],
        shape: cell_with_starts,
        size: starts_per_second,
        metrics: &[
            exact_metric("start-calls", "calls/s", |t| per_second(t, t.first.flow(&["control"]).count) / 2.0),
            exact_metric("start-control-bytes", "bytes/s", |t| per_second(t, t.first.control_bytes())),
            exact_metric("start-store-bytes", "bytes/s", |t| per_second(t, t.first.store_bytes())),
            exact_metric("start-store-writes", "writes/s", |t| per_second(t, t.first.store_writes)),
            time_metric("owner-cpu-starts", first_cpu),
        ],
    },
    Axis {
        role: OWNER,
        per: "queued task",
        sizes: &[64, 512, 4_096],
        shape: |tasks| Shape { workers: 64, batch_workers: 1, tasks, ..SMALL },
        size: |trial| trial.shape.tasks as f64,
        metrics: &[time_metric("owner-cpu-queued", first_cpu)],
    },
    Axis {
        role: OWNER,
        per: "service in the plan",
        sizes: &[1, 8, 64],
        shape: |services| Shape { workers: 64, batch_workers: 64, services, ..SMALL },
        size: |trial| trial.shape.services as f64,
        metrics: &[time_metric("owner-cpu-services", first_cpu)],
    },
    Axis {
        role: OWNER,
        per: "replica in the plan, all zones",
        sizes: &[23, 184, 1_472],
        shape: |spread_replicas| Shape {
            workers: 64,
            batch_workers: 64,
            zones: 23,
            remote_workers: 6_400,
            spread_replicas,
            ..SMALL
        },
        size: |trial| trial.shape.spread_replicas as f64,
        metrics: &[time_metric("owner-cpu-replicas", first_cpu)],
    },
    Axis {
        role: OWNER,
        per: "job in the plan, other zones",
        sizes: &[10, 150, 2_000],
        shape: |remote_jobs| Shape { remote_jobs, ..cell_with_starts(8) },
        size: |trial| trial.shape.remote_jobs as f64,
        metrics: &[time_metric("owner-cpu-jobs", first_cpu)],
    },
    Axis {
        role: OWNER,
        per: "worker in the plan, other zones",
        sizes: &[65, 1_300, 30_000],
        shape: |workers| Shape {
            workers: 64,
            batch_workers: 64,
            zones: 23,
            remote_workers: workers.div_ceil(22),
            ..SMALL
        },
        size: |trial| (trial.shape.remote_workers * 22) as f64,
        metrics: &[time_metric("owner-cpu-fleet", first_cpu)],
    },
    Axis {
        role: OWNER,
        per: "team",
        sizes: &[1, 12, 150],
        shape: |teams| Shape { teams, ..cell_with_starts(8) },
        size: |trial| trial.shape.teams as f64,
        metrics: &[time_metric("owner-cpu-teams", first_cpu)],
    },
    Axis {
        role: MEMBER,
        per: "member",
        sizes: &[2, 16, 128],
        shape: |members| Shape { zones: 2, live_zones: 2, members: members / 2, ..SMALL },
        size: process_count,
        metrics: &[
            exact_metric("heartbeats", "messages/s", |t| {
                per_second(t, sent_flow(t, "heartbeat").count) / process_count(t)
            }),
            exact_metric("heartbeat-bytes", "bytes/s", |t| {
                per_second(t, t.all.flow(&["heartbeat"]).bytes) / process_count(t)
            }),
            time_metric("member-cpu", mean_cpu),
        ],
    },
    Axis {
        role: MEMBER,
        per: "cell of the zone",
        sizes: &[1, 8, 64],
        shape: |cells| Shape { members: 2, cells, workers: 64, batch_workers: 64, ..SMALL },
        size: |trial| trial.shape.cells as f64,
        metrics: &[
            exact_metric("grant-messages", "messages/s", |t| {
                per_second(t, t.all.flow(&["grant-ask", "grant"]).count) / process_count(t)
            }),
            exact_metric("grant-bytes", "bytes/s", |t| {
                per_second(t, t.all.flow(&["grant-ask", "grant"]).bytes) / process_count(t)
            }),
            time_metric("member-cpu-cells", mean_cpu),
        ],
    },
    Axis {
        role: MEMBER,
        per: "member of the zone, one cell each",
        sizes: &[2, 8, 32],
        shape: |members| Shape { members, cells: members, workers: 64, batch_workers: 64, ..SMALL },
        size: process_count,
        metrics: &[
            exact_metric("zone-messages", "messages/s", |t| {
                per_second(t, t.all.flow(&trial::PEER_KINDS).count) / process_count(t)
            }),
            exact_metric("zone-bytes", "bytes/s", |t| per_second(t, t.all.peer_bytes()) / process_count(t)),
            time_metric("member-cpu-zone", mean_cpu),
        ],
    },
    Axis {
        role: OWNER,
        per: "replica of the cell, at 16 starts/s, for each holder of a grant",
        sizes: &[4, 32, 256],
        shape: |replicas| Shape { members: 2, replicas, ..cell_with_starts(8) },
        size: |trial| trial.shape.replicas as f64,
        metrics: &[
            exact_metric("route-messages", "messages/s", |t| per_second(t, sent_flow(t, "routes").count)),
            exact_metric("route-bytes", "bytes/s", |t| per_second(t, sent_flow(t, "routes").bytes)),
        ],
    },
    Axis {
        role: ROUTER,
        per: "request/s",
        sizes: &[10, 80, 640],
        shape: |requests| Shape { replicas: 16, requests, ..SMALL },
        size: |trial| per_second(trial, trial.first.requests),
        metrics: &[time_metric("router-cpu-requests", first_cpu)],
    },
    Axis {
        role: ROUTER,
        per: "replica, at 100 requests/s",
        sizes: &[4, 32, 256],
        shape: |replicas| Shape { workers: 64, batch_workers: 64, replicas, requests: 100, ..SMALL },
        size: |trial| trial.shape.replicas as f64,
        metrics: &[time_metric("router-cpu-replicas", first_cpu)],
    },
    Axis {
        role: READER,
        per: "zone",
        sizes: &[1, 8, 64],
        shape: |zones| Shape { zones, live_zones: zones, members: 2, workers: 1, batch_workers: 1, ..SMALL },
        size: |trial| trial.shape.zones as f64,
        metrics: &[
            exact_metric("index-reads", "reads/s", |t| per_second(t, sent_flow(t, "read-index").count)),
            exact_metric("index-bytes", "bytes/s", |t| per_second(t, t.all.store_bytes())),
        ],
    },
    Axis {
        role: STORE,
        per: "busy cell",
        sizes: &[1, 8, 64],
        shape: |cells| Shape {
            cells,
            workers: cells,
            batch_workers: cells,
            tasks: cells * 160,
            run_time_ms: 2_000,
            ..SMALL
        },
        size: |trial| trial.shape.cells as f64,
        metrics: &[exact_metric("busy-writes", "writes/s", |t| per_second(t, t.first.store_writes))],
    },
];
