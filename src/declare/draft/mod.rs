//! Drafts: the items of one document, before names are resolved across documents.
//!
//! The readers report faults within a single item. A value with a fault becomes a default value, so that reading
//! continues and all faults are reported at once.

pub(crate) mod home;
pub(crate) mod job;
pub(crate) mod platform;
pub(crate) mod sample;
pub(crate) mod service;
pub(crate) mod team;

use super::report::{Located, Location, Report};
use super::size::Size;
use super::table::Table;
use super::value;

/// Key of the generated table of homes.
pub(crate) const HOMES: &str = "homes";

/// Top-level keys that an operator may write.
const KEYS: [&str; 9] = ["name", "region", "link", "zone", "pool", "team", "service", "job", "sample"];

/// An item with its location.
pub(crate) struct Item<T> {
    /// Location of its table.
    pub location: Location,
    /// Whether it has no findings. An invalid item holds fallback values, which are left out of checks across items.
    pub is_valid: bool,
    pub body: T,
}

/// All items of one document.
pub(crate) struct Document {
    pub name: Located<String>,
    pub regions: Vec<Item<Located<String>>>,
    pub links: Vec<Item<platform::Link>>,
    pub zones: Vec<Item<platform::Zone>>,
    pub pools: Vec<Item<platform::Pool>>,
    pub teams: Vec<Item<team::Team>>,
    pub services: Vec<Item<service::Service>>,
    pub jobs: Vec<Item<job::Job>>,
    pub samples: Vec<Item<sample::Sample>>,
    pub homes: Vec<home::Home>,
}

/// Constraint on the VMs that may be used, with unresolved names; empty lists allow all.
#[derive(Default)]
pub(crate) struct Filter {
    pub zones: Vec<Located<String>>,
    pub racks: Vec<Located<String>>,
    pub labels: Vec<(String, String)>,
}

/// Resources that one task or replica needs.
pub(crate) struct Demand {
    pub millicores: Located<u32>,
    pub memory_mib: Located<u32>,
    pub accelerators: Located<u32>,
}

impl Demand {
    /// The demand as a size, with the one slot that each task takes.
    pub fn size(&self) -> Size {
        Size {
            millicores: self.millicores.value,
            memory_mib: self.memory_mib.value,
            accelerators: self.accelerators.value,
            slots: 1,
        }
    }
}

/// Reads a document; reads the homes only if the document is stored.
pub(crate) fn read(root: &Table<'_>, is_stored: bool, report: &mut Report) -> Document {
    root.reject_unknown_except(report, &KEYS, |key| key == HOMES);
    Document {
        name: root.required_or_default(report, "name", value::name),
        regions: read_items(root, "region", report, platform::region),
        links: read_items(root, "link", report, platform::link),
        zones: read_items(root, "zone", report, platform::zone),
        pools: read_items(root, "pool", report, platform::pool),
        teams: read_items(root, "team", report, team::read),
        services: read_items(root, "service", report, service::read),
        jobs: read_items(root, "job", report, job::read),
        samples: read_items(root, "sample", report, sample::read),
        homes: if is_stored { home::read(root, report) } else { Vec::new() },
    }
}

fn read_items<T>(
    root: &Table<'_>,
    key: &str,
    report: &mut Report,
    read: impl Fn(&Table<'_>, &mut Report) -> T,
) -> Vec<Item<T>> {
    let mut items = Vec::new();
    for table in root.tables(report, key) {
        let before = report.len();
        let body = read(&table, report);
        items.push(Item { is_valid: report.len() == before, location: table.location, body });
    }
    items
}

fn demand(table: &Table<'_>, report: &mut Report) -> Demand {
    Demand {
        millicores: table.required_or_default(report, "cores", value::millicores),
        memory_mib: table.required_or_default(report, "memory", value::memory_mib),
        accelerators: table.with_default(report, "accelerators", 0, value::integer(0..=u32::MAX)),
    }
}

fn filter(table: &Table<'_>, report: &mut Report) -> Filter {
    Filter {
        zones: table.list(report, "zones", value::name),
        racks: table.list(report, "racks", value::string),
        labels: labels(table, report),
    }
}

fn labels(table: &Table<'_>, report: &mut Report) -> Vec<(String, String)> {
    table.table(report, "labels").map(|labels| labels.pairs(report, value::string)).unwrap_or_default()
}
