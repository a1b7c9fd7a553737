//! Requests over SRU and their responses.

use super::{Client, Context, Downstream, PendingSearch, ProtocolState};
use crate::api::Nanos;
use crate::config::Protocol;
use crate::frontends::catalogue::cql;
use crate::frontends::catalogue::diagnostic::{Condition, Diagnostic};
use crate::frontends::catalogue::job::{Job, SearchResult};
use crate::frontends::catalogue::session::Catalogue;
use crate::frontends::catalogue::sru::{self, RecordPacking, Request, SearchRetrieve};
use crate::http::{self, Head};
use crate::net::ConnId;

const NANOS_PER_MILLI: Nanos = 1_000_000;
const DEFAULT_HTTP_PORT: u16 = 80;
/// The parameter with which a client requests a time limit, ms.
const TIME_LIMIT_PARAMETER: &str = "x-deadline-ms";

/// What an HTTP request is for.
enum Route {
    /// An SRU operation on this database.
    Database(String),
    /// Nothing but this response, without a body.
    Respond { status: u16, headers: &'static [(&'static str, &'static str)] },
}

impl Downstream {
    /// Reads and handles the next SRU request. Returns false if it is not complete, or if the connection was
    /// closed.
    pub(super) fn process_sru(&mut self, conn: ConnId, context: &mut Context) -> bool {
        let Some(Client { protocol: ProtocolState::Sru { reader, keep_alive, .. }, .. }) =
            self.clients.get_mut(&conn)
        else {
            return false;
        };
        let pool = context.net.pool().clone();
        let had_head = reader.head().is_some();
        let consumed = match reader.advance(context.net.data(conn), &pool) {
            Ok(consumed) => consumed,
            Err(e) => {
                self.reject_malformed(conn, e, context);
                return false;
            }
        };
        context.net.consume(conn, consumed);
        if reader.head().filter(|_| !had_head).is_some_and(|h| h.expects_continue) && !reader.is_done() {
            let _ = context.net.send(conn, b"HTTP/1.1 100 Continue\r\n\r\n");
        }
        if !reader.is_done() {
            return false;
        }
        *keep_alive = reader.head().is_some_and(|h| h.keep_alive);
        self.handle_sru_request(conn, context);
        if let Some(Client { protocol: ProtocolState::Sru { reader, .. }, .. }) = self.clients.get_mut(&conn)
        {
            reader.reset();
        }
        true
    }

    fn handle_sru_request(&mut self, conn: ConnId, context: &mut Context) {
        let Some(Client { protocol: ProtocolState::Sru { reader, .. }, .. }) = self.clients.get(&conn) else {
            return;
        };
        let Some(head) = reader.head() else { return };
        let database = match self.route(head) {
            Route::Database(name) => name,
            Route::Respond { status, headers } => return self.respond(conn, status, headers, b"", context),
        };
        let form = if head.method == "POST" { String::from_utf8_lossy(reader.body()) } else { "".into() };
        let parameters = sru::parameters(&head.target, &form);
        match sru::read(&parameters) {
            Err((diagnostic, version)) => {
                self.respond_diagnostic(conn, 200, &[], &diagnostic, version, context)
            }
            Ok(Request::Explain { version, packing }) => {
                let body = self.explain(head, &database, version, packing);
                self.respond(conn, 200, &[XML_HEADER], &body, context);
            }
            Ok(Request::Search(request)) => {
                let planned = self.plan_sru_search(&request, &database, &parameters, context.now);
                match planned {
                    Ok(job) => self.begin_sru_search(conn, &request, job, context),
                    Err(d) => self.respond_diagnostic(conn, 200, &[], &d, request.version, context),
                }
            }
        }
    }

    /// What a request is for, by its method and path.
    fn route(&self, head: &Head) -> Route {
        let databases = &self.settings.operator.database;
        let path = head.path().trim_start_matches('/');
        let is_form =
            head.header("content-type").is_none_or(|t| t.starts_with("application/x-www-form-urlencoded"));
        let respond = |status| Route::Respond { status, headers: &[] };
        match (head.method.as_str(), path) {
            ("GET", "-/ready") => respond(if self.not_ready { 503 } else { 200 }),
            ("GET", "-/healthy") => respond(200),
            ("GET" | "POST", path) if !path.is_empty() && !databases.iter().any(|d| d.name == path) => {
                respond(404)
            }
            ("POST", _) if !is_form => respond(415),
            ("GET" | "POST", "") => Route::Database(databases[0].name.clone()),
            ("GET" | "POST", path) => Route::Database(path.to_owned()),
            _ => Route::Respond { status: 405, headers: &[("Allow", "GET, POST")] },
        }
    }

    fn explain(&self, head: &Head, database: &str, version: &str, packing: RecordPacking) -> Vec<u8> {
        let operator = &self.settings.operator;
        let listener = operator.listener.iter().find(|l| l.protocol == Protocol::Sru);
        let port = listener.map_or(DEFAULT_HTTP_PORT, |l| l.listen.port());
        let host = head.header("host").unwrap_or("localhost");
        let host_and_port = host.rsplit_once(':').and_then(|(host, port)| Some((host, port.parse().ok()?)));
        let (host, port) = host_and_port.unwrap_or((host, port));
        sru::explain(version, packing, host, port, database, operator.limits.records)
    }

    /// The job of a search, or why it can't be run.
    fn plan_sru_search(
        &self,
        request: &SearchRetrieve,
        database: &str,
        parameters: &[(String, String)],
        now: Nanos,
    ) -> Result<Job, Diagnostic> {
        let search = cql::parse(&request.query)?;
        let (plan, class_time_limit) = self.settings.plan_search(database, search)?;
        // A client may request a shorter time limit than that of its class.
        let requested = parameters.iter().find(|(name, _)| name == TIME_LIMIT_PARAMETER);
        let time_limit = match requested.map(|(_, value)| value.parse::<u64>()) {
            None => class_time_limit,
            Some(Ok(ms)) => class_time_limit.min(ms.saturating_mul(NANOS_PER_MILLI)),
            Some(Err(_)) => {
                return Err(Diagnostic::new(Condition::UnsupportedParameterValue, TIME_LIMIT_PARAMETER));
            }
        };
        let count = request.maximum.unwrap_or(DEFAULT_RECORDS).min(self.settings.max_records());
        Ok(Job::search(plan, request.start, count, now + time_limit))
    }

    fn begin_sru_search(&mut self, conn: ConnId, request: &SearchRetrieve, job: Job, context: &mut Context) {
        if let Some(Client { protocol: ProtocolState::Sru { pending, .. }, .. }) = self.clients.get_mut(&conn)
        {
            let (version, packing, start) = (request.version, request.packing, request.start);
            *pending = Some(PendingSearch { version, packing, start });
        }
        self.submit(conn, job, context);
    }

    pub(super) fn respond_diagnostic(
        &mut self,
        conn: ConnId,
        status: u16,
        headers: &[(&str, &str)],
        d: &Diagnostic,
        version: &str,
        context: &mut Context,
    ) {
        let response = sru::Response { diagnostics: vec![d.clone()], ..sru::Response::default() };
        let body = sru::write(&response, version, RecordPacking::Xml, 1);
        let headers: Vec<(&str, &str)> = headers.iter().copied().chain([XML_HEADER]).collect();
        self.respond(conn, status, &headers, &body, context);
    }

    /// Sends an HTTP response.
    pub(super) fn respond(
        &mut self,
        conn: ConnId,
        status: u16,
        headers: &[(&str, &str)],
        body: &[u8],
        context: &mut Context,
    ) {
        let Some(Client { protocol: ProtocolState::Sru { keep_alive, pending, .. }, .. }) =
            self.clients.get_mut(&conn)
        else {
            return;
        };
        *pending = None;
        let keep = *keep_alive && !self.closing;
        let message = http::response(status, headers, keep, body);
        if keep {
            self.send(conn, &message, context);
        } else {
            self.send_and_close(conn, Some(message), context);
        }
    }
}

/// Most records in a response if the client gives no maximum.
const DEFAULT_RECORDS: u64 = 10;
pub(super) const XML_HEADER: (&str, &str) = ("Content-Type", "text/xml; charset=utf-8");

pub(super) fn search_response(
    outcome: SearchResult,
    version: &str,
    packing: RecordPacking,
    start: u64,
) -> Vec<u8> {
    let total = outcome.counts.total();
    let next = start.saturating_add(outcome.items.len() as u64);
    let mut diagnostics: Vec<Diagnostic> = outcome.counts.diagnostic().into_iter().collect();
    if start > 1 && start > total {
        diagnostics.push(Diagnostic::new(Condition::FirstPositionOutOfRange, start.to_string()));
    }
    let next = (next <= total).then_some(next);
    sru::write(&sru::Response { total, items: outcome.items, next, diagnostics }, version, packing, start)
}
