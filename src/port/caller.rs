//! HTTP server for callers.
//!
//! The server reads a request completely, sends its ticket and size to the reducer, waits for the completion, and
//! answers. A request that is malformed, or that the [`Gate`] refuses, never reaches the reducer, so it is known not to
//! have run.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use actix_web::dev::ServerHandle;
use actix_web::http::header::{self, HeaderMap, HeaderValue};
use actix_web::http::{ConnectionType, Method, StatusCode};
use actix_web::web::{self, Data, Payload};
use actix_web::{HttpRequest, HttpResponse, HttpResponseBuilder};

use super::Inbox;
use super::admission::{self, Gate, Refusal, Reservation};
use super::body::{Guard, Table};
use super::message::{self, Answer, Header, OUTCOME, REQUEST_ID, Request, TIMEOUT};
use super::pipeline::Turn;
use super::server;
use crate::core::event::Event;
use crate::core::exchange::{self, Completion, Refusal as NotRun};
use crate::error::{Error, Result};

/// Limits of the server for callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Longest time to read the head of a request.
    pub header_timeout: Duration,
    /// Idle time after which a connection is closed.
    pub keep_alive: Duration,
    /// Longest wait for requests in flight in a graceful shutdown, in whole seconds.
    pub drain_timeout: Duration,
    /// Number of threads that serve connections.
    pub threads: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_timeout: Duration::from_secs(5),
            keep_alive: Duration::from_secs(15),
            drain_timeout: Duration::from_secs(600),
            threads: 2,
        }
    }
}

/// Handle to a running server.
#[derive(Debug, Clone)]
pub struct Handle {
    server: ServerHandle,
    address: SocketAddr,
    is_stopping: Arc<AtomicBool>,
}

impl Handle {
    /// Address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening, and waits until all connections are closed.
    ///
    /// A graceful shutdown lets requests in flight finish within the drain timeout; each answer then closes its connection.
    pub async fn stop(&self, graceful: bool) {
        self.is_stopping.store(true, Ordering::Relaxed);
        self.server.stop(graceful).await;
    }
}

#[derive(Debug, Clone)]
struct Port {
    gate: Gate,
    inbox: Inbox,
    bodies: Table,
    is_stopping: Arc<AtomicBool>,
}

/// Starts the server; must be called inside an actix system. Connections over the limit of the gate wait to be accepted.
///
/// # Errors
///
/// The address cannot be bound.
pub fn serve(address: SocketAddr, limits: Limits, gate: Gate, inbox: Inbox, bodies: Table) -> Result<Handle> {
    let is_stopping = Arc::new(AtomicBool::new(false));
    let port = Port { gate: gate.clone(), inbox, bodies, is_stopping: Arc::clone(&is_stopping) };
    let setup = server::Setup {
        address,
        threads: limits.threads,
        head_timeout: limits.header_timeout,
        keep_alive: limits.keep_alive,
        drain_timeout: limits.drain_timeout,
    };
    let (server, address) = server::start(setup, gate, move |config| {
        config.app_data(Data::new(port.clone())).default_service(web::to(handle));
    })
    .map_err(|source| Error::io(format!("listening for callers on {address}"), source))?;
    let handle = Handle { server: server.handle(), address, is_stopping };
    actix_web::rt::spawn(async move {
        if let Err(error) = server.await {
            log::error!("the server for callers failed: {error}");
        }
    });
    Ok(handle)
}

async fn handle(request: HttpRequest, mut payload: Payload, port: Data<Port>) -> HttpResponse {
    let _answering = Turn::of(&request).map(|turn| turn.until_answered(request.headers()));
    let mut response = match port.submit(&request, &mut payload).await {
        Ok((guard, _reservation)) => port.wait_for_response(request.method(), guard).await,
        Err(error) => error.response(),
    };
    if port.is_stopping.load(Ordering::Relaxed) || port.gate.must_close(&request) {
        response.head_mut().set_connection_type(ConnectionType::Close);
    }
    if response.head().connection_type() == ConnectionType::Close {
        admission::leave_unread(request.headers(), payload);
    }
    response
}

impl Port {
    /// Reads a request and sends it to the reducer. The memory of its body is reserved until it has been answered.
    async fn submit(
        &self,
        head: &HttpRequest,
        payload: &mut Payload,
    ) -> std::result::Result<(Guard, Reservation), RequestError> {
        self.gate.admit(head).map_err(RequestError::Refused)?;
        let headers = head.headers();
        if headers.contains_key(header::TRANSFER_ENCODING) && headers.contains_key(header::CONTENT_LENGTH) {
            return Err(RequestError::Malformed("both Content-Length and Transfer-Encoding are set"));
        }
        let Some((service, path)) = message::split_target(head.uri().path()) else {
            return Err(RequestError::Malformed("the target is not /<service>/<path>"));
        };
        let timeout = parse_timeout(headers)?;
        let body = self.gate.read(head, payload).await.map_err(RequestError::Refused)?;
        let request = Request {
            method: head.method().clone(),
            service: service.to_owned(),
            path: path.to_owned(),
            query: head.uri().query().map(str::to_owned),
            headers: with_request_id(message::end_to_end_headers(headers)),
            body: body.bytes,
        };
        let event = exchange::Request {
            ticket: exchange::Ticket(0),
            id: exchange::Id(0),
            service: request.service.clone(),
            path: request.path.clone(),
            timeout,
            bytes: request.body.len() as u64,
            forwarded: false,
        };
        let guard = self.bodies.insert(request, &self.inbox);
        self.inbox.send(Event::Request(exchange::Request { ticket: guard.ticket(), ..event }));
        Ok((guard, body.reservation))
    }

    async fn wait_for_response(&self, method: &Method, mut guard: Guard) -> HttpResponse {
        match guard.wait_for_completion().await {
            Completion::Deliver { attempt } => match guard.take_answer(attempt) {
                Some(answer) => answer_response(method, answer),
                None => {
                    log::error!("the answer to attempt {attempt} of request {} is missing", guard.ticket().0);
                    unknown_response()
                }
            },
            Completion::NotRun { refusal, retry_after } => not_run_response(refusal, retry_after),
            Completion::Unknown => unknown_response(),
        }
    }
}

/// Reason why a request is rejected before it reaches the reducer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestError {
    Malformed(&'static str),
    Refused(Refusal),
}

impl RequestError {
    /// Response to the caller. It closes the connection, since the rest of the request is not read.
    fn response(self) -> HttpResponse {
        let (status, detail) = match self {
            Self::Malformed(detail) => (StatusCode::BAD_REQUEST, detail),
            Self::Refused(refusal) => (refusal.status(), refusal.detail()),
        };
        let mut response = HttpResponse::build(status);
        response.insert_header((OUTCOME, "not-run")).force_close();
        if status == StatusCode::SERVICE_UNAVAILABLE {
            response.insert_header((header::RETRY_AFTER, admission::RETRY_AFTER_S));
        }
        problem_response(response, status, detail)
    }
}

fn parse_timeout(headers: &HeaderMap) -> std::result::Result<Option<Duration>, RequestError> {
    let Some(value) = headers.get(TIMEOUT) else { return Ok(None) };
    let timeout_ms = value.to_str().ok().and_then(|text| text.trim().parse::<u32>().ok());
    let Some(timeout_ms) = timeout_ms else {
        return Err(RequestError::Malformed("x-timeout-ms is not a number of milliseconds"));
    };
    Ok(Some(Duration::from_millis(timeout_ms.into())))
}

fn with_request_id(mut headers: Vec<Header>) -> Vec<Header> {
    if !headers.iter().any(|(name, _)| *name == REQUEST_ID) {
        let id = format!("{:016x}", rand::random::<u64>());
        headers.extend(HeaderValue::try_from(id).map(|value| (REQUEST_ID, value)));
    }
    headers
}

/// Response with an upstream's answer. Answers to HEAD and answers with status 304 have no body, but their length would
/// be that of the omitted body, so they get no `Content-Length`.
fn answer_response(method: &Method, answer: Answer) -> HttpResponse {
    let mut response = HttpResponse::build(answer.status);
    for header in answer.headers {
        response.append_header(header);
    }
    if *method == Method::HEAD || answer.status == StatusCode::NOT_MODIFIED {
        return response.body(actix_web::body::None::new()).map_into_boxed_body();
    }
    response.body(answer.body)
}

fn not_run_response(refusal: NotRun, retry_after: Duration) -> HttpResponse {
    let (status, detail) = match refusal {
        NotRun::NoService => (StatusCode::NOT_FOUND, "there is no such service"),
        NotRun::NotReady => {
            (StatusCode::SERVICE_UNAVAILABLE, "this entry VM has no configuration or is shutting down")
        }
        NotRun::Overloaded => {
            (StatusCode::SERVICE_UNAVAILABLE, "no connection to a replica was free in time")
        }
        NotRun::NoReplica => (StatusCode::SERVICE_UNAVAILABLE, "no replica can be reached"),
    };
    let seconds = retry_after.as_millis().div_ceil(1000).max(1);
    let mut response = HttpResponse::build(status);
    response.insert_header((OUTCOME, "not-run")).insert_header((header::RETRY_AFTER, seconds.to_string()));
    problem_response(response, status, detail)
}

fn unknown_response() -> HttpResponse {
    let status = StatusCode::GATEWAY_TIMEOUT;
    let mut response = HttpResponse::build(status);
    response.insert_header((OUTCOME, "unknown"));
    problem_response(response, status, "the answer was lost; the request may have run")
}

/// Response with problem details (RFC 9457).
fn problem_response(mut response: HttpResponseBuilder, status: StatusCode, detail: &str) -> HttpResponse {
    let body = serde_json::json!({
        "type": "about:blank",
        "title": status.canonical_reason().unwrap_or_default(),
        "status": status.as_u16(),
        "detail": detail,
    });
    response.content_type("application/problem+json").body(body.to_string())
}
