//! Events and status that a node reports to its caller.

use super::input_limits::DropReason;
use crate::api::Nanos;
use crate::replication::FactKey;
use std::net::SocketAddr;

/// An event of interest to operators. Peers have their names from the operator's file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notification {
    /// The peer is up.
    PeerUp(String),
    /// The peer does not answer probes.
    PeerSuspected(String),
    /// The peer is down.
    PeerDown(String),
    /// Another broker reported this broker as suspect or down, and this broker refuted it.
    Refuted,
    /// This process did not run for this time in nanoseconds.
    Stalled(Nanos),
    /// Input from this address was dropped. Reported at most once per minute for each reason.
    Dropped(DropReason, SocketAddr),
    /// This broker has caught up: a synchronization with this peer is complete.
    CaughtUp(String),
    /// No peer can be reached; this broker relies on its own store.
    Isolated,
    /// Another process used the origin of this one, which now has a new origin.
    OriginReplaced,
    /// This broker was removed from the cluster and no longer sends anything.
    RemovedFromCluster,
    /// The commands recorded under this key changed.
    FactChanged(FactKey),
    /// This number of facts that this broker had missed was received in one batch.
    FactsReceived(usize),
}

/// Whether this broker's store is up to date.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncStatus {
    /// No session with a peer has been completed since the start, or since a long stall of this process.
    CatchingUp,
    /// A session with a peer has been completed.
    CaughtUp,
    /// No peer can be reached.
    Isolated,
}
