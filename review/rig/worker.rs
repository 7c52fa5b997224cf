//! Stand-in of a worker, run as a process of its own. It prints what it starts, ends, refuses and forgets.
//!
//! The text of a job says what its tasks do: `ms=500` ends as done after 500 ms of work, `daemon` runs until it is stopped,
//! and `gang=64` works once that many tasks of one run are there.

use std::collections::BTreeMap;
use std::io::BufRead;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread::{self, sleep};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Answer, Request};
use crate::json::{Json, number, object, text};

/// Time of a serving task until it is at work.
const STARTUP: Duration = Duration::from_millis(320);
const TICK: Duration = Duration::from_millis(5);

#[derive(Clone, Debug)]
pub struct Setup {
    pub id: String,
    pub listen: SocketAddr,
    /// Address in the worker's entry; another one than `listen` if a proxy stands before it.
    pub public: SocketAddr,
    pub store: SocketAddr,
    pub kind: String,
    pub cpu: u64,
    pub heartbeat: Duration,
    pub max_hold_ms: u64,
    pub gang_timeout: Duration,
}

impl Setup {
    pub fn args(&self) -> Vec<String> {
        vec![
            "worker".into(),
            self.id.clone(),
            self.listen.to_string(),
            self.public.to_string(),
            self.store.to_string(),
            self.kind.clone(),
            self.cpu.to_string(),
            self.heartbeat.as_millis().to_string(),
            self.max_hold_ms.to_string(),
            self.gang_timeout.as_millis().to_string(),
        ]
    }

    pub fn parse(args: &[String]) -> Option<Self> {
        let ms = |text: &str| text.parse().ok().map(Duration::from_millis);
        Some(Self {
            id: args.first()?.clone(),
            listen: args.get(1)?.parse().ok()?,
            public: args.get(2)?.parse().ok()?,
            store: args.get(3)?.parse().ok()?,
            kind: args.get(4)?.clone(),
            cpu: args.get(5)?.parse().ok()?,
            heartbeat: ms(args.get(6)?)?,
            max_hold_ms: args.get(7)?.parse().ok()?,
            gang_timeout: ms(args.get(8)?)?,
        })
    }
}

struct Run {
    number: u64,
    text: String,
    begun: Instant,
    /// When its work began; `None` while it waits for its gang.
    working: Option<Instant>,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

#[derive(Default)]
struct State {
    fence: u64,
    lease_ms: u64,
    runs: BTreeMap<String, Run>,
    ended: Vec<End>,
    last_end: u64,
    /// Highest run of each task that was stopped or has ended here.
    closed: BTreeMap<String, u64>,
    /// Whether starts are answered with 503.
    is_busy: bool,
}

struct Worker {
    setup: Setup,
    born_ms: u64,
    started: Instant,
    state: Mutex<State>,
    changed: Condvar,
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

fn log(line: &str) {
    println!("{} {line}", unix_ms());
}

/// Number after `name=` in the text of a job.
fn word(text: &str, name: &str) -> Option<u64> {
    let value = |word: &str| word.strip_prefix(name)?.strip_prefix('=')?.parse().ok();
    text.split_whitespace().find_map(value)
}

/// Runs a worker until its process is killed. A line `busy on` or `busy off` on its input changes how it answers starts.
pub fn run(setup: Setup) {
    let listener = TcpListener::bind(setup.listen).expect("the address of the worker is free");
    let worker = Arc::new(Worker {
        setup,
        born_ms: unix_ms(),
        started: Instant::now(),
        state: Mutex::default(),
        changed: Condvar::new(),
    });
    let server = Arc::clone(&worker);
    http::serve(listener, move |request| Some(server.answer(&request)));
    log(&format!("up born {} kind {}", worker.born_ms, worker.setup.kind));
    let ticker = Arc::clone(&worker);
    thread::spawn(move || {
        loop {
            sleep(TICK);
            ticker.tick();
        }
    });
    let input = Arc::clone(&worker);
    thread::spawn(move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            input.lock().is_busy = line == "busy on";
            log(&line);
        }
        // The driver has ended.
        std::process::exit(0);
    });
    loop {
        worker.beat();
        sleep(worker.setup.heartbeat);
    }
}

impl Worker {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with the lock")
    }

    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn beat(&self) {
        let Setup { id, public, store, kind, cpu, heartbeat, .. } = &self.setup;
        let capacity = object([("cpu", number(*cpu)), ("mem_mb", number(64_000)), ("gpu", number(0))]);
        let entry = object([
            ("service", text("svc")),
            ("address", text(public.to_string())),
            ("zone", text("basirhat")),
            ("version", text("v1")),
            ("slots", number(8)),
            ("state", text("ready")),
            ("cold_remaining_ms", number(0)),
            ("capacity", capacity),
            ("labels", Json::List(vec![text(kind.as_str()), text("r1-1")])),
            ("born", number(self.born_ms)),
        ]);
        let body = object([("id", text(id.as_str())), ("entry", entry)]).to_string();
        if http::call(*store, ("POST", "store", "/entry"), &body, *heartbeat).is_err() {
            log("the store did not answer the heartbeat");
        }
    }

    fn tick(&self) {
        let (now, clock_ms) = (Instant::now(), self.clock_ms());
        let mut state = self.lock();
        if !state.runs.is_empty() && state.lease_ms <= clock_ms {
            for task in state.runs.keys().cloned().collect::<Vec<_>>() {
                state.end(&task, "lapsed");
            }
        }
        let gangs = state.present_by_gang();
        let mut ends = Vec::new();
        for (task, run) in &mut state.runs {
            if run.working.is_none() {
                let is_whole = word(&run.text, "gang")
                    .is_none_or(|size| gangs.get(&gang_of(task, run.number)) == Some(&size));
                if is_whole {
                    run.working = Some(now);
                } else if run.begun.elapsed() >= self.setup.gang_timeout {
                    ends.push((task.clone(), "alone"));
                }
            }
            let length = word(&run.text, "ms").map(Duration::from_millis);
            if run.working.is_some_and(|at| length.is_some_and(|length| at.elapsed() >= length)) {
                ends.push((task.clone(), "done"));
            }
        }
        for (task, how) in ends {
            state.end(&task, how);
        }
        self.changed.notify_all();
    }

    fn answer(&self, request: &Request) -> Answer {
        if request.method == "GET" {
            return (200, "{}".to_owned());
        }
        let target = request.header("x-target-instance");
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let clock = || object([("clock_ms", number(self.clock_ms()))]).to_string();
        let refuse = |reason: &str| {
            (409, object([("clock_ms", number(self.clock_ms())), ("reason", text(reason))]).to_string())
        };
        if target != self.setup.id {
            return (421, "{}".to_owned());
        }
        let mut state = self.lock();
        let (task, run) = (body.get("task").text().to_owned(), body.get("run").number().unwrap_or(0));
        if request.path == "/run-start" && state.is_busy {
            log(&format!("busy {task} {run}"));
            return (503, clock());
        }
        let fence = body.get("fence").number().unwrap_or(0);
        if fence < state.fence {
            log(&format!("refused {} {task} {run} fence {fence} below {}", request.path, state.fence));
            return refuse("fence");
        }
        state.fence = fence;
        match request.path.as_str() {
            "/run-start" => {
                let deadline_ms = body.get("deadline_ms").number().unwrap_or(0);
                if state.runs.get(&task).is_some_and(|known| known.number == run) {
                    return (200, clock());
                }
                if deadline_ms <= self.clock_ms() {
                    log(&format!("refused start {task} {run} late"));
                    return refuse("late");
                }
                state.extend(deadline_ms, self.clock_ms(), self.setup.max_hold_ms);
                let is_old = state.closed.get(&task).is_some_and(|closed| run <= *closed);
                if is_old || state.runs.contains_key(&task) {
                    log(&format!("refused start {task} {run} old"));
                    return refuse("old");
                }
                let text = body.get("spec").text().to_owned();
                log(&format!("start {task} {run} ({text}) fence {fence}"));
                state.runs.insert(task, Run { number: run, text, begun: Instant::now(), working: None });
                (200, clock())
            }
            "/run-stop" => {
                if state.runs.get(&task).is_some_and(|known| known.number == run) {
                    state.end(&task, "stopped");
                }
                let closed = state.closed.entry(task).or_default();
                *closed = run.max(*closed);
                (200, clock())
            }
            "/hold" => {
                if let Some(deadline_ms) = body.get("deadline_ms").number() {
                    state.extend(deadline_ms, self.clock_ms(), self.setup.max_hold_ms);
                }
                let acked = body.get("acked_upto").number().unwrap_or(0);
                if state.ended.iter().any(|end| end.number <= acked) {
                    log(&format!("acked up to {acked}"));
                }
                state.ended.retain(|end| end.number > acked);
                let wait = Duration::from_millis(body.get("wait_ms").number().unwrap_or(0).min(2_000));
                (200, self.list(state, wait))
            }
            "/pace" => (200, clock()),
            _ => (400, clock()),
        }
    }

    /// Waits for an end, and lists all runs and ends.
    fn list(&self, mut state: MutexGuard<'_, State>, wait: Duration) -> String {
        let until = Instant::now() + wait;
        while state.ended.is_empty() {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.changed.wait_timeout(state, left).expect("no thread panics with the lock").0;
        }
        let running = state.runs.iter().map(|(task, run)| {
            let worked = run.working.map_or(Duration::ZERO, |at| at.elapsed());
            let length = word(&run.text, "ms").map_or(STARTUP, Duration::from_millis);
            let percent = (worked.as_millis() * 100 / length.as_millis().max(1)).min(100);
            let cells =
                [text(task.as_str()), number(run.number), text(""), number(percent as u64), number(5)];
            Json::List(cells.into())
        });
        let ended = state.ended.iter().take(500).map(|end| {
            let cells =
                [number(end.number), text(end.task.as_str()), number(end.run), text(end.how), text("")];
            Json::List(cells.into())
        });
        object([
            ("clock_ms", number(self.clock_ms())),
            ("born", number(self.born_ms)),
            ("running", Json::List(running.collect())),
            ("ended", Json::List(ended.collect())),
        ])
        .to_string()
    }
}

impl State {
    fn extend(&mut self, deadline_ms: u64, clock_ms: u64, max_hold_ms: u64) {
        self.lease_ms = self.lease_ms.max(deadline_ms.min(clock_ms + max_hold_ms));
    }

    fn end(&mut self, task: &str, how: &'static str) {
        let Some(run) = self.runs.remove(task) else { return };
        self.last_end += 1;
        let closed = self.closed.entry(task.to_owned()).or_default();
        *closed = run.number.max(*closed);
        log(&format!("end {} {task} {} {how}", self.last_end, run.number));
        self.ended.push(End { number: self.last_end, task: task.to_owned(), run: run.number, how });
    }

    fn present_by_gang(&self) -> BTreeMap<String, u64> {
        let mut present = BTreeMap::new();
        for (task, run) in &self.runs {
            *present.entry(gang_of(task, run.number)).or_insert(0) += 1;
        }
        present
    }
}

/// Name of the step of a task with the number of its run, which the members of a gang share.
fn gang_of(task: &str, run: u64) -> String {
    let step = task.rsplit_once('.').map_or(task, |(step, _)| step);
    format!("{step}#{run}")
}
