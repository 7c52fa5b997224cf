//! Metrics of a process, recorded with OpenTelemetry and rendered in the text format of Prometheus.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use crate::core::store::{Reply, Request};
use crate::core::time::Instant;
use crate::core::work::meter::{Counts, Report};
use crate::core::work::occupancy::{KINDS, Occupancy};
use crate::error::{Error, Result};
use crate::port::admission::{Gate, Refusal};

/// Name of the meter of all instruments.
const METER: &str = "nutmegfold";

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BOUNDS_S: [f64; 14] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0];

/// Instruments of one process; clones share them.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    // The instruments report nothing after their provider is dropped.
    provider: SdkMeterProvider,
    requests: Counter<u64>,
    request_latency: Histogram<f64>,
    decisions: Counter<u64>,
    store_calls: Counter<u64>,
    peer_bytes: Counter<u64>,
    tasks: Gauge<u64>,
    owned_cells: Gauge<u64>,
    leader: LeaderInstruments,
    /// Since when a newer configuration is known that is not in force, in microseconds of the clock; 0 if there is none.
    config_pending_since_us: Arc<AtomicU64>,
}

/// Instruments for the work and backlog of a leader.
#[derive(Debug, Clone)]
struct LeaderInstruments {
    work: Counter<u64>,
    pass_time: Counter<f64>,
    copy_time: Counter<f64>,
    orders: Counter<u64>,
    lag: Gauge<f64>,
    commit_time: Gauge<f64>,
    placement_delay: Gauge<f64>,
    queued_changes: Gauge<u64>,
    ready_tasks: Gauge<u64>,
    ready_groups: Gauge<u64>,
    group_age: Gauge<f64>,
    job_size_age: Gauge<f64>,
    refusals: Counter<u64>,
    forecast_wait: Gauge<f64>,
    cores: Gauge<f64>,
    free_cores: Gauge<f64>,
    largest_free_cores: Gauge<f64>,
    workers_without_long_running: Gauge<u64>,
    evacuated_zones: Gauge<u64>,
    evacuated_runs: Gauge<u64>,
}

/// Direction of traffic between entry VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// To another entry VM.
    Sent,
    /// From another entry VM.
    Received,
}

impl Metrics {
    /// Creates the instruments with a registry of their own.
    ///
    /// # Errors
    ///
    /// The exporter cannot be registered.
    pub fn new() -> Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .with_namespace("nutmegfold")
            .scope_info_enabled(false)
            .without_target_info()
            .build()
            .map_err(|error| Error::call("start the metrics exporter", error))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter(METER);
        let counter = |name, description| meter.u64_counter(name).with_description(description).build();
        let gauge = |name, description| meter.u64_gauge(name).with_description(description).build();
        let cores = |name, description| meter.f64_gauge(name).with_description(description).build();
        let seconds =
            |name, description| meter.f64_gauge(name).with_description(description).with_unit("s").build();
        Ok(Self {
            requests: counter("requests", "Requests of callers, by outcome"),
            request_latency: meter
                .f64_histogram("request_latency")
                .with_description("Time from a request to its answer, by outcome")
                .with_unit("s")
                .with_boundaries(LATENCY_BOUNDS_S.to_vec())
                .build(),
            decisions: counter("decisions", "Timeline entries, by decision"),
            store_calls: counter("store_calls", "Calls of the store, by kind and reply"),
            peer_bytes: counter("peer_bytes", "Bytes between entry VMs, by direction"),
            tasks: gauge("tasks", "Batch tasks of the cells owned here, by phase"),
            owned_cells: gauge("cells_owned", "Cells owned here"),
            leader: LeaderInstruments {
                work: counter("leader_work", "Work of this leader, by kind"),
                pass_time: meter
                    .f64_counter("leader_pass_time")
                    .with_description("Time of the events with a placement pass of this leader")
                    .with_unit("s")
                    .build(),
                copy_time: meter
                    .f64_counter("leader_copy_core_time")
                    .with_description("Processor time that speculative copies reserved")
                    .with_unit("s")
                    .build(),
                orders: counter("leader_orders", "Orders to workers, by kind"),
                lag: seconds("leader_lag", "Longest delay of a timer in the last report of this leader"),
                commit_time: seconds(
                    "leader_commit_time",
                    "Longest time of a commit in flight in the last report of this leader",
                ),
                placement_delay: seconds(
                    "leader_placement_delay",
                    "Longest time for which a ready task has had room and waits, in the last report of this leader",
                ),
                queued_changes: gauge("leader_queued_changes", "Changes that wait for a commit"),
                ready_tasks: gauge("leader_ready_tasks", "Ready tasks of submitted jobs"),
                ready_groups: gauge("leader_ready_groups", "Groups of ready tasks of submitted jobs"),
                group_age: seconds("leader_group_age", "Age of the oldest waiting group, by priority"),
                job_size_age: seconds(
                    "leader_job_size_age",
                    "Age of the oldest waiting group of small and of large jobs",
                ),
                refusals: counter("leader_refusals", "Submissions refused by their forecast, by queue"),
                forecast_wait: seconds(
                    "leader_forecast_wait",
                    "Longest forecast time until a submitted job would start, in the last report of this leader",
                ),
                cores: cores("leader_cores", "Cores that runs reserve and use, by service and kind of run"),
                free_cores: cores(
                    "leader_free_cores",
                    "Free cores of the workers that take new runs, by service",
                ),
                largest_free_cores: cores(
                    "leader_largest_free_cores",
                    "Most free cores of one worker that takes new runs, by service",
                ),
                workers_without_long_running: gauge(
                    "leader_workers_without_long_running",
                    "Workers that take new runs and have no long-running run, by service",
                ),
                evacuated_zones: gauge("leader_evacuated_zones", "Evacuated availability zones"),
                evacuated_runs: gauge(
                    "leader_evacuated_runs",
                    "Runs on the workers of evacuated availability zones",
                ),
            },
            config_pending_since_us: Arc::default(),
            registry,
            provider,
        })
    }

    /// Counts a request that ended with `outcome`, and records `elapsed` as its latency.
    pub fn record_request(&self, outcome: &'static str, elapsed: Duration) {
        let labels = [KeyValue::new("outcome", outcome)];
        self.requests.add(1, &labels);
        self.request_latency.record(elapsed.as_secs_f64(), &labels);
    }

    /// Counts a timeline entry by the name of its decision.
    pub fn record_decision(&self, name: &'static str) {
        self.decisions.add(1, &[KeyValue::new("decision", name)]);
    }

    /// Counts a call to the store; `kind` is the [`request_kind`] of its request.
    pub fn record_store_call(&self, kind: &'static str, reply: &Reply) {
        let labels = [KeyValue::new("kind", kind), KeyValue::new("reply", reply_label(reply))];
        self.store_calls.add(1, &labels);
    }

    /// Adds to the number of bytes sent to or received from other entry VMs.
    pub fn record_peer_bytes(&self, direction: Direction, bytes: u64) {
        let label = match direction {
            Direction::Sent => "sent",
            Direction::Received => "received",
        };
        self.peer_bytes.add(bytes, &[KeyValue::new("direction", label)]);
    }

    /// Sets the number of batch tasks in `phase` over all owned cells.
    pub fn set_task_count(&self, phase: &'static str, count: u64) {
        self.tasks.record(count, &[KeyValue::new("phase", phase)]);
    }

    /// Sets the number of cells that this process owns.
    pub fn set_owned_cell_count(&self, count: u64) {
        self.owned_cells.record(count, &[]);
    }

    /// Adds a report of a leader.
    pub fn record_leader(&self, report: &Report) {
        for (kind, count) in work_kinds(&report.counts) {
            self.leader.work.add(count, &[KeyValue::new("kind", kind)]);
        }
        for (kind, count) in order_kinds(&report.counts) {
            self.leader.orders.add(count, &[KeyValue::new("kind", kind)]);
        }
        self.leader.pass_time.add(report.counts.pass_time.as_secs_f64(), &[]);
        self.leader.copy_time.add(report.counts.copy_core_ms as f64 / 1_000.0, &[]);
        self.leader.lag.record(report.longest_lag.as_secs_f64(), &[]);
        self.leader.commit_time.record(report.longest_commit.as_secs_f64(), &[]);
        self.leader.placement_delay.record(report.placement_delay.as_secs_f64(), &[]);
        self.leader.queued_changes.record(report.queued_changes, &[]);
        self.leader.ready_tasks.record(report.ready_tasks, &[]);
        self.leader.ready_groups.record(report.ready_groups, &[]);
        for (priority, age) in &report.group_ages {
            let label = KeyValue::new("priority", i64::from(*priority));
            self.leader.group_age.record(age.as_secs_f64(), &[label]);
        }
        for (size, age) in [("small", report.small_job_age), ("large", report.large_job_age)] {
            self.leader.job_size_age.record(age.as_secs_f64(), &[KeyValue::new("size", size)]);
        }
        for (queue, count) in &report.refusals {
            self.leader.refusals.add(*count, &[KeyValue::new("queue", queue.clone())]);
        }
        self.leader.forecast_wait.record(report.forecast_wait.as_secs_f64(), &[]);
        report.occupancies.iter().for_each(|occupancy| self.record_occupancy(occupancy));
        self.leader.evacuated_zones.record(report.evacuated_zones, &[]);
        self.leader.evacuated_runs.record(report.evacuated_runs, &[]);
    }

    /// Sets the gauges on the workers of a service.
    fn record_occupancy(&self, occupancy: &Occupancy) {
        let service = KeyValue::new("service", occupancy.service.clone());
        let cores = |millicores: u64| millicores as f64 / 1_000.0;
        for ((_, kind), share) in KINDS.iter().zip(&occupancy.shares) {
            for (state, millicores) in
                [("reserved", share.reserved_millicores), ("used", share.used_millicores)]
            {
                let labels = [service.clone(), KeyValue::new("kind", *kind), KeyValue::new("state", state)];
                self.leader.cores.record(cores(millicores), &labels);
            }
        }
        let service = [service];
        self.leader.free_cores.record(cores(occupancy.free_millicores), &service);
        self.leader.largest_free_cores.record(cores(occupancy.largest_free_millicores), &service);
        self.leader.workers_without_long_running.record(occupancy.workers_without_long_running, &service);
    }

    /// Adds a counter of the timeline entries that are missing in the file; `total` returns their number.
    pub fn observe_lost_entries(&self, total: impl Fn() -> u64 + Send + Sync + 'static) {
        // The provider keeps the callback, so the instrument itself is not needed any more.
        let _ = self
            .provider
            .meter(METER)
            .u64_observable_counter("timeline_entries_lost")
            .with_description("Timeline entries that are missing in the file")
            .with_callback(move |observer| observer.observe(total(), &[]))
            .build();
    }

    /// Records since when a newer configuration is known that is not in force; `None` if there is none.
    pub fn record_config_pending(&self, since: Option<Instant>) {
        self.config_pending_since_us.store(since.map_or(0, |since| since.0), Ordering::Relaxed);
    }

    /// Adds the age of the oldest sign of a configuration that is not in force, at the time that `now` returns.
    pub fn observe_config_pending(&self, now: impl Fn() -> Instant + Send + Sync + 'static) {
        let since_us = Arc::clone(&self.config_pending_since_us);
        let age = move || match since_us.load(Ordering::Relaxed) {
            0 => Duration::ZERO,
            since => now().since(Instant(since)),
        };
        // The provider keeps the callback, so the instrument itself is not needed any more.
        let _ = self
            .provider
            .meter(METER)
            .f64_observable_gauge("config_pending")
            .with_description(
                "Time since the first sign of a newer configuration that is not in force; 0 without one",
            )
            .with_unit("s")
            .with_callback(move |observer| observer.observe(age().as_secs_f64(), &[]))
            .build();
    }

    /// Adds the memory that is reserved for request bodies, the connections of callers, and the refusals by reason.
    pub fn observe_admission(&self, gate: &Gate) {
        let meter = self.provider.meter(METER);
        // The provider keeps the callbacks, so the instruments themselves are not needed any more.
        let observed = gate.clone();
        let _ = meter
            .u64_observable_gauge("request_memory_reserved")
            .with_description("Memory that is reserved for request bodies")
            .with_unit("By")
            .with_callback(move |observer| observer.observe(observed.reserved_bytes(), &[]))
            .build();
        let observed = gate.clone();
        let _ = meter
            .u64_observable_gauge("caller_connections")
            .with_description("Open connections of callers")
            .with_callback(move |observer| observer.observe(observed.connections(), &[]))
            .build();
        let observed = gate.clone();
        let _ = meter
            .u64_observable_counter("requests_refused")
            .with_description("Requests that were refused before they were read, by reason")
            .with_callback(move |observer| {
                for reason in Refusal::ALL {
                    let labels = [KeyValue::new("reason", reason.label())];
                    observer.observe(observed.refused(reason), &labels);
                }
            })
            .build();
    }

    /// Renders all metrics for a scrape by Prometheus.
    ///
    /// # Errors
    ///
    /// The metrics cannot be encoded.
    pub fn render(&self) -> Result<String> {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .map_err(|error| Error::call("encode the metrics", error))
    }
}

/// Value of the label `kind` for a request to the store.
pub fn request_kind(request: &Request) -> &'static str {
    match request {
        Request::ReadIndex { .. } => "read-index",
        Request::WriteIndex { .. } => "write-index",
        Request::ReadDocument { .. } => "read-document",
        Request::WriteDocument { .. } => "write-document",
        Request::ReadSnapshot { .. } => "read-snapshot",
        Request::WriteSnapshot { .. } => "write-snapshot",
        Request::ReadSegment { .. } => "read-segment",
        Request::Append { .. } => "append",
    }
}

/// Work of a leader by the label `kind`. The timeline entries count the starts without an answer, those that were not sent,
/// and the workers that became silent.
fn work_kinds(counts: &Counts) -> [(&'static str, u64); 16] {
    [
        ("pass", counts.passes),
        ("worker-visit", counts.worker_visits),
        ("group-visit", counts.group_visits),
        ("task-visit", counts.task_visits),
        ("candidate", counts.candidates),
        ("unproven-worker", counts.unproven_workers),
        ("key-read", counts.key_reads),
        ("commit", counts.commits),
        ("commit-change", counts.commit_changes),
        ("listing", counts.listings),
        ("listed-end", counts.listed_ends),
        ("copy", counts.copies),
        ("copy-first", counts.copies_first),
        ("rack-wait", counts.rack_waits),
        ("rack-wait-paid", counts.rack_waits_paid),
        ("rack-wait-abandoned", counts.rack_waits_abandoned),
    ]
}

/// Orders of a leader by the label `kind`.
fn order_kinds(counts: &Counts) -> [(&'static str, u64); 4] {
    [
        ("renew", counts.renew_orders),
        ("start", counts.start_orders),
        ("stop", counts.stop_orders),
        ("pace", counts.pace_orders),
    ]
}

fn reply_label(reply: &Reply) -> &'static str {
    match reply {
        Reply::Unchanged => "unchanged",
        Reply::Missing => "missing",
        Reply::Index { .. } | Reply::Document(_) | Reply::Segment { .. } | Reply::Snapshot(_) => "read",
        Reply::Written { .. } => "written",
        Reply::Conflict => "conflict",
        Reply::Corrupt(_) => "corrupt",
        Reply::Refused => "refused",
        Reply::Unknown => "unknown",
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::port::admission::Limits;

    /// Guards against a renamed or missing metric, for which dashboards and alerts get no data and no error.
    #[test]
    fn renders_every_instrument() {
        let metrics = Metrics::new().expect("exporter");
        metrics.record_request("answered", Duration::from_millis(3));
        metrics.record_request("answered", Duration::from_millis(4));
        metrics.record_decision("assign");
        metrics.record_store_call(request_kind(&Request::ReadIndex { newer_than: 0 }), &Reply::Unchanged);
        metrics.record_peer_bytes(Direction::Sent, 100);
        metrics.set_task_count("running", 7);
        metrics.set_task_count("running", 5);
        metrics.set_owned_cell_count(2);
        metrics.observe_lost_entries(|| 3);
        metrics.observe_config_pending(|| Instant(3_500_000));
        metrics.record_config_pending(Some(Instant(1_000_000)));
        let gate = Gate::new(Limits::default());
        metrics.observe_admission(&gate);
        let _connection = gate.connect([127, 0, 0, 1].into());
        let counts = Counts {
            passes: 3,
            pass_time: Duration::from_millis(125),
            worker_visits: 40,
            key_reads: 5,
            stop_orders: 6,
            copies: 4,
            copies_first: 3,
            copy_core_ms: 1_500,
            ..Counts::default()
        };
        let report = Report {
            counts,
            longest_lag: Duration::from_millis(250),
            longest_commit: Duration::from_millis(125),
            placement_delay: Duration::from_millis(1_500),
            queued_changes: 7,
            ready_tasks: 9,
            ready_groups: 8,
            group_ages: vec![(0, Duration::from_millis(500)), (2, Duration::ZERO)],
            small_job_age: Duration::from_millis(250),
            large_job_age: Duration::from_millis(500),
            refusals: vec![("reports".into(), 4)],
            forecast_wait: Duration::from_millis(1_250),
            ..Report::default()
        };
        metrics.record_leader(&report);
        metrics.record_leader(&report);
        let text = metrics.render().expect("text");
        for line in [
            "nutmegfold_requests_total{outcome=\"answered\"} 2",
            "nutmegfold_request_latency_seconds_bucket{outcome=\"answered\",le=\"0.005\"} 2",
            "nutmegfold_request_latency_seconds_bucket{outcome=\"answered\",le=\"0.002\"} 0",
            "nutmegfold_decisions_total{decision=\"assign\"} 1",
            "nutmegfold_store_calls_total{kind=\"read-index\",reply=\"unchanged\"} 1",
            "nutmegfold_peer_bytes_total{direction=\"sent\"} 100",
            "nutmegfold_tasks{phase=\"running\"} 5",
            "nutmegfold_cells_owned 2",
            "nutmegfold_timeline_entries_lost_total 3",
            "nutmegfold_config_pending_seconds 2.5",
            "nutmegfold_request_memory_reserved_bytes 0",
            "nutmegfold_caller_connections 1",
            "nutmegfold_requests_refused_total{reason=\"memory\"} 0",
            "nutmegfold_requests_refused_total{reason=\"connections\"} 0",
            "nutmegfold_leader_work_total{kind=\"pass\"} 6",
            "nutmegfold_leader_work_total{kind=\"worker-visit\"} 80",
            "nutmegfold_leader_work_total{kind=\"group-visit\"} 0",
            "nutmegfold_leader_work_total{kind=\"task-visit\"} 0",
            "nutmegfold_leader_work_total{kind=\"candidate\"} 0",
            "nutmegfold_leader_work_total{kind=\"unproven-worker\"} 0",
            "nutmegfold_leader_work_total{kind=\"key-read\"} 10",
            "nutmegfold_leader_work_total{kind=\"commit\"} 0",
            "nutmegfold_leader_work_total{kind=\"commit-change\"} 0",
            "nutmegfold_leader_work_total{kind=\"listing\"} 0",
            "nutmegfold_leader_work_total{kind=\"listed-end\"} 0",
            "nutmegfold_leader_work_total{kind=\"copy\"} 8",
            "nutmegfold_leader_work_total{kind=\"copy-first\"} 6",
            "nutmegfold_leader_copy_core_time_seconds_total 3",
            "nutmegfold_leader_work_total{kind=\"rack-wait\"} 0",
            "nutmegfold_leader_work_total{kind=\"rack-wait-paid\"} 0",
            "nutmegfold_leader_work_total{kind=\"rack-wait-abandoned\"} 0",
            "nutmegfold_leader_pass_time_seconds_total 0.25",
            "nutmegfold_leader_orders_total{kind=\"renew\"} 0",
            "nutmegfold_leader_orders_total{kind=\"start\"} 0",
            "nutmegfold_leader_orders_total{kind=\"stop\"} 12",
            "nutmegfold_leader_orders_total{kind=\"pace\"} 0",
            "nutmegfold_leader_lag_seconds 0.25",
            "nutmegfold_leader_commit_time_seconds 0.125",
            "nutmegfold_leader_placement_delay_seconds 1.5",
            "nutmegfold_leader_queued_changes 7",
            "nutmegfold_leader_ready_tasks 9",
            "nutmegfold_leader_ready_groups 8",
            "nutmegfold_leader_group_age_seconds{priority=\"0\"} 0.5",
            "nutmegfold_leader_group_age_seconds{priority=\"2\"} 0",
            "nutmegfold_leader_job_size_age_seconds{size=\"small\"} 0.25",
            "nutmegfold_leader_job_size_age_seconds{size=\"large\"} 0.5",
            "nutmegfold_leader_refusals_total{queue=\"reports\"} 8",
            "nutmegfold_leader_forecast_wait_seconds 1.25",
        ] {
            assert!(text.lines().any(|found| found == line), "{line} is missing in:\n{text}");
        }
    }
}
