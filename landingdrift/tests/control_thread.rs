//! The thread of control state steps its part no more often than it must.

use landingdrift::daemon::{
    Clock, ControlThread, FrameOptions, Input, PendingCalls, ShutdownTimer, Traffic,
};
use landingdrift::sans_io::{Effect, Msg, Now, Part, Request, Response};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Notes the kinds of all it is told, and ends at the stop.
struct Noting(Arc<Mutex<Vec<&'static str>>>);

impl Part for Noting {
    fn step(&mut self, _: Now, msg: Msg) -> Vec<Effect> {
        let (kind, effects) = match msg {
            Msg::Tick => ("tick", Vec::new()),
            Msg::Call(n, _) => (
                "call",
                vec![Effect::Answer(n, Response::new(200, n.into()))],
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

fn run(tick: Duration, inputs: Vec<Input>) -> Vec<&'static str> {
    let traffic = Traffic::start().expect("starts");
    let (tx, rx) = channel();
    let frames = FrameOptions {
        cluster: "tests".into(),
        own_address: "127.0.0.1:0".into(),
        timeout: Duration::from_secs(1),
        max_frame_bytes: 1 << 20,
    };
    let witnessed = Arc::new(Mutex::new(Vec::new()));
    let control = ControlThread {
        part: Box::new(Noting(witnessed.clone())),
        clock: Clock::start(),
        transport: traffic.listen(frames, tx.clone()).expect("listens"),
        disk: None,
        calls: PendingCalls::default(),
        tick,
        shutdown_timer: ShutdownTimer::default(),
    };
    inputs.into_iter().for_each(|i| tx.send(i).expect("taken"));
    control.run(&rx);
    let witnessed = witnessed.lock().expect("free");
    witnessed.clone()
}

#[test]
fn a_busy_part_is_told_of_the_time_once_a_tick() {
    let calls = (0..1000).map(|n| Input::Call(Request::default(), n));
    let witnessed = run(
        Duration::from_secs(3600),
        calls.chain([Input::Msg(Msg::Stop)]).collect(),
    );
    let count = |kind| witnessed.iter().filter(|k| **k == kind).count();
    assert_eq!((count("tick"), count("call"), count("stop")), (1, 1000, 1));
    assert_eq!(witnessed.last(), Some(&"stop"));
}

#[test]
fn nothing_is_stepped_after_the_end() {
    let stop = Input::Msg(Msg::Stop);
    let late = Input::Call(Request::default(), 1);
    let witnessed = run(Duration::from_secs(3600), vec![stop, late]);
    assert_eq!(witnessed, ["tick", "stop"]);
}
