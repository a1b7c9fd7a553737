//! The ids of queries that were taken lately.

use crate::api::Nanos;
use std::collections::{HashSet, VecDeque};
use std::rc::Rc;

/// How long an id is not taken again: longer than any query is open.
const RETENTION: Nanos = 10_000_000_000;
/// Most ids that are remembered.
const MAX_IDS: usize = 8192;

/// Guards the answers of one client against another that uses its id: shard servers know a part by that alone.
#[derive(Debug, Default)]
pub struct RecentRequestIds {
    ids: HashSet<Rc<str>>,
    by_time: VecDeque<(Nanos, Rc<str>)>,
}

impl RecentRequestIds {
    /// Whether a query with this id was taken lately.
    pub fn contains(&self, id: &str) -> bool {
        self.ids.contains(id)
    }

    /// A query with this id was taken.
    pub fn insert(&mut self, now: Nanos, id: Rc<str>) {
        while self.by_time.front().is_some_and(|(t, _)| t + RETENTION <= now || self.by_time.len() >= MAX_IDS)
        {
            if let Some((_, old)) = self.by_time.pop_front() {
                self.ids.remove(&old);
            }
        }
        if self.ids.insert(id.clone()) {
            self.by_time.push_back((now, id));
        }
    }
}
