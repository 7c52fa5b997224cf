//! gRPC server for messages and forwarded requests of other entry VMs.

use std::net::SocketAddr;
use std::time::Duration;

use prost::Message as _;
use tokio::sync::watch;
use tonic::transport::server::TcpIncoming;
use tonic::transport::{Server, ServerTlsConfig};
use tonic::{Request, Response, Status};

use super::Limits;
use crate::core::event::Event;
use crate::core::exchange::{self, Completion};
use crate::error::{Error, Result};
use crate::port::Inbox;
use crate::port::body::{Guard, Table};
use crate::port::traffic::Traffic;
use crate::wire::call::Call;
use crate::wire::generated::peer as proto;
use crate::wire::generated::peer::peer_server::{Peer, PeerServer};
use crate::wire::peer::Parcel;

/// Interval of keepalive pings on a connection, and the longest wait for the reply to a ping. A connection whose peer
/// does not reply is closed, so that it does not occupy memory.
const PING_INTERVAL: Duration = Duration::from_secs(20);

/// Handle to a running server.
#[derive(Debug, Clone)]
pub(super) struct Handle {
    address: SocketAddr,
    stop_sender: watch::Sender<bool>,
    ended: watch::Receiver<bool>,
}

impl Handle {
    /// Address that the server listens on.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening, and waits until all calls have ended.
    pub(super) async fn stop(&self) {
        self.stop_sender.send_replace(true);
        let mut ended = self.ended.clone();
        // An error means that the server task has been dropped, so it has ended too.
        let _ = ended.wait_for(|ended| *ended).await;
    }
}

#[derive(Debug)]
struct Service {
    inbox: Inbox,
    bodies: Table,
    traffic: Traffic,
}

pub(super) fn serve(
    listen: SocketAddr,
    limits: Limits,
    tls: Option<ServerTlsConfig>,
    inbox: Inbox,
    bodies: Table,
    traffic: Traffic,
) -> Result<Handle> {
    let bind_error = |source| Error::io(format!("listening for peers on {listen}"), source);
    let incoming = TcpIncoming::bind(listen).map_err(bind_error)?.with_nodelay(Some(true));
    let address = incoming.local_addr().map_err(bind_error)?;
    let (stop_sender, mut stop_requested) = watch::channel(false);
    let (ended_sender, ended) = watch::channel(false);
    let service = PeerServer::new(Service { inbox, bodies, traffic })
        .max_decoding_message_size(limits.max_message_bytes)
        .max_encoding_message_size(limits.max_message_bytes);
    let mut server = Server::builder()
        .http2_keepalive_interval(Some(PING_INTERVAL))
        .http2_keepalive_timeout(Some(PING_INTERVAL));
    if let Some(tls) = tls {
        server = server.tls_config(tls).map_err(|error| Error::call("TLS for peers", error))?;
    }
    tokio::spawn(async move {
        let shutdown = async move {
            let _ = stop_requested.wait_for(|requested| *requested).await;
        };
        let server = server.add_service(service).serve_with_incoming_shutdown(incoming, shutdown);
        if let Err(error) = server.await {
            log::error!("the server for peers failed: {error}");
        }
        ended_sender.send_replace(true);
    });
    Ok(Handle { address, stop_sender, ended })
}

#[tonic::async_trait]
impl Peer for Service {
    async fn deliver(
        &self,
        request: Request<proto::Parcel>,
    ) -> std::result::Result<Response<proto::Receipt>, Status> {
        let parcel = request.into_inner();
        self.traffic.count_received(parcel.encoded_len());
        let Parcel { from, address, message } = Parcel::try_from(parcel).map_err(reject)?;
        self.inbox.send(Event::Peer { from, address, message });
        Ok(Response::new(proto::Receipt {}))
    }

    async fn forward(
        &self,
        request: Request<proto::Call>,
    ) -> std::result::Result<Response<proto::Answer>, Status> {
        let call = request.into_inner();
        self.traffic.count_received(call.encoded_len());
        let call = Call::try_from(call).map_err(reject)?;
        let guard = self.submit(call);
        let answer = proto::Answer { outcome: Some(wait_for_outcome(guard).await) };
        self.traffic.count_sent(answer.encoded_len());
        Ok(Response::new(answer))
    }
}

impl Service {
    fn submit(&self, call: Call) -> Guard {
        let Call { id, timeout, request } = call;
        let (service, path) = (request.service.clone(), request.path.clone());
        let bytes = request.body.len() as u64;
        let guard = self.bodies.insert(request, &self.inbox);
        self.inbox.send(Event::Request(exchange::Request {
            ticket: guard.ticket(),
            id,
            service,
            path,
            timeout: Some(timeout),
            bytes,
            forwarded: true,
        }));
        guard
    }
}

async fn wait_for_outcome(mut guard: Guard) -> proto::answer::Outcome {
    match guard.wait_for_completion().await {
        Completion::Deliver { attempt } => match guard.take_answer(attempt) {
            Some(answer) => proto::answer::Outcome::Delivered(answer.into()),
            None => {
                log::error!("the answer to attempt {attempt} of request {} is missing", guard.ticket().0);
                proto::answer::Outcome::Unknown(proto::Unknown {})
            }
        },
        Completion::NotRun { .. } => proto::answer::Outcome::NotRun(proto::NotRun {}),
        Completion::Unknown => proto::answer::Outcome::Unknown(proto::Unknown {}),
    }
}

fn reject(reason: impl std::fmt::Display) -> Status {
    log::warn!("a malformed message of a peer was rejected: {reason}");
    Status::invalid_argument(reason.to_string())
}
