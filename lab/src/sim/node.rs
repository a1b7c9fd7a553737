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
    pub fall_multiple: f64,
    /// See `fall_multiple`.
    pub fall_time: Nanos,
    /// Most parts that wait.
    pub queue: usize,
}

/// What is to be met at a node's address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    /// The node.
    Serves,
    /// It finishes what it has and turns away what is new.
    Drains,
    /// Nothing listens.
    Refuses,
    /// The machine is gone: no answer of any kind.
    Silent,
    /// The machine is heard again; its process ran on.
    Heard,
    /// Another program, which speaks something else.
    Foreign,
}

/// A node.
#[derive(Clone, Debug)]
pub struct Node {
    /// What is met there.
    pub manner: Manner,
    /// Its cell.
    pub cell: u32,
    /// When its process started.
    pub started: Nanos,
    /// It fell over while cold.
    pub fell: bool,
    /// Most work that came within the time to fall while it was cold, in multiples of what it could do then.
    pub most_pushed: f64,
    /// When each core is free.
    free_at: Vec<Nanos>,
    /// Work that was sent of late: when, and how much.
    sent: VecDeque<(Nanos, Nanos)>,
}

impl Node {
    /// A node that serves.
    pub fn new(cell: u32, started: Nanos, model: &NodeModel) -> Node {
        let free_at = vec![0; model.cores];
        Node {
            manner: Manner::Serves,
            cell,
            started,
            fell: false,
            most_pushed: 0.0,
            free_at,
            sent: VecDeque::new(),
        }
    }

    /// Share of its capacity that it has now.
    pub fn share(&self, now: Nanos, model: &NodeModel) -> f64 {
        let age = now.saturating_sub(self.started) as f64 / model.cold_time.max(1) as f64;
        (model.cold_share + (1.0 - model.cold_share) * age).min(1.0)
    }

    /// A part of so much work comes: when and how it ends, none where nothing ever comes back.
    pub fn take(&mut self, now: Nanos, work: Nanos, model: &NodeModel) -> Option<(Nanos, Outcome)> {
        match self.manner {
            _ if self.fell => return Some((now, Outcome::ConnectFailed)),
            Manner::Serves | Manner::Heard => {}
            Manner::Drains => return Some((now, Outcome::Rejected)),
            Manner::Refuses => return Some((now, Outcome::ConnectFailed)),
            Manner::Silent => return None,
            Manner::Foreign => return Some((now, Outcome::InvalidResponse)),
        }
        let share = self.share(now, model);
        self.sent.push_back((now, work));
        while self.sent.front().is_some_and(|(t, _)| t + model.fall_time <= now) {
            self.sent.pop_front();
        }
        let pushed: Nanos = self.sent.iter().map(|(_, w)| w).sum();
        let able = share * model.cores as f64 * model.fall_time as f64;
        if share < 1.0 {
            self.most_pushed = self.most_pushed.max(pushed as f64 / able);
        }
        if share < 1.0 && pushed as f64 > model.fall_multiple * able {
            self.fell = true;
            return Some((now, Outcome::ConnectionReset));
        }
        let waiting: Nanos = self.free_at.iter().map(|t| t.saturating_sub(now)).sum();
        if waiting as f64 > model.queue as f64 * work as f64 / share {
            return Some((now, Outcome::Rejected));
        }
        let core = self.free_at.iter_mut().min()?;
        *core = (*core).max(now) + (work as f64 / share) as Nanos;
        Some((*core, Outcome::Ok))
    }
}
