//! One value that brokers agree on by majority: what the others have accepted can't be overlooked, whoever asks, crashes or
//! is cut off. Free of I/O and clock.
//!
//! CASPaxos: a broker that wants a change asks a majority of the group for the last value under a ballot of its own, works
//! out the next value from it, and has a majority accept that. There is no leader, no log and no lease: nothing that
//! a paused process could wrongly believe that it still holds. What a voter promised or accepted is on its disk before
//! it answers.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The place of an attempt in the order of all. The proposer's number makes it that proposer's alone.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ballot {
    /// Greater than any that its proposer has heard of.
    pub round: u64,
    /// Who tries: one process, drawn anew at its start.
    pub proposer: u64,
}

/// What a proposer asks a voter.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Ask<V> {
    /// To take nothing of a lower ballot from now on, and to tell what it accepted last.
    Prepare { ballot: Ballot },
    /// To accept a value.
    Accept { ballot: Ballot, value: V },
}

/// What a voter answers.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Answer<V> {
    /// It takes nothing lower; what it accepted last, if anything.
    Promised { ballot: Ballot, accepted: Option<(Ballot, V)> },
    /// It accepted the value of this ballot.
    Accepted { ballot: Ballot },
    /// It has promised a higher one.
    Refused { ballot: Ballot, promised: Ballot },
}

/// What a voter must have on disk before it answers.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Voter<V> {
    promised: Ballot,
    accepted: Option<(Ballot, V)>,
}

impl<V> Default for Voter<V> {
    fn default() -> Voter<V> {
        Voter { promised: Ballot::default(), accepted: None }
    }
}

impl<V: Clone> Voter<V> {
    /// Answers. The caller has the voter on disk before the answer leaves; an answer that can't be kept is not given.
    pub fn answer(&mut self, ask: &Ask<V>) -> Answer<V> {
        match ask {
            Ask::Prepare { ballot } if *ballot > self.promised => {
                self.promised = *ballot;
                Answer::Promised { ballot: *ballot, accepted: self.accepted.clone() }
            }
            // The promise that holds is the one for this very ballot: its value is taken.
            Ask::Accept { ballot, value } if *ballot >= self.promised => {
                self.promised = *ballot;
                self.accepted = Some((*ballot, value.clone()));
                Answer::Accepted { ballot: *ballot }
            }
            Ask::Prepare { ballot } | Ask::Accept { ballot, .. } => {
                Answer::Refused { ballot: *ballot, promised: self.promised }
            }
        }
    }

    /// What it accepted last.
    pub fn accepted(&self) -> Option<&V> {
        self.accepted.as_ref().map(|(_, v)| v)
    }
}

/// How an attempt stands.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stage<V> {
    /// Asking for promises.
    Preparing,
    /// A majority has told what stood: the caller works out the next value, or lets it be.
    Read(Option<V>),
    /// Asking to accept.
    Proposing(V),
    /// A majority accepted the value: it is agreed on.
    Agreed(V),
    /// Somebody has a higher ballot: to be tried again later, under a round above this.
    Overtaken(u64),
}

/// One attempt at a change.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt<V> {
    ballot: Ballot,
    group: usize,
    stage: Stage<V>,
    promised: BTreeMap<u64, Option<(Ballot, V)>>,
    accepted: BTreeSet<u64>,
}

impl<V: Clone + Ord> Attempt<V> {
    /// An attempt in a group of so many voters, and what all of them are to be asked.
    pub fn begin(ballot: Ballot, group: usize) -> (Attempt<V>, Ask<V>) {
        let (promised, accepted) = (BTreeMap::new(), BTreeSet::new());
        (Attempt { ballot, group, stage: Stage::Preparing, promised, accepted }, Ask::Prepare { ballot })
    }

    /// How it stands.
    pub fn stage(&self) -> &Stage<V> {
        &self.stage
    }

    /// Its ballot.
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    fn majority(&self, n: usize) -> bool {
        2 * n > self.group
    }

    /// A voter, by its number in the group, has answered. Answers may come twice, late, or to an earlier attempt.
    pub fn heard(&mut self, voter: u64, answer: &Answer<V>) {
        let (Answer::Promised { ballot, .. } | Answer::Accepted { ballot } | Answer::Refused { ballot, .. }) =
            answer;
        if *ballot != self.ballot {
            return;
        }
        match (answer, &self.stage) {
            (Answer::Refused { promised, .. }, Stage::Preparing | Stage::Proposing(_)) => {
                self.stage = Stage::Overtaken(promised.round);
            }
            (Answer::Promised { accepted, .. }, Stage::Preparing) => {
                self.promised.insert(voter, accepted.clone());
                if self.majority(self.promised.len()) {
                    let last = self.promised.values().flatten().max_by_key(|(ballot, _)| *ballot);
                    self.stage = Stage::Read(last.map(|(_, v)| v.clone()));
                }
            }
            (Answer::Accepted { .. }, Stage::Proposing(value)) => {
                self.accepted.insert(voter);
                if self.majority(self.accepted.len()) {
                    self.stage = Stage::Agreed(value.clone());
                }
            }
            _ => {}
        }
    }

    /// The next value, worked out from the one that was read; what all voters are to be asked. Also to confirm what was
    /// read: a value that one voter has may not be agreed on yet.
    pub fn propose(&mut self, value: V) -> Option<Ask<V>> {
        if !matches!(self.stage, Stage::Read(_)) {
            return None;
        }
        self.stage = Stage::Proposing(value.clone());
        Some(Ask::Accept { ballot: self.ballot, value })
    }
}
