//! HTTP server of a stand-in, which runs in a thread of its own.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::thread::JoinHandle;
use std::time::Duration;

use actix_web::body::{BodySize, MessageBody};
use actix_web::dev::ServerHandle;
use actix_web::rt::System;
use actix_web::web::{Bytes, PayloadConfig, ServiceConfig};
use actix_web::{App, HttpResponse, HttpServer};

use crate::error::{Error, Result};

/// Longer than callers keep an idle connection, so that the caller closes it and not the server.
const KEEP_ALIVE: Duration = Duration::from_secs(120);
/// Maximum size of a request body in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Running server, which stops when the guard is dropped.
#[derive(Debug)]
pub struct Guard {
    addresses: Vec<SocketAddr>,
    handle: ServerHandle,
    thread: Option<JoinHandle<()>>,
}

impl Guard {
    /// Addresses that the server listens on, in the order of the listeners.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// First address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.addresses[0]
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        // `stop` sends the command immediately; its future only waits for the server to end, as `join` does.
        drop(self.handle.stop(false));
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::warn!("stand-in server thread panicked");
        }
    }
}

/// Binds a socket to each of `addresses`; port 0 selects a free port.
///
/// # Errors
///
/// An address is in use or is not a local address.
pub fn bind(addresses: impl IntoIterator<Item = SocketAddr>) -> Result<Vec<TcpListener>> {
    let bind = |address| {
        TcpListener::bind(address).map_err(|error| Error::io(format!("listen on {address}"), error))
    };
    addresses.into_iter().map(bind).collect()
}

/// Serves `routes` on all `listeners` from one thread, which calls `on_start` before it accepts requests.
///
/// # Errors
///
/// The server cannot use a listener.
pub fn serve(
    listeners: Vec<TcpListener>,
    routes: impl Fn(&mut ServiceConfig) + Clone + Send + 'static,
    on_start: impl FnOnce() + Send + 'static,
) -> Result<Guard> {
    let local = |listener: &TcpListener| listener.local_addr();
    let addresses: io::Result<Vec<SocketAddr>> = listeners.iter().map(local).collect();
    let addresses = addresses.map_err(|error| Error::io("read a listening address", error))?;
    let (sender, receiver) = std::sync::mpsc::channel();
    let thread = std::thread::spawn(move || {
        System::new().block_on(async move {
            let server = match start(listeners, routes) {
                Ok(server) => server,
                Err(error) => return drop(sender.send(Err(error))),
            };
            on_start();
            drop(sender.send(Ok(server.handle())));
            if let Err(error) = server.await {
                log::error!("stand-in server failed: {error}");
            }
        });
    });
    let started = receiver.recv().map_err(|error| Error::call("start a stand-in", error))?;
    let handle = started.map_err(|error| Error::io("start a stand-in", error))?;
    Ok(Guard { addresses, handle, thread: Some(thread) })
}

fn start(
    listeners: Vec<TcpListener>,
    routes: impl Fn(&mut ServiceConfig) + Clone + Send + 'static,
) -> io::Result<actix_web::dev::Server> {
    let app = move || {
        App::new().app_data(PayloadConfig::new(MAX_BODY_BYTES)).configure(|config| routes.clone()(config))
    };
    let mut server = HttpServer::new(app).workers(1).keep_alive(KEEP_ALIVE).disable_signals();
    for listener in listeners {
        server = server.listen(listener)?;
    }
    Ok(server.run())
}

/// Response that is cut off: the status and a content length are sent, then the connection is closed.
pub(crate) fn truncated_response() -> HttpResponse {
    HttpResponse::Ok().body(TruncatedBody)
}

/// Response body that declares a length and fails before its first byte.
struct TruncatedBody;

impl MessageBody for TruncatedBody {
    type Error = io::Error;

    fn size(&self) -> BodySize {
        BodySize::Sized(64)
    }

    fn poll_next(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        Poll::Ready(Some(Err(io::ErrorKind::ConnectionReset.into())))
    }
}
