//! A small deployment on loopback addresses, and its clients.

use std::fs;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::json::{Json, table};
use crate::node::Node;
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Work, Worker, World};

pub const SERVICE: &str = "huvo11a";
const HOST: &str = "nony24.example";
const PREFIX: &str = "/lohu930/";
const ZONES: [&str; 3] = ["basirhat", "siliguri", "canning"];

/// Time that a client waits for an answer.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Time in which the processes have to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Processes, workers and the store of one script.
pub struct Deployment {
    pub world: Arc<World>,
    pub nodes: Vec<Node>,
    pub workers: Vec<Arc<Worker>>,
    /// By machine, whether the store turns away its calls.
    pub is_refused: Vec<Arc<AtomicBool>>,
    folder: PathBuf,
}

impl Deployment {
    /// Starts the store, the workers and the processes, and waits until all of these are ready. `None` if they are not.
    pub fn start(folder: &Path, nodes: usize, workers: usize) -> Option<Deployment> {
        Self::start_with_routes(folder, nodes, workers, 0)
    }

    /// The same, with a configuration that has further routes.
    pub fn start_with_routes(
        folder: &Path,
        nodes: usize,
        workers: usize,
        extra_routes: usize,
    ) -> Option<Deployment> {
        let record = Record::create(&folder.join("record.txt")).ok()?;
        let temporary = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&temporary).ok()?;
        let store = Store::start();
        store.put("op/config", &config(7, extra_routes).to_string());
        let world = World::new(record, store);
        let worker = |index: usize| {
            let (zone, rack) = (ZONES[index % ZONES.len()], format!("r-{}", index / 2));
            Worker::start(&world, &format!("i-{index}"), SERVICE, zone, &rack, 16_000)
        };
        let workers = (0..workers).map(worker).collect();
        let (mut started, mut is_refused) = (Vec::new(), Vec::new());
        for index in 0..nodes {
            let listener = TcpListener::bind("127.0.0.1:0").ok()?;
            let (zone, address) = (ZONES[index % ZONES.len()], listener.local_addr().ok()?);
            is_refused.push(world.store.serve(listener));
            started.push(Node::start(&temporary, &format!("edge-{zone}-{index}"), zone, address));
        }
        let mut deployment = Deployment { world, nodes: started, workers, is_refused, folder: temporary };
        deployment.wait_until_ready().then_some(deployment)
    }

    fn wait_until_ready(&mut self) -> bool {
        let until = Instant::now() + READY_TIMEOUT;
        while Instant::now() < until {
            let is_ready = |node: &Node| {
                let answer = http::call(node.ready, "GET", "/ready", &[("Host", "x")], "", CLIENT_TIMEOUT);
                answer.is_some_and(|(status, _)| status == 200)
            };
            // A GET of the queue is answered by the leader, so it shows that there is one.
            if self.nodes.iter().all(is_ready)
                && self.request(0, "GET", "", "").is_some_and(|(status, _)| status == 200)
            {
                self.world.record.add("the deployment is ready");
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Writes a configuration as the operator does.
    pub fn configure(&self, version: u64, extra_routes: usize) {
        let text = config(version, extra_routes).to_string();
        self.world.store.put("op/config", &text);
        let size = text.len();
        self.world.record.add(format!(
            "version {version} of the configuration, {size} bytes, is acknowledged; its last route is {}",
            extra_prefix(extra_routes - 1)
        ));
    }

    /// Sends a request of a client to one machine.
    pub fn request(&self, node: usize, method: &str, id: &str, body: &str) -> Option<(u16, String)> {
        self.request_path(node, method, &format!("{PREFIX}{id}"), body)
    }

    /// The same for any path.
    pub fn request_path(&self, node: usize, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let node = &self.nodes[node % self.nodes.len()];
        let headers = [("Host", HOST), ("X-Timeout-Ms", "3000"), ("Connection", "close")];
        let answer = http::call(node.front, method, path, &headers, body, CLIENT_TIMEOUT);
        let text = match &answer {
            Some((status, body)) => format!("{status} {body}"),
            None => "no answer".to_owned(),
        };
        self.world.record.add(format!("client {method} {path} at {}: {text}", node.name));
        answer
    }

    /// Submits a job of one step, again after each answer but 2xx, as clients do. Returns whether it was accepted.
    pub fn submit(&self, id: &str, step: Vec<(&str, Json)>, work: Work) -> bool {
        self.world.work.lock().expect("lock").insert(format!("{id}.0.0"), work);
        let body = job_body(vec![step]);
        for attempt in 0..20 {
            if self.request(attempt, "POST", id, &body).is_some_and(|(status, _)| status == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(500));
        }
        false
    }

    /// State of a job according to some machine.
    pub fn state(&self, node: usize, id: &str) -> Option<String> {
        let (status, body) = self.request(node, "GET", id, "")?;
        (status == 200).then(|| Json::parse(body.as_bytes())?.text("state").map(str::to_owned))?
    }

    /// Waits until a condition holds; false if it does not hold in time.
    pub fn wait(&self, limit: Duration, condition: impl Fn(&Self) -> bool) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if condition(self) {
                return true;
            }
            thread::sleep(Duration::from_millis(5));
        }
        false
    }

    /// Worker whose present life has this id.
    pub fn worker(&self, id: &str) -> Option<&Arc<Worker>> {
        self.workers.iter().find(|worker| worker.id() == id)
    }

    /// Adds the verdict to the record.
    pub fn judge(&self, holds: bool, text: &str) -> bool {
        self.world.record.add(format!("{}: {text}", if holds { "held" } else { "BROKEN" }));
        println!("{}: {text}", if holds { "held" } else { "BROKEN" });
        holds
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.nodes.clear();
        if std::env::var_os("REVIEW_KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Body of a job with these steps.
pub fn job_body(steps: Vec<Vec<(&str, Json)>>) -> String {
    let steps: Vec<Json> = steps.into_iter().map(table).collect();
    table(vec![("spec", "x".into()), ("steps", steps.into())]).to_string()
}

/// Prefix of a further route.
pub fn extra_prefix(index: usize) -> String {
    format!("/extra{index}/")
}

fn route(name: &str, prefix: &str) -> Json {
    table(vec![
        ("name", name.into()),
        ("host", HOST.into()),
        ("prefix", prefix.into()),
        ("type", "non_idempotent".into()),
        ("timeout_ms", 3_000.into()),
        ("slo_ms", 400.into()),
        ("priority", 0.into()),
        ("service", SERVICE.into()),
        ("max_attempts", 3.into()),
        ("stretch", Json::Number(1.5)),
    ])
}

fn config(version: u64, extra_routes: usize) -> Json {
    let mut routes = vec![route("r-3hwrr6x", PREFIX)];
    routes.extend((0..extra_routes).map(|index| route(&format!("r-extra{index}"), &extra_prefix(index))));
    let service = table(vec![
        ("name", SERVICE.into()),
        ("health_path", "/health".into()),
        ("max_conns", 64.into()),
        ("protocol", "h1".into()),
        ("tls", Json::Bool(false)),
        ("enforces_capacity", Json::Bool(false)),
        ("standby", Json::Bool(false)),
    ]);
    table(vec![
        ("version", version.into()),
        ("routes", routes.into()),
        ("services", vec![service].into()),
        ("limits", table(vec![("max_body_bytes", 262_144.into())])),
    ])
}
