//! A relay: stands beside a worker, keeps no state, and carries the worker's calls to the node that holds its cell.

use crate::kernel::{Draw, Effect, Msg, Now, Part, Request, Verdict};
use crate::settings::Settings;
use crate::views::Views;
use crate::wire::{Body, Forward};
use serde_json::json;
use std::collections::BTreeMap;

/// The query of a beat whose worker says that it leaves.
pub const LEAVING: &str = "leaving";

struct Open {
    call: u64,
    req: Request,
    /// When it is given up, and when it is sent again to another node.
    until: u64,
    again: u64,
    asked: Vec<String>,
}

/// A relay.
pub struct Relay {
    cfg: Settings,
    draw: Draw,
    views: Views,
    /// The node that answered last for the cell.
    holder: String,
    open: BTreeMap<u64, Open>,
    next: u64,
    stopping: bool,
    counters: BTreeMap<&'static str, u64>,
    out: Vec<Effect>,
}

impl Relay {
    /// A relay that knows the seeds.
    pub fn new(cfg: Settings, seed: u64) -> Self {
        let mut draw = Draw::new(seed);
        Self {
            views: Views::new(&cfg.listen, "relay", &cfg.zone, &cfg.seeds),
            next: draw.number() >> 16,
            draw,
            holder: String::new(),
            open: BTreeMap::new(),
            stopping: false,
            counters: BTreeMap::new(),
            out: Vec::new(),
            cfg,
        }
    }

    fn count(&mut self, name: &'static str) {
        *self.counters.entry(name).or_default() += 1;
    }

    /// Whom to ask: the holder first, then any node that was not asked for this call.
    fn pick(&mut self, asked: &[String]) -> String {
        let fresh = |a: &&String| !a.is_empty() && !asked.contains(a);
        if let Some(h) = Some(&self.holder).filter(fresh) {
            return h.clone();
        }
        let known: Vec<String> = self.views.of_role("node");
        let nodes: Vec<String> = known.iter().filter(fresh).cloned().collect();
        let seeds: Vec<String> = self.cfg.seeds.iter().filter(fresh).cloned().collect();
        let all = if nodes.is_empty() { seeds } else { nodes };
        let any = self.draw.pick(&all).cloned();
        any.or_else(|| self.draw.pick(&self.cfg.seeds.clone()).cloned())
            .unwrap_or_default()
    }

    fn pass(&mut self, now: Now, token: u64) {
        let Some(mut o) = self.open.remove(&token) else {
            return;
        };
        let to = self.pick(&o.asked);
        o.asked.push(to.clone());
        o.again = now.mono + self.cfg.bounds.obey() / 5;
        let m = Forward {
            token,
            method: o.req.method.clone(),
            path: o.req.path.clone(),
            query: o.req.query.clone(),
            body: o.req.body.clone(),
        };
        self.open.insert(token, o);
        self.count("passed");
        self.out.push(Effect::Send(to, Body::Forward(Box::new(m))));
    }

    fn on_tick(&mut self, now: Now) {
        // It asks for a part of a neighbour's view and gives none: workers' machines are not those to be known.
        let every = 10 * self.cfg.bounds.shuffle();
        if let Some((to, mut m)) = self.views.tick(now, every, &mut self.draw) {
            m.view.clear();
            m.cores.clear();
            self.out.push(Effect::Send(to, Body::Shuffle(Box::new(m))));
        }
        let over: Vec<u64> = self
            .open
            .iter()
            .filter(|(_, o)| now.mono >= o.until)
            .map(|(k, _)| *k)
            .collect();
        over.into_iter().for_each(|token| self.give_up(token));
        let again: Vec<u64> = self
            .open
            .iter()
            .filter(|(_, o)| now.mono >= o.again)
            .map(|(k, _)| *k)
            .collect();
        for token in again {
            self.holder.clear();
            self.pass(now, token);
        }
        if self.stopping && self.open.is_empty() {
            self.out.push(Effect::Exit);
        }
    }

    /// Nobody speaks for the cell now. A worker that is told so by a refusal comes back after a growing pause, and what it
    /// runs is not held meanwhile; so it is told that there are no orders and when to beat again. That acknowledges
    /// nothing: one that says it leaves is refused.
    fn give_up(&mut self, token: u64) {
        let Some(o) = self.open.remove(&token) else {
            return;
        };
        self.count("given_up");
        let beat = self.cfg.bounds.beat();
        let v = if o.req.path == "/v1/beats" && o.req.query != LEAVING {
            Verdict::new(
                200,
                json!({"starts": [], "stops": [], "settled": [], "beatMs": beat}),
            )
        } else {
            let why = "no node answered for the cell: call again";
            Verdict::error(503, "noCell", why).retry(beat)
        };
        self.out.push(Effect::Answer(o.call, v));
    }

    fn on_call(&mut self, now: Now, call: u64, req: Request) {
        match (req.method.as_str(), req.path.as_str()) {
            ("GET", "/live" | "/ready") => {
                let v = Verdict::new(200, json!({"ready": true}));
                self.out.push(Effect::Answer(call, v));
            }
            ("GET", "/metrics") => {
                let v = self.metrics();
                self.out.push(Effect::Answer(call, v));
            }
            _ => {
                self.next += 1;
                let token = self.next;
                // An answer that takes longer is not obeyed.
                let until = now.mono + self.cfg.bounds.obey() * 4 / 5;
                let o = Open {
                    call,
                    req,
                    until,
                    again: 0,
                    asked: Vec::new(),
                };
                self.open.insert(token, o);
                self.pass(now, token);
            }
        }
    }
}

impl Part for Relay {
    fn step(&mut self, now: Now, msg: Msg) -> Vec<Effect> {
        match msg {
            Msg::Tick => self.on_tick(now),
            Msg::Call(call, req) => self.on_call(now, call, req),
            Msg::Wire(_, Body::Shuffle(m)) => {
                let _ = self.views.take(*m, &mut self.draw);
            }
            Msg::Wire(from, Body::Forwarded(m)) => {
                if m.status == 503 && self.open.contains_key(&m.token) {
                    // Not the holder, which it may name, or not able to speak for the cell now: another may be.
                    let named = !m.by.is_empty() && m.by != from;
                    self.holder = if named { m.by } else { String::new() };
                    let asked = self
                        .open
                        .get(&m.token)
                        .map(|o| o.asked.contains(&self.holder));
                    if named && asked == Some(false) {
                        self.pass(now, m.token);
                        return std::mem::take(&mut self.out);
                    }
                    let soon = now.mono + self.cfg.bounds.tick();
                    self.open
                        .get_mut(&m.token)
                        .into_iter()
                        .for_each(|o| o.again = o.again.min(soon).max(now.mono + 1));
                } else if let Some(o) = self.open.remove(&m.token) {
                    if m.status == 200 {
                        self.holder = if m.by.is_empty() { from } else { m.by };
                    }
                    let v = Verdict {
                        status: m.status,
                        retry_ms: m.retry_ms,
                        body: serde_json::from_slice(&m.body).unwrap_or_default(),
                        ..Verdict::default()
                    };
                    self.out.push(Effect::Answer(o.call, v));
                }
            }
            Msg::Changed(new) => self.cfg = *new,
            Msg::Stop => self.stopping = true,
            Msg::Wire(..) | Msg::Saved(_) | Msg::DiskDefect(_) => {}
        }
        std::mem::take(&mut self.out)
    }

    fn counters(&self) -> Vec<(String, u64)> {
        let mut all: Vec<(String, u64)> = self
            .counters
            .iter()
            .map(|(k, v)| (k.to_string(), *v))
            .collect();
        all.push(("calls_open".into(), self.open.len() as u64));
        all.push(("view_size".into(), self.views.len() as u64));
        all
    }
}
