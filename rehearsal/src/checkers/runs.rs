use super::conditions::Conditions;
use super::{Broken, Promised};
use crate::history::{At, Event, History, Says};
use landingdrift::record::{JobSpec, Outcome, TaskSpec};
use std::collections::{BTreeMap, BTreeSet};

type Specs<'a> = BTreeMap<&'a str, &'a JobSpec>;

fn specs(h: &History) -> Specs<'_> {
    h.events
        .iter()
        .filter_map(|a| {
            if let Event::Offered { spec } = &a.e {
                Some((spec.id.as_str(), spec))
            } else {
                None
            }
        })
        .collect()
}

fn task<'a>(s: &Specs<'a>, job: &str, task: &str) -> Option<&'a TaskSpec> {
    s.get(job)
        .and_then(|j| j.tasks.iter().find(|t| t.name == task))
}

/// One run of a task on a worker.
struct Run<'a> {
    worker: &'a str,
    job: &'a str,
    task: &'a str,
    from: u64,
    to: u64,
    outcome: Option<Outcome>,
}

/// All runs; those that never ended go on to the end of time, and a dead worker's end with it.
fn runs(h: &History) -> Vec<Run<'_>> {
    let mut out: Vec<Run> = Vec::new();
    let mut open: BTreeMap<(&str, u64), usize> = BTreeMap::new();
    for a in &h.events {
        match &a.e {
            Event::Started {
                worker,
                no,
                job,
                task,
                ..
            } => {
                open.insert((worker, *no), out.len());
                out.push(Run {
                    worker,
                    job,
                    task,
                    from: a.t,
                    to: u64::MAX,
                    outcome: None,
                });
            }
            Event::Ended {
                worker,
                no,
                outcome,
                ..
            } if *outcome != Outcome::Void => {
                if let Some(i) = open.remove(&(worker.as_str(), *no)) {
                    out[i].to = a.t;
                    out[i].outcome = Some(*outcome);
                }
            }
            Event::WorkerDied { worker } => {
                let dead: Vec<(&str, u64)> =
                    open.keys().filter(|(w, _)| w == worker).copied().collect();
                dead.into_iter()
                    .filter_map(|k| open.remove(&k))
                    .for_each(|i| out[i].to = a.t);
            }
            _ => {}
        }
    }
    out
}

/// Without leave to repeat, a task never runs twice at once and never again after it finished well.
pub fn no_repeat(h: &History, _: &Promised) -> Vec<Broken> {
    let s = specs(h);
    let mut by_task: BTreeMap<(&str, &str), Vec<Run>> = BTreeMap::new();
    for r in runs(h) {
        if task(&s, r.job, r.task).is_some_and(|t| !t.may_repeat) {
            by_task.entry((r.job, r.task)).or_default().push(r);
        }
    }
    let mut out = Vec::new();
    for ((job, name), of) in by_task {
        for (i, r) in of.iter().enumerate() {
            for before in &of[..i] {
                if before.to > r.from {
                    out.push(Broken::new(
                        "no repeat without leave",
                        r.from,
                        format!(
                            "{job}/{name} started on {} while it ran on {}",
                            r.worker, before.worker
                        ),
                    ));
                } else if before.outcome == Some(Outcome::Well) {
                    out.push(Broken::new(
                        "no repeat without leave",
                        r.from,
                        format!(
                            "{job}/{name} started again on {} after it had finished well",
                            r.worker
                        ),
                    ));
                }
            }
        }
    }
    out
}

/// No task starts before the steps it depends on are done.
pub fn steps_in_order(h: &History, _: &Promised) -> Vec<Broken> {
    let s = specs(h);
    let mut well: BTreeSet<(&str, &str)> = BTreeSet::new();
    let mut out = Vec::new();
    for a in &h.events {
        match &a.e {
            Event::Ended {
                job,
                task,
                outcome: Outcome::Well,
                ..
            } => {
                well.insert((job, task));
            }
            Event::Started {
                job, task: name, ..
            } => {
                let missing = task(&s, job, name)
                    .into_iter()
                    .flat_map(|t| &t.depends_on)
                    .find(|d| !well.contains(&(job.as_str(), d.as_str())));
                out.extend(missing.map(|d| {
                    Broken::new(
                        "steps in order",
                        a.t,
                        format!("{job}/{name} started before {d} was done"),
                    )
                }));
            }
            _ => {}
        }
    }
    out
}

/// No task starts noticeably before its appointed time.
pub fn not_early(h: &History, p: &Promised) -> Vec<Broken> {
    let s = specs(h);
    h.events
        .iter()
        .filter_map(|a| match &a.e {
            Event::Started {
                job, task: name, ..
            } => task(&s, job, name)
                .filter(|t| a.t + p.epoch + p.early < t.due)
                .map(|t| {
                    Broken::new(
                        "not before its time",
                        a.t,
                        format!("{job}/{name} started {} ms early", t.due - a.t - p.epoch),
                    )
                }),
            _ => None,
        })
        .collect()
}

/// No worker holds more than its room.
pub fn room(h: &History, _: &Promised) -> Vec<Broken> {
    let mut rooms: BTreeMap<&str, u32> = BTreeMap::new();
    let mut held: BTreeMap<&str, BTreeMap<u64, u32>> = BTreeMap::new();
    let mut out = Vec::new();
    for a in &h.events {
        match &a.e {
            Event::WorkerUp { worker, room, .. } => {
                rooms.insert(worker, *room);
                held.remove(worker.as_str());
            }
            Event::WorkerChanged { worker, room, .. } => {
                rooms.insert(worker, *room);
            }
            Event::WorkerDied { worker } => {
                held.remove(worker.as_str());
            }
            Event::Ended { worker, no, .. } => {
                held.get_mut(worker.as_str()).iter_mut().for_each(|w| {
                    w.remove(no);
                });
            }
            Event::Started {
                worker, no, room, ..
            } => {
                let w = held.entry(worker).or_default();
                w.insert(*no, *room);
                let sum: u32 = w.values().sum();
                if sum > rooms.get(worker.as_str()).copied().unwrap_or(0) {
                    out.push(Broken::new(
                        "room",
                        a.t,
                        format!("{worker} holds {sum} of {:?}", rooms.get(worker.as_str())),
                    ));
                }
            }
            _ => {}
        }
    }
    out
}

/// Tasks run only on workers of their service that carry their labels.
pub fn fitting(h: &History, _: &Promised) -> Vec<Broken> {
    let s = specs(h);
    let mut up: BTreeMap<&str, (&str, &Vec<String>)> = BTreeMap::new();
    let mut out = Vec::new();
    for a in &h.events {
        match &a.e {
            Event::WorkerUp {
                worker,
                service,
                labels,
                ..
            } => {
                up.insert(worker, (service, labels));
            }
            Event::WorkerChanged { worker, labels, .. } => {
                up.get_mut(worker.as_str())
                    .iter_mut()
                    .for_each(|w| w.1 = labels);
            }
            Event::Started {
                worker,
                job,
                task: name,
                ..
            } => {
                let fits = task(&s, job, name)
                    .zip(up.get(worker.as_str()))
                    .is_some_and(|(t, (service, labels))| {
                        t.service == *service && t.labels.iter().all(|l| labels.contains(l))
                    });
                if !fits {
                    out.push(Broken::new(
                        "fitting workers",
                        a.t,
                        format!("{job}/{name} started on {worker}, which does not fit"),
                    ));
                }
            }
            _ => {}
        }
    }
    out
}

/// A change of a number, and when it may have been in force.
struct Limit {
    change: String,
    value: u32,
    asked: u64,
    /// Its version and when it was acknowledged.
    acked: Option<(u64, u64)>,
    lost: bool,
}

/// Limits of a kind, by queue, as they were asked for and acknowledged.
#[derive(Default)]
pub struct Limits<'a>(BTreeMap<&'a str, Vec<Limit>>);

impl<'a> Limits<'a> {
    /// Takes note of an event.
    pub fn take(&mut self, a: &'a At, of: impl Fn(&'a Says) -> &'a BTreeMap<String, u32>) {
        match &a.e {
            Event::ConfigAsked { change, says } => {
                for (q, value) in of(says) {
                    let all = self.0.entry(q).or_default();
                    if !all.iter().any(|l| l.change == *change) {
                        all.push(Limit {
                            change: change.clone(),
                            value: *value,
                            asked: a.t,
                            acked: None,
                            lost: false,
                        });
                    }
                }
            }
            Event::Configured {
                change,
                status,
                version,
                ..
            } => {
                for l in self
                    .0
                    .values_mut()
                    .flatten()
                    .filter(|l| l.change == *change)
                {
                    if *status == 200 {
                        l.acked = l.acked.or(Some((*version, a.t)));
                    } else {
                        l.lost = true;
                    }
                }
            }
            _ => {}
        }
    }

    /// The largest limit that may be in force at some time of two, when a change has `hold` to take hold.
    pub fn most(&self, queue: &str, (from, to): (u64, u64), hold: u64) -> Option<u32> {
        let all = self.0.get(queue)?;
        let newest = all
            .iter()
            .filter_map(|l| l.acked)
            .filter(|(_, at)| at + hold < from)
            .map(|(v, _)| v)
            .max()
            .unwrap_or(0);
        all.iter()
            .filter(|l| l.asked <= to && !l.lost && l.acked.is_none_or(|(v, _)| v >= newest))
            .map(|l| l.value)
            .max()
    }
}

/// A task that has failed as often as its queue permits is not tried again.
pub fn tries(h: &History, p: &Promised) -> Vec<Broken> {
    let s = specs(h);
    let mut permitted = Limits::default();
    let mut defects: BTreeMap<(&str, &str), u32> = BTreeMap::new();
    let mut out = Vec::new();
    for a in &h.events {
        permitted.take(a, |s| &s.tries);
        match &a.e {
            Event::Ended {
                job,
                task,
                outcome: Outcome::Defect,
                ..
            } => *defects.entry((job, task)).or_default() += 1,
            Event::Started { job, task, .. } => {
                let most = s
                    .get(job.as_str())
                    .and_then(|j| permitted.most(&j.queue, (a.t, a.t), p.desired))
                    .unwrap_or(u32::MAX);
                let had = defects
                    .get(&(job.as_str(), task.as_str()))
                    .copied()
                    .unwrap_or(0);
                if had >= most {
                    out.push(Broken::new(
                        "tries",
                        a.t,
                        format!("{job}/{task} started after {had} defects of {most}"),
                    ));
                }
            }
            _ => {}
        }
    }
    out
}

/// A worker that said it is leaving gets nothing new soon after.
pub fn leaving(h: &History, p: &Promised) -> Vec<Broken> {
    let mut left: BTreeMap<&str, u64> = BTreeMap::new();
    let mut out = Vec::new();
    for a in &h.events {
        match &a.e {
            Event::WorkerUp { worker, .. } => {
                left.remove(worker.as_str());
            }
            Event::WorkerLeaving { worker } => {
                left.insert(worker, a.t);
            }
            Event::Started { worker, .. }
                if left.get(worker.as_str()).is_some_and(|t| a.t > t + p.leave) =>
            {
                out.push(Broken::new(
                    "leaving workers",
                    a.t,
                    format!(
                        "{worker} got work {} ms after it said it leaves",
                        a.t - left[worker.as_str()]
                    ),
                ))
            }
            _ => {}
        }
    }
    out
}

/// An emptied zone gets nothing new soon after.
pub fn emptied(h: &History, p: &Promised) -> Vec<Broken> {
    let mut zone_of: BTreeMap<&str, &str> = BTreeMap::new();
    let mut closed: BTreeMap<&str, u64> = BTreeMap::new();
    let mut out = Vec::new();
    let mut newest = 0;
    for a in &h.events {
        match &a.e {
            Event::WorkerUp { worker, zone, .. } => {
                zone_of.insert(worker, zone);
            }
            Event::Configured {
                status: 200,
                says,
                version,
                ..
            } if *version > newest => {
                newest = *version;
                for (z, state) in &says.zones {
                    if ["draining", "evacuated"].contains(&state.as_str()) {
                        closed.entry(z).or_insert(a.t);
                    } else {
                        closed.remove(z.as_str());
                    }
                }
            }
            // Opened again at the earliest when somebody asks for it.
            Event::ConfigAsked { says, .. } => {
                let open = says
                    .zones
                    .iter()
                    .filter(|(_, state)| !["draining", "evacuated"].contains(&state.as_str()));
                open.for_each(|(z, _)| {
                    closed.remove(z.as_str());
                });
            }
            Event::Started { worker, .. } => {
                let since = zone_of.get(worker.as_str()).and_then(|z| closed.get(z));
                if since.is_some_and(|t| a.t > t + p.empty) {
                    out.push(Broken::new(
                        "emptied zones",
                        a.t,
                        format!(
                            "{worker} got work {} ms after its zone was emptied",
                            a.t - since.unwrap_or(&0)
                        ),
                    ));
                }
            }
            _ => {}
        }
    }
    out
}

/// Members of a gang are never left waiting alone: whoever runs for long, runs with all that are not done.
pub fn gangs(h: &History, p: &Promised) -> Vec<Broken> {
    alone_times(h, p)
        .into_iter()
        .filter(|a| a.ms > if a.struck { p.alone_struck } else { p.alone })
        .map(|a| {
            Broken::new(
                "gangs together",
                a.t,
                format!(
                    "{} was alone for {} ms{}",
                    a.who,
                    a.ms,
                    if a.struck {
                        ", a member was struck"
                    } else {
                        ""
                    }
                ),
            )
        })
        .collect()
}

/// How long a gang's member ran without another one.
pub struct Alone {
    pub who: String,
    pub t: u64,
    pub ms: u64,
    /// A fault struck a member's worker, or the processes that give it orders, meanwhile.
    pub struck: bool,
}

/// Every time that a member of a gang ran without another.
pub fn alone_times(h: &History, p: &Promised) -> Vec<Alone> {
    let c = Conditions::of(h, p.recover, p.outage);
    let s = specs(h);
    let all = runs(h);
    let mut of: BTreeMap<(&str, &str), Vec<&Run>> = BTreeMap::new();
    for r in &all {
        if let Some(t) = task(&s, r.job, r.task).filter(|t| !t.gang.is_empty()) {
            of.entry((r.job, t.gang.as_str())).or_default().push(r);
        }
    }
    let dark = dark_times(h);
    let end = h.events.last().map_or(0, |a| a.t);
    let struck: Vec<(u64, u64)> = strikes(h);
    let mut out = Vec::new();
    for ((job, gang), runs) in &of {
        let names: Vec<&str> = s[job]
            .tasks
            .iter()
            .filter(|t| t.gang == *gang)
            .map(|t| t.name.as_str())
            .collect();
        for r in runs {
            let to = r.to.min(end);
            // A worker that nobody can reach can't be told to stop.
            let reached = dark
                .iter()
                .filter(|(w, from, until)| *w == r.worker && *from <= to && *until >= r.from)
                .map(|(_, from, _)| *from)
                .min();
            let to = reached.map_or(to, |t| to.min(t.max(r.from)));
            for other in names.iter().filter(|n| **n != r.task) {
                let partners = runs.iter().filter(|x| x.task == *other);
                // With it from when it starts, if it has not ended by then, or at once when it was done well.
                let since = partners
                    .filter(|x| x.to >= r.from || x.outcome == Some(Outcome::Well))
                    .map(|x| x.from.max(r.from))
                    .min()
                    .unwrap_or(u64::MAX);
                let until = since.min(to);
                out.push(Alone {
                    who: format!("{job}/{} on {}", r.task, r.worker),
                    t: r.from,
                    // While the core has no majority nobody can be told to stop.
                    ms: c.answerable(r.from, until.max(r.from)),
                    struck: struck.iter().any(|(a, b)| *a <= until && *b >= r.from),
                });
            }
        }
    }
    out
}

/// Times in which some fault was at work that keeps orders from workers, and shortly after.
fn strikes(h: &History) -> Vec<(u64, u64)> {
    let mut out: Vec<(u64, u64)> = Vec::new();
    let mut open: BTreeMap<&str, u64> = BTreeMap::new();
    let quiet = [
        "Crowd",
        "Huge",
        "Doomed",
        "Storm",
        "Rivals",
        "Drain",
        "Evacuate",
        "Urgent",
        "Wrong",
        "Tries",
        "Quota",
        "ClockJump",
        "dark",
        "light",
    ];
    for a in &h.events {
        match &a.e {
            Event::Fault { what } if !quiet.iter().any(|q| what.starts_with(q)) => {
                open.entry(what).or_insert(a.t);
            }
            Event::Healed { what } => {
                out.extend(open.remove(what.as_str()).map(|t| (t, a.t + 4000)))
            }
            _ => {}
        }
    }
    out.extend(open.into_values().map(|t| (t, u64::MAX)));
    out
}

/// Times in which a worker could not be reached, as the faults say.
fn dark_times(h: &History) -> Vec<(&str, u64, u64)> {
    let mut out: Vec<(&str, u64, u64)> = Vec::new();
    for a in &h.events {
        if let Event::Fault { what } = &a.e {
            if let Some(w) = what.strip_prefix("dark ") {
                out.push((w, a.t, u64::MAX));
            } else if let Some(w) = what.strip_prefix("light ") {
                out.iter_mut()
                    .filter(|(n, _, to)| *n == w && *to == u64::MAX)
                    .for_each(|d| d.2 = a.t + 2000);
            }
        }
    }
    out
}
