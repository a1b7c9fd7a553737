//! A broker's zone is partitioned from the zones of the shard servers for 6 s. Nothing is said: open connections stay
//! open and silent, and new ones never come up. Once that is over the broker must serve again.

use crate::common::*;
use crate::platform;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const SERVERS: usize = 12;
const SHARDS: u32 = 24;
/// Time of a part at a server, ms: a call (50) and a part of `player-lookup` (110 to 150).
const WORK: u64 = 50 + 130;
/// The cut, ms.
const CUT: std::ops::Range<u64> = 4_000..10_000;
/// From when on the broker must serve again, ms: 10 s after the cut.
const JUDGED_FROM: u64 = 20_000;
const END: u64 = 45_000;
/// Time between two queries, ms.
const INTERVAL: u64 = 250;

/// A network between the broker and one server, which can be cut.
fn network(server: SocketAddr, cut: &Arc<AtomicBool>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the network");
    let addr = listener.local_addr().unwrap();
    listener.set_nonblocking(true).expect("a listener that does not block");
    let cut = cut.clone();
    thread::spawn(move || {
        loop {
            if cut.load(Ordering::Relaxed) {
                // With a full queue of connections that are not accepted, further ones do not come up.
                for _ in 0..10_000 {
                    if TcpStream::connect_timeout(&addr, Duration::from_millis(30)).is_err() {
                        break;
                    }
                }
                while cut.load(Ordering::Relaxed) {
                    thread::sleep(Duration::from_millis(2));
                }
            }
            match listener.accept() {
                Ok((stream, _)) => _ = forward(stream, server, &cut),
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
    });
    addr
}

fn forward(client: TcpStream, server: SocketAddr, cut: &Arc<AtomicBool>) -> std::io::Result<()> {
    client.set_nonblocking(false)?;
    let server = TcpStream::connect(server)?;
    for (from, to) in [(client.try_clone()?, server.try_clone()?), (server, client)] {
        let cut = cut.clone();
        from.set_nodelay(true)?;
        from.set_read_timeout(Some(Duration::from_millis(20)))?;
        thread::spawn(move || copy(from, to, &cut));
    }
    Ok(())
}

fn copy(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut bytes = [0; 16 * 1024];
    loop {
        if cut.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(2));
            continue;
        }
        match from.read(&mut bytes) {
            Ok(0) => break,
            Ok(n) if to.write_all(&bytes[..n]).is_err() => break,
            Ok(_) => {}
            Err(e)
                if matches!(
                    e.kind(),
                    ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
                ) => {}
            Err(_) => break,
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}

/// Whether a server answers a probe over its network.
fn is_reachable(addr: SocketAddr) -> bool {
    let probe = || -> std::io::Result<()> {
        let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        stream.write_all(&[0, 0, 0, 1, b'G'])?;
        stream.read_exact(&mut [0; 7])
    };
    probe().is_ok()
}

/// The settings of the second deployment: lists are pushed, and probes are allowed.
fn configuration(listen: SocketAddr, discovery: SocketAddr, known: &str) -> String {
    format!(
        r#"{{"name":"n1","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},
 "settings":{{"areas":["colombo-a","colombo-b","kelaniya"],"callers":{{"marks_retry":true}},
 "ceilings":{{"cancel":true,"conn_idle_ns":15000000000,"cpu_us_per_request":0.0,"cpu_us_per_s":400000,
  "dial_timeout_ns":250000000,"max_retry_after_ns":500000000,"open_cap":400,"peer_messages":false,"probes":true,
  "retry_after":true,"second_copies":true,"streams_per_conn":100,"try_limit":3}},
 "discovery":"pushed","family":"fanout",
 "family_info":{{"fetch_parts":[0,0],"min_share":[0.7,1.0],"need_by_class":[1.0,1.0],"partial_earns":[0.9,0.9],
  "per_call":4,"per_call_work_ns":50000000,"positions":{SERVERS},"slices":{SHARDS},"span":3,"warm_keys":false}},
 "fleet_size":3,"my_zone":"kelaniya","over_share_worth":0.1,"rank":0,"report":{{"fields":[],"how":"none"}},
 "request_classes":[
 {{"deadline_ns":4000000000,"effect":"safe","goal_time_ns":2000000000,"group":"all","late_worth":0.0,
  "name":"game-search","stream":false,"window_ns":5000000000,"worth":3.0}},
 {{"deadline_ns":4000000000,"effect":"safe","goal_time_ns":2000000000,"group":"all","late_worth":0.1,
  "name":"player-lookup","stream":false,"window_ns":5000000000,"worth":1.0}}],
 "result_mix":{{"whole":0.4,"worst_class":0.2,"worst_tenant":0.0,"worst_window":0.4}},
 "rules":{{"answer_slack_ns":20000000,"cold_ns":16000000000,"cold_share":0.22,"drain_grace_ns":1000000000,
  "fall_multiple":2.0,"must_ask_in_ns":10000000000,"tip_after_ns":3000000000}},
 "shapes":["small-2c"],
 "tariffs":{{"connection":0.02,"cross_zone":0.01,"discovery":0.0,"handshake":0.0,"late_fail":0.03,"moves":0.0,
  "origin":0.0,"peer":0.0,"probe":0.0082,"waste":0.024}},
 "tenants":[],"tick_ns":5000000,"tier":0,"tiers":["archive-fleet"],"weights":"nominal","worth_by":"request"}}}}"#
    )
}

pub fn run(run: &Run) -> Verdict {
    let record = &run.record;
    let servers = platform::servers(SERVERS, record, Arc::new(|_, _, _| Some(WORK)));
    let cut = Arc::new(AtomicBool::new(false));
    let networks: Vec<SocketAddr> = servers.addrs.iter().map(|addr| network(*addr, &cut)).collect();
    let ready: Vec<_> = networks.iter().enumerate().map(|(n, a)| (n, *a, "Ready")).collect();
    // The servers stand in the two other zones in turn.
    let mut list = platform::list(41, true, &ready);
    for zone in ["colombo-a", "colombo-b"].iter().cycle().take(SERVERS) {
        list = list.replacen("kochi-dc", zone, 1);
    }
    let list = list.replace("small-2core", "small-2c");
    let agent = platform::discovery(list.clone());
    let client = free_addr();
    let file = run.tmp.join("config.json");
    if let Err(e) = std::fs::write(&file, configuration(client, agent, &list)) {
        return Verdict::CannotRun(e.to_string());
    }
    let mut broker = match run.broker("n1", "", &[("GW_CONFIG", file.display().to_string())]) {
        Ok(broker) => broker,
        Err(e) => return Verdict::CannotRun(e),
    };
    if let Err(e) = broker.wait_ready(client) {
        return Verdict::CannotRun(e);
    }
    let (asked, served) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let threads = Mutex::new(Vec::new());
    let mut reachable = 0;
    for n in 0.. {
        let now = record.now();
        if now >= END {
            break;
        }
        let is_cut = run.trouble && CUT.contains(&now);
        if cut.swap(is_cut, Ordering::Relaxed) != is_cut {
            record.note(if is_cut {
                "the zone of the broker is partitioned from the zones of the servers"
            } else {
                "the partition is over"
            });
        }
        if reachable == 0 && now > JUDGED_FROM {
            reachable = networks.iter().filter(|addr| is_reachable(**addr)).count();
            record.note(format!("{reachable} of {SERVERS} servers answer a probe over the same network"));
        }
        let (record, asked, served) = (record.clone(), asked.clone(), served.clone());
        threads.lock().unwrap().push(thread::spawn(move || {
            // About three in ten are searches over all shards.
            let (class, shards): (&str, Vec<u32>) = if n % 10 < 3 {
                ("game-search", (0..SHARDS).collect())
            } else {
                ("player-lookup", (0..5).map(|i| (n as u32 * 5 + i) % SHARDS).collect())
            };
            let id = format!("9b1f03aa5c7e{n:04x}");
            let query = platform::query(&id, class, 4_000, &shards);
            let sent = record.now();
            record.note_at(sent, format!("sent: {class} {id}"));
            let answer = Http::connect(client).map_err(|e| e.to_string()).and_then(|mut http| {
                http.stream.write_all(query.as_bytes()).map_err(|e| e.to_string())?;
                http.answer(Duration::from_secs(6))
            });
            let status = answer.map(|a| a.status.to_string()).unwrap_or_else(|e| e);
            record.note(format!("answered: {class} {id}: {status}"));
            if sent >= JUDGED_FROM {
                asked.fetch_add(1, Ordering::Relaxed);
                served.fetch_add(u64::from(status == "200"), Ordering::Relaxed);
            }
        }));
        thread::sleep(Duration::from_millis(INTERVAL));
    }
    threads.into_inner().unwrap().into_iter().for_each(|t| _ = t.join());
    let (asked, served) = (asked.load(Ordering::Relaxed), served.load(Ordering::Relaxed));
    let parts = servers.parts.lock().unwrap();
    let before = parts.iter().filter(|p| p.at < CUT.start).count();
    let after = parts.iter().filter(|p| p.at >= JUDGED_FROM).count();
    if before == 0 || reachable < SERVERS || asked < 15 {
        return Verdict::CannotRun(format!(
            "{before} parts before, {reachable} servers reachable, {asked} queries"
        ));
    }
    let text = format!(
        "from {JUDGED_FROM} to {END} ms {served} of {asked} queries were served and {after} parts sent, with all servers reachable"
    );
    if served == 0 && after == 0 { Verdict::Broken(text) } else { Verdict::Held(text) }
}
