//! Process starts of nodes by this broker's clock, which can't be derived reliably from the stamps in
//! discovery's records.
//!
//! A stamp is a wall-clock time. This broker's clock was initialized from its machine's wall clock, which may
//! have been stepped before, by seconds or by an hour. The age of a stamp may be wrong by as much, and a node
//! that has just started would get the share of parts of a warm one. The time at which this broker learned of
//! a start is reliable: a stamp that differs from the one in the previous list is a new start, whatever the
//! clocks show.

use crate::api::Nanos;
use std::collections::HashMap;

/// Maximum age of a start at the time it is learned, ns; older stamps are clamped. It is about the time in
/// which discovery learns of a start and reports it, and bounds how much warmer than it is a node can appear.
const MAX_AGE_WHEN_LEARNED: Nanos = 2_000_000_000;

/// A node's stamp, and its start by this broker's clock if that was learned while the list was live.
#[derive(Clone, Copy, Debug)]
struct KnownStart {
    stamp: Nanos,
    learned: Option<Nanos>,
}

/// The stamps of all nodes.
#[derive(Debug, Default)]
pub(super) struct StartStamps {
    starts: HashMap<String, KnownStart>,
    /// Whether a list from discovery was received: stamps that change from then on are recent starts.
    is_live: bool,
    /// Whether a list was stored, configured or handed over: stamps that differ in the list that another process
    /// has received since are recent starts too.
    has_stored_list: bool,
}

impl StartStamps {
    /// Starts to record the stamps of a list received from discovery.
    pub(super) fn begin_discovery_list(&mut self) -> LiveStampRecorder<'_> {
        let is_live = std::mem::replace(&mut self.is_live, true);
        LiveStampRecorder { starts: &mut self.starts, is_live }
    }

    /// Starts to record the stamps of a list that another process has just received from discovery. In the first
    /// list of this process a stamp shows nothing about when it was learned.
    pub(super) fn begin_peer_list(&mut self) -> LiveStampRecorder<'_> {
        let is_live = self.is_live || std::mem::replace(&mut self.has_stored_list, true);
        LiveStampRecorder { starts: &mut self.starts, is_live }
    }

    /// Records the stamp of a node in a list that was stored or configured, unix ns; 0 means long ago.
    pub(super) fn record_stored(&mut self, id: &str, stamp: Nanos) {
        self.has_stored_list = true;
        record_stamp(&mut self.starts, id, stamp, None);
    }

    /// When a node with this stamp started by this broker's clock; none if that was not learned while the
    /// list was live.
    pub(super) fn learned_start(&self, id: &str, stamp: Nanos) -> Option<Nanos> {
        self.starts.get(id).filter(|start| start.stamp == stamp)?.learned
    }

    /// Removes the nodes that are not known any more.
    pub(super) fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.starts.retain(|id, _| is_known(id));
    }
}

/// Records the stamps of one list received from discovery.
pub(super) struct LiveStampRecorder<'a> {
    starts: &'a mut HashMap<String, KnownStart>,
    is_live: bool,
}

impl LiveStampRecorder<'_> {
    /// Records the stamp of a node that is ready, unix ns; 0 means long ago.
    pub(super) fn record(&mut self, id: &str, stamp: Nanos, now: Nanos) {
        let learned = stamp.clamp(now.saturating_sub(MAX_AGE_WHEN_LEARNED), now);
        record_stamp(self.starts, id, stamp, self.is_live.then_some(learned));
    }
}

fn record_stamp(starts: &mut HashMap<String, KnownStart>, id: &str, stamp: Nanos, learned: Option<Nanos>) {
    if stamp > 0 && starts.get(id).is_none_or(|start| start.stamp != stamp) {
        starts.insert(id.to_owned(), KnownStart { stamp, learned });
    }
}
