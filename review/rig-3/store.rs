//! Stand-in of the platform's metadata store, after PROTOCOL.md.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Request, Response, Server};
use crate::json::{self, Json, quote};

/// Most items of a page.
const PAGE_ITEMS: usize = 500;

/// Most bytes of a page, as base64 text.
const PAGE_BYTES: usize = 1_000_000;

/// Time of a call.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    until: Instant,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// All changes: revision, key, and the item as it was written, or none if it was removed.
    history: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, Lease>,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    value_bytes: usize,
    /// Number of writes that were refused since a value was over the limit.
    pub too_large: AtomicU64,
    /// Largest value that was offered, in bytes.
    pub largest: AtomicU64,
}

/// Length of the bytes of a base64 text.
fn decoded_length(text: &str) -> usize {
    text.len() / 4 * 3 - text.bytes().rev().take_while(|byte| *byte == b'=').count()
}

/// Encodes bytes as base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let number =
            chunk.iter().fold(0u32, |sum, byte| sum << 8 | u32::from(*byte)) << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            let index = (number >> (18 - 6 * digit) & 63) as usize;
            out.push(if digit <= chunk.len() { DIGITS[index] as char } else { '=' });
        }
    }
    out
}

fn describe(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":{},\"revision\":{},\"created\":{},\"lease\":{}}}",
        quote(key),
        quote(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

impl State {
    fn set(&mut self, key: &str, value: &str, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value: value.to_owned(), revision, created, lease };
        self.history.push((revision, key.to_owned(), Some(item.clone())));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> =
            self.items.iter().filter(|(_, item)| item.lease == id).map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
            keys.iter().for_each(|key| self.remove(key));
        }
    }
}

impl Store {
    /// Starts a store on a loopback address.
    pub fn start(ip: Ipv4Addr, value_bytes: usize) -> std::io::Result<(Arc<Store>, Server)> {
        let store = Arc::new(Store {
            state: Mutex::new(State { revision: 1, ..State::default() }),
            changed: Condvar::new(),
            value_bytes,
            too_large: AtomicU64::new(0),
            largest: AtomicU64::new(0),
        });
        let handler = Arc::clone(&store);
        let server = Server::start((ip, 0), Arc::new(move |request| Some(handler.handle(&request))))?;
        let expiry = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                let mut state = expiry.state.lock().expect("store");
                let now = Instant::now();
                let ended: Vec<u64> =
                    state.leases.iter().filter(|(_, lease)| lease.until <= now).map(|(id, _)| *id).collect();
                for id in ended {
                    state.end_lease(id);
                    expiry.changed.notify_all();
                }
            }
        });
        Ok((store, server))
    }

    /// Writes a key as the operator or a worker does.
    pub fn write(&self, key: &str, text: &str) {
        let mut state = self.state.lock().expect("store");
        state.revision += 1;
        state.set(key, &base64(text.as_bytes()), 0);
        self.changed.notify_all();
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        let mut state = self.state.lock().expect("store");
        state.revision += 1;
        state.remove(key);
        self.changed.notify_all();
    }

    /// Value of a key as base64 text.
    pub fn read(&self, key: &str) -> Option<String> {
        self.state.lock().expect("store").items.get(key).map(|item| item.value.clone())
    }

    fn handle(&self, request: &Request) -> Response {
        if !request.path.starts_with("/kv-watch") {
            thread::sleep(ANSWER_TIME);
        }
        let id = |prefix: &str| request.path.strip_prefix(prefix).and_then(|id| id.parse::<u64>().ok());
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/kv-key") => {
                let key = request.parameter("key").unwrap_or_default();
                let state = self.state.lock().expect("store");
                match state.items.get(&key) {
                    Some(item) => {
                        let text = describe(&key, item);
                        let text = format!("{},\"as_of\":{}}}", &text[..text.len() - 1], state.revision);
                        Response::new(200, text)
                    }
                    None => Response::new(404, "{}"),
                }
            }
            ("GET", "/kv-range") => self.range(request),
            ("GET", "/kv-watch") => self.watch(request),
            ("POST", "/kv-txn") => self.transact(request),
            ("POST", "/kv-lease") => {
                let ttl = json::parse(&request.body).and_then(|body| body.number("ttl_ms")).unwrap_or(0);
                let ttl_ms = ttl.max(1_000);
                let ttl = Duration::from_millis(ttl_ms);
                let mut state = self.state.lock().expect("store");
                let lease = state.revision * 1_000 + state.leases.len() as u64 + 1;
                state.leases.insert(lease, Lease { ttl, until: Instant::now() + ttl });
                Response::new(200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl_ms}}}"))
            }
            ("POST", path) if path.starts_with("/kv-keep/") => {
                let mut state = self.state.lock().expect("store");
                match id("/kv-keep/").and_then(|id| state.leases.get_mut(&id)) {
                    Some(lease) => {
                        lease.until = Instant::now() + lease.ttl;
                        Response::new(200, "{}")
                    }
                    None => Response::new(404, "{}"),
                }
            }
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                let mut state = self.state.lock().expect("store");
                if let Some(id) = id("/kv-lease-end/") {
                    state.end_lease(id);
                }
                self.changed.notify_all();
                Response::new(200, "{}")
            }
            _ => Response::new(404, "{}"),
        }
    }

    fn range(&self, request: &Request) -> Response {
        let (prefix, after) = (request.parameter("prefix").unwrap_or_default(), request.parameter("after"));
        let state = self.state.lock().expect("store");
        let (mut rows, mut bytes, mut is_truncated) = (Vec::new(), 0, false);
        for (key, item) in state.items.range(prefix.clone()..) {
            if !key.starts_with(&prefix) {
                break;
            }
            if after.as_ref().is_some_and(|after| key <= after) {
                continue;
            }
            if rows.len() >= PAGE_ITEMS || bytes >= PAGE_BYTES {
                is_truncated = true;
                break;
            }
            bytes += item.value.len();
            rows.push(describe(key, item));
        }
        let rows = rows.join(",");
        Response::new(
            200,
            format!("{{\"items\":[{rows}],\"truncated\":{is_truncated},\"as_of\":{}}}", state.revision),
        )
    }

    fn watch(&self, request: &Request) -> Response {
        let prefix = request.parameter("prefix").unwrap_or_default();
        let number =
            |name: &str| request.parameter(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let (after, wait) = (number("after"), Duration::from_millis(number("wait_ms").min(30_000)));
        let until = Instant::now() + wait;
        let mut state = self.state.lock().expect("store");
        loop {
            let first = state.history.partition_point(|(revision, ..)| *revision <= after);
            let events: Vec<String> = state.history[first..]
                .iter()
                .filter(|(_, key, _)| key.starts_with(&prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => describe(key, item),
                    None => format!("{{\"key\":{},\"revision\":{revision},\"removed\":true}}", quote(key)),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let (events, as_of) = (events.join(","), state.revision);
                return Response::new(200, format!("{{\"events\":[{events}],\"as_of\":{as_of}}}"));
            }
            state = self.changed.wait_timeout(state, until - now).expect("store").0;
        }
    }

    fn transact(&self, request: &Request) -> Response {
        let Some(body) = json::parse(&request.body) else { return Response::new(400, "{}") };
        let (expect, set, delete) = (body.list("expect"), body.list("set_keys"), body.list("delete"));
        let key_of = |row: &Json| row.text("key").unwrap_or_default().to_owned();
        if expect.len() + set.len() + delete.len() > 32 {
            return Response::new(400, "{\"error\":\"too many entries\"}");
        }
        for row in set {
            let length = decoded_length(row.text("value").unwrap_or_default());
            self.largest.fetch_max(length as u64, Ordering::Relaxed);
            if length > self.value_bytes {
                self.too_large.fetch_add(1, Ordering::Relaxed);
                return Response::new(400, "{\"error\":\"a value is too large\"}");
            }
        }
        let mut state = self.state.lock().expect("store");
        let is_met = |row: &Json| {
            let revision = state.items.get(&key_of(row)).map_or(0, |item| item.revision);
            row.number("revision") == Some(revision)
        };
        if !expect.iter().all(is_met) {
            let items: Vec<String> = expect
                .iter()
                .filter_map(|row| state.items.get(&key_of(row)).map(|item| describe(&key_of(row), item)))
                .collect();
            return Response::new(412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let lease_of = |row: &Json| row.number("lease").unwrap_or(0);
        if set.iter().any(|row| lease_of(row) > 0 && !state.leases.contains_key(&lease_of(row))) {
            return Response::new(404, "{}");
        }
        state.revision += 1;
        for row in set {
            state.set(&key_of(row), row.text("value").unwrap_or_default(), lease_of(row));
        }
        for row in delete {
            state.remove(row.as_text());
        }
        self.changed.notify_all();
        Response::new(200, format!("{{\"revision\":{}}}", state.revision))
    }
}
