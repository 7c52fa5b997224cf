//! HTTP server for callers of the job interface, and the readiness check of the load balancer.

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

/// How long a caller without a stated timeout waits.
const TIMEOUT_DEFAULT: Duration = Duration::from_secs(3);

/// Longest time to read a request.
const READ_TIME: Duration = Duration::from_secs(3);

/// How long an idle connection is kept.
const KEEP_ALIVE: Duration = Duration::from_secs(60);

/// Taken off the caller's timeout, so that the answer still reaches it.
const RETURN_TIME: Duration = Duration::from_millis(50);

/// Longest wait for open connections in a graceful stop, in seconds.
const DRAIN_S: u64 = 3;

/// Addresses and limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Setup {
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address of the readiness check.
    pub ready: SocketAddr,
    /// Largest body of a request in bytes.
    pub body: usize,
}

/// A running server.
#[derive(Debug, Clone)]
pub struct Handle {
    server: ServerHandle,
    stopping: Arc<AtomicBool>,
}

impl Handle {
    /// Lets each further answer close its connection.
    pub fn close_connections(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Stops listening, and returns when all connections have ended.
    pub async fn stop(&self) {
        self.close_connections();
        self.server.stop(true).await;
    }
}

#[derive(Clone)]
struct Port {
    setup: Setup,
    table: Table,
    ready: Arc<AtomicBool>,
    stopping: Arc<AtomicBool>,
}

/// Starts to serve; must be called inside an actix system.
///
/// # Errors
///
/// An address cannot be used.
pub fn serve(setup: Setup, table: Table, ready: Arc<AtomicBool>) -> Result<Handle> {
    let stopping = Arc::new(AtomicBool::new(false));
    let port = Port { setup, table, ready, stopping: Arc::clone(&stopping) };
    let failed = |address| move |source| Error::io(format!("listening for callers on {address}"), source);
    let server = HttpServer::new(move || {
        App::new().app_data(Data::new(port.clone())).default_service(web::to(handle))
    })
    .workers(1)
    .client_request_timeout(READ_TIME)
    .keep_alive(KeepAlive::Timeout(KEEP_ALIVE))
    .shutdown_timeout(DRAIN_S)
    .h1_allow_half_closed(false)
    .disable_signals()
    .bind(setup.caller)
    .map_err(failed(setup.caller))?
    .bind(setup.ready)
    .map_err(failed(setup.ready))?
    .run();
    let handle = Handle { server: server.handle(), stopping };
    actix_web::rt::spawn(async move {
        if let Err(error) = server.await {
            log::error!("the server for callers failed: {error}");
        }
    });
    Ok(handle)
}

async fn handle(request: HttpRequest, payload: Payload, port: Data<Port>) -> HttpResponse {
    if request.app_config().local_addr() == port.setup.ready {
        let is_ready = port.ready.load(Ordering::Relaxed);
        let status = if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        return HttpResponse::new(status);
    }
    let mut response = match port.read(&request, payload).await {
        Ok(ask) => {
            let patience = ask.timeout.saturating_sub(RETURN_TIME);
            respond(port.table.ask(ask, false, patience).await)
        }
        Err(response) => response,
    };
    if port.stopping.load(Ordering::Relaxed) {
        response.head_mut().set_connection_type(actix_web::http::ConnectionType::Close);
    }
    response
}

impl Port {
    async fn read(
        &self,
        request: &HttpRequest,
        payload: Payload,
    ) -> std::result::Result<Request, HttpResponse> {
        let verb = match *request.method() {
            Method::POST => Verb::Submit(self.body(payload).await?),
            Method::GET => Verb::Read,
            Method::DELETE => Verb::Cancel,
            _ => return Err(HttpResponse::new(StatusCode::METHOD_NOT_ALLOWED)),
        };
        let host = request.connection_info().host().to_owned();
        let host = host.split(':').next().unwrap_or_default().to_owned();
        Ok(Request { host, path: request.path().to_owned(), verb, timeout: timeout(request) })
    }

    async fn body(
        &self,
        payload: Payload,
    ) -> std::result::Result<crate::core::work::spec::Spec, HttpResponse> {
        let limit = self.setup.body;
        let reading = tokio::time::timeout(READ_TIME, payload.to_bytes_limited(limit));
        let bytes = match reading.await {
            Err(_) => return Err(HttpResponse::new(StatusCode::REQUEST_TIMEOUT)),
            Ok(Err(_)) => return Err(problem(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large")),
            Ok(Ok(Err(_))) => return Err(problem(StatusCode::BAD_REQUEST, "the body is cut off")),
            Ok(Ok(Ok(bytes))) => bytes,
        };
        job::decode(&bytes).map_err(|reason| problem(StatusCode::BAD_REQUEST, reason))
    }
}

fn timeout(request: &HttpRequest) -> Duration {
    let value = request.headers().get(TIMEOUT).and_then(|value| value.to_str().ok());
    value.and_then(|text| text.parse().ok()).map_or(TIMEOUT_DEFAULT, Duration::from_millis)
}

#[derive(Serialize)]
struct State {
    state: &'static str,
}

#[derive(Serialize)]
struct Pending {
    pending: u64,
}

#[derive(Serialize)]
struct Problem {
    error: String,
}

fn problem(status: StatusCode, error: impl Into<String>) -> HttpResponse {
    HttpResponse::build(status).json(Problem { error: error.into() })
}

fn respond(answer: Answer) -> HttpResponse {
    match answer {
        Answer::Accepted | Answer::Cancelled => HttpResponse::new(StatusCode::OK),
        Answer::Phase(phase) => HttpResponse::Ok().json(State { state: word(phase) }),
        Answer::Pending(pending) => HttpResponse::Ok().json(Pending { pending }),
        Answer::UnknownJob => HttpResponse::new(StatusCode::GONE),
        Answer::UnknownQueue => HttpResponse::new(StatusCode::NOT_FOUND),
        Answer::Refused(seconds) => HttpResponse::ServiceUnavailable()
            .insert_header((header::RETRY_AFTER, seconds.to_string()))
            .finish(),
        Answer::Unknown => HttpResponse::new(StatusCode::GATEWAY_TIMEOUT),
        Answer::Malformed(reason) => problem(StatusCode::BAD_REQUEST, reason),
    }
}

fn word(phase: Phase) -> &'static str {
    match phase {
        Phase::Queued => "queued",
        Phase::Running => "running",
        Phase::Completed => "completed",
        Phase::Failed => "failed",
        Phase::Cancelled => "cancelled",
    }
}
