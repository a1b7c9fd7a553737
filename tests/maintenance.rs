//! Permits for work on machines: the guards on the table, and a model check of the majority that agrees on
//! it.

use pebbleturn::maintenance::*;
use quickcheck::quickcheck;
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::BTreeSet;

/// Four machines in a ring of four cells; a partition is held by two in a row.
fn rules(most: usize, holders: usize) -> PermitRules {
    let cells = (0..4).map(|n| (format!("m-{n}"), n)).collect();
    PermitRules {
        max_permits: most,
        cells,
        ring: CellRing { cells: 4, cells_per_partition: 2 },
        min_holders: holders,
    }
}

fn grant(permits: &Permits, machine: &str, rules: &PermitRules) -> Result<Permits, PermitError> {
    permits.grant(&PermitRequest { machine, order: "order", broker: "b" }, rules, 7)
}

fn fence(permits: &Permits, machine: &str) -> u64 {
    permits.active().find(|(m, _)| *m == machine).map_or(0, |(_, p)| p.fencing_token)
}

#[test]
fn a_machine_advances_phase_by_phase_and_has_its_permit_until_released() {
    let rules = rules(1, 1);
    let none = Permits::default();
    assert_eq!(grant(&none, "m-9", &rules), Err(PermitError::UnknownMachine));
    let p = grant(&none, "m-0", &rules).unwrap();
    assert_eq!(grant(&p, "m-0", &rules), Err(PermitError::AlreadyGranted(1)));
    assert_eq!(grant(&p, "m-2", &rules), Err(PermitError::LimitReached { active: 1, limit: 1 }));
    assert_eq!(
        p.advance("m-0", 1, MaintenancePhase::UnderMaintenance, 8),
        Err(PermitError::InvalidTransition {
            from: MaintenancePhase::Draining,
            to: MaintenancePhase::UnderMaintenance
        })
    );
    // Nothing was begun: it may come back at once.
    assert_eq!(p.release("m-0", 1).unwrap().active().count(), 0);
    let p = p
        .advance("m-0", 1, MaintenancePhase::Drained, 8)
        .unwrap()
        .advance("m-0", 1, MaintenancePhase::UnderMaintenance, 9)
        .unwrap();
    assert_eq!(
        p.release("m-0", 1),
        Err(PermitError::InvalidTransition {
            from: MaintenancePhase::UnderMaintenance,
            to: MaintenancePhase::WarmingUp
        })
    );
    let back = p.advance("m-0", 1, MaintenancePhase::WarmingUp, 10).unwrap();
    let next = grant(&back.release("m-0", 1).unwrap(), "m-2", &rules).unwrap();
    assert_eq!(fence(&next, "m-2"), 2);
    // A stale fencing token is rejected.
    assert_eq!(next.release("m-0", 1), Err(PermitError::StaleFencingToken { given: 1, current: None }));
    let again = grant(&next.release("m-2", 2).unwrap(), "m-0", &rules).unwrap();
    assert_eq!(
        again.advance("m-0", 1, MaintenancePhase::Drained, 11),
        Err(PermitError::StaleFencingToken { given: 1, current: Some(3) })
    );
    // A person writes it off by name, whatever its step.
    assert_eq!(p.force_release("m-0", 1).unwrap().active().count(), 0);
    assert_eq!(p.force_release("m-0", 2), Err(PermitError::StaleFencingToken { given: 2, current: Some(1) }));
}

#[test]
fn no_partition_is_left_with_too_few_holders() {
    let rules = rules(4, 1);
    let p = grant(&Permits::default(), "m-1", &rules).unwrap();
    // Its neighbours hold partitions together with it; the one across holds none of them.
    for (neighbour, partition) in [("m-0", 0), ("m-2", 1)] {
        assert_eq!(grant(&p, neighbour, &rules), Err(PermitError::TooFewHolders { partition, remaining: 0 }));
    }
    assert!(grant(&p, "m-3", &rules).is_ok());
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
    /// Whatever is asked in whatever order: never more out than may be, no partition without holders, no
    /// fence twice.
    fn no_sequence_of_changes_breaks_a_rule(asked: Vec<(u8, u8)>) -> bool {
        let rules = rules(2, 1);
        let (mut p, mut fences) = (Permits::default(), BTreeSet::new());
        for (what, n) in asked {
            let machine = format!("m-{}", n % 4);
            let standing = fence(&p, &machine);
            let phases =
                [MaintenancePhase::Drained, MaintenancePhase::UnderMaintenance, MaintenancePhase::WarmingUp];
            let to = phases[usize::from(n / 4 % 3)];
            let next = match what % 4 {
                0 => grant(&p, &machine, &rules),
                1 => p.advance(&machine, standing, to, 7),
                2 => p.release(&machine, standing),
                _ => p.advance(&machine, standing.saturating_sub(1), to, 7),
            };
            if let Ok(next) = next {
                let is_granted = next.last_fencing_token() != p.last_fencing_token();
                if is_granted && !fences.insert(fence(&next, &machine)) {
                    return false;
                }
                p = next;
            }
            let out: Vec<&str> = p.active().map(|(m, _)| m).collect();
            let together = |a: &str, b: &str| out.contains(&a) && out.contains(&b);
            let has_holders = (0..4).all(|n| !together(&format!("m-{n}"), &format!("m-{}", (n + 1) % 4)));
            if out.len() > 2 || !has_holders {
                return false;
            }
        }
        true
    }
}

// ---- the model check ----

/// Which rule is broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BrokenRule {
    Nothing,
    /// An acceptor that restarts has lost what it promised and accepted.
    Disk,
    /// A acceptor accepts below its promise.
    Promise,
    /// One acceptor of three is a majority.
    Majority,
    /// A proposer derives the next table from the one that it knew, not from the one that it read.
    Read,
    /// A broker acts on what it proposed before that is agreed on.
    Early,
    /// A permit of one that is silent comes free although its work may have begun.
    Expires,
}

/// Two brokers, three acceptors. The first holds the only permit, for an empty machine, and wants to begin
/// the work. The other one has not heard of it for long: it ends the permit, if it may, and takes another
/// machine out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ModelState {
    acceptors: Vec<Acceptor<Permits>>,
    attempts: Vec<Option<Proposer<Permits>>>,
    /// Attempts that each has begun.
    begun: Vec<u64>,
    requests: BTreeSet<(usize, usize, Request<Permits>)>,
    responses: BTreeSet<(usize, usize, Response<Permits>)>,
    /// Machines on which work goes on.
    out: BTreeSet<&'static str>,
    crashes: usize,
    duplicated: usize,
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    Begin(usize),
    DeliverRequest(usize, usize, Request<Permits>),
    DeliverResponse(usize, usize, Response<Permits>),
    /// It comes, and will come once more.
    Duplicate(usize, usize, Request<Permits>),
    Crash(usize),
}

struct Check {
    broken: BrokenRule,
    attempts: [u64; 2],
    max_duplicates: usize,
}

const ACCEPTORS: usize = 3;

fn first_table() -> Permits {
    let p = grant(&Permits::default(), "m-0", &rules(1, 1)).unwrap();
    p.advance("m-0", 1, MaintenancePhase::Drained, 7).unwrap()
}

impl Check {
    /// What a broker makes of the table that it read, and the machine that is out from then on.
    fn change(&self, broker: usize, read: &Permits) -> Option<(Permits, &'static str)> {
        if broker == 0 {
            return Some((read.advance("m-0", 1, MaintenancePhase::UnderMaintenance, 7).ok()?, "m-0"));
        }
        let ended = match self.broken {
            BrokenRule::Expires => read.force_release("m-0", 1),
            _ => read.release("m-0", 1),
        };
        let granted = grant(&ended.unwrap_or(read.clone()), "m-2", &rules(1, 1)).ok()?;
        let fence = fence(&granted, "m-2");
        let empty = granted.advance("m-2", fence, MaintenancePhase::Drained, 7).ok()?;
        Some((empty.advance("m-2", fence, MaintenancePhase::UnderMaintenance, 7).ok()?, "m-2"))
    }

    fn request_all(&self, w: &mut ModelState, broker: usize, request: &Request<Permits>) {
        w.requests.extend((0..ACCEPTORS).map(|v| (broker, v, request.clone())));
    }

    /// Goes on where an attempt has come to its next stage.
    fn advance_attempt(&self, w: &mut ModelState, broker: usize) {
        let Some(mut attempt) = w.attempts[broker].clone() else { return };
        match attempt.state().clone() {
            ProposerState::Prepared(read) => {
                let read = if self.broken == BrokenRule::Read { None } else { read };
                let Some((next, machine)) = self.change(broker, &read.unwrap_or_else(first_table)) else {
                    w.attempts[broker] = None;
                    return;
                };
                if self.broken == BrokenRule::Early {
                    w.out.insert(machine);
                }
                if let Some(request) = attempt.propose(next) {
                    self.request_all(w, broker, &request);
                }
                w.attempts[broker] = Some(attempt);
            }
            ProposerState::Chosen(_) => {
                w.out.insert(["m-0", "m-2"][broker]);
                w.attempts[broker] = None;
            }
            ProposerState::Preempted(_) => w.attempts[broker] = None,
            ProposerState::Preparing | ProposerState::Proposing(_) => {}
        }
    }
}

impl Model for Check {
    type State = ModelState;
    type Action = Action;

    fn init_states(&self) -> Vec<ModelState> {
        vec![ModelState {
            acceptors: vec![Acceptor::default(); ACCEPTORS],
            attempts: vec![None; 2],
            begun: vec![0; 2],
            requests: BTreeSet::new(),
            responses: BTreeSet::new(),
            out: BTreeSet::new(),
            crashes: 0,
            duplicated: 0,
        }]
    }

    fn actions(&self, w: &ModelState, acts: &mut Vec<Action>) {
        for broker in 0..2 {
            // One may be given up for another: what it sent is still on its way.
            if w.begun[broker] < self.attempts[broker] {
                acts.push(Action::Begin(broker));
            }
        }
        // What is on its way comes in any order, or never; one of all may come twice.
        acts.extend(w.requests.iter().map(|(b, v, a)| Action::DeliverRequest(*b, *v, a.clone())));
        acts.extend(w.responses.iter().map(|(b, v, a)| Action::DeliverResponse(*b, *v, a.clone())));
        if w.duplicated < self.max_duplicates {
            acts.extend(w.requests.iter().map(|(b, v, a)| Action::Duplicate(*b, *v, a.clone())));
        }
        // A acceptor that has all on disk is the same after a crash: only one that forgets is worth a step.
        if w.crashes == 0 && self.broken == BrokenRule::Disk {
            acts.extend((0..ACCEPTORS).map(Action::Crash));
        }
    }

    fn next_state(&self, last: &ModelState, act: Action) -> Option<ModelState> {
        let mut w = last.clone();
        match act {
            Action::Begin(broker) => {
                w.begun[broker] += 1;
                let ballot = Ballot { round: w.begun[broker], proposer: broker as u64 + 1 };
                let group = if self.broken == BrokenRule::Majority { 1 } else { ACCEPTORS };
                let (attempt, request) = Proposer::begin(ballot, group);
                w.attempts[broker] = Some(attempt);
                self.request_all(&mut w, broker, &request);
            }
            Action::DeliverRequest(broker, acceptor, ref request)
            | Action::Duplicate(broker, acceptor, ref request) => {
                match act {
                    Action::DeliverRequest(..) => {
                        w.requests.remove(&(broker, acceptor, request.clone()));
                    }
                    _ => w.duplicated += 1,
                }
                if self.broken == BrokenRule::Promise && matches!(request, Request::Accept { .. }) {
                    w.acceptors[acceptor] = Acceptor::default();
                }
                let response = w.acceptors[acceptor].on_request(request);
                w.responses.insert((broker, acceptor, response));
            }
            Action::DeliverResponse(broker, acceptor, response) => {
                w.responses.remove(&(broker, acceptor, response.clone()));
                if let Some(attempt) = &mut w.attempts[broker] {
                    attempt.on_response(acceptor as u64, &response);
                }
                self.advance_attempt(&mut w, broker);
            }
            Action::Crash(acceptor) => {
                w.crashes += 1;
                if self.broken == BrokenRule::Disk {
                    w.acceptors[acceptor] = Acceptor::default();
                }
            }
        }
        (w != *last).then_some(w)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no more machines are out than may be", |_: &Check, w: &ModelState| {
                w.out.len() <= 1
            }),
            Property::sometimes("the first may begin", |_: &Check, w: &ModelState| w.out.contains("m-0")),
            Property::sometimes("the other may take its place", |_: &Check, w: &ModelState| {
                w.out.contains("m-2")
            }),
        ]
    }
}

fn check(broken: BrokenRule, attempts: [u64; 2], max_duplicates: usize) -> (bool, usize) {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let always = "no more machines are out than may be";
    let first = if broken == BrokenRule::Nothing {
        HasDiscoveries::All
    } else {
        HasDiscoveries::AllOf([always].into_iter().collect())
    };
    let checker = Check { broken, attempts, max_duplicates }
        .checker()
        .threads(threads)
        .finish_when(first)
        .spawn_dfs()
        .join();
    let discoveries = checker.discoveries();
    if broken == BrokenRule::Nothing {
        assert_eq!(
            discoveries.len() - usize::from(discoveries.contains_key(always)),
            2,
            "both may come about"
        );
    }
    (discoveries.contains_key(always), checker.unique_state_count())
}

#[test]
fn no_order_of_messages_and_crashes_exceeds_the_permit_limit() {
    let (wrong, states) = check(BrokenRule::Nothing, [1, 1], 0);
    assert!(!wrong);
    assert!(states > 100_000, "{states}");
}

#[test]
fn duplicated_messages_do_not_exceed_the_permit_limit() {
    let (wrong, states) = check(BrokenRule::Nothing, [1, 1], 1);
    assert!(!wrong && states > 2_000_000, "{states}");
}

#[test]
fn each_broken_rule_of_consensus_is_detected() {
    for broken in [
        BrokenRule::Disk,
        BrokenRule::Promise,
        BrokenRule::Majority,
        BrokenRule::Read,
        BrokenRule::Early,
        BrokenRule::Expires,
    ] {
        assert!(check(broken, [1, 1], 0).0, "{broken:?} was not caught");
    }
}
