//! The request ids that a new query must not use.

use crate::api::Nanos;
use std::collections::{HashMap, HashSet, VecDeque};
use std::rc::Rc;
use xxhash_rust::xxh3::xxh3_64;

/// How long after its query's end an id is not accepted again, ns: shard servers may still answer its parts.
const RETENTION: Nanos = 10_000_000_000;
/// Maximum number of ids of ended queries that are kept: some 13 MB. While there are as many, no query is
/// admitted.
pub const MAX_ENDED_IDS: usize = 1 << 18;

/// Detects the reuse of an id. Shard servers identify a part by its id alone, so two clients that use the
/// same id could receive each other's answers.
///
/// Ids of open queries are kept without a limit of their own: the engine limits the number of open queries. Of
/// the ids of ended queries, digests are kept. However many queries come and go, they displace no id before its
/// time: at the limit [`RequestIds::has_room`] is false.
#[derive(Debug, Default)]
pub struct RequestIds {
    open: HashSet<Rc<str>>,
    /// Ids of queries that are open at the other processes at this address, as last observed.
    open_at_peers: HashSet<Rc<str>>,
    /// When the queries of the ids with these digests ended.
    ended: HashMap<u64, Nanos>,
    /// The ends in the order of their times, by digest. An id that ended again has a later entry too.
    ends: VecDeque<(Nanos, u64)>,
}

impl RequestIds {
    /// Whether a query with this id is open here or at another process, or has ended recently.
    pub fn is_used(&self, now: Nanos, id: &str) -> bool {
        self.open.contains(id)
            || self.open_at_peers.contains(id)
            || self.ended.get(&digest(id)).is_some_and(|ended_at| now < ended_at + RETENTION)
    }

    /// Whether the ids of the open queries can be kept when these end, and that of one more.
    pub fn has_room(&mut self, now: Nanos) -> bool {
        self.drop_expired(now);
        self.ends.len() + self.open.len() + self.open_at_peers.len() < MAX_ENDED_IDS
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
            self.retain_ended(now, &id);
        }
    }

    /// Replaces the ids of the queries that are open at the other processes. Those that are open no longer
    /// count as ended at `now`.
    pub fn set_open_at_peers(&mut self, now: Nanos, ids: impl IntoIterator<Item = String>) {
        let current: HashSet<Rc<str>> = ids.into_iter().map(Rc::from).collect();
        let previous = std::mem::replace(&mut self.open_at_peers, current);
        for id in previous {
            if !self.open_at_peers.contains(&id) {
                self.retain_ended(now, &id);
            }
        }
    }

    fn retain_ended(&mut self, now: Nanos, id: &str) {
        self.drop_expired(now);
        let digest = digest(id);
        self.ended.insert(digest, now);
        self.ends.push_back((now, digest));
    }

    fn drop_expired(&mut self, now: Nanos) {
        while let Some((ended_at, digest)) = self.ends.pop_front_if(|(t, _)| *t + RETENTION <= now) {
            if self.ended.get(&digest) == Some(&ended_at) {
                self.ended.remove(&digest);
            }
        }
    }
}

fn digest(id: &str) -> u64 {
    xxh3_64(id.as_bytes())
}
