//! The control thread. Guards against extra ticks under load and against steps after the part has ended.

use landingdrift::daemon::{
    Clock, ControlThread, FrameOptions, Input, PendingCalls, ShutdownTimer, Traffic,
};
use landingdrift::sans_io::{Effect, Msg, Now, Request, Response, StateMachine};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A part that records the kinds of its inputs and exits at the request to stop.
struct RecordingPart(Arc<Mutex<Vec<&'static str>>>);

impl StateMachine for RecordingPart {
    fn step(&mut self, _: Now, msg: Msg) -> Vec<Effect> {
        let (kind, effects) = match msg {
            Msg::Tick => ("tick", Vec::new()),
            Msg::Call(n, _) => (
                "call",
                vec![Effect::Respond(n, Response::new(200, n.into()))],
            ),
            Msg::Stop => ("stop", vec![Effect::Exit]),
            _ => ("other", Vec::new()),
        };
        self.0.lock().expect("free").push(kind);
        effects
    }
    fn counters(&self) -> Vec<(String, u64)> {
        Vec::new()
    }
}

/// Runs a control thread with these inputs; returns the kinds of the steps that its part made.
fn run(tick: Duration, inputs: Vec<Input>) -> Vec<&'static str> {
    let traffic = Traffic::start().expect("starts");
    let (tx, rx) = channel();
    let options = FrameOptions {
        cluster: "tests".into(),
        own_address: "127.0.0.1:0".into(),
        timeout: Duration::from_secs(1),
        max_frame_bytes: 1 << 20,
    };
    let steps = Arc::new(Mutex::new(Vec::new()));
    let control = ControlThread {
        part: Box::new(RecordingPart(steps.clone())),
        clock: Clock::start(),
        transport: traffic.listen(options, tx.clone()).expect("listens"),
        disk: None,
        calls: PendingCalls::default(),
        tick,
        shutdown_timer: ShutdownTimer::default(),
    };
    inputs.into_iter().for_each(|i| tx.send(i).expect("sent"));
    control.run(&rx);
    let steps = steps.lock().expect("free");
    steps.clone()
}

#[test]
fn a_busy_part_gets_one_tick_per_interval() {
    let calls = (0..1000).map(|n| Input::Call(Request::default(), n));
    let steps = run(
        Duration::from_secs(3600),
        calls.chain([Input::Msg(Msg::Stop)]).collect(),
    );
    let count = |kind| steps.iter().filter(|k| **k == kind).count();
    assert_eq!((count("tick"), count("call"), count("stop")), (1, 1000, 1));
    assert_eq!(steps.last(), Some(&"stop"));
}

#[test]
fn nothing_is_stepped_after_the_end() {
    let stop = Input::Msg(Msg::Stop);
    let late = Input::Call(Request::default(), 1);
    let steps = run(Duration::from_secs(3600), vec![stop, late]);
    assert_eq!(steps, ["tick", "stop"]);
}
