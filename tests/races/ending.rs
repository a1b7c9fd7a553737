//! Graceful shutdown, from the signal to the earliest time at which the process may be killed.

use super::fixture::*;
use super::*;
use pebbleturn_lab::standins::*;
use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Instant;

/// The earliest time after the start of a shutdown at which the process may be killed, where deadlines are 3
/// s or longer.
const EARLIEST_KILL: Duration = Duration::from_millis(3700);

/// The time after the start of a shutdown at which the first bytes of a request are sent, which has 2.5 s to
/// be complete. It is before idle connections are closed, at 2.5 s.
const REQUEST_START: Duration = Duration::from_secs(1);

/// A broker with one shard, and the listener of its server; the test answers the calls.
fn serve_with_manual_server() -> (TestBroker, TcpListener) {
    let server = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr: SocketAddr = server.local_addr().unwrap();
    let config = platform_config(&[(addr, WireProtocol::Http)], 100, Some(idle_discovery()))
        .replace(r#""positions":3,"slices":3,"span":2"#, r#""positions":1,"slices":1,"span":1"#)
        .replace(r#""goal_time_ns":600000000"#, r#""goal_time_ns":3000000000"#);
    (start_platform_broker(&config, NodeScript::default()), server)
}

fn accept_connection(server: &TcpListener) -> TcpStream {
    socket2::SockRef::from(server).set_read_timeout(Some(HANG_TIMEOUT)).unwrap();
    let (stream, _) = server.accept().unwrap();
    stream.set_read_timeout(Some(HANG_TIMEOUT)).unwrap();
    stream
}

/// An idle client, whose query was answered after the server took `processing_time`.
fn idle_client(
    s: &TestBroker,
    server: &mut Option<TcpStream>,
    listener: &TcpListener,
    id: &str,
    processing_time: Duration,
) -> Client {
    let mut c = send(s, id);
    let conn = server.get_or_insert_with(|| accept_connection(listener));
    assert_eq!(part_ids(&frame(conn).unwrap()), [format!("{id}.0")]);
    std::thread::sleep(processing_time);
    answer(conn, &format!("{id}.0"));
    assert_eq!(status(&mut c), "200");
    c
}

/// Waits until the broker has closed the client's connection, which must not be reset.
fn expect_close(c: &mut Client) {
    assert_eq!(
        c.stream.read(&mut [0; 16]).expect("the connection was reset"),
        0,
        "an answer without a request"
    );
}

/// The class has a deadline of 20 s; the process may be killed after 3.7 s.
#[test]
fn accepted_queries_are_answered_before_the_earliest_kill() {
    let (s, server) = serve_with_manual_server();
    let mut asked = send(&s, "asked");
    let mut conn = accept_connection(&server);
    assert_eq!(part_ids(&frame(&mut conn).unwrap()), ["asked.0"]);
    let shutdown_start = Instant::now();
    s.drain();
    // A second signal has no effect: the time is counted from the first.
    wait_for_event_loop(&s);
    s.drain();
    let status = status(&mut asked);
    assert!(shutdown_start.elapsed() < EARLIEST_KILL, "{status} after {:?}", shutdown_start.elapsed());
    assert_eq!(status, "503", "the query is safe to retry");
    drop(asked);
    s.join();
    assert!(shutdown_start.elapsed() < EARLIEST_KILL, "the broker exits once all queries are answered");
}

#[test]
fn partial_head_keeps_its_connection_when_idle_ones_are_closed() {
    let (s, listener) = serve_with_manual_server();
    let mut server = None;
    let mut idle = idle_client(&s, &mut server, &listener, "rests", Duration::ZERO);
    let mut half = idle_client(&s, &mut server, &listener, "asks", Duration::ZERO);
    s.drain();
    std::thread::sleep(REQUEST_START);
    let whole = request(0, "half", "");
    half.write(&whole.as_bytes()[..40]);
    expect_close(&mut idle);
    half.write(&whole.as_bytes()[40..]);
    let mut server = server.unwrap();
    assert_eq!(frame(&mut server).map(|f| part_ids(&f)), Some(vec!["half.0".into()]));
    answer(&mut server, "half.0");
    assert_eq!(status(&mut half), "200");
}

#[test]
fn request_after_its_connection_was_closed_is_not_forwarded() {
    let (s, listener) = serve_with_manual_server();
    let mut server = None;
    let mut idle = idle_client(&s, &mut server, &listener, "rests", Duration::ZERO);
    let mut stays = send(&s, "stays");
    let mut server = server.unwrap();
    assert_eq!(part_ids(&frame(&mut server).unwrap()), ["stays.0"]);
    s.drain();
    expect_close(&mut idle);
    idle.write(request(0, "late", "").as_bytes());
    expect_close(&mut idle);
    // The broker exits and closes the connection to its server, so the frames read here are all that it sent.
    assert_eq!(status(&mut stays), "503");
    drop(stays);
    s.join();
    assert_eq!(requested_ids(&mut server), Vec::<String>::new());
}

/// When the request is complete, half a second is left; the server took more than a second for each earlier
/// one.
#[test]
fn request_that_cannot_finish_before_the_end_is_rejected_and_not_forwarded() {
    const SLOW: Duration = Duration::from_millis(1200);
    let (s, listener) = serve_with_manual_server();
    let mut server = None;
    let mut idle = idle_client(&s, &mut server, &listener, "rests", SLOW);
    let mut late = idle_client(&s, &mut server, &listener, "asks", SLOW);
    s.drain();
    let shutdown_start = Instant::now();
    std::thread::sleep(REQUEST_START);
    let whole = request(0, "late", "");
    late.write(&whole.as_bytes()[..40]);
    expect_close(&mut idle);
    std::thread::sleep(Duration::from_millis(2800).saturating_sub(shutdown_start.elapsed()));
    let asked = Instant::now();
    late.write(&whole.as_bytes()[40..]);
    assert_eq!(status(&mut late), "503");
    assert!(asked.elapsed() < Duration::from_millis(300), "it was rejected after {:?}", asked.elapsed());
    drop(late);
    s.join();
    assert_eq!(requested_ids(&mut server.unwrap()), Vec::<String>::new(), "it was forwarded");
}
