//! The peer sampler: each process keeps a partial view of the others and exchanges parts of it with its peers
//! (shuffles).

use crate::sans_io::{Now, Rng};
use crate::wire::{PeerView, Shuffle};
use std::collections::{BTreeMap, BTreeSet};

/// The maximum number of peers in a view.
pub const VIEW_SIZE: usize = 8;
/// Peers whose age in shuffles is at least this are not added to a view, since they have probably stopped.
const MAX_AGE_SHUFFLES: u32 = 100;
/// One in this many shuffles goes to a seed or a replica, so that parts of a cluster that no longer know each other
/// reconnect.
const CONTACT_SHUFFLE_ODDS: u64 = 8;
/// Intervals are extended at random by up to the interval divided by this, so that processes do not shuffle in step.
const JITTER_DIVISOR: u64 = 4;
/// The role of replicas, as written on the wire.
const REPLICA_ROLE: &str = "core";

/// A process in the view.
#[derive(Clone, Debug)]
struct Peer {
    role: String,
    zone: String,
    /// The number of shuffles since it was last heard from.
    age: u32,
}

/// The peer sampler of one process, with its partial view of the cluster.
#[derive(Clone, Debug, Default)]
pub struct PeerSampler {
    own_address: String,
    role: String,
    zone: String,
    view: BTreeMap<String, Peer>,
    /// The replicas known from the log, from the watch or from peers.
    pub replicas: BTreeSet<String>,
    next_shuffle: u64,
}

impl PeerSampler {
    /// Creates an empty view, which is first filled from the seeds and the known replicas.
    pub fn new(own_address: &str, role: &str, zone: &str) -> Self {
        Self {
            own_address: own_address.into(),
            role: role.into(),
            zone: zone.into(),
            ..Self::default()
        }
    }

    /// The number of processes in the view.
    pub fn len(&self) -> usize {
        self.view.len()
    }

    /// Whether the view is empty.
    pub fn is_empty(&self) -> bool {
        self.view.is_empty()
    }

    /// The addresses of the processes in the view that have the given role.
    pub fn with_role(&self, role: &str) -> Vec<String> {
        let peers = self.view.iter();
        let of_role = peers.filter(|(_, peer)| peer.role == role);
        of_role.map(|(address, _)| address.clone()).collect()
    }

    /// The addresses of all processes in the view.
    pub fn addresses(&self) -> Vec<String> {
        self.view.keys().cloned().collect()
    }

    /// A random sample of up to half a view, preceded by this process itself.
    fn sample(&self, rng: &mut Rng) -> Vec<PeerView> {
        let mut candidates: Vec<(&String, &Peer)> = self.view.iter().collect();
        let mut sample = vec![PeerView {
            addr: self.own_address.clone(),
            role: self.role.clone(),
            zone: self.zone.clone(),
            age: 0,
        }];
        while sample.len() <= VIEW_SIZE / 2 && !candidates.is_empty() {
            let index = rng.below(candidates.len() as u64) as usize;
            let (address, peer) = candidates.swap_remove(index);
            sample.push(PeerView {
                addr: address.clone(),
                role: peer.role.clone(),
                zone: peer.zone.clone(),
                age: peer.age,
            });
        }
        sample
    }

    /// Merges received peers into the view, which keeps the youngest ones.
    fn merge(&mut self, received: Vec<PeerView>, rng: &mut Rng) {
        for peer in received {
            if peer.addr == self.own_address || peer.age >= MAX_AGE_SHUFFLES {
                continue;
            }
            let received = Peer {
                role: peer.role,
                zone: peer.zone,
                age: peer.age,
            };
            match self.view.get_mut(&peer.addr) {
                Some(known) if received.age < known.age => *known = received,
                Some(_) => {}
                None => {
                    self.view.insert(peer.addr, received);
                }
            }
        }
        while self.view.len() > VIEW_SIZE {
            self.remove_oldest(rng);
        }
    }

    /// Removes the oldest peer; if several are equally old, a random one of them.
    fn remove_oldest(&mut self, rng: &mut Rng) {
        let greatest_age = self.view.values().map(|peer| peer.age).max().unwrap_or(0);
        let peers = self.view.iter();
        let oldest: Vec<String> = peers
            .filter(|(_, peer)| peer.age == greatest_age)
            .map(|(address, _)| address.clone())
            .collect();
        if let Some(address) = rng.pick(&oldest) {
            self.view.remove(address);
        }
    }

    /// Whether a shuffle is due.
    pub fn is_shuffle_due(&self, now: Now) -> bool {
        now.mono >= self.next_shuffle
    }

    /// If a shuffle is due, returns it and the process to send it to. All peers age by one, and that process leaves the
    /// view until it replies. `seeds` are those of the current settings.
    pub fn tick(
        &mut self,
        now: Now,
        interval_ms: u64,
        seeds: &[String],
        rng: &mut Rng,
    ) -> Option<(String, Shuffle)> {
        if !self.is_shuffle_due(now) {
            return None;
        }
        let jitter = rng.below(interval_ms / JITTER_DIVISOR + 1);
        self.next_shuffle = now.mono + interval_ms + jitter;
        for peer in self.view.values_mut() {
            peer.age += 1;
        }
        let to = self.shuffle_target(seeds, rng)?;
        let shuffle = self.introduction(rng);
        // The reply of a live peer adds it to the view again.
        self.view.remove(&to);
        Some((to, shuffle))
    }

    /// A shuffle by which another process learns of this one, of its peers and of the replicas.
    pub fn introduction(&self, rng: &mut Rng) -> Shuffle {
        Shuffle {
            reply: false,
            view: self.sample(rng),
            replicas: self.replicas.iter().cloned().collect(),
        }
    }

    /// The oldest peer; a seed or a known replica in one of [`CONTACT_SHUFFLE_ODDS`] cases, or if the view is empty.
    fn shuffle_target(&self, seeds: &[String], rng: &mut Rng) -> Option<String> {
        let oldest = self.view.iter().max_by_key(|(_, peer)| peer.age);
        if let Some((address, _)) = oldest {
            let to_contact = rng.below(CONTACT_SHUFFLE_ODDS) == 0;
            if !to_contact {
                return Some(address.clone());
            }
        }
        let contacts: BTreeSet<&String> = seeds.iter().chain(&self.replicas).collect();
        let others = contacts
            .into_iter()
            .filter(|address| **address != self.own_address);
        let others: Vec<&String> = others.collect();
        rng.pick(&others).map(|address| (*address).clone())
    }

    /// Adds the peers and replicas of a received shuffle; returns a reply unless the shuffle is itself a reply.
    pub fn receive(&mut self, shuffle: Shuffle, rng: &mut Rng) -> Option<Shuffle> {
        let reply = (!shuffle.reply).then(|| Shuffle {
            reply: true,
            ..self.introduction(rng)
        });
        for peer in &shuffle.view {
            if peer.role == REPLICA_ROLE {
                self.replicas.insert(peer.addr.clone());
            }
        }
        self.replicas.extend(shuffle.replicas);
        self.merge(shuffle.view, rng);
        reply
    }

    /// Replaces all known replicas, including those learned from peers, with the members of the cluster.
    pub fn set_replicas(&mut self, replicas: Vec<String>) {
        self.replicas = replicas.into_iter().collect();
    }
}
