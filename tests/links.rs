//! Connections of a poll loop that the test drives, including events between a poll and a call.

mod common;
use common::{MS, S, replica_entry, settings};
use pebbleturn::engine::*;
use pebbleturn::frontends::platform::{RequestContext, Upstream, UpstreamLimits};
use pebbleturn::net::{Clock, ConnId, NetEvent, Offer, PollLoop, Pool};
use pebbleturn::server::FrontendContext;
use pebbleturn::*;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(20);

struct UpstreamBench {
    clock: Clock,
    net: PollLoop,
    engine: QueryEngine<RequestContext, String>,
    upstream: Upstream,
}

impl UpstreamBench {
    fn new(effect: Idempotency, listener: &TcpListener) -> UpstreamBench {
        let clock = Clock::start();
        let mut engine = QueryEngine::new(settings(effect), 7, clock.now()).unwrap();
        engine.update_endpoints(true, vec![replica_entry(0, ReplicaState::Active, None)]);
        let limits = UpstreamLimits {
            streams: 8,
            dial_timeout: 5 * S,
            idle_timeout: 30 * S,
            silence_timeout: 5 * S,
            max_connections: 8,
        };
        let mut upstream = Upstream::new(0, limits);
        upstream.set_address(ReplicaId(0), Some(listener.local_addr().unwrap()));
        UpstreamBench { clock, net: PollLoop::new(Pool::new(16), 16).unwrap(), engine, upstream }
    }

    /// Submits a query, and writes its call or dials its connection, without polling for events.
    fn submit_until_called(&mut self, id: &str) {
        let payload = Rc::new(RequestContext { id: id.into(), text: "t".into() });
        let parts = vec![PartRequest { shard: 0, weight: 1.0, work: None }];
        let query = QueryRequest {
            class: 0,
            tenant: None,
            key: None,
            time_left: 5 * S,
            is_retry: false,
            parts,
            payload,
        };
        self.engine.submit(self.clock.now(), query).unwrap();
        while !self.run_round() {
            std::thread::sleep(Duration::from_nanos(MS));
        }
    }

    /// Advances the engine and executes its actions. Returns whether a call was among them.
    fn run_round(&mut self) -> bool {
        let now = self.clock.now();
        self.engine.advance(now);
        let mut called = false;
        while let Some(action) = self.engine.next_action() {
            if let EngineAction::Call { replica, parts } = action {
                let mut context = FrontendContext { now, net: &mut self.net, engine: &mut self.engine };
                self.upstream.call(replica, parts, &mut context);
                called = true;
            }
        }
        called
    }

    /// Polls until `condition` holds.
    fn poll_until(&mut self, condition: impl Fn(&UpstreamBench) -> bool) {
        let mut events = Vec::new();
        while !condition(self) {
            self.net.wait(Some(TIMEOUT), &mut events).unwrap();
            assert!(!events.is_empty(), "no event within the time-out");
            let now = self.clock.now();
            let mut context = FrontendContext { now, net: &mut self.net, engine: &mut self.engine };
            events.drain(..).for_each(|e| self.upstream.on_event(e, &mut context));
        }
    }
}

fn read_frame(stream: &mut TcpStream) -> String {
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let mut length = [0; 4];
    stream.read_exact(&mut length).unwrap();
    let mut frame = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut frame).unwrap();
    String::from_utf8(frame).unwrap()
}

/// The server closes an idle connection after the last poll and before a call is written on it. The call must
/// not be written there: it would be lost, and parts of a non-idempotent class may not be sent again.
#[test]
fn a_call_is_not_written_on_a_connection_that_its_server_closed_since_the_last_poll() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    socket2::SockRef::from(&listener).set_read_timeout(Some(TIMEOUT)).unwrap();
    let mut bench = UpstreamBench::new(Idempotency::NonIdempotent, &listener);
    bench.submit_until_called("first");
    let (mut conn, _) = listener.accept().unwrap();
    bench.poll_until(|b| b.engine.metrics().attempts() == 1);
    assert!(read_frame(&mut conn).starts_with("Rfirst.0 "));
    let body = "Yfirst.0 OK 1 -\nvalue";
    conn.write_all(&[&(body.len() as u32).to_be_bytes(), body.as_bytes()].concat()).unwrap();
    bench.poll_until(|b| b.engine.attempts_in_flight() == 0);
    drop(conn);
    bench.submit_until_called("second");
    let (mut conn, _) = listener.accept().expect("the call was written on the closed connection");
    bench.poll_until(|b| b.engine.metrics().attempts() == 2);
    assert!(read_frame(&mut conn).starts_with("Rsecond.0 "));
    assert_eq!(bench.engine.attempts_in_flight(), 1, "only the second call is in flight");
}

/// An accepted connection and its peer.
fn accept_connection(net: &mut PollLoop) -> (ConnId, TcpStream) {
    let addr = net.listen("127.0.0.1:0".parse().unwrap(), 0).unwrap();
    let peer = TcpStream::connect(addr).unwrap();
    let mut events = Vec::new();
    loop {
        net.wait(Some(TIMEOUT), &mut events).unwrap();
        let accepted =
            |e: &NetEvent| if let NetEvent::Accepted { conn, .. } = e { Some(*conn) } else { None };
        if let Some(conn) = events.iter().find_map(accepted) {
            return (conn, peer);
        }
    }
}

/// A lingering peer that reads nothing must not occupy a connection and buffers. The test passes in the
/// time and does not wait.
#[test]
fn a_lingering_peer_that_never_reads_is_closed_after_the_timeout() {
    let mut net = PollLoop::new(Pool::new(64), 16).unwrap();
    let (conn, peer) = accept_connection(&mut net);
    // More than the socket buffers of both ends hold: the rest stays in the output queue.
    while net.is_flushed(conn) {
        net.send(conn, &[b'm'; 64 * 1024]).unwrap();
    }
    net.close_lingering(conn, 0);
    net.tick(2 * S);
    assert!(net.is_open(conn), "the peer may still read");
    net.tick(3 * S);
    assert!(!net.is_open(conn) && net.accepted() == 0 && net.pool().in_use() == 0);
    drop(peer);
}

/// A lingering connection whose peer does not close must not make the poll spin until the linger time-out.
#[test]
fn a_lingering_connection_does_not_wake_the_poll() {
    let mut net = PollLoop::new(Pool::new(16), 16).unwrap();
    let (conn, peer) = accept_connection(&mut net);
    let mut events = Vec::new();
    net.send(conn, b"the last message").unwrap();
    net.close_lingering(conn, 0);
    // The shutdown and earlier events may wake the poll a few times, but not repeatedly.
    let has_waited = (0..100).any(|_| {
        let since = Instant::now();
        net.wait(Some(Duration::from_millis(100)), &mut events).unwrap();
        since.elapsed() >= Duration::from_millis(100)
    });
    assert!(has_waited, "the poll keeps returning at once");
    assert!(net.is_open(conn), "it lingers until its time-out");
    drop(peer);
}

/// An offered message of which the socket accepts nothing must not be queued: it would be sent once the peer
/// reads again, even if its owner has meanwhile found that it must not be. An event reports when it may be
/// offered again.
#[test]
fn an_offered_message_that_would_block_is_not_queued_and_an_event_follows() {
    let mut net = PollLoop::new(Pool::new(16), 16).unwrap();
    let (conn, mut peer) = accept_connection(&mut net);
    // One byte can't be accepted in part.
    let offers = (0..64 << 20).map(|_| net.offer(conn, b"x").unwrap());
    let taken = offers.take_while(|offer| *offer == Offer::Begun).count() as u64;
    assert_eq!((net.queued(conn), net.flushed(conn)), (taken, taken), "nothing is queued");
    let mut events = Vec::new();
    let start = Instant::now();
    while !events.iter().any(|e| matches!(e, NetEvent::Flushed { conn: flushed, .. } if *flushed == conn)) {
        assert!(start.elapsed() < TIMEOUT, "no event within the time-out");
        let _ = peer.read(&mut [0; 1 << 20]).unwrap();
        net.wait(Some(Duration::from_millis(1)), &mut events).unwrap();
    }
    assert_eq!(net.offer(conn, b"x"), Ok(Offer::Begun));
}
