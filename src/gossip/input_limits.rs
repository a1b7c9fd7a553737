//! Rate limit for the datagrams of each peer, and counters of dropped input.

use crate::api::Nanos;
use std::collections::BTreeMap;
use std::fmt;

/// Length of the window over which datagrams are counted.
const RATE_WINDOW: Nanos = 1_000_000_000;
/// Maximum number of datagrams accepted from one peer in a window. Excess datagrams are dropped undecoded.
const MAX_DATAGRAMS_PER_WINDOW: u32 = 200;
/// Minimum time between two notifications with the same reason.
const NOTIFICATION_INTERVAL: Nanos = 60_000_000_000;

/// Why input was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DropReason {
    /// The operator's file does not list the address that the input came from.
    UnlistedAddress,
    /// The bytes are not a valid frame.
    MalformedFrame,
    /// The frame has a later version than this program reads.
    UnsupportedVersion,
    /// The sender belongs to another cluster.
    OtherCluster,
    /// The sender has another name than its address is listed under.
    NameMismatch,
    /// The sender has this broker's own name.
    OwnName,
    /// The sender was removed from the cluster.
    RemovedSender,
    /// The sender exceeds its rate limit.
    RateLimited,
    /// The store rejected a fact.
    InvalidFact,
    /// A message was out of sequence, or there are too many connections.
    ProtocolViolation,
}

// The admin endpoint writes these texts as the keys of its drop counts, so they have to stay unchanged.
impl fmt::Display for DropReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            DropReason::UnlistedAddress => "the operator's file does not name it",
            DropReason::MalformedFrame => "what it sends is no frame",
            DropReason::UnsupportedVersion => "it speaks a later version than this program",
            DropReason::OtherCluster => "it belongs to another cluster",
            DropReason::NameMismatch => "it has another name than its address is listed under",
            DropReason::OwnName => "it has this broker's own name",
            DropReason::RemovedSender => "it was removed from the cluster",
            DropReason::RateLimited => "it sends more than may be",
            DropReason::InvalidFact => "it tells facts that can't be taken in",
            DropReason::ProtocolViolation => "it speaks out of turn, or opens too many connections",
        })
    }
}

/// The rate limit of one peer's datagrams.
#[derive(Clone, Debug, Default)]
pub(super) struct DatagramRateLimit {
    window_start: Nanos,
    datagrams: u32,
}

impl DatagramRateLimit {
    /// Counts a datagram. Returns false if it exceeds the limit.
    pub(super) fn admit(&mut self, now: Nanos) -> bool {
        if now >= self.window_start + RATE_WINDOW {
            *self = DatagramRateLimit { window_start: now, datagrams: 0 };
        }
        self.datagrams = self.datagrams.saturating_add(1);
        self.datagrams <= MAX_DATAGRAMS_PER_WINDOW
    }
}

#[derive(Clone, Debug, Default)]
struct DropCount {
    count: u64,
    last_notified: Nanos,
}

/// Number of drops by reason.
#[derive(Clone, Debug, Default)]
pub(super) struct DropCounts {
    by_reason: BTreeMap<DropReason, DropCount>,
}

impl DropCounts {
    /// Counts a drop. Returns true if a notification is due.
    pub(super) fn record(&mut self, reason: DropReason, now: Nanos) -> bool {
        let entry = self.by_reason.entry(reason).or_default();
        entry.count += 1;
        let is_due = entry.count == 1 || now >= entry.last_notified + NOTIFICATION_INTERVAL;
        if is_due {
            entry.last_notified = now;
        }
        is_due
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (DropReason, u64)> + '_ {
        self.by_reason.iter().map(|(reason, entry)| (*reason, entry.count))
    }
}
