//! The links between processes: latency, loss, doubling and order of messages.

use super::{Ent, Happening, World};
use landingdrift::sans_io::{Msg, Request};
use landingdrift::wire::{pack_as, unpack_as, Body, WireError};

impl World {
    pub(super) fn lag(&mut self, i: usize) -> u64 {
        1 + self.rng.below(3) * self.procs[i].slow + (self.procs[i].slow - 1) * 20
    }

    pub(super) fn carry(&mut self, from: usize, to: &str, body: &Body) {
        let Some(j) = self
            .by_addr
            .get(to)
            .copied()
            .filter(|j| self.procs[*j].up() && !self.blocked.contains(&(from, *j)))
        else {
            return;
        };
        let at = self.t + self.lag(from) + (self.procs[j].slow - 1) * 20;
        let at = if self.procs[from].flaky || self.procs[j].flaky {
            // Connections break and come back: nothing keeps its order, some comes twice or never.
            if self.rng.below(100) < 15 {
                return;
            }
            at + if self.rng.below(100) < 40 {
                self.rng.below(400)
            } else {
                0
            }
        } else {
            // One connection keeps its order, however slow the link is.
            let last = self.arrivals.entry((from, j)).or_default();
            *last = at.max(*last);
            *last
        };
        self.messages += 1;
        let life = self.procs[j].life;
        let addr = self.procs[from].addr.clone();
        let bytes = pack_as(self.procs[from].wire, &self.settings.cluster, &addr, body);
        if (self.procs[from].flaky || self.procs[j].flaky) && self.rng.below(100) < 10 {
            let (from, bytes, again) = (addr.clone(), bytes.clone(), at + self.rng.below(500));
            self.at(
                again,
                Happening::Deliver {
                    to: j,
                    life,
                    from,
                    bytes,
                },
            );
        }
        self.at(
            at,
            Happening::Deliver {
                to: j,
                life,
                from: addr,
                bytes,
            },
        );
    }

    /// Hands a frame to the process that it was sent to.
    pub(super) fn deliver(&mut self, to: usize, from: String, bytes: Vec<u8>) {
        match unpack_as(self.procs[to].wire, &self.settings.cluster, &bytes) {
            Err(WireError::Version(_)) => {
                *self.procs[to]
                    .counters
                    .entry("frames_of_another_version".into())
                    .or_default() += 1
            }
            Ok(env) => self.reach(to, Msg::Wire(from, env.body)),
            Err(e) => panic!("a frame of our own can't be read: {e}"),
        }
    }

    /// Hands a call to the process at an address, if one is up there.
    pub(super) fn call(&mut self, to: &str, from: Ent, call: u64, req: Request) {
        let Some(i) = self
            .by_addr
            .get(to)
            .copied()
            .filter(|i| self.procs[*i].up())
        else {
            return;
        };
        self.next_call += 1;
        self.calls.insert(self.next_call, (from, call));
        let n = self.next_call;
        self.reach(i, Msg::Call(n, req));
    }
}
