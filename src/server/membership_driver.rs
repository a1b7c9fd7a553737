//! Membership as a front needs it: the registry, the watch on discovery and the snapshot list, tied to the exchange.

use super::discovery_watch::DiscoveryWatch;
use super::frontend_context::FrontendContext;
use crate::api::{Nanos, ReplicaId};
use crate::membership::gossip_hints::{LocalHints, PeerHints};
use crate::membership::poll_backoff::PollBackoff;
use crate::membership::snapshot::Snapshot;
use crate::membership::{ManualOverrides, NodeChange, NodeRecord, NodeState, Registry, UnknownNode};
use crate::net::{NetEvent, PollLoop};
use crate::replication::derived_state::NodeHints;
use crate::replication::{FactKey, ProcessStart};
use crate::routing::{Routing, Rule};
use crate::storage::snapshot_store::SnapshotWriter;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Most pending for other brokers that waits; a list that is longer is told as it changes.
const MAX_PENDING_HINTS: usize = 32_768;

/// Longest wait before discovery is asked again after a watch fell silent, however rarely the settings want it asked. What a
/// silent watch misses counts as told 6 s after its last line: 3.2 s show the silence, and 2 s are left for the next call.
const MAX_BACKOFF_AFTER_SILENCE: Nanos = 800_000_000;

/// Who decides when discovery is asked again.
enum PollTrigger {
    /// The decision module, as the platform's settings have it; this side only after a watch fell silent, when.
    Engine { again: PollBackoff, at: Option<Nanos> },
    /// This side: when next, none while a watch stands.
    Driver { again: PollBackoff, at: Option<Nanos> },
}

/// What other brokers have heard, and what they are to be told.
#[derive(Default)]
struct HintExchange {
    peer_hints: PeerHints,
    /// Count and version of the own list that was last looked at.
    version: (u32, u64),
    pending: Vec<(FactKey, ProcessStart)>,
}

/// The roster and its sources.
pub struct MembershipDriver {
    registry: Registry,
    watch: Option<DiscoveryWatch>,
    poll_trigger: PollTrigger,
    /// What is offered of the nodes, where an operator has a say in that.
    routing: Option<Routing>,
    /// Who is out by manual_overrides, whatever the sources say.
    manual_overrides: ManualOverrides,
    /// Where there are other brokers that tell.
    hint_exchange: Option<HintExchange>,
    snapshot_writer: Option<SnapshotWriter>,
    /// The time that was last told.
    now: Nanos,
}

impl MembershipDriver {
    /// Membership by this registry, which keeps what it learns by `snapshot_writer`.
    pub fn new(registry: Registry, snapshot_writer: Option<SnapshotWriter>) -> MembershipDriver {
        let (poll_trigger, manual_overrides) = (
            PollTrigger::Engine {
                again: PollBackoff::new(MAX_BACKOFF_AFTER_SILENCE, MAX_BACKOFF_AFTER_SILENCE, 0),
                at: None,
            },
            ManualOverrides::default(),
        );
        MembershipDriver {
            registry,
            watch: None,
            poll_trigger,
            routing: None,
            manual_overrides,
            hint_exchange: None,
            snapshot_writer,
            now: 0,
        }
    }

    /// Watches discovery whenever the decision module says so, and soon after a watch fell silent.
    pub fn watch_on_request(mut self, watch: DiscoveryWatch, seed: u64) -> MembershipDriver {
        let again = PollBackoff::new(MAX_BACKOFF_AFTER_SILENCE, MAX_BACKOFF_AFTER_SILENCE, seed);
        (self.watch, self.poll_trigger) = (Some(watch), PollTrigger::Engine { again, at: None });
        self
    }

    /// Watches discovery from now on, and again after these waits whenever the watch breaks.
    pub fn poll_with_backoff(
        mut self,
        watch: DiscoveryWatch,
        again: PollBackoff,
        now: Nanos,
    ) -> MembershipDriver {
        (self.watch, self.poll_trigger) = (Some(watch), PollTrigger::Driver { again, at: Some(now) });
        self
    }

    /// Offers what these rules let through.
    pub fn with_routing(mut self, routing: Routing) -> MembershipDriver {
        self.routing = Some(routing);
        self
    }

    /// The operator's nodes are these from now on, with these rules.
    pub fn set_operator_nodes(&mut self, nodes: Vec<NodeRecord>, rules: HashMap<String, Rule>, now: Nanos) {
        if let Some(routing) = &mut self.routing {
            routing.rules(rules, now);
        }
        self.registry.set_operator_nodes(nodes, now);
    }

    /// The decision module wants the list watched.
    pub fn begin_watch(&mut self, now: Nanos, net: &mut PollLoop) {
        if let Some(watch) = &mut self.watch {
            watch.begin(self.registry.version(), now, net);
        }
    }

    /// Discovery is at this address from now on.
    pub fn move_to(&mut self, discovery: SocketAddr, now: Nanos, net: &mut PollLoop) {
        if let Some(watch) = &mut self.watch {
            watch.move_to(discovery, self.registry.version(), now, net);
        }
    }

    /// Takes in what happened on the watch's connection.
    pub fn on_event(&mut self, event: NetEvent, now: Nanos, net: &mut PollLoop) {
        if let Some(watch) = &mut self.watch {
            watch.on_event(event, now, net, &mut self.registry);
        }
    }

    /// Lets time go by, and passes on what there is to tell; `place` learns where each node is.
    pub fn tick<Q, V>(&mut self, context: &mut FrontendContext<Q, V>, place: impl FnMut(&NodeChange)) {
        let now = context.now;
        self.now = now;
        while let Some(end) = context.engine.next_attempt_end() {
            self.registry.on_attempt_end(end.replica, end.outcome, end.latency, now);
            if let Some(routing) = &mut self.routing {
                routing.outcome(end.replica, end.outcome, now);
            }
        }
        if let Some(watch) = &mut self.watch {
            watch.tick(now, context.net);
        }
        let (PollTrigger::Engine { at, .. } | PollTrigger::Driver { at, .. }) = &mut self.poll_trigger;
        if at.take_if(|t| *t <= now).is_some() {
            self.begin_watch(now, context.net);
        }
        self.registry.tick(now);
        if let Some(routing) = &mut self.routing {
            routing.tick(now);
        }
        self.pass_on(context, place);
        self.write_snapshot(now);
    }

    /// Passes on what there is to tell.
    pub fn pass_on<Q, V>(&mut self, context: &mut FrontendContext<Q, V>, mut place: impl FnMut(&NodeChange)) {
        let mut changes = self.registry.take_changes();
        if let Some(routing) = &mut self.routing {
            if let Some(changes) = changes {
                routing.listed(changes, context.now);
            }
            changes = routing.take_changes();
        }
        if let Some(changes) = changes {
            let changes = self.with_peer_hints(changes);
            let changes = self.manual_overrides.pass(changes);
            changes.iter().for_each(&mut place);
            context.engine.update_endpoints(false, changes.into_iter().map(|c| c.listed).collect());
        }
        self.release_peer_hints(context);
        if self.registry.take_discovery_answered()
            && let PollTrigger::Driver { again, .. } = &mut self.poll_trigger
        {
            again.answered();
        }
        self.registry
            .take_warmed_up()
            .into_iter()
            .for_each(|replica| context.engine.replica_warmed_up(replica));
        if self.watch.as_mut().is_some_and(DiscoveryWatch::take_failed) {
            self.registry.watch_lost();
            let silent = self.watch.as_mut().is_some_and(DiscoveryWatch::take_silent);
            match &mut self.poll_trigger {
                PollTrigger::Engine { again, at } => {
                    context.engine.watch_failed();
                    if silent {
                        *at = Some(context.now + again.failed());
                    }
                }
                PollTrigger::Driver { again, at } => *at = Some(context.now + again.failed()),
            }
        }
    }

    /// There are other brokers: they are told of drains and starts, and heard. To be said before the first list is passed
    /// on: what that names is held back too.
    pub fn share_hints(mut self) -> MembershipDriver {
        self.hint_exchange = Some(HintExchange::default());
        self
    }

    fn local_hints(registry: &Registry, id: &str) -> LocalHints {
        let started = registry.discovery_state(id).map_or(0, |(_, started, _)| started);
        LocalHints { started, version: registry.version() }
    }

    /// Makes changes as careful as others' words want them, and notes what others are to be told.
    fn with_peer_hints(&mut self, changes: Vec<NodeChange>) -> Vec<NodeChange> {
        let (registry, Some(hint_exchange)) = (&self.registry, &mut self.hint_exchange) else {
            return changes;
        };
        for change in &changes {
            if hint_exchange.pending.len() >= MAX_PENDING_HINTS {
                break;
            }
            let Some((state, started, version)) = registry.discovery_state(&change.id) else { continue };
            if state != NodeState::Ready {
                hint_exchange
                    .pending
                    .push((FactKey::Drain(change.id.clone()), ProcessStart { started, version }));
            }
            if started > 0 {
                hint_exchange
                    .pending
                    .push((FactKey::Start(change.id.clone()), ProcessStart { started, version: 0 }));
            }
        }
        hint_exchange.peer_hints.pass(changes, |id| MembershipDriver::local_hints(registry, id))
    }

    /// A newer list of one's own may let go what others' words held back.
    fn release_peer_hints<Q, V>(&mut self, context: &mut FrontendContext<Q, V>) {
        let (registry, Some(hint_exchange)) = (&self.registry, &mut self.hint_exchange) else { return };
        let version = (registry.epoch(), registry.version());
        if version == hint_exchange.version {
            return;
        }
        let restarted = version.0 != hint_exchange.version.0;
        hint_exchange.version = version;
        let changes =
            hint_exchange.peer_hints.relist(restarted, |id| MembershipDriver::local_hints(registry, id));
        self.update_engine(changes, context);
    }

    fn update_engine<Q, V>(&mut self, changes: Vec<NodeChange>, context: &mut FrontendContext<Q, V>) {
        if !changes.is_empty() {
            let changes = self.manual_overrides.pass(changes);
            context.engine.update_endpoints(false, changes.into_iter().map(|c| c.listed).collect());
        }
    }

    /// What other brokers are to be told of drains and starts.
    pub fn take_hints(&mut self) -> Vec<(FactKey, ProcessStart)> {
        self.hint_exchange.as_mut().map_or(Vec::new(), |a| std::mem::take(&mut a.pending))
    }

    /// Other brokers have heard this of a node.
    pub fn on_hint<Q, V>(&mut self, id: &str, hints: NodeHints, context: &mut FrontendContext<Q, V>) {
        let change = self.hint_exchange.as_mut().and_then(|a| a.peer_hints.heard(id, hints));
        self.update_engine(change.into_iter().collect(), context);
    }

    /// Whether any list has named this server.
    pub fn knows(&self, id: &str) -> bool {
        self.registry.knows(id) || self.manual_overrides.knows(id)
    }

    /// These are out by hand from the start.
    pub fn with_suspended(mut self, out: impl IntoIterator<Item = String>) -> MembershipDriver {
        self.manual_overrides = ManualOverrides::with(out);
        self
    }

    /// The number under which a server takes parts, or took them until it was gone.
    pub fn replica(&self, id: &str) -> Option<ReplicaId> {
        self.manual_overrides.replica(id)
    }

    /// Count and version of the list that is held.
    pub fn version(&self) -> (u32, u64) {
        (self.registry.epoch(), self.registry.version())
    }

    /// The list as it is to be handed over.
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
        context: &mut FrontendContext<Q, V>,
    ) -> Result<(), UnknownNode> {
        let known = self.registry.knows(id);
        self.override_node(id, suspended, known, context)
    }

    /// Suspends or restores a node as another process or broker was commanded, which knew its id.
    pub fn apply_suspension<Q, V>(&mut self, id: &str, suspended: bool, context: &mut FrontendContext<Q, V>) {
        // An id that is known can't be rejected.
        let _ = self.override_node(id, suspended, true, context);
    }

    fn override_node<Q, V>(
        &mut self,
        id: &str,
        suspended: bool,
        known: bool,
        context: &mut FrontendContext<Q, V>,
    ) -> Result<(), UnknownNode> {
        let change = if suspended {
            self.manual_overrides.suspend(id, known)
        } else {
            self.manual_overrides.restore(id, known)
        }?;
        if let Some(change) = change {
            context.engine.update_endpoints(false, vec![change.listed]);
        }
        Ok(())
    }

    /// Servers in the list, and how many of them are out by hand.
    pub fn counts(&self) -> (usize, usize) {
        (self.registry.listed_count(), self.manual_overrides.listed_out())
    }

    fn write_snapshot(&mut self, now: Nanos) {
        let Some(snapshot_writer) = &mut self.snapshot_writer else { return };
        if snapshot_writer.is_free()
            && let Some(snapshot) = self.registry.take_snapshot(now)
        {
            snapshot_writer.keep(snapshot);
        }
    }

    /// When `tick` is next worth calling.
    pub fn next_deadline(&self) -> Option<Nanos> {
        let (PollTrigger::Engine { at: ask, .. } | PollTrigger::Driver { at: ask, .. }) = self.poll_trigger;
        // A snapshot_writer that is at work is looked at again when something else happens.
        let snapshot_due =
            self.snapshot_writer.as_ref().filter(|k| k.is_free()).and_then(|_| self.registry.snapshot_due());
        let routing = self.routing.as_ref().and_then(|r| r.next_deadline(self.now));
        [
            self.registry.next_deadline(),
            routing,
            self.watch.as_ref().and_then(DiscoveryWatch::next_deadline),
            ask,
            snapshot_due,
        ]
        .into_iter()
        .flatten()
        .min()
    }
}

impl Drop for MembershipDriver {
    /// What was learnt since the last write is not lost by an orderly end.
    fn drop(&mut self) {
        if let (Some(snapshot_writer), Some(snapshot)) =
            (&mut self.snapshot_writer, self.registry.final_snapshot(self.now))
        {
            snapshot_writer.keep(snapshot);
        }
    }
}
