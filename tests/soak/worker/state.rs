//! Reducer of all workers: orders, faults and the passage of time, with effects as data.
//!
//! Times count from the start of the fleet. Before each event, everything happens that was due before it.

use std::net::SocketAddr;
use std::time::Duration;

use nutmegfold::hash::Map;
use serde_json::{Value, json};
use slotmap::SlotMap;

use super::life::{Admission, End, GANG_TIMEOUT, Life, Run, STOP};
use super::order::{Hold, Kind, Order, Refusal, Start, Stop};
use super::{DRAIN, Filter, Key, SERVICE, Spec, Work};
use crate::http::{Answer, Call};
use crate::judge::{self, RunKey};

const HEARTBEAT: Duration = Duration::from_millis(1_100);

/// Silence after which an entry is removed.
const ENTRY_LIFE: Duration = Duration::from_millis(3 * 1_100);

/// Longest wait of a renewal for an end.
const MAX_WAIT: Duration = Duration::from_millis(2_000);

/// Orders that come late from now on.
#[derive(Debug, Clone, Copy)]
struct Lateness {
    filter: Filter,
    count: u32,
    delay: Duration,
}

#[derive(Debug)]
struct Worker {
    spec: Spec,
    /// Address in the entry.
    public: SocketAddr,
    /// `None` while the process is down.
    life: Option<Life>,
    next_heartbeat: Duration,
    is_store_cut: bool,
    is_mute: bool,
    lateness: Option<Lateness>,
    failing_starts: u32,
}

/// Members of one run of a gang.
#[derive(Debug, Default)]
struct Gang {
    present: usize,
    began: Option<Duration>,
    is_done: bool,
    is_broken: bool,
}

#[derive(Debug)]
struct LateOrder {
    due: Duration,
    worker: Key,
    order: Order,
}

/// Renewal that waits for an end.
#[derive(Debug)]
struct Poll {
    call: Call,
    worker: Key,
    until: Duration,
    last_end: u64,
}

/// What an entry in the store says, apart from times.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Said {
    born_ms: u64,
    public: SocketAddr,
    is_draining: bool,
}

#[derive(Debug)]
struct Entry {
    heard: Duration,
    said: Said,
}

/// State of all workers.
#[derive(Debug, Default)]
pub struct State {
    workers: SlotMap<Key, Worker>,
    runs: SlotMap<RunKey, Run>,
    works: Map<String, Work>,
    /// By step and number of the run.
    gangs: Map<(String, u64), Gang>,
    late: Vec<LateOrder>,
    polls: Vec<Poll>,
    /// Entries in the store, by id.
    entries: Map<String, Entry>,
    /// Whether heartbeats reach the store.
    pub is_store_up: bool,
    effects: Vec<Effect>,
}

/// What happens to a worker; `Tick` is the passage of time. When lateness ends, the late orders that are under way are lost.
#[derive(Debug, Clone)]
pub enum Event {
    Ordered { call: Call, worker: Key, order: Order },
    WorkSet { step: String, work: Work },
    Announced { worker: Key, public: SocketAddr },
    StoreCut { worker: Key, is_cut: bool },
    Muted { worker: Key, is_mute: bool },
    LatenessSet { worker: Key, filter: Filter, count: u32, delay: Duration },
    LatenessEnded,
    FailuresSet { worker: Key, count: u32 },
    Crashed { worker: Key },
    Started { worker: Key, id: Option<String>, born_ms: u64 },
    Drained { worker: Key },
    Tick,
}

/// What the fleet has to do. A withheld call gets no answer. The listener and the connections of a closed worker end.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    Answer { call: Call, answer: Answer },
    Withhold { call: Call },
    WriteEntry { id: String, entry: Value },
    RemoveEntry { id: String },
    Close { worker: Key },
    Observe(judge::Event),
}

/// What happens next at the workers.
enum Step {
    End(RunKey, &'static str),
    Lapse(Key),
}

/// Applies an event.
pub fn reduce(state: &mut State, now: Duration, event: Event) -> Vec<Effect> {
    state.advance(now);
    match event {
        Event::Ordered { call, worker, order } => state.receive(now, call, worker, order),
        Event::WorkSet { step, work } => {
            state.works.insert(step, work);
        }
        Event::Announced { worker, public } => {
            state.workers[worker].public = public;
            state.workers[worker].next_heartbeat = now;
        }
        Event::StoreCut { worker, is_cut } => state.workers[worker].is_store_cut = is_cut,
        Event::Muted { worker, is_mute } => state.workers[worker].is_mute = is_mute,
        Event::LatenessSet { worker, filter, count, delay } => {
            state.workers[worker].lateness = Some(Lateness { filter, count, delay });
        }
        Event::LatenessEnded => {
            state.workers.values_mut().for_each(|worker| worker.lateness = None);
            state.late.clear();
        }
        Event::FailuresSet { worker, count } => state.workers[worker].failing_starts = count,
        Event::Crashed { worker } => state.exit(worker),
        Event::Started { worker, id, born_ms } => state.begin(now, worker, id, born_ms),
        Event::Drained { worker } => {
            if let Some(life) = &mut state.workers[worker].life {
                life.exits = Some(now + DRAIN);
                let left = judge::Event::Left { worker: life.id.clone() };
                state.observe(left);
            }
            state.workers[worker].next_heartbeat = now;
        }
        Event::Tick => {}
    }
    state.advance(now);
    std::mem::take(&mut state.effects)
}

/// When something happens without an event.
pub fn next_due(state: &State) -> Option<Duration> {
    let workers = state.workers.values().filter_map(|worker| {
        let exits = worker.life.as_ref()?.exits;
        exits.into_iter().chain([worker.next_heartbeat]).min()
    });
    let steps = state.next_step().map(|(due, _)| due);
    let late = state.late.iter().map(|late| late.due);
    let polls = state.polls.iter().map(|poll| poll.until);
    let entries = state.entries.values().map(|entry| entry.heard + ENTRY_LIFE);
    workers.chain(steps).chain(late).chain(polls).chain(entries).min()
}

impl State {
    /// Adds a worker whose process is down.
    pub fn add(&mut self, spec: Spec, public: SocketAddr) -> Key {
        self.workers.insert(Worker {
            spec,
            public,
            life: None,
            next_heartbeat: Duration::ZERO,
            is_store_cut: false,
            is_mute: false,
            lateness: None,
            failing_starts: 0,
        })
    }

    /// Lets everything happen that is due.
    fn advance(&mut self, now: Duration) {
        while let Some((due, step)) = self.next_step()
            && due <= now
        {
            match step {
                Step::End(run, how) => self.end(run, how),
                Step::Lapse(worker) => self.lapse(worker),
            }
        }
        while let Some(index) = self.late.iter().position(|late| late.due <= now) {
            let LateOrder { worker, order, .. } = self.late.remove(index);
            // Nobody waits for the answer.
            let _ = self.execute(now, worker, order, true);
        }
        for worker in self.workers.keys().collect::<Vec<Key>>() {
            let exits = self.workers[worker].life.as_ref().and_then(|life| life.exits);
            if exits.is_some_and(|exits| exits <= now) {
                let id = self.workers[worker].spec.id.clone();
                self.exit(worker);
                self.entries.remove(&id);
                self.effects.push(Effect::RemoveEntry { id });
            }
            self.beat(now, worker);
        }
        let silent = self.entries.extract_if(|_, entry| entry.heard + ENTRY_LIFE <= now);
        self.effects.extend(silent.map(|(id, _)| Effect::RemoveEntry { id }));
        self.answer_polls(now);
    }

    /// End or lapse that is due first; an end that is due when the lease lapses comes before it.
    fn next_step(&self) -> Option<(Duration, Step)> {
        let ends = self.runs.iter().filter_map(|(key, run)| {
            let (due, how) = self.outcome(run)?;
            Some((due, Step::End(key, how)))
        });
        let lapses = self.workers.iter().filter_map(|(key, worker)| {
            let life = worker.life.as_ref().filter(|life| life.can_lapse())?;
            Some((life.lapses(), Step::Lapse(key)))
        });
        ends.chain(lapses).min_by_key(|(due, _)| *due)
    }

    /// When and how a run ends if nothing happens to it before.
    fn outcome(&self, run: &Run) -> Option<(Duration, &'static str)> {
        let own = self.own_outcome(run);
        let stopped = run.stops.map(|stops| (stops, "stopped"));
        own.into_iter().chain(stopped).min_by_key(|(due, _)| *due)
    }

    fn own_outcome(&self, run: &Run) -> Option<(Duration, &'static str)> {
        let how = if run.work.is_failing || run.is_failing { "failed" } else { "done" };
        if run.work.is_daemon {
            return run.is_failing.then_some((run.started + run.work.duration, how));
        }
        if run.work.gang_size == 0 {
            return Some((run.started + run.work.duration, how));
        }
        let gang = self.gangs.get(&gang_key(run))?;
        if gang.is_done {
            return Some((Duration::ZERO, "done"));
        }
        if gang.is_broken {
            return Some((Duration::ZERO, "broken"));
        }
        Some(match gang.began {
            Some(began) => (began + run.work.duration, how),
            None => (run.started + GANG_TIMEOUT, "alone"),
        })
    }

    fn end(&mut self, key: RunKey, how: &'static str) {
        let Some(run) = self.runs.remove(key) else { return };
        if let Some(gang) = self.gangs.get_mut(&gang_key(&run)) {
            gang.present -= 1;
            gang.is_done |= how == "done";
            gang.is_broken |= !gang.is_done;
        }
        if let Some(life) = &mut self.workers[run.worker].life {
            life.end(key, &run, how);
        }
        self.observe(judge::Event::Ended { run: key, how });
    }

    /// Ends all runs of a worker whose lease is over.
    fn lapse(&mut self, worker: Key) {
        let Some(life) = &mut self.workers[worker].life else { return };
        let running: Vec<RunKey> = life.running.values().copied().collect();
        let listed = life.ended.iter_mut().filter(|end| !end.has_lapsed);
        let lapsed = listed.map(|end| {
            end.has_lapsed = true;
            Effect::Observe(judge::Event::Lapsed { run: end.key })
        });
        self.effects.extend(lapsed);
        for key in running {
            self.end(key, "lapsed");
        }
        let Some(life) = &mut self.workers[worker].life else { return };
        life.ended.iter_mut().for_each(|end| end.has_lapsed = true);
    }

    /// Ends the process of a worker: its runs are gone, and its calls get no answer.
    fn exit(&mut self, worker: Key) {
        let Some(life) = self.workers[worker].life.take() else { return };
        for key in life.running.into_values() {
            self.end(key, "gone");
        }
        self.observe(judge::Event::Left { worker: life.id });
        let polls = self.polls.extract_if(.., |poll| poll.worker == worker);
        self.effects.extend(polls.map(|poll| Effect::Withhold { call: poll.call }));
        self.effects.push(Effect::Close { worker });
    }

    fn begin(&mut self, now: Duration, key: Key, id: Option<String>, born_ms: u64) {
        self.exit(key);
        let worker = &mut self.workers[key];
        worker.spec.id = id.unwrap_or_else(|| worker.spec.id.clone());
        worker.next_heartbeat = now;
        worker.life = Some(Life::new(worker.spec.id.clone(), born_ms, now, worker.spec.clock_percent_slow));
        let entered = judge::Event::Entered {
            worker: worker.spec.id.clone(),
            cpu_millicores: worker.spec.cpu_millicores,
        };
        self.observe(entered);
    }

    /// Sends the heartbeat of a worker if it is due. The entry is written only if it changes.
    fn beat(&mut self, now: Duration, key: Key) {
        let worker = &mut self.workers[key];
        let Some(life) = &worker.life else { return };
        if now < worker.next_heartbeat {
            return;
        }
        worker.next_heartbeat = now + HEARTBEAT;
        if worker.is_store_cut || !self.is_store_up {
            return;
        }
        let said = Said { born_ms: life.born_ms, public: worker.public, is_draining: life.exits.is_some() };
        let before = self.entries.insert(life.id.clone(), Entry { heard: now, said });
        if before.is_none_or(|entry| entry.said != said) {
            let entry = entry(now, worker, life);
            self.effects.push(Effect::WriteEntry { id: life.id.clone(), entry });
        }
    }

    fn receive(&mut self, now: Duration, call: Call, key: Key, order: Order) {
        let worker = &mut self.workers[key];
        if worker.life.is_none() {
            return self.effects.push(Effect::Withhold { call });
        }
        if let Some(lateness) = &mut worker.lateness
            && lateness.count > 0
            && order.matches(lateness.filter)
        {
            lateness.count -= 1;
            let due = now + lateness.delay;
            self.late.push(LateOrder { due, worker: key, order });
            return self.effects.push(Effect::Withhold { call });
        }
        let wait = match &order.kind {
            Some(Kind::Hold(hold)) => Duration::from_millis(hold.wait_ms).min(MAX_WAIT),
            _ => Duration::ZERO,
        };
        let Some(answer) = self.execute(now, key, order, false) else {
            return self.effects.push(Effect::Withhold { call });
        };
        if answer.status == 200 && !wait.is_zero() {
            let last_end = self.workers[key].life.as_ref().map_or(0, |life| life.last_end);
            self.polls.push(Poll { call, worker: key, until: now + wait, last_end });
        } else {
            self.answer(call, key, answer);
        }
    }

    /// Carries out an order by the process that is there now; `None` if there is none.
    fn execute(&mut self, now: Duration, key: Key, order: Order, is_late: bool) -> Option<Answer> {
        let life = self.workers[key].life.as_mut()?;
        let identity = life.identity(now);
        if order.target.is_some_and(|target| target != life.id) {
            return Some(Refusal::Instance.encode(identity));
        }
        let Some(kind) = order.kind else { return Some(Refusal::Malformed.encode(identity)) };
        if order.fence < life.fence {
            return Some(Refusal::Fence.encode(identity));
        }
        life.fence = order.fence;
        let refusal = match kind {
            Kind::Start(start) => self.start(now, key, start, is_late).err(),
            Kind::Stop(stop) => {
                self.stop(now, key, stop);
                None
            }
            Kind::Hold(hold) => {
                self.hold(now, key, &hold);
                return Some(Answer { status: 200, body: self.listing(now, key)? });
            }
            Kind::Other => None,
        };
        Some(match refusal {
            Some(refusal) => refusal.encode(identity),
            None => Answer { status: 200, body: identity },
        })
    }

    fn start(&mut self, now: Duration, key: Key, start: Start, is_late: bool) -> Result<(), Refusal> {
        let worker = &mut self.workers[key];
        let Some(life) = &mut worker.life else { return Ok(()) };
        let running = life.running.get(&start.task).map(|run| self.runs[*run].number);
        match life.admit(now, &start, running) {
            Admission::Running => return Ok(()),
            Admission::Refused(refusal) => return Err(refusal),
            Admission::New => {}
        }
        let is_failing = worker.failing_starts > 0;
        worker.failing_starts -= u32::from(is_failing);
        let default = Work { duration: Duration::from_secs(1), ..Work::default() };
        let work = self.works.get(step_of(&start.task)).copied().unwrap_or(default);
        let seen = judge::Run {
            task: start.task.clone(),
            number: start.run,
            worker: life.id.clone(),
            zone: worker.spec.zone.clone(),
            fence: life.fence,
            is_late,
            started: now,
            ended: None,
            noted: None,
        };
        let run = Run {
            worker: key,
            task: start.task,
            number: start.run,
            started: now,
            work,
            is_failing,
            stops: None,
        };
        if work.gang_size > 0 {
            let gang = self.gangs.entry(gang_key(&run)).or_default();
            gang.present += 1;
            if gang.present == work.gang_size {
                gang.began = Some(now);
            }
        }
        let task = run.task.clone();
        let run = self.runs.insert(run);
        life.running.insert(task, run);
        self.observe(judge::Event::Started { key: run, run: seen, is_judged: !work.is_speculative });
        Ok(())
    }

    fn stop(&mut self, now: Duration, key: Key, stop: Stop) {
        let Some(life) = &mut self.workers[key].life else { return };
        life.reject_upto(&stop.task, stop.run);
        let Some(run) = life.running.get(&stop.task).map(|key| &mut self.runs[*key]) else { return };
        if run.number <= stop.run {
            run.stops = run.stops.or(Some(now + STOP));
        }
    }

    fn hold(&mut self, now: Duration, key: Key, hold: &Hold) {
        let Some(life) = &mut self.workers[key].life else { return };
        life.extend(now, hold.deadline_ms);
        let observe = |end: End| Effect::Observe(judge::Event::Acknowledged { run: end.key });
        self.effects.extend(life.acknowledge(hold.acked_upto).into_iter().map(observe));
    }

    fn listing(&self, now: Duration, key: Key) -> Option<Value> {
        let progress = |key: RunKey| {
            let run = &self.runs[key];
            let is_gang = run.work.gang_size > 0;
            let began = if is_gang { self.gangs[&gang_key(run)].began } else { Some(run.started) };
            (run.number, run.percent(now, began))
        };
        Some(self.workers[key].life.as_ref()?.listing(now, progress))
    }

    /// Answers the renewals whose wait is over.
    fn answer_polls(&mut self, now: Duration) {
        for poll in std::mem::take(&mut self.polls) {
            let life = self.workers[poll.worker].life.as_ref();
            if now < poll.until && life.is_some_and(|life| life.last_end == poll.last_end) {
                self.polls.push(poll);
            } else if let Some(body) = self.listing(now, poll.worker) {
                self.answer(poll.call, poll.worker, Answer { status: 200, body });
            }
        }
    }

    fn answer(&mut self, call: Call, worker: Key, answer: Answer) {
        let is_mute = self.workers[worker].is_mute;
        self.effects.push(if is_mute { Effect::Withhold { call } } else { Effect::Answer { call, answer } });
    }

    fn observe(&mut self, event: judge::Event) {
        self.effects.push(Effect::Observe(event));
    }
}

fn entry(now: Duration, worker: &Worker, life: &Life) -> Value {
    let mut body = life.identity(now);
    let said = json!({
        "service": SERVICE,
        "address": worker.public.to_string(),
        "zone": worker.spec.zone,
        "version": "v1",
        "slots": 8,
        "state": if life.exits.is_some() { "draining" } else { "ready" },
        "cold_remaining_ms": 0,
        "capacity": {"cpu": worker.spec.cpu_millicores, "mem_mb": 64_000, "gpu": 0},
        "labels": ["a", worker.spec.rack],
        "seq": now.as_millis() as u64,
    });
    if let (Value::Object(body), Value::Object(said)) = (&mut body, said) {
        body.extend(said);
    }
    body
}

/// `ID.K.STEP` of a task.
fn step_of(task: &str) -> &str {
    task.rsplit_once('.').map_or(task, |(step, _)| step)
}

fn gang_key(run: &Run) -> (String, u64) {
    (step_of(&run.task).to_owned(), run.number)
}
