//! Entry VMs as real processes: settings from the template of the deploy file, start, signals, end and logs.

use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};

const ARGUMENT: &str = "serve";

const TEMPLATE: &str = include_str!("../../deploy/entry.toml");

/// Longest lease of a run, as the workers apply it.
const LEASE_MAX_MS: u64 = 6_000;

/// Signal that does not end the process at once; [`Vm::kill`] does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    Stop,
    Continue,
    Terminate,
}

impl Signal {
    fn option(self) -> &'static str {
        match self {
            Signal::Stop => "-STOP",
            Signal::Continue => "-CONT",
            Signal::Terminate => "-TERM",
        }
    }
}

/// Entry VM, whose process is killed on drop.
#[derive(Debug)]
pub struct Vm {
    pub name: String,
    /// Address for callers.
    pub front: SocketAddr,
    /// Address of the readiness check.
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Program to run: that of this build, or another one named by the environment.
fn program() -> PathBuf {
    std::env::var_os("SOAK_PROGRAM").map_or_else(|| env!("CARGO_BIN_EXE_nutmegfold").into(), PathBuf::from)
}

/// Loopback address of one VM. No outgoing connection takes a port there while the process is down, as it could on 127.0.0.1.
fn own_ip() -> Ipv4Addr {
    static NEXT: AtomicU8 = AtomicU8::new(0);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high | 128, low, NEXT.fetch_add(1, Ordering::Relaxed))
}

impl Vm {
    /// Writes the settings of a VM into `folder` and starts its process, which calls the store at `store`.
    pub fn start(folder: &Path, name: &str, zone: &str, store: SocketAddr) -> io::Result<Vm> {
        // The listeners are closed together, so that the ports differ.
        let ip = own_ip();
        let listeners: Vec<TcpListener> =
            (0..4).map(|_| TcpListener::bind((ip, 0))).collect::<io::Result<_>>()?;
        let ports: Vec<SocketAddr> =
            listeners.iter().map(TcpListener::local_addr).collect::<io::Result<_>>()?;
        drop(listeners);
        let &[front, ready, peer, admin] = ports.as_slice() else { unreachable!("four listeners are bound") };
        let fields = [
            (
                "{{#limits.memory_mb}}limits.memory = \"{{.}} MB\"{{/limits.memory_mb}}",
                "limits.memory = \"160 MB\"".to_owned(),
            ),
            ("{{#limits.cpu_share}}cores = {{.}}{{/limits.cpu_share}}", "cores = 0.25".to_owned()),
            ("{{#bounds.far_factor}}far_factor = {{.}}{{/bounds.far_factor}}", String::new()),
            ("{{node_name}}", name.to_owned()),
            ("{{zone}}", zone.to_owned()),
            ("{{ip}}", ip.to_string()),
            ("{{listen.front}}", front.to_string()),
            ("{{listen.ready}}", ready.to_string()),
            ("{{port_range.0}}", peer.port().to_string()),
            ("{{port_range.1}}", admin.port().to_string()),
            ("{{platform.address}}", store.to_string()),
            ("{{bounds.max_hold_ms}}", LEASE_MAX_MS.to_string()),
            ("{{bounds.status_s}}", "120".to_owned()),
        ];
        let text = fields.iter().fold(TEMPLATE.to_owned(), |text, (field, value)| text.replace(field, value));
        let settings = folder.join(format!("{name}.conf"));
        fs::write(&settings, text)?;
        let log = folder.join(format!("{name}.log"));
        let mut vm = Vm { name: name.to_owned(), front, ready, settings, log, child: None };
        vm.spawn()?;
        Ok(vm)
    }

    /// Starts the process again if it has ended; its log is continued.
    pub fn spawn(&mut self) -> io::Result<()> {
        if self.is_running() {
            return Ok(());
        }
        let log = File::options().create(true).append(true).open(&self.log)?;
        let errors = log.try_clone()?;
        let child = Command::new(program())
            .arg(ARGUMENT)
            .env("NUTMEGFOLD_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Whether the process has not ended.
    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Sends a signal if the process has not ended.
    pub fn signal(&mut self, signal: Signal) -> io::Result<()> {
        if !self.is_running() {
            return Ok(());
        }
        let Some(child) = &self.child else { return Ok(()) };
        Command::new("kill").arg(signal.option()).arg(child.id().to_string()).status().map(drop)
    }

    /// Sends SIGKILL and waits for the end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Errors are ignored, since the process may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        self.kill();
    }
}
