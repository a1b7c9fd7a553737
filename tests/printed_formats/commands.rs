//! The commands: exit codes, and what they write to standard output and standard error.

use super::PROGRAM;
use super::admin_endpoint::{PEER_TIMINGS, cluster_of_two, wait_for_equal_stores};
use super::fixture;
use super::placeholder::{Placeholders, hide_numbers};
use super::run::record;
use pebbleturn::membership::snapshot::{self, Snapshot, SnapshotNode};
use pebbleturn::membership::{NodeRecord, NodeState, staleness::ChangeRate};
use pebbleturn_lab::running::Site;
use std::net::TcpListener;

/// Start of the column with the time since a drain became known, in the table of `roster show`.
const DRAIN_AGE_COLUMN: usize = 87;
/// Start of the column with the time since a peer last sent a message, in the table of `operate peers`.
const LAST_MESSAGE_COLUMN: usize = 72;

fn record_all(runs: &[&[&str]]) -> String {
    runs.iter().map(|arguments| record(arguments)).collect()
}

/// Replaces the text from `column` on with `<time>` in each line that begins with `line_start`.
fn hide_last_column(text: &str, line_start: &str, column: usize) -> String {
    let hide = |line: &str| match line.get(..column) {
        Some(prefix) if line.starts_with(line_start) => format!("{prefix}<time>\n"),
        _ => format!("{line}\n"),
    };
    text.lines().map(hide).collect()
}

#[test]
fn check_prints_as_recorded() {
    let runs: [&[&str]; 8] = [
        &["check", "sound.toml"],
        &["check", "unreadable_values.toml"],
        &["check", "contradictions.toml"],
        &["check", "broken.toml"],
        &["check", "missing.toml"],
        &["check", "sound.json"],
        &["check", "broken.json"],
        &["check", "missing.json"],
    ];
    fixture::assert_matches("check.txt", &record_all(&runs));
}

#[test]
fn import_prints_as_recorded() {
    let runs: [&[&str]; 9] = [
        &["import", "apache", "balancer.conf"],
        &["import", "apache", "balancer.conf", "other"],
        &["import", "apache", "members.conf"],
        &["import", "apache", "empty.conf"],
        &["import", "apache", "missing.conf"],
        &["import", "jk", "workers.properties"],
        &["import", "jk", "members.properties"],
        &["import", "jk", "workers.properties", "none"],
        &["import", "jk", "empty.properties"],
    ];
    fixture::assert_matches("import.txt", &record_all(&runs));
}

/// An encoded snapshot of two servers, last confirmed at this time (unix ns) or never.
fn encoded_snapshot(confirmed: Option<u64>) -> Vec<u8> {
    let node = |id: &str, state| {
        let node_record = NodeRecord {
            id: id.into(),
            addr: Some("127.0.0.1:80".parse().unwrap()),
            zone: "a".into(),
            kind: String::new(),
            cell: 0,
            state,
            started: 0,
        };
        SnapshotNode { record: node_record, epoch: 0, version: 4, received: 1, after_reset: false, confirmed }
    };
    let nodes = vec![node("s-1", NodeState::Ready), node("s-2", NodeState::Terminating)];
    let last_full_list = Some((0, 4, 1));
    let roster_snapshot = Snapshot {
        written: 1,
        last_confirmed: confirmed,
        full_list: last_full_list,
        pruned_up_to: None,
        rate: ChangeRate::NONE,
        nodes,
    };
    snapshot::encode(&roster_snapshot).unwrap()
}

#[test]
fn roster_show_prints_as_recorded() {
    let directory = tempfile::tempdir().unwrap();
    let file = |name: &str, bytes: &[u8]| {
        let path = directory.path().join(name);
        std::fs::write(&path, bytes).unwrap();
        path.to_str().unwrap().to_owned()
    };
    let confirmed = file("confirmed.kept", &encoded_snapshot(Some(1)));
    let unconfirmed = file("unconfirmed.kept", &encoded_snapshot(None));
    let bytes = encoded_snapshot(None);
    let damaged = file("damaged.kept", &bytes[..bytes.len() - 7]);
    let runs: [&[&str]; 7] = [
        &["roster", "show", "--json", &confirmed],
        &["roster", "show", "--json", &unconfirmed],
        &["roster", "show", &unconfirmed],
        &["roster", "show", "--changes-every", "2.5", &unconfirmed],
        &["roster", "show", "--changes-every", "0", &unconfirmed],
        &["roster", "show", &damaged],
        &["roster", "show", "missing.kept"],
    ];
    let mut placeholders = Placeholders::default();
    placeholders.add(directory.path().display(), "<directory>");
    let output = hide_numbers(&placeholders.apply(&record_all(&runs)), &["age_s", "learnt_s"]);
    fixture::assert_matches("roster_show.txt", &hide_last_column(&output, "s-2 ", DRAIN_AGE_COLUMN));
}

#[test]
fn operate_prints_as_recorded() {
    let site = Site::new(PROGRAM);
    let process = site.start();
    let admin_address = process.admin_address.to_string();
    let unused_listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let unused_addr = unused_listener.local_addr().unwrap().to_string();
    drop(unused_listener);
    let mut runs: Vec<Vec<&str>> = Vec::new();
    let calls: [&[&str]; 11] = [
        &["status"],
        &["metrics"],
        &["suspend", "s-1", "--by", "asha", "--why", "new disk", "--wait"],
        &["restore", "s-1"],
        &["suspend", "nobody"],
        &["suspend", "s-1", "--for", "60"],
        &["peers"],
        &["pause", "--wait"],
        &["status", "--wait", "--within", "1"],
        &["resume", "--wait"],
        &["remove", "b-1"],
    ];
    for call in calls {
        runs.push([&["operate", &admin_address], call].concat());
        runs.push([&["operate", &admin_address, "--json"], call].concat());
    }
    runs.push(vec!["operate", &admin_address, "dance"]);
    runs.push(vec!["operate", &admin_address, "suspend"]);
    runs.push(vec!["operate", "nowhere", "status"]);
    runs.push(vec!["operate", &unused_addr, "status"]);
    let mut placeholders = Placeholders::default();
    placeholders.add(&admin_address, "<called address>");
    placeholders.add(&unused_addr, "<silent address>");
    let output: String = runs.iter().map(|run| record(run)).collect();
    fixture::assert_matches("operate.txt", &placeholders.apply(&output));
}

#[test]
fn commands_on_a_cluster_print_as_recorded() {
    let (mut cluster, mut placeholders) = cluster_of_two(22);
    let admin_address = cluster.admin_address(0).to_string();
    let calls: [&[&str]; 4] = [
        &["suspend", "n-1", "--by", "asha", "--why", "new disk", "--for", "86400"],
        &["pause", "b-1"],
        &["remove", "b-1"],
        &["admit", "b-1", "--by", "asha"],
    ];
    // Before `remove`: how many messages of a removed peer are dropped depends on time.
    wait_for_equal_stores(&cluster);
    let mut output = record(&["operate", &admin_address, "peers"]);
    output += &record(&["operate", &admin_address, "--json", "peers"]);
    for call in calls {
        output += &record(&[&["operate", &admin_address, "--json"], call].concat());
    }
    wait_for_equal_stores(&cluster);
    for call in ["state", "conflicts"] {
        output += &record(&["operate", &admin_address, call]);
        output += &record(&["operate", &admin_address, "--json", call]);
    }
    placeholders.add_state(&cluster.json(0, "STATE"));
    cluster.kill(0);
    cluster.kill(1);
    output += &record_state_commands(&cluster.state_dir(0), &mut placeholders);
    let output = hide_numbers(&placeholders.apply(&output), PEER_TIMINGS);
    fixture::assert_matches("cluster.txt", &hide_last_column(&output, "b-1 ", LAST_MESSAGE_COLUMN));
}

/// Runs `state show` and `state diff` with a state directory, an empty directory and a missing one.
fn record_state_commands(state_dir: &std::path::Path, placeholders: &mut Placeholders) -> String {
    let empty_dir = tempfile::tempdir().unwrap();
    let (state_dir, empty_dir) = (state_dir.to_str().unwrap(), empty_dir.path().to_str().unwrap());
    placeholders.add(state_dir, "<kept>");
    placeholders.add(empty_dir, "<empty>");
    let mut output = String::new();
    for format in [&[][..], &["--json"]] {
        output += &record(&[&["state", "show", state_dir], format].concat());
        output += &record(&[&["state", "show", empty_dir], format].concat());
        output += &record(&[&["state", "show", "missing"], format].concat());
        output += &record(&[&["state", "diff", state_dir], format].concat());
        output += &record(&[&["state", "diff", state_dir, state_dir], format].concat());
        output += &record(&[&["state", "diff", empty_dir, state_dir], format].concat());
    }
    output
}
