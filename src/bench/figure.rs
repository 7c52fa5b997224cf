//! Figures of the capacity page, computed from the slopes for each deployment.

use super::deployment::Deployment;
use super::slope::Slope;
use super::traffic::{HTTP_OVERHEAD_BYTES, PEER_OVERHEAD_BYTES};
use crate::core::journal::SLOTS;
use crate::core::tuning::Tuning;
use crate::error::{Error, Result};

/// Model that computes figures from slopes.
#[derive(Debug, Clone, Copy)]
pub struct Model<'a> {
    slopes: &'a [Slope],
    /// Time limits and other parameters of the control plane.
    pub tuning: Tuning,
}

/// A figure of the capacity page.
#[derive(Debug, Clone, Copy)]
pub struct Figure {
    /// Role of the process that carries the load.
    pub role: &'static str,
    /// Name on the page.
    pub name: &'static str,
    /// Unit of the value.
    pub unit: &'static str,
    /// Mechanism that causes the load.
    pub mechanism: &'static str,
    /// Names of the slopes that the value is computed from.
    pub slopes: &'static [&'static str],
    /// Computes the value.
    pub value: fn(&Model<'_>, &Deployment) -> f64,
}

impl<'a> Model<'a> {
    /// Creates a model from measured slopes.
    ///
    /// # Errors
    ///
    /// Fails if a slope that one of `figures` needs is missing.
    pub fn new(slopes: &'a [Slope], figures: &[Figure]) -> Result<Self> {
        let is_known = |name: &&&str| slopes.iter().any(|slope| slope.name == **name);
        match figures.iter().flat_map(|figure| figure.slopes).find(|name| !is_known(name)) {
            Some(name) => Err(Error::call("compute figures", format!("slope {name} was not measured"))),
            None => Ok(Self { slopes, tuning: Tuning::default() }),
        }
    }

    fn find(&self, name: &str) -> Option<&Slope> {
        self.slopes.iter().find(|slope| slope.name == name)
    }

    /// Growth of a slope per unit of size; NaN if there is no such slope.
    fn growth(&self, name: &str) -> f64 {
        self.find(name).map_or(f64::NAN, |slope| slope.slope)
    }

    /// Value of a slope's line at `size`; NaN if there is no such slope.
    fn value_on_line(&self, name: &str, size: f64) -> f64 {
        self.find(name).map_or(f64::NAN, |slope| slope.at(size))
    }

    /// Value at the largest measured size, for quantities that stop growing.
    fn last_value(&self, name: &str) -> f64 {
        self.find(name).and_then(|slope| slope.points.last()).map_or(f64::NAN, |point| point.1)
    }

    /// Value at `size`: interpolated between measured sizes, or on the line if `size` exceeds the largest of them.
    fn estimate(&self, name: &str, size: f64) -> f64 {
        let largest = self.find(name).and_then(|slope| slope.points.last()).map_or(0.0, |point| point.0);
        if size > largest { self.value_on_line(name, size) } else { self.interpolate(name, size) }
    }

    /// Value at `size`, interpolated linearly between the two neighbouring measured sizes; beyond the largest one, its
    /// value.
    fn interpolate(&self, name: &str, size: f64) -> f64 {
        let Some(slope) = self.find(name) else { return f64::NAN };
        let pair = slope.points.windows(2).find(|pair| size <= pair[1].0);
        let Some([(x0, y0), (x1, y1)]) = pair.and_then(|pair| pair.first_chunk::<2>()) else {
            return self.last_value(name);
        };
        y0 + (y1 - y0) * (size - x0) / (x1 - x0)
    }

    /// Control calls per second of an owner.
    fn control_calls(&self, deployment: &Deployment) -> f64 {
        self.value_on_line("control-calls", deployment.workers_per_cell())
            + self.growth("start-calls") * deployment.starts_per_cell()
    }

    /// Bytes per second of control calls and replies between an owner and the workers of its cell.
    fn control_bytes(&self, deployment: &Deployment) -> f64 {
        let idle = self.value_on_line("control-bytes", deployment.workers_per_cell());
        let running = self.growth("running-bytes") * deployment.running_per_cell();
        // Each reply lists all tasks of the worker. The trials that measure starts have 8 tasks on a worker, so only
        // tasks beyond these 8 are added.
        let listed = (deployment.running / deployment.workers - 8.0).max(0.0) * self.growth("reply-running");
        let start = self.growth("start-control-bytes") + self.growth("start-calls") * listed;
        idle + running + start * deployment.starts_per_cell()
    }

    fn append_interval_s(&self, deployment: &Deployment) -> f64 {
        let shortest = self.tuning.append_interval_min.as_secs_f64();
        deployment.append_interval_s(f64::from(self.tuning.appends_per_second), shortest)
    }

    /// Appends of a cell per second, at most one for each start and one for each end.
    fn appends(&self, deployment: &Deployment) -> f64 {
        (1.0 / self.append_interval_s(deployment)).min(2.0 * deployment.starts_per_cell())
    }

    /// Writes and deletions of a cell per second, with the three of each snapshot.
    fn writes(&self, deployment: &Deployment) -> f64 {
        self.appends(deployment) * (1.0 + 3.0 / self.tuning.segments_per_snapshot as f64)
    }

    /// Bytes per second of routes that an owner sends. It publishes all routes of the cell after each change.
    fn route_bytes(&self, deployment: &Deployment) -> f64 {
        // The slope is measured at 16 starts per second. Below that, the rate of changes is assumed to be proportional
        // to the starts.
        const MEASURED_STARTS_PER_S: f64 = 16.0;
        let holders = deployment.grant_holders(f64::from(self.tuning.grant_slots));
        let rate = (deployment.starts_per_cell() / MEASURED_STARTS_PER_S).min(1.0);
        let messages = self.last_value("route-messages") * PEER_OVERHEAD_BYTES as f64;
        (self.value_on_line("route-bytes", deployment.replicas_per_cell()) + messages).max(0.0)
            * holders
            * rate
    }

    /// Bytes per second of VM lists, one list each second.
    fn list_bytes(&self, deployment: &Deployment) -> f64 {
        self.estimate("list-vms", deployment.workers + deployment.members) + HTTP_OVERHEAD_BYTES as f64
    }

    /// Bytes of a stored document.
    fn document_bytes(&self, deployment: &Deployment) -> f64 {
        self.value_on_line("document-jobs", deployment.jobs / deployment.documents)
    }

    /// Bytes per second of changed documents and their index that each entry VM receives.
    fn change_bytes(&self, deployment: &Deployment) -> f64 {
        (self.document_bytes(deployment) + self.value_on_line("offer-documents", deployment.documents))
            * deployment.changes_per_s
    }

    /// Bytes per second of all control traffic of an entry VM that owns one cell.
    fn vm_bytes(&self, deployment: &Deployment) -> f64 {
        let peer = self.interpolate("zone-bytes", deployment.members_per_zone());
        let log = self.growth("start-store-bytes") * deployment.starts_per_cell();
        self.control_bytes(deployment)
            + self.route_bytes(deployment)
            + self.list_bytes(deployment)
            + self.change_bytes(deployment)
            + peer
            + log
    }

    /// Store reads of a new owner of a cell: the head, the snapshot, and on average half the segments between two
    /// snapshots.
    fn recovery_reads(&self) -> f64 {
        2.0 + self.tuning.segments_per_snapshot as f64 / 2.0
    }

    /// Processor time of an owner's reducer, in microseconds per second.
    fn owner_cpu(&self, deployment: &Deployment) -> f64 {
        self.value_on_line("owner-cpu-workers", deployment.workers_per_cell())
            + self.growth("owner-cpu-running") * deployment.running_per_cell()
            + self.growth("owner-cpu-starts") * deployment.starts_per_cell()
            + self.growth("owner-cpu-services") * deployment.services
            + self.growth("owner-cpu-replicas") * deployment.replicas
    }

    /// Processor time to decode workers' replies, in microseconds per second.
    fn codec_cpu(&self, deployment: &Deployment) -> f64 {
        self.control_calls(deployment)
            * self.value_on_line("reply-decode", deployment.running / deployment.workers)
    }

    /// Processor time to decode and reduce VM lists, in microseconds per second.
    fn list_cpu(&self, deployment: &Deployment) -> f64 {
        let vms = deployment.workers + deployment.members;
        self.estimate("list-decode", vms) + self.estimate("list-reduce", vms)
    }

    /// Processor time to install changed configurations, in microseconds per second.
    fn compile_cpu(&self, deployment: &Deployment) -> f64 {
        self.estimate("install", deployment.jobs) * deployment.changes_per_s
    }

    /// Processor time of an entry VM that owns one cell, in microseconds per second.
    fn vm_cpu(&self, deployment: &Deployment) -> f64 {
        let member = self.interpolate("member-cpu-zone", deployment.members_per_zone());
        self.owner_cpu(deployment)
            + self.codec_cpu(deployment)
            + self.list_cpu(deployment)
            + self.compile_cpu(deployment)
            + member
    }

    /// Bytes of the state of an entry VM that owns one cell.
    fn vm_memory(&self, deployment: &Deployment) -> f64 {
        self.value_on_line("memory-workers", deployment.workers / deployment.zones)
            + self.growth("memory-tasks") * (deployment.running - deployment.replicas) / deployment.cells
            + self.growth("memory-members") * deployment.members
            + self.growth("memory-replicas") * deployment.replicas / deployment.zones
            + self.growth("memory-jobs") * deployment.jobs
    }
}

/// Control traffic budget of a VM.
pub const TRAFFIC_BUDGET_BYTES_PER_S: f64 = 4_000.0;

/// Memory budget of a VM for control.
pub const MEMORY_BUDGET_BYTES: f64 = 64e6;

/// Processor time budget of a VM for control, in percent of a core.
pub const CPU_BUDGET_PERCENT: f64 = 1.4;

/// Percent of a core that one microsecond of processor time per second amounts to.
const PERCENT_PER_US_PER_S: f64 = 1e-4;

const CONTROL_SLOPES: &[&str] =
    &["control-bytes", "running-bytes", "start-control-bytes", "start-calls", "reply-running"];

/// Figures of the steady state, computed from exact slopes.
pub const EXACT: &[Figure] = &[
    Figure {
        role: "owner",
        name: "control calls",
        unit: "calls/s",
        mechanism: "long poll of each worker every 2 s; a call for each batch of starts",
        slopes: &["control-calls", "start-calls"],
        value: |m, d| m.control_calls(d),
    },
    Figure {
        role: "owner",
        name: "control traffic",
        unit: "bytes/s",
        mechanism: "each reply lists all work on the worker",
        slopes: CONTROL_SLOPES,
        value: |m, d| m.control_bytes(d),
    },
    Figure {
        role: "owner",
        name: "wait of a start for the log",
        unit: "s",
        mechanism: "group commit; cells share 300 appends/s",
        slopes: &[],
        value: |m, d| m.append_interval_s(d),
    },
    Figure {
        role: "owner",
        name: "log traffic",
        unit: "bytes/s",
        mechanism: "records of assigned and finished tasks, and snapshots",
        slopes: &["start-store-bytes"],
        value: |m, d| m.growth("start-store-bytes") * d.starts_per_cell(),
    },
    Figure {
        role: "owner",
        name: "route traffic sent",
        unit: "bytes/s",
        mechanism: "all routes of the cell to each holder of a grant after each change, also of the load by batch tasks",
        slopes: &["route-bytes", "route-messages"],
        value: |m, d| m.route_bytes(d),
    },
    Figure {
        role: "member",
        name: "messages of the zone",
        unit: "messages/s",
        mechanism: "heartbeats to 5 members every 500 ms; a grant asked of each cell every second",
        slopes: &["zone-messages"],
        value: |m, d| m.interpolate("zone-messages", d.members_per_zone()),
    },
    Figure {
        role: "member",
        name: "traffic of the zone",
        unit: "bytes/s",
        mechanism: "as above, sent and received, with framing",
        slopes: &["zone-bytes"],
        value: |m, d| m.interpolate("zone-bytes", d.members_per_zone()),
    },
    Figure {
        role: "member",
        name: "VM list",
        unit: "bytes/s",
        mechanism: "the whole list every second",
        slopes: &["list-vms"],
        value: |m, d| m.list_bytes(d),
    },
    Figure {
        role: "reader",
        name: "index reads of a reader",
        unit: "reads/s",
        mechanism: "conditional read every 500 ms by 2 members a zone",
        slopes: &["index-reads"],
        value: |m, _| m.growth("index-reads") / m.tuning.index_readers as f64,
    },
    Figure {
        role: "reader",
        name: "polling traffic of a reader",
        unit: "bytes/s",
        mechanism: "an unchanged index has no body",
        slopes: &["index-bytes"],
        value: |m, _| m.growth("index-bytes") / m.tuning.index_readers as f64,
    },
    Figure {
        role: "reader",
        name: "index in the store",
        unit: "bytes",
        mechanism: "one value for all documents",
        slopes: &["index-documents"],
        value: |m, d| m.value_on_line("index-documents", d.documents),
    },
    Figure {
        role: "reader",
        name: "stored document",
        unit: "bytes",
        mechanism: "text with the homes of its jobs; the store's limit is 1 MB",
        slopes: &["document-jobs"],
        value: |m, d| m.document_bytes(d),
    },
    Figure {
        role: "relay",
        name: "traffic of changes",
        unit: "bytes/s",
        mechanism: "index and changed document once to each VM",
        slopes: &["document-jobs", "offer-documents"],
        value: |m, d| m.change_bytes(d),
    },
    Figure {
        role: "router",
        name: "replicas known",
        unit: "replicas",
        mechanism: "routes of all cells of the zone",
        slopes: &[],
        value: |_, d| d.replicas / d.zones,
    },
    Figure {
        role: "entry VM",
        name: "traffic that more entry VMs do not reduce",
        unit: "bytes/s",
        mechanism: "VM list and changes",
        slopes: &["list-vms", "document-jobs", "offer-documents"],
        value: |m, d| m.list_bytes(d) + m.change_bytes(d),
    },
    Figure {
        role: "entry VM",
        name: "entry VMs a zone needs for 4,000 bytes/s of worker control alone",
        unit: "VMs",
        mechanism: "control traffic of all workers of the zone",
        slopes: CONTROL_SLOPES,
        value: |m, d| (m.control_bytes(d) * d.cells_per_zone() / TRAFFIC_BUDGET_BYTES_PER_S).ceil(),
    },
    Figure {
        role: "entry VM",
        name: "entry VMs a zone has",
        unit: "VMs",
        mechanism: "one for about 64 workers at the design size",
        slopes: &[],
        value: |_, d| d.members_per_zone(),
    },
    Figure {
        role: "entry VM",
        name: "traffic, all of the above",
        unit: "bytes/s",
        mechanism: "owner of one cell, member, relay",
        slopes: &[
            "control-bytes",
            "running-bytes",
            "start-control-bytes",
            "start-calls",
            "reply-running",
            "route-bytes",
            "route-messages",
            "zone-bytes",
            "list-vms",
            "document-jobs",
            "offer-documents",
            "start-store-bytes",
        ],
        value: |m, d| m.vm_bytes(d),
    },
    Figure {
        role: "entry VM",
        name: "share of the budget of 4,000 bytes/s",
        unit: "times",
        mechanism: "as above",
        slopes: &["control-bytes", "zone-bytes", "list-vms"],
        value: |m, d| m.vm_bytes(d) / TRAFFIC_BUDGET_BYTES_PER_S,
    },
    Figure {
        role: "worker control",
        name: "calls",
        unit: "calls/s",
        mechanism: "long poll every 2 s; starts",
        slopes: &["control-calls", "start-calls"],
        value: |m, d| m.control_calls(d) / d.workers_per_cell(),
    },
    Figure {
        role: "worker control",
        name: "traffic",
        unit: "bytes/s",
        mechanism: "each reply lists all work",
        slopes: CONTROL_SLOPES,
        value: |m, d| m.control_bytes(d) / d.workers_per_cell(),
    },
    Figure {
        role: "worker control",
        name: "share of the budget of 4,000 bytes/s",
        unit: "times",
        mechanism: "as above",
        slopes: CONTROL_SLOPES,
        value: |m, d| m.control_bytes(d) / d.workers_per_cell() / TRAFFIC_BUDGET_BYTES_PER_S,
    },
    Figure {
        role: "store",
        name: "reads",
        unit: "reads/s",
        mechanism: "2 readers a zone; a read for each snapshot",
        slopes: &["index-reads"],
        value: |m, d| {
            m.growth("index-reads") * d.zones + m.appends(d) * d.cells / m.tuning.segments_per_snapshot as f64
        },
    },
    Figure {
        role: "store",
        name: "writes",
        unit: "writes/s",
        mechanism: "group commit, snapshots, two writes a change",
        slopes: &[],
        value: |m, d| m.writes(d) * d.cells + 2.0 * d.changes_per_s,
    },
    Figure {
        role: "store",
        name: "log and snapshots kept",
        unit: "bytes",
        mechanism: "ring of 256 segments and two snapshots a cell",
        slopes: &["start-store-bytes", "snapshot-tasks"],
        value: |m, d| {
            let segment = m.growth("start-store-bytes") * d.starts_per_cell() / m.appends(d).max(1e-9);
            d.cells
                * (SLOTS as f64 * segment
                    + 2.0 * m.estimate("snapshot-tasks", (d.running - d.replicas) / d.cells))
        },
    },
    Figure {
        role: "store",
        name: "growth by documents that are never deleted",
        unit: "bytes/day",
        mechanism: "each change writes a new key",
        slopes: &["document-jobs"],
        value: |m, d| m.document_bytes(d) * d.changes_per_s * 86_400.0,
    },
];

/// Figures of load bursts, computed from exact slopes.
pub const BURSTS: &[Figure] = &[
    Figure {
        role: "zone lost at peak",
        name: "tasks that wait for the zone",
        unit: "tasks",
        mechanism: "a task's home is one cell",
        slopes: &[],
        value: |_, d| (d.running - d.replicas) / d.zones,
    },
    Figure {
        role: "zone lost at peak",
        name: "heartbeats of each other VM that go to it",
        unit: "messages/s",
        mechanism: "one of 5 goes to another zone",
        slopes: &[],
        value: |m, d| 1.0 / m.tuning.heartbeat_interval.as_secs_f64() / (d.zones - 1.0),
    },
    Figure {
        role: "zone returns",
        name: "reads for recovery",
        unit: "reads",
        mechanism: "head, snapshot and on average 32 segments a cell, one after the other",
        slopes: &[],
        value: |m, d| m.recovery_reads() * d.cells_per_zone(),
    },
    Figure {
        role: "region of 4 zones (design) or 2 (today) replaced",
        name: "reads for recovery",
        unit: "reads",
        mechanism: "as above",
        slopes: &[],
        value: |m, d| m.recovery_reads() * d.cells_per_zone() * zones_per_region(d),
    },
    Figure {
        role: "region of 4 zones (design) or 2 (today) replaced",
        name: "reads of index and documents",
        unit: "reads",
        mechanism: "a process without configuration reads all documents from the store",
        slopes: &[],
        value: |_, d| zones_per_region(d) * d.members_per_zone() * (1.0 + d.documents),
    },
    Figure {
        role: "region of 4 zones (design) or 2 (today) replaced",
        name: "bytes of index and documents",
        unit: "bytes",
        mechanism: "as above, in base64",
        slopes: &["index-documents", "document-jobs"],
        value: |m, d| {
            let documents = m.document_bytes(d) * d.documents * 4.0 / 3.0;
            zones_per_region(d)
                * d.members_per_zone()
                * (m.value_on_line("index-documents", d.documents) + documents)
        },
    },
    Figure {
        role: "region of 4 zones (design) or 2 (today) replaced",
        name: "time at 2,000 reads/s",
        unit: "s",
        mechanism: "the store's rate",
        slopes: &[],
        value: |m, d| {
            let reads = m.recovery_reads() * d.cells_per_zone() + d.members_per_zone() * (1.0 + d.documents);
            zones_per_region(d) * reads / 2_000.0
        },
    },
    Figure {
        role: "region of 4 zones (design) or 2 (today) replaced",
        name: "control calls to claim the workers",
        unit: "calls",
        mechanism: "an inquiry, then a claim",
        slopes: &[],
        value: |_, d| 2.0 * zones_per_region(d) * d.workers / d.zones,
    },
    Figure {
        role: "store outage with an apply",
        name: "calls that fail",
        unit: "calls/s",
        mechanism: "one call a cell every 5 s, polls that last 2 s, one apply every 100 ms for 8 s",
        slopes: &[],
        value: |m, d| {
            let backoff = d.cells / m.tuning.store_backoff.1.as_secs_f64();
            let polls = d.zones * m.tuning.index_readers as f64 / m.tuning.call_timeout.as_secs_f64();
            backoff + polls + 1.0 / m.tuning.store_backoff.0.as_secs_f64()
        },
    },
    Figure {
        role: "region healed after 10 minutes",
        name: "documents it lacks",
        unit: "documents",
        mechanism: "changes of 10 minutes",
        slopes: &[],
        value: |_, d| (600.0 * d.changes_per_s).min(d.documents),
    },
    Figure {
        role: "region healed after 10 minutes",
        name: "bytes of one offer",
        unit: "bytes",
        mechanism: "index and missing documents in one message",
        slopes: &["document-jobs", "offer-documents"],
        value: |m, d| {
            (600.0 * d.changes_per_s).min(d.documents) * m.document_bytes(d)
                + m.value_on_line("offer-documents", d.documents)
        },
    },
    Figure {
        role: "region healed after 10 minutes",
        name: "time of one offer over 30 Mbit/s",
        unit: "s",
        mechanism: "the link between regions",
        slopes: &["document-jobs", "offer-documents"],
        value: |m, d| {
            let offer = (600.0 * d.changes_per_s).min(d.documents) * m.document_bytes(d)
                + m.value_on_line("offer-documents", d.documents);
            offer * 8.0 / 30e6
        },
    },
];

/// Figures computed from slopes of time and memory, which depend on the machine.
pub const MEASURED: &[Figure] = &[
    Figure {
        role: "owner",
        name: "reducer",
        unit: "% of a core",
        mechanism: "replies, placement, log",
        slopes: &[
            "owner-cpu-workers",
            "owner-cpu-running",
            "owner-cpu-starts",
            "owner-cpu-services",
            "owner-cpu-replicas",
        ],
        value: |m, d| m.owner_cpu(d) * PERCENT_PER_US_PER_S,
    },
    Figure {
        role: "owner",
        name: "decoding of replies",
        unit: "% of a core",
        mechanism: "JSON",
        slopes: &["reply-decode", "control-calls", "start-calls"],
        value: |m, d| m.codec_cpu(d) * PERCENT_PER_US_PER_S,
    },
    Figure {
        role: "member",
        name: "heartbeats and grants",
        unit: "% of a core",
        mechanism: "reducer",
        slopes: &["member-cpu-zone"],
        value: |m, d| m.interpolate("member-cpu-zone", d.members_per_zone()) * PERCENT_PER_US_PER_S,
    },
    Figure {
        role: "member",
        name: "VM list",
        unit: "% of a core",
        mechanism: "JSON and reducer, every second",
        slopes: &["list-decode", "list-reduce"],
        value: |m, d| m.list_cpu(d) * PERCENT_PER_US_PER_S,
    },
    Figure {
        role: "reader",
        name: "one change",
        unit: "ms",
        mechanism: "the whole configuration is compiled and compared",
        slopes: &["install"],
        value: |m, d| m.estimate("install", d.jobs) / 1e3,
    },
    Figure {
        role: "reader",
        name: "changes",
        unit: "% of a core",
        mechanism: "each VM, after each change",
        slopes: &["install"],
        value: |m, d| m.compile_cpu(d) * PERCENT_PER_US_PER_S,
    },
    Figure {
        role: "entry VM",
        name: "all of the above",
        unit: "% of a core",
        mechanism: "budget 1.4%",
        slopes: &["owner-cpu-workers", "list-decode", "install", "member-cpu-zone"],
        value: |m, d| m.vm_cpu(d) * PERCENT_PER_US_PER_S,
    },
    Figure {
        role: "entry VM",
        name: "share of the budget of 1.4%",
        unit: "times",
        mechanism: "as above",
        slopes: &["owner-cpu-workers", "list-decode", "install", "member-cpu-zone"],
        value: |m, d| m.vm_cpu(d) * PERCENT_PER_US_PER_S / CPU_BUDGET_PERCENT,
    },
    Figure {
        role: "entry VM",
        name: "state",
        unit: "MB",
        mechanism: "workers of the zone, tasks of the cell, members, routes, jobs of the plan; without HTTP buffers and the program",
        slopes: &["memory-workers", "memory-tasks", "memory-members", "memory-replicas", "memory-jobs"],
        value: |m, d| m.vm_memory(d) / 1e6,
    },
    Figure {
        role: "entry VM",
        name: "share of the budget of 64 MB",
        unit: "times",
        mechanism: "as above",
        slopes: &["memory-workers", "memory-tasks", "memory-members", "memory-replicas", "memory-jobs"],
        value: |m, d| m.vm_memory(d) / MEMORY_BUDGET_BYTES,
    },
    Figure {
        role: "router",
        name: "requests/s that take 1.4% of a core",
        unit: "requests/s",
        mechanism: "reducer only; HTTP is not included",
        slopes: &["router-cpu-requests"],
        value: |m, _| CPU_BUDGET_PERCENT / PERCENT_PER_US_PER_S / m.growth("router-cpu-requests"),
    },
];

/// Number of zones of the region that is replaced.
fn zones_per_region(deployment: &Deployment) -> f64 {
    if deployment.zones > 3.0 { 4.0 } else { 2.0 }
}
