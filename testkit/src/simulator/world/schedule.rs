//! The schedule of what is still to happen, and what each entry does when its time has come.

use super::{Ent, Kind, World, TICK};
use crate::simulator::disk::Condition;
use landingdrift::sans_io::{Msg, Request, Response};
use std::cmp::Reverse;

/// What can happen at a moment of the day.
pub(in crate::simulator) enum Happening {
    Tick(usize, u64),
    Deliver {
        to: usize,
        life: u64,
        from: String,
        bytes: Vec<u8>,
    },
    Saved(usize, u64, u64),
    Call {
        to: String,
        from: Ent,
        call: u64,
        req: Request,
    },
    Answer {
        to: Ent,
        call: u64,
        v: Response,
    },
    HandTick(usize, u64),
    ClientTick,
    Fault(usize),
    Heal(usize),
    Calm,
    Probe,
    Look,
}

/// An entry of the schedule: by its time, then in the order of entering.
pub(super) struct ScheduledEvent {
    pub(super) t: u64,
    seq: u64,
    pub(super) what: Happening,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, o: &Self) -> bool {
        (self.t, self.seq) == (o.t, o.seq)
    }
}
impl Eq for ScheduledEvent {}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, o: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(o))
    }
}
impl Ord for ScheduledEvent {
    fn cmp(&self, o: &Self) -> std::cmp::Ordering {
        (self.t, self.seq).cmp(&(o.t, o.seq))
    }
}

impl World {
    pub(in crate::simulator) fn at(&mut self, t: u64, what: Happening) {
        self.seq += 1;
        self.queue.push(Reverse(ScheduledEvent {
            t,
            seq: self.seq,
            what,
        }));
    }

    pub(super) fn happen(&mut self, what: Happening) {
        match what {
            Happening::Tick(i, life) if self.procs[i].life == life => {
                self.reach(i, Msg::Tick);
                self.at(self.t + TICK, Happening::Tick(i, life));
            }
            Happening::Deliver {
                to,
                life,
                from,
                bytes,
            } if self.procs[to].life == life => {
                self.deliver(to, from, bytes);
            }
            Happening::Saved(i, life, write_id) if self.procs[i].life == life => {
                let Kind::Replica(_, disk) = &mut self.procs[i].kind else {
                    return;
                };
                if disk.condition != Condition::Sound {
                    return self.not_saved(i, life, write_id);
                }
                disk.done(write_id);
                self.reach(i, Msg::Persisted(write_id));
            }
            Happening::Call {
                to,
                from,
                call,
                req,
            } => {
                self.call(&to, from, call, req);
            }
            Happening::Answer { to, call, v } => self.answer(to, call, v),
            Happening::HandTick(i, life) if self.hands[i].life == life => {
                if !self.hands[i].frozen {
                    let t = self.t;
                    let asks = self.hands[i]
                        .worker
                        .as_mut()
                        .map_or(Vec::new(), |w| w.tick(t));
                    self.asked(Ent::Worker(i, life), asks);
                }
                self.at(self.t + TICK, Happening::HandTick(i, life));
            }
            Happening::ClientTick => {
                self.tick_client();
            }
            Happening::Fault(i) => self.strike(i),
            Happening::Heal(i) => self.heal(i),
            Happening::Calm => self.come_to_rest(),
            Happening::Probe => {
                self.probe();
                self.at(self.t + 500, Happening::Probe);
            }
            Happening::Look => {
                self.look();
                self.at(self.t + 100, Happening::Look);
            }
            _ => {}
        }
    }
}
