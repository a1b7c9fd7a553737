//! Unit tests of the admin requests, the drain, the overrides and the metrics. Only the last test uses
//! sockets.

use pebbleturn::admin::request::{self, AdminRequest, CommandOptions, MAX_LINE_BYTES, RequestError};
use pebbleturn::membership::{ManualOverrides, NodeChange, UnknownNode};
use pebbleturn::metrics::{Gauges, Metrics, QueryResult};
use pebbleturn::server::drain::{ACCEPT_GRACE_PERIOD, DrainPhase, DrainState};
use pebbleturn::{Nanos, ReplicaEntry, ReplicaId, ReplicaState};
use quickcheck::quickcheck;

const MS: Nanos = 1_000_000;

#[test]
fn each_request_line_is_parsed_or_rejected_with_one_error() {
    let no_options = CommandOptions::default;
    let options =
        CommandOptions { operator: "asha".into(), reason: "new disk, twice".into(), valid_for_s: Some(60) };
    for (line, want) in [
        ("STATUS", Ok(AdminRequest::Status)),
        ("  METRICS \r", Ok(AdminRequest::Metrics)),
        ("SUSPEND s-1", Ok(AdminRequest::Suspend("s-1".into(), no_options()))),
        ("RESTORE\ts-1", Ok(AdminRequest::Restore("s-1".into(), no_options()))),
        (
            "SUSPEND s-1 by=asha for=60 why=new disk, twice",
            Ok(AdminRequest::Suspend("s-1".into(), options.clone())),
        ),
        ("PAUSE", Ok(AdminRequest::Pause(None, no_options()))),
        ("PAUSE b-2", Ok(AdminRequest::Pause(Some("b-2".into()), no_options()))),
        ("RESUME", Ok(AdminRequest::Resume(None, no_options()))),
        ("RESUME by=asha for=60 why=\"new disk, twice\"", Ok(AdminRequest::Resume(None, options))),
        ("REMOVE b-2", Ok(AdminRequest::Remove("b-2".into(), no_options()))),
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
        // A second pause does not restart the phases.
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
    // The process may be killed 3.7 s after the shutdown began.
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

fn change(id: &str, replica: u32, state: ReplicaState) -> NodeChange {
    let entry =
        ReplicaEntry { replica: ReplicaId(replica), zone: 0, cell: 0, state, started: None, weight: 1.0 };
    NodeChange { entry, id: id.into(), addr: None, kind: String::new() }
}

fn states(changes: &[NodeChange]) -> Vec<(u32, ReplicaState)> {
    changes.iter().map(|c| (c.entry.replica.0, c.entry.state)).collect()
}

#[test]
fn suspended_node_stays_suspended_whatever_the_list_reports() {
    use ReplicaState::{Active, Draining, Removed};
    let mut overrides = ManualOverrides::default();
    assert_eq!(overrides.suspend("s", false), Err(UnknownNode));
    assert_eq!(
        states(&overrides.apply_changes(vec![change("s", 1, Active), change("t", 2, Active)])),
        [(1, Active), (2, Active)]
    );
    assert_eq!(states(overrides.suspend("s", false).unwrap().as_slice()), [(1, Draining)]);
    // A second suspension changes nothing.
    assert_eq!(overrides.suspend("s", false), Ok(None));
    // The node restarts, gets a new replica number, is removed and is listed again.
    assert_eq!(states(&overrides.apply_changes(vec![change("s", 1, Active)])), [(1, Draining)]);
    assert_eq!(
        states(&overrides.apply_changes(vec![change("s", 1, Removed), change("s", 3, Active)])),
        [(1, Removed), (3, Draining)]
    );
    assert_eq!(
        (overrides.listed_suspended(), states(&overrides.apply_changes(vec![change("s", 3, Removed)]))),
        (1, vec![(3, Removed)])
    );
    assert_eq!(
        (overrides.listed_suspended(), states(&overrides.apply_changes(vec![change("s", 4, Active)]))),
        (0, vec![(4, Draining)])
    );
    // One restore ends both suspensions.
    assert_eq!(states(overrides.restore("s", false).unwrap().as_slice()), [(4, Active)]);
    assert_eq!(overrides.restore("s", false), Ok(None));
    assert_eq!(states(&overrides.apply_changes(vec![change("s", 4, Draining)])), [(4, Draining)]);
    // A suspension from an earlier process applies before any list contains the node.
    let mut overrides = ManualOverrides::with_suspended(["s".to_owned()]);
    assert_eq!(states(&overrides.apply_changes(vec![change("s", 9, Active)])), [(9, Draining)]);
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
    /// In any order of events, the reported state of a node is the listed one, except that an active node is
    /// reported as draining while it is suspended.
    fn manual_overrides_and_list_updates_commute(events: Vec<(u8, u8)>) -> bool {
        use ReplicaState::{Draining, Removed, Active};
        let (mut overrides, mut reported) = (ManualOverrides::default(), std::collections::BTreeMap::new());
        let (mut listed, mut suspended) = (std::collections::BTreeMap::new(), std::collections::BTreeSet::new());
        for (event, node) in events {
            let id = format!("s-{}", node % 4);
            let changes = match event % 5 {
                0 => overrides.suspend(&id, false).map_or(vec![], |c| { suspended.insert(id.clone()); c.into_iter().collect() }),
                1 => overrides.restore(&id, false).map_or(vec![], |c| { suspended.remove(&id); c.into_iter().collect() }),
                n => {
                    let state = [Active, Draining, Removed][n as usize - 2];
                    listed.insert(id.clone(), state);
                    overrides.apply_changes(vec![change(&id, u32::from(node % 4), state)])
                }
            };
            reported.extend(changes.into_iter().map(|c| (c.id, c.entry.state)));
        }
        listed.iter().all(|(id, state)| {
            let want = if *state == Active && suspended.contains(id) { Draining } else { *state };
            reported.get(id) == Some(&want)
        })
    }
}

/// Runs random steps through the engine, one for each byte pair. Returns the engine's metrics, and the counts
/// taken from its actions: served, rejected, failed and open queries.
fn run_random_steps(steps: &[(u8, u8)]) -> ([u64; 4], [u64; 4]) {
    use crate::common::{replica_entry, settings};
    use pebbleturn::engine::{
        AttemptId, AttemptOutcome, EngineAction, PartRequest, QueryEngine, QueryId, QueryOutcome,
        QueryRequest,
    };
    use pebbleturn::{Idempotency, Outcome};
    let settings =
        pebbleturn::Settings { max_in_flight: 20, retry_budget: None, ..settings(Idempotency::Idempotent) };
    let mut engine: QueryEngine<(), u8> = QueryEngine::new(settings, 7, 0).unwrap();
    engine.update_endpoints(true, (0..6).map(|n| replica_entry(n, ReplicaState::Active, None)).collect());
    let (mut now, mut counted) = (0, [0; 4]);
    let (mut attempts, mut open): (Vec<AttemptId>, Vec<QueryId>) = (vec![], vec![]);
    for (step, n) in steps {
        match step % 8 {
            0 => {
                let part = |shard| PartRequest { shard, weight: 1.0 / f64::from(n % 4 + 1), work: None };
                let parts = (0..u32::from(n % 4) + 1).map(part).collect();
                let payload = std::rc::Rc::new(());
                let request = QueryRequest {
                    class: 0,
                    tenant: None,
                    key: None,
                    time_left: 3_000 * MS,
                    is_retry: false,
                    parts,
                    payload,
                };
                match engine.submit(now, request) {
                    Ok(query) => open.push(query),
                    Err(_) => counted[1] += 1,
                }
            }
            1..=4 if !attempts.is_empty() => {
                let attempt = attempts.swap_remove(usize::from(*n) % attempts.len());
                let outcome = [Outcome::Ok, Outcome::Error, Outcome::Rejected, Outcome::ConnectionReset]
                    [usize::from(n % 4)];
                let value = (outcome == Outcome::Ok).then_some(1);
                engine.attempt_ended(now, attempt, AttemptOutcome { outcome, utilization: None, value });
            }
            5 if !open.is_empty() && n % 8 == 0 => {
                let query = open.swap_remove(usize::from(*n) % open.len());
                engine.client_disconnected(query);
            }
            // Some steps are so long that the deadlines of all open queries pass.
            _ => now += if *n == 0 { 4_000 * MS } else { u64::from(n % 32) * MS },
        }
        engine.advance(now);
        while let Some(action) = engine.next_action() {
            match action {
                EngineAction::Call { parts, .. } => attempts.extend(parts.iter().map(|p| p.attempt)),
                EngineAction::CancelAttempt { attempt, .. } => attempts.retain(|a| *a != attempt),
                EngineAction::Respond { query, outcome } => {
                    // A query whose client has disconnected is not in `open` and gets no response.
                    assert!(open.contains(&query));
                    open.retain(|q| *q != query);
                    counted[match outcome {
                        QueryOutcome::Answered(_) => 0,
                        QueryOutcome::Rejected { .. } => 1,
                        QueryOutcome::Failed => 2,
                    }] += 1;
                }
                EngineAction::WatchEndpoints | EngineAction::HealthCheck { .. } => {}
            }
        }
    }
    counted[3] = open.len() as u64;
    let class = engine.metrics().classes()[0];
    let metrics = [class.ok, class.shed, class.errors, engine.open_queries() as u64];
    // After all deadlines, the engine holds no query or attempt, however many steps there were.
    engine.advance(now + 10_000 * MS);
    while engine.next_action().is_some() {}
    assert_eq!((engine.in_flight(), engine.open_queries(), engine.attempts_in_flight()), (0, 0, 0));
    (metrics, counted)
}

quickcheck! {
    fn metrics_equal_the_counted_events(steps: Vec<(u8, u8)>) -> bool {
        let (metrics, counted) = run_random_steps(&steps);
        metrics == counted
    }
}

#[test]
fn long_history_counts_every_kind_of_result() {
    use rand_pcg::rand_core::{Rng, SeedableRng};
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(3);
    let steps: Vec<(u8, u8)> = (0..20_000).map(|_| (rng.next_u32() as u8, rng.next_u32() as u8)).collect();
    let (metrics, counted) = run_random_steps(&steps);
    assert_eq!(metrics, counted);
    assert!(counted[..3].iter().all(|n| *n > 10), "{counted:?}");
}

#[test]
fn tables_stay_bounded_over_a_long_run_and_keep_suspended_nodes() {
    use pebbleturn::hot_restart::state::Overrides;
    let (mut overrides, mut recorded) = (ManualOverrides::default(), Overrides::default());
    overrides.apply_changes(vec![
        change("stays", 1, ReplicaState::Active),
        change("out", 2, ReplicaState::Active),
    ]);
    overrides.suspend("out", false).unwrap();
    recorded.set_server_suspended("out", true, 1);
    for n in 0..20_000u32 {
        let id = format!("s-{n}");
        overrides.apply_changes(vec![change(&id, 10 + n, ReplicaState::Active)]);
        overrides.apply_changes(vec![change(&id, 10 + n, ReplicaState::Removed)]);
        recorded.set_server_suspended(&id, true, u64::from(n));
        recorded.set_server_suspended(&id, false, u64::from(n));
    }
    let known = (0..20_000).filter(|n| overrides.knows(&format!("s-{n}"))).count();
    assert!(known <= 4096 && recorded.servers.len() <= 4096, "{known}, {}", recorded.servers.len());
    assert!(
        overrides.knows("stays")
            && overrides.listed_suspended() == 1
            && recorded.suspended_servers().eq(["out"])
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
    // The time given to the server does not advance, so no caller times out however slow this machine is.
    let (now, start, mut events) = (1, Instant::now(), vec![]);
    let request = loop {
        net.wait(Some(Duration::from_millis(50)), &mut events).unwrap();
        for event in events.drain(..) {
            admin_server.on_event(event, now, &mut net);
        }
        admin_server.tick(now, &mut net);
        if let Some((_, request)) = admin_server.next_request() {
            break Some(request);
        }
        if start.elapsed() > Duration::from_secs(30) {
            break None;
        }
    };
    assert_eq!((request, silent.len()), (Some(AdminRequest::Status), 100));
}
