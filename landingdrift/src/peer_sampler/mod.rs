//! Partial views: every process knows a few others and shuffles them with its neighbours.

use crate::sans_io::{Now, Rng};
use crate::wire::{PeerView, Shuffle};
use std::collections::{BTreeMap, BTreeSet};

/// How many others a process keeps in view.
pub const VIEW_SIZE: usize = 8;

/// The part of the system that one process knows of.
#[derive(Clone, Debug, Default)]
pub struct PeerSampler {
    me: String,
    role: String,
    zone: String,
    seeds: Vec<String>,
    view: BTreeMap<String, (String, String, u32)>,
    /// Cores heard of, by watch or by neighbours.
    pub replicas: BTreeSet<String>,
    next: u64,
}

impl PeerSampler {
    /// A view that starts from the seeds.
    pub fn new(me: &str, role: &str, zone: &str, seeds: &[String]) -> Self {
        Self {
            me: me.into(),
            role: role.into(),
            zone: zone.into(),
            seeds: seeds.to_vec(),
            ..Self::default()
        }
    }

    /// How many others are in view.
    pub fn len(&self) -> usize {
        self.view.len()
    }

    /// Whether nobody is in view.
    pub fn is_empty(&self) -> bool {
        self.view.is_empty()
    }

    /// Everybody in view with a role.
    pub fn of_role(&self, role: &str) -> Vec<String> {
        let of = self.view.iter().filter(|(_, v)| v.0 == role);
        of.map(|(k, _)| k.clone()).collect()
    }

    /// Everybody in view.
    pub fn addresses(&self) -> Vec<String> {
        self.view.keys().cloned().collect()
    }

    fn sample(&self, rng: &mut Rng) -> Vec<PeerView> {
        let mut all: Vec<(&String, &(String, String, u32))> = self.view.iter().collect();
        let mut some = vec![PeerView {
            addr: self.me.clone(),
            role: self.role.clone(),
            zone: self.zone.clone(),
            age: 0,
        }];
        while some.len() <= VIEW_SIZE / 2 && !all.is_empty() {
            let (addr, (role, zone, age)) = all.swap_remove(rng.below(all.len() as u64) as usize);
            some.push(PeerView {
                addr: addr.clone(),
                role: role.clone(),
                zone: zone.clone(),
                age: *age,
            });
        }
        some
    }

    fn merge(&mut self, got: Vec<PeerView>, rng: &mut Rng) {
        for p in got.into_iter().filter(|p| p.addr != self.me && p.age < 100) {
            let known = self
                .view
                .entry(p.addr)
                .or_insert_with(|| (p.role.clone(), p.zone.clone(), p.age));
            if p.age < known.2 {
                *known = (p.role, p.zone, p.age);
            }
        }
        while self.view.len() > VIEW_SIZE {
            // The oldest goes, and among equals any.
            let oldest = self.view.values().map(|v| v.2).max().unwrap_or(0);
            let of: Vec<String> = self
                .view
                .iter()
                .filter(|(_, v)| v.2 == oldest)
                .map(|(k, _)| k.clone())
                .collect();
            rng.pick(&of).iter().for_each(|k| {
                self.view.remove(*k);
            });
        }
    }

    /// Whom to shuffle with now, if it is time.
    pub fn tick(&mut self, now: Now, every: u64, rng: &mut Rng) -> Option<(String, Shuffle)> {
        if now.mono < self.next {
            return None;
        }
        self.next = now.mono + every + rng.below(every / 4 + 1);
        self.view.values_mut().for_each(|v| v.2 += 1);
        // The oldest leaves the view and comes back with its answer; a seed now and then keeps halves from parting.
        let oldest = self
            .view
            .iter()
            .max_by_key(|(_, v)| v.2)
            .map(|(k, _)| k.clone())
            .filter(|_| rng.below(8) > 0);
        let seeds: Vec<String> = self
            .seeds
            .iter()
            .filter(|s| **s != self.me)
            .cloned()
            .collect();
        let to = oldest.or_else(|| rng.pick(&seeds).cloned())?;
        let view = self.sample(rng);
        self.view.remove(&to);
        Some((
            to,
            Shuffle {
                reply: false,
                view,
                replicas: self.replicas.iter().cloned().collect(),
            },
        ))
    }

    /// Takes a neighbour's part; the answer to it where one is due.
    pub fn take(&mut self, m: Shuffle, rng: &mut Rng) -> Option<Shuffle> {
        let back = (!m.reply).then(|| Shuffle {
            reply: true,
            view: self.sample(rng),
            replicas: self.replicas.iter().cloned().collect(),
        });
        m.view.iter().filter(|p| p.role == "core").for_each(|p| {
            self.replicas.insert(p.addr.clone());
        });
        self.replicas.extend(m.replicas);
        self.merge(m.view, rng);
        back
    }

    /// The replicas by the cluster state replace hearsay.
    pub fn set_replicas(&mut self, replicas: Vec<String>) {
        self.replicas = replicas.into_iter().collect();
    }
}
