//! Deployments that the capacity page is about.

/// Sizes of a deployment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Deployment {
    /// Name on the page.
    pub name: &'static str,
    /// Workers.
    pub workers: f64,
    /// Availability zones.
    pub zones: f64,
    /// Cells.
    pub cells: f64,
    /// Entry VMs.
    pub members: f64,
    /// Units of work running, batch tasks and replicas.
    pub running: f64,
    /// Replicas running.
    pub replicas: f64,
    /// Services.
    pub services: f64,
    /// Batch tasks started per second.
    pub starts_per_s: f64,
    /// Jobs that the configuration holds.
    pub jobs: f64,
    /// Documents, one a team.
    pub documents: f64,
    /// Configuration changes per second.
    pub changes_per_s: f64,
}

/// Seconds of a day.
const DAY_S: f64 = 86_400.0;

/// Starts per second of each worker at the design size; assumed for today's deployments too.
const STARTS_PER_WORKER: f64 = 6_600.0 / 30_000.0;

/// Today's two deployments and the design size.
///
/// Not declared, so assumed: all 8 slots of today's workers are used, 4 services a team at the design size, and changes
/// of today's configuration 20 times a day. The configuration holds a day's or an hour's jobs at the design size.
pub const ALL: [Deployment; 4] = [
    Deployment {
        name: "order desk",
        workers: 65.0,
        zones: 3.0,
        cells: 3.0,
        members: 8.0,
        running: 65.0 * 8.0,
        replicas: 33.0,
        services: 2.0,
        starts_per_s: 65.0 * STARTS_PER_WORKER,
        jobs: 10.0,
        documents: 1.0,
        changes_per_s: 20.0 / DAY_S,
    },
    Deployment {
        name: "ledger",
        workers: 50.0,
        zones: 3.0,
        cells: 3.0,
        members: 8.0,
        running: 50.0 * 8.0,
        replicas: 33.0,
        services: 2.0,
        starts_per_s: 50.0 * STARTS_PER_WORKER,
        jobs: 10.0,
        documents: 1.0,
        changes_per_s: 20.0 / DAY_S,
    },
    design("design, a day's jobs", 460_000.0),
    design("design, an hour's jobs", 460_000.0 / 24.0),
];

const fn design(name: &'static str, jobs: f64) -> Deployment {
    Deployment {
        name,
        workers: 30_000.0,
        zones: 23.0,
        cells: 483.0,
        members: 483.0,
        running: 700_000.0,
        replicas: 210_000.0,
        services: 600.0,
        starts_per_s: 6_600.0,
        jobs,
        documents: 150.0,
        changes_per_s: 17_000.0 / DAY_S,
    }
}

impl Deployment {
    /// Workers of a cell.
    pub fn workers_per_cell(&self) -> f64 {
        self.workers / self.cells
    }

    /// Units of work running in a cell.
    pub fn running_per_cell(&self) -> f64 {
        self.running / self.cells
    }

    /// Starts per second in a cell.
    pub fn starts_per_cell(&self) -> f64 {
        self.starts_per_s / self.cells
    }

    /// Replicas of a cell.
    pub fn replicas_per_cell(&self) -> f64 {
        self.replicas / self.cells
    }

    /// Cells of a zone.
    pub fn cells_per_zone(&self) -> f64 {
        self.cells / self.zones
    }

    /// Entry VMs of a zone.
    pub fn members_per_zone(&self) -> f64 {
        self.members / self.zones
    }

    /// Other entry VMs of the zone that hold a grant of a cell.
    pub fn grant_holders(&self, slots: f64) -> f64 {
        (self.members_per_zone() - 1.0).min(slots - 1.0)
    }

    /// Seconds between two appends of a cell, from the shared budget of appends per second.
    pub fn append_interval_s(&self, budget: f64, shortest_s: f64) -> f64 {
        (self.cells / budget).max(shortest_s)
    }
}
