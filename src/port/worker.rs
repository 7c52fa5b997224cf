//! HTTP client of the control interface of workers.

use std::net::SocketAddr;
use std::time::Duration;

use actix_web::rt;
use awc::Client;
use awc::http::StatusCode;

use super::http::{self, DeadlineBody, Fault};
use super::{Clock, Inbox};
use crate::core::event::Event;
use crate::core::time::Instant;
use crate::core::{control, worker};
use crate::wire::control as wire;

/// Client of the workers; sends its calls on the arbiter on which it was created.
#[derive(Clone)]
pub struct Port {
    client: Client,
    timeout: Duration,
    clock: Clock,
    inbox: Inbox,
}

impl Port {
    /// Returns a client that waits `timeout` for an answer, plus the wait that a call requests.
    pub fn new(timeout: Duration, clock: Clock, inbox: Inbox) -> Self {
        Self { client: http::client(timeout), timeout, clock, inbox }
    }

    /// Starts a call; the answer, or the reason why there is none, arrives as [`Event::Worker`].
    ///
    /// A call that cannot be written before `not_after` is reported as unsent.
    pub fn call(&self, key: worker::Key, address: SocketAddr, call: control::Call, not_after: Instant) {
        let port = self.clone();
        rt::spawn(async move {
            let sequence = call.sequence;
            let result = port.execute(address, call, not_after).await;
            let is_unsent = matches!(result, Err(Fault::Refused | Fault::NotWritten));
            port.inbox.send(Event::Worker { worker: key, sequence, reply: result.ok(), is_unsent });
        });
    }

    async fn execute(
        &self,
        address: SocketAddr,
        call: control::Call,
        not_after: Instant,
    ) -> Result<control::Reply, Fault> {
        let wait = Duration::from_millis(call.wait_ms);
        let body = serde_json::to_vec(&wire::Call::from(call)).map_err(|_| Fault::NotWritten)?;
        // Avoids a needless connection; the body checks the deadline again immediately before it is written.
        if self.clock.now() > not_after {
            return Err(Fault::NotWritten);
        }
        let request = self.client.post(format!("http://{address}{}", wire::PATH));
        let request = request.content_type("application/json");
        let body = DeadlineBody::new(body, self.clock, not_after);
        let written = body.written();
        let answer = http::receive_written(request.send_body(body), written, wait, self.timeout).await?;
        if answer.status != StatusCode::OK {
            log::warn!(
                "worker at {address} answered a control call with unexpected status {}",
                answer.status
            );
            return Err(Fault::Lost);
        }
        let reply: wire::Reply = serde_json::from_slice(&answer.body).map_err(|error| {
            log::warn!("worker at {address} sent a malformed reply: {error}");
            Fault::Lost
        })?;
        Ok(reply.into())
    }
}
