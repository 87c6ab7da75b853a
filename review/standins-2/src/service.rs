//! The controllers as processes, and the network between them.

use crate::record::Record;
use std::fs;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A link from one controller to another.
#[derive(Clone)]
pub struct Link {
    mode: Arc<AtomicU8>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

const PASS: u8 = 0;
const DROP: u8 = 1;
const REFUSE: u8 = 2;

impl Link {
    /// Listens at an address and passes what arrives on to `target`.
    fn start(target: SocketAddr) -> (Self, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let link = Self {
            mode: Arc::new(AtomicU8::new(PASS)),
            open: Arc::default(),
        };
        let served = link.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let link = served.clone();
                thread::spawn(move || link.pass_on(stream, target));
            }
        });
        (link, address)
    }

    fn pass_on(&self, from: TcpStream, target: SocketAddr) -> Option<()> {
        if self.mode.load(Ordering::SeqCst) == REFUSE {
            from.shutdown(Shutdown::Both).ok();
            return None;
        }
        let to = TcpStream::connect(target).ok()?;
        from.set_nodelay(true).ok()?;
        to.set_nodelay(true).ok()?;
        let (mut from_copy, mut to_copy) = (from.try_clone().ok()?, to.try_clone().ok()?);
        {
            let mut open = self.open.lock().unwrap();
            open.push(from.try_clone().ok()?);
            open.push(to.try_clone().ok()?);
        }
        let (there, back) = (self.clone(), self.clone());
        let (mut from, mut to) = (from, to);
        thread::spawn(move || there.copy(&mut from_copy, &mut to));
        back.copy(&mut to_copy, &mut from);
        Some(())
    }

    fn copy(&self, from: &mut TcpStream, to: &mut TcpStream) {
        let mut buffer = [0; 16384];
        while let Ok(count) = from.read(&mut buffer) {
            // What a cut link got stays lost.
            if count == 0 || self.mode.load(Ordering::SeqCst) == PASS {
                if count == 0 || to.write_all(&buffer[..count]).is_err() {
                    break;
                }
            }
        }
        to.shutdown(Shutdown::Both).ok();
        from.shutdown(Shutdown::Both).ok();
    }

    fn set(&self, mode: u8) {
        self.mode.store(mode, Ordering::SeqCst);
        let mut open = self.open.lock().unwrap();
        if mode != DROP {
            // A connection that lost bytes can't go on.
            for stream in open.drain(..) {
                stream.shutdown(Shutdown::Both).ok();
            }
        }
    }
}

/// How a group of controllers is started.
pub struct Plan {
    pub zones: Vec<&'static str>,
    /// The part of the settings below `[deployment]`.
    pub deployment: String,
    pub cloud: Vec<SocketAddr>,
    pub state: Vec<SocketAddr>,
}

pub struct Service {
    record: Record,
    root: PathBuf,
    folder: PathBuf,
    pub names: Vec<String>,
    pub fronts: Vec<SocketAddr>,
    pub meshes: Vec<SocketAddr>,
    links: Vec<Vec<Option<Link>>>,
    processes: Vec<Option<Child>>,
}

impl Service {
    /// Writes the settings of the controllers; starts none of them.
    pub fn prepare(root: &Path, folder: &Path, plan: &Plan, record: &Record) -> Self {
        let count = plan.zones.len();
        // A loopback address of its own, so that no other connection takes a port before its controller does.
        let id = std::process::id();
        let host = Ipv4Addr::new(
            127,
            1 + (id >> 14) as u8 % 250,
            (id >> 7) as u8 & 127,
            id as u8 & 127,
        );
        let reserve = || {
            let listener = TcpListener::bind((host, 0)).expect("a free port");
            let address = listener.local_addr().expect("an address");
            (listener, address)
        };
        let held: Vec<(TcpListener, SocketAddr)> = (0..2 * count).map(|_| reserve()).collect();
        let addresses: Vec<SocketAddr> = held.iter().map(|(_, address)| *address).collect();
        let (fronts, meshes) = addresses.split_at(count);
        let names: Vec<String> = (0..count).map(|node| format!("drumhead-{node}")).collect();
        let mut links = Vec::new();
        for from in 0..count {
            let mut row = Vec::new();
            let mut text = format!(
                "host_name = \"{}\"\narea = \"{}\"\nfront = \"{}\"\nmesh_addr = \"{}\"\n",
                names[from], plan.zones[from], fronts[from], meshes[from]
            );
            for to in 0..count {
                if to == from {
                    row.push(None);
                    continue;
                }
                let (link, address) = Link::start(meshes[to]);
                row.push(Some(link));
                text += &format!(
                    "[[siblings]]\nhost_name = \"{}\"\narea = \"{}\"\naddr = \"{address}\"\n",
                    names[to], plan.zones[to]
                );
            }
            text += &format!(
                "[services]\ncloud = \"{}\"\nstate = \"{}\"\n{}",
                plan.cloud[from], plan.state[from], plan.deployment
            );
            fs::write(folder.join(format!("{}.toml", names[from])), text).expect("settings");
            links.push(row);
        }
        drop(held);
        Self {
            record: record.clone(),
            root: root.to_owned(),
            folder: folder.to_owned(),
            names,
            fronts: fronts.to_vec(),
            meshes: meshes.to_vec(),
            links,
            processes: (0..count).map(|_| None).collect(),
        }
    }

    /// Starts a controller with the command of the deploy file.
    pub fn start(&mut self, node: usize) {
        let deploy =
            fs::read_to_string(self.root.join("deploy/service.toml")).expect("deploy file");
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = "));
        let run = run
            .expect("a start command")
            .trim()
            .trim_matches('"')
            .to_owned();
        let mut words = run.split_whitespace();
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", self.names[node])))
            .expect("a log file");
        let child = Command::new(self.root.join(words.next().expect("a program")))
            .args(words)
            .arg(self.folder.join(format!("{}.toml", self.names[node])))
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the controller starts");
        self.record.line(format!(
            "{} starts as process {}",
            self.names[node],
            child.id()
        ));
        self.processes[node] = Some(child);
    }

    pub fn start_all(&mut self) {
        for node in 0..self.names.len() {
            self.start(node);
        }
    }

    pub fn kill(&mut self, node: usize) {
        if let Some(mut child) = self.processes[node].take() {
            child.kill().ok();
            child.wait().ok();
            self.record.line(format!("{} killed", self.names[node]));
        }
    }

    /// Sends a signal, named without `SIG`, to a controller.
    pub fn signal(&self, node: usize, name: &str) {
        if let Some(child) = &self.processes[node] {
            let id = child.id().to_string();
            Command::new("kill").args(["-s", name, &id]).status().ok();
            self.record.line(format!("{}: SIG{name}", self.names[node]));
        }
    }

    /// Memory of its own that a controller holds, in MiB, without the program and its libraries.
    pub fn memory_mb(&self, node: usize) -> Option<f64> {
        let id = self.processes[node].as_ref()?.id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("RssAnon:"))?;
        let kib: f64 = line.trim().trim_end_matches(" kB").parse().ok()?;
        Some(kib / 1024.0)
    }

    /// Names of the controllers that have ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let mut ended = Vec::new();
        for (name, process) in self.names.iter().zip(&mut self.processes) {
            let exit = process
                .as_mut()
                .and_then(|child| child.try_wait().ok().flatten());
            if let Some(exit) = exit {
                ended.push(format!("{name}: {exit}"));
            }
        }
        ended
    }

    /// Cuts or restores the links between two controllers, in both directions.
    pub fn cut(&self, one: usize, other: usize, cut: bool) {
        self.record
            .line(format!("cut between {one} and {other}: {cut}"));
        for (from, to) in [(one, other), (other, one)] {
            if let Some(link) = &self.links[from][to] {
                link.set(if cut { DROP } else { PASS });
            }
        }
    }

    /// Refuses connections between two controllers, or no longer.
    pub fn refuse(&self, one: usize, other: usize, refuse: bool) {
        self.record.line(format!(
            "connections between {one} and {other} refused: {refuse}"
        ));
        for (from, to) in [(one, other), (other, one)] {
            if let Some(link) = &self.links[from][to] {
                link.set(if refuse { REFUSE } else { PASS });
            }
        }
    }

    /// The lines of a controller's log.
    pub fn log(&self, node: usize) -> io::Result<String> {
        fs::read_to_string(self.folder.join(format!("{}.log", self.names[node])))
    }

    /// Waits until every controller answers health checks with 200.
    pub fn wait_healthy(&self, limit_s: f64) -> bool {
        let until = self.record.now() + limit_s;
        let healthy = |address: &SocketAddr| {
            let limit = Duration::from_secs(1);
            let null = serde_json::Value::Null;
            crate::http::send(*address, "GET", "/healthz", &null, limit)
                .is_some_and(|(status, _)| status == 200)
        };
        while !self.fronts.iter().all(healthy) {
            if self.record.now() > until {
                return false;
            }
            thread::sleep(Duration::from_millis(100));
        }
        true
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        for node in 0..self.processes.len() {
            self.signal(node, "CONT");
            self.kill(node);
        }
    }
}
