//! Stand-ins that hold, cut or release a connection at a stated event, and clients that write raw bytes.

use super::*;
use pebbleturn_lab::standins::*;
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::time::Instant;

/// A server to which no connection is established until it is released: its accept queue is full.
pub struct BlockedListener {
    listener: TcpListener,
    _filler: TcpStream,
    pub addr: SocketAddr,
}

impl BlockedListener {
    pub fn new() -> BlockedListener {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(0).unwrap();
        socket.set_read_timeout(Some(HANG_TIMEOUT)).unwrap();
        let listener: TcpListener = socket.into();
        let addr = listener.local_addr().unwrap();
        BlockedListener { _filler: TcpStream::connect(addr).unwrap(), listener, addr }
    }

    /// Waits until a dial to it is under way, according to the system's socket table.
    pub fn wait_for_dial(&self) {
        let SocketAddr::V4(v4) = self.addr else { panic!("IPv4 only") };
        let peer = format!("{:08X}:{:04X}", u32::from_ne_bytes(v4.ip().octets()), v4.port());
        // Local address, peer's address, state: 02 is SYN_SENT.
        let waits = |l: &str| l.split_whitespace().skip(2).take(2).eq([peer.as_str(), "02"]);
        let since = Instant::now();
        while !std::fs::read_to_string("/proc/net/tcp").unwrap().lines().any(waits) {
            assert!(since.elapsed() < HANG_TIMEOUT, "no dial is under way");
            std::thread::yield_now();
        }
    }

    /// Accepts the next dial, and returns its connection.
    pub fn release(&self) -> TcpStream {
        drop(self.listener.accept().unwrap());
        let (stream, _) = self.listener.accept().unwrap();
        stream.set_read_timeout(Some(HANG_TIMEOUT)).unwrap();
        stream
    }
}

/// The next frame; none at the end of the connection.
pub fn frame(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).ok()?;
    let mut frame = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut frame).ok()?;
    Some(frame)
}

/// The ids of the parts in a call, each of which carries one byte of text; empty for any other frame.
pub fn part_ids(frame: &[u8]) -> Vec<String> {
    let text = String::from_utf8_lossy(&frame[1..]);
    let lines = text.split('\n').filter(|_| frame[0] == b'R');
    // Each line is followed by one byte of text, which precedes the next line.
    let lines = lines.enumerate().map(|(n, l)| if n == 0 { l } else { l.get(1..).unwrap_or("") });
    lines.filter_map(|l| Some(l.split_once(' ')?.0.to_owned())).collect()
}

/// The ids of all parts that are called on this connection, until it ends.
pub fn requested_ids(stream: &mut TcpStream) -> Vec<String> {
    std::iter::from_fn(|| frame(stream)).flat_map(|f| part_ids(&f)).collect()
}

pub fn answer(stream: &mut TcpStream, id: &str) {
    let body = format!("Y{id} OK 1 -\nvalue");
    stream.write_all(&[&(body.len() as u32).to_be_bytes(), body.as_bytes()].concat()).unwrap();
}

/// A broker with one shard, which all these servers hold, a long dial time-out, an idle time-out of one
/// second for its connections, and this effect for its classes.
pub fn serve_shard(servers: &[SocketAddr], discovery: SocketAddr, effect: &str) -> TestBroker {
    let nodes: Vec<_> = servers.iter().map(|a| (*a, WireProtocol::Http)).collect();
    let config = platform_config(&nodes, 100, Some(discovery))
        .replace(r#""positions":3,"slices":3,"span":2"#, r#""positions":2,"slices":1,"span":2"#)
        .replace(
            r#""try_limit":3,"#,
            r#""try_limit":3,"dial_timeout_ns":15000000000,"conn_idle_ns":1000000000,"#,
        )
        .replace(r#""effect":"safe""#, effect);
    start_platform_broker(&config, NodeScript::default())
}

/// Sends a query for the shard without reading its answer.
pub fn send(s: &TestBroker, id: &str) -> Client {
    send_for(s, 0, id, 15_000)
}

pub fn send_for(s: &TestBroker, shard: u32, id: &str, ms: u64) -> Client {
    let mut c = s.client();
    c.write(request_within(shard, id, ms, "").as_bytes());
    c
}

/// A query of one part, with these headers in addition to the usual ones.
pub fn request(shard: u32, id: &str, headers: &str) -> String {
    request_within(shard, id, 15_000, headers)
}

fn request_within(shard: u32, id: &str, ms: u64, headers: &str) -> String {
    let body = format!(r#"{{"segments":[{{"segment":{shard},"boost":1}}],"text":"t"}}"#);
    format!(
        "POST /api HTTP/1.1\r\nReq-Id: {id}\r\nReq-Kind: whole\r\nReq-Deadline: {ms}m\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub fn status(c: &mut Client) -> String {
    let (head, _) = read_http(&mut c.stream).expect("no answer");
    head.split(' ').nth(1).unwrap().to_owned()
}

/// Returns once the broker has handled all events before this call: two health checks in sequence show that.
pub fn wait_for_event_loop(s: &TestBroker) {
    for _ in 0..2 {
        let mut c = s.client();
        write!(c.stream, "GET /-/healthy HTTP/1.1\r\n\r\n").unwrap();
        assert_eq!(status(&mut c), "200");
    }
}

pub fn idle_discovery() -> SocketAddr {
    static_discovery(r#"{"version":8,"full":false,"servers":[]}"#.into())
}

/// Discovery that sends the lines that the test passes to the sender, and empty lines in between.
pub fn scripted_discovery() -> (SocketAddr, std::sync::mpsc::Sender<String>) {
    let (sender, receiver): (_, Receiver<String>) = channel();
    let receiver = std::sync::Mutex::new(receiver);
    let addr = listen(move |mut stream| {
        read_http(&mut stream)?;
        write!(stream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
        loop {
            let line =
                receiver.lock().unwrap().recv_timeout(Duration::from_secs(1)).unwrap_or_default() + "\n";
            write!(stream, "{:x}\r\n{line}\r\n", line.len()).ok()?;
        }
    });
    (addr, sender)
}

pub fn list_with_server(n: usize, addr: SocketAddr, state: &str) -> String {
    format!(
        r#"{{"version":9,"full":false,"servers":[{{"id":"s-{n}","addr":"{addr}","zone":"a","cell":{n},"state":"{state}","started_ms":0}}]}}"#
    )
}

/// A broker with two shards, each held by one of these servers, with few buffers and a long dial time-out.
pub fn serve_two_shards(servers: &[SocketAddr; 2], cancel: bool) -> TestBroker {
    let nodes: Vec<_> = servers.iter().map(|a| (*a, WireProtocol::Http)).collect();
    let config = platform_config(&nodes, 1000, Some(idle_discovery()))
        .replace(r#""positions":3,"slices":3,"span":2"#, r#""positions":2,"slices":2,"span":1"#)
        .replace(r#""sockets":96"#, r#""sockets":512,"memory_mb":16"#)
        .replace(r#""cancel":true"#, &format!(r#""cancel":{cancel},"dial_timeout_ns":15000000000"#));
    start_platform_broker(&config, NodeScript::default())
}

/// A client sends a query, runs `before_disconnect`, and disconnects while its call waits for a dial. Only
/// the query of another client, which stays connected, may reach the server.
pub fn check_only_connected_client_is_forwarded(
    cancel: bool,
    before_disconnect: impl Fn(&TestBroker, &mut Client),
) {
    let server = BlockedListener::new();
    let s = serve_two_shards(&[server.addr, server.addr], cancel);
    let mut left = send(&s, "left");
    server.wait_for_dial();
    before_disconnect(&s, &mut left);
    drop(left);
    wait_for_event_loop(&s);
    let mut stays = send(&s, "stays");
    wait_for_event_loop(&s);
    let mut conn = server.release();
    assert_eq!(frame(&mut conn).map(|f| part_ids(&f)), Some(vec!["stays.0".into()]), "cancel {cancel}");
    answer(&mut conn, "stays.0");
    assert_eq!(status(&mut stays), "200");
}
