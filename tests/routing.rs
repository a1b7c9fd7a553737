//! Routing by scripted outcomes: sets, spares, weights, redirects and the way back.

mod common;
use common::{MS, S};
use pebbleturn::membership::{NodeChange, PartitionLayout};
use pebbleturn::routing::{AdminState, Routing, RoutingSettings, Rule, Spare};
use pebbleturn::{Nanos, Outcome, ReplicaEntry, ReplicaId, ReplicaState};
use std::collections::{BTreeMap, HashMap};

const WARM_UP: Nanos = 10 * S;
const FAILBACK_DELAY: Nanos = 15 * S;

fn rule() -> Rule {
    Rule { retry: 5 * S, ..Rule::default() }
}

fn change(n: u32, state: ReplicaState) -> NodeChange {
    NodeChange {
        entry: ReplicaEntry { replica: ReplicaId(n), zone: 0, cell: 0, state, started: None, weight: 1.0 },
        id: format!("n-{n}"),
        addr: Some(([127, 0, 0, 1], 80).into()),
        kind: "sru".into(),
    }
}

/// Routing over one partition, and what was offered by it so far.
struct Fixture {
    routing: Routing,
    announced: BTreeMap<u32, ReplicaEntry>,
    switches: usize,
}

impl Fixture {
    fn new(rules: &[Rule]) -> Fixture {
        let named = rules.iter().enumerate().map(|(n, r)| (format!("n-{n}"), r.clone()));
        let layout = PartitionLayout { cells: 1, span: 1 };
        let settings = RoutingSettings {
            layout,
            rules: named.collect(),
            warm_up: WARM_UP,
            failback_delay: FAILBACK_DELAY,
        };
        let mut b = Fixture { routing: Routing::new(settings), announced: BTreeMap::new(), switches: 0 };
        b.routing.on_membership_changes(
            (0..rules.len() as u32).map(|n| change(n, ReplicaState::Active)).collect(),
            0,
        );
        b.collect_changes();
        b
    }

    fn collect_changes(&mut self) {
        for c in self.routing.take_changes().unwrap_or_default() {
            let n = c.entry.replica.0;
            let was =
                self.announced.insert(n, c.entry.clone()).is_some_and(|l| l.state == ReplicaState::Active);
            self.switches += usize::from(was != (c.entry.state == ReplicaState::Active));
        }
    }

    fn outcome(&mut self, n: u32, outcome: Outcome, now: Nanos) {
        self.routing.on_attempt_end(ReplicaId(n), outcome, now);
        self.routing.tick(now);
        self.collect_changes();
    }

    /// Lets time go by up to then, as the loop does; nodes that are offered answer with `answers`.
    fn to(&mut self, from: Nanos, until: Nanos, answers: impl Fn(u32, Nanos) -> Option<Outcome>) {
        let mut now = from;
        while now < until {
            now += 100 * MS;
            for n in self.offered() {
                if let Some(outcome) = answers(n, now) {
                    self.outcome(n, outcome, now);
                }
            }
            self.routing.tick(now);
            self.collect_changes();
        }
    }

    fn offered(&self) -> Vec<u32> {
        self.announced.iter().filter(|(_, l)| l.state == ReplicaState::Active).map(|(n, _)| *n).collect()
    }

    fn weight(&self, n: u32) -> f64 {
        self.announced[&n].weight
    }
}

#[test]
fn without_rules_changes_pass_unmodified() {
    let settings = RoutingSettings {
        layout: PartitionLayout { cells: 1, span: 1 },
        rules: HashMap::new(),
        warm_up: WARM_UP,
        failback_delay: FAILBACK_DELAY,
    };
    let mut r = Routing::new(settings);
    let all = [ReplicaState::Active, ReplicaState::Draining, ReplicaState::Removed];
    let changes: Vec<NodeChange> = (0..).zip(all).map(|(n, s)| change(n, s)).collect();
    r.on_membership_changes(changes.clone(), 0);
    let mut announced = r.take_changes().unwrap();
    announced.sort_by_key(|c| c.entry.replica);
    assert_eq!(announced, changes);
    for _ in 0..9 {
        r.on_attempt_end(ReplicaId(0), Outcome::ConnectFailed, S);
    }
    r.tick(S);
    assert_eq!((r.take_changes(), r.next_deadline(S)), (None, None));
}

#[test]
fn nodes_that_are_not_active_or_have_no_weight_are_not_offered() {
    let with_state = |state| Rule { admin_state: state, ..rule() };
    let weightless = Rule { weight: 0.0, ..rule() };
    let mut b = Fixture::new(&[
        with_state(AdminState::Active),
        with_state(AdminState::Disabled),
        with_state(AdminState::Stopped),
        with_state(AdminState::Draining),
        weightless,
    ]);
    assert_eq!(b.offered(), [0]);
    // A rule that comes while it serves holds from then on.
    let rules = [
        ("n-0".to_owned(), with_state(AdminState::Stopped)),
        ("n-1".to_owned(), with_state(AdminState::Active)),
    ];
    b.routing.set_rules(rules.into(), S);
    b.collect_changes();
    assert_eq!(b.offered(), [1, 2, 3, 4], "those that the new rules don't name have the usual one");
}

#[test]
fn no_node_is_offered_if_all_are_disabled() {
    let b = Fixture::new(&vec![Rule { admin_state: AdminState::Disabled, ..rule() }; 3]);
    assert!(b.offered().is_empty());
}

#[test]
fn sets_are_used_in_order_and_a_spare_only_if_no_node_of_its_set_works() {
    let set = |set, spare| Rule { set, spare, ..rule() };
    let mut b = Fixture::new(&[
        set(0, Spare::None),
        set(0, Spare::None),
        set(0, Spare::Hot),
        set(1, Spare::None),
        set(0, Spare::Standby),
    ]);
    assert_eq!(b.offered(), [0, 1]);
    b.outcome(0, Outcome::ConnectFailed, S);
    assert_eq!(b.offered(), [1], "one that works is enough");
    b.outcome(1, Outcome::ConnectFailed, S);
    assert_eq!(b.offered(), [2], "the hot spare of the set");
    b.outcome(2, Outcome::ConnectFailed, S);
    assert_eq!(b.offered(), [4], "the standby of the set");
    b.outcome(4, Outcome::ConnectFailed, S);
    assert_eq!(b.offered(), [3], "the next set");
    b.outcome(3, Outcome::ConnectFailed, S);
    assert_eq!(b.offered(), [0, 1, 2, 3, 4], "nobody is known to work, so all are tried");
}

#[test]
fn a_spare_is_offered_until_a_regular_node_is_warm_and_proven() {
    let mut b = Fixture::new(&[rule(), rule(), Rule { spare: Spare::Hot, ..rule() }]);
    for n in [0, 1] {
        b.outcome(n, Outcome::ConnectFailed, S);
    }
    assert_eq!(b.offered(), [2]);
    // Both are back after 5 s, cold: they get a tenth at first, and the spare its whole share.
    b.to(S, 6500 * MS, |_, _| Some(Outcome::Ok));
    assert_eq!(b.offered(), [0, 1, 2]);
    assert!(b.weight(0) < 0.15 && b.weight(2) == 1.0, "{} {}", b.weight(0), b.weight(2));
    let mut before = 0.0;
    for s in 7..16 {
        b.to(s * S, (s + 1) * S, |_, _| Some(Outcome::Ok));
        assert!(b.weight(0) >= before);
        before = b.weight(0);
    }
    assert!(before > 0.9 && b.offered() == [0, 1, 2]);
    b.to(16 * S, 24 * S, |_, _| Some(Outcome::Ok));
    assert_eq!((b.offered(), b.weight(0)), (vec![0, 1], 1.0), "warm, and held for a while");
}

#[test]
fn a_flapping_set_does_not_make_the_next_set_flap() {
    let mut b = Fixture::new(&[rule(), Rule { set: 1, ..rule() }]);
    let before = b.switches;
    // A second up, a second down, for two minutes.
    b.to(0, 120 * S, |n, now| match (n, now / S % 2) {
        (0, 1) => Some(Outcome::ConnectFailed),
        _ => Some(Outcome::Ok),
    });
    assert!(b.offered().contains(&1), "set 1 serves all along");
    // Node 0 goes and comes with its retry of 5 s at most; set 1 came once and never left.
    assert!(b.switches - before < 2 * 120 / 5, "{}", b.switches - before);
    assert_eq!(b.weight(1), 1.0);
}

#[test]
fn a_failed_probe_ejects_the_node_again() {
    let mut b = Fixture::new(&[rule(), rule()]);
    b.outcome(0, Outcome::ConnectFailed, S);
    b.to(S, 6500 * MS, |n, _| (n == 1).then_some(Outcome::Ok));
    assert!(b.offered() == [0, 1] && b.weight(0) < 0.2, "on trial");
    b.outcome(0, Outcome::Error, 7 * S);
    assert_eq!(b.offered(), [1]);
    b.to(7 * S, 11 * S, |_, _| None);
    assert_eq!(b.offered(), [1]);
    b.to(11 * S, 13 * S, |_, _| None);
    assert_eq!(b.offered(), [0, 1]);
}

#[test]
fn three_consecutive_errors_eject_a_node_single_ones_and_rejections_do_not() {
    let mut b = Fixture::new(&[rule(), rule()]);
    for _ in 0..9 {
        b.outcome(0, Outcome::Rejected, S);
        b.outcome(0, Outcome::Error, S);
        b.outcome(0, Outcome::Error, S);
        b.outcome(0, Outcome::Ok, S);
    }
    assert_eq!(b.offered(), [0, 1]);
    (0..3).for_each(|_| b.outcome(0, Outcome::TimedOut, 2 * S));
    assert_eq!(b.offered(), [1]);
}

#[test]
fn a_redirect_target_replaces_an_ejected_node_unless_it_failed_too() {
    let to = |id: &str| Rule { redirect: Some(id.into()), ..rule() };
    let off = Rule { admin_state: AdminState::Disabled, ..rule() };
    let mut b = Fixture::new(&[to("n-2"), rule(), off.clone()]);
    assert_eq!(b.offered(), [0, 1]);
    b.outcome(0, Outcome::ConnectFailed, S);
    assert_eq!(b.offered(), [1, 2]);
    b.outcome(2, Outcome::ConnectFailed, S);
    assert_eq!(b.offered(), [1]);
    let mut b = Fixture::new(&[to("n-1"), Rule { admin_state: AdminState::Stopped, ..rule() }, rule()]);
    b.outcome(0, Outcome::ConnectFailed, S);
    assert_eq!(b.offered(), [2], "what is stopped stays so");
}

#[test]
fn removed_and_draining_nodes_are_never_offered() {
    let mut b = Fixture::new(&[rule(), rule(), Rule { spare: Spare::Hot, ..rule() }]);
    b.routing
        .on_membership_changes(vec![change(0, ReplicaState::Draining), change(1, ReplicaState::Removed)], S);
    b.collect_changes();
    assert_eq!(b.offered(), [2]);
    for outcome in [Outcome::ConnectFailed, Outcome::ConnectFailed] {
        b.outcome(2, outcome, 2 * S);
    }
    assert_eq!(b.offered(), [2], "the last one is tried, drained ones are not");
}

#[test]
fn each_partition_fails_over_on_its_own() {
    // A ring of three cells, each partition held by two; a spare in cell 0 only.
    let layout = PartitionLayout { cells: 3, span: 2 };
    let mut rules: HashMap<String, Rule> = (0..3).map(|n| (format!("n-{n}"), rule())).collect();
    rules.insert("n-3".into(), Rule { spare: Spare::Hot, ..rule() });
    let mut r =
        Routing::new(RoutingSettings { layout, rules, warm_up: WARM_UP, failback_delay: FAILBACK_DELAY });
    let at = |n: u32| {
        let mut c = change(n, ReplicaState::Active);
        c.entry.cell = n % 3;
        c
    };
    r.on_membership_changes((0..4).map(at).collect(), 0);
    let spare = |r: &mut Routing| {
        let announced = r.take_changes().unwrap_or_default();
        announced.into_iter().rfind(|c| c.entry.replica.0 == 3).map(|c| c.entry.state)
    };
    assert_eq!(spare(&mut r), None);
    // Partition 1 loses both holders: the spare holds others, and would not help.
    r.on_attempt_end(ReplicaId(1), Outcome::ConnectFailed, S);
    r.on_attempt_end(ReplicaId(2), Outcome::ConnectFailed, S);
    r.tick(S);
    assert_eq!(spare(&mut r), None);
    r.on_attempt_end(ReplicaId(0), Outcome::ConnectFailed, S);
    r.tick(S);
    assert_eq!(spare(&mut r), Some(ReplicaState::Active));
}
