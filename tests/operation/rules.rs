//! What the parts of operation decide, without processes or sockets.

use pebbleturn::admin::request::{self, AdminRequest, CommandOptions, MAX_LINE_BYTES, RequestError};
use pebbleturn::membership::{ManualOverrides, NodeChange, UnknownNode};
use pebbleturn::metrics::{Gauges, Metrics, QueryResult};
use pebbleturn::server::drain::{ACCEPT_GRACE_PERIOD, DrainPhase, DrainState};
use pebbleturn::{Nanos, ReplicaEntry, ReplicaId, ReplicaState};
use quickcheck::quickcheck;

const MS: Nanos = 1_000_000;

#[test]
fn each_request_line_is_parsed_or_rejected_with_one_error() {
    let no = CommandOptions::default;
    let said =
        CommandOptions { operator: "asha".into(), reason: "new disk, twice".into(), valid_for_s: Some(60) };
    for (line, want) in [
        ("STATUS", Ok(AdminRequest::Status)),
        ("  METRICS \r", Ok(AdminRequest::Metrics)),
        ("SUSPEND s-1", Ok(AdminRequest::Suspend("s-1".into(), no()))),
        ("RESTORE\ts-1", Ok(AdminRequest::Restore("s-1".into(), no()))),
        (
            "SUSPEND s-1 by=asha for=60 why=new disk, twice",
            Ok(AdminRequest::Suspend("s-1".into(), said.clone())),
        ),
        ("PAUSE", Ok(AdminRequest::Pause(None, no()))),
        ("PAUSE b-2", Ok(AdminRequest::Pause(Some("b-2".into()), no()))),
        ("RESUME", Ok(AdminRequest::Resume(None, no()))),
        ("RESUME by=asha for=60 why=\"new disk, twice\"", Ok(AdminRequest::Resume(None, said))),
        ("REMOVE b-2", Ok(AdminRequest::Remove("b-2".into(), no()))),
        ("PEERS", Ok(AdminRequest::Peers)),
        ("", Err(RequestError::Empty)),
        ("SUSPEND", Err(RequestError::MissingNode("SUSPEND"))),
        ("SUSPEND a b", Err(RequestError::UnexpectedArgument("SUSPEND"))),
        ("SUSPEND a for=0", Err(RequestError::InvalidDuration("0".into()))),
        (
            "SUSPEND a for=99999999999999999999",
            Err(RequestError::InvalidDuration("99999999999999999999".into())),
        ),
        ("PAUSE b-2 now", Err(RequestError::UnexpectedArgument("PAUSE"))),
        ("OUT a b", Err(RequestError::UnexpectedArgument("OUT"))),
        ("STATE all", Err(RequestError::UnexpectedArgument("STATE"))),
        ("pause", Err(RequestError::UnknownCommand("pause".into()))),
    ] {
        assert_eq!(request::parse(line.as_bytes()), want, "{line:?}");
    }
    assert_eq!(request::parse(b"\xff"), Err(RequestError::NotText));
    assert_eq!(request::parse(&[b'a'; MAX_LINE_BYTES + 1]), Err(RequestError::TooLong));
}

#[test]
fn pause_goes_through_its_phases_and_can_end_in_each() {
    let mut drain = DrainState::new(3000 * MS);
    for at in [0, 50, 699, 700, 1199, 1200, 1899, 1900, 60_000] {
        drain.pause(10 * MS);
        // Said again, it does not begin anew.
        drain.pause(400 * MS);
        let want = match at {
            0..700 => DrainPhase::NotReady,
            700..1200 => DrainPhase::ClosingAfterAnswer,
            1200..1900 => DrainPhase::ClosingIdle,
            _ => DrainPhase::ClosingAll,
        };
        assert_eq!(drain.phase((10 + at) * MS), want, "{at}");
        assert_eq!(drain.stop_listening_at(), None);
        drain.resume();
        assert_eq!(
            (drain.phase((10 + at) * MS), drain.next_deadline((10 + at) * MS)),
            (DrainPhase::Serving, None),
            "{at}"
        );
    }
}

#[test]
fn shutdown_outlasts_a_pause_and_yields_the_address_to_a_successor() {
    let mut drain = DrainState::new(3000 * MS);
    drain.pause(0);
    drain.begin_shutdown(100 * MS);
    drain.resume();
    assert_eq!(drain.phase(200 * MS), DrainPhase::NotReady);
    assert_eq!(drain.stop_listening_at(), Some(100 * MS + ACCEPT_GRACE_PERIOD));
    // 3.7 s after the word it may be killed.
    assert_eq!(
        (drain.phase(2500 * MS), drain.phase(2700 * MS)),
        (DrainPhase::NotReady, DrainPhase::ClosingIdle)
    );
    assert!(drain.answer_by(900 * MS) < 3800 * MS);
    let mut drain = DrainState::new(3000 * MS);
    drain.successor_serves(100 * MS);
    assert_eq!(drain.stop_listening_at(), Some(100 * MS));
    assert_eq!(
        (drain.phase(100 * MS), drain.phase(600 * MS)),
        (DrainPhase::ClosingAfterAnswer, DrainPhase::ClosingIdle)
    );
}

fn change(id: &str, replica: u32, standing: ReplicaState) -> NodeChange {
    let listed = ReplicaEntry {
        replica: ReplicaId(replica),
        zone: 0,
        cell: 0,
        state: standing,
        started: None,
        weight: 1.0,
    };
    NodeChange { entry: listed, id: id.into(), addr: None, kind: String::new() }
}

fn told(changes: &[NodeChange]) -> Vec<(u32, ReplicaState)> {
    changes.iter().map(|c| (c.entry.replica.0, c.entry.state)).collect()
}

#[test]
fn suspended_node_stays_suspended_whatever_the_list_reports() {
    use ReplicaState::{Active, Draining, Removed};
    let mut overrides = ManualOverrides::default();
    assert_eq!(overrides.suspend("s", false), Err(UnknownNode));
    assert_eq!(
        told(&overrides.apply_changes(vec![change("s", 1, Active), change("t", 2, Active)])),
        [(1, Active), (2, Active)]
    );
    assert_eq!(told(overrides.suspend("s", false).unwrap().as_slice()), [(1, Draining)]);
    // Again makes no difference.
    assert_eq!(overrides.suspend("s", false), Ok(None));
    // It restarts, moves under a new number, goes and comes back.
    assert_eq!(told(&overrides.apply_changes(vec![change("s", 1, Active)])), [(1, Draining)]);
    assert_eq!(
        told(&overrides.apply_changes(vec![change("s", 1, Removed), change("s", 3, Active)])),
        [(1, Removed), (3, Draining)]
    );
    assert_eq!(
        (overrides.listed_suspended(), told(&overrides.apply_changes(vec![change("s", 3, Removed)]))),
        (1, vec![(3, Removed)])
    );
    assert_eq!(
        (overrides.listed_suspended(), told(&overrides.apply_changes(vec![change("s", 4, Active)]))),
        (0, vec![(4, Draining)])
    );
    // One call back is enough.
    assert_eq!(told(overrides.restore("s", false).unwrap().as_slice()), [(4, Active)]);
    assert_eq!(overrides.restore("s", false), Ok(None));
    assert_eq!(told(&overrides.apply_changes(vec![change("s", 4, Draining)])), [(4, Draining)]);
    // A ban that came from an earlier process holds before any list names its server.
    let mut overrides = ManualOverrides::with_suspended(["s".to_owned()]);
    assert_eq!(told(&overrides.apply_changes(vec![change("s", 9, Active)])), [(9, Draining)]);
    assert_eq!(overrides.restore("nobody", false), Err(UnknownNode));
}

#[test]
fn metrics_are_one_line_of_json_with_the_documented_names() {
    let mut metrics = Metrics::new(2);
    metrics.record_query(0, QueryResult::Ok);
    metrics.record_query(1, QueryResult::Shed);
    metrics.record_attempts(7);
    let line =
        metrics.to_json_line(&["a".into(), "b".into()], Gauges { active: 3, pool_size: 5, pool_ejected: 1 });
    let want = serde_json::json!({"ok":{"a":1,"b":0},"shed":{"a":0,"b":1},"errors":{"a":0,"b":0},
        "tries":7,"active":3,"pool_size":5,"pool_ejected":1});
    assert_eq!(serde_json::from_str::<serde_json::Value>(&line).unwrap(), want);
    assert!(!line.contains('\n'));
}

quickcheck! {
    /// Whatever is done in whatever order: a server is shown as in use only if the list says so and staff do not say no.
    fn manual_overrides_and_list_updates_commute(words: Vec<(u8, u8)>) -> bool {
        use ReplicaState::{Draining, Removed, Active};
        let (mut overrides, mut shown) = (ManualOverrides::default(), std::collections::BTreeMap::new());
        let (mut listed, mut out) = (std::collections::BTreeMap::new(), std::collections::BTreeSet::new());
        for (what, who) in words {
            let id = format!("s-{}", who % 4);
            let changes = match what % 5 {
                0 => overrides.suspend(&id, false).map_or(vec![], |c| { out.insert(id.clone()); c.into_iter().collect() }),
                1 => overrides.restore(&id, false).map_or(vec![], |c| { out.remove(&id); c.into_iter().collect() }),
                n => {
                    let standing = [Active, Draining, Removed][n as usize - 2];
                    listed.insert(id.clone(), standing);
                    overrides.apply_changes(vec![change(&id, u32::from(who % 4), standing)])
                }
            };
            shown.extend(changes.into_iter().map(|c| (c.id, c.entry.state)));
        }
        listed.iter().all(|(id, standing)| {
            let want = if *standing == Active && out.contains(id) { Draining } else { *standing };
            shown.get(id) == Some(&want)
        })
    }
}

/// Plays a random history through the exchange: each byte pair is a step. Tells what was counted from its events:
/// served, refused, failed, and open.
fn history(steps: &[(u8, u8)]) -> ([u64; 4], [u64; 4]) {
    use crate::common::{line, settings};
    use pebbleturn::engine::{
        AttemptId, AttemptOutcome, EngineAction, PartRequest, QueryEngine, QueryId, QueryOutcome,
        QueryRequest,
    };
    use pebbleturn::{Idempotency, Outcome};
    let told =
        pebbleturn::Settings { max_in_flight: 20, retry_budget: None, ..settings(Idempotency::Idempotent) };
    let mut exchange: QueryEngine<(), u8> = QueryEngine::new(told, 7, 0).unwrap();
    exchange.update_endpoints(true, (0..6).map(|n| line(n, ReplicaState::Active, None)).collect());
    let (mut now, mut seen) = (0, [0; 4]);
    let (mut out, mut open): (Vec<AttemptId>, Vec<QueryId>) = (vec![], vec![]);
    for (what, n) in steps {
        match what % 8 {
            0 => {
                let part = |shard| PartRequest { shard, weight: 1.0 / f64::from(n % 4 + 1), work: None };
                let parts = (0..u32::from(n % 4) + 1).map(part).collect();
                let payload = std::rc::Rc::new(());
                let ask = QueryRequest {
                    class: 0,
                    tenant: None,
                    key: None,
                    time_left: 3_000 * MS,
                    is_retry: false,
                    parts,
                    payload,
                };
                match exchange.submit(now, ask) {
                    Ok(query) => open.push(query),
                    Err(_) => seen[1] += 1,
                }
            }
            1..=4 if !out.is_empty() => {
                let attempt = out.swap_remove(usize::from(*n) % out.len());
                let outcome = [Outcome::Ok, Outcome::Error, Outcome::Rejected, Outcome::ConnectionReset]
                    [usize::from(n % 4)];
                let value = (outcome == Outcome::Ok).then_some(1);
                exchange.attempt_ended(now, attempt, AttemptOutcome { outcome, utilization: None, value });
            }
            5 if !open.is_empty() && n % 8 == 0 => {
                let query = open.swap_remove(usize::from(*n) % open.len());
                exchange.client_disconnected(query);
            }
            // Now and then so long that all that is open runs out of time.
            _ => now += if *n == 0 { 4_000 * MS } else { u64::from(n % 32) * MS },
        }
        exchange.advance(now);
        while let Some(work) = exchange.next_action() {
            match work {
                EngineAction::Call { parts, .. } => out.extend(parts.iter().map(|p| p.attempt)),
                EngineAction::CancelAttempt { attempt, .. } => out.retain(|a| *a != attempt),
                EngineAction::Respond { query, outcome: answer } => {
                    // Whose client had gone stands nowhere: no final answer of it may come.
                    assert!(open.contains(&query));
                    open.retain(|q| *q != query);
                    seen[match answer {
                        QueryOutcome::Answered(_) => 0,
                        QueryOutcome::Rejected { .. } => 1,
                        QueryOutcome::Failed => 2,
                    }] += 1;
                }
                EngineAction::WatchEndpoints | EngineAction::HealthCheck { .. } => {}
            }
        }
    }
    seen[3] = open.len() as u64;
    let f = exchange.metrics().classes()[0];
    let metrics = [f.ok, f.shed, f.errors, exchange.open_queries() as u64];
    // Once all time is over, nothing of it is held any more, however long it was.
    exchange.advance(now + 10_000 * MS);
    while exchange.next_action().is_some() {}
    assert_eq!((exchange.in_flight(), exchange.open_queries(), exchange.attempts_in_flight()), (0, 0, 0));
    (metrics, seen)
}

quickcheck! {
    fn metrics_equal_the_counted_events(steps: Vec<(u8, u8)>) -> bool {
        let (metrics, seen) = history(&steps);
        metrics == seen
    }
}

#[test]
fn long_history_counts_every_kind_of_result() {
    use rand_pcg::rand_core::{Rng, SeedableRng};
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(3);
    let steps: Vec<(u8, u8)> = (0..20_000).map(|_| (rng.next_u32() as u8, rng.next_u32() as u8)).collect();
    let (metrics, seen) = history(&steps);
    assert_eq!(metrics, seen);
    assert!(seen[..3].iter().all(|n| *n > 10), "{seen:?}");
}

#[test]
fn tables_stay_bounded_over_a_long_run_and_keep_suspended_nodes() {
    use pebbleturn::hot_restart::state::Overrides;
    let (mut overrides, mut words) = (ManualOverrides::default(), Overrides::default());
    overrides.apply_changes(vec![
        change("stays", 1, ReplicaState::Active),
        change("out", 2, ReplicaState::Active),
    ]);
    overrides.suspend("out", false).unwrap();
    words.set_server_suspended("out", true, 1);
    for n in 0..20_000u32 {
        let id = format!("s-{n}");
        overrides.apply_changes(vec![change(&id, 10 + n, ReplicaState::Active)]);
        overrides.apply_changes(vec![change(&id, 10 + n, ReplicaState::Removed)]);
        words.set_server_suspended(&id, true, u64::from(n));
        words.set_server_suspended(&id, false, u64::from(n));
    }
    let known = (0..20_000).filter(|n| overrides.knows(&format!("s-{n}"))).count();
    assert!(known <= 4096 && words.servers.len() <= 4096, "{known}, {}", words.servers.len());
    assert!(
        overrides.knows("stays")
            && overrides.listed_suspended() == 1
            && words.suspended_servers().eq(["out"])
    );
}

#[test]
fn admin_request_is_read_behind_silent_callers_without_time_passing() {
    use pebbleturn::admin::AdminServer;
    use pebbleturn::net::{PollLoop, Pool};
    use std::io::Write;
    use std::net::TcpStream;
    use std::time::{Duration, Instant};
    let mut net = PollLoop::new(Pool::new(16), 16).unwrap();
    let mut admin_server = AdminServer::open("127.0.0.1:0".parse().unwrap(), &mut net).unwrap();
    let silent: Vec<TcpStream> =
        (0..100).map(|_| TcpStream::connect(admin_server.local_addr()).unwrap()).collect();
    let mut caller = TcpStream::connect(admin_server.local_addr()).unwrap();
    caller.write_all(b"STATUS\n").unwrap();
    // The admin_server's own clock stands still: nobody's time runs out, whatever this machine does meanwhile.
    let (now, start, mut events) = (1, Instant::now(), vec![]);
    let heard = loop {
        net.wait(Some(Duration::from_millis(50)), &mut events).unwrap();
        for event in events.drain(..) {
            admin_server.on_event(event, now, &mut net);
        }
        admin_server.tick(now, &mut net);
        if let Some((_, call)) = admin_server.next_request() {
            break Some(call);
        }
        if start.elapsed() > Duration::from_secs(30) {
            break None;
        }
    };
    assert_eq!((heard, silent.len()), (Some(AdminRequest::Status), 100));
}
