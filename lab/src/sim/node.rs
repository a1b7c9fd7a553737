//! One modelled node.

use pebbleturn::{Nanos, Outcome};
use std::collections::VecDeque;

/// What all nodes have in common.
#[derive(Clone, Copy, Debug)]
pub struct NodeModel {
    /// Cores.
    pub cores: usize,
    /// Share of its capacity that a node has at its start, and how long until it has all of it.
    pub cold_share: f64,
    /// See `cold_share`.
    pub cold_time: Nanos,
    /// A cold node sent more than this multiple of what it can do, over this time, falls over.
    pub overload_multiple: f64,
    /// See `overload_multiple`.
    pub overload_time: Nanos,
    /// Most parts that wait.
    pub queue: usize,
}

/// What is to be met at a node's address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeBehavior {
    /// The node.
    Serving,
    /// It finishes what it has and turns away what is new.
    Draining,
    /// Nothing listens.
    RefusesConnections,
    /// The machine is gone: no answer of any kind.
    Unreachable,
    /// The machine is heard again; its process ran on.
    ReachableAgain,
    /// Another program, which speaks something else.
    OtherProgram,
}

/// A node.
#[derive(Clone, Debug)]
pub struct Node {
    /// What is met there.
    pub behavior: NodeBehavior,
    /// Its cell.
    pub cell: u32,
    /// When its process started.
    pub started: Nanos,
    /// It fell over while cold.
    pub crashed: bool,
    /// Most work that came within the time to fall while it was cold, in multiples of what it could do then.
    pub most_pushed: f64,
    /// When each core is free.
    free_at: Vec<Nanos>,
    /// Work that was sent of late: when, and how much.
    recent_work: VecDeque<(Nanos, Nanos)>,
}

impl Node {
    /// A node that serves.
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

    /// Share of its capacity that it has now.
    pub fn capacity_share(&self, now: Nanos, model: &NodeModel) -> f64 {
        let age = now.saturating_sub(self.started) as f64 / model.cold_time.max(1) as f64;
        (model.cold_share + (1.0 - model.cold_share) * age).min(1.0)
    }

    /// A part of so much work comes: when and how it ends, none where nothing ever comes back.
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
