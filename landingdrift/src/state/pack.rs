//! Entries and records as bytes: compact in the log and between processes, JSON in recordings.

use serde::{de::DeserializeOwned, Serialize};
use std::io::{self, Write};

/// A value as compact bytes.
pub fn pack<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_allocvec(value).unwrap_or_default()
}

/// A value from compact bytes.
pub fn unpack<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    postcard::from_bytes(bytes).map_err(|e| e.to_string())
}

/// How many bytes a value has as JSON; the text is not built.
pub fn json_bytes<T: Serialize>(value: &T) -> u64 {
    let mut counted = ByteCounter::default();
    // A counter refuses nothing.
    let _ = serde_json::to_writer(&mut counted, value);
    counted.0
}

/// Counts what is written to it.
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

/// Free JSON within a compact value: as text there, as itself where the format is JSON already.
pub mod json {
    use serde::{Deserialize, Deserializer, Serialize, Serializer};
    use serde_json::Value;

    /// Writes it.
    pub fn serialize<S: Serializer>(v: &Value, s: S) -> Result<S::Ok, S::Error> {
        if s.is_human_readable() {
            v.serialize(s)
        } else if v.is_null() {
            "".serialize(s)
        } else {
            v.to_string().serialize(s)
        }
    }

    /// Reads it.
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
