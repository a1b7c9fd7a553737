//! How processes at one address publish their states and share the limits: without disk, in simulated time.

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

fn overrides_of(commands: &[(u8, bool, u8)]) -> Overrides {
    let mut overrides = Overrides::default();
    for (id, out, at) in commands {
        let one_override = Override { set_at: Nanos::from(*at % 4), active: *out };
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
    for w in all {
        overrides.merge(w);
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
        commands.iter().for_each(|(out, clock)| overrides.set_server_suspended("s", *out, Nanos::from(*clock)));
        overrides.servers.get("s").map(|w| w.active) == commands.last().map(|(out, _)| *out)
    }
}

const LIMITS: SharedLimits =
    SharedLimits { descriptors: 384, max_in_flight: 800, retry_budget_window: 2000 * MS };

/// How the world turns a process's view into what it does.
type Decide = fn(&Coordination, &Seen, Nanos) -> QuotaShare;

/// What a process has observed, for the faulty variants of the rules.
struct Seen {
    serial: u64,
    peers: Vec<PeerProcess>,
}

struct Process {
    seen: Seen,
    view: Coordination,
    share: QuotaShare,
    stage: ProcessStage,
    alive: bool,
    holds: usize,
    /// The state that others can read.
    written: Option<ProcessState>,
    next_look: Nanos,
    serves_at: Nanos,
}

/// Processes at one address that start, serve, drain and are killed, with invariants checked over all of them.
struct World {
    rng: Pcg64Mcg,
    now: Nanos,
    processes: Vec<Process>,
    /// Last time at which each used a free attempt.
    free: Vec<Option<Nanos>>,
    wrong: Vec<&'static str>,
}

impl World {
    fn chance(&mut self, one_in: u32) -> bool {
        self.rng.next_u64().is_multiple_of(u64::from(one_in))
    }

    fn peers(&self, of: u64) -> Vec<PeerProcess> {
        let others = self.processes.iter().filter(|p| p.seen.serial != of);
        others
            .map(|p| PeerProcess { serial: p.seen.serial, alive: p.alive, state: p.written.clone() })
            .collect()
    }

    fn start(&mut self, decide: Decide) {
        let serial = self.processes.len() as u64 + 1;
        let peers = self.peers(serial);
        let view = Coordination::new(serial, LIMITS, peers.clone(), self.now);
        let seen = Seen { serial, peers };
        let share = decide(&view, &seen, self.now);
        let serves_at = self.now + self.rng.next_u64() % 400 * MS;
        let (stage, holds, next_look) = (ProcessStage::Starting, 16, self.now);
        self.processes.push(Process {
            seen,
            view,
            share,
            stage,
            alive: true,
            holds,
            written: None,
            next_look,
            serves_at,
        });
        self.free.push(None);
    }

    fn step(&mut self, decide: Decide) {
        self.now += 10 * MS;
        let running = self.processes.iter().filter(|p| p.alive).count();
        if running == 0 || (running == 1 && self.chance(100)) {
            self.start(decide);
        }
        for n in 0..self.processes.len() {
            if !self.processes[n].alive {
                continue;
            }
            // Killed at any moment, a young one more often.
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
            if p.next_look <= now {
                p.next_look = now + 90 * MS + jitter;
                p.seen.peers = peers.clone();
                p.view.on_peers_observed(peers, ResourceUsage { descriptors: p.holds, in_flight: 0 }, now);
                p.share = decide(&p.view, &p.seen, now);
                let lease = p.view.descriptor_lease();
                p.written =
                    Some(ProcessState { stage: p.stage, descriptor_lease: lease, ..ProcessState::default() });
                p.view.on_lease_published(lease);
            }
            // It takes all that it may at once, and leaves as soon as it may.
            p.holds = p.holds.max(p.share.descriptors);
            if p.share.free_retries {
                self.free[n] = Some(now);
            }
            if p.share.successor_serving {
                p.alive = false;
                let successor = self.processes[n + 1..].iter().any(|q| q.stage == ProcessStage::Serving);
                if !successor {
                    self.wrong.push("left the address to nobody");
                }
            }
        }
        let held: usize = self.processes.iter().filter(|p| p.alive).map(|p| p.holds).sum();
        if held > LIMITS.descriptors {
            self.wrong.push("more descriptors than there are");
        }
        let recent =
            self.free.iter().flatten().filter(|t| **t + LIMITS.retry_budget_window > self.now).count();
        if recent > 1 {
            self.wrong.push("two used the free attempts within one window");
        }
    }
}

/// Plays one seed; what went wrong.
fn play(seed: u64, decide: Decide) -> Vec<&'static str> {
    let rng = Pcg64Mcg::seed_from_u64(seed);
    let mut world = World { rng, now: 10_000 * MS, processes: vec![], free: vec![], wrong: vec![] };
    for _ in 0..800 {
        world.step(decide);
    }
    world.wrong.dedup();
    world.wrong
}

fn honest(view: &Coordination, _: &Seen, now: Nanos) -> QuotaShare {
    view.quota_share(now)
}

#[test]
fn processes_together_keep_the_limits_of_one_over_starts_ends_and_kills() {
    for seed in 0..3000 {
        assert_eq!(play(seed, honest), [""; 0], "seed {seed}");
    }
}

#[test]
fn the_invariant_checks_catch_each_removed_rule() {
    let mutants: [(&str, Decide); 6] = [
        ("free attempts for all", |v, _, now| QuotaShare { free_retries: true, ..v.quota_share(now) }),
        ("free attempts without a window", |v, seen, now| {
            let older = seen.peers.iter().any(|p| p.alive && p.serial < seen.serial);
            QuotaShare { free_retries: !older, ..v.quota_share(now) }
        }),
        ("all descriptors for all", |v, _, now| QuotaShare {
            descriptors: LIMITS.descriptors,
            ..v.quota_share(now)
        }),
        ("no reserve", |v, seen, now| {
            let alone = !seen.peers.iter().any(|p| p.alive);
            let share = v.quota_share(now);
            QuotaShare { descriptors: if alone { LIMITS.descriptors } else { share.descriptors }, ..share }
        }),
        ("a process that only starts counts as one that serves", |v, seen, now| {
            let succeeded = seen.peers.iter().any(|p| p.alive && p.serial > seen.serial);
            QuotaShare { successor_serving: succeeded, ..v.quota_share(now) }
        }),
        ("half of what is there for the younger, whatever is leased", |v, seen, now| {
            let older = seen.peers.iter().any(|p| p.alive && p.serial < seen.serial);
            let share = v.quota_share(now);
            QuotaShare {
                descriptors: if older { LIMITS.descriptors / 2 } else { share.descriptors },
                ..share
            }
        }),
    ];
    for (what, mutant) in mutants {
        assert!((0..3000).any(|seed| !play(seed, mutant).is_empty()), "not caught: {what}");
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
    // One without a readable state may hold all that one alone may.
    let next = Coordination::new(2, LIMITS, vec![PeerProcess { serial: 1, alive: true, state: None }], 0);
    assert_eq!(next.quota_share(0).descriptors, LIMITS.descriptors / 3);
    // Those that are dead hold nothing; their free attempts count for a window.
    let dead = PeerProcess { serial: 1, alive: false, state: Some(state()) };
    let after = Coordination::new(2, LIMITS, vec![dead], 0);
    assert_eq!((after.quota_share(0).descriptors, after.quota_share(0).free_retries), (256, false));
    assert!(
        after.quota_share(LIMITS.retry_budget_window).free_retries
            && after.next_deadline(0) == Some(LIMITS.retry_budget_window)
    );
}
