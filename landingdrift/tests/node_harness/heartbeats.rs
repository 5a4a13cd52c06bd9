//! Helpers that send heartbeats of the harness's worker and advance the clock.

use super::{info, response_and_proposals, NodeHarness};
use landingdrift::node::{Heartbeat, RunningAttempt};
use landingdrift::sans_io::{Effect, Msg, Request, Response, StateMachine};
use landingdrift::state::{Command, EndReport, Outcome, RunName};

/// Interval of ticks and heartbeats in `pass_time`, in milliseconds.
const HEARTBEAT_INTERVAL_MS: u64 = 100;

impl NodeHarness {
    /// Lets time pass with heartbeats that report the first run of each job in `running`; returns the jobs that were
    /// started.
    pub fn pass_time(&mut self, for_ms: u64, running: &[&str]) -> Vec<String> {
        let mut started = Vec::new();
        for _ in 0..for_ms / HEARTBEAT_INTERVAL_MS {
            self.elapsed_ms += HEARTBEAT_INTERVAL_MS;
            let now = self.now();
            let mut effects = self.node.step(now, Msg::Tick);
            effects.extend(self.send_heartbeat_effects(Heartbeat {
                running: running.iter().map(|job| first_run_of(job)).collect(),
                ..named_heartbeat(self.call + 1)
            }));
            for command in self.commit(effects).commands {
                if let Command::StartAttempts { job, .. } = command {
                    started.push(job);
                }
            }
        }
        started
    }

    /// Sends a heartbeat that reports the first run of job `j` if `running`; returns the response and the proposed
    /// commands.
    pub fn heartbeat(&mut self, sequence: u64, running: bool) -> (Option<Response>, Vec<Command>) {
        let run = RunningAttempt {
            name: Some(run_name(1)),
            ..RunningAttempt::default()
        };
        self.send_heartbeat(Heartbeat {
            running: if running { vec![run] } else { Vec::new() },
            ..named_heartbeat(sequence)
        })
    }

    /// Sends a heartbeat that reports the end of a run of the only task of job `j`.
    pub fn heartbeat_with_end(
        &mut self,
        sequence: u64,
        run: u32,
        outcome: Outcome,
    ) -> (Option<Response>, Vec<Command>) {
        self.send_heartbeat(Heartbeat {
            ended: vec![EndReport {
                name: Some(run_name(run)),
                outcome,
                ..EndReport::default()
            }],
            ..named_heartbeat(sequence)
        })
    }

    fn send_heartbeat(&mut self, heartbeat: Heartbeat) -> (Option<Response>, Vec<Command>) {
        response_and_proposals(self.send_heartbeat_effects(heartbeat))
    }

    /// Sends a heartbeat; returns all its effects.
    pub fn send_heartbeat_effects(&mut self, heartbeat: Heartbeat) -> Vec<Effect> {
        self.call += 1;
        let request = Request {
            method: "POST".into(),
            path: "/v1/beats".into(),
            body: serde_json::to_vec(&heartbeat).expect("JSON"),
            ..Request::default()
        };
        let now = self.now();
        self.node.step(now, Msg::Call(self.call, request))
    }
}

/// A run of the only task of job `j`.
pub fn run_name(run: u32) -> RunName {
    RunName {
        job: "j".into(),
        task: "0.0.0".into(),
        run,
    }
}

/// The first run of the first task of a job, as a heartbeat reports it.
fn first_run_of(job: &str) -> RunningAttempt {
    RunningAttempt {
        name: Some(RunName {
            job: job.into(),
            task: "0.0.0".into(),
            run: 1,
        }),
        ..RunningAttempt::default()
    }
}

/// A heartbeat of the worker, which identifies runs by name.
fn named_heartbeat(sequence: u64) -> Heartbeat {
    Heartbeat {
        info: info(),
        sequence,
        uses_run_names: true,
        ..Heartbeat::default()
    }
}
