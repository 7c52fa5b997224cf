//! Cases of the judge of losses, on records that are made up.

use std::time::Duration;

use slotmap::SlotMap;

use super::{AFTER_RUN, Kind, MAX_WAIT, Phase, Request, SETTLING, State, Step, Verb};
use crate::judge::{Event, Run, RunKey};

const JOB: &str = "5c0e7a21d94b36f8";

/// Interval between ticks.
const TICK: Duration = Duration::from_millis(100);

/// Workers `i-0` and `i-1` with 16 cores each, and the job whose tasks request 4 cores.
struct Fixture {
    keys: SlotMap<RunKey, ()>,
    state: State,
    now: Duration,
}

impl Fixture {
    /// An accepted job of two tasks.
    fn new(lasts: bool) -> Self {
        let mut fixture = Self { keys: SlotMap::default(), state: State::default(), now: Duration::ZERO };
        for worker in ["i-0", "i-1"] {
            fixture.apply(Event::Entered { worker: worker.to_owned(), cpu_millicores: 16_000 });
        }
        fixture.accept(JOB, Step { tasks: 2, cpu_millicores: 4_000, lasts });
        fixture
    }

    /// As [`Fixture::new`]; the calm has begun.
    fn calm(lasts: bool) -> Self {
        let mut fixture = Self::new(lasts);
        fixture.apply(Event::FaultsEnded);
        fixture.now += SETTLING;
        fixture
    }

    fn accept(&mut self, job: &str, step: Step) {
        self.apply(Event::Submitted { job: job.to_owned(), steps: vec![step] });
        self.apply(Event::Accepted { job: job.to_owned() });
    }

    fn apply(&mut self, event: Event) {
        self.state.reduce(self.now, &event);
    }

    /// Lets time pass, with ticks.
    fn wait(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += TICK;
            self.apply(Event::Tick);
        }
    }

    fn start(&mut self, task: &str, worker: &str) -> RunKey {
        let key = self.keys.insert(());
        let run = Run {
            task: task.to_owned(),
            number: 1,
            worker: worker.to_owned(),
            zone: "siliguri".to_owned(),
            fence: 1,
            is_late: false,
            started: self.now,
            ended: None,
            noted: None,
        };
        self.apply(Event::Started { key, run, is_judged: true });
        key
    }

    fn end(&mut self, run: RunKey, how: &'static str) {
        self.apply(Event::Ended { run, how });
    }

    fn show(&mut self, phase: Phase) {
        self.apply(Event::Shown { job: JOB.to_owned(), phase });
    }

    /// A call that is sent now and ends 1 s later.
    fn call(&mut self, verb: Verb, status: Option<u16>) {
        let request = Request { verb, job: JOB.to_owned(), vm: 0, sent: self.now, status };
        self.now += Duration::from_secs(1);
        self.apply(Event::Called(request));
    }

    fn kinds(&self) -> Vec<Kind> {
        self.state.losses().iter().map(|loss| loss.kind.clone()).collect()
    }

    fn names(&self) -> Vec<&str> {
        self.state.losses().iter().map(|loss| loss.name.as_str()).collect()
    }
}

fn task(index: usize) -> String {
    format!("{JOB}.0.0.{index}")
}

#[test]
fn a_lasting_task_that_does_not_run_is_missed() {
    let mut judge = Fixture::calm(true);
    judge.start(&task(0), "i-0");
    judge.wait(MAX_WAIT);
    assert_eq!(judge.kinds(), []);
    judge.wait(TICK);
    assert_eq!((judge.kinds(), judge.names()), (vec![Kind::IdleTask], vec![task(1).as_str()]));
    judge.wait(MAX_WAIT * 2);
    assert_eq!(judge.kinds().len(), 1);
}

#[test]
fn a_wait_during_faults_counts() {
    let mut judge = Fixture::new(true);
    judge.wait(MAX_WAIT * 3);
    judge.apply(Event::FaultsEnded);
    judge.wait(SETTLING + MAX_WAIT - TICK);
    assert_eq!(judge.kinds(), []);
}

#[test]
fn a_wait_shortly_after_a_run_counts() {
    let mut judge = Fixture::calm(true);
    judge.start(&task(0), "i-0");
    let run = judge.start(&task(1), "i-1");
    judge.end(run, "lapsed");
    judge.wait(AFTER_RUN + MAX_WAIT - TICK);
    assert_eq!(judge.kinds(), []);
    judge.wait(TICK);
    assert_eq!(judge.kinds(), [Kind::IdleTask]);
}

#[test]
fn a_wait_without_room_counts() {
    let mut judge = Fixture::calm(true);
    judge.accept("9b16bc7d0e5a4421", Step { tasks: 4, cpu_millicores: 10_000, lasts: false });
    let run = judge.start("9b16bc7d0e5a4421.0.0.0", "i-0");
    judge.start("9b16bc7d0e5a4421.0.0.1", "i-1");
    judge.wait(MAX_WAIT * 2);
    assert_eq!(judge.kinds(), []);
    judge.apply(Event::Left { worker: "i-0".to_owned() });
    judge.end(run, "gone");
    judge.wait(MAX_WAIT * 2);
    assert_eq!(judge.kinds(), [], "the room of a worker that has left counts");
    judge.apply(Event::Entered { worker: "i-2".to_owned(), cpu_millicores: 16_000 });
    judge.wait(MAX_WAIT + TICK);
    assert_eq!(judge.names(), [task(0), task(1)]);
}

#[test]
fn a_cancelled_or_rejected_job_counts() {
    let mut judge = Fixture::calm(true);
    judge.apply(Event::Cancelling { job: JOB.to_owned() });
    let steps = vec![Step { tasks: 1, cpu_millicores: 1_000, lasts: true }];
    judge.apply(Event::Submitted { job: "9b16bc7d0e5a4421".to_owned(), steps });
    judge.wait(MAX_WAIT * 2);
    judge.call(Verb::Ask, Some(410));
    judge.show(Phase::Cancelled);
    assert_eq!(judge.kinds(), []);
    assert_eq!(judge.state.uncancelled(), [""; 0]);
}

#[test]
fn a_job_that_stands_still_is_missed() {
    let mut judge = Fixture::calm(false);
    let run = judge.start(&task(0), "i-0");
    judge.wait(MAX_WAIT * 2);
    judge.end(run, "done");
    judge.apply(Event::Acknowledged { run });
    judge.wait(MAX_WAIT);
    assert_eq!(judge.kinds(), []);
    judge.wait(TICK);
    assert_eq!((judge.kinds(), judge.names()), (vec![Kind::IdleJob], vec![JOB]));
}

#[test]
fn an_end_that_was_not_taken_note_of_lets_a_job_stand_still() {
    let mut judge = Fixture::calm(false);
    for index in 0..2 {
        let run = judge.start(&task(index), "i-0");
        judge.end(run, "done");
    }
    judge.wait(MAX_WAIT + TICK);
    assert_eq!(judge.kinds(), [Kind::IdleJob]);
}

#[test]
fn a_job_that_has_ended_counts_as_standing_still() {
    let mut judge = Fixture::calm(false);
    for index in 0..2 {
        let run = judge.start(&task(index), "i-0");
        judge.end(run, "done");
        judge.apply(Event::Acknowledged { run });
    }
    judge.wait(MAX_WAIT * 2);
    judge.show(Phase::Completed);
    judge.wait(MAX_WAIT * 2);
    assert_eq!(judge.kinds(), []);
}

#[test]
fn a_job_counts_as_standing_still_while_half_of_the_room_is_in_use() {
    let mut judge = Fixture::calm(false);
    judge.accept("9b16bc7d0e5a4421", Step { tasks: 1, cpu_millicores: 16_000, lasts: false });
    judge.start("9b16bc7d0e5a4421.0.0.0", "i-0");
    judge.wait(MAX_WAIT * 2);
    assert_eq!(judge.kinds(), []);
}

#[test]
fn a_state_without_a_cause_is_missed() {
    for phase in [Phase::Completed, Phase::Failed, Phase::Cancelled] {
        let mut judge = Fixture::new(false);
        let run = judge.start(&task(0), "i-0");
        judge.end(run, "done");
        judge.show(Phase::Open);
        assert_eq!(judge.kinds(), []);
        judge.show(phase);
        assert_eq!(judge.kinds(), [Kind::Unexplained(phase)]);
    }
}

#[test]
fn a_failed_job_counts_although_its_attempts_are_used_up() {
    let mut judge = Fixture::new(false);
    for how in ["failed", "failed", "lapsed"] {
        let run = judge.start(&task(0), "i-0");
        judge.end(run, how);
    }
    judge.show(Phase::Failed);
    assert_eq!(judge.kinds(), [Kind::Unexplained(Phase::Failed)]);
    let run = judge.start(&task(0), "i-0");
    judge.end(run, "failed");
    judge.show(Phase::Failed);
    assert_eq!(judge.kinds().len(), 1);
}

#[test]
fn a_job_that_is_unknown_or_not_told_is_missed() {
    let mut judge = Fixture::calm(false);
    judge.call(Verb::Ask, Some(410));
    judge.apply(Event::Untold { job: JOB.to_owned() });
    assert_eq!(judge.kinds(), [Kind::UnknownJob, Kind::UntoldState]);
    assert_eq!(judge.state.uncancelled(), [JOB]);
}

#[test]
fn a_request_without_an_answer_is_missed() {
    for status in [None, Some(502), Some(504)] {
        for verb in [Verb::Submit, Verb::Ask, Verb::Cancel] {
            let mut judge = Fixture::calm(false);
            judge.call(verb, status);
            assert!(matches!(judge.kinds()[..], [Kind::Unanswered(_)]), "{verb:?}, {status:?}");
        }
    }
}

#[test]
fn a_rejected_request_counts_as_unanswered() {
    let mut judge = Fixture::calm(false);
    judge.call(Verb::Submit, Some(503));
    judge.call(Verb::Submit, Some(429));
    judge.call(Verb::Cancel, Some(410));
    judge.call(Verb::Ask, Some(200));
    assert_eq!(judge.kinds(), []);
}

#[test]
fn a_request_that_a_fault_may_have_reached_counts() {
    let mut judge = Fixture::new(false);
    judge.call(Verb::Ask, Some(410));
    judge.apply(Event::FaultsEnded);
    judge.now += SETTLING - TICK;
    judge.call(Verb::Ask, None);
    assert_eq!(judge.kinds(), []);
}
