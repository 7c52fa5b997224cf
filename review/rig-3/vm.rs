//! Entry VMs as processes, started with the command and the settings of the deploy file.

use std::fs::{self, File};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::http;

const PROGRAM: &str = "target/release/nutmegfold";
const TEMPLATE: &str = "deploy/entry.toml";

/// Ids of all processes that were started and not ended.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that were started and not ended.
pub fn kill_all() {
    for id in STARTED.lock().expect("ids").drain(..) {
        let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
    }
}

pub struct Vm {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    pub log: PathBuf,
    child: Option<Child>,
}

impl Vm {
    pub fn start(folder: &Path, ip: Ipv4Addr, name: &str, zone: &str, store: SocketAddr) -> Vm {
        let listeners: Vec<TcpListener> =
            (0..4).map(|_| TcpListener::bind((ip, 0)).expect("a loopback address is free")).collect();
        let ports: Vec<SocketAddr> =
            listeners.iter().map(|listener| listener.local_addr().expect("it is bound")).collect();
        drop(listeners);
        let (front, ready, peer, admin) = (ports[0], ports[1], ports[2], ports[3]);
        let fields = [
            (
                "{{#limits.memory_mb}}limits.memory = \"{{.}} MB\"{{/limits.memory_mb}}",
                "limits.memory = \"260 MB\"".to_owned(),
            ),
            ("{{#limits.cpu_share}}cores = {{.}}{{/limits.cpu_share}}", "cores = 0.25".to_owned()),
            ("{{#bounds.far_factor}}far_factor = {{.}}{{/bounds.far_factor}}", "far_factor = 3".to_owned()),
            ("{{node_name}}", name.to_owned()),
            ("{{zone}}", zone.to_owned()),
            ("{{ip}}", ip.to_string()),
            ("{{listen.front}}", front.to_string()),
            ("{{listen.ready}}", ready.to_string()),
            ("{{port_range.0}}", peer.port().to_string()),
            ("{{port_range.1}}", admin.port().to_string()),
            ("{{platform.address}}", store.to_string()),
            ("{{bounds.max_hold_ms}}", "6000".to_owned()),
            ("{{bounds.status_s}}", "120".to_owned()),
        ];
        let template = fs::read_to_string(TEMPLATE).expect("the template of the deploy file");
        let text = fields.iter().fold(template, |text, (field, value)| text.replace(field, value));
        let settings = folder.join(format!("{name}.conf"));
        fs::write(&settings, text).expect("the temporary folder takes the settings");
        let log = folder.join(format!("{name}.log"));
        let mut vm = Vm { name: name.to_owned(), front, ready, settings, log, child: None };
        vm.spawn();
        vm
    }

    pub fn spawn(&mut self) {
        let mut log = File::options().create(true).append(true).open(&self.log).expect("the log");
        let _ = writeln!(log, "== start");
        let errors = log.try_clone().expect("the log");
        let child = Command::new(PROGRAM)
            .arg("serve")
            .env("NUTMEGFOLD_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the program is built");
        STARTED.lock().expect("ids").push(child.id());
        self.child = Some(child);
    }

    pub fn id(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Whether its process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Memory that the process uses, and the most that it has used, in MB.
    pub fn memory_mb(&self) -> (u64, u64) {
        let text = fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap_or_default();
        let field = |name: &str| {
            let line = text.lines().find(|line| line.starts_with(name))?;
            line.split_whitespace().nth(1)?.parse::<u64>().ok()
        };
        (field("VmRSS:").unwrap_or(0) / 1024, field("VmHWM:").unwrap_or(0) / 1024)
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            STARTED.lock().expect("ids").retain(|id| *id != child.id());
        }
    }

    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").args([name, &self.id().to_string()]).status();
    }

    /// Waits until it reports that it is ready.
    pub fn wait_ready(&self, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            let answer =
                http::call(self.ready, "GET", "/ready", &[("Host", "x")], "", Duration::from_secs(1));
            if answer.is_some_and(|answer| answer.status == 200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        self.kill();
    }
}
