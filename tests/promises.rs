//! Tests in virtual time of the guarantees on configuration changes, leaving workers and graceful stops.

mod deployment;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use deployment::{EXTRA, apply, at, started};
use nutmegfold::core::effect::Effect;
use nutmegfold::core::exchange::Completion;
use nutmegfold::core::reduce;
use nutmegfold::core::time::Instant;
use nutmegfold::session::Session;
use nutmegfold::session::fault::{self, Fault};
use nutmegfold::session::script::{Action, Script};
use nutmegfold::session::site::{self, Site};

/// Maximum time from the acceptance of a configuration until it is in force in all processes.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);
/// Maximum time after a worker is marked as leaving for which it still gets new requests.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);

fn versions(session: &Session) -> Vec<u64> {
    let processes = session.entry_vms.iter().filter_map(|vm| vm.process.as_ref());
    processes.map(|state| state.config.index.version).collect()
}

/// Applies a change and returns the versions in force in all processes, `IN_FORCE_LIMIT` after its acceptance.
fn versions_at_limit(mut session: Session) -> Vec<u64> {
    session.run_until(at(20.0));
    session.command(0, apply("extra", EXTRA, "anna"));
    let accepted = loop {
        session.run_for(Duration::from_millis(5));
        let line =
            session.timeline.iter().find(|line| line.entry.decision == "accept-config" && line.at > at(20.0));
        if let Some(line) = line {
            break line.at;
        }
        assert!(session.now < at(60.0), "the change was not accepted");
    };
    session.run_until(accepted + IN_FORCE_LIMIT);
    versions(&session)
}

/// Guards against a configuration that is not in force in all processes within 5 s of its acceptance.
#[test]
fn configuration_is_in_force_within_five_seconds() {
    for seed in 1..20 {
        assert_eq!(versions_at_limit(started(seed)), [2; 7], "seed {seed}");
    }
}

/// Guards against a zone that cannot reach the store and does not fetch the configuration from members of other zones.
#[test]
fn configuration_reaches_a_zone_cut_off_from_the_store() {
    for seed in 1..20 {
        let mut session = started(seed);
        let zone = vec![Site::Entry(5), Site::Entry(6)];
        let cut = Fault::cut((at(10.0), at(200.0)), zone, vec![Site::Store, Site::List]);
        session.link = Box::new(fault::faulty_link(vec![cut]));
        assert_eq!(versions_at_limit(session), [2; 7], "seed {seed}");
    }
}

/// Guards against requests that are sent to a worker more than 3 s after it is marked as leaving.
#[test]
fn leaving_worker_gets_no_requests_after_three_seconds() {
    for seed in 1..10 {
        let mut session = started(seed);
        let sent: Rc<RefCell<Vec<(Instant, u16)>>> = Rc::default();
        let log = Rc::clone(&sent);
        session.reducer = Box::new(move |state, input, out| {
            let now = input.at;
            reduce(state, input, out);
            let workers = out.iter().filter_map(|effect| match effect {
                Effect::Send(send) => site::worker_of(send.address),
                _ => None,
            });
            log.borrow_mut().extend(workers.map(|worker| (now, worker)));
        });
        let bursts = (40..160).map(|tick| {
            let vm = (tick % 7) as u16;
            (at(f64::from(tick) * 0.25), Action::Requests(vm, 8, "quotes", "/quote"))
        });
        let leave = (0..10).map(|worker| (at(20.0), Action::Leave(worker))).filter(|(_, action)| {
            // One worker of each zone leaves, so that the others serve the requests.
            matches!(action, Action::Leave(0 | 4 | 7))
        });
        session.schedule_script(&Script { link_faults: Vec::new(), actions: bursts.chain(leave).collect() });
        session.run_until(at(45.0));
        let sent = sent.borrow();
        let late = |worker: u16| {
            sent.iter().filter(|(at, to)| *to == worker && *at > self::at(20.0) + LEAVING_LIMIT).count()
        };
        assert_eq!([0, 4, 7].map(late), [0, 0, 0], "seed {seed}");
        assert!(
            sent.iter().any(|(at, _)| *at > self::at(30.0)),
            "the other workers get requests, seed {seed}"
        );
    }
}

/// Guards against a graceful stop that cuts off requests in flight.
#[test]
fn graceful_stop_answers_requests_in_flight() {
    for seed in 1..20 {
        let mut session = started(seed);
        session.run_until(at(20.0));
        let tickets: Vec<_> = (0..12).map(|_| session.request(1, "quotes", "/advance")).collect();
        session.run_for(Duration::from_millis(2));
        session.stop(1);
        session.run_until(at(40.0));
        assert!(session.entry_vms[1].process.is_none(), "the process did not end, seed {seed}");
        for ticket in tickets {
            let completion = session.completions.get(&ticket);
            assert!(matches!(completion, Some(Completion::Deliver { .. })), "seed {seed}: {completion:?}");
        }
    }
}
