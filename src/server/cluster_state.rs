//! The part of the cluster's state that this broker applies.

use crate::hot_restart::state::Overrides;
use crate::replication::derived_state::DerivedState;
use std::collections::BTreeSet;

/// The part of the cluster's state that is applied at this broker.
#[derive(Debug)]
pub(super) struct AppliedClusterState {
    suspended: BTreeSet<String>,
    paused: bool,
}

/// The changes at this broker that follow from an update of the cluster's state.
#[derive(Debug, Default)]
#[must_use = "the changes are recorded as applied"]
pub(super) struct StateChanges {
    pub(super) suspensions: Vec<SuspensionChange>,
    /// Whether the broker is now paused, if that changed.
    pub(super) paused: Option<bool>,
}

/// A node that was suspended or restored.
#[derive(Debug)]
pub(super) struct SuspensionChange {
    pub(super) id: String,
    pub(super) suspended: bool,
}

impl AppliedClusterState {
    /// The state that an earlier process handed over. That process reported it to the cluster too, so where
    /// they differ, the cluster's state on disk is newer.
    pub(super) fn from_overrides(overrides: &Overrides) -> AppliedClusterState {
        AppliedClusterState {
            suspended: overrides.suspended_servers().map(str::to_owned).collect(),
            paused: overrides.pause.is_some_and(|command| command.active),
        }
    }

    /// Adopts the cluster's state, and returns the changes.
    pub(super) fn update(&mut self, state: &DerivedState) -> StateChanges {
        let mut changes = StateChanges::default();
        if state.disabled_servers != self.suspended {
            let changed = state.disabled_servers.symmetric_difference(&self.suspended);
            let change = |id: &String| SuspensionChange {
                id: id.clone(),
                suspended: state.disabled_servers.contains(id),
            };
            changes.suspensions = changed.map(change).collect();
            self.suspended = state.disabled_servers.clone();
        }
        if state.paused != self.paused {
            self.paused = state.paused;
            changes.paused = Some(state.paused);
        }
        changes
    }
}
