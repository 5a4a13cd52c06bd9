use crate::sans_io::{HardState, Snapshot};
use crate::wire::{DurabilityWitness, Entry};

/// One record of a segment or snapshot file: length, CRC-32 and a payload whose first byte is the kind.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    HardState(HardState),
    /// Removes the entries from this index on.
    Truncate(u64),
    Entry(Entry),
    /// Replaces all witnesses recorded earlier.
    Witnesses(Vec<DurabilityWitness>),
    Snapshot(Snapshot),
}

/// The length and the checksum, four bytes each, little-endian.
const FRAME_HEADER_BYTES: usize = 8;
/// The maximum length of a payload; a larger length field means damage.
const MAX_FRAME_BYTES: usize = 256 << 20;

impl Frame {
    /// Appends the frame's length, checksum and payload to `out`.
    pub fn write(&self, out: &mut Vec<u8>) {
        let mut body = Vec::new();
        match self {
            Self::HardState(h) => {
                body.push(1);
                body.extend(serde_json::to_vec(h).unwrap_or_default());
            }
            Self::Truncate(c) => {
                body.push(2);
                body.extend(c.to_le_bytes());
            }
            Self::Entry(e) => {
                body.push(3);
                [e.index, e.term, e.at]
                    .iter()
                    .for_each(|n| body.extend(n.to_le_bytes()));
                body.extend(&e.command);
            }
            Self::Witnesses(witnesses) => {
                body.push(4);
                let plain: Vec<(&str, u64, u64, u64)> = witnesses
                    .iter()
                    .map(|n| (n.replica.as_str(), n.disk, n.index, n.term))
                    .collect();
                body.extend(serde_json::to_vec(&plain).unwrap_or_default());
            }
            Self::Snapshot(c) => {
                body.push(5);
                [c.index, c.term]
                    .iter()
                    .for_each(|n| body.extend(n.to_le_bytes()));
                body.extend(&c.bytes);
            }
        }
        out.extend((body.len() as u32).to_le_bytes());
        out.extend(crc32fast::hash(&body).to_le_bytes());
        out.extend(body);
    }

    /// Reads the frame at the start of `bytes`, and returns it with its length in bytes. `None` if it is incomplete or
    /// damaged.
    pub fn read(bytes: &[u8]) -> Option<(Self, usize)> {
        let len = u32::from_le_bytes(bytes.get(0..4)?.try_into().ok()?) as usize;
        let sum = u32::from_le_bytes(bytes.get(4..8)?.try_into().ok()?);
        let body = (1..=MAX_FRAME_BYTES)
            .contains(&len)
            .then(|| bytes.get(FRAME_HEADER_BYTES..FRAME_HEADER_BYTES + len))
            .flatten()?;
        (crc32fast::hash(body) == sum).then_some(())?;
        let rest = &body[1..];
        let num = |i: usize| {
            rest.get(i * 8..i * 8 + 8)
                .and_then(|b| b.try_into().ok())
                .map(u64::from_le_bytes)
        };
        let frame = match body[0] {
            1 => Self::HardState(serde_json::from_slice(rest).ok()?),
            2 => Self::Truncate(num(0)?),
            3 => Self::Entry(Entry {
                index: num(0)?,
                term: num(1)?,
                at: num(2)?,
                command: rest.get(24..)?.to_vec(),
            }),
            4 => {
                let plain: Vec<(String, u64, u64, u64)> = serde_json::from_slice(rest).ok()?;
                Self::Witnesses(
                    plain
                        .into_iter()
                        .map(|(replica, disk, index, term)| DurabilityWitness {
                            replica,
                            disk,
                            index,
                            term,
                        })
                        .collect(),
                )
            }
            5 => Self::Snapshot(Snapshot {
                index: num(0)?,
                term: num(1)?,
                bytes: rest.get(16..)?.to_vec(),
            }),
            _ => return None,
        };
        Some((frame, FRAME_HEADER_BYTES + len))
    }

    /// The offset of the next intact frame in `bytes` after damage.
    pub fn resync(bytes: &[u8]) -> Option<usize> {
        (1..bytes.len().saturating_sub(FRAME_HEADER_BYTES))
            .find(|i| Self::read(&bytes[*i..]).is_some())
    }
}
