//! The restart of all brokers once on real sockets: kept lists on disk, discovery down, stand-in nodes of which one
//! is gone, one was learnt to drain, and one has just started.

use crate::demo::by_sru;
use crate::directory::{Directory, Mode};
use crate::restart::{AGES, Arm, Line, kept};
use crate::standins::{Act, Script, Wire, node};
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
/// Searches that each broker gets, one after the other.
const SEARCHES: usize = 30;
/// Time in which an answer is wanted.
const AIM: Duration = Duration::from_millis(1000);
/// What a warm node takes for a part, and a cold one, ms; parts within 1.5 s that push the cold one over.
const WORK: (u64, u64) = (10, 60);
const MOST_COLD: usize = 60;

type Failure = Box<dyn Error + Send + Sync>;

fn operator(directory: SocketAddr, keep: Option<&Path>, nodes: &[NodeRecord]) -> String {
    let keep = keep.map_or(String::new(), |k| format!("keep = {:?}\n", k.to_string_lossy()));
    let mut text = format!(
        "name = \"b\"\nzone = \"a\"\nbrokers = {BROKERS}\n[membership]\ndiscovery = \"{directory}\"\n{keep}[partitions]\n\
         count = {NODES}\ncells = {NODES}\nholders = 4\ndatabase = \"part-{{partition}}\"\n[[class]]\nname = \"c\"\n\
         aim_ms = {}\ndeadline_ms = 4000\n[[database]]\nname = \"scores\"\nclass = \"c\"\n\
         [[listener]]\nprotocol = \"sru\"\nlisten = \"127.0.0.1:0\"\n",
        AIM.as_millis()
    );
    for f in nodes {
        let addr = f.addr.map_or(String::new(), |a| a.to_string());
        text += &format!(
            "[[node]]\nid = \"{}\"\nprotocol = \"sru\"\naddress = \"{addr}\"\nzone = \"a\"\ncell = {}\n",
            f.id, f.cell
        );
    }
    text
}

/// Starts a broker, asks it, stops it: the times of its answers, and how many failed to be one.
fn ask(text: &str) -> Result<(Vec<Duration>, u64), Failure> {
    let operator = OperatorConfig::read(text)?;
    let (tell, told) = std::sync::mpsc::channel();
    let broker = std::thread::spawn(move || -> Result<(), pebbleturn::server::BrokerError> {
        let (mut broker, addrs) = catalogue::broker(operator)?;
        let _ = tell.send((addrs[0], broker.shutdown_handle()?));
        broker.run()
    });
    let (addr, stopper) = told.recv()?;
    let (mut times, mut lost) = (Vec::new(), 0);
    for _ in 0..SEARCHES {
        let start = Instant::now();
        match by_sru(addr) {
            Ok(answer) if answer.starts_with("HTTP/1.1 200") => times.push(start.elapsed()),
            Ok(answer) if answer.starts_with("HTTP/1.1 50") => {}
            Ok(_) | Err(_) => lost += 1,
        }
    }
    stopper.wake()?;
    broker.join().map_err(|_| "a broker's thread is lost")??;
    Ok((times, lost))
}

fn play(age_s: u64, arm: Arm, dir: &Path) -> Result<Line, Failure> {
    let (script, all) = (Script::default(), (0..NODES as u32).collect::<Vec<u32>>());
    script.set(&(0..NODES).collect::<Vec<_>>(), &all, Act::Late(WORK.0));
    let (gone, drained, cold) = (0, 1, 2);
    script.set(&[drained], &all, Act::Busy);
    script.restart_cold(cold, &all, WORK.1, MOST_COLD);
    let mut facts = Vec::new();
    for n in 0..NODES {
        // Nobody listens where the one that is gone was.
        let at = if n == gone {
            TcpListener::bind("127.0.0.1:0")?.local_addr()?
        } else {
            node(Wire::Sru, n, script.clone())
        };
        let state = if n == drained { NodeState::Terminating } else { NodeState::Ready };
        let (id, kind) = (format!("n-{n}"), "sru".into());
        facts.push(NodeRecord {
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
    directory.mode(Mode::Down);
    let mut texts = Vec::new();
    for b in 0..BROKERS {
        let place = dir.join(format!("{age_s}-{arm:?}-{b}"));
        let at = Clock::start().now().saturating_sub(age_s * 1_000_000_000);
        if arm == Arm::Weighed {
            std::fs::create_dir_all(&place)?;
            snapshot_store::write(&Disk, &place, &kept(&facts, at))?;
        }
        let nodes = if arm == Arm::Full { &facts[..] } else { &[] };
        let kept = (arm == Arm::Weighed).then_some(place.as_path());
        texts.push(operator(directory.addr, kept, nodes));
    }
    let asking: Vec<_> = texts.into_iter().map(|t| std::thread::spawn(move || ask(&t))).collect();
    let (mut times, mut lost) = (Vec::new(), 0);
    for a in asking {
        let (t, l) = a.join().map_err(|_| "a client's thread is lost")??;
        times.extend(t);
        lost += l;
    }
    times.sort_unstable();
    let served = times.iter().filter(|t| **t <= AIM).count();
    let p99 = times.get(times.len().saturating_sub(1) * 99 / 100).map_or(0.0, |t| t.as_secs_f64() * 1e3);
    Ok(Line {
        age_s,
        arm,
        service: served as f64 / (SEARCHES * BROKERS) as f64,
        p99_ms: p99.round(),
        late_drain_sends: script.came_to(drained) as u64,
        cold_falls: script.fallen() as u64,
        lost,
    })
}

/// Every age once, with no list, with full trust and with weighed trust; prints a line each.
pub fn restart(json: bool) -> Result<(), Failure> {
    let dir: PathBuf = std::env::temp_dir().join(format!("pebbleturn-lab-{}", std::process::id()));
    if !json {
        println!("{}", Line::HEAD);
    }
    let played = || -> Result<(), Failure> {
        for (age, _) in AGES {
            for arm in [Arm::None, Arm::Full, Arm::Weighed] {
                let line = play(age, arm, &dir)?;
                if json { println!("{}", serde_json::to_string(&line)?) } else { println!("{line}") }
            }
        }
        Ok(())
    };
    let ended = played();
    let _ = std::fs::remove_dir_all(&dir);
    ended
}
