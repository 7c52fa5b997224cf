//! Generator of random fault schedules from a seed.

use std::time::Duration;

use super::Session;
use super::fault::Fault;
use super::script::{Action, Script};
use super::site::Site;
use crate::core::admin::Command;
use crate::core::time::Instant;
use crate::hash;

/// A pseudo-random number generator.
#[derive(Debug, Clone)]
pub struct Rng(u64);

impl Rng {
    /// Creates the generator of a seed.
    pub fn new(seed: u64) -> Self {
        Self(hash::numbers([seed, 0x5eed]))
    }

    /// A number below `limit`; 0 if `limit` is 0.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.0 = hash::numbers([self.0]);
        self.0 % limit.max(1)
    }

    /// A duration of at least `from_ms` and less than `to_ms` milliseconds.
    pub fn duration(&mut self, from_ms: u64, to_ms: u64) -> Duration {
        Duration::from_millis(from_ms + self.below(to_ms - from_ms))
    }
}

/// Generator of fault schedules. The fields are its inputs.
#[derive(Debug, Clone)]
pub struct Generator {
    /// Numbers of the entry VMs of each zone.
    pub entries: Vec<Vec<u16>>,
    /// Numbers of the workers of each zone.
    pub workers: Vec<Vec<u16>>,
    /// Start and end of the faults.
    pub period: (Instant, Instant),
    /// Changes that operators apply: names of documents and their texts.
    pub changes: Vec<(String, String)>,
    /// Services and paths of requests.
    pub requests: Vec<(&'static str, &'static str)>,
}

impl Generator {
    /// Creates a generator for the VMs of a session, without changes and requests.
    pub fn for_session(session: &Session, period: (Instant, Instant)) -> Self {
        let zones: Vec<_> = session.plan.zones.iter().map(|zone| zone.id).collect();
        let by_zone = |zone_of_each: Vec<crate::declare::zone::Id>| {
            let in_zone = |zone| {
                let numbered = zone_of_each.iter().enumerate().filter(move |(_, other)| **other == zone);
                numbered.map(|(at, _)| at as u16).collect()
            };
            zones.iter().map(|zone| in_zone(*zone)).collect()
        };
        Self {
            entries: by_zone(session.entry_vms.iter().map(|vm| vm.zone).collect()),
            workers: by_zone(session.worker_vms.iter().map(|worker_vm| worker_vm.list_entry.zone).collect()),
            period,
            changes: Vec::new(),
            requests: Vec::new(),
        }
    }

    /// Entry VMs and workers of one zone.
    pub fn zone_sites(&self, zone: usize) -> Vec<Site> {
        let entries = self.entries[zone].iter().map(|at| Site::Entry(*at));
        entries.chain(self.workers[zone].iter().map(|at| Site::Worker(*at))).collect()
    }

    /// Entry VMs of all zones but one.
    pub fn entries_outside(&self, zone: usize) -> Vec<Site> {
        let others = self.entries.iter().enumerate().filter(|(other, _)| *other != zone);
        others.flat_map(|(_, entries)| entries.iter().map(|at| Site::Entry(*at))).collect()
    }

    /// Generates a schedule with `count` faults. Requests and changes are spread over the whole period. All
    /// faults end with it, and processes that do not run are started 30 s later.
    pub fn generate(&self, seed: u64, count: usize) -> Script {
        let mut rng = Rng::new(seed);
        let mut script = Script::default();
        for _ in 0..count {
            self.add_fault(&mut rng, &mut script);
        }
        self.add_load(&mut rng, &mut script);
        self.add_repairs(&mut script);
        script
    }

    fn random_instant(&self, rng: &mut Rng) -> Instant {
        let (start, end) = self.period;
        start + Duration::from_micros(rng.below(end.since(start).as_micros() as u64))
    }

    fn add_fault(&self, rng: &mut Rng, script: &mut Script) {
        let start = self.random_instant(rng);
        let duration = match rng.below(3) {
            0 => rng.duration(200, 3_000),
            1 => rng.duration(2_000, 15_000),
            _ => rng.duration(10_000, 90_000),
        };
        let end = (start + duration).min(self.period.1);
        let zone = rng.below(self.entries.len() as u64) as usize;
        let entry = self.entries[zone][rng.below(self.entries[zone].len() as u64) as usize];
        let worker = self.workers[zone][rng.below(self.workers[zone].len() as u64) as usize];
        let all_entries: Vec<Site> = self.entries.iter().flatten().map(|at| Site::Entry(*at)).collect();
        let affected_entries = if rng.below(2) == 0 { all_entries } else { self.zone_sites(zone) };
        let period = (start, end);
        let platform = vec![Site::Store, Site::List];
        let workers: Vec<Site> = self.workers[zone].iter().map(|at| Site::Worker(*at)).collect();
        let mut add_action = |at: Instant, action| script.actions.push((at, action));
        match rng.below(22) {
            0 => script.link_faults.push(Fault::refuse(period, affected_entries, vec![Site::Store])),
            1 => script.link_faults.push(Fault::cut(period, affected_entries, vec![Site::Store])),
            2 => {
                let delay = rng.duration(200, 5_000);
                script.link_faults.push(Fault::slow(period, affected_entries, vec![Site::Store], delay));
            }
            3 => script.link_faults.push(Fault::lose_answers(period, affected_entries, vec![Site::Store])),
            4 => {
                add_action(start, Action::StaleIndex(1 + rng.below(3) as usize));
                add_action(end, Action::StaleIndex(0));
            }
            5 => script.link_faults.push(Fault::cut(period, self.zone_sites(zone), platform)),
            6 => {
                script.link_faults.push(Fault::cut(period, self.zone_sites(zone), self.entries_outside(zone)))
            }
            7 => {
                let others = [platform, self.entries_outside(zone)].concat();
                script.link_faults.push(Fault::cut(period, self.zone_sites(zone), others));
            }
            8 => {
                let one = vec![Site::Entry(entry)];
                let other = self.entries[zone].iter().filter(|at| **at != entry).map(|at| Site::Entry(*at));
                let fault = Fault::cut(period, one, other.collect());
                let is_one_way = rng.below(2) == 0;
                script.link_faults.push(if is_one_way { Fault { forward: None, ..fault } } else { fault });
            }
            9 => script.link_faults.push(Fault::cut(period, vec![Site::Entry(entry)], workers)),
            10 => script.link_faults.push(Fault::lose_answers(period, vec![Site::Entry(entry)], workers)),
            11 => {
                let delay = rng.duration(300, 9_000);
                script.link_faults.push(Fault::slow(period, vec![Site::Entry(entry)], workers, delay));
            }
            12 => add_action(start, Action::Pause(entry, duration)),
            13 => add_action(start, Action::Stall(entry, duration)),
            14 => {
                add_action(start, Action::Kill(entry));
                add_action(start + rng.duration(10, 20_000), Action::Start(entry));
            }
            15 => {
                for at in &self.entries[zone] {
                    add_action(start, Action::Kill(*at));
                    add_action(start + rng.duration(10, 10_000), Action::Start(*at));
                }
            }
            16 => {
                add_action(start, Action::Stop(entry));
                add_action(start + Duration::from_secs(8), Action::Start(entry));
                add_action(start + Duration::from_secs(20), Action::Start(entry));
            }
            17 => {
                add_action(start, Action::Freeze(worker));
                add_action(end, Action::Thaw(worker));
            }
            18 => add_action(start, Action::Replace(worker)),
            19 => {
                add_action(start, Action::Leave(worker));
                add_action(start + rng.duration(5_000, 30_000), Action::PowerOff(worker));
                add_action(end.max(start + Duration::from_secs(31)), Action::Unlist(worker));
            }
            20 => {
                add_action(start, Action::Fail(worker, true));
                add_action(end, Action::Fail(worker, false));
            }
            _ => {
                add_action(start, Action::LagList(rng.duration(1_000, 60_000)));
                add_action(end, Action::LagList(Duration::ZERO));
            }
        }
    }

    /// Adds requests and operators' changes.
    fn add_load(&self, rng: &mut Rng, script: &mut Script) {
        let entries: Vec<u16> = self.entries.iter().flatten().copied().collect();
        let entry = |rng: &mut Rng| entries[rng.below(entries.len() as u64) as usize];
        for _ in 0..60 {
            let (service, path) = self.requests[rng.below(self.requests.len() as u64) as usize];
            let count = if rng.below(5) == 0 { 80 } else { 3 };
            let action = Action::Requests(entry(rng), count, service, path);
            script.actions.push((self.random_instant(rng), action));
        }
        for number in 0..2 + rng.below(3) {
            let at = self.random_instant(rng);
            // Two operators apply changes concurrently, possibly to the same document.
            for racer in 0..2 {
                let (name, text) = &self.changes[rng.below(self.changes.len() as u64) as usize];
                let author = format!("operator-{number}-{racer}");
                let text = format!("# {author}\n{text}");
                let command = Command::Apply { name: name.clone(), text, base: None, author, applied_s: 0 };
                script.actions.push((at + rng.duration(0, 10), Action::Command(entry(rng), command)));
            }
        }
    }

    /// Adds the actions that end the remaining faults and start the processes that do not run.
    fn add_repairs(&self, script: &mut Script) {
        let end = self.period.1;
        for at in self.entries.iter().flatten() {
            let starts = [Action::Start(*at)];
            script.actions.extend(starts.map(|action| (end + Duration::from_secs(30), action)));
        }
        for at in self.workers.iter().flatten() {
            script.actions.push((end, Action::Fail(*at, false)));
            script.actions.push((end, Action::Thaw(*at)));
        }
        for action in [Action::StaleIndex(0), Action::LagList(Duration::ZERO)] {
            script.actions.push((end, action));
        }
    }
}
