//! Stand-ins of the workers: runs under a lease, ends that are listed until they are acknowledged, fences and gangs.
//!
//! [`state`] makes all decisions. The fleet here passes orders, faults and the passage of time to it, and carries out
//! the effects.

mod cases;
mod life;
mod order;
mod state;

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nutmegfold::standin::server::Guard;
use slotmap::{SecondaryMap, new_key_type};
use tokio::sync::oneshot;

use crate::http::{self, Guarded, Shared};
use crate::judge::Judge;
use crate::store::Store;
use order::Order;
use state::{Effect, Event, State};

/// Service of all workers, as configurations name it.
pub const SERVICE: &str = "huvo11a";

/// Time from the announcement that a worker drains until its process exits.
pub const DRAIN: Duration = Duration::from_millis(4_500);

/// Longest wait for the address of a process to become free after its end.
const BIND_TIMEOUT: Duration = Duration::from_secs(5);

const BIND_RETRY: Duration = Duration::from_millis(10);

new_key_type! {
    /// Worker process at one address, through its lives.
    pub struct Key;
}

/// Worker to start.
#[derive(Debug, Clone)]
pub struct Spec {
    pub id: String,
    pub zone: String,
    pub rack: String,
    pub cpu_millicores: u32,
    /// How much slower than real time the clock of the worker runs.
    pub clock_percent_slow: u32,
}

/// What the tasks of a step do.
#[derive(Debug, Clone, Copy, Default)]
pub struct Work {
    pub duration: Duration,
    /// Whether the tasks run until they are stopped.
    pub is_daemon: bool,
    /// Number of tasks that work only together; 0 if each works alone.
    pub gang_size: usize,
    /// Whether each run ends `failed` after its duration.
    pub is_failing: bool,
    /// Whether copies may run in parallel.
    pub is_speculative: bool,
}

/// Orders that a fault concerns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Filter {
    Any,
    Start,
    Stop,
    Hold,
    /// Renewals that acknowledge ends.
    Acknowledgement,
}

/// Workers with the servers of their processes.
struct Processes {
    state: State,
    servers: SecondaryMap<Key, Guard>,
    /// Servers of processes that have ended. They are dropped without the lock, since that waits for their threads.
    closed: Vec<Guard>,
}

/// What the threads of the fleet share.
struct Context {
    shared: Shared<Processes>,
    store: Store,
    judge: Judge,
}

struct Owner {
    context: Arc<Context>,
    keys: Vec<Key>,
    addresses: SecondaryMap<Key, SocketAddr>,
    clock: Option<JoinHandle<()>>,
}

/// Workers with their listeners; clones share them, and the last one ends them.
#[derive(Clone)]
pub struct Fleet(Arc<Owner>);

impl Fleet {
    /// Starts the workers and announces them at their own addresses.
    pub fn start(store: Store, specs: &[Spec], judge: Judge) -> Fleet {
        let (servers, closed) = (SecondaryMap::new(), Vec::new());
        let mut processes = Processes { state: State::default(), servers, closed };
        let (mut keys, mut addresses, mut listeners) = (Vec::new(), SecondaryMap::new(), Vec::new());
        for spec in specs {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
            let address = listener.local_addr().expect("the listener has an address");
            let key = processes.state.add(spec.clone(), address);
            keys.push(key);
            addresses.insert(key, address);
            listeners.push((key, listener));
        }
        let context = Arc::new(Context { shared: Shared::new(processes), store, judge });
        for (key, listener) in listeners {
            context.begin(key, None, listener);
        }
        let clock = Arc::clone(&context);
        let clock = Some(thread::spawn(move || clock.run_clock()));
        Fleet(Arc::new(Owner { context, keys, addresses, clock }))
    }

    /// Keys in the order of the specs.
    pub fn keys(&self) -> Vec<Key> {
        self.0.keys.clone()
    }

    /// Address that the worker listens on, the same in all of its lives.
    pub fn address(&self, key: Key) -> SocketAddr {
        self.0.addresses[key]
    }

    /// Sets the address in the entry of the worker.
    pub fn announce(&self, worker: Key, public: SocketAddr) {
        self.apply(Event::Announced { worker, public });
    }

    /// Sets what the tasks of a step (`ID.K.STEP`) do; before the job is submitted.
    pub fn set_work(&self, step: &str, work: Work) {
        self.apply(Event::WorkSet { step: step.to_owned(), work });
    }

    /// Stops the heartbeats, or lets them through again. The entry lapses after three intervals.
    pub fn set_store_cut(&self, worker: Key, is_cut: bool) {
        self.apply(Event::StoreCut { worker, is_cut });
    }

    /// Ends the process: its runs are gone, its connections break, new ones are refused.
    pub fn crash(&self, worker: Key) {
        self.apply(Event::Crashed { worker });
    }

    /// Begins a new life under the same id; ends the old one first if it is still there.
    pub fn restart(&self, key: Key) {
        self.begin(key, None);
    }

    /// Begins a new life under another id at the same address.
    pub fn replace(&self, key: Key, id: &str) {
        self.begin(key, Some(id.to_owned()));
    }

    /// Announces `draining`; the process exits [`DRAIN`] later, and its entry is removed.
    pub fn drain(&self, worker: Key) {
        self.apply(Event::Drained { worker });
    }

    /// The next `count` orders get no answer and are carried out after `delay`, by the process that is there then.
    pub fn set_late(&self, worker: Key, filter: Filter, count: u32, delay: Duration) {
        self.apply(Event::LatenessSet { worker, filter, count, delay });
    }

    /// Ends the lateness of orders. Those that would still be carried out are lost.
    pub fn end_lateness(&self) {
        self.apply(Event::LatenessEnded);
    }

    /// Withholds the answers, or sends them again. Orders are carried out.
    pub fn set_mute(&self, worker: Key, is_mute: bool) {
        self.apply(Event::Muted { worker, is_mute });
    }

    /// The next `count` runs that start there end `failed`, through the fault of the worker.
    pub fn fail_next(&self, worker: Key, count: u32) {
        self.apply(Event::FailuresSet { worker, count });
    }

    fn begin(&self, key: Key, id: Option<String>) {
        self.crash(key);
        let listener = bind(self.address(key));
        self.0.context.begin(key, id, listener);
    }

    fn apply(&self, event: Event) {
        let context = &self.0.context;
        let mut guarded = context.shared.lock();
        context.apply(&mut guarded, event);
        let closed = std::mem::take(&mut guarded.state.closed);
        drop(guarded);
        drop(closed);
    }
}

impl Drop for Owner {
    fn drop(&mut self) {
        self.context.shared.end();
        let mut guarded = self.context.shared.lock();
        let servers = (std::mem::take(&mut guarded.state.servers), std::mem::take(&mut guarded.state.closed));
        drop(guarded);
        drop(servers);
        if let Some(clock) = self.clock.take() {
            let _ = clock.join();
        }
    }
}

impl Context {
    /// Begins a life whose process listens on `listener`.
    fn begin(self: &Arc<Self>, worker: Key, id: Option<String>, listener: TcpListener) {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let born_ms = since_epoch.as_millis() as u64;
        let context = Arc::downgrade(self);
        let server = http::serve(listener, Duration::ZERO, move |request| {
            let order = Order::decode(&request);
            // A call that arrives while the fleet ends gets no answer.
            let Some(context) = context.upgrade() else { return oneshot::channel().1 };
            let mut guarded = context.shared.lock();
            let (call, receiver) = guarded.calls.open();
            context.apply(&mut guarded, Event::Ordered { call, worker, order });
            receiver
        });
        let mut guarded = self.shared.lock();
        guarded.state.servers.insert(worker, server);
        self.apply(&mut guarded, Event::Started { worker, id, born_ms });
    }

    fn apply(&self, guarded: &mut Guarded<Processes>, event: Event) {
        let Processes { state, servers, closed } = &mut guarded.state;
        state.is_store_up = self.store.is_up();
        for effect in state::reduce(state, self.shared.now(), event) {
            match effect {
                Effect::Answer { call, answer } => guarded.calls.answer(call, answer),
                Effect::Withhold { call } => guarded.calls.withhold(call),
                Effect::WriteEntry { id, entry } => {
                    self.store.put(&format!("servers/{id}"), entry.to_string().as_bytes());
                }
                Effect::RemoveEntry { id } => self.store.delete(&format!("servers/{id}")),
                Effect::Close { worker } => closed.extend(servers.remove(worker)),
                Effect::Observe(event) => self.judge.observe(event),
            }
        }
        self.shared.notify();
    }

    /// Passes the passage of time to the reducer, and ends servers whose processes have ended.
    fn run_clock(&self) {
        let next_due = |processes: &Processes| {
            let is_closing = !processes.closed.is_empty();
            if is_closing { Some(Duration::ZERO) } else { state::next_due(&processes.state) }
        };
        self.shared.wait_for_due(next_due, |mut guarded| {
            self.apply(&mut guarded, Event::Tick);
            let closed = std::mem::take(&mut guarded.state.closed);
            drop(guarded);
            drop(closed);
        });
    }
}

/// Binds the address of a process that has ended. The system may take some time to release it.
fn bind(address: SocketAddr) -> TcpListener {
    let until = Instant::now() + BIND_TIMEOUT;
    loop {
        match TcpListener::bind(address) {
            Ok(listener) => return listener,
            Err(error) if Instant::now() >= until => panic!("listen on {address}: {error}"),
            Err(_) => thread::sleep(BIND_RETRY),
        }
    }
}
