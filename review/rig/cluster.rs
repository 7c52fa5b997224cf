//! A small deployment on loopback: entry VMs as the deploy file starts them, workers, and the store.

use std::fs::{self, File};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::http;
use crate::json::Json;
use crate::store::Store;
use crate::worker::{self, unix_ms};

/// Host of all queues.
pub const HOST: &str = "nony24.example";
pub const HEARTBEAT: Duration = Duration::from_millis(1_100);
pub const MAX_HOLD_MS: u64 = 6_000;
pub const GANG_TIMEOUT: Duration = Duration::from_millis(3_000);
const CLIENT_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Processes that were started and not ended yet.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// A process that is killed when it is dropped.
pub struct Process {
    child: Child,
}

impl Process {
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn new(child: Child) -> Self {
        STARTED.lock().expect("no panic").push(child.id());
        Self { child }
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        STARTED.lock().expect("no panic").retain(|id| *id != self.child.id());
    }

    /// Writes a line to its input.
    pub fn tell(&mut self, line: &str) {
        if let Some(input) = &mut self.child.stdin {
            let _ = writeln!(input, "{line}");
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// What the worker processes have printed: time in Unix milliseconds, worker, line.
type Lines = Arc<Mutex<Vec<(u64, String, String)>>>;

pub struct Cluster {
    pub store: Store,
    pub vms: Vec<Process>,
    fronts: Vec<SocketAddr>,
    ready: Vec<SocketAddr>,
    lines: Lines,
    began: Instant,
    began_ms: u64,
    folder: PathBuf,
    record: Arc<Mutex<File>>,
    last_id: u64,
    /// Whether the lines of the workers are only counted.
    counts_only: Arc<AtomicBool>,
    ends: Arc<AtomicU64>,
}

/// Address on loopback whose port is free now.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("a bound socket has an address")
}

impl Cluster {
    /// Starts the store with a configuration, and entry VMs. Their settings are `deploy/entry.toml` with its values.
    pub fn start(record: File, vm_count: usize, routes: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), unix_ms()));
        fs::create_dir_all(&folder).expect("the folder for temporary files can be written");
        let store = Store::start(HEARTBEAT);
        store.write("op/config", routes);
        let mut cluster = Self {
            store,
            vms: Vec::new(),
            fronts: Vec::new(),
            ready: Vec::new(),
            lines: Lines::default(),
            began: Instant::now(),
            began_ms: unix_ms(),
            folder,
            record: Arc::new(Mutex::new(record)),
            last_id: unix_ms() << 12,
            counts_only: Arc::default(),
            ends: Arc::default(),
        };
        for index in 0..vm_count {
            let [front, admin, peer, ready] = [(); 4].map(|()| free_address());
            let settings = format!(
                "name = \"edge-basirhat-{index}\"\nzone = \"basirhat\"\nlimits.memory = \"260 MB\"\n\n[listen]\n\
                 caller = \"{front}\"\nadmin = \"{admin}\"\npeer = \"{peer}\"\n\n[platform]\nstore = \"{}\"\n\n[jobs]\n\
                 ready = \"{ready}\"\nlease_max = \"{MAX_HOLD_MS} ms\"\nretention = \"120 s\"\ncores = 0.25\n\
                 far_factor = 3\n\n[log]\nlevel = \"info\"\ntimeline = \"-\"\n",
                cluster.store.address
            );
            fs::write(cluster.settings(index), settings)
                .expect("the folder for temporary files can be written");
            cluster.fronts.push(front);
            cluster.ready.push(ready);
            let process = cluster.spawn_vm(index);
            cluster.vms.push(process);
        }
        cluster.wait_until_ready();
        cluster
    }

    fn settings(&self, index: usize) -> PathBuf {
        self.folder.join(format!("vm-{index}.toml"))
    }

    fn spawn_vm(&self, index: usize) -> Process {
        let log = File::options().create(true).append(true).open(self.folder.join(format!("vm-{index}.log")));
        let log = log.expect("the folder for temporary files can be written");
        let errors = log.try_clone().expect("a file can be opened twice");
        let child = Command::new("target/release/nutmegfold")
            .arg("serve")
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("NUTMEGFOLD_BOOT", self.settings(index))
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        let child = child.unwrap_or_else(|error| fail(&format!("target/release/nutmegfold: {error}")));
        Process::new(child)
    }

    /// Starts an entry VM again that was killed.
    pub fn restart_vm(&mut self, index: usize) {
        self.vms[index] = self.spawn_vm(index);
        self.note(&format!("vm {index} starts again"));
    }

    fn wait_until_ready(&self) {
        for address in &self.ready {
            let is_ready = || {
                let answer = http::call(*address, ("GET", "ready", "/ready"), "", Duration::from_millis(500));
                matches!(answer, Ok((200, _)))
            };
            if !wait_for(Duration::from_secs(10), is_ready) {
                fail("an entry VM does not become ready");
            }
        }
    }

    /// Starts a worker process.
    pub fn start_worker(&self, setup: &worker::Setup) -> Process {
        let program = std::env::current_exe().expect("the path of this program");
        let child =
            Command::new(program).args(setup.args()).stdin(Stdio::piped()).stdout(Stdio::piped()).spawn();
        let mut child = child.unwrap_or_else(|error| fail(&format!("a worker: {error}")));
        let output = child.stdout.take().expect("the output is piped");
        let (lines, id, record) = (Arc::clone(&self.lines), setup.id.clone(), Arc::clone(&self.record));
        let (began_ms, counts_only, ends) =
            (self.began_ms, Arc::clone(&self.counts_only), Arc::clone(&self.ends));
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                let Some((at, rest)) = line.split_once(' ') else { continue };
                ends.fetch_add(u64::from(rest.ends_with(" done")), Ordering::Relaxed);
                if counts_only.load(Ordering::Relaxed) {
                    continue;
                }
                let at_ms = at.parse().unwrap_or(0u64);
                let since = at_ms.saturating_sub(began_ms) as f64 / 1_000.0;
                let _ = writeln!(record.lock().expect("no panic"), "{since:8.3} worker {id}: {rest}");
                lines.lock().expect("no panic").push((at_ms, id.clone(), rest.to_owned()));
            }
        });
        Process::new(child)
    }

    pub fn worker_setup(&self, id: &str) -> worker::Setup {
        let listen = free_address();
        worker::Setup {
            id: id.to_owned(),
            listen,
            public: listen,
            store: self.store.address,
            kind: "a".to_owned(),
            cpu: 16_000,
            heartbeat: HEARTBEAT,
            max_hold_ms: MAX_HOLD_MS,
            gang_timeout: GANG_TIMEOUT,
        }
    }

    /// Writes a line to the record.
    pub fn note(&self, line: &str) {
        let since = self.began.elapsed().as_secs_f64();
        let _ = writeln!(self.record.lock().expect("no panic"), "{since:8.3} {line}");
        println!("{since:8.3} {line}");
    }

    /// Next identity of a job.
    pub fn next_id(&mut self) -> String {
        self.last_id += 1;
        format!("{:016x}", self.last_id)
    }

    /// Makes a client's call at an entry VM. The status is 0 without an answer.
    pub fn call(&self, vm: usize, method: &str, path: &str, body: &str) -> (u16, String) {
        let answer = http::call(self.fronts[vm], (method, HOST, path), body, CLIENT_TIMEOUT);
        let (status, text) = answer.unwrap_or((0, "no answer".to_owned()));
        self.note(&format!("client {method} {path} at vm {vm} {body} -> {status} {text}"));
        (status, text)
    }

    /// Submits a job as clients do: with retries at the next entry VM until it is accepted.
    pub fn submit(&self, path: &str, body: &str) -> bool {
        for attempt in 0..30 {
            if self.call(attempt % self.fronts.len(), "POST", path, body).0 == 200 {
                return true;
            }
            sleep(Duration::from_millis(300));
        }
        false
    }

    /// State of a job; empty without one.
    pub fn state(&self, path: &str) -> String {
        for vm in 0..self.fronts.len() {
            let (status, body) = self.call(vm, "GET", path, "");
            if status == 200 {
                let body = Json::parse(body.as_bytes()).unwrap_or(Json::Null);
                return body.get("state").text().to_owned();
            }
        }
        String::new()
    }

    /// From now on the lines of the workers are counted and not kept.
    pub fn count_only(&self) {
        self.counts_only.store(true, Ordering::Relaxed);
    }

    /// Number of runs that have ended as done.
    pub fn ends(&self) -> u64 {
        self.ends.load(Ordering::Relaxed)
    }

    /// Lines of the workers that contain `part`.
    pub fn lines_with(&self, part: &str) -> Vec<(u64, String, String)> {
        let lines = self.lines.lock().expect("no panic");
        lines.iter().filter(|(.., line)| line.contains(part)).cloned().collect()
    }

    /// Index of the entry VM that leads, by the newest line `lead` in the logs.
    pub fn leader(&self) -> Option<usize> {
        let newest = |index: usize| {
            let log = fs::read_to_string(self.folder.join(format!("vm-{index}.log"))).unwrap_or_default();
            let line = log.lines().filter(|line| line.contains("\"lead\"")).next_back()?.to_owned();
            let term = line.split("term ").nth(1)?.split(',').next()?.parse::<u64>().ok()?;
            Some((term, index))
        };
        (0..self.vms.len()).filter_map(newest).max().map(|(_, index)| index)
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.vms.clear();
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("kept {}", self.folder.display());
        }
    }
}

/// Waits until a condition holds; returns whether it does.
pub fn wait_for(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if condition() {
            return true;
        }
        sleep(Duration::from_millis(20));
    }
    condition()
}

/// Ends the program with all processes that it started, as the case could not run.
pub fn fail(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    for id in STARTED.lock().expect("no panic").iter() {
        let _ = Command::new("sh").arg("-c").arg(format!("kill -KILL {id}")).status();
    }
    std::process::exit(2)
}
