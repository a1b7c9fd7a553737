//! A single value on which a small group of brokers agrees by majority (CASPaxos). Performs no I/O and reads
//! no clock.
//!
//! A proposer reads the last value from a majority of the group under a ballot of its own, derives the next
//! value from it, and has a majority accept that. There is no leader, no log and no lease, so a process that
//! resumes after a pause can't act on a role or lease that it has lost. An acceptor writes its promises and
//! accepted values to disk before it responds.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Orders the attempts of all proposers. The proposer's number makes each ballot unique.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ballot {
    /// A number greater than any round that is known to the proposer.
    pub round: u64,
    /// The number of the proposer, which is one process; a new number is drawn at each start.
    pub proposer: u64,
}

/// A request of a proposer to an acceptor.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Request<V> {
    /// Requests the promise to accept no lower ballot, and the value that was accepted last.
    Prepare {
        /// The ballot of the attempt.
        ballot: Ballot,
    },
    /// Requests that a value be accepted.
    Accept {
        /// The ballot of the attempt.
        ballot: Ballot,
        /// The proposed value.
        value: V,
    },
}

/// The response of an acceptor.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Response<V> {
    /// The acceptor promised to accept no lower ballot.
    Promised {
        /// The ballot of the request.
        ballot: Ballot,
        /// The value that it accepted last, with its ballot.
        accepted: Option<(Ballot, V)>,
    },
    /// The acceptor accepted the value.
    Accepted {
        /// The ballot of the request.
        ballot: Ballot,
    },
    /// The acceptor rejected the request, since it has promised a higher ballot.
    #[serde(rename = "Refused")]
    Rejected {
        /// The ballot of the request.
        ballot: Ballot,
        /// The ballot that it promised.
        promised: Ballot,
    },
}

/// An acceptor: a voting member of the group. Its whole state must be on disk before a response is sent.
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
    /// Handles a request. The caller writes the acceptor to disk before it sends the response; if the write
    /// fails, it sends none.
    pub fn on_request(&mut self, request: &Request<V>) -> Response<V> {
        match request {
            Request::Prepare { ballot } if *ballot > self.promised => {
                self.promised = *ballot;
                Response::Promised { ballot: *ballot, accepted: self.accepted.clone() }
            }
            // An equal ballot is accepted: the promise was made to the same attempt.
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

    /// The value that it accepted last.
    pub fn accepted_value(&self) -> Option<&V> {
        self.accepted.as_ref().map(|(_, value)| value)
    }
}

/// The state of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ProposerState<V> {
    /// Waiting for promises.
    Preparing,
    /// A majority has promised. The caller derives the next value from this one, which is none if no acceptor
    /// of the majority had accepted any, and proposes it or abandons the attempt.
    Prepared(Option<V>),
    /// Waiting for this value to be accepted.
    Proposing(V),
    /// A majority has accepted this value.
    Chosen(V),
    /// An acceptor promised a higher ballot, with this round. The caller retries later with a higher round.
    Preempted(u64),
}

/// One attempt to change the value.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Proposer<V> {
    ballot: Ballot,
    group_size: usize,
    state: ProposerState<V>,
    /// The values that acceptors returned with their promises, by the acceptor's number.
    promised: BTreeMap<u64, Option<(Ballot, V)>>,
    accepted: BTreeSet<u64>,
}

impl<V: Clone + Ord> Proposer<V> {
    /// Begins an attempt in a group of `group_size` acceptors. Returns it with the request to all of them.
    pub fn begin(ballot: Ballot, group_size: usize) -> (Proposer<V>, Request<V>) {
        let proposer = Proposer {
            ballot,
            group_size,
            state: ProposerState::Preparing,
            promised: BTreeMap::new(),
            accepted: BTreeSet::new(),
        };
        (proposer, Request::Prepare { ballot })
    }

    /// The state of the attempt.
    pub fn state(&self) -> &ProposerState<V> {
        &self.state
    }

    /// The ballot of the attempt.
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    fn is_majority(&self, acceptors: usize) -> bool {
        2 * acceptors > self.group_size
    }

    /// Handles the response of an acceptor, given by its number in the group. Responses that are duplicated,
    /// late, or belong to another attempt have no effect.
    pub fn on_response(&mut self, acceptor: u64, response: &Response<V>) {
        let (Response::Promised { ballot, .. }
        | Response::Accepted { ballot }
        | Response::Rejected { ballot, .. }) = response;
        if *ballot != self.ballot {
            return;
        }
        match (response, &self.state) {
            (Response::Rejected { promised, .. }, ProposerState::Preparing | ProposerState::Proposing(_)) => {
                self.state = ProposerState::Preempted(promised.round);
            }
            (Response::Promised { accepted, .. }, ProposerState::Preparing) => {
                self.promised.insert(acceptor, accepted.clone());
                if self.is_majority(self.promised.len()) {
                    let latest = self.promised.values().flatten().max_by_key(|(ballot, _)| *ballot);
                    self.state = ProposerState::Prepared(latest.map(|(_, value)| value.clone()));
                }
            }
            (Response::Accepted { .. }, ProposerState::Proposing(value)) => {
                self.accepted.insert(acceptor);
                if self.is_majority(self.accepted.len()) {
                    self.state = ProposerState::Chosen(value.clone());
                }
            }
            _ => {}
        }
    }

    /// Proposes the next value, derived from the one that was read. Returns the request to all acceptors, or
    /// none unless the state is [`ProposerState::Prepared`]. To confirm the value that was read, propose it
    /// unchanged: a value that an acceptor has accepted is not necessarily chosen.
    #[must_use]
    pub fn propose(&mut self, value: V) -> Option<Request<V>> {
        if !matches!(self.state, ProposerState::Prepared(_)) {
            return None;
        }
        self.state = ProposerState::Proposing(value.clone());
        Some(Request::Accept { ballot: self.ballot, value })
    }
}
