//! HTTP server of the administration API for operators.
//!
//! Each call gets a ticket, is sent to the reducer as an event, and waits for the answer with the same ticket. If the
//! operator disconnects or the call times out, the pending call is dropped, which removes its ticket.

use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use actix_web::dev::Server;
use actix_web::http::StatusCode;
use actix_web::{App, HttpRequest, HttpResponse, HttpServer, error, web};
use tokio::sync::oneshot;

use super::Inbox;
use crate::core::admin::{Answer, Command, Ticket};
use crate::core::event::Event;
use crate::error::{Error, Result};
use crate::hash::Map;
use crate::telemetry::metric::Metrics;
use crate::timeline::writer::Writer;
use crate::wire::admin::{self as wire, Problem, Success};

/// Size limit of a document in bytes, equal to the size limit of a value in the store.
const MAX_DOCUMENT_BYTES: usize = 1_000_000;

/// Limit on open connections of operators; with a document on each, they take 72 MB, which fits a VM of 160 MB.
const MAX_CONNECTIONS: usize = 72;

/// Parts of the process that the port uses.
#[derive(Debug, Clone)]
pub struct Context {
    /// Receives the commands as events.
    pub inbox: Inbox,
    /// Timeline of this process.
    pub timeline: Writer,
    /// Metrics of this process.
    pub metrics: Metrics,
    /// Whether the readiness check succeeds.
    pub ready: Arc<AtomicBool>,
    /// Longest wait of a call for the reducer's answer.
    pub timeout: Duration,
}

/// The administration port of one process; clones share their pending calls.
#[derive(Debug, Clone)]
pub struct Port {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    context: Context,
    next_ticket: AtomicU64,
    pending: Mutex<Map<Ticket, oneshot::Sender<Answer>>>,
}

impl Port {
    /// Creates a port that does not listen yet.
    pub fn new(context: Context) -> Self {
        let shared = Shared { context, next_ticket: AtomicU64::new(1), pending: Mutex::default() };
        Self { shared: Arc::new(shared) }
    }

    /// Passes an answer to the pending call with this ticket; the answer is dropped if no such call is pending.
    pub fn answer(&self, ticket: Ticket, answer: Answer) {
        let sender = self.lock_pending().remove(&ticket);
        if sender.is_none_or(|sender| sender.send(answer).is_err()) {
            log::debug!("answer dropped: call {} is no longer pending", ticket.0);
        }
    }

    /// Number of pending calls.
    pub fn pending(&self) -> usize {
        self.lock_pending().len()
    }

    /// Starts a server on `listener`; the returned future must be awaited in an actix system.
    ///
    /// # Errors
    ///
    /// The socket cannot be used.
    pub fn listen(&self, listener: TcpListener) -> Result<Server> {
        let port = self.clone();
        let server = HttpServer::new(move || App::new().configure(|config| routes(config, port.clone())))
            .workers(1)
            .max_connections(MAX_CONNECTIONS)
            .disable_signals()
            // A connection that is closed by the operator ends its call immediately, which removes the ticket.
            .h1_allow_half_closed(false)
            .listen(listener)
            .map_err(|error| Error::io("listen for operators", error))?;
        Ok(server.run())
    }

    fn lock_pending(&self) -> MutexGuard<'_, Map<Ticket, oneshot::Sender<Answer>>> {
        self.shared.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn start_call(&self, command: Command) -> PendingCall {
        let ticket = Ticket(self.shared.next_ticket.fetch_add(1, Ordering::Relaxed));
        let (sender, receiver) = oneshot::channel();
        self.lock_pending().insert(ticket, sender);
        self.shared.context.inbox.send(Event::Admin { ticket, command });
        PendingCall { port: self.clone(), ticket, receiver }
    }

    /// Sends a command to the reducer and waits for the answer; if the call times out, the response is the problem that
    /// `on_timeout` returns.
    async fn request(&self, command: Command, on_timeout: impl FnOnce() -> Problem) -> HttpResponse {
        let mut call = self.start_call(command);
        match tokio::time::timeout(self.shared.context.timeout, &mut call.receiver).await {
            Ok(Ok(answer)) => answer_response(answer),
            Ok(Err(_)) | Err(_) => problem_response(on_timeout()),
        }
    }
}

/// A call that waits for its answer; dropping it removes its ticket.
struct PendingCall {
    port: Port,
    ticket: Ticket,
    receiver: oneshot::Receiver<Answer>,
}

impl Drop for PendingCall {
    fn drop(&mut self) {
        self.port.lock_pending().remove(&self.ticket);
    }
}

fn routes(config: &mut web::ServiceConfig, port: Port) {
    config
        .app_data(web::Data::new(port))
        .app_data(web::PayloadConfig::new(MAX_DOCUMENT_BYTES))
        .app_data(web::QueryConfig::default().error_handler(|error, _| bad_request_error(error)))
        .app_data(web::PathConfig::default().error_handler(|error, _| bad_request_error(error)))
        .route("/v1/documents/{name}", web::put().to(apply))
        .route("/v1/status", web::get().to(status))
        .route("/v1/tasks/{job}/{index}", web::get().to(explain_task))
        .route("/v1/drain/{vm}", web::post().to(drain))
        .route("/v1/timeline", web::get().to(timeline))
        .route("/metrics", web::get().to(metrics))
        .route("/ready", web::get().to(ready))
        .default_service(web::to(not_found));
}

async fn apply(
    port: web::Data<Port>,
    name: web::Path<String>,
    change: web::Query<wire::Change>,
    body: std::result::Result<web::Bytes, error::Error>,
) -> HttpResponse {
    let text = match body.map(|body| String::from_utf8(body.to_vec())) {
        Ok(Ok(text)) => text,
        Ok(Err(error)) => {
            return problem_response(bad_request_problem(400, format!("the document is not UTF-8: {error}")));
        }
        Err(error) => {
            let status = error.as_response_error().status_code().as_u16();
            return problem_response(bad_request_problem(
                status,
                format!("the document cannot be read: {error}"),
            ));
        }
    };
    let wire::Change { base, author } = change.into_inner();
    let applied_s = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_secs());
    let author = author.unwrap_or_default();
    let command = Command::Apply { name: name.into_inner(), text, base, author, applied_s };
    port.request(command, || Problem::unknown(None)).await
}

async fn status(port: web::Data<Port>) -> HttpResponse {
    port.request(Command::Status, timeout_problem).await
}

async fn explain_task(port: web::Data<Port>, path: web::Path<(String, u32)>) -> HttpResponse {
    let (job, index) = path.into_inner();
    port.request(Command::Why { job, index }, timeout_problem).await
}

async fn drain(port: web::Data<Port>, vm: web::Path<String>) -> HttpResponse {
    port.request(Command::Drain { vm: vm.into_inner() }, || Problem::unknown(None)).await
}

async fn timeline(port: web::Data<Port>, selection: web::Query<wire::Selection>) -> HttpResponse {
    let wire::Selection { subject, after } = selection.into_inner();
    let entries = port.shared.context.timeline.entries(after.unwrap_or(0), subject.as_deref());
    let lines: String = entries.iter().map(|entry| entry.to_line() + "\n").collect();
    HttpResponse::Ok().content_type(wire::NDJSON_TYPE).body(lines)
}

async fn metrics(port: web::Data<Port>) -> HttpResponse {
    match port.shared.context.metrics.render() {
        Ok(text) => HttpResponse::Ok().content_type(prometheus::TEXT_FORMAT).body(text),
        Err(error) => problem_response(Problem::new(500, "internal", "Internal error", error.to_string())),
    }
}

async fn ready(port: web::Data<Port>) -> HttpResponse {
    if port.shared.context.ready.load(Ordering::Relaxed) {
        HttpResponse::Ok().body("ready\n")
    } else {
        HttpResponse::ServiceUnavailable().body("not ready\n")
    }
}

async fn not_found(request: HttpRequest) -> HttpResponse {
    let detail = format!("there is no {} {}", request.method(), request.path());
    problem_response(Problem::new(404, "not-found", "Not found", detail))
}

fn answer_response(answer: Answer) -> HttpResponse {
    match wire::encode(answer) {
        Ok(Success::Done) => HttpResponse::NoContent().finish(),
        Ok(success) => HttpResponse::Ok().json(success),
        Err(details) => problem_response(*details),
    }
}

fn problem_response(details: Problem) -> HttpResponse {
    let status = StatusCode::from_u16(details.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    HttpResponse::build(status).content_type(wire::PROBLEM_TYPE).json(details)
}

fn bad_request_problem(status: u16, detail: String) -> Problem {
    Problem::new(status, "bad-request", "The request cannot be read", detail)
}

fn bad_request_error(error: impl std::error::Error + 'static) -> error::Error {
    let response = problem_response(bad_request_problem(400, error.to_string()));
    error::InternalError::from_response(error.to_string(), response).into()
}

fn timeout_problem() -> Problem {
    Problem::new(504, "no-answer", "No answer in time", "the process did not answer before the deadline")
}
