//! TCP streams to upstreams that report the end of the connection as an error.
//!
//! awc accepts a chunked body as complete if its connection ends before the final chunk. The error makes awc reject
//! such a body. It rejects no valid answer, since the upstream port accepts no answer that is delimited by the end of
//! its connection.

use std::io::{self, ErrorKind};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use actix_service::ServiceExt as _;
use actix_tls::connect::{ConnectError, ConnectInfo, Connection, Connector};
use actix_web::dev::Service;
use actix_web::http::Uri;
use actix_web::rt::net::{ActixStream, Ready, TcpStream};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// TCP stream that returns `UnexpectedEof` at its end.
#[derive(Debug)]
pub(super) struct Stream {
    inner: TcpStream,
}

/// Returns the service with which awc opens [`Stream`]s.
pub(super) fn connector()
-> impl Service<ConnectInfo<Uri>, Response = Connection<Uri, Stream>, Error = ConnectError> + Clone + 'static
{
    Connector::default().service().map(|connection: Connection<Uri, TcpStream>| {
        let (inner, uri) = connection.into_parts();
        Connection::new(uri, Stream { inner })
    })
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(context, buffer))?;
        if buffer.filled().len() == before && buffer.remaining() > 0 {
            return Poll::Ready(Err(ErrorKind::UnexpectedEof.into()));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}

impl ActixStream for Stream {
    fn poll_read_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.inner, context)
    }

    fn poll_write_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.inner, context)
    }
}
