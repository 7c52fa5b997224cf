//! A deployment on loopback: entry VMs of every zone of a file, with stand-ins for the platform.

pub mod report;
pub mod sample;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix::Arbiter;
use awc::http::Method;
use tokio::sync::oneshot;

use crate::declare::document;
use crate::declare::plan::Plan;
use crate::error::{Error, Result};
use crate::node::start::{self, Running};
use crate::port::operator::{Client, decode, segment};
use crate::settings::Settings;
use crate::settings::limit::Limits;
use crate::settings::listen::Listen;
use crate::settings::log::Log;
use crate::settings::platform::Platform;
use crate::standin::audit::Counts;
use crate::standin::worker::profile::Profile;
use crate::standin::{listing, store, worker};
use crate::wire::admin::{Accepted, Change, Status};
use crate::wire::listing as wire;
use report::Report;
use sample::Counters;

/// Lag of the VM list.
const LIST_LAG: Duration = Duration::from_millis(500);

/// Longest time without a finished task before a run is given up.
const STALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Interval between looks at the progress.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// An entry VM of a local deployment.
pub struct Vm {
    /// Name in the VM list.
    pub name: String,
    /// Zone.
    pub zone: String,
    /// The running process.
    pub running: Running,
    _arbiter: Arbiter,
}

/// A running deployment; it ends when this is dropped.
pub struct Deployment {
    /// Entry VMs.
    pub vms: Vec<Vm>,
    /// The store.
    pub store: store::http::Server,
    /// The VM list.
    pub listing: listing::Server,
    /// The workers.
    pub workers: worker::http::Server,
    shared: worker::Shared,
    plan: Arc<Plan>,
}

impl Deployment {
    /// Starts stand-ins for all VMs of a plan, and its entry VMs; must be called inside an actix system.
    ///
    /// # Errors
    ///
    /// An address cannot be used.
    pub async fn start(plan: Plan) -> Result<Self> {
        let store = store::http::Server::start(loopback(), store::Limits::default())?;
        let listing = listing::Server::start(loopback(), LIST_LAG)?;
        let shared = worker::Shared::default();
        let profiles: Vec<Profile> = plan.pools.iter().flat_map(profiles).collect();
        let hosts = profiles.into_iter().map(|profile| (loopback(), profile));
        let workers = worker::http::Server::start(hosts, shared.clone())?;
        let mut deployment = Self { vms: Vec::new(), store, listing, workers, shared, plan: Arc::new(plan) };
        deployment.list_workers();
        deployment.start_vms().await?;
        Ok(deployment)
    }

    fn list_workers(&self) {
        let names = self.plan.pools.iter().flat_map(|pool| {
            (0..pool.count).map(move |number| (pool, number, worker_name(&pool.name, number)))
        });
        for ((pool, number, name), address) in names.zip(self.workers.addresses()) {
            self.listing.handle().put(wire::Vm {
                name,
                instance: 1,
                kind: wire::Kind::Worker,
                zone: self.plan.zones[usize::from(pool.zone.0)].name.clone(),
                rack: pool.racks[number as usize % pool.racks.len()].clone(),
                pool: pool.name.clone(),
                address: *address,
                state: wire::State::Live,
            });
        }
    }

    async fn start_vms(&mut self) -> Result<()> {
        let plan = Arc::clone(&self.plan);
        for zone in &plan.zones {
            for number in 1..=zone.entry_vms {
                let vm = self.start_vm(format!("{}-entry-{number}", zone.name), &zone.name).await?;
                self.listing.handle().put(wire::Vm {
                    name: vm.name.clone(),
                    instance: 1,
                    kind: wire::Kind::Entry,
                    zone: zone.name.clone(),
                    rack: String::new(),
                    pool: String::new(),
                    address: vm.running.peer,
                    state: wire::State::Live,
                });
                self.vms.push(vm);
            }
        }
        Ok(())
    }

    /// Starts an entry VM with a thread of its own.
    async fn start_vm(&self, name: String, zone: &str) -> Result<Vm> {
        let settings = Settings {
            name: name.clone(),
            zone: zone.to_owned(),
            listen: Listen { caller: loopback(), admin: loopback(), peer: loopback() },
            platform: Platform { store: self.store.address(), listing: Some(self.listing.address()) },
            tls: None,
            log: Log::default(),
            limits: Limits::default(),
            jobs: None,
        };
        let arbiter = Arbiter::new();
        let (sender, receiver) = oneshot::channel();
        arbiter.spawn(async move {
            // The receiver is gone only if this deployment is.
            let _ = sender.send(start::start(&settings));
        });
        let running = receiver.await.map_err(|error| Error::call(format!("start {name}"), error))??;
        Ok(Vm { name, zone: zone.to_owned(), running, _arbiter: arbiter })
    }

    /// Counts of the stand-ins.
    pub fn counts(&self) -> Counts {
        self.shared.audit.counts()
    }

    /// Applies a document through the first entry VM.
    ///
    /// # Errors
    ///
    /// The document is not accepted.
    pub async fn apply(&self, text: String) -> Result<u64> {
        let name = &document::name("document", &text).map_err(|finding| Error::Findings(vec![finding]))?;
        let client = Client::new(self.vms[0].running.admin);
        let path = format!("/v1/documents/{}", segment(name));
        let change = Change { base: None, author: Some("local".to_owned()) };
        let request = client
            .request(Method::PUT, &path)
            .query(&change)
            .map_err(|error| Error::call("encode the request", error))?;
        let bytes = client.send(request, text, name).await?;
        let accepted: Accepted = decode(&bytes, path)?;
        Ok(accepted.version)
    }

    /// Waits until every entry VM has `version` in force and all declared replicas run.
    ///
    /// # Errors
    ///
    /// This takes longer than the run's patience.
    pub async fn wait_until_running(&self, version: u64) -> Result<()> {
        let started_at = Instant::now();
        while !self.is_version_running(version).await? {
            if started_at.elapsed() > STALL_TIMEOUT {
                return Err(Error::Unmet("services did not start within 60 s".to_owned()));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    async fn is_version_running(&self, version: u64) -> Result<bool> {
        let (mut running, mut declared, mut cells) = (0, 0, 0);
        for vm in &self.vms {
            let status: Status = Client::new(vm.running.admin).get("/v1/status").await?;
            if status.version < version || !vm.running.is_ready() {
                return Ok(false);
            }
            for cell in &status.cells {
                running += cell.replicas.have;
                declared += cell.replicas.of;
                cells += u16::from(cell.role == "owner");
            }
        }
        let expected: u16 = self.plan.zones.iter().map(|zone| zone.cells).sum();
        Ok(cells == expected && running >= declared)
    }

    /// Sends the sample requests and waits until every declared task finished.
    ///
    /// `progress` is called with the numbers of tasks finished and declared.
    ///
    /// # Errors
    ///
    /// A call fails in a way that no deployment should show.
    pub async fn run_until_idle(&self, progress: impl Fn(u64, u64)) -> Result<Report> {
        let declared: u64 = self.plan.jobs.iter().map(|job| u64::from(job.tasks)).sum();
        let callers: Vec<SocketAddr> = self.vms.iter().map(|vm| vm.running.caller).collect();
        let samples = actix_web::rt::spawn(sample::send_all(Arc::clone(&self.plan), callers));
        let (mut finished, mut last_finished_at) = (0, Instant::now());
        loop {
            let finished_now = self.counts().tasks_finished;
            if finished_now != finished {
                (finished, last_finished_at) = (finished_now, Instant::now());
            }
            progress(finished, declared);
            if finished >= declared || last_finished_at.elapsed() > STALL_TIMEOUT {
                break;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let counters: Counters =
            samples.await.map_err(|error| Error::call("send the sample requests", error))?;
        Ok(Report::new(declared, counters, self.counts()))
    }

    /// Stops all entry VMs gracefully.
    pub async fn stop(mut self) {
        for vm in &self.vms {
            vm.running.stop();
        }
        for vm in &mut self.vms {
            vm.running.ended().await;
        }
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn worker_name(pool: &str, number: u32) -> String {
    format!("{pool}-{number}")
}

fn profiles(pool: &crate::declare::pool::Pool) -> impl Iterator<Item = Profile> + use<> {
    let (name, capacity, connections) = (pool.name.clone(), pool.size, u32::from(pool.connections));
    (0..pool.count).map(move |number| Profile {
        capacity,
        max_connections: connections,
        ..Profile::new(worker_name(&name, number))
    })
}
