//! Stand-in of the platform's store: keys with revisions, transactions, leases and watches. It answers after 4 ms. Workers
//! write their entries by `/entry`, which removes them after three heartbeat intervals of silence.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::http::{self, Answer, Request};
use crate::json::{Json, base64, number, object, text};

const PAGE_ITEMS: usize = 500;
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Largest value in bytes.
const VALUE_BYTES: usize = 1_048_576;

struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Events by revision.
    events: Vec<(u64, String, Option<String>)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    last_lease: u64,
    beats: BTreeMap<String, Instant>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
    /// Key of the last value that was refused as too large; empty if there was none.
    pub too_large: Arc<Mutex<String>>,
}

impl State {
    fn put(&mut self, key: &str, value: &str, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value: value.to_owned(), revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item);
        self.events.push((self.revision, key.to_owned(), Some(value.to_owned())));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.events.push((self.revision, key.to_owned(), None));
        }
    }

    fn row(&self, key: &str) -> Option<Json> {
        let item = self.items.get(key)?;
        Some(object([
            ("key", text(key)),
            ("value", text(item.value.as_str())),
            ("revision", number(item.revision)),
            ("created", number(item.created)),
            ("lease", number(item.lease)),
            ("as_of", number(self.revision)),
        ]))
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> =
            self.items.iter().filter(|(_, item)| item.lease == lease).map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
    }
}

impl Store {
    pub fn start(heartbeat: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound socket has an address");
        let state = State { revision: 100, ..State::default() };
        let store = Self {
            address,
            shared: Arc::new((Mutex::new(state), Condvar::new())),
            too_large: Arc::default(),
        };
        let server = store.clone();
        http::serve(listener, move |request| server.answer(request));
        let reaper = store.clone();
        thread::spawn(move || {
            loop {
                sleep(Duration::from_millis(20));
                reaper.expire(heartbeat * 3);
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().expect("no thread panics with the lock")
    }

    fn expire(&self, silence: Duration) {
        let now = Instant::now();
        let mut state = self.lock();
        let leases: Vec<u64> =
            state.leases.iter().filter(|(_, (end, _))| *end <= now).map(|(lease, _)| *lease).collect();
        for lease in leases {
            state.end_lease(lease);
        }
        let silent: Vec<String> =
            state.beats.iter().filter(|(_, at)| **at + silence <= now).map(|(key, _)| key.clone()).collect();
        for key in silent {
            state.beats.remove(&key);
            state.revision += 1;
            state.remove(&key);
        }
        self.shared.1.notify_all();
    }

    /// Writes a key as the operator does.
    pub fn write(&self, key: &str, value: &str) {
        let mut state = self.lock();
        state.revision += 1;
        state.put(key, &base64(value.as_bytes()), 0);
        self.shared.1.notify_all();
    }

    fn answer(&self, request: Request) -> Option<Answer> {
        let answer = self.execute(&request);
        sleep(ANSWER_TIME);
        Some(answer)
    }

    fn execute(&self, request: &Request) -> Answer {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let ok = |body: Json| (200, body.to_string());
        let none = |status: u16| (status, "{}".to_owned());
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/kv-key") => self.lock().row(request.query("key")).map_or(none(404), ok),
            ("GET", "/kv-range") => {
                let (prefix, after) = (request.query("prefix"), request.query("after"));
                let state = self.lock();
                let keys = state.items.keys().filter(|key| key.starts_with(prefix) && key.as_str() > after);
                let keys: Vec<&String> = keys.collect();
                let items = keys.iter().take(PAGE_ITEMS).filter_map(|key| state.row(key)).collect();
                ok(object([
                    ("items", Json::List(items)),
                    ("truncated", Json::Bool(keys.len() > PAGE_ITEMS)),
                    ("as_of", number(state.revision)),
                ]))
            }
            ("GET", "/kv-watch") => ok(self.watch(request)),
            ("POST", "/kv-txn") => self.commit(&body),
            ("POST", "/kv-lease") => {
                let ttl_ms = body.get("ttl_ms").number().unwrap_or(1_000).max(1_000);
                let mut state = self.lock();
                state.last_lease += 1;
                let (lease, ttl) = (state.last_lease, Duration::from_millis(ttl_ms));
                state.leases.insert(lease, (Instant::now() + ttl, ttl));
                ok(object([("lease", number(lease)), ("ttl_ms", number(ttl_ms))]))
            }
            ("POST", path) if path.starts_with("/kv-keep/") => {
                let lease = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0u64);
                match self.lock().leases.get_mut(&lease) {
                    Some((end, ttl)) => {
                        *end = Instant::now() + *ttl;
                        ok(object([("ttl_ms", number(ttl.as_millis() as u64))]))
                    }
                    None => none(404),
                }
            }
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                let lease = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0u64);
                self.lock().end_lease(lease);
                self.shared.1.notify_all();
                none(200)
            }
            ("POST", "/entry") => {
                let key = format!("servers/{}", body.get("id").text());
                let value = base64(body.get("entry").to_string().as_bytes());
                let mut state = self.lock();
                state.beats.insert(key.clone(), Instant::now());
                if state.items.get(&key).is_none_or(|item| item.value != value) {
                    state.revision += 1;
                    state.put(&key, &value, 0);
                    self.shared.1.notify_all();
                }
                none(200)
            }
            _ => none(400),
        }
    }

    fn watch(&self, request: &Request) -> Json {
        let (prefix, after) = (request.query("prefix"), request.query("after").parse().unwrap_or(0u64));
        let wait = Duration::from_millis(request.query("wait_ms").parse().unwrap_or(0));
        let end = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            let is_new =
                |event: &&(u64, String, Option<String>)| event.0 > after && event.1.starts_with(prefix);
            let row = |(revision, key, value): &(u64, String, Option<String>)| match value {
                Some(value) => object([
                    ("key", text(key.as_str())),
                    ("value", text(value.as_str())),
                    ("revision", number(*revision)),
                ]),
                None => object([
                    ("key", text(key.as_str())),
                    ("revision", number(*revision)),
                    ("removed", Json::Bool(true)),
                ]),
            };
            let events: Vec<Json> = state.events.iter().filter(is_new).map(row).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return object([("events", Json::List(events)), ("as_of", number(state.revision))]);
            }
            state = self.shared.1.wait_timeout(state, left).expect("no thread panics with the lock").0;
        }
    }

    fn commit(&self, body: &Json) -> Answer {
        let mut state = self.lock();
        let expect: Vec<(&str, u64)> = body
            .get("expect")
            .list()
            .iter()
            .map(|row| (row.get("key").text(), row.get("revision").number().unwrap_or(0)))
            .collect();
        let holds = |(key, revision): &(&str, u64)| {
            state.items.get(*key).map_or(0, |item| item.revision) == *revision
        };
        if !expect.iter().all(holds) {
            let items = expect.iter().filter_map(|(key, _)| state.row(key)).collect();
            return (412, object([("items", Json::List(items))]).to_string());
        }
        let lease = |row: &Json| row.get("lease").number().unwrap_or(0);
        let puts = body.get("set_keys").list();
        if puts.iter().any(|row| lease(row) > 0 && !state.leases.contains_key(&lease(row))) {
            return (404, "{}".to_owned());
        }
        // Four characters of base64 text hold three bytes.
        if let Some(row) = puts.iter().find(|row| row.get("value").text().len() / 4 * 3 > VALUE_BYTES) {
            *self.too_large.lock().expect("no panic") = row.get("key").text().to_owned();
            return (400, "{}".to_owned());
        }
        state.revision += 1;
        for row in puts {
            state.put(row.get("key").text(), row.get("value").text(), lease(row));
        }
        for key in body.get("delete").list() {
            state.remove(key.text());
        }
        self.shared.1.notify_all();
        (200, object([("revision", number(state.revision))]).to_string())
    }
}
