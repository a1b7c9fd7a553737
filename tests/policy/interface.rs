//! Determinism, settings and unknown ids.

use crate::broker::*;
use crate::common::*;
use pebbleturn::*;

#[test]
fn same_events_give_same_actions_and_instances_share_nothing() {
    let run = |seed| {
        let mut broker = ScriptedBroker::seeded(settings(Idempotency::Idempotent), seed);
        run_queries(&mut broker, 50, |s| Some((70 + 10 * s.replica.0 as u64) * MS));
        broker.actions
    };
    let alone = run(3);
    let mut a = ScriptedBroker::seeded(settings(Idempotency::Idempotent), 3);
    let mut b = ScriptedBroker::seeded(settings(Idempotency::Idempotent), 4);
    run_queries(&mut b, 20, |_| Some(300 * MS));
    run_queries(&mut a, 50, |s| Some((70 + 10 * s.replica.0 as u64) * MS));
    assert_eq!(alone, a.actions);
    assert_ne!(alone, run(4), "the seed must matter");
}

#[test]
fn unusable_settings_are_an_error() {
    let broken: [fn(&mut Settings); 5] = [
        |s| s.classes.clear(),
        |s| s.cells = 0,
        |s| s.max_attempts = 0,
        |s| s.classes[0].latency_objective = 0,
        |s| s.classes[0].priority_weight = f64::NAN,
    ];
    for b in broken {
        let mut s = settings(Idempotency::Idempotent);
        b(&mut s);
        assert!(Balancer::new(s, 1, 0).is_err());
    }
}

#[test]
fn unknown_ids_are_ignored() {
    let mut broker = ScriptedBroker::new(settings(Idempotency::Idempotent));
    let (part, replica) = (RequestId(5), ReplicaId(99));
    let actions = broker.at(
        MS,
        &[
            Event::AttemptEnded {
                part,
                replica,
                attempt: 3,
                latency: 1,
                outcome: Outcome::Ok,
                utilization: None,
            },
            Event::ClientDisconnected { query: part },
            Event::HealthChecked { replica, ok: true, latency: 1, utilization: None },
            Event::Part { part, job: 77, shard: 0, weight: 1.0 },
            Event::WatchFailed,
            Event::TimerFired,
        ],
    );
    assert!(!actions.iter().any(|a| matches!(a, Action::Send { .. } | Action::Fail { .. })));
}
