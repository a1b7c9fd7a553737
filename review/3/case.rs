// Case 3: a new process that takes over does not learn of drains that the old one is told after its start.

#[path = "../standins/common.rs"]
mod common;
use common::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const SERVERS: usize = 12;
const CELLS: usize = 12;
const WORK_MS: u64 = 150;
/// From then on discovery has too many callers: a call waits for 2 s and ends in 503. Open watches go on.
const CROWDED_FROM_MS: u64 = 4_000;
const CROWDED_FOR_MS: u64 = 24_000;
const UPGRADE_AT_MS: u64 = 5_000;
const END_MS: u64 = 29_000;
const BETWEEN_QUERIES_MS: u64 = 70;
/// News counts as told 2 s after the yes; then the grace with the 50 ms of the rules on sockets, and 200 ms
/// for this machine.
const BOUND_MS: u64 = 2_000 + 2_000 + 50 + 200;

static DRAINED: AtomicBool = AtomicBool::new(false);
/// When the new process said yes; the drains were written to the old process after that.
static DRAINED_AT: AtomicU64 = AtomicU64::new(0);
static PARTS: AtomicUsize = AtomicUsize::new(0);
static PARTS_TO_DRAINING: AtomicUsize = AtomicUsize::new(0);
static LATE: AtomicUsize = AtomicUsize::new(0);
static TOLD_AT: AtomicU64 = AtomicU64::new(0);
fn id(server: usize) -> String {
    format!("s-{:08x}", 0x5be2_0000u32 + server as u32)
}

/// A quarter of the servers begin to drain.
fn drains(server: usize) -> bool {
    server % 4 == 1
}

fn entry(server: usize, addr: SocketAddr) -> String {
    let state = if drains(server) && DRAINED.load(Ordering::SeqCst) { "Terminating" } else { "Ready" };
    let zone = if server % 2 == 0 { "kochi-dc" } else { "thrissur-dc" };
    format!(
        "{{\"id\":\"{}\",\"addr\":\"{addr}\",\"zone\":\"{zone}\",\"kind\":\"small-2core\",\"cell\":{},\
         \"state\":\"{state}\",\"weight\":1.0,\"started_ms\":0}}",
        id(server),
        server % CELLS
    )
}

fn whole_list(version: u64, addrs: &[SocketAddr]) -> String {
    let entries: Vec<String> = addrs.iter().enumerate().map(|(n, a)| entry(n, *a)).collect();
    format!("{{\"version\":{version},\"full\":true,\"servers\":[{}]}}", entries.join(","))
}

/// What changed after version 41.
fn changes(addrs: &[SocketAddr]) -> String {
    let drained = DRAINED.load(Ordering::SeqCst);
    let entries: Vec<String> =
        addrs.iter().enumerate().filter(|(n, _)| drained && drains(*n)).map(|(n, a)| entry(n, *a)).collect();
    format!("{{\"version\":{},\"full\":false,\"servers\":[{}]}}", version(), entries.join(","))
}

fn version() -> u64 {
    if DRAINED.load(Ordering::SeqCst) { 42 } else { 41 }
}

/// One shard server: answers each part after its work.
fn shard_server(number: usize, listener: TcpListener, record: Record) {
    let serve = move || {
        for stream in listener.incoming().flatten() {
            let record = record.clone();
            let builder = std::thread::Builder::new().stack_size(96 * 1024);
            let _ = builder.spawn(move || serve_broker(number, stream, &record));
        }
    };
    std::thread::Builder::new().stack_size(96 * 1024).spawn(serve).unwrap();
}

fn serve_broker(number: usize, mut stream: TcpStream, record: &Record) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    loop {
        let mut length = [0; 4];
        stream.read_exact(&mut length).ok()?;
        let at = record.ms();
        let mut frame = vec![0; u32::from_be_bytes(length) as usize];
        stream.read_exact(&mut frame).ok()?;
        if frame[0] != b'R' {
            continue;
        }
        let (mut rest, mut answers) = (&frame[1..], Vec::new());
        while !rest.is_empty() {
            let end = rest.iter().position(|b| *b == b'\n')?;
            let line = String::from_utf8_lossy(&rest[..end]).into_owned();
            let words: Vec<&str> = line.split(' ').collect();
            rest = &rest[end + 1 + words.get(3)?.parse::<usize>().ok()?..];
            PARTS.fetch_add(1, Ordering::SeqCst);
            if drains(number) && DRAINED.load(Ordering::SeqCst) {
                let since = at.saturating_sub(DRAINED_AT.load(Ordering::SeqCst));
                PARTS_TO_DRAINING.fetch_add(1, Ordering::SeqCst);
                let late = since > BOUND_MS;
                LATE.fetch_add(usize::from(late), Ordering::SeqCst);
                let word = if late { "BROKEN: " } else { "" };
                record.line(&format!(
                    "server {}: {word}gets part {}, {since} ms after the drain",
                    id(number),
                    words[0]
                ));
            }
            // A draining server finishes what it has and turns new parts away.
            let turned_away = drains(number) && DRAINED.load(Ordering::SeqCst);
            let (end, value) =
                if turned_away { ("REJECTED", String::new()) } else { ("OK", format!("value-{}", words[1])) };
            let body = format!("Y{} {end} 17 queue=0,latency_ms={WORK_MS},util=0.2\n{value}", words[0]);
            answers.extend((body.len() as u32).to_be_bytes());
            answers.extend(body.as_bytes());
        }
        sleep(if drains(number) && DRAINED.load(Ordering::SeqCst) { 1 } else { WORK_MS });
        stream.write_all(&answers).ok()?;
    }
}


/// Discovery: answers a watch with the changes, then tells changes and sends an empty line every 2 s.
fn discovery(addr: SocketAddr, addrs: Arc<Vec<SocketAddr>>, trouble: bool, record: Record) {
    let listener = TcpListener::bind(addr).unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (addrs, record) = (addrs.clone(), record.clone());
            std::thread::spawn(move || watch(stream, &addrs, trouble, &record));
        }
    });
}

fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

fn watch(mut stream: TcpStream, addrs: &[SocketAddr], trouble: bool, record: &Record) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let request = read_http(&mut stream)?;
    let crowded = (CROWDED_FROM_MS..CROWDED_FROM_MS + CROWDED_FOR_MS).contains(&record.ms());
    if trouble && crowded {
        record.line(&format!("discovery: {}: waits, then 503", request.first));
        sleep(2000);
        stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n").ok()?;
        return None;
    }
    let mut told = DRAINED.load(Ordering::SeqCst);
    record.line(&format!("discovery: {}: answered, drains told: {told}", request.first));
    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
    stream.write_all(&chunk(&(changes(addrs) + "\n"))).ok()?;
    let mut beat = record.ms();
    loop {
        sleep(20);
        if !told && DRAINED.load(Ordering::SeqCst) {
            told = true;
            if stream.write_all(&chunk(&(changes(addrs) + "\n"))).is_err() {
                record.line("discovery: a watch is closed");
                return None;
            }
            let _ = TOLD_AT.compare_exchange(0, record.ms(), Ordering::SeqCst, Ordering::SeqCst);
            record.line("discovery: writes the drains on an open watch");
        }
        if record.ms() >= beat + 2000 {
            beat = record.ms();
            stream.write_all(&chunk("\n")).ok()?;
        }
    }
}

fn query(number: usize, addr: SocketAddr, record: &Record, ended: &Mutex<[usize; 3]>) -> Option<()> {
    let outcome = (|| {
        let mut stream = TcpStream::connect(addr).ok()?;
        stream.set_read_timeout(Some(Duration::from_millis(4600))).ok()?;
        let first = number * 5 % 24;
        let segments: Vec<String> =
            (0..4).map(|n| format!("{{\"segment\":{},\"boost\":0.25}}", (first + n) % 24)).collect();
        let body = format!("{{\"segments\":[{}],\"text\":\"c41e77d0\"}}", segments.join(","));
        let request = format!(
            "POST /api HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: q{number:015x}\r\nReq-Kind: score-lookup\r\n\
             Cookie: key={:016x}\r\nReq-Deadline: 4000m\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
            number % 500,
            body.len()
        );
        stream.write_all(request.as_bytes()).ok()?;
        read_http(&mut stream).map(|m| m.first)
    })();
    let outcome = outcome.unwrap_or("no answer".into());
    let class = if outcome.contains(" 200") { 0 } else { usize::from(outcome == "no answer") + 1 };
    ended.lock().unwrap()[class] += 1;
    record.line(&format!("client: query {number}: {outcome}"));
    Some(())
}

/// The settings of the site on the wire page, for the brokers of a small deployment.
const SETTINGS: &str = r#"{"areas":["kochi-dc","thrissur-dc"],"callers":{"marks_retry":true},
"ceilings":{"cancel":true,"conn_idle_ns":30000000000,"cpu_us_per_request":0.0,"cpu_us_per_s":577177,
"dial_timeout_ns":250000000,"max_retry_after_ns":2000000000,"open_cap":314,"peer_messages":false,"probes":false,
"retry_after":true,"second_copies":true,"streams_per_conn":32,"try_limit":3},
"discovery":"on_request","family":"fanout",
"family_info":{"fetch_parts":[0,0,0],"min_share":[1.0,1.0,0.8],"need_by_class":[1.0,1.0,1.0],
"partial_earns":[0.9,0.9,0.9],"per_call":16,"per_call_work_ns":38000000,"positions":12,"slices":24,"span":4,
"warm_keys":true},
"fleet_size":3,"my_zone":"kochi-dc","over_share_worth":0.1,"rank":0,
"report":{"fields":["q","lat_ms","busy"],"how":"inline"},
"request_classes":[
{"deadline_ns":7500000000,"effect":"safe","goal_time_ns":3000000000,"group":"all","late_worth":0.3,"name":"catalogue-search","stream":false,"window_ns":5000000000,"worth":2.0},
{"deadline_ns":4000000000,"effect":"safe","goal_time_ns":2000000000,"group":"all","late_worth":0.3,"name":"score-lookup","stream":false,"window_ns":5000000000,"worth":1.0},
{"deadline_ns":5000000000,"effect":"safe","goal_time_ns":2500000000,"group":"all","late_worth":0.0,"name":"usage-report","stream":false,"window_ns":5000000000,"worth":5.0}],
"result_mix":{"whole":0.5,"worst_class":0.2,"worst_tenant":0.0,"worst_window":0.3},
"rules":{"answer_slack_ns":20000000,"cold_ns":14000000000,"cold_share":0.19,"drain_grace_ns":2000000000,"fall_multiple":3.0,"must_ask_in_ns":10000000000,"tip_after_ns":1500000000},
"shapes":["small-2core"],
"tariffs":{"connection":0.0,"cross_zone":0.01,"discovery":0.0,"handshake":0.02,"late_fail":0.03,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.0,"waste":0.05},
"tenants":[],"tick_ns":5000000,"tier":0,"tiers":["catalogue-nodes"],"weights":"off","worth_by":"request"}"#;


/// Starts a process of the broker, which inherits the clients' socket as descriptor 4.
fn start(args: &Args, clients: &TcpListener, ops: SocketAddr, config: &str, log: &str) -> Broker {
    let fd: OwnedFd = clients.try_clone().unwrap().into();
    let mut command = Command::new("/bin/sh");
    command.arg("-c").arg(format!("exec 4<&0 </dev/null; {}", args.run)).current_dir(&args.root);
    command.env("TMPDIR", &args.tmp).env("GW_CONFIG", config).env("GW_OPS", ops.to_string());
    command.env("GW_INHERITED_FD", "4").stdin(Stdio::from(fd)).stdout(Stdio::null());
    command.stderr(std::fs::File::create(format!("{}/{log}", args.tmp)).unwrap());
    Broker(command.spawn().expect("the broker's command"))
}

fn wait_yes(ops: SocketAddr, record: &Record) {
    for _ in 0..300 {
        if operate(ops, "STATUS").is_some_and(|a| a.starts_with("SUCCESS")) {
            return;
        }
        sleep(20);
    }
    cannot_run(record, "no yes within 6 s")
}

fn main() {
    let args = args();
    let record = args.record.clone();
    let listeners: Vec<TcpListener> =
        (0..SERVERS).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    let addrs: Arc<Vec<SocketAddr>> = Arc::new(listeners.iter().map(|l| l.local_addr().unwrap()).collect());
    for (n, listener) in listeners.into_iter().enumerate() {
        shard_server(n, listener, record.clone());
    }
    let own = free_addrs(3);
    let (discovery_addr, ops) = (own[0], [own[1], own[2]]);
    let clients = TcpListener::bind("127.0.0.1:0").unwrap();
    let listen = clients.local_addr().unwrap();
    discovery(discovery_addr, addrs.clone(), args.trouble, record.clone());
    let config = format!(
        "{{\"name\":\"n1\",\"listen\":\"{listen}\",\"discovery\":\"{discovery_addr}\",\
         \"seed\":\"8c1f30d27a5be964\",\"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\
         \"known\":{},\"settings\":{SETTINGS}}}",
        whole_list(41, &addrs)
    );
    let path = format!("{}/config.json", args.tmp);
    std::fs::write(&path, config).unwrap();
    let old = start(&args, &clients, ops[0], &path, "old.log");
    std::fs::write(format!("{}/broker.pid", args.tmp), old.0.id().to_string()).unwrap();
    wait_yes(ops[0], &record);
    record.line("the old process serves");
    let mut old = Some(old);
    let mut new: Option<Broker> = None;
    let mut yes_at = 0;
    let ended = Arc::new(Mutex::new([0; 3]));
    let mut n = 0;
    while record.ms() < END_MS {
        if new.is_none() && record.ms() >= UPGRADE_AT_MS {
            let process = start(&args, &clients, ops[1], &path, "new.log");
            let pid = process.0.id();
            std::fs::write(
                format!("{}/broker.pid", args.tmp),
                format!("{} {pid}", old.as_ref().map_or(pid, |o| o.0.id())),
            )
            .unwrap();
            new = Some(process);
            wait_yes(ops[1], &record);
            yes_at = record.ms();
            record.line("the new process says yes");
        }
        if new.is_some() && !DRAINED.load(Ordering::SeqCst) && record.ms() >= yes_at + 300 {
            DRAINED_AT.store(record.ms(), Ordering::SeqCst);
            DRAINED.store(true, Ordering::SeqCst);
            record.line("discovery lists a quarter of the shard servers as Terminating from now on");
        }
        if new.is_some() && record.ms() >= yes_at + 1000 && let Some(process) = &old {
            let pid = process.0.id();
            let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -TERM {pid}")).status();
            record.line("SIGTERM to the old process");
            // It ends by itself within some seconds.
            let mut process = old.take().unwrap();
            std::thread::spawn(move || {
                for _ in 0..100 {
                    if process.has_ended() {
                        break;
                    }
                    sleep(50);
                }
            });
        }
        n += 1;
        let (record, ended) = (record.clone(), ended.clone());
        std::thread::spawn(move || query(n, listen, &record, &ended));
        sleep(BETWEEN_QUERIES_MS);
    }
    sleep(1000);
    if new.as_mut().is_none_or(|b| b.has_ended()) {
        cannot_run(&record, "the new process does not run");
    }
    drop(new);
    if TOLD_AT.load(Ordering::SeqCst) == 0 {
        cannot_run(&record, "the drains were written to no process");
    }
    let [served, other, none] = *ended.lock().unwrap();
    let late = LATE.load(Ordering::SeqCst);
    record.say(&format!(
        "{n} queries: {served} served, {other} refused or failed, {none} without an answer; {} parts sent, {} of \
         them to draining servers, {late} of these more than {BOUND_MS} ms after the drain",
        PARTS.load(Ordering::SeqCst),
        PARTS_TO_DRAINING.load(Ordering::SeqCst)
    ));
    if late > 0 {
        record.say("BROKEN: drain (new work was sent to draining servers after the grace)");
        std::process::exit(1);
    }
    if served == 0 {
        cannot_run(&record, "nothing was served");
    }
}
