//! Settings of the registry.

use crate::api::Nanos;
use crate::membership::PartitionLayout;
use crate::membership::merged_view::DirectoryScope;
use std::collections::HashMap;

/// Settings of a [`Registry`](super::Registry).
#[derive(Clone, Debug)]
pub struct RegistrySettings {
    /// How partitions are assigned to cells.
    pub layout: PartitionLayout,
    /// Time that a node takes to warm up after its start, ns.
    pub warm_up: Nanos,
    /// Configured estimate of the mean time between two changes of one node (a move, a replacement, a drain
    /// or a restart), ns.
    pub mean_change_interval: Nanos,
    /// Age assumed for a list whose confirmation time is unknown or in the future, ns.
    pub default_list_age: Nanos,
    /// Time without an answer after which a cancelled attempt counts as a failure, ns.
    pub silence_timeout: Nanos,
    /// Numbers of the zones by name.
    pub zones: HashMap<String, u32>,
    /// Which nodes discovery's full lists contain.
    pub directory_scope: DirectoryScope,
    /// Kinds of node that can be called; empty: all.
    pub kinds: Vec<String>,
    /// Seed of the order in which unconfirmed nodes are admitted. Each broker needs a different one, so that
    /// they don't all send to the same node, which may be cold.
    pub seed: u64,
}

impl RegistrySettings {
    pub(super) fn is_callable(&self, kind: &str) -> bool {
        self.kinds.is_empty() || self.kinds.iter().any(|callable| callable == kind)
    }
}
