//! All nodes with their rules and health, and what is offered of them.

use super::{AdminState, Eligibility, Health, Rule, Spare};
use crate::api::{self, Nanos, Outcome, ReplicaId};
use crate::membership::{NodeChange, PartitionLayout};
use std::collections::{BTreeMap, HashMap};

/// Settings of [`Routing`].
#[derive(Clone, Debug)]
pub struct RoutingSettings {
    /// How partitions are assigned to cells.
    pub layout: PartitionLayout,
    /// Rules by node id; a node without one has the default.
    pub rules: HashMap<String, Rule>,
    /// Time in which a node that was ejected returns to its full weight, ns.
    pub warm_up: Nanos,
    /// Time for which a node must have worked before the nodes that replaced it are withdrawn, ns: against
    /// flapping.
    pub failback_delay: Nanos,
}

/// Shortest time between two reconciliations while time alone changes what is offered, ns.
const MIN_RECONCILE_INTERVAL: Nanos = 50_000_000;

/// Order in which nodes are used: lower ones first.
type Tier = (u32, Spare);

#[derive(Debug)]
struct Node {
    /// The last change from membership.
    listed: NodeChange,
    rule: Rule,
    health: Health,
    /// The entry that was announced last.
    announced: Option<api::ReplicaEntry>,
}

impl Node {
    /// Whether it may get work at all.
    fn is_enabled(&self) -> bool {
        self.listed.entry.state == api::ReplicaState::Active
            && self.rule.admin_state == AdminState::Active
            && self.rule.weight > 0.0
    }

    fn is_ejected(&self) -> bool {
        matches!(self.health.eligibility(), Eligibility::Ejected { .. })
    }

    /// Whether it works, or is warming up.
    fn is_usable(&self) -> bool {
        matches!(self.health.eligibility(), Eligibility::Healthy | Eligibility::WarmingUp { .. })
    }
}

/// The offered nodes and their weights.
#[derive(Debug)]
pub struct Routing {
    settings: RoutingSettings,
    nodes: BTreeMap<ReplicaId, Node>,
    /// The highest tier in use, for each group of partitions with the same holders.
    active_tiers: Vec<Option<Tier>>,
    changes: Vec<NodeChange>,
    /// An update of membership was received that [`Routing::take_changes`] has not reported.
    unreported_update: bool,
    dirty: bool,
}

impl Routing {
    /// Routing without nodes.
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

    /// Replaces the rules. Work in flight continues; nodes that are stopped get nothing new.
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
            let replica = change.entry.replica;
            if change.entry.state == api::ReplicaState::Removed {
                self.nodes.remove(&replica);
                self.changes.push(change);
                continue;
            }
            let rule = self.settings.rules.get(&change.id).cloned().unwrap_or_default();
            match self.nodes.get_mut(&replica) {
                Some(node) => {
                    // A change of address or kind must be announced even if the entry is the same.
                    node.announced = node
                        .announced
                        .take()
                        .filter(|_| (node.listed.addr, &node.listed.kind) == (change.addr, &change.kind));
                    node.listed = change;
                }
                None => {
                    let health = Health::new(now);
                    self.nodes.insert(replica, Node { listed: change, rule, health, announced: None });
                }
            }
        }
        self.reconcile(now);
    }

    /// Records the outcome of an attempt at a node.
    pub fn on_attempt_end(&mut self, replica: ReplicaId, outcome: Outcome, now: Nanos) {
        // Without rules only the policy considers failures.
        if self.settings.rules.is_empty() {
            return;
        }
        if let Some(node) = self.nodes.get_mut(&replica) {
            let before = node.health.eligibility();
            self.dirty |= node.health.on_attempt_end(outcome, node.rule.retry, now);
            let id = &node.listed.id;
            match (before, node.health.eligibility()) {
                (Eligibility::Ejected { .. }, Eligibility::Ejected { .. }) => {}
                (_, Eligibility::Ejected { .. }) => {
                    tracing::warn!(
                        "node {id} gets no work for {} s: it failed",
                        node.rule.retry / 1_000_000_000
                    );
                }
                (Eligibility::Ejected { .. } | Eligibility::Probing, Eligibility::WarmingUp { .. }) => {
                    tracing::info!("node {id} gets work again, a little at first");
                }
                _ => {}
            }
        }
    }

    /// Handles deadlines up to `now`.
    pub fn tick(&mut self, now: Nanos) {
        if self.settings.rules.is_empty() {
            return;
        }
        let warm_up = self.settings.warm_up;
        for node in self.nodes.values_mut() {
            self.dirty |= node.health.tick(warm_up, now);
        }
        // While a node warms up, or must work for a while before it replaces others, time alone changes what
        // is offered.
        if self.dirty || self.depends_on_time() {
            self.reconcile(now);
        }
    }

    fn depends_on_time(&self) -> bool {
        let warming =
            self.nodes.values().any(|n| matches!(n.health.eligibility(), Eligibility::WarmingUp { .. }));
        warming || self.active_tiers.iter().flatten().any(|t| *t > self.lowest_tier())
    }

    fn lowest_tier(&self) -> Tier {
        self.nodes.values().filter(|n| n.is_enabled()).map(|n| n.rule.tier()).min().unwrap_or_default()
    }

    /// When [`Routing::tick`] must be called next, if time alone changes anything.
    #[must_use]
    pub fn next_deadline(&self, now: Nanos) -> Option<Nanos> {
        if self.settings.rules.is_empty() {
            return None;
        }
        let turns = self.nodes.values().filter_map(|n| n.health.next_transition(self.settings.warm_up)).min();
        let step =
            self.depends_on_time().then(|| now + (self.settings.warm_up / 10).max(MIN_RECONCILE_INTERVAL));
        turns.into_iter().chain(step).min()
    }

    fn reconcile(&mut self, now: Nanos) {
        self.dirty = false;
        let offered = self.offered_weights(now);
        let no_rules = self.settings.rules.is_empty();
        for (replica, node) in &mut self.nodes {
            let mut entry = node.listed.entry.clone();
            if !no_rules && entry.state == api::ReplicaState::Active {
                match offered.get(replica) {
                    Some(weight) => entry.weight = *weight,
                    None => entry.state = api::ReplicaState::Draining,
                }
            }
            // A node that never got work need not be announced as one that gets none.
            let changed = node.announced.as_ref() != Some(&entry)
                && (node.announced.is_some() || entry.state == api::ReplicaState::Active || no_rules);
            if changed {
                node.announced = Some(entry.clone());
                self.changes.push(NodeChange { entry, ..node.listed.clone() });
            }
        }
    }

    /// The weights of the nodes that are offered.
    fn offered_weights(&mut self, now: Nanos) -> HashMap<ReplicaId, f64> {
        let (layout, failback_delay, warm_up) =
            (self.settings.layout, self.settings.failback_delay, self.settings.warm_up);
        let mut groups: Vec<Vec<ReplicaId>> = vec![Vec::new(); self.active_tiers.len()];
        for (replica, node) in self.nodes.iter().filter(|(_, n)| n.is_enabled()) {
            layout.groups(node.listed.entry.cell).for_each(|g| groups[g].push(*replica));
        }
        let mut weights = HashMap::new();
        for (group, in_use) in groups.iter().zip(&mut self.active_tiers) {
            let of = |r: &ReplicaId| &self.nodes[r];
            let lowest = group.iter().filter(|r| of(r).is_usable()).map(|r| of(r).rule.tier()).min();
            let Some(lowest) = lowest else {
                // No node is known to work: all are tried, since a doubtful holder is better than none.
                weights.extend(group.iter().map(|r| (*r, of(r).rule.weight)));
                continue;
            };
            let proven = |t: Tier| {
                group.iter().any(|r| of(r).rule.tier() <= t && of(r).health.healthy_for(failback_delay, now))
            };
            // To a higher tier at once, to a lower one only when a node of it has worked for a while. At the
            // start none has.
            *in_use = Some(match *in_use {
                Some(tier) if lowest < tier && !proven(lowest) => {
                    let usable = group.iter().filter(|r| of(r).rule.tier() <= tier);
                    usable.map(|r| of(r).rule.tier()).max().unwrap_or(lowest)
                }
                _ => lowest,
            });
            let tier = in_use.unwrap_or(lowest);
            for replica in group.iter().filter(|r| of(r).rule.tier() <= tier && !of(r).is_ejected()) {
                let node = of(replica);
                weights.insert(*replica, node.rule.weight * node.health.weight_share(warm_up, now));
            }
        }
        self.add_redirect_targets(&mut weights, now);
        weights
    }

    /// Adds the nodes that replace ejected ones by redirect.
    fn add_redirect_targets(&self, weights: &mut HashMap<ReplicaId, f64>, now: Nanos) {
        let failing = self.nodes.values().filter(|n| n.is_enabled() && n.is_ejected());
        for id in failing.filter_map(|n| n.rule.redirect.as_deref()) {
            let stand_in = self.nodes.iter().find(|(_, n)| n.listed.id == id);
            if let Some((replica, n)) = stand_in
                && n.listed.entry.state == api::ReplicaState::Active
                && matches!(n.rule.admin_state, AdminState::Active | AdminState::Disabled)
                && !n.is_ejected()
            {
                let weight =
                    n.rule.weight.max(f64::MIN_POSITIVE) * n.health.weight_share(self.settings.warm_up, now);
                weights.entry(*replica).or_insert(weight);
            }
        }
    }

    /// The changes to announce to the engine: none if there is nothing to announce, an empty list if
    /// membership sent an update that changed nothing.
    pub fn take_changes(&mut self) -> Option<Vec<NodeChange>> {
        let answered = std::mem::take(&mut self.unreported_update);
        (answered || !self.changes.is_empty()).then(|| std::mem::take(&mut self.changes))
    }
}
