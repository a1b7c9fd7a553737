//! The roster: every source's news and every attempt's outcome in, lines for the exchange out.

use super::endpoint_list::EndpointList;
use super::merged_view::MergedView;
pub use super::probation::PartitionLayout;
use super::probation::{self, Admission, Candidate};
use super::snapshot::{Snapshot, SnapshotNode};
use super::staleness::{self, ChangeRate};
use super::{NodeRecord, NodeState, SourcePriority, SourceVersion};
use crate::api::{Nanos, Outcome, ReplicaEntry, ReplicaId, ReplicaState};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;

/// Time after which one more unconfirmed holder of each partition is let in. Short beside the aims of queries: no
/// node that is there waits long, and a wrong one has shown itself by then.
const PROBATION_STEP: Nanos = 250_000_000;
/// Shortest ejection of an unconfirmed node that failed, ns; each further one is twice as long.
const MIN_EJECTION: Nanos = 1_000_000_000;
/// Longest ejection of an unconfirmed node that failed, ns.
const MAX_EJECTION: Nanos = 30_000_000_000;
/// Shortest time between two snapshots, ns.
const MIN_SNAPSHOT_INTERVAL: Nanos = 500_000_000;
/// Time after which a snapshot is renewed although only its confirmation is newer, ns.
const SNAPSHOT_REFRESH_INTERVAL: Nanos = 30_000_000_000;
/// Number of recent latencies from which the usual one is estimated.
const LATENCY_WINDOW: usize = 32;
/// Multiple of the lower quartile of recent latencies up to which a node counts as warmed up. Parts differ in work
/// by less than that; a node that has just started is slower by more.
const WARM_LATENCY_MULTIPLE: f64 = 2.5;
/// Most endpoints of one list that are logged one by one.
const MAX_LOGGED_ENDPOINTS: usize = 8;

/// What a roster is told at its start.
#[derive(Clone, Debug)]
pub struct RegistrySettings {
    /// How the partitions lie.
    pub layout: PartitionLayout,
    /// How long a started node is cold.
    pub warm_up: Nanos,
    /// Stated mean time between two changes of one node: a move, a replacement, a drain or a restart.
    pub mean_change_interval: Nanos,
    /// Age of a list that does not tell its own.
    pub default_list_age: Nanos,
    /// An attempt given up after so long without an answer counts as silence.
    pub silence_timeout: Nanos,
    /// Names of zones and their numbers.
    pub zones: HashMap<String, u32>,
    /// Kinds of node that can be called; empty: all.
    pub kinds: Vec<String>,
    /// For the order in which unconfirmed nodes are tried. Each broker needs its own: together they must not all
    /// turn to the same node, which may be cold.
    pub seed: u64,
}

/// One line for the exchange, and what the server side needs to know.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeChange {
    /// For the exchange.
    pub entry: ReplicaEntry,
    /// The node's id.
    pub id: String,
    /// Where it is; none once it is gone.
    pub addr: Option<SocketAddr>,
    /// What it speaks.
    pub kind: String,
}

/// A node's address, cell and start.
type Placement = (Option<SocketAddr>, u32, Nanos);

/// How one node is known, for those who ask.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeStatus {
    /// What is believed.
    pub record: NodeRecord,
    /// Its state: gone where a whole list left it out.
    pub state: NodeState,
    /// When that was learnt, unix ns.
    pub learned: Nanos,
    /// When it was last confirmed, unix ns; none: never.
    pub confirmed: Option<Nanos>,
    /// How far it is trusted now.
    pub trust: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AdmissionState {
    /// It was not let in yet.
    Waiting,
    /// It gets work.
    Admitted,
    /// It failed, and stays out until then.
    Ejected { until: Nanos },
}

#[derive(Debug)]
struct TrackedNode {
    replica: ReplicaId,
    addr: SocketAddr,
    /// Last word that it is there: discovery's or its own good answer.
    confirmed: Option<Nanos>,
    admission: AdmissionState,
    failures: u32,
    /// For how long it stayed out after its last failure.
    ejection_time: Nanos,
    /// The start it is taken to have had while it is unconfirmed.
    assumed_start: Option<Nanos>,
    /// It has given a good answer.
    has_answered: bool,
    announced: Option<ReplicaEntry>,
    /// Since when its connections fail.
    unreachable_since: Option<Nanos>,
}

/// Membership: what is believed of all nodes, and what the exchange has been told of them.
#[derive(Debug)]
pub struct Registry {
    settings: RegistrySettings,
    view: MergedView,
    nodes: BTreeMap<String, TrackedNode>,
    node_ids: HashMap<ReplicaId, String>,
    next_replica: u32,
    /// The directory's count and version.
    epoch: u32,
    version: u64,
    /// When the directory's list as a whole was last known to hold.
    last_confirmed: Option<Nanos>,
    /// Since when the watch has been up, as far as the rate of change goes.
    watched_since: Option<Nanos>,
    change_rate: ChangeRate,
    operator_version: u64,
    /// When the first unconfirmed node was believed.
    probation_start: Option<Nanos>,
    changes: Vec<NodeChange>,
    /// Nodes that proved as fast as warm ones.
    warmed_up: Vec<ReplicaId>,
    /// Times of the last good answers, of all nodes, while some count as cold for want of trust.
    recent_latencies: VecDeque<Nanos>,
    /// A directory's report has come that the exchange has not been told of.
    unreported_update: bool,
    discovery_answered: bool,
    dirty: bool,
    /// Nobody is unconfirmed, and no address is claimed twice: each node can be settled on its own.
    all_confirmed: bool,
    /// Who has which address, of those that are ready.
    ready_by_addr: HashMap<SocketAddr, String>,
    /// Nodes of kinds that can't be called, so that each is told of once.
    uncallable: BTreeSet<String>,
    next_deadline: Option<Nanos>,
    /// What a write is for: news, and whether a drain is among it.
    unsaved: bool,
    last_snapshot: Option<Nanos>,
}

impl Registry {
    /// A roster that knows nothing yet.
    pub fn new(settings: RegistrySettings) -> Registry {
        Registry {
            settings,
            view: MergedView::default(),
            nodes: BTreeMap::new(),
            node_ids: HashMap::new(),
            next_replica: 0,
            epoch: 0,
            version: 0,
            last_confirmed: None,
            watched_since: None,
            change_rate: ChangeRate::NONE,
            operator_version: 0,
            probation_start: None,
            changes: Vec::new(),
            warmed_up: Vec::new(),
            recent_latencies: VecDeque::new(),
            unreported_update: false,
            discovery_answered: false,
            dirty: false,
            all_confirmed: false,
            ready_by_addr: HashMap::new(),
            uncallable: BTreeSet::new(),
            next_deadline: None,
            unsaved: false,
            last_snapshot: None,
        }
    }

    // ---- sources ----

    /// What was kept on disk, every generation of it. Comes before all other sources.
    pub fn restore(&mut self, generations: &[Snapshot], now: Nanos) {
        for snapshot in generations {
            snapshot.merge_into(&mut self.view);
            let versions = snapshot.nodes.iter().map(|n| (n.epoch, n.version));
            let last = versions.chain(snapshot.full_list.map(|(e, v, _)| (e, v))).max().unwrap_or((0, 0));
            if last >= (self.epoch, self.version) {
                (self.epoch, self.version) = last;
                self.change_rate = snapshot.rate;
            }
            self.last_confirmed =
                self.last_confirmed.max(snapshot.last_confirmed.map(|t| self.clamp_stored_time(t, now)));
        }
        for n in generations.iter().flat_map(|k| &k.nodes) {
            if let Some(at) = n.confirmed.map(|t| self.clamp_stored_time(t, now)) {
                self.confirm_node(&n.record.id, at);
            }
        }
        self.reconcile_all(now);
        if !generations.is_empty() {
            tracing::info!(
                "kept list: {} nodes, {} s old, trusted at {:.2}",
                self.nodes.len(),
                self.last_confirmed.map_or(0, |t| now.saturating_sub(t)) / 1_000_000_000,
                self.last_confirmed.map_or(0.0, |t| self.trust(Some(t), now))
            );
        }
    }

    /// A time that was kept: one that lies ahead says only that a clock was wrong, and counts as the age presumed.
    fn clamp_stored_time(&self, at: Nanos, now: Nanos) -> Nanos {
        if at <= now { at } else { now.saturating_sub(self.settings.default_list_age) }
    }

    fn confirm_node(&mut self, id: &str, at: Nanos) {
        let Some(view) = self.view.view(id).filter(|v| v.state != NodeState::Gone) else { return };
        let Some(addr) = view.versioned.record.addr else { return };
        let m = self.track_node(id.to_owned(), addr);
        m.confirmed = m.confirmed.max(Some(at));
    }

    fn track_node(&mut self, id: String, addr: SocketAddr) -> &mut TrackedNode {
        let (next, by_replica) = (&mut self.next_replica, &mut self.node_ids);
        self.nodes.entry(id).or_insert_with_key(|id| {
            let replica = ReplicaId(*next);
            *next += 1;
            by_replica.insert(replica, id.clone());
            TrackedNode {
                replica,
                addr,
                confirmed: None,
                admission: AdmissionState::Waiting,
                failures: 0,
                ejection_time: 0,
                assumed_start: None,
                has_answered: false,
                announced: None,
                unreachable_since: None,
            }
        })
    }

    /// The list that the configuration carries: as this broker last had it, in discovery's form.
    pub fn add_configured(&mut self, list: &EndpointList, now: Nanos) {
        // After a discovery started over there is no telling whether this list is older: it must not undo anything.
        let source_version =
            SourceVersion { priority: SourcePriority::Directory, epoch: 0, version: list.version };
        let as_of = list.as_of_ms.map(|ms| self.clamp_stored_time(ms.saturating_mul(1_000_000), now));
        let as_of = as_of.unwrap_or_else(|| now.saturating_sub(self.settings.default_list_age));
        if self.epoch == 0 && list.version >= self.version {
            self.version = list.version;
            if list.full {
                self.last_confirmed = self.last_confirmed.max(Some(as_of));
            }
        }
        self.merge_list(source_version, list, false, now);
        self.reconcile_all(now);
    }

    /// The nodes of an operator's file: all there are, as of now.
    pub fn set_operator_nodes(&mut self, nodes: Vec<NodeRecord>, now: Nanos) {
        self.operator_version += 1;
        let source_version =
            SourceVersion { priority: SourcePriority::Operator, epoch: 0, version: self.operator_version };
        let ids: Vec<String> = nodes.iter().map(|n| n.id.clone()).collect();
        self.view.apply_report(source_version, (true, false), nodes, now);
        for id in ids {
            self.confirm_node(&id, now);
        }
        self.reconcile_all(now);
    }

    /// What discovery tells; `first`: as the first thing on a new watch, which tells all that changed since the
    /// version that was asked for, or else the whole list. Tells whether it was believed.
    pub fn on_discovery_update(&mut self, list: &EndpointList, first: bool, now: Nanos) -> bool {
        (self.unreported_update, self.discovery_answered) = (true, true);
        self.dirty = true;
        let version_reset = list.version < self.version;
        if version_reset {
            if !(first && list.full) {
                tracing::warn!(
                    "news of version {} is older than {}; it is left alone",
                    list.version,
                    self.version
                );
                self.reconcile_all(now);
                return false;
            }
            // Only a discovery that restarted tells a whole list from before what it told already.
            tracing::warn!("discovery counts anew: version {} after {}", list.version, self.version);
            self.epoch += 1;
        }
        let named: Option<Vec<&str>> =
            (!list.full && !version_reset).then(|| list.servers.iter().map(|s| s.id.as_str()).collect());
        let (before, all) = self.ready_placements(named.as_deref());
        self.version = list.version;
        let source_version =
            SourceVersion { priority: SourcePriority::Directory, epoch: self.epoch, version: list.version };
        self.merge_list(source_version, list, version_reset, now);
        if list.full || first {
            // All that was not named holds as it did.
            self.last_confirmed = Some(now);
        }
        self.observe_changes(&before, all, now);
        for s in &list.servers {
            self.confirm_node(&s.id, now);
        }
        if list.full || first {
            // Discovery knows when each started: nothing need be assumed.
            let assumed = self.nodes.values().filter(|m| m.assumed_start.is_some()).map(|m| m.replica);
            assumed.collect::<Vec<_>>().into_iter().for_each(|r| self.end_assumed_warm_up(r));
        }
        self.on_heartbeat(now);
        self.unsaved = true;
        // The list as a whole was just confirmed: only what was named can have changed, if nothing else is open.
        match named {
            Some(named) if self.all_confirmed && self.reconcile_named(&named, now) => self.dirty = false,
            _ => self.reconcile_all(now),
        }
        true
    }

    fn merge_list(
        &mut self,
        source_version: SourceVersion,
        list: &EndpointList,
        version_reset: bool,
        now: Nanos,
    ) {
        let mut unusable = 0;
        for s in list
            .servers
            .iter()
            .filter(|s| s.state != NodeState::Gone && s.addr.parse::<SocketAddr>().is_err())
        {
            unusable += 1;
            if unusable <= MAX_LOGGED_ENDPOINTS {
                tracing::error!("discovery names no usable address for {}: {:?}", s.id, s.addr);
            }
        }
        self.view.apply_report(
            source_version,
            (list.full, version_reset),
            list.servers.iter().map(|s| s.record()),
            now,
        );
        tracing::info!(
            "list version {}: {} {}",
            list.version,
            list.servers.len(),
            if list.full { "servers" } else { "changes" }
        );
    }

    /// What a change is told from: of the named nodes, or all, those that are ready with their place; and how many
    /// are watched in all.
    fn ready_placements(&self, named: Option<&[&str]>) -> (HashMap<String, Placement>, usize) {
        let place = |id: &str| {
            let view = self.view.view(id).filter(|v| v.state == NodeState::Ready)?;
            let f = &view.versioned.record;
            Some((id.to_owned(), (f.addr, f.cell, f.started)))
        };
        match named {
            Some(named) => (named.iter().copied().filter_map(place).collect(), self.nodes.len()),
            None => {
                let all: HashMap<String, Placement> = self.view.ids().filter_map(place).collect();
                let n = all.len();
                (all, n)
            }
        }
    }

    /// Counts the nodes, of `watched` in all, that changed since the watch last told anything.
    fn observe_changes(&mut self, before: &HashMap<String, Placement>, watched: usize, now: Nanos) {
        let Some(since) = self.watched_since.replace(now) else { return };
        // A start that is no longer told was long ago: that is no change.
        let same = |a: &Placement, b: &Placement| (a.0, a.1) == (b.0, b.1) && (a.2 == b.2 || b.2 == 0);
        let holds = |id: &str, was: &Placement| {
            let view = self.view.view(id).filter(|v| v.state == NodeState::Ready);
            view.is_some_and(|v| {
                same(was, &(v.versioned.record.addr, v.versioned.record.cell, v.versioned.record.started))
            })
        };
        let changed = before.iter().filter(|(id, was)| !holds(id, was)).count();
        self.change_rate.observe(
            watched,
            now.saturating_sub(since),
            changed,
            self.settings.mean_change_interval,
        );
    }

    /// The watch is up and has nothing to tell: the list holds as it is.
    pub fn on_heartbeat(&mut self, now: Nanos) {
        if self.last_confirmed.is_some() && self.watched_since.is_some() {
            self.last_confirmed = Some(now);
        }
        self.watched_since = self.watched_since.or(Some(now));
    }

    /// The watch broke, or a call failed.
    pub fn watch_lost(&mut self) {
        self.watched_since = None;
    }

    // ---- outcomes ----

    /// How an attempt at a node ended, `latency` after it was sent. What follows from it comes with the next `tick`, so
    /// that many at once cost no more than one.
    pub fn on_attempt_end(&mut self, replica: ReplicaId, outcome: Outcome, latency: Nanos, now: Nanos) {
        let Some(id) = self.node_ids.get(&replica) else { return };
        let Some(m) = self.nodes.get_mut(id) else { return };
        match outcome {
            Outcome::Ok => {
                if let Some(since) = m.unreachable_since.take() {
                    let s = now.saturating_sub(since) as f64 / 1e9;
                    tracing::info!("node {id} at {} is back after {s:.1} s", m.addr);
                }
                (m.failures, m.ejection_time, m.has_answered) = (0, 0, true);
                m.confirmed = Some(now);
                self.dirty |=
                    std::mem::replace(&mut m.admission, AdmissionState::Admitted) != AdmissionState::Admitted;
                if m.assumed_start.is_some() {
                    self.judge_warm_up(replica, latency);
                }
            }
            Outcome::ConnectFailed => {
                if m.unreachable_since.is_none() {
                    m.unreachable_since = Some(now);
                    tracing::warn!("node {id} at {} is down: no connection comes up", m.addr);
                }
                self.record_failure(replica, now);
            }
            Outcome::TimedOut => self.record_failure(replica, now),
            // Given up for another's answer, with nothing heard for too long.
            Outcome::Cancelled if latency >= self.settings.silence_timeout => {
                self.record_failure(replica, now)
            }
            // It may be another program by now; one that has answered is only in trouble. One that turns parts away is
            // there: it may just be full.
            Outcome::Error | Outcome::InvalidResponse | Outcome::ConnectionReset if !m.has_answered => {
                self.record_failure(replica, now)
            }
            Outcome::Cancelled
            | Outcome::ConnectionReset
            | Outcome::Error
            | Outcome::Rejected
            | Outcome::InvalidResponse
            | Outcome::NotSent => {}
        }
    }

    /// Whether a node that counts as cold for want of trust has shown that it is not: it answered about as fast as
    /// most, and faster than a cold one could where all are cold.
    fn judge_warm_up(&mut self, replica: ReplicaId, latency: Nanos) {
        if self.recent_latencies.len() >= LATENCY_WINDOW {
            self.recent_latencies.pop_front();
        }
        self.recent_latencies.push_back(latency);
        let mut sorted: Vec<Nanos> = self.recent_latencies.iter().copied().collect();
        sorted.sort_unstable();
        let usual = sorted[sorted.len() / 4] as f64;
        if latency as f64 <= WARM_LATENCY_MULTIPLE * usual && latency <= self.settings.silence_timeout {
            self.end_assumed_warm_up(replica);
        }
    }

    fn end_assumed_warm_up(&mut self, replica: ReplicaId) {
        let member = self.node_ids.get(&replica).and_then(|id| self.nodes.get_mut(id));
        if let Some(m) = member.filter(|m| m.assumed_start.is_some()) {
            m.assumed_start = None;
            self.warmed_up.push(replica);
        }
    }

    /// Whether discovery has told anything since this was last asked. Trials and failures change the list too; they are
    /// no sign that discovery is there.
    pub fn take_discovery_answered(&mut self) -> bool {
        std::mem::take(&mut self.discovery_answered)
    }

    /// Nodes that count as cold no longer, whatever they were told to be.
    pub fn take_warmed_up(&mut self) -> Vec<ReplicaId> {
        std::mem::take(&mut self.warmed_up)
    }

    /// Counts a failure against a node that nobody confirmed lately.
    fn record_failure(&mut self, replica: ReplicaId, now: Nanos) {
        let Some(id) = self.node_ids.get(&replica) else { return };
        let trust = self.trust(self.nodes.get(id).and_then(|m| self.last_confirmation(m, id)), now);
        let Some(m) = self.nodes.get_mut(id) else { return };
        m.failures += 1;
        if staleness::failures_until_ejection(trust).is_some_and(|n| m.failures >= n)
            && m.admission == AdmissionState::Admitted
        {
            m.ejection_time = (m.ejection_time * 2).clamp(MIN_EJECTION, MAX_EJECTION);
            m.admission = AdmissionState::Ejected { until: now + m.ejection_time };
            self.dirty = true;
        }
    }

    // ---- trust ----

    /// Last word that a node is there: its own, discovery's of it, or discovery's of the list as a whole.
    fn last_confirmation(&self, m: &TrackedNode, id: &str) -> Option<Nanos> {
        let listed = self
            .view
            .view(id)
            .is_some_and(|v| v.versioned.source_version.priority == SourcePriority::Directory);
        m.confirmed.max(self.last_confirmed.filter(|_| listed))
    }

    fn trust(&self, confirmed: Option<Nanos>, now: Nanos) -> f64 {
        let age = confirmed.map_or(self.settings.default_list_age, |t| now.saturating_sub(t));
        staleness::trust_at_age(age, self.change_rate.mean_interval(self.settings.mean_change_interval))
    }

    // ---- telling ----

    /// Ids whose address another node holds by better right: the later word, or the later start.
    fn displaced_nodes(&self) -> HashSet<String> {
        let mut by_addr: HashMap<SocketAddr, Vec<(SourceVersion, Nanos, &str)>> = HashMap::new();
        for id in self.view.ids() {
            let Some(v) = self.view.view(id).filter(|v| v.state == NodeState::Ready) else { continue };
            if let Some(addr) = v.versioned.record.addr {
                by_addr.entry(addr).or_default().push((
                    v.versioned.source_version,
                    v.versioned.record.started,
                    id,
                ));
            }
        }
        let mut out = HashSet::new();
        for claims in by_addr.values().filter(|c| c.len() > 1) {
            let best = claims.iter().map(|(source_version, started, _)| (*source_version, *started)).max();
            out.extend(
                claims.iter().filter(|(s, t, _)| Some((*s, *t)) < best).map(|(_, _, id)| (*id).to_owned()),
            );
        }
        out
    }

    /// Brings what the exchange is told of some nodes in line with what is believed, while all that are listed are
    /// as good as confirmed. False where it takes a look at all of them.
    fn reconcile_named(&mut self, ids: &[&str], now: Nanos) -> bool {
        for id in ids {
            let view = self.view.view(id);
            let Some((fact, state)) = view.map(|v| (v.versioned.record.clone(), v.state)) else {
                return false;
            };
            let callable = self.settings.kinds.is_empty() || self.settings.kinds.contains(&fact.kind);
            let known = self.nodes.get(*id).map(|m| m.addr);
            let addr = match (state, fact.addr) {
                (NodeState::Ready, Some(addr)) if callable => addr,
                (NodeState::Gone, _) => {
                    if let Some(addr) = known {
                        self.ready_by_addr.remove(&addr);
                    }
                    self.remove_node(id);
                    continue;
                }
                (NodeState::Terminating, Some(addr)) if known == Some(addr) => {
                    self.ready_by_addr.remove(&addr);
                    let line = self.replica_entry(id, &fact, addr, ReplicaState::Draining, now);
                    self.announce(id, &fact, line);
                    continue;
                }
                _ => return false,
            };
            let moved = known.is_some_and(|at| at != addr);
            if moved || self.ready_by_addr.get(&addr).is_some_and(|other| other != id) {
                return false;
            }
            self.ready_by_addr.insert(addr, (*id).to_owned());
            self.track_node((*id).to_owned(), addr).admission = AdmissionState::Admitted;
            let line = self.replica_entry(id, &fact, addr, ReplicaState::Active, now);
            self.announce(id, &fact, line);
        }
        true
    }

    /// Brings what the exchange is told in line with what is believed.
    fn reconcile_all(&mut self, now: Nanos) {
        self.dirty = false;
        let displaced = self.displaced_nodes();
        let mut views: Vec<(String, NodeRecord, NodeState)> = Vec::new();
        for id in self.view.ids() {
            if let Some(v) = self.view.view(id) {
                views.push((id.to_owned(), v.versioned.record.clone(), v.state));
            }
        }
        let forgotten: Vec<String> =
            self.nodes.keys().filter(|id| self.view.view(id).is_none()).cloned().collect();
        forgotten.iter().for_each(|id| self.remove_node(id));
        self.uncallable.retain(|id| views.iter().any(|(v, ..)| v == id));
        let mut ready: Vec<(u32, String, NodeRecord)> = Vec::new();
        for (id, fact, state) in views {
            let callable = self.settings.kinds.is_empty() || self.settings.kinds.contains(&fact.kind);
            let known = self.nodes.contains_key(&id);
            match (state, fact.addr) {
                (NodeState::Gone, _) | (_, None) => self.remove_node(&id),
                (NodeState::Terminating, Some(_)) if !known => {}
                (NodeState::Terminating, Some(addr)) => {
                    let line = self.replica_entry(&id, &fact, addr, ReplicaState::Draining, now);
                    self.announce(&id, &fact, line);
                }
                (NodeState::Ready, Some(_)) if !callable => {
                    if self.uncallable.insert(id.clone()) {
                        tracing::error!("node {id} speaks {:?}, which can't be called", fact.kind);
                    }
                    self.remove_node(&id);
                }
                (NodeState::Ready, Some(addr)) => {
                    if self.nodes.get(&id).is_some_and(|m| m.addr != addr) {
                        // Another place is another process: nothing that was learnt of the old one holds.
                        tracing::info!("node {id} is at {addr} now");
                        self.remove_node(&id);
                    }
                    self.track_node(id.clone(), addr);
                    if displaced.contains(&id) {
                        let line = self.replica_entry(&id, &fact, addr, ReplicaState::Draining, now);
                        self.announce(&id, &fact, line);
                    } else {
                        let mut hasher = crc32fast::Hasher::new_with_initial(self.settings.seed as u32);
                        hasher.update(id.as_bytes());
                        ready.push((hasher.finalize(), id, fact));
                    }
                }
            }
        }
        self.ready_by_addr = ready.iter().filter_map(|(_, id, f)| f.addr.map(|a| (a, id.clone()))).collect();
        self.all_confirmed = displaced.is_empty();
        ready.sort_unstable_by(|a, b| (a.0, &a.1).cmp(&(b.0, &b.1)));
        self.admit_ready(ready, now);
    }

    fn admit_ready(&mut self, ready: Vec<(u32, String, NodeRecord)>, now: Nanos) {
        let mut candidates = Vec::with_capacity(ready.len());
        for (_, id, fact) in &ready {
            let m = &self.nodes[id];
            let trust = self.trust(self.last_confirmation(m, id), now);
            let admission = match m.admission {
                // It answered, or was let in before: it stays until it fails.
                _ if trust >= staleness::CONFIRMED_TRUST => Admission::Confirmed,
                AdmissionState::Admitted => Admission::Admitted,
                AdmissionState::Ejected { until } if until > now => Admission::Failed,
                AdmissionState::Waiting | AdmissionState::Ejected { .. } => Admission::Waiting,
            };
            candidates.push(Candidate { cell: fact.cell, trust, admission });
        }
        let unsure = candidates.iter().any(|c| c.admission != Admission::Confirmed);
        self.all_confirmed &= !unsure;
        if unsure {
            self.probation_start.get_or_insert(now);
        }
        let steps = self.probation_start.map_or(0, |t| now.saturating_sub(t) / PROBATION_STEP) as usize;
        let chosen = probation::admit(self.settings.layout, &candidates, steps);
        let mut due: Option<Nanos> = None;
        for (((_, id, fact), c), yes) in ready.iter().zip(&candidates).zip(chosen) {
            let cold_time = self.settings.warm_up;
            let Some(m) = self.nodes.get_mut(id) else { continue };
            let next = match (m.admission, c.admission) {
                (AdmissionState::Ejected { until }, Admission::Failed) => Some(until),
                (_, Admission::Waiting) if !yes => {
                    self.probation_start.map(|t| t + (steps as Nanos + 1) * PROBATION_STEP)
                }
                _ => None,
            };
            due = due.into_iter().chain(next).min();
            if yes && c.admission != Admission::Failed {
                if c.admission == Admission::Waiting {
                    m.failures = 0;
                    m.assumed_start = staleness::assumed_start(c.trust, now, cold_time);
                }
                m.admission = AdmissionState::Admitted;
            }
            let addr = m.addr;
            let state = if yes { ReplicaState::Active } else { ReplicaState::Draining };
            // Who never got work need not be told of as one that gets none.
            if yes || self.nodes[id].announced.is_some() {
                let line = self.replica_entry(id, fact, addr, state, now);
                self.announce(id, fact, line);
            }
        }
        self.next_deadline = due;
    }

    fn replica_entry(
        &mut self,
        id: &str,
        fact: &NodeRecord,
        addr: SocketAddr,
        state: ReplicaState,
        now: Nanos,
    ) -> ReplicaEntry {
        let zone = self.settings.zones.get(&fact.zone).copied().unwrap_or(u32::MAX);
        let m = self.track_node(id.to_owned(), addr);
        // Guards against starts in the future: such a node would be cold for as long as its clock is wrong.
        let told = (fact.started > 0).then(|| fact.started.min(now));
        // What was said of a start in the future is not renewed each time.
        let before = m.announced.as_ref().and_then(|t| t.started).filter(|_| fact.started > now);
        let started = before.or(told).max(m.assumed_start);
        ReplicaEntry { replica: m.replica, zone, cell: fact.cell, state, started, weight: 1.0 }
    }

    fn announce(&mut self, id: &str, fact: &NodeRecord, line: ReplicaEntry) {
        let Some(m) = self.nodes.get_mut(id) else { return };
        if m.announced.as_ref() == Some(&line) {
            return;
        }
        tracing::debug!(
            "server {} is node {id} of cell {} in zone {}: {:?}, started at {:?} ns",
            line.replica.0,
            line.cell,
            line.zone,
            line.state,
            line.started
        );
        m.announced = Some(line.clone());
        let addr = Some(m.addr);
        self.changes.push(NodeChange { entry: line, id: id.to_owned(), addr, kind: fact.kind.clone() });
    }

    fn remove_node(&mut self, id: &str) {
        let Some(m) = self.nodes.remove(id) else { return };
        self.node_ids.remove(&m.replica);
        if let Some(told) = m.announced {
            let listed = ReplicaEntry { state: ReplicaState::Removed, ..told };
            self.changes.push(NodeChange {
                entry: listed,
                id: id.to_owned(),
                addr: None,
                kind: String::new(),
            });
        }
    }

    /// What the exchange is to be told: nothing, or lines, of which there may be none where discovery answered and
    /// nothing changed.
    pub fn take_changes(&mut self) -> Option<Vec<NodeChange>> {
        let answered = std::mem::take(&mut self.unreported_update);
        (answered || !self.changes.is_empty()).then(|| std::mem::take(&mut self.changes))
    }

    /// Whether any source has named this node, as far back as is remembered.
    pub fn knows(&self, id: &str) -> bool {
        self.view.view(id).is_some()
    }

    /// What discovery last said of a node's process: its state, its start and the list's version that told so.
    pub fn discovery_state(&self, id: &str) -> Option<(NodeState, Nanos, u64)> {
        let view = self
            .view
            .view(id)
            .filter(|v| v.versioned.source_version.priority == SourcePriority::Directory)?;
        let version = if view.state == view.versioned.record.state {
            view.versioned.source_version.version
        } else {
            self.version
        };
        Some((view.state, view.versioned.record.started, version))
    }

    /// Nodes that are in the list, those that drain among them.
    pub fn listed_count(&self) -> usize {
        let there = |id: &&str| self.view.view(id).is_some_and(|v| v.state != NodeState::Gone);
        self.view.ids().filter(there).count()
    }

    /// Lets time go by.
    pub fn tick(&mut self, now: Nanos) {
        if self.next_deadline.is_some_and(|t| t <= now) || self.dirty {
            self.reconcile_all(now);
        }
    }

    /// When `tick` is next worth calling.
    pub fn next_deadline(&self) -> Option<Nanos> {
        self.next_deadline
    }

    /// The version after which discovery is to tell changes.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// How often discovery was seen to start over.
    pub fn epoch(&self) -> u32 {
        self.epoch
    }

    /// Whether a node may still come in time: one that was not tried yet, or a list that nobody confirmed.
    pub fn may_gain_nodes(&self, now: Nanos) -> bool {
        self.last_confirmed.is_none_or(|t| self.trust(Some(t), now) < staleness::CONFIRMED_TRUST)
    }

    /// How each node is known.
    pub fn statuses(&self, now: Nanos) -> Vec<NodeStatus> {
        let note = |id: &str| {
            let view = self.view.view(id)?;
            let confirmed = match self.nodes.get(id) {
                Some(m) => self.last_confirmation(m, id),
                None => self.last_confirmed,
            };
            let trust = if view.state == NodeState::Ready { self.trust(confirmed, now) } else { 0.0 };
            let (fact, state, learnt) = (view.versioned.record.clone(), view.state, view.learned);
            Some(NodeStatus { record: fact, state, learned: learnt, confirmed, trust })
        };
        self.view.ids().filter_map(note).collect()
    }

    // ---- keeping ----

    /// The list as it is to be kept, once something is to be told that the last one did not, or it is time to tell
    /// that it still holds. Never sooner than half a second after the one before.
    pub fn take_snapshot(&mut self, now: Nanos) -> Option<Snapshot> {
        if self.snapshot_due().is_none_or(|t| t > now) {
            return None;
        }
        (self.unsaved, self.last_snapshot) = (false, Some(now));
        Some(self.snapshot(now))
    }

    /// The list as it is to be kept at the end of the process, if there is news since the last one.
    pub fn final_snapshot(&self, now: Nanos) -> Option<Snapshot> {
        self.unsaved.then(|| self.snapshot(now))
    }

    /// When a list is next to be kept.
    pub fn snapshot_due(&self) -> Option<Nanos> {
        // A list that nobody confirmed in this process's time says nothing that is not on disk already.
        self.watched_since.filter(|_| !self.unsaved).or(self.unsaved.then_some(0))?;
        let wait = if self.unsaved { MIN_SNAPSHOT_INTERVAL } else { SNAPSHOT_REFRESH_INTERVAL };
        Some(self.last_snapshot.map_or(0, |t| t + wait))
    }

    /// The list as it would be kept now.
    pub fn snapshot(&self, now: Nanos) -> Snapshot {
        let nodes = self.view.directory_records().map(|k| SnapshotNode {
            confirmed: self.nodes.get(&k.record.id).and_then(|m| m.confirmed),
            record: k.record.clone(),
            epoch: k.source_version.epoch,
            version: k.source_version.version,
            received: k.received,
            after_reset: k.after_reset,
        });
        Snapshot {
            written: now,
            last_confirmed: self.last_confirmed,
            full_list: self.view.full_list(SourcePriority::Directory).map(|(s, t)| (s.epoch, s.version, t)),
            pruned_up_to: self.view.pruned_up_to().map(|s| (s.epoch, s.version)),
            rate: self.change_rate,
            nodes: nodes.collect(),
        }
    }
}
