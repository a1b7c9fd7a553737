//! The state of discovery as a source: the version of its list, when the list was last confirmed, and how
//! fast it changes.

use crate::api::Nanos;
use crate::membership::staleness::ChangeRate;
use crate::membership::{SourcePriority, SourceVersion};

/// The state of the directory as a source.
#[derive(Debug)]
pub(super) struct DirectoryState {
    /// Number of times that its versions were reset.
    pub(super) epoch: u32,
    /// Version of its list.
    pub(super) version: u64,
    /// When its list as a whole was last known to be current.
    pub(super) last_confirmed: Option<Nanos>,
    /// Start of the current interval over which the rate of change is observed; none without a watch.
    pub(super) watched_since: Option<Nanos>,
    /// The observed rate at which its nodes change.
    pub(super) change_rate: ChangeRate,
}

impl Default for DirectoryState {
    fn default() -> DirectoryState {
        DirectoryState {
            epoch: 0,
            version: 0,
            last_confirmed: None,
            watched_since: None,
            change_rate: ChangeRate::NONE,
        }
    }
}

impl DirectoryState {
    /// The current epoch and version.
    pub(super) fn source_version(&self) -> SourceVersion {
        SourceVersion { priority: SourcePriority::Directory, epoch: self.epoch, version: self.version }
    }

    pub(super) fn confirm(&mut self, at: Option<Nanos>) {
        self.last_confirmed = self.last_confirmed.max(at);
    }

    pub(super) fn on_heartbeat(&mut self, now: Nanos) {
        if self.last_confirmed.is_some() && self.watched_since.is_some() {
            self.last_confirmed = Some(now);
        }
        self.watched_since = self.watched_since.or(Some(now));
    }
}
