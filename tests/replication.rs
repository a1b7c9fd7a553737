//! Replicated state: the properties of the join, garbage collection, and anti-entropy.

use pebbleturn::replication::anti_entropy::{self, SyncMessage, SyncSession};
use pebbleturn::replication::derived_state::DerivedState;
use pebbleturn::replication::rumor_queue::RumorQueue;
use pebbleturn::replication::*;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::Rng;
use std::collections::BTreeSet;

const SECOND: u64 = 1_000_000_000;
const NOW: u64 = 1_000_000 * SECOND;
const LIMITS: StoreLimits = StoreLimits {
    max_registers: 64,
    max_servers: 8,
    retention: 100 * SECOND,
    max_clock_lead: 600 * SECOND,
    max_origins: 1000,
};

fn command(value: CommandValue, issued_at: u64) -> OperatorCommand {
    OperatorCommand {
        value,
        author: "w".into(),
        reason: "y".into(),
        broker: "b".into(),
        issued_at,
        expires_at: None,
    }
}

fn server(n: u32) -> FactKey {
    FactKey::Server(format!("s-{n}"))
}

fn stores(n: u64) -> Vec<StateStore> {
    (0..n).map(|n| StateStore::new(Origin(n + 1), LIMITS)).collect()
}

/// Joins all facts of one store into another; none may be rejected.
fn join_all(from: &StateStore, to: &mut StateStore, now: u64) {
    for (key, value) in from.facts() {
        to.join(key, value, now).unwrap();
    }
}

/// Runs sessions until the stores are equal. Returns the number of messages and the size of the largest in
/// bytes.
fn reconcile(a: &mut StateStore, b: &mut StateStore, budget: usize) -> (usize, usize) {
    let (mut messages, mut largest) = (0, 0);
    for _ in 0..1000 {
        let (mut session, mut request) = SyncSession::begin(a, budget);
        loop {
            for (key, value) in request.facts() {
                b.join(key, value, NOW).unwrap();
            }
            let response = anti_entropy::respond(b, &request).unwrap();
            for (key, value) in response.facts() {
                a.join(key, value, NOW).unwrap();
            }
            messages += 2;
            for m in [&request, &response] {
                largest = largest.max(postcard::to_allocvec(m).unwrap().len());
            }
            match session.on_response(a, &response).unwrap() {
                Some(next) => request = next,
                None => break,
            }
        }
        if session.is_complete() && a.tree().root() == b.tree().root() {
            return (messages, largest);
        }
    }
    panic!("the stores did not become equal");
}

fn random_below(rng: &mut Pcg32, n: usize) -> usize {
    rng.next_u32() as usize % n
}

/// A random step at one of several stores: a command, a report of discovery, garbage collection, an old fact
/// that is joined again, or the facts of another store, some of which are lost.
fn random_step(stores: &mut [StateStore], old_facts: &mut Vec<Fact>, rng: &mut Pcg32, now: u64) {
    let target = random_below(rng, stores.len());
    match random_below(rng, 8) {
        0 | 1 => {
            let value =
                [CommandValue::Set, CommandValue::Clear, CommandValue::Clear][random_below(rng, 3)].clone();
            let key = if random_below(rng, 8) == 0 {
                FactKey::Pause("b".into())
            } else {
                server(random_below(rng, 4) as u32)
            };
            stores[target].record(&key, command(value, now)).unwrap();
        }
        2 => {
            let id = format!("s-{}", random_below(rng, 20));
            let latest = ProcessStart {
                started: random_below(rng, 50) as u64 * SECOND,
                list_version: random_below(rng, 9) as u64,
            };
            let key = if random_below(rng, 2) == 0 { FactKey::Drain(id) } else { FactKey::Start(id) };
            stores[target].join(&key, &FactValue::Latest(latest), now).unwrap();
        }
        3 if random_below(rng, 3) == 0 => drop(stores[target].collect_garbage(now)),
        4 if !old_facts.is_empty() => {
            let (key, value) = old_facts[random_below(rng, old_facts.len())].clone();
            stores[target].join(&key, &value, now).unwrap();
        }
        _ => {
            let from = random_below(rng, stores.len());
            let facts: Vec<Fact> = stores[from].facts().map(|(k, e)| (k.clone(), e.clone())).collect();
            for (key, value) in facts {
                if random_below(rng, 3) > 0 {
                    stores[target].join(&key, &value, now).unwrap();
                    if random_below(rng, 10) == 0 {
                        old_facts.push((key, value));
                    }
                }
            }
        }
    }
}

/// Joining is commutative, associative and idempotent for stores with thousands of random histories.
#[test]
fn stores_join_to_equal_bytes_in_any_order() {
    for seed in 0..2000 {
        let mut rng = Pcg32::new(seed, 1);
        let mut all = stores(3);
        let mut old_facts = Vec::new();
        let mut now = NOW;
        for _ in 0..30 {
            now += random_below(&mut rng, 30) as u64 * SECOND;
            random_step(&mut all, &mut old_facts, &mut rng, now);
        }
        let joined = |order: &[usize]| {
            let mut store = StateStore::new(Origin(99), LIMITS);
            for n in order {
                join_all(&all[*n], &mut store, now);
                join_all(&all[*n], &mut store, now);
            }
            store.to_bytes()
        };
        let one = joined(&[0, 1, 2]);
        for order in [[0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]] {
            assert_eq!(joined(&order), one, "seed {seed}, order {order:?}");
        }
        let mut pair = all[1].clone();
        join_all(&all[2], &mut pair, now);
        let mut grouped = all[0].clone();
        join_all(&pair, &mut grouped, now);
        assert_eq!(grouped.to_bytes(), one, "seed {seed}");
        // Stores with equal bytes have equal digests.
        let mut others = all.clone();
        for to in &mut others {
            all.iter().for_each(|from| join_all(from, to, now));
        }
        assert!(
            others
                .iter()
                .all(|store| store.tree().root() == grouped.tree().root() && store.to_bytes() == one)
        );
    }
}

/// No order of joins, losses and garbage collection restores a superseded command, or loses a command that
/// was not superseded. The oracle records for each command which ones its store held when it was recorded.
#[test]
fn superseded_commands_never_return_and_others_are_never_lost() {
    for seed in 0..2000 {
        let mut rng = Pcg32::new(seed, 2);
        let mut all = stores(4);
        let mut old_facts: Vec<Fact> = Vec::new();
        // All commands on one server: the dot, the value, and whether a later command superseded it.
        let mut commands: Vec<(Dot, CommandValue, bool)> = Vec::new();
        let mut now = NOW;
        for _ in 0..60 {
            now += random_below(&mut rng, 40) as u64 * SECOND;
            let target = random_below(&mut rng, all.len());
            match random_below(&mut rng, 6) {
                0 | 1 => {
                    let superseded: Vec<Dot> = all[target]
                        .register(&server(0))
                        .map_or(vec![], |r| r.commands().map(|(d, _)| d).collect());
                    let value =
                        if random_below(&mut rng, 3) == 0 { CommandValue::Set } else { CommandValue::Clear };
                    let dot = all[target].record(&server(0), command(value.clone(), now)).unwrap();
                    assert!(commands.iter().all(|(d, ..)| *d != dot), "a dot is used twice");
                    commands
                        .iter_mut()
                        .filter(|(d, ..)| superseded.contains(d))
                        .for_each(|command| command.2 = true);
                    commands.push((dot, value, false));
                }
                2 => drop(all[target].collect_garbage(now)),
                3 if !old_facts.is_empty() => {
                    let (key, value) = old_facts[random_below(&mut rng, old_facts.len())].clone();
                    all[target].join(&key, &value, now).unwrap();
                }
                4 => {
                    // Facts of a store that is joined much later, as by a process that was disconnected.
                    let old = all[target].clone();
                    old_facts.extend(old.facts().map(|(k, e)| (k.clone(), e.clone())));
                }
                _ => {
                    let from = all[random_below(&mut rng, 4)].clone();
                    join_all(&from, &mut all[target], now);
                }
            }
        }
        let mut merged = StateStore::new(Origin(99), LIMITS);
        for (key, value) in &old_facts {
            merged.join(key, value, now).unwrap();
        }
        all.iter().for_each(|store| join_all(store, &mut merged, now));
        let retained: BTreeSet<Dot> =
            merged.register(&server(0)).map_or(BTreeSet::new(), |r| r.commands().map(|(d, _)| d).collect());
        for (dot, value, is_superseded) in &commands {
            if *is_superseded {
                assert!(!retained.contains(dot), "seed {seed}: {dot} was restored");
            } else if *value == CommandValue::Set {
                assert!(retained.contains(dot), "seed {seed}: {dot} is lost");
            }
        }
    }
}

#[test]
fn concurrent_commands_conflict_and_the_condition_stays_set_until_the_next_command() {
    let mut all = stores(3);
    all[0].record(&server(1), command(CommandValue::Set, NOW)).unwrap();
    let (a, b) = (all[0].clone(), &mut all[1]);
    join_all(&a, b, NOW);
    // While disconnected, one broker disables the server again and the other enables it.
    all[0].record(&server(1), command(CommandValue::Set, NOW + SECOND)).unwrap();
    all[1].record(&server(1), command(CommandValue::Clear, NOW + 9 * SECOND)).unwrap();
    let (a, b) = (all[0].clone(), all[1].clone());
    join_all(&b, &mut all[0], NOW);
    join_all(&a, &mut all[1], NOW);
    for store in &all[..2] {
        let derived = DerivedState::new(store, "b", NOW + 10 * SECOND);
        assert!(derived.disabled_servers.contains("s-1") && derived.conflicts.contains(&server(1)));
        let origins: Vec<Origin> =
            store.register(&server(1)).unwrap().commands().map(|(d, _)| d.origin).collect();
        assert_eq!(origins, [Origin(1), Origin(2)]);
    }
    // The next command resolves the conflict, at any broker that knows both commands.
    let a = all[0].clone();
    join_all(&a, &mut all[2], NOW);
    all[2].record(&server(1), command(CommandValue::Clear, NOW)).unwrap();
    let c = all[2].clone();
    join_all(&c, &mut all[0], NOW);
    let derived = DerivedState::new(&all[0], "b", NOW);
    assert!(derived.disabled_servers.is_empty() && derived.conflicts.is_empty());
}

#[test]
fn a_command_ends_at_its_expiry_which_is_reported() {
    let mut store = StateStore::new(Origin(1), LIMITS);
    store
        .record(
            &server(1),
            OperatorCommand { expires_at: Some(NOW + 5 * SECOND), ..command(CommandValue::Set, NOW) },
        )
        .unwrap();
    store.record(&FactKey::Pause("b".into()), command(CommandValue::Set, NOW)).unwrap();
    let derived = DerivedState::new(&store, "b", NOW);
    assert!(
        derived.disabled_servers.contains("s-1")
            && derived.paused
            && derived.next_expiry() == Some(NOW + 5 * SECOND)
    );
    assert!(!DerivedState::new(&store, "other", NOW).paused);
    assert!(DerivedState::new(&store, "b", NOW + 5 * SECOND).disabled_servers.is_empty());
    assert!(store.collect_garbage(NOW + 100 * SECOND).is_empty());
    assert_eq!(store.collect_garbage(NOW + 106 * SECOND), [server(1), FactKey::Collected(Origin(1))]);
    assert!(store.register(&server(1)).is_none() && store.register(&FactKey::Pause("b".into())).is_some());
}

#[test]
fn the_latest_start_wins_and_one_ahead_of_the_clock_is_rejected() {
    let mut store = StateStore::new(Origin(1), LIMITS);
    let start = |started| FactValue::Latest(ProcessStart { started, list_version: 0 });
    let key = |n: u64| FactKey::Start(format!("s-{n}"));
    assert_eq!(store.join(&key(1), &start(NOW), NOW), Ok(true));
    assert_eq!(store.join(&key(1), &start(NOW - SECOND), NOW), Ok(false));
    assert_eq!(store.join(&key(1), &start(u64::MAX), NOW), Err(JoinError::FromTheFuture));
    for n in 2..50 {
        store.join(&key(n), &start(NOW + n), NOW).unwrap();
    }
    assert_eq!(store.len(), LIMITS.max_servers);
    assert_eq!(store.join(&key(1), &start(NOW), NOW), Ok(false), "the earliest report is not stored again");
}

#[test]
fn invalid_facts_are_rejected_and_the_number_of_facts_is_bounded() {
    let mut store = StateStore::new(Origin(1), LIMITS);
    let register = FactValue::Commands(Register::default());
    assert_eq!(store.join(&FactKey::Drain("s".into()), &register, NOW), Err(JoinError::Invalid));
    assert_eq!(store.join(&FactKey::Server(String::new()), &register, NOW), Err(JoinError::Invalid));
    assert_eq!(
        store.record(&FactKey::Server("x".repeat(129)), command(CommandValue::Set, NOW)),
        Err(JoinError::Invalid)
    );
    let mut text = command(CommandValue::Text("x".repeat(4097)), NOW);
    assert_eq!(store.record(&FactKey::MaintenanceOrder("w".into()), text.clone()), Err(JoinError::Invalid));
    text.value = CommandValue::Text("order".into());
    store.record(&FactKey::MaintenanceOrder("w".into()), text).unwrap();
    for n in 1..64 {
        store.record(&server(n), command(CommandValue::Set, NOW)).unwrap();
    }
    assert_eq!(store.record(&server(64), command(CommandValue::Set, NOW)), Err(JoinError::AtCapacity));
    store.record(&server(1), command(CommandValue::Clear, NOW)).unwrap();
    // Valid registers of another store are accepted up to twice the limit.
    let mut other = StateStore::new(Origin(2), StoreLimits { max_registers: 1000, ..LIMITS });
    for n in 0..500 {
        other.record(&FactKey::Server(format!("f-{n}")), command(CommandValue::Set, NOW)).unwrap();
    }
    let rejected = other.facts().filter(|(k, e)| store.join(k, e, NOW) == Err(JoinError::AtCapacity)).count();
    assert!(rejected > 300 && store.len() <= 128);
}

#[test]
fn a_duplicate_origin_is_detected_before_a_dot_is_reused() {
    let mut all = stores(1);
    all[0].record(&server(1), command(CommandValue::Set, NOW)).unwrap();
    let mut duplicate = all[0].clone();
    duplicate.record(&server(2), command(CommandValue::Set, NOW)).unwrap();
    join_all(&duplicate, &mut all[0], NOW);
    assert!(all[0].has_duplicate_origin());
    all[0].set_origin(Origin(7));
    assert_eq!(all[0].record(&server(3), command(CommandValue::Set, NOW)).unwrap().origin, Origin(7));
}

#[test]
fn sessions_reconcile_stores_in_bounded_messages_and_continue_after_a_break() {
    let large_limits = StoreLimits { max_registers: 20_000, ..StoreLimits::default() };
    let (mut a, mut b) = (StateStore::new(Origin(1), large_limits), StateStore::new(Origin(2), large_limits));
    for n in 0..5000 {
        a.record(&server(n), command(CommandValue::Set, NOW)).unwrap();
    }
    join_all(&a.clone(), &mut b, NOW);
    a.record(&server(7), command(CommandValue::Clear, NOW)).unwrap();
    b.record(&server(4711), command(CommandValue::Clear, NOW)).unwrap();
    let (messages, largest) = reconcile(&mut a, &mut b, 1 << 20);
    assert!(messages <= 8 && largest < 4096, "{messages} messages, {largest} bytes");
    assert_eq!(a.to_bytes(), b.to_bytes());
    // An empty store, with sessions that stop after 100 KB each.
    let mut c = StateStore::new(Origin(3), large_limits);
    let (_, largest) = reconcile(&mut c, &mut a, 100_000);
    assert!(largest < 2 * anti_entropy::MAX_FACT_BYTES, "{largest}");
    assert_eq!(c.to_bytes(), a.to_bytes());
}

#[test]
fn many_concurrent_commands_travel_in_bounded_messages() {
    let mut a = StateStore::new(Origin(1000), StoreLimits::default());
    for n in 0..300 {
        let mut other = StateStore::new(Origin(n + 1), StoreLimits::default());
        let mut concurrent = command(if n % 2 == 0 { CommandValue::Set } else { CommandValue::Clear }, NOW);
        concurrent.reason = "x".repeat(250);
        other.record(&server(1), concurrent.clone()).unwrap();
        // One command is superseded: the parts of the split register must keep it superseded.
        if n == 5 {
            other.record(&server(1), concurrent).unwrap();
        }
        join_all(&other, &mut a, NOW);
    }
    let mut b = StateStore::new(Origin(2000), StoreLimits::default());
    let (_, largest) = reconcile(&mut b, &mut a, 1 << 20);
    assert!(largest < 2 * anti_entropy::MAX_FACT_BYTES, "{largest}");
    assert_eq!(a.to_bytes(), b.to_bytes());
    let mut c = StateStore::new(Origin(2001), StoreLimits::default());
    reconcile(&mut a, &mut c, 1 << 20);
    assert_eq!(a.to_bytes(), c.to_bytes());
}

#[test]
fn messages_out_of_turn_end_a_session() {
    let a = StateStore::new(Origin(1), LIMITS);
    let (session, _) = SyncSession::begin(&a, 1000);
    for m in [
        SyncMessage::PushAccepted,
        SyncMessage::LeafDigests { digests: vec![] },
        SyncMessage::BranchDigests { digests: vec![1] },
    ] {
        assert!(session.clone().on_response(&a, &m).is_err());
    }
    for m in [
        SyncMessage::PushAccepted,
        SyncMessage::RequestLeaves { branches: vec![0; 17] },
        SyncMessage::RequestFacts { leaves: vec![0; 257], from: None },
    ] {
        assert!(anti_entropy::respond(&a, &m).is_err());
    }
}

#[test]
fn rumors_are_sent_for_a_few_rounds_newest_first_and_large_facts_are_left_to_anti_entropy() {
    let mut store = StateStore::new(Origin(1), StoreLimits::default());
    let mut rumors = RumorQueue::default();
    let mut large = command(CommandValue::Text("x".repeat(3000)), NOW);
    large.reason = "large".into();
    store.record(&FactKey::MaintenanceOrder("w".into()), large).unwrap();
    rumors.push(FactKey::MaintenanceOrder("w".into()), 3);
    for n in 0..3 {
        store.record(&server(n), command(CommandValue::Set, NOW)).unwrap();
        rumors.push(server(n), 3);
    }
    let mut sent = 0;
    while !rumors.is_empty() {
        let facts = rumors.take(&store, 1000);
        assert!(facts.iter().map(anti_entropy::encoded_size).sum::<usize>() <= 1000);
        sent += facts.len();
    }
    assert_eq!(sent as u32, 3 * pebbleturn::replication::rumor_queue::dissemination_rounds(3));
}
