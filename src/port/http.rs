//! HTTP client of the ports.
//!
//! Its errors distinguish calls that were not executed from calls that may have been executed.

use std::cell::{Cell, RefCell};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use actix_web::body::{BodySize, MessageBody};
use actix_web::web::{Bytes, BytesMut};
use awc::error::{ConnectError, PayloadError, SendRequestError};
use awc::http::{StatusCode, header};
use awc::{Client, ClientResponse, Connector, SendClientRequest};
use tokio::time::{Instant as Deadline, timeout_at};
use tokio_stream::{Stream, StreamExt};

use super::Clock;
use crate::core::time::Instant;

/// Size limit of an answer in bytes; the VM list of 30,000 workers has about 5 MB.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Longest time from the head of an answer to its end.
const MAX_TRANSFER_TIME: Duration = Duration::from_secs(20);

/// Limit on open connections of a client. The long poll of each worker occupies one, and orders need further ones. The
/// rest of the 4,096 file descriptors of a small VM is left for callers and peers.
const MAX_CONNECTIONS: usize = 3_000;

/// Reason why a request has no answer.
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

/// Returns a client that connects within half of `timeout`, so that a failure to connect is reported as not written.
pub(crate) fn client(timeout: Duration) -> Client {
    client_with_limit(timeout, MAX_CONNECTIONS)
}

/// Client whose pooled connections are dropped after a call got no answer.
///
/// Connections may go silent without an error. The call that meets one is lost, and the next call would take another one
/// from the pool, which may be silent too.
pub(crate) struct Pool {
    client: RefCell<Client>,
    renewed_at: Cell<Deadline>,
    timeout: Duration,
    max_connections: usize,
}

impl Pool {
    /// Pool of a client that connects within half of `timeout`.
    pub(crate) fn new(timeout: Duration) -> Self {
        Self::with_limit(timeout, MAX_CONNECTIONS)
    }

    /// The same without a limit on open connections, for a caller that limits its calls.
    pub(crate) fn unlimited(timeout: Duration) -> Self {
        // The connector takes zero as no limit.
        Self::with_limit(timeout, 0)
    }

    fn with_limit(timeout: Duration, max_connections: usize) -> Self {
        let client = RefCell::new(client_with_limit(timeout, max_connections));
        Self { client, renewed_at: Cell::new(Deadline::now()), timeout, max_connections }
    }

    /// Client for the next call.
    pub(crate) fn client(&self) -> Client {
        self.client.borrow().clone()
    }

    /// Closes the connections that are not in use; those in use are closed at the end of their calls.
    pub(crate) fn renew(&self) {
        // Connections in the pool of a client are closed with the client.
        self.client.replace(client_with_limit(self.timeout, self.max_connections));
        self.renewed_at.set(Deadline::now());
    }

    /// Does so after a call that began at `began` got no answer, unless it has been done since.
    pub(crate) fn renew_after_loss(&self, began: Deadline) {
        if self.renewed_at.get() <= began {
            self.renew();
        }
    }
}

fn client_with_limit(timeout: Duration, connections: usize) -> Client {
    let connector = Connector::new().timeout(timeout / 2).limit(connections);
    Client::builder().connector(connector).disable_timeout().disable_redirects().finish()
}

/// Sends a request and waits for the complete answer.
///
/// The head of the answer must arrive within `head_timeout`, and each further part of the answer within `timeout`. A transfer that makes progress is not given up before
/// [`MAX_TRANSFER_TIME`], since a repetition would begin with its first byte again, and delay all transfers on the same
/// link.
///
/// On a timeout the connection is dropped with the future, so it is not reused.
pub(crate) async fn receive(
    request: SendClientRequest,
    head_timeout: Duration,
    timeout: Duration,
) -> Result<Answer, Fault> {
    match receive_limited(request, head_timeout, timeout, MAX_ANSWER_BYTES).await? {
        Some(answer) => Ok(answer),
        None => Err(Fault::Lost),
    }
}

/// The same for an answer whose body has at most `limit` bytes. `None` for a larger one, which is given up: at its head if
/// that states the length, otherwise after `limit` bytes.
pub(crate) async fn receive_limited(
    request: SendClientRequest,
    head_timeout: Duration,
    timeout: Duration,
    limit: usize,
) -> Result<Option<Answer>, Fault> {
    let Ok(response) = tokio::time::timeout(head_timeout, request).await else { return Err(Fault::Lost) };
    read_answer(response.map_err(|error| classify_error(&error))?, timeout, limit).await
}

/// Sends a request whose body is a [`DeadlineBody`] with the progress `written`, and waits for the complete answer.
///
/// The body must be written within `timeout`, and the head of the answer must arrive within `wait` and `timeout` after that.
/// A single limit from the start of the call would end a call as lost whose connection was made while the process did not
/// run: the request would be written after the limit, and given up at once.
pub(crate) async fn receive_written(
    request: SendClientRequest,
    written: Written,
    wait: Duration,
    timeout: Duration,
) -> Result<Answer, Fault> {
    let mut request = pin!(request);
    let response = match tokio::time::timeout(timeout, request.as_mut()).await {
        Ok(response) => response,
        Err(_) => {
            let written_at = written.0.get().ok_or(Fault::NotWritten)?;
            let deadline = written_at + wait + timeout;
            timeout_at(deadline, request).await.map_err(|_| Fault::Lost)?
        }
    };
    let response = response.map_err(|error| classify_error(&error))?;
    read_answer(response, timeout, MAX_ANSWER_BYTES).await?.ok_or(Fault::Lost)
}

/// Reads the body of an answer; `None` if it has more than `limit` bytes.
async fn read_answer<S>(
    mut response: ClientResponse<S>,
    timeout: Duration,
    limit: usize,
) -> Result<Option<Answer>, Fault>
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    if stated_length(&response).is_some_and(|length| length > limit) {
        return Ok(None);
    }
    let deadline = Deadline::now() + MAX_TRANSFER_TIME;
    let mut body = BytesMut::new();
    loop {
        let part_deadline = deadline.min(Deadline::now() + timeout);
        let part = timeout_at(part_deadline, response.next()).await.map_err(|_| cut_off(&body))?;
        let Some(part) = part else { break };
        body.extend_from_slice(&part.map_err(|_| cut_off(&body))?);
        if body.len() > limit {
            return Ok(None);
        }
    }
    Ok(Some(Answer { status: response.status(), body: body.freeze() }))
}

/// Length of the body according to the head; `None` if it is not stated.
fn stated_length<S>(response: &ClientResponse<S>) -> Option<usize> {
    response.headers().get(header::CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// Logs that only a part of an answer arrived, and returns the fault.
fn cut_off(body: &BytesMut) -> Fault {
    log::warn!("an answer was cut off after {} bytes", body.len());
    Fault::Lost
}

/// Classifies an error of awc. `Disconnected` counts as lost: awc reports it if an established connection ends before
/// the answer.
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

/// Request body that is written only before a deadline.
///
/// The client polls the body after it has connected, immediately before it writes. After the deadline the body returns
/// an error, so the other side never receives a complete request.
pub(crate) struct DeadlineBody {
    bytes: Option<Bytes>,
    clock: Clock,
    not_after: Instant,
    written: Written,
}

/// When the client took the bytes of a [`DeadlineBody`] to write them; from then on the request may be executed.
#[derive(Debug, Clone, Default)]
pub(crate) struct Written(Rc<Cell<Option<Deadline>>>);

/// The deadline for writing the request has passed.
#[derive(Debug, thiserror::Error)]
#[error("the deadline for sending the request has passed")]
pub(crate) struct DeadlinePassed;

impl DeadlineBody {
    /// Body with these `bytes`, which is not written after `not_after`.
    pub(crate) fn new(bytes: impl Into<Bytes>, clock: Clock, not_after: Instant) -> Self {
        Self { bytes: Some(bytes.into()), clock, not_after, written: Written::default() }
    }

    /// Progress of the body, which remains readable after the body has been passed to the client.
    pub(crate) fn written(&self) -> Written {
        self.written.clone()
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
        // After the bytes have been returned the request may be executed, so the deadline is not checked again.
        let Some(bytes) = self.bytes.take() else { return Poll::Ready(None) };
        if self.clock.now() > self.not_after {
            return Poll::Ready(Some(Err(DeadlinePassed)));
        }
        self.written.0.set(Some(Deadline::now()));
        Poll::Ready(Some(Ok(bytes)))
    }
}

#[cfg(test)]
mod tests {
    use std::task::Waker;

    use super::*;

    /// Guards against a request that is written after its deadline, and against one that was written but is reported as
    /// not written.
    #[test]
    fn deadline_is_checked_once_before_the_first_byte() {
        let clock = Clock::start();
        let mut context = Context::from_waker(Waker::noop());
        let mut poll = |body: &mut DeadlineBody| Pin::new(body).poll_next(&mut context);
        std::thread::sleep(Duration::from_millis(1));
        let mut expired = DeadlineBody::new("a", clock, Instant(0));
        assert!(matches!(poll(&mut expired), Poll::Ready(Some(Err(DeadlinePassed)))));
        let mut unexpired = DeadlineBody::new("a", clock, Instant(u64::MAX));
        assert!(matches!(poll(&mut unexpired), Poll::Ready(Some(Ok(_)))));
        unexpired.not_after = Instant(0);
        assert!(matches!(poll(&mut unexpired), Poll::Ready(None)));
    }
}
