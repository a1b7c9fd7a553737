//! The commands: exit codes, and what they write to standard output and standard error.

use super::PROGRAM;
use super::admin_endpoint::{PEER_TIMINGS, cluster_of_two, wait_for_equal_copies};
use super::fixture;
use super::placeholder::{Placeholders, hide_numbers};
use super::run::record;
use pebbleturn::membership::snapshot::{self, Snapshot, SnapshotNode};
use pebbleturn::membership::{NodeRecord, NodeState, staleness::ChangeRate};
use pebbleturn_lab::running::Site;
use std::net::TcpListener;

/// Where the column of the time since a drain was learnt begins in the table of `roster show`.
const LEARNT_COLUMN: usize = 87;
/// Where the column of the time since a peer was heard begins in the table of `operate peers`.
const HEARD_COLUMN: usize = 72;

fn record_all(runs: &[&[&str]]) -> String {
    runs.iter().map(|arguments| record(arguments)).collect()
}

/// The lines with `<time>` in place of what stands from a column on, in lines that begin with this text.
fn hide_last_column(text: &str, line_start: &str, column: usize) -> String {
    let hide = |line: &str| match line.get(..column) {
        Some(kept) if line.starts_with(line_start) => format!("{kept}<time>\n"),
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

/// A kept list of two servers, confirmed at this time by the clock, or never.
fn kept_list(confirmed: Option<u64>) -> Vec<u8> {
    let node = |id: &str, state| {
        let fact = NodeRecord {
            id: id.into(),
            addr: Some("127.0.0.1:80".parse().unwrap()),
            zone: "a".into(),
            kind: String::new(),
            cell: 0,
            state,
            started: 0,
        };
        SnapshotNode { record: fact, epoch: 0, version: 4, received: 1, after_reset: false, confirmed }
    };
    let nodes = vec![node("s-1", NodeState::Ready), node("s-2", NodeState::Terminating)];
    let whole = Some((0, 4, 1));
    let list = Snapshot {
        written: 1,
        last_confirmed: confirmed,
        full_list: whole,
        pruned_up_to: None,
        rate: ChangeRate::NONE,
        nodes,
    };
    snapshot::encode(&list).unwrap()
}

#[test]
fn roster_show_prints_as_recorded() {
    let directory = tempfile::tempdir().unwrap();
    let file = |name: &str, bytes: &[u8]| {
        let path = directory.path().join(name);
        std::fs::write(&path, bytes).unwrap();
        path.to_str().unwrap().to_owned()
    };
    let confirmed = file("confirmed.kept", &kept_list(Some(1)));
    let unconfirmed = file("unconfirmed.kept", &kept_list(None));
    let bytes = kept_list(None);
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
    let shown = hide_numbers(&placeholders.apply(&record_all(&runs)), &["age_s", "learnt_s"]);
    fixture::assert_matches("roster_show.txt", &hide_last_column(&shown, "s-2 ", LEARNT_COLUMN));
}

#[test]
fn operate_prints_as_recorded() {
    let site = Site::new(PROGRAM);
    let process = site.start();
    let called = process.admin_addr.to_string();
    let free = TcpListener::bind("127.0.0.1:0").unwrap();
    let silent = free.local_addr().unwrap().to_string();
    drop(free);
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
        runs.push([&["operate", &called], call].concat());
        runs.push([&["operate", &called, "--json"], call].concat());
    }
    runs.push(vec!["operate", &called, "dance"]);
    runs.push(vec!["operate", &called, "suspend"]);
    runs.push(vec!["operate", "nowhere", "status"]);
    runs.push(vec!["operate", &silent, "status"]);
    let mut placeholders = Placeholders::default();
    placeholders.add(&called, "<called address>");
    placeholders.add(&silent, "<silent address>");
    let shown: String = runs.iter().map(|run| record(run)).collect();
    fixture::assert_matches("operate.txt", &placeholders.apply(&shown));
}

#[test]
fn commands_on_a_cluster_print_as_recorded() {
    let (mut cluster, mut placeholders) = cluster_of_two(22);
    let called = cluster.admin_address(0).to_string();
    let calls: [&[&str]; 4] = [
        &["suspend", "n-1", "--by", "asha", "--why", "new disk", "--for", "86400"],
        &["pause", "b-1"],
        &["remove", "b-1"],
        &["admit", "b-1", "--by", "asha"],
    ];
    // Before `remove`: how often a removed peer is not listened to depends on time.
    wait_for_equal_copies(&cluster);
    let mut shown = record(&["operate", &called, "peers"]);
    shown += &record(&["operate", &called, "--json", "peers"]);
    for call in calls {
        shown += &record(&[&["operate", &called, "--json"], call].concat());
    }
    wait_for_equal_copies(&cluster);
    for call in ["state", "conflicts"] {
        shown += &record(&["operate", &called, call]);
        shown += &record(&["operate", &called, "--json", call]);
    }
    placeholders.add_state(&cluster.json(0, "STATE"));
    cluster.kill(0);
    cluster.kill(1);
    shown += &record_state_of_disks(&cluster.state_dir(0), &mut placeholders);
    let shown = hide_numbers(&placeholders.apply(&shown), PEER_TIMINGS);
    fixture::assert_matches("cluster.txt", &hide_last_column(&shown, "b-1 ", HEARD_COLUMN));
}

/// `state show` and `state diff`, against nothing and against an empty directory.
fn record_state_of_disks(kept: &std::path::Path, placeholders: &mut Placeholders) -> String {
    let empty = tempfile::tempdir().unwrap();
    let (kept, empty) = (kept.to_str().unwrap(), empty.path().to_str().unwrap());
    placeholders.add(kept, "<kept>");
    placeholders.add(empty, "<empty>");
    let mut shown = String::new();
    for format in [&[][..], &["--json"]] {
        shown += &record(&[&["state", "show", kept], format].concat());
        shown += &record(&[&["state", "show", empty], format].concat());
        shown += &record(&[&["state", "show", "missing"], format].concat());
        shown += &record(&[&["state", "diff", kept], format].concat());
        shown += &record(&[&["state", "diff", kept, kept], format].concat());
        shown += &record(&[&["state", "diff", empty, kept], format].concat());
    }
    shown
}
