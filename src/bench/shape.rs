//! Shapes of measured deployments, and their configuration documents.

use std::fmt::Write as _;

/// Sizes of a measured deployment. Only the first `live_zones` zones have VMs; the others are only declared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shape {
    /// Declared zones.
    pub zones: usize,
    /// Zones that have VMs.
    pub live_zones: usize,
    /// Entry VMs declared for each zone.
    pub members: usize,
    /// Cells of each zone.
    pub cells: usize,
    /// Workers of each live zone.
    pub workers: usize,
    /// Workers of each live zone that accept the batch tasks of `tasks`; a part of `workers`.
    pub batch_workers: usize,
    /// Workers declared for each zone without VMs.
    pub remote_workers: usize,
    /// Number of teams.
    pub teams: usize,
    /// Services that run in the live zones.
    pub services: usize,
    /// Replicas of each of those services.
    pub replicas: usize,
    /// Replicas of a further service, spread over all zones in proportion to their workers; 0 omits the service.
    pub spread_replicas: usize,
    /// Tasks of the job in the live zones; 0 omits the job.
    pub tasks: usize,
    /// Run time of a task of that job, in milliseconds.
    pub run_time_ms: u64,
    /// Jobs of 10 tasks each whose home is in zones without VMs.
    pub remote_jobs: usize,
    /// Requests per second that callers send to the first entry VM.
    pub requests: usize,
}

/// One entry VM that owns one cell of 8 workers and runs one replica.
pub const SMALL: Shape = Shape {
    zones: 2,
    live_zones: 1,
    members: 1,
    cells: 1,
    workers: 8,
    batch_workers: 8,
    remote_workers: 8,
    teams: 1,
    services: 1,
    replicas: 1,
    spread_replicas: 0,
    tasks: 0,
    run_time_ms: 3_600_000,
    remote_jobs: 0,
    requests: 0,
};

/// Name of the service with a number.
pub fn service_name(number: usize) -> String {
    format!("service-{number}")
}

impl Shape {
    /// The configuration document of the deployment.
    pub fn document(&self) -> String {
        let mut text = String::from("name = \"bench\"\n[[region]]\nname = \"region\"\n");
        for zone in 0..self.zones {
            self.push_zone(&mut text, zone);
        }
        for team in 0..self.teams {
            let quota = "quota = { cores = 4000000, memory = \"900 TB\", slots = 4000000 }";
            push_entry(&mut text, format!("[[team]]\nname = \"team-{team}\"\n{quota}"));
        }
        for number in 0..self.services {
            push_entry(&mut text, service_entry(&service_name(number), self.replicas, "home"));
        }
        if self.spread_replicas > 0 {
            push_entry(&mut text, service_entry("spread", self.spread_replicas, ""));
        }
        for number in 0..self.remote_jobs {
            push_entry(&mut text, job(number, 10, 60_000, "away"));
        }
        // This job is declared last, because a search of the plan for a job can depend on the job's position.
        if self.tasks > 0 {
            push_entry(&mut text, job(self.remote_jobs, self.tasks, self.run_time_ms, "busy"));
        }
        text
    }

    fn push_zone(&self, text: &mut String, zone: usize) {
        let Self { members, cells, workers, batch_workers, remote_workers, .. } = *self;
        let sizes = format!("entry_vms = {members}\ncells = {cells}");
        push_entry(text, format!("[[zone]]\nname = \"zone-{zone}\"\nregion = \"region\"\n{sizes}"));
        if zone >= self.live_zones {
            return push_pool(text, zone, "away", remote_workers);
        }
        push_pool(text, zone, "busy", batch_workers);
        push_pool(text, zone, "idle", workers - batch_workers);
    }
}

/// Adds a pool of workers of today's size. Services run on all workers of live zones, batch tasks on `busy` ones.
fn push_pool(text: &mut String, zone: usize, label: &str, count: usize) {
    if count == 0 {
        return;
    }
    let at = if label == "away" { "away" } else { "home" };
    push_entry(
        text,
        format!(
            "[[pool]]\nname = \"{label}-{zone}\"\nzone = \"zone-{zone}\"\nracks = [\"rack-{zone}\"]\ncount = {count}\n\
            cores = 16\nmemory = \"60 GB\"\nslots = 8\nconnections = 64\nlabels = {{ at = \"{at}\", use = \"{label}\" }}",
        ),
    );
}

fn push_entry(text: &mut String, entry: String) {
    // Writing to a string cannot fail.
    let _ = writeln!(text, "{entry}");
}

fn service_entry(name: &str, replicas: usize, at: &str) -> String {
    let labels = if at.is_empty() { String::new() } else { format!("labels = {{ at = \"{at}\" }}\n") };
    format!(
        "[[service]]\nname = \"{name}\"\nteam = \"team-0\"\nreplicas = {{ min = {replicas}, max = {replicas} }}\n\
        cores = 1\nmemory = \"1 GB\"\nlatency_target = \"50 ms\"\ntimeout = \"2 s\"\nconcurrency = 64\n\
        {labels}[[service.route]]\npath = \"/\"\nidempotent = true"
    )
}

fn job(number: usize, tasks: usize, run_time_ms: u64, label: &str) -> String {
    format!(
        "[[job]]\nname = \"job-{number:06}\"\nteam = \"team-0\"\ntasks = {tasks}\ncores = 1\nmemory = \"1 GB\"\n\
        run_time = \"{run_time_ms} ms\"\ncheckpointable = true\nlabels = {{ use = \"{label}\" }}"
    )
}
