// Case 2: a bad client that uses the id of an open request is served, and its values are given to the other client.

#[path = "../standins/common.rs"]
mod common;
use common::*;
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

const SERVERS: usize = 12;
/// Work of a part, and of a part of an expensive query: 9 times 210 ms.
const WORK_MS: u64 = 150;
const EXPENSIVE_MS: u64 = 1_890;
/// Parts that wait at a server; more are turned away.
const WAITING_ROOM: usize = 24;
const ROUNDS: usize = 6;
/// Bad clients that send the same thing again as soon as it is turned away.
const BAD_CLIENTS: usize = 120;
/// Requests that they send in one round.
const BAD_REQUESTS: usize = 9_000;

static BAD_CLIENTS_SEND: AtomicBool = AtomicBool::new(false);
static TURNED_AWAY: AtomicUsize = AtomicUsize::new(0);
static NEXT_ID: AtomicUsize = AtomicUsize::new(0);

struct Part {
    id: String,
    shard: String,
    text: String,
    out: Arc<Mutex<TcpStream>>,
}

/// The waiting room of a shard server with two cores.
#[derive(Default)]
struct Room(Mutex<VecDeque<Part>>, Condvar);

fn answer(part: &Part, end: &str, value: &str) {
    let body = format!("Y{} {end} 17 queue=0,latency_ms={WORK_MS},util=0.2\n{value}", part.id);
    let mut frame = (body.len() as u32).to_be_bytes().to_vec();
    frame.extend(body.as_bytes());
    let _ = part.out.lock().unwrap().write_all(&frame);
}

/// A shard server: the value of a part names its shard and its text.
fn shard_server(number: usize, listener: TcpListener, record: Record) {
    let room = Arc::new(Room::default());
    for _ in 0..2 {
        let (room, record) = (room.clone(), record.clone());
        std::thread::spawn(move || {
            loop {
                let mut waiting = room.1.wait_while(room.0.lock().unwrap(), |w| w.is_empty()).unwrap();
                let part = waiting.pop_front().unwrap();
                drop(waiting);
                sleep(if part.text.starts_with("usual") { EXPENSIVE_MS } else { WORK_MS });
                let value = format!("value-{}-{}", part.shard, part.text);
                record.line(&format!("server {number}: part {} has run: {value}", part.id));
                answer(&part, "OK", &value);
            }
        });
    }
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let room = room.clone();
            std::thread::spawn(move || read_parts(stream, &room));
        }
    });
}

fn read_parts(mut stream: TcpStream, room: &Room) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let out = Arc::new(Mutex::new(stream.try_clone().ok()?));
    loop {
        let mut length = [0; 4];
        stream.read_exact(&mut length).ok()?;
        let mut frame = vec![0; u32::from_be_bytes(length) as usize];
        stream.read_exact(&mut frame).ok()?;
        if frame[0] != b'R' {
            continue;
        }
        let mut rest = &frame[1..];
        while !rest.is_empty() {
            let end = rest.iter().position(|b| *b == b'\n')?;
            let line = String::from_utf8_lossy(&rest[..end]).into_owned();
            let words: Vec<&str> = line.split(' ').collect();
            let length: usize = words.get(3)?.parse().ok()?;
            let text = String::from_utf8_lossy(&rest[end + 1..end + 1 + length]).into_owned();
            rest = &rest[end + 1 + length..];
            let part = Part { id: words[0].into(), shard: words[1].into(), text, out: out.clone() };
            let mut waiting = room.0.lock().unwrap();
            if waiting.len() >= WAITING_ROOM {
                drop(waiting);
                answer(&part, "REJECTED", "");
            } else {
                waiting.push_back(part);
                room.1.notify_one();
            }
        }
    }
}

/// Discovery: tells the whole list, then an empty line every 2 s.
fn discovery(listener: TcpListener, list: String) {
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let line = format!("{list}\n");
            std::thread::spawn(move || {
                read_http(&mut stream)?;
                let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
                let mut sent = stream.write_all(format!("{head}{:x}\r\n{line}\r\n", line.len()).as_bytes());
                while sent.is_ok() {
                    sleep(2000);
                    sent = stream.write_all(b"1\r\n\n\r\n");
                }
                Some(())
            });
        }
    });
}

fn request(id: &str, class: &str, deadline_ms: u64, shards: &[usize], text: &str) -> Vec<u8> {
    let weight = 1.0 / shards.len() as f64;
    let segments: Vec<String> =
        shards.iter().map(|s| format!("{{\"segment\":{s},\"boost\":{weight}}}")).collect();
    let body = format!("{{\"segments\":[{}],\"text\":\"{text}\"}}", segments.join(","));
    format!(
        "POST /api HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {id}\r\nReq-Kind: {class}\r\n\
         Req-Deadline: {deadline_ms}m\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Sends one request on a connection of its own.
fn ask(addr: SocketAddr, request: &[u8]) -> Option<Message> {
    let mut stream = TcpStream::connect(addr).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(9))).ok()?;
    stream.write_all(request).ok()?;
    read_http(&mut stream)
}

/// A bad client: one request at a time, the next as soon as one is turned away, each with a new id and with very
/// little time left. It reads whatever it is sent.
fn bad_client(number: usize, addr: SocketAddr) -> Option<()> {
    let mut stream = TcpStream::connect(addr).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(9))).ok()?;
    let mut buffer = vec![0; 4096];
    loop {
        if !BAD_CLIENTS_SEND.load(Ordering::SeqCst) {
            sleep(5);
            continue;
        }
        let id = format!("f{:014x}", NEXT_ID.fetch_add(1, Ordering::SeqCst));
        stream.write_all(&request(&id, "score-lookup", 5, &[number % 24], "again")).ok()?;
        let mut got = Vec::new();
        // Answers to these have no body.
        while !got.ends_with(b"\r\n\r\n") {
            let n = stream.read(&mut buffer).ok().filter(|n| *n > 0)?;
            got.extend_from_slice(&buffer[..n]);
        }
        TURNED_AWAY.fetch_add(1, Ordering::SeqCst);
    }
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


fn main() {
    let args = args();
    let record = args.record.clone();
    let listeners: Vec<TcpListener> =
        (0..SERVERS).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    let entries: Vec<String> = listeners
        .iter()
        .enumerate()
        .map(|(n, l)| {
            let zone = if n % 2 == 0 { "kochi-dc" } else { "thrissur-dc" };
            format!(
                "{{\"id\":\"s-{n}\",\"addr\":\"{}\",\"zone\":\"{zone}\",\"kind\":\"small-2core\",\"cell\":{n},\
                 \"state\":\"Ready\",\"weight\":1.0,\"started_ms\":0}}",
                l.local_addr().unwrap()
            )
        })
        .collect();
    let list = format!("{{\"version\":41,\"full\":true,\"servers\":[{}]}}", entries.join(","));
    for (n, listener) in listeners.into_iter().enumerate() {
        shard_server(n, listener, record.clone());
    }
    let discovery_listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let discovery_addr = discovery_listener.local_addr().unwrap();
    discovery(discovery_listener, list.clone());
    let listen = free_addrs(1)[0];
    let config = format!(
        "{{\"name\":\"n1\",\"listen\":\"{listen}\",\"discovery\":\"{discovery_addr}\",\
         \"seed\":\"8c1f30d27a5be964\",\"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\
         \"known\":{list},\"settings\":{SETTINGS}}}"
    );
    let path = format!("{}/config.json", args.tmp);
    std::fs::write(&path, config).unwrap();
    let mut broker = Broker::start(&args, "", &[("GW_CONFIG", path)], "broker.log");
    std::fs::write(format!("{}/broker.pid", args.tmp), broker.0.id().to_string()).unwrap();
    wait_ready(listen, &record);
    record.line("the broker is ready");
    for n in 0..30 {
        let _ = ask(listen, &request(&format!("w{n:015x}"), "score-lookup", 4000, &[1, 5, 9, 13], "first"));
    }
    for n in 0..BAD_CLIENTS {
        std::thread::spawn(move || {
            loop {
                let _ = bad_client(n, listen);
                sleep(5);
            }
        });
    }
    let (mut served, mut bad_served, foreign) = (0, 0, Arc::new(AtomicUsize::new(0)));
    for round in 1..=ROUNDS {
        let id = format!("9b1f03aa5c7e{round:04x}");
        let shards: Vec<usize> = (0..5).map(|k| (round * 4 + k) % 24).collect();
        let done = Arc::new(AtomicBool::new(false));
        let usual = {
            let (record, done, foreign) = (record.clone(), done.clone(), foreign.clone());
            let (id, shards) = (id.clone(), shards.clone());
            std::thread::spawn(move || {
                let text = format!("usual{round}");
                record.line(&format!("usual client: request {id}, shards {shards:?}, text {text}"));
                let answer = ask(listen, &request(&id, "catalogue-search", 7500, &shards, &text));
                done.store(true, Ordering::SeqCst);
                let Some(answer) = answer else {
                    record.line(&format!("usual client: request {id}: no answer"));
                    return false;
                };
                let body = String::from_utf8_lossy(&answer.body).into_owned();
                let own = body.matches(&format!("-{text}\"")).count();
                let ok = answer.first.contains(" 200");
                let broken = ok && own < shards.len();
                foreign.fetch_add(usize::from(broken), Ordering::SeqCst);
                let word = if broken { "BROKEN: values of another request: " } else { "" };
                record.line(&format!("usual client: request {id}: {word}{} {body}", answer.first));
                ok && !broken
            })
        };
        sleep(60);
        let before = TURNED_AWAY.load(Ordering::SeqCst);
        BAD_CLIENTS_SEND.store(args.trouble, Ordering::SeqCst);
        while args.trouble
            && TURNED_AWAY.load(Ordering::SeqCst) < before + BAD_REQUESTS
            && !done.load(Ordering::SeqCst)
        {
            sleep(2);
        }
        BAD_CLIENTS_SEND.store(false, Ordering::SeqCst);
        let sent = TURNED_AWAY.load(Ordering::SeqCst) - before;
        record.line(&format!("bad clients: {sent} requests were turned away"));
        // Another one uses the id of the open request, again as soon as it is turned away.
        while args.trouble && !done.load(Ordering::SeqCst) {
            let text = format!("other{round}");
            let asked = record.ms();
            let Some(answer) = ask(listen, &request(&id, "catalogue-search", 7500, &shards, &text)) else { break };
            let ok = answer.first.contains(" 200");
            // The usual client has no answer yet: its request was open all the time.
            let broken = ok && !done.load(Ordering::SeqCst);
            if broken || ok {
                let body = String::from_utf8_lossy(&answer.body).into_owned();
                let word = if broken { "BROKEN: served as if its request had run: " } else { "" };
                record.line(&format!("bad client: id {id}, text {text}, at {asked} ms: {word}{} {body}", answer.first));
            }
            bad_served += usize::from(broken);
            sleep(40);
        }
        served += usize::from(usual.join().unwrap_or(false));
        sleep(2500);
    }
    if broker.has_ended() {
        record.say("the broker has ended by itself");
    }
    drop(broker);
    let foreign = foreign.load(Ordering::SeqCst);
    record.say(&format!(
        "{ROUNDS} usual requests: {served} served with their own values, {foreign} with values of another request; {} \
         requests of bad clients turned away, {bad_served} with the id of an open request served",
        TURNED_AWAY.load(Ordering::SeqCst)
    ));
    if foreign + bad_served > 0 {
        record.say("BROKEN: lost (a request was served with what was made for another one, or instead of an error)");
        std::process::exit(1);
    }
    if served == 0 {
        cannot_run(&record, "nothing was served");
    }
}
