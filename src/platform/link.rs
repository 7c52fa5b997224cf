//! Connections to workers.
//!
//! A worker accepts a limited number of connections. Those of a leader whose machine is lost are never closed, so they count
//! until the worker ends. A leader therefore holds few connections to each worker, and orders wait in turn for one of them.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use actix_web::rt;
use awc::Client;
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::hash::Map;
use crate::port::http::{Fault, Pool};

/// Orders that are sent to a worker at the same time, each on a connection of its own. With that of the long poll, the
/// connections of 21 leaders that were lost one after the other fit into the 64 of a worker.
const ORDERS: usize = 2;

/// Further orders that are sent at the same time to a worker that leaves orders unanswered.
const EXTRA_ORDERS: usize = 2;

/// Wait of an order for its turn, after which it may be one of the [`EXTRA_ORDERS`]. An answer takes at most 30 ms between
/// regions, so the orders before it are likely to get none.
const EXTRA_AFTER: Duration = Duration::from_millis(150);

/// Time since the last of the [`EXTRA_ORDERS`] after which the connections beyond the usual ones are closed.
const EXTRA_IDLE_TIME: Duration = Duration::from_secs(2);

/// Time since the last order after which all connections to a worker are closed. A leader that is 3 s behind sends renewals
/// to a worker without runs 5.5 s apart, and would otherwise connect anew for each.
const IDLE_TIME: Duration = Duration::from_secs(10);

/// Interval between two searches for connections to close.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Orders that are sent to all workers at the same time. The rest of the 4,096 file descriptors of a small VM is left for
/// callers and peers.
const TOTAL: usize = 3_000;

/// Connections to one worker.
struct Link {
    pool: Pool,
    orders: Semaphore,
    extra_orders: Semaphore,
    used_at: Cell<Instant>,
    /// When an order last was one of the [`EXTRA_ORDERS`], unless their connections have been closed since.
    extra_used_at: Cell<Option<Instant>>,
}

impl Link {
    fn new(timeout: Duration) -> Self {
        Self {
            pool: Pool::unlimited(timeout),
            orders: Semaphore::new(ORDERS),
            extra_orders: Semaphore::new(EXTRA_ORDERS),
            used_at: Cell::new(Instant::now()),
            extra_used_at: Cell::new(None),
        }
    }

    /// Waits until it is the turn of an order.
    async fn turn(&self) -> SemaphorePermit<'_> {
        let usual = self.orders.acquire();
        tokio::pin!(usual);
        let permit = match timeout(EXTRA_AFTER, usual.as_mut()).await {
            Ok(permit) => permit,
            Err(_) => tokio::select! {
                biased;
                permit = usual => permit,
                permit = self.extra_orders.acquire() => {
                    self.extra_used_at.set(Some(Instant::now()));
                    permit
                }
            },
        };
        permit.expect("the semaphores of a link are never closed")
    }
}

/// Connections to all workers, by address.
#[derive(Clone)]
pub(super) struct Table {
    links: Rc<RefCell<Map<SocketAddr, Rc<Link>>>>,
    total: Rc<Semaphore>,
    timeout: Duration,
}

/// Whether an order waits for its turn among the orders to its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Turn {
    /// It is sent at once, since a lease rests on it; the reducer sends one at a time to a worker.
    Renewal,
    /// It waits for its turn.
    Order,
}

impl Table {
    /// Returns a table without connections. Its clients connect within half of `timeout`.
    pub(super) fn new(timeout: Duration) -> Self {
        Self { links: Rc::default(), total: Rc::new(Semaphore::new(TOTAL)), timeout }
    }

    /// Waits until the turn of an order to the worker at `address` has come, and makes the call with the client of that
    /// worker. `None` if its turn has not come until `deadline`; then no call is made.
    ///
    /// After a call that got no answer, the connections to that worker that are not in use are closed, since they may be
    /// silent too.
    pub(super) async fn call<Answer>(
        &self,
        address: SocketAddr,
        turn: Turn,
        deadline: Instant,
        call: impl AsyncFnOnce(Client) -> Result<Answer, Fault>,
    ) -> Option<Result<Answer, Fault>> {
        let link = self.link(address);
        let permits = timeout_at(deadline, async {
            let turn = match turn {
                Turn::Renewal => None,
                Turn::Order => Some(link.turn().await),
            };
            (turn, self.total.acquire().await)
        });
        let _permits = permits.await.ok()?;
        let began = Instant::now();
        link.used_at.set(began);
        let result = call(link.pool.client()).await;
        if matches!(result, Err(Fault::Lost)) {
            link.pool.renew_after_loss(began);
        }
        Some(result)
    }

    fn link(&self, address: SocketAddr) -> Rc<Link> {
        let mut links = self.links.borrow_mut();
        if links.is_empty() {
            rt::spawn(sweep(Rc::downgrade(&self.links)));
        }
        let link = links.entry(address).or_insert_with(|| Rc::new(Link::new(self.timeout)));
        link.used_at.set(Instant::now());
        Rc::clone(link)
    }
}

/// Closes connections that are not needed, until there are none. Calls in flight keep their connections until they end.
async fn sweep(links: Weak<RefCell<Map<SocketAddr, Rc<Link>>>>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        let Some(links) = links.upgrade() else { return };
        let mut links = links.borrow_mut();
        links.retain(|_, link| link.used_at.get().elapsed() < IDLE_TIME);
        for link in links.values() {
            if link.extra_used_at.get().is_some_and(|at| at.elapsed() >= EXTRA_IDLE_TIME) {
                link.extra_used_at.set(None);
                link.pool.renew();
            }
        }
        if links.is_empty() {
            return;
        }
    }
}
