//! Emulated store of the platform: keys with revisions, conditional transactions, leases and watches.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmegfold::core::time::Instant;
use nutmegfold::core::work::config::Config;
use nutmegfold::core::work::store::{
    Call, Change, Item, Key, Member, Range, Removed, Reply, Request, Revision, Transaction, Value,
};
use nutmegfold::core::work::worker::Report;
use nutmegfold::declare::zone;
use nutmegfold::hash::{self, Map, Set};

use super::worker::Worker;

/// Result of trying to execute a call.
#[derive(Debug)]
pub enum Outcome {
    Reply(Reply),
    /// The call has no reply yet and is tried again later.
    Wait,
}

#[derive(Debug, Clone)]
struct Entry {
    item: Item,
    revision: Revision,
    lease: Option<u64>,
}

/// Connections of one entry VM to the store that go silent without an error, while new ones work.
#[derive(Debug, Clone, Copy)]
pub struct Silence {
    /// When the connections that are open go silent.
    pub at: Instant,
    /// Share of them in percent.
    pub percent: u64,
    /// When the VM dropped its pooled connections: the first time that a call got no answer.
    renewed_at: Option<Instant>,
}

impl Silence {
    /// Silence of `percent` of the connections that are open at `at`.
    pub fn new(at: Instant, percent: u64) -> Self {
        Self { at, percent, renewed_at: None }
    }

    /// Whether a call without an answer yet uses a silent connection. A call that begins later takes one from the pool,
    /// until the pool is renewed.
    fn affects(&self, pending: &Pending<'_>, now: Instant) -> bool {
        let Pending { vm, call, began, .. } = *pending;
        let is_old = began < self.at || self.renewed_at.is_none_or(|at| began < at);
        now >= self.at && is_old && hash::numbers([vm as u64, call.0, self.at.0]) % 100 < self.percent
    }
}

/// A call of an entry VM that has no answer yet.
#[derive(Debug, Clone, Copy)]
pub struct Pending<'a> {
    pub vm: usize,
    pub call: Call,
    pub request: &'a Request,
    /// When it was sent.
    pub began: Instant,
    /// When it times out.
    pub deadline: Instant,
}

/// Contents of the store, and the faults that it emulates.
pub struct Store {
    /// Whether every call times out.
    pub is_down: bool,
    /// Whether leases keep their full time to live while the store is down.
    pub pauses_leases: bool,
    /// Number of further commits that are executed but whose reply is lost.
    pub lost_commit_replies: u32,
    /// Entry VMs whose calls time out while the store serves the others.
    pub silent_vms: Set<usize>,
    /// Entry VMs whose watches see no change while their other calls are served, as on a connection that went silent.
    pub silent_watch_vms: Set<usize>,
    /// Entry VMs with connections that went silent.
    pub silences: Map<usize, Silence>,
    /// Whether watches wait as long as they ask for. Otherwise they are answered after the timeout of other calls, which
    /// the days of the other tests rely on.
    pub keeps_watch_waits: bool,
    /// Entry VMs whose reads of the configuration time out while their other calls are served.
    pub silent_config_vms: Set<usize>,
    /// Entry VMs whose calls are refused without effect while the store serves the others.
    pub refused_vms: Set<usize>,
    /// Whether every commit is refused without effect while other calls are served.
    pub refuses_commits: bool,
    /// Time from the execution of a commit to its reply; a reply after the timeout of the call is lost.
    pub commit_delay: Duration,
    /// Whether a transaction that writes a key twice has no effect and no reply that its sender understands.
    pub rejects_repeated_keys: bool,
    /// Keys that a transaction wrote more than once, one for each such transaction.
    pub repeated_keys: Vec<Key>,
    /// Maximum number of items of a page.
    pub page_size: usize,
    /// Revision up to which the history has been dropped; a watch from an earlier one is refused.
    pub dropped_until: Revision,
    /// Number of further replies that are lost to requests for a page after the first one.
    pub lost_page_replies: u32,
    revision: Revision,
    entries: BTreeMap<String, Entry>,
    history: Vec<(Revision, Range, Change)>,
    leases: Map<u64, (Instant, Duration)>,
    last_lease: u64,
}

fn range_of(key: Key) -> Range {
    match key {
        Key::Leader | Key::Term | Key::Relay(_) => Range::Leadership,
        Key::Job(_) => Range::Jobs,
        // Of these, only the progress keys are ever listed; the other keys share their range.
        Key::Progress(_) | Key::Tip | Key::Roster | Key::Images => Range::Progress,
    }
}

impl Store {
    /// Creates a store that contains only a configuration.
    pub fn new(config: Config) -> Self {
        let mut store = Self {
            is_down: false,
            pauses_leases: false,
            lost_commit_replies: 0,
            silent_vms: Set::default(),
            silent_watch_vms: Set::default(),
            silences: Map::default(),
            keeps_watch_waits: false,
            silent_config_vms: Set::default(),
            refused_vms: Set::default(),
            refuses_commits: false,
            commit_delay: Duration::ZERO,
            rejects_repeated_keys: false,
            repeated_keys: Vec::new(),
            page_size: 500,
            dropped_until: 0,
            lost_page_replies: 0,
            revision: 0,
            entries: BTreeMap::new(),
            history: Vec::new(),
            leases: Map::default(),
            last_lease: 0,
        };
        store.set("op/config".into(), Range::Config, Item::Config(config), None);
        store
    }

    /// Writes a configuration, as the operator does.
    pub fn set_config(&mut self, config: Config) {
        self.set("op/config".into(), Range::Config, Item::Config(config), None);
    }

    /// Evacuates an availability zone, as the operator does.
    pub fn evacuate(&mut self, zone: &str) {
        let key = format!("op/evacuate/{zone}");
        self.set(key, Range::Evacuations, Item::Evacuation(zone.into()), None);
    }

    /// Ends the evacuation of an availability zone, as the operator does.
    pub fn end_evacuation(&mut self, zone: &str) {
        self.entries.remove(&format!("op/evacuate/{zone}"));
        self.record_change(Range::Evacuations, Change::Removed(Removed::Evacuation(zone.into())));
    }

    /// Name of the VM that holds the leader's key, if one does.
    pub fn leader(&self) -> Option<String> {
        let (Value::Leader(leader), _) = self.read(Key::Leader)? else { return None };
        Some(leader.vm)
    }

    /// Name of the VM that is the relay of the first availability zone, if one is.
    pub fn relay(&self) -> Option<String> {
        let Some((Value::Relay(relay), _)) = self.read(Key::Relay(zone::Id::of("z-0"))) else { return None };
        Some(relay.vm)
    }

    /// Workers in the stored roster.
    pub fn roster(&self) -> Vec<Member> {
        let Some((Value::Roster(roster), _)) = self.read(Key::Roster) else { return Vec::new() };
        roster.members
    }

    /// Writes a worker's report, as the worker itself does.
    pub fn list_worker(&mut self, worker: &Worker) {
        self.set_report(&worker.id, worker.report());
    }

    /// Writes a report of a worker.
    pub fn set_report(&mut self, worker_id: &str, report: Report) {
        let item = Item::Worker(worker_id.to_owned(), Some(report));
        self.set(format!("servers/{worker_id}"), Range::Workers, item, None);
    }

    /// Removes a worker's report.
    pub fn unlist_worker(&mut self, worker: &Worker) {
        self.entries.remove(&format!("servers/{}", worker.id));
        self.record_change(Range::Workers, Change::Removed(Removed::Worker(worker.id.clone())));
    }

    /// Ends the leases that have expired and removes their keys.
    pub fn expire_leases(&mut self, now: Instant) {
        if self.is_down && self.pauses_leases {
            for (expiry, ttl) in self.leases.values_mut() {
                *expiry = now + *ttl;
            }
        }
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (expiry, _))| *expiry <= now).map(|(lease, _)| *lease).collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    /// Ends all leases and removes their keys without notifying the holders.
    pub fn revoke_leases(&mut self) {
        for lease in self.leases.keys().copied().collect::<Vec<_>>() {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.lease == Some(lease))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            if let Some(Entry { item: Item::Own(own, _), .. }) = self.entries.remove(&key) {
                self.record_change(range_of(own), Change::Removed(Removed::Own(own)));
            }
        }
    }

    fn record_change(&mut self, range: Range, change: Change) {
        self.revision += 1;
        self.history.push((self.revision, range, change));
    }

    fn set(&mut self, key: String, range: Range, item: Item, lease: Option<u64>) {
        let revision = self.revision + 1;
        self.record_change(range, Change::Set(item.clone(), revision));
        self.entries.insert(key, Entry { item, revision, lease });
    }

    /// Executes a call of an entry VM. A watch waits for a change, and any call to a store that is down or silent for the
    /// VM waits for the timeout, at most until `deadline`.
    pub fn execute(&mut self, pending: Pending<'_>, now: Instant) -> Outcome {
        let Pending { vm, request, began, deadline, .. } = pending;
        if let Some(silence) = self.silences.get_mut(&vm).filter(|silence| silence.affects(&pending, now)) {
            if now < deadline {
                return Outcome::Wait;
            }
            silence.renewed_at.get_or_insert(now);
            return Outcome::Reply(Reply::Lost);
        }
        let is_silent_watch = matches!(request, Request::Watch { .. }) && self.silent_watch_vms.contains(&vm);
        let reads_config = matches!(
            request,
            Request::List { range: Range::Config, .. } | Request::Watch { range: Range::Config, .. }
        );
        let is_silent_config = reads_config && self.silent_config_vms.contains(&vm);
        if self.is_down || self.silent_vms.contains(&vm) || is_silent_watch || is_silent_config {
            return if now >= deadline { Outcome::Reply(Reply::Lost) } else { Outcome::Wait };
        }
        let is_refused_commit = matches!(request, Request::Commit(_)) && self.refuses_commits;
        if self.refused_vms.contains(&vm) || is_refused_commit {
            return Outcome::Reply(Reply::Refused);
        }
        if let Request::Watch { range, after, wait, .. } = request {
            return self.watch(*range, *after, now, deadline.min(began + *wait));
        }
        let reply = self.reply(request, now);
        if matches!(request, Request::Commit(_)) && self.lost_commit_replies > 0 {
            self.lost_commit_replies -= 1;
            return Outcome::Reply(Reply::Lost);
        }
        Outcome::Reply(reply)
    }

    /// Drops the history of all changes so far.
    pub fn drop_history(&mut self) {
        // Watches that wait already are cut as well.
        self.revision += 1;
        self.dropped_until = self.revision;
    }

    fn watch(&self, range: Range, after: Revision, now: Instant, until: Instant) -> Outcome {
        if after < self.dropped_until {
            return Outcome::Reply(Reply::Gone);
        }
        let seen = self.history.partition_point(|(revision, ..)| *revision <= after);
        let matching = self.history[seen..].iter().filter(|(_, of, _)| *of == range);
        let changes: Vec<Change> = matching.map(|(.., change)| change.clone()).collect();
        if changes.is_empty() && now < until {
            return Outcome::Wait;
        }
        Outcome::Reply(Reply::Changes { changes, as_of: self.revision, bytes: 0 })
    }

    fn reply(&mut self, request: &Request, now: Instant) -> Reply {
        match request {
            Request::Lease { ttl } => {
                self.last_lease += 1;
                self.leases.insert(self.last_lease, (now + *ttl, *ttl));
                Reply::Leased(self.last_lease)
            }
            Request::Renew { lease } => match self.leases.get_mut(lease) {
                Some((expiry, ttl)) => {
                    *expiry = now + *ttl;
                    Reply::Renewed
                }
                None => Reply::Gone,
            },
            Request::Commit(transaction) => self.commit(transaction),
            Request::Read(key) => Reply::Read(self.read(*key)),
            Request::List { range, after, .. } => self.list(*range, after.as_deref()),
            Request::Watch { .. } => unreachable!("`execute` handles watches"),
        }
    }

    fn list(&mut self, range: Range, after: Option<&str>) -> Reply {
        if after.is_some() && self.lost_page_replies > 0 {
            self.lost_page_replies -= 1;
            return Reply::Lost;
        }
        let prefix = match range {
            Range::Leadership => "lead/",
            Range::Jobs => "jobs/",
            Range::Progress => "progress/",
            Range::Workers => "servers/",
            Range::Config => "op/config",
            Range::Evacuations => "op/evacuate/",
        };
        let is_listed = |key: &str| key.starts_with(prefix) && after.is_none_or(|after| key > after);
        let found: Vec<_> = self.entries.iter().filter(|(key, _)| is_listed(key)).collect();
        let page = &found[..found.len().min(self.page_size)];
        let next = page.last().filter(|_| page.len() < found.len()).map(|(key, _)| (*key).clone());
        let items = page.iter().map(|(_, entry)| (entry.item.clone(), entry.revision)).collect();
        Reply::Page { items, next, as_of: self.revision, bytes: 0 }
    }

    fn read(&self, key: Key) -> Option<(Value, Revision)> {
        match self.entries.get(&key_text(key)) {
            Some(Entry { item: Item::Own(_, value), revision, .. }) => Some((value.clone(), *revision)),
            _ => None,
        }
    }

    fn commit(&mut self, transaction: &Transaction) -> Reply {
        let is_current =
            |(key, revision): &(Key, Revision)| self.read(*key).map_or(0, |(_, found)| found) == *revision;
        if !transaction.expect.iter().all(is_current) {
            let current = transaction
                .expect
                .iter()
                .filter_map(|(key, _)| self.read(*key).map(|(value, revision)| (*key, value, revision)));
            return Reply::Conflict(current.collect());
        }
        if transaction
            .put
            .iter()
            .any(|(.., lease)| lease.is_some_and(|lease| !self.leases.contains_key(&lease)))
        {
            return Reply::Gone;
        }
        let repeated = (1..transaction.put.len()).find(|index| {
            transaction.put[..*index].iter().any(|(key, ..)| *key == transaction.put[*index].0)
        });
        if let Some(index) = repeated {
            self.repeated_keys.push(transaction.put[index].0);
            if self.rejects_repeated_keys {
                return Reply::Lost;
            }
        }
        for key in &transaction.delete {
            if self.entries.remove(&key_text(*key)).is_some() {
                self.record_change(range_of(*key), Change::Removed(Removed::Own(*key)));
            }
        }
        // All keys that a transaction writes get the same revision.
        let previous = self.revision;
        for (key, value, lease) in &transaction.put {
            self.revision = previous;
            self.set(key_text(*key), range_of(*key), Item::Own(*key, value.clone()), *lease);
        }
        Reply::Committed(self.revision)
    }
}

fn key_text(key: Key) -> String {
    nutmegfold::wire::job::key_text(key)
}
