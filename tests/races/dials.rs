//! Calls that wait for a dial: what is true when a server is chosen may not be when the connection comes up.

use super::bed::*;
use super::*;
use pebbleturn_lab::standins::*;
use std::net::TcpListener;
use std::time::Instant;

#[test]
fn call_of_a_disconnected_client_is_not_sent_after_the_dial() {
    for cancel in [true, false] {
        only_who_stays_is_sent_on(cancel, |_, _| {});
    }
}

#[test]
fn drain_during_a_dial_applies_to_the_calls_that_wait_for_it() {
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
fn retry_that_waits_for_a_dial_is_not_sent_past_the_idempotency_window() {
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
