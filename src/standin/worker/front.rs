//! HTTP shell of the workers of a run: one server on many addresses.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use actix_web::web::{self, Bytes, Data, Path, ServiceConfig};
use actix_web::{HttpRequest, HttpResponse, rt};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64;

use super::profile::{Mode, Profile};
use super::{Service, Shared, Worker};
use crate::core::{control, run};
use crate::error::Result;
use crate::hash::Map;
use crate::standin::{lock, server};
use crate::wire::control::{Call, NOT_RUN, PATH, Reply};

/// Header that names a request.
pub const REQUEST_ID: &str = "x-request-id";
/// Header that says `0` if a request must not be executed twice.
pub const IDEMPOTENT: &str = "x-idempotent";

/// Key of a worker in its [`Front`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(pub u16);

/// Body of a replica's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Replica that answered.
    pub run: u64,
    /// Path below the replica.
    pub path: String,
    /// Name of the request.
    pub request_id: String,
    /// Size of the request's body in bytes.
    pub bytes: u64,
    /// xxh3 hash of the request's body.
    pub checksum: u64,
}

impl Answer {
    /// Answer that `run` gives to a request.
    pub fn new(run: run::Id, path: impl Into<String>, id: impl Into<String>, body: impl AsRef<[u8]>) -> Self {
        let body = body.as_ref();
        Self {
            run: run.0,
            path: path.into(),
            request_id: id.into(),
            bytes: body.len() as u64,
            checksum: xxh3_64(body),
        }
    }
}

/// Running workers; they stop when this is dropped.
#[derive(Debug)]
pub struct Front {
    handle: Handle,
    guard: server::Guard,
}

/// Access to running workers, for tests and runs with faults.
#[derive(Debug, Clone)]
pub struct Handle {
    seats: Arc<[Seat]>,
    keys: Arc<Map<SocketAddr, Key>>,
    start: Instant,
}

#[derive(Debug)]
struct Seat {
    worker: Mutex<Worker>,
    changed: Notify,
}

impl Front {
    /// Serves a worker of each profile at its address; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// An address is in use or not local.
    pub fn start(workers: impl IntoIterator<Item = (SocketAddr, Profile)>, shared: Shared) -> Result<Self> {
        let (addresses, profiles): (Vec<_>, Vec<_>) = workers.into_iter().unzip();
        let listeners = server::bind(addresses)?;
        let locals = listeners.iter().enumerate().filter_map(|(at, listener)| {
            let address = listener.local_addr().ok()?;
            Some((address, Key(at as u16)))
        });
        let keys = Arc::new(locals.collect());
        let seat = |profile| Seat {
            worker: Mutex::new(Worker::new(profile, shared.clone())),
            changed: Notify::new(),
        };
        let seats = profiles.into_iter().map(seat).collect();
        let handle = Handle { seats, keys, start: Instant::now() };
        let data = Data::new(handle.clone());
        let routes = move |config: &mut ServiceConfig| {
            config
                .app_data(data.clone())
                .route(PATH, web::post().to(control))
                .route("/replica/{run}/{path:.*}", web::route().to(replica));
        };
        let background = handle.clone();
        let guard = server::serve(listeners, routes, move || background.tend())?;
        Ok(Self { handle, guard })
    }

    /// Addresses of the workers, in the order of their keys.
    pub fn addresses(&self) -> &[SocketAddr] {
        self.guard.addresses()
    }

    /// Access to the workers.
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }
}

impl Handle {
    /// Keys of all workers.
    pub fn keys(&self) -> impl Iterator<Item = Key> + use<> {
        (0..self.seats.len()).map(|at| Key(at as u16))
    }

    /// Name of a worker.
    pub fn name(&self, key: Key) -> String {
        self.with(key, |worker, _| worker.name().to_owned())
    }

    /// Number of a worker's running instance.
    pub fn instance(&self, key: Key) -> u64 {
        self.with(key, |worker, _| worker.instance())
    }

    /// Sets the faults of a worker.
    pub fn set(&self, key: Key, mode: Mode) {
        self.with(key, |worker, _| worker.mode = mode);
    }

    /// Replaces a worker's instance; returns the number of the new one.
    pub fn restart(&self, key: Key) -> u64 {
        self.with(key, Worker::restart)
    }

    /// Stops a worker's VM until it is restarted.
    pub fn power_off(&self, key: Key) {
        self.with(key, Worker::power_off);
    }

    fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn with<T>(&self, key: Key, act: impl FnOnce(&mut Worker, u64) -> T) -> T {
        let seat = &self.seats[usize::from(key.0)];
        let result = act(&mut lock(&seat.worker), self.now_ms());
        seat.changed.notify_waiters();
        result
    }

    fn look<T>(&self, key: Key, look: impl FnOnce(&mut Worker, u64) -> T) -> T {
        look(&mut lock(&self.seats[usize::from(key.0)].worker), self.now_ms())
    }

    fn of(&self, request: &HttpRequest) -> Option<Key> {
        self.keys.get(&request.app_config().local_addr()).copied()
    }

    fn is_frozen(&self, key: Key) -> bool {
        self.look(key, |worker, _| worker.mode.frozen)
    }

    /// Advances each worker whenever something is due.
    fn tend(&self) {
        for key in self.keys() {
            let handle = self.clone();
            rt::spawn(async move {
                loop {
                    handle.tend_once(key).await;
                }
            });
        }
    }

    async fn tend_once(&self, key: Key) {
        let changed = self.seats[usize::from(key.0)].changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        let due_ms = self.look(key, |worker, _| worker.next_due());
        let Some(due_ms) = due_ms else { return changed.await };
        if tokio::time::timeout_at(self.at(due_ms), changed).await.is_err() {
            self.with(key, Worker::advance);
        }
    }

    /// Waits until the reply to a call is to be sent.
    async fn wait(&self, key: Key, poll: &super::Poll) {
        loop {
            let changed = self.seats[usize::from(key.0)].changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if self.look(key, |worker, now_ms| worker.is_due(poll, now_ms)) {
                return;
            }
            // A time-out is not an error: the loop looks again.
            let _ = tokio::time::timeout_at(self.at(poll.due_ms()), changed).await;
        }
    }

    fn at(&self, ms: u64) -> rt::time::Instant {
        rt::time::Instant::from_std(self.start + Duration::from_millis(ms))
    }
}

async fn control(handle: Data<Handle>, request: HttpRequest, body: Bytes) -> HttpResponse {
    let Some(key) = handle.of(&request) else { return HttpResponse::NotFound().finish() };
    if handle.is_frozen(key) {
        return std::future::pending().await;
    }
    let call: control::Call = match serde_json::from_slice::<Call>(&body) {
        Ok(call) => call.into(),
        Err(error) => return HttpResponse::BadRequest().body(error.to_string()),
    };
    let poll = handle.with(key, |worker, now_ms| worker.control(call, now_ms));
    handle.wait(key, &poll).await;
    let reply = handle.with(key, |worker, now_ms| worker.reply(&poll, now_ms));
    if handle.is_frozen(key) {
        return std::future::pending().await;
    }
    match reply {
        Some(reply) => HttpResponse::Ok().json(Reply::from(reply)),
        None => server::cut_off(),
    }
}

/// Request in flight; it counts as a connection until it is dropped, also when its caller is gone.
struct Flight {
    handle: Handle,
    key: Key,
    service: Option<Service>,
}

impl Flight {
    /// Ends the request; false if there is no answer.
    fn land(mut self) -> bool {
        self.end()
    }

    fn end(&mut self) -> bool {
        let Some(service) = self.service.take() else { return false };
        self.handle.with(self.key, |worker, now_ms| worker.complete(service, now_ms))
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.end();
    }
}

async fn replica(
    handle: Data<Handle>,
    request: HttpRequest,
    path: Path<(String, String)>,
    body: Bytes,
) -> HttpResponse {
    let Some(key) = handle.of(&request) else { return HttpResponse::NotFound().finish() };
    if handle.is_frozen(key) {
        return std::future::pending().await;
    }
    let (run, path) = path.into_inner();
    let header = |name: &str| request.headers().get(name).and_then(|value| value.to_str().ok());
    let id = header(REQUEST_ID).unwrap_or_default().to_owned();
    let once = (header(IDEMPOTENT) == Some("0")).then_some(id.as_str());
    let Ok(run) = u64::from_str_radix(&run, 16).map(run::Id) else { return not_run(&id) };
    let admitted = handle.with(key, |worker, now_ms| worker.admit(run, once, now_ms));
    let Some(service) = admitted else { return not_run(&id) };
    let flight = Flight { handle: handle.as_ref().clone(), key, service: Some(service) };
    rt::time::sleep(Duration::from_millis(service.takes_ms)).await;
    if handle.is_frozen(key) {
        return std::future::pending().await;
    }
    if !flight.land() {
        return server::cut_off();
    }
    HttpResponse::Ok().insert_header((REQUEST_ID, id.as_str())).json(Answer::new(run, path, &id, &body))
}

fn not_run(id: &str) -> HttpResponse {
    HttpResponse::ServiceUnavailable().insert_header((NOT_RUN, "1")).insert_header((REQUEST_ID, id)).finish()
}
