//! Encoding of entries and records: compact (postcard) in the log and between processes, JSON in recordings.

use serde::{de::DeserializeOwned, Serialize};
use std::io::{self, Write};

/// Encodes a value compactly.
pub fn pack<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_allocvec(value).unwrap_or_default()
}

/// Decodes a value that [`pack`] encoded.
pub fn unpack<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    postcard::from_bytes(bytes).map_err(|e| e.to_string())
}

/// Decodes a value that [`pack`] encoded, and returns the bytes after it.
pub fn unpack_prefix<T: DeserializeOwned>(bytes: &[u8]) -> Result<(T, &[u8]), String> {
    postcard::take_from_bytes(bytes).map_err(|e| e.to_string())
}

/// Size of a value as JSON text, in bytes, computed without building the text.
pub fn json_bytes<T: Serialize>(value: &T) -> u64 {
    let mut counted = ByteCounter::default();
    // Writing to a counter can't fail.
    let _ = serde_json::to_writer(&mut counted, value);
    counted.0
}

/// A writer that only counts bytes.
#[derive(Default)]
struct ByteCounter(u64);

impl Write for ByteCounter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0 += bytes.len() as u64;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Serde module for free-form JSON: a string in compact encodings, plain JSON in human-readable formats.
pub mod json {
    use serde::{Deserialize, Deserializer, Serialize, Serializer};
    use serde_json::Value;

    /// Serializes a JSON value; `null` becomes the empty string in compact encodings.
    pub fn serialize<S: Serializer>(v: &Value, s: S) -> Result<S::Ok, S::Error> {
        if s.is_human_readable() {
            v.serialize(s)
        } else if v.is_null() {
            "".serialize(s)
        } else {
            v.to_string().serialize(s)
        }
    }

    /// Deserializes a JSON value; the inverse of [`serialize`].
    pub fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<Value, D::Error> {
        if d.is_human_readable() {
            return Value::deserialize(d);
        }
        let text = String::deserialize(d)?;
        if text.is_empty() {
            return Ok(Value::Null);
        }
        serde_json::from_str(&text).map_err(serde::de::Error::custom)
    }
}
