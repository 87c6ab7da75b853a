//! Workers: one for each machine. They report to the controllers and run tasks.

use crate::{MAX_CONNECTIONS, Record, Timing, listen};
use hyper::body::Incoming;
use hyper::{Method, Request};
use ochredrum::front::MESSAGE_PACK;
use ochredrum::http::{Client, Reply, read_body, reply, serve};
use ochredrum::wire::{BODY_LIMIT, decode, encode};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{sleep, timeout};

/// Pause between two checks of leases and tasks.
const CHECK: Duration = Duration::from_millis(20);
/// A worker waits this long for an answer, and this long before it tries the next controller.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);
const NEXT_NODE: Duration = Duration::from_secs(1);
/// Shortest pause between two reports.
const SHORTEST: Duration = Duration::from_millis(500);

/// What a task does once it has its image.
#[derive(Clone, Copy, Debug)]
pub enum Run {
    /// It completes after this time.
    For(Duration),
    /// It runs until it is stopped.
    Standing,
    /// It fails after this time.
    Fails(Duration),
}

/// A job's description, as its user uploaded it.
#[derive(Clone, Debug)]
pub struct Description {
    pub spec: Value,
    pub run: Run,
}

/// What the workers know in common: the uploaded jobs, and which tasks are on which machine.
pub struct Fleet {
    pub record: Record,
    pub timing: Timing,
    /// The controllers' names and addresses.
    pub nodes: Vec<(String, SocketAddr)>,
    pub jobs: RefCell<BTreeMap<String, Description>>,
    /// The machines on which each task has its image and has not ended.
    pub on_machine: RefCell<BTreeMap<String, Vec<String>>>,
    /// Tasks that began on one machine while they were on another.
    pub ran_twice: RefCell<Vec<String>>,
    /// The state of each attempt of a gang.
    gangs: RefCell<BTreeMap<(String, u64), Gang>>,
    /// Seconds of the first start of each task.
    pub first_start: RefCell<BTreeMap<String, f64>>,
    /// Tasks whose lease of the worker expired.
    pub expired_leases: RefCell<u32>,
}

/// An attempt of a gang: its tasks find one another by the number of the attempt.
#[derive(Default)]
struct Gang {
    /// Tasks that have their image and have not ended.
    present: BTreeSet<String>,
    /// When all tasks were present and began to run together.
    begun: Option<Instant>,
    /// Whether a task left the gang after it began, other than by completing.
    broken: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stance {
    Pulling,
    Waiting,
    Running,
    Ended,
}

struct Task {
    stance: Stance,
    cause: Option<&'static str>,
    kept: bool,
    /// When the present stance ends by itself.
    until: Option<Instant>,
    /// Whether it fails because the machine was faulty when it began.
    fails: bool,
    cores: f64,
    cards: f64,
    mem: f64,
}

struct Inner {
    fleet: Rc<Fleet>,
    id: String,
    address: SocketAddr,
    breed: String,
    yard: String,
    room: (f64, f64, f64),
    stint: u64,
    tally: u64,
    baton: u64,
    /// When the last answered report of this session was sent, or when the session began.
    lease_from: Instant,
    tasks: BTreeMap<(String, u64), Task>,
    results: BTreeMap<String, ()>,
    changed: Rc<Notify>,
    /// When the machine died on its own or was returned.
    ended: Option<Instant>,
    /// While set, each task that begins fails.
    faulty: bool,
    /// GB of images fetched in a second; 0: any image takes 0.4 s.
    pull_gb_per_s: f64,
    /// The images that the machine has.
    cached: BTreeSet<String>,
    /// The images that are being fetched, and when each is there.
    fetches: BTreeMap<String, Instant>,
}

/// A worker that runs until its machine is returned.
#[derive(Clone)]
pub struct Worker {
    inner: Rc<RefCell<Inner>>,
    aborts: Rc<RefCell<Vec<AbortHandle>>>,
}

impl Inner {
    fn report(&mut self) -> Value {
        self.tally += 1;
        let beats: Vec<Value> = self
            .tasks
            .iter()
            .map(|((beat, take), task)| {
                let stance = match task.stance {
                    Stance::Pulling => "pulling",
                    Stance::Waiting => "waiting",
                    Stance::Running => "running",
                    Stance::Ended => "ended",
                };
                let mut shown = json!({"beat": beat, "take": take, "stance": stance});
                if let Some(cause) = task.cause {
                    shown["cause"] = json!(cause);
                    if task.kept {
                        shown["kept"] = json!(true);
                    }
                }
                shown
            })
            .collect();
        json!({"drumhead": self.id, "address": self.address.to_string(), "breed": self.breed, "yard": self.yard,
            "loaners": false, "stint": self.stint, "tally": self.tally, "baton": self.baton, "recallS": null,
            "beats": beats})
    }

    fn line(&self, text: String) {
        self.fleet.record.line(format!("{}: {text}", self.id));
    }

    fn execute(&mut self, calls: &Value) {
        for call in calls.as_array().into_iter().flatten() {
            let beat = call["beat"].as_str().unwrap_or_default().to_owned();
            let take = call["take"].as_u64().unwrap_or_default();
            match call["call"].as_str() {
                Some("start") => self.start(beat, take),
                Some("stop") => {
                    self.line(format!("stop {beat} take {take}"));
                    let running =
                        self.tasks.get(&(beat.clone(), take)).is_some_and(|task| task.stance != Stance::Ended);
                    if running {
                        self.finish(&beat, take, "halted");
                    }
                }
                Some("forget") => {
                    let key = (beat, take);
                    if self.tasks.get(&key).is_some_and(|task| task.stance == Stance::Ended) {
                        self.tasks.remove(&key);
                    }
                }
                _ => {}
            }
        }
    }

    fn start(&mut self, beat: String, take: u64) {
        if self.tasks.contains_key(&(beat.clone(), take)) {
            return;
        }
        let job = beat.rsplit_once('/').map_or("", |(job, _)| job);
        let description = self.fleet.jobs.borrow().get(job).cloned();
        let mut task = Task {
            stance: Stance::Ended,
            cause: None,
            kept: false,
            until: None,
            fails: false,
            cores: 0.0,
            cards: 0.0,
            mem: 0.0,
        };
        match description {
            None => task.cause = Some("no_such"),
            Some(_) if self.tasks.iter().any(|((other, _), task)| *other == beat && task.stance != Stance::Ended) => {
                task.cause = Some("busy");
            }
            Some(description) => {
                let amount = |name: &str| description.spec[name].as_f64().unwrap_or_default();
                (task.cores, task.cards, task.mem) = (amount("cores"), amount("cards"), amount("memGb"));
                let used = self
                    .tasks
                    .values()
                    .filter(|task| task.stance != Stance::Ended)
                    .fold((0.0, 0.0, 0.0), |sum, task| (sum.0 + task.cores, sum.1 + task.cards, sum.2 + task.mem));
                let fits = used.0 + task.cores <= self.room.0 + 1e-6
                    && used.1 + task.cards <= self.room.1 + 1e-6
                    && used.2 + task.mem <= self.room.2 + 1e-6;
                if fits {
                    task.stance = Stance::Pulling;
                    task.until = Some(self.fetch(&description.spec));
                } else {
                    task.cause = Some("no_room");
                }
            }
        }
        self.line(format!("start {beat} take {take}: {}", task.cause.unwrap_or("pulling")));
        self.tasks.insert((beat, take), task);
        self.changed.notify_one();
    }

    /// Begins the fetch of a job's image unless it is under way. Returns when the image is there.
    fn fetch(&mut self, spec: &Value) -> Instant {
        let now = Instant::now();
        if self.pull_gb_per_s <= 0.0 {
            return now + Duration::from_millis(400);
        }
        let image = spec["pressing"].as_str().unwrap_or_default().to_owned();
        if self.cached.contains(&image) {
            return now;
        }
        let needed = Duration::from_secs_f64(spec["sizeGb"].as_f64().unwrap_or_default() / self.pull_gb_per_s);
        *self.fetches.entry(image).or_insert(now + needed)
    }

    fn image_of(&self, beat: &str) -> Option<String> {
        let job = beat.rsplit_once('/')?.0;
        self.fleet.jobs.borrow().get(job).and_then(|each| each.spec["pressing"].as_str().map(str::to_owned))
    }

    /// Gives up the fetches for which no task waits any more.
    fn give_up_fetches(&mut self) {
        let pulling = self.tasks.iter().filter(|(_, task)| task.stance == Stance::Pulling);
        let wanted: BTreeSet<String> = pulling.filter_map(|((beat, _), _)| self.image_of(beat)).collect();
        let given_up: Vec<String> = self.fetches.keys().filter(|image| !wanted.contains(*image)).cloned().collect();
        for image in given_up {
            self.line(format!("fetch of {image} given up"));
            self.fetches.remove(&image);
        }
    }

    /// Takes a task off the machine.
    fn finish(&mut self, beat: &str, take: u64, cause: &'static str) {
        self.line(format!("{beat} take {take} ended: {cause}"));
        if let Some(task) = self.tasks.get_mut(&(beat.to_owned(), take)) {
            if task.stance != Stance::Pulling {
                leave(&self.fleet, &self.id, beat, take, cause == "done");
            }
            task.stance = Stance::Ended;
            task.cause = Some(cause);
            task.until = None;
        }
        self.give_up_fetches();
        if cause == "done" {
            self.results.insert(beat.to_owned(), ());
        }
        self.changed.notify_one();
    }

    /// Ends the lease if it is over, and moves on the tasks whose time has come.
    fn check(&mut self) {
        let now = Instant::now();
        if now.duration_since(self.lease_from).as_secs_f64() > self.fleet.timing.lease_s {
            self.line(format!(
                "lease expired, {} tasks end",
                self.tasks.values().filter(|task| task.stance != Stance::Ended).count()
            ));
            *self.fleet.expired_leases.borrow_mut() += 1;
            for ((beat, take), task) in std::mem::take(&mut self.tasks) {
                if matches!(task.stance, Stance::Waiting | Stance::Running) {
                    leave(&self.fleet, &self.id, &beat, take, false);
                }
            }
            self.stint += 1;
            self.lease_from = now;
            self.changed.notify_one();
        }
        self.check_gangs(now);
        let due: Vec<(String, u64, Stance)> = self
            .tasks
            .iter()
            .filter(|(_, task)| task.until.is_some_and(|until| until <= now))
            .map(|((beat, take), task)| (beat.clone(), *take, task.stance))
            .collect();
        for (beat, take, stance) in due {
            match stance {
                Stance::Pulling => self.begin(&beat, take),
                Stance::Waiting => self.finish(&beat, take, "incomplete"),
                Stance::Running => {
                    let broken = self.tasks.get(&(beat.clone(), take)).is_some_and(|task| task.fails);
                    let fails = broken || matches!(self.run_of(&beat), Some(Run::Fails(_)));
                    self.finish(&beat, take, if fails { "error" } else { "done" });
                }
                Stance::Ended => {}
            }
        }
    }

    /// Lets the tasks of complete gangs run, and ends those of broken ones.
    fn check_gangs(&mut self, now: Instant) {
        let mut broken = Vec::new();
        for ((beat, take), task) in &mut self.tasks {
            let Some((job, _)) =
                beat.rsplit_once('/').filter(|_| matches!(task.stance, Stance::Waiting | Stance::Running))
            else {
                continue;
            };
            let Some(size) = self.fleet.gang_size(job) else { continue };
            let mut gangs = self.fleet.gangs.borrow_mut();
            let gang = gangs.entry((job.to_owned(), *take)).or_default();
            if gang.begun.is_none() && gang.present.len() as u64 == size {
                gang.begun = Some(now);
            }
            if gang.broken {
                broken.push((beat.clone(), *take));
            } else if let (Some(begun), Stance::Waiting) = (gang.begun, task.stance) {
                task.stance = Stance::Running;
                let run = self.fleet.jobs.borrow().get(job).map(|description| description.run);
                task.until = match run {
                    Some(Run::For(time) | Run::Fails(time)) => Some(begun + time),
                    _ => None,
                };
                self.changed.notify_one();
            }
        }
        for (beat, take) in broken {
            self.finish(&beat, take, "mates_gone");
        }
    }

    fn run_of(&self, beat: &str) -> Option<Run> {
        let job = beat.rsplit_once('/')?.0;
        self.fleet.jobs.borrow().get(job).map(|description| description.run)
    }

    /// A task has its image.
    fn begin(&mut self, beat: &str, take: u64) {
        let now = Instant::now();
        if let Some(image) = self.image_of(beat) {
            self.fetches.remove(&image);
            self.cached.insert(image);
        }
        let job = beat.rsplit_once('/').map_or("", |(job, _)| job).to_owned();
        let gang = self.fleet.gang_size(&job).is_some();
        self.fleet.arrive(&self.id, beat);
        if gang {
            self.fleet.gangs.borrow_mut().entry((job, take)).or_default().present.insert(beat.to_owned());
        }
        let faulty = self.faulty;
        let until = match self.run_of(beat) {
            _ if faulty => Some(now + Duration::from_millis(500)),
            _ if self.results.contains_key(beat) => Some(now),
            _ if gang => Some(now + Duration::from_secs_f64(self.fleet.timing.gang_wait_s)),
            Some(Run::For(time) | Run::Fails(time)) => Some(now + time),
            _ => None,
        };
        if let Some(task) = self.tasks.get_mut(&(beat.to_owned(), take)) {
            task.stance = if gang && !faulty { Stance::Waiting } else { Stance::Running };
            task.until = until;
            task.fails = faulty;
        }
        self.changed.notify_one();
    }
}

/// A task has left a machine.
fn leave(fleet: &Fleet, machine: &str, beat: &str, take: u64, done: bool) {
    let job = beat.rsplit_once('/').map_or("", |(job, _)| job).to_owned();
    if let Some(gang) = fleet.gangs.borrow_mut().get_mut(&(job, take)) {
        gang.present.remove(beat);
        gang.broken |= gang.begun.is_some() && !done;
    }
    if let Some(machines) = fleet.on_machine.borrow_mut().get_mut(beat) {
        machines.retain(|other| other != machine);
    }
}

impl Fleet {
    pub fn new(record: &Record, timing: &Timing, fronts: &[SocketAddr]) -> Rc<Self> {
        Rc::new(Self {
            record: record.clone(),
            timing: timing.clone(),
            nodes: fronts.iter().enumerate().map(|(node, front)| (format!("drumhead-{node}"), *front)).collect(),
            jobs: RefCell::default(),
            gangs: RefCell::default(),
            on_machine: RefCell::default(),
            ran_twice: RefCell::default(),
            first_start: RefCell::default(),
            expired_leases: RefCell::default(),
        })
    }

    /// The number of tasks of a gang of several tasks; `None` for any other job.
    fn gang_size(&self, job: &str) -> Option<u64> {
        let jobs = self.jobs.borrow();
        let spec = &jobs.get(job)?.spec;
        spec["beats"].as_u64().filter(|beats| *beats > 1 && spec["shape"] == "ensemble")
    }

    /// Stores a job's description for the workers.
    pub fn upload(&self, spec: &Value, run: Run) {
        let id = spec["nameId"].as_str().unwrap_or_default().to_owned();
        self.jobs.borrow_mut().insert(id, Description { spec: spec.clone(), run });
    }

    fn arrive(&self, machine: &str, beat: &str) {
        self.record.line(format!("{machine}: {beat} runs"));
        self.first_start.borrow_mut().entry(beat.to_owned()).or_insert(self.record.seconds());
        let mut on_machine = self.on_machine.borrow_mut();
        let machines = on_machine.entry(beat.to_owned()).or_default();
        if !machines.is_empty() {
            self.ran_twice.borrow_mut().push(format!("{beat} on {machine} and {machines:?}"));
        }
        machines.push(machine.to_owned());
    }

    /// Whether all tasks of a gang run together.
    pub fn gang_runs(&self, job: &str) -> bool {
        let size = self.gang_size(job);
        let gangs = self.gangs.borrow();
        let mut attempts = gangs.iter().filter(|((name, _), _)| name == job).map(|(_, gang)| gang);
        attempts.any(|gang| gang.begun.is_some() && !gang.broken && Some(gang.present.len() as u64) == size)
    }

    /// Whether a task is on any machine.
    pub fn runs(&self, beat: &str) -> bool {
        self.on_machine.borrow().get(beat).is_some_and(|machines| !machines.is_empty())
    }
}

impl Worker {
    /// Starts the worker of a machine that is up. `room` are its CPUs, GPUs and GB of memory.
    pub async fn start(fleet: &Rc<Fleet>, id: &str, breed: &str, yard: &str, room: (f64, f64, f64)) -> Self {
        let (listener, address) = listen().await;
        let inner = Rc::new(RefCell::new(Inner {
            fleet: fleet.clone(),
            id: id.to_owned(),
            address,
            breed: breed.to_owned(),
            yard: yard.to_owned(),
            room,
            stint: 1,
            tally: 0,
            baton: 0,
            lease_from: Instant::now(),
            tasks: BTreeMap::new(),
            results: BTreeMap::new(),
            changed: Rc::default(),
            ended: None,
            faulty: false,
            pull_gb_per_s: 0.0,
            cached: BTreeSet::new(),
            fetches: BTreeMap::new(),
        }));
        let served = inner.clone();
        let server = spawn_local(serve(listener, MAX_CONNECTIONS, move |request| command(served.clone(), request)));
        let reports = spawn_local(report(inner.clone()));
        let checked = inner.clone();
        let checks = spawn_local(async move {
            loop {
                sleep(CHECK).await;
                checked.borrow_mut().check();
            }
        });
        let aborts = vec![server.abort_handle(), reports.abort_handle(), checks.abort_handle()];
        Self { inner, aborts: Rc::new(RefCell::new(aborts)) }
    }

    pub fn id(&self) -> String {
        self.inner.borrow().id.clone()
    }

    pub fn address(&self) -> String {
        self.inner.borrow().address.to_string()
    }

    pub fn breed(&self) -> String {
        self.inner.borrow().breed.clone()
    }

    /// What the cloud lists: a machine that dies is still listed as running for 30 s more.
    pub fn stance(&self) -> &'static str {
        let ended = self.inner.borrow().ended;
        if ended.is_some_and(|ended| ended.elapsed() > Duration::from_secs(30)) { "failed" } else { "running" }
    }

    pub fn yard(&self) -> String {
        self.inner.borrow().yard.clone()
    }

    /// Sets the rate at which the machine fetches images, and images that it has from earlier work.
    pub fn set_images(&self, pull_gb_per_s: f64, cached: &[&str]) {
        let mut inner = self.inner.borrow_mut();
        inner.pull_gb_per_s = pull_gb_per_s;
        inner.cached.extend(cached.iter().map(|image| (*image).to_owned()));
    }

    /// Sets whether each task that begins on the machine fails.
    pub fn set_faulty(&self, faulty: bool) {
        let mut inner = self.inner.borrow_mut();
        inner.faulty = faulty;
        inner.line(if faulty { "fails every task from now on".into() } else { "works again".into() });
    }

    /// CPUs, GPUs and GB of memory that no task uses.
    pub fn free(&self) -> (f64, f64, f64) {
        let inner = self.inner.borrow();
        let running = inner.tasks.values().filter(|task| task.stance != Stance::Ended);
        running.fold(inner.room, |free, task| (free.0 - task.cores, free.1 - task.cards, free.2 - task.mem))
    }

    /// The machine and everything on it are gone.
    pub fn end(&self) {
        self.aborts.borrow().iter().for_each(AbortHandle::abort);
        let mut inner = self.inner.borrow_mut();
        inner.ended = Some(Instant::now());
        for ((beat, take), task) in std::mem::take(&mut inner.tasks) {
            if matches!(task.stance, Stance::Waiting | Stance::Running) {
                leave(&inner.fleet, &inner.id, &beat, take, false);
            }
        }
    }
}

/// Sends reports to one controller at a time.
async fn report(inner: Rc<RefCell<Inner>>) {
    let nodes = inner.borrow().fleet.nodes.clone();
    let mut rng = StdRng::from_os_rng();
    let mut node = rng.random_range(0..nodes.len());
    let mut client = Client::new(nodes[node].1, MESSAGE_PACK, 1);
    loop {
        let sent = Instant::now();
        let (body, stint) = {
            let mut inner = inner.borrow_mut();
            (encode(&inner.report()), inner.stint)
        };
        let answer = client.send(Method::POST, "/checkin", body, ANSWER_TIMEOUT).await;
        let mut pause = None;
        let next = match answer {
            Ok((200, body)) => {
                let answer = decode::<Value>(&body).unwrap_or_default();
                accept(&mut inner.borrow_mut(), &answer, sent, stint);
                None
            }
            Ok((421, body)) => {
                let named = decode::<Value>(&body).and_then(|body| body["conductor"].as_str().map(str::to_owned));
                let named = nodes.iter().position(|(name, _)| Some(name) == named.as_ref());
                match named.filter(|named| *named != node) {
                    Some(named) => {
                        pause = Some(Duration::from_millis(rng.random_range(0..500)));
                        Some(named)
                    }
                    None => {
                        pause = Some(NEXT_NODE);
                        Some((node + 1) % nodes.len())
                    }
                }
            }
            _ => {
                pause = Some(NEXT_NODE);
                Some((node + 1) % nodes.len())
            }
        };
        if let Some(next) = next {
            node = next;
            client = Client::new(nodes[node].1, MESSAGE_PACK, 1);
        }
        match pause {
            Some(pause) => sleep(pause).await,
            None => {
                let (changed, report_s) = {
                    let inner = inner.borrow();
                    (inner.changed.clone(), inner.fleet.timing.report_s)
                };
                let interval = Duration::from_secs_f64(report_s * rng.random_range(0.75..1.25));
                sleep(SHORTEST).await;
                timeout(interval.saturating_sub(SHORTEST), changed.notified()).await.ok();
            }
        }
    }
}

/// Applies the answer to a report of this session.
fn accept(inner: &mut Inner, answer: &Value, sent: Instant, stint: u64) {
    let Some(baton) = answer["baton"].as_u64().filter(|baton| *baton >= inner.baton) else {
        return;
    };
    if stint != inner.stint {
        return;
    }
    if baton > inner.baton {
        inner.changed.notify_one();
    }
    inner.baton = baton;
    inner.lease_from = sent;
    inner.execute(&answer["calls"]);
}

/// Answers `/do` and `/inspect`.
async fn command(inner: Rc<RefCell<Inner>>, request: Request<Incoming>) -> Reply {
    let path = request.uri().path().to_owned();
    let Ok(body) = read_body(request.into_body(), BODY_LIMIT, Duration::from_secs(10)).await else {
        return reply(400, Vec::new(), MESSAGE_PACK);
    };
    let mut inner = inner.borrow_mut();
    let mut status = 200;
    if path == "/do" {
        let message = decode::<Value>(&body).unwrap_or_default();
        let (Some(baton), Some(stint)) = (message["baton"].as_u64(), message["stint"].as_u64()) else {
            return reply(400, Vec::new(), MESSAGE_PACK);
        };
        if baton < inner.baton || stint != inner.stint {
            status = 409;
        } else {
            if baton > inner.baton {
                inner.changed.notify_one();
            }
            inner.baton = baton;
            inner.execute(&message["calls"]);
        }
    }
    reply(status, encode(&inner.report()), MESSAGE_PACK)
}
