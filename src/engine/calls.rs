//! Grouping of the attempts of one round into calls by server.

use super::messages::{AttemptId, AttemptRequest, EngineAction};
use crate::api::ReplicaId;

/// The attempts of one round at one server.
#[derive(Debug)]
struct ServerCalls<Q> {
    replica: ReplicaId,
    parts: Vec<AttemptRequest<Q>>,
}

/// The attempts of one round, grouped by server. Servers are in the order of their first attempt.
#[derive(Debug)]
pub(super) struct CallBatch<Q> {
    servers: Vec<ServerCalls<Q>>,
}

impl<Q> CallBatch<Q> {
    pub(super) fn new() -> CallBatch<Q> {
        CallBatch { servers: Vec::new() }
    }

    pub(super) fn push(&mut self, replica: ReplicaId, part: AttemptRequest<Q>) {
        match self.servers.iter_mut().find(|server| server.replica == replica) {
            Some(server) => server.parts.push(part),
            None => self.servers.push(ServerCalls { replica, parts: vec![part] }),
        }
    }

    /// Removes an attempt. Returns false if it is not in this batch, because it was sent in an earlier round.
    pub(super) fn remove(&mut self, attempt: AttemptId) -> bool {
        for server in &mut self.servers {
            if let Some(index) = server.parts.iter().position(|part| part.attempt == attempt) {
                server.parts.remove(index);
                return true;
            }
        }
        false
    }

    /// The calls, each with at most `parts_per_call` attempts.
    pub(super) fn into_actions<V>(self, parts_per_call: usize) -> Vec<EngineAction<Q, V>> {
        let mut actions = Vec::new();
        for ServerCalls { replica, mut parts } in self.servers {
            while !parts.is_empty() {
                let rest = parts.split_off(parts.len().min(parts_per_call));
                actions.push(EngineAction::Call { replica, parts });
                parts = rest;
            }
        }
        actions
    }
}
