//! The directory through which processes at one address exchange states and endpoint lists, on a real disk.

use pebbleturn::hot_restart::state::ProcessState;
use pebbleturn::hot_restart::state_directory::{Observation, StateDirectory, StateUpdate};
use pebbleturn::membership::snapshot::Snapshot;
use pebbleturn::membership::staleness::ChangeRate;
use pebbleturn_lab::running::until;
use std::path::Path;

/// A list that differs from others by the time at which it was written.
fn list(written: u64) -> Snapshot {
    Snapshot {
        written,
        last_confirmed: None,
        full_list: None,
        pruned_up_to: None,
        rate: ChangeRate::NONE,
        nodes: vec![],
    }
}

fn open(dir: &Path) -> StateDirectory {
    StateDirectory::open(dir).unwrap().1
}

fn publish(directory: &mut StateDirectory, snapshot: Option<Snapshot>) {
    let update = StateUpdate { state: ProcessState::default(), snapshot };
    let number = directory.publish(update).expect("the queue has room");
    until("the update is written", || directory.is_written(number));
}

/// Waits for observations until one satisfies the condition. Returns all lists that were observed.
fn observe_until(
    directory: &StateDirectory,
    what: &str,
    mut condition: impl FnMut(&Observation) -> bool,
) -> Vec<u64> {
    let mut lists = Vec::new();
    until(what, || {
        let Some(observation) = directory.latest_observation() else { return false };
        lists.extend(observation.snapshots.iter().map(|list| list.written));
        condition(&observation)
    });
    lists
}

#[test]
fn a_list_that_is_published_later_is_observed_once() {
    let dir = tempfile::tempdir().unwrap();
    let mut old = open(dir.path());
    let mut new = open(dir.path());
    for written in [1, 2] {
        publish(&mut old, Some(list(written)));
        let lists = observe_until(&new, "the list is observed", |seen| !seen.snapshots.is_empty());
        assert_eq!(lists, [written]);
    }
    // Updates without a list bring no list.
    for _ in 0..3 {
        publish(&mut old, None);
        let lists = observe_until(&new, "the state is observed", |seen| !seen.peers.is_empty());
        assert_eq!(lists, Vec::<u64>::new());
    }
    // The older process observes the newer one's list as well.
    publish(&mut new, Some(list(3)));
    assert_eq!(observe_until(&old, "the list is observed", |seen| !seen.snapshots.is_empty()), [3]);
}

/// The event loop takes no observation for so long that the channel is full, and the other process has ended
/// meanwhile. Its last list is delivered all the same, and its files are removed only after that.
#[test]
fn the_last_list_of_a_process_that_has_ended_is_delivered_before_its_files_are_removed() {
    let dir = tempfile::tempdir().unwrap();
    let mut old = open(dir.path());
    let mut new = open(dir.path());
    publish(&mut new, None);
    publish(&mut old, Some(list(1)));
    // Six polls fill the channel of four observations.
    std::thread::sleep(std::time::Duration::from_millis(600));
    publish(&mut old, Some(list(2)));
    drop(old);
    // Longer than the time until the files of an observed dead process are removed.
    std::thread::sleep(std::time::Duration::from_millis(2500));
    let first_list = dir.path().join("1.list");
    assert!(first_list.exists());
    let lists = observe_until(&new, "the process is found dead", |seen| seen.peers.iter().any(|p| !p.alive));
    assert_eq!(lists, [1, 2]);
    until("the files are removed", || {
        let _ = new.latest_observation();
        !first_list.exists()
    });
}

#[test]
fn a_list_that_could_not_be_written_is_written_with_a_later_update() {
    let dir = tempfile::tempdir().unwrap();
    let mut directory = open(dir.path());
    // The temporary file can't be created where there is a folder of that name.
    let obstacle = dir.path().join("1.tmp");
    std::fs::create_dir(&obstacle).unwrap();
    let update = StateUpdate { state: ProcessState::default(), snapshot: Some(list(1)) };
    let failing = directory.publish(update).expect("the queue has room");
    std::thread::sleep(std::time::Duration::from_millis(300));
    assert!(!directory.is_written(failing));
    std::fs::remove_dir(&obstacle).unwrap();
    publish(&mut directory, None);
    assert!(dir.path().join("1.list").exists());
}
