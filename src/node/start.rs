//! Start of an entry VM from its settings.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use actix::{Actor, Addr, AsyncContext, Handler, Message};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::oneshot;
use tokio_stream::wrappers::UnboundedReceiverStream;

use super::{Node, Ports};
use crate::core::event::Event;
use crate::core::tuning::Tuning;
use crate::core::{State, member};
use crate::declare::zone;
use crate::error::{Error, Result};
use crate::hash::Map;
use crate::port::admission::Gate;
use crate::port::{self, Clock, Inbox};
use crate::settings::Settings;
use crate::telemetry::metric::Metrics;
use crate::timeline::entry::Origin;
use crate::timeline::writer::{DEFAULT_CAPACITY, Writer};

/// Longest wait of an operator's call for the reducer's answer.
pub(super) const ADMIN_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest wait for the platform to return the VM list.
const LISTING_TIMEOUT: Duration = Duration::from_secs(2);

/// The limit on requests that wait for a replica is the limit on requests in flight, divided by this number.
const QUEUE_DIVISOR: usize = 4;

/// A running entry VM.
pub struct Running {
    /// Address of the server for callers.
    pub caller_address: SocketAddr,
    /// Address of the administration API.
    pub admin_address: SocketAddr,
    /// Address of the server for other entry VMs.
    pub peer_address: SocketAddr,
    /// Whether the readiness check succeeds.
    pub ready: Arc<AtomicBool>,
    inbox: Inbox,
    node: Addr<Node>,
    ended: oneshot::Receiver<()>,
}

impl Running {
    /// Whether this entry VM is ready for requests of callers.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// Requests a graceful shutdown; [`Running::ended`] waits until it is complete.
    pub fn stop(&self) {
        self.inbox.send(Event::Stop);
    }

    /// Stops the actor without the steps of a graceful shutdown, to simulate the loss of the VM.
    pub fn kill(&self) {
        self.node.do_send(Kill);
    }

    /// Waits until the graceful shutdown is complete.
    pub async fn ended(&mut self) {
        // An error means that the actor has been dropped, so it has ended too.
        let _ = (&mut self.ended).await;
    }
}

/// Message that stops the actor immediately.
#[derive(Message)]
#[rtype(result = "()")]
struct Kill;

impl Handler<Kill> for Node {
    type Result = ();

    fn handle(&mut self, _: Kill, context: &mut Self::Context) {
        use actix::ActorContext;
        let (caller, peer) = (self.ports.caller.clone(), self.ports.peer.clone());
        actix::spawn(async move {
            caller.stop(false).await;
            peer.stop().await;
        });
        context.stop();
    }
}

/// Starts an entry VM that runs declared work; must be called inside an actix system.
///
/// # Errors
///
/// The settings have no address of the VM list, an address cannot be bound, or a file named in the settings cannot be
/// opened.
pub fn start(settings: &Settings) -> Result<Running> {
    let Some(listing) = settings.platform.listing else {
        return Err(Error::call("start", "the settings have no address of the VM list"));
    };
    let (inbox, events) = Inbox::new();
    let clock = Clock::start();
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let id = member::Id::generate(since_epoch.as_millis() as u64, rand::random());
    let ready = Arc::new(AtomicBool::new(false));
    let bodies = port::body::Table::default();
    let timeline = open_timeline(settings, id)?;
    let metrics = Metrics::new()?;
    metrics.observe_lost_entries(timeline.lost_counter());
    let tuning =
        Tuning { queue_limit: settings.limits.in_flight as usize / QUEUE_DIVISOR, ..Tuning::default() };

    let peer_identity = port::peer::Identity { member: id, address: settings.listen.peer };
    let tls = settings.tls.as_ref().map(|tls| port::peer::Tls {
        certificate: tls.certificate.clone(),
        key: tls.key.clone(),
        authority: tls.authority.clone(),
    });
    let peer = port::peer::Port::start(
        settings.listen.peer,
        peer_identity,
        port::peer::Limits::default(),
        tls.as_ref(),
        inbox.clone(),
        bodies.clone(),
    )?;
    let gate = Gate::new(settings.limits.admission());
    metrics.observe_admission(&gate);
    let caller = port::caller::serve(
        settings.listen.caller,
        caller_limits(settings),
        gate,
        inbox.clone(),
        bodies.clone(),
    )?;
    let admin = port::admin::Port::new(port::admin::Context {
        inbox: inbox.clone(),
        timeline: timeline.clone(),
        metrics: metrics.clone(),
        ready: Arc::clone(&ready),
        timeout: ADMIN_TIMEOUT,
    });
    let admin_address = serve_admin(&admin, settings.listen.admin)?;
    let (caller_address, peer_address) = (caller.address(), peer.address());
    let timeout = tuning.call_timeout;
    let ports = Ports {
        upstream: port::upstream::Port::new(
            port::upstream::Limits::default(),
            clock,
            inbox.clone(),
            bodies.clone(),
        ),
        store: port::store::Port::new(settings.platform.store, timeout, inbox.clone()),
        worker: port::worker::Port::new(timeout, clock, inbox.clone()),
        _listing: port::listing::Port::new(listing, LISTING_TIMEOUT, inbox.clone()),
        bodies,
        caller,
        peer,
        admin,
    };
    let member = member::Identity {
        id,
        name: settings.name.clone(),
        zone: zone::Id::of(&settings.zone),
        address: peer_address,
        // Every start of the process generates a new identity, so the heartbeat counter can start at any value.
        counter: 0,
    };
    let (end_sender, ended) = oneshot::channel();
    let node = Node {
        state: State::new(member, tuning, clock.now()),
        clock,
        random: SmallRng::from_rng(&mut rand::rng()),
        ports,
        timeline,
        metrics,
        ready: Arc::clone(&ready),
        wake_timer: None,
        received_at: Map::default(),
        store_call_kinds: Map::default(),
        last_peer_bytes: (0, 0),
        end_sender: Some(end_sender),
    };
    let node = Node::create(|context| {
        context.add_stream(UnboundedReceiverStream::new(events));
        node
    });
    Ok(Running { caller_address, admin_address, peer_address, ready, inbox, node, ended })
}

pub(super) fn open_timeline(settings: &Settings, id: member::Id) -> Result<Writer> {
    let origin = Origin { process: settings.name.clone(), instance: id.0, zone: settings.zone.clone() };
    match &settings.log.timeline {
        Some(path) => Writer::with_file(origin, DEFAULT_CAPACITY, path),
        None => Ok(Writer::new(origin, DEFAULT_CAPACITY)),
    }
}

fn caller_limits(settings: &Settings) -> port::caller::Limits {
    port::caller::Limits { header_timeout: settings.limits.header_timeout, ..port::caller::Limits::default() }
}

/// Starts the administration API and returns the address that it listens on.
pub(super) fn serve_admin(admin: &port::admin::Port, address: SocketAddr) -> Result<SocketAddr> {
    let listener =
        TcpListener::bind(address).map_err(|error| Error::io(format!("listen on {address}"), error))?;
    let local = listener.local_addr().map_err(|error| Error::io("read the address of a socket", error))?;
    let server = admin.listen(listener)?;
    actix::spawn(async move {
        if let Err(error) = server.await {
            log::error!("the server of the administration API failed: {error}");
        }
    });
    Ok(local)
}
