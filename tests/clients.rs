//! Clients outside the limits against an entry VM in a process of its own: bodies and heads that never end, bodies over
//! the limit, connections that stay open, and answers that nobody reads.
//!
//! Each test checks that the process lives, that its memory and its number of descriptors stay under a bound, and that
//! an ordinary request is answered while the crowd of clients is still connected. The bounds are those that
//! docs/work-plan.md states for a VM of 160 MB.

#![cfg(target_os = "linux")]

#[path = "soak/http.rs"]
#[allow(dead_code, reason = "the stand-in has functions that only the soak uses")]
mod http;
#[path = "soak/store/mod.rs"]
#[allow(dead_code, reason = "the stand-in has functions that only the soak uses")]
mod store;

use std::fs;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use store::Store;

const BINARY: &str = env!("CARGO_BIN_EXE_nutmegfold");

/// Resident memory that the process may have at any time, in kB: the target for a VM of 160 MB.
const MEMORY_MAX_KB: u64 = 110_000;

/// Limit on the connections of callers in the settings of the tests.
const CONNECTIONS_MAX: usize = 200;

/// Descriptors that the process may use besides the connections of callers: listeners, event queues, the store.
const OTHER_DESCRIPTORS_MAX: usize = 100;

/// Number of clients that send bodies.
const SENDERS: usize = 40;

/// Largest body that the default settings allow, in bytes.
const BODY_MAX: usize = 8_000_000;

/// Bytes that a client withholds from the end of its body.
const WITHHELD: usize = 2_000;

/// Wait for a write that makes no progress, after which a client stops to send and stays connected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum wait for a condition. Each one takes a few seconds; the margin avoids failures on a busy machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);

const JOB_PATH: &str = "/q/";

const CONFIGURATION: &str = r#"{"version":1,
    "routes":[{"name":"q","host":"jobs.example","prefix":"/q/","service":"s","max_attempts":3,"stretch":2.0}],
    "services":[{"name":"s"}]}"#;

/// Only one crowd runs at a time, since memory and descriptors of one process are measured.
static TURN: Mutex<()> = Mutex::new(());

/// Entry VM in a process of its own, which is killed on drop.
struct Vm {
    process: Child,
    caller: SocketAddr,
    store: Store,
    _turn: MutexGuard<'static, ()>,
}

impl Drop for Vm {
    fn drop(&mut self) {
        // Errors are ignored, since the process may have ended already.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

fn unused_addresses<const COUNT: usize>() -> [SocketAddr; COUNT] {
    let listeners: [TcpListener; COUNT] =
        std::array::from_fn(|_| TcpListener::bind("127.0.0.1:0").expect("a port is free"));
    listeners.map(|listener| listener.local_addr().expect("bound address"))
}

impl Vm {
    /// Starts a VM, and waits until it accepts jobs.
    fn start(name: &str) -> Self {
        let turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
        let store = Store::start();
        store.put("op/config", CONFIGURATION.as_bytes());
        let [caller, admin, peer, ready] = unused_addresses();
        let settings = format!(
            "name = \"{name}\"\nzone = \"a\"\n[listen]\ncaller = \"{caller}\"\nadmin = \"{admin}\"\npeer = \"{peer}\"\n\
             [platform]\nstore = \"{}\"\n[jobs]\nready = \"{ready}\"\n[limits]\nin_flight = {CONNECTIONS_MAX}\n\
             [log]\nlevel = \"error\"\n",
            store.address(),
        );
        let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join("clients");
        fs::create_dir_all(&directory).expect("directory");
        let file = directory.join(format!("{name}.toml"));
        fs::write(&file, settings).expect("settings");
        let process = Command::new(BINARY)
            .args(["serve", "--settings"])
            .arg(&file)
            .stdin(Stdio::null())
            .spawn()
            .expect("the binary runs");
        let vm = Self { process, caller, store, _turn: turn };
        vm.wait_for_accepted_job(1);
        vm
    }

    /// Submits one small job until it is accepted; a client repeats a request that was refused.
    fn wait_for_accepted_job(&self, id: u64) {
        let started_at = Instant::now();
        loop {
            let result = self.submit(id);
            if matches!(result, Ok(200)) {
                return;
            }
            assert!(started_at.elapsed() < WAIT_TIMEOUT, "a small job is not accepted: {result:?}");
            thread::sleep(Duration::from_millis(100));
        }
    }

    /// Submits one small job and returns the status.
    fn submit(&self, id: u64) -> io::Result<u16> {
        let body = r#"{"spec":"s","steps":[{"count":1,"cpu":500,"mem_mb":100,"estimate_ms":1000}]}"#;
        let mut stream = TcpStream::connect(self.caller)?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        write!(
            stream,
            "POST {JOB_PATH}{id:016x} HTTP/1.1\r\nHost: jobs.example\r\nConnection: close\r\nX-Timeout-Ms: 5000\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        )?;
        let mut answer = [0; 12];
        stream.read_exact(&mut answer)?;
        let text = String::from_utf8_lossy(&answer);
        text.rsplit(' ')
            .next()
            .and_then(|status| status.parse().ok())
            .ok_or(io::ErrorKind::InvalidData.into())
    }

    /// Checks that the process lives within its bounds and accepts an ordinary job.
    fn check(&mut self) {
        self.check_bounds();
        self.wait_for_accepted_job(2);
        self.check_bounds();
        assert!(self.store.is_up());
    }

    fn check_bounds(&mut self) {
        let ended = self.process.try_wait().expect("the state of the process");
        assert_eq!(ended, None, "the process has ended");
        let id = self.process.id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).expect("the process lives");
        // The highest resident memory so far.
        let memory = status.lines().find_map(|line| line.strip_prefix("VmHWM:")?.strip_suffix("kB"));
        let memory_kb: u64 = memory.expect("the line exists").trim().parse().expect("a number");
        let descriptors = fs::read_dir(format!("/proc/{id}/fd")).expect("the process lives").count();
        println!("peak of resident memory {memory_kb} kB, {descriptors} descriptors");
        assert!(memory_kb < MEMORY_MAX_KB, "{memory_kb} kB of resident memory");
        assert!(descriptors < CONNECTIONS_MAX + OTHER_DESCRIPTORS_MAX, "{descriptors} descriptors");
    }

    /// Lets `count` clients send at the same time and returns their connections, which are still open at this side.
    fn crowd(
        &self,
        count: usize,
        send: impl Fn(usize, &mut TcpStream) -> io::Result<()> + Sync,
    ) -> Vec<TcpStream> {
        let client = |number| {
            let mut stream = TcpStream::connect(self.caller).ok()?;
            stream.set_write_timeout(Some(WRITE_TIMEOUT)).ok()?;
            // The process may refuse the client and close its connection.
            let _ = send(number, &mut stream);
            Some(stream)
        };
        thread::scope(|scope| {
            let client = &client;
            let clients: Vec<_> = (0..count).map(|number| scope.spawn(move || client(number))).collect();
            clients.into_iter().filter_map(|client| client.join().expect("no client panics")).collect()
        })
    }
}

fn send_head(stream: &mut TcpStream, method: &str, number: usize, framing: &str) -> io::Result<()> {
    write!(
        stream,
        "{method} {JOB_PATH}{:016x} HTTP/1.1\r\nHost: jobs.example\r\n{framing}\r\n\r\n",
        number + 100
    )
}

/// Sends `bytes` bytes in pieces of `piece` bytes.
fn send_pieces(stream: &mut TcpStream, bytes: usize, piece: usize) -> io::Result<()> {
    let data = vec![b' '; piece];
    for start in (0..bytes).step_by(piece) {
        stream.write_all(&data[..piece.min(bytes - start)])?;
    }
    Ok(())
}

/// Sends `bytes` bytes in chunks of `chunk` bytes, without the last chunk.
fn send_chunks(stream: &mut TcpStream, bytes: usize, chunk: usize) -> io::Result<()> {
    /// Bytes that are written together.
    const WRITE_BYTES: usize = 64_000;
    let mut one = format!("{chunk:x}\r\n").into_bytes();
    one.resize(one.len() + chunk, b' ');
    one.extend(b"\r\n");
    let repeats = WRITE_BYTES.div_ceil(chunk);
    let data = one.repeat(repeats);
    for _ in 0..bytes / (chunk * repeats) {
        stream.write_all(&data)?;
    }
    Ok(())
}

/// Submits jobs with a body one after the other, each on a connection of its own after the first, and reads the answers.
fn submit_repeatedly(stream: &mut TcpStream, number: usize, body: &str) -> io::Result<()> {
    /// Jobs that a client submits.
    const JOBS: usize = 10;
    let framing = format!("Content-Length: {}\r\nConnection: close", body.len());
    let address = stream.peer_addr()?;
    for job in 0..JOBS {
        if job > 0 {
            *stream = TcpStream::connect(address)?;
            stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
        }
        stream.set_read_timeout(Some(WRITE_TIMEOUT))?;
        send_head(stream, "POST", number * JOBS + job, &framing)?;
        // A refusal may come before the end of the body, and the connection is closed then.
        let _ = stream.write_all(body.as_bytes());
        let _ = stream.read(&mut [0; 12]);
    }
    Ok(())
}

/// Guards against a process that runs out of memory when many announced bodies of legal size stop short of their end.
#[test]
fn announced_bodies_that_stop_short() {
    let mut vm = Vm::start("announced");
    let framing = format!("Content-Length: {BODY_MAX}");
    let crowd = vm.crowd(SENDERS, |number, stream| {
        send_head(stream, "POST", number, &framing)?;
        send_pieces(stream, BODY_MAX - WITHHELD, BODY_MAX)
    });
    vm.check();
    drop(crowd);
}

/// Guards against the same with bodies that arrive piece by piece.
#[test]
fn announced_bodies_in_pieces_that_stop_short() {
    let mut vm = Vm::start("pieces");
    let framing = format!("Content-Length: {BODY_MAX}");
    let crowd = vm.crowd(SENDERS, |number, stream| {
        send_head(stream, "POST", number, &framing)?;
        send_pieces(stream, BODY_MAX - WITHHELD, 10_000)
    });
    vm.check();
    drop(crowd);
}

/// Guards against a process that runs out of memory when many bodies without an announced length stop short of their end.
#[test]
fn chunked_bodies_that_stop_short() {
    let mut vm = Vm::start("chunked");
    let crowd = vm.crowd(SENDERS, |number, stream| {
        send_head(stream, "POST", number, "Transfer-Encoding: chunked")?;
        send_chunks(stream, BODY_MAX - WITHHELD, 64_000)
    });
    vm.check();
    drop(crowd);
}

/// Guards against chunks of one byte that cost many times the memory of their bytes.
#[test]
fn chunks_of_one_byte_that_stop_short() {
    let mut vm = Vm::start("tiny");
    let crowd = vm.crowd(SENDERS, |number, stream| {
        send_head(stream, "POST", number, "Transfer-Encoding: chunked")?;
        send_chunks(stream, BODY_MAX / 4, 1)
    });
    vm.check();
    drop(crowd);
}

/// Guards against bodies far over the limit, announced and unannounced, that are read into memory.
#[test]
fn bodies_far_over_the_limit() {
    let mut vm = Vm::start("over");
    let framing = format!("Content-Length: {}", 1_000 * BODY_MAX);
    let crowd = vm.crowd(SENDERS, |number, stream| {
        if number % 2 == 0 {
            send_head(stream, "POST", number, &framing)?;
            return send_pieces(stream, 4 * BODY_MAX, 64_000);
        }
        send_head(stream, "POST", number, "Transfer-Encoding: chunked")?;
        send_chunks(stream, 4 * BODY_MAX, 64_000)
    });
    vm.check();
    drop(crowd);
}

/// Guards against memory for bodies of requests that need none.
#[test]
fn bodies_of_reads_and_cancellations() {
    let mut vm = Vm::start("unneeded");
    let framing = format!("Content-Length: {BODY_MAX}");
    let crowd = vm.crowd(SENDERS, |number, stream| {
        send_head(stream, if number % 2 == 0 { "GET" } else { "DELETE" }, number, &framing)?;
        send_pieces(stream, BODY_MAX - WITHHELD, 64_000)
    });
    vm.check();
    drop(crowd);
}

/// Guards against request heads that never end and hold memory or connections.
#[test]
fn heads_that_never_end() {
    let mut vm = Vm::start("heads");
    let crowd = vm.crowd(CONNECTIONS_MAX * 3 / 2, |number, stream| {
        if number % 2 == 0 {
            // The second head on a connection is the one without an end.
            send_head(stream, "GET", number, "X-A: b")?;
        }
        write!(stream, "POST {JOB_PATH}{:016x} HTTP/1.1\r\nHost: jobs.example\r\nX-Long: ", number + 100)?;
        send_pieces(stream, 120_000, 1_000)
    });
    vm.check();
    drop(crowd);
}

/// Guards against idle connections that take all descriptors, or keep ordinary callers out.
#[test]
fn idle_connections() {
    let mut vm = Vm::start("idle");
    let crowd = vm.crowd(CONNECTIONS_MAX * 2, |number, stream| {
        if number % 2 == 0 { send_head(stream, "GET", number, "X-A: b") } else { Ok(()) }
    });
    vm.check();
    drop(crowd);
}

/// Guards against answers that pile up for clients that do not read them.
#[test]
fn clients_that_do_not_read_answers() {
    let mut vm = Vm::start("readers");
    let crowd = vm.crowd(CONNECTIONS_MAX * 3 / 2, |number, stream| {
        (0..20_000).try_for_each(|_| send_head(stream, "GET", number, "X-A: b"))
    });
    vm.check();
    drop(crowd);
}

/// Guards against a head after the first one on a connection that has no end and keeps its connection for good.
#[test]
fn a_later_head_without_an_end_stays_open() {
    let mut vm = Vm::start("later");
    let mut stream = TcpStream::connect(vm.caller).expect("a connection");
    send_head(&mut stream, "GET", 1, "X-A: b").expect("the first head");
    let mut answer = [0; 12];
    stream.read_exact(&mut answer).expect("the first answer");
    write!(stream, "GET {JOB_PATH}{:016x} HTTP/1.1\r\nHost: jobs.example\r\nX-A: ", 1)
        .expect("a part of a head");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a timeout");
    let end = stream.read_to_end(&mut Vec::new());
    let is_closed = end.as_ref().is_ok()
        || end.as_ref().is_err_and(|error| error.kind() == io::ErrorKind::ConnectionReset);
    assert!(is_closed, "the connection is open: {end:?}");
    vm.check();
}

/// Guards against complete bodies of legal size whose jobs are kept in memory after they were answered.
#[test]
fn complete_bodies_with_large_texts() {
    let mut vm = Vm::start("texts");
    let text = "x".repeat(BODY_MAX - WITHHELD);
    let body = format!(r#"{{"spec":"{text}","steps":[{{"count":1,"cpu":500,"mem_mb":100}}]}}"#);
    let crowd = vm.crowd(SENDERS, |number, stream| submit_repeatedly(stream, number, &body));
    vm.check();
    drop(crowd);
}

/// Guards against complete bodies of legal size whose steps have large names, which are kept as well.
#[test]
fn complete_bodies_with_large_names() {
    let mut vm = Vm::start("names");
    let names = ["image", "requires", "affinity"].map(|key| format!(r#""{key}":"{}""#, "x".repeat(10_000)));
    let step = format!(r#"{{"count":1,"cpu":500,"mem_mb":100,{}}}"#, names.join(","));
    let body = format!(r#"{{"spec":"s","steps":[{}]}}"#, vec![step; 256].join(","));
    assert!(body.len() < BODY_MAX);
    let crowd = vm.crowd(SENDERS, |number, stream| submit_repeatedly(stream, number, &body));
    vm.check();
    drop(crowd);
}
