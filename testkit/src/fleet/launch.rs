use super::{FleetError, Options};
use rustix::process::{kill_process, Pid, Signal};
use std::fs::{self, File};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

/// Where the program stands beside the one that runs now.
pub fn program() -> PathBuf {
    let exe = std::env::current_exe().unwrap_or_default();
    let here = exe
        .ancestors()
        .skip(1)
        .map(|d| d.join("landingdrift"))
        .find(|p| p.is_file());
    here.unwrap_or_else(|| PathBuf::from("landingdrift"))
}

/// A process of the fleet.
pub struct Running {
    pub replica: bool,
    pub listen: String,
    pub http: String,
    pub zone: usize,
    /// Lost for good: it is not started again.
    pub gone: bool,
    child: Option<Child>,
    log: PathBuf,
    data: Option<PathBuf>,
}

/// All processes of the fleet.
pub struct Fleet {
    pub procs: Vec<Running>,
    program: PathBuf,
    folder: PathBuf,
    net: u32,
    seeds: String,
    cluster: String,
}

impl Fleet {
    /// Starts all processes.
    pub fn start(o: &Options) -> Result<Self, FleetError> {
        o.program
            .is_file()
            .then_some(())
            .ok_or_else(|| FleetError::NoProgram(o.program.clone()))?;
        fs::create_dir_all(&o.folder).map_err(|why| FleetError::Io {
            what: o.folder.display().to_string(),
            why,
        })?;
        // Addresses of the loopback range, so that fleets side by side don't meet.
        let net = 10 + std::process::id() % 200;
        let seeds: Vec<String> = (0..3).map(|z| format!("127.{net}.{z}.1:7000")).collect();
        let mut fleet = Self {
            procs: Vec::new(),
            program: o.program.clone(),
            folder: o.folder.clone(),
            net,
            seeds: seeds.join(","),
            cluster: format!("fleet-{net}"),
        };
        let places = (0..3)
            .map(|z| (true, z, 1))
            .chain((0..o.shape.nodes()).map(|i| (false, i % 3, 10 + i)));
        places.for_each(|(replica, zone, n)| fleet.add(replica, zone, n));
        (0..fleet.procs.len()).try_for_each(|i| fleet.up(i))?;
        Ok(fleet)
    }

    fn add(&mut self, replica: bool, zone: usize, n: usize) {
        let name = format!("{}-{zone}-{n}", if replica { "core" } else { "node" });
        let ip = format!("127.{}.{zone}.{n}", self.net);
        self.procs.push(Running {
            replica,
            listen: format!("{ip}:7000"),
            http: format!("{ip}:8000"),
            zone,
            gone: false,
            child: None,
            log: self.folder.join(format!("{name}.log")),
            data: replica.then(|| self.folder.join(name)),
        });
    }

    /// Loses a replica for good; an empty one starts at a new address.
    pub fn replace(&mut self, i: usize) -> Result<(), FleetError> {
        self.kill(i);
        self.procs[i].gone = true;
        let n = 50 + self.procs.len();
        self.add(true, self.procs[i].zone, n);
        self.up(self.procs.len() - 1)
    }

    /// Takes the last bytes of a dead replica's newest log segment away, as a disk that lost what it had confirmed.
    pub fn cut_back(&self, i: usize, bytes: u64) -> Result<u64, FleetError> {
        let Some(folder) = &self.procs[i].data else {
            return Ok(0);
        };
        let io = |why| FleetError::Io {
            what: folder.display().to_string(),
            why,
        };
        let files = fs::read_dir(folder)
            .map_err(io)?
            .flatten()
            .map(|f| f.path());
        let newest = files
            .filter(|p| p.extension().is_some_and(|e| e == "segment"))
            .max();
        newest.map_or(Ok(0), |p| {
            let f = File::options().write(true).open(&p).map_err(io)?;
            let size = f.metadata().map_err(io)?.len();
            // The segment's first frames stay: they are older than what a disk holds back.
            let left = size.saturating_sub(bytes).max(size.min(4096));
            f.set_len(left).and_then(|()| f.sync_all()).map_err(io)?;
            Ok(size - left)
        })
    }

    /// Where the nodes are called.
    pub fn nodes(&self) -> Vec<String> {
        let nodes = self.procs.iter().filter(|p| !p.replica);
        nodes.map(|p| p.http.clone()).collect()
    }

    /// Starts a process that is down.
    pub fn up(&mut self, i: usize) -> Result<(), FleetError> {
        let p = &mut self.procs[i];
        if p.child.is_some() || p.gone {
            return Ok(());
        }
        let open = || File::options().create(true).append(true).open(&p.log);
        let log = open().map_err(|why| FleetError::Io {
            what: p.log.display().to_string(),
            why,
        })?;
        let mut c = Command::new(&self.program);
        c.arg(if p.replica { "core" } else { "node" }).args([
            "--listen",
            &p.listen,
            "--http",
            &p.http,
            "--zone",
            &format!("z{}", p.zone),
            "--seeds",
            &self.seeds,
            "--cluster",
            &self.cluster,
        ]);
        p.data.iter().for_each(|d| {
            c.arg("--data").arg(d);
        });
        let child = c
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        p.child = Some(child.map_err(|why| FleetError::Io {
            what: self.program.display().to_string(),
            why,
        })?);
        Ok(())
    }

    /// Kills a process where it stands.
    pub fn kill(&mut self, i: usize) {
        if let Some(mut c) = self.procs[i].child.take() {
            let _ = c.kill();
            let _ = c.wait();
        }
    }

    /// Whether a process that should run has ended by itself.
    pub fn ended(&mut self, i: usize) -> bool {
        self.procs[i]
            .child
            .as_mut()
            .is_some_and(|c| c.try_wait().is_ok_and(|s| s.is_some()))
    }

    fn signal(&self, i: usize, s: Signal) {
        if let Some(pid) = self.procs[i]
            .child
            .as_ref()
            .and_then(|c| Pid::from_raw(c.id() as i32))
        {
            let _ = kill_process(pid, s);
        }
    }

    pub fn freeze(&self, i: usize) {
        self.signal(i, Signal::STOP);
    }

    pub fn wake(&self, i: usize) {
        self.signal(i, Signal::CONT);
    }

    /// Asks a process to stop in an orderly way and waits for its end; false where it had to be killed.
    pub fn stop(&mut self, i: usize, patience: std::time::Duration) -> bool {
        self.signal(i, Signal::TERM);
        let start = std::time::Instant::now();
        while start.elapsed() < patience {
            if self.ended(i) {
                let code = self.procs[i].child.take().and_then(|mut c| c.wait().ok());
                return code.is_some_and(|c| c.success());
            }
            std::thread::sleep(std::time::Duration::from_millis(20));
        }
        self.kill(i);
        false
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        (0..self.procs.len()).for_each(|i| self.kill(i));
    }
}
