//! Golden files of whole sessions: a script of faults in, the decisions of all processes out.

mod deployment;

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use deployment::{DOCUMENT, EXTRA, apply, at, started};
use nutmegfold::core::trace::Subject;
use nutmegfold::session::Session;
use nutmegfold::session::fault::Fault;
use nutmegfold::session::script::{Action, Script};
use nutmegfold::session::site::Site;

/// Entry VMs of the zones a, b and c.
const ENTRIES: [&[u16]; 3] = [&[0, 1, 2], &[3, 4], &[5, 6]];
/// Workers of the zones.
const WORKERS: [&[u16]; 3] = [&[0, 1, 2, 3], &[4, 5, 6], &[7, 8, 9]];
/// Time for every task to finish after the last action.
const SETTLE_TIME: Duration = Duration::from_secs(240);

fn entries(zone: usize) -> Vec<Site> {
    ENTRIES[zone].iter().map(|at| Site::Entry(*at)).collect()
}

fn all_sites(zone: usize) -> Vec<Site> {
    let workers = WORKERS[zone].iter().map(|at| Site::Worker(*at));
    entries(zone).into_iter().chain(workers).collect()
}

fn all_entries() -> Vec<Site> {
    (0..3).flat_map(entries).collect()
}

/// Decisions about processes, members, cells, workers and versions, and the number of all others.
fn timeline(session: &Session) -> String {
    const ROUTINE: [&str; 4] = ["add-member", "add-worker", "meet-member", "adopt"];
    let mut text = String::new();
    let mut others: BTreeMap<&str, u32> = BTreeMap::new();
    for line in &session.lines {
        let is_shown =
            !matches!(line.entry.subject, Subject::Task(_) | Subject::Replica(_) | Subject::Exchange(_));
        if is_shown && !ROUTINE.contains(&line.entry.decision) {
            let (ms, entry) = (line.at.0 / 1000, &line.entry);
            writeln!(text, "{ms:>7} {:<9} {}: {}", line.vm, entry.decision, entry.reason).expect("a string");
        } else {
            *others.entry(line.entry.decision).or_default() += 1;
        }
    }
    let others: Vec<String> = others.iter().map(|(decision, count)| format!("{decision} {count}")).collect();
    writeln!(text, "others: {}", others.join(", ")).expect("a string");
    text
}

/// Plays a script, checks the promises during it and the declared state after it, and returns the time line.
fn play(links: Vec<Fault>, actions: Vec<(f64, Action)>) -> String {
    let mut session = started(7);
    let actions: Vec<_> = actions.into_iter().map(|(second, action)| (at(second), action)).collect();
    let ends = links.iter().map(|link| link.period.1);
    let last = actions.iter().map(|(at, _)| *at).chain(ends).max().unwrap_or_default();
    session.play(&Script { links, actions });
    session.run_until(last + SETTLE_TIME);
    let found = [session.broken(), session.unsettled()].concat();
    assert!(found.is_empty(), "{found:#?}\n{}", timeline(&session));
    timeline(&session)
}

/// Guards against an outage of the store that stops running work, loses results, or starts a retry storm.
#[test]
fn store_down_for_ten_minutes() {
    let outage = Fault::refuse((at(20.0), at(620.0)), all_entries(), vec![Site::Store]);
    insta::assert_snapshot!(play(vec![outage], vec![]));
}

/// Guards against a lost answer that is taken for a failed write, or a write that is repeated as another one.
#[test]
fn answers_of_the_store_are_lost() {
    let lost = Fault::lose_answers((at(10.0), at(40.0)), all_entries(), vec![Site::Store]);
    insta::assert_snapshot!(play(vec![lost], vec![(15.0, Action::Order(0, apply("extra", EXTRA, "anna")))]));
}

/// Guards against an owner that acts on leases which lapsed while it was paused.
#[test]
fn leases_lapse_during_a_pause() {
    let pause = |vm| (12.0, Action::Pause(vm, Duration::from_secs(20)));
    insta::assert_snapshot!(play(vec![], ENTRIES[0].iter().map(|vm| pause(*vm)).collect()));
}

/// Guards against one of two racing operators who is told that a document is in force which the other replaced unseen.
#[test]
fn two_operators_race() {
    let order = |vm, min: &str, author| {
        let text = EXTRA.replace("min = 3", min);
        (20.0, Action::Order(vm, apply("extra", &text, author)))
    };
    insta::assert_snapshot!(play(vec![], vec![order(0, "min = 3", "anna"), order(5, "min = 4", "bela")]));
}

/// Guards against a task that is started elsewhere while its zone is cut off, and against a zone that stops then.
#[test]
fn zone_is_cut_off_and_healed() {
    let others = [all_sites(0), all_sites(1), vec![Site::Store, Site::List]].concat();
    let cut = Fault::cut((at(15.0), at(75.0)), all_sites(2), others);
    insta::assert_snapshot!(play(vec![cut], vec![(30.0, Action::Requests(5, 20, "quotes", "/quote"))]));
}

/// Guards against a configuration that does not reach a region after its link was lost.
#[test]
fn link_between_regions_is_lost() {
    let others = [all_sites(0), all_sites(1)].concat();
    let cut = Fault::cut((at(15.0), at(60.0)), all_sites(2), others);
    insta::assert_snapshot!(play(vec![cut], vec![(20.0, Action::Order(0, apply("extra", EXTRA, "anna")))]));
}

/// Guards against work that is lost or doubled when entry VMs are replaced one after the other.
#[test]
fn entry_vms_are_replaced_in_turn() {
    let turns = (0..7).flat_map(|vm| {
        let second = 10.0 + 8.0 * f64::from(vm);
        [(second, Action::Stop(vm)), (second + 6.0, Action::Start(vm))]
    });
    insta::assert_snapshot!(play(vec![], turns.collect()));
}

/// Guards against tasks that run twice after every entry VM of a zone was lost at once.
#[test]
fn all_entry_vms_of_a_zone_are_lost() {
    let kills = ENTRIES[0].iter().map(|vm| (14.0, Action::Kill(*vm)));
    let starts = ENTRIES[0].iter().map(|vm| (20.0, Action::Start(*vm)));
    insta::assert_snapshot!(play(vec![], kills.chain(starts).collect()));
}

/// Guards against a caretaker that starts batch tasks, and against running tasks that stop in the outage.
#[test]
fn owner_is_lost_during_an_outage() {
    let outage = Fault::refuse((at(12.0), at(90.0)), all_entries(), vec![Site::Store]);
    let kills = [0, 1].map(|vm| (16.0, Action::Kill(vm)));
    let starts = [0, 1].map(|vm| (60.0, Action::Start(vm)));
    insta::assert_snapshot!(play(vec![outage], kills.into_iter().chain(starts).collect()));
}

/// Guards against a paused owner that goes on after its successor took over.
#[test]
fn owner_is_paused_and_succeeded() {
    let pause = |vm| (12.0, Action::Pause(vm, Duration::from_secs(30)));
    let stall = (14.0, Action::Stall(2, Duration::from_secs(25)));
    insta::assert_snapshot!(play(vec![], vec![pause(0), pause(1), stall]));
}

/// Guards against a version that goes back when the store answers with old values.
#[test]
fn store_answers_with_old_values() {
    let actions = vec![
        (10.0, Action::Order(0, apply("extra", EXTRA, "anna"))),
        (12.0, Action::StaleIndex(1)),
        (14.0, Action::Kill(1)),
        (16.0, Action::Start(1)),
        (20.0, Action::Order(3, apply("base", DOCUMENT, "bela"))),
        (30.0, Action::StaleIndex(0)),
    ];
    insta::assert_snapshot!(play(vec![], actions));
}
