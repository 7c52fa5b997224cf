//! Tests of the declarative configuration: findings, job homes and the spread of replicas.

use insta::assert_snapshot;
use nutmegfold::core::cell;
use nutmegfold::declare::check::{Source, compile};
use nutmegfold::declare::plan::Plan;
use nutmegfold::declare::{home, service, spread, zone};
use nutmegfold::finding::Finding;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const PLATFORM: &str = include_str!("declare/platform.toml");
const WORK: &str = include_str!("declare/work.toml");

/// A source with the text of an operator.
fn applied<'a>(name: &'a str, text: &'a str) -> Source<'a> {
    Source { name, text, is_stored: false }
}

/// A source with a text from the store, which contains the generated table of homes.
fn stored<'a>(name: &'a str, text: &'a str) -> Source<'a> {
    Source { name, text, is_stored: true }
}

fn plan(sources: &[Source<'_>]) -> Plan {
    compile(sources).unwrap_or_else(|findings| panic!("{}", lines(&findings)))
}

fn lines(findings: &[Finding]) -> String {
    findings.iter().map(Finding::to_string).collect::<Vec<_>>().join("\n")
}

fn findings(sources: &[Source<'_>]) -> String {
    lines(&compile(sources).expect_err("the text has faults"))
}

fn cells(plan: &Plan) -> Vec<cell::Id> {
    plan.zones.iter().flat_map(|zone| plan.cells(zone)).collect()
}

/// Guards against missing or unsorted findings and against wrong locations.
#[test]
fn faulty_file_gives_all_findings() {
    assert_snapshot!(findings(&[applied("faulty.toml", include_str!("declare/faulty.toml"))]));
}

/// Guards against missing findings of checks across items when each item is well-formed.
#[test]
fn oversized_file_gives_all_findings() {
    let oversized = applied("oversized.toml", include_str!("declare/oversized.toml"));
    assert_snapshot!(findings(&[applied("platform.toml", PLATFORM), oversized]));
}

/// Guards against a report that ends at the first syntax error or at the first file.
#[test]
fn syntax_errors_of_all_files_are_reported() {
    let broken = include_str!("declare/broken.toml");
    assert_snapshot!(findings(&[applied("broken.toml", broken), applied("other.toml", "name = \"a\"\n]\n")]));
}

/// Guards against a name in one document that shadows the same name in another one.
#[test]
fn duplicates_over_documents_are_reported() {
    let copy = format!("{PLATFORM}\n{}", WORK.replace("name = \"work\"", ""));
    assert_snapshot!(findings(&[applied("one.toml", PLATFORM), applied("two.toml", &copy)]));
}

/// Guards against two zones that share logs and leases, since the store keys of these contain the hash.
#[test]
fn zones_with_equal_hashes_are_reported() {
    let mut seen = std::collections::HashMap::new();
    let (a, b) = (0..1_000_000)
        .find_map(|number: u32| {
            let name = format!("z{number}");
            seen.insert(zone::Id::of(&name), name.clone()).map(|other| (other, name))
        })
        .expect("a million names have a collision of 32 bits");
    let text = format!(
        "name = \"p\"\n[[region]]\nname = \"r\"\n[[zone]]\nname = \"{a}\"\nregion = \"r\"\n[[zone]]\nname = \"{b}\"\nregion = \"r\"\n"
    );
    let found = findings(&[applied("p.toml", &text)]);
    assert!(found.starts_with("p.toml:8:8: zone[1].name: the zone has the same identity hash"), "{found}");
}

/// Guards against examples that `check` rejects, and against an unintended change of their size.
#[test]
fn examples_have_no_findings() {
    let examples = [
        ("order-desk.toml", include_str!("../examples/order-desk.toml"), 65),
        ("ledger.toml", include_str!("../examples/ledger.toml"), 50),
    ];
    for (name, text, workers) in examples {
        let plan = plan(&[applied(name, text)]);
        assert_eq!(plan.pools.iter().map(|pool| pool.count).sum::<u32>(), workers);
        assert_eq!(plan.zones.iter().map(|zone| zone.entry_vms).collect::<Vec<_>>(), [3, 3, 2]);
        assert!(plan.jobs.iter().all(|job| !job.homes.is_empty()));
        let is_idempotent = |path: &str| plan.services.iter().any(|service| service.is_idempotent(path));
        assert!(plan.samples.iter().any(|sample| !is_idempotent(&sample.path)));
    }
}

/// Guards against defaults, units and references that differ from the documentation.
#[test]
fn plan_contains_declared_values() {
    let plan = plan(&[applied("work", WORK), applied("platform", PLATFORM)]);
    assert_eq!(plan.zones.iter().map(|zone| zone.cells).collect::<Vec<_>>(), [2, 2]);
    assert_eq!(plan.pools[1].size.millicores, 8500);
    assert_eq!(plan.pools[1].size.memory_mib, 28610);
    assert_eq!(plan.links[0].bits_per_second, 30_000_000);
    let search = &plan.services[0];
    assert!(search.is_idempotent("/find") && !search.is_idempotent("/find/store"));
    assert_eq!(search.filter.zones, [zone::Key(0), zone::Key(1)]);
    let train = &plan.jobs[1];
    assert_eq!((train.run, train.size.memory_mib, train.size.slots), (3, 512, 1));
    assert_eq!((train.retries, train.is_checkpointable, train.kind.as_str()), (2, false, "train"));
}

/// Guards against homes that differ between the process that applies a document and those that read it.
#[test]
fn stored_text_compiles_to_the_same_plan() {
    let before = plan(&[applied("platform", PLATFORM), applied("work", WORK)]);
    let stored_text = home::append_homes(WORK, "work", &before, None);
    assert_snapshot!(&stored_text[WORK.len()..]);
    assert_eq!(plan(&[applied("platform", PLATFORM), stored("work", &stored_text)]), before);
    assert_eq!(home::strip_homes(&stored_text), WORK);
    assert!(
        findings(&[applied("platform", PLATFORM), applied("work", &stored_text)])
            .contains("remove this table")
    );
}

/// Guards against generated lines that the next version of a document treats as the operator's text.
#[test]
fn damaged_generated_part_is_reported() {
    let before = plan(&[applied("platform", PLATFORM), applied("work", WORK)]);
    let stored_text = home::append_homes(WORK, "work", &before, None);
    let uncommented = stored_text.replace("# Generated", "# Written");
    let extended = format!("{stored_text}[[team]]\nname = \"late\"\n");
    for text in [uncommented, extended] {
        let found = findings(&[applied("platform", PLATFORM), stored("work", &text)]);
        assert!(found.contains("homes: the generated part of the stored document is damaged"), "{found}");
    }
}

/// Guards against a task that gets a second home when zones or cells are added.
#[test]
fn homes_stay_when_the_platform_changes() {
    let old = plan(&[applied("platform", PLATFORM), applied("work", WORK)]);
    let stored_text = home::append_homes(WORK, "work", &old, None);
    let grown =
        PLATFORM.replace("cells = 2", "cells = 5") + "\n[[zone]]\nname = \"new\"\nregion = \"north\"\n";
    let grown = grown
        + "[[pool]]\nname = \"n\"\nzone = \"new\"\nracks = [\"n\"]\ncount = 500\ncores = 64\nmemory = \"1 TB\"\n";
    let new_run = WORK.replace("run = 3", "run = 4").replace("tasks = 40", "tasks = 80");

    let read = plan(&[applied("platform", &grown), stored("work", &stored_text)]);
    let applied_again = plan(&[applied("platform", &grown), applied("work", &new_run)]);
    let new_stored_text = home::append_homes(&new_run, "work", &applied_again, Some(&stored_text));
    let new = plan(&[applied("platform", &grown), stored("work", &new_stored_text)]);
    assert_eq!(read.jobs[0].homes, old.jobs[0].homes);
    assert_eq!(new.jobs[0].homes, old.jobs[0].homes);
    assert_ne!(applied_again.jobs[0].homes, old.jobs[0].homes);
    assert_eq!(new.jobs[1].homes, applied_again.jobs[1].homes);
}

/// Guards against tasks whose home cell no longer exists.
#[test]
fn removed_home_cells_are_reported() {
    let old = plan(&[applied("platform", PLATFORM), applied("work", WORK)]);
    let stored_text = home::append_homes(WORK, "work", &old, None);
    let shrunk = PLATFORM.replace("cells = 2", "cells = 1");
    let found = findings(&[applied("platform", &shrunk), stored("work", &stored_text)]);
    assert!(found.contains("do not lower `cells`"), "{found}");
}

/// Guards against new tasks and replicas in a retired zone.
#[test]
fn retired_zones_get_no_new_tasks_or_replicas() {
    let retired = PLATFORM.replace("name = \"west\"\n", "name = \"west\"\nretired = true\n");
    let plan = plan(&[applied("platform", &retired), applied("work", WORK)]);
    let west = zone::Id::of("west");
    assert!(plan.jobs.iter().flat_map(|job| &job.homes).all(|cell| cell.zone != west));
    let count = |cell| spread::replicas(&plan, service::Key(0), 9, cell);
    assert_eq!(cells(&plan).into_iter().filter(|cell| cell.zone == west).map(count).sum::<u32>(), 0);
    assert_eq!(cells(&plan).into_iter().map(count).sum::<u32>(), 9);
}

/// Guards against homes that ignore capacity, and against different jobs whose lists all start at the same cell.
#[test]
fn homes_are_proportional_to_capacity() {
    let plan = plan(&[applied("platform", PLATFORM), applied("work", WORK)]);
    let homes = &plan.jobs[0].homes;
    let west = homes.iter().filter(|cell| cell.zone == zone::Id::of("west")).count();
    // 20 VMs hold 8 tasks each and 70 VMs hold 4 each, so west has 280 of 440.
    assert_eq!((homes.len(), west), (16, 10));
    let starts: std::collections::HashSet<cell::Id> = (1..=40)
        .map(|run| {
            let text =
                WORK.replace("run = 3", &format!("run = {run}")).replace("labels = { disk = \"ssd\" }", "");
            self::plan(&[applied("platform", PLATFORM), applied("work", &text)]).jobs[1].homes[0]
        })
        .collect();
    assert_eq!(starts.len(), 4);
}

/// Guards against replicas that are counted twice or not at all, and against replicas that move when one is added.
#[test]
fn replica_counts_sum_to_the_total_and_never_decrease() {
    let plan = plan(&[applied("platform", PLATFORM), applied("work", WORK)]);
    let counts = |total| -> Vec<u32> {
        cells(&plan).into_iter().map(|cell| spread::replicas(&plan, service::Key(0), total, cell)).collect()
    };
    let mut before = counts(0);
    for total in 0..200 {
        let now = counts(total);
        assert_eq!(now.iter().sum::<u32>(), total);
        assert!(now.iter().zip(&before).all(|(now, before)| now >= before), "{total}: {before:?} {now:?}");
        before = now;
    }
    let two = counts(2);
    assert_eq!((two[0] + two[1], two[2] + two[3]), (1, 1));
    let other = cell::Id { zone: zone::Id::of("nowhere"), index: 0 };
    assert_eq!(spread::replicas(&plan, service::Key(0), 9, other), 0);
}

/// One edit of a text, by index of the line (modulo their number).
#[derive(Debug, Clone)]
enum Edit {
    Delete(usize),
    Duplicate(usize),
    Move(usize, usize),
    Overwrite(usize, Vec<u8>),
}

fn edit() -> impl Strategy<Value = Edit> {
    prop_oneof![
        any::<usize>().prop_map(Edit::Delete),
        any::<usize>().prop_map(Edit::Duplicate),
        any::<(usize, usize)>().prop_map(|(from, to)| Edit::Move(from, to)),
        (any::<usize>(), prop::collection::vec(any::<u8>(), 1..8))
            .prop_map(|(at, bytes)| Edit::Overwrite(at, bytes)),
    ]
}

fn mutate(text: &str, edits: &[Edit]) -> String {
    let mut lines: Vec<Vec<u8>> = text.lines().map(|line| line.as_bytes().to_vec()).collect();
    for edit in edits {
        let count = lines.len().max(1);
        match edit {
            _ if lines.is_empty() => break,
            Edit::Delete(at) => drop(lines.remove(at % count)),
            Edit::Duplicate(at) => lines.insert(at % count, lines[at % count].clone()),
            Edit::Move(from, to) => lines[to % count] = lines[from % count].clone(),
            Edit::Overwrite(at, bytes) => {
                let line = &mut lines[at % count];
                let start = at / 7 % (line.len() + 1);
                let end = (start + bytes.len()).min(line.len());
                line.splice(start..end, bytes.iter().copied());
            }
        }
    }
    String::from_utf8_lossy(&lines.join(&b'\n')).into_owned()
}

fn assert_valid_locations(findings: &[Finding], sources: &[Source<'_>]) {
    assert!(findings.is_sorted() && !findings.is_empty());
    for finding in findings {
        let source = sources.iter().find(|source| source.name == finding.file).expect("the file is a source");
        let line = source.text.split('\n').nth(finding.line - 1);
        let width = line.expect("the line is in the file").chars().count();
        assert!((1..=width + 1).contains(&finding.column), "{finding}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(20_261_204),
        ..ProptestConfig::default()
    })]

    /// Guards against panics and wrong locations of findings on damaged files, including stored ones.
    #[test]
    fn damaged_files_give_findings(
        edits in prop::collection::vec(edit(), 1..4),
        other in prop::collection::vec(edit(), 0..2),
        is_stored: bool,
    ) {
        let intact = plan(&[applied("platform", PLATFORM), applied("work", WORK)]);
        let stored_text = home::append_homes(WORK, "work", &intact, None);
        let work = mutate(if is_stored { &stored_text } else { WORK }, &edits);
        let platform = mutate(PLATFORM, &other);
        let sources = [applied("platform", &platform), Source { name: "work", text: &work, is_stored }];
        match compile(&sources) {
            Err(findings) => assert_valid_locations(&findings, &sources),
            Ok(plan) => {
                let text = home::strip_homes(&work);
                let again = home::append_homes(text, "work", &plan, Some(&work));
                let sources = [applied("platform", &platform), stored("work", &again)];
                prop_assert_eq!(compile(&sources), Ok(plan));
            }
        }
    }

    /// Guards against panics on input that is not TOML.
    #[test]
    fn random_text_gives_findings(text in "[\\[\\]{}=\"a-z0-9.\\n #,\u{e9}\u{0}-\u{1f}]{0,80}") {
        let sources = [applied("text", &text)];
        if let Err(findings) = compile(&sources) {
            assert_valid_locations(&findings, &sources);
        }
    }
}
