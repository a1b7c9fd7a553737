//! What the state of the cluster means for this broker.

use crate::api::Nanos;
use std::collections::BTreeSet;

/// What a cluster's words have come to mean for this broker.
#[derive(Default)]
pub(super) struct AppliedClusterState {
    pub(super) suspended: BTreeSet<String>,
    pub(super) paused: bool,
    /// The words on disk were compared with what an earlier process handed over.
    pub(super) overrides_compared: bool,
    /// The longest turn of the loop, ns.
    pub(super) longest_iteration: Nanos,
}
