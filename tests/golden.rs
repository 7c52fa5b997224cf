//! Golden tests of whole sessions: each plays a script of faults and compares the decisions of all processes with a
//! stored snapshot.

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

/// Numbers of the entry VMs in the zones a, b and c.
const ENTRIES: [&[u16]; 3] = [&[0, 1, 2], &[3, 4], &[5, 6]];
/// Numbers of the workers in the zones a, b and c.
const WORKERS: [&[u16]; 3] = [&[0, 1, 2, 3], &[4, 5, 6], &[7, 8, 9]];
/// Time after the last action or fault in which every task finishes.
const SETTLE_TIME: Duration = Duration::from_secs(240);

fn entries(zone: usize) -> Vec<Site> {
    ENTRIES[zone].iter().map(|number| Site::Entry(*number)).collect()
}

fn all_sites(zone: usize) -> Vec<Site> {
    let workers = WORKERS[zone].iter().map(|number| Site::Worker(*number));
    entries(zone).into_iter().chain(workers).collect()
}

fn all_entries() -> Vec<Site> {
    (0..3).flat_map(entries).collect()
}

/// Timeline of the decisions about processes, members, cells, workers and configuration versions, followed by the
/// counts of all other decisions.
fn timeline(session: &Session) -> String {
    const ROUTINE: [&str; 4] = ["add-member", "add-worker", "meet-member", "adopt"];
    let mut text = String::new();
    let mut others: BTreeMap<&str, u32> = BTreeMap::new();
    for line in &session.timeline {
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

/// Plays a script and returns the timeline. Fails if an invariant is violated during the script, or if the deployment
/// does not reach the declared state after it.
fn play(links: Vec<Fault>, actions: Vec<(f64, Action)>) -> String {
    let mut session = started(7);
    let actions: Vec<_> = actions.into_iter().map(|(second, action)| (at(second), action)).collect();
    let ends = links.iter().map(|link| link.period.1);
    let last = actions.iter().map(|(at, _)| *at).chain(ends).max().unwrap_or_default();
    session.schedule_script(&Script { link_faults: links, actions });
    session.run_until(last + SETTLE_TIME);
    let found = [session.violations(), session.convergence_failures()].concat();
    assert!(found.is_empty(), "{found:#?}\n{}", timeline(&session));
    timeline(&session)
}

/// Guards against a store outage that stops running work, loses results or causes a retry storm.
#[test]
fn store_down_for_ten_minutes() {
    let outage = Fault::refuse((at(20.0), at(620.0)), all_entries(), vec![Site::Store]);
    insta::assert_snapshot!(play(vec![outage], vec![]));
}

/// Guards against a write that counts as failed because its reply is lost, and against a retry that takes effect as a
/// second write.
#[test]
fn answers_of_the_store_are_lost() {
    let lost = Fault::lose_answers((at(10.0), at(40.0)), all_entries(), vec![Site::Store]);
    insta::assert_snapshot!(play(
        vec![lost],
        vec![(15.0, Action::Command(0, apply("extra", EXTRA, "anna")))]
    ));
}

/// Guards against an owner that acts under leases that expired while its process was paused.
#[test]
fn leases_lapse_during_a_pause() {
    let pause = |vm| (12.0, Action::Pause(vm, Duration::from_secs(20)));
    insta::assert_snapshot!(play(vec![], ENTRIES[0].iter().map(|vm| pause(*vm)).collect()));
}

/// Guards against a lost update: of two operators who apply the same document concurrently, one is told that the
/// document is in force although the other has replaced it without having read it.
#[test]
fn two_operators_race() {
    let order = |vm, min: &str, author| {
        let text = EXTRA.replace("min = 3", min);
        (20.0, Action::Command(vm, apply("extra", &text, author)))
    };
    insta::assert_snapshot!(play(vec![], vec![order(0, "min = 3", "anna"), order(5, "min = 4", "bela")]));
}

/// Guards against a task that is started in another zone while a network partition isolates its own zone, and against a
/// zone that stops working during the partition.
#[test]
fn zone_is_cut_off_and_healed() {
    let others = [all_sites(0), all_sites(1), vec![Site::Store, Site::List]].concat();
    let cut = Fault::cut((at(15.0), at(75.0)), all_sites(2), others);
    insta::assert_snapshot!(play(vec![cut], vec![(30.0, Action::Requests(5, 20, "quotes", "/quote"))]));
}

/// Guards against a configuration that does not reach a region while its network link to the other regions is down.
#[test]
fn link_between_regions_is_lost() {
    let others = [all_sites(0), all_sites(1)].concat();
    let cut = Fault::cut((at(15.0), at(60.0)), all_sites(2), others);
    insta::assert_snapshot!(play(vec![cut], vec![(20.0, Action::Command(0, apply("extra", EXTRA, "anna")))]));
}

/// Guards against work that is lost or runs twice when the entry VMs are restarted one after the other.
#[test]
fn entry_vms_are_replaced_in_turn() {
    let turns = (0..7).flat_map(|vm| {
        let second = 10.0 + 8.0 * f64::from(vm);
        [(second, Action::Stop(vm)), (second + 6.0, Action::Start(vm))]
    });
    insta::assert_snapshot!(play(vec![], turns.collect()));
}

/// Guards against tasks that run twice after all entry VMs of a zone are lost at once.
#[test]
fn all_entry_vms_of_a_zone_are_lost() {
    let kills = ENTRIES[0].iter().map(|vm| (14.0, Action::Kill(*vm)));
    let starts = ENTRIES[0].iter().map(|vm| (20.0, Action::Start(*vm)));
    insta::assert_snapshot!(play(vec![], kills.chain(starts).collect()));
}

/// Guards against a caretaker that starts batch tasks, and against running tasks that stop during a store outage.
#[test]
fn owner_is_lost_during_an_outage() {
    let outage = Fault::refuse((at(12.0), at(90.0)), all_entries(), vec![Site::Store]);
    let kills = [0, 1].map(|vm| (16.0, Action::Kill(vm)));
    let starts = [0, 1].map(|vm| (60.0, Action::Start(vm)));
    insta::assert_snapshot!(play(vec![outage], kills.into_iter().chain(starts).collect()));
}

/// Guards against a paused owner that continues to act as owner after its successor has taken the cell over.
#[test]
fn owner_is_paused_and_succeeded() {
    let pause = |vm| (12.0, Action::Pause(vm, Duration::from_secs(30)));
    let stall = (14.0, Action::Stall(2, Duration::from_secs(25)));
    insta::assert_snapshot!(play(vec![], vec![pause(0), pause(1), stall]));
}

/// Guards against a configuration version that decreases when the store replies with stale values.
#[test]
fn store_answers_with_old_values() {
    let actions = vec![
        (10.0, Action::Command(0, apply("extra", EXTRA, "anna"))),
        (12.0, Action::StaleIndex(1)),
        (14.0, Action::Kill(1)),
        (16.0, Action::Start(1)),
        (20.0, Action::Command(3, apply("base", DOCUMENT, "bela"))),
        (30.0, Action::StaleIndex(0)),
    ];
    insta::assert_snapshot!(play(vec![], actions));
}
