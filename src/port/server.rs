//! HTTP server for callers that the operators do not control.
//!
//! Its connections are counted by the [`Gate`], and each passes on one request at a time; see [`super::pipeline`].

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use actix_http::error::DispatchError;
use actix_http::{HttpService, KeepAlive};
use actix_server::Server;
use actix_service::{ServiceFactoryExt, fn_service, map_config};
use actix_web::App;
use actix_web::dev::AppConfig;
use actix_web::rt::net::TcpStream;
use actix_web::web::ServiceConfig;

use super::admission::Gate;
use super::pipeline::Stream;

/// Longest wait for a caller to close a connection that the server has ended.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Settings of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Setup {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Number of threads that serve connections.
    pub threads: usize,
    /// Longest time to read the head of a request.
    pub head_timeout: Duration,
    /// Idle time after which a connection is closed.
    pub keep_alive: Duration,
    /// Longest wait for open connections in a graceful shutdown, in whole seconds.
    pub drain_timeout: Duration,
}

/// Starts a server and returns it with its address; must be called inside an actix system. Connections over the limit of the
/// gate wait to be accepted.
///
/// # Errors
///
/// The address cannot be bound.
pub fn start(
    setup: Setup,
    gate: Gate,
    configure: impl Fn(&mut ServiceConfig) + Clone + Send + 'static,
) -> io::Result<(Server, SocketAddr)> {
    let Setup { address, threads, head_timeout, keep_alive, drain_timeout } = setup;
    let listener = std::net::TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    let max_connections = gate.limits().max_connections.div_ceil(threads.max(1));
    let factory = move || {
        let (configure, gate) = (configure.clone(), gate.clone());
        let app = map_config(App::new().configure(configure), |()| AppConfig::default());
        let http = HttpService::build()
            .keep_alive(KeepAlive::Timeout(keep_alive))
            .client_request_timeout(head_timeout)
            .client_disconnect_timeout(DISCONNECT_TIMEOUT)
            // A caller that closes its side of the connection gets no answer, and the reducer is notified immediately.
            .h1_allow_half_closed(false)
            .on_connect_ext(move |stream: &Stream, data| {
                gate.count_connection(stream.socket(), data);
                data.insert(stream.turn());
            })
            .h1(app);
        let accept = move |socket: TcpStream| async move {
            let peer = socket.peer_addr().ok();
            Ok::<_, DispatchError>((Stream::new(socket, head_timeout), peer))
        };
        fn_service(accept).and_then(http)
    };
    let server = Server::build()
        .workers(threads)
        .max_concurrent_connections(max_connections)
        .shutdown_timeout(drain_timeout.as_secs())
        .disable_signals()
        .listen("callers", listener, factory)?
        .run();
    Ok((server, address))
}
