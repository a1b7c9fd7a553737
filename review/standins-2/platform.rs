//! Stand-ins of the platform: shard servers that speak frames, discovery, and the configuration.

use crate::common::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A part that a shard server has received.
#[derive(Clone, Debug)]
pub struct Part {
    /// When its frame's first byte came.
    pub at: u64,
    pub server: usize,
    pub id: String,
}

/// What a server does with a part that came at this time: the time until its answer, ms, or none if it hangs.
pub type Treat = Arc<dyn Fn(usize, u64, &Part) -> Option<u64> + Send + Sync>;

pub struct Servers {
    pub addrs: Vec<SocketAddr>,
    pub parts: Arc<Mutex<Vec<Part>>>,
}

/// Starts shard servers, each at a port of its own.
pub fn servers(count: usize, record: &Arc<Record>, treat: Treat) -> Servers {
    let parts = Arc::new(Mutex::new(Vec::new()));
    let mut addrs = Vec::new();
    for server in 0..count {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for a server");
        addrs.push(listener.local_addr().unwrap());
        let (record, treat, parts) = (record.clone(), treat.clone(), parts.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (record, treat, parts) = (record.clone(), treat.clone(), parts.clone());
                thread::spawn(move || serve(server, stream, &record, &treat, &parts));
            }
        });
    }
    Servers { addrs, parts }
}

fn read_exactly(stream: &mut TcpStream, buffer: &mut [u8]) -> Option<()> {
    stream.read_exact(buffer).ok()
}

fn serve(
    server: usize,
    mut stream: TcpStream,
    record: &Arc<Record>,
    treat: &Treat,
    parts: &Mutex<Vec<Part>>,
) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let writer = Arc::new(Mutex::new(stream.try_clone().ok()?));
    loop {
        let mut length = [0; 4];
        read_exactly(&mut stream, &mut length[..1])?;
        let at = record.now();
        read_exactly(&mut stream, &mut length[1..])?;
        let mut frame = vec![0; u32::from_be_bytes(length) as usize];
        read_exactly(&mut stream, &mut frame)?;
        if frame[0] == b'G' {
            let _ = writer.lock().unwrap().write_all(b"\0\0\0\x03GOK");
            continue;
        }
        if frame[0] != b'R' {
            let id = String::from_utf8_lossy(&frame[1..]).to_string();
            record.note(format!("server {server} was told that {id} is given up"));
            continue;
        }
        let mut rest = &frame[1..];
        while !rest.is_empty() {
            let end = rest.iter().position(|b| *b == b'\n')?;
            let line = String::from_utf8_lossy(&rest[..end]).to_string();
            let fields: Vec<&str> = line.split(' ').collect();
            let [id, _shard, list, size] = fields[..] else { return None };
            let size: usize = size.parse().ok()?;
            rest = &rest[end + 1 + size..];
            let wait = list.split(',').find_map(|f| f.strip_prefix("d=")?.parse().ok()).unwrap_or(0);
            let part = Part { at, server, id: id.into() };
            record.note_at(at, format!("ran: server {server} received the part {id}, d={wait}"));
            parts.lock().unwrap().push(part.clone());
            let Some(delay) = treat(server, at, &part) else {
                record.note(format!("server {server} hangs with {id}"));
                continue;
            };
            let (writer, record) = (writer.clone(), record.clone());
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(delay));
                let body = format!("Y{} OK 1 queue=0,latency_ms={delay},util=0.30\nv-{}", part.id, part.id);
                let mut message = (body.len() as u32).to_be_bytes().to_vec();
                message.extend_from_slice(body.as_bytes());
                let _ = writer.lock().unwrap().write_all(&message);
                record.note(format!("sent: server {server} answered {}", part.id));
            });
        }
    }
}

/// The JSON of a list of servers, each in the cell of its number.
pub fn list(version: u64, full: bool, servers: &[(usize, SocketAddr, &str)]) -> String {
    let servers: Vec<String> = servers
        .iter()
        .map(|(n, addr, state)| {
            format!(
                "{{\"id\":\"s-{n}\",\"addr\":\"{addr}\",\"zone\":\"kochi-dc\",\"kind\":\"small-2core\",\"cell\":{n},\
                 \"state\":\"{state}\",\"weight\":1.0,\"started_ms\":0}}"
            )
        })
        .collect();
    format!("{{\"version\":{version},\"full\":{full},\"servers\":[{}]}}", servers.join(","))
}

/// A discovery whose list stays as it is: whole list first, then an empty line every 2 s.
pub fn discovery(list: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port for discovery");
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let list = list.clone();
            thread::spawn(move || -> Option<()> {
                let mut head = Vec::new();
                while find(&head, b"\r\n\r\n").is_none() {
                    let mut bytes = [0; 1024];
                    let n = stream.read(&mut bytes).ok().filter(|n| *n > 0)?;
                    head.extend_from_slice(&bytes[..n]);
                }
                let text = format!(
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{list}\n\r\n",
                    list.len() + 1
                );
                stream.write_all(text.as_bytes()).ok()?;
                loop {
                    thread::sleep(Duration::from_secs(2));
                    stream.write_all(b"1\r\n\n\r\n").ok()?;
                }
            });
        }
    });
    addr
}

/// The broker's configuration: `slices` shards, each held by `span` servers in a ring of `positions` cells; the
/// classes of the site.
pub fn configuration(
    listen: SocketAddr,
    discovery: SocketAddr,
    further: &str,
    known: &str,
    positions: usize,
    slices: u32,
    span: u32,
) -> String {
    format!(
        r#"{{"name":"n1","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",{further}
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},
 "settings":{{"areas":["kochi-dc","thrissur-dc"],"callers":{{"marks_retry":true}},
 "ceilings":{{"cancel":true,"conn_idle_ns":30000000000,"cpu_us_per_request":0.0,"cpu_us_per_s":577177,
  "dial_timeout_ns":250000000,"max_retry_after_ns":2000000000,"open_cap":314,"peer_messages":false,"probes":false,
  "retry_after":true,"second_copies":true,"streams_per_conn":32,"try_limit":3}},
 "discovery":"on_request","family":"fanout",
 "family_info":{{"fetch_parts":[0,0,0],"min_share":[1.0,1.0,0.8],"need_by_class":[1.0,1.0,1.0],
  "partial_earns":[0.9,0.9,0.9],"per_call":16,"per_call_work_ns":38000000,"positions":{positions},"slices":{slices},
  "span":{span},"warm_keys":true}},
 "fleet_size":2,"my_zone":"kochi-dc","over_share_worth":0.1,"rank":0,
 "report":{{"fields":["queue","latency_ms","util"],"how":"inline"}},
 "request_classes":[
 {{"deadline_ns":7500000000,"effect":"safe","goal_time_ns":3000000000,"group":"all","late_worth":0.3,
  "name":"catalogue-search","stream":false,"window_ns":5000000000,"worth":2.0}},
 {{"deadline_ns":4000000000,"effect":"safe","goal_time_ns":2000000000,"group":"all","late_worth":0.3,
  "name":"score-lookup","stream":false,"window_ns":5000000000,"worth":1.0}},
 {{"deadline_ns":5000000000,"effect":"safe","goal_time_ns":2500000000,"group":"all","late_worth":0.0,
  "name":"usage-report","stream":false,"window_ns":5000000000,"worth":5.0}}],
 "result_mix":{{"whole":0.5,"worst_class":0.2,"worst_tenant":0.0,"worst_window":0.3}},
 "rules":{{"answer_slack_ns":20000000,"cold_ns":14000000000,"cold_share":0.19,"drain_grace_ns":2000000000,
  "fall_multiple":3.0,"must_ask_in_ns":10000000000,"tip_after_ns":1500000000}},
 "shapes":["small-2core"],
 "tariffs":{{"connection":0.0,"cross_zone":0.01,"discovery":0.0,"handshake":0.02,"late_fail":0.03,"moves":0.0,
  "origin":0.0,"peer":0.0,"probe":0.0,"waste":0.05}},
 "tenants":[],"tick_ns":5000000,"tier":0,"tiers":["catalogue-nodes"],"weights":"off","worth_by":"request"}}}}"#
    )
}

/// The bytes of a query for shards, in equal shares.
pub fn query(id: &str, class: &str, deadline_ms: u64, shards: &[u32]) -> String {
    let share = 1.0 / shards.len() as f64;
    let segments: Vec<String> =
        shards.iter().map(|s| format!("{{\"segment\":{s},\"boost\":{share}}}")).collect();
    let body = format!("{{\"segments\":[{}],\"text\":\"c41e77d0\"}}", segments.join(","));
    format!(
        "POST /api HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {id}\r\nReq-Kind: {class}\r\nReq-Deadline: {deadline_ms}m\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
