//! The exchange without sockets and without waiting: time is an argument.

mod common;
use common::{MS, S, line, settings};
use pebbleturn::engine::*;
use pebbleturn::*;
use std::rc::Rc;

struct Bench {
    x: QueryEngine<&'static str, u32>,
    now: Nanos,
    sent: Vec<(ReplicaId, AttemptRequest<&'static str>)>,
    finals: Vec<(QueryId, Nanos, QueryOutcome<u32>)>,
    given_up: Vec<AttemptId>,
    calls: Vec<usize>,
}

impl Bench {
    fn new(change: impl FnOnce(&mut Settings)) -> Bench {
        let mut s = settings(Idempotency::Idempotent);
        change(&mut s);
        let mut x = QueryEngine::new(s, 7, 0).unwrap();
        x.update_endpoints(true, (0..6).map(|n| line(n, ReplicaState::Active, None)).collect());
        let mut b = Bench { x, now: 0, sent: vec![], finals: vec![], given_up: vec![], calls: vec![] };
        b.to(0);
        b
    }

    /// Runs all that is due up to then.
    fn to(&mut self, until: Nanos) {
        loop {
            let next = self.x.next_deadline().unwrap_or(Nanos::MAX).clamp(self.now, until);
            self.now = next;
            self.x.advance(next);
            while let Some(work) = self.x.next_action() {
                match work {
                    EngineAction::Call { replica, parts } => {
                        self.calls.push(parts.len());
                        self.sent.extend(parts.into_iter().map(|p| (replica, p)));
                    }
                    EngineAction::CancelAttempt { attempt, .. } => self.given_up.push(attempt),
                    EngineAction::Respond { query, outcome: answer } => {
                        self.finals.push((query, next, answer))
                    }
                    EngineAction::WatchEndpoints | EngineAction::HealthCheck { .. } => {}
                }
            }
            if next >= until {
                return;
            }
        }
    }

    fn open(&mut self, shards: &[u32], time_left: Nanos) -> Result<QueryId, Overloaded> {
        let weight = 1.0 / shards.len() as f64;
        let parts = shards.iter().map(|s| PartRequest { shard: *s, weight, work: None }).collect();
        let ask = QueryRequest {
            class: 0,
            tenant: None,
            key: None,
            time_left,
            is_retry: false,
            parts,
            payload: Rc::new("text"),
        };
        let opened = self.x.submit(self.now, ask);
        self.to(self.now + 10 * MS);
        opened
    }

    fn end(&mut self, n: usize, outcome: Outcome, value: Option<u32>) {
        let attempt = self.sent[n].1.attempt;
        self.x.attempt_ended(self.now, attempt, AttemptOutcome { outcome, utilization: None, value });
    }
}

#[test]
fn a_query_gets_one_answer_with_values_in_the_order_asked() {
    let mut b = Bench::new(|_| {});
    let q = b.open(&[4, 0, 2], 2 * S).unwrap();
    for n in 0..3 {
        let shard = b.sent[n].1.shard;
        b.end(n, Outcome::Ok, Some(shard * 10));
        b.end(n, Outcome::Ok, Some(99));
    }
    b.to(3 * S);
    let values = [4, 0, 2].map(|shard| ShardValue { shard, value: shard * 10 }).to_vec();
    let [(id, at, answer)] = &b.finals[..] else { panic!("{:?}", b.finals) };
    assert_eq!(
        (*id, answer),
        (q, &QueryOutcome::Answered(Answer { complete: true, values, requested_parts: 3 }))
    );
    assert!(*at < 50 * MS && b.x.open_queries() == 0);
}

#[test]
fn rounds_are_no_closer_than_the_tick_and_sends_of_one_share_calls() {
    let mut b =
        Bench::new(|s| (s.parts_per_call, s.call_work, s.span, s.round_interval) = (2, 20 * MS, 6, 50 * MS));
    b.to(S);
    let before = b.now;
    b.x.advance(before);
    let parts = (0..6).map(|shard| PartRequest { shard, weight: 1.0 / 6.0, work: None }).collect();
    let ask = QueryRequest {
        class: 0,
        tenant: None,
        key: None,
        time_left: 2 * S,
        is_retry: false,
        parts,
        payload: Rc::new("text"),
    };
    b.x.submit(before, ask.clone()).unwrap();
    b.x.advance(before);
    let first = b.x.next_deadline().unwrap();
    b.to(first);
    b.x.submit(first, ask).unwrap();
    assert!(b.x.next_deadline().unwrap() >= first + 50 * MS, "the next round waits for its tick");
    assert!(b.calls.iter().all(|n| *n <= 2) && b.calls.contains(&2), "{:?}", b.calls);
}

#[test]
fn a_query_ends_before_the_clients_time_whatever_is_silent() {
    let mut b = Bench::new(|_| {});
    for time_left in [30 * MS, 200 * MS, 2 * S] {
        let start = b.now;
        let q = b.open(&[0, 1], time_left).unwrap();
        b.to(start + 4 * S);
        let ends: Vec<Nanos> = b.finals.iter().filter(|f| f.0 == q).map(|f| f.1).collect();
        assert!(matches!(ends[..], [at] if at < start + time_left), "{ends:?}");
    }
    assert_eq!((b.x.open_queries(), b.x.attempts_in_flight()), (0, 0));
}

#[test]
fn over_max_open_a_query_is_refused_at_once_and_one_that_goes_makes_room() {
    let mut b = Bench::new(|s| s.max_in_flight = 5);
    let first = b.open(&[0, 1, 2], 2 * S).unwrap();
    let refused = b.open(&[3, 4], 2 * S).unwrap_err();
    assert!(refused.retry_after > 0 && refused.retry_after <= S);
    assert_ne!(b.open(&[3, 4], 2 * S).unwrap_err(), refused, "not all are told to come back together");
    b.x.client_disconnected(first);
    b.to(b.now + 20 * MS);
    assert!(b.finals.is_empty(), "nobody is there to be answered");
    assert!(b.sent.iter().all(|(_, d)| b.given_up.contains(&d.attempt)), "all that was out is given up");
    assert!(b.open(&[3, 4], 2 * S).is_ok());
}

#[test]
fn what_comes_late_or_without_a_value_is_no_part_of_an_answer() {
    let mut b = Bench::new(|s| (s.classes[0].min_answer_share, s.classes[0].late_weight) = (0.5, 0.0));
    b.open(&[0, 3], 2 * S).unwrap();
    b.end(0, Outcome::Ok, None);
    b.to(b.now + 50 * MS);
    let again = b.sent.iter().rposition(|(_, d)| d.shard == b.sent[0].1.shard).unwrap();
    assert!(again > 1, "a part without a value is tried elsewhere");
    b.end(again, Outcome::Ok, Some(7));
    b.to(3 * S);
    let late = b.sent.iter().position(|(_, d)| d.shard != b.sent[0].1.shard).unwrap();
    b.end(late, Outcome::Ok, Some(8));
    b.to(4 * S);
    let shard = b.sent[0].1.shard;
    let answered =
        Answer { complete: false, values: vec![ShardValue { shard, value: 7 }], requested_parts: 2 };
    assert!(matches!(&b.finals[..], [(_, _, f)] if *f == QueryOutcome::Answered(answered)), "{:?}", b.finals);
}

#[test]
fn all_queries_are_over_by_the_end_of_service_whenever_they_were_taken() {
    let mut b = Bench::new(|_| {});
    b.open(&[0], 2 * S).unwrap();
    let start = b.now;
    b.x.end_all_by(start + 500 * MS);
    b.open(&[1], 2 * S).unwrap();
    b.to(start + 3 * S);
    let ends: Vec<Nanos> = b.finals.iter().map(|f| f.1).collect();
    assert!(ends.len() == 2 && ends.iter().all(|t| *t <= start + 500 * MS), "{ends:?}");
    assert_eq!(b.x.in_flight(), 0);
}

#[test]
fn what_waits_for_a_connection_is_not_begun_once_another_copy_has_answered() {
    // Nothing is cancelled here: only the second look keeps it from being sent.
    let mut b = Bench::new(|s| s.may_cancel = false);
    b.open(&[0, 3], 2 * S).unwrap();
    let waits = b.sent.iter().position(|(_, d)| d.shard == 0).unwrap();
    b.x.attempt_queued(b.sent[waits].1.attempt);
    let copy = loop {
        if let Some(n) = (waits + 1..b.sent.len()).find(|n| b.sent[*n].1.shard == 0) {
            break n;
        }
        assert!(b.now < 2 * S, "no copy was sent");
        b.to(b.now + 5 * MS);
    };
    assert!(b.x.begin_attempt(b.now, b.sent[copy].1.attempt));
    b.end(copy, Outcome::Ok, Some(7));
    assert!(!b.x.begin_attempt(b.now, b.sent[waits].1.attempt));
}

#[test]
fn what_waits_for_a_connection_past_its_time_is_not_begun_and_has_not_run() {
    for asked in [true, false] {
        let mut b = Bench::new(|s| s.classes[0].idempotency = Idempotency::NonIdempotent);
        b.open(&[0], 2 * S).unwrap();
        let dispatch = b.sent[0].1.clone();
        b.x.attempt_queued(dispatch.attempt);
        // The connection comes up before the time-out is looked at, or it never does.
        if asked {
            assert!(!b.x.begin_attempt(b.now + dispatch.timeout, dispatch.attempt));
        } else {
            b.to(b.now + dispatch.timeout);
        }
        assert_eq!(b.x.next_attempt_end().map(|e| e.outcome), Some(Outcome::NotSent), "asked: {asked}");
    }
}
