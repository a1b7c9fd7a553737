//! The word to end, and what comes between it and the time at which the program may be killed.

use super::bed::*;
use super::*;
use pebbleturn_lab::standins::*;
use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Instant;

/// The earliest time after the word at which the program may be killed, where deadlines are 3 s or longer.
const KILLED: Duration = Duration::from_millis(3700);

/// When the first byte of a request comes that has 2.5 s to be in whole: before resting connections are closed at 2.5 s.
const BEGUN: Duration = Duration::from_secs(1);

/// A broker of one shard whose server answers as the test does; and where its connections come in.
fn serve_hanging() -> (Served, TcpListener) {
    let server = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr: SocketAddr = server.local_addr().unwrap();
    let config = platform_config(&[(addr, Wire::Http)], 100, Some(quiet_discovery()))
        .replace(r#""positions":3,"slices":3,"span":2"#, r#""positions":1,"slices":1,"span":1"#)
        .replace(r#""goal_time_ns":600000000"#, r#""goal_time_ns":3000000000"#);
    (serve_told(&config, Script::default()), server)
}

fn accepted(server: &TcpListener) -> TcpStream {
    socket2::SockRef::from(server).set_read_timeout(Some(HUNG)).unwrap();
    let (stream, _) = server.accept().unwrap();
    stream.set_read_timeout(Some(HUNG)).unwrap();
    stream
}

/// A client that has asked and was answered, and rests. The server works on its request for so long.
fn resting(
    s: &Served,
    server: &mut Option<TcpStream>,
    listener: &TcpListener,
    id: &str,
    works: Duration,
) -> Client {
    let mut c = send(s, id);
    let conn = server.get_or_insert_with(|| accepted(listener));
    assert_eq!(ids(&frame(conn).unwrap()), [format!("{id}.0")]);
    std::thread::sleep(works);
    answer(conn, &format!("{id}.0"));
    assert_eq!(status(&mut c), "200");
    c
}

/// Comes back when the broker has ended its connection.
fn ended(c: &mut Client) {
    assert_eq!(c.stream.read(&mut [0; 16]).expect("reset"), 0, "an answer to nothing");
}

/// Its class has 20 s; the program may be killed after 3.7 s.
#[test]
fn accepted_queries_are_answered_before_the_earliest_kill() {
    let (s, server) = serve_hanging();
    let mut asked = send(&s, "asked");
    let mut conn = accepted(&server);
    assert_eq!(ids(&frame(&mut conn).unwrap()), ["asked.0"]);
    let word = Instant::now();
    s.drain();
    // A second word changes nothing: the time runs from the first.
    after_a_turn(&s);
    s.drain();
    let status = status(&mut asked);
    assert!(word.elapsed() < KILLED, "{status} after {:?}", word.elapsed());
    assert_eq!(status, "503", "to ask again is harmless");
    drop(asked);
    s.join();
    assert!(word.elapsed() < KILLED, "it ends once all is answered");
}

#[test]
fn partial_head_keeps_its_connection_when_idle_ones_are_closed() {
    let (s, listener) = serve_hanging();
    let mut server = None;
    let mut rests = resting(&s, &mut server, &listener, "rests", Duration::ZERO);
    let mut half = resting(&s, &mut server, &listener, "asks", Duration::ZERO);
    s.drain();
    std::thread::sleep(BEGUN);
    let whole = request(0, "half", "");
    half.write(&whole.as_bytes()[..40]);
    ended(&mut rests);
    half.write(&whole.as_bytes()[40..]);
    let mut server = server.unwrap();
    assert_eq!(frame(&mut server).map(|f| ids(&f)), Some(vec!["half.0".into()]));
    answer(&mut server, "half.0");
    assert_eq!(status(&mut half), "200");
}

#[test]
fn request_behind_the_end_of_its_connection_is_not_forwarded() {
    let (s, listener) = serve_hanging();
    let mut server = None;
    let mut rests = resting(&s, &mut server, &listener, "rests", Duration::ZERO);
    let mut stays = send(&s, "stays");
    let mut server = server.unwrap();
    assert_eq!(ids(&frame(&mut server).unwrap()), ["stays.0"]);
    s.drain();
    ended(&mut rests);
    rests.write(request(0, "late", "").as_bytes());
    ended(&mut rests);
    // The broker ends, and with it the server's connection: this is all that came on it.
    assert_eq!(status(&mut stays), "503");
    drop(stays);
    s.join();
    assert_eq!(called(&mut server), Vec::<String>::new());
}

/// Half a second is left; the server has taken a good second for each request so far.
#[test]
fn request_that_cannot_finish_before_the_end_is_rejected_and_not_forwarded() {
    const SLOW: Duration = Duration::from_millis(1200);
    let (s, listener) = serve_hanging();
    let mut server = None;
    let mut rests = resting(&s, &mut server, &listener, "rests", SLOW);
    let mut late = resting(&s, &mut server, &listener, "asks", SLOW);
    s.drain();
    let word = Instant::now();
    std::thread::sleep(BEGUN);
    let whole = request(0, "late", "");
    late.write(&whole.as_bytes()[..40]);
    ended(&mut rests);
    std::thread::sleep(Duration::from_millis(2800).saturating_sub(word.elapsed()));
    let asked = Instant::now();
    late.write(&whole.as_bytes()[40..]);
    assert_eq!(status(&mut late), "503");
    assert!(asked.elapsed() < Duration::from_millis(300), "it was held back for {:?}", asked.elapsed());
    drop(late);
    s.join();
    assert_eq!(called(&mut server.unwrap()), Vec::<String>::new(), "it was sent on");
}
