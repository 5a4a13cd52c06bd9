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
        let mut payload = Vec::new();
        match self {
            Self::HardState(hard_state) => {
                payload.push(1);
                payload.extend(serde_json::to_vec(hard_state).unwrap_or_default());
            }
            Self::Truncate(index) => {
                payload.push(2);
                payload.extend(index.to_le_bytes());
            }
            Self::Entry(entry) => {
                payload.push(3);
                [entry.index, entry.term, entry.at]
                    .iter()
                    .for_each(|n| payload.extend(n.to_le_bytes()));
                payload.extend(&entry.command);
            }
            Self::Witnesses(witnesses) => {
                payload.push(4);
                let rows: Vec<(&str, u64, u64, u64)> = witnesses
                    .iter()
                    .map(|witness| {
                        (
                            witness.replica.as_str(),
                            witness.disk,
                            witness.index,
                            witness.term,
                        )
                    })
                    .collect();
                payload.extend(serde_json::to_vec(&rows).unwrap_or_default());
            }
            Self::Snapshot(snapshot) => {
                payload.push(5);
                [snapshot.index, snapshot.term]
                    .iter()
                    .for_each(|n| payload.extend(n.to_le_bytes()));
                payload.extend(&snapshot.bytes);
            }
        }
        out.extend((payload.len() as u32).to_le_bytes());
        out.extend(crc32fast::hash(&payload).to_le_bytes());
        out.extend(payload);
    }

    /// Reads the frame at the start of `bytes`, and returns it with its length in bytes. `None` if it is incomplete or
    /// damaged.
    pub fn read(bytes: &[u8]) -> Option<(Self, usize)> {
        let len = u32::from_le_bytes(bytes.get(0..4)?.try_into().ok()?) as usize;
        let checksum = u32::from_le_bytes(bytes.get(4..8)?.try_into().ok()?);
        let payload = (1..=MAX_FRAME_BYTES)
            .contains(&len)
            .then(|| bytes.get(FRAME_HEADER_BYTES..FRAME_HEADER_BYTES + len))
            .flatten()?;
        (crc32fast::hash(payload) == checksum).then_some(())?;
        let rest = &payload[1..];
        let number_at = |i: usize| {
            rest.get(i * 8..i * 8 + 8)
                .and_then(|b| b.try_into().ok())
                .map(u64::from_le_bytes)
        };
        let frame = match payload[0] {
            1 => Self::HardState(serde_json::from_slice(rest).ok()?),
            2 => Self::Truncate(number_at(0)?),
            3 => Self::Entry(Entry {
                index: number_at(0)?,
                term: number_at(1)?,
                at: number_at(2)?,
                command: rest.get(24..)?.to_vec(),
            }),
            4 => {
                let rows: Vec<(String, u64, u64, u64)> = serde_json::from_slice(rest).ok()?;
                Self::Witnesses(
                    rows.into_iter()
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
                index: number_at(0)?,
                term: number_at(1)?,
                bytes: rest.get(16..)?.to_vec(),
            }),
            _ => return None,
        };
        Some((frame, FRAME_HEADER_BYTES + len))
    }

    /// The offset of the next intact frame in `bytes` after damage.
    pub fn find_next(bytes: &[u8]) -> Option<usize> {
        (1..bytes.len().saturating_sub(FRAME_HEADER_BYTES))
            .find(|i| Self::read(&bytes[*i..]).is_some())
    }
}
