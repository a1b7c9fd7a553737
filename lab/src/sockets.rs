//! One restart of all brokers on real sockets: stored snapshots on disk, discovery down, and stand-in nodes
//! of which one is gone, one is known to drain, and one has just started.

use crate::demo::search_over_sru;
use crate::directory::{Directory, Mode};
use crate::restart::{AGES, Arm, RestartResult, snapshot_of};
use crate::standins::{Behavior, NodeScript, WireProtocol, node};
use pebbleturn::config::OperatorConfig;
use pebbleturn::frontends::catalogue;
use pebbleturn::membership::{NodeRecord, NodeState};
use pebbleturn::net::Clock;
use pebbleturn::storage::{Disk, snapshot_store};
use std::error::Error;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

const NODES: usize = 8;
const BROKERS: usize = 3;
/// Searches sent to each broker, one after the other.
const SEARCHES: usize = 30;
const LATENCY_OBJECTIVE: Duration = Duration::from_millis(1000);
/// Service time of a part on a warm node and on a cold one.
const PART_TIMES_MS: (u64, u64) = (10, 60);
/// Parts within 1.5 s that a cold node handles; more overload it.
const MAX_COLD_PARTS: usize = 60;

type BoxError = Box<dyn Error + Send + Sync>;

fn operator_file(directory: SocketAddr, store_dir: Option<&Path>, nodes: &[NodeRecord]) -> String {
    let keep = store_dir.map_or(String::new(), |k| format!("keep = {:?}\n", k.to_string_lossy()));
    let mut text = format!(
        "name = \"b\"\nzone = \"a\"\nbrokers = {BROKERS}\n[membership]\ndiscovery = \"{directory}\"\n{keep}[partitions]\n\
         count = {NODES}\ncells = {NODES}\nholders = 4\ndatabase = \"part-{{partition}}\"\n[[class]]\nname = \"c\"\n\
         aim_ms = {}\ndeadline_ms = 4000\n[[database]]\nname = \"scores\"\nclass = \"c\"\n\
         [[listener]]\nprotocol = \"sru\"\nlisten = \"127.0.0.1:0\"\n",
        LATENCY_OBJECTIVE.as_millis()
    );
    for node in nodes {
        let addr = node.addr.map_or(String::new(), |a| a.to_string());
        text += &format!(
            "[[node]]\nid = \"{}\"\nprotocol = \"sru\"\naddress = \"{addr}\"\nzone = \"a\"\ncell = {}\n",
            node.id, node.cell
        );
    }
    text
}

/// Starts a broker, sends it the searches and stops it. Returns the times of its complete answers, and the
/// number of searches that had no response or an unexpected one.
fn query_broker(text: &str) -> Result<(Vec<Duration>, u64), BoxError> {
    let operator = OperatorConfig::read(text)?;
    let (sender, receiver) = std::sync::mpsc::channel();
    let broker = std::thread::spawn(move || -> Result<(), pebbleturn::server::BrokerError> {
        let (mut broker, addrs) = catalogue::broker(operator)?;
        let _ = sender.send((addrs[0], broker.shutdown_handle()?));
        broker.run()
    });
    let (addr, shutdown_handle) = receiver.recv()?;
    let (mut times, mut lost) = (Vec::new(), 0);
    for _ in 0..SEARCHES {
        let start = Instant::now();
        match search_over_sru(addr) {
            Ok(answer) if answer.starts_with("HTTP/1.1 200") => times.push(start.elapsed()),
            Ok(answer) if answer.starts_with("HTTP/1.1 50") => {}
            Ok(_) | Err(_) => lost += 1,
        }
    }
    shutdown_handle.wake()?;
    broker.join().map_err(|_| "a broker's thread panicked")??;
    Ok((times, lost))
}

fn run_once(age_s: u64, arm: Arm, dir: &Path) -> Result<RestartResult, BoxError> {
    let (script, all) = (NodeScript::default(), (0..NODES as u32).collect::<Vec<u32>>());
    script.set(&(0..NODES).collect::<Vec<_>>(), &all, Behavior::Delayed(PART_TIMES_MS.0));
    let (gone, drained, cold) = (0, 1, 2);
    script.set(&[drained], &all, Behavior::Reject);
    script.restart_cold(cold, &all, PART_TIMES_MS.1, MAX_COLD_PARTS);
    let mut records = Vec::new();
    for n in 0..NODES {
        // Nothing listens at the address of the node that is gone.
        let at = if n == gone {
            TcpListener::bind("127.0.0.1:0")?.local_addr()?
        } else {
            node(WireProtocol::Sru, n, script.clone())
        };
        let state = if n == drained { NodeState::Terminating } else { NodeState::Ready };
        let (id, kind) = (format!("n-{n}"), "sru".into());
        records.push(NodeRecord {
            id,
            addr: Some(at),
            zone: "a".into(),
            kind,
            cell: n as u32,
            state,
            started: 0,
        });
    }
    let directory = Directory::start(vec![]);
    directory.set_mode(Mode::Down);
    let mut texts = Vec::new();
    for b in 0..BROKERS {
        let store_dir = dir.join(format!("{age_s}-{arm:?}-{b}"));
        let at = Clock::start().now().saturating_sub(age_s * 1_000_000_000);
        if arm == Arm::Weighed {
            std::fs::create_dir_all(&store_dir)?;
            snapshot_store::write(&Disk, &store_dir, &snapshot_of(&records, at))?;
        }
        let nodes = if arm == Arm::Full { &records[..] } else { &[] };
        let stored_in = (arm == Arm::Weighed).then_some(store_dir.as_path());
        texts.push(operator_file(directory.addr, stored_in, nodes));
    }
    let clients: Vec<_> = texts.into_iter().map(|t| std::thread::spawn(move || query_broker(&t))).collect();
    let (mut times, mut lost) = (Vec::new(), 0);
    for client in clients {
        let (t, l) = client.join().map_err(|_| "a client's thread panicked")??;
        times.extend(t);
        lost += l;
    }
    times.sort_unstable();
    let served = times.iter().filter(|t| **t <= LATENCY_OBJECTIVE).count();
    let p99 = times.get(times.len().saturating_sub(1) * 99 / 100).map_or(0.0, |t| t.as_secs_f64() * 1e3);
    Ok(RestartResult {
        age_s,
        arm,
        service: served as f64 / (SEARCHES * BROKERS) as f64,
        p99_ms: p99.round(),
        late_drain_sends: script.parts_received_by(drained) as u64,
        cold_falls: script.overloaded_nodes() as u64,
        lost,
    })
}

/// Runs every age once with no list, once with full trust and once with weighed trust, and prints a line for
/// each.
pub fn restart(json: bool) -> Result<(), BoxError> {
    let dir: PathBuf = std::env::temp_dir().join(format!("pebbleturn-lab-{}", std::process::id()));
    if !json {
        println!("{}", RestartResult::TABLE_HEADER);
    }
    let run_all = || -> Result<(), BoxError> {
        for (age, _) in AGES {
            for arm in [Arm::None, Arm::Full, Arm::Weighed] {
                let outcome = run_once(age, arm, &dir)?;
                if json { println!("{}", serde_json::to_string(&outcome)?) } else { println!("{outcome}") }
            }
        }
        Ok(())
    };
    let result = run_all();
    let _ = std::fs::remove_dir_all(&dir);
    result
}
