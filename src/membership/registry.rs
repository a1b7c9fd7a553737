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
const STEP: Nanos = 250_000_000;
/// First and longest time for which an unconfirmed node that failed stays out.
const OUT: (Nanos, Nanos) = (1_000_000_000, 30_000_000_000);
/// Shortest time between two writes of the list, and between two that only tell that it still holds.
const WRITE: (Nanos, Nanos) = (500_000_000, 30_000_000_000);
/// Answers that show the usual time, and the multiple of its lower quarter up to which a node counts as warm. Parts
/// differ in work by less than that; a node just started is slower by more.
const PACE: (usize, f64) = (32, 2.5);
/// Most nodes that are told about one by one in the log, in one report.
const TOLD_SINGLY: usize = 8;

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
type Place = (Option<SocketAddr>, u32, Nanos);

/// How one node stands, for those who ask.
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
enum Trial {
    /// It was not let in yet.
    Waits,
    /// It gets work.
    Let,
    /// It failed, and stays out until then.
    Failed { until: Nanos },
}

#[derive(Debug)]
struct Member {
    replica: ReplicaId,
    addr: SocketAddr,
    /// Last word that it is there: discovery's or its own good answer.
    confirmed: Option<Nanos>,
    trial: Trial,
    failures: u32,
    /// For how long it stayed out after its last failure.
    out: Nanos,
    /// The start it is taken to have had while it is unconfirmed.
    assumed: Option<Nanos>,
    /// It has given a good answer.
    answered: bool,
    told: Option<ReplicaEntry>,
    /// Since when its connections fail.
    down: Option<Nanos>,
}

/// Membership: what is believed of all nodes, and what the exchange has been told of them.
#[derive(Debug)]
pub struct Registry {
    settings: RegistrySettings,
    belief: MergedView,
    members: BTreeMap<String, Member>,
    by_replica: HashMap<ReplicaId, String>,
    next: u32,
    /// The directory's count and version.
    epoch: u32,
    version: u64,
    /// When the directory's list as a whole was last known to hold.
    synced: Option<Nanos>,
    /// Since when the watch has been standing, as far as the rate of change goes.
    watched: Option<Nanos>,
    rate: ChangeRate,
    operator_version: u64,
    /// When the first unconfirmed node was believed.
    began: Option<Nanos>,
    changes: Vec<NodeChange>,
    /// Nodes that proved as fast as warm ones.
    warm: Vec<ReplicaId>,
    /// Times of the last good answers, of all nodes, while some count as cold for want of trust.
    pace: VecDeque<Nanos>,
    /// A directory's report has come that the exchange has not been told of.
    answered: bool,
    heard: bool,
    dirty: bool,
    /// Nobody is unconfirmed, and no address is claimed twice: each node can be settled on its own.
    calm: bool,
    /// Who has which address, of those that are ready.
    by_addr: HashMap<SocketAddr, String>,
    /// Nodes of kinds that can't be called, so that each is told of once.
    foreign: BTreeSet<String>,
    due: Option<Nanos>,
    /// What a write is for: news, and whether a drain is among it.
    unwritten: bool,
    written: Option<Nanos>,
}

impl Registry {
    /// A roster that knows nothing yet.
    pub fn new(settings: RegistrySettings) -> Registry {
        Registry {
            settings,
            belief: MergedView::default(),
            members: BTreeMap::new(),
            by_replica: HashMap::new(),
            next: 0,
            epoch: 0,
            version: 0,
            synced: None,
            watched: None,
            rate: ChangeRate::NONE,
            operator_version: 0,
            began: None,
            changes: Vec::new(),
            warm: Vec::new(),
            pace: VecDeque::new(),
            answered: false,
            heard: false,
            dirty: false,
            calm: false,
            by_addr: HashMap::new(),
            foreign: BTreeSet::new(),
            due: None,
            unwritten: false,
            written: None,
        }
    }

    // ---- sources ----

    /// What was kept on disk, every generation of it. Comes before all other sources.
    pub fn restore(&mut self, generations: &[Snapshot], now: Nanos) {
        for kept in generations {
            kept.merge_into(&mut self.belief);
            let stamps = kept.nodes.iter().map(|n| (n.epoch, n.version));
            let last = stamps.chain(kept.full_list.map(|(e, v, _)| (e, v))).max().unwrap_or((0, 0));
            if last >= (self.epoch, self.version) {
                (self.epoch, self.version) = last;
                self.rate = kept.rate;
            }
            self.synced = self.synced.max(kept.synced.map(|t| self.believable(t, now)));
        }
        for n in generations.iter().flat_map(|k| &k.nodes) {
            if let Some(at) = n.confirmed.map(|t| self.believable(t, now)) {
                self.confirm_from(&n.record.id, at);
            }
        }
        self.settle(now);
        if !generations.is_empty() {
            tracing::info!(
                "kept list: {} nodes, {} s old, trusted at {:.2}",
                self.members.len(),
                self.synced.map_or(0, |t| now.saturating_sub(t)) / 1_000_000_000,
                self.synced.map_or(0.0, |t| self.trust(Some(t), now))
            );
        }
    }

    /// A time that was kept: one that lies ahead says only that a clock was wrong, and counts as the age presumed.
    fn believable(&self, at: Nanos, now: Nanos) -> Nanos {
        if at <= now { at } else { now.saturating_sub(self.settings.default_list_age) }
    }

    fn confirm_from(&mut self, id: &str, at: Nanos) {
        let Some(view) = self.belief.view(id).filter(|v| v.state != NodeState::Gone) else { return };
        let Some(addr) = view.versioned.record.addr else { return };
        let m = self.member(id.to_owned(), addr);
        m.confirmed = m.confirmed.max(Some(at));
    }

    fn member(&mut self, id: String, addr: SocketAddr) -> &mut Member {
        let (next, by_replica) = (&mut self.next, &mut self.by_replica);
        self.members.entry(id).or_insert_with_key(|id| {
            let replica = ReplicaId(*next);
            *next += 1;
            by_replica.insert(replica, id.clone());
            Member {
                replica,
                addr,
                confirmed: None,
                trial: Trial::Waits,
                failures: 0,
                out: 0,
                assumed: None,
                answered: false,
                told: None,
                down: None,
            }
        })
    }

    /// The list that the configuration carries: as this broker last had it, in discovery's form.
    pub fn add_configured(&mut self, list: &EndpointList, now: Nanos) {
        // After a discovery counted anew there is no telling whether this list is older: it must not undo anything.
        let stamp = SourceVersion { priority: SourcePriority::Directory, epoch: 0, version: list.version };
        let as_of = list.as_of_ms.map(|ms| self.believable(ms.saturating_mul(1_000_000), now));
        let as_of = as_of.unwrap_or_else(|| now.saturating_sub(self.settings.default_list_age));
        if self.epoch == 0 && list.version >= self.version {
            self.version = list.version;
            if list.full {
                self.synced = self.synced.max(Some(as_of));
            }
        }
        self.take(stamp, list, false, now);
        self.settle(now);
    }

    /// The nodes of an operator's file: all there are, as of now.
    pub fn set_operator_nodes(&mut self, nodes: Vec<NodeRecord>, now: Nanos) {
        self.operator_version += 1;
        let stamp =
            SourceVersion { priority: SourcePriority::Operator, epoch: 0, version: self.operator_version };
        let ids: Vec<String> = nodes.iter().map(|n| n.id.clone()).collect();
        self.belief.apply_report(stamp, (true, false), nodes, now);
        for id in ids {
            self.confirm_from(&id, now);
        }
        self.settle(now);
    }

    /// What discovery tells; `first`: as the first thing on a new watch, which tells all that changed since the
    /// version that was asked for, or else the whole list. Tells whether it was believed.
    pub fn on_discovery_update(&mut self, list: &EndpointList, first: bool, now: Nanos) -> bool {
        (self.answered, self.heard) = (true, true);
        self.dirty = true;
        let anew = list.version < self.version;
        if anew {
            if !(first && list.full) {
                tracing::warn!(
                    "news of version {} is older than {}; it is left alone",
                    list.version,
                    self.version
                );
                self.settle(now);
                return false;
            }
            // Only a discovery that restarted tells a whole list from before what it told already.
            tracing::warn!("discovery counts anew: version {} after {}", list.version, self.version);
            self.epoch += 1;
        }
        let touched: Option<Vec<&str>> =
            (!list.full && !anew).then(|| list.servers.iter().map(|s| s.id.as_str()).collect());
        let (before, all) = self.believed(touched.as_deref());
        self.version = list.version;
        let stamp =
            SourceVersion { priority: SourcePriority::Directory, epoch: self.epoch, version: list.version };
        self.take(stamp, list, anew, now);
        if list.full || first {
            // All that was not named holds as it did.
            self.synced = Some(now);
        }
        self.learn(&before, all, now);
        for s in &list.servers {
            self.confirm_from(&s.id, now);
        }
        if list.full || first {
            // Discovery knows when each started: nothing need be assumed.
            let assumed = self.members.values().filter(|m| m.assumed.is_some()).map(|m| m.replica);
            assumed.collect::<Vec<_>>().into_iter().for_each(|r| self.lift(r));
        }
        self.on_heartbeat(now);
        self.unwritten = true;
        // The list as a whole was just confirmed: only what was named can have changed, if nothing else is open.
        match touched {
            Some(touched) if self.calm && self.settle_some(&touched, now) => self.dirty = false,
            _ => self.settle(now),
        }
        true
    }

    fn take(&mut self, stamp: SourceVersion, list: &EndpointList, anew: bool, now: Nanos) {
        let mut unusable = 0;
        for s in list
            .servers
            .iter()
            .filter(|s| s.state != NodeState::Gone && s.addr.parse::<SocketAddr>().is_err())
        {
            unusable += 1;
            if unusable <= TOLD_SINGLY {
                tracing::error!("discovery names no usable address for {}: {:?}", s.id, s.addr);
            }
        }
        self.belief.apply_report(stamp, (list.full, anew), list.servers.iter().map(|s| s.record()), now);
        tracing::info!(
            "list version {}: {} {}",
            list.version,
            list.servers.len(),
            if list.full { "servers" } else { "changes" }
        );
    }

    /// What a change is told from: of the named nodes, or all, those that are ready with their place; and how many
    /// are watched in all.
    fn believed(&self, named: Option<&[&str]>) -> (HashMap<String, Place>, usize) {
        let place = |id: &str| {
            let view = self.belief.view(id).filter(|v| v.state == NodeState::Ready)?;
            let f = &view.versioned.record;
            Some((id.to_owned(), (f.addr, f.cell, f.started)))
        };
        match named {
            Some(named) => (named.iter().copied().filter_map(place).collect(), self.members.len()),
            None => {
                let all: HashMap<String, Place> = self.belief.ids().filter_map(place).collect();
                let n = all.len();
                (all, n)
            }
        }
    }

    /// Counts the nodes, of `watched` in all, that changed since the watch last told anything.
    fn learn(&mut self, before: &HashMap<String, Place>, watched: usize, now: Nanos) {
        let Some(since) = self.watched.replace(now) else { return };
        // A start that is no longer told was long ago: that is no change.
        let same = |a: &Place, b: &Place| (a.0, a.1) == (b.0, b.1) && (a.2 == b.2 || b.2 == 0);
        let holds = |id: &str, was: &Place| {
            let view = self.belief.view(id).filter(|v| v.state == NodeState::Ready);
            view.is_some_and(|v| {
                same(was, &(v.versioned.record.addr, v.versioned.record.cell, v.versioned.record.started))
            })
        };
        let changed = before.iter().filter(|(id, was)| !holds(id, was)).count();
        self.rate.observe(watched, now.saturating_sub(since), changed, self.settings.mean_change_interval);
    }

    /// The watch stands and has nothing to tell: the list holds as it is.
    pub fn on_heartbeat(&mut self, now: Nanos) {
        if self.synced.is_some() && self.watched.is_some() {
            self.synced = Some(now);
        }
        self.watched = self.watched.or(Some(now));
    }

    /// The watch broke, or a call failed.
    pub fn watch_lost(&mut self) {
        self.watched = None;
    }

    // ---- outcomes ----

    /// How an attempt at a node ended, `latency` after it was sent. What follows from it comes with the next `tick`, so
    /// that many at once cost no more than one.
    pub fn on_attempt_end(&mut self, replica: ReplicaId, outcome: Outcome, latency: Nanos, now: Nanos) {
        let Some(id) = self.by_replica.get(&replica) else { return };
        let Some(m) = self.members.get_mut(id) else { return };
        match outcome {
            Outcome::Ok => {
                if let Some(since) = m.down.take() {
                    let s = now.saturating_sub(since) as f64 / 1e9;
                    tracing::info!("node {id} at {} is back after {s:.1} s", m.addr);
                }
                (m.failures, m.out, m.answered) = (0, 0, true);
                m.confirmed = Some(now);
                self.dirty |= std::mem::replace(&mut m.trial, Trial::Let) != Trial::Let;
                if m.assumed.is_some() {
                    self.judge_warmth(replica, latency);
                }
            }
            Outcome::ConnectFailed => {
                if m.down.is_none() {
                    m.down = Some(now);
                    tracing::warn!("node {id} at {} is down: no connection comes up", m.addr);
                }
                self.failed(replica, now);
            }
            Outcome::TimedOut => self.failed(replica, now),
            // Given up for another's answer, with nothing heard for too long.
            Outcome::Cancelled if latency >= self.settings.silence_timeout => self.failed(replica, now),
            // It may be another program by now; one that has answered is only in trouble. One that turns parts away is
            // there: it may just be full.
            Outcome::Error | Outcome::InvalidResponse | Outcome::ConnectionReset if !m.answered => {
                self.failed(replica, now)
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
    fn judge_warmth(&mut self, replica: ReplicaId, latency: Nanos) {
        if self.pace.len() >= PACE.0 {
            self.pace.pop_front();
        }
        self.pace.push_back(latency);
        let mut sorted: Vec<Nanos> = self.pace.iter().copied().collect();
        sorted.sort_unstable();
        let usual = sorted[sorted.len() / 4] as f64;
        if latency as f64 <= PACE.1 * usual && latency <= self.settings.silence_timeout {
            self.lift(replica);
        }
    }

    fn lift(&mut self, replica: ReplicaId) {
        let member = self.by_replica.get(&replica).and_then(|id| self.members.get_mut(id));
        if let Some(m) = member.filter(|m| m.assumed.is_some()) {
            m.assumed = None;
            self.warm.push(replica);
        }
    }

    /// Whether discovery has told anything since this was last asked. Trials and failures change the list too; they are
    /// no sign that discovery is there.
    pub fn take_discovery_answered(&mut self) -> bool {
        std::mem::take(&mut self.heard)
    }

    /// Nodes that count as cold no longer, whatever they were told to be.
    pub fn take_warmed_up(&mut self) -> Vec<ReplicaId> {
        std::mem::take(&mut self.warm)
    }

    /// Counts a failure against a node that nobody confirmed lately.
    fn failed(&mut self, replica: ReplicaId, now: Nanos) {
        let Some(id) = self.by_replica.get(&replica) else { return };
        let trust = self.trust(self.members.get(id).and_then(|m| self.confirmed(m, id)), now);
        let Some(m) = self.members.get_mut(id) else { return };
        m.failures += 1;
        if staleness::failures_until_ejection(trust).is_some_and(|n| m.failures >= n) && m.trial == Trial::Let
        {
            m.out = (m.out * 2).clamp(OUT.0, OUT.1);
            m.trial = Trial::Failed { until: now + m.out };
            self.dirty = true;
        }
    }

    // ---- trust ----

    /// Last word that a node is there: its own, discovery's of it, or discovery's of the list as a whole.
    fn confirmed(&self, m: &Member, id: &str) -> Option<Nanos> {
        let listed =
            self.belief.view(id).is_some_and(|v| v.versioned.version.priority == SourcePriority::Directory);
        m.confirmed.max(self.synced.filter(|_| listed))
    }

    fn trust(&self, confirmed: Option<Nanos>, now: Nanos) -> f64 {
        let age = confirmed.map_or(self.settings.default_list_age, |t| now.saturating_sub(t));
        staleness::trust_at_age(age, self.rate.mean_interval(self.settings.mean_change_interval))
    }

    // ---- telling ----

    /// Ids whose address another node holds by better right: the later word, or the later start.
    fn usurped(&self) -> HashSet<String> {
        let mut by_addr: HashMap<SocketAddr, Vec<(SourceVersion, Nanos, &str)>> = HashMap::new();
        for id in self.belief.ids() {
            let Some(v) = self.belief.view(id).filter(|v| v.state == NodeState::Ready) else { continue };
            if let Some(addr) = v.versioned.record.addr {
                by_addr.entry(addr).or_default().push((v.versioned.version, v.versioned.record.started, id));
            }
        }
        let mut out = HashSet::new();
        for claims in by_addr.values().filter(|c| c.len() > 1) {
            let best = claims.iter().map(|(stamp, started, _)| (*stamp, *started)).max();
            out.extend(
                claims.iter().filter(|(s, t, _)| Some((*s, *t)) < best).map(|(_, _, id)| (*id).to_owned()),
            );
        }
        out
    }

    /// Brings what the exchange is told of some nodes in line with what is believed, while all that are listed are
    /// as good as confirmed. False where it takes a look at all of them.
    fn settle_some(&mut self, ids: &[&str], now: Nanos) -> bool {
        for id in ids {
            let view = self.belief.view(id);
            let Some((fact, state)) = view.map(|v| (v.versioned.record.clone(), v.state)) else {
                return false;
            };
            let callable = self.settings.kinds.is_empty() || self.settings.kinds.contains(&fact.kind);
            let known = self.members.get(*id).map(|m| m.addr);
            let addr = match (state, fact.addr) {
                (NodeState::Ready, Some(addr)) if callable => addr,
                (NodeState::Gone, _) => {
                    if let Some(addr) = known {
                        self.by_addr.remove(&addr);
                    }
                    self.drop_member(id);
                    continue;
                }
                (NodeState::Terminating, Some(addr)) if known == Some(addr) => {
                    self.by_addr.remove(&addr);
                    let line = self.line(id, &fact, addr, ReplicaState::Draining, now);
                    self.tell(id, &fact, line);
                    continue;
                }
                _ => return false,
            };
            let moved = known.is_some_and(|at| at != addr);
            if moved || self.by_addr.get(&addr).is_some_and(|other| other != id) {
                return false;
            }
            self.by_addr.insert(addr, (*id).to_owned());
            self.member((*id).to_owned(), addr).trial = Trial::Let;
            let line = self.line(id, &fact, addr, ReplicaState::Active, now);
            self.tell(id, &fact, line);
        }
        true
    }

    /// Brings what the exchange is told in line with what is believed.
    fn settle(&mut self, now: Nanos) {
        self.dirty = false;
        let usurped = self.usurped();
        let mut views: Vec<(String, NodeRecord, NodeState)> = Vec::new();
        for id in self.belief.ids() {
            if let Some(v) = self.belief.view(id) {
                views.push((id.to_owned(), v.versioned.record.clone(), v.state));
            }
        }
        let forgotten: Vec<String> =
            self.members.keys().filter(|id| self.belief.view(id).is_none()).cloned().collect();
        forgotten.iter().for_each(|id| self.drop_member(id));
        self.foreign.retain(|id| views.iter().any(|(v, ..)| v == id));
        let mut ready: Vec<(u32, String, NodeRecord)> = Vec::new();
        for (id, fact, state) in views {
            let callable = self.settings.kinds.is_empty() || self.settings.kinds.contains(&fact.kind);
            let known = self.members.contains_key(&id);
            match (state, fact.addr) {
                (NodeState::Gone, _) | (_, None) => self.drop_member(&id),
                (NodeState::Terminating, Some(_)) if !known => {}
                (NodeState::Terminating, Some(addr)) => {
                    let line = self.line(&id, &fact, addr, ReplicaState::Draining, now);
                    self.tell(&id, &fact, line);
                }
                (NodeState::Ready, Some(_)) if !callable => {
                    if self.foreign.insert(id.clone()) {
                        tracing::error!("node {id} speaks {:?}, which can't be called", fact.kind);
                    }
                    self.drop_member(&id);
                }
                (NodeState::Ready, Some(addr)) => {
                    if self.members.get(&id).is_some_and(|m| m.addr != addr) {
                        // Another place is another process: nothing that was learnt of the old one holds.
                        tracing::info!("node {id} is at {addr} now");
                        self.drop_member(&id);
                    }
                    self.member(id.clone(), addr);
                    if usurped.contains(&id) {
                        let line = self.line(&id, &fact, addr, ReplicaState::Draining, now);
                        self.tell(&id, &fact, line);
                    } else {
                        let mut hasher = crc32fast::Hasher::new_with_initial(self.settings.seed as u32);
                        hasher.update(id.as_bytes());
                        ready.push((hasher.finalize(), id, fact));
                    }
                }
            }
        }
        self.by_addr = ready.iter().filter_map(|(_, id, f)| f.addr.map(|a| (a, id.clone()))).collect();
        self.calm = usurped.is_empty();
        ready.sort_unstable_by(|a, b| (a.0, &a.1).cmp(&(b.0, &b.1)));
        self.let_in(ready, now);
    }

    fn let_in(&mut self, ready: Vec<(u32, String, NodeRecord)>, now: Nanos) {
        let mut candidates = Vec::with_capacity(ready.len());
        for (_, id, fact) in &ready {
            let m = &self.members[id];
            let trust = self.trust(self.confirmed(m, id), now);
            let stands = match m.trial {
                // It answered, or was let in before: it stays until it fails.
                _ if trust >= staleness::CONFIRMED_TRUST => Admission::Confirmed,
                Trial::Let => Admission::Admitted,
                Trial::Failed { until } if until > now => Admission::Failed,
                Trial::Waits | Trial::Failed { .. } => Admission::Waiting,
            };
            candidates.push(Candidate { cell: fact.cell, trust, admission: stands });
        }
        let unsure = candidates.iter().any(|c| c.admission != Admission::Confirmed);
        self.calm &= !unsure;
        if unsure {
            self.began.get_or_insert(now);
        }
        let steps = self.began.map_or(0, |t| now.saturating_sub(t) / STEP) as usize;
        let chosen = probation::admit(self.settings.layout, &candidates, steps);
        let mut due: Option<Nanos> = None;
        for (((_, id, fact), c), yes) in ready.iter().zip(&candidates).zip(chosen) {
            let cold_time = self.settings.warm_up;
            let Some(m) = self.members.get_mut(id) else { continue };
            let next = match (m.trial, c.admission) {
                (Trial::Failed { until }, Admission::Failed) => Some(until),
                (_, Admission::Waiting) if !yes => self.began.map(|t| t + (steps as Nanos + 1) * STEP),
                _ => None,
            };
            due = due.into_iter().chain(next).min();
            if yes && c.admission != Admission::Failed {
                if c.admission == Admission::Waiting {
                    m.failures = 0;
                    m.assumed = staleness::assumed_start(c.trust, now, cold_time);
                }
                m.trial = Trial::Let;
            }
            let addr = m.addr;
            let standing = if yes { ReplicaState::Active } else { ReplicaState::Draining };
            // Who never got work need not be told of as one that gets none.
            if yes || self.members[id].told.is_some() {
                let line = self.line(id, fact, addr, standing, now);
                self.tell(id, fact, line);
            }
        }
        self.due = due;
    }

    fn line(
        &mut self,
        id: &str,
        fact: &NodeRecord,
        addr: SocketAddr,
        standing: ReplicaState,
        now: Nanos,
    ) -> ReplicaEntry {
        let zone = self.settings.zones.get(&fact.zone).copied().unwrap_or(u32::MAX);
        let m = self.member(id.to_owned(), addr);
        // Guards against starts in the future: such a node would be cold for as long as its clock is wrong.
        let told = (fact.started > 0).then(|| fact.started.min(now));
        // What was said of a start in the future is not said anew each time.
        let before = m.told.as_ref().and_then(|t| t.started).filter(|_| fact.started > now);
        let started = before.or(told).max(m.assumed);
        ReplicaEntry { replica: m.replica, zone, cell: fact.cell, state: standing, started, weight: 1.0 }
    }

    fn tell(&mut self, id: &str, fact: &NodeRecord, line: ReplicaEntry) {
        let Some(m) = self.members.get_mut(id) else { return };
        if m.told.as_ref() == Some(&line) {
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
        m.told = Some(line.clone());
        let addr = Some(m.addr);
        self.changes.push(NodeChange { entry: line, id: id.to_owned(), addr, kind: fact.kind.clone() });
    }

    fn drop_member(&mut self, id: &str) {
        let Some(m) = self.members.remove(id) else { return };
        self.by_replica.remove(&m.replica);
        if let Some(told) = m.told {
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
        let answered = std::mem::take(&mut self.answered);
        (answered || !self.changes.is_empty()).then(|| std::mem::take(&mut self.changes))
    }

    /// Whether any source has named this node, as far back as is remembered.
    pub fn knows(&self, id: &str) -> bool {
        self.belief.view(id).is_some()
    }

    /// What discovery last said of a node's process: its state, its start and the list's version that told so.
    pub fn discovery_state(&self, id: &str) -> Option<(NodeState, Nanos, u64)> {
        let view =
            self.belief.view(id).filter(|v| v.versioned.version.priority == SourcePriority::Directory)?;
        let version = if view.state == view.versioned.record.state {
            view.versioned.version.version
        } else {
            self.version
        };
        Some((view.state, view.versioned.record.started, version))
    }

    /// Nodes that are in the list, those that drain among them.
    pub fn listed_count(&self) -> usize {
        let there = |id: &&str| self.belief.view(id).is_some_and(|v| v.state != NodeState::Gone);
        self.belief.ids().filter(there).count()
    }

    /// Lets time go by.
    pub fn tick(&mut self, now: Nanos) {
        if self.due.is_some_and(|t| t <= now) || self.dirty {
            self.settle(now);
        }
    }

    /// When `tick` is next worth calling.
    pub fn next_deadline(&self) -> Option<Nanos> {
        self.due
    }

    /// The version after which discovery is to tell changes.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// How often discovery was seen to count anew.
    pub fn epoch(&self) -> u32 {
        self.epoch
    }

    /// Whether a node may still come in time: one that was not tried yet, or a list that nobody confirmed.
    pub fn may_gain_nodes(&self, now: Nanos) -> bool {
        self.synced.is_none_or(|t| self.trust(Some(t), now) < staleness::CONFIRMED_TRUST)
    }

    /// How each node stands.
    pub fn statuses(&self, now: Nanos) -> Vec<NodeStatus> {
        let note = |id: &str| {
            let view = self.belief.view(id)?;
            let confirmed = match self.members.get(id) {
                Some(m) => self.confirmed(m, id),
                None => self.synced,
            };
            let trust = if view.state == NodeState::Ready { self.trust(confirmed, now) } else { 0.0 };
            let (fact, state, learnt) = (view.versioned.record.clone(), view.state, view.learned);
            Some(NodeStatus { record: fact, state, learned: learnt, confirmed, trust })
        };
        self.belief.ids().filter_map(note).collect()
    }

    // ---- keeping ----

    /// The list as it is to be kept, once something is to be told that the last one did not, or it is time to tell
    /// that it still holds. Never sooner than half a second after the one before.
    pub fn take_snapshot(&mut self, now: Nanos) -> Option<Snapshot> {
        if self.snapshot_due().is_none_or(|t| t > now) {
            return None;
        }
        (self.unwritten, self.written) = (false, Some(now));
        Some(self.snapshot(now))
    }

    /// The list as it is to be kept at the end of the process, if there is news since the last one.
    pub fn final_snapshot(&self, now: Nanos) -> Option<Snapshot> {
        self.unwritten.then(|| self.snapshot(now))
    }

    /// When a list is next to be kept.
    pub fn snapshot_due(&self) -> Option<Nanos> {
        // A list that nobody confirmed in this process's time says nothing that is not on disk already.
        self.watched.filter(|_| !self.unwritten).or(self.unwritten.then_some(0))?;
        let wait = if self.unwritten { WRITE.0 } else { WRITE.1 };
        Some(self.written.map_or(0, |t| t + wait))
    }

    /// The list as it would be kept now.
    pub fn snapshot(&self, now: Nanos) -> Snapshot {
        let nodes = self.belief.directory_records().map(|k| SnapshotNode {
            confirmed: self.members.get(&k.record.id).and_then(|m| m.confirmed),
            record: k.record.clone(),
            epoch: k.version.epoch,
            version: k.version.version,
            received: k.received,
            after_reset: k.after_reset,
        });
        Snapshot {
            written: now,
            synced: self.synced,
            full_list: self.belief.full_list(SourcePriority::Directory).map(|(s, t)| (s.epoch, s.version, t)),
            pruned_up_to: self.belief.pruned_up_to().map(|s| (s.epoch, s.version)),
            rate: self.rate,
            nodes: nodes.collect(),
        }
    }
}
