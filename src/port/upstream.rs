//! HTTP client for replicas.
//!
//! An answer is accepted only if it is complete: the client has read its declared length or its final chunk. A request
//! is reported as not written only if no connection could be established for it.

use std::time::Duration;

use actix_web::http::header::{self, HeaderMap};
use actix_web::http::{Method, StatusCode};
use actix_web::web::Bytes;
use awc::error::{PayloadError, SendRequestError};
use awc::{Client, Connector};

use super::body::Table;
use super::message::{self, Answer, NOT_RUN, Request, TIMEOUT};
use super::{Clock, Inbox, stream};
use crate::core::event::Event;
use crate::core::exchange::{Outcome, Send};

/// Limits of the client for upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Size limit of an answer body in bytes.
    pub max_body_bytes: usize,
    /// Longest time to establish a connection. Leases and grants need a margin of this length, since `not_after` is
    /// checked before the connection is established.
    pub connect_timeout: Duration,
    /// Idle time after which a connection is closed.
    pub keep_alive: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_body_bytes: 8 << 20,
            connect_timeout: Duration::from_millis(500),
            keep_alive: Duration::from_secs(15),
        }
    }
}

/// Client for replicas; sends its requests on the arbiter on which it was created.
#[derive(Clone)]
pub struct Port {
    client: Client,
    limits: Limits,
    clock: Clock,
    inbox: Inbox,
    bodies: Table,
}

impl Port {
    /// Creates a client on the current arbiter.
    pub fn new(limits: Limits, clock: Clock, inbox: Inbox, bodies: Table) -> Self {
        // The reducer limits the connections to each worker, so the connector needs no limit.
        let connector = Connector::new()
            .connector(stream::connector())
            .limit(0)
            .timeout(limits.connect_timeout)
            .conn_keep_alive(limits.keep_alive);
        let client = Client::builder()
            .connector(connector)
            .disable_redirects()
            .disable_timeout()
            .no_default_headers()
            .finish();
        Self { client, limits, clock, inbox, bodies }
    }

    /// Starts an attempt; its outcome arrives as [`Event::Attempt`].
    pub fn send(&self, send: Send) {
        let port = self.clone();
        actix_web::rt::spawn(async move {
            let outcome = port.attempt(&send).await;
            port.inbox.send(Event::Attempt { exchange: send.exchange, attempt: send.attempt, outcome });
        });
    }

    async fn attempt(&self, send: &Send) -> Outcome {
        let Some(request) = self.bodies.request(send.ticket) else { return Outcome::NotWritten };
        if self.clock.now() > send.not_after {
            return Outcome::NotWritten;
        }
        // On a timeout the connection is dropped with the call, so an unresponsive connection is not reused.
        match actix_web::rt::time::timeout(send.timeout, self.call(send, &request)).await {
            Ok(Reply::Complete(answer)) => {
                let outcome =
                    Outcome::Answered { status: answer.status.as_u16(), bytes: answer.body.len() as u64 };
                self.bodies.store_answer(send.ticket, send.attempt, answer);
                outcome
            }
            Ok(Reply::NoAnswer(outcome)) => outcome,
            Err(_) => Outcome::Lost,
        }
    }

    async fn call(&self, send: &Send, request: &Request) -> Reply {
        let query = request.query.as_ref().map(|query| format!("?{query}")).unwrap_or_default();
        let url = format!("http://{}/replica/{:016x}{}{query}", send.address, send.run.0, request.path);
        let mut call = self
            .client
            .request(request.method.clone(), url)
            .no_decompress()
            .insert_header((TIMEOUT, send.timeout.as_millis().to_string()));
        for header in &request.headers {
            call = call.append_header(header.clone());
        }
        let mut response = match call.send_body(request.body.clone()).await {
            Ok(response) => response,
            Err(error) => {
                log::debug!("request to {} failed: {error}", send.address);
                return Reply::NoAnswer(classify_error(&error));
            }
        };
        if is_refusal(response.status(), response.headers()) {
            return Reply::NoAnswer(Outcome::Refused);
        }
        let read = response.body().limit(self.limits.max_body_bytes).await;
        let Some(body) = complete_body(&request.method, response.status(), response.headers(), read) else {
            return Reply::NoAnswer(Outcome::Lost);
        };
        let headers = message::end_to_end_headers(response.headers());
        Reply::Complete(Answer { status: response.status(), headers, body })
    }
}

enum Reply {
    Complete(Answer),
    NoAnswer(Outcome),
}

fn classify_error(error: &SendRequestError) -> Outcome {
    match error {
        SendRequestError::Url(_) | SendRequestError::Connect(_) => Outcome::NotWritten,
        _ => Outcome::Lost,
    }
}

fn is_refusal(status: StatusCode, headers: &HeaderMap) -> bool {
    let is_refusal_status = matches!(status, StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE);
    is_refusal_status && headers.get(NOT_RUN).is_some_and(|value| value == "1")
}

/// Returns the body if it is complete. A body that is delimited by the end of its connection may be truncated, so it is
/// not accepted.
fn complete_body(
    method: &Method,
    status: StatusCode,
    headers: &HeaderMap,
    read: Result<Bytes, PayloadError>,
) -> Option<Bytes> {
    let body = read.ok()?;
    if *method == Method::HEAD || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED) {
        return body.is_empty().then_some(body);
    }
    let is_chunked = headers
        .get(header::TRANSFER_ENCODING)
        .and_then(|value| value.to_str().ok())
        .is_some_and(|value| value.trim().eq_ignore_ascii_case("chunked"));
    let declared = headers.get(header::CONTENT_LENGTH).and_then(|value| value.to_str().ok()?.parse().ok());
    (is_chunked || declared == Some(body.len())).then_some(body)
}
