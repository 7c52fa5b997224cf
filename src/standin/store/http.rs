//! HTTP server of the store.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use actix_web::web::{self, Bytes, Data, Path, Query, ServiceConfig};
use actix_web::{HttpResponse, rt};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use super::{Answer, Call, Counts, Faults, Limits, Store};
use crate::error::Result;
use crate::standin::{lock, server};
use crate::wire::store::{Entry, WriteReply};

/// Maximum wait of a watch in milliseconds.
const MAX_WATCH_MS: u64 = 60_000;

/// HTTP server of a store, which stops when it is dropped.
#[derive(Debug)]
pub struct Server {
    handle: Handle,
    guard: server::Guard,
}

/// Access to the store of a running server, for tests and runs with faults.
#[derive(Debug, Clone)]
pub struct Handle {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    store: Mutex<Store>,
    started_at: Instant,
    changed: Notify,
}

impl Server {
    /// Serves an empty store at `address`; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// The address is in use or is not a local address.
    pub fn start(address: SocketAddr, limits: Limits) -> Result<Self> {
        let store = Mutex::new(Store::new(limits));
        let shared = Arc::new(Shared { store, started_at: Instant::now(), changed: Notify::new() });
        let handle = Handle { shared };
        let data = Data::new(handle.clone());
        let routes = move |config: &mut ServiceConfig| {
            config
                .app_data(data.clone())
                .service(
                    web::resource("/v1/kv/{key:.*}")
                        .route(web::get().to(get))
                        .route(web::put().to(put))
                        .route(web::delete().to(delete)),
                )
                .route("/v1/watch/{key:.*}", web::get().to(watch))
                .route("/v1/lease", web::post().to(grant))
                .route("/v1/lease/{lease}", web::post().to(renew));
        };
        let guard = server::serve(server::bind([address])?, routes, || ())?;
        Ok(Self { handle, guard })
    }

    /// Address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.guard.address()
    }

    /// Returns a handle to inspect the store and to set faults.
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }
}

impl Handle {
    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        lock(&self.shared.store).faults = faults;
    }

    /// Faults that are injected at present.
    pub fn faults(&self) -> Faults {
        lock(&self.shared.store).faults
    }

    /// Number of calls since the start, by kind.
    pub fn counts(&self) -> Counts {
        lock(&self.shared.store).counts()
    }

    /// Keys in lexical order.
    pub fn keys(&self) -> Vec<String> {
        lock(&self.shared.store).keys()
    }

    /// Changes a stored value in place, without a new revision; false if there is no such key.
    pub fn corrupt(&self, key: impl AsRef<str>, change: impl FnOnce(&mut Vec<u8>)) -> bool {
        lock(&self.shared.store).corrupt(key, change)
    }

    fn call(&self, call: Call) -> (Answer, Duration) {
        let now_ms = self.shared.started_at.elapsed().as_millis() as u64;
        let mut store = lock(&self.shared.store);
        let answer = store.call(call, now_ms);
        (answer, Duration::from_millis(store.faults.delay_ms))
    }

    async fn answer(&self, call: Call) -> HttpResponse {
        let (answer, delay) = self.call(call);
        if matches!(answer, Answer::Written { .. } | Answer::Deleted | Answer::Lost) {
            self.shared.changed.notify_waiters();
        }
        if !delay.is_zero() {
            rt::time::sleep(delay).await;
        }
        respond(answer)
    }
}

#[derive(Debug, Deserialize)]
struct GetQuery {
    #[serde(default)]
    newer_than: u64,
    #[serde(default)]
    wait_ms: u64,
}

#[derive(Debug, Deserialize)]
struct PutQuery {
    expect: Option<u64>,
    lease: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct LeaseQuery {
    ttl_ms: u64,
}

#[derive(Debug, Serialize)]
struct LeaseBody {
    lease: u64,
}

async fn get(handle: Data<Handle>, key: Path<String>, query: Query<GetQuery>) -> HttpResponse {
    handle.answer(Call::Get { key: key.into_inner(), newer_than: query.newer_than }).await
}

async fn put(handle: Data<Handle>, key: Path<String>, query: Query<PutQuery>, value: Bytes) -> HttpResponse {
    let (expect, lease) = (query.expect, query.lease);
    handle.answer(Call::Put { key: key.into_inner(), expect, lease, value: value.to_vec() }).await
}

async fn delete(handle: Data<Handle>, key: Path<String>) -> HttpResponse {
    handle.answer(Call::Delete { key: key.into_inner() }).await
}

async fn grant(handle: Data<Handle>, query: Query<LeaseQuery>) -> HttpResponse {
    handle.answer(Call::GrantLease { ttl_ms: query.ttl_ms }).await
}

async fn renew(handle: Data<Handle>, lease: Path<u64>) -> HttpResponse {
    handle.answer(Call::RenewLease { lease: lease.into_inner() }).await
}

async fn watch(handle: Data<Handle>, key: Path<String>, query: Query<GetQuery>) -> HttpResponse {
    let wait = Duration::from_millis(query.wait_ms.min(MAX_WATCH_MS));
    let deadline = rt::time::Instant::now() + wait;
    let mut is_first = true;
    loop {
        let changed = handle.shared.changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        let call = Call::Watch { key: key.clone(), newer_than: query.newer_than, is_first };
        let (answer, _) = handle.call(call);
        is_first = false;
        if !matches!(answer, Answer::Unchanged | Answer::Missing) {
            return respond(answer);
        }
        if tokio::time::timeout_at(deadline, changed).await.is_err() {
            return respond(answer);
        }
    }
}

fn respond(answer: Answer) -> HttpResponse {
    match answer {
        Answer::Value { revision, value } => HttpResponse::Ok().json(Entry::new(revision, value)),
        Answer::Unchanged => HttpResponse::NoContent().finish(),
        Answer::Missing => HttpResponse::NotFound().finish(),
        Answer::Written { revision } => HttpResponse::Ok().json(WriteReply { revision }),
        Answer::Conflict { revision } => HttpResponse::Conflict().json(WriteReply { revision }),
        Answer::Deleted => HttpResponse::NoContent().finish(),
        Answer::Lease { lease } => HttpResponse::Ok().json(LeaseBody { lease }),
        Answer::TooLarge => HttpResponse::PayloadTooLarge().finish(),
        Answer::OverRate => HttpResponse::TooManyRequests().finish(),
        Answer::Outage => HttpResponse::ServiceUnavailable().finish(),
        Answer::Lost => server::truncated_response(),
    }
}
