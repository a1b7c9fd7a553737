//! The table of routed nodes, and the changes to announce for them.

use super::node::RoutedNode;
use super::offers::offered_weights;
use super::rule::Tier;
use super::{Eligibility, Rule};
use crate::api::{Nanos, Outcome, ReplicaId, ReplicaState};
use crate::membership::{NodeChange, PartitionLayout};
use std::collections::{BTreeMap, HashMap};

/// Settings of [`Routing`].
#[derive(Clone, Debug)]
pub struct RoutingSettings {
    /// How partitions are assigned to cells.
    pub layout: PartitionLayout,
    /// Rules by node id; a node without a rule has the default one.
    pub rules: HashMap<String, Rule>,
    /// Length of the warm-up in which a node that was ejected returns to its full weight, ns.
    pub warm_up: Nanos,
    /// Time for which a node must have been healthy before the nodes that replaced it are withdrawn, ns. It
    /// prevents flapping.
    pub failback_delay: Nanos,
}

/// Shortest interval between reconciliations that are due to the passing of time only, ns.
const MIN_RECONCILE_INTERVAL: Nanos = 50_000_000;

/// Tracks the routed nodes, and determines which are offered and at which weight.
#[derive(Debug)]
pub struct Routing {
    settings: RoutingSettings,
    nodes: BTreeMap<ReplicaId, RoutedNode>,
    /// The highest tier in use for each group of partitions that are held by the same nodes.
    active_tiers: Vec<Option<Tier>>,
    changes: Vec<NodeChange>,
    /// Whether an update from membership was received since the last [`Routing::take_changes`].
    unreported_update: bool,
    dirty: bool,
}

impl Routing {
    /// Creates a table without nodes.
    #[must_use]
    pub fn new(settings: RoutingSettings) -> Routing {
        let groups = settings.layout.cells.max(1) as usize;
        Routing {
            settings,
            nodes: BTreeMap::new(),
            active_tiers: vec![None; groups],
            changes: Vec::new(),
            unreported_update: false,
            dirty: false,
        }
    }

    /// Replaces the rules. Work in flight continues; nodes that the new rules stop get no new work.
    pub fn set_rules(&mut self, rules: HashMap<String, Rule>, now: Nanos) {
        self.settings.rules = rules;
        for node in self.nodes.values_mut() {
            node.rule = self.settings.rules.get(&node.listed.id).cloned().unwrap_or_default();
        }
        self.reconcile(now);
    }

    /// Applies changes from membership.
    pub fn on_membership_changes(&mut self, changes: Vec<NodeChange>, now: Nanos) {
        self.unreported_update = true;
        for change in changes {
            self.apply_change(change, now);
        }
        self.reconcile(now);
    }

    fn apply_change(&mut self, change: NodeChange, now: Nanos) {
        let replica = change.entry.replica;
        if change.entry.state == ReplicaState::Removed {
            self.nodes.remove(&replica);
            self.changes.push(change);
        } else if let Some(node) = self.nodes.get_mut(&replica) {
            node.set_listed(change);
        } else {
            let rule = self.settings.rules.get(&change.id).cloned().unwrap_or_default();
            self.nodes.insert(replica, RoutedNode::new(change, rule, now));
        }
    }

    /// Records the outcome of an attempt at a node.
    pub fn on_attempt_end(&mut self, replica: ReplicaId, outcome: Outcome, now: Nanos) {
        // Without rules, only the policy handles failures.
        if self.settings.rules.is_empty() {
            return;
        }
        if let Some(node) = self.nodes.get_mut(&replica) {
            self.dirty |= node.on_attempt_end(outcome, now);
        }
    }

    /// Applies the transitions that are due by `now`.
    pub fn tick(&mut self, now: Nanos) {
        if self.settings.rules.is_empty() {
            return;
        }
        let warm_up = self.settings.warm_up;
        for node in self.nodes.values_mut() {
            self.dirty |= node.health.tick(warm_up, now);
        }
        if self.dirty || self.depends_on_time() {
            self.reconcile(now);
        }
    }

    /// Whether offers can change by the passing of time only: a node is warming up, or must stay healthy for
    /// the failback delay before it replaces others.
    fn depends_on_time(&self) -> bool {
        let is_warming_up =
            |node: &RoutedNode| matches!(node.health.eligibility(), Eligibility::WarmingUp { .. });
        let lowest_tier = self.lowest_tier();
        self.nodes.values().any(is_warming_up)
            || self.active_tiers.iter().flatten().any(|tier| *tier > lowest_tier)
    }

    fn lowest_tier(&self) -> Tier {
        let enabled = self.nodes.values().filter(|node| node.is_enabled());
        enabled.map(|node| node.rule.tier()).min().unwrap_or_default()
    }

    /// When [`Routing::tick`] must be called next, if the passing of time can change anything.
    #[must_use]
    pub fn next_deadline(&self, now: Nanos) -> Option<Nanos> {
        if self.settings.rules.is_empty() {
            return None;
        }
        let warm_up = self.settings.warm_up;
        let transition = self.nodes.values().filter_map(|node| node.health.next_transition(warm_up)).min();
        let step = self.depends_on_time().then(|| now + (warm_up / 10).max(MIN_RECONCILE_INTERVAL));
        transition.into_iter().chain(step).min()
    }

    fn reconcile(&mut self, now: Nanos) {
        self.dirty = false;
        let weights = offered_weights(&self.nodes, &self.settings, &mut self.active_tiers, now);
        let without_rules = self.settings.rules.is_empty();
        for (replica, node) in &mut self.nodes {
            let mut entry = node.listed.entry.clone();
            if !without_rules && entry.state == ReplicaState::Active {
                match weights.get(replica) {
                    Some(weight) => entry.weight = *weight,
                    None => entry.state = ReplicaState::Draining,
                }
            }
            self.changes.extend(node.announce(entry, without_rules));
        }
    }

    /// Removes and returns the changes to announce to the engine: `None` if there is nothing to announce, an
    /// empty list if an update from membership changed nothing.
    pub fn take_changes(&mut self) -> Option<Vec<NodeChange>> {
        let updated = std::mem::take(&mut self.unreported_update);
        (updated || !self.changes.is_empty()).then(|| std::mem::take(&mut self.changes))
    }
}
