//! When nodes started by this broker's clock, which the stamps in discovery's records do not tell for certain.
//!
//! A stamp is a wall-clock time. This broker's clock began at its machine's wall clock, which may have been stepped before,
//! by seconds or by an hour, so the age of a stamp may be wrong by as much: a node that has just started would get its
//! share of parts as a warm one. What is certain is when this broker learned of a start: a stamp that has changed since
//! the list before is a new start, whatever the clocks say.

use crate::api::Nanos;
use std::collections::HashMap;

/// Longest time for which a start is believed to be past when it is learned, ns. It is about the time in which discovery
/// learns of a start and reports it; a node is never taken for warmer than it is by more.
const MAX_AGE_WHEN_LEARNED: Nanos = 2_000_000_000;

/// A node's stamp, and when it started by this broker's clock if that was learned while the list was live.
#[derive(Clone, Copy, Debug)]
struct KnownStart {
    stamp: Nanos,
    learned: Option<Nanos>,
}

/// The stamps of all nodes.
#[derive(Debug, Default)]
pub(super) struct StartStamps {
    starts: HashMap<String, KnownStart>,
    /// A list of discovery has come: what changes from now on has just happened.
    is_live: bool,
}

impl StartStamps {
    /// A list of discovery begins to be read.
    pub(super) fn on_discovery_list(&mut self) -> LiveList<'_> {
        let is_live = std::mem::replace(&mut self.is_live, true);
        LiveList { starts: &mut self.starts, is_live }
    }

    /// Records the stamp of a node in a list that was stored or configured, unix ns; 0: long ago.
    pub(super) fn note_stored(&mut self, id: &str, stamp: Nanos) {
        note(&mut self.starts, id, stamp, None);
    }

    /// When a node with this stamp started by this broker's clock; none if it was not learned while the list was live.
    pub(super) fn learned(&self, id: &str, stamp: Nanos) -> Option<Nanos> {
        self.starts.get(id).filter(|start| start.stamp == stamp)?.learned
    }

    /// Forgets the nodes of which this is not true.
    pub(super) fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.starts.retain(|id, _| is_known(id));
    }
}

/// The stamps, while a list of discovery is read.
pub(super) struct LiveList<'a> {
    starts: &'a mut HashMap<String, KnownStart>,
    is_live: bool,
}

impl LiveList<'_> {
    /// Records the stamp of a node that is ready, unix ns; 0: long ago.
    pub(super) fn note(&mut self, id: &str, stamp: Nanos, now: Nanos) {
        let learned = stamp.clamp(now.saturating_sub(MAX_AGE_WHEN_LEARNED), now);
        note(self.starts, id, stamp, self.is_live.then_some(learned));
    }
}

fn note(starts: &mut HashMap<String, KnownStart>, id: &str, stamp: Nanos, learned: Option<Nanos>) {
    if stamp > 0 && starts.get(id).is_none_or(|start| start.stamp != stamp) {
        starts.insert(id.to_owned(), KnownStart { stamp, learned });
    }
}
