//! Starts of nodes at a broker whose clock is wrong. A broker reads its machine's wall clock once, at its
//! start, and that clock may have been stepped before. The age of a node's start was computed from its stamp
//! and this clock. With a clock 30 s ahead, a node that had just started counted as warm; in a staging run it
//! was sent 3.8 times its capacity and failed 1.7 s after its start.

use super::fixture::*;
use pebbleturn::Nanos;
use pebbleturn::membership::NodeState;

/// Maximum age that the registry may assume for a start that it has just learned of, ns.
const MAX_START_AGE: Nanos = 2 * S;

/// A list in which node 3 started at this time by a correct clock.
fn with_start(version: u64, started: Nanos) -> pebbleturn::membership::endpoint_list::EndpointList {
    list(version, false, vec![endpoint(3, NodeState::Ready, started / 1_000_000)])
}

/// The announced process start of node 3.
fn announced_start(fixture: &Fixture) -> Option<Nanos> {
    fixture.find("s-3").unwrap().entry.started
}

/// The broker's clock shows `START_TIME` when the correct time is `START_TIME` less `lead` seconds.
#[test]
fn a_start_that_is_reported_live_is_recent_whatever_the_clock_says() {
    for lead in [0, 5, 30, 3600, -5, -30, -3600_i64] {
        let correct_time = |broker_time: Nanos| broker_time.checked_add_signed(-lead * S as i64).unwrap();
        let mut fixture = Fixture::new();
        fixture.discovery_update(&eight_ready(1), true, START_TIME);
        let learned = START_TIME + 60 * S;
        fixture.discovery_update(&with_start(2, correct_time(learned - S)), false, learned);
        let started = announced_start(&fixture).expect("a start is announced");
        assert!((learned - MAX_START_AGE..=learned).contains(&started), "{lead} s ahead: {started}");
        // The same stamp later is the same start.
        fixture.discovery_update(&with_start(3, correct_time(learned - S)), false, learned + 5 * S);
        assert_eq!(announced_start(&fixture), Some(started), "{lead} s ahead");
    }
}

/// With a correct clock the stamp is used unchanged, to the millisecond.
#[test]
fn a_stamp_that_agrees_with_the_clock_is_used() {
    let mut fixture = Fixture::new();
    fixture.discovery_update(&eight_ready(1), true, START_TIME);
    fixture.discovery_update(&with_start(2, START_TIME + 9 * S), false, START_TIME + 10 * S);
    assert_eq!(announced_start(&fixture), Some(START_TIME + 9 * S));
}

/// A machine's clock may have been set back between two starts of a node.
#[test]
fn a_stamp_that_goes_back_is_a_new_start() {
    let mut fixture = Fixture::new();
    fixture.discovery_update(&eight_ready(1), true, START_TIME);
    fixture.discovery_update(&with_start(2, START_TIME + 9 * S), false, START_TIME + 10 * S);
    fixture.discovery_update(&with_start(3, START_TIME - HOUR), false, START_TIME + 30 * S);
    assert_eq!(announced_start(&fixture), Some(START_TIME + 28 * S));
}

/// Starts in the first list after the broker's own start are not necessarily recent: only their stamps are
/// known.
#[test]
fn stamps_of_the_first_list_are_used_as_they_are() {
    let mut fixture = Fixture::new();
    fixture.registry.add_configured(&list(1, true, vec![endpoint(3, NodeState::Ready, 7)]), START_TIME);
    fixture.discovery_update(&with_start(2, START_TIME - 10 * S), true, START_TIME + S);
    assert_eq!(announced_start(&fixture), Some(START_TIME - 10 * S));
}
