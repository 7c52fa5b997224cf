//! Stand-in of the platform's store: keys, leases, conditional transactions, ranges and watches.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Reply, Request, Server};
use crate::json::{Json, table};

/// Most items in one page of a range.
const PAGE_ITEMS: usize = 500;

#[derive(Debug, Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct Data {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Changes: revision, key, and the item unless it was removed.
    events: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    last_lease: u64,
}

/// The store.
#[derive(Default)]
pub struct Store {
    data: Mutex<Data>,
    changed: Condvar,
}

impl Data {
    fn set(&mut self, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push((self.revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.events.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> =
            self.items.iter().filter(|(_, item)| item.lease == lease).map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
            keys.iter().for_each(|key| self.remove(key));
        }
    }
}

fn row(key: &str, item: &Item) -> Json {
    table(vec![
        ("key", key.into()),
        ("value", item.value.as_str().into()),
        ("revision", item.revision.into()),
        ("created", item.created.into()),
        ("lease", item.lease.into()),
    ])
}

impl Store {
    /// Starts a store.
    pub fn start() -> Arc<Store> {
        let store = Arc::new(Store::default());
        store.lock().revision = 1;
        let expiring = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                let mut data = expiring.lock();
                let now = Instant::now();
                let ended: Vec<u64> = data
                    .leases
                    .iter()
                    .filter(|(_, (until, _))| *until < now)
                    .map(|(lease, _)| *lease)
                    .collect();
                ended.into_iter().for_each(|lease| data.end_lease(lease));
                drop(data);
                expiring.changed.notify_all();
            }
        });
        store
    }

    /// Serves one machine on a listener. While the returned flag is set, its calls are turned away with 503.
    pub fn serve(self: &Arc<Self>, listener: TcpListener) -> Arc<AtomicBool> {
        let (store, is_refusing) = (Arc::clone(self), Arc::new(AtomicBool::new(false)));
        let flag = Arc::clone(&is_refusing);
        let handler = move |request: &Request| {
            if flag.load(Ordering::Relaxed) {
                return Reply::Send(503, "{}".into());
            }
            let reply = store.handle(request, &flag);
            if flag.load(Ordering::Relaxed) && request.path == "/kv-watch" {
                return Reply::Send(503, "{}".into());
            }
            reply
        };
        Server::start(listener, Arc::new(handler));
        is_refusing
    }

    fn lock(&self) -> MutexGuard<'_, Data> {
        self.data.lock().expect("lock")
    }

    /// Writes a key as the operator or a worker does.
    pub fn put(&self, key: &str, text: &str) {
        let mut data = self.lock();
        data.revision += 1;
        data.set(key, encode_base64(text.as_bytes()), 0);
        drop(data);
        self.changed.notify_all();
    }

    /// Removes a key, as the end of a worker's entry does.
    pub fn delete(&self, key: &str) {
        let mut data = self.lock();
        data.revision += 1;
        data.remove(key);
        drop(data);
        self.changed.notify_all();
    }

    fn handle(&self, request: &Request, is_refusing: &AtomicBool) -> Reply {
        // The page gives 4 ms as the time of an answer.
        if request.path != "/kv-watch" {
            thread::sleep(Duration::from_millis(4));
        }
        let path = request.path.as_str();
        match (request.method.as_str(), path) {
            ("GET", "/kv-key") => self.read(request.parameter("key").unwrap_or_default()),
            ("GET", "/kv-range") => self.range(request),
            ("GET", "/kv-watch") => self.watch(request, is_refusing),
            ("POST", "/kv-txn") => self.commit(&Json::parse(&request.body).unwrap_or(Json::Null)),
            ("POST", "/kv-lease") => self.grant(&Json::parse(&request.body).unwrap_or(Json::Null)),
            ("POST", _) if path.starts_with("/kv-keep/") => self.renew(&path["/kv-keep/".len()..]),
            ("DELETE", _) if path.starts_with("/kv-lease-end/") => {
                if let Ok(lease) = path["/kv-lease-end/".len()..].parse() {
                    self.lock().end_lease(lease);
                }
                Reply::Send(200, "{}".into())
            }
            _ => Reply::Send(404, "{}".into()),
        }
    }

    fn read(&self, key: &str) -> Reply {
        let data = self.lock();
        match data.items.get(key) {
            None => Reply::Send(404, "{}".into()),
            Some(item) => Reply::Send(200, row(key, item).to_string()),
        }
    }

    fn range(&self, request: &Request) -> Reply {
        let data = self.lock();
        let prefix = request.parameter("prefix").unwrap_or_default();
        let after = request.parameter("after").unwrap_or_default();
        let mut found = data.items.iter().filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<Json> = found.by_ref().take(PAGE_ITEMS).map(|(key, item)| row(key, item)).collect();
        let truncated = found.next().is_some();
        let page = table(vec![
            ("items", items.into()),
            ("truncated", Json::Bool(truncated)),
            ("as_of", data.revision.into()),
        ]);
        Reply::Send(200, page.to_string())
    }

    fn watch(&self, request: &Request, is_refusing: &AtomicBool) -> Reply {
        let prefix = request.parameter("prefix").unwrap_or_default();
        let number = |name| request.parameter(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let (after, until) = (number("after"), Instant::now() + Duration::from_millis(number("wait_ms")));
        let mut data = self.lock();
        loop {
            let events: Vec<Json> = data
                .events
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => row(key, item),
                    None => table(vec![
                        ("key", key.as_str().into()),
                        ("revision", (*revision).into()),
                        ("removed", Json::Bool(true)),
                    ]),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() || is_refusing.load(Ordering::Relaxed) {
                let body = table(vec![("events", events.into()), ("as_of", data.revision.into())]);
                return Reply::Send(200, body.to_string());
            }
            data = self.changed.wait_timeout(data, left).expect("lock").0;
        }
    }

    fn commit(&self, body: &Json) -> Reply {
        let mut data = self.lock();
        let mut items = Vec::new();
        let mut holds = true;
        for expectation in body.list("expect") {
            let key = expectation.text("key").unwrap_or_default();
            let current = data.items.get(key);
            holds &= current.map_or(0, |item| item.revision) == expectation.number("revision").unwrap_or(0);
            items.extend(current.map(|item| row(key, item)));
        }
        if !holds {
            return Reply::Send(412, table(vec![("items", items.into())]).to_string());
        }
        let lease_of = |put: &Json| put.number("lease").unwrap_or(0);
        if body
            .list("set_keys")
            .iter()
            .any(|put| lease_of(put) > 0 && !data.leases.contains_key(&lease_of(put)))
        {
            return Reply::Send(404, "{}".into());
        }
        data.revision += 1;
        for put in body.list("set_keys") {
            let value = put.text("value").unwrap_or_default().to_owned();
            data.set(put.text("key").unwrap_or_default(), value, lease_of(put));
        }
        for key in body.list("delete") {
            if let Json::Text(key) = key {
                data.remove(key);
            }
        }
        let revision = data.revision;
        drop(data);
        self.changed.notify_all();
        Reply::Send(200, table(vec![("revision", revision.into())]).to_string())
    }

    fn grant(&self, body: &Json) -> Reply {
        let ttl_ms = body.number("ttl_ms").unwrap_or(1_000).max(1_000);
        let mut data = self.lock();
        data.last_lease += 1;
        let (lease, ttl) = (data.last_lease, Duration::from_millis(ttl_ms));
        data.leases.insert(lease, (Instant::now() + ttl, ttl));
        Reply::Send(200, table(vec![("lease", lease.into()), ("ttl_ms", ttl_ms.into())]).to_string())
    }

    fn renew(&self, lease: &str) -> Reply {
        let mut data = self.lock();
        let found = lease.parse().ok().and_then(|lease: u64| data.leases.get_mut(&lease));
        let Some((until, ttl)) = found else { return Reply::Send(404, "{}".into()) };
        *until = Instant::now() + *ttl;
        Reply::Send(200, table(vec![("ttl_ms", (ttl.as_millis() as u64).into())]).to_string())
    }
}

fn encode_base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word =
            chunk.iter().fold(0_u32, |word, byte| word << 8 | u32::from(*byte)) << (8 * (3 - chunk.len()));
        for index in 0..4 {
            let letter = LETTERS[(word >> (18 - 6 * index)) as usize & 63] as char;
            text.push(if index <= chunk.len() { letter } else { '=' });
        }
    }
    text
}
