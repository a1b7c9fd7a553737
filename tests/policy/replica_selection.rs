//! The weighted random choice of a replica, and the latency estimates that it uses.

use crate::broker::*;
use crate::common::*;
use pebbleturn::*;

#[test]
fn slower_replicas_are_selected_less_often_but_never_excluded() {
    let mut broker = ScriptedBroker::new(settings(Idempotency::Idempotent));
    run_queries(&mut broker, 400, |s| Some(if s.replica.0 == 1 { 160 * MS } else { 80 * MS }));
    let to = |n| broker.sent.iter().filter(|s| s.replica.0 == n && s.attempt == 0).count();
    assert!(to(1) > 0 && to(1) * 2 < to(0).min(to(2)), "{} {} {}", to(0), to(1), to(2));
}

#[test]
fn costly_parts_overtaken_by_others_do_not_count_against_their_replica() {
    let mut broker = ScriptedBroker::new(settings(Idempotency::Idempotent));
    // One in seven of the parts on replica 1 takes 350 ms; all other parts take 80 ms.
    let costly = |s: &Sent| s.replica.0 == 1 && (s.part.0 / 100).is_multiple_of(7);
    run_queries(&mut broker, 300, |s| Some(if costly(s) { 350 * MS } else { 80 * MS }));
    let to = |n| broker.sent.iter().filter(|s| s.replica.0 == n && s.attempt == 0).count();
    // Parts that are not overtaken still count against it, so it keeps only some of its share.
    assert!(to(1) * 12 > (to(0) + to(2)) / 2, "{} {} {}", to(0), to(1), to(2));
}

#[test]
fn parts_of_a_query_share_calls_only_where_calls_cost_work() {
    let calls = |call_work| {
        let mut s = settings(Idempotency::Idempotent);
        (s.call_work, s.parts_per_call, s.shards) = (call_work, 16, 12);
        let mut broker = ScriptedBroker::new(s);
        let mut n = 0;
        for k in 0..50 {
            let from = broker.sent.len();
            broker.query(k * 200 * MS + MS, &[0, 1, 2, 6, 7, 8], 2 * S);
            let mut to: Vec<u32> = broker.sent[from..].iter().map(|s| s.replica.0).collect();
            to.sort();
            to.dedup();
            n += to.len();
            broker.answer_all(90 * MS, from);
        }
        n
    };
    let (free, costly) = (calls(0), calls(60 * MS));
    assert!(costly * 3 < free * 2, "{costly} calls against {free}");
}

#[test]
fn a_slow_replica_is_remembered_until_its_next_part() {
    let firsts = |slow: Nanos| {
        let (mut n, mut all) = (0, 0);
        for seed in 0..20 {
            let mut broker = ScriptedBroker::seeded(settings(Idempotency::Idempotent), seed);
            let mut ends: Vec<(Nanos, Sent)> = vec![];
            // One query of three parts every three seconds: each replica answers one part every six seconds.
            for k in 0..40 {
                let from = broker.sent.len();
                broker.query(MS + k * 3 * S, &[0, 2, 4], 2 * S);
                ends.extend(broker.sent[from..].iter().map(|s| {
                    let latency = if s.replica.0 == 1 { slow } else { 80 * MS };
                    (s.at + latency, s.clone())
                }));
                ends.sort_by_key(|(t, _)| *t);
                for (t, s) in ends.drain(..) {
                    broker.now = t;
                    let end = broker.ended(&s, Outcome::Ok);
                    broker.at(t, &[end]);
                }
            }
            let late = |s: &&Sent| s.attempt == 0 && s.at > 30 * S;
            n += broker.sent.iter().filter(late).filter(|s| s.replica.0 == 1).count();
            all += broker.sent.iter().filter(late).count();
        }
        n as f64 / all as f64
    };
    let (slow, even) = (firsts(320 * MS), firsts(80 * MS));
    assert!(
        slow > 0.0 && slow < even / 2.0,
        "{slow} of the parts went to it, {even} if it is as fast as the rest"
    );
}

/// A broker among many gets an answer of each replica only every few seconds, so that a mean of five answers
/// is ten seconds old. Checks over twenty such brokers that a replica that has slowed down soon gets less
/// than a fifth of its share, and that one that has recovered gets a third of it again.
#[test]
fn a_broker_with_few_answers_adapts_within_seconds() {
    let (slow, recovered_at) = (20 * S, 40 * S);
    let mut sent_to_zero = vec![];
    for seed in 0..20 {
        let mut broker =
            ScriptedBroker::seeded(Settings { may_hedge: false, ..settings(Idempotency::Idempotent) }, seed);
        let mut done = vec![];
        for step in 0..6000 {
            let now = step * 10 * MS;
            broker.now = now;
            done.resize(broker.sent.len(), false);
            let mut ends = vec![];
            for (s, d) in broker.sent.iter().zip(done.iter_mut()) {
                let latency = if s.replica.0 == 0 && (slow..recovered_at).contains(&s.at) { 240 } else { 60 };
                if !*d && s.at + latency * MS <= now {
                    *d = true;
                    ends.push(broker.ended(s, Outcome::Ok));
                }
            }
            broker.at(now, &ends);
            if step % 100 == 0 {
                broker.query(now, &[0], 2 * S);
            }
        }
        sent_to_zero.extend(broker.sent.iter().filter(|s| s.replica.0 == 0).map(|s| s.at));
    }
    // A fair share is a third of twenty queries a second.
    let share = |from: Nanos, to: Nanos| {
        let n = sent_to_zero.iter().filter(|t| (from..to).contains(t)).count() as f64;
        n / (20.0 * ((to - from) / S) as f64)
    };
    let before = share(0, slow);
    eprintln!(
        "shares: {before} {} {} {} {}",
        share(slow + 2 * S, slow + 5 * S),
        share(slow + 5 * S, slow + 10 * S),
        share(slow + 10 * S, recovered_at),
        share(recovered_at + 10 * S, 60 * S)
    );
    assert!(before > 0.25 && before < 0.42, "{before}");
    let share_while_slow = share(slow + 2 * S, slow + 10 * S);
    assert!(share_while_slow < 0.07, "share two to ten seconds after it slowed down: {share_while_slow}");
    let share_after_recovery = share(recovered_at + 10 * S, 60 * S);
    assert!(share_after_recovery > 0.12, "share from ten seconds after it recovered: {share_after_recovery}");
}

#[test]
fn a_replica_that_loses_some_parts_and_answers_the_rest_fast_is_avoided_until_it_recovers() {
    let mut s = settings(Idempotency::NonIdempotent);
    s.may_health_check = false;
    let mut broker = ScriptedBroker::new(s);
    let lost = |s: &Sent| s.at < 20 * S && s.replica.0 == 1 && (s.part.0 / 100).is_multiple_of(5);
    let mut done = vec![];
    for step in 0..10_000u64 {
        let now = (step + 1) * 5 * MS;
        end_due(&mut broker, now, &mut done, lost);
        if step % 2 == 0 {
            broker.query(now, &[0, 2, 4], 2 * S);
        }
    }
    // Replicas 3 and 5 have as many shards as 1.
    let to = |n: u32, from: Nanos| {
        broker.sent.iter().filter(|s| s.replica.0 == n && (from..from + 12 * S).contains(&s.at)).count()
    };
    let share = |from| 2 * to(1, from) * 100 / (to(3, from) + to(5, from));
    assert!(share(8 * S) < 30, "{} % of an even share while it lost parts", share(8 * S));
    assert!(share(38 * S) > 60, "{} % of an even share when it had recovered", share(38 * S));
}
