//! The membership of a frontend: connects the registry, the watch on discovery and the list on disk to the
//! query engine.

use super::discovery_watch::DiscoveryWatch;
use super::frontend_context::FrontendContext;
use super::hint_exchange::HintExchange;
use crate::api::{Nanos, ReplicaId};
use crate::membership::snapshot::Snapshot;
use crate::membership::watch_schedule::ListConfirmation;
use crate::membership::{ManualOverrides, NodeChange, NodeRecord, PeerListNews, Registry, UnknownNode};
use crate::net::{NetEvent, PollLoop};
use crate::replication::derived_state::NodeHints;
use crate::replication::{FactKey, ProcessStart};
use crate::routing::{Routing, Rule};
use crate::storage::snapshot_store::SnapshotWriter;
use std::collections::HashMap;
use std::net::SocketAddr;

/// How long the endpoint list is used while no watch confirms it.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTerms {
    /// Lease time from the end of the watch, ns. Before the first watch it runs from the start of the broker,
    /// as changes that the configured list lacks may have been reported long ago.
    pub without_watch: Nanos,
    /// How long an attempt that a node accepted is proof that the node does not drain, ns.
    pub proof_lifetime: Nanos,
}

impl LeaseTerms {
    /// Terms for a discovery that is polled. Its changes count as reported at most 6 s later; `grace` is the
    /// time after that within which sends to a draining node must cease, ns.
    #[must_use]
    pub fn for_polled(grace: Nanos) -> LeaseTerms {
        let proof_lifetime = MAX_REPORT_DELAY + grace / 2;
        LeaseTerms { without_watch: grace / 8 * 3, proof_lifetime }
    }

    /// Terms for a discovery that pushes lists: its changes count as reported at once.
    #[must_use]
    pub fn for_pushed(grace: Nanos) -> LeaseTerms {
        LeaseTerms { without_watch: grace / 8 * 3, proof_lifetime: grace / 8 * 7 }
    }
}

/// The lease of the endpoint list, and the confirmation that was last reported to the query engine.
#[derive(Debug)]
struct Lease {
    terms: LeaseTerms,
    started: Nanos,
    reported: Option<ListConfirmation>,
}

/// Time after which a change at discovery counts as reported, whether or not it arrived, ns.
const MAX_REPORT_DELAY: Nanos = 6_000_000_000;

/// The registry and its sources.
pub struct MembershipDriver {
    registry: Registry,
    watch: Option<DiscoveryWatch>,
    lease: Option<Lease>,
    /// The operator's routing rules, where there are any.
    routing: Option<Routing>,
    /// Nodes that an operator suspended, which takes precedence over discovery.
    manual_overrides: ManualOverrides,
    /// Hints from and for other brokers, where there are any.
    hint_exchange: Option<HintExchange>,
    snapshot_writer: Option<SnapshotWriter>,
    /// The time of the last tick.
    now: Nanos,
}

impl MembershipDriver {
    /// Membership from this registry, whose list is written to disk by `snapshot_writer`, without a watch on
    /// discovery.
    pub fn new(registry: Registry, snapshot_writer: Option<SnapshotWriter>) -> MembershipDriver {
        MembershipDriver {
            registry,
            watch: None,
            lease: None,
            routing: None,
            manual_overrides: ManualOverrides::default(),
            hint_exchange: None,
            snapshot_writer,
            now: 0,
        }
    }

    /// Adds a watch on discovery. `terms` limits how long the list is used without confirmation by a watch.
    pub fn with_watch(mut self, watch: DiscoveryWatch, terms: LeaseTerms, now: Nanos) -> MembershipDriver {
        self.watch = Some(watch);
        self.lease = Some(Lease { terms, started: now, reported: None });
        self
    }

    /// Restricts the nodes that the query engine gets to those that these rules allow.
    pub fn with_routing(mut self, routing: Routing) -> MembershipDriver {
        self.routing = Some(routing);
        self
    }

    /// Suspends these nodes from the start.
    pub fn with_suspended(mut self, ids: impl IntoIterator<Item = String>) -> MembershipDriver {
        self.manual_overrides = ManualOverrides::with_suspended(ids);
        self
    }

    /// Exchanges hints on drains and starts with other brokers. Must be called before the first list is
    /// propagated, as hints hold back nodes of that list too.
    pub fn share_hints(mut self) -> MembershipDriver {
        self.hint_exchange = Some(HintExchange::default());
        self
    }

    /// Replaces the operator's nodes and their routing rules.
    pub fn set_operator_nodes(&mut self, nodes: Vec<NodeRecord>, rules: HashMap<String, Rule>, now: Nanos) {
        if let Some(routing) = &mut self.routing {
            routing.set_rules(rules, now);
        }
        self.registry.set_operator_nodes(nodes, now);
    }

    /// Begins a watch on discovery, unless a call is under way or no discovery is configured.
    pub fn request_watch(&mut self, now: Nanos, net: &mut PollLoop) {
        if let Some(watch) = &mut self.watch {
            watch.request(now);
            watch.tick(self.registry.version(), now, net);
        }
    }

    /// Sets a new address of discovery. The next [`MembershipDriver::tick`] begins a watch there.
    pub fn set_discovery_address(&mut self, discovery: SocketAddr, now: Nanos) {
        if let Some(watch) = &mut self.watch {
            watch.set_discovery_address(discovery, now);
        }
    }

    /// Handles an event of the watch's connection.
    pub fn on_event(&mut self, event: NetEvent, now: Nanos, net: &mut PollLoop) {
        if let Some(watch) = &mut self.watch {
            watch.on_event(event, now, net, &mut self.registry);
        }
    }

    /// Runs the work that is due at the context's time, and propagates changes. `set_address` is called with
    /// each change, so that the frontend gets the node's address.
    pub fn tick<Q, V>(
        &mut self,
        context: &mut FrontendContext<'_, Q, V>,
        set_address: impl FnMut(&NodeChange),
    ) {
        let now = context.now;
        self.now = now;
        self.record_attempts(context);
        if let Some(watch) = &mut self.watch {
            watch.tick(self.registry.version(), now, context.net);
        }
        self.registry.tick(now);
        if let Some(routing) = &mut self.routing {
            routing.tick(now);
        }
        self.propagate_changes(context, set_address);
        self.write_snapshot(now);
    }

    /// Reports the results of attempts to the health checks of registry and routing.
    fn record_attempts<Q, V>(&mut self, context: &mut FrontendContext<'_, Q, V>) {
        while let Some(end) = context.engine.next_attempt_end() {
            self.registry.on_attempt_end(end.replica, end.outcome, end.latency, context.now);
            if let Some(routing) = &mut self.routing {
                routing.on_attempt_end(end.replica, end.outcome, context.now);
            }
        }
    }

    /// Reports changes and the state of the lease to the query engine, and an interrupted watch to the
    /// registry.
    pub fn propagate_changes<Q, V>(
        &mut self,
        context: &mut FrontendContext<'_, Q, V>,
        mut set_address: impl FnMut(&NodeChange),
    ) {
        if let Some(changes) = self.take_changes(context.now) {
            let changes = self.hold_back_by_hints(changes);
            let changes = self.manual_overrides.apply_changes(changes);
            changes.iter().for_each(&mut set_address);
            update_endpoints(changes, context);
        }
        self.release_by_newer_list(context);
        for replica in self.registry.take_warmed_up() {
            context.engine.replica_warmed_up(replica);
        }
        if self.watch.as_mut().is_some_and(DiscoveryWatch::take_interrupted) {
            self.registry.watch_lost();
        }
        self.report_lease(context);
    }

    /// The registry's changes, restricted by routing where it is configured.
    fn take_changes(&mut self, now: Nanos) -> Option<Vec<NodeChange>> {
        let changes = self.registry.take_changes();
        let Some(routing) = &mut self.routing else { return changes };
        if let Some(changes) = changes {
            routing.on_membership_changes(changes, now);
        }
        routing.take_changes()
    }

    /// Reports to the query engine until when the list is valid, if its confirmation has changed.
    fn report_lease<Q, V>(&mut self, context: &mut FrontendContext<'_, Q, V>) {
        let (Some(watch), Some(lease)) = (&self.watch, &mut self.lease) else { return };
        let confirmation = watch.confirmation();
        if lease.reported.replace(confirmation) == Some(confirmation) {
            return;
        }
        let LeaseTerms { without_watch, proof_lifetime } = lease.terms;
        let unconfirmed_since = match confirmation {
            ListConfirmation::Watched => return context.engine.list_confirmed(),
            ListConfirmation::NeverWatched => lease.started,
            ListConfirmation::WatchLost(at) => at,
        };
        let lease_end = unconfirmed_since + without_watch;
        context.engine.list_unconfirmed(unconfirmed_since, lease_end, proof_lifetime);
    }

    fn hold_back_by_hints(&mut self, changes: Vec<NodeChange>) -> Vec<NodeChange> {
        match &mut self.hint_exchange {
            Some(hints) => hints.on_changes(changes, &self.registry),
            None => changes,
        }
    }

    /// Releases nodes that hints held back, where a newer list of this broker allows that.
    fn release_by_newer_list<Q, V>(&mut self, context: &mut FrontendContext<'_, Q, V>) {
        let Some(hints) = &mut self.hint_exchange else { return };
        let changes = hints.on_list_version(&self.registry);
        self.propagate_hinted_changes(changes, context);
    }

    fn propagate_hinted_changes<Q, V>(
        &mut self,
        changes: Vec<NodeChange>,
        context: &mut FrontendContext<'_, Q, V>,
    ) {
        if !changes.is_empty() {
            update_endpoints(self.manual_overrides.apply_changes(changes), context);
        }
    }

    /// Takes the hints on drains and starts for other brokers recorded since this was last called.
    pub fn take_hints(&mut self) -> Vec<(FactKey, ProcessStart)> {
        self.hint_exchange.as_mut().map_or(Vec::new(), HintExchange::take_pending)
    }

    /// Handles a hint of other brokers on a node.
    pub fn on_hint<Q, V>(&mut self, id: &str, hints: NodeHints, context: &mut FrontendContext<'_, Q, V>) {
        let change = self.hint_exchange.as_mut().and_then(|exchange| exchange.on_hint(id, hints));
        self.propagate_hinted_changes(change.into_iter().collect(), context);
    }

    /// Whether a list or an operator's command has ever named this node.
    pub fn knows(&self, id: &str) -> bool {
        self.registry.knows(id) || self.manual_overrides.knows(id)
    }

    /// The replica id under which a node gets parts, or got them until it was removed.
    pub fn replica(&self, id: &str) -> Option<ReplicaId> {
        self.manual_overrides.replica(id)
    }

    /// Whether a watch on discovery is established.
    pub fn watches_discovery(&self) -> bool {
        self.watch.as_ref().is_some_and(|watch| watch.confirmation() == ListConfirmation::Watched)
    }

    /// Changes whenever the list to hand over may have changed.
    pub fn list_revision(&self) -> u64 {
        self.registry.directory_revision()
    }

    /// Merges the list of another process at this address. The next [`MembershipDriver::tick`] propagates the
    /// changes.
    pub fn merge_peer_list(&mut self, list: &Snapshot, now: Nanos) {
        let news = self.registry.merge_peer_list(list, now);
        if let (PeerListNews::VersionsReset, Some(watch)) = (news, &mut self.watch) {
            watch.request_whole_list(now);
        }
    }

    /// The list in the form in which it is handed over to the next process.
    pub fn snapshot(&self, now: Nanos) -> Snapshot {
        self.registry.snapshot(now)
    }

    /// Suspends a node on an operator's command, or restores it.
    ///
    /// # Errors
    ///
    /// If no list has ever named the node.
    pub fn set_suspended<Q, V>(
        &mut self,
        id: &str,
        suspended: bool,
        context: &mut FrontendContext<'_, Q, V>,
    ) -> Result<(), UnknownNode> {
        let known = self.registry.knows(id);
        self.override_node(id, suspended, known, context)
    }

    /// Suspends or restores a node on a command that another process or broker accepted. The id was known
    /// there, so it is accepted here even if no list has named it.
    pub fn apply_suspension<Q, V>(
        &mut self,
        id: &str,
        suspended: bool,
        context: &mut FrontendContext<'_, Q, V>,
    ) {
        // A known id can't be rejected.
        let _ = self.override_node(id, suspended, true, context);
    }

    fn override_node<Q, V>(
        &mut self,
        id: &str,
        suspended: bool,
        known: bool,
        context: &mut FrontendContext<'_, Q, V>,
    ) -> Result<(), UnknownNode> {
        let change = if suspended {
            self.manual_overrides.suspend(id, known)
        } else {
            self.manual_overrides.restore(id, known)
        }?;
        if let Some(change) = change {
            context.engine.update_endpoints(false, vec![change.entry]);
        }
        Ok(())
    }

    /// The number of nodes in the list, and the number of suspended ones among them.
    pub fn node_counts(&self) -> (usize, usize) {
        (self.registry.listed_count(), self.manual_overrides.listed_suspended())
    }

    fn write_snapshot(&mut self, now: Nanos) {
        let Some(writer) = &mut self.snapshot_writer else { return };
        if writer.is_idle()
            && let Some(snapshot) = self.registry.take_snapshot(now)
        {
            writer.write(snapshot);
        }
    }

    /// When [`MembershipDriver::tick`] is next worth calling.
    pub fn next_deadline(&self) -> Option<Nanos> {
        // A busy writer needs no deadline: it is checked again when the event loop next wakes.
        let idle_writer = self.snapshot_writer.as_ref().filter(|writer| writer.is_idle());
        [
            self.registry.next_deadline(),
            self.routing.as_ref().and_then(|routing| routing.next_deadline(self.now)),
            self.watch.as_ref().and_then(DiscoveryWatch::next_deadline),
            idle_writer.and_then(|_| self.registry.snapshot_due()),
        ]
        .into_iter()
        .flatten()
        .min()
    }
}

impl Drop for MembershipDriver {
    /// Writes the changes since the last write, so that a regular exit does not lose them.
    fn drop(&mut self) {
        if let (Some(writer), Some(snapshot)) =
            (&mut self.snapshot_writer, self.registry.final_snapshot(self.now))
        {
            writer.write(snapshot);
        }
    }
}

fn update_endpoints<Q, V>(changes: Vec<NodeChange>, context: &mut FrontendContext<'_, Q, V>) {
    context.engine.update_endpoints(false, changes.into_iter().map(|change| change.entry).collect());
}
