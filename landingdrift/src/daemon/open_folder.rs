//! Opens a replica's data folder, and retries while the disk returns transient errors.

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

/// The time after which callers should retry, in milliseconds.
const RETRY_MS: u64 = 1000;

/// Opens the data folder in the settings.
pub fn open(settings: &Settings, seed: u64) -> Result<(DataFolder, PersistedState), StorageError> {
    // A disk ID of 0 means that the disk has none, so the lowest bit is always set.
    let disk_id = seed | 1;
    let path = Path::new(&settings.data);
    DataFolder::open(
        path,
        &settings.cluster,
        settings.limits.segment_bytes,
        disk_id,
    )
}

/// Retries opening a data folder after `last_error`, with increasing pauses; `None` if the part is asked to stop
/// before the folder is open. Retries only transient errors; any other error is returned at once. `settings` are updated
/// if they are reloaded meanwhile.
pub fn open_with_retries(
    settings: &mut Settings,
    seed: u64,
    mut last_error: StorageError,
    calls: &PendingCalls,
    inputs: &Receiver<Input>,
) -> Result<Option<(DataFolder, PersistedState)>, StorageError> {
    for (retries, pause) in Backoff::from_bounds(&settings.bounds).enumerate() {
        log::warn!("failed to open the data folder: {last_error}; retrying in {pause:?}");
        if !wait(pause, settings, calls, inputs, &last_error, retries as u64) {
            return Ok(None);
        }
        match open(settings, seed) {
            Ok(opened) => {
                log::info!("opened the data folder after {} retries", retries + 1);
                return Ok(Some(opened));
            }
            Err(error) if error.is_transient() => last_error = error,
            Err(error) => return Err(error),
        }
    }
    Ok(None)
}

/// Answers calls and takes over reloaded settings during a pause between retries; returns false if the part is asked to
/// stop.
fn wait(
    pause: Duration,
    settings: &mut Settings,
    calls: &PendingCalls,
    inputs: &Receiver<Input>,
    error: &StorageError,
    retries: u64,
) -> bool {
    let until = Instant::now() + pause;
    loop {
        match inputs.recv_timeout(until.saturating_duration_since(Instant::now())) {
            Ok(Input::Call(request, call, _)) => {
                calls.answer(call, response(&request, error, retries))
            }
            Ok(Input::Msg(Msg::Stop)) | Err(RecvTimeoutError::Disconnected) => return false,
            Ok(Input::Msg(Msg::SettingsChanged(new_settings))) => *settings = *new_settings,
            // Other processes repeat their messages, so those that arrive before the replica runs can be dropped.
            Ok(Input::Msg(_)) => {}
            Err(RecvTimeoutError::Timeout) => return true,
        }
    }
}

/// The response to a call while the data folder is not open.
fn response(request: &Request, error: &StorageError, retries: u64) -> Response {
    match request.path.as_str() {
        "/live" => Response::new(200, json!({"live": true})),
        "/ready" => Response::new(503, json!({"ready": false})),
        "/metrics" => Response::new(
            200,
            format!("landingdrift_disk_refused 1\nlandingdrift_disk_retries {retries}\n").into(),
        ),
        "/v1/status" => Response::new(
            200,
            json!({"role": "Opening", "disk": {"state": "refusing", "why": error.to_string()}}),
        ),
        _ => Response::error(503, "noDisk", error.to_string()).retry(RETRY_MS),
    }
}
