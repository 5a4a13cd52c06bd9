//! The memory budget of HTTP clients. Guards against crowds that use up the memory of others, and against memory that is
//! charged to nobody.

use super::super::progress::Progress;
use super::{AddressBudget, Charge, MemoryBudget, OutOfMemory, LARGE_BYTES, MIN_STALL};
use std::sync::Arc;
use std::time::{Duration, Instant};

const LIMIT: u64 = 1 << 20;
/// A size of which several fit into the part of an address for large charges.
const LARGE: u64 = 100 << 10;

fn budget() -> (MemoryBudget, AddressBudget) {
    let budget = MemoryBudget::new(LIMIT);
    let address = budget.add_address();
    (budget, address)
}

/// Starts a charge for a new connection.
fn charge(address: &AddressBudget) -> Charge {
    address.charge(&Arc::new(Progress::starting_at(Instant::now())))
}

/// Charges the given size as often as there is memory.
fn fill(address: &AddressBudget, bytes: u64) -> Vec<Charge> {
    let next = || {
        let charge = charge(address);
        charge.resize(bytes).ok().map(|()| charge)
    };
    std::iter::from_fn(next).collect()
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
    let first = charge(&address);
    assert_eq!(first.resize(2 * LIMIT), Ok(()));
    let second = charge(&address);
    assert_eq!(second.resize(LARGE), Err(OutOfMemory));
}

#[test]
fn the_request_that_has_stalled_for_the_longest_time_is_evicted_first() {
    let (budget, address) = budget();
    let crowd = fill(&address, LARGE);
    let newcomer = charge(&address);
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
    let newcomer = charge(&address);
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
    let newcomer = charge(&address);
    assert_eq!(resize_after(&newcomer, LARGE, 2 * MIN_STALL), Ok(()));
    assert_eq!(crowd[0].resize(LARGE + 1), Err(OutOfMemory));
    assert_eq!(crowd[0].pin(), Err(OutOfMemory));
}

#[test]
fn a_complete_request_may_be_evicted_again_while_its_response_is_not_read() {
    let (_budget, address) = budget();
    let crowd = fill(&address, LARGE);
    let close = Arc::new(tokio::sync::Notify::new());
    for charge in &crowd {
        assert!(charge.pin().is_ok());
        assert!(charge.unpin(&close).is_ok());
    }
    let newcomer = charge(&address);
    assert_eq!(resize_after(&newcomer, LARGE, 2 * MIN_STALL), Ok(()));
}
