//! One suite for every pairing of client and node protocol: deadlines, part floors, drains, refusals and
//! errors must look the same over HTTP, SRU and Z39.50.

mod clients;
mod identity;
mod late_searches;
mod protocols;

use clients::*;
use pebbleturn_lab::standins::*;
use std::net::{TcpListener, TcpStream};

/// Runs a test once for each pairing.
macro_rules! for_each_pairing {
    ($($(#[$doc:meta])* fn $name:ident($wire:ident, $nodes:ident) $body:block)*) => {$(
        mod $name {
            use super::*;
            fn run($wire: WireProtocol, $nodes: WireProtocol) $body
            #[test]
            fn http_to_frames() { run(WireProtocol::Http, WireProtocol::Http); }
            #[test]
            fn sru_to_sru() { run(WireProtocol::Sru, WireProtocol::Sru); }
            #[test]
            fn sru_to_z3950() { run(WireProtocol::Sru, WireProtocol::Z3950); }
            #[test]
            fn z3950_to_sru() { run(WireProtocol::Z3950, WireProtocol::Sru); }
            #[test]
            fn z3950_to_z3950() { run(WireProtocol::Z3950, WireProtocol::Z3950); }
        }
    )*};
}

const ALL: &[usize] = &[0, 1, 2];
const REFUSED: Reply = Reply::Refused { retry_after: true };

for_each_pairing! {
    fn complete_answer_has_every_part_in_order(wire, nodes) {
        let s = start_broker(wire, nodes, 100);
        let mut client = s.client();
        for _ in 0..3 {
            assert_eq!(client.query("whole"), Reply::Complete);
        }
    }

    fn failed_part_is_retried_on_another_node(wire, nodes) {
        for behavior in [Behavior::Fail, Behavior::Reject, Behavior::CloseConnection] {
            let s = start_broker(wire, nodes, 100);
            s.script.set(&[1], &[0, 1, 2], behavior);
            assert_eq!(s.query("whole"), Reply::Complete, "{behavior:?}");
        }
    }

    fn dead_node_does_not_prevent_complete_answers(wire, nodes) {
        let script = NodeScript::default();
        let closed = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let alive = |n| (node(nodes, n, script.clone()), nodes);
        let s = start_broker_with_nodes(wire, &[(closed, nodes), alive(1), alive(2)], 100, script.clone());
        for _ in 0..4 {
            assert_eq!(s.query("whole"), Reply::Complete);
        }
    }

    fn answer_at_the_floor_is_marked_as_partial(wire, nodes) {
        let s = start_broker(wire, nodes, 100);
        s.script.set(ALL, &[1], Behavior::Silent);
        assert_eq!(s.query("most"), Reply::Partial(2));
    }

    fn answer_below_the_floor_is_withheld(wire, nodes) {
        let s = start_broker(wire, nodes, 100);
        s.script.set(ALL, &[1, 2], Behavior::Silent);
        assert_eq!(s.query("most"), REFUSED);
        let all_parts_needed = start_broker(wire, nodes, 100);
        all_parts_needed.script.set(ALL, &[1], Behavior::Silent);
        assert!(matches!(all_parts_needed.query("short"), Reply::Refused { .. } | Reply::Failed));
    }

    fn query_that_no_replica_can_serve_is_refused_early_with_a_retry_time(wire, nodes) {
        let s = start_broker(wire, nodes, 100);
        s.script.set(ALL, &[2], Behavior::Fail);
        let start = std::time::Instant::now();
        assert_eq!(s.query("whole"), REFUSED);
        // The deadline of its class is 20 s; three failed attempts take milliseconds.
        assert!(start.elapsed().as_secs() < 15);
    }

    fn silent_nodes_lead_to_one_final_answer_and_the_connection_stays_open(wire, nodes) {
        let s = start_broker(wire, nodes, 100);
        s.script.set(ALL, &[0, 1, 2], Behavior::Silent);
        let mut client = s.client();
        assert!(matches!(client.query("short"), Reply::Refused { .. } | Reply::Failed));
        s.script.set(ALL, &[0, 1, 2], Behavior::Serve);
        // Node connections with silent parts are busy or abandoned; the next answer belongs to the next query.
        let served = (0..20).find(|_| client.query("whole") == Reply::Complete);
        assert!(served.is_some());
    }

    fn query_over_max_open_is_refused_until_another_client_disconnects(wire, nodes) {
        let s = start_broker(wire, nodes, 1 + PARTITIONS);
        s.script.set(ALL, &[0], Behavior::Delayed(5000));
        let mut first = s.client();
        first.send("whole", "raga");
        s.wait_for_parts(3);
        assert_eq!(s.query("whole"), REFUSED);
        s.script.set(ALL, &[0], Behavior::Serve);
        drop(first);
        let served = (0..2000).any(|_| {
            std::thread::sleep(std::time::Duration::from_millis(5));
            s.query("whole") == Reply::Complete
        });
        assert!(served, "the place of the disconnected client was not released");
    }

    fn bad_request_is_rejected_and_the_connection_stays_open(wire, nodes) {
        let s = start_broker(wire, nodes, 100);
        let mut client = s.client();
        client.send("whole", "");
        assert_eq!(client.reply(), Reply::Bad);
        assert_eq!(client.query("whole"), Reply::Complete);
    }

    fn garbage_closes_only_its_own_connection(wire, nodes) {
        use std::io::Read;
        let s = start_broker(wire, nodes, 100);
        let mut good = s.client();
        let mut bad = TcpStream::connect(s.addr).unwrap();
        std::io::Write::write_all(&mut bad, &[0x00, 0xff, 0x13, 0x0a, 0x0d, 0x0a, 0x00, 0x00]).unwrap();
        let mut rest = Vec::new();
        let _ = bad.read_to_end(&mut rest);
        assert!(rest.is_empty() || rest.starts_with(b"HTTP/1.1 400"), "{rest:?}");
        assert_eq!(good.query("whole"), Reply::Complete);
    }

    fn silent_connections_do_not_block_other_clients(wire, nodes) {
        let s = start_broker(wire, nodes, 100);
        let mut first = s.client();
        assert_eq!(first.query("whole"), Reply::Complete);
        // More connections than either port has places for.
        let silent: Vec<TcpStream> = (0..100).map(|_| TcpStream::connect(s.addr).unwrap()).collect();
        assert_eq!(s.query("whole"), Reply::Complete);
        // A client that has sent a query before keeps its place.
        assert_eq!(first.query("whole"), Reply::Complete);
        drop(silent);
    }

    fn incomplete_request_times_out_and_its_connection_is_closed(wire, nodes) {
        use std::io::Read;
        let s = start_broker(wire, nodes, 100);
        let mut bad = TcpStream::connect(s.addr).unwrap();
        let half: &[u8] = if wire == WireProtocol::Z3950 { &[0xb4, 0x20, 0x83] } else { b"POST /api HTTP/1.1\r\nContent-Le" };
        std::io::Write::write_all(&mut bad, half).unwrap();
        let mut rest = String::new();
        bad.read_to_string(&mut rest).unwrap();
        assert!(rest.starts_with("HTTP/1.1 408") || (wire == WireProtocol::Z3950 && rest.is_empty()), "{rest}");
    }

    fn connected_clients_are_served_for_a_while_after_a_drain_begins(wire, nodes) {
        // On a busy machine a second can pass between two statements, hence up to ten tries.
        let served = (0..10).any(|_| {
            let s = start_broker(wire, nodes, 100);
            let mut c = s.client();
            assert_eq!(c.query("whole"), Reply::Complete);
            s.drain();
            c.stays_open_after_query() && c.stays_open_after_query()
        });
        assert!(served);
    }

    fn drain_finishes_accepted_queries_closes_idle_connections_and_ends(wire, nodes) {
        let s = start_broker(wire, nodes, 100);
        let (mut idle, mut busy) = (s.client(), s.client());
        assert_eq!(idle.query("whole"), Reply::Complete);
        let before = s.script.parts_received();
        s.script.set(ALL, &[0, 1, 2], Behavior::Delayed(300));
        busy.send("whole", "raga");
        s.wait_for_parts(before + 3);
        s.drain();
        if wire == WireProtocol::Z3950 {
            // The search is finished, then the session is closed, so its records can't be presented.
            let answer = read_apdu(&mut busy.stream);
            assert!(matches!(answer, Some(pebbleturn::frontends::catalogue::apdu::Apdu::SearchResponse(r)) if r.success));
        } else {
            assert_eq!(busy.reply(), Reply::Complete);
        }
        assert!(busy.closed_by_broker() && idle.closed_by_broker());
        let addr = s.addr;
        s.join();
        assert!(TcpStream::connect(addr).is_err(), "the port is still open after the shutdown");
    }
}
