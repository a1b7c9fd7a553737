//! The model of a node.

use pebbleturn::{Nanos, Outcome};
use std::collections::VecDeque;

/// Parameters that all nodes share.
#[derive(Clone, Copy, Debug)]
pub struct NodeModel {
    /// Number of cores.
    pub cores: usize,
    /// Share of its capacity that a node has when it starts, and the time until it reaches full capacity.
    pub cold_share: f64,
    /// See `cold_share`.
    pub cold_time: Nanos,
    /// A cold node crashes when the work sent to it over `overload_time` exceeds this multiple of its
    /// capacity.
    pub overload_multiple: f64,
    /// See `overload_multiple`.
    pub overload_time: Nanos,
    /// Limit of waiting parts; further parts are rejected.
    pub queue: usize,
}

/// How a node's address responds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeBehavior {
    /// The node accepts parts.
    Serving,
    /// The node finishes the parts it has and rejects new ones.
    Draining,
    /// Nothing listens: connections are refused.
    RefusesConnections,
    /// The machine is unreachable: connection attempts time out.
    Unreachable,
    /// The machine is reachable again; its process kept running, so the node is still warm.
    ReachableAgain,
    /// Another program, with another protocol, has the address.
    OtherProgram,
}

/// The state of one node.
#[derive(Clone, Debug)]
pub struct Node {
    /// How its address responds.
    pub behavior: NodeBehavior,
    pub cell: u32,
    /// When its process started.
    pub started: Nanos,
    /// Whether it crashed from overload while cold.
    pub crashed: bool,
    /// Most work received within `overload_time` while cold, in multiples of the node's capacity at that
    /// time.
    pub most_pushed: f64,
    /// When each core becomes free.
    free_at: Vec<Nanos>,
    /// Work received within the last `overload_time`: arrival and amount.
    recent_work: VecDeque<(Nanos, Nanos)>,
}

impl Node {
    /// Creates a node that accepts parts.
    pub fn new(cell: u32, started: Nanos, model: &NodeModel) -> Node {
        let free_at = vec![0; model.cores];
        Node {
            behavior: NodeBehavior::Serving,
            cell,
            started,
            crashed: false,
            most_pushed: 0.0,
            free_at,
            recent_work: VecDeque::new(),
        }
    }

    /// Share of its full capacity that it has now.
    pub fn capacity_share(&self, now: Nanos, model: &NodeModel) -> f64 {
        let age = now.saturating_sub(self.started) as f64 / model.cold_time.max(1) as f64;
        (model.cold_share + (1.0 - model.cold_share) * age).min(1.0)
    }

    /// Handles a part with this amount of work. Returns when and how it ends, or `None` if there is never a
    /// response.
    pub fn handle_part(&mut self, now: Nanos, work: Nanos, model: &NodeModel) -> Option<(Nanos, Outcome)> {
        match self.behavior {
            _ if self.crashed => return Some((now, Outcome::ConnectFailed)),
            NodeBehavior::Serving | NodeBehavior::ReachableAgain => {}
            NodeBehavior::Draining => return Some((now, Outcome::Rejected)),
            NodeBehavior::RefusesConnections => return Some((now, Outcome::ConnectFailed)),
            NodeBehavior::Unreachable => return None,
            NodeBehavior::OtherProgram => return Some((now, Outcome::InvalidResponse)),
        }
        let capacity_share = self.capacity_share(now, model);
        self.recent_work.push_back((now, work));
        while self.recent_work.front().is_some_and(|(t, _)| t + model.overload_time <= now) {
            self.recent_work.pop_front();
        }
        let received: Nanos = self.recent_work.iter().map(|(_, w)| w).sum();
        let capacity = capacity_share * model.cores as f64 * model.overload_time as f64;
        if capacity_share < 1.0 {
            self.most_pushed = self.most_pushed.max(received as f64 / capacity);
        }
        if capacity_share < 1.0 && received as f64 > model.overload_multiple * capacity {
            self.crashed = true;
            return Some((now, Outcome::ConnectionReset));
        }
        let queued_work: Nanos = self.free_at.iter().map(|t| t.saturating_sub(now)).sum();
        if queued_work as f64 > model.queue as f64 * work as f64 / capacity_share {
            return Some((now, Outcome::Rejected));
        }
        let core = self.free_at.iter_mut().min()?;
        *core = (*core).max(now) + (work as f64 / capacity_share) as Nanos;
        Some((*core, Outcome::Ok))
    }
}
