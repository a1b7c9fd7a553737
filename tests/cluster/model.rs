//! A model check of the replicated state with three brokers: every interleaving of a few commands, of
//! deliveries between brokers, of garbage collection, and of crashes with an old disk or none. It runs the
//! real `StateStore`. Each rule is also violated in turn, and the check must detect that.

use pebbleturn::replication::*;
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

const BROKERS: usize = 3;
/// The retention is 0, so that a clearing command expires at once: garbage collection is a step like any
/// other.
const LIMITS: StoreLimits =
    StoreLimits { max_registers: 8, max_servers: 8, retention: 0, max_clock_lead: 0, max_origins: 64 };

/// The rule that the model violates on purpose, if any.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Defect {
    None,
    /// A join considers only the current commands, not the causal context.
    IgnoresCausalContext,
    /// Garbage collection leaves no record of the collected dots.
    DropsCollectedDots,
    /// A restarted process continues under its old origin, from the last dot on its disk.
    ReusesOrigin,
    /// A command supersedes all current commands of all brokers, known here or not.
    SupersedesUnknownCommands,
    /// Only one of several concurrent commands is retained.
    RetainsOneConcurrentCommand,
    /// A command is acknowledged before it is on disk.
    AcknowledgesBeforeWrite,
}

/// The values of commands, all of which are on one server.
const VALUES: [CommandValue; 2] = [CommandValue::Set, CommandValue::Clear];

#[derive(Clone, Debug)]
struct Broker {
    store: StateStore,
    disk: Vec<Fact>,
}

/// A command that was acknowledged to an operator.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct AcknowledgedCommand {
    dot: Dot,
    is_set: bool,
    /// The commands that were current where it was recorded: it supersedes them.
    superseded: Vec<Dot>,
}

#[derive(Clone, Debug)]
struct ClusterState {
    brokers: Vec<Broker>,
    acknowledged: BTreeSet<AcknowledgedCommand>,
    /// Commands that were recorded.
    recorded: usize,
    /// Restarts, and replacements of a duplicate origin.
    restarts: usize,
    /// Runs of garbage collection.
    collections: usize,
    /// All dots, and how often each was assigned.
    dots: BTreeMap<Dot, usize>,
}

impl ClusterState {
    fn as_tuple(&self) -> impl Hash + Eq + '_ {
        let brokers: Vec<_> =
            self.brokers.iter().map(|b| (b.store.to_bytes(), b.store.origin(), &b.disk)).collect();
        (brokers, &self.acknowledged, self.recorded, self.restarts, self.collections, &self.dots)
    }
}

impl PartialEq for ClusterState {
    fn eq(&self, other: &ClusterState) -> bool {
        self.as_tuple() == other.as_tuple()
    }
}

impl Eq for ClusterState {}

impl Hash for ClusterState {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.as_tuple().hash(hasher);
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    /// A command is recorded at a broker.
    Record { at: usize, is_set: bool },
    /// All facts of one broker are delivered to another.
    Deliver { from: usize, to: usize },
    /// A broker runs garbage collection.
    Collect { at: usize },
    /// A broker is killed, and starts from its disk or from an empty one.
    Crash { at: usize, disk_lost: bool },
    /// A broker writes its facts to disk.
    Write { at: usize },
}

struct ClusterModel {
    defect: Defect,
    max_commands: usize,
    max_restarts: usize,
}

fn server() -> FactKey {
    FactKey::Server("s".into())
}

fn facts(store: &StateStore) -> Vec<Fact> {
    store.facts().map(|(key, value)| (key.clone(), value.clone())).collect()
}

fn store_with(origin: u64, stored: &[Fact]) -> StateStore {
    let mut store = StateStore::new(Origin(origin), LIMITS);
    for (key, value) in stored {
        store.join(key, value, 0).unwrap();
    }
    store
}

fn current_values(store: &StateStore) -> Vec<(Dot, bool)> {
    store
        .register(&server())
        .map_or(vec![], |r| r.commands().map(|(dot, c)| (dot, c.value == CommandValue::Set)).collect())
}

/// A register of these commands whose causal context has no other dots.
fn register_of(commands: &[(Dot, OperatorCommand)]) -> Register {
    let mut register = Register::default();
    for (dot, command) in commands {
        let mut single = Register::default();
        single.record(*dot, command.clone());
        register.join(&single, &VersionVector::default());
    }
    register
}

fn current_commands(store: &StateStore) -> Vec<(Dot, OperatorCommand)> {
    store.register(&server()).map_or(vec![], |r| r.commands().map(|(dot, c)| (dot, c.clone())).collect())
}

impl ClusterModel {
    fn deliver(&self, from: &StateStore, to: &mut StateStore) {
        for (key, value) in facts(from) {
            match (&value, self.defect) {
                (FactValue::Commands(_), Defect::IgnoresCausalContext) => {
                    let reduced = FactValue::Commands(register_of(&current_commands(from)));
                    to.join(&key, &reduced, 0).unwrap();
                }
                (FactValue::Commands(_), Defect::RetainsOneConcurrentCommand) => {
                    to.join(&key, &value, 0).unwrap();
                    let commands = current_commands(to);
                    if commands.len() > 1 {
                        let mut retained: Vec<Fact> = facts(to);
                        retained.retain(|(k, _)| *k != key);
                        retained.push((
                            key.clone(),
                            FactValue::Commands(register_of(&commands[commands.len() - 1..])),
                        ));
                        *to = store_with(to.origin().0, &retained);
                    }
                }
                _ => drop(to.join(&key, &value, 0)),
            }
        }
    }
}

impl Model for ClusterModel {
    type State = ClusterState;
    type Action = Step;

    fn init_states(&self) -> Vec<ClusterState> {
        let brokers =
            (0..BROKERS).map(|n| Broker { store: store_with(n as u64 + 1, &[]), disk: vec![] }).collect();
        let (acknowledged, dots) = (BTreeSet::new(), BTreeMap::new());
        vec![ClusterState { brokers, acknowledged, recorded: 0, restarts: 0, collections: 0, dots }]
    }

    fn actions(&self, state: &ClusterState, steps: &mut Vec<Step>) {
        for at in 0..BROKERS {
            if state.recorded < self.max_commands {
                steps.extend(VALUES.iter().map(|v| Step::Record { at, is_set: *v == CommandValue::Set }));
            }
            if state.restarts < self.max_restarts {
                steps.push(Step::Crash { at, disk_lost: false });
                // A disk may be lost only if another broker has all facts of this one.
                let has_all_facts = |other: &Broker| {
                    let mut merged = other.store.clone();
                    self.deliver(&state.brokers[at].store, &mut merged);
                    merged.to_bytes() == other.store.to_bytes()
                };
                if (0..BROKERS).any(|n| n != at && has_all_facts(&state.brokers[n])) {
                    steps.push(Step::Crash { at, disk_lost: true });
                }
            }
            if state.collections < 1 {
                steps.push(Step::Collect { at });
            }
            if state.brokers[at].disk != facts(&state.brokers[at].store) {
                steps.push(Step::Write { at });
            }
            steps.extend((0..BROKERS).filter(|to| *to != at).map(|to| Step::Deliver { from: at, to }));
        }
    }

    fn next_state(&self, previous: &ClusterState, step: Step) -> Option<ClusterState> {
        let mut next = previous.clone();
        match step {
            Step::Record { at, is_set } => {
                let superseded: Vec<Dot> =
                    current_values(&next.brokers[at].store).into_iter().map(|(dot, _)| dot).collect();
                if self.defect == Defect::SupersedesUnknownCommands {
                    // It supersedes commands that its broker does not know.
                    let stores: Vec<StateStore> = next.brokers.iter().map(|b| b.store.clone()).collect();
                    stores.iter().for_each(|store| self.deliver(store, &mut next.brokers[at].store));
                }
                let value = if is_set { CommandValue::Set } else { CommandValue::Clear };
                let command = OperatorCommand {
                    value,
                    author: "w".into(),
                    reason: String::new(),
                    broker: at.to_string(),
                    issued_at: 0,
                    expires_at: None,
                };
                // As in the program, a broker takes a new origin when its disk or its peers have dots of its
                // own origin that it does not know.
                if next.brokers[at].store.has_duplicate_origin() {
                    next.restarts += 1;
                    next.brokers[at].store.set_origin(Origin(200 + next.restarts as u64));
                }
                let dot = next.brokers[at].store.record(&server(), command).unwrap();
                *next.dots.entry(dot).or_insert(0) += 1;
                next.recorded += 1;
                // Acknowledged once it is on disk.
                if self.defect != Defect::AcknowledgesBeforeWrite {
                    next.brokers[at].disk = facts(&next.brokers[at].store);
                }
                next.acknowledged.insert(AcknowledgedCommand { dot, is_set, superseded });
            }
            Step::Deliver { from, to } => {
                let from = next.brokers[from].store.clone();
                self.deliver(&from, &mut next.brokers[to].store);
            }
            Step::Collect { at } => {
                next.collections += 1;
                let broker = &mut next.brokers[at];
                broker.store.collect_garbage(1);
                if self.defect == Defect::DropsCollectedDots {
                    let retained: Vec<Fact> = facts(&broker.store)
                        .into_iter()
                        .filter(|(key, _)| !matches!(key, FactKey::Collected(_)))
                        .collect();
                    broker.store = store_with(broker.store.origin().0, &retained);
                }
            }
            Step::Write { at } => next.brokers[at].disk = facts(&next.brokers[at].store),
            Step::Crash { at, disk_lost } => {
                if disk_lost {
                    next.brokers[at].disk.clear();
                }
                next.restarts += 1;
                let origin = if self.defect == Defect::ReusesOrigin {
                    next.brokers[at].store.origin().0
                } else {
                    100 + next.restarts as u64
                };
                next.brokers[at].store = store_with(origin, &next.brokers[at].disk);
            }
        }
        (next != *previous).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        // The store to which all brokers would converge if all faults ended now.
        fn joined(model: &ClusterModel, state: &ClusterState) -> StateStore {
            let mut store = store_with(999, &[]);
            state.brokers.iter().for_each(|b| model.deliver(&b.store, &mut store));
            store
        }
        fn is_superseded(state: &ClusterState, dot: Dot) -> bool {
            state.acknowledged.iter().any(|c| c.superseded.contains(&dot))
        }
        vec![
            Property::always(
                "an acknowledged command is current until it is superseded",
                |model: &ClusterModel, state: &ClusterState| {
                    let current = current_values(&joined(model, state));
                    state
                        .acknowledged
                        .iter()
                        .all(|c| !c.is_set || is_superseded(state, c.dot) || current.contains(&(c.dot, true)))
                },
            ),
            Property::always(
                "a superseded command does not return",
                |model: &ClusterModel, state: &ClusterState| {
                    let current = current_values(&joined(model, state));
                    state
                        .acknowledged
                        .iter()
                        .all(|c| !is_superseded(state, c.dot) || !current.contains(&(c.dot, c.is_set)))
                },
            ),
            Property::always("no dot is used twice", |_: &ClusterModel, state: &ClusterState| {
                state.dots.values().all(|n| *n == 1)
            }),
            Property::always(
                "the order of joins does not matter",
                |model: &ClusterModel, state: &ClusterState| {
                    let mut reversed = store_with(999, &[]);
                    state.brokers.iter().rev().for_each(|b| model.deliver(&b.store, &mut reversed));
                    reversed.to_bytes() == joined(model, state).to_bytes()
                },
            ),
        ]
    }
}

/// The properties that fail, and the number of states that were visited.
fn check(defect: Defect, max_commands: usize, max_restarts: usize) -> (BTreeSet<&'static str>, usize) {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let finish = if defect == Defect::None { HasDiscoveries::All } else { HasDiscoveries::Any };
    let checker = ClusterModel { defect, max_commands, max_restarts }
        .checker()
        .threads(threads)
        .finish_when(finish)
        .spawn_bfs()
        .join();
    (checker.discoveries().into_keys().collect(), checker.unique_state_count())
}

#[test]
fn no_interleaving_violates_a_property() {
    let (violated, states) = check(Defect::None, 2, 1);
    assert!(violated.is_empty(), "{violated:?}");
    assert!(states > 10_000, "{states}");
}

#[test]
fn each_violated_rule_is_detected() {
    for (defect, property) in [
        (Defect::IgnoresCausalContext, "a superseded command does not return"),
        (Defect::DropsCollectedDots, "a superseded command does not return"),
        (Defect::ReusesOrigin, "no dot is used twice"),
        (Defect::SupersedesUnknownCommands, "an acknowledged command is current until it is superseded"),
        (Defect::RetainsOneConcurrentCommand, "an acknowledged command is current until it is superseded"),
        (Defect::AcknowledgesBeforeWrite, "an acknowledged command is current until it is superseded"),
    ] {
        // Under `ReusesOrigin` a dot is used twice only if a process loses one that never reached its disk.
        let (violated, _) = check(defect, 2, 1);
        assert!(violated.contains(property), "{defect:?}: {violated:?}");
    }
}
