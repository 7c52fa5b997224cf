//! Stand-ins of workers, after PROTOCOL.md, and the record of what they run.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Request, Response, Server};
use crate::json::{self, Json, quote};
use crate::store::Store;

/// Run time from which on a task counts as one that lasts.
const LASTING_MIN: Duration = Duration::from_secs(500);

/// Most ends in one answer.
const ENDS_PER_ANSWER: usize = 500;

/// Longest lease.
pub const MAX_HOLD_MS: u64 = 6_000;

/// Longest wait of a renewal.
const WAIT_MAX_MS: u64 = 2_000;

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// Name of the event that the lease of a worker has lapsed.
pub const LAPSE: &str = "lease lapsed";

/// What a worker did.
#[derive(Debug, Clone)]
pub struct Event {
    pub at: Duration,
    pub worker: String,
    pub born: u64,
    pub task: String,
    pub run: u64,
    /// `start`, or how the run ended; `noted` once its end was acknowledged.
    pub what: String,
    pub spec: String,
}

/// What all workers did.
pub struct Log {
    pub begun: Instant,
    pub events: Mutex<Vec<Event>>,
}

impl Log {
    pub fn new() -> Arc<Log> {
        Arc::new(Log { begun: Instant::now(), events: Mutex::new(Vec::new()) })
    }

    pub fn all(&self) -> Vec<Event> {
        self.events.lock().expect("log").clone()
    }

    /// Runs that have ended in this way and whose ends are taken note of, with the times of their ends: `acked_upto` has reached them,
    /// and the lease of their worker has not lapsed between the two.
    pub fn noted_ends(&self, how: &str) -> Vec<Event> {
        let events = self.all();
        let is_same = |one: &Event, other: &Event| one.worker == other.worker && one.born == other.born;
        let is_noted = |end: &&Event| {
            let noted = events.iter().find(|event| {
                event.what == "noted" && event.task == end.task && event.run == end.run && is_same(event, end)
            });
            let has_lapsed = |at: Duration| {
                events.iter().any(|event| {
                    event.what == LAPSE && is_same(event, end) && end.at <= event.at && event.at <= at
                })
            };
            noted.is_some_and(|noted| !has_lapsed(noted.at))
        };
        events.iter().filter(|event| event.what == how).filter(is_noted).cloned().collect()
    }

    /// Number of events of a kind for the tasks of a job.
    pub fn count(&self, job: &str, what: &str) -> usize {
        let events = self.events.lock().expect("log");
        events.iter().filter(|event| event.what == what && event.task.starts_with(job)).count()
    }
}

/// Run time of a task and how it ends.
pub type Work = Arc<dyn Fn(&str) -> (Duration, &'static str) + Send + Sync>;

/// What a worker reports about itself.
#[derive(Debug, Clone)]
pub struct Profile {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub cpu: u64,
    pub mem_mb: u64,
    pub labels: Vec<String>,
}

struct Run {
    number: u64,
    begun: Instant,
    /// Whether it lasts, so that it is at work at once.
    lasts: bool,
    until: Instant,
    how: &'static str,
}

struct State {
    born: u64,
    begun: Instant,
    fence: u64,
    acked: u64,
    last_end: u64,
    lease_ms: u64,
    /// Whether the lapse of the present lease is in the log.
    has_lapsed: bool,
    running: BTreeMap<String, Run>,
    /// Number, task, run, how.
    ended: Vec<(u64, String, u64, &'static str)>,
    /// Highest run of each task that was stopped or has ended.
    past: BTreeMap<String, u64>,
}

impl State {
    fn new() -> Self {
        Self {
            born: unix_ms(),
            begun: Instant::now(),
            fence: 0,
            acked: 0,
            last_end: 0,
            lease_ms: 0,
            has_lapsed: true,
            running: BTreeMap::new(),
            ended: Vec::new(),
            past: BTreeMap::new(),
        }
    }

    /// Progress of a run in percent.
    fn percent(run: &Run) -> u128 {
        let time = (run.until - run.begun).as_millis().max(1);
        if run.lasts { 100 } else { (run.begun.elapsed().as_millis() * 100 / time).min(99) }
    }

    fn clock_ms(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }
}

pub struct Worker {
    pub profile: Mutex<Profile>,
    log: Arc<Log>,
    work: Work,
    state: Mutex<State>,
    changed: Condvar,
    server: Mutex<Option<Server>>,
    pub address: Mutex<Option<SocketAddr>>,
    store: Arc<Store>,
    is_up: AtomicBool,
    is_draining: AtomicBool,
    /// Tasks of which the next order to start gets no answer and is carried out late.
    to_delay: Mutex<Vec<String>>,
    /// Such orders, with the times of their arrival.
    delayed: Mutex<Vec<(Instant, Json)>>,
    /// When it last answered a renewal.
    answered_at: Mutex<Instant>,
}

impl Worker {
    /// Starts a worker on a loopback address and registers it.
    pub fn start(
        ip: Ipv4Addr,
        profile: Profile,
        store: &Arc<Store>,
        log: &Arc<Log>,
        work: Work,
    ) -> Arc<Worker> {
        let worker = Arc::new(Worker {
            profile: Mutex::new(profile),
            log: Arc::clone(log),
            work,
            state: Mutex::new(State::new()),
            changed: Condvar::new(),
            server: Mutex::new(None),
            address: Mutex::new(None),
            store: Arc::clone(store),
            is_up: AtomicBool::new(false),
            is_draining: AtomicBool::new(false),
            to_delay: Mutex::new(Vec::new()),
            delayed: Mutex::new(Vec::new()),
            answered_at: Mutex::new(Instant::now()),
        });
        worker.listen((ip, 0));
        worker.register();
        let ticking = Arc::clone(&worker);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(5));
                ticking.tick();
            }
        });
        worker
    }

    fn listen(self: &Arc<Self>, address: (Ipv4Addr, u16)) {
        let handler = Arc::clone(self);
        let server = Server::start(address, Arc::new(move |request| handler.handle(&request)));
        let server = server.expect("a loopback address is free");
        *self.address.lock().expect("address") = Some(server.address);
        *self.server.lock().expect("server") = Some(server);
        self.is_up.store(true, Ordering::SeqCst);
    }

    fn key(&self) -> String {
        format!("servers/{}", self.profile.lock().expect("profile").id)
    }

    /// Writes the worker's entry into the store.
    pub fn register(&self) {
        let (profile, born) = (self.profile.lock().expect("profile").clone(), self.born());
        let address = self.address.lock().expect("address").expect("it listens");
        let labels: Vec<String> = profile.labels.iter().map(|label| quote(label)).collect();
        let state = if self.is_draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let text = format!(
            "{{\"service\":{},\"address\":\"{address}\",\"zone\":{},\"version\":\"1\",\"slots\":8,\
             \"state\":\"{state}\",\"cold_remaining_ms\":0,\"seq\":{},\"born\":{born},\
             \"capacity\":{{\"cpu\":{},\"mem_mb\":{}}},\"labels\":[{}]}}",
            quote(&profile.service),
            quote(&profile.zone),
            unix_ms(),
            profile.cpu,
            profile.mem_mb,
            labels.join(",")
        );
        self.store.write(&self.key(), &text);
    }

    pub fn born(&self) -> u64 {
        self.state.lock().expect("worker").born
    }

    /// Whether a run of a task is at work.
    pub fn has(&self, task: &str) -> bool {
        self.state.lock().expect("worker").running.contains_key(task)
    }

    /// The next order to start a task gets no answer, and is carried out by [`Self::carry_out`].
    pub fn delay_start(&self, task: &str) {
        self.to_delay.lock().expect("tasks").push(task.to_owned());
    }

    /// All further orders are answered.
    pub fn forget_delays(&self) {
        self.to_delay.lock().expect("tasks").clear();
    }

    /// Time since the arrival of the first delayed order; none without one.
    pub fn delay(&self) -> Option<Duration> {
        self.delayed.lock().expect("orders").first().map(|(at, _)| at.elapsed())
    }

    /// Task of the first delayed order; none without one.
    pub fn delayed_task(&self) -> Option<String> {
        let delayed = self.delayed.lock().expect("orders");
        delayed.first().and_then(|(_, body)| body.text("task")).map(str::to_owned)
    }

    /// Carries out the delayed orders now, in the process that runs now. Returns the status of each.
    pub fn carry_out(&self) -> Vec<String> {
        let orders = std::mem::take(&mut *self.delayed.lock().expect("orders"));
        let answer = |(_, body): &(Instant, Json)| {
            let answer = self.start_run(body);
            format!("{} {}", answer.status, String::from_utf8_lossy(&answer.body))
        };
        orders.iter().map(answer).collect()
    }

    /// Time since it last answered a renewal.
    pub fn since_answer(&self) -> Duration {
        self.answered_at.lock().expect("time").elapsed()
    }

    /// Ends the process without notice; what it runs is gone.
    pub fn crash(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        if let Some(server) = self.server.lock().expect("server").take() {
            server.end();
        }
        let mut state = self.state.lock().expect("worker");
        let tasks: Vec<(String, u64)> =
            state.running.iter().map(|(task, run)| (task.clone(), run.number)).collect();
        for (task, run) in tasks {
            self.note(&state, &task, run, "crashed", "");
        }
        state.running.clear();
        self.changed.notify_all();
    }

    /// Starts the worker again under its id and address; it knows nothing of before. The entry is not written.
    pub fn restart(self: &Arc<Self>) {
        *self.state.lock().expect("worker") = State::new();
        let SocketAddr::V4(address) = self.address.lock().expect("address").expect("it has listened") else {
            return;
        };
        self.listen((*address.ip(), address.port()));
    }

    fn note(&self, state: &State, task: &str, run: u64, what: &str, spec: &str) {
        self.log.events.lock().expect("log").push(Event {
            at: self.log.begun.elapsed(),
            worker: self.profile.lock().expect("profile").id.clone(),
            born: state.born,
            task: task.to_owned(),
            run,
            what: what.to_owned(),
            spec: spec.to_owned(),
        });
    }

    fn end_run(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.running.remove(task) else { return };
        state.last_end += 1;
        let number = state.last_end;
        state.ended.push((number, task.to_owned(), run.number, how));
        let past = state.past.entry(task.to_owned()).or_default();
        *past = (*past).max(run.number);
        self.note(state, task, run.number, how, "");
        self.changed.notify_all();
    }

    fn tick(&self) {
        if !self.is_up.load(Ordering::SeqCst) {
            return;
        }
        let mut state = self.state.lock().expect("worker");
        let (now, clock_ms) = (Instant::now(), state.clock_ms());
        let has_lapsed = clock_ms > state.lease_ms;
        if has_lapsed && !state.has_lapsed {
            self.note(&state, "", 0, LAPSE, "");
        }
        state.has_lapsed = has_lapsed;
        let due: Vec<(String, &'static str)> = state
            .running
            .iter()
            .filter(|(_, run)| has_lapsed || run.until <= now)
            .map(|(task, run)| (task.clone(), if run.until <= now { run.how } else { "lapsed" }))
            .collect();
        for (task, how) in due {
            self.end_run(&mut state, &task, how);
        }
    }

    fn handle(self: &Arc<Self>, request: &Request) -> Option<Response> {
        let target = request.header("X-Target-Instance").map(str::to_owned);
        if target.is_some_and(|target| target != self.profile.lock().expect("profile").id) {
            return Some(Response::new(421, "{}"));
        }
        let Some(body) = json::parse(&request.body) else { return Some(Response::new(400, "{}")) };
        match request.path.as_str() {
            "/run-start" => {
                let task = body.text("task").unwrap_or_default().to_owned();
                let mut to_delay = self.to_delay.lock().expect("tasks");
                if let Some(position) = to_delay.iter().position(|other| *other == task) {
                    to_delay.remove(position);
                    self.delayed.lock().expect("orders").push((Instant::now(), body));
                    return None;
                }
                drop(to_delay);
                Some(self.start_run(&body))
            }
            "/run-stop" => Some(self.stop_run(&body)),
            "/hold" => Some(self.hold(&body)),
            "/pace" => Some(Response::new(200, format!("{{\"clock_ms\":{}}}", self.clock_ms()))),
            _ => Some(Response::new(404, "{}")),
        }
    }

    fn clock_ms(&self) -> u64 {
        self.state.lock().expect("worker").clock_ms()
    }

    /// Takes note of a fencing token; the refusal if it is too low.
    fn check_fence(state: &mut State, body: &Json) -> Option<Response> {
        let fence = body.number("fence").unwrap_or(0);
        if fence < state.fence {
            let text = format!("{{\"clock_ms\":{},\"reason\":\"fence\"}}", state.clock_ms());
            return Some(Response::new(409, text));
        }
        state.fence = fence;
        None
    }

    fn extend(state: &mut State, body: &Json) {
        if let Some(deadline) = body.number("deadline_ms") {
            // A lapse since the last tick comes into the log first.
            let clock_ms = state.clock_ms();
            state.has_lapsed &= deadline <= clock_ms;
            state.lease_ms = state.lease_ms.max(deadline.min(clock_ms + MAX_HOLD_MS));
        }
    }

    fn start_run(&self, body: &Json) -> Response {
        let mut state = self.state.lock().expect("worker");
        if let Some(refusal) = Self::check_fence(&mut state, body) {
            return refusal;
        }
        let (Some(task), Some(number), Some(deadline)) =
            (body.text("task"), body.number("run"), body.number("deadline_ms"))
        else {
            return Response::new(400, "{}");
        };
        let clock_ms = state.clock_ms();
        let refuse =
            |reason| Response::new(409, format!("{{\"clock_ms\":{clock_ms},\"reason\":\"{reason}\"}}"));
        if deadline <= clock_ms {
            return refuse("late");
        }
        Self::extend(&mut state, body);
        let is_there = state.running.get(task).is_some_and(|run| run.number == number);
        if !is_there {
            let is_old = state.past.get(task).is_some_and(|past| number <= *past);
            if is_old || state.running.contains_key(task) {
                return refuse("old");
            }
            let (time, how) = (self.work)(task);
            let now = Instant::now();
            state.running.insert(
                task.to_owned(),
                Run { number, begun: now, lasts: time >= LASTING_MIN, until: now + time, how },
            );
            self.note(&state, task, number, "start", body.text("spec").unwrap_or_default());
            if time.is_zero() {
                self.end_run(&mut state, task, how);
            }
        }
        Response::new(200, format!("{{\"clock_ms\":{clock_ms}}}"))
    }

    fn stop_run(&self, body: &Json) -> Response {
        let mut state = self.state.lock().expect("worker");
        if let Some(refusal) = Self::check_fence(&mut state, body) {
            return refusal;
        }
        let (task, number) = (body.text("task").unwrap_or_default(), body.number("run").unwrap_or(0));
        let past = state.past.entry(task.to_owned()).or_default();
        *past = (*past).max(number);
        if state.running.get(task).is_some_and(|run| run.number <= number) {
            self.end_run(&mut state, task, "stopped");
        }
        Response::new(200, format!("{{\"clock_ms\":{}}}", state.clock_ms()))
    }

    fn hold(&self, body: &Json) -> Response {
        let mut state = self.state.lock().expect("worker");
        if let Some(refusal) = Self::check_fence(&mut state, body) {
            return refusal;
        }
        Self::extend(&mut state, body);
        let acked = body.number("acked_upto").unwrap_or(0);
        state.acked = state.acked.max(acked);
        let noted: Vec<_> = state.ended.extract_if_upto(acked);
        for (_, task, run, _) in noted {
            self.note(&state, &task, run, "noted", "");
        }
        let wait = Duration::from_millis(body.number("wait_ms").unwrap_or(0).min(WAIT_MAX_MS));
        let until = Instant::now() + wait;
        while state.ended.is_empty() && Instant::now() < until && self.is_up.load(Ordering::SeqCst) {
            let left = until.saturating_duration_since(Instant::now());
            state = self.changed.wait_timeout(state, left).expect("worker").0;
        }
        *self.answered_at.lock().expect("time") = Instant::now();
        let running: Vec<String> = state
            .running
            .iter()
            .map(|(task, run)| format!("[{},{},\"\",{},0]", quote(task), run.number, State::percent(run)))
            .collect();
        let ended: Vec<String> = state
            .ended
            .iter()
            .take(ENDS_PER_ANSWER)
            .map(|(number, task, run, how)| format!("[{number},{},{run},\"{how}\",\"\"]", quote(task)))
            .collect();
        Response::new(
            200,
            format!(
                "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"ended\":[{}]}}",
                state.clock_ms(),
                state.born,
                running.join(","),
                ended.join(",")
            ),
        )
    }
}

type End = (u64, String, u64, &'static str);

trait Ends {
    /// Removes the ends up to a number.
    fn extract_if_upto(&mut self, number: u64) -> Vec<End>;
}

impl Ends for Vec<End> {
    fn extract_if_upto(&mut self, number: u64) -> Vec<End> {
        let count = self.partition_point(|end| end.0 <= number);
        self.drain(..count).collect()
    }
}
