//! Membership as a front needs it: the roster, the watch on discovery and the kept list, tied to the exchange.

use super::discovery_watch::DiscoveryWatch;
use crate::api::{Nanos, ReplicaId};
use crate::membership::gossip_hints::{LocalHints, PeerHints};
use crate::membership::poll_backoff::PollBackoff;
use crate::membership::snapshot::Snapshot;
use crate::membership::{
    DiscoveryState, ManualOverrides, NodeChange, NodeRecord, NodeState, Registry, UnknownNode,
};
use crate::net::{NetEvent, PollLoop};
use crate::replication::derived_state::NodeHints;
use crate::replication::{FactKey, ProcessStart};
use crate::routing::{Routing, Rule};
use crate::server::FrontendContext;
use crate::storage::snapshot_store::SnapshotWriter;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Most news for other brokers that waits; a list that is longer is told as it changes.
const MOST_NEWS: usize = 32_768;

/// Longest wait before discovery is asked again after a watch fell silent, however rarely the settings want it asked. What a
/// silent watch misses counts as told 6 s after its last line: 3.2 s show the silence, and 2 s are left for the next call.
const AFTER_SILENCE: Nanos = 800_000_000;

/// Who decides when discovery is asked again.
enum Asks {
    /// The decision module, as the platform's settings have it; this side only after a watch fell silent, when.
    Module { again: PollBackoff, at: Option<Nanos> },
    /// This side: when next, none while a watch stands.
    Here { again: PollBackoff, at: Option<Nanos> },
}

/// What other brokers have heard, and what they are to be told.
#[derive(Default)]
struct Among {
    others: PeerHints,
    /// Count and version of the own list that was last looked at.
    version: (u32, u64),
    news: Vec<(FactKey, ProcessStart)>,
}

/// The roster and its sources.
pub struct MembershipDriver {
    roster: Registry,
    watch: Option<DiscoveryWatch>,
    asks: Asks,
    /// What is offered of the nodes, where an operator has a say in that.
    routing: Option<Routing>,
    /// Who is out by hand, whatever the sources say.
    hand: ManualOverrides,
    /// Where there are other brokers that tell.
    among: Option<Among>,
    keeper: Option<SnapshotWriter>,
    /// The time that was last told.
    now: Nanos,
}

impl MembershipDriver {
    /// Membership by this roster, which keeps what it learns by `keeper`.
    pub fn new(roster: Registry, keeper: Option<SnapshotWriter>) -> MembershipDriver {
        let (asks, hand) = (
            Asks::Module { again: PollBackoff::new(AFTER_SILENCE, AFTER_SILENCE, 0), at: None },
            ManualOverrides::default(),
        );
        MembershipDriver { roster, watch: None, asks, routing: None, hand, among: None, keeper, now: 0 }
    }

    /// Watches discovery whenever the decision module says so, and soon after a watch fell silent.
    pub fn watch_on_request(mut self, watch: DiscoveryWatch, seed: u64) -> MembershipDriver {
        let again = PollBackoff::new(AFTER_SILENCE, AFTER_SILENCE, seed);
        (self.watch, self.asks) = (Some(watch), Asks::Module { again, at: None });
        self
    }

    /// Watches discovery from now on, and again after these waits whenever the watch breaks.
    pub fn poll_with_backoff(
        mut self,
        watch: DiscoveryWatch,
        again: PollBackoff,
        now: Nanos,
    ) -> MembershipDriver {
        (self.watch, self.asks) = (Some(watch), Asks::Here { again, at: Some(now) });
        self
    }

    /// Offers what these rules let through.
    pub fn with_routing(mut self, routing: Routing) -> MembershipDriver {
        self.routing = Some(routing);
        self
    }

    /// The operator's nodes are these from now on, with these rules.
    pub fn set_operator_nodes(&mut self, facts: Vec<NodeRecord>, rules: HashMap<String, Rule>, now: Nanos) {
        if let Some(routing) = &mut self.routing {
            routing.set_rules(rules, now);
        }
        self.roster.set_operator_nodes(facts, now);
    }

    /// The decision module wants the list watched.
    pub fn begin_watch(&mut self, now: Nanos, net: &mut PollLoop) {
        if let Some(watch) = &mut self.watch {
            watch.begin(self.roster.version(), now, net);
        }
    }

    /// Discovery is at this address from now on.
    pub fn move_to(&mut self, discovery: SocketAddr, now: Nanos, net: &mut PollLoop) {
        if let Some(watch) = &mut self.watch {
            watch.move_to(discovery, self.roster.version(), now, net);
        }
    }

    /// Takes in what happened on the watch's connection.
    pub fn on_event(&mut self, event: NetEvent, now: Nanos, net: &mut PollLoop) {
        if let Some(watch) = &mut self.watch {
            watch.on_event(event, now, net, &mut self.roster);
        }
    }

    /// Lets time go by, and passes on what there is to tell; `place` learns where each node is.
    pub fn tick<Q, V>(&mut self, hands: &mut FrontendContext<Q, V>, place: impl FnMut(&NodeChange)) {
        let now = hands.now;
        self.now = now;
        while let Some(end) = hands.engine.next_attempt_end() {
            self.roster.on_attempt_end(end.replica, end.outcome, end.latency, now);
            if let Some(routing) = &mut self.routing {
                routing.on_attempt_end(end.replica, end.outcome, now);
            }
        }
        if let Some(watch) = &mut self.watch {
            watch.tick(now, hands.net);
        }
        let (Asks::Module { at, .. } | Asks::Here { at, .. }) = &mut self.asks;
        if at.take_if(|t| *t <= now).is_some() {
            self.begin_watch(now, hands.net);
        }
        self.roster.tick(now);
        if let Some(routing) = &mut self.routing {
            routing.tick(now);
        }
        self.pass_on(hands, place);
        self.keep(now);
    }

    /// Passes on what there is to tell.
    pub fn pass_on<Q, V>(&mut self, hands: &mut FrontendContext<Q, V>, mut place: impl FnMut(&NodeChange)) {
        let mut changes = self.roster.take_changes();
        if let Some(routing) = &mut self.routing {
            if let Some(changes) = changes {
                routing.on_membership_changes(changes, hands.now);
            }
            changes = routing.take_changes();
        }
        if let Some(changes) = changes {
            let changes = self.with_others(changes);
            let changes = self.hand.apply_changes(changes);
            changes.iter().for_each(&mut place);
            hands.engine.update_endpoints(false, changes.into_iter().map(|c| c.entry).collect());
        }
        self.relisted(hands);
        if self.roster.take_discovery_answered()
            && let Asks::Here { again, .. } = &mut self.asks
        {
            again.on_success();
        }
        self.roster.take_warmed_up().into_iter().for_each(|replica| hands.engine.replica_warmed_up(replica));
        if self.watch.as_mut().is_some_and(DiscoveryWatch::take_failed) {
            self.roster.watch_lost();
            let silent = self.watch.as_mut().is_some_and(DiscoveryWatch::take_silent);
            match &mut self.asks {
                Asks::Module { again, at } => {
                    hands.engine.watch_failed();
                    if silent {
                        *at = Some(hands.now + again.on_failure());
                    }
                }
                Asks::Here { again, at } => *at = Some(hands.now + again.on_failure()),
            }
        }
    }

    /// There are other brokers: they are told of drains and starts, and heard. To be said before the first list is passed
    /// on: what that names is held back too.
    pub fn share_hints(mut self) -> MembershipDriver {
        self.among = Some(Among::default());
        self
    }

    fn own(roster: &Registry, id: &str) -> LocalHints {
        let started = roster.discovery_state(id).map_or(0, |known| known.started);
        LocalHints { started, version: roster.version() }
    }

    /// Makes changes as careful as others' words want them, and notes what others are to be told.
    fn with_others(&mut self, changes: Vec<NodeChange>) -> Vec<NodeChange> {
        let (roster, Some(among)) = (&self.roster, &mut self.among) else { return changes };
        for change in &changes {
            if among.news.len() >= MOST_NEWS {
                break;
            }
            let Some(known) = roster.discovery_state(&change.id) else { continue };
            let DiscoveryState { state, started, version } = known;
            if state != NodeState::Ready {
                among.news.push((FactKey::Drain(change.id.clone()), ProcessStart { started, version }));
            }
            if started > 0 {
                among.news.push((FactKey::Start(change.id.clone()), ProcessStart { started, version: 0 }));
            }
        }
        among.others.apply_changes(changes, |id| MembershipDriver::own(roster, id))
    }

    /// A newer list of one's own may let go what others' words held back.
    fn relisted<Q, V>(&mut self, hands: &mut FrontendContext<Q, V>) {
        let (roster, Some(among)) = (&self.roster, &mut self.among) else { return };
        let version = (roster.epoch(), roster.version());
        if version == among.version {
            return;
        }
        let anew = version.0 != among.version.0;
        among.version = version;
        let changes = among.others.on_list_change(anew, |id| MembershipDriver::own(roster, id));
        self.tell(changes, hands);
    }

    fn tell<Q, V>(&mut self, changes: Vec<NodeChange>, hands: &mut FrontendContext<Q, V>) {
        if !changes.is_empty() {
            let changes = self.hand.apply_changes(changes);
            hands.engine.update_endpoints(false, changes.into_iter().map(|c| c.entry).collect());
        }
    }

    /// What other brokers are to be told of drains and starts.
    pub fn take_hints(&mut self) -> Vec<(FactKey, ProcessStart)> {
        self.among.as_mut().map_or(Vec::new(), |a| std::mem::take(&mut a.news))
    }

    /// Other brokers have heard this of a node.
    pub fn on_hint<Q, V>(&mut self, id: &str, heard: NodeHints, hands: &mut FrontendContext<Q, V>) {
        let change = self.among.as_mut().and_then(|a| a.others.on_hint(id, heard));
        self.tell(change.into_iter().collect(), hands);
    }

    /// Whether any list has named this server.
    pub fn knows(&self, id: &str) -> bool {
        self.roster.knows(id) || self.hand.knows(id)
    }

    /// These are out by hand from the start.
    pub fn with_suspended(mut self, out: impl IntoIterator<Item = String>) -> MembershipDriver {
        self.hand = ManualOverrides::with_suspended(out);
        self
    }

    /// The number under which a server takes parts, or took them until it was gone.
    pub fn replica(&self, id: &str) -> Option<ReplicaId> {
        self.hand.replica(id)
    }

    /// Count and version of the list that is held.
    pub fn version(&self) -> (u32, u64) {
        (self.roster.epoch(), self.roster.version())
    }

    /// The list as it is to be handed over.
    pub fn snapshot(&self, now: Nanos) -> Snapshot {
        self.roster.snapshot(now)
    }

    /// Takes a server out by hand, or puts it back; `told` where another process was told so, and knew its id.
    pub fn set_suspended<Q, V>(
        &mut self,
        id: &str,
        out: bool,
        told: bool,
        hands: &mut FrontendContext<Q, V>,
    ) -> Result<(), UnknownNode> {
        let ever = told || self.roster.knows(id);
        let change = if out { self.hand.suspend(id, ever) } else { self.hand.restore(id, ever) }?;
        if let Some(change) = change {
            hands.engine.update_endpoints(false, vec![change.entry]);
        }
        Ok(())
    }

    /// Servers in the list, and how many of them are out by hand.
    pub fn counts(&self) -> (usize, usize) {
        (self.roster.listed_count(), self.hand.listed_suspended())
    }

    fn keep(&mut self, now: Nanos) {
        let Some(keeper) = &mut self.keeper else { return };
        if keeper.is_free()
            && let Some(kept) = self.roster.take_snapshot(now)
        {
            keeper.keep(kept);
        }
    }

    /// When `tick` is next worth calling.
    pub fn next_deadline(&self) -> Option<Nanos> {
        let (Asks::Module { at: ask, .. } | Asks::Here { at: ask, .. }) = self.asks;
        // A keeper that is at work is looked at again when something else happens.
        let keep = self.keeper.as_ref().filter(|k| k.is_free()).and_then(|_| self.roster.snapshot_due());
        let routing = self.routing.as_ref().and_then(|r| r.next_deadline(self.now));
        [
            self.roster.next_deadline(),
            routing,
            self.watch.as_ref().and_then(DiscoveryWatch::next_deadline),
            ask,
            keep,
        ]
        .into_iter()
        .flatten()
        .min()
    }
}

impl Drop for MembershipDriver {
    /// What was learnt since the last write is not lost by an orderly end.
    fn drop(&mut self) {
        if let (Some(keeper), Some(kept)) = (&mut self.keeper, self.roster.final_snapshot(self.now)) {
            keeper.keep(kept);
        }
    }
}
