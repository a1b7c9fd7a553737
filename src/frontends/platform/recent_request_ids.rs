//! The ids of recently admitted queries.

use crate::api::Nanos;
use std::collections::{HashSet, VecDeque};
use std::rc::Rc;

/// How long an id is not accepted again, ns: longer than any query is open.
const RETENTION: Nanos = 10_000_000_000;
/// Maximum number of ids that are kept.
const MAX_IDS: usize = 8192;

/// Detects the reuse of an id. Shard servers identify a part by its id alone, so two clients that use the
/// same id could receive each other's answers.
#[derive(Debug, Default)]
pub struct RecentRequestIds {
    ids: HashSet<Rc<str>>,
    by_time: VecDeque<(Nanos, Rc<str>)>,
}

impl RecentRequestIds {
    /// Whether a query with this id was admitted recently.
    pub fn contains(&self, id: &str) -> bool {
        self.ids.contains(id)
    }

    /// Records that a query with this id was admitted.
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
