//! HTTP server of the workers of a run, which listens on one address per worker.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use actix_web::web::{self, Bytes, Data, Path, ServiceConfig};
use actix_web::{HttpRequest, HttpResponse, rt};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64;

use super::profile::{Faults, Profile};
use super::{Execution, Shared, Worker};
use crate::core::{control, run};
use crate::error::Result;
use crate::hash::Map;
use crate::standin::{lock, server};
use crate::wire::control::{Call, NOT_RUN, PATH, Reply};

/// Header with the identity of a request.
pub const REQUEST_ID: &str = "x-request-id";
/// Header that is `0` if a request must not be executed twice.
pub const IDEMPOTENT: &str = "x-idempotent";

/// Index of a worker in its [`Server`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(pub u16);

/// Body of a replica's answer, which identifies the replica and the request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Identity of the replica.
    pub run: u64,
    /// Path of the request at the replica.
    pub path: String,
    /// Identity of the request.
    pub request_id: String,
    /// Size of the request's body in bytes.
    pub bytes: u64,
    /// xxh3 hash of the request's body.
    pub checksum: u64,
}

impl Answer {
    /// Builds the answer of replica `run` to a request with path `path`, identity `id` and body `body`.
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

/// HTTP server of the workers, which stops when it is dropped.
#[derive(Debug)]
pub struct Server {
    handle: Handle,
    guard: server::Guard,
}

/// Access to the workers of a running server, for tests and runs with faults.
#[derive(Debug, Clone)]
pub struct Handle {
    workers: Arc<[HostedWorker]>,
    keys: Arc<Map<SocketAddr, Key>>,
    started_at: Instant,
}

#[derive(Debug)]
struct HostedWorker {
    worker: Mutex<Worker>,
    changed: Notify,
}

impl Server {
    /// Serves a worker of each profile at its address; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// An address is in use or is not a local address.
    pub fn start(workers: impl IntoIterator<Item = (SocketAddr, Profile)>, shared: Shared) -> Result<Self> {
        let (addresses, profiles): (Vec<_>, Vec<_>) = workers.into_iter().unzip();
        let listeners = server::bind(addresses)?;
        let locals = listeners.iter().enumerate().filter_map(|(index, listener)| {
            let address = listener.local_addr().ok()?;
            Some((address, Key(index as u16)))
        });
        let keys = Arc::new(locals.collect());
        let host = |profile| HostedWorker {
            worker: Mutex::new(Worker::new(profile, shared.clone())),
            changed: Notify::new(),
        };
        let workers = profiles.into_iter().map(host).collect();
        let handle = Handle { workers, keys, started_at: Instant::now() };
        let data = Data::new(handle.clone());
        let routes = move |config: &mut ServiceConfig| {
            config
                .app_data(data.clone())
                .route(PATH, web::post().to(control))
                .route("/replica/{run}/{path:.*}", web::route().to(replica));
        };
        let timers = handle.clone();
        let guard = server::serve(listeners, routes, move || timers.spawn_timers())?;
        Ok(Self { handle, guard })
    }

    /// Addresses of the workers, in the order of their keys.
    pub fn addresses(&self) -> &[SocketAddr] {
        self.guard.addresses()
    }

    /// Returns a handle to inspect the workers and to inject faults.
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }
}

impl Handle {
    /// Keys of all workers.
    pub fn keys(&self) -> impl Iterator<Item = Key> + use<> {
        (0..self.workers.len()).map(|index| Key(index as u16))
    }

    /// Name of a worker.
    pub fn name(&self, key: Key) -> String {
        self.update(key, |worker, _| worker.name().to_owned())
    }

    /// Number of a worker's running instance.
    pub fn instance(&self, key: Key) -> u64 {
        self.update(key, |worker, _| worker.instance())
    }

    /// Replaces the injected faults of a worker.
    pub fn set_faults(&self, key: Key, faults: Faults) {
        self.update(key, |worker, _| worker.faults = faults);
    }

    /// Replaces a worker's instance by a new one without work; returns the number of the new instance.
    pub fn restart(&self, key: Key) -> u64 {
        self.update(key, Worker::restart)
    }

    /// Stops a worker's VM until [`Handle::restart`]; all work is lost.
    pub fn power_off(&self, key: Key) {
        self.update(key, Worker::power_off);
    }

    fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// Calls `update` with a worker and the time, and wakes everything that waits for a change of the worker.
    fn update<T>(&self, key: Key, update: impl FnOnce(&mut Worker, u64) -> T) -> T {
        let hosted = &self.workers[usize::from(key.0)];
        let result = update(&mut lock(&hosted.worker), self.now_ms());
        hosted.changed.notify_waiters();
        result
    }

    /// Calls `inspect` with a worker and the time, and wakes nothing.
    fn inspect<T>(&self, key: Key, inspect: impl FnOnce(&mut Worker, u64) -> T) -> T {
        inspect(&mut lock(&self.workers[usize::from(key.0)].worker), self.now_ms())
    }

    fn key_for(&self, request: &HttpRequest) -> Option<Key> {
        self.keys.get(&request.app_config().local_addr()).copied()
    }

    fn is_frozen(&self, key: Key) -> bool {
        self.inspect(key, |worker, _| worker.faults.is_frozen)
    }

    /// Spawns a task per worker, which advances the worker at the time of each change that needs no call.
    fn spawn_timers(&self) {
        for key in self.keys() {
            let handle = self.clone();
            rt::spawn(async move {
                loop {
                    handle.run_timer(key).await;
                }
            });
        }
    }

    /// Waits until the next change of a worker is due, and advances the worker; returns early if the worker is updated.
    async fn run_timer(&self, key: Key) {
        let changed = self.workers[usize::from(key.0)].changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        let change_ms = self.inspect(key, |worker, _| worker.next_change_ms());
        let Some(change_ms) = change_ms else { return changed.await };
        if tokio::time::timeout_at(self.instant_at(change_ms), changed).await.is_err() {
            self.update(key, Worker::advance);
        }
    }

    /// Waits until the reply to a call must be sent.
    async fn wait_for_reply(&self, key: Key, poll: &super::Poll) {
        loop {
            let changed = self.workers[usize::from(key.0)].changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if self.inspect(key, |worker, now_ms| worker.is_reply_due(poll, now_ms)) {
                return;
            }
            // A timeout is not an error: the next pass of the loop finds that the reply is due.
            let _ = tokio::time::timeout_at(self.instant_at(poll.deadline_ms()), changed).await;
        }
    }

    fn instant_at(&self, time_ms: u64) -> rt::time::Instant {
        rt::time::Instant::from_std(self.started_at + Duration::from_millis(time_ms))
    }
}

async fn control(handle: Data<Handle>, request: HttpRequest, body: Bytes) -> HttpResponse {
    let Some(key) = handle.key_for(&request) else { return HttpResponse::NotFound().finish() };
    if handle.is_frozen(key) {
        return std::future::pending().await;
    }
    let call: control::Call = match serde_json::from_slice::<Call>(&body) {
        Ok(call) => call.into(),
        Err(error) => return HttpResponse::BadRequest().body(error.to_string()),
    };
    let poll = handle.update(key, |worker, now_ms| worker.handle_call(call, now_ms));
    handle.wait_for_reply(key, &poll).await;
    let reply = handle.update(key, |worker, now_ms| worker.reply(&poll, now_ms));
    if handle.is_frozen(key) {
        return std::future::pending().await;
    }
    match reply {
        Some(reply) => HttpResponse::Ok().json(Reply::from(reply)),
        None => server::truncated_response(),
    }
}

/// Request in flight. It occupies a connection of the worker until it is dropped, also if the caller disconnects.
struct InFlight {
    handle: Handle,
    key: Key,
    execution: Option<Execution>,
}

impl InFlight {
    /// Ends the request; false if the worker has restarted, so that there is no answer.
    fn complete(mut self) -> bool {
        self.finish()
    }

    fn finish(&mut self) -> bool {
        let Some(execution) = self.execution.take() else { return false };
        self.handle.update(self.key, |worker, now_ms| worker.complete(execution, now_ms))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.finish();
    }
}

async fn replica(
    handle: Data<Handle>,
    request: HttpRequest,
    path: Path<(String, String)>,
    body: Bytes,
) -> HttpResponse {
    let Some(key) = handle.key_for(&request) else { return HttpResponse::NotFound().finish() };
    if handle.is_frozen(key) {
        return std::future::pending().await;
    }
    let (run, path) = path.into_inner();
    let header = |name: &str| request.headers().get(name).and_then(|value| value.to_str().ok());
    let id = header(REQUEST_ID).unwrap_or_default().to_owned();
    let non_idempotent_id = (header(IDEMPOTENT) == Some("0")).then_some(id.as_str());
    let Ok(run) = u64::from_str_radix(&run, 16).map(run::Id) else { return not_run_response(&id) };
    let admitted = handle.update(key, |worker, now_ms| worker.admit(run, non_idempotent_id, now_ms));
    let Some(execution) = admitted else { return not_run_response(&id) };
    let in_flight = InFlight { handle: handle.as_ref().clone(), key, execution: Some(execution) };
    rt::time::sleep(Duration::from_millis(execution.duration_ms)).await;
    if handle.is_frozen(key) {
        return std::future::pending().await;
    }
    if !in_flight.complete() {
        return server::truncated_response();
    }
    HttpResponse::Ok().insert_header((REQUEST_ID, id.as_str())).json(Answer::new(run, path, &id, &body))
}

fn not_run_response(id: &str) -> HttpResponse {
    HttpResponse::ServiceUnavailable().insert_header((NOT_RUN, "1")).insert_header((REQUEST_ID, id)).finish()
}
