//! Starting an entry VM from its settings.

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
use crate::port::{self, Clock, Inbox};
use crate::settings::Settings;
use crate::telemetry::metric::Metrics;
use crate::timeline::entry::Origin;
use crate::timeline::writer::{DEFAULT_CAPACITY, Writer};

/// How long an operator's call waits for the reducer.
pub(super) const ADMIN_DEADLINE: Duration = Duration::from_secs(10);

/// Longest wait for the VM list.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// Requests that may wait for a replica, as a share of those in flight.
const QUEUE_SHARE: usize = 4;

/// A running entry VM.
pub struct Running {
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Address for other entry VMs.
    pub peer: SocketAddr,
    /// What the readiness check says.
    pub ready: Arc<AtomicBool>,
    inbox: Inbox,
    node: Addr<Node>,
    ended: oneshot::Receiver<()>,
}

impl Running {
    /// Whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// Asks for a graceful shutdown, which [`Running::ended`] waits for.
    pub fn stop(&self) {
        self.inbox.send(Event::Stop);
    }

    /// Ends without any of the steps of a graceful shutdown, as a lost VM does.
    pub fn kill(&self) {
        self.node.do_send(Kill);
    }

    /// Returns when the process has finished its graceful shutdown.
    pub async fn ended(&mut self) {
        // An error says that the actor is gone, which is an end as well.
        let _ = (&mut self.ended).await;
    }
}

/// Stops the actor at once.
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

/// Starts an entry VM; must be called inside an actix system.
///
/// # Errors
///
/// An address cannot be used, or a file of the settings cannot be read.
pub fn start(settings: &Settings) -> Result<Running> {
    let Some(listing) = settings.platform.listing else {
        return Err(Error::call("start", "the settings name no VM list"));
    };
    let (inbox, events) = Inbox::new();
    let clock = Clock::start();
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let id = member::Id::generate(since_epoch.as_millis() as u64, rand::random());
    let ready = Arc::new(AtomicBool::new(false));
    let bodies = port::body::Table::default();
    let timeline = open_timeline(settings, id)?;
    let metrics = Metrics::new()?;
    let tuning =
        Tuning { queue_limit: settings.limits.in_flight as usize / QUEUE_SHARE, ..Tuning::default() };

    let identity = port::peer::Identity { member: id, address: settings.listen.peer };
    let tls = settings.tls.as_ref().map(|tls| port::peer::Tls {
        certificate: tls.certificate.clone(),
        key: tls.key.clone(),
        authority: tls.authority.clone(),
    });
    let peer = port::peer::Port::start(
        settings.listen.peer,
        identity,
        port::peer::Limits::default(),
        tls.as_ref(),
        inbox.clone(),
        bodies.clone(),
    )?;
    let caller =
        port::caller::serve(settings.listen.caller, limits(settings), inbox.clone(), bodies.clone())?;
    let admin = port::admin::Port::new(port::admin::Context {
        inbox: inbox.clone(),
        timeline: timeline.clone(),
        metrics: metrics.clone(),
        ready: Arc::clone(&ready),
        deadline: ADMIN_DEADLINE,
    });
    let admin_address = listen(&admin, settings.listen.admin)?;
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
        _listing: port::listing::Port::new(listing, LIST_TIMEOUT, inbox.clone()),
        bodies,
        caller,
        peer,
        admin,
    };
    let me = member::Identity {
        id,
        name: settings.name.clone(),
        zone: zone::Id::of(&settings.zone),
        address: peer_address,
        // Counters of an earlier run belong to another identity, so any start value will do.
        counter: 0,
    };
    let (done, ended) = oneshot::channel();
    let node = Node {
        state: State::new(me, tuning, clock.now()),
        clock,
        random: SmallRng::from_rng(&mut rand::rng()),
        ports,
        timeline,
        metrics,
        ready: Arc::clone(&ready),
        wake: None,
        requests: Map::default(),
        store_calls: Map::default(),
        peer_bytes: (0, 0),
        ended: Some(done),
    };
    let node = Node::create(|context| {
        context.add_stream(UnboundedReceiverStream::new(events));
        node
    });
    Ok(Running {
        caller: caller_address,
        admin: admin_address,
        peer: peer_address,
        ready,
        inbox,
        node,
        ended,
    })
}

pub(super) fn open_timeline(settings: &Settings, id: member::Id) -> Result<Writer> {
    let origin = Origin { process: settings.name.clone(), instance: id.0, zone: settings.zone.clone() };
    match &settings.log.timeline {
        Some(path) => Writer::with_file(origin, DEFAULT_CAPACITY, path),
        None => Ok(Writer::new(origin, DEFAULT_CAPACITY)),
    }
}

fn limits(settings: &Settings) -> port::caller::Limits {
    port::caller::Limits {
        body: settings.limits.body_bytes as usize,
        head_time: settings.limits.header_timeout,
        connections: settings.limits.in_flight as usize,
        ..port::caller::Limits::default()
    }
}

/// Starts the administration API and returns its address.
pub(super) fn listen(admin: &port::admin::Port, address: SocketAddr) -> Result<SocketAddr> {
    let listener =
        TcpListener::bind(address).map_err(|error| Error::io(format!("listen on {address}"), error))?;
    let local = listener.local_addr().map_err(|error| Error::io("read the address of a socket", error))?;
    let server = admin.listen(listener)?;
    actix::spawn(async move {
        if let Err(error) = server.await {
            log::error!("administration API ended: {error}");
        }
    });
    Ok(local)
}
