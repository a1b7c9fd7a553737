//! The lease of the endpoint list: which replicas get attempts once the list has not been confirmed for too
//! long.
//!
//! A watch that ended may have reported drains that did not arrive. While their grace lasts nothing changes.
//! Once the lease is over, the list alone vouches for no replica: one that has accepted an attempt since was
//! not draining when the watch ended; one that has only turned attempts away may drain, and gets none.

use super::*;

/// Time after which a replica that has accepted attempts since is taken for an overloaded one again, ns.
const DRAIN_SUSPICION_AFTER_ACCEPT: Nanos = 10_000_000_000;
/// The same for one that has accepted none: a drain is over by then, however long its attempts take.
const DRAIN_SUSPICION: Nanos = 60_000_000_000;

/// Age that a report which did not arrive may have when its watch ends, ns: a watch is silent for no longer.
const LOST_REPORT_AGE: Nanos = 3_200_000_000;

/// The list is not confirmed any more.
#[derive(Clone, Copy, Debug)]
pub(super) struct ListLease {
    /// When it was last confirmed.
    pub(super) unconfirmed_since: Nanos,
    /// Until when it is used as it is.
    pub(super) expires_at: Nanos,
    /// How long an accepted attempt proves that a replica does not drain.
    pub(super) proof_lifetime: Nanos,
}

impl ListLease {
    /// Whether a replica accepted an attempt that shows that it does not drain.
    fn is_proven_active(&self, r: &Replica, now: Nanos) -> bool {
        r.newest_answered_send >= self.unconfirmed_since.max(now.saturating_sub(self.proof_lifetime))
    }

    /// Whether a replica has turned its last attempts away, as one that drains does.
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

    /// Whether a replica may drain without this broker knowing.
    pub(super) fn may_be_draining(&self, id: ReplicaId) -> bool {
        self.expired_lease().is_some_and(|lease| lease.may_be_draining(&self.replicas[&id], self.now))
    }

    /// Drops the replicas of a shard that may drain, if the lease is over.
    pub(super) fn remove_possibly_draining(&self, replicas: &mut Vec<ReplicaId>) {
        let Some(lease) = self.expired_lease() else { return };
        let is_usable = |r: &Replica| r.accepts_part() && r.ejected.is_none();
        let may_be_draining = |id: &ReplicaId| lease.may_be_draining(&self.replicas[id], self.now);
        if replicas.iter().any(|id| is_usable(&self.replicas[id]) && !may_be_draining(id)) {
            return replicas.retain(|id| !may_be_draining(id));
        }
        // All turn attempts away. One that drains has done so for longest.
        let last_to_accept = replicas.iter().copied().max_by_key(|id| self.replicas[id].newest_answered_send);
        replicas.retain(|id| Some(*id) == last_to_accept);
    }
}
