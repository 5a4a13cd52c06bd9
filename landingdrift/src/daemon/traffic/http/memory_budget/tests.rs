//! The memory budget of HTTP clients. Guards against crowds that use up the memory of others, and against memory that is
//! charged to nobody.

use super::{AddressBudget, Charge, MemoryBudget, OutOfMemory, LARGE_BYTES, MIN_STALL};
use std::time::{Duration, Instant};

const LIMIT: u64 = 1 << 20;
/// A size of which several fit into the part of an address for large charges.
const LARGE: u64 = 100 << 10;

fn budget() -> (MemoryBudget, AddressBudget) {
    let budget = MemoryBudget::new(LIMIT);
    let address = budget.add_address();
    (budget, address)
}

/// Charges the given size as often as there is memory.
fn fill(address: &AddressBudget, bytes: u64) -> Vec<Charge> {
    let charge = || {
        let charge = address.charge();
        charge.resize(bytes).ok().map(|()| charge)
    };
    std::iter::from_fn(charge).collect()
}

/// Resizes a charge as if the given time had passed since the others made progress.
fn resize_after(charge: &Charge, bytes: u64, time: Duration) -> Result<(), OutOfMemory> {
    let mut ledger = charge.budget.ledger();
    ledger.resize(charge.number, bytes, Instant::now() + time)
}

#[test]
fn large_requests_leave_memory_for_small_ones_and_for_other_addresses() {
    let (budget, crowded) = budget();
    let other = budget.add_address();
    let large = fill(&crowded, LARGE);
    assert!(large.len() > 1, "several large requests fit");
    assert!(fill(&crowded, LARGE_BYTES).len() > 1, "small ones fit too");
    assert!(fill(&other, LARGE).len() > 1, "the other address is free");
    assert!(budget.counts().used_bytes <= LIMIT);
}

#[test]
fn dropped_charges_are_released() {
    let (budget, address) = budget();
    let first = fill(&address, LARGE);
    let count = first.len();
    drop(first);
    assert_eq!(budget.counts().used_bytes, 0);
    assert_eq!(fill(&address, LARGE).len(), count);
}

#[test]
fn a_single_large_request_is_served_beside_small_ones_whatever_its_size() {
    let (_budget, address) = budget();
    let _small = fill(&address, LARGE_BYTES);
    let first = address.charge();
    assert_eq!(first.resize(2 * LIMIT), Ok(()));
    let second = address.charge();
    assert_eq!(second.resize(LARGE), Err(OutOfMemory));
}

#[test]
fn the_request_that_has_stalled_for_the_longest_time_is_evicted_first() {
    let (budget, address) = budget();
    let crowd = fill(&address, LARGE);
    let newcomer = address.charge();
    assert_eq!(
        resize_after(&newcomer, LARGE, MIN_STALL / 2),
        Err(OutOfMemory),
        "none has stalled yet"
    );
    assert_eq!(resize_after(&newcomer, LARGE, 2 * MIN_STALL), Ok(()));
    assert_eq!(crowd[0].pin(), Err(OutOfMemory), "the first was evicted");
    assert!(crowd[1..].iter().all(|charge| charge.pin().is_ok()));
    assert_eq!(budget.counts().evicted, 1);
}

#[test]
fn a_complete_request_is_not_evicted() {
    let (budget, address) = budget();
    let crowd = fill(&address, LARGE);
    assert!(crowd.iter().all(|charge| charge.pin().is_ok()));
    let newcomer = address.charge();
    assert_eq!(
        resize_after(&newcomer, LARGE, 2 * MIN_STALL),
        Err(OutOfMemory)
    );
    assert_eq!(budget.counts().evicted, 0);
}

#[test]
fn an_evicted_request_can_neither_grow_nor_be_executed() {
    let (_budget, address) = budget();
    let crowd = fill(&address, LARGE);
    let newcomer = address.charge();
    assert_eq!(resize_after(&newcomer, LARGE, 2 * MIN_STALL), Ok(()));
    assert_eq!(crowd[0].resize(LARGE + 1), Err(OutOfMemory));
    assert_eq!(crowd[0].pin(), Err(OutOfMemory));
}
