//! Tests of the query engine without sockets. Time is an argument, so nothing waits.

mod common;
use common::{MS, S, replica_entry, settings};
use pebbleturn::engine::*;
use pebbleturn::*;
use std::rc::Rc;

struct EngineHarness {
    engine: QueryEngine<&'static str, u32>,
    now: Nanos,
    sent: Vec<(ReplicaId, AttemptRequest<&'static str>)>,
    outcomes: Vec<(QueryId, Nanos, QueryOutcome<u32>)>,
    cancelled: Vec<AttemptId>,
    calls: Vec<usize>,
}

impl EngineHarness {
    fn new(change: impl FnOnce(&mut Settings)) -> EngineHarness {
        let mut s = settings(Idempotency::Idempotent);
        change(&mut s);
        let mut engine = QueryEngine::new(s, 7, 0).unwrap();
        engine.update_endpoints(true, (0..6).map(|n| replica_entry(n, ReplicaState::Active, None)).collect());
        let mut harness = EngineHarness {
            engine,
            now: 0,
            sent: vec![],
            outcomes: vec![],
            cancelled: vec![],
            calls: vec![],
        };
        harness.run_until(0);
        harness
    }

    /// Advances the engine through all its deadlines up to `until`, and collects its actions.
    fn run_until(&mut self, until: Nanos) {
        loop {
            let next = self.engine.next_deadline().unwrap_or(Nanos::MAX).clamp(self.now, until);
            self.now = next;
            self.engine.advance(next);
            while let Some(action) = self.engine.next_action() {
                match action {
                    EngineAction::Call { replica, parts } => {
                        self.calls.push(parts.len());
                        self.sent.extend(parts.into_iter().map(|p| (replica, p)));
                    }
                    EngineAction::CancelAttempt { attempt, .. } => self.cancelled.push(attempt),
                    EngineAction::Respond { query, outcome: answer } => {
                        self.outcomes.push((query, next, answer))
                    }
                    EngineAction::WatchEndpoints | EngineAction::HealthCheck { .. } => {}
                }
            }
            if next >= until {
                return;
            }
        }
    }

    fn submit(&mut self, shards: &[u32], time_left: Nanos) -> Result<QueryId, Overloaded> {
        let weight = 1.0 / shards.len() as f64;
        let parts = shards.iter().map(|s| PartRequest { shard: *s, weight, work: None }).collect();
        let request = QueryRequest {
            class: 0,
            tenant: None,
            key: None,
            time_left,
            is_retry: false,
            parts,
            payload: Rc::new("text"),
        };
        let submitted = self.engine.submit(self.now, request);
        self.run_until(self.now + 10 * MS);
        submitted
    }

    fn end_attempt(&mut self, n: usize, outcome: Outcome, value: Option<u32>) {
        let attempt = self.sent[n].1.attempt;
        self.engine.attempt_ended(self.now, attempt, AttemptOutcome { outcome, utilization: None, value });
    }
}

#[test]
fn a_query_gets_one_answer_with_values_in_the_requested_order() {
    let mut harness = EngineHarness::new(|_| {});
    let query = harness.submit(&[4, 0, 2], 2 * S).unwrap();
    for n in 0..3 {
        let shard = harness.sent[n].1.shard;
        harness.end_attempt(n, Outcome::Ok, Some(shard * 10));
        harness.end_attempt(n, Outcome::Ok, Some(99));
    }
    harness.run_until(3 * S);
    let values = [4, 0, 2].map(|shard| ShardValue { shard, value: shard * 10 }).to_vec();
    let [(id, at, answer)] = &harness.outcomes[..] else { panic!("{:?}", harness.outcomes) };
    assert_eq!(
        (*id, answer),
        (query, &QueryOutcome::Answered(Answer { complete: true, values, requested_parts: 3 }))
    );
    assert!(*at < 50 * MS && harness.engine.open_queries() == 0);
}

#[test]
fn rounds_keep_the_round_interval_and_the_parts_of_one_round_share_calls() {
    let mut harness = EngineHarness::new(|s| {
        (s.parts_per_call, s.call_work, s.span, s.round_interval) = (2, 20 * MS, 6, 50 * MS)
    });
    harness.run_until(S);
    let before = harness.now;
    harness.engine.advance(before);
    let parts = (0..6).map(|shard| PartRequest { shard, weight: 1.0 / 6.0, work: None }).collect();
    let request = QueryRequest {
        class: 0,
        tenant: None,
        key: None,
        time_left: 2 * S,
        is_retry: false,
        parts,
        payload: Rc::new("text"),
    };
    harness.engine.submit(before, request.clone()).unwrap();
    harness.engine.advance(before);
    let first = harness.engine.next_deadline().unwrap();
    harness.run_until(first);
    harness.engine.submit(first, request).unwrap();
    assert!(
        harness.engine.next_deadline().unwrap() >= first + 50 * MS,
        "the next round starts one interval later"
    );
    assert!(harness.calls.iter().all(|n| *n <= 2) && harness.calls.contains(&2), "{:?}", harness.calls);
}

#[test]
fn a_query_ends_before_its_deadline_when_no_server_answers() {
    let mut harness = EngineHarness::new(|_| {});
    for time_left in [30 * MS, 200 * MS, 2 * S] {
        let start = harness.now;
        let query = harness.submit(&[0, 1], time_left).unwrap();
        harness.run_until(start + 4 * S);
        let ends: Vec<Nanos> = harness.outcomes.iter().filter(|f| f.0 == query).map(|f| f.1).collect();
        assert!(matches!(ends[..], [at] if at < start + time_left), "{ends:?}");
    }
    assert_eq!((harness.engine.open_queries(), harness.engine.attempts_in_flight()), (0, 0));
}

#[test]
fn a_query_over_the_in_flight_limit_is_rejected_and_a_disconnected_client_frees_capacity() {
    let mut harness = EngineHarness::new(|s| s.max_in_flight = 5);
    let first = harness.submit(&[0, 1, 2], 2 * S).unwrap();
    let rejected = harness.submit(&[3, 4], 2 * S).unwrap_err();
    assert!(rejected.retry_after > 0 && rejected.retry_after <= S);
    assert_ne!(
        harness.submit(&[3, 4], 2 * S).unwrap_err(),
        rejected,
        "Retry-After times differ between rejections"
    );
    harness.engine.client_disconnected(first);
    harness.run_until(harness.now + 20 * MS);
    assert!(harness.outcomes.is_empty(), "a disconnected client gets no outcome");
    assert!(
        harness.sent.iter().all(|(_, request)| harness.cancelled.contains(&request.attempt)),
        "all attempts in flight are cancelled"
    );
    assert!(harness.submit(&[3, 4], 2 * S).is_ok());
}

#[test]
fn values_that_are_late_or_missing_are_not_in_an_answer() {
    let mut harness =
        EngineHarness::new(|s| (s.classes[0].min_answer_share, s.classes[0].late_weight) = (0.5, 0.0));
    harness.submit(&[0, 3], 2 * S).unwrap();
    harness.end_attempt(0, Outcome::Ok, None);
    harness.run_until(harness.now + 50 * MS);
    let retry =
        harness.sent.iter().rposition(|(_, request)| request.shard == harness.sent[0].1.shard).unwrap();
    assert!(retry > 1, "a part without a value gets another attempt");
    harness.end_attempt(retry, Outcome::Ok, Some(7));
    harness.run_until(3 * S);
    let late = harness.sent.iter().position(|(_, request)| request.shard != harness.sent[0].1.shard).unwrap();
    harness.end_attempt(late, Outcome::Ok, Some(8));
    harness.run_until(4 * S);
    let shard = harness.sent[0].1.shard;
    let answered =
        Answer { complete: false, values: vec![ShardValue { shard, value: 7 }], requested_parts: 2 };
    assert!(
        matches!(&harness.outcomes[..], [(_, _, f)] if *f == QueryOutcome::Answered(answered)),
        "{:?}",
        harness.outcomes
    );
}

#[test]
fn all_queries_end_by_the_shutdown_deadline() {
    let mut harness = EngineHarness::new(|_| {});
    harness.submit(&[0], 2 * S).unwrap();
    let start = harness.now;
    harness.engine.set_shutdown_deadline(start + 500 * MS);
    harness.submit(&[1], 2 * S).unwrap();
    harness.run_until(start + 3 * S);
    let ends: Vec<Nanos> = harness.outcomes.iter().map(|f| f.1).collect();
    assert!(ends.len() == 2 && ends.iter().all(|t| *t <= start + 500 * MS), "{ends:?}");
    assert_eq!(harness.engine.in_flight(), 0);
}

#[test]
fn a_queued_attempt_is_not_begun_once_a_hedge_has_answered() {
    // The policy may not cancel attempts here, so only the check in `begin_attempt` prevents the send.
    let mut harness = EngineHarness::new(|s| s.may_cancel = false);
    harness.submit(&[0, 3], 2 * S).unwrap();
    let queued = harness.sent.iter().position(|(_, request)| request.shard == 0).unwrap();
    harness.engine.attempt_queued(harness.sent[queued].1.attempt);
    let hedge = loop {
        if let Some(n) = (queued + 1..harness.sent.len()).find(|n| harness.sent[*n].1.shard == 0) {
            break n;
        }
        assert!(harness.now < 2 * S, "no hedge was sent");
        harness.run_until(harness.now + 5 * MS);
    };
    assert!(harness.engine.begin_attempt(harness.now, harness.sent[hedge].1.attempt));
    harness.end_attempt(hedge, Outcome::Ok, Some(7));
    assert!(!harness.engine.begin_attempt(harness.now, harness.sent[queued].1.attempt));
}

/// An attempt of which no byte could be written has not started, and is checked again before it starts.
#[test]
fn a_deferred_attempt_is_not_begun_once_its_server_drains() {
    for drains in [true, false] {
        let mut harness = EngineHarness::new(|s| s.classes[0].idempotency = Idempotency::NonIdempotent);
        harness.submit(&[0], 2 * S).unwrap();
        let (replica, request) = harness.sent[0].clone();
        harness.engine.attempt_queued(request.attempt);
        assert!(harness.engine.begin_attempt(harness.now, request.attempt));
        harness.engine.attempt_deferred(request.attempt);
        if drains {
            harness
                .engine
                .update_endpoints(false, vec![replica_entry(replica.0, ReplicaState::Draining, None)]);
        }
        // In a non-idempotent class, an attempt that had started could not start again.
        assert_eq!(harness.engine.begin_attempt(harness.now, request.attempt), !drains);
    }
}

#[test]
fn a_queued_attempt_past_its_timeout_is_not_begun_and_counts_as_not_sent() {
    for connection_opens in [true, false] {
        let mut harness = EngineHarness::new(|s| s.classes[0].idempotency = Idempotency::NonIdempotent);
        harness.submit(&[0], 2 * S).unwrap();
        let request = harness.sent[0].1.clone();
        harness.engine.attempt_queued(request.attempt);
        // The connection opens after the time-out but before the engine handles it, or never opens.
        if connection_opens {
            assert!(!harness.engine.begin_attempt(harness.now + request.timeout, request.attempt));
        } else {
            harness.run_until(harness.now + request.timeout);
        }
        assert_eq!(
            harness.engine.next_attempt_end().map(|e| e.outcome),
            Some(Outcome::NotSent),
            "connection_opens: {connection_opens}"
        );
    }
}

// Guards against further requests of a search, such as its next page, at a server that drains.
#[test]
fn an_attempt_is_not_continued_once_its_server_drains() {
    for drains in [true, false] {
        let mut harness = EngineHarness::new(|_| ());
        harness.submit(&[0], 2 * S).unwrap();
        let (replica, request) = harness.sent[0].clone();
        assert!(harness.engine.begin_attempt(harness.now, request.attempt));
        if drains {
            harness
                .engine
                .update_endpoints(false, vec![replica_entry(replica.0, ReplicaState::Draining, None)]);
        }
        assert_eq!(harness.engine.continue_attempt(harness.now, request.attempt), !drains);
        let expected = drains.then_some(Outcome::Cancelled);
        assert_eq!(harness.engine.next_attempt_end().map(|e| e.outcome), expected);
        // The part runs elsewhere: the attempt at the draining server did not answer it.
        harness.run_until(harness.now + 50 * MS);
        assert_eq!(harness.sent.len(), if drains { 2 } else { 1 });
    }
}
