//! HTTP servers of the job interface, and of the readiness check for the load balancer.
//!
//! Bodies are read through the [`Gate`], which reserves their memory. A request that it refuses never reaches the reducer,
//! and its connection is closed, since the rest of the request is not read.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use actix_web::dev::ServerHandle;
use actix_web::http::{ConnectionType, Method, StatusCode, header};
use actix_web::web::{self, Data, Payload};
use actix_web::{App, HttpRequest, HttpResponse, HttpServer};
use serde::Serialize;

use super::job;
use crate::core::work::request::{Answer, Phase, Request, Verb};
use crate::error::{Error, Result};
use crate::port::admission::{self, Gate, Refusal, Reservation};
use crate::port::message::TIMEOUT;
use crate::port::pending::Table;
use crate::port::pipeline::Turn;
use crate::port::server;

/// Timeout of a request whose caller does not state one.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest time to read the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest wait for a caller to close a connection that the server has ended.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Limit on connections of the readiness check.
const MAX_READINESS_CONNECTIONS: usize = 64;

/// Idle time after which a connection is closed.
const KEEP_ALIVE: Duration = Duration::from_secs(60);

/// Subtracted from the caller's timeout, so that the answer reaches the caller in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(50);

/// Longest wait for open connections in a graceful shutdown.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(3);

/// Addresses of the servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Setup {
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address of the readiness check.
    pub readiness_address: SocketAddr,
}

/// Handle to the running servers.
#[derive(Debug, Clone)]
pub struct Handle {
    callers: ServerHandle,
    readiness: ServerHandle,
    is_stopping: Arc<AtomicBool>,
}

impl Handle {
    /// Makes every later answer close its connection.
    pub fn close_connections(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }

    /// Stops listening, and waits until all connections are closed or the shutdown times out.
    pub async fn stop(&self) {
        self.close_connections();
        tokio::join!(self.callers.stop(true), self.readiness.stop(true));
    }
}

#[derive(Clone)]
struct Port {
    gate: Gate,
    pending: Table,
    is_stopping: Arc<AtomicBool>,
}

/// Starts the servers; must be called inside an actix system.
///
/// The readiness check has a server of its own, so that the limit on caller connections does not delay it.
///
/// # Errors
///
/// An address cannot be bound.
pub fn serve(setup: Setup, gate: Gate, pending: Table, ready: Arc<AtomicBool>) -> Result<Handle> {
    let is_stopping = Arc::new(AtomicBool::new(false));
    let port = Port { gate: gate.clone(), pending, is_stopping: Arc::clone(&is_stopping) };
    let bind_error = |address| move |source| Error::io(format!("listening for callers on {address}"), source);
    let callers_setup = server::Setup {
        address: setup.caller_address,
        threads: 1,
        head_timeout: HEAD_TIMEOUT,
        keep_alive: KEEP_ALIVE,
        drain_timeout: DRAIN_TIMEOUT,
    };
    let (callers, _) = server::start(callers_setup, gate, move |config| {
        config.app_data(Data::new(port.clone())).default_service(web::to(handle));
    })
    .map_err(bind_error(setup.caller_address))?;
    let readiness = HttpServer::new(move || {
        App::new().app_data(Data::from(Arc::clone(&ready))).default_service(web::to(check_readiness))
    })
    .workers(1)
    .max_connections(MAX_READINESS_CONNECTIONS)
    .client_request_timeout(HEAD_TIMEOUT)
    .client_disconnect_timeout(DISCONNECT_TIMEOUT)
    .shutdown_timeout(DRAIN_TIMEOUT.as_secs())
    .disable_signals()
    .bind(setup.readiness_address)
    .map_err(bind_error(setup.readiness_address))?
    .run();
    let handle = Handle { callers: callers.handle(), readiness: readiness.handle(), is_stopping };
    for (name, server) in [("callers", callers), ("the readiness check", readiness)] {
        actix_web::rt::spawn(async move {
            if let Err(error) = server.await {
                log::error!("the server for {name} failed: {error}");
            }
        });
    }
    Ok(handle)
}

async fn check_readiness(ready: Data<AtomicBool>) -> HttpResponse {
    let is_ready = ready.load(Ordering::Relaxed);
    HttpResponse::new(if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
}

async fn handle(request: HttpRequest, mut payload: Payload, port: Data<Port>) -> HttpResponse {
    let _answering = Turn::of(&request).map(|turn| turn.until_answered(request.headers()));
    let mut response = match port.read_request(&request, &mut payload).await {
        Ok((accepted, _reservation)) => {
            let timeout = accepted.timeout.saturating_sub(ANSWER_MARGIN);
            answer_response(port.pending.request(accepted, false, timeout).await)
        }
        Err(response) => response,
    };
    let has_unread_body = *request.method() != Method::POST && admission::has_body(request.headers());
    if has_unread_body || port.is_stopping.load(Ordering::Relaxed) || port.gate.must_close(&request) {
        response.head_mut().set_connection_type(ConnectionType::Close);
    }
    if response.head().connection_type() == ConnectionType::Close {
        admission::leave_unread(request.headers(), payload);
    }
    response
}

impl Port {
    /// Reads a request, and its body if its method has one. The reservation is kept until the answer, since the reducer
    /// holds the request until then.
    async fn read_request(
        &self,
        request: &HttpRequest,
        payload: &mut Payload,
    ) -> std::result::Result<(Request, Option<Reservation>), HttpResponse> {
        self.gate.admit(request).map_err(refusal_response)?;
        let (verb, reservation) = match *request.method() {
            Method::POST => {
                let body = self.gate.read(request, payload).await.map_err(refusal_response)?;
                let spec = job::decode(&body.bytes)
                    .map_err(|reason| problem_response(StatusCode::BAD_REQUEST, reason))?;
                (Verb::Submit(spec), Some(body.reservation))
            }
            Method::GET => (Verb::Read, None),
            Method::DELETE => (Verb::Cancel, None),
            _ => return Err(HttpResponse::new(StatusCode::METHOD_NOT_ALLOWED)),
        };
        let host = request.connection_info().host().to_owned();
        let host = host.split(':').next().unwrap_or_default().to_owned();
        let (path, timeout) = (request.path().to_owned(), caller_timeout(request));
        Ok((Request { host, path, verb, timeout, min_config: 0 }, reservation))
    }
}

/// Answer to a request that was refused before it reached the reducer. It closes the connection, since the rest of the
/// request is not read.
fn refusal_response(refusal: Refusal) -> HttpResponse {
    let status = refusal.status();
    let mut response = problem_response(status, refusal.detail());
    if status == StatusCode::SERVICE_UNAVAILABLE {
        response.headers_mut().insert(header::RETRY_AFTER, admission::RETRY_AFTER_S.into());
    }
    response.head_mut().set_connection_type(ConnectionType::Close);
    response
}

fn caller_timeout(request: &HttpRequest) -> Duration {
    let value = request.headers().get(TIMEOUT).and_then(|value| value.to_str().ok());
    value.and_then(|text| text.parse().ok()).map_or(DEFAULT_TIMEOUT, Duration::from_millis)
}

#[derive(Serialize)]
struct StateBody {
    state: &'static str,
}

#[derive(Serialize)]
struct PendingBody {
    pending: u64,
}

#[derive(Serialize)]
struct ProblemBody {
    error: String,
}

fn problem_response(status: StatusCode, error: impl Into<String>) -> HttpResponse {
    HttpResponse::build(status).json(ProblemBody { error: error.into() })
}

fn answer_response(answer: Answer) -> HttpResponse {
    match answer {
        Answer::Accepted | Answer::Cancelled => HttpResponse::new(StatusCode::OK),
        Answer::Phase(phase) => HttpResponse::Ok().json(StateBody { state: phase_name(phase) }),
        Answer::Pending(pending) => HttpResponse::Ok().json(PendingBody { pending }),
        Answer::UnknownJob => HttpResponse::new(StatusCode::GONE),
        Answer::UnknownQueue => HttpResponse::new(StatusCode::NOT_FOUND),
        Answer::Refused(seconds) => HttpResponse::ServiceUnavailable()
            .insert_header((header::RETRY_AFTER, seconds.to_string()))
            .finish(),
        Answer::Unknown => HttpResponse::new(StatusCode::GATEWAY_TIMEOUT),
        Answer::Malformed(reason) => problem_response(StatusCode::BAD_REQUEST, reason),
    }
}

fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Queued => "queued",
        Phase::Running => "running",
        Phase::Completed => "completed",
        Phase::Failed => "failed",
        Phase::Cancelled => "cancelled",
    }
}
