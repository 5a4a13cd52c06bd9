//! The processes of a fleet: how they are started, signalled and ended.

use super::process::{FleetProcess, FleetRole};
use super::{FleetError, Options};
use crate::scenario::NodeClass;
use rustix::process::{kill_process, Pid, Signal};
use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

/// The zones of a fleet, each with a replica.
const ZONES: usize = 3;
/// The last part of the address of the first node; replicas have 1.
const FIRST_NODE_ADDRESS: usize = 10;
/// The last part of the address of a new process, above those that a fleet starts with.
const FIRST_NEW_ADDRESS: usize = 50;
/// The last part of the address of the first node of another class than the usual one.
const FIRST_CLASS_ADDRESS: usize = 100;
/// The last part of the address of the first worker proxy.
const FIRST_PROXY_ADDRESS: usize = 150;
/// The ports for frames and for HTTP.
const FRAME_PORT: u16 = 7000;
const HTTP_PORT: u16 = 8000;
/// The networks `127.10` to `127.209` of the loopback range, one for each fleet.
const FIRST_NETWORK: u32 = 10;
const NETWORKS: u32 = 200;
/// The first frames of a log segment stay when it is cut: they are older than what a disk holds back. In bytes.
const KEPT_SEGMENT_BYTES: u64 = 4096;

/// Where the program stands beside the one that runs now.
pub fn program() -> PathBuf {
    let this_program = std::env::current_exe().unwrap_or_default();
    let folders = this_program.ancestors().skip(1);
    let mut candidates = folders.map(|folder| folder.join("landingdrift"));
    let found = candidates.find(|candidate| candidate.is_file());
    found.unwrap_or_else(|| PathBuf::from("landingdrift"))
}

/// All processes of the fleet.
pub struct Fleet {
    pub processes: Vec<FleetProcess>,
    program: PathBuf,
    folder: PathBuf,
    /// The second part of all its addresses.
    network: u32,
    seeds: String,
    cluster: String,
    lease_ms: u64,
}

/// An error about a file, folder or program.
fn io_error(path: &Path, source: std::io::Error) -> FleetError {
    FleetError::Io {
        subject: path.display().to_string(),
        source,
    }
}

/// Writes the settings of a class of processes, where they need other settings than the usual ones: the lease of workers
/// in milliseconds and the share of a processor in thousandths of a core.
fn write_settings(folder: &Path, lease_ms: u64, share: u32) -> Result<Option<PathBuf>, FleetError> {
    let usual_share = NodeClass::default().share;
    if lease_ms == 0 && share == usual_share {
        return Ok(None);
    }
    let file = folder.join(format!("settings-{share}.toml"));
    let text = format!("share = {share}\n[bounds]\nhold_ms = {lease_ms}\n");
    fs::write(&file, text).map_err(|error| io_error(&file, error))?;
    Ok(Some(file))
}

impl Fleet {
    /// Starts all processes.
    pub fn start(options: &Options) -> Result<Self, FleetError> {
        if !options.program.is_file() {
            return Err(FleetError::NoProgram(options.program.clone()));
        }
        let folder = &options.folder;
        fs::create_dir_all(folder).map_err(|error| io_error(folder, error))?;
        // Fleets side by side have networks of their own.
        let network = FIRST_NETWORK + std::process::id() % NETWORKS;
        let seed = |zone| format!("127.{network}.{zone}.1:{FRAME_PORT}");
        let seeds: Vec<String> = (0..ZONES).map(seed).collect();
        let mut fleet = Self {
            processes: Vec::new(),
            program: options.program.clone(),
            folder: folder.clone(),
            network,
            seeds: seeds.join(","),
            cluster: format!("fleet-{network}"),
            lease_ms: options.lease_ms,
        };
        let usual_share = NodeClass::default().share;
        for zone in 0..ZONES {
            fleet.add(FleetRole::Replica, zone, 1, usual_share)?;
        }
        for index in 0..options.shape.nodes() {
            let host = FIRST_NODE_ADDRESS + index;
            fleet.add(FleetRole::Node, index % ZONES, host, usual_share)?;
        }
        let of_class = |class: &NodeClass| vec![class.share; class.count];
        let shares = options.node_classes.iter().flat_map(of_class);
        for (index, share) in shares.enumerate() {
            let host = FIRST_CLASS_ADDRESS + index;
            fleet.add(FleetRole::Node, index % ZONES, host, share)?;
        }
        if options.has_worker_proxies {
            for index in 0..options.shape.workers() {
                let host = FIRST_PROXY_ADDRESS + index;
                fleet.add(FleetRole::WorkerProxy, index % ZONES, host, usual_share)?;
            }
        }
        for index in 0..fleet.processes.len() {
            fleet.start_process(index)?;
        }
        Ok(fleet)
    }

    fn add(
        &mut self,
        role: FleetRole,
        zone: usize,
        host: usize,
        share: u32,
    ) -> Result<(), FleetError> {
        let name = format!("{}-{zone}-{host}", role.name());
        let ip = format!("127.{}.{zone}.{host}", self.network);
        self.processes.push(FleetProcess {
            role,
            listen: format!("{ip}:{FRAME_PORT}"),
            http: format!("{ip}:{HTTP_PORT}"),
            zone,
            is_gone: false,
            child: None,
            log: self.folder.join(format!("{name}.log")),
            data: (role == FleetRole::Replica).then(|| self.folder.join(name)),
            settings_file: write_settings(&self.folder, self.lease_ms, share)?,
        });
        Ok(())
    }

    /// Loses a replica for good; an empty one starts at a new address.
    pub fn replace(&mut self, index: usize) -> Result<(), FleetError> {
        self.kill(index);
        self.processes[index].is_gone = true;
        let newcomer = self.processes.len();
        let zone = self.processes[index].zone;
        let share = NodeClass::default().share;
        self.add(
            FleetRole::Replica,
            zone,
            FIRST_NEW_ADDRESS + newcomer,
            share,
        )?;
        self.start_process(newcomer)
    }

    /// Takes the last bytes of a dead replica's newest log segment away, as a disk that lost what it had confirmed;
    /// returns how many.
    pub fn truncate_log(&self, index: usize, bytes: u64) -> Result<u64, FleetError> {
        let Some(folder) = &self.processes[index].data else {
            return Ok(0);
        };
        let files = fs::read_dir(folder).map_err(|error| io_error(folder, error))?;
        let paths = files.flatten().map(|file| file.path());
        let segments = paths.filter(|path| path.extension().is_some_and(|e| e == "segment"));
        let Some(newest) = segments.max() else {
            return Ok(0);
        };
        truncate(&newest, bytes).map_err(|error| io_error(folder, error))
    }

    /// The addresses of the nodes for HTTP.
    pub fn nodes(&self) -> Vec<String> {
        self.addresses_of(FleetRole::Node)
    }

    /// The addresses of the worker proxies for HTTP, by the numbers of their workers; none where workers call nodes.
    pub fn worker_proxies(&self) -> Vec<String> {
        self.addresses_of(FleetRole::WorkerProxy)
    }

    fn addresses_of(&self, role: FleetRole) -> Vec<String> {
        let processes = self.processes.iter();
        let of_role = processes.filter(|process| process.role == role);
        of_role.map(|process| process.http.clone()).collect()
    }

    /// Starts a process that is down.
    pub fn start_process(&mut self, index: usize) -> Result<(), FleetError> {
        let process = &self.processes[index];
        if process.child.is_some() || process.is_gone {
            return Ok(());
        }
        let log = File::options().create(true).append(true).open(&process.log);
        let log = log.map_err(|error| io_error(&process.log, error))?;
        let child = self
            .command(process)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|error| io_error(&self.program, error))?;
        self.processes[index].child = Some(child);
        Ok(())
    }

    fn command(&self, process: &FleetProcess) -> Command {
        let mut command = Command::new(&self.program);
        command.arg(process.role.name());
        command.args(["--listen", &process.listen]);
        command.args(["--http", &process.http]);
        command.args(["--zone", &format!("z{}", process.zone)]);
        command.args(["--seeds", &self.seeds]);
        command.args(["--cluster", &self.cluster]);
        if let Some(file) = &process.settings_file {
            command.arg("--settings").arg(file);
        }
        if let Some(data) = &process.data {
            command.arg("--data").arg(data);
        }
        command
    }

    /// Kills a process where it stands.
    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.processes[index].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether a process was started and not ended since.
    pub fn is_running(&self, index: usize) -> bool {
        self.processes[index].child.is_some()
    }

    /// Whether a process that should run has ended by itself.
    pub fn has_ended(&mut self, index: usize) -> bool {
        let child = self.processes[index].child.as_mut();
        child.is_some_and(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }

    fn signal(&self, index: usize, signal: Signal) {
        let child = self.processes[index].child.as_ref();
        if let Some(pid) = child.and_then(|child| Pid::from_raw(child.id() as i32)) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Has a process stand still.
    pub fn freeze(&self, index: usize) {
        self.signal(index, Signal::STOP);
    }

    /// Has a process that stood still go on.
    pub fn thaw(&self, index: usize) {
        self.signal(index, Signal::CONT);
    }

    /// Asks a process to stop gracefully; [`Fleet::take_exit`] tells when it has.
    pub fn ask_to_stop(&self, index: usize) {
        self.signal(index, Signal::TERM);
    }

    /// Tells a process that its settings may have changed.
    pub fn hang_up(&self, index: usize) {
        self.signal(index, Signal::HUP);
    }

    /// Whether a process that was asked to stop has ended, and then whether it did so gracefully.
    pub fn take_exit(&mut self, index: usize) -> Option<bool> {
        if !self.has_ended(index) {
            return None;
        }
        let child = self.processes[index].child.take();
        let status = child.and_then(|mut child| child.wait().ok());
        Some(status.is_some_and(|status| status.success()))
    }
}

/// Shortens a file; returns by how many bytes.
fn truncate(path: &Path, bytes: u64) -> std::io::Result<u64> {
    let file = File::options().write(true).open(path)?;
    let size = file.metadata()?.len();
    let least = size.min(KEPT_SEGMENT_BYTES);
    let left = size.saturating_sub(bytes).max(least);
    file.set_len(left)?;
    file.sync_all()?;
    Ok(size - left)
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for index in 0..self.processes.len() {
            self.kill(index);
        }
    }
}
