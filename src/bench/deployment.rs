//! Deployments that the capacity page covers.

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
    /// Running units of work: batch tasks and replicas.
    pub running: f64,
    /// Running replicas.
    pub replicas: f64,
    /// Services.
    pub services: f64,
    /// Starts of batch tasks per second.
    pub starts_per_s: f64,
    /// Jobs in the configuration.
    pub jobs: f64,
    /// Documents, one for each team.
    pub documents: f64,
    /// Configuration changes per second.
    pub changes_per_s: f64,
}

const DAY_S: f64 = 86_400.0;

/// Starts per second of each worker at the design size. Today's deployments are assumed to have the same rate.
const STARTS_PER_WORKER: f64 = 6_600.0 / 30_000.0;

/// Today's two deployments and the design size.
///
/// Three values are assumed, because nothing declares them: all 8 slots of today's workers are in use, each team has
/// 4 services at the design size, and today's configuration changes 20 times a day. At the design size the
/// configuration contains the jobs of a day or of an hour.
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

    /// Running units of work of a cell.
    pub fn running_per_cell(&self) -> f64 {
        self.running / self.cells
    }

    /// Starts of batch tasks per second in a cell.
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

    /// Number of the other entry VMs of the zone that hold one of the `slots` grants of a cell.
    pub fn grant_holders(&self, slots: f64) -> f64 {
        (self.members_per_zone() - 1.0).min(slots - 1.0)
    }

    /// Seconds between two appends of a cell. All cells share `budget` appends per second; the interval is at least
    /// `shortest_s`.
    pub fn append_interval_s(&self, budget: f64, shortest_s: f64) -> f64 {
        (self.cells / budget).max(shortest_s)
    }
}
