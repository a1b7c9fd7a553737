//! Connections to shard servers, with the poll in the test's hands: what comes between a poll and a call.

mod common;
use common::{MS, S, line, settings};
use pebbleturn::engine::*;
use pebbleturn::frontends::platform::{RequestContext, Upstream, UpstreamLimits};
use pebbleturn::net::{Clock, ConnId, NetEvent, PollLoop, Pool};
use pebbleturn::server::FrontendContext;
use pebbleturn::*;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

const HUNG: Duration = Duration::from_secs(20);

struct Link {
    clock: Clock,
    net: PollLoop,
    exchange: QueryEngine<RequestContext, String>,
    servers: Upstream,
}

impl Link {
    fn new(effect: Idempotency, listener: &TcpListener) -> Link {
        let clock = Clock::start();
        let mut exchange = QueryEngine::new(settings(effect), 7, clock.now()).unwrap();
        exchange.update_endpoints(true, vec![line(0, ReplicaState::Active, None)]);
        let limits = UpstreamLimits { streams: 8, dial_timeout: 5 * S, idle: 30 * S, silent: 5 * S, most: 8 };
        let mut servers = Upstream::new(0, limits);
        servers.place(ReplicaId(0), Some(listener.local_addr().unwrap()));
        Link { clock, net: PollLoop::new(Pool::new(16), 16).unwrap(), exchange, servers }
    }

    /// Takes a query, and has its call written or its connection dialled; the poll is not asked.
    fn ask(&mut self, id: &str) {
        let payload = Rc::new(RequestContext { id: id.into(), text: "t".into() });
        let parts = vec![PartRequest { shard: 0, weight: 1.0, work: None }];
        let ask = QueryRequest {
            class: 0,
            tenant: None,
            key: None,
            time_left: 5 * S,
            is_retry: false,
            parts,
            payload,
        };
        self.exchange.submit(self.clock.now(), ask).unwrap();
        while !self.turn() {
            std::thread::sleep(Duration::from_nanos(MS));
        }
    }

    /// A round and its work: whether a call was among it.
    fn turn(&mut self) -> bool {
        let now = self.clock.now();
        self.exchange.advance(now);
        let mut called = false;
        while let Some(work) = self.exchange.next_action() {
            if let EngineAction::Call { replica, parts } = work {
                let mut hands = FrontendContext { now, net: &mut self.net, engine: &mut self.exchange };
                self.servers.call(replica, parts, &mut hands);
                called = true;
            }
        }
        called
    }

    /// Polls until this holds.
    fn poll_until(&mut self, done: impl Fn(&Link) -> bool) {
        let mut events = Vec::new();
        while !done(self) {
            self.net.wait(Some(HUNG), &mut events).unwrap();
            assert!(!events.is_empty(), "nothing came");
            let now = self.clock.now();
            let mut hands = FrontendContext { now, net: &mut self.net, engine: &mut self.exchange };
            events.drain(..).for_each(|e| self.servers.event(e, &mut hands));
        }
    }
}

fn frame(stream: &mut TcpStream) -> String {
    stream.set_read_timeout(Some(HUNG)).unwrap();
    let mut length = [0; 4];
    stream.read_exact(&mut length).unwrap();
    let mut frame = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut frame).unwrap();
    String::from_utf8(frame).unwrap()
}

/// The server closes a resting connection after the poll was asked and before a call is written on it: that call must not
/// go where it is lost, since parts of such a class may not be sent again.
#[test]
fn a_call_is_not_written_on_a_connection_that_its_server_closed_since_the_last_poll() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    socket2::SockRef::from(&listener).set_read_timeout(Some(HUNG)).unwrap();
    let mut link = Link::new(Idempotency::NonIdempotent, &listener);
    link.ask("first");
    let (mut conn, _) = listener.accept().unwrap();
    link.poll_until(|l| l.exchange.metrics().attempts() == 1);
    assert!(frame(&mut conn).starts_with("Rfirst.0 "));
    let body = "Yfirst.0 OK 1 -\nvalue";
    conn.write_all(&[&(body.len() as u32).to_be_bytes(), body.as_bytes()].concat()).unwrap();
    link.poll_until(|l| l.exchange.attempts_in_flight() == 0);
    drop(conn);
    link.ask("second");
    let (mut conn, _) = listener.accept().expect("the call went where nobody reads");
    link.poll_until(|l| l.exchange.metrics().attempts() == 2);
    assert!(frame(&mut conn).starts_with("Rsecond.0 "));
    assert_eq!(link.exchange.attempts_in_flight(), 1, "the call that was written is out");
}

/// A connection that was accepted, and its peer.
fn accepted(net: &mut PollLoop) -> (ConnId, TcpStream) {
    let addr = net.listen("127.0.0.1:0".parse().unwrap(), 0).unwrap();
    let peer = TcpStream::connect(addr).unwrap();
    let mut events = Vec::new();
    loop {
        net.wait(Some(HUNG), &mut events).unwrap();
        let accepted =
            |e: &NetEvent| if let NetEvent::Accepted { conn, .. } = e { Some(*conn) } else { None };
        if let Some(conn) = events.iter().find_map(accepted) {
            return (conn, peer);
        }
    }
}

/// A peer that reads nothing must not keep its place and buffers: time is told here, and nothing is waited for.
#[test]
fn a_peer_that_never_reads_its_last_message_is_closed_in_the_end() {
    let mut net = PollLoop::new(Pool::new(64), 16).unwrap();
    let (conn, peer) = accepted(&mut net);
    // More than both systems hold: the rest stands in buffers.
    while net.is_flushed(conn) {
        net.send(conn, &[b'm'; 64 * 1024]).unwrap();
    }
    net.close_lingering(conn, 0);
    net.tick(2 * S);
    assert!(net.is_open(conn), "it may still read");
    net.tick(3 * S);
    assert!(!net.is_open(conn) && net.accepted() == 0 && net.pool().in_use() == 0);
    drop(peer);
}

/// A peer that does not close leaves the broker in peace: the poll waits, and does not spin until the peer's time is over.
#[test]
fn a_connection_that_lingers_wakes_nobody() {
    let mut net = PollLoop::new(Pool::new(16), 16).unwrap();
    let (conn, peer) = accepted(&mut net);
    let mut events = Vec::new();
    net.send(conn, b"the last message").unwrap();
    net.close_lingering(conn, 0);
    // The end itself may wake it, and what came before: not without end.
    let waits = (0..100).any(|_| {
        let since = Instant::now();
        net.wait(Some(Duration::from_millis(100)), &mut events).unwrap();
        since.elapsed() >= Duration::from_millis(100)
    });
    assert!(waits, "the poll returns at once, again and again");
    assert!(net.is_open(conn), "it lingers until its time is over");
    drop(peer);
}
