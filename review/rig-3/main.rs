//! Scripts of the review: entry VMs as separate processes, with stand-ins of store, workers and clients in this process.
//!
//! Usage: `rig CASE RECORD`. `TROUBLE=0` plays the case without its disruption. Exit: 0 if the rule held, 1 if it was broken, 2
//! if the case could not run.

mod cases;
mod http;
mod json;
mod store;
mod vm;
mod worker;

use std::fs::File;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use http::{Response, Server};
use store::Store;
use vm::Vm;
use worker::{Log, Profile, Work, Worker};

/// Memory of a VM, as in its settings.
pub const MEMORY_MB: u64 = 260;

/// Longest time of a case.
const CASE_TIME_MAX: Duration = Duration::from_secs(112);

/// Outcome of a case.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    Held = 0,
    Broken = 1,
    NotRun = 2,
}

/// The record of a case, which is printed too.
#[derive(Clone)]
pub struct Record(Arc<Mutex<(File, Instant)>>);

impl Record {
    pub fn line(&self, text: impl AsRef<str>) {
        let mut record = self.0.lock().expect("record");
        let line = format!("{:8.3} {}", record.1.elapsed().as_secs_f64(), text.as_ref());
        println!("{line}");
        let _ = writeln!(record.0, "{line}");
    }
}

/// A deployment on loopback.
pub struct Rig {
    pub record: Record,
    pub has_trouble: bool,
    pub folder: PathBuf,
    pub store: Arc<Store>,
    pub store_address: SocketAddr,
    _store_server: Server,
    pub log: Arc<Log>,
    pub vms: Vec<Vm>,
    /// For each VM, how often the platform has ended its process since it was over its memory.
    pub memory_ends: Vec<u32>,
    /// For each VM, when the platform starts its process again.
    respawn_at: Vec<Option<Instant>>,
    pub workers: Vec<Arc<Worker>>,
}

/// Loopback address of this run, the same for all its parts but `last`.
fn own_ip(last: u8) -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high | 64, low, last)
}

impl Rig {
    fn new(record: Record, value_bytes: usize) -> Rig {
        let folder = std::env::temp_dir().join(format!("nutmegfold-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("the folder for temporary files takes one");
        let (store, server) = Store::start(own_ip(1), value_bytes).expect("a loopback address is free");
        Rig {
            record,
            has_trouble: std::env::var("TROUBLE").map_or(true, |text| text != "0"),
            folder,
            store,
            store_address: server.address,
            _store_server: server,
            log: Log::new(),
            vms: Vec::new(),
            memory_ends: Vec::new(),
            respawn_at: Vec::new(),
            workers: Vec::new(),
        }
    }

    /// Starts a worker with these figures.
    pub fn add_worker(&mut self, profile: Profile, work: &Work) -> Arc<Worker> {
        let ip = own_ip(10 + self.workers.len() as u8);
        let worker = Worker::start(ip, profile, &self.store, &self.log, Arc::clone(work));
        self.workers.push(Arc::clone(&worker));
        worker
    }

    /// Starts entry VMs, and waits until all are ready and one of them leads.
    pub fn start_vms(&mut self, count: u8) -> bool {
        for index in 0..count {
            let zone = ["basirhat", "siliguri", "canning"][usize::from(index) % 3];
            let name = format!("edge-{zone}-{index}");
            let vm = Vm::start(&self.folder, own_ip(200 + index), &name, zone, self.store_address);
            self.vms.push(vm);
            self.memory_ends.push(0);
            self.respawn_at.push(None);
        }
        let is_ready = self.vms.iter().all(|vm| vm.wait_ready(Duration::from_secs(20)));
        let until = Instant::now() + Duration::from_secs(20);
        while self.store.read("lead/holder").is_none() && Instant::now() < until {
            thread::sleep(Duration::from_millis(50));
        }
        // The leader meets the workers.
        thread::sleep(Duration::from_secs(3));
        is_ready && self.store.read("lead/holder").is_some()
    }

    /// Index of the VM that leads, by the leader's key.
    pub fn leader(&self) -> Option<usize> {
        let value = self.store.read("lead/holder")?;
        let bytes = decode_base64(&value);
        let holds = |vm: &Vm| bytes.windows(vm.name.len()).any(|window| window == vm.name.as_bytes());
        self.vms.iter().position(holds)
    }

    /// Sends a request to the VM with this index, and records it with its answer.
    pub fn ask(&self, vm: usize, method: &str, host: &str, path: &str, body: &str) -> Option<Response> {
        self.ask_with(vm, method, &[("Host", host)], path, body)
    }

    pub fn ask_with(
        &self,
        vm: usize,
        method: &str,
        headers: &[(&str, &str)],
        path: &str,
        body: &str,
    ) -> Option<Response> {
        let mut all = vec![("X-Timeout-Ms", "3000")];
        all.extend_from_slice(headers);
        let answer = http::call(self.vms[vm].front, method, path, &all, body, Duration::from_millis(3_200));
        let shown = match &answer {
            Some(answer) => format!("{} {}", answer.status, String::from_utf8_lossy(&answer.body)),
            None => "no answer".to_owned(),
        };
        let head: Vec<String> = headers.iter().map(|(key, value)| format!("{key}: {value}")).collect();
        let body: String = body.chars().take(300).collect();
        let name = &self.vms[vm].name;
        self.record.line(format!("{name} <- {method} {path} [{}] {body} -> {shown}", head.join(", ")));
        answer
    }

    /// Submits a job as a client does: again with the same id after no answer, 502, 503 or 504; whether it was accepted.
    pub fn submit(&self, host: &str, path: &str, body: &str, tries: usize) -> bool {
        for attempt in 0..tries {
            let answer = self.ask(attempt % self.vms.len(), "POST", host, path, body);
            match answer.map(|answer| answer.status) {
                Some(200..=299) => return true,
                Some(400..=428) | Some(430..=499) => return false,
                _ => thread::sleep(Duration::from_millis(500)),
            }
        }
        false
    }

    /// State of a job as a client sees it; none without an answer that has it.
    pub fn state(&self, vm: usize, host: &str, path: &str) -> Option<String> {
        let answer = self.ask(vm, "GET", host, path, "")?;
        (answer.status == 200).then_some(())?;
        json::parse(&answer.body)?.text("state").map(str::to_owned)
    }

    /// Does what the platform does about memory: a process over the limit is killed, and started again a second later. A process
    /// that ends by itself is started again as well.
    pub fn enforce_memory(&mut self) {
        for index in 0..self.vms.len() {
            let vm = &mut self.vms[index];
            match self.respawn_at[index] {
                Some(at) if at <= Instant::now() => {
                    vm.spawn();
                    self.respawn_at[index] = None;
                    self.record.line(format!("platform: {} is started again", vm.name));
                }
                Some(_) => {}
                None => {
                    let (memory, has_ended) = (vm.memory_mb().0, vm.has_ended());
                    if memory > MEMORY_MB || has_ended {
                        let cause = if has_ended {
                            "ended by itself".to_owned()
                        } else {
                            format!("uses {memory} MB")
                        };
                        self.record.line(format!("platform: {} {cause}, its process is killed", vm.name));
                        vm.kill();
                        self.memory_ends[index] += 1;
                        self.respawn_at[index] = Some(Instant::now() + Duration::from_secs(1));
                    }
                }
            }
        }
    }

    /// Lets time pass, in which the platform watches the memory.
    pub fn pass(&mut self, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            self.enforce_memory();
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Waits until a condition holds.
    pub fn wait(&self, timeout: Duration, mut holds: impl FnMut(&Rig) -> bool) -> bool {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            if holds(self) {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Records what the workers did with the tasks of a job.
    pub fn record_runs(&self, job: &str) {
        for event in self.log.all().iter().filter(|event| event.task.starts_with(job)) {
            self.record.line(format!(
                "worker {} (born {}): {} run {}: {} (at {:.3} of the workers' log)",
                event.worker,
                event.born,
                event.task,
                event.run,
                event.what,
                event.at.as_secs_f64()
            ));
        }
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.vms.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

pub fn decode_base64(text: &str) -> Vec<u8> {
    let digit = |byte: u8| match byte {
        b'A'..=b'Z' => byte - b'A',
        b'a'..=b'z' => byte - b'a' + 26,
        b'0'..=b'9' => byte - b'0' + 52,
        b'+' => 62,
        _ => 63,
    };
    let mut out = Vec::new();
    let (mut bits, mut count) = (0u32, 0);
    for byte in text.bytes().filter(|byte| *byte != b'=') {
        bits = bits << 6 | u32::from(digit(byte));
        count += 6;
        if count >= 8 {
            count -= 8;
            out.push((bits >> count) as u8);
        }
    }
    out
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: rig CASE RECORD");
        std::process::exit(2);
    };
    let file = File::create(&path).expect("the record can be written");
    let record = Record(Arc::new(Mutex::new((file, Instant::now()))));
    thread::spawn(|| {
        let (stop, until) = (std::env::temp_dir().join("stop"), Instant::now() + CASE_TIME_MAX);
        while Instant::now() < until && !stop.exists() {
            thread::sleep(Duration::from_millis(200));
        }
        eprintln!("the case was stopped, or takes too long");
        vm::kill_all();
        std::process::exit(2);
    });
    let outcome = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| cases::play(&case, &record)));
    let outcome = outcome.unwrap_or(Outcome::NotRun);
    record.line(format!("outcome: {outcome:?}"));
    vm::kill_all();
    std::process::exit(outcome as i32);
}
