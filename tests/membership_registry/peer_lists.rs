//! Endpoint lists of other processes at this address, merged while this one runs: what either was told binds
//! both.

use crate::fixture::*;
use pebbleturn::Nanos;
use pebbleturn::membership::endpoint_list::EndpointList;
use pebbleturn::membership::snapshot::Snapshot;
use pebbleturn::membership::{NodeState, PeerListNews};

impl Fixture {
    fn merge_peer_list(&mut self, list: &Snapshot, now: Nanos) -> PeerListNews {
        let news = self.registry.merge_peer_list(list, now);
        self.collect_changes();
        news
    }
}

/// Two processes of one broker: the newer one has restored what the older one had.
fn two_processes() -> (Fixture, Fixture) {
    let mut old = Fixture::new();
    old.discovery_update(&eight_ready(41), true, START_TIME);
    let new = Fixture::restored(&[&old.registry.snapshot(START_TIME)], START_TIME + S);
    (old, new)
}

/// Merges each process's list into the other until neither has news.
fn exchange(one: &mut Fixture, other: &mut Fixture, now: Nanos) {
    for _ in 0..3 {
        let news = one.merge_peer_list(&other.registry.snapshot(now), now);
        let other_news = other.merge_peer_list(&one.registry.snapshot(now), now);
        if (news, other_news) == (PeerListNews::Nothing, PeerListNews::Nothing) {
            return;
        }
    }
    panic!("the lists do not converge");
}

fn drain(version: u64, n: u32) -> EndpointList {
    list(version, false, vec![endpoint(n, NodeState::Terminating, 0)])
}

#[test]
fn a_drain_told_to_either_process_binds_both() {
    let (mut old, mut new) = two_processes();
    old.discovery_update(&drain(42, 3), false, START_TIME + 2 * S);
    exchange(&mut old, &mut new, START_TIME + 3 * S);
    assert!(!new.active_ids().contains(&"s-3") && new.active_ids().len() == 7);
    new.discovery_update(&drain(43, 4), false, START_TIME + 4 * S);
    exchange(&mut old, &mut new, START_TIME + 5 * S);
    assert_eq!(old.active_ids(), ["s-0", "s-1", "s-2", "s-5", "s-6", "s-7"]);
    assert_eq!(old.active_ids(), new.active_ids());
}

#[test]
fn a_full_list_told_to_either_process_binds_both() {
    let (mut old, mut new) = two_processes();
    let mut without = eight_ready(42);
    without.servers.retain(|server| server.id != "s-3");
    without.servers.push(endpoint(8, NodeState::Ready, 0));
    old.registry.watch_lost();
    old.discovery_update(&without, true, START_TIME + 2 * S);
    exchange(&mut old, &mut new, START_TIME + 3 * S);
    assert_eq!(new.active_ids(), ["s-0", "s-1", "s-2", "s-4", "s-5", "s-6", "s-7", "s-8"]);
}

/// The own watch is slower than that of the other process. It reports what that had already, and then more.
#[test]
fn reports_on_the_own_watch_are_merged_whatever_the_other_process_has() {
    let (mut old, mut new) = two_processes();
    old.discovery_update(&drain(50, 3), false, START_TIME + 2 * S);
    assert_eq!(
        new.merge_peer_list(&old.registry.snapshot(START_TIME + 2 * S), START_TIME + 3 * S),
        PeerListNews::Records
    );
    assert_eq!(new.registry.version(), 41, "changes are requested from what the own watch has reported");
    new.discovery_update(&drain(42, 5), true, START_TIME + 4 * S);
    assert_eq!(new.active_ids(), ["s-0", "s-1", "s-2", "s-4", "s-6", "s-7"]);
    let returned = list(51, false, vec![endpoint(3, NodeState::Ready, 0)]);
    new.discovery_update(&returned, false, START_TIME + 5 * S);
    assert!(new.active_ids().contains(&"s-3"));
}

/// The other process has seen a reset of discovery's versions. What this one's watch reports after that is not
/// older for that, and a whole list is requested, since the other list lacks nodes that only this one knows.
#[test]
fn a_version_reset_at_the_other_process_hides_no_later_report() {
    let (mut old, mut new) = two_processes();
    let added = list(42, false, vec![endpoint(8, NodeState::Ready, 0)]);
    new.discovery_update(&added, true, START_TIME + S);
    old.registry.watch_lost();
    old.discovery_update(&eight_ready(2), true, START_TIME + 2 * S);
    old.discovery_update(&drain(3, 3), false, START_TIME + 3 * S);
    let news = new.merge_peer_list(&old.registry.snapshot(START_TIME + 3 * S), START_TIME + 4 * S);
    assert_eq!(news, PeerListNews::VersionsReset);
    assert!(!new.active_ids().contains(&"s-3"));
    new.discovery_update(&drain(43, 5), false, START_TIME + 5 * S);
    assert!(!new.active_ids().contains(&"s-5"));
    exchange(&mut old, &mut new, START_TIME + 6 * S);
    assert_eq!(old.active_ids(), ["s-0", "s-1", "s-2", "s-4", "s-6", "s-7"]);
    assert_eq!(old.active_ids(), new.active_ids());
    // The whole list brings the node that only one process knew.
    let mut whole = eight_ready(44);
    whole.servers.push(endpoint(8, NodeState::Ready, 0));
    whole.servers.retain(|server| server.id != "s-3" && server.id != "s-5");
    new.registry.watch_lost();
    new.discovery_update(&whole, true, START_TIME + 7 * S);
    assert_eq!(new.active_ids(), ["s-0", "s-1", "s-2", "s-4", "s-6", "s-7", "s-8"]);
}

/// An older list of the other process, or the same one again, undoes nothing and is no news.
#[test]
fn a_list_that_lags_behind_undoes_nothing() {
    let (mut old, mut new) = two_processes();
    let before = old.registry.snapshot(START_TIME + S);
    assert_eq!(new.merge_peer_list(&before, START_TIME + S), PeerListNews::Nothing);
    new.discovery_update(&drain(42, 3), true, START_TIME + 2 * S);
    assert_eq!(new.merge_peer_list(&before, START_TIME + 3 * S), PeerListNews::Nothing);
    assert!(!new.active_ids().contains(&"s-3"));
    let revision = new.registry.directory_revision();
    exchange(&mut old, &mut new, START_TIME + 4 * S);
    assert_eq!(new.registry.directory_revision(), revision, "there is nothing to publish again");
    assert!(!old.active_ids().contains(&"s-3"));
}

/// A restart that the other process was told of is as recent for this one: the node is cold, whatever its clock
/// shows.
#[test]
fn a_restart_told_to_the_other_process_is_a_recent_start() {
    let started = |ms: Nanos| list(42, false, vec![endpoint(3, NodeState::Ready, ms)]);
    let stamps = [START_TIME + HOUR, START_TIME - HOUR];
    for (stamp, earlier) in stamps.into_iter().flat_map(|stamp| [(stamp, 0), (stamp, 1_000)]) {
        let mut old = Fixture::new();
        let first = list(41, true, (0..8).map(|n| endpoint(n, NodeState::Ready, earlier)).collect());
        old.discovery_update(&first, true, START_TIME);
        let mut new = Fixture::restored(&[&old.registry.snapshot(START_TIME)], START_TIME + S);
        old.discovery_update(&started(stamp / 1_000_000), false, START_TIME + 20 * S);
        let now = START_TIME + 21 * S;
        new.merge_peer_list(&old.registry.snapshot(now), now);
        let announced = new.find("s-3").unwrap().entry.started.unwrap();
        assert!(announced >= now - 2 * S && announced <= now, "{announced}");
    }
}

/// Clocks of two processes may differ by an hour: a drain that this process is told of by the other counts as
/// learned now, so that it is undone by a restart after it, and by nothing before.
#[test]
fn a_drain_from_a_process_with_another_clock_is_undone_by_a_later_version_only() {
    for offset in [0, HOUR] {
        let mut old = Fixture::new();
        old.discovery_update(&eight_ready(41), true, START_TIME + offset);
        let mut new = Fixture::new();
        new.discovery_update(&eight_ready(41), true, START_TIME);
        old.discovery_update(&drain(42, 3), false, START_TIME + offset + S);
        new.merge_peer_list(&old.registry.snapshot(START_TIME + offset + S), START_TIME + S);
        assert!(!new.active_ids().contains(&"s-3"), "offset {offset}");
        let again = list(41, true, (0..8).map(|n| endpoint(n, NodeState::Ready, 0)).collect());
        new.registry.watch_lost();
        new.discovery_update(&again, true, START_TIME + 2 * S);
        assert!(!new.active_ids().contains(&"s-3"), "offset {offset}");
        let returned = list(43, false, vec![endpoint(3, NodeState::Ready, 0)]);
        new.discovery_update(&returned, false, START_TIME + 3 * S);
        assert!(new.active_ids().contains(&"s-3"), "offset {offset}");
    }
}
