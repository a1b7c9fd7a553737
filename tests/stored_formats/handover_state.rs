//! The files that a process leaves for the next one at a hot restart: `N.state`, `N.list` and the empty
//! `N.lock`.

use super::fixtures::{Fixture, directory_with, file_names, flipped, stored, truncated, wait_until};
use super::samples::{SERVER, full_list};
use pebbleturn::hot_restart::state::{Override, Overrides, ProcessStage, ProcessState};
use pebbleturn::hot_restart::state_directory::{StartupContents, StateDirectory, StateUpdate};
use pebbleturn::membership::snapshot;
use pebbleturn::storage::checksummed_file::FileFormatError;
use std::path::Path;

const FORMAT: &str = "handover";
/// The endpoint list of the oldest process.
const LIST: &str = "1.list";
/// The state files of the processes, the oldest first.
const STATES: [&str; 3] = ["1.state", "2.state", "3.state"];

/// The states of three processes at one address: the oldest drains, the next serves, the youngest starts.
fn states() -> [ProcessState; 3] {
    let server_overrides = [(SERVER, true, 11), ("server-2", false, 12)];
    let servers = server_overrides
        .map(|(id, suspended, at)| (id.to_owned(), Override { set_at: at, active: suspended }))
        .into();
    let draining = ProcessState {
        written_at: 1_700_000_000_000_000_001,
        stage: ProcessStage::Draining,
        overrides: Overrides { servers, pause: Some(Override { set_at: 13, active: true }) },
        descriptor_lease: 300,
        in_flight: 41,
        open_query_ids: vec!["quéry-1".into(), "query-2".into()],
        watches_discovery: false,
    };
    let pause = Some(Override { set_at: 14, active: false });
    let pause_only = Overrides { pause, ..Overrides::default() };
    let serving = ProcessState {
        written_at: 2,
        stage: ProcessStage::Serving,
        overrides: pause_only,
        descriptor_lease: 96,
        ..ProcessState::default()
    };
    let starting = ProcessState { written_at: 3, ..ProcessState::default() };
    [draining, serving, starting]
}

/// The files of the three processes; only the oldest publishes an endpoint list.
pub fn build_fixtures() -> Vec<Fixture> {
    let directory = tempfile::tempdir().unwrap();
    let mut state_directories = Vec::new();
    let mut list = Some(full_list());
    for (state, file) in states().into_iter().zip(STATES) {
        let (_, mut state_directory) = StateDirectory::open(directory.path()).unwrap();
        assert!(state_directory.publish(StateUpdate { state, snapshot: list.take() }).is_some());
        // A state file is renamed into place once it is complete, after the list file.
        wait_until(|| directory.path().join(file).exists());
        state_directories.push(state_directory);
    }
    let locks = ["1.lock", "2.lock", "3.lock"];
    let mut expected = [&STATES[..], &[LIST], &locks].concat();
    expected.sort();
    assert_eq!(file_names(directory.path()), expected);
    let file = |name| Fixture::of_file(FORMAT, directory.path(), name);
    assert!(locks.iter().all(|lock| file(lock).bytes.is_empty()));
    STATES.into_iter().chain([LIST]).map(file).collect()
}

fn stored_file(file: &str) -> Vec<u8> {
    stored(&format!("{FORMAT}/{file}"))
}

/// What the next process reads from a directory at its start.
fn read_at_startup(directory: &Path) -> StartupContents {
    StateDirectory::open(directory).unwrap().0
}

#[test]
fn every_file_is_written_as_before() {
    build_fixtures().iter().for_each(Fixture::assert_unchanged);
}

#[test]
fn the_next_process_reads_states_and_list() {
    let directory = directory_with(LIST, &stored_file(LIST));
    for file in STATES {
        std::fs::write(directory.path().join(file), stored_file(file)).unwrap();
    }
    let contents = read_at_startup(directory.path());
    let errors: Vec<String> = contents.errors.iter().map(ToString::to_string).collect();
    assert_eq!(errors, Vec::<String>::new());
    assert_eq!((contents.serial, contents.snapshots), (4, vec![full_list()]));
    let read: Vec<ProcessState> = contents.peers.into_iter().filter_map(|peer| peer.state).collect();
    assert_eq!(read, states());
}

/// A process with a watch on discovery says so in a field that earlier versions neither write nor read.
#[test]
fn a_watch_is_written_only_where_there_is_one() {
    for (watches_discovery, is_written) in [(false, false), (true, true)] {
        let state = ProcessState { watches_discovery, ..ProcessState::default() };
        let bytes = state.encode().unwrap();
        assert_eq!(String::from_utf8_lossy(&bytes).contains("\"watching\": true"), is_written);
        assert_eq!(ProcessState::decode(&bytes), Ok(state));
    }
    let earlier = STATES.map(|file| ProcessState::decode(&stored_file(file)).unwrap());
    assert!(earlier.iter().all(|state| !state.watches_discovery));
}

#[test]
fn states_are_read_field_by_field() {
    let [draining, serving, starting] = STATES.map(|file| ProcessState::decode(&stored_file(file)).unwrap());
    let stages = [draining.stage, serving.stage, starting.stage];
    assert_eq!(stages, [ProcessStage::Draining, ProcessStage::Serving, ProcessStage::Starting]);
    assert_eq!(
        (draining.written_at, draining.descriptor_lease, draining.in_flight),
        (1_700_000_000_000_000_001, 300, 41)
    );
    assert_eq!(draining.open_query_ids, ["quéry-1", "query-2"]);
    assert_eq!(draining.overrides.servers[SERVER], Override { set_at: 11, active: true });
    assert_eq!(draining.overrides.servers["server-2"], Override { set_at: 12, active: false });
    assert_eq!(serving.overrides.pause, Some(Override { set_at: 14, active: false }));
    assert_eq!(starting.overrides.pause, None);
}

#[test]
fn damaged_states_are_refused() {
    for file in STATES {
        let bytes = stored_file(file);
        assert_eq!(ProcessState::decode(&flipped(&bytes)), Err(FileFormatError::Checksum));
        assert!(matches!(ProcessState::decode(&truncated(&bytes)), Err(FileFormatError::Length { .. })));
        let contents = read_at_startup(directory_with(file, &flipped(&bytes)).path());
        assert_eq!(contents.peers[0].state, None);
        assert_eq!(contents.errors.len(), 1);
    }
}

#[test]
fn a_damaged_list_is_refused() {
    let bytes = stored_file(LIST);
    assert_eq!(snapshot::decode(&flipped(&bytes)), Err(FileFormatError::Checksum));
    assert!(matches!(snapshot::decode(&truncated(&bytes)), Err(FileFormatError::Length { .. })));
    let contents = read_at_startup(directory_with(LIST, &flipped(&bytes)).path());
    assert_eq!((contents.snapshots.len(), contents.errors.len()), (0, 1));
}
