//! Requests to the admin endpoint: each request line as it is sent, and the response.

use super::PROGRAM;
use super::fixture;
use super::placeholder::{Placeholders, hide_numbers};
use pebbleturn_lab::cluster::process_cluster::{ProcessCluster, name};
use pebbleturn_lab::running::{Client, HANG_TIMEOUT, Site, until};
use pebbleturn_lab::standins::Behavior;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};

/// Requests, in this order, to which the responses of a broker without peers are the same in each run.
const REQUESTS_WITHOUT_PEERS: &[&[u8]] = &[
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

/// Requests that change the replicated state of a cluster; each is answered once the change is on disk.
const REQUESTS_IN_A_CLUSTER: &[&str] = &[
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

/// Probe interval in milliseconds: long enough that load on the machine alone makes no peer suspected.
const PROBE_INTERVAL_MS: u64 = 400;

/// Numeric fields of the response to PEERS that depend on time and load.
pub const PEER_TIMINGS: &[&str] =
    &["heard_ms_ago", "incarnation", "slowness", "longest_turn_us", "longest_for_peers_us"];

/// Sends one request line; returns the line and its response.
fn exchange(address: SocketAddr, line: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(HANG_TIMEOUT)).unwrap();
    stream.write_all(&[line, b"\n"].concat()).unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    format!("> {}\n{response}", line.escape_ascii())
}

#[test]
fn a_broker_without_peers_answers_as_recorded() {
    let site = Site::new(PROGRAM);
    let process = site.start();
    let transcript: String =
        REQUESTS_WITHOUT_PEERS.iter().map(|line| exchange(process.admin_address, line)).collect();
    fixture::assert_matches("admin_without_peers.txt", &transcript);
}

/// `tries` is hidden: on a slow machine a part may be sent to a second server too.
#[test]
fn a_serving_and_a_draining_broker_answer_as_recorded() {
    let site = Site::new(PROGRAM);
    let process = site.start();
    let mut client = Client::connect(site.listen_addr());
    assert!(client.query().unwrap().starts_with("HTTP/1.1 200"));
    until("the query has ended", || process.metrics()["active"] == 0);
    let mut transcript =
        exchange(process.admin_address, b"METRICS") + &exchange(process.admin_address, b"CLIENTS");
    site.script.set(&[0, 1, 2], &[0, 1, 2], Behavior::Delayed(3000));
    client.send().unwrap();
    until("a query is open", || process.metrics()["active"] == 1);
    process.signal("-TERM");
    process.wait_for_log("graceful shutdown begins");
    for line in [&b"STATUS"[..], b"RESUME", b"METRICS"] {
        transcript += &exchange(process.admin_address, line);
    }
    fixture::assert_matches("admin_at_work.txt", &hide_numbers(&transcript, &["tries"]));
}

/// A cluster of two brokers, with placeholders for the address at which the first reaches the second and for
/// the admin address of the first.
pub fn cluster_of_two(seed: u64) -> (ProcessCluster, Placeholders) {
    let mut cluster = ProcessCluster::new(PROGRAM, 2, seed);
    for broker in 0..cluster.len() {
        cluster.settings_mut(broker).probe_interval_ms = PROBE_INTERVAL_MS;
        cluster.start(broker);
    }
    cluster.wait_until_joined();
    let mut placeholders = Placeholders::default();
    // Tables pad the address to the width of its column.
    let address = cluster.links.address(0, 1).to_string();
    placeholders.add(format!("{address:<22}"), &format!("{:<22}", "<address of b-1>"));
    placeholders.add(address, "<address of b-1>");
    placeholders.add(cluster.admin_address(0), "<called address>");
    (cluster, placeholders)
}

/// Waits until the first broker's store equals its peer's and is on disk.
pub fn wait_for_equal_stores(cluster: &ProcessCluster) {
    until("both stores are equal", || {
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
    // Before REMOVE: how many messages of a removed peer are dropped depends on time.
    wait_for_equal_stores(&cluster);
    let mut transcript = exchange(cluster.admin_address(0), b"PEERS");
    for line in REQUESTS_IN_A_CLUSTER {
        transcript += &exchange(cluster.admin_address(0), line.as_bytes());
    }
    wait_for_equal_stores(&cluster);
    for line in ["STATE", "CONFLICTS", "STATUS", "METRICS"] {
        transcript += &exchange(cluster.admin_address(0), line.as_bytes());
    }
    placeholders.add_state(&cluster.json(0, "STATE"));
    let shown = hide_numbers(&placeholders.apply(&transcript), PEER_TIMINGS);
    fixture::assert_matches("admin_with_a_peer.txt", &shown);
}
