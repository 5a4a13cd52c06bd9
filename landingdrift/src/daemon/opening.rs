use super::calls::Calls;
use super::disks::Backoff;
use super::input::Input;
use crate::consensus::Loaded;
use crate::disk::{DataFolder, StorageError};
use crate::sans_io::{Msg, Request, Response};
use crate::settings::Settings;
use serde_json::json;
use std::path::Path;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

/// Opens the data folder that the settings name.
pub fn open(s: &Settings, seed: u64) -> Result<(DataFolder, Loaded), StorageError> {
    let path = Path::new(&s.data);
    DataFolder::open(path, &s.cluster, s.limits.segment_bytes, seed | 1)
}

/// Tries to open a data folder whose disk refuses, with growing pauses; `None` where the part is told to stop before.
pub fn open_at_last(
    s: &Settings,
    seed: u64,
    mut why: StorageError,
    calls: &Calls,
    inputs: &Receiver<Input>,
) -> Result<Option<(DataFolder, Loaded)>, StorageError> {
    for (max_attempts, pause) in Backoff::of(&s.bounds).enumerate() {
        log::warn!("the data folder can't be opened ({why}): tried again in {pause:?}");
        if !wait(pause, calls, inputs, &why, max_attempts as u64) {
            return Ok(None);
        }
        match open(s, seed) {
            Ok(term_start_index) => {
                log::info!(
                    "the data folder was opened after {} tries",
                    max_attempts + 1
                );
                return Ok(Some(term_start_index));
            }
            Err(e) if e.may_pass() => why = e,
            Err(e) => return Err(e),
        }
    }
    Ok(None)
}

/// Answers calls for a while; false where the part is told to stop.
fn wait(
    pause: Duration,
    calls: &Calls,
    inputs: &Receiver<Input>,
    why: &StorageError,
    max_attempts: u64,
) -> bool {
    let until = Instant::now() + pause;
    loop {
        match inputs.recv_timeout(until.saturating_duration_since(Instant::now())) {
            Ok(Input::Call(req, call)) => calls.answer(call, response(&req, why, max_attempts)),
            Ok(Input::Msg(Msg::Stop)) | Err(RecvTimeoutError::Disconnected) => return false,
            // What others say is said again once there is a replica to hear it.
            Ok(Input::Msg(_)) => {}
            Err(RecvTimeoutError::Timeout) => return true,
        }
    }
}

fn response(req: &Request, why: &StorageError, max_attempts: u64) -> Response {
    match req.path.as_str() {
        "/live" => Response::new(200, json!({"live": true})),
        "/ready" => Response::new(503, json!({"ready": false})),
        "/metrics" => Response::new(
            200,
            format!("landingdrift_disk_refused 1\nlandingdrift_disk_retries {max_attempts}\n")
                .into(),
        ),
        "/v1/status" => Response::new(
            200,
            json!({"role": "Opening", "disk": {"state": "refusing", "why": why.to_string()}}),
        ),
        _ => Response::error(503, "noDisk", why.to_string()).retry(1000),
    }
}
