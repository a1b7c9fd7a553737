//! The request ids that a new query must not use.

use crate::api::Nanos;
use std::collections::{HashMap, HashSet, VecDeque};
use std::rc::Rc;

/// How long after its query's end an id is not accepted again, ns: shard servers may still answer its parts.
const RETENTION: Nanos = 10_000_000_000;
/// Maximum number of ids of ended queries that are kept.
const MAX_ENDED_IDS: usize = 8192;

/// Detects the reuse of an id. Shard servers identify a part by its id alone, so two clients that use the
/// same id could receive each other's answers.
///
/// Ids of open queries are kept without a limit of their own: the engine limits the number of open queries.
/// However many queries come and go, they can't displace the id of an open one.
#[derive(Debug, Default)]
pub struct RequestIds {
    open: HashSet<Rc<str>>,
    /// Ids of queries that are open at the other processes at this address, as last observed.
    open_at_peers: HashSet<Rc<str>>,
    /// When the queries of these ids ended.
    ended: HashMap<Rc<str>, Nanos>,
    /// The ends in the order of their times. An id that ended again has a later entry too.
    ends: VecDeque<(Nanos, Rc<str>)>,
}

impl RequestIds {
    /// Whether a query with this id is open here or at another process, or has ended recently.
    pub fn is_used(&self, now: Nanos, id: &str) -> bool {
        self.open.contains(id)
            || self.open_at_peers.contains(id)
            || self.ended.get(id).is_some_and(|ended_at| now < ended_at + RETENTION)
    }

    /// Ids of the queries that are open in this process.
    pub fn open(&self) -> impl Iterator<Item = &str> {
        self.open.iter().map(|id| &**id)
    }

    /// Records that a query with this id was admitted.
    pub fn query_admitted(&mut self, id: Rc<str>) {
        self.open.insert(id);
    }

    /// Records that the query with this id has ended.
    pub fn query_ended(&mut self, now: Nanos, id: &str) {
        if let Some(id) = self.open.take(id) {
            self.retain_ended(now, id);
        }
    }

    /// Replaces the ids of the queries that are open at the other processes. Those that are open no longer
    /// count as ended at `now`.
    pub fn set_open_at_peers(&mut self, now: Nanos, ids: impl IntoIterator<Item = String>) {
        let current: HashSet<Rc<str>> = ids.into_iter().map(Rc::from).collect();
        let previous = std::mem::replace(&mut self.open_at_peers, current);
        for id in previous {
            if !self.open_at_peers.contains(&id) {
                self.retain_ended(now, id);
            }
        }
    }

    fn retain_ended(&mut self, now: Nanos, id: Rc<str>) {
        while self.ends.front().is_some_and(|(t, _)| t + RETENTION <= now || self.ends.len() >= MAX_ENDED_IDS)
        {
            self.drop_oldest_end();
        }
        self.ended.insert(id.clone(), now);
        self.ends.push_back((now, id));
    }

    fn drop_oldest_end(&mut self) {
        let Some((ended_at, id)) = self.ends.pop_front() else { return };
        if self.ended.get(&id) == Some(&ended_at) {
            self.ended.remove(&id);
        }
    }
}
