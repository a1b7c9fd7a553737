//! How processes at one address publish their states and share the limits, without a disk and in simulated
//! time.

use pebbleturn::Nanos;
use pebbleturn::hot_restart::coordination::{
    Coordination, MIN_DESCRIPTORS, PeerProcess, QuotaShare, ResourceUsage, SharedLimits,
};
use pebbleturn::hot_restart::state::{Override, Overrides, ProcessStage, ProcessState};
use quickcheck::quickcheck;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

const MS: Nanos = 1_000_000;

fn state() -> ProcessState {
    let mut overrides = Overrides::default();
    overrides.set_server_suspended("s-1", true, 5);
    overrides.set_server_suspended("s-2", false, 6);
    overrides.set_paused(true, 7);
    ProcessState {
        written_at: 9,
        stage: ProcessStage::Serving,
        overrides,
        descriptor_lease: 300,
        in_flight: 41,
        open_query_ids: vec!["9b1f".into()],
        watches_discovery: true,
    }
}

#[test]
fn a_state_truncated_or_corrupted_at_any_byte_is_an_error_and_never_another_state() {
    let (state, bytes) = (state(), state().encode().unwrap());
    assert_eq!(ProcessState::decode(&bytes).as_ref(), Ok(&state));
    for at in 0..bytes.len() {
        assert!(ProcessState::decode(&bytes[..at]).is_err(), "cut at {at}");
        for bit in 0..8 {
            let mut changed = bytes.clone();
            changed[at] ^= 1 << bit;
            assert!(ProcessState::decode(&changed).is_err(), "bit {bit} of byte {at}");
        }
    }
    let other = String::from_utf8(bytes).unwrap().replacen(" 1 ", " 2 ", 1);
    assert!(ProcessState::decode(other.as_bytes()).unwrap_err().to_string().contains("version 2"));
    assert!(ProcessState::decode(&vec![b' '; 2 << 20]).unwrap_err().to_string().contains("more than may be"));
}

/// A process keeps its watch for newer ones until one of them has a watch of its own, whatever older or dead
/// processes have.
#[test]
fn a_watch_is_kept_while_no_newer_running_process_has_one() {
    let process = |serial, alive, watches_discovery| {
        let state = Some(ProcessState { watches_discovery, ..ProcessState::default() });
        PeerProcess { serial, alive, state }
    };
    let limits = SharedLimits { descriptors: 384, max_in_flight: 100, retry_budget_window: 0 };
    let lacks_watch = |peers| Coordination::new(5, limits, peers, 0).successor_lacks_watch();
    assert!(!lacks_watch(vec![]));
    assert!(!lacks_watch(vec![process(4, true, false), process(6, false, false)]));
    assert!(lacks_watch(vec![process(4, true, true), process(6, true, false)]));
    assert!(lacks_watch(vec![process(6, true, false), process(7, false, true)]));
    assert!(lacks_watch(vec![PeerProcess { serial: 6, alive: true, state: None }]));
    assert!(!lacks_watch(vec![process(6, true, false), process(7, true, true)]));
}

fn overrides_of(commands: &[(u8, bool, u8)]) -> Overrides {
    let mut overrides = Overrides::default();
    for (id, active, at) in commands {
        let one_override = Override { set_at: Nanos::from(*at % 4), active: *active };
        let mut one = Overrides::default();
        match id % 4 {
            0 => one.pause = Some(one_override),
            n => drop(one.servers.insert(format!("s-{n}"), one_override)),
        }
        overrides.merge(&one);
    }
    overrides
}

fn merged(all: &[&Overrides]) -> Overrides {
    let mut overrides = Overrides::default();
    for other in all {
        overrides.merge(other);
    }
    overrides
}

quickcheck! {
    fn overrides_merge_is_commutative_associative_and_idempotent(a: Vec<(u8, bool, u8)>, b: Vec<(u8, bool, u8)>, c: Vec<(u8, bool, u8)>) -> bool {
        let (a, b, c) = (overrides_of(&a), overrides_of(&b), overrides_of(&c));
        let all = merged(&[&a, &b, &c]);
        all == merged(&[&c, &a, &b]) && all == merged(&[&a, &b, &a, &c, &b]) && all == merged(&[&merged(&[&b, &c]), &a])
    }

    fn the_last_override_holds_whatever_the_clock_does(commands: Vec<(bool, u8)>) -> bool {
        let mut overrides = Overrides::default();
        commands.iter().for_each(|(active, clock)| overrides.set_server_suspended("s", *active, Nanos::from(*clock)));
        overrides.servers.get("s").map(|o| o.active) == commands.last().map(|(active, _)| *active)
    }
}

const LIMITS: SharedLimits =
    SharedLimits { descriptors: 384, max_in_flight: 800, retry_budget_window: 2000 * MS };

/// The rule under test: what share of the limits a process takes, given its coordination and observations.
type ShareRule = fn(&Coordination, &Observed, Nanos) -> QuotaShare;

/// What a process last observed, as input of the faulty rules.
struct Observed {
    serial: u64,
    peers: Vec<PeerProcess>,
}

struct Process {
    observed: Observed,
    coordination: Coordination,
    share: QuotaShare,
    stage: ProcessStage,
    alive: bool,
    descriptors: usize,
    /// The state that the other processes can read.
    published: Option<ProcessState>,
    next_observation_at: Nanos,
    serves_at: Nanos,
}

/// Processes at one address that start, serve, drain and are killed. Each step checks the invariants over all
/// of them.
struct Simulation {
    rng: Pcg64Mcg,
    now: Nanos,
    processes: Vec<Process>,
    /// Last time at which each process used a free retry.
    last_free_retry: Vec<Option<Nanos>>,
    violations: Vec<&'static str>,
}

impl Simulation {
    fn chance(&mut self, one_in: u32) -> bool {
        self.rng.next_u64().is_multiple_of(u64::from(one_in))
    }

    fn peers(&self, of: u64) -> Vec<PeerProcess> {
        let others = self.processes.iter().filter(|p| p.observed.serial != of);
        others
            .map(|p| PeerProcess { serial: p.observed.serial, alive: p.alive, state: p.published.clone() })
            .collect()
    }

    fn start(&mut self, rule: ShareRule) {
        let serial = self.processes.len() as u64 + 1;
        let peers = self.peers(serial);
        let coordination = Coordination::new(serial, LIMITS, peers.clone(), self.now);
        let observed = Observed { serial, peers };
        let share = rule(&coordination, &observed, self.now);
        let serves_at = self.now + self.rng.next_u64() % 400 * MS;
        let (stage, descriptors, next_observation_at) = (ProcessStage::Starting, 16, self.now);
        self.processes.push(Process {
            observed,
            coordination,
            share,
            stage,
            alive: true,
            descriptors,
            published: None,
            next_observation_at,
            serves_at,
        });
        self.last_free_retry.push(None);
    }

    fn step(&mut self, rule: ShareRule) {
        self.now += 10 * MS;
        let running = self.processes.iter().filter(|p| p.alive).count();
        if running == 0 || (running == 1 && self.chance(100)) {
            self.start(rule);
        }
        for n in 0..self.processes.len() {
            if !self.processes[n].alive {
                continue;
            }
            // Processes are killed at random, starting ones more often.
            let one_in = if self.processes[n].stage == ProcessStage::Starting { 60 } else { 500 };
            if self.chance(one_in) {
                self.processes[n].alive = false;
                continue;
            }
            let (now, jitter, peers) = (self.now, self.rng.next_u64() % 40 * MS, self.peers(n as u64 + 1));
            let p = &mut self.processes[n];
            if p.stage == ProcessStage::Starting && p.serves_at <= now {
                p.stage = ProcessStage::Serving;
            }
            if p.next_observation_at <= now {
                p.next_observation_at = now + 90 * MS + jitter;
                p.observed.peers = peers.clone();
                p.coordination.on_peers_observed(
                    peers,
                    ResourceUsage { descriptors: p.descriptors, in_flight: 0 },
                    now,
                );
                p.share = rule(&p.coordination, &p.observed, now);
                let lease = p.coordination.descriptor_lease();
                p.published =
                    Some(ProcessState { stage: p.stage, descriptor_lease: lease, ..ProcessState::default() });
                p.coordination.on_lease_published(lease);
            }
            // A process uses all of its share at once, and ends as soon as a successor serves.
            p.descriptors = p.descriptors.max(p.share.descriptors);
            if p.share.free_retries {
                self.last_free_retry[n] = Some(now);
            }
            if p.share.successor_serving {
                p.alive = false;
                let successor = self.processes[n + 1..].iter().any(|q| q.stage == ProcessStage::Serving);
                if !successor {
                    self.violations.push("ended without a serving successor");
                }
            }
        }
        let held: usize = self.processes.iter().filter(|p| p.alive).map(|p| p.descriptors).sum();
        if held > LIMITS.descriptors {
            self.violations.push("more descriptors in use than the limit");
        }
        let recent = self
            .last_free_retry
            .iter()
            .flatten()
            .filter(|t| **t + LIMITS.retry_budget_window > self.now)
            .count();
        if recent > 1 {
            self.violations.push("two processes used free retries within one window");
        }
    }
}

/// Runs one seed and returns the violated invariants.
fn run_seed(seed: u64, rule: ShareRule) -> Vec<&'static str> {
    let rng = Pcg64Mcg::seed_from_u64(seed);
    let mut simulation =
        Simulation { rng, now: 10_000 * MS, processes: vec![], last_free_retry: vec![], violations: vec![] };
    for _ in 0..800 {
        simulation.step(rule);
    }
    simulation.violations.dedup();
    simulation.violations
}

fn unmodified_rule(coordination: &Coordination, _: &Observed, now: Nanos) -> QuotaShare {
    coordination.quota_share(now)
}

#[test]
fn processes_together_keep_the_limits_of_one_over_starts_ends_and_kills() {
    for seed in 0..3000 {
        assert_eq!(run_seed(seed, unmodified_rule), [""; 0], "seed {seed}");
    }
}

#[test]
fn the_invariant_checks_catch_each_removed_rule() {
    let mutants: [(&str, ShareRule); 6] = [
        ("free retries for all processes", |coordination, _, now| QuotaShare {
            free_retries: true,
            ..coordination.quota_share(now)
        }),
        ("free retries without waiting for a window", |coordination, observed, now| {
            let older = observed.peers.iter().any(|p| p.alive && p.serial < observed.serial);
            QuotaShare { free_retries: !older, ..coordination.quota_share(now) }
        }),
        ("all descriptors for each process", |coordination, _, now| QuotaShare {
            descriptors: LIMITS.descriptors,
            ..coordination.quota_share(now)
        }),
        ("no reserve for the next process", |coordination, observed, now| {
            let alone = !observed.peers.iter().any(|p| p.alive);
            let share = coordination.quota_share(now);
            QuotaShare { descriptors: if alone { LIMITS.descriptors } else { share.descriptors }, ..share }
        }),
        ("a starting process counts as a serving one", |coordination, observed, now| {
            let succeeded = observed.peers.iter().any(|p| p.alive && p.serial > observed.serial);
            QuotaShare { successor_serving: succeeded, ..coordination.quota_share(now) }
        }),
        (
            "half of the descriptors for the newer process, whatever is leased",
            |coordination, observed, now| {
                let older = observed.peers.iter().any(|p| p.alive && p.serial < observed.serial);
                let share = coordination.quota_share(now);
                QuotaShare {
                    descriptors: if older { LIMITS.descriptors / 2 } else { share.descriptors },
                    ..share
                }
            },
        ),
    ];
    for (what, mutant) in mutants {
        assert!((0..3000).any(|seed| !run_seed(seed, mutant).is_empty()), "not caught: {what}");
    }
}

#[test]
fn a_third_process_gets_the_minimum_of_descriptors() {
    let peer = |serial, lease| PeerProcess {
        serial,
        alive: true,
        state: Some(ProcessState { descriptor_lease: lease, ..ProcessState::default() }),
    };
    let third = Coordination::new(3, LIMITS, vec![peer(1, 200), peer(2, 150)], 0);
    assert_eq!(third.quota_share(0).descriptors, MIN_DESCRIPTORS);
    // A predecessor without a readable state may hold as many as a process that runs alone.
    let next = Coordination::new(2, LIMITS, vec![PeerProcess { serial: 1, alive: true, state: None }], 0);
    assert_eq!(next.quota_share(0).descriptors, LIMITS.descriptors / 3);
    // Dead processes hold no descriptors; their free retries still count for one window.
    let dead = PeerProcess { serial: 1, alive: false, state: Some(state()) };
    let after = Coordination::new(2, LIMITS, vec![dead], 0);
    assert_eq!((after.quota_share(0).descriptors, after.quota_share(0).free_retries), (256, false));
    assert!(
        after.quota_share(LIMITS.retry_budget_window).free_retries
            && after.next_deadline(0) == Some(LIMITS.retry_budget_window)
    );
}
