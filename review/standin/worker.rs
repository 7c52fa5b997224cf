//! Stand-in of the workers: runs under a lease, ends that are listed until they are acknowledged, fences and gangs.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Reply, Request, Server};
use crate::json::{Json, table};
use crate::record::Record;
use crate::store::Store;

/// Bounds of the deployment that workers apply.
pub const MAX_HOLD_MS: u64 = 6_000;
const GANG_TIMEOUT_MS: u64 = 3_000;

/// Time from the crash of a worker until its entry is removed: three heartbeats.
const ENTRY_LIFE: Duration = Duration::from_millis(3_300);

/// Most ends in one listing.
const ENDS_PER_LISTING: usize = 500;

/// What the tasks of a step do, by `ID.K.STEP`.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    pub length_ms: u64,
    /// Number of tasks that work only together; 0 if each works alone.
    pub gang: usize,
}

/// A run, from its start to its end.
#[derive(Debug, Clone)]
pub struct Seen {
    pub task: String,
    pub run: u64,
    pub worker: String,
    pub started_ms: u64,
    /// When and how it ended; `gone` if its worker crashed.
    pub ended: Option<(u64, &'static str)>,
    /// When `acked_upto` reached its end.
    pub noted_ms: Option<u64>,
}

/// Members of one run of a gang.
#[derive(Debug, Default)]
struct Gang {
    present: usize,
    began: Option<Instant>,
    is_done: bool,
    is_broken: bool,
}

/// What all workers share.
pub struct World {
    pub record: Record,
    pub store: Arc<Store>,
    pub work: Mutex<HashMap<String, Work>>,
    pub seen: Mutex<Vec<Seen>>,
    gangs: Mutex<HashMap<(String, u64), Gang>>,
}

impl World {
    pub fn new(record: Record, store: Arc<Store>) -> Arc<World> {
        Arc::new(World {
            record,
            store,
            work: Mutex::default(),
            seen: Mutex::default(),
            gangs: Mutex::default(),
        })
    }

    /// All runs so far.
    pub fn runs(&self) -> Vec<Seen> {
        self.seen.lock().expect("lock").clone()
    }

    fn work_of(&self, task: &str) -> Work {
        let step = step_of(task);
        self.work.lock().expect("lock").get(step).copied().unwrap_or(Work { length_ms: 1_000, gang: 0 })
    }
}

/// `ID.K.STEP` of a task.
fn step_of(task: &str) -> &str {
    task.rsplit_once('.').map_or(task, |(step, _)| step)
}

#[derive(Debug)]
struct Run {
    number: u64,
    started: Instant,
    work: Work,
    seen: usize,
}

#[derive(Debug)]
struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    seen: usize,
    /// Whether the worker's lease has lapsed since. Such an end doesn't count as taken note of.
    has_lapsed: bool,
}

/// One life of a worker.
struct Life {
    id: String,
    born_ms: u64,
    clock_start: Instant,
    fence: u64,
    lease_end_ms: u64,
    running: BTreeMap<String, Run>,
    /// Highest run of each task that was stopped or ended here.
    highest: HashMap<String, u64>,
    ended: Vec<End>,
    last_end: u64,
    is_cut: bool,
    /// Whether only its answers are cut off.
    is_mute: bool,
    is_down: bool,
}

/// Orders that are left without an answer.
#[derive(Debug, Default)]
struct Late {
    /// Delay of the next renewal that acknowledges an end.
    acknowledgement: Option<Duration>,
    has_delayed: bool,
    is_next_ignored: bool,
}

impl Life {
    fn clock_ms(&self) -> u64 {
        // A worker's clock doesn't start at zero.
        1_000 + self.clock_start.elapsed().as_millis() as u64
    }
}

/// A worker at an address, through its lives.
pub struct Worker {
    world: Arc<World>,
    pub address: SocketAddr,
    life: Mutex<Life>,
    late: Mutex<Late>,
    changed: Condvar,
    server: Mutex<Option<Server>>,
    service: String,
    zone: String,
    rack: String,
    cpu: u64,
}

impl Worker {
    pub fn start(
        world: &Arc<World>,
        id: &str,
        service: &str,
        zone: &str,
        rack: &str,
        cpu: u64,
    ) -> Arc<Worker> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("address");
        let worker = Arc::new(Worker {
            world: Arc::clone(world),
            address,
            life: Mutex::new(new_life(id)),
            late: Mutex::default(),
            changed: Condvar::new(),
            server: Mutex::default(),
            service: service.into(),
            zone: zone.into(),
            rack: rack.into(),
            cpu,
        });
        worker.listen(listener);
        worker.register();
        let ticking = Arc::clone(&worker);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(3));
                let mut life = ticking.lock();
                ticking.advance(&mut life);
            }
        });
        worker
    }

    fn lock(&self) -> MutexGuard<'_, Life> {
        self.life.lock().expect("lock")
    }

    fn listen(self: &Arc<Self>, listener: TcpListener) {
        let worker = Arc::clone(self);
        let server = Server::start(listener, Arc::new(move |request| worker.handle(request)));
        *self.server.lock().expect("lock") = Some(server);
    }

    pub fn id(&self) -> String {
        self.lock().id.clone()
    }

    /// Writes the entry of this life. Later heartbeats change nothing but `seq`, so they are left out.
    fn register(&self) {
        let life = self.lock();
        let entry = table(vec![
            ("service", self.service.as_str().into()),
            ("address", self.address.to_string().as_str().into()),
            ("zone", self.zone.as_str().into()),
            ("version", "v1".into()),
            ("slots", 8.into()),
            ("state", "ready".into()),
            ("cold_remaining_ms", 0.into()),
            ("capacity", table(vec![("cpu", self.cpu.into()), ("mem_mb", 64_000.into()), ("gpu", 0.into())])),
            ("labels", vec![Json::from("a"), Json::from(self.rack.as_str())].into()),
            ("clock_ms", life.clock_ms().into()),
            ("born", life.born_ms.into()),
            ("seq", 1.into()),
        ]);
        let key = format!("servers/{}", life.id);
        drop(life);
        self.world.store.put(&key, &entry.to_string());
    }

    /// Cuts the worker off from all machines of the system, or ends that. It runs on, and reaches the store.
    pub fn set_cut(&self, is_cut: bool) {
        let mut life = self.lock();
        life.is_cut = is_cut;
        self.world.record.add(format!(
            "worker {} {}",
            life.id,
            if is_cut { "is cut off" } else { "is reached again" }
        ));
        self.changed.notify_all();
    }

    /// Cuts off the worker's answers to all machines of the system, or ends that. Orders still arrive.
    pub fn set_mute(&self, is_mute: bool) {
        let mut life = self.lock();
        life.is_mute = is_mute;
        let state = if is_mute { "are cut off" } else { "arrive again" };
        self.world.record.add(format!("the answers of worker {} {state}", life.id));
    }

    /// Ends the process: its connections break, and all its runs are gone. Its entry lapses later.
    pub fn crash(self: &Arc<Self>) {
        let mut life = self.lock();
        life.is_down = true;
        let id = life.id.clone();
        self.world.record.add(format!("worker {id} crashes"));
        let now_ms = self.world.record.now_ms();
        let mut seen = self.world.seen.lock().expect("lock");
        for (task, run) in std::mem::take(&mut life.running) {
            seen[run.seen].ended = Some((now_ms, "gone"));
            self.world.record.add(format!("gone {task} run {} on {id}", run.number));
            self.break_gang(&task, &run);
        }
        drop(seen);
        life.ended.clear();
        drop(life);
        self.changed.notify_all();
        if let Some(server) = self.server.lock().expect("lock").take() {
            server.stop();
        }
        let worker = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(ENTRY_LIFE);
            let life = worker.lock();
            let lives_again = life.id == id && !life.is_down;
            drop(life);
            if !lives_again {
                worker.world.store.delete(&format!("servers/{id}"));
            }
        });
    }

    /// Begins a new life at the same address, as a new worker.
    pub fn restart(self: &Arc<Self>, id: &str) {
        let listener = TcpListener::bind(self.address).expect("the address is free again");
        *self.lock() = new_life(id);
        self.world.record.add(format!("worker {id} starts at {}", self.address));
        self.listen(listener);
        self.register();
    }

    /// Leaves the next renewal that acknowledges ends without an answer, and carries it out after a delay.
    pub fn delay_acknowledgement(&self, delay: Duration) {
        self.late.lock().expect("lock").acknowledgement = Some(delay);
    }

    /// Whether such a renewal has come.
    pub fn has_delayed(&self) -> bool {
        self.late.lock().expect("lock").has_delayed
    }

    /// Leaves the next renewal without an answer, and doesn't carry it out before the script ends.
    pub fn ignore_next_hold(&self) {
        self.late.lock().expect("lock").is_next_ignored = true;
    }

    /// Whether an order is left without an answer now. One that is carried out late is handled then, by the process that
    /// has the worker's id by that time.
    fn is_left_late(self: &Arc<Self>, request: &Request, body: &Json) -> bool {
        let mut late = self.late.lock().expect("lock");
        if request.path != "/hold" {
            return false;
        }
        let upto = body.number("acked_upto").unwrap_or(0);
        if upto > 0
            && let Some(delay) = late.acknowledgement.take()
        {
            late.has_delayed = true;
            self.world
                .record
                .add(format!("a renewal with acked_upto {upto} at {} gets no answer", self.id()));
            let (worker, request) = (Arc::clone(self), request.clone());
            thread::spawn(move || {
                thread::sleep(delay);
                worker
                    .world
                    .record
                    .add(format!("the renewal with acked_upto {upto} at {} is carried out", worker.id()));
                worker.execute(&request);
            });
            return true;
        }
        if std::mem::take(&mut late.is_next_ignored) {
            self.world.record.add(format!("a renewal at {} gets no answer", self.id()));
            return true;
        }
        false
    }

    fn break_gang(&self, task: &str, run: &Run) {
        if run.work.gang > 0 {
            let mut gangs = self.world.gangs.lock().expect("lock");
            let gang = gangs.entry((step_of(task).to_owned(), run.number)).or_default();
            gang.present -= 1;
            gang.is_broken |= !gang.is_done;
        }
    }

    /// Ends the runs whose time has come.
    fn advance(&self, life: &mut Life) {
        let has_lapsed = life.clock_ms() > life.lease_end_ms;
        if has_lapsed {
            life.ended.iter_mut().for_each(|end| end.has_lapsed = true);
        }
        let tasks: Vec<String> = life.running.keys().cloned().collect();
        for task in tasks {
            let how = if has_lapsed { Some("lapsed") } else { self.outcome(&task, &life.running[&task]) };
            if let Some(how) = how {
                self.end(life, &task, how);
            }
        }
    }

    fn outcome(&self, task: &str, run: &Run) -> Option<&'static str> {
        let length = Duration::from_millis(run.work.length_ms);
        if run.work.gang == 0 {
            return (run.started.elapsed() >= length).then_some("done");
        }
        let mut gangs = self.world.gangs.lock().expect("lock");
        let gang = gangs.entry((step_of(task).to_owned(), run.number)).or_default();
        if gang.began.is_some_and(|began| began.elapsed() >= length) && !gang.is_broken {
            gang.is_done = true;
        }
        if gang.is_done {
            Some("done")
        } else if gang.is_broken {
            Some("broken")
        } else if gang.began.is_none() && run.started.elapsed() >= Duration::from_millis(GANG_TIMEOUT_MS) {
            Some("alone")
        } else {
            None
        }
    }

    fn end(&self, life: &mut Life, task: &str, how: &'static str) {
        let Some(run) = life.running.remove(task) else { return };
        if how != "done" {
            self.break_gang(task, &run);
        }
        life.last_end += 1;
        let highest = life.highest.entry(task.to_owned()).or_default();
        *highest = (*highest).max(run.number);
        life.ended.push(End {
            number: life.last_end,
            task: task.to_owned(),
            run: run.number,
            how,
            seen: run.seen,
            has_lapsed: false,
        });
        self.world.seen.lock().expect("lock")[run.seen].ended = Some((self.world.record.now_ms(), how));
        self.world.record.add(format!("end {how} {task} run {} on {}", run.number, life.id));
        self.changed.notify_all();
    }

    fn handle(self: &Arc<Self>, request: &Request) -> Reply {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        if self.is_left_late(request, &body) {
            return Reply::Silent;
        }
        let reply = self.execute(request);
        if self.lock().is_mute { Reply::Silent } else { reply }
    }

    fn execute(&self, request: &Request) -> Reply {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let mut life = self.lock();
        if life.is_cut || life.is_down {
            return Reply::Silent;
        }
        if request.header("X-Target-Instance").is_some_and(|target| target != life.id) {
            return Reply::Send(421, "{}".into());
        }
        self.advance(&mut life);
        let fence = body.number("fence").unwrap_or(0);
        if fence < life.fence {
            return refuse(&life, "fence");
        }
        life.fence = fence;
        match request.path.as_str() {
            "/run-start" => self.start_run(&mut life, &body),
            "/run-stop" => self.stop_run(&mut life, &body),
            "/pace" => answer(&life),
            "/hold" => self.hold(life, &body),
            _ => Reply::Send(404, "{}".into()),
        }
    }

    fn extend_lease(&self, life: &mut Life, until_ms: u64) {
        let longest = life.clock_ms() + MAX_HOLD_MS;
        life.lease_end_ms = life.lease_end_ms.max(until_ms.min(longest));
    }

    fn start_run(&self, life: &mut Life, body: &Json) -> Reply {
        let (Some(task), Some(number), Some(until_ms)) =
            (body.text("task"), body.number("run"), body.number("deadline_ms"))
        else {
            return Reply::Send(400, "{}".into());
        };
        if until_ms <= life.clock_ms() {
            return refuse(life, "late");
        }
        self.extend_lease(life, until_ms);
        if life.running.get(task).is_some_and(|run| run.number == number) {
            return answer(life);
        }
        if life.running.contains_key(task) || life.highest.get(task).is_some_and(|highest| number <= *highest)
        {
            return refuse(life, "old");
        }
        let work = self.world.work_of(task);
        let mut seen = self.world.seen.lock().expect("lock");
        seen.push(Seen {
            task: task.to_owned(),
            run: number,
            worker: life.id.clone(),
            started_ms: self.world.record.now_ms(),
            ended: None,
            noted_ms: None,
        });
        let index = seen.len() - 1;
        drop(seen);
        self.world.record.add(format!("start {task} run {number} on {}", life.id));
        if work.gang > 0 {
            let mut gangs = self.world.gangs.lock().expect("lock");
            let gang = gangs.entry((step_of(task).to_owned(), number)).or_default();
            gang.present += 1;
            if gang.present == work.gang {
                gang.began = Some(Instant::now());
                self.world.record.add(format!("gang of {} run {number} is complete", step_of(task)));
            }
        }
        life.running.insert(task.to_owned(), Run { number, started: Instant::now(), work, seen: index });
        answer(life)
    }

    fn stop_run(&self, life: &mut Life, body: &Json) -> Reply {
        let (Some(task), Some(number)) = (body.text("task"), body.number("run")) else {
            return Reply::Send(400, "{}".into());
        };
        let highest = life.highest.entry(task.to_owned()).or_default();
        *highest = (*highest).max(number);
        if life.running.get(task).is_some_and(|run| run.number <= number) {
            self.end(life, task, "stopped");
        }
        answer(life)
    }

    fn hold(&self, mut life: MutexGuard<'_, Life>, body: &Json) -> Reply {
        if let Some(until_ms) = body.number("deadline_ms") {
            self.extend_lease(&mut life, until_ms);
        }
        let acknowledged = body.number("acked_upto").unwrap_or(0);
        let now_ms = self.world.record.now_ms();
        let mut seen = self.world.seen.lock().expect("lock");
        for end in life.ended.iter().filter(|end| end.number <= acknowledged) {
            if end.has_lapsed {
                self.world
                    .record
                    .add(format!("a lapse came before the note of {} run {}", end.task, end.run));
                continue;
            }
            seen[end.seen].noted_ms = Some(now_ms);
            self.world.record.add(format!("noted {} {} run {} on {}", end.how, end.task, end.run, life.id));
        }
        drop(seen);
        life.ended.retain(|end| end.number > acknowledged);
        let until = Instant::now() + Duration::from_millis(body.number("wait_ms").unwrap_or(0).min(2_000));
        let (born_ms, last_end) = (life.born_ms, life.last_end);
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if life.is_cut || life.is_down || life.born_ms != born_ms {
                return Reply::Silent;
            }
            if left.is_zero() || life.last_end > last_end {
                return Reply::Send(200, self.listing(&life).to_string());
            }
            life = self.changed.wait_timeout(life, left).expect("lock").0;
        }
    }

    fn listing(&self, life: &Life) -> Json {
        let running = life.running.iter().map(|(task, run)| {
            let percent = self.percent(task, run);
            vec![task.as_str().into(), run.number.into(), "".into(), percent.into(), 0.into()].into()
        });
        let ended = life.ended.iter().take(ENDS_PER_LISTING).map(|end| {
            vec![end.number.into(), end.task.as_str().into(), end.run.into(), end.how.into(), "".into()]
                .into()
        });
        table(vec![
            ("clock_ms", life.clock_ms().into()),
            ("born", life.born_ms.into()),
            ("running", running.collect::<Vec<Json>>().into()),
            ("ended", ended.collect::<Vec<Json>>().into()),
        ])
    }

    fn percent(&self, task: &str, run: &Run) -> u64 {
        let began = if run.work.gang == 0 {
            Some(run.started)
        } else {
            let gangs = self.world.gangs.lock().expect("lock");
            gangs.get(&(step_of(task).to_owned(), run.number)).and_then(|gang| gang.began)
        };
        began.map_or(0, |began| began.elapsed().as_millis() as u64 * 100 / run.work.length_ms.max(1)).min(99)
    }
}

fn new_life(id: &str) -> Life {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Life {
        id: id.to_owned(),
        born_ms: since_epoch.as_millis() as u64,
        clock_start: Instant::now(),
        fence: 0,
        lease_end_ms: 0,
        running: BTreeMap::new(),
        highest: HashMap::new(),
        ended: Vec::new(),
        last_end: 0,
        is_cut: false,
        is_mute: false,
        is_down: false,
    }
}

fn answer(life: &Life) -> Reply {
    Reply::Send(200, table(vec![("clock_ms", life.clock_ms().into())]).to_string())
}

fn refuse(life: &Life, reason: &str) -> Reply {
    let body = table(vec![("clock_ms", life.clock_ms().into()), ("reason", reason.into())]);
    Reply::Send(409, body.to_string())
}
