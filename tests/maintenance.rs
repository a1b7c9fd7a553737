//! Permits for the maintenance of machines: the rules of the table, and a model check of the consensus on it.

use pebbleturn::maintenance::*;
use quickcheck::quickcheck;
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::BTreeSet;

/// Four machines in a ring of four cells; each partition is held by two consecutive cells.
fn rules(limit: usize, holders: usize) -> PermitRules {
    let cells = (0..4).map(|n| (format!("m-{n}"), n)).collect();
    PermitRules {
        max_permits: limit,
        cells,
        ring: CellRing { cells: 4, cells_per_partition: 2 },
        min_holders: holders,
    }
}

fn grant(permits: &Permits, machine: &str, rules: &PermitRules) -> Result<Permits, PermitError> {
    permits.grant(&PermitRequest { machine, order: "order", broker: "b" }, rules, 7)
}

fn fencing_token(permits: &Permits, machine: &str) -> u64 {
    permits.active().find(|(m, _)| *m == machine).map_or(0, |(_, permit)| permit.fencing_token)
}

#[test]
fn a_machine_advances_phase_by_phase_and_has_its_permit_until_released() {
    let rules = rules(1, 1);
    let no_permits = Permits::default();
    assert_eq!(grant(&no_permits, "m-9", &rules), Err(PermitError::UnknownMachine));
    let permits = grant(&no_permits, "m-0", &rules).unwrap();
    assert_eq!(grant(&permits, "m-0", &rules), Err(PermitError::AlreadyGranted(1)));
    assert_eq!(grant(&permits, "m-2", &rules), Err(PermitError::LimitReached { active: 1, limit: 1 }));
    assert_eq!(
        permits.advance("m-0", 1, MaintenancePhase::UnderMaintenance, 8),
        Err(PermitError::InvalidTransition {
            from: MaintenancePhase::Draining,
            to: MaintenancePhase::UnderMaintenance
        })
    );
    // Maintenance has not begun: the permit can be released at once.
    assert_eq!(permits.release("m-0", 1).unwrap().active().count(), 0);
    let permits = permits
        .advance("m-0", 1, MaintenancePhase::Drained, 8)
        .unwrap()
        .advance("m-0", 1, MaintenancePhase::UnderMaintenance, 9)
        .unwrap();
    assert_eq!(
        permits.release("m-0", 1),
        Err(PermitError::InvalidTransition {
            from: MaintenancePhase::UnderMaintenance,
            to: MaintenancePhase::WarmingUp
        })
    );
    let warming_up = permits.advance("m-0", 1, MaintenancePhase::WarmingUp, 10).unwrap();
    let next = grant(&warming_up.release("m-0", 1).unwrap(), "m-2", &rules).unwrap();
    assert_eq!(fencing_token(&next, "m-2"), 2);
    // A stale fencing token is rejected.
    assert_eq!(next.release("m-0", 1), Err(PermitError::StaleFencingToken { given: 1, current: None }));
    let newer = grant(&next.release("m-2", 2).unwrap(), "m-0", &rules).unwrap();
    assert_eq!(
        newer.advance("m-0", 1, MaintenancePhase::Drained, 11),
        Err(PermitError::StaleFencingToken { given: 1, current: Some(3) })
    );
    // An operator can release the permit by force in any phase.
    assert_eq!(permits.force_release("m-0", 1).unwrap().active().count(), 0);
    assert_eq!(
        permits.force_release("m-0", 2),
        Err(PermitError::StaleFencingToken { given: 2, current: Some(1) })
    );
}

#[test]
fn no_partition_is_left_with_too_few_holders() {
    let rules = rules(4, 1);
    let permits = grant(&Permits::default(), "m-1", &rules).unwrap();
    // Its neighbours share partitions with it; the machine in the opposite cell shares none.
    for (neighbour, partition) in [("m-0", 0), ("m-2", 1)] {
        assert_eq!(
            grant(&permits, neighbour, &rules),
            Err(PermitError::TooFewHolders { partition, remaining: 0 })
        );
    }
    assert!(grant(&permits, "m-3", &rules).is_ok());
}

#[test]
fn permit_errors_keep_their_printed_texts() {
    let texts = [
        (PermitError::LimitReached { active: 1, limit: 2 }, "1 machines are out, and 2 may be"),
        (
            PermitError::TooFewHolders { partition: 3, remaining: 0 },
            "partition 3 would be left with 0 holders",
        ),
        (PermitError::AlreadyGranted(4), "it is out already, by permit 4"),
        (PermitError::UnknownMachine, "no list names it"),
        (PermitError::StaleFencingToken { given: 1, current: None }, "permit 1 does not stand any more"),
        (
            PermitError::StaleFencingToken { given: 1, current: Some(3) },
            "permit 1 does not stand any more, 3 does",
        ),
        (
            PermitError::InvalidTransition {
                from: MaintenancePhase::Draining,
                to: MaintenancePhase::Drained,
            },
            "Empty does not follow Draining",
        ),
        (
            PermitError::InvalidTransition {
                from: MaintenancePhase::UnderMaintenance,
                to: MaintenancePhase::WarmingUp,
            },
            "Back does not follow Out",
        ),
    ];
    for (error, text) in texts {
        assert_eq!(error.to_string(), text);
    }
}

quickcheck! {
    /// No sequence of requests exceeds the limit of permits, leaves a partition without holders, or grants a
    /// fencing token twice.
    fn no_sequence_of_changes_breaks_a_rule(requests: Vec<(u8, u8)>) -> bool {
        let rules = rules(2, 1);
        let (mut permits, mut tokens) = (Permits::default(), BTreeSet::new());
        for (kind, n) in requests {
            let machine = format!("m-{}", n % 4);
            let token = fencing_token(&permits, &machine);
            let phases =
                [MaintenancePhase::Drained, MaintenancePhase::UnderMaintenance, MaintenancePhase::WarmingUp];
            let to = phases[usize::from(n / 4 % 3)];
            let next = match kind % 4 {
                0 => grant(&permits, &machine, &rules),
                1 => permits.advance(&machine, token, to, 7),
                2 => permits.release(&machine, token),
                _ => permits.advance(&machine, token.saturating_sub(1), to, 7),
            };
            if let Ok(next) = next {
                let is_granted = next.last_fencing_token() != permits.last_fencing_token();
                if is_granted && !tokens.insert(fencing_token(&next, &machine)) {
                    return false;
                }
                permits = next;
            }
            let with_permit: Vec<&str> = permits.active().map(|(m, _)| m).collect();
            let both_have_permits = |a: &str, b: &str| with_permit.contains(&a) && with_permit.contains(&b);
            let has_holders =
                (0..4).all(|n| !both_have_permits(&format!("m-{n}"), &format!("m-{}", (n + 1) % 4)));
            if with_permit.len() > 2 || !has_holders {
                return false;
            }
        }
        true
    }
}

// ---- the model check ----

/// The rule that the model breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BrokenRule {
    None,
    /// An acceptor loses its promise and its accepted value at a restart.
    DurableState,
    /// An acceptor accepts a ballot below its promise.
    Promise,
    /// One acceptor of three counts as a majority.
    Majority,
    /// A proposer derives the next table from the initial one instead of the one that it read.
    DeriveFromRead,
    /// A broker acts on its proposed table before that is chosen.
    ActAfterChosen,
    /// The permit of a broker that does not respond is released although maintenance may have begun.
    NoExpiry,
}

/// Two brokers and three acceptors. The first broker holds the only permit, for a drained machine, and tries
/// to begin its maintenance. The second broker has lost contact with the first one: it releases the permit,
/// if the rules permit that, and tries to begin the maintenance of another machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ModelState {
    acceptors: Vec<Acceptor<Permits>>,
    attempts: Vec<Option<Proposer<Permits>>>,
    /// The number of attempts that each broker has begun.
    begun: Vec<u64>,
    requests: BTreeSet<(usize, usize, Request<Permits>)>,
    responses: BTreeSet<(usize, usize, Response<Permits>)>,
    /// Machines under maintenance.
    under_maintenance: BTreeSet<&'static str>,
    crashes: usize,
    duplicated: usize,
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    Begin(usize),
    DeliverRequest(usize, usize, Request<Permits>),
    DeliverResponse(usize, usize, Response<Permits>),
    /// Delivers a request that stays in flight to be delivered again.
    Duplicate(usize, usize, Request<Permits>),
    Crash(usize),
}

struct PermitModel {
    broken: BrokenRule,
    attempts: [u64; 2],
    max_duplicates: usize,
}

const ACCEPTORS: usize = 3;

fn initial_table() -> Permits {
    let permits = grant(&Permits::default(), "m-0", &rules(1, 1)).unwrap();
    permits.advance("m-0", 1, MaintenancePhase::Drained, 7).unwrap()
}

impl PermitModel {
    /// The table that a broker derives from the one that it read, and the machine whose maintenance it
    /// begins.
    fn change(&self, broker: usize, read: &Permits) -> Option<(Permits, &'static str)> {
        if broker == 0 {
            return Some((read.advance("m-0", 1, MaintenancePhase::UnderMaintenance, 7).ok()?, "m-0"));
        }
        let released = match self.broken {
            BrokenRule::NoExpiry => read.force_release("m-0", 1),
            _ => read.release("m-0", 1),
        };
        let granted = grant(&released.unwrap_or(read.clone()), "m-2", &rules(1, 1)).ok()?;
        let token = fencing_token(&granted, "m-2");
        let drained = granted.advance("m-2", token, MaintenancePhase::Drained, 7).ok()?;
        Some((drained.advance("m-2", token, MaintenancePhase::UnderMaintenance, 7).ok()?, "m-2"))
    }

    fn send_to_all(&self, state: &mut ModelState, broker: usize, request: &Request<Permits>) {
        state.requests.extend((0..ACCEPTORS).map(|acceptor| (broker, acceptor, request.clone())));
    }

    /// Takes the next step of an attempt that has reached a new state.
    fn advance_attempt(&self, state: &mut ModelState, broker: usize) {
        let Some(mut attempt) = state.attempts[broker].clone() else { return };
        match attempt.state().clone() {
            ProposerState::Prepared(read) => {
                let read = if self.broken == BrokenRule::DeriveFromRead { None } else { read };
                let Some((next, machine)) = self.change(broker, &read.unwrap_or_else(initial_table)) else {
                    state.attempts[broker] = None;
                    return;
                };
                if self.broken == BrokenRule::ActAfterChosen {
                    state.under_maintenance.insert(machine);
                }
                if let Some(request) = attempt.propose(next) {
                    self.send_to_all(state, broker, &request);
                }
                state.attempts[broker] = Some(attempt);
            }
            ProposerState::Chosen(_) => {
                state.under_maintenance.insert(["m-0", "m-2"][broker]);
                state.attempts[broker] = None;
            }
            ProposerState::Preempted(_) => state.attempts[broker] = None,
            ProposerState::Preparing | ProposerState::Proposing(_) => {}
        }
    }
}

impl Model for PermitModel {
    type State = ModelState;
    type Action = Action;

    fn init_states(&self) -> Vec<ModelState> {
        vec![ModelState {
            acceptors: vec![Acceptor::default(); ACCEPTORS],
            attempts: vec![None; 2],
            begun: vec![0; 2],
            requests: BTreeSet::new(),
            responses: BTreeSet::new(),
            under_maintenance: BTreeSet::new(),
            crashes: 0,
            duplicated: 0,
        }]
    }

    fn actions(&self, state: &ModelState, actions: &mut Vec<Action>) {
        for broker in 0..2 {
            // An attempt may be abandoned for a new one while its messages are still in flight.
            if state.begun[broker] < self.attempts[broker] {
                actions.push(Action::Begin(broker));
            }
        }
        // Messages in flight are delivered in any order, or never, with at most `max_duplicates`
        // duplicate deliveries of requests.
        actions.extend(
            state.requests.iter().map(|(broker, acceptor, message)| {
                Action::DeliverRequest(*broker, *acceptor, message.clone())
            }),
        );
        actions.extend(
            state.responses.iter().map(|(broker, acceptor, message)| {
                Action::DeliverResponse(*broker, *acceptor, message.clone())
            }),
        );
        if state.duplicated < self.max_duplicates {
            actions.extend(
                state.requests.iter().map(|(broker, acceptor, message)| {
                    Action::Duplicate(*broker, *acceptor, message.clone())
                }),
            );
        }
        // A crash does not change an acceptor whose state is on disk: only one that loses its state crashes.
        if state.crashes == 0 && self.broken == BrokenRule::DurableState {
            actions.extend((0..ACCEPTORS).map(Action::Crash));
        }
    }

    fn next_state(&self, previous: &ModelState, action: Action) -> Option<ModelState> {
        let mut state = previous.clone();
        match action {
            Action::Begin(broker) => {
                state.begun[broker] += 1;
                let ballot = Ballot { round: state.begun[broker], proposer: broker as u64 + 1 };
                let group = if self.broken == BrokenRule::Majority { 1 } else { ACCEPTORS };
                let (attempt, request) = Proposer::begin(ballot, group);
                state.attempts[broker] = Some(attempt);
                self.send_to_all(&mut state, broker, &request);
            }
            Action::DeliverRequest(broker, acceptor, ref request)
            | Action::Duplicate(broker, acceptor, ref request) => {
                match action {
                    Action::DeliverRequest(..) => {
                        state.requests.remove(&(broker, acceptor, request.clone()));
                    }
                    _ => state.duplicated += 1,
                }
                if self.broken == BrokenRule::Promise && matches!(request, Request::Accept { .. }) {
                    state.acceptors[acceptor] = Acceptor::default();
                }
                let response = state.acceptors[acceptor].on_request(request);
                state.responses.insert((broker, acceptor, response));
            }
            Action::DeliverResponse(broker, acceptor, response) => {
                state.responses.remove(&(broker, acceptor, response.clone()));
                if let Some(attempt) = &mut state.attempts[broker] {
                    attempt.on_response(acceptor as u64, &response);
                }
                self.advance_attempt(&mut state, broker);
            }
            Action::Crash(acceptor) => {
                state.crashes += 1;
                if self.broken == BrokenRule::DurableState {
                    state.acceptors[acceptor] = Acceptor::default();
                }
            }
        }
        (state != *previous).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "at most one machine is under maintenance",
                |_: &PermitModel, state: &ModelState| state.under_maintenance.len() <= 1,
            ),
            Property::sometimes(
                "the first broker can begin maintenance",
                |_: &PermitModel, state: &ModelState| state.under_maintenance.contains("m-0"),
            ),
            Property::sometimes(
                "the second broker can begin maintenance",
                |_: &PermitModel, state: &ModelState| state.under_maintenance.contains("m-2"),
            ),
        ]
    }
}

fn check_model(broken: BrokenRule, attempts: [u64; 2], max_duplicates: usize) -> (bool, usize) {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let always = "at most one machine is under maintenance";
    let finish_condition = if broken == BrokenRule::None {
        HasDiscoveries::All
    } else {
        HasDiscoveries::AllOf([always].into_iter().collect())
    };
    let checker = PermitModel { broken, attempts, max_duplicates }
        .checker()
        .threads(threads)
        .finish_when(finish_condition)
        .spawn_dfs()
        .join();
    let discoveries = checker.discoveries();
    if broken == BrokenRule::None {
        assert_eq!(
            discoveries.len() - usize::from(discoveries.contains_key(always)),
            2,
            "both outcomes are reachable"
        );
    }
    (discoveries.contains_key(always), checker.unique_state_count())
}

#[test]
fn no_order_of_messages_and_crashes_exceeds_the_permit_limit() {
    let (is_violated, states) = check_model(BrokenRule::None, [1, 1], 0);
    assert!(!is_violated);
    assert!(states > 100_000, "{states}");
}

#[test]
fn duplicated_messages_do_not_exceed_the_permit_limit() {
    let (is_violated, states) = check_model(BrokenRule::None, [1, 1], 1);
    assert!(!is_violated && states > 2_000_000, "{states}");
}

#[test]
fn each_broken_rule_of_consensus_is_detected() {
    for broken in [
        BrokenRule::DurableState,
        BrokenRule::Promise,
        BrokenRule::Majority,
        BrokenRule::DeriveFromRead,
        BrokenRule::ActAfterChosen,
        BrokenRule::NoExpiry,
    ] {
        assert!(check_model(broken, [1, 1], 0).0, "{broken:?} was not detected");
    }
}
