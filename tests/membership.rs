//! Membership on real sockets: nodes that are added, drained and removed during a session, and restarts
//! without discovery.

use pebbleturn::config::OperatorConfig;
use pebbleturn::frontends::catalogue;
use pebbleturn::membership::NodeState;
use pebbleturn::membership::snapshot::Snapshot;
use pebbleturn::net::Waker;
use pebbleturn::server::BrokerError;
use pebbleturn::storage::snapshot_store;
use pebbleturn_lab::demo::{search_over_sru, search_over_z3950};
use pebbleturn_lab::directory::{Directory, Mode, endpoint};
use pebbleturn_lab::standins::{NodeScript, WireProtocol, node};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Guards against hangs; no test depends on its value.
const HANG_TIMEOUT: Duration = Duration::from_secs(60);

/// Longer than an attempt takes to reach a simulated node, even on a loaded machine.
const ARRIVAL_TIME: Duration = Duration::from_millis(500);

struct Fleet {
    nodes: Vec<SocketAddr>,
    script: NodeScript,
    directory: Directory,
}

impl Fleet {
    /// Four nodes in three cells, two of them in cell 0; the last is not listed yet.
    fn new() -> Fleet {
        Fleet::with_listed(4, &[0, 1, 2])
    }

    /// So many nodes, in three cells in turn, of which discovery lists these.
    fn with_listed(count: usize, listed: &[usize]) -> Fleet {
        let script = NodeScript::default();
        let nodes: Vec<SocketAddr> = (0..count).map(|n| node(WireProtocol::Sru, n, script.clone())).collect();
        let listed = listed
            .iter()
            .map(|n| endpoint(&format!("n-{n}"), nodes[*n], "sru", *n as u32 % 3, NodeState::Ready));
        let directory = Directory::start(listed.collect());
        Fleet { nodes, script, directory }
    }

    /// Number of attempts that have reached a node, once no more arrive. Call it only while no client sends
    /// requests.
    fn settled_attempts(&self, n: usize) -> usize {
        let mut count = self.script.parts_received_by(n);
        wait_until("all attempts have arrived", || {
            std::thread::sleep(ARRIVAL_TIME);
            let earlier = std::mem::replace(&mut count, self.script.parts_received_by(n));
            earlier == count
        });
        count
    }

    fn report_state(&self, n: usize, state: NodeState) {
        self.directory.change(endpoint(&format!("n-{n}"), self.nodes[n], "sru", n as u32 % 3, state));
    }
}

struct RunningBroker {
    sru: SocketAddr,
    z3950: SocketAddr,
    waker: Waker,
    thread: JoinHandle<Result<(), BrokerError>>,
}

impl RunningBroker {
    fn start(membership: &str, nodes: &[(SocketAddr, &str)]) -> RunningBroker {
        let mut text = String::from(
            "name = \"test\"\nzone = \"a\"\n[partitions]\ncount = 3\ncells = 3\nholders = 2\n\
             database = \"part-{partition}\"\n[[class]]\nname = \"c\"\naim_ms = 8000\ndeadline_ms = 20000\n\
             [[database]]\nname = \"scores\"\nclass = \"c\"\n\
             [[listener]]\nprotocol = \"sru\"\nlisten = \"127.0.0.1:0\"\n\
             [[listener]]\nprotocol = \"z3950\"\nlisten = \"127.0.0.1:0\"\n",
        );
        text += &format!("[membership]\n{membership}\n");
        for (n, (addr, protocol)) in nodes.iter().enumerate() {
            text += &format!(
                "[[node]]\nid = \"n-{n}\"\nprotocol = \"{protocol}\"\naddress = \"{addr}\"\nzone = \"a\"\ncell = {}\n",
                n % 3
            );
        }
        let operator = OperatorConfig::read(&text).unwrap();
        let (started_tx, started_rx) = mpsc::channel();
        let thread = std::thread::spawn(move || {
            let (mut broker, addrs) = catalogue::broker(operator)?;
            started_tx.send((addrs[0], addrs[1], broker.shutdown_handle()?)).unwrap();
            broker.run()
        });
        let (sru, z3950, waker) = started_rx.recv().unwrap();
        RunningBroker { sru, z3950, waker, thread }
    }

    /// Sends one search and returns whether it was answered.
    fn serves(&self) -> bool {
        search_over_sru(self.sru).unwrap().starts_with("HTTP/1.1 200")
    }

    fn wait_until_serving(&self) {
        wait_until("the broker serves", || self.serves());
    }

    fn stop(self) {
        self.waker.wake().unwrap();
        self.thread.join().unwrap().unwrap();
    }
}

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < HANG_TIMEOUT, "{what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn discovery_and_store(directory: &Directory, store: &Path) -> String {
    format!("discovery = \"{}\"\nkeep = {:?}", directory.addr, store.to_str().unwrap())
}

#[test]
fn nodes_are_added_drained_and_removed_without_ending_a_session() {
    use pebbleturn::frontends::catalogue::apdu::Apdu;
    use pebbleturn_lab::demo::{self, init_request};
    use pebbleturn_lab::standins::read_apdu;
    use std::io::Write;
    let fleet = Fleet::new();
    let broker = RunningBroker::start(&format!("discovery = \"{}\"", fleet.directory.addr), &[]);
    broker.wait_until_serving();
    let mut session = TcpStream::connect(broker.z3950).unwrap();
    session.set_read_timeout(Some(HANG_TIMEOUT)).unwrap();
    let mut exchange = |apdu: Apdu| {
        session.write_all(&apdu.encode()).unwrap();
        read_apdu(&mut session).expect("the session continues")
    };
    assert!(matches!(exchange(init_request()), Apdu::InitResponse(r) if r.accepted));
    let mut search = || {
        let Apdu::SearchResponse(r) = exchange(demo::search_request()) else { panic!("no SearchResponse") };
        assert!(r.success && r.count == 9, "{r:?}");
    };
    search();
    // One node drains, then another is added. Once the new node receives attempts, the broker also knows of
    // the drain.
    fleet.report_state(0, NodeState::Terminating);
    fleet.report_state(3, NodeState::Ready);
    wait_until("the new node receives attempts", || {
        search();
        fleet.script.parts_received_by(3) > 0
    });
    // The other attempt of a hedged request may still be in flight. While no client sends requests, no new
    // attempts are sent.
    let before = fleet.settled_attempts(0);
    (0..20).for_each(|_| search());
    assert_eq!(fleet.settled_attempts(0), before, "a draining node receives no new attempts");
    fleet.report_state(0, NodeState::Gone);
    fleet.report_state(1, NodeState::Gone);
    let attempts = || fleet.script.parts_received_by(1);
    wait_until("the other removed node receives no more attempts", || {
        let before = attempts();
        (0..10).for_each(|_| search());
        attempts() == before
    });
    broker.stop();
}

/// Guards against attempts at nodes that discovery's full list leaves out: while the operator's file names
/// them too, they stayed in use, and were in use again after a restart.
#[test]
fn a_full_list_removes_nodes_that_the_operators_file_names_too() {
    // The file names the first four nodes. Discovery lists the fourth never, and the fifth from the start.
    let (fleet, dir) = (Fleet::with_listed(6, &[0, 1, 2, 4]), tempfile::tempdir().unwrap());
    let in_file: Vec<(SocketAddr, &str)> = fleet.nodes[..4].iter().map(|addr| (*addr, "sru")).collect();
    let wait_until_in_use = |broker: &RunningBroker, n: usize| {
        let before = fleet.script.parts_received_by(n);
        wait_until("the node receives attempts", || {
            broker.serves() && fleet.script.parts_received_by(n) > before
        });
    };
    let assert_unused = |broker: &RunningBroker, nodes: &[usize]| {
        let before: Vec<usize> = nodes.iter().map(|n| fleet.settled_attempts(*n)).collect();
        (0..20).for_each(|_| assert!(broker.serves()));
        let after: Vec<usize> = nodes.iter().map(|n| fleet.settled_attempts(*n)).collect();
        assert_eq!(after, before, "nodes {nodes:?} are left out");
    };
    let first = RunningBroker::start(&discovery_and_store(&fleet.directory, dir.path()), &in_file);
    // Once a node that only discovery lists is in use, its full list is known.
    wait_until_in_use(&first, 4);
    wait_until_in_use(&first, 0);
    fleet.directory.leave_out("n-0");
    fleet.report_state(5, NodeState::Ready);
    wait_until_in_use(&first, 5);
    assert_unused(&first, &[0]);
    assert_unused(&first, &[3]);
    first.stop();

    // The stored list says the same while discovery is down.
    fleet.directory.set_mode(Mode::Refusing);
    let second = RunningBroker::start(&discovery_and_store(&fleet.directory, dir.path()), &in_file);
    assert_unused(&second, &[0, 3]);
    second.stop();

    // So does the first full list to a process that has never seen the nodes listed.
    fleet.directory.set_mode(Mode::Up);
    let third = RunningBroker::start(&format!("discovery = \"{}\"", fleet.directory.addr), &in_file);
    wait_until_in_use(&third, 4);
    assert_unused(&third, &[0, 3]);
    fleet.report_state(0, NodeState::Ready);
    wait_until_in_use(&third, 0);
    third.stop();
}

#[test]
fn restart_without_discovery_uses_the_cached_list_and_its_drains() {
    let (fleet, dir) = (Fleet::new(), tempfile::tempdir().unwrap());
    let first = RunningBroker::start(&discovery_and_store(&fleet.directory, dir.path()), &[]);
    first.wait_until_serving();
    fleet.report_state(3, NodeState::Ready);
    fleet.report_state(0, NodeState::Terminating);
    let has_drain = |lists: &[Snapshot]| {
        lists
            .iter()
            .any(|l| l.nodes.iter().any(|n| n.record.id == "n-0" && n.record.state == NodeState::Terminating))
    };
    wait_until("the drain is stored", || has_drain(&snapshot_store::read_path(dir.path()).snapshots));
    first.stop();

    fleet.directory.set_mode(Mode::Down);
    let second = RunningBroker::start(&discovery_and_store(&fleet.directory, dir.path()), &[]);
    let before = fleet.script.parts_received_by(0);
    for _ in 0..20 {
        assert!(second.serves());
        assert!(search_over_z3950(second.z3950).unwrap().starts_with("9 hits"));
    }
    assert_eq!(fleet.script.parts_received_by(0), before);
    // Discovery returns, numbers its versions from 1 again and reports an old state of that node: the drain
    // still applies.
    let list =
        (0..4).map(|n| endpoint(&format!("n-{n}"), fleet.nodes[n], "sru", n as u32 % 3, NodeState::Ready));
    fleet.directory.restart_with(list.collect());
    fleet.directory.set_mode(Mode::Up);
    let calls_before = fleet.directory.call_times().len();
    wait_until("discovery is called again", || fleet.directory.call_times().len() > calls_before);
    (0..20).for_each(|_| assert!(second.serves()));
    assert_eq!(fleet.script.parts_received_by(0), before);
    // The next change that discovery reports for the node takes effect.
    fleet.report_state(0, NodeState::Ready);
    wait_until("the node receives attempts again", || {
        second.serves() && fleet.script.parts_received_by(0) > before
    });
    second.stop();
}

#[test]
fn corrupt_cached_list_is_ignored_and_replaced() {
    let (fleet, dir) = (Fleet::new(), tempfile::tempdir().unwrap());
    for name in [snapshot_store::CURRENT, snapshot_store::OLDER] {
        std::fs::write(dir.path().join(name), "pebbleturn-roster 1 12 00000000\nnot so long").unwrap();
    }
    fleet.directory.set_mode(Mode::Refusing);
    let nodes: Vec<(SocketAddr, &str)> = fleet.nodes[..3].iter().map(|a| (*a, "sru")).collect();
    let broker = RunningBroker::start(&discovery_and_store(&fleet.directory, dir.path()), &nodes);
    assert!(broker.serves());
    fleet.directory.set_mode(Mode::Up);
    wait_until("a valid list is stored", || !snapshot_store::read_path(dir.path()).snapshots.is_empty());
    broker.stop();
}

#[test]
fn two_brokers_with_one_directory_both_serve_and_one_writes() {
    let (fleet, dir) = (Fleet::new(), tempfile::tempdir().unwrap());
    let first = RunningBroker::start(&discovery_and_store(&fleet.directory, dir.path()), &[]);
    first.wait_until_serving();
    wait_until("the list is stored", || !snapshot_store::read_path(dir.path()).snapshots.is_empty());
    let second = RunningBroker::start(&discovery_and_store(&fleet.directory, dir.path()), &[]);
    assert!(second.serves(), "from the list that the first broker stored");
    second.stop();
    first.stop();
    assert!(snapshot_store::read_path(dir.path()).problems.is_empty());
}

#[test]
fn restart_with_slow_or_stale_discovery_serves_from_the_cached_list() {
    for mode in [Mode::Slow(30_000), Mode::Stale] {
        let (fleet, dir) = (Fleet::new(), tempfile::tempdir().unwrap());
        let first = RunningBroker::start(&discovery_and_store(&fleet.directory, dir.path()), &[]);
        first.wait_until_serving();
        fleet.report_state(3, NodeState::Ready);
        fleet.report_state(0, NodeState::Terminating);
        // The drain has taken effect once only the other holders receive attempts.
        wait_until("the drain takes effect", || {
            let before = fleet.script.parts_received_by(0);
            (0..10).all(|_| first.serves()) && fleet.script.parts_received_by(0) == before
        });
        first.stop();
        fleet.directory.set_mode(mode);
        let before = fleet.script.parts_received_by(0);
        let second = RunningBroker::start(&discovery_and_store(&fleet.directory, dir.path()), &[]);
        (0..20).for_each(|_| assert!(second.serves(), "{mode:?}"));
        assert_eq!(
            fleet.script.parts_received_by(0),
            before,
            "{mode:?}: the first broker stored the drain when it stopped"
        );
        second.stop();
    }
}

#[test]
fn search_is_rejected_at_once_when_every_node_refuses_connections() {
    let closed = || TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    for protocol in ["sru", "z3950"] {
        let nodes: Vec<(SocketAddr, &str)> = (0..3).map(|_| (closed(), protocol)).collect();
        let broker = RunningBroker::start("", &nodes);
        for _ in 0..5 {
            let start = Instant::now();
            let answer = search_over_sru(broker.sru).unwrap();
            assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
            // Without an immediate rejection the request takes until its deadline of 20 s.
            assert!(start.elapsed() < Duration::from_secs(10), "{:?}", start.elapsed());
        }
        broker.stop();
    }
}
