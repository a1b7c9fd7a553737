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
pub enum Request<V> {
    /// To take nothing of a lower ballot from now on, and to tell what it accepted last.
    Prepare { ballot: Ballot },
    /// To accept a value.
    Accept { ballot: Ballot, value: V },
}

/// What a voter answers.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Response<V> {
    /// It takes nothing lower; what it accepted last, if anything.
    Promised { ballot: Ballot, accepted: Option<(Ballot, V)> },
    /// It accepted the value of this ballot.
    Accepted { ballot: Ballot },
    /// It has promised a higher one.
    #[serde(rename = "Refused")]
    Rejected { ballot: Ballot, promised: Ballot },
}

/// What a voter must have on disk before it answers.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Acceptor<V> {
    promised: Ballot,
    accepted: Option<(Ballot, V)>,
}

impl<V> Default for Acceptor<V> {
    fn default() -> Acceptor<V> {
        Acceptor { promised: Ballot::default(), accepted: None }
    }
}

impl<V: Clone> Acceptor<V> {
    /// Answers. The caller has the voter on disk before the answer leaves; an answer that can't be kept is not given.
    pub fn on_request(&mut self, ask: &Request<V>) -> Response<V> {
        match ask {
            Request::Prepare { ballot } if *ballot > self.promised => {
                self.promised = *ballot;
                Response::Promised { ballot: *ballot, accepted: self.accepted.clone() }
            }
            // The promise that holds is the one for this very ballot: its value is taken.
            Request::Accept { ballot, value } if *ballot >= self.promised => {
                self.promised = *ballot;
                self.accepted = Some((*ballot, value.clone()));
                Response::Accepted { ballot: *ballot }
            }
            Request::Prepare { ballot } | Request::Accept { ballot, .. } => {
                Response::Rejected { ballot: *ballot, promised: self.promised }
            }
        }
    }

    /// What it accepted last.
    pub fn accepted_value(&self) -> Option<&V> {
        self.accepted.as_ref().map(|(_, v)| v)
    }
}

/// How an attempt stands.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ProposerState<V> {
    /// Asking for promises.
    Preparing,
    /// A majority has told what stood: the caller works out the next value, or lets it be.
    Prepared(Option<V>),
    /// Asking to accept.
    Proposing(V),
    /// A majority accepted the value: it is agreed on.
    Chosen(V),
    /// Somebody has a higher ballot: to be tried again later, under a round above this.
    Preempted(u64),
}

/// One attempt at a change.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Proposer<V> {
    ballot: Ballot,
    group_size: usize,
    state: ProposerState<V>,
    promised: BTreeMap<u64, Option<(Ballot, V)>>,
    accepted: BTreeSet<u64>,
}

impl<V: Clone + Ord> Proposer<V> {
    /// An attempt in a group of so many voters, and what all of them are to be asked.
    pub fn begin(ballot: Ballot, group: usize) -> (Proposer<V>, Request<V>) {
        let (promised, accepted) = (BTreeMap::new(), BTreeSet::new());
        (
            Proposer { ballot, group_size: group, state: ProposerState::Preparing, promised, accepted },
            Request::Prepare { ballot },
        )
    }

    /// How it stands.
    pub fn state(&self) -> &ProposerState<V> {
        &self.state
    }

    /// Its ballot.
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    fn is_majority(&self, n: usize) -> bool {
        2 * n > self.group_size
    }

    /// A voter, by its number in the group, has answered. Answers may come twice, late, or to an earlier attempt.
    pub fn on_response(&mut self, voter: u64, answer: &Response<V>) {
        let (Response::Promised { ballot, .. }
        | Response::Accepted { ballot }
        | Response::Rejected { ballot, .. }) = answer;
        if *ballot != self.ballot {
            return;
        }
        match (answer, &self.state) {
            (Response::Rejected { promised, .. }, ProposerState::Preparing | ProposerState::Proposing(_)) => {
                self.state = ProposerState::Preempted(promised.round);
            }
            (Response::Promised { accepted, .. }, ProposerState::Preparing) => {
                self.promised.insert(voter, accepted.clone());
                if self.is_majority(self.promised.len()) {
                    let last = self.promised.values().flatten().max_by_key(|(ballot, _)| *ballot);
                    self.state = ProposerState::Prepared(last.map(|(_, v)| v.clone()));
                }
            }
            (Response::Accepted { .. }, ProposerState::Proposing(value)) => {
                self.accepted.insert(voter);
                if self.is_majority(self.accepted.len()) {
                    self.state = ProposerState::Chosen(value.clone());
                }
            }
            _ => {}
        }
    }

    /// The next value, worked out from the one that was read; what all voters are to be asked. Also to confirm what was
    /// read: a value that one voter has may not be agreed on yet.
    pub fn propose(&mut self, value: V) -> Option<Request<V>> {
        if !matches!(self.state, ProposerState::Prepared(_)) {
            return None;
        }
        self.state = ProposerState::Proposing(value.clone());
        Some(Request::Accept { ballot: self.ballot, value })
    }
}
