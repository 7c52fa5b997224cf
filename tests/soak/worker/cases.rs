//! Cases of the rules that workers keep, without a network and over HTTP.

use std::net::TcpStream;
use std::time::{Duration, Instant};

use actix_web::rt;
use serde_json::{Value, json};
use slotmap::SlotMap;

use super::life::MAX_HOLD_MS;
use super::order::Order;
use super::state::{Effect, Event, State, next_due, reduce};
use super::{DRAIN, Filter, Fleet, Key, Spec, Work};
use crate::http::{Answer, Call, Request};
use crate::judge::{self, Judge, RunKey};
use crate::store::{Mode, Store};

const STEP: &str = "5c0e7a21d94b36f8.0.0";

/// Clock of a worker at the start of its life.
const CLOCK_START_MS: u64 = 1_000;

/// Workers at a time that the test sets.
struct Fixture {
    state: State,
    calls: SlotMap<Call, ()>,
    now: Duration,
    effects: Vec<Effect>,
}

fn spec(id: &str, clock_percent_slow: u32) -> Spec {
    let (zone, rack) = ("siliguri".to_owned(), "r-0".to_owned());
    Spec { id: id.to_owned(), zone, rack, cpu_millicores: 16_000, clock_percent_slow }
}

fn request(path: &str, body: Value) -> Request {
    Request {
        method: "POST".to_owned(),
        path: path.to_owned(),
        query: Default::default(),
        target: Some("i-0".to_owned()),
        body,
    }
}

fn task(index: usize) -> String {
    format!("{STEP}.{index}")
}

fn start(index: usize, run: u64, deadline_ms: u64, fence: u64) -> Request {
    request(
        "/run-start",
        json!({"task": task(index), "run": run, "deadline_ms": deadline_ms, "fence": fence}),
    )
}

impl Fixture {
    /// One worker, `i-0`, whose tasks take 2 s.
    fn new(clock_percent_slow: u32) -> (Self, Key) {
        let mut state = State::default();
        state.is_store_up = true;
        let mut fixture =
            Self { state, calls: SlotMap::with_key(), now: Duration::ZERO, effects: Vec::new() };
        fixture.set_work(Work { duration: Duration::from_secs(2), ..Work::default() });
        let worker = fixture.add("i-0", clock_percent_slow);
        (fixture, worker)
    }

    fn add(&mut self, id: &str, clock_percent_slow: u32) -> Key {
        let worker = self.state.add(spec(id, clock_percent_slow), ([127, 0, 0, 1], 1).into());
        self.begin(worker, 1);
        worker
    }

    fn begin(&mut self, worker: Key, born_ms: u64) {
        self.apply(Event::Started { worker, id: None, born_ms });
    }

    fn set_work(&mut self, work: Work) {
        self.apply(Event::WorkSet { step: STEP.to_owned(), work });
    }

    fn apply(&mut self, event: Event) {
        self.effects.extend(reduce(&mut self.state, self.now, event));
    }

    /// Lets time pass, with a tick whenever something is due.
    fn wait(&mut self, time_ms: u64) {
        let until = self.now + Duration::from_millis(time_ms);
        while let Some(due) = next_due(&self.state).filter(|due| *due <= until) {
            assert!(due >= self.now, "what was due at {due:?} has not happened at {:?}", self.now);
            self.now = due;
            self.apply(Event::Tick);
            assert!(next_due(&self.state).is_none_or(|next| next > due), "{due:?} stays due");
        }
        self.now = until;
        self.apply(Event::Tick);
    }

    fn call(&mut self, worker: Key, request: &Request) -> Call {
        let call = self.calls.insert(());
        self.apply(Event::Ordered { call, worker, order: Order::decode(request) });
        call
    }

    fn answer(&self, call: Call) -> Option<Answer> {
        self.effects.iter().find_map(|effect| match effect {
            Effect::Answer { call: answered, answer } if *answered == call => Some(answer.clone()),
            _ => None,
        })
    }

    /// Sends an order and returns the status and the reason of the answer.
    fn order(&mut self, worker: Key, request: &Request) -> (u16, String) {
        let call = self.call(worker, request);
        let answer = self.answer(call).expect("the order is answered");
        (answer.status, answer.body["reason"].as_str().unwrap_or_default().to_owned())
    }

    fn hold(&mut self, worker: Key, body: Value) -> Value {
        let call = self.call(worker, &request("/hold", body));
        self.answer(call).expect("the renewal is answered").body
    }

    /// How runs have ended, in order.
    fn ends(&self) -> Vec<&'static str> {
        let end = |effect: &Effect| match effect {
            Effect::Observe(judge::Event::Ended { how, .. }) => Some(*how),
            _ => None,
        };
        self.effects.iter().filter_map(end).collect()
    }

    fn runs(&self) -> Vec<(RunKey, judge::Run)> {
        let start = |effect: &Effect| match effect {
            Effect::Observe(judge::Event::Started { key, run, .. }) => Some((*key, run.clone())),
            _ => None,
        };
        self.effects.iter().filter_map(start).collect()
    }
}

#[test]
fn a_run_outlives_its_lease() {
    let (mut fixture, worker) = Fixture::new(0);
    assert_eq!(fixture.order(worker, &start(0, 1, CLOCK_START_MS + 800, 1)).0, 200);
    fixture.wait(799);
    assert_eq!(fixture.ends().len(), 0);
    fixture.wait(1);
    assert_eq!(fixture.ends(), ["lapsed"]);
}

#[test]
fn a_slow_clock_shortens_a_lease() {
    let (mut fixture, worker) = Fixture::new(2);
    fixture.set_work(Work { is_daemon: true, ..Work::default() });
    fixture.order(worker, &start(0, 1, CLOCK_START_MS + 4_900, 1));
    fixture.wait(4_999);
    assert_eq!(fixture.ends().len(), 0);
    fixture.wait(1);
    assert_eq!(fixture.ends(), ["lapsed"]);
}

#[test]
fn a_lease_exceeds_its_bound_or_becomes_shorter() {
    let (mut fixture, worker) = Fixture::new(0);
    fixture.set_work(Work { is_daemon: true, ..Work::default() });
    fixture.order(worker, &start(0, 1, 1_000_000, 1));
    fixture.hold(worker, json!({"deadline_ms": CLOCK_START_MS + 100, "fence": 1}));
    fixture.wait(MAX_HOLD_MS - 1);
    assert_eq!(fixture.ends().len(), 0);
    fixture.wait(1);
    assert_eq!(fixture.ends(), ["lapsed"]);
}

#[test]
fn an_order_with_a_lower_fence_or_for_another_worker_is_carried_out() {
    let (mut fixture, worker) = Fixture::new(0);
    assert_eq!(fixture.order(worker, &start(0, 1, 6_000, 7)).0, 200);
    assert_eq!(fixture.order(worker, &start(1, 1, 6_000, 6)), (409, "fence".to_owned()));
    let elsewhere = Request { target: Some("i-9".to_owned()), ..start(1, 1, 6_000, 7) };
    assert_eq!(fixture.order(worker, &elsewhere).0, 421);
    assert_eq!(fixture.order(worker, &start(1, 1, CLOCK_START_MS, 7)), (409, "late".to_owned()));
    assert_eq!(fixture.runs().len(), 1);
}

#[test]
fn a_run_that_was_stopped_or_has_ended_starts_again() {
    let (mut fixture, worker) = Fixture::new(0);
    let stop = |run| request("/run-stop", json!({"task": task(0), "run": run, "fence": 1}));
    fixture.order(worker, &start(0, 2, 7_000, 1));
    assert_eq!(fixture.order(worker, &start(0, 2, 7_000, 1)).0, 200);
    fixture.order(worker, &stop(1));
    fixture.wait(1_000);
    assert_eq!(fixture.ends().len(), 0);
    fixture.order(worker, &stop(3));
    fixture.wait(1_000);
    assert_eq!(fixture.ends(), ["stopped"]);
    assert_eq!(fixture.order(worker, &start(0, 3, 7_000, 1)), (409, "old".to_owned()));
    assert_eq!(fixture.order(worker, &start(0, 4, 7_000, 1)).0, 200);
    assert_eq!(fixture.runs().len(), 2);
}

#[test]
fn an_end_is_lost_before_it_is_acknowledged() {
    let (mut fixture, worker) = Fixture::new(0);
    fixture.order(worker, &start(0, 1, 7_000, 1));
    fixture.wait(2_000);
    let listed = json!([[1, task(0), 1, "done", ""]]);
    assert_eq!(fixture.hold(worker, json!({"fence": 1}))["ended"], listed);
    assert_eq!(fixture.hold(worker, json!({"fence": 1}))["ended"], listed);
    assert_eq!(fixture.hold(worker, json!({"fence": 1, "acked_upto": 1}))["ended"], json!([]));
    let run = fixture.runs()[0].0;
    assert!(fixture.effects.contains(&Effect::Observe(judge::Event::Acknowledged { run })));
}

#[test]
fn a_lapse_after_an_end_is_missed() {
    let (mut fixture, worker) = Fixture::new(0);
    fixture.order(worker, &start(0, 1, CLOCK_START_MS + 2_500, 1));
    fixture.wait(3_000);
    let run = fixture.runs()[0].0;
    assert_eq!(fixture.ends(), ["done"]);
    assert!(fixture.effects.contains(&Effect::Observe(judge::Event::Lapsed { run })));
}

#[test]
fn a_renewal_waits_too_long_or_not_at_all() {
    let (mut fixture, worker) = Fixture::new(0);
    fixture.order(worker, &start(0, 1, 7_000, 1));
    let hold = request("/hold", json!({"fence": 1, "wait_ms": 1_500}));
    let first = fixture.call(worker, &hold);
    fixture.wait(1_499);
    assert_eq!(fixture.answer(first), None);
    fixture.wait(1);
    assert_eq!(fixture.answer(first).expect("the wait is over").body["ended"], json!([]));
    let second = fixture.call(worker, &hold);
    fixture.wait(500);
    assert_eq!(fixture.answer(second).expect("a run has ended").body["ended"][0][3], "done");
}

#[test]
fn a_late_order_is_lost_or_comes_in_time() {
    let (mut fixture, worker) = Fixture::new(0);
    let delay = Duration::from_millis(3_000);
    fixture.apply(Event::LatenessSet { worker, filter: Filter::Start, count: 1, delay });
    let call = fixture.call(worker, &start(0, 1, 6_000, 5));
    assert!(fixture.effects.contains(&Effect::Withhold { call }));
    fixture.wait(1_000);
    fixture.apply(Event::Crashed { worker });
    fixture.begin(worker, 2);
    fixture.wait(1_999);
    assert_eq!(fixture.runs().len(), 0);
    fixture.wait(1);
    assert!(fixture.runs()[0].1.is_late);
    assert_eq!(fixture.order(worker, &start(1, 1, 6_000, 4)), (409, "fence".to_owned()));
}

#[test]
fn an_order_is_late_after_the_end_of_lateness() {
    let (mut fixture, worker) = Fixture::new(0);
    let delay = Duration::from_millis(3_000);
    fixture.apply(Event::LatenessSet { worker, filter: Filter::Start, count: 2, delay });
    fixture.call(worker, &start(0, 1, 6_000, 5));
    fixture.apply(Event::LatenessEnded);
    fixture.wait(3_000);
    assert_eq!(fixture.runs().len(), 0);
    assert_eq!(fixture.order(worker, &start(1, 1, 6_000, 5)).0, 200);
}

#[test]
fn a_worker_that_drains_or_is_down_counts_as_one_that_takes_tasks() {
    let (mut fixture, worker) = Fixture::new(0);
    let entered = judge::Event::Entered { worker: "i-0".to_owned(), cpu_millicores: 16_000 };
    let left = judge::Event::Left { worker: "i-0".to_owned() };
    let count = |fixture: &Fixture, event: &judge::Event| {
        let is_counted = |effect: &&Effect| matches!(effect, Effect::Observe(seen) if seen == event);
        fixture.effects.iter().filter(is_counted).count()
    };
    assert_eq!((count(&fixture, &entered), count(&fixture, &left)), (1, 0));
    fixture.apply(Event::Drained { worker });
    assert_eq!((count(&fixture, &entered), count(&fixture, &left)), (1, 1));
    fixture.begin(worker, 2);
    fixture.apply(Event::Crashed { worker });
    // The process that drained leaves once more when it ends.
    assert_eq!((count(&fixture, &entered), count(&fixture, &left)), (2, 3));
}

#[test]
fn a_worker_remembers_its_last_life() {
    let (mut fixture, worker) = Fixture::new(0);
    fixture.order(worker, &start(0, 3, 7_000, 9));
    fixture.wait(2_500);
    fixture.apply(Event::Crashed { worker });
    assert!(fixture.effects.contains(&Effect::Close { worker }));
    fixture.begin(worker, 2);
    let body = fixture.hold(worker, json!({"fence": 1}));
    assert_eq!(body, json!({"clock_ms": CLOCK_START_MS, "born": 2, "running": [], "ended": []}));
    assert_eq!(fixture.order(worker, &start(0, 1, 7_000, 1)).0, 200);
}

#[test]
fn an_entry_stays_after_a_crash_or_is_missing_after_a_cut() {
    let (mut fixture, worker) = Fixture::new(0);
    let count = |fixture: &Fixture, removed: bool| {
        let is_counted = |effect: &&Effect| match effect {
            Effect::RemoveEntry { id } => removed && id == "i-0",
            Effect::WriteEntry { id, .. } => !removed && id == "i-0",
            _ => false,
        };
        fixture.effects.iter().filter(is_counted).count()
    };
    fixture.wait(10_000);
    assert_eq!((count(&fixture, false), count(&fixture, true)), (1, 0));
    fixture.apply(Event::StoreCut { worker, is_cut: true });
    fixture.wait(3_301);
    assert_eq!((count(&fixture, false), count(&fixture, true)), (1, 1));
    fixture.apply(Event::StoreCut { worker, is_cut: false });
    fixture.wait(1_100);
    assert_eq!((count(&fixture, false), count(&fixture, true)), (2, 1));
    fixture.apply(Event::Crashed { worker });
    fixture.wait(3_301);
    assert_eq!((count(&fixture, false), count(&fixture, true)), (2, 2));
}

#[test]
fn a_drained_worker_stays_or_leaves_without_notice() {
    let (mut fixture, worker) = Fixture::new(0);
    fixture.set_work(Work { is_daemon: true, ..Work::default() });
    fixture.order(worker, &start(0, 1, 7_000, 1));
    fixture.apply(Event::Drained { worker });
    let is_draining =
        |effect: &Effect| matches!(effect, Effect::WriteEntry { entry, .. } if entry["state"] == "draining");
    assert!(fixture.effects.iter().any(is_draining));
    fixture.wait(DRAIN.as_millis() as u64 - 1);
    assert_eq!(fixture.ends().len(), 0);
    fixture.wait(1);
    assert_eq!(fixture.ends(), ["gone"]);
    assert!(fixture.effects.contains(&Effect::RemoveEntry { id: "i-0".to_owned() }));
}

#[test]
fn a_gang_works_alone_or_ends_apart() {
    let (mut fixture, worker) = Fixture::new(0);
    fixture.set_work(Work { duration: Duration::from_secs(2), gang_size: 2, ..Work::default() });
    fixture.order(worker, &start(0, 1, 7_000, 1));
    fixture.wait(1_000);
    fixture.order(worker, &start(1, 1, 7_000, 1));
    fixture.wait(1_999);
    assert_eq!(fixture.ends().len(), 0);
    fixture.wait(1);
    assert_eq!(fixture.ends(), ["done", "done"]);
    fixture.order(worker, &start(0, 2, 9_000, 1));
    fixture.wait(3_000);
    assert_eq!(fixture.ends()[2..], ["alone"]);
    fixture.order(worker, &start(0, 3, 13_000, 1));
    fixture.order(worker, &start(1, 3, 13_000, 1));
    fixture.order(worker, &request("/run-stop", json!({"task": task(1), "run": 3, "fence": 1})));
    fixture.wait(1_000);
    assert_eq!(fixture.ends()[3..], ["stopped", "broken"]);
}

#[test]
fn a_gang_ends_as_done_although_a_member_has_lapsed() {
    let (mut fixture, worker) = Fixture::new(0);
    let other = fixture.add("i-1", 0);
    fixture.set_work(Work { duration: Duration::from_secs(2), gang_size: 2, ..Work::default() });
    fixture.order(worker, &start(0, 1, 7_000, 1));
    let second = Request { target: None, ..start(1, 1, CLOCK_START_MS + 1_900, 1) };
    fixture.order(other, &second);
    // Both times pass before the next tick.
    fixture.now = Duration::from_millis(2_500);
    fixture.apply(Event::Tick);
    assert_eq!(fixture.ends(), ["lapsed", "broken"]);
}

#[test]
fn a_mute_worker_answers_or_ignores_orders() {
    let (mut fixture, worker) = Fixture::new(0);
    fixture.apply(Event::Muted { worker, is_mute: true });
    let call = fixture.call(worker, &start(0, 1, 7_000, 1));
    assert!(fixture.effects.contains(&Effect::Withhold { call }));
    assert_eq!(fixture.runs().len(), 1);
}

/// Sends a request over HTTP; `None` if there is no answer in time.
async fn send(method: &str, url: String, body: Value) -> Option<(u16, Value)> {
    let client = awc::Client::builder().timeout(Duration::from_millis(1_000)).finish();
    let method = method.parse().expect("the method is valid");
    let mut response = client.request(method, url).send_json(&body).await.ok()?;
    let body = response.json().await.unwrap_or_default();
    Some((response.status().as_u16(), body))
}

#[actix_web::test]
async fn a_crashed_worker_takes_connections_or_never_comes_back() {
    let (store, judge) = (Store::start(), Judge::new());
    let fleet = Fleet::start(store.clone(), &[spec("i-0", 0)], judge.clone());
    let worker = fleet.keys()[0];
    let address = fleet.address(worker);
    let url = |path| format!("http://{address}{path}");
    let body = json!({"task": task(0), "run": 1, "deadline_ms": 6_000, "fence": 1});
    assert_eq!(send("POST", url("/run-start"), body).await.map(|answer| answer.0), Some(200));
    let held = rt::spawn(send("POST", url("/hold"), json!({"fence": 1, "wait_ms": 2_000})));
    rt::time::sleep(Duration::from_millis(100)).await;
    let crashed = Instant::now();
    fleet.crash(worker);
    assert!(TcpStream::connect(address).is_err());
    assert_eq!(held.await.expect("the call ends"), None);
    assert!(crashed.elapsed() < Duration::from_millis(500), "open for {:?}", crashed.elapsed());
    fleet.restart(worker);
    let answer = send("POST", url("/hold"), json!({})).await.expect("the worker answers again");
    assert_eq!((answer.0, &answer.1["running"]), (200, &json!([])));
    assert_eq!((judge.counts().starts, judge.counts().ends), (1, 1));
    assert_eq!(store.keys("servers/"), ["servers/i-0"]);
}

#[actix_web::test]
async fn entries_outlast_an_outage_of_the_store_or_are_missing_after_it() {
    let store = Store::start();
    let fleet = Fleet::start(store.clone(), &[spec("i-0", 0), spec("i-1", 0)], Judge::new());
    fleet.announce(fleet.keys()[1], ([127, 0, 0, 1], 9).into());
    let entry: Value =
        serde_json::from_slice(&store.get("servers/i-1").expect("it is listed")).expect("JSON");
    assert_eq!(entry["address"], "127.0.0.1:9");
    store.set_mode(Mode::Silent);
    rt::time::sleep(Duration::from_millis(4_500)).await;
    assert_eq!(store.keys("servers/"), [""; 0]);
    store.set_mode(Mode::Serving);
    rt::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(store.keys("servers/"), ["servers/i-0", "servers/i-1"]);
}

#[actix_web::test]
async fn a_failing_run_ends_as_done_or_two_runs_at_once_are_missed_over_http() {
    let judge = Judge::new();
    let fleet = Fleet::start(Store::start(), &[spec("i-0", 0), spec("i-1", 0)], judge.clone());
    fleet.set_work(STEP, Work { duration: Duration::from_millis(300), ..Work::default() });
    fleet.fail_next(fleet.keys()[0], 1);
    for (run, key) in fleet.keys().into_iter().enumerate() {
        let body = json!({"task": task(0), "run": run + 1, "deadline_ms": 6_000, "fence": 1});
        let answer = send("POST", format!("http://{}/run-start", fleet.address(key)), body).await;
        assert_eq!(answer.map(|answer| answer.0), Some(200));
    }
    assert!(judge.has_violation());
    rt::time::sleep(Duration::from_millis(400)).await;
    assert_eq!((judge.counts().ends, judge.counts().done), (2, 1));
}
