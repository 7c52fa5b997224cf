//! Deployment on loopback: the entry VMs of all availability zones of a file, with stand-ins of the platform.

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
use crate::port::operator::{Client, decode, encode_segment};
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

/// Delay after which the VM list shows a change.
const LIST_LAG: Duration = Duration::from_millis(500);

/// Time after which a run is aborted if its services do not start, or if no further task finishes.
const STALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Interval at which the progress is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// An entry VM of a local deployment.
pub struct Vm {
    /// Name in the VM list.
    pub name: String,
    /// Name of the availability zone.
    pub zone: String,
    /// Running node of the entry VM.
    pub running: Running,
    _arbiter: Arbiter,
}

/// Running deployment, which stops when it is dropped.
pub struct Deployment {
    /// Entry VMs of all availability zones.
    pub vms: Vec<Vm>,
    /// Server of the store.
    pub store: store::http::Server,
    /// Server of the VM list.
    pub listing: listing::Server,
    /// Server of the workers.
    pub workers: worker::http::Server,
    shared: worker::Shared,
    plan: Arc<Plan>,
}

impl Deployment {
    /// Starts the stand-ins and the entry VMs of a plan. Must be called inside an actix system.
    ///
    /// # Errors
    ///
    /// A server or an entry VM cannot be started.
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
                    address: vm.running.peer_address,
                    state: wire::State::Live,
                });
                self.vms.push(vm);
            }
        }
        Ok(())
    }

    /// Starts an entry VM in a thread of its own.
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
            // Sending fails only if the start of the deployment was cancelled, and then the result is not needed.
            let _ = sender.send(start::start(&settings));
        });
        let running = receiver.await.map_err(|error| Error::call(format!("start {name}"), error))??;
        Ok(Vm { name, zone: zone.to_owned(), running, _arbiter: arbiter })
    }

    /// Executed work and violations, as counted by the stand-ins.
    pub fn counts(&self) -> Counts {
        self.shared.audit.counts()
    }

    /// Applies a document through the first entry VM; returns the configuration version that puts it in force.
    ///
    /// # Errors
    ///
    /// The document is rejected, or the call fails.
    pub async fn apply(&self, text: String) -> Result<u64> {
        let name = &document::name("document", &text).map_err(|finding| Error::Findings(vec![finding]))?;
        let client = Client::new(self.vms[0].running.admin_address);
        let path = format!("/v1/documents/{}", encode_segment(name));
        let change = Change { base: None, author: Some("local".to_owned()) };
        let request = client
            .request(Method::PUT, &path)
            .query(&change)
            .map_err(|error| Error::call("encode the request", error))?;
        let bytes = client.send(request, text, name).await?;
        let accepted: Accepted = decode(&bytes, path)?;
        Ok(accepted.version)
    }

    /// Waits until every entry VM has `version` in force, all cells have an owner and all declared replicas run.
    ///
    /// # Errors
    ///
    /// The wait exceeds 60 s, or an entry VM does not answer.
    pub async fn wait_until_running(&self, version: u64) -> Result<()> {
        let started_at = Instant::now();
        while !self.is_running(version).await? {
            if started_at.elapsed() > STALL_TIMEOUT {
                return Err(Error::Unmet("services did not start within 60 s".to_owned()));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    async fn is_running(&self, version: u64) -> Result<bool> {
        let (mut running, mut declared, mut cells) = (0, 0, 0);
        for vm in &self.vms {
            let status: Status = Client::new(vm.running.admin_address).get("/v1/status").await?;
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

    /// Sends the sample requests, and waits until every declared task has finished or no task finishes for 60 s.
    ///
    /// `progress` is called with the numbers of finished and declared tasks.
    ///
    /// # Errors
    ///
    /// The task that sends the sample requests panicked. Requests that fail are counted in the report.
    pub async fn run_until_idle(&self, progress: impl Fn(u64, u64)) -> Result<Report> {
        let declared: u64 = self.plan.jobs.iter().map(|job| u64::from(job.tasks)).sum();
        let callers: Vec<SocketAddr> = self.vms.iter().map(|vm| vm.running.caller_address).collect();
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

    /// Shuts down all entry VMs gracefully and waits until they have stopped.
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
    let (name, capacity, max_connections) = (pool.name.clone(), pool.size, u32::from(pool.connections));
    (0..pool.count).map(move |number| Profile {
        capacity,
        max_connections,
        ..Profile::new(worker_name(&name, number))
    })
}
