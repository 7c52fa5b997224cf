//! Stand-in of the platform's VM list, which shows changes with a delay.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use actix_web::HttpResponse;
use actix_web::web::{self, Data, ServiceConfig};

use super::{lock, server};
use crate::error::Result;
use crate::wire::listing::{State, Vm};

/// State of the list. Times are in milliseconds since the start of the stand-in.
#[derive(Debug, Clone, Default)]
pub struct List {
    actual: Vec<Vm>,
    visible: Vec<Vm>,
    /// States that are not visible yet, each with the time at which it becomes visible.
    pending: VecDeque<(u64, Vec<Vm>)>,
    lag_ms: u64,
}

impl List {
    /// Creates an empty list that shows each change after `lag_ms`.
    pub fn new(lag_ms: u64) -> Self {
        Self { lag_ms, ..Self::default() }
    }

    /// Changes the actual state; readers see the change after the lag.
    pub fn update(&mut self, now_ms: u64, change: impl FnOnce(&mut Vec<Vm>)) {
        change(&mut self.actual);
        self.pending.push_back((now_ms + self.lag_ms, self.actual.clone()));
    }

    /// VMs that the list shows at `now_ms`.
    pub fn read(&mut self, now_ms: u64) -> &[Vm] {
        while let Some((_, vms)) = self.pending.pop_front_if(|(from_ms, _)| *from_ms <= now_ms) {
            self.visible = vms;
        }
        &self.visible
    }
}

/// HTTP server of the list, which stops when it is dropped.
#[derive(Debug)]
pub struct Server {
    handle: Handle,
    guard: server::Guard,
}

/// Access to the list of a running server, for tests and runs with faults.
#[derive(Debug, Clone)]
pub struct Handle {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    list: Mutex<List>,
    has_outage: Mutex<bool>,
    started_at: Instant,
}

impl Server {
    /// Serves an empty list at `address`, which shows changes after `lag`; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// The address is in use or is not a local address.
    pub fn start(address: SocketAddr, lag: Duration) -> Result<Self> {
        let list = Mutex::new(List::new(lag.as_millis() as u64));
        let shared = Arc::new(Shared { list, has_outage: Mutex::new(false), started_at: Instant::now() });
        let handle = Handle { shared };
        let data = Data::new(handle.clone());
        let routes = move |config: &mut ServiceConfig| {
            config.app_data(data.clone()).route("/v1/vms", web::get().to(get));
        };
        let guard = server::serve(server::bind([address])?, routes, || ())?;
        Ok(Self { handle, guard })
    }

    /// Address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.guard.address()
    }

    /// Returns a handle to change the list.
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }
}

impl Handle {
    /// Adds a VM, or replaces the VM with the same name.
    pub fn put(&self, vm: Vm) {
        self.update(|vms| match vms.iter_mut().find(|known| known.name == vm.name) {
            Some(known) => *known = vm,
            None => vms.push(vm),
        });
    }

    /// Removes the VM with this name, if there is one.
    pub fn remove(&self, name: impl AsRef<str>) {
        self.update(|vms| vms.retain(|vm| vm.name != name.as_ref()));
    }

    /// Marks a VM as about to be stopped by the platform.
    pub fn mark_leaving(&self, name: impl AsRef<str>) {
        self.update(|vms| {
            for vm in vms.iter_mut().filter(|vm| vm.name == name.as_ref()) {
                vm.state = State::Leaving;
            }
        });
    }

    /// Changes the actual state; readers see the change after the lag.
    pub fn update(&self, change: impl FnOnce(&mut Vec<Vm>)) {
        lock(&self.shared.list).update(self.now_ms(), change);
    }

    /// Starts or ends an outage, during which every call is answered with status 503.
    pub fn set_outage(&self, has_outage: bool) {
        *lock(&self.shared.has_outage) = has_outage;
    }

    fn now_ms(&self) -> u64 {
        self.shared.started_at.elapsed().as_millis() as u64
    }
}

async fn get(handle: Data<Handle>) -> HttpResponse {
    if *lock(&handle.shared.has_outage) {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let now_ms = handle.now_ms();
    HttpResponse::Ok().json(lock(&handle.shared.list).read(now_ms))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::wire::listing::Kind;

    fn vm(name: &str) -> Vm {
        Vm {
            name: name.into(),
            instance: 1,
            kind: Kind::Worker,
            zone: "z".into(),
            rack: "r".into(),
            pool: "p".into(),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            state: State::Live,
        }
    }

    /// Guards against a list that shows changes at once, so that tests miss faults caused by an outdated list.
    #[test]
    fn changes_are_visible_after_the_lag_and_in_order() {
        let mut list = List::new(100);
        list.update(0, |vms| vms.push(vm("a")));
        list.update(50, |vms| vms.push(vm("b")));
        assert!(list.read(99).is_empty());
        assert_eq!(list.read(100).len(), 1);
        assert_eq!(list.read(150).len(), 2);
    }
}
