//! The memory that a process has for what its HTTP clients make it hold. All addresses of the process share it, and each
//! byte is charged before it is read.

#[cfg(test)]
mod tests;

use super::progress::Progress;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// One address may use the budget divided by this number, so that a crowd at one address leaves memory for the others.
const ADDRESS_DIVISOR: u64 = 2;
/// A charge above this size, in bytes, is large.
pub const LARGE_BYTES: u64 = 16 << 10;
/// Large charges may use this fraction of the memory of an address. The rest is kept for small ones.
const LARGE_NUMERATOR: u64 = 3;
const LARGE_DENOMINATOR: u64 = 4;
/// A charge may be evicted once its request has made no progress for this time.
const MIN_STALL: Duration = Duration::from_millis(500);

/// There is no memory for a charge, or it was evicted for the sake of another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutOfMemory;

/// The memory budget of a process, in bytes.
#[derive(Clone)]
pub struct MemoryBudget(Arc<Mutex<Ledger>>);

/// The part of a budget that one address of the process uses.
#[derive(Clone)]
pub struct AddressBudget {
    budget: MemoryBudget,
    address: usize,
}

/// The memory charged for one request. Dropping it releases the memory.
pub struct Charge {
    budget: MemoryBudget,
    number: u64,
    evicted: Arc<Notify>,
}

/// Counts of what happened for lack of memory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemoryCounts {
    /// Bytes that are charged now.
    pub used_bytes: u64,
    /// Requests that were refused because there was no memory.
    pub refused: u64,
    /// Requests that made no progress and were ended for the sake of others.
    pub evicted: u64,
}

/// What is charged, and to whom.
struct Ledger {
    limit: u64,
    /// What is charged to each address.
    addresses: Vec<AddressUsage>,
    charges: BTreeMap<u64, ChargeEntry>,
    next_number: u64,
    counts: MemoryCounts,
}

/// What is charged to an address, in bytes.
#[derive(Clone, Copy, Debug, Default)]
struct AddressUsage {
    total: u64,
    /// The part of it that is charged in large charges.
    large: u64,
}

/// A charge in the ledger.
struct ChargeEntry {
    address: usize,
    bytes: u64,
    /// The progress of the connection for which the memory is charged.
    progress: Arc<Progress>,
    /// Notified when the charge is evicted; `None` if it can't be evicted.
    evicted: Option<Arc<Notify>>,
}

impl ChargeEntry {
    fn large_bytes(&self) -> u64 {
        if self.bytes > LARGE_BYTES {
            self.bytes
        } else {
            0
        }
    }

    /// The time of the last progress of a charge that may be evicted because it has stalled.
    fn stalled_since(&self, now: Instant) -> Option<Instant> {
        let last = self.progress.last();
        let has_stalled = now.saturating_duration_since(last) >= MIN_STALL;
        (has_stalled && self.evicted.is_some()).then_some(last)
    }
}

impl MemoryBudget {
    /// An unused budget of the given number of bytes.
    pub fn new(limit: u64) -> Self {
        let ledger = Ledger {
            limit,
            addresses: Vec::new(),
            charges: BTreeMap::new(),
            next_number: 0,
            counts: MemoryCounts::default(),
        };
        Self(Arc::new(Mutex::new(ledger)))
    }

    /// Adds an address that uses the budget.
    pub fn add_address(&self) -> AddressBudget {
        let mut ledger = self.ledger();
        let address = ledger.addresses.len();
        ledger.addresses.push(AddressUsage::default());
        AddressBudget {
            budget: self.clone(),
            address,
        }
    }

    /// Counts of what happened for lack of memory.
    pub fn counts(&self) -> MemoryCounts {
        self.ledger().counts
    }

    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl AddressBudget {
    /// Starts a charge of 0 bytes, which may be evicted once the connection with the given progress stalls.
    pub fn charge(&self, progress: &Arc<Progress>) -> Charge {
        let evicted = Arc::new(Notify::new());
        let entry = ChargeEntry {
            address: self.address,
            bytes: 0,
            progress: progress.clone(),
            evicted: Some(evicted.clone()),
        };
        let number = self.budget.ledger().add_charge(entry);
        Charge {
            budget: self.budget.clone(),
            number,
            evicted,
        }
    }
}

impl Charge {
    /// Changes the charge to the given number of bytes. If the memory does not suffice, evicts charges that have stalled,
    /// the longest one first.
    pub fn resize(&self, bytes: u64) -> Result<(), OutOfMemory> {
        self.budget
            .ledger()
            .resize(self.number, bytes, Instant::now())
    }

    /// From now on, the charge can't be evicted. Fails if it was evicted already.
    pub fn pin(&self) -> Result<(), OutOfMemory> {
        self.set_evicted(None)
    }

    /// From now on, the charge may be evicted once its connection stalls; `evicted` is then notified. Fails if the charge
    /// was evicted already.
    pub fn unpin(&self, evicted: &Arc<Notify>) -> Result<(), OutOfMemory> {
        self.set_evicted(Some(evicted.clone()))
    }

    fn set_evicted(&self, evicted: Option<Arc<Notify>>) -> Result<(), OutOfMemory> {
        let mut ledger = self.budget.ledger();
        let entry = ledger.charges.get_mut(&self.number).ok_or(OutOfMemory)?;
        entry.evicted = evicted;
        Ok(())
    }

    /// Completes once the charge is evicted.
    pub async fn evicted(&self) {
        self.evicted.notified().await;
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.budget.ledger().take(self.number);
    }
}

impl Ledger {
    fn add_charge(&mut self, entry: ChargeEntry) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        self.charges.insert(number, entry);
        number
    }

    fn resize(&mut self, number: u64, bytes: u64, now: Instant) -> Result<(), OutOfMemory> {
        let mut entry = self.take(number).ok_or(OutOfMemory)?;
        let has_room = bytes <= entry.bytes || self.make_room(entry.address, bytes, now);
        if has_room {
            entry.bytes = bytes;
        } else {
            self.counts.refused += 1;
        }
        self.put(number, entry);
        if has_room {
            Ok(())
        } else {
            Err(OutOfMemory)
        }
    }

    /// Evicts charges that have stalled until another one of the given size fits; returns whether it does.
    fn make_room(&mut self, address: usize, bytes: u64, now: Instant) -> bool {
        while !self.fits(address, bytes) {
            let Some(victim) = self.longest_stalled(address, bytes, now) else {
                return false;
            };
            let victim = self.take(victim);
            if let Some(evicted) = victim.and_then(|entry| entry.evicted) {
                evicted.notify_one();
                self.counts.evicted += 1;
            }
        }
        true
    }

    /// Whether the budget has room for another charge of the given size.
    fn fits(&self, address: usize, bytes: u64) -> bool {
        let usage = self.addresses[address];
        let is_large = bytes > LARGE_BYTES;
        if is_large && usage.large == 0 {
            // A single large request is served whatever its size, as no other one has to end before.
            return true;
        }
        let limit = self.limit / ADDRESS_DIVISOR;
        let large_limit = limit / LARGE_DENOMINATOR * LARGE_NUMERATOR;
        let large_fits = !is_large || usage.large + bytes <= large_limit;
        let fits_in_total = self.counts.used_bytes + bytes <= self.limit;
        large_fits && usage.total + bytes <= limit && fits_in_total
    }

    /// The charge at an address that has stalled for the longest time, among those whose memory a charge of the given
    /// size may use.
    fn longest_stalled(&self, address: usize, bytes: u64, now: Instant) -> Option<u64> {
        let is_large = bytes > LARGE_BYTES;
        let helps = |entry: &ChargeEntry| {
            entry.address == address && entry.bytes > 0 && (!is_large || entry.large_bytes() > 0)
        };
        let candidates = self.charges.iter().filter(|(_, entry)| helps(entry));
        let stalled =
            candidates.filter_map(|(number, entry)| Some((entry.stalled_since(now)?, *number)));
        stalled.min().map(|(_, number)| number)
    }

    /// Takes a charge out of the ledger.
    fn take(&mut self, number: u64) -> Option<ChargeEntry> {
        let entry = self.charges.remove(&number)?;
        let usage = &mut self.addresses[entry.address];
        usage.total -= entry.bytes;
        usage.large -= entry.large_bytes();
        self.counts.used_bytes -= entry.bytes;
        Some(entry)
    }

    fn put(&mut self, number: u64, entry: ChargeEntry) {
        let usage = &mut self.addresses[entry.address];
        usage.total += entry.bytes;
        usage.large += entry.large_bytes();
        self.counts.used_bytes += entry.bytes;
        self.charges.insert(number, entry);
    }
}
