//! Tests of the ports with the stand-ins of store, workers and VM list, over HTTP on loopback.

use std::net::SocketAddr;
use std::time::Duration;

use nutmegfold::core::control::{Call as Control, Command, Outcome, Start, Status, Work};
use nutmegfold::core::event::Event;
use nutmegfold::core::journal::{Adoption, Record, SLOTS, Segment, Snapshot};
use nutmegfold::core::store::{Call, Reply, Request};
use nutmegfold::core::time::Instant;
use nutmegfold::core::{cell, control, member, run, task, worker};
use nutmegfold::declare::size::Size;
use nutmegfold::declare::{job, zone};
use nutmegfold::port::{self, Clock, Inbox};
use nutmegfold::standin::store::{Faults, Limits, http as store};
use nutmegfold::standin::worker::http::{self as workers, Answer, IDEMPOTENT, REQUEST_ID};
use nutmegfold::standin::worker::profile::{self, Profile};
use nutmegfold::standin::{listing, worker as standin};
use nutmegfold::wire::control::{NOT_RUN, replica_path};
use nutmegfold::wire::listing::{Kind, State, Vm};
use nutmegfold::wire::store as keys;
use slotmap::KeyData;
use tokio::sync::mpsc::UnboundedReceiver;

/// Timeout of the ports. It is longer than an answer takes on a busy machine, and short enough for the tests that wait
/// until it expires.
const TIMEOUT: Duration = Duration::from_millis(1_000);
const CELL: cell::Id = cell::Id { zone: zone::Id(0x1a2b_3c4d), index: 0 };

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

struct StoreFixture {
    server: store::Server,
    port: port::store::Port,
    events: UnboundedReceiver<Event>,
}

impl StoreFixture {
    fn start(limits: Limits) -> Self {
        let server = store::Server::start(loopback(), limits).expect("loopback is there");
        let (inbox, events) = Inbox::new();
        let port = port::store::Port::new(server.address(), TIMEOUT, inbox);
        Self { server, port, events }
    }

    async fn request(&mut self, request: Request) -> Reply {
        self.port.call(Call(7), request);
        match self.events.recv().await {
            Some(Event::Store { call: Call(7), reply }) => reply,
            other => panic!("unexpected event: {other:?}"),
        }
    }
}

fn segment(position: u64, write_id: u64) -> Segment {
    Segment {
        position,
        write_id,
        epoch: 3,
        records: vec![Record::Takeover { epoch: 3, member: member::Id(5) }],
    }
}

fn append(position: u64, write_id: u64) -> Request {
    Request::Append { cell: CELL, expect: 0, segment: segment(position, write_id) }
}

fn snapshot(next: u64) -> Snapshot {
    let adoption = Adoption { job: job::Id(1), count: 2, version: 1, cancelled: false };
    Snapshot { next, epoch: 3, jobs: vec![adoption], tasks: vec![], stored_position: 0 }
}

/// Guards against a lost answer that is reported as a failed write, and against a repeated write that takes effect
/// twice.
#[actix_web::test]
async fn lost_append_is_unknown_and_recognised_by_its_write_id() {
    let mut fixture = StoreFixture::start(Limits::default());
    fixture.server.handle().set_faults(Faults { lose_answers: 1, ..Faults::default() });
    assert_eq!(fixture.request(append(0, 42)).await, Reply::Unknown);
    assert_eq!(fixture.request(append(0, 42)).await, Reply::Conflict);
    let read = fixture.request(Request::ReadSegment { cell: CELL, position: 0 }).await;
    assert!(matches!(read, Reply::Segment { segment: found, .. } if found == segment(0, 42)));
    assert_eq!(fixture.server.handle().counts().writes, 1);
}

/// Guards against `Refused` for a write that may have taken effect, and `Unknown` for one that certainly has not.
#[actix_web::test]
async fn refusals_and_unknown_outcomes_are_distinguished() {
    let mut fixture = StoreFixture::start(Limits { writes_per_s: 1, reads_per_s: 100 });
    let handle = fixture.server.handle();
    handle.set_faults(Faults { outage: true, ..Faults::default() });
    assert_eq!(fixture.request(append(0, 1)).await, Reply::Refused);
    handle.set_faults(Faults { delay_ms: 60_000, ..Faults::default() });
    assert_eq!(fixture.request(append(0, 1)).await, Reply::Unknown);
    handle.set_faults(Faults::default());
    let read = fixture.request(Request::ReadSegment { cell: CELL, position: 0 }).await;
    let found = matches!(read, Reply::Segment { segment: found, .. } if found == segment(0, 1));
    assert!(found, "the delayed write takes effect");
    // A new port has no idle connection. If the store closed an idle connection while it is used, the outcome would be
    // unknown and not refused.
    let unused = std::net::TcpListener::bind(loopback()).and_then(|listener| listener.local_addr());
    let (inbox, events) = Inbox::new();
    fixture.port = port::store::Port::new(unused.expect("loopback is there"), TIMEOUT, inbox);
    fixture.events = events;
    assert_eq!(fixture.request(append(1, 2)).await, Reply::Refused, "nothing listens there");
}

/// Guards against a write over the rate limit that is reported as executed or unknown.
#[actix_web::test]
async fn writes_over_the_rate_are_refused() {
    let mut fixture = StoreFixture::start(Limits { writes_per_s: 0, reads_per_s: 100 });
    assert_eq!(fixture.request(append(0, 1)).await, Reply::Refused);
    assert_eq!(fixture.server.handle().counts().over_rate, 1);
}

/// Guards against corrupt values that are used, and against a cell that cannot recover from a corrupt snapshot.
#[actix_web::test]
async fn corrupt_values_are_reported_and_the_previous_snapshot_is_used() {
    let mut fixture = StoreFixture::start(Limits::default());
    let handle = fixture.server.handle();
    assert!(matches!(fixture.request(append(0, 1)).await, Reply::Written { .. }));
    assert!(handle.corrupt(keys::segment_key(CELL, 0), |value| value.truncate(10)));
    let read = fixture.request(Request::ReadSegment { cell: CELL, position: 0 }).await;
    assert!(matches!(read, Reply::Corrupt(_)), "{read:?}");

    assert_eq!(fixture.request(Request::ReadSnapshot { cell: CELL }).await, Reply::Missing);
    for next in [2, 4] {
        let written = fixture.request(Request::WriteSnapshot { cell: CELL, snapshot: snapshot(next) }).await;
        assert!(matches!(written, Reply::Written { .. }), "{written:?}");
    }
    assert_eq!(fixture.request(Request::ReadSnapshot { cell: CELL }).await, Reply::Snapshot(snapshot(4)));
    assert!(handle.corrupt(keys::snapshot_key(CELL, 4), |value| value[12] ^= 1));
    assert_eq!(fixture.request(Request::ReadSnapshot { cell: CELL }).await, Reply::Snapshot(snapshot(2)));
}

/// Guards against an append by a former owner that succeeds at its old position, after its successor has reused the log
/// slot for a later position.
#[actix_web::test]
async fn reused_log_slot_is_replaced_only_at_the_known_revision() {
    let mut fixture = StoreFixture::start(Limits::default());
    let Reply::Written { revision } = fixture.request(append(0, 1)).await else { panic!("the slot is free") };
    let next_round = segment(SLOTS, 2);
    let replace = Request::Append { cell: CELL, expect: revision, segment: next_round.clone() };
    assert!(matches!(fixture.request(replace).await, Reply::Written { .. }));
    for expect in [0, revision] {
        let late = Request::Append { cell: CELL, expect, segment: segment(0, 3) };
        assert_eq!(fixture.request(late).await, Reply::Conflict);
    }
    let read = fixture.request(Request::ReadSegment { cell: CELL, position: 0 }).await;
    assert!(matches!(read, Reply::Segment { segment: found, .. } if found == next_round));
}

/// Guards against the deletion of a snapshot that may still be needed, and against an older snapshot that a deposed
/// owner writes late.
#[actix_web::test]
async fn cleanup_keeps_the_newest_two_snapshots() {
    let mut fixture = StoreFixture::start(Limits::default());
    for next in [2, 4, 6] {
        let written = fixture.request(Request::WriteSnapshot { cell: CELL, snapshot: snapshot(next) }).await;
        assert!(matches!(written, Reply::Written { .. }), "{written:?}");
    }
    let handle = fixture.server.handle();
    let expected = [keys::head_key(CELL), keys::snapshot_key(CELL, 4), keys::snapshot_key(CELL, 6)];
    for _ in 0..1_000 {
        if handle.keys() == expected {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(handle.keys(), expected);
    let older = fixture.request(Request::WriteSnapshot { cell: CELL, snapshot: snapshot(3) }).await;
    assert_eq!(older, Reply::Conflict);
}

struct WorkerFixture {
    server: workers::Server,
    shared: standin::Shared,
    port: port::worker::Port,
    events: UnboundedReceiver<Event>,
    clock: Clock,
}

impl WorkerFixture {
    fn start(count: u16) -> Self {
        let shared = standin::Shared::default();
        let profiles = (0..count).map(|n| (loopback(), Profile::new(format!("w{n}"))));
        let server = workers::Server::start(profiles, shared.clone()).expect("loopback is there");
        let (inbox, events) = Inbox::new();
        let clock = Clock::start();
        let port = port::worker::Port::new(TIMEOUT, clock, inbox);
        Self { server, shared, port, events, clock }
    }

    fn key(&self) -> worker::Key {
        KeyData::from_ffi(1).into()
    }

    async fn send_call(
        &mut self,
        index: usize,
        call: Control,
        not_after: Instant,
    ) -> (Option<control::Reply>, bool) {
        self.port.call(self.key(), self.server.addresses()[index], call, not_after);
        match self.events.recv().await {
            Some(Event::Worker { reply, is_unsent, .. }) => (reply, is_unsent),
            other => panic!("unexpected event: {other:?}"),
        }
    }

    async fn send_granted_call(&mut self, index: usize, call: Control) -> control::Reply {
        let (reply, _) = self.send_call(index, call, Instant(u64::MAX)).await;
        let reply = reply.expect("the worker answers");
        assert_eq!(reply.status, Status::Granted);
        reply
    }
}

fn call(sequence: u64, until_ms: u64, commands: Vec<Command>) -> Control {
    Control {
        holder: member::Id(1),
        cell: CELL,
        epoch: 1,
        instance: 0,
        caretaker: false,
        sequence,
        until_ms,
        release: false,
        wait_ms: 0,
        acknowledge: vec![],
        commands,
    }
}

fn start(work: Work, run_time_ms: u64) -> Command {
    Command::Start(Start {
        work,
        attempt: 1,
        size: Size { millicores: 1_000, memory_mib: 100, accelerators: 0, slots: 1 },
        checkpoint: None,
        name: "quotes".into(),
        kind: "web".into(),
        run_time_ms,
        concurrency: 4,
    })
}

/// Guards against ended work that is not reported before the next lease renewal.
#[actix_web::test]
async fn long_poll_is_answered_when_work_ends() {
    let mut fixture = WorkerFixture::start(1);
    let work = Work::Batch(task::Id { job: job::Id(1), index: 0 });
    // The call waits for up to one hour, longer than a test run may take, so the test needs an early reply.
    let long_poll = Control { wait_ms: 3_600_000, ..call(1, 3_600_000, vec![start(work, 50)]) };
    let reply = fixture.send_granted_call(0, long_poll).await;
    assert_eq!(reply.ended.iter().map(|ended| ended.outcome).collect::<Vec<_>>(), [Outcome::Finished]);
    assert_eq!(fixture.shared.audit.counts().tasks_finished, 1);
}

/// Guards against a call that is sent after its deadline, and against a lost answer that is reported as unsent.
#[actix_web::test]
async fn late_calls_are_unsent_and_lost_answers_are_not() {
    let mut fixture = WorkerFixture::start(1);
    let work = Work::Replica(run::Id(9));
    tokio::time::sleep(Duration::from_millis(2)).await;
    let late = fixture.send_call(0, call(1, 60_000, vec![start(work, 0)]), Instant(1)).await;
    assert_eq!(late, (None, true));
    let (inquiry, _) = fixture.send_call(0, call(0, 0, vec![]), fixture.clock.now() + TIMEOUT).await;
    assert!(inquiry.is_some_and(|reply| reply.running.is_empty()), "the late start is not executed");
    let handle = fixture.server.handle();
    let key = handle.keys().next().expect("one worker");
    handle.set_faults(key, profile::Faults { is_frozen: true, ..profile::Faults::default() });
    assert_eq!(fixture.send_call(0, call(2, 60_000, vec![]), Instant(u64::MAX)).await, (None, false));
    handle.set_faults(key, profile::Faults::default());
    assert!(fixture.send_granted_call(0, call(3, 60_000, vec![])).await.running.is_empty());
}

/// Guards against a worker that answers for another worker of the same server, and against answers that do not identify
/// the request.
#[actix_web::test]
async fn replicas_answer_at_their_own_address() {
    let mut fixture = WorkerFixture::start(65);
    let run = run::Id(0xabc);
    fixture.send_granted_call(64, call(1, 3_600_000, vec![start(Work::Replica(run), 0)])).await;
    let client = awc::Client::default();
    let mut answers = Vec::new();
    for (index, id) in [(64, "a"), (64, "a"), (63, "b")] {
        let url = format!("http://{}{}", fixture.server.addresses()[index], replica_path(run, "/price"));
        let request = client.post(url).insert_header((REQUEST_ID, id)).insert_header((IDEMPOTENT, "0"));
        let mut response = request.send_body("12 ropes").await.expect("an answer");
        assert_eq!(response.headers().get(REQUEST_ID).expect("echoed").as_bytes(), id.as_bytes());
        let not_run = response.headers().contains_key(NOT_RUN);
        let body = response.body().await.expect("a complete answer");
        answers.push((response.status().as_u16(), not_run, body));
    }
    let answer: Answer = serde_json::from_slice(&answers[0].2).expect("own encoding");
    assert_eq!(answer, Answer::new(run, "price", "a", "12 ropes"));
    assert_eq!((answers[2].0, answers[2].1), (503, true));
    let counts = fixture.shared.audit.counts();
    assert_eq!((counts.requests_run, counts.requests_run_twice, counts.requests_refused), (2, 1, 1));
}

/// Guards against a VM list that does not reach the reducer, or reaches it with wrong fields.
#[actix_web::test]
async fn listing_is_read_and_converted() {
    let server = listing::Server::start(loopback(), Duration::ZERO).expect("loopback is there");
    let vm = Vm {
        name: "w1".into(),
        instance: 4,
        kind: Kind::Worker,
        zone: "basirhat".into(),
        rack: "r1".into(),
        pool: "general".into(),
        address: loopback(),
        state: State::Live,
    };
    server.handle().put(vm.clone());
    server.handle().mark_leaving("w1");
    let (inbox, mut events) = Inbox::new();
    let _port = port::listing::Port::new(server.address(), TIMEOUT, inbox);
    let Some(Event::Listing(vms)) = events.recv().await else { panic!("no list") };
    assert_eq!(vms, [Vm { state: State::Leaving, ..vm }.into()]);
    assert!(vms[0].leaving);
}
