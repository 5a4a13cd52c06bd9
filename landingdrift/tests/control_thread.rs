//! The control thread. Guards against extra ticks under load and against steps after the part has ended.

use landingdrift::daemon::{
    ClientLimits, Clock, ControlThread, FrameOptions, Input, PendingCalls, ShutdownTimer, Traffic,
};
use landingdrift::sans_io::{Effect, Msg, Now, Request, Response, StateMachine};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A part that records the kinds of its messages and exits when it is asked to stop.
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
        self.0.lock().expect("the lock is poisoned").push(kind);
        effects
    }
    fn counters(&self) -> Vec<(String, u64)> {
        Vec::new()
    }
}

/// Runs a control thread with these inputs; returns the kinds of the messages that its part was stepped with.
fn run(tick: Duration, inputs: Vec<Input>) -> Vec<&'static str> {
    let traffic = Traffic::start(ClientLimits::default()).expect("failed to start");
    let (input_sender, input_receiver) = channel();
    let options = FrameOptions {
        cluster: "tests".into(),
        own_address: "127.0.0.1:0".into(),
        timeout: Duration::from_secs(1),
        max_frame_bytes: 1 << 20,
    };
    let kinds = Arc::new(Mutex::new(Vec::new()));
    let control = ControlThread {
        part: Box::new(RecordingPart(kinds.clone())),
        clock: Clock::start(),
        transport: traffic
            .listen(options, input_sender.clone())
            .expect("failed to listen"),
        disk: None,
        calls: PendingCalls::default(),
        tick,
        shutdown_timer: ShutdownTimer::default(),
    };
    inputs
        .into_iter()
        .for_each(|input| input_sender.send(input).expect("failed to send"));
    control.run(&input_receiver);
    let kinds = kinds.lock().expect("the lock is poisoned");
    kinds.clone()
}

#[test]
fn a_busy_part_gets_one_tick_per_interval() {
    let calls = (0..1000).map(|n| Input::Call(Request::default(), n, None));
    let kinds = run(
        Duration::from_secs(3600),
        calls.chain([Input::Msg(Msg::Stop)]).collect(),
    );
    let count = |kind| kinds.iter().filter(|k| **k == kind).count();
    assert_eq!((count("tick"), count("call"), count("stop")), (1, 1000, 1));
    assert_eq!(kinds.last(), Some(&"stop"));
}

#[test]
fn a_part_is_not_stepped_after_it_has_exited() {
    let stop = Input::Msg(Msg::Stop);
    let late = Input::Call(Request::default(), 1, None);
    let kinds = run(Duration::from_secs(3600), vec![stop, late]);
    assert_eq!(kinds, ["tick", "stop"]);
}
