//! HTTP calls of the ports, with the one distinction that callers need: surely not executed, or perhaps executed.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use actix_web::body::{BodySize, MessageBody};
use actix_web::web::Bytes;
use awc::error::{ConnectError, SendRequestError};
use awc::http::StatusCode;
use awc::{Client, ClientResponse, Connector, SendClientRequest};

use super::Clock;
use crate::core::time::Instant;

/// Largest answer in bytes; the VM list of 30,000 workers is about 5 MB.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Most open connections of a client. Each worker holds one for its long poll, and orders need others beside them; the
/// rest of the 4,096 descriptors of a small VM are for callers and peers.
const MAX_CONNECTIONS: usize = 3_000;

/// Why there is no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Nothing listens at the address.
    Refused,
    /// The request was not written completely, so it was not executed.
    NotWritten,
    /// The request may have been executed.
    Lost,
}

/// A complete answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) body: Bytes,
}

/// A client whose attempts to connect end before `timeout`, so that they are known as not written.
pub(crate) fn client(timeout: Duration) -> Client {
    let connector = Connector::new().timeout(timeout / 2).limit(MAX_CONNECTIONS);
    Client::builder().connector(connector).disable_timeout().disable_redirects().finish()
}

/// Waits for the complete answer to a request, for `timeout` in all.
///
/// At a time-out the connection is dropped with the future, and not used again.
pub(crate) async fn receive(request: SendClientRequest, timeout: Duration) -> Result<Answer, Fault> {
    match tokio::time::timeout(timeout, read_answer(request)).await {
        Ok(result) => result,
        Err(_) => Err(Fault::Lost),
    }
}

async fn read_answer(request: SendClientRequest) -> Result<Answer, Fault> {
    let mut response: ClientResponse<_> = request.await.map_err(|error| classify_error(&error))?;
    let body = response.body().limit(MAX_ANSWER_BYTES).await.map_err(|_| Fault::Lost)?;
    Ok(Answer { status: response.status(), body })
}

/// `Disconnected` is no failure to connect: awc reports it when the connection ends before the answer.
fn classify_error(error: &SendRequestError) -> Fault {
    match error {
        SendRequestError::Connect(ConnectError::Io(cause))
            if cause.kind() == std::io::ErrorKind::ConnectionRefused =>
        {
            Fault::Refused
        }
        SendRequestError::Connect(ConnectError::Disconnected | ConnectError::H2(_)) => Fault::Lost,
        SendRequestError::Connect(_) | SendRequestError::Url(_) | SendRequestError::Body(_) => {
            Fault::NotWritten
        }
        _ => Fault::Lost,
    }
}

/// Body that is written only until a point in time.
///
/// The client asks for the body after it has connected and immediately before it writes. A late body is an error, and the
/// other side never gets a complete request.
pub(crate) struct DeadlineBody {
    bytes: Option<Bytes>,
    clock: Clock,
    not_after: Instant,
}

/// The time to write a request was over.
#[derive(Debug, thiserror::Error)]
#[error("too late to send")]
pub(crate) struct DeadlinePassed;

impl DeadlineBody {
    /// `bytes`, to be written not after `not_after`.
    pub(crate) fn new(bytes: impl Into<Bytes>, clock: Clock, not_after: Instant) -> Self {
        Self { bytes: Some(bytes.into()), clock, not_after }
    }
}

impl MessageBody for DeadlineBody {
    type Error = DeadlinePassed;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, DeadlinePassed>>> {
        // Once the bytes are handed over the request may be executed, so there is no second check.
        let Some(bytes) = self.bytes.take() else { return Poll::Ready(None) };
        if self.clock.now() > self.not_after {
            return Poll::Ready(Some(Err(DeadlinePassed)));
        }
        Poll::Ready(Some(Ok(bytes)))
    }
}

#[cfg(test)]
mod tests {
    use std::task::Waker;

    use super::*;

    /// Guards against a request that is written late, and against one that was written but is reported as unsent.
    #[test]
    fn timed_bodies_are_checked_once_before_the_first_byte() {
        let clock = Clock::start();
        let mut context = Context::from_waker(Waker::noop());
        let mut poll = |body: &mut DeadlineBody| Pin::new(body).poll_next(&mut context);
        std::thread::sleep(Duration::from_millis(1));
        let mut late = DeadlineBody::new("a", clock, Instant(0));
        assert!(matches!(poll(&mut late), Poll::Ready(Some(Err(DeadlinePassed)))));
        let mut timely = DeadlineBody::new("a", clock, Instant(u64::MAX));
        assert!(matches!(poll(&mut timely), Poll::Ready(Some(Ok(_)))));
        timely.not_after = Instant(0);
        assert!(matches!(poll(&mut timely), Poll::Ready(None)));
    }
}
