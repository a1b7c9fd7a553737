//! A digest of emitted values that does not depend on the names of types, fields or variants.
//!
//! Values are encoded field by field, and every variant has a numeric tag here. The tags and the order of the
//! fields are part of the record: a renamed variant keeps its tag.

use pebbleturn::membership::{NodeChange, NodeState};
use pebbleturn::{Action, Outcome, ReplicaEntry, ReplicaState};
use xxhash_rust::xxh3::Xxh3;

/// Every way in which an attempt can end.
pub const OUTCOMES: [Outcome; 9] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Rejected,
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::ConnectionReset,
    Outcome::InvalidResponse,
    Outcome::Cancelled,
    Outcome::NotSent,
];

/// Number of variants of [`Action`]; their tags are lower than this.
pub const ACTION_KINDS: usize = 8;

/// The tag of an outcome.
pub fn outcome_tag(outcome: Outcome) -> u8 {
    match outcome {
        Outcome::Ok => 0,
        Outcome::Error => 1,
        Outcome::Rejected => 2,
        Outcome::TimedOut => 3,
        Outcome::ConnectFailed => 4,
        Outcome::ConnectionReset => 5,
        Outcome::InvalidResponse => 6,
        Outcome::Cancelled => 7,
        Outcome::NotSent => 8,
    }
}

/// The tag of a replica's state in the endpoint list.
pub fn replica_state_tag(state: ReplicaState) -> u8 {
    match state {
        ReplicaState::Active => 0,
        ReplicaState::Draining => 1,
        ReplicaState::Removed => 2,
    }
}

/// The tag of a node's state.
pub fn node_state_tag(state: NodeState) -> u8 {
    match state {
        NodeState::Ready => 0,
        NodeState::Terminating => 1,
        NodeState::Gone => 2,
    }
}

/// The tag of an action.
pub fn action_tag(action: &Action) -> u8 {
    match action {
        Action::Send { .. } => 0,
        Action::Cancel { .. } => 1,
        Action::Answer { .. } => 2,
        Action::Reject { .. } => 3,
        Action::Fail { .. } => 4,
        Action::HealthCheck { .. } => 5,
        Action::WatchEndpoints => 6,
        Action::SetTimer { .. } => 7,
    }
}

/// An incremental digest.
#[derive(Default)]
pub struct Digest {
    hasher: Xxh3,
}

impl Digest {
    /// The digest of everything added so far.
    pub fn value(&self) -> u64 {
        self.hasher.digest()
    }

    pub fn put_tag(&mut self, tag: u8) {
        self.hasher.update(&[tag]);
    }

    pub fn put_u64(&mut self, number: u64) {
        self.hasher.update(&number.to_le_bytes());
    }

    pub fn put_u128(&mut self, number: u128) {
        self.hasher.update(&number.to_le_bytes());
    }

    pub fn put_count(&mut self, count: usize) {
        self.put_u64(count as u64);
    }

    pub fn put_f64(&mut self, number: f64) {
        self.put_u64(number.to_bits());
    }

    pub fn put_bool(&mut self, value: bool) {
        self.put_tag(u8::from(value));
    }

    pub fn put_bytes(&mut self, bytes: &[u8]) {
        self.put_count(bytes.len());
        self.hasher.update(bytes);
    }

    pub fn put_str(&mut self, text: &str) {
        self.put_bytes(text.as_bytes());
    }

    /// Whether there is a value, and the value if there is one.
    pub fn put_option<T>(&mut self, value: Option<T>, put: impl FnOnce(&mut Digest, T)) {
        self.put_bool(value.is_some());
        if let Some(value) = value {
            put(self, value);
        }
    }

    /// The number of values, and each of them.
    pub fn put_all<T>(&mut self, values: &[T], put: impl Fn(&mut Digest, &T)) {
        self.put_count(values.len());
        values.iter().for_each(|value| put(self, value));
    }

    pub fn put_outcome(&mut self, outcome: Outcome) {
        self.put_tag(outcome_tag(outcome));
    }

    /// One entry of the endpoint list.
    pub fn put_replica_entry(&mut self, entry: &ReplicaEntry) {
        self.put_u64(entry.replica.0.into());
        self.put_u64(entry.zone.into());
        self.put_u64(entry.cell.into());
        self.put_tag(replica_state_tag(entry.state));
        self.put_option(entry.started, Digest::put_u64);
        self.put_f64(entry.weight);
    }

    /// One change of a node, as membership and routing emit it.
    pub fn put_change(&mut self, change: &NodeChange) {
        self.put_replica_entry(&change.entry);
        self.put_str(&change.id);
        self.put_option(change.addr, |digest, address| digest.put_str(&address.to_string()));
        self.put_str(&change.kind);
    }

    /// The changes, if any were emitted.
    pub fn put_changes(&mut self, changes: Option<&[NodeChange]>) {
        self.put_option(changes, |digest, changes| digest.put_all(changes, Digest::put_change));
    }

    /// One action of the balancer.
    pub fn put_action(&mut self, action: &Action) {
        self.put_tag(action_tag(action));
        match action {
            Action::Send { part, replica, timeout } => {
                self.put_u128(part.0);
                self.put_u64(replica.0.into());
                self.put_u64(*timeout);
            }
            Action::Cancel { part, attempt } => {
                self.put_u128(part.0);
                self.put_u64((*attempt).into());
            }
            Action::Answer { query, complete } => {
                self.put_u128(query.0);
                self.put_bool(*complete);
            }
            Action::Reject { query, retry_after } => {
                self.put_u128(query.0);
                self.put_u64(*retry_after);
            }
            Action::Fail { query } => self.put_u128(query.0),
            Action::HealthCheck { replica } => self.put_u64(replica.0.into()),
            Action::WatchEndpoints => {}
            Action::SetTimer { after } => self.put_u64(*after),
        }
    }
}
