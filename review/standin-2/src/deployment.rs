//! A small deployment: the machines, a configuration with one route, and a worker beside each `side` machine.

use crate::fleet::{Class, Fleet};
use crate::operator::{configure, BACKEND};
use crate::record::Record;
use crate::worker::{Profile, Worker};
use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

/// The processor and memory of a worker, as on the site.
const WORKER_CPU: u64 = 16_000;
const WORKER_MEMORY_MB: u64 = 65_536;
/// Traffic begins some seconds after the machines.
const LEAD: Duration = Duration::from_secs(4);

/// A running deployment. Workers end before the machines.
pub struct Deployment {
    _workers: Vec<Worker>,
    pub fleet: Fleet,
}

impl Deployment {
    pub fn start(
        repository: &Path,
        edges: usize,
        sides: usize,
        record: &Record,
    ) -> Result<Self, String> {
        let mut fleet = Fleet::prepare(repository, edges, sides)?;
        fleet.start_all(|fleet| configure(fleet, "core-1") || configure(fleet, "core-2"))?;
        record.note("all nodes are ready");
        let mut workers = Vec::new();
        for (index, name) in fleet.names(Class::Side).iter().enumerate() {
            let profile = Profile {
                id: format!("i-{index:08x}"),
                backend: BACKEND.into(),
                zone: fleet.machine(name).zone.clone(),
                rack: format!("r1-{}", index / 3),
                cpu: WORKER_CPU,
                memory_mb: WORKER_MEMORY_MB,
                side: fleet.control(name),
            };
            workers.push(Worker::start(profile, record));
        }
        sleep(LEAD);
        Ok(Self {
            _workers: workers,
            fleet,
        })
    }
}
