//! Random schedules of faults, by seed.

use std::time::Duration;

use super::Session;
use super::fault::Fault;
use super::script::{Action, Script};
use super::site::Site;
use crate::core::admin::Command;
use crate::core::time::Instant;
use crate::hash;

/// A stream of pseudo-random numbers.
#[derive(Debug, Clone)]
pub struct Draw(u64);

impl Draw {
    /// The stream of a seed.
    pub fn new(seed: u64) -> Self {
        Self(hash::numbers([seed, 0x5eed]))
    }

    /// A number below `limit`, or 0 if that is 0.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.0 = hash::numbers([self.0]);
        self.0 % limit.max(1)
    }

    /// A time between two numbers of milliseconds.
    pub fn span(&mut self, from_ms: u64, to_ms: u64) -> Duration {
        Duration::from_millis(from_ms + self.below(to_ms - from_ms))
    }
}

/// What a schedule is drawn for.
#[derive(Debug, Clone)]
pub struct Outline {
    /// Entry VMs of each zone.
    pub entries: Vec<Vec<u16>>,
    /// Workers of each zone.
    pub workers: Vec<Vec<u16>>,
    /// First and last moment of the faults.
    pub period: (Instant, Instant),
    /// Changes that operators may apply: document and text.
    pub changes: Vec<(String, String)>,
    /// Service and path of requests.
    pub calls: Vec<(&'static str, &'static str)>,
}

impl Outline {
    /// Outline of a session's VMs.
    pub fn of(session: &Session, period: (Instant, Instant)) -> Self {
        let zones: Vec<_> = session.plan.zones.iter().map(|zone| zone.id).collect();
        let of = |zones_of: Vec<crate::declare::zone::Id>| {
            let in_zone = |zone| {
                let numbered = zones_of.iter().enumerate().filter(move |(_, other)| **other == zone);
                numbered.map(|(at, _)| at as u16).collect()
            };
            zones.iter().map(|zone| in_zone(*zone)).collect()
        };
        Self {
            entries: of(session.vms.iter().map(|vm| vm.zone).collect()),
            workers: of(session.machines.iter().map(|machine| machine.listed.zone).collect()),
            period,
            changes: Vec::new(),
            calls: Vec::new(),
        }
    }

    /// Sites of one zone.
    pub fn zone(&self, zone: usize) -> Vec<Site> {
        let entries = self.entries[zone].iter().map(|at| Site::Entry(*at));
        entries.chain(self.workers[zone].iter().map(|at| Site::Worker(*at))).collect()
    }

    /// Entry VMs of all zones but one.
    pub fn other_entries(&self, zone: usize) -> Vec<Site> {
        let others = self.entries.iter().enumerate().filter(|(other, _)| *other != zone);
        others.flat_map(|(_, entries)| entries.iter().map(|at| Site::Entry(*at))).collect()
    }

    /// A schedule with `count` faults, with requests and changes all the time, and everything repaired at the end.
    pub fn draw(&self, seed: u64, count: usize) -> Script {
        let mut draw = Draw::new(seed);
        let mut script = Script::default();
        for _ in 0..count {
            self.fault(&mut draw, &mut script);
        }
        self.load(&mut draw, &mut script);
        self.repair(&mut script);
        script
    }

    fn moment(&self, draw: &mut Draw) -> Instant {
        let (start, end) = self.period;
        start + Duration::from_micros(draw.below(end.since(start).as_micros() as u64))
    }

    fn fault(&self, draw: &mut Draw, script: &mut Script) {
        let start = self.moment(draw);
        let span = match draw.below(3) {
            0 => draw.span(200, 3_000),
            1 => draw.span(2_000, 15_000),
            _ => draw.span(10_000, 90_000),
        };
        let end = (start + span).min(self.period.1);
        let zone = draw.below(self.entries.len() as u64) as usize;
        let entry = self.entries[zone][draw.below(self.entries[zone].len() as u64) as usize];
        let worker = self.workers[zone][draw.below(self.workers[zone].len() as u64) as usize];
        let all: Vec<Site> = self.entries.iter().flatten().map(|at| Site::Entry(*at)).collect();
        let some = if draw.below(2) == 0 { all } else { self.zone(zone) };
        let period = (start, end);
        let platform = vec![Site::Store, Site::List];
        let workers: Vec<Site> = self.workers[zone].iter().map(|at| Site::Worker(*at)).collect();
        let mut act = |at: Instant, action| script.actions.push((at, action));
        match draw.below(22) {
            0 => script.links.push(Fault::refuse(period, some, vec![Site::Store])),
            1 => script.links.push(Fault::cut(period, some, vec![Site::Store])),
            2 => {
                let delay = draw.span(200, 5_000);
                script.links.push(Fault::slow(period, some, vec![Site::Store], delay));
            }
            3 => script.links.push(Fault::lose_answers(period, some, vec![Site::Store])),
            4 => {
                act(start, Action::StaleIndex(1 + draw.below(3) as usize));
                act(end, Action::StaleIndex(0));
            }
            5 => script.links.push(Fault::cut(period, self.zone(zone), platform)),
            6 => script.links.push(Fault::cut(period, self.zone(zone), self.other_entries(zone))),
            7 => {
                let others = [platform, self.other_entries(zone)].concat();
                script.links.push(Fault::cut(period, self.zone(zone), others));
            }
            8 => {
                let one = vec![Site::Entry(entry)];
                let other = self.entries[zone].iter().filter(|at| **at != entry).map(|at| Site::Entry(*at));
                let fault = Fault::cut(period, one, other.collect());
                let is_one_way = draw.below(2) == 0;
                script.links.push(if is_one_way { Fault { there: None, ..fault } } else { fault });
            }
            9 => script.links.push(Fault::cut(period, vec![Site::Entry(entry)], workers)),
            10 => script.links.push(Fault::lose_answers(period, vec![Site::Entry(entry)], workers)),
            11 => {
                let delay = draw.span(300, 9_000);
                script.links.push(Fault::slow(period, vec![Site::Entry(entry)], workers, delay));
            }
            12 => act(start, Action::Pause(entry, span)),
            13 => act(start, Action::Stall(entry, span)),
            14 => {
                act(start, Action::Kill(entry));
                act(start + draw.span(10, 20_000), Action::Start(entry));
            }
            15 => {
                for at in &self.entries[zone] {
                    act(start, Action::Kill(*at));
                    act(start + draw.span(10, 10_000), Action::Start(*at));
                }
            }
            16 => {
                act(start, Action::Stop(entry));
                act(start + Duration::from_secs(8), Action::Start(entry));
                act(start + Duration::from_secs(20), Action::Start(entry));
            }
            17 => {
                act(start, Action::Freeze(worker));
                act(end, Action::Thaw(worker));
            }
            18 => act(start, Action::Replace(worker)),
            19 => {
                act(start, Action::Leave(worker));
                act(start + draw.span(5_000, 30_000), Action::PowerOff(worker));
                act(end.max(start + Duration::from_secs(31)), Action::Unlist(worker));
            }
            20 => {
                act(start, Action::Fail(worker, true));
                act(end, Action::Fail(worker, false));
            }
            _ => {
                act(start, Action::LagList(draw.span(1_000, 60_000)));
                act(end, Action::LagList(Duration::ZERO));
            }
        }
    }

    /// Requests and operators' changes.
    fn load(&self, draw: &mut Draw, script: &mut Script) {
        let entries: Vec<u16> = self.entries.iter().flatten().copied().collect();
        let entry = |draw: &mut Draw| entries[draw.below(entries.len() as u64) as usize];
        for _ in 0..60 {
            let (service, path) = self.calls[draw.below(self.calls.len() as u64) as usize];
            let count = if draw.below(5) == 0 { 80 } else { 3 };
            let action = Action::Requests(entry(draw), count, service, path);
            script.actions.push((self.moment(draw), action));
        }
        for number in 0..2 + draw.below(3) {
            let at = self.moment(draw);
            // Two operators race for the same document.
            for racer in 0..2 {
                let (name, text) = &self.changes[draw.below(self.changes.len() as u64) as usize];
                let author = format!("operator-{number}-{racer}");
                let text = format!("# {author}\n{text}");
                let command = Command::Apply { name: name.clone(), text, base: None, author, applied_s: 0 };
                script.actions.push((at + draw.span(0, 10), Action::Order(entry(draw), command)));
            }
        }
    }

    /// Everything runs again at the end.
    fn repair(&self, script: &mut Script) {
        let end = self.period.1;
        for at in self.entries.iter().flatten() {
            let restart = [Action::Start(*at)];
            script.actions.extend(restart.map(|action| (end + Duration::from_secs(30), action)));
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
