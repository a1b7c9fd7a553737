//! The calls of the second address: each line as it is sent, and the answer.

use super::PROGRAM;
use super::fixture;
use super::placeholder::{Placeholders, hide_numbers};
use pebbleturn_lab::cluster::bed::{ProcessCluster, name};
use pebbleturn_lab::running::{Client, HANG_TIMEOUT, Site, until};
use pebbleturn_lab::standins::Behaviour;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};

/// Calls that a broker without peers answers alike in each run, in this order.
const CALLS_WITHOUT_PEERS: &[&[u8]] = &[
    b"STATUS",
    b"METRICS",
    b"CLIENTS",
    b"SUSPEND s-1 by=asha why=new disk",
    b"OUT s-1",
    b"METRICS",
    b"RESTORE s-1",
    b"SUSPEND nobody",
    b"RESTORE nobody",
    b"OUT nobody",
    b"SUSPEND",
    b"RESTORE",
    b"OUT",
    b"REMOVE",
    b"ADMIT",
    b"SUSPEND s-1 for=60",
    b"SUSPEND s-1 for=never",
    b"SUSPEND s-1 more",
    b"OUT s-1 more",
    b"STATUS more",
    b"METRICS more",
    b"CLIENTS more",
    b"PEERS more",
    b"STATE more",
    b"CONFLICTS more",
    b"PEERS",
    b"STATE",
    b"CONFLICTS",
    b"REMOVE b-1",
    b"ADMIT b-1",
    b"PAUSE b-1",
    b"RESUME b-1",
    b"PAUSE",
    b"STATUS",
    b"RESUME",
    b"DANCE",
    b"status",
    b"",
    b"STATUS \xff",
    &[b'x'; 600],
];

/// Calls that change what a cluster knows; each is answered once it is on disk.
const WORDS_IN_A_CLUSTER: &[&str] = &[
    "SUSPEND n-1 by=asha for=86400 why=new disk",
    "SUSPEND n-2",
    "RESTORE n-2 by=binu",
    "PAUSE b-1 by=asha why=work on it",
    "RESUME b-1",
    "PAUSE",
    "RESUME",
    "REMOVE b-1",
    "ADMIT b-1 by=asha",
    "REMOVE b-0",
    "SUSPEND nobody",
    "PAUSE nobody",
    "REMOVE nobody",
    "ADMIT nobody",
];

/// Time between probes: long enough that a busy machine alone makes no peer suspected.
const PROBE_MS: u64 = 400;

/// Numbers in the answer to PEERS that depend on time and load.
pub const PEER_TIMINGS: &[&str] =
    &["heard_ms_ago", "incarnation", "slowness", "longest_turn_us", "longest_for_peers_us"];

/// One call and its answer.
fn exchange(address: SocketAddr, line: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(HANG_TIMEOUT)).unwrap();
    stream.write_all(&[line, b"\n"].concat()).unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    format!("> {}\n{answer}", line.escape_ascii())
}

#[test]
fn a_broker_without_peers_answers_as_recorded() {
    let site = Site::new(PROGRAM);
    let process = site.start();
    let answers: String = CALLS_WITHOUT_PEERS.iter().map(|line| exchange(process.admin_addr, line)).collect();
    fixture::assert_matches("admin_without_peers.txt", &answers);
}

/// `tries` is hidden: on a slow machine a part may be tried at a second server too.
#[test]
fn a_broker_with_queries_and_one_that_ends_answer_as_recorded() {
    let site = Site::new(PROGRAM);
    let process = site.start();
    let mut client = Client::connect(site.listen_addr());
    assert!(client.query().unwrap().starts_with("HTTP/1.1 200"));
    until("the query has ended", || process.metrics()["active"] == 0);
    let mut answers = exchange(process.admin_addr, b"METRICS") + &exchange(process.admin_addr, b"CLIENTS");
    site.script.set(&[0, 1, 2], &[0, 1, 2], Behaviour::Delayed(3000));
    client.send().unwrap();
    until("a query is open", || process.metrics()["active"] == 1);
    process.signal("-TERM");
    process.wait_for_log("graceful shutdown begins");
    for line in [&b"STATUS"[..], b"RESUME", b"METRICS"] {
        answers += &exchange(process.admin_addr, line);
    }
    fixture::assert_matches("admin_at_work.txt", &hide_numbers(&answers, &["tries"]));
}

/// A cluster of two brokers, with placeholders for the addresses of the first one's peer.
pub fn cluster_of_two(seed: u64) -> (ProcessCluster, Placeholders) {
    let mut cluster = ProcessCluster::new(PROGRAM, 2, seed);
    for broker in 0..cluster.len() {
        cluster.settings_mut(broker).probe_interval_ms = PROBE_MS;
        cluster.start(broker);
    }
    cluster.wait_until_joined();
    let mut placeholders = Placeholders::default();
    // A table fills the address up to its column's width.
    let address = cluster.links.address(0, 1).to_string();
    placeholders.add(format!("{address:<22}"), &format!("{:<22}", "<address of b-1>"));
    placeholders.add(address, "<address of b-1>");
    placeholders.add(cluster.admin_address(0), "<called address>");
    (cluster, placeholders)
}

/// Waits until the first broker and its peer have the same copy, on disk.
pub fn wait_for_equal_copies(cluster: &ProcessCluster) {
    until("both copies are equal", || {
        let peers = cluster.json(0, "PEERS");
        let peer = &peers["peers"][0];
        let equal = peer["is"] == "up" && peer["same_copy"] == true && peers["standing"] == "caught up";
        equal && cluster.json(0, "STATE")["on_disk"] == true
    });
}

#[test]
fn a_broker_with_a_peer_answers_as_recorded() {
    let (cluster, mut placeholders) = cluster_of_two(21);
    assert_eq!(name(1), "b-1");
    // Before REMOVE: how often a removed peer is not listened to depends on time.
    wait_for_equal_copies(&cluster);
    let mut answers = exchange(cluster.admin_address(0), b"PEERS");
    for line in WORDS_IN_A_CLUSTER {
        answers += &exchange(cluster.admin_address(0), line.as_bytes());
    }
    wait_for_equal_copies(&cluster);
    for line in ["STATE", "CONFLICTS", "STATUS", "METRICS"] {
        answers += &exchange(cluster.admin_address(0), line.as_bytes());
    }
    placeholders.add_state(&cluster.json(0, "STATE"));
    let shown = hide_numbers(&placeholders.apply(&answers), PEER_TIMINGS);
    fixture::assert_matches("admin_with_a_peer.txt", &shown);
}
