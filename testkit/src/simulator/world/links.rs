//! Messages and calls between processes: latency, bandwidth, loss, duplication and order.

use super::{Action, Caller, OpenCall, World};
use landingdrift::sans_io::{Msg, Request, Response};
use landingdrift::wire::{pack_with_version, unpack_with_version, Body, WireError};

/// The exclusive upper bound of the random part of a message's latency, in milliseconds. The slowness of the sender
/// multiplies this part; 1 ms is always added.
const LATENCY_RANGE_MS: u64 = 3;
/// The latency that each unit of a process's slowness above 1 adds, in milliseconds.
const SLOW_LINK_LATENCY_MS: u64 = 20;
/// The share of messages over a flaky link that are lost, in percent.
const FLAKY_LOSS_PERCENT: u64 = 15;
/// The share of messages over a flaky link that are delayed, in percent.
const FLAKY_DELAYED_PERCENT: u64 = 40;
/// The exclusive upper bound of the additional delay of a delayed message on a flaky link, in milliseconds.
const MAX_FLAKY_DELAY_MS: u64 = 400;
/// The share of messages over a flaky link that arrive twice, in percent.
const FLAKY_DUPLICATE_PERCENT: u64 = 10;
/// The exclusive upper bound of the delay of a duplicate after the original, in milliseconds.
const MAX_DUPLICATE_DELAY_MS: u64 = 500;

impl World {
    /// A random latency for a message from a process, in milliseconds.
    fn latency_ms(&mut self, process: usize) -> u64 {
        let slowness = self.processes[process].slowness;
        1 + self.rng.below(LATENCY_RANGE_MS) * slowness + (slowness - 1) * SLOW_LINK_LATENCY_MS
    }

    /// Sends a message from a process to the process at an address. The message is lost if the receiver is down, the
    /// link is blocked or too many bytes wait for it. A flaky link may also lose, delay or duplicate the message.
    pub(super) fn send(&mut self, from: usize, to_address: &str, body: &Body) {
        let Some(to) = self.process_up_at(to_address) else {
            return;
        };
        if self.blocked.contains(&(from, to)) {
            return;
        }
        let receiver_slowness = self.processes[to].slowness;
        let latency_ms = self.latency_ms(from) + (receiver_slowness - 1) * SLOW_LINK_LATENCY_MS;
        let is_flaky = self.processes[from].is_flaky || self.processes[to].is_flaky;
        let arrival = if is_flaky {
            self.flaky_arrival(latency_ms)
        } else {
            Some(self.now + latency_ms)
        };
        let Some(at_ms) = arrival else { return };
        self.messages += 1;
        let sender = &self.processes[from];
        let frame = pack_with_version(
            sender.wire_version,
            &self.settings.cluster,
            &sender.address,
            body,
        );
        let Some(mut at_ms) = self.transmit(from, to, at_ms, frame.len() as u64) else {
            return;
        };
        if !is_flaky {
            // A connection delivers messages in order, even over a slow link.
            let last = self.latest_arrivals_ms.entry((from, to)).or_default();
            at_ms = at_ms.max(*last);
            *last = at_ms;
        }
        if is_flaky && self.rng.below(100) < FLAKY_DUPLICATE_PERCENT {
            let duplicate_at_ms = at_ms + self.rng.below(MAX_DUPLICATE_DELAY_MS);
            self.schedule_delivery(duplicate_at_ms, from, to, frame.clone());
        }
        self.schedule_delivery(at_ms, from, to, frame);
    }

    /// The arrival time of a frame, given the bandwidths of sender and receiver; none if it is dropped. `at_ms` is the
    /// arrival time with unlimited bandwidth.
    fn transmit(&mut self, from: usize, to: usize, at_ms: u64, bytes: u64) -> Option<u64> {
        let latency_ms = at_ms.saturating_sub(self.now);
        let sent_ms = self.processes[from].machine.link.send(self.now, bytes)?;
        let arrival_ms = sent_ms + latency_ms;
        self.processes[to].machine.link.receive(arrival_ms, bytes)
    }

    /// The arrival time of a message over a flaky link, which loses and reorders messages; none if it is lost.
    fn flaky_arrival(&mut self, latency_ms: u64) -> Option<u64> {
        if self.rng.below(100) < FLAKY_LOSS_PERCENT {
            return None;
        }
        let delay_ms = if self.rng.below(100) < FLAKY_DELAYED_PERCENT {
            self.rng.below(MAX_FLAKY_DELAY_MS)
        } else {
            0
        };
        Some(self.now + latency_ms + delay_ms)
    }

    fn schedule_delivery(&mut self, at_ms: u64, from: usize, to: usize, frame: Vec<u8>) {
        let delivery = Action::Deliver {
            to,
            incarnation: self.processes[to].incarnation,
            from: self.processes[from].address.clone(),
            frame,
        };
        self.schedule(at_ms, delivery);
    }

    /// Delivers a frame to its receiver; a frame of another wire version is counted and dropped.
    pub(super) fn deliver(&mut self, to: usize, from: String, frame: &[u8]) {
        let wire_version = self.processes[to].wire_version;
        match unpack_with_version(wire_version, &self.settings.cluster, frame) {
            Ok(envelope) => self.step(to, Msg::Received(from, envelope.body)),
            Err(WireError::Version(_)) => {
                let counters = &mut self.processes[to].counters;
                *counters
                    .entry("frames_of_another_version".into())
                    .or_default() += 1;
            }
            Err(error) => panic!("failed to decode a frame of the simulator: {error}"),
        }
    }

    /// Delivers a call to the process at an address, if it is up.
    pub(super) fn deliver_call(
        &mut self,
        to_address: &str,
        caller: Caller,
        call: u64,
        request: Request,
    ) {
        let Some(to) = self.process_up_at(to_address) else {
            return;
        };
        self.last_call += 1;
        let open = OpenCall { caller, call };
        self.open_calls.insert(self.last_call, open);
        self.step(to, Msg::Call(self.last_call, request));
    }

    /// Sends the answer of a process to the caller, unless the answer is lost by a fault.
    pub(super) fn send_answer(&mut self, from: usize, call: u64, response: Response) {
        let Some(open) = self.open_calls.remove(&call) else {
            return;
        };
        let lost_percent = self.lost_answers_percent;
        if lost_percent > 0 && self.rng.below(100) < lost_percent {
            return;
        }
        let Some(sent_ms) = self.transmit_answer(from, &response) else {
            return;
        };
        let latency_ms = sent_ms.saturating_sub(self.now) + self.latency_ms(from);
        let answer = Action::Answer {
            caller: open.caller,
            call: open.call,
            response,
        };
        self.schedule_in(latency_ms, answer);
    }

    /// The time at which the last byte of an answer has left its process's machine; none if the answer is dropped.
    fn transmit_answer(&mut self, from: usize, response: &Response) -> Option<u64> {
        let now = self.now;
        let link = &mut self.processes[from].machine.link;
        if !link.is_limited() {
            return Some(now);
        }
        link.send(now, response.body.to_string().len() as u64)
    }

    fn process_up_at(&self, address: &str) -> Option<usize> {
        let process = self.process_by_address.get(address).copied();
        process.filter(|process| self.processes[*process].is_up())
    }
}
