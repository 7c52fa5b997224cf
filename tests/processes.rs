//! End-to-end test with each entry VM in a process of its own, and stand-ins of the platform in the test process.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use nutmegfold::core::run;
use nutmegfold::declare::check::{self, Source};
use nutmegfold::standin::worker::http::{Answer, IDEMPOTENT, REQUEST_ID};
use nutmegfold::standin::worker::profile::Profile;
use nutmegfold::standin::{listing, store, worker};
use nutmegfold::wire::listing::{Kind, State, Vm};

const BINARY: &str = env!("CARGO_BIN_EXE_nutmegfold");

/// Maximum wait for a condition. Each one takes a few seconds; the margin avoids failures on a busy machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(120);

const DOCUMENT: &str = r#"
name = "desk"
[[region]]
name = "south"
[[zone]]
name = "a"
region = "south"
[[pool]]
name = "w"
zone = "a"
racks = ["r1"]
count = 3
cores = 16
memory = "60 GB"
[[team]]
name = "desk"
[[service]]
name = "quotes"
team = "desk"
replicas = { min = 2, max = 2 }
cores = 1
memory = "1 GB"
latency_target = "50 ms"
timeout = "5 s"
[[service.route]]
path = "/quote"
idempotent = true
[[job]]
name = "plan"
team = "desk"
tasks = 40
cores = 1
memory = "1 GB"
run_time = "500 ms"
checkpointable = true
"#;

/// Entry VM in a process of its own, which is killed on drop.
struct Entry {
    process: Child,
    caller: SocketAddr,
    admin: SocketAddr,
}

impl Drop for Entry {
    fn drop(&mut self) {
        // Errors are ignored, since the process may have ended already.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

struct Platform {
    store: store::http::Server,
    listing: listing::Server,
    _workers: worker::http::Server,
    shared: worker::Shared,
    directory: PathBuf,
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns a loopback address with a port that no socket uses at present. Another process can still bind it before the
/// entry VM does.
fn unused_address() -> SocketAddr {
    TcpListener::bind(loopback()).and_then(|listener| listener.local_addr()).expect("loopback is there")
}

impl Platform {
    fn start(name: &str) -> Self {
        let shared = worker::Shared::default();
        let profiles = (0..3).map(|number| (loopback(), Profile::new(format!("w-{number}"))));
        let workers = worker::http::Server::start(profiles, shared.clone()).expect("workers");
        let listing = listing::Server::start(loopback(), Duration::ZERO).expect("list");
        for (number, address) in workers.addresses().iter().enumerate() {
            listing.handle().put(vm(format!("w-{number}"), Kind::Worker, *address));
        }
        let store = store::http::Server::start(loopback(), store::Limits::default()).expect("store");
        let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::create_dir_all(&directory).expect("directory");
        fs::write(directory.join("desk.toml"), DOCUMENT).expect("document");
        Self { store, listing, _workers: workers, shared, directory }
    }

    fn start_entry(&self, name: &str) -> Entry {
        let (caller, admin, peer) = (unused_address(), unused_address(), unused_address());
        let settings = format!(
            "name = \"{name}\"\nzone = \"a\"\n[listen]\ncaller = \"{caller}\"\nadmin = \"{admin}\"\npeer = \"{peer}\"\n\
             [platform]\nstore = \"{}\"\nlisting = \"{}\"\n[log]\nlevel = \"warn\"\n",
            self.store.address(),
            self.listing.address(),
        );
        let file = self.directory.join(format!("{name}.toml"));
        fs::write(&file, settings).expect("settings");
        let process = Command::new(BINARY)
            .args(["serve", "--settings"])
            .arg(&file)
            .stderr(Stdio::inherit())
            .spawn()
            .expect("the binary runs");
        self.listing.handle().put(vm(name.to_owned(), Kind::Entry, peer));
        Entry { process, caller, admin }
    }

    fn finished_tasks(&self) -> u64 {
        self.shared.audit.counts().tasks_finished
    }
}

fn vm(name: String, kind: Kind, address: SocketAddr) -> Vm {
    let (rack, pool) = match kind {
        Kind::Worker => ("r1".into(), "w".into()),
        Kind::Entry => (String::new(), String::new()),
    };
    Vm { name, instance: 1, kind, zone: "a".into(), rack, pool, address, state: State::Live }
}

fn run_command(args: &[&str]) -> Output {
    Command::new(BINARY).args(args).output().expect("the binary runs")
}

fn wait_for(expected: &str, mut condition: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "{expected} did not happen");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Whether a request gets the complete answer that belongs to it.
fn is_answered(caller: SocketAddr, id: &str) -> bool {
    actix_web::rt::System::new().block_on(async {
        let request = awc::Client::default()
            .post(format!("http://{caller}/quotes/quote"))
            .insert_header((REQUEST_ID, id))
            .insert_header((IDEMPOTENT, "1"))
            .timeout(Duration::from_secs(10));
        let Ok(mut response) = request.send_body(id.to_owned()).await else { return false };
        let Ok(body) = response.body().await else { return false };
        let Ok(answer) = serde_json::from_slice::<Answer>(&body) else { return false };
        answer == Answer::new(run::Id(answer.run), answer.path.clone(), id, id)
    })
}

/// Guards against requests that are answered only if all entry VMs share a process, against tasks that are lost or run
/// twice when an entry VM is killed, and against a graceful shutdown that does not complete.
#[test]
fn service_and_jobs_continue_after_an_entry_vm_is_killed() {
    check::compile(&[Source { name: "desk", text: DOCUMENT, is_stored: false }]).expect("valid");
    let platform = Platform::start("processes");
    let mut entries = vec![platform.start_entry("e1"), platform.start_entry("e2")];
    let admin = entries[0].admin.to_string();
    let file = platform.directory.join("desk.toml").display().to_string();
    wait_for("apply", || {
        run_command(&["apply", &file, "--admin", &admin, "--author", "test"]).status.success()
    });
    wait_for("an answer by e1", || is_answered(entries[0].caller, "one"));
    wait_for("an answer by e2", || is_answered(entries[1].caller, "two"));
    wait_for("first tasks", || platform.finished_tasks() > 0);

    drop(entries.remove(0));
    wait_for("an answer after the kill", || is_answered(entries[0].caller, "three"));
    wait_for("all tasks", || platform.finished_tasks() == 40);
    entries.push(platform.start_entry("e3"));
    let has_version = |entry: &Entry| {
        let output = run_command(&["status", "--admin", &entry.admin.to_string(), "--json"]);
        String::from_utf8_lossy(&output.stdout).contains("\"version\": 1")
    };
    wait_for("the configuration in a new process", || has_version(&entries[1]));

    let stopping = entries.remove(0);
    let id = stopping.process.id().to_string();
    assert!(Command::new("kill").args(["-TERM", &id]).status().expect("kill runs").success());
    let mut stopping = stopping;
    let status = stopping.process.wait().expect("the process ends");
    assert!(status.success(), "{status}");
    wait_for("an answer after the hand-over", || is_answered(entries[0].caller, "four"));

    let counts = platform.shared.audit.counts();
    assert_eq!((counts.tasks_finished, counts.tasks_run_twice), (40, 0));
    assert_eq!((counts.slots_overcommitted, counts.connections_overcommitted), (0, 0));
}
