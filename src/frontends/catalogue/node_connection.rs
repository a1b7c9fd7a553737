//! One upstream connection to an index node: its session, the part in flight on it, and when it may be used.

use super::node_session::NodeSession;
use crate::api::{Nanos, ReplicaId};
use crate::engine::AttemptId;

/// Time within which a cancelled search must be answered before its connection is closed, ns.
const CANCELLED_RESPONSE_TIMEOUT: Nanos = 2_000_000_000;
/// How long a connection without response ids rests between a response and its next request, ns. Data that
/// arrives meanwhile belongs to no request and closes it; later it would be taken for the next response.
const REST_TIME: Nanos = 5_000_000;

/// A part whose request is in flight.
pub(super) struct PartInFlight {
    /// None once the attempt is cancelled.
    pub(super) attempt: Option<AttemptId>,
    /// Position of the end of its request among all bytes written on the connection.
    pub(super) request_end: u64,
    /// Whether the request is known to be written whole.
    pub(super) written: bool,
    pub(super) cancelled_at: Nanos,
}

/// A connection to a node.
pub(super) struct NodeConnection {
    pub(super) replica: ReplicaId,
    pub(super) session: NodeSession,
    pub(super) in_flight: Option<PartInFlight>,
    /// When it must be ready at the latest; none once it is ready.
    pub(super) ready_deadline: Option<Nanos>,
    pub(super) last_used: Nanos,
    /// Until when no request is sent after the last response.
    rest_until: Nanos,
    /// The request of the next page, which waits until the connection has rested.
    next_page: Option<Vec<u8>>,
}

impl NodeConnection {
    /// A connection that is being established.
    pub(super) fn dialed(
        replica: ReplicaId,
        session: NodeSession,
        now: Nanos,
        ready_deadline: Nanos,
    ) -> NodeConnection {
        NodeConnection {
            replica,
            session,
            in_flight: None,
            ready_deadline: Some(ready_deadline),
            last_used: now,
            rest_until: 0,
            next_page: None,
        }
    }

    /// Whether it is established and no part is in flight on it. It may still have to rest.
    pub(super) fn is_idle(&self) -> bool {
        self.ready_deadline.is_none() && self.in_flight.is_none()
    }

    /// Whether a search may be sent on it.
    pub(super) fn is_free(&self, now: Nanos) -> bool {
        self.is_idle() && self.rest_until <= now
    }

    /// Whether a search may be sent on it once it has rested.
    pub(super) fn is_resting(&self, now: Nanos) -> bool {
        self.is_idle() && self.rest_until > now
    }

    /// Whether data may arrive: it is not established yet, or a request is in flight.
    pub(super) fn awaits_data(&self) -> bool {
        !self.is_idle() && self.next_page.is_none()
    }

    /// Records that a response was read. Returns whether the next request may follow at once.
    pub(super) fn response_received(&mut self, now: Nanos) -> bool {
        self.last_used = now;
        if !self.session.identifies_responses() {
            self.rest(now);
        }
        self.rest_until <= now
    }

    /// Sends no request for a while.
    pub(super) fn rest(&mut self, now: Nanos) {
        self.rest_until = now + REST_TIME;
    }

    /// Keeps the request of the next page until the connection has rested.
    pub(super) fn defer_page(&mut self, request: Vec<u8>) {
        self.next_page = Some(request);
    }

    /// The request of the next page, once the connection has rested.
    pub(super) fn take_due_page(&mut self, now: Nanos) -> Option<Vec<u8>> {
        self.next_page.take_if(|_| self.rest_until <= now)
    }

    /// When its rest ends, if something waits for that. `has_queue` is whether parts wait for its node.
    pub(super) fn rest_ends_at(&self, has_queue: bool) -> Option<Nanos> {
        (self.rest_until > 0 && (self.next_page.is_some() || (has_queue && self.is_idle())))
            .then_some(self.rest_until)
    }

    /// When it is to be closed. `is_listed` is whether its node still exists, and `idle_timeout` the time that
    /// an unused connection stays open.
    pub(super) fn expires_at(&self, is_listed: bool, idle_timeout: Nanos) -> Nanos {
        match (self.ready_deadline, &self.in_flight) {
            (Some(t), _) => t,
            (None, Some(PartInFlight { attempt: None, cancelled_at, .. })) => {
                cancelled_at + CANCELLED_RESPONSE_TIMEOUT
            }
            (None, Some(_)) => Nanos::MAX,
            // Nothing more is sent to a removed node.
            (None, None) if !is_listed => 0,
            (None, None) => self.last_used + idle_timeout,
        }
    }
}
