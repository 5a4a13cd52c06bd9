//! Reads request bodies. Memory for a body is charged piece by piece before it is allocated.

use super::memory_budget::{Charge, OutOfMemory};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::time::Duration;
use tokio::time::timeout;

/// The smallest buffer for a body, in bytes.
const MIN_BUFFER_BYTES: u64 = 1 << 10;
/// The factor by which a full buffer grows. The allocator keeps the smaller buffers that a body has outgrown, a third of
/// the current one in total.
const GROWTH_FACTOR: u64 = 4;

/// The reason for which a body was not read.
#[derive(Debug)]
pub enum BodyError {
    /// It is longer than the limit.
    TooLong,
    /// There is no memory for it, or no longer.
    OutOfMemory,
    /// It did not arrive in time.
    TimedOut,
    /// The connection failed or the encoding is invalid.
    Invalid(hyper::Error),
}

impl From<OutOfMemory> for BodyError {
    fn from(_: OutOfMemory) -> Self {
        Self::OutOfMemory
    }
}

/// Reads a body of at most `max_bytes` bytes. Reads nothing if it is announced to be longer.
pub async fn read(
    body: Incoming,
    max_bytes: u64,
    max_time: Duration,
    charge: &Charge,
) -> Result<Vec<u8>, BodyError> {
    let announced = body.size_hint();
    if announced.lower() > max_bytes {
        return Err(BodyError::TooLong);
    }
    let buffer = Buffer {
        bytes: Vec::new(),
        max_bytes: announced.upper().unwrap_or(max_bytes).min(max_bytes),
        charge,
    };
    tokio::select! {
        result = timeout(max_time, buffer.fill(body)) => {
            result.unwrap_or(Err(BodyError::TimedOut))
        }
        () = charge.evicted() => Err(BodyError::OutOfMemory),
    }
}

/// The received part of a body.
struct Buffer<'a> {
    bytes: Vec<u8>,
    max_bytes: u64,
    charge: &'a Charge,
}

impl Buffer<'_> {
    async fn fill(mut self, mut body: Incoming) -> Result<Vec<u8>, BodyError> {
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(BodyError::Invalid)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            self.reserve(data.len())?;
            self.bytes.extend_from_slice(&data);
        }
        Ok(self.bytes)
    }

    /// Makes room for further bytes. The buffer grows in steps, up to the longest possible body.
    fn reserve(&mut self, further: usize) -> Result<(), BodyError> {
        let needed = self.bytes.len() as u64 + further as u64;
        if needed > self.max_bytes {
            return Err(BodyError::TooLong);
        }
        let capacity = self.bytes.capacity() as u64;
        if needed <= capacity {
            return Ok(());
        }
        let grown = (GROWTH_FACTOR * capacity).max(MIN_BUFFER_BYTES);
        let new_capacity = needed.max(grown.min(self.max_bytes));
        self.charge.resize(new_capacity)?;
        let additional = new_capacity as usize - self.bytes.len();
        self.bytes.reserve_exact(additional);
        Ok(())
    }
}
