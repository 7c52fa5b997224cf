//! HTTP server of the job interface, and of the readiness check for the load balancer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use actix_web::dev::ServerHandle;
use actix_web::http::{KeepAlive, Method, StatusCode, header};
use actix_web::web::{self, Data, Payload};
use actix_web::{App, HttpRequest, HttpResponse, HttpServer};
use serde::Serialize;

use super::job;
use crate::core::work::request::{Answer, Phase, Request, Verb};
use crate::error::{Error, Result};
use crate::port::message::TIMEOUT;
use crate::port::pending::Table;

/// Timeout of a request whose caller does not state one.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest time to read the head of a request, and again to read its body.
const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// Idle time after which a connection is closed.
const KEEP_ALIVE: Duration = Duration::from_secs(60);

/// Subtracted from the caller's timeout, so that the answer reaches the caller in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(50);

/// Longest wait for open connections in a graceful shutdown, in seconds.
const DRAIN_TIMEOUT_S: u64 = 3;

/// Addresses and limits of the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Setup {
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address of the readiness check.
    pub readiness_address: SocketAddr,
    /// Size limit of a request body in bytes.
    pub max_body_bytes: usize,
}

/// Handle to a running server.
#[derive(Debug, Clone)]
pub struct Handle {
    server: ServerHandle,
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
        self.server.stop(true).await;
    }
}

#[derive(Clone)]
struct Port {
    setup: Setup,
    pending: Table,
    ready: Arc<AtomicBool>,
    is_stopping: Arc<AtomicBool>,
}

/// Starts the server; must be called inside an actix system.
///
/// # Errors
///
/// An address cannot be bound.
pub fn serve(setup: Setup, pending: Table, ready: Arc<AtomicBool>) -> Result<Handle> {
    let is_stopping = Arc::new(AtomicBool::new(false));
    let port = Port { setup, pending, ready, is_stopping: Arc::clone(&is_stopping) };
    let bind_error = |address| move |source| Error::io(format!("listening for callers on {address}"), source);
    let server = HttpServer::new(move || {
        App::new().app_data(Data::new(port.clone())).default_service(web::to(handle))
    })
    .workers(1)
    .client_request_timeout(READ_TIMEOUT)
    .keep_alive(KeepAlive::Timeout(KEEP_ALIVE))
    .shutdown_timeout(DRAIN_TIMEOUT_S)
    .h1_allow_half_closed(false)
    .disable_signals()
    .bind(setup.caller_address)
    .map_err(bind_error(setup.caller_address))?
    .bind(setup.readiness_address)
    .map_err(bind_error(setup.readiness_address))?
    .run();
    let handle = Handle { server: server.handle(), is_stopping };
    actix_web::rt::spawn(async move {
        if let Err(error) = server.await {
            log::error!("the server for callers failed: {error}");
        }
    });
    Ok(handle)
}

async fn handle(request: HttpRequest, payload: Payload, port: Data<Port>) -> HttpResponse {
    if request.app_config().local_addr() == port.setup.readiness_address {
        let is_ready = port.ready.load(Ordering::Relaxed);
        let status = if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        return HttpResponse::new(status);
    }
    let mut response = match port.read_request(&request, payload).await {
        Ok(request) => {
            let timeout = request.timeout.saturating_sub(ANSWER_MARGIN);
            answer_response(port.pending.request(request, false, timeout).await)
        }
        Err(response) => response,
    };
    if port.is_stopping.load(Ordering::Relaxed) {
        response.head_mut().set_connection_type(actix_web::http::ConnectionType::Close);
    }
    response
}

impl Port {
    async fn read_request(
        &self,
        request: &HttpRequest,
        payload: Payload,
    ) -> std::result::Result<Request, HttpResponse> {
        let verb = match *request.method() {
            Method::POST => Verb::Submit(self.read_job(payload).await?),
            Method::GET => Verb::Read,
            Method::DELETE => Verb::Cancel,
            _ => return Err(HttpResponse::new(StatusCode::METHOD_NOT_ALLOWED)),
        };
        let host = request.connection_info().host().to_owned();
        let host = host.split(':').next().unwrap_or_default().to_owned();
        let (path, timeout) = (request.path().to_owned(), caller_timeout(request));
        Ok(Request { host, path, verb, timeout, min_config: 0 })
    }

    async fn read_job(
        &self,
        payload: Payload,
    ) -> std::result::Result<crate::core::work::spec::Spec, HttpResponse> {
        let limit = self.setup.max_body_bytes;
        let reading = tokio::time::timeout(READ_TIMEOUT, payload.to_bytes_limited(limit));
        let bytes = match reading.await {
            Err(_) => return Err(HttpResponse::new(StatusCode::REQUEST_TIMEOUT)),
            Ok(Err(_)) => {
                return Err(problem_response(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"));
            }
            Ok(Ok(Err(_))) => return Err(problem_response(StatusCode::BAD_REQUEST, "the body is cut off")),
            Ok(Ok(Ok(bytes))) => bytes,
        };
        job::decode(&bytes).map_err(|reason| problem_response(StatusCode::BAD_REQUEST, reason))
    }
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
