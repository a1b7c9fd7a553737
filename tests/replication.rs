//! The copies of what all brokers are to know: what joining proves, what is forgotten, where copies differ.

use pebbleturn::replication::anti_entropy::{self, SyncMessage, SyncSession};
use pebbleturn::replication::derived_state::DerivedState;
use pebbleturn::replication::rumor_queue::RumorQueue;
use pebbleturn::replication::*;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::Rng;
use std::collections::BTreeSet;

const S: u64 = 1_000_000_000;
const NOW: u64 = 1_000_000 * S;
const BOUNDS: StoreLimits = StoreLimits {
    max_registers: 64,
    max_servers: 8,
    retention: 100 * S,
    max_clock_lead: 600 * S,
    max_origins: 1000,
};

fn said(value: CommandValue, at: u64) -> OperatorCommand {
    OperatorCommand {
        value,
        author: "w".into(),
        reason: "y".into(),
        broker: "b".into(),
        issued_at: at,
        expires_at: None,
    }
}

fn server(n: u32) -> FactKey {
    FactKey::Server(format!("s-{n}"))
}

fn copies(n: u64) -> Vec<StateStore> {
    (0..n).map(|n| StateStore::new(Origin(n + 1), BOUNDS)).collect()
}

/// All that one copy holds goes to another; refused facts are none.
fn give(from: &StateStore, to: &mut StateStore, now: u64) {
    for (key, entry) in from.facts() {
        to.join(key, entry, now).unwrap();
    }
}

/// Two copies walk until they are equal; tells the number of messages and bytes of the largest.
fn walked(a: &mut StateStore, b: &mut StateStore, budget: usize) -> (usize, usize) {
    let (mut messages, mut largest) = (0, 0);
    for _ in 0..1000 {
        let (mut walk, mut ask) = SyncSession::begin(a, budget);
        loop {
            for (key, entry) in ask.facts() {
                b.join(key, entry, NOW).unwrap();
            }
            let answer = anti_entropy::respond(b, &ask).unwrap();
            for (key, entry) in answer.facts() {
                a.join(key, entry, NOW).unwrap();
            }
            messages += 2;
            for m in [&ask, &answer] {
                largest = largest.max(postcard::to_allocvec(m).unwrap().len());
            }
            match walk.on_response(a, &answer).unwrap() {
                Some(next) => ask = next,
                None => break,
            }
        }
        if walk.is_complete() && a.tree().root() == b.tree().root() {
            return (messages, largest);
        }
    }
    panic!("they never became equal");
}

fn pick(rng: &mut Pcg32, n: usize) -> usize {
    rng.next_u32() as usize % n
}

/// A random step at one of several copies: a word, a fact from discovery, time to forget, or facts of another copy, some
/// of them lost and some of them old ones from a pile.
fn step(copies: &mut [StateStore], pile: &mut Vec<Fact>, rng: &mut Pcg32, now: u64) {
    let at = pick(rng, copies.len());
    match pick(rng, 8) {
        0 | 1 => {
            let value = [CommandValue::Set, CommandValue::Clear, CommandValue::Clear][pick(rng, 3)].clone();
            let key =
                if pick(rng, 8) == 0 { FactKey::Pause("b".into()) } else { server(pick(rng, 4) as u32) };
            copies[at].record(&key, said(value, now)).unwrap();
        }
        2 => {
            let id = format!("s-{}", pick(rng, 20));
            let latest =
                ProcessStart { started: pick(rng, 50) as u64 * S, list_version: pick(rng, 9) as u64 };
            let key = if pick(rng, 2) == 0 { FactKey::Drain(id) } else { FactKey::Start(id) };
            copies[at].join(&key, &FactValue::Latest(latest), now).unwrap();
        }
        3 if pick(rng, 3) == 0 => drop(copies[at].collect_garbage(now)),
        4 if !pile.is_empty() => {
            let (key, entry) = pile[pick(rng, pile.len())].clone();
            copies[at].join(&key, &entry, now).unwrap();
        }
        _ => {
            let from = pick(rng, copies.len());
            let facts: Vec<Fact> = copies[from].facts().map(|(k, e)| (k.clone(), e.clone())).collect();
            for (key, entry) in facts {
                if pick(rng, 3) > 0 {
                    copies[at].join(&key, &entry, now).unwrap();
                    if pick(rng, 10) == 0 {
                        pile.push((key, entry));
                    }
                }
            }
        }
    }
}

/// Joining is commutative, associative and idempotent, over copies that thousands of random histories made.
#[test]
fn copies_join_to_the_same_in_any_order() {
    for seed in 0..2000 {
        let mut rng = Pcg32::new(seed, 1);
        let mut all = copies(3);
        let mut pile = Vec::new();
        let mut now = NOW;
        for _ in 0..30 {
            now += pick(&mut rng, 30) as u64 * S;
            step(&mut all, &mut pile, &mut rng, now);
        }
        let joined = |order: &[usize]| {
            let mut copy = StateStore::new(Origin(99), BOUNDS);
            for n in order {
                give(&all[*n], &mut copy, now);
                give(&all[*n], &mut copy, now);
            }
            copy.to_bytes()
        };
        let one = joined(&[0, 1, 2]);
        for order in [[0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]] {
            assert_eq!(joined(&order), one, "seed {seed}, order {order:?}");
        }
        let mut pair = all[1].clone();
        give(&all[2], &mut pair, now);
        let mut grouped = all[0].clone();
        give(&pair, &mut grouped, now);
        assert_eq!(grouped.to_bytes(), one, "seed {seed}");
        // The digests say the same as the bytes.
        let mut others = all.clone();
        for to in &mut others {
            all.iter().for_each(|from| give(from, to, now));
        }
        assert!(others.iter().all(|c| c.tree().root() == grouped.tree().root() && c.to_bytes() == one));
    }
}

/// No order of merges, losses and forgetting brings a word back that a later one ended, and none is lost that was not.
/// The oracle knows who had heard of what when each word was given.
#[test]
fn what_was_ended_never_comes_back_and_what_was_not_stays() {
    for seed in 0..2000 {
        let mut rng = Pcg32::new(seed, 2);
        let mut all = copies(4);
        let mut pile: Vec<Fact> = Vec::new();
        // Every word on one server: its stamp, and whether a later word was given by somebody who knew it.
        let mut words: Vec<(Dot, CommandValue, bool)> = Vec::new();
        let mut now = NOW;
        for _ in 0..60 {
            now += pick(&mut rng, 40) as u64 * S;
            let at = pick(&mut rng, all.len());
            match pick(&mut rng, 6) {
                0 | 1 => {
                    let standing: Vec<Dot> = all[at]
                        .register(&server(0))
                        .map_or(vec![], |r| r.commands().map(|(d, _)| d).collect());
                    let value = if pick(&mut rng, 3) == 0 { CommandValue::Set } else { CommandValue::Clear };
                    let dot = all[at].record(&server(0), said(value.clone(), now)).unwrap();
                    assert!(words.iter().all(|(d, ..)| *d != dot), "a stamp is used twice");
                    words.iter_mut().filter(|(d, ..)| standing.contains(d)).for_each(|w| w.2 = true);
                    words.push((dot, value, false));
                }
                2 => drop(all[at].collect_garbage(now)),
                3 if !pile.is_empty() => {
                    let (key, entry) = pile[pick(&mut rng, pile.len())].clone();
                    all[at].join(&key, &entry, now).unwrap();
                }
                4 => {
                    // One that was away since long ago: another process with an old copy.
                    let old = all[at].clone();
                    pile.extend(old.facts().map(|(k, e)| (k.clone(), e.clone())));
                }
                _ => {
                    let from = all[pick(&mut rng, 4)].clone();
                    give(&from, &mut all[at], now);
                }
            }
        }
        let mut end = StateStore::new(Origin(99), BOUNDS);
        for (key, entry) in &pile {
            end.join(key, entry, now).unwrap();
        }
        all.iter().for_each(|c| give(c, &mut end, now));
        let stand: BTreeSet<Dot> =
            end.register(&server(0)).map_or(BTreeSet::new(), |r| r.commands().map(|(d, _)| d).collect());
        for (dot, value, ended) in &words {
            if *ended {
                assert!(!stand.contains(dot), "seed {seed}: {dot} came back");
            } else if *value == CommandValue::Set {
                assert!(stand.contains(dot), "seed {seed}: {dot} is forgotten");
            }
        }
    }
}

#[test]
fn words_that_know_nothing_of_each_other_are_a_conflict_on_the_careful_side_until_the_next_one() {
    let mut all = copies(3);
    all[0].record(&server(1), said(CommandValue::Set, NOW)).unwrap();
    let (a, b) = (all[0].clone(), &mut all[1]);
    give(&a, b, NOW);
    // Cut off from each other: one puts it back, the other takes it out anew.
    all[0].record(&server(1), said(CommandValue::Set, NOW + S)).unwrap();
    all[1].record(&server(1), said(CommandValue::Clear, NOW + 9 * S)).unwrap();
    let (a, b) = (all[0].clone(), all[1].clone());
    give(&b, &mut all[0], NOW);
    give(&a, &mut all[1], NOW);
    for copy in &all[..2] {
        let effect = DerivedState::new(copy, "b", NOW + 10 * S);
        assert!(effect.disabled_servers.contains("s-1") && effect.conflicts.contains(&server(1)));
        let origins: Vec<Origin> =
            copy.register(&server(1)).unwrap().commands().map(|(d, _)| d.origin).collect();
        assert_eq!(origins, [Origin(1), Origin(2)]);
    }
    // The next word settles it, whoever gives it.
    let a = all[0].clone();
    give(&a, &mut all[2], NOW);
    all[2].record(&server(1), said(CommandValue::Clear, NOW)).unwrap();
    let c = all[2].clone();
    give(&c, &mut all[0], NOW);
    let effect = DerivedState::new(&all[0], "b", NOW);
    assert!(effect.disabled_servers.is_empty() && effect.conflicts.is_empty());
}

#[test]
fn a_ban_until_some_time_ends_by_itself_and_tells_when() {
    let mut copy = StateStore::new(Origin(1), BOUNDS);
    copy.record(
        &server(1),
        OperatorCommand { expires_at: Some(NOW + 5 * S), ..said(CommandValue::Set, NOW) },
    )
    .unwrap();
    copy.record(&FactKey::Pause("b".into()), said(CommandValue::Set, NOW)).unwrap();
    let effect = DerivedState::new(&copy, "b", NOW);
    assert!(
        effect.disabled_servers.contains("s-1") && effect.paused && effect.next_expiry() == Some(NOW + 5 * S)
    );
    assert!(!DerivedState::new(&copy, "other", NOW).paused);
    assert!(DerivedState::new(&copy, "b", NOW + 5 * S).disabled_servers.is_empty());
    assert!(copy.collect_garbage(NOW + 100 * S).is_empty());
    assert_eq!(copy.collect_garbage(NOW + 106 * S), [server(1), FactKey::Collected(Origin(1))]);
    assert!(copy.register(&server(1)).is_none() && copy.register(&FactKey::Pause("b".into())).is_some());
}

#[test]
fn the_later_start_holds_and_one_that_lies_ahead_is_refused() {
    let mut copy = StateStore::new(Origin(1), BOUNDS);
    let start = |started| FactValue::Latest(ProcessStart { started, list_version: 0 });
    let key = |n: u64| FactKey::Start(format!("s-{n}"));
    assert_eq!(copy.join(&key(1), &start(NOW), NOW), Ok(true));
    assert_eq!(copy.join(&key(1), &start(NOW - S), NOW), Ok(false));
    assert_eq!(copy.join(&key(1), &start(u64::MAX), NOW), Err(JoinError::FromTheFuture));
    for n in 2..50 {
        copy.join(&key(n), &start(NOW + n), NOW).unwrap();
    }
    assert_eq!(copy.len(), BOUNDS.max_servers);
    assert_eq!(copy.join(&key(1), &start(NOW), NOW), Ok(false), "the earliest stays out");
}

#[test]
fn made_up_facts_are_refused_and_their_number_is_bounded() {
    let mut copy = StateStore::new(Origin(1), BOUNDS);
    let words = FactValue::Commands(Register::default());
    assert_eq!(copy.join(&FactKey::Drain("s".into()), &words, NOW), Err(JoinError::Invalid));
    assert_eq!(copy.join(&FactKey::Server(String::new()), &words, NOW), Err(JoinError::Invalid));
    assert_eq!(
        copy.record(&FactKey::Server("x".repeat(129)), said(CommandValue::Set, NOW)),
        Err(JoinError::Invalid)
    );
    let mut text = said(CommandValue::Text("x".repeat(4097)), NOW);
    assert_eq!(copy.record(&FactKey::MaintenanceOrder("w".into()), text.clone()), Err(JoinError::Invalid));
    text.value = CommandValue::Text("order".into());
    copy.record(&FactKey::MaintenanceOrder("w".into()), text).unwrap();
    for n in 1..64 {
        copy.record(&server(n), said(CommandValue::Set, NOW)).unwrap();
    }
    assert_eq!(copy.record(&server(64), said(CommandValue::Set, NOW)), Err(JoinError::AtCapacity));
    copy.record(&server(1), said(CommandValue::Clear, NOW)).unwrap();
    // A flood of sound words from elsewhere: twice as many at most.
    let mut flood = StateStore::new(Origin(2), StoreLimits { max_registers: 1000, ..BOUNDS });
    for n in 0..500 {
        flood.record(&FactKey::Server(format!("f-{n}")), said(CommandValue::Set, NOW)).unwrap();
    }
    let refused = flood.facts().filter(|(k, e)| copy.join(k, e, NOW) == Err(JoinError::AtCapacity)).count();
    assert!(refused > 300 && copy.len() <= 128);
}

#[test]
fn memory_that_was_copied_is_noticed_before_a_stamp_is_used_twice() {
    let mut all = copies(1);
    all[0].record(&server(1), said(CommandValue::Set, NOW)).unwrap();
    let mut twin = all[0].clone();
    twin.record(&server(2), said(CommandValue::Set, NOW)).unwrap();
    give(&twin, &mut all[0], NOW);
    assert!(all[0].has_duplicate_origin());
    all[0].set_origin(Origin(7));
    assert_eq!(all[0].record(&server(3), said(CommandValue::Set, NOW)).unwrap().origin, Origin(7));
}

#[test]
fn copies_find_what_differs_in_bounded_messages_and_go_on_after_a_break() {
    let wide = StoreLimits { max_registers: 20_000, ..StoreLimits::default() };
    let (mut a, mut b) = (StateStore::new(Origin(1), wide), StateStore::new(Origin(2), wide));
    for n in 0..5000 {
        a.record(&server(n), said(CommandValue::Set, NOW)).unwrap();
    }
    give(&a.clone(), &mut b, NOW);
    a.record(&server(7), said(CommandValue::Clear, NOW)).unwrap();
    b.record(&server(4711), said(CommandValue::Clear, NOW)).unwrap();
    let (messages, largest) = walked(&mut a, &mut b, 1 << 20);
    assert!(messages <= 8 && largest < 4096, "{messages} messages, {largest} bytes");
    assert_eq!(a.to_bytes(), b.to_bytes());
    // One that knows nothing, with breaks after each 100 KB.
    let mut c = StateStore::new(Origin(3), wide);
    let (_, largest) = walked(&mut c, &mut a, 100_000);
    assert!(largest < 2 * anti_entropy::MAX_FACT_BYTES, "{largest}");
    assert_eq!(c.to_bytes(), a.to_bytes());
}

#[test]
fn many_words_side_by_side_still_travel_in_bounded_messages() {
    let mut a = StateStore::new(Origin(1000), StoreLimits::default());
    for n in 0..300 {
        let mut other = StateStore::new(Origin(n + 1), StoreLimits::default());
        let mut word = said(if n % 2 == 0 { CommandValue::Set } else { CommandValue::Clear }, NOW);
        word.reason = "x".repeat(250);
        other.record(&server(1), word.clone()).unwrap();
        // A word that was ended is known as ended in whatever piece it comes.
        if n == 5 {
            other.record(&server(1), word).unwrap();
        }
        give(&other, &mut a, NOW);
    }
    let mut b = StateStore::new(Origin(2000), StoreLimits::default());
    let (_, largest) = walked(&mut b, &mut a, 1 << 20);
    assert!(largest < 2 * anti_entropy::MAX_FACT_BYTES, "{largest}");
    assert_eq!(a.to_bytes(), b.to_bytes());
    let mut c = StateStore::new(Origin(2001), StoreLimits::default());
    walked(&mut a, &mut c, 1 << 20);
    assert_eq!(a.to_bytes(), c.to_bytes());
}

#[test]
fn messages_out_of_turn_end_a_walk() {
    let a = StateStore::new(Origin(1), BOUNDS);
    let (walk, _) = SyncSession::begin(&a, 1000);
    for m in [
        SyncMessage::PushAccepted,
        SyncMessage::LeafDigests { digests: vec![] },
        SyncMessage::BranchDigests { digests: vec![1] },
    ] {
        assert!(walk.clone().on_response(&a, &m).is_err());
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
fn news_is_told_a_few_times_the_newest_first_and_what_is_too_large_is_left_to_the_digests() {
    let mut copy = StateStore::new(Origin(1), StoreLimits::default());
    let mut news = RumorQueue::default();
    let mut large = said(CommandValue::Text("x".repeat(3000)), NOW);
    large.reason = "large".into();
    copy.record(&FactKey::MaintenanceOrder("w".into()), large).unwrap();
    news.push(FactKey::MaintenanceOrder("w".into()), 3);
    for n in 0..3 {
        copy.record(&server(n), said(CommandValue::Set, NOW)).unwrap();
        news.push(server(n), 3);
    }
    let mut told = 0;
    while !news.is_empty() {
        let facts = news.take(&copy, 1000);
        assert!(facts.iter().map(anti_entropy::encoded_size).sum::<usize>() <= 1000);
        told += facts.len();
    }
    assert_eq!(told as u32, 3 * pebbleturn::replication::rumor_queue::dissemination_rounds(3));
}
