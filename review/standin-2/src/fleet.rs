//! Starts the project's programs with the commands of the deploy file, one process for each machine. Each machine has a
//! loopback address of its own; all machines use the same ports.

use crate::http::{self, Call};
use crate::record::lock;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The zones of a deployment.
pub const ZONES: [&str; 3] = ["kelaniya-hall", "moratuwa-hall", "negombo-hall"];
/// The program that the deploy file names, relative to the repository.
const PROGRAM: &str = "target/release/landingdrift-platform";

/// The bounds of the site, as in its settings files.
const BOUNDS: &str = "seedLagS = 3\naddrReuseS = 2\ncontactMs = 3000\nackMs = 4000\ncatchUpS = 4\ndrainMs = 2000\ngraceS = 6\nlossSlackMs = 200\nconfigApplyMs = 2000\nrollbackSlackMs = 250\nmaxStretchMs = 5000\ncoldOvershoot = 1.5\ncoldSlack = 5\nevacuateMs = 5000\nrecoveryS = 12\nholdMaxMs = 6000\nstopGraceMs = 200\ngangTimeoutMs = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\nspreadFactor = 1.5\ncheckpointS = 2\nrestoreMs = 600\n";

/// The processes that were started, by their ids, so that all can be ended whatever happens to the case.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that were started and not ended yet.
pub fn kill_started() {
    for id in lock(&STARTED).drain(..) {
        let _ = Command::new("kill")
            .args(["-KILL", &id.to_string()])
            .status();
    }
}

/// The class of a machine.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// `edge` with a disk; its loss is counted.
    Core,
    /// `edge` without a disk.
    Edge,
    /// `side`, beside a worker.
    Side,
}

/// A machine with its process.
pub struct Machine {
    pub name: String,
    pub class: Class,
    pub zone: String,
    ip: String,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

/// The machines of a deployment. Dropping it kills all processes and removes the temporary folder.
pub struct Fleet {
    pub machines: Vec<Machine>,
    /// A further line for the table `limits` of the settings files; empty for none.
    pub new_limit: String,
    folder: PathBuf,
    repository: PathBuf,
    port: u16,
}

impl Fleet {
    /// Prepares a deployment: three core machines, one in each zone, `edges` machines without a disk, and `sides`
    /// machines with a worker, both in turn over the zones.
    pub fn prepare(repository: &Path, edges: usize, sides: usize) -> Result<Self, String> {
        let program = repository.join(PROGRAM);
        if !program.exists() {
            return Err(format!("{} is missing: build it first", program.display()));
        }
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("landingdrift-review-{id}"));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let prefix = format!("127.{}.{}", 20 + id % 200, id / 200 % 250);
        let classes = [(Class::Core, 3), (Class::Edge, edges), (Class::Side, sides)];
        let mut machines = Vec::new();
        for (class, count) in classes {
            for index in 0..count {
                let kind = match class {
                    Class::Core => "core",
                    Class::Edge => "edge",
                    Class::Side => "side",
                };
                let name = format!("{kind}-{}", index + 1);
                machines.push(Machine {
                    class,
                    zone: ZONES[index % ZONES.len()].into(),
                    ip: format!("{prefix}.{}", 10 + machines.len()),
                    settings: folder.join(format!("{name}.toml")),
                    log: folder.join(format!("{name}.log")),
                    name,
                    process: None,
                });
            }
        }
        let port = free_ports(&machines).ok_or("no free ports")?;
        Ok(Self {
            machines,
            new_limit: String::new(),
            folder,
            repository: repository.into(),
            port,
        })
    }

    fn position(&self, name: &str) -> usize {
        let mut machines = self.machines.iter();
        let found = machines.position(|machine| machine.name == name);
        found.unwrap_or_else(|| panic!("no machine is called {name}"))
    }

    pub fn machine(&self, name: &str) -> &Machine {
        &self.machines[self.position(name)]
    }

    /// The names of the machines of a class.
    pub fn names(&self, class: Class) -> Vec<String> {
        let of_class = self
            .machines
            .iter()
            .filter(|machine| machine.class == class);
        of_class.map(|machine| machine.name.clone()).collect()
    }

    fn address(&self, name: &str, offset: u16) -> SocketAddr {
        let ip = &self.machine(name).ip;
        let text = format!("{ip}:{}", self.port + offset);
        text.parse().expect("a valid address")
    }

    /// Where clients connect.
    pub fn front(&self, name: &str) -> SocketAddr {
        self.address(name, 0)
    }

    /// Where the platform asks whether a node is ready.
    pub fn ready(&self, name: &str) -> SocketAddr {
        self.address(name, 1)
    }

    /// Where workers and the operator call.
    pub fn control(&self, name: &str) -> SocketAddr {
        self.address(name, 2)
    }

    fn settings_text(&self, machine: &Machine, first_boot: bool) -> String {
        let (ip, port) = (&machine.ip, self.port);
        let (role, class, serves) = match machine.class {
            Class::Core | Class::Edge => ("edge", "edge", "\"edge\",\"control\""),
            Class::Side => ("side", "side", "\"side\""),
        };
        let (share, memory, descriptors, disk) = match machine.class {
            Class::Core => (0.5, 260, 4100, 128),
            Class::Edge => (0.25, 260, 4100, 0),
            Class::Side => (0.15, 128, 4096, 0),
        };
        let seeds: Vec<String> = self
            .names(Class::Core)
            .iter()
            .map(|name| format!("\"{}\"", self.control(name)))
            .collect();
        let mut text = format!(
            "nodeName = \"{}\"\nrole = \"{role}\"\nmachineClass = \"{class}\"\nserves = [{serves}]\nip = \"{ip}\"\nzone = \"{}\"\nregion = \"western-prov\"\ninnerPortRange = [{}, {}]\nseedNodes = [{}]\nfirstBoot = {first_boot}\nlossCounted = {}\ndiscovery = \"local\"\nentryKind = \"virtual_ip\"\nbeatIntervalMs = 1400\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"places\"]\ncommands = \"heartbeat\"\n",
            machine.name,
            machine.zone,
            port + 3,
            port + 18,
            seeds.join(","),
            machine.class == Class::Core,
        );
        if machine.class == Class::Core {
            let data = self.folder.join(format!("{}-data", machine.name));
            text.push_str(&format!("dataDir = \"{}\"\n", data.display()));
        }
        text.push_str("[zones]\n");
        for zone in ZONES {
            text.push_str(&format!("{zone} = \"western-prov\"\n"));
        }
        text.push_str("[listenAddrs]\n");
        if machine.class != Class::Side {
            text.push_str(&format!(
                "front = \"{ip}:{port}\"\nreadyAddr = \"{ip}:{}\"\n",
                port + 1
            ));
        }
        text.push_str(&format!("controlAddr = \"{ip}:{}\"\n", port + 2));
        text.push_str(&format!("[limits]\ncpuShare = {share}\ncores = 1\nmemoryMb = {memory}\nmaxFds = {descriptors}\nlinkMbps = 1000.0\ndiskMb = {disk}\n{}\n[toleratedLosses]\nmachines = 1\nzones = 1\nregions = 0\n[bounds]\n{BOUNDS}", self.new_limit));
        text
    }

    /// Starts the process of a machine.
    pub fn start(&mut self, name: &str, first_boot: bool) -> Result<(), String> {
        let position = self.position(name);
        let text = self.settings_text(&self.machines[position], first_boot);
        let machine = &mut self.machines[position];
        std::fs::write(&machine.settings, text).map_err(|error| error.to_string())?;
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&machine.log)
            .map_err(|error| error.to_string())?;
        let role = if machine.class == Class::Side {
            "side"
        } else {
            "edge"
        };
        let process = Command::new(self.repository.join(PROGRAM))
            .arg(role)
            .current_dir(&self.repository)
            .env("LANDINGDRIFT_SETTINGS", &machine.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|error| error.to_string())?;
        lock(&STARTED).push(process.id());
        machine.process = Some(process);
        Ok(())
    }

    /// Starts all machines for the first time, and waits until all of class `edge` are ready. `configure` is called
    /// once they listen, until it succeeds.
    pub fn start_all(&mut self, configure: impl Fn(&Self) -> bool) -> Result<(), String> {
        let names: Vec<String> = self.machines.iter().map(|m| m.name.clone()).collect();
        for name in &names {
            self.start(name, true)?;
        }
        let until = Instant::now() + Duration::from_secs(25);
        while !configure(self) {
            if Instant::now() > until {
                return Err("the first configuration was not taken".into());
            }
            sleep(Duration::from_millis(200));
        }
        let mut edges = self.names(Class::Core);
        edges.extend(self.names(Class::Edge));
        while !edges.iter().all(|name| self.is_ready(name)) {
            if Instant::now() > until {
                return Err("not all nodes became ready".into());
            }
            sleep(Duration::from_millis(200));
        }
        Ok(())
    }

    /// Whether the platform gives the node new connections.
    pub fn is_ready(&self, name: &str) -> bool {
        let call = Call {
            method: "GET",
            path: "/landingdrift/readiness",
            host: "platform",
            headers: &[],
            body: "",
        };
        let reply = http::call(self.ready(name), &call, Duration::from_secs(1));
        reply.is_ok_and(|reply| reply.status == 200)
    }

    /// Sends a signal to the process of a machine, such as `STOP`, `CONT` or `TERM`.
    pub fn signal(&self, name: &str, signal: &str) {
        if let Some(process) = &self.machine(name).process {
            let _ = Command::new("kill")
                .arg(format!("-{signal}"))
                .arg(process.id().to_string())
                .status();
        }
    }

    /// Kills the process of a machine.
    pub fn kill(&mut self, name: &str) {
        let position = self.position(name);
        if let Some(mut process) = self.machines[position].process.take() {
            let _ = process.kill();
            let _ = process.wait();
            lock(&STARTED).retain(|id| *id != process.id());
        }
    }

    /// Whether the process of a machine has ended by itself.
    pub fn has_ended(&mut self, name: &str) -> bool {
        let position = self.position(name);
        let process = self.machines[position].process.as_mut();
        process.is_some_and(|process| matches!(process.try_wait(), Ok(Some(_))))
    }

    /// The memory that the process of a machine has taken for itself, in MiB; `None` if it does not run.
    pub fn memory_mb(&self, name: &str) -> Option<u64> {
        let process = self.machine(name).process.as_ref()?;
        let status = std::fs::read_to_string(format!("/proc/{}/status", process.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("RssAnon:"))?;
        let kib: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kib / 1024)
    }

    /// What a machine has logged, without the path of the temporary folder.
    pub fn log(&self, name: &str) -> String {
        let log = std::fs::read_to_string(&self.machine(name).log).unwrap_or_default();
        log.replace(&format!("{}/", self.folder.display()), "")
    }

    /// The core machine that became leader last, by the terms in the logs.
    pub fn leader(&self) -> Option<String> {
        let mut newest: Option<(u64, String)> = None;
        for name in self.names(Class::Core) {
            for line in self.log(&name).lines() {
                let Some((_, term)) = line.split_once("became leader of term ") else {
                    continue;
                };
                let term = term.trim().parse().unwrap_or(0);
                if newest.as_ref().is_none_or(|(known, _)| *known < term) {
                    newest = Some((term, name.clone()));
                }
            }
        }
        newest.map(|(_, name)| name)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            if let Some(process) = machine.process.as_mut() {
                let _ = process.kill();
                let _ = process.wait();
                lock(&STARTED).retain(|id| *id != process.id());
            }
        }
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// The first of some ports that are free at the addresses of all machines.
fn free_ports(machines: &[Machine]) -> Option<u16> {
    let offset = (std::process::id() % 400) as u16 * 40;
    let candidates = (0..20_u16).map(|step| 12_000 + (offset + step * 800) % 16_000);
    candidates.into_iter().find(|port| {
        machines.iter().all(|machine| {
            (0..6).all(|further| TcpListener::bind((machine.ip.as_str(), port + further)).is_ok())
        })
    })
}
