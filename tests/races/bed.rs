//! Stand-ins that hold, cut or release at a stated event, and clients that write by hand.

use super::*;
use pebbleturn_lab::standins::*;
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::time::Instant;

/// A server to which no dial comes up until it is released: its queue of connections is full.
pub struct Blocked {
    listener: TcpListener,
    _filler: TcpStream,
    pub addr: SocketAddr,
}

impl Blocked {
    pub fn new() -> Blocked {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(0).unwrap();
        socket.set_read_timeout(Some(HUNG)).unwrap();
        let listener: TcpListener = socket.into();
        let addr = listener.local_addr().unwrap();
        Blocked { _filler: TcpStream::connect(addr).unwrap(), listener, addr }
    }

    /// Comes back once a dial to it is under way, as the system's table of sockets shows.
    pub fn dialled(&self) {
        let SocketAddr::V4(v4) = self.addr else { panic!("IPv4 only") };
        let peer = format!("{:08X}:{:04X}", u32::from_ne_bytes(v4.ip().octets()), v4.port());
        // Local address, peer's address, state: 02 is a connection that waits for the peer's word.
        let waits = |l: &str| l.split_whitespace().skip(2).take(2).eq([peer.as_str(), "02"]);
        let since = Instant::now();
        while !std::fs::read_to_string("/proc/net/tcp").unwrap().lines().any(waits) {
            assert!(since.elapsed() < HUNG, "no dial");
            std::thread::yield_now();
        }
    }

    /// Lets the next dial come up, and gives its connection.
    pub fn release(&self) -> TcpStream {
        drop(self.listener.accept().unwrap());
        let (stream, _) = self.listener.accept().unwrap();
        stream.set_read_timeout(Some(HUNG)).unwrap();
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

/// The ids of the parts in a call, each of which carries one byte of text; none in any other frame.
pub fn ids(frame: &[u8]) -> Vec<String> {
    let text = String::from_utf8_lossy(&frame[1..]);
    let lines = text.split('\n').filter(|_| frame[0] == b'R');
    // A line and one byte of text before the next line.
    let lines = lines.enumerate().map(|(n, l)| if n == 0 { l } else { l.get(1..).unwrap_or("") });
    lines.filter_map(|l| Some(l.split_once(' ')?.0.to_owned())).collect()
}

/// All ids that calls name on this connection, up to its end.
pub fn called(stream: &mut TcpStream) -> Vec<String> {
    std::iter::from_fn(|| frame(stream)).flat_map(|f| ids(&f)).collect()
}

pub fn answer(stream: &mut TcpStream, id: &str) {
    let body = format!("Y{id} OK 1 -\nvalue");
    stream.write_all(&[&(body.len() as u32).to_be_bytes(), body.as_bytes()].concat()).unwrap();
}

/// A broker whose one shard all these servers hold, with dials that may take long, connections that end when idle for
/// a second, and one class of this effect.
pub fn serve_shard(servers: &[SocketAddr], discovery: SocketAddr, effect: &str) -> Served {
    let nodes: Vec<_> = servers.iter().map(|a| (*a, Wire::Http)).collect();
    let config = platform_config(&nodes, 100, Some(discovery))
        .replace(r#""positions":3,"slices":3,"span":2"#, r#""positions":2,"slices":1,"span":2"#)
        .replace(
            r#""try_limit":3,"#,
            r#""try_limit":3,"dial_timeout_ns":15000000000,"conn_idle_ns":1000000000,"#,
        )
        .replace(r#""effect":"safe""#, effect);
    serve_told(&config, Script::default())
}

/// Sends a query for the shard; its answer is still to be read.
pub fn send(s: &Served, id: &str) -> Client {
    send_for(s, 0, id, 15_000)
}

pub fn send_for(s: &Served, shard: u32, id: &str, ms: u64) -> Client {
    let mut c = s.client();
    c.write(request_within(shard, id, ms, "").as_bytes());
    c
}

/// A query of one part, with these headers beside the usual ones.
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

/// Comes back once the broker has done all that was told it before.
pub fn after_a_turn(s: &Served) {
    for _ in 0..2 {
        let mut c = s.client();
        write!(c.stream, "GET /-/healthy HTTP/1.1\r\n\r\n").unwrap();
        assert_eq!(status(&mut c), "200");
    }
}

pub fn quiet_discovery() -> SocketAddr {
    discovery(r#"{"version":8,"full":false,"servers":[]}"#.into())
}

/// Discovery that tells what the test says, and empty lines meanwhile.
pub fn told_discovery() -> (SocketAddr, std::sync::mpsc::Sender<String>) {
    let (tell, told): (_, Receiver<String>) = channel();
    let told = std::sync::Mutex::new(told);
    let addr = listen(move |mut stream| {
        read_http(&mut stream)?;
        write!(stream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
        loop {
            let line = told.lock().unwrap().recv_timeout(Duration::from_secs(1)).unwrap_or_default() + "\n";
            write!(stream, "{:x}\r\n{line}\r\n", line.len()).ok()?;
        }
    });
    (addr, tell)
}

pub fn line(n: usize, addr: SocketAddr, state: &str) -> String {
    format!(
        r#"{{"version":9,"full":false,"servers":[{{"id":"s-{n}","addr":"{addr}","zone":"a","cell":{n},"state":"{state}","started_ms":0}}]}}"#
    )
}

/// A broker of two shards, each of which one of these servers holds, with few buffers and dials that may take long.
pub fn serve_two(servers: &[SocketAddr; 2], cancel: bool) -> Served {
    let nodes: Vec<_> = servers.iter().map(|a| (*a, Wire::Http)).collect();
    let config = platform_config(&nodes, 1000, Some(quiet_discovery()))
        .replace(r#""positions":3,"slices":3,"span":2"#, r#""positions":2,"slices":2,"span":1"#)
        .replace(r#""sockets":96"#, r#""sockets":512,"memory_mb":16"#)
        .replace(r#""cancel":true"#, &format!(r#""cancel":{cancel},"dial_timeout_ns":15000000000"#));
    serve_told(&config, Script::default())
}

/// A client asks and is gone while its call waits for a dial, after it did this too; of what follows, only the query of
/// a client that stays may reach the server.
pub fn only_who_stays_is_sent_on(cancel: bool, and_then: impl Fn(&Served, &mut Client)) {
    let server = Blocked::new();
    let s = serve_two(&[server.addr, server.addr], cancel);
    let mut left = send(&s, "left");
    server.dialled();
    and_then(&s, &mut left);
    drop(left);
    after_a_turn(&s);
    let mut stays = send(&s, "stays");
    after_a_turn(&s);
    let mut conn = server.release();
    assert_eq!(frame(&mut conn).map(|f| ids(&f)), Some(vec!["stays.0".into()]), "cancel {cancel}");
    answer(&mut conn, "stays.0");
    assert_eq!(status(&mut stays), "200");
}
