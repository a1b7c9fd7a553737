//! The cluster's journal and its snapshots: `cluster.log`, `cluster.kept` and the older generation of each.

use super::fixtures::{
    Fixture, PATIENCE, directory_with, file_names, flipped, stored, truncated, wait_until,
};
use super::samples::{BROKER, ORIGIN, OTHER_ORIGIN, SERVER, later_word, told_and_spent, words};
use pebbleturn::replication::{CommandValue, Dot, Fact, FactKey, FactValue, Register, StoreLimits};
use pebbleturn::storage::Disk;
use pebbleturn::storage::journal::{
    self, Journal, JournalContents, LOCK, LOG, OLDER_LOG, OLDER_SNAPSHOT, SNAPSHOT, TEMPORARY,
};
use std::collections::BTreeMap;
use std::path::Path;

const FORMAT: &str = "journal";
const FILES: [&str; 4] = [LOG, OLDER_LOG, SNAPSHOT, OLDER_SNAPSHOT];
const SNAPSHOTS: [&str; 2] = [SNAPSHOT, OLDER_SNAPSHOT];
/// The incarnations of three processes, one after another.
const INCARNATIONS: [u64; 3] = [41, 42, 1_700_000_000_000];

/// What each of the three processes writes.
fn batches() -> [Vec<Fact>; 3] {
    [words(), told_and_spent(), vec![later_word()]]
}

/// Every file that three processes leave, each of which but the first begins with a snapshot.
pub fn written() -> Vec<Fixture> {
    let directory = tempfile::tempdir().unwrap();
    for (incarnation, facts) in INCARNATIONS.into_iter().zip(batches()) {
        run_process(directory.path(), incarnation, facts);
        if incarnation != INCARNATIONS[2] {
            force_snapshot(directory.path());
        }
    }
    let set_aside = format!("{OLDER_SNAPSHOT}.damaged");
    let mut expected = [&FILES[..], &[LOCK, &set_aside]].concat();
    expected.sort();
    assert_eq!(file_names(directory.path()), expected);
    FILES.into_iter().map(|name| Fixture::of_file(FORMAT, directory.path(), name)).collect()
}

fn run_process(directory: &Path, incarnation: u64, facts: Vec<Fact>) {
    let mut journal = Journal::start(Disk, directory, StoreLimits::default()).unwrap();
    journal.wait_for_contents(PATIENCE).unwrap().unwrap();
    journal.record_incarnation(incarnation);
    let ticket = journal.write(facts).unwrap();
    let mut done = None;
    wait_until(|| {
        done = journal.poll_result();
        done.is_some()
    });
    let done = done.map(|d| (d.ticket, d.result.map_err(|e| e.to_string())));
    assert_eq!(done, Some((ticket, Ok(()))));
}

/// A process that finds a damaged file writes a snapshot at its start, however short the log is.
fn force_snapshot(directory: &Path) {
    std::fs::write(directory.join(OLDER_SNAPSHOT), "damaged").unwrap();
}

fn stored_file(file: &str) -> Vec<u8> {
    stored(&format!("{FORMAT}/{file}"))
}

/// What a process finds that has only this file.
fn find(file: &str, bytes: &[u8]) -> JournalContents {
    journal::read(&Disk, directory_with(file, bytes).path(), StoreLimits::default())
}

fn by_key(facts: impl IntoIterator<Item = Fact>) -> BTreeMap<FactKey, FactValue> {
    facts.into_iter().collect()
}

/// The facts and the incarnation that a file holds by itself.
fn assert_holds(file: &str, bytes: &[u8], incarnation: u64, facts: Vec<Fact>) {
    let found = find(file, bytes);
    assert!(found.problems.is_empty(), "{:?}", found.problems);
    assert_eq!(found.incarnation, incarnation, "{file}");
    assert_eq!(by_key(found.facts), by_key(facts), "{file}");
}

#[test]
fn every_file_is_written_as_before() {
    written().iter().for_each(Fixture::assert_unchanged);
}

#[test]
fn logs_hold_what_their_process_wrote() {
    let [_, second, third] = batches();
    assert_holds(LOG, &stored_file(LOG), INCARNATIONS[2], third);
    assert_holds(OLDER_LOG, &stored_file(OLDER_LOG), INCARNATIONS[1], second);
}

#[test]
fn snapshots_hold_what_the_processes_before_wrote() {
    let [first, second, _] = batches();
    assert_holds(OLDER_SNAPSHOT, &stored_file(OLDER_SNAPSHOT), INCARNATIONS[0], first.clone());
    let both = [first, second].concat();
    assert_holds(SNAPSHOT, &stored_file(SNAPSHOT), INCARNATIONS[1], both.clone());
    // A kill just before a snapshot is renamed leaves it under the name of the one under way.
    assert_holds(TEMPORARY, &stored_file(SNAPSHOT), INCARNATIONS[1], both);
}

fn register(facts: &BTreeMap<FactKey, FactValue>, key: FactKey) -> Register {
    let FactValue::Commands(register) = &facts[&key] else { panic!("{key} has no words") };
    register.clone()
}

#[test]
fn facts_are_read_field_by_field() {
    let facts = by_key(find(SNAPSHOT, &stored_file(SNAPSHOT)).facts);
    let on_server = register(&facts, FactKey::Server(SERVER.into()));
    let dots: Vec<Dot> = on_server.commands().map(|(dot, _)| dot).collect();
    assert_eq!(dots, [Dot { origin: OTHER_ORIGIN, sequence: 1 }, Dot { origin: ORIGIN, sequence: 1 }]);
    let (_, said) = on_server.commands().last().unwrap();
    assert_eq!((said.value.clone(), said.issued_at, said.expires_at), (CommandValue::Set, 800, Some(900)));
    assert_eq!([&said.author, &said.reason, &said.broker], ["whó", "why-✓", BROKER]);
    let on_work = register(&facts, FactKey::MaintenanceOrder("wörk-1".into()));
    assert_eq!(on_work.commands().next().unwrap().1.value, CommandValue::Text("tëxt".into()));
    let FactValue::Latest(drain) = facts[&FactKey::Drain(SERVER.into())] else { panic!("no drain") };
    assert_eq!((drain.started, drain.list_version), (1_600_000_000, 12));
}

#[test]
fn damaged_snapshots_are_refused() {
    for file in SNAPSHOTS {
        let bytes = stored_file(file);
        for damaged in [flipped(&bytes), truncated(&bytes)] {
            let found = find(file, &damaged);
            assert_eq!((found.facts.len(), found.incarnation), (0, 0));
            assert_eq!(found.problems.len(), 1);
        }
    }
}

#[test]
fn a_damaged_line_of_a_log_is_refused_and_the_others_are_read() {
    for file in [LOG, OLDER_LOG] {
        let bytes = stored_file(file);
        let lines = bytes.iter().filter(|byte| **byte == b'\n').count();
        let found = find(file, &flipped(&bytes));
        assert_eq!(found.problems.len(), 1);
        assert_eq!(found.facts.len(), lines - 2, "all but the incarnation and the damaged line");
    }
}

/// A kill at any byte leaves such a log: its last line is left out, and nothing is told as damage.
#[test]
fn the_cut_line_of_a_log_is_left_out() {
    for file in [LOG, OLDER_LOG] {
        let bytes = stored_file(file);
        let whole = find(file, &bytes);
        let cut = find(file, &truncated(&bytes));
        assert_eq!(cut.facts.len(), whole.facts.len() - 1);
        assert_eq!((cut.incarnation, cut.problems.len()), (whole.incarnation, 0));
    }
}
