//! Membership by scripted news: every hard case that the design note names, with time as an argument.

use pebbleturn::membership::endpoint_list::{Endpoint, EndpointList};
use pebbleturn::membership::merged_view::{MAX_GONE_NODES, MergedView, Report, VersionedRecord};
use pebbleturn::membership::snapshot::{self, Snapshot, SnapshotError};
use pebbleturn::membership::{
    NodeChange, NodeRecord, NodeState, PartitionLayout, Registry, RegistrySettings, SourcePriority,
    SourceVersion,
};
use pebbleturn::{Nanos, Outcome, ReplicaId, ReplicaState};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::BTreeMap;

const S: Nanos = 1_000_000_000;
const HOUR: Nanos = 3600 * S;
/// A time of day for tests: long after the epoch.
const NOON: Nanos = 1_000_000 * S;

fn settings() -> RegistrySettings {
    RegistrySettings {
        layout: PartitionLayout { cells: 4, span: 2 },
        warm_up: 14 * S,
        mean_change_interval: 24 * HOUR,
        default_list_age: 300 * S,
        silence_timeout: S,
        zones: [("a".to_owned(), 0)].into(),
        kinds: vec![],
        seed: 7,
    }
}

fn server(n: u32, state: NodeState, started_ms: u64) -> Endpoint {
    Endpoint {
        id: format!("s-{n}"),
        addr: format!("127.0.0.{}:80", n + 1),
        zone: Some("a".into()),
        kind: String::new(),
        cell: n % 4,
        state,
        started_ms,
    }
}

fn list(version: u64, full: bool, servers: Vec<Endpoint>) -> EndpointList {
    EndpointList { version, full, as_of_ms: None, servers }
}

fn eight(version: u64) -> EndpointList {
    list(version, true, (0..8).map(|n| server(n, NodeState::Ready, 0)).collect())
}

/// A roster and what the exchange has been told by it.
struct Bench {
    roster: Registry,
    told: BTreeMap<ReplicaId, NodeChange>,
}

impl Bench {
    fn new() -> Bench {
        Bench { roster: Registry::new(settings()), told: BTreeMap::new() }
    }

    fn from(kept: &[&Snapshot], now: Nanos) -> Bench {
        let mut b = Bench::new();
        b.roster.restore(&kept.iter().map(|k| (*k).clone()).collect::<Vec<_>>(), now);
        b.hear();
        b
    }

    fn hear(&mut self) {
        for c in self.roster.take_changes().unwrap_or_default() {
            match c.entry.state {
                ReplicaState::Removed => self.told.remove(&c.entry.replica),
                _ => self.told.insert(c.entry.replica, c),
            };
        }
    }

    fn directory(&mut self, list: &EndpointList, first: bool, now: Nanos) {
        self.roster.on_discovery_update(list, first, now);
        self.hear();
    }

    fn outcome(&mut self, id: &str, outcome: Outcome, now: Nanos) {
        let replica = self.find(id).expect("told").entry.replica;
        self.roster.on_attempt_end(replica, outcome, 2 * S, now);
        self.roster.tick(now);
        self.hear();
    }

    fn to(&mut self, now: Nanos) {
        while let Some(due) = self.roster.next_deadline().filter(|t| *t <= now) {
            self.roster.tick(due);
        }
        self.roster.tick(now);
        self.hear();
    }

    fn find(&self, id: &str) -> Option<&NodeChange> {
        self.told.values().find(|c| c.id == id)
    }

    /// Ids that get new work.
    fn ready(&self) -> Vec<&str> {
        let mut ids: Vec<&str> = self
            .told
            .values()
            .filter(|c| c.entry.state == ReplicaState::Active)
            .map(|c| c.id.as_str())
            .collect();
        ids.sort_unstable();
        ids
    }

    /// Holders of each of the four partitions that get new work.
    fn holders(&self) -> [usize; 4] {
        let at = |p: u32| {
            let holds = |c: &&NodeChange| (c.entry.cell + 4 - p) % 4 < 2;
            self.told.values().filter(|c| c.entry.state == ReplicaState::Active).filter(holds).count()
        };
        [at(0), at(1), at(2), at(3)]
    }
}

fn kept_at(list: &EndpointList, now: Nanos) -> Snapshot {
    let mut b = Bench::new();
    b.directory(list, true, now);
    b.roster.snapshot(now)
}

// ---- any order of the same facts ----

struct News {
    stamp: SourceVersion,
    full: bool,
    anew: bool,
    facts: Vec<NodeRecord>,
    heard: Nanos,
}

/// Random news of six nodes over three counts of the directory, and of the operator.
fn news(rng: &mut Pcg64Mcg) -> Vec<News> {
    let mut below = |n: u64| rng.next_u64() % n;
    let mut out: Vec<News> = Vec::new();
    for _ in 0..14 {
        let rank = if below(6) == 0 { SourcePriority::Operator } else { SourcePriority::Directory };
        let (epoch, version) =
            if rank == SourcePriority::Operator { (0, below(9)) } else { (below(3) as u32, below(9)) };
        let stamp = SourceVersion { priority: rank, epoch, version };
        // One message a stamp, as a source sends them.
        if out.iter().any(|n| n.stamp == stamp) {
            continue;
        }
        let heard = NOON + below(100) * S;
        let facts = (0..below(5)).map(|_| {
            let n = below(6) as u32;
            let state = [NodeState::Ready, NodeState::Ready, NodeState::Terminating, NodeState::Gone]
                [below(4) as usize];
            let started = if below(2) == 0 { 0 } else { (NOON + below(120) * S) / 1_000_000 };
            server(n, state, started).record()
        });
        let facts: Vec<NodeRecord> = facts.collect();
        out.push(News { stamp, full: below(4) == 0, anew: epoch > 0 && below(4) == 0, facts, heard });
    }
    out
}

fn believe(news: &[&News]) -> MergedView {
    let mut b = MergedView::default();
    for n in news {
        let report = Report { source_version: n.stamp, full: n.full, after_reset: n.anew, received: n.heard };
        b.apply_report(report, n.facts.iter().cloned());
    }
    b
}

fn shuffle<T>(rng: &mut Pcg64Mcg, items: &mut [T]) {
    for i in (1..items.len()).rev() {
        items.swap(i, (rng.next_u64() % (i as u64 + 1)) as usize);
    }
}

#[test]
fn any_order_of_the_same_news_ends_in_the_same_belief() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    for _ in 0..400 {
        let all = news(&mut rng);
        let mut order: Vec<&News> = all.iter().collect();
        let first = believe(&order);
        for _ in 0..4 {
            // Some of it comes twice, too.
            let again = all.iter().take(3);
            shuffle(&mut rng, &mut order);
            let order: Vec<&News> = order.iter().copied().chain(again).collect();
            assert_eq!(believe(&order), first);
        }
    }
}

#[test]
fn what_was_kept_is_believed_as_it_was() {
    let mut rng = Pcg64Mcg::seed_from_u64(2);
    for _ in 0..200 {
        let all: Vec<News> =
            news(&mut rng).into_iter().filter(|n| n.stamp.priority == SourcePriority::Directory).collect();
        let belief = believe(&all.iter().collect::<Vec<_>>());
        let nodes = belief.directory_records().map(|k: &VersionedRecord| snapshot::SnapshotNode {
            record: k.record.clone(),
            epoch: k.source_version.epoch,
            version: k.source_version.version,
            received: k.received,
            after_reset: k.after_reset,
            confirmed: None,
        });
        let whole = belief.full_list(SourcePriority::Directory).map(|(s, t)| (s.epoch, s.version, t));
        let rate = pebbleturn::membership::staleness::ChangeRate::NONE;
        let kept = Snapshot {
            written: NOON,
            last_confirmed: None,
            full_list: whole,
            pruned_up_to: None,
            rate,
            nodes: nodes.collect(),
        };
        let back = snapshot::decode(&snapshot::encode(&kept).unwrap()).unwrap();
        let mut again = MergedView::default();
        back.merge_into(&mut again);
        assert_eq!(again, belief);
    }
}

#[test]
fn a_drain_is_never_undone_but_by_newer_word_or_a_later_start() {
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    let (mut undone, mut stayed) = (0, 0);
    for _ in 0..400 {
        let all = news(&mut rng);
        let mut order: Vec<&News> =
            all.iter().filter(|n| n.stamp.priority == SourcePriority::Directory).collect();
        shuffle(&mut rng, &mut order);
        for n in 0..6 {
            let id = format!("s-{n}");
            let says = |news: &News, ready: bool| {
                let mut of = news.facts.iter().filter(|f| f.id == id);
                of.any(|f| (f.state == NodeState::Ready) == ready)
            };
            let drain = order.iter().filter(|m| says(m, false)).map(|m| (m.stamp, m.heard)).max();
            let Some((stamp, learnt)) = drain else { continue };
            let ready = believe(&order).view(&id).is_some_and(|v| v.state == NodeState::Ready);
            let newer = order.iter().any(|m| m.stamp > stamp && !m.anew && says(m, true));
            let newer = newer || order.iter().any(|m| m.stamp == stamp && says(m, true));
            let mut facts = order.iter().flat_map(|m| m.facts.iter().map(|f| (f, m.heard)));
            let later = facts.any(|(f, heard)| {
                f.id == id && f.state == NodeState::Ready && f.started > learnt && f.started <= heard
            });
            assert!(!ready || newer || later, "{id} came back");
            if ready { undone += 1 } else { stayed += 1 }
        }
    }
    // Both happen: the property is not held by one of them alone.
    assert!(undone > 50 && stayed > 50, "{undone} {stayed}");
}

// ---- sources that contradict each other ----

#[test]
fn an_older_version_after_a_newer_is_left_alone() {
    let mut b = Bench::new();
    b.directory(&eight(41), true, NOON);
    b.directory(&list(43, false, vec![server(3, NodeState::Terminating, 0)]), false, NOON + S);
    assert!(!b.ready().contains(&"s-3"));
    b.directory(&list(42, false, vec![server(3, NodeState::Ready, 0)]), false, NOON + 2 * S);
    assert!(!b.ready().contains(&"s-3") && b.ready().len() == 7);
    assert_eq!(b.roster.version(), 43);
    // Newer word brings it back.
    b.directory(&list(44, false, vec![server(3, NodeState::Ready, 0)]), false, NOON + 3 * S);
    assert_eq!(b.ready().len(), 8);
}

#[test]
fn a_discovery_that_counts_anew_is_believed_but_does_not_undo_a_drain() {
    let mut b = Bench::new();
    b.directory(&eight(41), true, NOON);
    b.directory(&list(42, false, vec![server(3, NodeState::Terminating, 0)]), false, NOON + S);
    b.roster.watch_lost();
    let mut fresh = eight(2);
    fresh.servers.remove(5);
    fresh.servers.push(server(9, NodeState::Ready, 0));
    b.directory(&fresh, true, NOON + 10 * S);
    assert_eq!(b.ready(), ["s-0", "s-1", "s-2", "s-4", "s-6", "s-7", "s-9"]);
    assert_eq!((b.roster.version(), b.roster.epoch()), (2, 1));
    // From there its changes count, small as their numbers are.
    b.directory(&list(3, false, vec![server(3, NodeState::Ready, 0)]), false, NOON + 11 * S);
    assert!(b.ready().contains(&"s-3"));
    // A start after the drain was learnt is a new life, whoever tells it.
    b.directory(&list(4, false, vec![server(4, NodeState::Gone, 0)]), false, NOON + 12 * S);
    b.roster.watch_lost();
    let started = (NOON + 15 * S) / 1_000_000;
    b.directory(&list(1, true, vec![server(4, NodeState::Ready, started)]), true, NOON + 20 * S);
    assert_eq!(b.ready(), ["s-4"]);
}

#[test]
fn a_known_list_undoes_nothing_that_was_kept() {
    let mut b = Bench::new();
    b.directory(&eight(41), true, NOON);
    b.directory(
        &list(45, false, vec![server(3, NodeState::Terminating, 0), server(4, NodeState::Gone, 0)]),
        false,
        NOON,
    );
    let kept = b.roster.snapshot(NOON + S);
    let mut after = Bench::from(&[&kept], NOON + 5 * S);
    after.roster.add_configured(&eight(41), NOON + 5 * S);
    after.hear();
    assert_eq!(after.ready(), ["s-0", "s-1", "s-2", "s-5", "s-6", "s-7"]);
    // Nor does one with a high number from before discovery counted anew.
    let mut anew = Bench::new();
    anew.directory(&eight(41), true, NOON);
    anew.directory(&eight(2), true, NOON + S);
    anew.directory(&list(3, false, vec![server(3, NodeState::Terminating, 0)]), false, NOON + S);
    let kept = anew.roster.snapshot(NOON + S);
    let mut after = Bench::from(&[&kept], NOON + 5 * S);
    after.roster.add_configured(&eight(41), NOON + 5 * S);
    after.hear();
    assert!(!after.ready().contains(&"s-3") && after.ready().len() == 7);
}

#[test]
fn a_node_at_another_address_is_another_place() {
    let mut b = Bench::new();
    b.directory(&eight(1), true, NOON);
    let before = b.find("s-2").unwrap().entry.replica;
    let moved = Endpoint { addr: "127.0.0.99:80".into(), ..server(2, NodeState::Ready, 0) };
    b.directory(&list(2, false, vec![moved]), false, NOON + S);
    let after = b.find("s-2").unwrap();
    assert!(after.entry.replica != before && after.addr.unwrap().to_string() == "127.0.0.99:80");
    assert_eq!(b.told.len(), 8, "the old place is gone");
}

#[test]
fn of_two_ids_at_one_address_the_later_word_has_it() {
    let mut b = Bench::new();
    b.directory(&eight(1), true, NOON);
    let new = Endpoint { id: "s-20".into(), ..server(2, NodeState::Ready, 0) };
    b.directory(&list(2, false, vec![new]), false, NOON + S);
    assert!(b.ready().contains(&"s-20") && !b.ready().contains(&"s-2"));
    // Once the usurper is gone the other has its address again.
    let gone = Endpoint { id: "s-20".into(), ..server(2, NodeState::Gone, 0) };
    b.directory(&list(3, false, vec![gone]), false, NOON + 2 * S);
    assert!(b.ready().contains(&"s-2") && b.ready().len() == 8);
}

#[test]
fn a_cell_that_changed_is_told() {
    let mut b = Bench::new();
    b.directory(&eight(1), true, NOON);
    let before = b.find("s-2").unwrap().entry.clone();
    let moved = Endpoint { cell: 3, ..server(2, NodeState::Ready, 0) };
    b.directory(&list(2, false, vec![moved]), false, NOON + S);
    let after = b.find("s-2").unwrap().entry.clone();
    assert_eq!((before.cell, after.cell, after.replica), (2, 3, before.replica));
}

#[test]
fn a_start_in_the_future_is_cold_once_and_outlasts_no_drain() {
    let mut b = Bench::new();
    let future = (NOON + HOUR) / 1_000_000;
    b.directory(&list(1, true, vec![server(0, NodeState::Ready, future)]), true, NOON);
    assert_eq!(b.find("s-0").unwrap().entry.started, Some(NOON));
    // The same fact later does not make it cold anew.
    b.directory(&list(2, true, vec![server(0, NodeState::Ready, future)]), true, NOON + 60 * S);
    assert_eq!(b.find("s-0").unwrap().entry.started, Some(NOON));
    b.directory(&list(3, false, vec![server(0, NodeState::Terminating, future)]), false, NOON + 61 * S);
    b.roster.add_configured(&list(1, true, vec![server(0, NodeState::Ready, future)]), NOON + 62 * S);
    b.hear();
    assert!(b.ready().is_empty());
}

#[test]
fn a_clock_that_jumped_back_makes_a_kept_list_neither_fresh_nor_useless() {
    let kept = kept_at(&eight(1), NOON + HOUR);
    let b = Bench::from(&[&kept], NOON);
    let notes = b.roster.statuses(NOON);
    assert!(notes.iter().all(|n| n.trust > 0.9 && n.trust < 1.0), "{notes:?}");
    assert!(b.holders().iter().all(|n| *n >= 2));
}

// ---- age and trust ----

#[test]
fn the_older_the_list_the_fewer_get_work_at_once_and_the_colder_they_count() {
    let kept = kept_at(&eight(1), NOON);
    let mut before = (9, 0);
    for age in [S, 600 * S, HOUR, 6 * HOUR, 24 * HOUR, 240 * HOUR] {
        let now = NOON + age;
        let b = Bench::from(&[&kept], now);
        let n = b.ready().len();
        let start = b.told.values().map(|c| c.entry.started.map_or(0, |t| t + 14 * S - now)).max().unwrap();
        assert!(n <= before.0 && start >= before.1, "{n} after {} at {age}", before.0);
        assert!(b.holders().iter().all(|n| *n >= 2));
        before = (n, start);
    }
    assert!(before.0 < 8 && before.1 > 13 * S, "{before:?}");
    // In the end all are tried.
    let mut b = Bench::from(&[&kept], NOON + 240 * HOUR);
    b.to(NOON + 240 * HOUR + 3 * S);
    assert_eq!(b.ready().len(), 8);
}

#[test]
fn one_failed_dial_takes_out_an_old_node_two_a_younger_and_none_a_confirmed_one() {
    let kept = kept_at(&eight(1), NOON);
    for (age, failures) in [(24 * HOUR, 1), (2 * HOUR, 2)] {
        let now = NOON + age;
        let mut b = Bench::from(&[&kept], now);
        b.to(now + 3 * S);
        for n in 1..=failures {
            assert!(b.ready().contains(&"s-0"), "{n} of {failures}");
            b.outcome("s-0", Outcome::ConnectFailed, now + 3 * S);
        }
        assert!(!b.ready().contains(&"s-0"));
        // It is tried again after a while, and a good answer confirms it.
        b.to(now + 5 * S);
        assert!(b.ready().contains(&"s-0"));
        b.outcome("s-0", Outcome::Ok, now + 5 * S);
        (0..5).for_each(|_| b.outcome("s-0", Outcome::ConnectFailed, now + 6 * S));
        assert!(b.ready().contains(&"s-0"), "the decisions alone mind who is confirmed");
    }
    let mut b = Bench::new();
    b.directory(&eight(1), true, NOON);
    (0..5).for_each(|_| b.outcome("s-0", Outcome::TimedOut, NOON + S));
    assert_eq!(b.ready().len(), 8);
}

#[test]
fn a_change_that_is_not_discoverys_word_is_no_sign_that_discovery_is_there() {
    // It used to end the back-off: a broker whose nodes came and went asked twice a second for as long as that lasted.
    let kept = kept_at(&eight(1), NOON);
    let now = NOON + 24 * HOUR;
    let mut b = Bench::from(&[&kept], now);
    b.to(now + 3 * S);
    b.roster.on_attempt_end(b.find("s-0").unwrap().entry.replica, Outcome::ConnectFailed, S, now + 3 * S);
    b.roster.tick(now + 3 * S);
    assert!(b.roster.take_changes().is_some_and(|c| !c.is_empty()) && !b.roster.take_discovery_answered());
    b.directory(&eight(2), true, now + 4 * S);
    assert!(b.roster.take_discovery_answered() && !b.roster.take_discovery_answered());
}

#[test]
fn no_partition_loses_its_last_holder_to_distrust() {
    let kept = kept_at(&eight(1), NOON);
    let now = NOON + 240 * HOUR;
    let mut b = Bench::from(&[&kept], now);
    b.to(now + 3 * S);
    for n in 0..8 {
        if b.find(&format!("s-{n}")).is_some() {
            b.outcome(&format!("s-{n}"), Outcome::ConnectFailed, now + 3 * S);
        }
    }
    assert!(b.holders().iter().all(|n| *n > 0), "{:?}", b.holders());
}

#[test]
fn discovery_in_the_middle_replaces_belief() {
    let kept = kept_at(&eight(7), NOON);
    let now = NOON + 24 * HOUR;
    let mut b = Bench::from(&[&kept], now);
    assert!(b.ready().len() < 8 && b.roster.may_gain_nodes(now));
    let started = (now - 5 * S) / 1_000_000;
    let news = list(90, true, vec![server(1, NodeState::Ready, started), server(10, NodeState::Ready, 0)]);
    b.directory(&news, true, now + S);
    assert_eq!(b.ready(), ["s-1", "s-10"]);
    assert!(b.find("s-1").unwrap().entry.started.unwrap() >= now - 5 * S);
    assert!(!b.roster.may_gain_nodes(now + S));
}

#[test]
fn the_first_word_of_a_watch_that_only_tells_changes_confirms_the_rest() {
    let kept = kept_at(&eight(7), NOON);
    let now = NOON + 24 * HOUR;
    let mut b = Bench::from(&[&kept], now);
    b.directory(&list(8, false, vec![server(1, NodeState::Terminating, 0)]), true, now);
    assert_eq!(b.ready().len(), 7);
}

#[test]
fn how_fast_nodes_change_is_learned_and_kept() {
    let mut b = Bench::new();
    b.directory(&eight(1), true, NOON);
    // For an hour, a node restarts each minute.
    for n in 1..=60 {
        let now = NOON + n * 60 * S;
        b.directory(
            &list(1 + n, false, vec![server(n as u32 % 8, NodeState::Ready, now / 1_000_000)]),
            false,
            now,
        );
    }
    let end = NOON + HOUR;
    let kept = b.roster.snapshot(end);
    let busy = Bench::from(&[&kept], end + 600 * S).roster.statuses(end + 600 * S)[0].trust;
    let calm =
        Bench::from(&[&kept_at(&eight(1), end)], end + 600 * S).roster.statuses(end + 600 * S)[0].trust;
    assert!(busy < calm - 0.05, "{busy} {calm}");
}

#[test]
fn an_operators_nodes_come_drain_and_go_and_discovery_overrides_them() {
    let mut b = Bench::new();
    let facts =
        |ns: &[(u32, NodeState)]| ns.iter().map(|(n, s)| server(*n, *s, 0).record()).collect::<Vec<_>>();
    b.roster.set_operator_nodes(facts(&[(0, NodeState::Ready), (1, NodeState::Ready)]), NOON);
    b.hear();
    assert_eq!(b.ready(), ["s-0", "s-1"]);
    b.roster.set_operator_nodes(facts(&[(1, NodeState::Terminating), (2, NodeState::Ready)]), NOON + S);
    b.hear();
    assert_eq!(b.ready(), ["s-2"]);
    b.directory(&list(1, false, vec![server(2, NodeState::Terminating, 0)]), true, NOON + 2 * S);
    assert!(b.ready().is_empty());
    // Reading the file again does not bring it back.
    b.roster.set_operator_nodes(facts(&[(2, NodeState::Ready)]), NOON + 3 * S);
    b.hear();
    assert!(b.ready().is_empty());
}

#[test]
fn news_that_touch_a_few_nodes_tell_what_a_look_at_all_would() {
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    let mut below = |n: u64| rng.next_u64() % n;
    let mut b = Bench::new();
    b.directory(&eight(1), true, NOON);
    let mut told = 0;
    for version in 2..2000 {
        let now = NOON + version * S;
        let n = below(10) as u32;
        let state =
            [NodeState::Ready, NodeState::Ready, NodeState::Ready, NodeState::Terminating, NodeState::Gone]
                [below(5) as usize];
        let started = if below(2) == 0 { 0 } else { (now - below(20) * S) / 1_000_000 };
        // Now and then a node moves, changes its cell, or claims another's address.
        let addr = if below(8) == 0 { below(10) as u32 } else { n };
        let line = Endpoint {
            addr: format!("127.0.0.{}:80", addr + 1),
            cell: (n + u32::from(below(9) == 0)) % 4,
            ..server(n, state, started)
        };
        b.roster.on_discovery_update(&list(version, false, vec![line]), false, now);
        told += b.roster.take_changes().unwrap().len();
        // An operator's file without nodes changes nothing, and has all looked through.
        b.roster.set_operator_nodes(vec![], now);
        assert_eq!(b.roster.take_changes(), None, "at version {version}");
    }
    assert!(told > 1000, "{told}");
}

// ---- keeping ----

#[test]
fn a_drain_is_kept_at_once_and_learnt_over_a_restart() {
    let mut b = Bench::new();
    b.directory(&eight(41), true, NOON);
    assert!(b.roster.take_snapshot(NOON).is_some());
    assert!(b.roster.take_snapshot(NOON + 10 * S).is_none(), "nothing new");
    let later = NOON + 10 * S;
    b.directory(&list(42, false, vec![server(3, NodeState::Terminating, 0)]), false, later);
    let kept = b.roster.take_snapshot(later).expect("news are kept at once");
    assert!(
        b.roster.take_snapshot(later + 40 * S).is_some(),
        "that the list still holds is news after a while"
    );
    let back = snapshot::decode(&snapshot::encode(&kept).unwrap()).unwrap();
    // Over a second restart too, and beside an older generation.
    let b = Bench::from(&[&kept_at(&eight(41), NOON), &back], later + S);
    let again = b.roster.snapshot(later + S);
    let b = Bench::from(&[&again, &kept_at(&eight(41), NOON)], later + 2 * S);
    assert!(!b.ready().contains(&"s-3") && b.ready().len() == 7);
}

#[test]
fn writes_are_bounded_however_fast_the_news_come() {
    let mut b = Bench::new();
    let mut writes = 0;
    for n in 0..1000 {
        let now = NOON + n * S / 100;
        b.directory(&list(1 + n, false, vec![server(n as u32 % 8, NodeState::Ready, 0)]), n == 0, now);
        writes += usize::from(b.roster.take_snapshot(now).is_some());
    }
    assert!((15..=21).contains(&writes), "{writes} writes in 10 s");
}

#[test]
fn every_cut_and_every_changed_byte_is_found_out() {
    let bytes = snapshot::encode(&kept_at(&eight(41), NOON)).unwrap();
    assert!(snapshot::decode(&bytes).is_ok());
    for n in 0..bytes.len() {
        assert!(snapshot::decode(&bytes[..n]).is_err(), "cut at {n}");
    }
    let mut rng = Pcg64Mcg::seed_from_u64(4);
    for n in 0..bytes.len() {
        let mut bad = bytes.clone();
        bad[n] ^= 1 << (rng.next_u64() % 8);
        assert!(snapshot::decode(&bad).is_err(), "changed at {n}");
    }
    assert_eq!(snapshot::decode(b""), Err(SnapshotError::Empty));
    assert_eq!(snapshot::decode(b"pebbleturn-roster 2 0 00000000\n"), Err(SnapshotError::Version(2)));
    assert_eq!(
        snapshot::decode(&vec![b'x'; snapshot::MAX_FILE_BYTES + 1]),
        Err(SnapshotError::TooLarge(snapshot::MAX_FILE_BYTES + 1))
    );
    for _ in 0..2000 {
        let garbage: Vec<u8> = (0..rng.next_u64() % 200).map(|_| rng.next_u64() as u8).collect();
        assert!(snapshot::decode(&garbage).is_err());
    }
}

#[test]
fn ids_that_are_always_new_do_not_add_up() {
    let mut b = Bench::new();
    b.directory(&eight(1), true, NOON);
    let (mut most, mut largest) = (0, 0);
    for n in 0..2000u64 {
        let now = NOON + n * S;
        let id = |n: u64| format!("new-{n}");
        let old = Endpoint { id: id(n.saturating_sub(3)), ..server(5, NodeState::Gone, 0) };
        let new = Endpoint {
            id: id(n),
            addr: format!("127.1.{}.{}:80", n / 250, n % 250),
            ..server(5, NodeState::Ready, 0)
        };
        b.directory(&list(2 + n, false, vec![old, new]), false, now);
        if n > 1000 && n % 100 == 0 {
            let kept = b.roster.snapshot(now);
            most = most.max(kept.nodes.len());
            largest = largest.max(snapshot::encode(&kept).unwrap().len());
        }
        assert!(b.told.len() <= 12);
    }
    // A node that is gone is held as two facts at most: that it was there, and that it is gone.
    assert!(most <= 3 * MAX_GONE_NODES && largest < 1 << 20, "{most} facts, {largest} bytes");
    // One that was forgotten does not come back by what is older than that.
    b.roster.add_configured(
        &list(2, false, vec![Endpoint { id: "new-1".into(), ..server(5, NodeState::Ready, 0) }]),
        NOON + HOUR,
    );
    b.hear();
    assert!(b.find("new-1").is_none());
}

/// What other brokers have heard: more careful, never bolder, and over once the own list is as new.
#[test]
fn a_drain_that_others_heard_holds_until_the_own_list_or_the_node_is_newer() {
    use pebbleturn::membership::NodeChange;
    use pebbleturn::membership::gossip_hints::{LocalHints, PeerHints};
    use pebbleturn::replication::ProcessStart;
    use pebbleturn::replication::derived_state::NodeHints;
    use pebbleturn::{ReplicaEntry, ReplicaId, ReplicaState};
    let change = |replica, standing| NodeChange {
        entry: ReplicaEntry {
            replica: ReplicaId(replica),
            zone: 0,
            cell: 0,
            state: standing,
            started: None,
            weight: 1.0,
        },
        id: "s".into(),
        addr: None,
        kind: String::new(),
    };
    let own = |started, version| move |_: &str| LocalHints { started, version };
    let drain = |started, version| NodeHints {
        drain: Some(ProcessStart { started, list_version: version }),
        started: 0,
    };
    let shown = |change: Option<NodeChange>| change.map(|c| c.entry.state);
    let mut others = PeerHints::default();
    // Nobody is named by others.
    assert_eq!(others.on_hint("s", drain(0, 9)), None);
    let first = others.apply_changes(vec![change(1, ReplicaState::Active)], own(0, 5));
    assert_eq!(first[0].entry.state, ReplicaState::Draining);
    // The own list goes on, and is not as new yet; then it is.
    assert!(others.on_list_change(false, own(0, 8)).is_empty() && others.drained_count() == 1);
    assert_eq!(others.on_list_change(false, own(0, 9))[0].entry.state, ReplicaState::Active);
    // A later drain, and the start after it that somebody heard of.
    assert_eq!(shown(others.on_hint("s", drain(0, 12))), Some(ReplicaState::Draining));
    let back = others.on_hint("s", NodeHints { started: 7, ..drain(0, 12) }).unwrap();
    assert_eq!((back.entry.state, back.entry.started), (ReplicaState::Active, Some(7)));
    // One's own draining and going is never made less.
    let gone = others
        .apply_changes(vec![change(1, ReplicaState::Draining), change(1, ReplicaState::Removed)], own(0, 12));
    assert_eq!([gone[0].entry.state, gone[1].entry.state], [ReplicaState::Draining, ReplicaState::Removed]);
    assert_eq!(others.drained_count(), 0);
    // A discovery that counts anew: versions from before say nothing.
    others.apply_changes(vec![change(2, ReplicaState::Active)], own(0, 12));
    assert_eq!(shown(others.on_hint("s", drain(7, 40))), Some(ReplicaState::Draining));
    assert_eq!(others.on_list_change(true, own(0, 1))[0].entry.state, ReplicaState::Active);
    // Of nodes that come and go without end a bounded number is held, the listed ones among them.
    for n in 0..20_000 {
        others.on_hint(&format!("x-{n}"), NodeHints { drain: None, started: n });
    }
    assert_eq!(others.hinted_count(), 16_384);
    assert!(others.on_hint("s", drain(7, 90)).is_some());
}
