//! Axes: sizes of a deployment that are varied one at a time.

use super::shape::{SMALL, Shape};
use super::slope::{Label, Slope, Source};
use super::traffic::Flow;
use super::trial::{self, Trial};

/// A quantity read from a trial.
#[derive(Debug, Clone, Copy)]
pub struct Metric {
    /// Name of the slope.
    name: &'static str,
    /// Unit of the value.
    unit: &'static str,
    /// How it is obtained.
    source: Source,
    /// Reads it.
    read: fn(&Trial) -> f64,
}

/// One size that is varied, and what is measured with it.
#[derive(Debug, Clone, Copy)]
pub struct Axis {
    /// Role measured.
    role: &'static str,
    /// What the size counts.
    per: &'static str,
    /// Sizes of the shapes.
    sizes: &'static [usize],
    /// Shape of a size.
    shape: fn(usize) -> Shape,
    /// Size as measured.
    size: fn(&Trial) -> f64,
    /// Quantities.
    metrics: &'static [Metric],
}

/// Runs of each shape for a time; the fastest counts.
const REPEATS: usize = 3;

/// Runs all axes and fits a line for each metric; without `timed`, only those that are the same in each run.
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
        axis.sizes.iter().map(|size| trial::best((axis.shape)(*size), repeats)).collect();
    metrics.into_iter().map(|metric| fit(axis, metric, &trials)).collect()
}

fn fit(axis: &Axis, metric: &Metric, trials: &[Trial]) -> Slope {
    let points = trials.iter().map(|trial| ((axis.size)(trial), (metric.read)(trial))).collect();
    let Metric { name, unit, source, .. } = *metric;
    Slope::new(Label { name, role: axis.role, per: axis.per, unit, source }, points)
}

/// Processor time of the first entry VM, in microseconds per second.
fn cpu(trial: &Trial) -> f64 {
    trial.first.spent.as_secs_f64() * 1e6 / trial.span_s
}

/// Processor time of an entry VM on average, in microseconds per second.
fn cpu_of_each(trial: &Trial) -> f64 {
    trial.all.spent.as_secs_f64() * 1e6 / trial.span_s / processes(trial)
}

fn processes(trial: &Trial) -> f64 {
    (trial.shape.live * trial.shape.members) as f64
}

fn per_second(trial: &Trial, count: u64) -> f64 {
    count as f64 / trial.span_s
}

/// Messages of a kind that all entry VMs sent.
fn sent(trial: &Trial, kind: &str) -> Flow {
    trial.all.sent.get(kind).copied().unwrap_or_default()
}

fn starts(trial: &Trial) -> f64 {
    per_second(trial, trial.first.starts)
}

/// A cell of 64 workers of which some start tasks of 4 s each.
fn starting(busy: usize) -> Shape {
    const TASKS_PER_WORKER: usize = 80;
    Shape { workers: 64, busy, tasks: busy * TASKS_PER_WORKER, run_time_ms: 4_000, ..SMALL }
}

const fn exact(name: &'static str, unit: &'static str, read: fn(&Trial) -> f64) -> Metric {
    Metric { name, unit, source: Source::Exact, read }
}

const fn time(name: &'static str, read: fn(&Trial) -> f64) -> Metric {
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
        shape: |workers| Shape { workers, busy: workers, ..SMALL },
        size: |trial| trial.shape.workers as f64,
        metrics: &[
            exact("control-calls", "calls/s", |t| per_second(t, t.first.flow(&["control"]).count) / 2.0),
            exact("control-bytes", "bytes/s", |t| per_second(t, t.first.control_bytes())),
            exact("owner-events", "events/s", |t| per_second(t, t.first.events)),
            time("owner-cpu-workers", cpu),
        ],
    },
    Axis {
        role: OWNER,
        per: "running task",
        sizes: &[8, 64, 504],
        shape: |tasks| Shape { workers: 64, busy: 64, tasks, ..SMALL },
        size: |trial| trial.shape.tasks as f64,
        metrics: &[
            exact("running-bytes", "bytes/s", |t| per_second(t, t.first.control_bytes())),
            time("owner-cpu-running", cpu),
        ],
    },
    Axis {
        role: OWNER,
        per: "start/s",
        sizes: &[1, 8, 64],
        shape: starting,
        size: starts,
        metrics: &[
            exact("start-calls", "calls/s", |t| per_second(t, t.first.flow(&["control"]).count) / 2.0),
            exact("start-control-bytes", "bytes/s", |t| per_second(t, t.first.control_bytes())),
            exact("start-store-bytes", "bytes/s", |t| per_second(t, t.first.store_bytes())),
            exact("start-store-writes", "writes/s", |t| per_second(t, t.first.writes)),
            time("owner-cpu-starts", cpu),
        ],
    },
    Axis {
        role: OWNER,
        per: "queued task",
        sizes: &[64, 512, 4_096],
        shape: |tasks| Shape { workers: 64, busy: 1, tasks, ..SMALL },
        size: |trial| trial.shape.tasks as f64,
        metrics: &[time("owner-cpu-queued", cpu)],
    },
    Axis {
        role: OWNER,
        per: "service in the plan",
        sizes: &[1, 8, 64],
        shape: |services| Shape { workers: 64, busy: 64, services, ..SMALL },
        size: |trial| trial.shape.services as f64,
        metrics: &[time("owner-cpu-services", cpu)],
    },
    Axis {
        role: OWNER,
        per: "replica in the plan, all zones",
        sizes: &[23, 184, 1_472],
        shape: |spread_replicas| Shape {
            workers: 64,
            busy: 64,
            zones: 23,
            away: 6_400,
            spread_replicas,
            ..SMALL
        },
        size: |trial| trial.shape.spread_replicas as f64,
        metrics: &[time("owner-cpu-replicas", cpu)],
    },
    Axis {
        role: OWNER,
        per: "job in the plan, other zones",
        sizes: &[10, 150, 2_000],
        shape: |away_jobs| Shape { away_jobs, ..starting(8) },
        size: |trial| trial.shape.away_jobs as f64,
        metrics: &[time("owner-cpu-jobs", cpu)],
    },
    Axis {
        role: OWNER,
        per: "worker in the plan, other zones",
        sizes: &[65, 1_300, 30_000],
        shape: |workers| Shape { workers: 64, busy: 64, zones: 23, away: workers.div_ceil(22), ..SMALL },
        size: |trial| (trial.shape.away * 22) as f64,
        metrics: &[time("owner-cpu-fleet", cpu)],
    },
    Axis {
        role: OWNER,
        per: "team",
        sizes: &[1, 12, 150],
        shape: |teams| Shape { teams, ..starting(8) },
        size: |trial| trial.shape.teams as f64,
        metrics: &[time("owner-cpu-teams", cpu)],
    },
    Axis {
        role: MEMBER,
        per: "member",
        sizes: &[2, 16, 128],
        shape: |members| Shape { zones: 2, live: 2, members: members / 2, ..SMALL },
        size: processes,
        metrics: &[
            exact("heartbeats", "messages/s", |t| per_second(t, sent(t, "heartbeat").count) / processes(t)),
            exact("heartbeat-bytes", "bytes/s", |t| {
                per_second(t, t.all.flow(&["heartbeat"]).bytes) / processes(t)
            }),
            time("member-cpu", cpu_of_each),
        ],
    },
    Axis {
        role: MEMBER,
        per: "cell of the zone",
        sizes: &[1, 8, 64],
        shape: |cells| Shape { members: 2, cells, workers: 64, busy: 64, ..SMALL },
        size: |trial| trial.shape.cells as f64,
        metrics: &[
            exact("grant-messages", "messages/s", |t| {
                per_second(t, t.all.flow(&["grant-ask", "grant"]).count) / processes(t)
            }),
            exact("grant-bytes", "bytes/s", |t| {
                per_second(t, t.all.flow(&["grant-ask", "grant"]).bytes) / processes(t)
            }),
            time("member-cpu-cells", cpu_of_each),
        ],
    },
    Axis {
        role: MEMBER,
        per: "member of the zone, one cell each",
        sizes: &[2, 8, 32],
        shape: |members| Shape { members, cells: members, workers: 64, busy: 64, ..SMALL },
        size: processes,
        metrics: &[
            exact("zone-messages", "messages/s", |t| {
                per_second(t, t.all.flow(&trial::PEER).count) / processes(t)
            }),
            exact("zone-bytes", "bytes/s", |t| per_second(t, t.all.peer_bytes()) / processes(t)),
            time("member-cpu-zone", cpu_of_each),
        ],
    },
    Axis {
        role: OWNER,
        per: "replica of the cell, at 16 starts/s, for each holder of a grant",
        sizes: &[4, 32, 256],
        shape: |replicas| Shape { members: 2, replicas, ..starting(8) },
        size: |trial| trial.shape.replicas as f64,
        metrics: &[
            exact("route-messages", "messages/s", |t| per_second(t, sent(t, "routes").count)),
            exact("route-bytes", "bytes/s", |t| per_second(t, sent(t, "routes").bytes)),
        ],
    },
    Axis {
        role: ROUTER,
        per: "request/s",
        sizes: &[10, 80, 640],
        shape: |requests| Shape { replicas: 16, requests, ..SMALL },
        size: |trial| per_second(trial, trial.first.requests),
        metrics: &[time("router-cpu-requests", cpu)],
    },
    Axis {
        role: ROUTER,
        per: "replica, at 100 requests/s",
        sizes: &[4, 32, 256],
        shape: |replicas| Shape { workers: 64, busy: 64, replicas, requests: 100, ..SMALL },
        size: |trial| trial.shape.replicas as f64,
        metrics: &[time("router-cpu-replicas", cpu)],
    },
    Axis {
        role: READER,
        per: "zone",
        sizes: &[1, 8, 64],
        shape: |zones| Shape { zones, live: zones, members: 2, workers: 1, busy: 1, ..SMALL },
        size: |trial| trial.shape.zones as f64,
        metrics: &[
            exact("index-reads", "reads/s", |t| per_second(t, sent(t, "read-index").count)),
            exact("index-bytes", "bytes/s", |t| per_second(t, t.all.store_bytes())),
        ],
    },
    Axis {
        role: STORE,
        per: "busy cell",
        sizes: &[1, 8, 64],
        shape: |cells| Shape {
            cells,
            workers: cells,
            busy: cells,
            tasks: cells * 160,
            run_time_ms: 2_000,
            ..SMALL
        },
        size: |trial| trial.shape.cells as f64,
        metrics: &[exact("busy-writes", "writes/s", |t| per_second(t, t.first.writes))],
    },
];
