//! The platform: starts the controllers with the command of the deploy file, and ends them.

use crate::state::Limits;
use crate::{Record, Timing, listen_at};
use std::cell::{Cell, RefCell};
use std::fs::File;
use std::io::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// What the settings of the controllers say.
pub struct Settings {
    pub nodes: usize,
    pub zones: Vec<&'static str>,
    pub timing: Timing,
    pub state: Limits,
    pub teams: String,
    pub objectives: String,
    pub mem_mb: f64,
    pub fd_limit: usize,
}

/// The controllers' processes.
pub struct Platform {
    record: Record,
    run: Vec<String>,
    folder: PathBuf,
    settings: Vec<PathBuf>,
    processes: RefCell<Vec<Option<Child>>>,
    pub fronts: Vec<SocketAddr>,
}

/// The words of `run` in the deploy file.
fn run_command() -> Vec<String> {
    let text = std::fs::read_to_string("deploy/service.toml").expect("deploy/service.toml");
    let line = text.lines().find_map(|line| line.strip_prefix("run = ")).expect("run");
    line.trim().trim_matches('"').split(' ').map(str::to_owned).collect()
}

impl Platform {
    /// Writes the settings of all controllers into `folder`. Starts none.
    pub async fn new(
        record: &Record,
        folder: &Path,
        settings: &Settings,
        state: SocketAddr,
        cloud: SocketAddr,
    ) -> Rc<Self> {
        // A loopback address of this run alone: no connection of another program can occupy a port of it
        // between the moment at which the port was found free and the start of the controller.
        let run = std::process::id().to_be_bytes();
        let own = std::net::Ipv4Addr::new(127, run[2] | 1, run[3], 1);
        let mut listeners = Vec::new();
        for _ in 0..settings.nodes * 2 {
            listeners.push(listen_at(own.into()).await);
        }
        let addresses: Vec<SocketAddr> = listeners.iter().map(|(_, address)| *address).collect();
        drop(listeners);
        let (fronts, meshes) = addresses.split_at(settings.nodes);
        let files = (0..settings.nodes).map(|node| {
            let text = settings_text(settings, node, fronts[node], meshes, state, cloud);
            let path = folder.join(format!("drumhead-{node}.toml"));
            std::fs::write(&path, text).expect("settings");
            path
        });
        Rc::new(Self {
            record: record.clone(),
            run: run_command(),
            folder: folder.to_owned(),
            settings: files.collect(),
            processes: RefCell::new((0..settings.nodes).map(|_| None).collect()),
            fronts: fronts.to_vec(),
        })
    }

    /// Starts a controller.
    pub fn start(&self, node: usize) {
        let log = File::options().create(true).append(true).open(self.folder.join(format!("drumhead-{node}.log")));
        let child = Command::new(&self.run[0])
            .args(&self.run[1..])
            .arg(&self.settings[node])
            .stderr(log.map_or(Stdio::null(), Stdio::from))
            .stdout(Stdio::null())
            .spawn()
            .expect("the controller can be started");
        self.record.line(format!("platform: drumhead-{node} started"));
        // For run.sh, in case this program is ended before it can end the controllers.
        if let Ok(mut ids) = File::options().create(true).append(true).open(self.folder.join("ids")) {
            writeln!(ids, "{}", child.id()).ok();
        }
        self.processes.borrow_mut()[node] = Some(child);
    }

    /// Starts all controllers.
    pub fn start_all(&self) {
        (0..self.settings.len()).for_each(|node| self.start(node));
    }

    /// Kills a controller without a signal that it could handle.
    pub fn kill(&self, node: usize) {
        if let Some(mut child) = self.processes.borrow_mut()[node].take() {
            child.kill().ok();
            child.wait().ok();
            self.record.line(format!("platform: drumhead-{node} killed"));
        }
    }

    /// Kills all controllers at the end of a run.
    pub fn end(&self) {
        (0..self.settings.len()).for_each(|node| self.kill(node));
    }

    /// The id of a controller's process while it runs.
    pub fn id(&self, node: usize) -> Option<u32> {
        self.processes.borrow()[node].as_ref().map(Child::id)
    }

    /// The private memory that a controller's process holds, in MiB; `None` if it does not run.
    pub fn memory_mb(&self, node: usize) -> Option<f64> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.id(node)?)).ok()?;
        let line = text.lines().find_map(|line| line.strip_prefix("RssAnon:"))?;
        line.trim().trim_end_matches("kB").trim().parse::<f64>().ok().map(|kb| kb / 1024.0)
    }

    /// Ends each process that holds more than the limit, and starts it again after `delay`. Returns the number of
    /// processes that were ended.
    pub fn keep_memory_limit(self: &Rc<Self>, mem_mb: f64, delay: Duration) -> Rc<Cell<u32>> {
        let ended = Rc::new(Cell::new(0));
        let (platform, count) = (self.clone(), ended.clone());
        spawn_local(async move {
            loop {
                sleep(Duration::from_millis(100)).await;
                for node in 0..platform.settings.len() {
                    let held = platform.memory_mb(node).unwrap_or(0.0);
                    if held <= mem_mb {
                        continue;
                    }
                    count.set(count.get() + 1);
                    platform.record.say(format!("platform: drumhead-{node} holds {held:.1} MiB, more than {mem_mb}"));
                    platform.kill(node);
                    let platform = platform.clone();
                    spawn_local(async move {
                        sleep(delay).await;
                        platform.start(node);
                    });
                }
            }
        });
        ended
    }

    /// Restarts each process that has ended, `delay` after its end.
    pub fn keep_running(self: &Rc<Self>, delay: Duration) {
        for node in 0..self.settings.len() {
            let platform = self.clone();
            spawn_local(async move {
                loop {
                    sleep(Duration::from_millis(50)).await;
                    let ended = match &mut platform.processes.borrow_mut()[node] {
                        Some(child) => child.try_wait().ok().flatten().map(|status| status.to_string()),
                        None => None,
                    };
                    if let Some(status) = ended {
                        platform.record.say(format!("platform: drumhead-{node} ended: {status}"));
                        platform.processes.borrow_mut()[node] = None;
                        sleep(delay).await;
                        platform.start(node);
                    }
                }
            });
        }
    }
}

fn settings_text(
    settings: &Settings,
    node: usize,
    front: SocketAddr,
    meshes: &[SocketAddr],
    state: SocketAddr,
    cloud: SocketAddr,
) -> String {
    let zone = |node: usize| settings.zones[node % settings.zones.len()];
    let mut text = format!(
        "host_name = \"drumhead-{node}\"\narea = \"{}\"\nfront = \"{front}\"\nmesh_addr = \"{}\"\n\n",
        zone(node),
        meshes[node]
    );
    for (other, mesh) in meshes.iter().enumerate().filter(|(other, _)| *other != node) {
        std::fmt::Write::write_fmt(
            &mut text,
            format_args!(
                "[[siblings]]\nhost_name = \"drumhead-{other}\"\narea = \"{}\"\naddr = \"{mesh}\"\n\n",
                zone(other)
            ),
        )
        .ok();
    }
    let Settings { nodes, timing, state: limits, teams, objectives, mem_mb, fd_limit, .. } = settings;
    let rest = format!(
        "[services]\ncloud = \"{cloud}\"\nstate = \"{state}\"\n\n[deployment]\nsize = {nodes}\nclock_error_ms = 250.0\n\n\
         {teams}\n{objectives}\n[deployment.workers]\nreport_s = {:?}\nlease_s = {:?}\ngang_wait_s = {:?}\n\
         gang_peer_s = {:?}\ncancel_s = {:?}\n\n[deployment.state]\nrps = {:?}\nwrite_rps = {:?}\nvalue_kb = {:?}\n\
         txn_ops = {}\n\n[deployment.cloud]\nrps = 2.0\nlist_lag_s = 10.0\n\n[deployment.limits]\ncpu = 0.08\n\
         mem_mb = {mem_mb:?}\nfd_limit = {fd_limit}\n",
        timing.report_s,
        timing.lease_s,
        timing.gang_wait_s,
        timing.gang_peer_s,
        timing.cancel_s,
        limits.rps,
        limits.write_rps,
        limits.value_kb,
        limits.txn_ops,
    );
    text + &rest
}
