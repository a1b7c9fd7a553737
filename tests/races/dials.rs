//! Calls that wait for a dial: what is true when a server is chosen may not be when the connection comes up.

use super::*;
use pebbleturn_lab::standins::*;
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::time::Instant;

/// A server to which no dial comes up until it is released: its queue of connections is full.
struct Blocked {
    listener: TcpListener,
    _filler: TcpStream,
    addr: SocketAddr,
}

impl Blocked {
    fn new() -> Blocked {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(0).unwrap();
        socket.set_read_timeout(Some(HUNG)).unwrap();
        let listener: TcpListener = socket.into();
        let addr = listener.local_addr().unwrap();
        Blocked { _filler: TcpStream::connect(addr).unwrap(), listener, addr }
    }

    /// Comes back once a dial to it is under way, as the system's table of sockets shows.
    fn dialled(&self) {
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
    fn release(&self) -> TcpStream {
        drop(self.listener.accept().unwrap());
        let (stream, _) = self.listener.accept().unwrap();
        stream.set_read_timeout(Some(HUNG)).unwrap();
        stream
    }
}

/// The next frame; none at the end of the connection.
fn frame(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).ok()?;
    let mut frame = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut frame).ok()?;
    Some(frame)
}

/// All ids that calls name on this connection, up to its end.
fn called(stream: &mut TcpStream) -> Vec<String> {
    let mut ids = Vec::new();
    while let Some(f) = frame(stream) {
        if f[0] == b'R' {
            ids.push(String::from_utf8_lossy(&f[1..]).split(' ').next().unwrap().to_owned());
        }
    }
    ids
}

fn answer(stream: &mut TcpStream, id: &str) {
    let body = format!("Y{id} OK 1 -\nvalue");
    stream.write_all(&[&(body.len() as u32).to_be_bytes(), body.as_bytes()].concat()).unwrap();
}

/// A broker whose one shard all these servers hold, with dials that may take long, connections that end when idle for
/// a second, and one class of this effect.
fn serve_shard(servers: &[SocketAddr], discovery: SocketAddr, effect: &str) -> Served {
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
fn send(s: &Served, id: &str) -> Client {
    send_for(s, 0, id, 15_000)
}

fn send_for(s: &Served, shard: u32, id: &str, ms: u64) -> Client {
    let mut c = s.client();
    let body = format!(r#"{{"segments":[{{"segment":{shard},"boost":1}}],"text":"t"}}"#);
    let head = format!("POST /api HTTP/1.1\r\nReq-Id: {id}\r\nReq-Kind: whole\r\nReq-Deadline: {ms}m\r\n");
    write!(c.stream, "{head}Content-Length: {}\r\n\r\n{body}", body.len()).unwrap();
    c
}

fn status(c: &mut Client) -> String {
    let (head, _) = read_http(&mut c.stream).expect("no answer");
    head.split(' ').nth(1).unwrap().to_owned()
}

/// Comes back once the broker has done all that was told it before.
fn after_a_turn(s: &Served) {
    for _ in 0..2 {
        let mut c = s.client();
        write!(c.stream, "GET /-/healthy HTTP/1.1\r\n\r\n").unwrap();
        assert_eq!(status(&mut c), "200");
    }
}

fn quiet_discovery() -> SocketAddr {
    discovery(r#"{"version":8,"full":false,"servers":[]}"#.into())
}

/// Discovery that tells what the test says, and empty lines meanwhile.
fn told_discovery() -> (SocketAddr, std::sync::mpsc::Sender<String>) {
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

fn line(n: usize, addr: SocketAddr, state: &str) -> String {
    format!(
        r#"{{"version":9,"full":false,"servers":[{{"id":"s-{n}","addr":"{addr}","zone":"a","cell":{n},"state":"{state}","started_ms":0}}]}}"#
    )
}

#[test]
fn what_a_client_left_behind_while_a_dial_was_under_way_is_never_sent() {
    for cancel in ["true", "false"] {
        let server = Blocked::new();
        let nodes = [(server.addr, Wire::Http)];
        let config = platform_config(&nodes, 100, Some(quiet_discovery()))
            .replace(r#""positions":3,"slices":3,"span":2"#, r#""positions":1,"slices":1,"span":1"#)
            .replace(r#""cancel":true"#, &format!(r#""cancel":{cancel},"dial_timeout_ns":15000000000"#));
        let s = serve_told(&config, Script::default());
        let left = send(&s, "left");
        server.dialled();
        drop(left);
        after_a_turn(&s);
        let mut stays = send(&s, "stays");
        after_a_turn(&s);
        let mut conn = server.release();
        let first = frame(&mut conn).unwrap();
        let text = String::from_utf8_lossy(&first);
        assert!(text.starts_with("Rstays.0 "), "cancel {cancel}: first came {text:?}");
        answer(&mut conn, "stays.0");
        assert_eq!(status(&mut stays), "200");
    }
}

#[test]
fn a_drain_told_while_a_dial_was_under_way_holds_for_what_waits_for_it() {
    let server = Blocked::new();
    let (discovery, tell) = told_discovery();
    let s = serve_shard(&[server.addr], discovery, r#""effect":"safe""#);
    let mut asked = send(&s, "asked");
    server.dialled();
    tell.send(line(0, server.addr, "Terminating")).unwrap();
    // From the moment of the news on a query has nobody to be sent to.
    while status(&mut send(&s, "probe")) != "503" {}
    let mut conn = server.release();
    assert_eq!(called(&mut conn), Vec::<String>::new());
    assert_eq!(status(&mut asked), "503", "given up at once, and harmless to ask again");
}

#[test]
fn a_repeat_that_waits_for_a_dial_is_not_sent_past_the_window_for_repeats() {
    const WINDOW: Duration = Duration::from_secs(2);
    let (first, second) = (TcpListener::bind("127.0.0.1:0").unwrap(), Blocked::new());
    let (discovery, tell) = told_discovery();
    let keyed = r#""effect":"keyed","group":"all","window_ns":2000000000"#;
    let nodes = [(first.local_addr().unwrap(), Wire::Http)];
    let config = platform_config(&nodes, 100, Some(discovery))
        .replace(
            r#""try_limit":3,"#,
            r#""try_limit":3,"dial_timeout_ns":15000000000,"conn_idle_ns":1000000000,"#,
        )
        .replace(r#""effect":"safe""#, keyed);
    let s = serve_told(&config, Script::default());
    let mut asked = send(&s, "asked");
    let (mut begun, _) = first.accept().unwrap();
    assert_eq!(frame(&mut begun).unwrap()[0], b'R');
    let since = Instant::now();
    // Of the next shard the second server is the only holder: its queries tell when the broker knows of it.
    tell.send(line(1, second.addr, "Ready")).unwrap();
    let mut probes = 0..;
    while status(&mut send_for(&s, 1, &format!("probe-{}", probes.next().unwrap()), 200)) == "503" {}
    // Only now the first breaks: the repeat goes to the second, and waits for its dial until the window is over.
    drop((begun, first));
    after_a_turn(&s);
    while since.elapsed() < WINDOW {
        after_a_turn(&s);
    }
    asked.stream.set_nonblocking(true).unwrap();
    assert!(asked.stream.peek(&mut [0]).is_err(), "no repeat waits, so this shows nothing");
    asked.stream.set_nonblocking(false).unwrap();
    let mut conn = second.release();
    assert_eq!(status(&mut asked), "504", "it may have run, so it is no refusal");
    assert_eq!(called(&mut conn), Vec::<String>::new());
}
