//! Stream of a caller's connection, which passes on one request at a time.
//!
//! The HTTP library decodes all requests that it reads from a connection, also while an earlier one waits for its answer. So
//! a client that sends many small heads and reads no answer would fill the memory. [`Stream`] finds the end of each head and
//! passes on nothing beyond it until the handler, by its [`Turn`], asks for the body or has answered. What has arrived
//! beyond that stays in a small buffer and in the socket.

use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

use actix_web::HttpRequest;
use actix_web::http::header::{self, HeaderMap};
use actix_web::rt::net::TcpStream;
use actix_web::web::{Buf, BytesMut};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Sleep;

use super::admission::has_body;

/// Bytes that are read from the socket at a time.
const READ_BYTES: usize = 4 << 10;

/// Bytes in the buffer from which on nothing more is read from the socket. The end of the connection is noticed only below it.
const BUFFER_BYTES: usize = 4 << 10;

/// What is passed on to the HTTP library.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// A head, up to its end.
    Head(Lines),
    /// The rest of a body of a known length, in bytes.
    Body(u64),
    /// A body of unknown length, in pieces, until the handler has read its end.
    Pieces,
    /// Nothing, until the handler asks for the body or has answered.
    Hold,
    /// The rest of a body that the handler has not read; the connection closes with the answer.
    Rest,
}

/// Lines of a head that have been passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct Lines {
    /// Whether a line with text has begun; empty lines before the first one are no end.
    has_text: bool,
    /// Whether the current line has text.
    is_in_text: bool,
}

impl Lines {
    /// Number of bytes up to the end of the head, which is an empty line; `None` if it is not among them.
    fn find_end(&mut self, bytes: &[u8]) -> Option<usize> {
        for (index, byte) in bytes.iter().enumerate() {
            match byte {
                b'\n' if self.has_text && !self.is_in_text => return Some(index + 1),
                b'\n' => self.is_in_text = false,
                b'\r' => {}
                _ => (self.has_text, self.is_in_text) = (true, true),
            }
        }
        None
    }
}

#[derive(Debug)]
struct State {
    phase: Phase,
    /// Whether the body of the current request has not been passed on completely.
    has_unread_body: bool,
    /// Waker of the task that reads, if it waits for the handler.
    waker: Option<Waker>,
}

/// Handle to the stream of a connection; clones share it.
#[derive(Debug, Clone)]
pub struct Turn(Rc<RefCell<State>>);

impl Turn {
    /// Handle to the connection of a request; `None` if its server passes on requests as they come.
    pub fn of(request: &HttpRequest) -> Option<Self> {
        request.conn_data::<Self>().cloned()
    }

    /// Passes on the body of the request.
    pub fn expect_body(&self, headers: &HeaderMap) {
        self.enter(if headers.contains_key(header::TRANSFER_ENCODING) {
            Phase::Pieces
        } else {
            Phase::Body(content_length(headers))
        });
    }

    /// Stops after a body, which has been read.
    pub fn end_body(&self) {
        self.0.borrow_mut().has_unread_body = false;
        self.enter(Phase::Hold);
    }

    /// Guard that passes on the next request when it is dropped.
    pub fn until_answered(self, headers: &HeaderMap) -> Answering {
        self.0.borrow_mut().has_unread_body = has_body(headers);
        Answering(self)
    }

    fn enter(&self, phase: Phase) {
        let mut state = self.0.borrow_mut();
        state.phase = phase;
        if let Some(waker) = state.waker.take() {
            waker.wake();
        }
    }
}

/// Length of the body that the head states; 0 if there is none.
fn content_length(headers: &HeaderMap) -> u64 {
    let length = headers.get(header::CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    length.and_then(|text| text.trim().parse().ok()).unwrap_or_default()
}

/// A request that is being answered.
#[derive(Debug)]
pub struct Answering(Turn);

impl Drop for Answering {
    fn drop(&mut self) {
        let has_unread_body = self.0.0.borrow().has_unread_body;
        self.0.enter(if has_unread_body { Phase::Rest } else { Phase::Head(Lines::default()) });
    }
}

/// Stream of a connection.
#[derive(Debug)]
pub struct Stream {
    io: TcpStream,
    turn: Turn,
    /// Bytes that have been read from the socket and not passed on.
    buffer: BytesMut,
    /// Whether the socket has no more bytes.
    has_ended: bool,
    /// Whether the next piece of a body waits until the previous one has been decoded.
    is_piece_passed: bool,
    head_timeout: Duration,
    /// Expires when a head after the first one takes too long; the HTTP library limits the first.
    head_timer: Option<Pin<Box<Sleep>>>,
    is_first_head: bool,
}

impl Stream {
    /// Stream of a new connection, on which each head has to be complete within `head_timeout`.
    pub fn new(io: TcpStream, head_timeout: Duration) -> Self {
        let state = State { phase: Phase::Head(Lines::default()), has_unread_body: false, waker: None };
        Self {
            io,
            turn: Turn(Rc::new(RefCell::new(state))),
            buffer: BytesMut::new(),
            has_ended: false,
            is_piece_passed: false,
            head_timeout,
            head_timer: None,
            is_first_head: true,
        }
    }

    /// The socket.
    pub fn socket(&self) -> &TcpStream {
        &self.io
    }

    /// Handle for the handlers of its requests.
    pub fn turn(&self) -> Turn {
        self.turn.clone()
    }

    /// Reads from the socket into the buffer, or notices the end of the connection.
    fn poll_fill(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut bytes = [0; READ_BYTES];
        let mut part = ReadBuf::new(&mut bytes);
        match Pin::new(&mut self.io).poll_read(context, &mut part) {
            Poll::Ready(Ok(())) => {
                self.has_ended = part.filled().is_empty();
                self.buffer.extend_from_slice(part.filled());
                Poll::Ready(Ok(()))
            }
            other => other,
        }
    }

    /// Waits for the handler, and meanwhile for the end of the connection.
    fn poll_hold(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.turn.0.borrow_mut().waker = Some(context.waker().clone());
        while !self.has_ended && self.buffer.len() < BUFFER_BYTES {
            match self.poll_fill(context) {
                Poll::Ready(Ok(())) => {}
                other => return other,
            }
        }
        if self.has_ended && self.buffer.is_empty() { Poll::Ready(Ok(())) } else { Poll::Pending }
    }

    /// Fails if the head that is being passed on takes too long.
    fn poll_head_timer(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Some(timer) = &mut self.head_timer else { return Poll::Pending };
        ready!(timer.as_mut().poll(context));
        Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, "the head is incomplete")))
    }

    /// Passes on what the phase allows of the buffer, which is not empty.
    fn pass_on(&mut self, phase: Phase, target: &mut ReadBuf<'_>) {
        let available = &self.buffer[..self.buffer.len().min(target.remaining())];
        let (count, next) = match phase {
            Phase::Head(mut lines) => match lines.find_end(available) {
                Some(end) => (end, Phase::Hold),
                None => (available.len(), Phase::Head(lines)),
            },
            Phase::Body(left) => {
                let count = available.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                let left = left - count as u64;
                (count, if left == 0 { Phase::Hold } else { Phase::Body(left) })
            }
            Phase::Pieces | Phase::Rest => (available.len(), phase),
            Phase::Hold => (0, Phase::Hold),
        };
        target.put_slice(&available[..count]);
        self.buffer.advance(count);
        self.note_progress(phase, next);
        self.turn.0.borrow_mut().phase = next;
    }

    /// Sets or removes the timer of a head.
    fn note_progress(&mut self, phase: Phase, next: Phase) {
        self.is_piece_passed = phase == Phase::Pieces;
        match (phase, next) {
            (Phase::Head(_), Phase::Head(Lines { has_text: true, .. }))
                if self.head_timer.is_none() && !self.is_first_head =>
            {
                self.head_timer = Some(Box::pin(tokio::time::sleep(self.head_timeout)));
            }
            (Phase::Head(_), Phase::Head(_)) => {}
            (Phase::Head(_), _) => (self.head_timer, self.is_first_head) = (None, false),
            _ => {}
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        target: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let stream = self.get_mut();
        let phase = stream.turn.0.borrow().phase;
        if matches!(phase, Phase::Hold | Phase::Body(0)) {
            return stream.poll_hold(context);
        }
        // The library reads until nothing is left, and only then decodes what it has read.
        if std::mem::take(&mut stream.is_piece_passed) {
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        if stream.buffer.is_empty() && !stream.has_ended {
            match stream.poll_fill(context) {
                Poll::Ready(Ok(())) => {}
                Poll::Pending => return stream.poll_head_timer(context),
                failed => return failed,
            }
        }
        if !stream.buffer.is_empty() {
            stream.pass_on(phase, target);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Stream {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().io).poll_write(context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().io).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().io).poll_shutdown(context)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().io).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against an end of a head that is found too early, so that its request never reaches the handler, or too late, so
    /// that the next one is decoded with it.
    #[test]
    fn a_head_ends_with_its_first_empty_line() {
        let table: [(&[u8], Option<usize>); 6] = [
            (b"GET / HTTP/1.1\r\nHost: a\r\n\r\nGET", Some(27)),
            (b"GET / HTTP/1.1\nHost: a\n\nGET", Some(24)),
            (b"\r\n\r\nGET / HTTP/1.1\r\n\r\n", Some(22)),
            (b"\r\n\r\n", None),
            (b"GET / HTTP/1.1\r\nHost: a\r\n", None),
            (b"", None),
        ];
        for (bytes, end) in table {
            assert_eq!(Lines::default().find_end(bytes), end, "{bytes:?}");
            let (mut lines, mut found) = (Lines::default(), None);
            for (index, byte) in bytes.iter().enumerate() {
                found = found.or(lines.find_end(&[*byte]).map(|_| index + 1));
            }
            assert_eq!(found, end, "byte by byte: {bytes:?}");
        }
    }
}
