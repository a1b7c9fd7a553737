//! Calls that wait for a dial: the state may change between the choice of a server and the established
//! connection.

use super::fixture::*;
use super::*;
use pebbleturn_lab::standins::*;
use std::net::TcpListener;
use std::time::Instant;

#[test]
fn call_of_a_disconnected_client_is_not_sent_after_the_dial() {
    for cancel in [true, false] {
        check_only_connected_client_is_forwarded(cancel, |_, _| {});
    }
}

#[test]
fn drain_during_a_dial_applies_to_the_calls_that_wait_for_it() {
    let server = BlockedListener::new();
    let (discovery, sender) = scripted_discovery();
    let s = serve_shard(&[server.addr], discovery, r#""effect":"safe""#);
    let mut asked = send(&s, "asked");
    server.wait_for_dial();
    sender.send(list_with_server(0, server.addr, "Terminating")).unwrap();
    // Once the broker has processed the drain, no server is left for a query.
    while status(&mut send(&s, "probe")) != "503" {}
    let mut conn = server.release();
    assert_eq!(requested_ids(&mut conn), Vec::<String>::new());
    assert_eq!(status(&mut asked), "503", "rejected at once, and safe to retry");
}

#[test]
fn retry_that_waits_for_a_dial_is_not_sent_past_the_idempotency_window() {
    const WINDOW: Duration = Duration::from_secs(2);
    let (first, second) = (TcpListener::bind("127.0.0.1:0").unwrap(), BlockedListener::new());
    let (discovery, sender) = scripted_discovery();
    let keyed = r#""effect":"keyed","group":"all","window_ns":2000000000"#;
    let nodes = [(first.local_addr().unwrap(), WireProtocol::Http)];
    let config = platform_config(&nodes, 100, Some(discovery))
        .replace(
            r#""try_limit":3,"#,
            r#""try_limit":3,"dial_timeout_ns":15000000000,"conn_idle_ns":1000000000,"#,
        )
        .replace(r#""effect":"safe""#, keyed);
    let s = start_platform_broker(&config, NodeScript::default());
    let mut asked = send(&s, "asked");
    let (mut begun, _) = first.accept().unwrap();
    assert_eq!(frame(&mut begun).unwrap()[0], b'R');
    let since = Instant::now();
    // Only the second server holds the next shard: queries for that shard show when the broker knows the
    // server.
    sender.send(list_with_server(1, second.addr, "Ready")).unwrap();
    let mut probes = 0..;
    while status(&mut send_for(&s, 1, &format!("probe-{}", probes.next().unwrap()), 200)) == "503" {}
    // Now the first connection breaks: the retry goes to the second server, and waits for its dial until the
    // window is over.
    drop((begun, first));
    wait_for_event_loop(&s);
    while since.elapsed() < WINDOW {
        wait_for_event_loop(&s);
    }
    asked.stream.set_nonblocking(true).unwrap();
    assert!(asked.stream.peek(&mut [0]).is_err(), "no retry is waiting, so the test checks nothing");
    asked.stream.set_nonblocking(false).unwrap();
    let mut conn = second.release();
    assert_eq!(status(&mut asked), "504", "the query may have run, so it must not be reported as rejected");
    assert_eq!(requested_ids(&mut conn), Vec::<String>::new());
}
