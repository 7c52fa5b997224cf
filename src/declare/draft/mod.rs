//! Drafts: the items of one document, read but not yet joined with other documents.

pub(crate) mod home;
pub(crate) mod job;
pub(crate) mod platform;
pub(crate) mod sample;
pub(crate) mod service;
pub(crate) mod team;

use super::report::{Place, Report, Spot};
use super::size::Size;
use super::table::Table;
use super::value;

/// Key of the generated table.
pub(crate) const HOMES: &str = "homes";

/// Keys of a document.
const KEYS: [&str; 9] = ["name", "region", "link", "zone", "pool", "team", "service", "job", "sample"];

/// An item with its place.
pub(crate) struct Item<T> {
    /// Place of its table.
    pub place: Place,
    /// Whether it was read without findings; other items are not compared with its fallback values.
    pub sound: bool,
    pub body: T,
}

/// One document.
pub(crate) struct Document {
    pub name: Spot<String>,
    pub regions: Vec<Item<Spot<String>>>,
    pub links: Vec<Item<platform::Link>>,
    pub zones: Vec<Item<platform::Zone>>,
    pub pools: Vec<Item<platform::Pool>>,
    pub teams: Vec<Item<team::Team>>,
    pub services: Vec<Item<service::Service>>,
    pub jobs: Vec<Item<job::Job>>,
    pub samples: Vec<Item<sample::Sample>>,
    pub homes: Vec<home::Home>,
}

/// Names of the VMs that may be used.
#[derive(Default)]
pub(crate) struct Filter {
    pub zones: Vec<Spot<String>>,
    pub racks: Vec<Spot<String>>,
    pub labels: Vec<(String, String)>,
}

/// What a task or replica needs.
pub(crate) struct Demand {
    pub millicores: Spot<u32>,
    pub memory_mib: Spot<u32>,
    pub accelerators: Spot<u32>,
}

impl Demand {
    /// The size with the one slot that each task takes.
    pub fn size(&self) -> Size {
        Size {
            millicores: self.millicores.value,
            memory_mib: self.memory_mib.value,
            accelerators: self.accelerators.value,
            slots: 1,
        }
    }
}

/// Reads a document; homes only of a stored one.
pub(crate) fn read(root: &Table<'_>, stored: bool, report: &mut Report) -> Document {
    root.only_except(report, &KEYS, |key| key == HOMES);
    Document {
        name: root.need(report, "name", value::name),
        regions: items(root, "region", report, platform::region),
        links: items(root, "link", report, platform::link),
        zones: items(root, "zone", report, platform::zone),
        pools: items(root, "pool", report, platform::pool),
        teams: items(root, "team", report, team::read),
        services: items(root, "service", report, service::read),
        jobs: items(root, "job", report, job::read),
        samples: items(root, "sample", report, sample::read),
        homes: if stored { home::read(root, report) } else { Vec::new() },
    }
}

fn items<T>(
    root: &Table<'_>,
    key: &str,
    report: &mut Report,
    read: impl Fn(&Table<'_>, &mut Report) -> T,
) -> Vec<Item<T>> {
    let mut items = Vec::new();
    for table in root.tables(report, key) {
        let before = report.len();
        let body = read(&table, report);
        items.push(Item { sound: report.len() == before, place: table.place, body });
    }
    items
}

fn demand(table: &Table<'_>, report: &mut Report) -> Demand {
    Demand {
        millicores: table.need(report, "cores", value::millicores),
        memory_mib: table.need(report, "memory", value::memory_mib),
        accelerators: table.or(report, "accelerators", 0, value::whole(0..=u32::MAX)),
    }
}

fn filter(table: &Table<'_>, report: &mut Report) -> Filter {
    Filter {
        zones: table.list(report, "zones", value::name),
        racks: table.list(report, "racks", value::text),
        labels: labels(table, report),
    }
}

fn labels(table: &Table<'_>, report: &mut Report) -> Vec<(String, String)> {
    table.table(report, "labels").map(|labels| labels.pairs(report, value::text)).unwrap_or_default()
}
