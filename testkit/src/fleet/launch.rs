//! The processes of a fleet: how they are started, signalled and ended.

use super::{FleetError, Options};
use rustix::process::{kill_process, Pid, Signal};
use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// The zones of a fleet, each with a replica.
const ZONES: usize = 3;
/// The last part of the address of the first node; replicas have 1.
const FIRST_NODE_ADDRESS: usize = 10;
/// The last part of the address of a new process, above those that a fleet starts with.
const FIRST_NEW_ADDRESS: usize = 50;
/// The ports for frames and for HTTP.
const FRAME_PORT: u16 = 7000;
const HTTP_PORT: u16 = 8000;
/// The networks `127.10` to `127.209` of the loopback range, one for each fleet.
const FIRST_NETWORK: u32 = 10;
const NETWORKS: u32 = 200;
/// The first frames of a log segment stay when it is cut: they are older than what a disk holds back. In bytes.
const KEPT_SEGMENT_BYTES: u64 = 4096;
/// How often it is looked whether a process has ended.
const END_CHECK_EVERY: Duration = Duration::from_millis(20);

/// Where the program stands beside the one that runs now.
pub fn program() -> PathBuf {
    let this_program = std::env::current_exe().unwrap_or_default();
    let folders = this_program.ancestors().skip(1);
    let mut candidates = folders.map(|folder| folder.join("landingdrift"));
    let found = candidates.find(|candidate| candidate.is_file());
    found.unwrap_or_else(|| PathBuf::from("landingdrift"))
}

/// A process of the fleet.
pub struct FleetProcess {
    /// Whether it is a replica, and not a node.
    pub is_replica: bool,
    /// The address for frames.
    pub listen: String,
    /// The address for HTTP.
    pub http: String,
    pub zone: usize,
    /// Lost for good: it is not started again.
    pub is_gone: bool,
    child: Option<Child>,
    log: PathBuf,
    /// The folder of its disk.
    data: Option<PathBuf>,
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
    /// A settings file, where the day needs other settings than the usual ones.
    settings_file: Option<PathBuf>,
}

/// An error about a file, folder or program.
fn io_error(path: &Path, source: std::io::Error) -> FleetError {
    FleetError::Io {
        subject: path.display().to_string(),
        source,
    }
}

/// Writes the settings that a day with leases needs.
fn write_settings(options: &Options) -> Result<Option<PathBuf>, FleetError> {
    if options.lease_ms == 0 {
        return Ok(None);
    }
    let file = options.folder.join("settings.toml");
    let text = format!("[bounds]\nhold_ms = {}\n", options.lease_ms);
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
            settings_file: write_settings(options)?,
        };
        for zone in 0..ZONES {
            fleet.add(true, zone, 1);
        }
        for index in 0..options.shape.nodes() {
            fleet.add(false, index % ZONES, FIRST_NODE_ADDRESS + index);
        }
        for index in 0..fleet.processes.len() {
            fleet.start_process(index)?;
        }
        Ok(fleet)
    }

    fn add(&mut self, is_replica: bool, zone: usize, host: usize) {
        let role = if is_replica { "core" } else { "node" };
        let name = format!("{role}-{zone}-{host}");
        let ip = format!("127.{}.{zone}.{host}", self.network);
        self.processes.push(FleetProcess {
            is_replica,
            listen: format!("{ip}:{FRAME_PORT}"),
            http: format!("{ip}:{HTTP_PORT}"),
            zone,
            is_gone: false,
            child: None,
            log: self.folder.join(format!("{name}.log")),
            data: is_replica.then(|| self.folder.join(name)),
        });
    }

    /// Loses a replica for good; an empty one starts at a new address.
    pub fn replace(&mut self, index: usize) -> Result<(), FleetError> {
        self.kill(index);
        self.processes[index].is_gone = true;
        let newcomer = self.processes.len();
        let zone = self.processes[index].zone;
        self.add(true, zone, FIRST_NEW_ADDRESS + newcomer);
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
        let nodes = self.processes.iter().filter(|process| !process.is_replica);
        nodes.map(|process| process.http.clone()).collect()
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
        command.arg(if process.is_replica { "core" } else { "node" });
        command.args(["--listen", &process.listen]);
        command.args(["--http", &process.http]);
        command.args(["--zone", &format!("z{}", process.zone)]);
        command.args(["--seeds", &self.seeds]);
        command.args(["--cluster", &self.cluster]);
        if let Some(file) = &self.settings_file {
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

    /// Asks a process to stop gracefully and waits for its end; false where it failed or had to be killed.
    pub fn stop(&mut self, index: usize, timeout: Duration) -> bool {
        self.signal(index, Signal::TERM);
        let start = Instant::now();
        while start.elapsed() < timeout {
            if self.has_ended(index) {
                let child = self.processes[index].child.take();
                let status = child.and_then(|mut child| child.wait().ok());
                return status.is_some_and(|status| status.success());
            }
            thread::sleep(END_CHECK_EVERY);
        }
        self.kill(index);
        false
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
