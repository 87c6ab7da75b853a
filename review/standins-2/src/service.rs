//! The controllers as processes.

use crate::record::Record;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::Duration;

/// How a group of controllers is started.
pub struct Plan {
    pub zones: Vec<&'static str>,
    /// The part of the settings below `[deployment]`.
    pub deployment: String,
    pub cloud: SocketAddr,
    pub state: SocketAddr,
}

pub struct Service {
    record: Record,
    root: PathBuf,
    folder: PathBuf,
    pub names: Vec<String>,
    pub fronts: Vec<SocketAddr>,
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
        for from in 0..count {
            let mut text = format!(
                "host_name = \"{}\"\narea = \"{}\"\nfront = \"{}\"\nmesh_addr = \"{}\"\n",
                names[from], plan.zones[from], fronts[from], meshes[from]
            );
            for to in 0..count {
                if to == from {
                    continue;
                }
                let address = meshes[to];
                text += &format!(
                    "[[siblings]]\nhost_name = \"{}\"\narea = \"{}\"\naddr = \"{address}\"\n",
                    names[to], plan.zones[to]
                );
            }
            text += &format!(
                "[services]\ncloud = \"{}\"\nstate = \"{}\"\n{}",
                plan.cloud, plan.state, plan.deployment
            );
            fs::write(folder.join(format!("{}.toml", names[from])), text).expect("settings");
        }
        drop(held);
        Self {
            record: record.clone(),
            root: root.to_owned(),
            folder: folder.to_owned(),
            names,
            fronts: fronts.to_vec(),
            processes: (0..count).map(|_| None).collect(),
        }
    }

    /// Starts a controller with the command of the deploy file.
    fn start(&mut self, node: usize) {
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

    fn kill(&mut self, node: usize) {
        if let Some(mut child) = self.processes[node].take() {
            child.kill().ok();
            child.wait().ok();
            self.record.line(format!("{} killed", self.names[node]));
        }
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
            self.kill(node);
        }
    }
}
