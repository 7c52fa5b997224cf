//! Callers that submit jobs to the entry VMs, ask for their states and cancel some of them.

use std::net::SocketAddr;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use actix_web::rt::{System, spawn, time};
use awc::http::{Method, header};
use awc::{Client, Connector};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};

use crate::judge::lost::{self, Phase, Request, Verb};
use crate::judge::{Event, Judge};
use crate::worker::{Fleet, SERVICE, Work};

const HOST: &str = "nony24.example";
const PREFIX: &str = "/lohu930/";

/// Header with the time that a caller waits for an answer.
const TIMEOUT_HEADER: &str = "X-Timeout-Ms";
const TIMEOUT: Duration = Duration::from_secs(3);

/// Attempts of a call, each at another VM.
const ATTEMPTS: usize = 6;
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Runs of a task that may end `failed` before its job is shown as failed.
pub const MAX_ATTEMPTS: u32 = 3;

/// Interval at which a caller asks for the state of its job.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Estimated duration of a task that lasts.
const LASTING_ESTIMATE: Duration = Duration::from_secs(5);

/// One step of a job; it follows the step before it.
#[derive(Debug, Clone, Copy)]
pub struct Step {
    pub tasks: u32,
    pub cpu_millicores: u32,
    pub work: Work,
}

/// Job that a caller submits.
#[derive(Debug, Clone)]
pub struct Job {
    pub at: Duration,
    pub id: String,
    pub steps: Vec<Step>,
    /// Time from its acceptance to its cancellation.
    pub cancelled_after: Option<Duration>,
    /// Whether the same request arrives again after it was accepted.
    pub is_repeated: bool,
}

impl Job {
    /// Draws a job of 1 to 3 steps with 2 to 8 tasks each; one in four has long tasks, one in twenty long-running ones.
    pub fn draw(rng: &mut StdRng, at: Duration) -> Job {
        let is_daemon = rng.random_ratio(1, 20);
        let steps = if is_daemon { 1 } else { rng.random_range(1..=3) };
        let is_long = rng.random_ratio(1, 4);
        let step = |rng: &mut StdRng| {
            let duration_ms =
                if is_long { rng.random_range(3_000..8_000) } else { rng.random_range(300..3_000) };
            let work = Work { duration: Duration::from_millis(duration_ms), is_daemon, ..Work::default() };
            Step { tasks: rng.random_range(2..=8), cpu_millicores: rng.random_range(1_000..3_000), work }
        };
        let cancel = is_daemon || rng.random_ratio(1, 12);
        Job {
            at,
            id: format!("{:016x}", rng.random::<u64>()),
            steps: (0..steps).map(|_| step(rng)).collect(),
            cancelled_after: cancel.then(|| Duration::from_millis(rng.random_range(500..9_000))),
            is_repeated: rng.random_ratio(1, 6),
        }
    }

    /// Draws a job of one step, whose tasks run until the day ends.
    pub fn draw_lasting(rng: &mut StdRng, at: Duration) -> Job {
        let work = Work { duration: LASTING_ESTIMATE, is_daemon: true, ..Work::default() };
        let step =
            Step { tasks: rng.random_range(2..=4), cpu_millicores: rng.random_range(1_000..2_000), work };
        Job::with_step(rng, at, step)
    }

    /// Draws a job of one step with a few short tasks.
    pub fn draw_short(rng: &mut StdRng, at: Duration) -> Job {
        let duration = Duration::from_millis(rng.random_range(200..800));
        let work = Work { duration, ..Work::default() };
        let step =
            Step { tasks: rng.random_range(1..=3), cpu_millicores: rng.random_range(500..1_500), work };
        Job::with_step(rng, at, step)
    }

    fn with_step(rng: &mut StdRng, at: Duration, step: Step) -> Job {
        let id = format!("{:016x}", rng.random::<u64>());
        Job { at, id, steps: vec![step], cancelled_after: None, is_repeated: false }
    }

    /// What the judge knows of the job's steps.
    fn judged_steps(&self) -> Vec<lost::Step> {
        let step = |step: &Step| lost::Step {
            tasks: step.tasks,
            cpu_millicores: step.cpu_millicores,
            lasts: step.work.is_daemon,
        };
        self.steps.iter().map(step).collect()
    }

    fn body(&self) -> Value {
        let step = |(index, step): (usize, &Step)| {
            let mut body = json!({
                "count": step.tasks,
                "cpu": step.cpu_millicores,
                "mem_mb": 500,
                "estimate_ms": step.work.duration.as_millis() as u64,
            });
            if index > 0 {
                body["after"] = json!([index - 1]);
            }
            if step.work.is_daemon {
                body["daemon"] = json!(true);
            }
            body
        };
        json!({"spec": "soak", "steps": self.steps.iter().enumerate().map(step).collect::<Vec<Value>>()})
    }
}

/// The operator's configuration with the one queue of the soak.
pub fn configuration() -> Value {
    json!({
        "version": 7,
        "routes": [{
            "name": "r-3hwrr6x", "host": HOST, "prefix": PREFIX, "type": "non_idempotent", "timeout_ms": 3_000,
            "slo_ms": 400, "priority": 0, "service": SERVICE, "max_attempts": MAX_ATTEMPTS,
            "stretch": 1.5,
        }],
        "services": [{
            "name": SERVICE, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false,
            "enforces_capacity": false, "standby": false,
        }],
        "limits": {"max_body_bytes": 262_144},
    })
}

/// What callers were told.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tally {
    pub accepted: usize,
    pub completed: usize,
    pub cancelled: usize,
}

/// Callers at work on a thread of their own.
#[derive(Debug)]
pub struct Traffic {
    thread: JoinHandle<Tally>,
}

impl Traffic {
    /// Submits the jobs at their times, and follows them until `end`.
    pub fn start(
        jobs: Vec<Job>,
        fronts: Vec<SocketAddr>,
        fleet: Fleet,
        judge: Judge,
        end: Duration,
    ) -> Traffic {
        let thread = thread::spawn(move || System::new().block_on(call(jobs, fronts, fleet, judge, end)));
        Traffic { thread }
    }

    /// Waits for the last caller.
    pub fn join(self) -> Tally {
        self.thread.join().expect("no caller panics")
    }
}

fn client() -> Client {
    Client::builder().connector(Connector::new().limit(0)).timeout(TIMEOUT).finish()
}

async fn call(jobs: Vec<Job>, fronts: Vec<SocketAddr>, fleet: Fleet, judge: Judge, end: Duration) -> Tally {
    let started = Instant::now();
    let client = client();
    let callers: Vec<_> = jobs
        .into_iter()
        .enumerate()
        .map(|(index, job)| {
            for (step, Step { work, .. }) in job.steps.iter().enumerate() {
                fleet.set_work(&format!("{}.0.{step}", job.id), *work);
            }
            let rng = StdRng::seed_from_u64(index as u64);
            let (client, fronts, judge) = (client.clone(), fronts.clone(), judge.clone());
            spawn(Caller { client, fronts, judge, rng, started, end }.follow(job))
        })
        .collect();
    let mut tally = Tally::default();
    for caller in callers {
        let told = caller.await.expect("no caller panics");
        tally.accepted += told.accepted;
        tally.completed += told.completed;
        tally.cancelled += told.cancelled;
    }
    tally
}

/// Asks for the state of each accepted job that was not cancelled.
pub fn ask_for_all(fronts: &[SocketAddr], judge: &Judge) {
    System::new().block_on(async {
        let (started, client) = (Instant::now(), client());
        let callers: Vec<_> = judge
            .uncancelled()
            .into_iter()
            .enumerate()
            .map(|(index, job)| {
                let (client, fronts, judge) = (client.clone(), fronts.to_vec(), judge.clone());
                let rng = StdRng::seed_from_u64(index as u64);
                let caller = Caller { client, fronts, judge, rng, started, end: Duration::ZERO };
                spawn(caller.ask_at_the_end(job))
            })
            .collect();
        for caller in callers {
            caller.await.expect("no caller panics");
        }
    });
}

struct Caller {
    client: Client,
    fronts: Vec<SocketAddr>,
    judge: Judge,
    rng: StdRng,
    started: Instant,
    end: Duration,
}

impl Caller {
    async fn follow(mut self, job: Job) -> Tally {
        let mut tally = Tally::default();
        time::sleep(job.at.saturating_sub(self.started.elapsed())).await;
        let body = job.body();
        self.judge.observe(Event::Submitted { job: job.id.clone(), steps: job.judged_steps() });
        if !self.retry(Method::POST, &job.id, Some(&body)).await {
            return tally;
        }
        tally.accepted = 1;
        self.judge.observe(Event::Accepted { job: job.id.clone() });
        if job.is_repeated {
            self.send(Method::POST, &job.id, Some(&body)).await;
        }
        let accepted = self.started.elapsed();
        while self.started.elapsed() < self.end {
            time::sleep(POLL_INTERVAL.min(job.cancelled_after.unwrap_or(POLL_INTERVAL))).await;
            if job.cancelled_after.is_some_and(|after| self.started.elapsed() >= accepted + after) {
                self.judge.observe(Event::Cancelling { job: job.id.clone() });
                tally.cancelled = usize::from(self.retry(Method::DELETE, &job.id, None).await);
                return tally;
            }
            match self.ask(&job.id).await {
                Some(Phase::Completed) => {
                    tally.completed = 1;
                    return tally;
                }
                Some(Phase::Failed | Phase::Cancelled) => return tally,
                Some(Phase::Open) | None => {}
            }
        }
        tally
    }

    /// Asks until the state is told or the attempts are used up. The judge knows from the answer if a job is unknown.
    async fn ask_at_the_end(mut self, job: String) {
        for _ in 0..ATTEMPTS {
            if self.ask(&job).await.is_some() {
                return;
            }
            time::sleep(RETRY_PAUSE).await;
        }
        self.judge.observe(Event::Untold { job });
    }

    /// Asks for the state of a job once.
    async fn ask(&mut self, job: &str) -> Option<Phase> {
        let (_, body) = self.send(Method::GET, job, None).await?;
        let phase = phase(body?["state"].as_str()?)?;
        self.judge.observe(Event::Shown { job: job.to_owned(), phase });
        Some(phase)
    }

    /// Sends a request until it is answered with success. Callers try again after each other answer, or none.
    async fn retry(&mut self, method: Method, id: &str, body: Option<&Value>) -> bool {
        for _ in 0..ATTEMPTS {
            let answer = self.send(method.clone(), id, body).await;
            if answer.is_some_and(|(status, _)| (200..300).contains(&status) || status == 410) {
                return true;
            }
            time::sleep(RETRY_PAUSE).await;
        }
        false
    }

    /// Sends a request to one VM, and tells the judge what became of it.
    async fn send(&mut self, method: Method, id: &str, body: Option<&Value>) -> Option<(u16, Option<Value>)> {
        let vm = self.rng.random_range(0..self.fronts.len());
        let (verb, sent) = (verb(&method), self.judge.now());
        let answer = self.exchange(self.fronts[vm], method, id, body).await;
        let status = answer.as_ref().map(|(status, _)| *status);
        self.judge.observe(Event::Called(Request { verb, job: id.to_owned(), vm, sent, status }));
        answer
    }

    /// Sends a request and waits for the whole answer. Connections stay open and are used again.
    async fn exchange(
        &self,
        front: SocketAddr,
        method: Method,
        id: &str,
        body: Option<&Value>,
    ) -> Option<(u16, Option<Value>)> {
        let request = self
            .client
            .request(method, format!("http://{front}{PREFIX}{id}"))
            .insert_header((header::HOST, HOST))
            .insert_header((TIMEOUT_HEADER, TIMEOUT.as_millis().to_string()));
        let sent = match body {
            Some(body) => request.send_json(body),
            None => request.send(),
        };
        let mut response = sent.await.ok()?;
        let bytes = response.body().await.ok()?;
        Some((response.status().as_u16(), serde_json::from_slice(&bytes).ok()))
    }
}

fn verb(method: &Method) -> Verb {
    match *method {
        Method::POST => Verb::Submit,
        Method::DELETE => Verb::Cancel,
        _ => Verb::Ask,
    }
}

fn phase(state: &str) -> Option<Phase> {
    match state {
        "queued" | "running" => Some(Phase::Open),
        "completed" => Some(Phase::Completed),
        "failed" => Some(Phase::Failed),
        "cancelled" => Some(Phase::Cancelled),
        _ => None,
    }
}

/// Whether a VM reports itself ready.
async fn is_ready(client: &Client, ready: SocketAddr) -> bool {
    let answer = client.get(format!("http://{ready}/ready")).send().await;
    answer.is_ok_and(|response| response.status().is_success())
}

/// Waits until all VMs are ready and have a leader, which answers the number of waiting jobs. False if the time is over first.
pub fn wait_until_ready(readies: &[SocketAddr], front: SocketAddr, judge: &Judge, limit: Duration) -> bool {
    const INTERVAL: Duration = Duration::from_millis(50);
    System::new().block_on(async {
        let started = Instant::now();
        let client = Client::builder().timeout(TIMEOUT).finish();
        let rng = StdRng::seed_from_u64(0);
        let (fronts, judge) = (vec![front], judge.clone());
        let mut caller = Caller { client: client.clone(), fronts, judge, rng, started, end: limit };
        while started.elapsed() < limit {
            let mut are_ready = true;
            for ready in readies {
                are_ready &= is_ready(&client, *ready).await;
            }
            if are_ready && caller.send(Method::GET, "", None).await.is_some_and(|(status, _)| status == 200)
            {
                return true;
            }
            time::sleep(INTERVAL).await;
        }
        false
    })
}
