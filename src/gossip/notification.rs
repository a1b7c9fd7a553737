//! What a node reports to its caller.

use super::input_limits::DropReason;
use crate::api::Nanos;
use crate::replication::FactKey;
use std::net::SocketAddr;

/// Something that operators may want to know of. Peers are named as in the operator's file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notification {
    /// The peer is up.
    PeerUp(String),
    /// The peer does not answer.
    PeerSuspected(String),
    /// The peer is down.
    PeerDown(String),
    /// Others took this broker for suspect or down; it refuted that.
    Refuted,
    /// This process did not run for so many nanoseconds.
    Stalled(Nanos),
    /// Input from this address was dropped. Reported at most once a minute for each reason.
    Dropped(DropReason, SocketAddr),
    /// This broker's store was brought up to date with that of the peer.
    CaughtUp(String),
    /// No peer can be reached: this broker goes by its own store.
    Isolated,
    /// Another process used this one's origin, which was replaced.
    OriginReplaced,
    /// This broker was removed from the cluster, and sends nothing any more.
    RemovedFromCluster,
    /// The commands recorded under this key have changed.
    FactChanged(FactKey),
    /// So many facts came at once that were missed here.
    FactsReceived(usize),
}

/// Whether this broker's store is up to date.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncStatus {
    /// No session with a peer has been completed yet.
    CatchingUp,
    /// A session with a peer has been completed.
    CaughtUp,
    /// No peer can be reached.
    Isolated,
}
