//! Brokers of a cluster in simulated time, with faults between them and invariants over all of them.
//!
//! The same seed gives the same run. Links lose, duplicate, delay and reorder datagrams, and are cut in one
//! direction or both; connections keep order and stall while their link is cut. Brokers are paused, killed
//! and started again, with their disk as it was, an old one, or none; their clocks are skewed. Brokers are
//! named by their number, from 0. Times are in nanoseconds.
#![deny(
    missing_docs,
    rust_2018_idioms,
    clippy::too_many_lines,
    clippy::type_complexity,
    clippy::cognitive_complexity
)]

mod events;
mod faults;
mod invariants;
mod network;

use pebbleturn::gossip::{GossipNode, codec};
use pebbleturn::replication::{CommandValue, Dot, Fact, FactKey, FactValue, OperatorCommand, StoreLimits};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};
use std::net::SocketAddr;

/// One millisecond, ns.
pub const MILLISECOND: u64 = 1_000_000;
/// One second, ns.
pub const SECOND: u64 = 1_000 * MILLISECOND;
/// When a simulation begins, ns since the Unix epoch.
const START_TIME: u64 = 1_700_000_000 * SECOND;
/// Time until a change is on disk, ns.
const DISK_WRITE_TIME: u64 = 5 * MILLISECOND;

/// The conditions of all links.
#[derive(Clone, Copy, Debug)]
pub struct LinkConditions {
    /// Share of datagrams that are lost, from 0 to 1.
    pub loss: f64,
    /// Share of datagrams that arrive twice, from 0 to 1.
    pub duplication: f64,
    /// Shortest time on the way, ns.
    pub min_delay: u64,
    /// Longest time on the way, ns.
    pub max_delay: u64,
}

impl Default for LinkConditions {
    fn default() -> LinkConditions {
        LinkConditions { loss: 0.0, duplication: 0.0, min_delay: MILLISECOND / 5, max_delay: 3 * MILLISECOND }
    }
}

/// An event of the simulation.
#[derive(Clone, Debug)]
enum Event {
    Wakeup(usize),
    Persisted(usize),
    Datagram { to: usize, from: SocketAddr, bytes: Vec<u8> },
    Connected { node: usize, stream: u64 },
    DeliverFrames { node: usize, stream: u64 },
    Closed { node: usize, stream: u64 },
}

/// One end of a connection.
#[derive(Clone, Debug)]
struct StreamEnd {
    peer: usize,
    peer_stream: u64,
    /// Bytes on their way to this end.
    in_transit: VecDeque<(u64, Vec<u8>)>,
}

/// A broker, whether it runs or not.
struct Node {
    /// `None` while it does not run.
    member: Option<GossipNode>,
    disk: BTreeMap<FactKey, FactValue>,
    /// Changes that are being written to disk.
    writing: Vec<Fact>,
    /// Commands that are acknowledged once these changes are on disk.
    unacknowledged: Vec<Dot>,
    /// How far its clock is ahead, ns.
    clock_skew: i64,
    /// How far its clock is ahead from its next start on, ns.
    next_clock_skew: i64,
    paused_until: u64,
    next_wakeup: Option<u64>,
    streams: BTreeMap<u64, StreamEnd>,
    next_stream: u64,
    latest_version: u8,
    listed: Vec<usize>,
}

/// A command that was acknowledged to the operator.
#[derive(Clone, Debug)]
pub struct Acknowledged {
    /// The key that it applies to.
    pub key: FactKey,
    /// The dot that identifies it.
    pub dot: Dot,
    /// What it sets.
    pub value: CommandValue,
    /// Commands that it superseded.
    pub supersedes: Vec<Dot>,
    /// Whether it was lost when a broker's disk was replaced: no store or disk has the command any more.
    pub lost_with_disk: bool,
}

/// Counters over all brokers.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Datagrams that were sent.
    pub datagrams: u64,
    /// Bytes that were sent, by datagram and on connections.
    pub bytes: u64,
    /// Peers that a broker declared down.
    pub peers_down: u64,
    /// Of these, peers that were running and reachable at the time.
    pub false_positives: u64,
    /// Suspicions that a broker refuted.
    pub refutations: u64,
    /// How often a broker caught up with a peer.
    pub completed_catch_ups: u64,
}

/// A cluster of brokers in simulated time.
pub struct SimulatedCluster {
    /// The simulated time, ns since the Unix epoch.
    pub now: u64,
    nodes: Vec<Node>,
    /// Times of events with their numbers.
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    last_event: u64,
    /// The conditions of all links.
    pub links: LinkConditions,
    /// Links that are cut, each in one direction: sender and receiver.
    pub cut_links: BTreeSet<(usize, usize)>,
    rng: Pcg32,
    /// The limits of the stores of brokers that start from now on.
    pub store_limits: StoreLimits,
    /// All commands that were acknowledged, in this order.
    pub acknowledged: Vec<Acknowledged>,
    /// Commands that were recorded and are acknowledged once they are on disk.
    recorded: BTreeMap<Dot, Acknowledged>,
    /// All commands, to find a dot that was used for two of them.
    commands_by_dot: BTreeMap<Dot, (FactKey, OperatorCommand)>,
    /// Counters over all brokers.
    pub counts: Counts,
    /// Bytes that each broker has sent.
    pub bytes_sent: Vec<u64>,
    /// Anti-entropy sessions that each broker has begun.
    pub sessions_begun: Vec<u32>,
    /// Violations of invariants that were found.
    pub violations: Vec<String>,
    probe_interval: u64,
    brokers: usize,
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n >> 8) as u8, n as u8], 7000))
}

fn index_of(at: SocketAddr) -> usize {
    let SocketAddr::V4(v4) = at else { return 0 };
    let [_, _, high, low] = v4.ip().octets();
    usize::from(high) << 8 | usize::from(low)
}

/// The name of a broker.
#[must_use]
pub fn name(n: usize) -> String {
    format!("b-{n:03}")
}

impl SimulatedCluster {
    /// `brokers` brokers, all started.
    #[must_use]
    pub fn new(brokers: usize, seed: u64) -> SimulatedCluster {
        let mut cluster = SimulatedCluster::empty(brokers, seed);
        for n in 0..brokers {
            cluster.start(n);
        }
        cluster
    }

    /// `brokers` brokers, none started.
    #[must_use]
    pub fn empty(brokers: usize, seed: u64) -> SimulatedCluster {
        let node = |n| Node {
            member: None,
            disk: BTreeMap::new(),
            writing: Vec::new(),
            unacknowledged: Vec::new(),
            clock_skew: 0,
            next_clock_skew: 0,
            paused_until: 0,
            next_wakeup: None,
            streams: BTreeMap::new(),
            next_stream: 1 << 63,
            latest_version: codec::LATEST_VERSION,
            listed: (0..brokers).filter(|p| *p != n).collect(),
        };
        SimulatedCluster {
            now: START_TIME,
            nodes: (0..brokers).map(node).collect(),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            last_event: 0,
            links: LinkConditions::default(),
            cut_links: BTreeSet::new(),
            rng: Pcg32::new(seed, 0x1e55),
            store_limits: StoreLimits { retention: 120 * SECOND, ..StoreLimits::default() },
            acknowledged: Vec::new(),
            recorded: BTreeMap::new(),
            commands_by_dot: BTreeMap::new(),
            counts: Counts::default(),
            bytes_sent: vec![0; brokers],
            sessions_begun: vec![0; brokers],
            violations: Vec::new(),
            probe_interval: SECOND,
            brokers,
        }
    }

    /// A random number below `limit`.
    pub fn random_below(&mut self, limit: usize) -> usize {
        self.rng.next_u32() as usize % limit.max(1)
    }

    fn chance(&mut self, probability: f64) -> bool {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX) < probability
    }

    /// The number of brokers, running or not.
    #[must_use]
    pub fn len(&self) -> usize {
        self.brokers
    }

    /// Whether there are no brokers.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.brokers == 0
    }

    /// A broker; `None` while it does not run.
    #[must_use]
    pub fn member(&self, n: usize) -> Option<&GossipNode> {
        self.nodes[n].member.as_ref()
    }

    /// Whether a broker runs and is not paused.
    #[must_use]
    pub fn is_running(&self, n: usize) -> bool {
        self.nodes[n].member.is_some() && self.nodes[n].paused_until <= self.now
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.last_event += 1;
        self.events.insert(self.last_event, event);
        self.queue.push(Reverse((at, self.last_event)));
    }

    /// The time by a broker's own clock.
    fn local_time(&self, n: usize) -> u64 {
        self.now.saturating_add_signed(self.nodes[n].clock_skew)
    }

    /// Runs until this time.
    pub fn run_until(&mut self, until: u64) {
        while let Some(Reverse((at, id))) = self.queue.peek().copied().filter(|Reverse((at, _))| *at <= until)
        {
            self.queue.pop();
            self.now = at.max(self.now);
            if let Some(event) = self.events.remove(&id) {
                self.handle_event(event);
            }
        }
        self.now = until;
    }

    /// Runs for this span, ns.
    pub fn run_for(&mut self, span: u64) {
        self.run_until(self.now + span);
    }

    /// Runs until the condition holds, `timeout` at most. Returns whether it holds.
    pub fn wait_for(&mut self, timeout: u64, condition: impl Fn(&SimulatedCluster) -> bool) -> bool {
        let end = self.now + timeout;
        while self.now < end {
            if condition(self) {
                return true;
            }
            self.run_until(self.now + 10 * MILLISECOND);
        }
        condition(self)
    }
}
