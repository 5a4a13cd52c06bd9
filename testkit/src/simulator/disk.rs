use landingdrift::consensus::Loaded;
use landingdrift::sans_io::WriteBatch;
use std::collections::VecDeque;

/// Whether a disk takes what it is given.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Condition {
    #[default]
    Sound,
    /// It answers every write with an error.
    Full,
    /// It answers nothing.
    Stalled,
}

/// A replica's disk: what is durable, and what is on its way.
#[derive(Clone, Debug)]
pub struct SimDisk {
    base: Loaded,
    saves: VecDeque<WriteBatch>,
    pub pending: VecDeque<WriteBatch>,
    pub delay: u64,
    pub condition: Condition,
}

fn fold(l: &mut Loaded, s: &WriteBatch) {
    s.hard_state.iter().for_each(|h| l.hard_state = h.clone());
    if let Some(c) = s.truncate_from {
        l.entries.retain(|e| e.index < c);
    }
    if let Some(c) = &s.snapshot {
        l.entries.retain(|e| e.index > c.index);
        l.snapshot = Some(c.clone());
    }
    for e in &s.entries {
        l.entries.retain(|x| x.index < e.index);
        l.entries.push(e.clone());
    }
    if !s.witnesses.is_empty() {
        l.witnesses = s.witnesses.clone();
    }
}

impl SimDisk {
    pub fn new(disk: u64) -> Self {
        Self {
            base: Loaded {
                disk,
                ..Loaded::default()
            },
            saves: VecDeque::new(),
            pending: VecDeque::new(),
            delay: 2,
            condition: Condition::Sound,
        }
    }

    /// All up to this ticket is durable now.
    pub fn done(&mut self, write_id: u64) {
        while let Some(s) = self.pending.pop_front_if(|s| s.write_id <= write_id) {
            self.saves.push_back(s);
        }
        while self.saves.len() > 64 {
            if let Some(s) = self.saves.pop_front() {
                fold(&mut self.base, &s);
            }
        }
    }

    /// The power goes: of what was on its way, the first few may have arrived.
    pub fn crash(&mut self, arrived: usize) {
        let n = arrived.min(self.pending.len());
        self.saves.extend(self.pending.drain(..n));
        self.pending.clear();
    }

    /// The disk loses the last saves it had confirmed; how many entries went.
    pub fn lose(&mut self, saves: usize) -> usize {
        let n = saves.min(self.saves.len());
        let keep = self.saves.len() - n;
        self.saves.drain(keep..).map(|s| s.entries.len()).sum()
    }

    /// Everything but the term, the vote and the founders is gone.
    pub fn forget_log(&mut self) {
        let kept = self.load();
        self.saves.clear();
        self.pending.clear();
        self.base = Loaded {
            disk: kept.disk,
            hard_state: kept.hard_state,
            ..Loaded::default()
        };
    }

    pub fn load(&self) -> Loaded {
        let mut l = self.base.clone();
        self.saves.iter().for_each(|s| fold(&mut l, s));
        l
    }
}
