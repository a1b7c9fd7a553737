//! Which nodes are offered for each group of partitions, and with what weight.

use super::RoutingSettings;
use super::node::RoutedNode;
use super::rule::Tier;
use crate::api::{Nanos, ReplicaId};
use std::collections::{BTreeMap, HashMap};

/// The weights of the offered nodes.
pub(super) type Weights = HashMap<ReplicaId, f64>;

/// The enabled nodes that hold one group of partitions.
struct Group<'a> {
    nodes: Vec<(ReplicaId, &'a RoutedNode)>,
}

impl Group<'_> {
    fn lowest_usable_tier(&self) -> Option<Tier> {
        let usable = self.nodes.iter().filter(|(_, node)| node.is_usable());
        usable.map(|(_, node)| node.rule.tier()).min()
    }

    /// Whether a node up to this tier has worked for this time without a break.
    fn is_proven(&self, tier: Tier, time: Nanos, now: Nanos) -> bool {
        let mut nodes = self.nodes.iter().map(|(_, node)| node);
        nodes.any(|node| node.rule.tier() <= tier && node.health.healthy_for(time, now))
    }

    /// The highest tier in use, given the previous one and the lowest one with a usable node. It rises at
    /// once, and falls only when a node of the lower tier has worked for a while. At the start there is no
    /// previous one.
    fn next_tier(&self, previous: Option<Tier>, lowest: Tier, failback_delay: Nanos, now: Nanos) -> Tier {
        match previous {
            Some(tier) if lowest < tier && !self.is_proven(lowest, failback_delay, now) => {
                let tiers = self.nodes.iter().map(|(_, node)| node.rule.tier());
                tiers.filter(|other| *other <= tier).max().unwrap_or(lowest)
            }
            _ => lowest,
        }
    }
}

/// The weights of the offered nodes. `active_tiers` has the highest tier in use of each group, and is
/// updated.
pub(super) fn offered_weights(
    nodes: &BTreeMap<ReplicaId, RoutedNode>,
    settings: &RoutingSettings,
    active_tiers: &mut [Option<Tier>],
    now: Nanos,
) -> Weights {
    let mut weights = Weights::new();
    for (group, active_tier) in groups(nodes, settings, active_tiers.len()).iter().zip(active_tiers) {
        let Some(lowest) = group.lowest_usable_tier() else {
            // No node is known to work: all are tried, since a doubtful holder is better than none.
            weights.extend(group.nodes.iter().map(|(replica, node)| (*replica, node.rule.weight)));
            continue;
        };
        let tier = group.next_tier(*active_tier, lowest, settings.failback_delay, now);
        *active_tier = Some(tier);
        for (replica, node) in &group.nodes {
            if node.rule.tier() <= tier && !node.is_ejected() {
                let share = node.health.weight_share(settings.warm_up, now);
                weights.insert(*replica, node.rule.weight * share);
            }
        }
    }
    add_redirect_targets(nodes, settings.warm_up, &mut weights, now);
    weights
}

fn groups<'a>(
    nodes: &'a BTreeMap<ReplicaId, RoutedNode>,
    settings: &RoutingSettings,
    count: usize,
) -> Vec<Group<'a>> {
    let mut groups: Vec<Group<'a>> = (0..count).map(|_| Group { nodes: Vec::new() }).collect();
    for (replica, node) in nodes.iter().filter(|(_, node)| node.is_enabled()) {
        for group in settings.layout.groups(node.listed.entry.cell) {
            groups[group].nodes.push((*replica, node));
        }
    }
    groups
}

/// Adds the nodes that replace ejected ones by redirect.
fn add_redirect_targets(
    nodes: &BTreeMap<ReplicaId, RoutedNode>,
    warm_up: Nanos,
    weights: &mut Weights,
    now: Nanos,
) {
    let ejected = nodes.values().filter(|node| node.is_enabled() && node.is_ejected());
    for target_id in ejected.filter_map(|node| node.rule.redirect.as_deref()) {
        let target = nodes.iter().find(|(_, node)| node.listed.id == target_id);
        if let Some((replica, node)) = target.filter(|(_, node)| node.may_replace()) {
            let share = node.health.weight_share(warm_up, now);
            weights.entry(*replica).or_insert(node.rule.weight.max(f64::MIN_POSITIVE) * share);
        }
    }
}
