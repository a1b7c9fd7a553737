//! The record of routing: the nodes of a ring that it offers under sets, spares and redirects, and the health
//! of nodes.
//!
//! Covered: every emitted change, the deadline of the next `tick`, and the health of one node with its weight
//! share.

use crate::common::{MS, S};
use crate::digest::{Digest, OUTCOMES, replica_state_tag};
use crate::{RandomSource, Recorded, assert_recorded};
use pebbleturn::membership::{NodeChange, PartitionLayout};
use pebbleturn::routing::{AdminState, Eligibility, Health, Routing, RoutingSettings, Rule, Spare};
use pebbleturn::{Nanos, Outcome, ReplicaEntry, ReplicaId, ReplicaState};
use std::collections::HashMap;

const ROUTING: Recorded = [0x3470_0234_acca_d4c0, 0xc5af_7f1e_9f04_8d04, 0x5597_23f4_e6d3_9cc6];
const HEALTH: Recorded = [0xfd29_c455_71ca_11bf, 0x47b4_6a3d_9594_922b, 0x30be_9a41_d643_ed61];

const NODES: u32 = 12;
const STEPS: u64 = 4000;
const STEP: Nanos = 100 * MS;
const WARM_UP: Nanos = 10 * S;
const FAILBACK_DELAY: Nanos = 15 * S;
const EJECTION_TIME: Nanos = 5 * S;

fn node_id(number: u32) -> String {
    format!("node-{number}")
}

fn draw_rule(random: &mut RandomSource) -> Rule {
    let admin_states = [
        AdminState::Active,
        AdminState::Active,
        AdminState::Active,
        AdminState::Disabled,
        AdminState::Stopped,
        AdminState::Draining,
    ];
    Rule {
        admin_state: admin_states[random.index(admin_states.len())],
        weight: [1.0, 1.0, 0.5, 2.0, 0.0][random.index(5)],
        set: random.below(2) as u32,
        spare: [Spare::None, Spare::None, Spare::Hot, Spare::Standby][random.index(4)],
        redirect: random.chance(30).then(|| node_id(random.below(NODES.into()) as u32)),
        retry: EJECTION_TIME,
    }
}

fn draw_rules(random: &mut RandomSource) -> HashMap<String, Rule> {
    (0..NODES).map(|number| (node_id(number), draw_rule(random))).collect()
}

fn draw_change(random: &mut RandomSource, state: ReplicaState) -> NodeChange {
    let number = random.below(NODES.into()) as u32;
    change(number, state, random.below(3) as u16)
}

fn change(number: u32, state: ReplicaState, port: u16) -> NodeChange {
    NodeChange {
        entry: ReplicaEntry {
            replica: ReplicaId(number),
            zone: 0,
            cell: number % 4,
            state,
            started: None,
            weight: 1.0,
        },
        id: node_id(number),
        addr: Some(([127, 0, 0, 1], 8000 + port).into()),
        kind: "sru".into(),
    }
}

/// At least half of all outcomes are successes, so that nodes recover.
fn draw_outcome(random: &mut RandomSource) -> Outcome {
    if random.chance(50) { Outcome::Ok } else { OUTCOMES[random.index(OUTCOMES.len())] }
}

/// The number of emitted changes, by replica state.
#[derive(Default)]
struct EmittedChanges {
    by_state: [u64; 3],
}

impl EmittedChanges {
    fn record(&mut self, routing: &mut Routing, now: Nanos, digest: &mut Digest) {
        let changes = routing.take_changes();
        digest.put_changes(changes.as_deref());
        digest.put_option(routing.next_deadline(now), Digest::put_u64);
        for change in changes.unwrap_or_default() {
            self.by_state[usize::from(replica_state_tag(change.entry.state))] += 1;
        }
    }
}

fn record_changes(seed: u64) -> u64 {
    let (mut random, mut digest, mut emitted) =
        (RandomSource::new(seed), Digest::default(), EmittedChanges::default());
    let layout = PartitionLayout { cells: 4, span: 2 };
    let rules = draw_rules(&mut random);
    let mut routing =
        Routing::new(RoutingSettings { layout, rules, warm_up: WARM_UP, failback_delay: FAILBACK_DELAY });
    routing
        .on_membership_changes((0..NODES).map(|number| change(number, ReplicaState::Active, 0)).collect(), 0);
    for step in 0..STEPS {
        let now = step * STEP;
        match random.below(100) {
            0..3 => {
                routing.on_membership_changes(vec![draw_change(&mut random, ReplicaState::Draining)], now)
            }
            3..5 => routing.on_membership_changes(vec![draw_change(&mut random, ReplicaState::Removed)], now),
            5..15 => routing.on_membership_changes(vec![draw_change(&mut random, ReplicaState::Active)], now),
            15 => routing.on_membership_changes(vec![], now),
            16 => routing.set_rules(draw_rules(&mut random), now),
            17 if random.chance(20) => routing.set_rules(HashMap::new(), now),
            _ => {
                let replica = ReplicaId(random.below(NODES.into()) as u32);
                routing.on_attempt_end(replica, draw_outcome(&mut random), now);
            }
        }
        routing.tick(now);
        emitted.record(&mut routing, now, &mut digest);
    }
    assert!(
        emitted.by_state.iter().all(|count| *count > 50),
        "too few changes of some state: {:?}",
        emitted.by_state
    );
    digest.value()
}

fn put_eligibility(digest: &mut Digest, eligibility: Eligibility) -> usize {
    match eligibility {
        Eligibility::Healthy => digest.put_tag(0),
        Eligibility::Ejected { until } => {
            digest.put_tag(1);
            digest.put_u64(until);
        }
        Eligibility::Probing => digest.put_tag(2),
        Eligibility::WarmingUp { since } => {
            digest.put_tag(3);
            digest.put_u64(since);
        }
    }
    match eligibility {
        Eligibility::Healthy => 0,
        Eligibility::Ejected { .. } => 1,
        Eligibility::Probing => 2,
        Eligibility::WarmingUp { .. } => 3,
    }
}

fn record_health(seed: u64) -> u64 {
    let (mut random, mut digest) = (RandomSource::new(seed), Digest::default());
    let mut health = Health::new(0);
    let mut seen = [0; 4];
    for step in 0..STEPS {
        let now = step * 10 * STEP;
        if random.chance(40) {
            digest.put_bool(health.on_attempt_end(draw_outcome(&mut random), EJECTION_TIME, now));
        }
        digest.put_bool(health.tick(WARM_UP, now));
        seen[put_eligibility(&mut digest, health.eligibility())] += 1;
        digest.put_option(health.next_transition(WARM_UP), Digest::put_u64);
        digest.put_f64(health.weight_share(WARM_UP, now));
        digest.put_bool(health.healthy_for(FAILBACK_DELAY, now));
    }
    assert!(seen.iter().all(|count| *count > 50), "too few steps with some eligibility: {seen:?}");
    digest.value()
}

#[test]
fn routing_changes() {
    assert_recorded("routing", ROUTING, record_changes);
}

#[test]
fn node_health() {
    assert_recorded("health of a node", HEALTH, record_health);
}
