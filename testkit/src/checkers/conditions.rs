use crate::history::{Event, History};
use std::collections::BTreeMap;

/// What could work at which time, as the history tells of processes and links.
pub struct Conditions<'a> {
    /// Times in which no service can be asked for, with the time promised to come back.
    excused: Vec<(u64, u64)>,
    /// Times in which a node was up and could talk to the replicas.
    nodes: BTreeMap<&'a str, Vec<(u64, u64)>>,
}

impl<'a> Conditions<'a> {
    /// Reads the conditions; after less than two replicas service may take `recover`, after none `outage`.
    pub fn of(h: &'a History, recover: u64, outage: u64) -> Self {
        let mut c = Self {
            excused: Vec::new(),
            nodes: BTreeMap::new(),
        };
        let mut down: Option<(u64, u64)> = None;
        let mut up: BTreeMap<&str, u64> = BTreeMap::new();
        for a in &h.events {
            let Event::Able { replicas, nodes } = &a.e else {
                continue;
            };
            let back = if *replicas == 0 { outage } else { recover };
            if *replicas < 2 || nodes.is_empty() {
                down = Some(down.map_or((a.t, back), |(t, b)| (t, b.max(back))));
            } else if let Some((from, back)) = down.take() {
                c.excused.push((from, a.t + back));
            }
            up.retain(|n, from| {
                let still = nodes.iter().any(|m| m == n);
                if !still {
                    c.nodes.entry(n).or_default().push((*from, a.t));
                }
                still
            });
            nodes.iter().for_each(|n| {
                up.entry(n).or_insert(a.t);
            });
        }
        down.into_iter()
            .for_each(|(from, _)| c.excused.push((from, u64::MAX)));
        up.into_iter()
            .for_each(|(n, from)| c.nodes.entry(n).or_default().push((from, u64::MAX)));
        c
    }

    /// Takes out another time.
    pub fn excuse(&mut self, from: u64, to: u64) {
        self.excused.push((from, to));
        self.excused.sort_unstable();
    }

    /// How much of a time is left to account for once what is excused is taken out.
    pub fn answerable(&self, from: u64, to: u64) -> u64 {
        let mut at = from;
        let mut sum = 0;
        for (a, b) in self.excused.iter().filter(|(a, b)| *a < to && *b > from) {
            sum += a.saturating_sub(at);
            at = at.max(*b);
        }
        sum + to.saturating_sub(at)
    }

    /// Whether a node was up and connected, and the replica whole, all the time.
    pub fn node_able(&self, node: &str, from: u64, to: u64) -> bool {
        let up = self
            .nodes
            .get(node)
            .is_some_and(|of| of.iter().any(|(a, b)| *a <= from && *b >= to));
        up && self.answerable(from, to) == to - from
    }
}
