//! Queries of clients at the engine: submitting them, and answering with their outcome.

use super::sru_requests::{XML_HEADER, search_response};
use super::{Context, Downstream, PendingSearch, ProtocolState};
use crate::api::Nanos;
use crate::engine::{QueryId, QueryOutcome};
use crate::frontends::catalogue::diagnostic::{Condition, Diagnostic};
use crate::frontends::catalogue::job::{Job, NextStep, PlannedSearch, SearchResult};
use crate::frontends::catalogue::plan::PartValue;
use crate::http;
use crate::net::ConnId;

impl Downstream {
    pub(super) fn submit(&mut self, conn: ConnId, job: Job, context: &mut Context) {
        // Its response could not be sent: the client has closed the connection behind this request.
        if context.net.peer_ended(conn) {
            return self.close(conn, context);
        }
        let request = job.query_request(context.now);
        match context.engine.submit(context.now, request) {
            Ok(query) => {
                self.conn_by_query.insert(query, conn);
                self.slots.query_admitted(conn);
                if let Some(client) = self.clients.get_mut(&conn) {
                    client.job = Some((query, job));
                }
            }
            Err(rejected) => {
                tracing::info!("query rejected: the limit on open queries is reached");
                self.reject(conn, rejected.retry_after, context);
            }
        }
    }

    /// Handles the final outcome of a query: sends the response, or submits the job's next query.
    pub fn on_query_outcome(
        &mut self,
        query: QueryId,
        answer: QueryOutcome<PartValue>,
        context: &mut Context,
    ) {
        let Some(conn) = self.conn_by_query.remove(&query) else { return };
        let Some(client) = self.clients.get_mut(&conn) else { return };
        let Some((_, mut job)) = client.job.take() else { return };
        match answer {
            QueryOutcome::Rejected { retry_after } => self.reject(conn, retry_after, context),
            QueryOutcome::Failed => {
                let d = Diagnostic::new(Condition::OutOfTime, "no answer in time");
                self.fail(conn, 504, &[], d, context);
            }
            QueryOutcome::Answered(answered) => match job.on_answer(answered) {
                NextStep::SendQuery => self.submit(conn, job, context),
                NextStep::Refused(d) => self.fail(conn, 200, &[], d, context),
                NextStep::Done(outcome) => self.complete(conn, job.planned_search(), outcome, context),
            },
        }
        // Pipelined requests are handled now.
        self.read(conn, context);
    }

    pub(super) fn reject(&mut self, conn: ConnId, retry_after: Nanos, context: &mut Context) {
        let text = http::retry_after(retry_after);
        let d = Diagnostic::new(Condition::TemporarilyUnavailable, format!("ask again after {text} s"));
        let headers: &[(&str, &str)] = if retry_after > 0 { &[("Retry-After", &text)] } else { &[] };
        self.fail(conn, 503, headers, d, context);
    }

    pub(super) fn fail(
        &mut self,
        conn: ConnId,
        status: u16,
        headers: &[(&str, &str)],
        d: Diagnostic,
        context: &mut Context,
    ) {
        let message = match self.clients.get_mut(&conn).map(|c| &mut c.protocol) {
            None => return,
            Some(ProtocolState::Sru { pending, .. }) => {
                let version = pending.as_ref().map_or("1.2", |p| p.version);
                return self.respond_diagnostic(conn, status, headers, &d, version, context);
            }
            Some(ProtocolState::Z3950(session)) => session.job_failed(d),
        };
        self.respond_z3950(conn, message, context);
    }

    pub(super) fn complete(
        &mut self,
        conn: ConnId,
        plan: &PlannedSearch,
        outcome: SearchResult,
        context: &mut Context,
    ) {
        let message = match self.clients.get_mut(&conn).map(|c| &mut c.protocol) {
            None => return,
            Some(ProtocolState::Sru { pending, .. }) => {
                let Some(PendingSearch { version, packing, start }) = pending.take() else { return };
                let body = search_response(outcome, version, packing, start);
                return self.respond(conn, 200, &[XML_HEADER], &body, context);
            }
            Some(ProtocolState::Z3950(session)) => session.job_done(plan, outcome),
        };
        self.respond_z3950(conn, message, context);
    }
}
