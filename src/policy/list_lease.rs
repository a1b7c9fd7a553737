//! The lease of the endpoint list: which replicas get attempts once the list has been unconfirmed for too
//! long.
//!
//! Reports of drains may have been lost when a watch ended. During the grace of such drains nothing changes.
//! Once the lease has expired, a replica's entry in the list is not enough: a replica that has accepted an
//! attempt since was not draining when the watch ended; one that has only rejected attempts may be draining,
//! and gets none.

use super::*;

/// How long after the last confirmation of the list a replica that rejects attempts is treated as possibly
/// draining if it has accepted one since, ns. After that, it is treated as overloaded.
const DRAIN_SUSPICION_AFTER_ACCEPT: Nanos = 10_000_000_000;
/// The same for a replica that has accepted none, ns: any drain is over by then, however long its attempts
/// take.
const DRAIN_SUSPICION: Nanos = 60_000_000_000;

/// Maximum age of a lost report when its watch ends, ns: a watch ends once it has been silent for that long.
const LOST_REPORT_AGE: Nanos = 3_200_000_000;

/// The lease of an endpoint list that is no longer confirmed.
#[derive(Clone, Copy, Debug)]
pub(super) struct ListLease {
    /// When it was last confirmed.
    pub(super) unconfirmed_since: Nanos,
    /// Until when it is used unchanged.
    pub(super) expires_at: Nanos,
    /// How long an accepted attempt proves that a replica is not draining, ns.
    pub(super) proof_lifetime: Nanos,
}

impl ListLease {
    /// Whether an attempt that the replica has accepted proves that it is not draining.
    fn is_proven_active(&self, r: &Replica, now: Nanos) -> bool {
        r.newest_answered_send >= self.unconfirmed_since.max(now.saturating_sub(self.proof_lifetime))
    }

    /// Whether a replica has rejected its latest attempts, as a draining one does.
    fn may_be_draining(&self, r: &Replica, now: Nanos) -> bool {
        let recent = self.unconfirmed_since.saturating_sub(LOST_REPORT_AGE);
        let is_rejecting = r.newest_rejected_send >= recent.max(r.newest_answered_send);
        let has_accepted_since = r.newest_answered_send >= self.unconfirmed_since;
        let max_suspicion = if has_accepted_since { DRAIN_SUSPICION_AFTER_ACCEPT } else { DRAIN_SUSPICION };
        is_rejecting && now < self.unconfirmed_since + max_suspicion && !self.is_proven_active(r, now)
    }
}

impl Balancer {
    fn expired_lease(&self) -> Option<ListLease> {
        self.list_lease.filter(|lease| lease.expires_at <= self.now)
    }

    /// Whether a replica may be draining although the endpoint list does not show it.
    pub(super) fn may_be_draining(&self, id: ReplicaId) -> bool {
        self.expired_lease().is_some_and(|lease| lease.may_be_draining(&self.replicas[&id], self.now))
    }

    /// Removes the replicas of a shard that may be draining from `replicas`, if the lease has expired.
    pub(super) fn remove_possibly_draining(&self, replicas: &mut Vec<ReplicaId>) {
        let Some(lease) = self.expired_lease() else { return };
        let is_usable = |r: &Replica| r.accepts_part() && r.ejected.is_none();
        let may_be_draining = |id: &ReplicaId| lease.may_be_draining(&self.replicas[id], self.now);
        if replicas.iter().any(|id| is_usable(&self.replicas[id]) && !may_be_draining(id)) {
            return replicas.retain(|id| !may_be_draining(id));
        }
        // All reject attempts. A draining replica has done so for longest, so the last one to accept is kept.
        let last_to_accept = replicas.iter().copied().max_by_key(|id| self.replicas[id].newest_answered_send);
        replicas.retain(|id| Some(*id) == last_to_accept);
    }
}
