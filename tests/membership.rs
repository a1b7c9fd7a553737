//! Membership on real sockets: nodes that come, drain and go under a session, restarts without discovery.

use pebbleturn::config::OperatorConfig;
use pebbleturn::frontends::catalogue;
use pebbleturn::membership::NodeState;
use pebbleturn::membership::snapshot::Snapshot;
use pebbleturn::net::Waker;
use pebbleturn::server::BrokerError;
use pebbleturn::storage::snapshot_store;
use pebbleturn_lab::demo::{by_sru, by_z3950};
use pebbleturn_lab::directory::{Directory, Mode, line};
use pebbleturn_lab::standins::{Script, Wire, node};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Only a hang is caught by this; no test leans on it.
const HANG: Duration = Duration::from_secs(60);

/// Longer than an attempt needs to reach a stand-in, also on a busy machine.
const ARRIVAL: Duration = Duration::from_millis(500);

struct Fleet {
    nodes: Vec<SocketAddr>,
    script: Script,
    directory: Directory,
}

impl Fleet {
    /// Four nodes in three cells, two of them in cell 0; the last is not listed yet.
    fn new() -> Fleet {
        let script = Script::default();
        let nodes: Vec<SocketAddr> = (0..4).map(|n| node(Wire::Sru, n, script.clone())).collect();
        let listed = (0..3).map(|n| line(&format!("n-{n}"), nodes[n], "sru", n as u32, NodeState::Ready));
        let directory = Directory::start(listed.collect());
        Fleet { nodes, script, directory }
    }

    /// Attempts that have reached a node, once no more of them arrive. For a time in which no client asks.
    fn settled_attempts(&self, n: usize) -> usize {
        let mut count = self.script.came_to(n);
        until("all attempts have arrived", || {
            std::thread::sleep(ARRIVAL);
            let earlier = std::mem::replace(&mut count, self.script.came_to(n));
            earlier == count
        });
        count
    }

    fn tell(&self, n: usize, state: NodeState) {
        self.directory.change(line(&format!("n-{n}"), self.nodes[n], "sru", n as u32 % 3, state));
    }
}

struct Running {
    sru: SocketAddr,
    z3950: SocketAddr,
    waker: Waker,
    thread: JoinHandle<Result<(), BrokerError>>,
}

impl Running {
    fn start(membership: &str, nodes: &[(SocketAddr, &str)]) -> Running {
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
        let (tell, told) = mpsc::channel();
        let thread = std::thread::spawn(move || {
            let (mut broker, addrs) = catalogue::broker(operator)?;
            tell.send((addrs[0], addrs[1], broker.shutdown_handle()?)).unwrap();
            broker.run()
        });
        let (sru, z3950, waker) = told.recv().unwrap();
        Running { sru, z3950, waker, thread }
    }

    /// One search; whether it was answered.
    fn serves(&self) -> bool {
        by_sru(self.sru).unwrap().starts_with("HTTP/1.1 200")
    }

    fn until_it_serves(&self) {
        until("it serves", || self.serves());
    }

    fn stop(self) {
        self.waker.wake().unwrap();
        self.thread.join().unwrap().unwrap();
    }
}

fn until(what: &str, mut is: impl FnMut() -> bool) {
    let start = Instant::now();
    while !is() {
        assert!(start.elapsed() < HANG, "{what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn with(directory: &Directory, keep: &Path) -> String {
    format!("discovery = \"{}\"\nkeep = {:?}", directory.addr, keep.to_str().unwrap())
}

#[test]
fn nodes_are_added_drained_and_removed_without_ending_a_session() {
    use pebbleturn::frontends::catalogue::apdu::Apdu;
    use pebbleturn_lab::demo::{self, init};
    use pebbleturn_lab::standins::read_apdu;
    use std::io::Write;
    let fleet = Fleet::new();
    let broker = Running::start(&format!("discovery = \"{}\"", fleet.directory.addr), &[]);
    broker.until_it_serves();
    let mut session = TcpStream::connect(broker.z3950).unwrap();
    session.set_read_timeout(Some(HANG)).unwrap();
    let mut ask = |apdu: Apdu| {
        session.write_all(&apdu.encode()).unwrap();
        read_apdu(&mut session).expect("the session goes on")
    };
    assert!(matches!(ask(init()), Apdu::InitResponse(r) if r.accepted));
    let mut search = || {
        let Apdu::SearchResponse(r) = ask(demo::search()) else { panic!("no SearchResponse") };
        assert!(r.success && r.count == 9, "{r:?}");
    };
    search();
    // One drains, then another comes: once work reaches that, the drain is known.
    fleet.tell(0, NodeState::Terminating);
    fleet.tell(3, NodeState::Ready);
    until("the new node gets work", || {
        search();
        fleet.script.came_to(3) > 0
    });
    // The other attempt of a hedged request may still be on its way; while nobody asks nothing new is sent.
    let before = fleet.settled_attempts(0);
    (0..20).for_each(|_| search());
    assert_eq!(fleet.settled_attempts(0), before, "a node that drains gets nothing new");
    fleet.tell(0, NodeState::Gone);
    fleet.tell(1, NodeState::Gone);
    let came = || fleet.script.came_to(1);
    until("the other one gets nothing any more", || {
        let before = came();
        (0..10).for_each(|_| search());
        came() == before
    });
    broker.stop();
}

#[test]
fn restart_without_discovery_uses_the_cached_list_and_its_drains() {
    let (fleet, dir) = (Fleet::new(), tempfile::tempdir().unwrap());
    let first = Running::start(&with(&fleet.directory, dir.path()), &[]);
    first.until_it_serves();
    fleet.tell(3, NodeState::Ready);
    fleet.tell(0, NodeState::Terminating);
    let drained = |lists: &[Snapshot]| {
        lists
            .iter()
            .any(|l| l.nodes.iter().any(|n| n.record.id == "n-0" && n.record.state == NodeState::Terminating))
    };
    until("the drain is kept", || drained(&snapshot_store::read_path(dir.path()).snapshots));
    first.stop();

    fleet.directory.mode(Mode::Down);
    let second = Running::start(&with(&fleet.directory, dir.path()), &[]);
    let before = fleet.script.came_to(0);
    for _ in 0..20 {
        assert!(second.serves());
        assert!(by_z3950(second.z3950).unwrap().starts_with("9 hits"));
    }
    assert_eq!(fleet.script.came_to(0), before);
    // Discovery comes back and counts anew, with an old view of that node: the drain stays learnt.
    let list = (0..4).map(|n| line(&format!("n-{n}"), fleet.nodes[n], "sru", n as u32 % 3, NodeState::Ready));
    fleet.directory.count_anew(list.collect());
    fleet.directory.mode(Mode::Up);
    let asked = fleet.directory.asked().len();
    until("discovery is asked again", || fleet.directory.asked().len() > asked);
    (0..20).for_each(|_| assert!(second.serves()));
    assert_eq!(fleet.script.came_to(0), before);
    // Its next word about the node counts.
    fleet.tell(0, NodeState::Ready);
    until("the node is back", || second.serves() && fleet.script.came_to(0) > before);
    second.stop();
}

#[test]
fn corrupt_cached_list_costs_nothing_but_itself() {
    let (fleet, dir) = (Fleet::new(), tempfile::tempdir().unwrap());
    for name in [snapshot_store::CURRENT, snapshot_store::OLDER] {
        std::fs::write(dir.path().join(name), "pebbleturn-roster 1 12 00000000\nnot so long").unwrap();
    }
    fleet.directory.mode(Mode::Refusing);
    let nodes: Vec<(SocketAddr, &str)> = fleet.nodes[..3].iter().map(|a| (*a, "sru")).collect();
    let broker = Running::start(&with(&fleet.directory, dir.path()), &nodes);
    assert!(broker.serves());
    fleet.directory.mode(Mode::Up);
    until("a sound list is kept", || !snapshot_store::read_path(dir.path()).snapshots.is_empty());
    broker.stop();
}

#[test]
fn two_brokers_with_one_directory_both_serve_and_one_writes() {
    let (fleet, dir) = (Fleet::new(), tempfile::tempdir().unwrap());
    let first = Running::start(&with(&fleet.directory, dir.path()), &[]);
    first.until_it_serves();
    until("the list is kept", || !snapshot_store::read_path(dir.path()).snapshots.is_empty());
    let second = Running::start(&with(&fleet.directory, dir.path()), &[]);
    assert!(second.serves(), "from what the other kept");
    second.stop();
    first.stop();
    assert!(snapshot_store::read_path(dir.path()).problems.is_empty());
}

#[test]
fn restart_with_slow_or_stale_discovery_serves_from_the_cached_list() {
    for mode in [Mode::Slow(30_000), Mode::Stale] {
        let (fleet, dir) = (Fleet::new(), tempfile::tempdir().unwrap());
        let first = Running::start(&with(&fleet.directory, dir.path()), &[]);
        first.until_it_serves();
        fleet.tell(3, NodeState::Ready);
        fleet.tell(0, NodeState::Terminating);
        // News of the drain has been taken once work goes on to the other holders alone.
        until("the drain is learnt", || {
            let before = fleet.script.came_to(0);
            (0..10).all(|_| first.serves()) && fleet.script.came_to(0) == before
        });
        first.stop();
        fleet.directory.mode(mode);
        let before = fleet.script.came_to(0);
        let second = Running::start(&with(&fleet.directory, dir.path()), &[]);
        (0..20).for_each(|_| assert!(second.serves(), "{mode:?}"));
        assert_eq!(fleet.script.came_to(0), before, "{mode:?}: the end of the first kept what it had learnt");
        second.stop();
    }
}

#[test]
fn search_is_rejected_at_once_when_every_node_refuses_connections() {
    let closed = || TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    for protocol in ["sru", "z3950"] {
        let nodes: Vec<(SocketAddr, &str)> = (0..3).map(|_| (closed(), protocol)).collect();
        let broker = Running::start("", &nodes);
        for _ in 0..5 {
            let start = Instant::now();
            let answer = by_sru(broker.sru).unwrap();
            assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
            // It has 20 s, which is what this used to take.
            assert!(start.elapsed() < Duration::from_secs(10), "{:?}", start.elapsed());
        }
        broker.stop();
    }
}
