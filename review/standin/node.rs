//! The project's own processes: settings from the deploy file's template, start, signals and end.

use std::fs::{self, File};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use crate::worker::MAX_HOLD_MS;

/// Program and arguments of the role in the deploy file.
const PROGRAM: &str = "target/release/nutmegfold";
const ARGUMENT: &str = "serve";
const TEMPLATE: &str = "deploy/entry.toml";

/// One machine of the system with its process.
pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Adds a process to the list by which the script ends all that are left when it is interrupted.
fn note_process(id: u32) {
    let Some(path) = std::env::var_os("REVIEW_PROCESSES") else { return };
    let file = File::options().create(true).append(true).open(path);
    writeln!(file.expect("the list can be written"), "{id}").expect("the list can be written");
}

/// A loopback address whose port is free now.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.local_addr().expect("address")
}

impl Node {
    /// Writes the settings of a machine and starts its process.
    pub fn start(folder: &Path, name: &str, zone: &str, store: SocketAddr) -> Node {
        let (front, ready, peer, admin) = (free_address(), free_address(), free_address(), free_address());
        let fields = [
            ("node_name", name.to_owned()),
            ("zone", zone.to_owned()),
            ("ip", "127.0.0.1".to_owned()),
            ("listen.front", front.to_string()),
            ("listen.ready", ready.to_string()),
            ("port_range.0", peer.port().to_string()),
            ("port_range.1", admin.port().to_string()),
            ("platform.address", store.to_string()),
            ("bounds.max_hold_ms", MAX_HOLD_MS.to_string()),
            ("bounds.status_s", "120".to_owned()),
        ];
        let mut text = fs::read_to_string(TEMPLATE).expect("the template is in the repository");
        text = text.replace("{{#limits.cpu_share}}cores = {{.}}{{/limits.cpu_share}}", "cores = 0.25");
        for (field, value) in fields {
            text = text.replace(&format!("{{{{{field}}}}}"), &value);
        }
        let settings = folder.join(format!("{name}.conf"));
        fs::write(&settings, text).expect("the settings can be written");
        let log = folder.join(format!("{name}.log"));
        let mut node = Node { name: name.to_owned(), front, ready, settings, log, child: None };
        node.spawn();
        node
    }

    /// Starts the process, as the platform does after its end.
    pub fn spawn(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("the log can be written");
        let errors = log.try_clone().expect("the log can be shared");
        let child = Command::new(PROGRAM)
            .arg(ARGUMENT)
            .env("NUTMEGFOLD_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        let child = child.expect("the program is built");
        note_process(child.id());
        self.child = Some(child);
    }

    /// Whether the log says that the process has led.
    pub fn has_led(&self) -> bool {
        fs::read_to_string(&self.log).is_ok_and(|log| log.contains("\"decision\":\"lead\""))
    }

    /// Sends SIGKILL and waits for the end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
