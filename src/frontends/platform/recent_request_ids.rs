//! The ids of queries that were taken lately.

use crate::api::Nanos;
use std::collections::{HashSet, VecDeque};
use std::rc::Rc;

/// How long an id is not taken again: longer than any query is open.
const FOR: Nanos = 10_000_000_000;
/// Most ids that are remembered.
const MOST: usize = 8192;

/// Guards the answers of one client against another that uses its id: shard servers know a part by that alone.
#[derive(Debug, Default)]
pub struct UsedIds {
    ids: HashSet<Rc<str>>,
    at: VecDeque<(Nanos, Rc<str>)>,
}

impl UsedIds {
    /// Whether a query with this id was taken lately.
    pub fn has(&self, id: &str) -> bool {
        self.ids.contains(id)
    }

    /// A query with this id was taken.
    pub fn add(&mut self, now: Nanos, id: Rc<str>) {
        while self.at.front().is_some_and(|(t, _)| t + FOR <= now || self.at.len() >= MOST) {
            if let Some((_, old)) = self.at.pop_front() {
                self.ids.remove(&old);
            }
        }
        if self.ids.insert(id.clone()) {
            self.at.push_back((now, id));
        }
    }
}
