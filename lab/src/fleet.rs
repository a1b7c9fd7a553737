//! Hundreds of brokers before hundreds of nodes in simulated time: what all of them do together in troubles that each
//! one alone would hardly notice.

use crate::restart::Scenario;
use crate::sim::{Counts, Listing, Manner, Node, NodeModel, Strain, World, WorldSettings, uniform};
use pebbleturn::membership::endpoint_list::{Endpoint, EndpointList};
use pebbleturn::membership::{NodeState, PartitionLayout, Registry, RegistrySettings};
use pebbleturn::{Nanos, Settings};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use serde::Serialize;
use std::collections::{HashMap, HashSet};
use std::fmt;
use std::net::SocketAddr;

const MS: Nanos = 1_000_000;
const S: Nanos = 1_000 * MS;
/// The time at which clients begin to ask.
const NOW: Nanos = 1_000_000 * S;
/// How long after its successor a replaced node drains, and how long after that it is gone.
const REPLACED: (Nanos, Nanos) = (1500 * MS, 3500 * MS);
/// Time over which six in ten nodes are replaced.
const RELEASE: Nanos = 7 * S;
/// How long a lost zone is away, and for how long a part of the nodes is silent.
const AWAY: Nanos = 5 * S;
const SPLIT: Nanos = 6 * S;
/// Discovery tells what has changed this often.
const PERIOD: Nanos = 450 * MS;

/// What a fleet goes through.
#[derive(Clone, Copy, Debug, Serialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Trouble {
    /// None.
    Calm,
    /// Six in ten nodes are replaced within seven seconds.
    Replaced,
    /// Every second node is lost without a word for five seconds and comes back cold.
    Zone,
    /// For six seconds a fifth of the nodes is silent, answers get lost and connections are reset, while one in ten
    /// nodes is replaced and lists come up to three seconds late.
    Split,
}

/// Every trouble.
pub const TROUBLES: [Trouble; 4] = [Trouble::Calm, Trouble::Replaced, Trouble::Zone, Trouble::Split];

/// A fleet.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Brokers, of which some have several times the mean's traffic.
    pub brokers: usize,
    /// Nodes; each partition lies on four in a row.
    pub nodes: u32,
    /// Queries a second, all brokers together, and the parts of each.
    pub rate: f64,
    /// See `rate`.
    pub parts: u32,
    /// Work of a part.
    pub work: Nanos,
    /// How long clients ask.
    pub time: Nanos,
}

impl Default for Fleet {
    fn default() -> Fleet {
        Fleet { brokers: 300, nodes: 200, rate: 120.0, parts: 40, work: 35 * MS, time: 20 * S }
    }
}

/// What was measured.
#[derive(Clone, Debug, Serialize)]
pub struct Played {
    /// What the fleet went through.
    pub trouble: Trouble,
    /// Worth answered in its aim over worth asked.
    pub service: f64,
    /// Queries answered, refused and failed.
    pub ended: [u64; 3],
    /// Queries without exactly one final answer in time, and answers that said what is not so.
    pub lost: u64,
    /// See `lost`.
    pub dishonest: u64,
    /// Most attempts at one part.
    pub most_attempts: u32,
    /// Parts sent to a node more than two seconds after its drain was learnt.
    pub late_drain_sends: u64,
    /// Cold nodes that fell over, and the most work that came to one in multiples of what it could do.
    pub cold_falls: u64,
    /// See `cold_falls`.
    pub most_pushed: f64,
    /// Most queries and attempts that one broker held, and what all held at the end.
    pub most_held: usize,
    /// See `most_held`.
    pub held_at_end: usize,
}

impl fmt::Display for Played {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [answered, refused, failed] = self.ended;
        write!(
            f,
            "{:?}: service {:.3}; {answered} answered, {refused} refused, {failed} failed; {} lost, {} dishonest, at most {} \
             attempts; {} late drain sends; {} cold falls, pushed to {:.2}; held {} at most, {} at the end",
            self.trouble,
            self.service,
            self.lost,
            self.dishonest,
            self.most_attempts,
            self.late_drain_sends,
            self.cold_falls,
            self.most_pushed,
            self.most_held,
            self.held_at_end
        )
    }
}

fn addr(n: u32, place: u8) -> SocketAddr {
    SocketAddr::from(([127, place + 1, (n >> 8) as u8, n as u8], 80))
}

fn line(n: u32, place: u8, state: NodeState, started: Nanos) -> Endpoint {
    Endpoint {
        id: format!("n-{n}-{place}"),
        addr: addr(n, place).to_string(),
        zone: Some(if n.is_multiple_of(2) { "a" } else { "b" }.into()),
        kind: String::new(),
        cell: n,
        state,
        started_ms: started / MS,
    }
}

/// What happens to nodes: when, at which address, how it is met from then on, and what discovery says of it.
type Course = Vec<(Nanos, SocketAddr, Option<Manner>, Option<Endpoint>)>;

/// A node that drains once its successor, which starts then, is there.
fn replaced(n: u32, at: Nanos) -> Course {
    let (drains, gone) = (at + REPLACED.0, at + REPLACED.0 + REPLACED.1);
    let told = |state| Some(line(n, 0, state, 0));
    vec![
        (at, addr(n, 1), Some(Manner::Serves), Some(line(n, 1, NodeState::Ready, at))),
        // It turns new parts away once all have had their time to learn of it.
        (drains, addr(n, 0), None, told(NodeState::Terminating)),
        (drains + 2 * S, addr(n, 0), Some(Manner::Drains), None),
        (gone, addr(n, 0), Some(Manner::Refuses), told(NodeState::Gone)),
    ]
}

impl Fleet {
    /// The brokers' settings: the users' classes with a quarter of their times.
    pub fn settings(&self) -> Settings {
        let scene = Scenario {
            nodes: self.nodes,
            brokers: self.brokers,
            partitions: 2 * self.nodes,
            ..Scenario::default()
        };
        let mut settings = scene.settings();
        for class in &mut settings.classes {
            (class.latency_objective, class.deadline) = (class.latency_objective / 4, class.deadline / 3);
        }
        Settings { call_work: 3 * MS, max_in_flight: 300, ..settings }
    }

    fn model(&self, settings: &Settings) -> NodeModel {
        NodeModel {
            cores: 2,
            cold_share: settings.slow_start_share,
            cold_time: settings.slow_start_time,
            fall_multiple: settings.overload_multiple,
            fall_time: settings.overload_time,
            queue: 40,
        }
    }

    fn course(&self, trouble: Trouble, rng: &mut Pcg64Mcg) -> Course {
        let mut course = Course::new();
        for n in 0..self.nodes {
            let (chance, at) = (uniform(rng), NOW + 3 * S + (uniform(rng) * RELEASE as f64) as Nanos);
            match trouble {
                Trouble::Replaced if chance < 0.6 => course.extend(replaced(n, at)),
                Trouble::Zone if n.is_multiple_of(2) => {
                    let (lost, back) = (NOW + 4 * S, NOW + 4 * S + AWAY);
                    let (gone, new) = (line(n, 0, NodeState::Gone, 0), line(n, 1, NodeState::Ready, back));
                    course.push((lost, addr(n, 0), Some(Manner::Silent), None));
                    course.push((lost + 3 * S, addr(n, 0), None, Some(gone)));
                    course.push((back, addr(n, 1), Some(Manner::Serves), Some(new)));
                }
                Trouble::Split if chance < 0.2 => {
                    course.push((NOW + 4 * S, addr(n, 0), Some(Manner::Silent), None));
                    course.push((NOW + 4 * S + SPLIT, addr(n, 0), Some(Manner::Heard), None));
                }
                // Lists can come late only where they have something to tell.
                Trouble::Split if chance < 0.3 => course.extend(replaced(n, at)),
                _ => {}
            }
        }
        course.sort_by_key(|(t, ..)| *t);
        course
    }

    /// What discovery tells of this, a version each period in which something happened.
    fn news(course: &Course) -> Vec<(Nanos, EndpointList)> {
        let mut news: Vec<(Nanos, EndpointList)> = Vec::new();
        for (at, line) in course.iter().filter_map(|(at, _, _, line)| Some((at, line.clone()?))) {
            let told = at.next_multiple_of(PERIOD);
            let version = 2 + news.len() as u64;
            match news.last_mut().filter(|(t, _)| *t == told) {
                Some((_, list)) => list.servers.push(line),
                None => news
                    .push((told, EndpointList { version, full: false, as_of_ms: None, servers: vec![line] })),
            }
        }
        news
    }

    /// Plays one fleet.
    pub fn play(&self, trouble: Trouble, seed: u64) -> Played {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let settings = self.settings();
        let model = self.model(&settings);
        let course = self.course(trouble, &mut rng);
        let mut nodes: HashMap<SocketAddr, Node> = HashMap::new();
        for n in 0..self.nodes {
            nodes.insert(addr(n, 0), Node::new(n, 0, &model));
            // Nothing listens at a successor's place until it starts.
            let mut later = Node::new(n, 0, &model);
            later.manner = Manner::Refuses;
            nodes.insert(addr(n, 1), later);
        }
        let list = EndpointList {
            version: 1,
            full: true,
            as_of_ms: Some(NOW / MS),
            servers: (0..self.nodes).map(|n| line(n, 0, NodeState::Ready, 0)).collect(),
        };
        let listing = |broker: u64| {
            let mut roster = Registry::new(RegistrySettings {
                layout: PartitionLayout { cells: self.nodes, span: settings.span },
                warm_up: settings.slow_start_time,
                mean_change_interval: 24 * 3600 * S,
                default_list_age: 300 * S,
                silence_timeout: 100 * MS,
                zones: HashMap::from([("a".into(), 0), ("b".into(), 1)]),
                kinds: vec![],
                seed: seed ^ broker << 32 | broker,
            });
            roster.add_configured(&list, NOW);
            Listing::Roster(Box::new(roster))
        };
        let listings = (0..self.brokers as u64).map(listing).collect();
        // One in ten has four times the others' traffic.
        let traffic = (0..self.brokers).map(|n| if n % 10 == 0 { 4.0 } else { 1.0 }).collect();
        let split = trouble == Trouble::Split;
        let strain = Strain {
            traffic,
            news: Fleet::news(&course),
            late: if split { 3 * S } else { 300 * MS },
            broken: split.then_some((NOW + 4 * S, NOW + 4 * S + SPLIT, 0.01, 0.01)),
        };
        let script =
            course.into_iter().filter_map(|(at, addr, manner, _)| Some((at, addr, manner?))).collect();
        let told = WorldSettings {
            settings,
            classes: vec![
                (0.62, self.parts, self.work),
                (0.26, self.parts, self.work),
                (0.12, self.parts, self.work),
            ],
            rate: self.rate,
            model,
            from: NOW,
            until: NOW + self.time,
            script,
            strain,
            seed,
        };
        let (c, _): (Counts, Nanos) = World::new(told, nodes, listings, &HashSet::new()).run();
        Played {
            trouble,
            service: (c.served / c.asked * 1e4).round() / 1e4,
            ended: [c.answered, c.refused, c.failed],
            lost: c.lost,
            dishonest: c.dishonest,
            most_attempts: c.most_attempts,
            late_drain_sends: c.late_drain_sends,
            cold_falls: c.cold_falls,
            most_pushed: (c.most_pushed * 1e3).round() / 1e3,
            most_held: c.most_held,
            held_at_end: c.held_at_end,
        }
    }
}
