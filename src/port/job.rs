//! gRPC client and server for requests about jobs between entry VMs.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use prost::Message;
use tokio::sync::watch;
use tokio::time::Instant;
use tonic::codec::CompressionEncoding;
use tonic::transport::server::TcpIncoming;
use tonic::transport::{Channel, Endpoint, Server};
use tonic::{Code, Request, Response, Status};

use super::Inbox;
use super::peer::is_refused;
use super::pending::Table;
use crate::core::event::Event;
use crate::core::work::config::Update;
use crate::core::work::event::{Event as WorkEvent, Fault};
use crate::core::work::request::{self, Answer, Ticket};
use crate::error::{Error, Result};
use crate::hash::Map;
use crate::wire::generated::job as proto;
use crate::wire::generated::job::configs_client::ConfigsClient;
use crate::wire::generated::job::configs_server::{Configs, ConfigsServer};
use crate::wire::generated::job::jobs_client::JobsClient;
use crate::wire::generated::job::jobs_server::{Jobs, JobsServer};

/// Longest time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest wait for the answer of another entry VM, which answers immediately unless it has failed.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Interval of keepalive pings on a connection, and the longest wait for the reply to a ping.
const PING_INTERVAL: Duration = Duration::from_millis(700);

/// Forwards requests to other entry VMs, and serves the requests that they forward.
#[derive(Clone)]
pub struct Port {
    inbox: Inbox,
    links: Rc<RefCell<Map<SocketAddr, Link>>>,
    stop_sender: watch::Sender<bool>,
    ended: watch::Receiver<bool>,
}

/// Connection to another entry VM.
#[derive(Clone)]
struct Link {
    channel: Channel,
    opened: Instant,
}

/// Requests of other entry VMs for a newer configuration.
pub type Updates = Table<Option<Update>>;

struct Relay {
    updates: Updates,
}

struct Service {
    pending: Table,
}

impl Port {
    /// Starts a server on `listen`; must be called inside a tokio runtime.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn start(listen: SocketAddr, inbox: Inbox, pending: Table, updates: Updates) -> Result<Self> {
        let bind_error = |source| Error::io(format!("listening for entry VMs on {listen}"), source);
        let incoming = TcpIncoming::bind(listen).map_err(bind_error)?.with_nodelay(Some(true));
        let (stop_sender, mut stop_requested) = watch::channel(false);
        let (ended_sender, ended) = watch::channel(false);
        let server = Server::builder()
            .http2_keepalive_interval(Some(PING_INTERVAL))
            .http2_keepalive_timeout(Some(PING_INTERVAL))
            .add_service(JobsServer::new(Service { pending }))
            .add_service(ConfigsServer::new(Relay { updates }).send_compressed(CompressionEncoding::Gzip));
        tokio::spawn(async move {
            let shutdown = async move {
                // An error means that the port has been dropped, which also stops the server.
                let _ = stop_requested.wait_for(|requested| *requested).await;
            };
            if let Err(error) = server.serve_with_incoming_shutdown(incoming, shutdown).await {
                log::error!("the server for entry VMs failed: {error}");
            }
            ended_sender.send_replace(true);
        });
        Ok(Self { inbox, links: Rc::default(), stop_sender, ended })
    }

    /// Stops listening, and waits until all calls have ended.
    pub async fn stop(&self) {
        self.stop_sender.send_replace(true);
        let mut ended = self.ended.clone();
        // An error means that the server task has been dropped, so it has ended too.
        let _ = ended.wait_for(|ended| *ended).await;
    }

    /// Forwards a request; the answer, or the reason why there is none, arrives as an event.
    pub fn forward(&self, ticket: Ticket, to: SocketAddr, request: request::Request) {
        let port = self.clone();
        actix_web::rt::spawn(async move {
            let link = port.link(to);
            let result = call(to, &link, &request).await;
            if result.is_err() {
                port.close(to, &link);
            }
            port.inbox.send(Event::Work(WorkEvent::Forwarded { ticket, result }));
        });
    }

    /// Asks another entry VM for the changes of the configuration since the version `known`; the answer, or the reason why
    /// there is none, arrives as an event.
    pub fn ask_config(&self, to: SocketAddr, known: u64, wait: Duration) {
        let port = self.clone();
        actix_web::rt::spawn(async move {
            let link = port.link(to);
            let mut client =
                ConfigsClient::new(link.channel.clone()).accept_compressed(CompressionEncoding::Gzip);
            let query = proto::Known { version: known, wait_ms: wait.as_millis() as u64 };
            let answer = match tokio::time::timeout(wait + ANSWER_TIMEOUT, client.since(query)).await {
                Ok(Ok(response)) => Ok(response.into_inner()),
                Ok(Err(status)) => Err(classify_status(&status)),
                Err(_) => Err(Fault::Lost),
            };
            let bytes = answer.as_ref().map_or(0, |update| update.encoded_len());
            let result = answer.map(Option::from);
            if result.is_err() {
                port.close(to, &link);
            }
            port.inbox.send(Event::Work(WorkEvent::ConfigUpdated { from: to, result, bytes }));
        });
    }

    /// Closes a connection on which a call got no answer, since it may have gone silent. A newer one is kept.
    fn close(&self, to: SocketAddr, used: &Link) {
        let mut links = self.links.borrow_mut();
        if links.get(&to).is_some_and(|link| link.opened == used.opened) {
            links.remove(&to);
        }
    }

    fn link(&self, to: SocketAddr) -> Link {
        let mut links = self.links.borrow_mut();
        let link = links.entry(to).or_insert_with(|| {
            let channel = Endpoint::from_shared(format!("http://{to}"))
                .expect("an address is a valid URI authority")
                .connect_timeout(CONNECT_TIMEOUT)
                .http2_keep_alive_interval(PING_INTERVAL)
                .keep_alive_timeout(PING_INTERVAL)
                .tcp_nodelay(true)
                .connect_lazy();
            Link { channel, opened: Instant::now() }
        });
        link.clone()
    }
}

async fn call(to: SocketAddr, link: &Link, request: &request::Request) -> std::result::Result<Answer, Fault> {
    let mut client = JobsClient::new(link.channel.clone());
    let timeout = request.timeout.min(ANSWER_TIMEOUT);
    let answer = tokio::time::timeout(timeout, client.ask(proto::Query::from(request))).await;
    let response = answer.map_err(|_| Fault::Lost)?.map_err(|status| classify_status(&status))?;
    Answer::try_from(response.into_inner()).map_err(|error| {
        log::warn!("entry VM {to} sent a malformed answer: {error}");
        Fault::Lost
    })
}

fn classify_status(status: &Status) -> Fault {
    if is_refused(status) {
        Fault::Refused
    } else if super::peer::is_unconnected(status) {
        Fault::NotSent
    } else {
        if status.code() != Code::Unavailable {
            log::debug!("call to an entry VM failed: {status}");
        }
        Fault::Lost
    }
}

#[tonic::async_trait]
impl Jobs for Service {
    async fn ask(
        &self,
        request: Request<proto::Query>,
    ) -> std::result::Result<Response<proto::Answer>, Status> {
        let request = request::Request::try_from(request.into_inner())
            .map_err(|error| Status::invalid_argument(error.to_string()))?;
        let timeout = request.timeout;
        let answer = self.pending.request(request, true, timeout).await;
        Ok(Response::new(answer.into()))
    }
}

#[tonic::async_trait]
impl Configs for Relay {
    async fn since(
        &self,
        request: Request<proto::Known>,
    ) -> std::result::Result<Response<proto::ConfigUpdate>, Status> {
        let proto::Known { version, wait_ms } = request.into_inner();
        let wait = Duration::from_millis(wait_ms);
        let event = |ticket| WorkEvent::ConfigAsked { ticket, known: version, wait };
        let update = self.updates.send(event, wait + ANSWER_TIMEOUT).await;
        let update = update.ok_or_else(|| Status::deadline_exceeded("no answer of the reducer"))?;
        Ok(Response::new(update.into()))
    }
}
