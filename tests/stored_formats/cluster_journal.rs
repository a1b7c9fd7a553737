//! The cluster's journal and its snapshots: `cluster.log`, `cluster.kept` and the older generation of each.

use super::fixtures::{
    Fixture, IO_TIMEOUT, directory_with, file_names, flipped, stored, truncated, wait_until,
};
use super::samples::{
    BROKER, ORIGIN, OTHER_ORIGIN, SERVER, command_facts, facts_without_commands, superseding_command,
};
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
/// The incarnations of three successive processes.
const INCARNATIONS: [u64; 3] = [41, 42, 1_700_000_000_000];

/// The facts that each of the three processes writes.
fn batches() -> [Vec<Fact>; 3] {
    [command_facts(), facts_without_commands(), vec![superseding_command()]]
}

/// All files left by the three processes. Each process but the first writes a snapshot at its start.
pub fn build_fixtures() -> Vec<Fixture> {
    let directory = tempfile::tempdir().unwrap();
    for (incarnation, facts) in INCARNATIONS.into_iter().zip(batches()) {
        run_process(directory.path(), incarnation, facts);
        if incarnation != INCARNATIONS[2] {
            force_snapshot(directory.path());
        }
    }
    let damaged_copy = format!("{OLDER_SNAPSHOT}.damaged");
    let mut expected = [&FILES[..], &[LOCK, &damaged_copy]].concat();
    expected.sort();
    assert_eq!(file_names(directory.path()), expected);
    FILES.into_iter().map(|name| Fixture::of_file(FORMAT, directory.path(), name)).collect()
}

fn run_process(directory: &Path, incarnation: u64, facts: Vec<Fact>) {
    let mut journal = Journal::start(Disk, directory, StoreLimits::default()).unwrap();
    journal.wait_for_contents(IO_TIMEOUT).unwrap().unwrap();
    journal.record_incarnation(incarnation);
    let ticket = journal.write(facts).unwrap();
    let mut completion = None;
    wait_until(|| {
        completion = journal.poll_result();
        completion.is_some()
    });
    let completion =
        completion.map(|completed| (completed.ticket, completed.result.map_err(|e| e.to_string())));
    assert_eq!(completion, Some((ticket, Ok(()))));
}

/// Leaves a damaged file: a process that finds one writes a snapshot at its start, however short the log is.
fn force_snapshot(directory: &Path) {
    std::fs::write(directory.join(OLDER_SNAPSHOT), "damaged").unwrap();
}

fn stored_file(file: &str) -> Vec<u8> {
    stored(&format!("{FORMAT}/{file}"))
}

/// What a process reads at its start if this is the only file.
fn read_single_file(file: &str, bytes: &[u8]) -> JournalContents {
    journal::read(&Disk, directory_with(file, bytes).path(), StoreLimits::default())
}

fn by_key(facts: impl IntoIterator<Item = Fact>) -> BTreeMap<FactKey, FactValue> {
    facts.into_iter().collect()
}

/// Checks the facts and the incarnation that a single file holds.
fn assert_holds(file: &str, bytes: &[u8], incarnation: u64, facts: Vec<Fact>) {
    let contents = read_single_file(file, bytes);
    assert!(contents.problems.is_empty(), "{:?}", contents.problems);
    assert_eq!(contents.incarnation, incarnation, "{file}");
    assert_eq!(by_key(contents.facts), by_key(facts), "{file}");
}

#[test]
fn every_file_is_written_as_before() {
    build_fixtures().iter().for_each(Fixture::assert_unchanged);
}

#[test]
fn logs_hold_what_their_process_wrote() {
    let [_, second, third] = batches();
    assert_holds(LOG, &stored_file(LOG), INCARNATIONS[2], third);
    assert_holds(OLDER_LOG, &stored_file(OLDER_LOG), INCARNATIONS[1], second);
}

#[test]
fn snapshots_hold_what_the_previous_processes_wrote() {
    let [first, second, _] = batches();
    assert_holds(OLDER_SNAPSHOT, &stored_file(OLDER_SNAPSHOT), INCARNATIONS[0], first.clone());
    let both = [first, second].concat();
    assert_holds(SNAPSHOT, &stored_file(SNAPSHOT), INCARNATIONS[1], both.clone());
    // A crash just before a snapshot is renamed leaves it under its temporary name.
    assert_holds(TEMPORARY, &stored_file(SNAPSHOT), INCARNATIONS[1], both);
}

fn register(facts: &BTreeMap<FactKey, FactValue>, key: FactKey) -> Register {
    let FactValue::Commands(register) = &facts[&key] else { panic!("{key} has no commands") };
    register.clone()
}

#[test]
fn facts_are_read_field_by_field() {
    let facts = by_key(read_single_file(SNAPSHOT, &stored_file(SNAPSHOT)).facts);
    let server_register = register(&facts, FactKey::Server(SERVER.into()));
    let dots: Vec<Dot> = server_register.commands().map(|(dot, _)| dot).collect();
    assert_eq!(dots, [Dot { origin: OTHER_ORIGIN, sequence: 1 }, Dot { origin: ORIGIN, sequence: 1 }]);
    let (_, command) = server_register.commands().last().unwrap();
    assert_eq!(
        (command.value.clone(), command.issued_at, command.expires_at),
        (CommandValue::Set, 800, Some(900))
    );
    assert_eq!([&command.author, &command.reason, &command.broker], ["whó", "why-✓", BROKER]);
    let order_register = register(&facts, FactKey::MaintenanceOrder("wörk-1".into()));
    assert_eq!(order_register.commands().next().unwrap().1.value, CommandValue::Text("tëxt".into()));
    let FactValue::Latest(drain) = facts[&FactKey::Drain(SERVER.into())] else { panic!("no drain") };
    assert_eq!((drain.started, drain.list_version), (1_600_000_000, 12));
}

#[test]
fn damaged_snapshots_are_refused() {
    for file in SNAPSHOTS {
        let bytes = stored_file(file);
        for damaged in [flipped(&bytes), truncated(&bytes)] {
            let contents = read_single_file(file, &damaged);
            assert_eq!((contents.facts.len(), contents.incarnation), (0, 0));
            assert_eq!(contents.problems.len(), 1);
        }
    }
}

#[test]
fn a_damaged_line_of_a_log_is_refused_and_the_others_are_read() {
    for file in [LOG, OLDER_LOG] {
        let bytes = stored_file(file);
        let lines = bytes.iter().filter(|byte| **byte == b'\n').count();
        let contents = read_single_file(file, &flipped(&bytes));
        assert_eq!(contents.problems.len(), 1);
        assert_eq!(contents.facts.len(), lines - 2, "all but the incarnation and the damaged line");
    }
}

/// A crash at any byte leaves a log with an incomplete last line: it is ignored, and not reported as damage.
#[test]
fn an_incomplete_last_line_of_a_log_is_ignored() {
    for file in [LOG, OLDER_LOG] {
        let bytes = stored_file(file);
        let intact = read_single_file(file, &bytes);
        let incomplete = read_single_file(file, &truncated(&bytes));
        assert_eq!(incomplete.facts.len(), intact.facts.len() - 1);
        assert_eq!((incomplete.incarnation, incomplete.problems.len()), (intact.incarnation, 0));
    }
}
