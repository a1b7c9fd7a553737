//! Tests of routing with scripted outcomes: sets, spares, weights, redirects and recovery.

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

/// Routing over one partition, with the entries that it has announced.
struct Fixture {
    routing: Routing,
    announced: BTreeMap<u32, ReplicaEntry>,
    offer_changes: usize,
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
        let mut fixture =
            Fixture { routing: Routing::new(settings), announced: BTreeMap::new(), offer_changes: 0 };
        fixture.routing.on_membership_changes(
            (0..rules.len() as u32).map(|n| change(n, ReplicaState::Active)).collect(),
            0,
        );
        fixture.collect_changes();
        fixture
    }

    fn collect_changes(&mut self) {
        for c in self.routing.take_changes().unwrap_or_default() {
            let n = c.entry.replica.0;
            let was_active =
                self.announced.insert(n, c.entry.clone()).is_some_and(|l| l.state == ReplicaState::Active);
            self.offer_changes += usize::from(was_active != (c.entry.state == ReplicaState::Active));
        }
    }

    fn outcome(&mut self, n: u32, outcome: Outcome, now: Nanos) {
        self.routing.on_attempt_end(ReplicaId(n), outcome, now);
        self.routing.tick(now);
        self.collect_changes();
    }

    /// Advances time from `from` to `until` in steps of 100 ms, calling `tick` like the event loop does.
    /// In each step, each offered node completes an attempt with the outcome of `answers`, if any.
    fn run(&mut self, from: Nanos, until: Nanos, answers: impl Fn(u32, Nanos) -> Option<Outcome>) {
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
    let mut routing = Routing::new(settings);
    let all = [ReplicaState::Active, ReplicaState::Draining, ReplicaState::Removed];
    let changes: Vec<NodeChange> = (0..).zip(all).map(|(n, s)| change(n, s)).collect();
    routing.on_membership_changes(changes.clone(), 0);
    let mut announced = routing.take_changes().unwrap();
    announced.sort_by_key(|c| c.entry.replica);
    assert_eq!(announced, changes);
    for _ in 0..9 {
        routing.on_attempt_end(ReplicaId(0), Outcome::ConnectFailed, S);
    }
    routing.tick(S);
    assert_eq!((routing.take_changes(), routing.next_deadline(S)), (None, None));
}

#[test]
fn nodes_that_are_not_active_or_have_no_weight_are_not_offered() {
    let with_state = |state| Rule { admin_state: state, ..rule() };
    let weightless = Rule { weight: 0.0, ..rule() };
    let mut fixture = Fixture::new(&[
        with_state(AdminState::Active),
        with_state(AdminState::Disabled),
        with_state(AdminState::Stopped),
        with_state(AdminState::Draining),
        weightless,
    ]);
    assert_eq!(fixture.offered(), [0]);
    // New rules take effect immediately.
    let rules = [
        ("n-0".to_owned(), with_state(AdminState::Stopped)),
        ("n-1".to_owned(), with_state(AdminState::Active)),
    ];
    fixture.routing.set_rules(rules.into(), S);
    fixture.collect_changes();
    assert_eq!(fixture.offered(), [1, 2, 3, 4], "nodes without a new rule have the default one");
}

#[test]
fn no_node_is_offered_if_all_are_disabled() {
    let fixture = Fixture::new(&vec![Rule { admin_state: AdminState::Disabled, ..rule() }; 3]);
    assert!(fixture.offered().is_empty());
}

#[test]
fn sets_are_used_in_order_and_a_spare_only_if_no_node_of_its_set_works() {
    let set = |set, spare| Rule { set, spare, ..rule() };
    let mut fixture = Fixture::new(&[
        set(0, Spare::None),
        set(0, Spare::None),
        set(0, Spare::Hot),
        set(1, Spare::None),
        set(0, Spare::Standby),
    ]);
    assert_eq!(fixture.offered(), [0, 1]);
    fixture.outcome(0, Outcome::ConnectFailed, S);
    assert_eq!(fixture.offered(), [1], "one usable node of the set is enough");
    fixture.outcome(1, Outcome::ConnectFailed, S);
    assert_eq!(fixture.offered(), [2], "the hot spare of the set");
    fixture.outcome(2, Outcome::ConnectFailed, S);
    assert_eq!(fixture.offered(), [4], "the standby of the set");
    fixture.outcome(4, Outcome::ConnectFailed, S);
    assert_eq!(fixture.offered(), [3], "the next set");
    fixture.outcome(3, Outcome::ConnectFailed, S);
    assert_eq!(fixture.offered(), [0, 1, 2, 3, 4], "no node is usable, so all are offered");
}

#[test]
fn a_spare_is_offered_until_a_regular_node_has_been_healthy_for_the_failback_delay() {
    let mut fixture = Fixture::new(&[rule(), rule(), Rule { spare: Spare::Hot, ..rule() }]);
    for n in [0, 1] {
        fixture.outcome(n, Outcome::ConnectFailed, S);
    }
    assert_eq!(fixture.offered(), [2]);
    // Both nodes are probed after 5 s, and start with a tenth of their weight; the spare keeps its full one.
    fixture.run(S, 6500 * MS, |_, _| Some(Outcome::Ok));
    assert_eq!(fixture.offered(), [0, 1, 2]);
    assert!(
        fixture.weight(0) < 0.15 && fixture.weight(2) == 1.0,
        "{} {}",
        fixture.weight(0),
        fixture.weight(2)
    );
    let mut previous = 0.0;
    for s in 7..16 {
        fixture.run(s * S, (s + 1) * S, |_, _| Some(Outcome::Ok));
        assert!(fixture.weight(0) >= previous);
        previous = fixture.weight(0);
    }
    assert!(previous > 0.9 && fixture.offered() == [0, 1, 2]);
    fixture.run(16 * S, 24 * S, |_, _| Some(Outcome::Ok));
    assert_eq!(
        (fixture.offered(), fixture.weight(0)),
        (vec![0, 1], 1.0),
        "warmed up, and healthy for the failback delay"
    );
}

#[test]
fn a_flapping_set_does_not_make_the_next_set_flap() {
    let mut fixture = Fixture::new(&[rule(), Rule { set: 1, ..rule() }]);
    let before = fixture.offer_changes;
    // Node 0 alternates each second between success and failure, for two minutes.
    fixture.run(0, 120 * S, |n, now| match (n, now / S % 2) {
        (0, 1) => Some(Outcome::ConnectFailed),
        _ => Some(Outcome::Ok),
    });
    assert!(fixture.offered().contains(&1), "set 1 is offered throughout");
    // Node 0 changes state at most twice per ejection of 5 s; set 1 is offered once and never withdrawn.
    assert!(fixture.offer_changes - before < 2 * 120 / 5, "{}", fixture.offer_changes - before);
    assert_eq!(fixture.weight(1), 1.0);
}

#[test]
fn a_failed_probe_ejects_the_node_again() {
    let mut fixture = Fixture::new(&[rule(), rule()]);
    fixture.outcome(0, Outcome::ConnectFailed, S);
    fixture.run(S, 6500 * MS, |n, _| (n == 1).then_some(Outcome::Ok));
    assert!(fixture.offered() == [0, 1] && fixture.weight(0) < 0.2, "probing");
    fixture.outcome(0, Outcome::Error, 7 * S);
    assert_eq!(fixture.offered(), [1]);
    fixture.run(7 * S, 11 * S, |_, _| None);
    assert_eq!(fixture.offered(), [1]);
    fixture.run(11 * S, 13 * S, |_, _| None);
    assert_eq!(fixture.offered(), [0, 1]);
}

#[test]
fn three_consecutive_errors_eject_a_node_single_ones_and_rejections_do_not() {
    let mut fixture = Fixture::new(&[rule(), rule()]);
    for _ in 0..9 {
        fixture.outcome(0, Outcome::Rejected, S);
        fixture.outcome(0, Outcome::Error, S);
        fixture.outcome(0, Outcome::Error, S);
        fixture.outcome(0, Outcome::Ok, S);
    }
    assert_eq!(fixture.offered(), [0, 1]);
    (0..3).for_each(|_| fixture.outcome(0, Outcome::TimedOut, 2 * S));
    assert_eq!(fixture.offered(), [1]);
}

#[test]
fn a_redirect_target_replaces_an_ejected_node_unless_it_failed_too() {
    let redirect_to = |id: &str| Rule { redirect: Some(id.into()), ..rule() };
    let disabled = Rule { admin_state: AdminState::Disabled, ..rule() };
    let mut fixture = Fixture::new(&[redirect_to("n-2"), rule(), disabled.clone()]);
    assert_eq!(fixture.offered(), [0, 1]);
    fixture.outcome(0, Outcome::ConnectFailed, S);
    assert_eq!(fixture.offered(), [1, 2]);
    fixture.outcome(2, Outcome::ConnectFailed, S);
    assert_eq!(fixture.offered(), [1]);
    let mut fixture =
        Fixture::new(&[redirect_to("n-1"), Rule { admin_state: AdminState::Stopped, ..rule() }, rule()]);
    fixture.outcome(0, Outcome::ConnectFailed, S);
    assert_eq!(fixture.offered(), [2], "a stopped node does not become a redirect target");
}

#[test]
fn removed_and_draining_nodes_are_never_offered() {
    let mut fixture = Fixture::new(&[rule(), rule(), Rule { spare: Spare::Hot, ..rule() }]);
    fixture
        .routing
        .on_membership_changes(vec![change(0, ReplicaState::Draining), change(1, ReplicaState::Removed)], S);
    fixture.collect_changes();
    assert_eq!(fixture.offered(), [2]);
    for outcome in [Outcome::ConnectFailed, Outcome::ConnectFailed] {
        fixture.outcome(2, outcome, 2 * S);
    }
    assert_eq!(fixture.offered(), [2], "the last active node is offered, draining nodes are not");
}

#[test]
fn each_partition_fails_over_on_its_own() {
    // A ring of three cells, each partition held by two of them; a spare in cell 0 only.
    let layout = PartitionLayout { cells: 3, span: 2 };
    let mut rules: HashMap<String, Rule> = (0..3).map(|n| (format!("n-{n}"), rule())).collect();
    rules.insert("n-3".into(), Rule { spare: Spare::Hot, ..rule() });
    let mut routing =
        Routing::new(RoutingSettings { layout, rules, warm_up: WARM_UP, failback_delay: FAILBACK_DELAY });
    let node = |n: u32| {
        let mut c = change(n, ReplicaState::Active);
        c.entry.cell = n % 3;
        c
    };
    routing.on_membership_changes((0..4).map(node).collect(), 0);
    let spare = |routing: &mut Routing| {
        let announced = routing.take_changes().unwrap_or_default();
        announced.into_iter().rfind(|c| c.entry.replica.0 == 3).map(|c| c.entry.state)
    };
    assert_eq!(spare(&mut routing), None);
    // Partition 1 loses both holders. The spare is not offered, as it does not hold this partition.
    routing.on_attempt_end(ReplicaId(1), Outcome::ConnectFailed, S);
    routing.on_attempt_end(ReplicaId(2), Outcome::ConnectFailed, S);
    routing.tick(S);
    assert_eq!(spare(&mut routing), None);
    routing.on_attempt_end(ReplicaId(0), Outcome::ConnectFailed, S);
    routing.tick(S);
    assert_eq!(spare(&mut routing), Some(ReplicaState::Active));
}
