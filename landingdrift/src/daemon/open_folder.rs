//! Opens a replica's data folder, and tries again while its disk refuses.

use super::disk_writer::Backoff;
use super::input::Input;
use super::pending_calls::PendingCalls;
use crate::consensus::PersistedState;
use crate::disk::{DataFolder, StorageError};
use crate::sans_io::{Msg, Request, Response};
use crate::settings::Settings;
use serde_json::json;
use std::path::Path;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

/// When a caller should come back, in milliseconds.
const RETRY_MS: u64 = 1000;

/// Opens the data folder that the settings name.
pub fn open(settings: &Settings, seed: u64) -> Result<(DataFolder, PersistedState), StorageError> {
    // 0 would mean that the disk has no identity.
    let disk_id = seed | 1;
    let path = Path::new(&settings.data);
    DataFolder::open(
        path,
        &settings.cluster,
        settings.limits.segment_bytes,
        disk_id,
    )
}

/// Tries to open a data folder whose disk refuses, with growing pauses; `None` if the part is told to stop before.
pub fn open_with_retries(
    settings: &Settings,
    seed: u64,
    mut why: StorageError,
    calls: &PendingCalls,
    inputs: &Receiver<Input>,
) -> Result<Option<(DataFolder, PersistedState)>, StorageError> {
    for (retries, pause) in Backoff::of(&settings.bounds).enumerate() {
        log::warn!("the data folder can't be opened ({why}): tried again in {pause:?}");
        if !wait(pause, calls, inputs, &why, retries as u64) {
            return Ok(None);
        }
        match open(settings, seed) {
            Ok(opened) => {
                log::info!("the data folder was opened after {} tries", retries + 1);
                return Ok(Some(opened));
            }
            Err(error) if error.is_transient() => why = error,
            Err(error) => return Err(error),
        }
    }
    Ok(None)
}

/// Answers calls during a pause; false if the part is told to stop.
fn wait(
    pause: Duration,
    calls: &PendingCalls,
    inputs: &Receiver<Input>,
    why: &StorageError,
    retries: u64,
) -> bool {
    let until = Instant::now() + pause;
    loop {
        match inputs.recv_timeout(until.saturating_duration_since(Instant::now())) {
            Ok(Input::Call(request, call)) => calls.answer(call, response(&request, why, retries)),
            Ok(Input::Msg(Msg::Stop)) | Err(RecvTimeoutError::Disconnected) => return false,
            // Messages of other processes are repeated; they count once there is a replica.
            Ok(Input::Msg(_)) => {}
            Err(RecvTimeoutError::Timeout) => return true,
        }
    }
}

/// What callers are answered while the folder is not open.
fn response(request: &Request, why: &StorageError, retries: u64) -> Response {
    match request.path.as_str() {
        "/live" => Response::new(200, json!({"live": true})),
        "/ready" => Response::new(503, json!({"ready": false})),
        "/metrics" => Response::new(
            200,
            format!("landingdrift_disk_refused 1\nlandingdrift_disk_retries {retries}\n").into(),
        ),
        "/v1/status" => Response::new(
            200,
            json!({"role": "Opening", "disk": {"state": "refusing", "why": why.to_string()}}),
        ),
        _ => Response::error(503, "noDisk", why.to_string()).retry(RETRY_MS),
    }
}
