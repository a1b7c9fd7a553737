//! One routed node: its membership, its rule and its health.

use super::{AdminState, Eligibility, Health, Rule};
use crate::api::{Nanos, Outcome, ReplicaEntry, ReplicaState};
use crate::membership::NodeChange;

/// A node that membership announces.
#[derive(Debug)]
pub(super) struct RoutedNode {
    /// The last change from membership.
    pub(super) listed: NodeChange,
    pub(super) rule: Rule,
    pub(super) health: Health,
    /// The entry that was announced last.
    announced: Option<ReplicaEntry>,
}

impl RoutedNode {
    pub(super) fn new(listed: NodeChange, rule: Rule, now: Nanos) -> RoutedNode {
        RoutedNode { listed, rule, health: Health::new(now), announced: None }
    }

    /// Replaces what membership announced of the node.
    pub(super) fn set_listed(&mut self, listed: NodeChange) {
        // A change of address or kind must be announced even if the entry is the same.
        if (self.listed.addr, &self.listed.kind) != (listed.addr, &listed.kind) {
            self.announced = None;
        }
        self.listed = listed;
    }

    /// Whether it may get work by its membership and its rule.
    pub(super) fn is_enabled(&self) -> bool {
        self.listed.entry.state == ReplicaState::Active
            && self.rule.admin_state == AdminState::Active
            && self.rule.weight > 0.0
    }

    /// Whether it may replace an ejected node by redirect, although its set, spare or weight would not let
    /// it.
    pub(super) fn may_replace(&self) -> bool {
        self.listed.entry.state == ReplicaState::Active
            && matches!(self.rule.admin_state, AdminState::Active | AdminState::Disabled)
            && !self.is_ejected()
    }

    pub(super) fn is_ejected(&self) -> bool {
        matches!(self.health.eligibility(), Eligibility::Ejected { .. })
    }

    /// Whether it works, or is warming up.
    pub(super) fn is_usable(&self) -> bool {
        matches!(self.health.eligibility(), Eligibility::Healthy | Eligibility::WarmingUp { .. })
    }

    /// Records the outcome of an attempt, and logs what follows. Returns whether the eligibility changed.
    pub(super) fn on_attempt_end(&mut self, outcome: Outcome, now: Nanos) -> bool {
        let before = self.health.eligibility();
        let changed = self.health.on_attempt_end(outcome, self.rule.retry, now);
        let id = &self.listed.id;
        match (before, self.health.eligibility()) {
            (Eligibility::Ejected { .. }, Eligibility::Ejected { .. }) => {}
            (_, Eligibility::Ejected { .. }) => {
                let retry_s = self.rule.retry / 1_000_000_000;
                tracing::warn!(node = %id, retry_s, "node was ejected after failures");
            }
            (Eligibility::Ejected { .. } | Eligibility::Probing, Eligibility::WarmingUp { .. }) => {
                tracing::info!(node = %id, "node gets work again and is warming up");
            }
            _ => {}
        }
        changed
    }

    /// The change to announce when `entry` is offered, if it differs from what was announced. `always`: even
    /// of a node that was never announced as active.
    pub(super) fn announce(&mut self, entry: ReplicaEntry, always: bool) -> Option<NodeChange> {
        // A node that never got work need not be announced as one that gets none.
        let relevant = self.announced.is_some() || entry.state == ReplicaState::Active || always;
        if !relevant || self.announced.as_ref() == Some(&entry) {
            return None;
        }
        self.announced = Some(entry.clone());
        Some(NodeChange { entry, ..self.listed.clone() })
    }
}
