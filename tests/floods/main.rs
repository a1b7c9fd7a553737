//! Clients that send as much as they can: they must not delay other clients, and nothing of theirs runs after
//! they have left. The tests of this target run one after another, since each takes several processors.

#[path = "../fronts/clients.rs"]
#[allow(dead_code)]
mod clients;
mod delays;
mod departures;
mod flooder;
mod memory;
mod pipelining;

use std::sync::{Mutex, MutexGuard};

static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Waits until no other test of this target runs.
fn run_alone() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
