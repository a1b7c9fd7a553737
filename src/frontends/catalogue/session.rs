//! A Z39.50 session with a client: its requests, result sets and responses.

use super::apdu::*;
use super::diagnostic::{Condition, Diagnostic};
use super::job::{Job, PlannedSearch, SearchResult};
use super::marc::Record;
use super::plan::HitCounts;
use super::search::Search;
use super::sru::Item;
use super::{cql, rpn};
use crate::api::Nanos;
use std::collections::BTreeMap;

/// Smallest message size that is agreed on, even if a client prefers a smaller one.
const MIN_MESSAGE_BYTES: usize = 4 * 1024;
/// Largest message size that is agreed on.
const MAX_MESSAGE_BYTES: usize = 512 * 1024;
/// Longest name of a result set.
const MAX_SET_NAME_BYTES: usize = 128;

/// The catalogue's settings that a session needs.
pub trait Catalogue {
    /// How a search in a database is sent to the nodes, and the time limit for its response.
    fn plan_search(&self, database: &str, search: Search) -> Result<(PlannedSearch, Nanos), Diagnostic>;
    /// Most records in one response.
    fn max_records(&self) -> u64;
    /// Most result sets of a session.
    fn max_result_sets(&self) -> usize;
}

#[derive(Clone, Debug)]
struct ResultSet {
    plan: PlannedSearch,
    counts: HitCounts,
    time_limit: Nanos,
}

/// The request whose response waits for a job.
#[derive(Debug)]
enum Pending {
    Search { request: SearchRequest, syntax: Syntax, time_limit: Nanos },
    Present { reference: Reference, start: u64, syntax: Syntax },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Syntax {
    Marc,
    Xml,
}

/// How a request is to be answered.
#[derive(Debug)]
pub enum Reply {
    /// Sends this message.
    Send(Vec<u8>),
    /// Sends this message, then closes the connection.
    SendAndClose(Vec<u8>),
    /// Closes the connection.
    Close,
    /// Runs this job. Its result is the response.
    Run(Job),
}

/// The state of a session.
#[derive(Debug, Default)]
pub struct Session {
    open: bool,
    /// Whether protocol version 3 was negotiated.
    version3: bool,
    message_size: usize,
    largest_record: usize,
    sets: BTreeMap<String, ResultSet>,
    pending: Option<Pending>,
}

impl Session {
    /// Whether an Init request was accepted.
    pub fn is_open(&self) -> bool {
        self.open
    }

    /// The message that ends the session.
    pub fn closing_message(reason: CloseReason, text: &str) -> Vec<u8> {
        Apdu::Close { reference: None, reason: reason as i64, diagnostic_information: text.into() }.encode()
    }

    /// Handles a request. The next one must not be passed before the response to this one is sent.
    pub fn handle_request(
        &mut self,
        apdu: Apdu,
        not_ready: bool,
        now: Nanos,
        catalogue: &impl Catalogue,
    ) -> Reply {
        let protocol_error =
            |text| Reply::SendAndClose(Session::closing_message(CloseReason::ProtocolError, text));
        match apdu {
            Apdu::InitRequest(r) if !self.open => self.init(r, not_ready),
            Apdu::Close { .. } if self.open => {
                Reply::SendAndClose(Session::closing_message(CloseReason::Finished, ""))
            }
            Apdu::Close { .. } => Reply::Close,
            _ if !self.open => protocol_error("Init comes first"),
            Apdu::SearchRequest(r) => self.search(r, now, catalogue),
            Apdu::PresentRequest(r) => self.present(r, now, catalogue),
            Apdu::DeleteRequest { reference, sets } => {
                let mut status = 0;
                match sets {
                    None => self.sets.clear(),
                    Some(names) => {
                        let missing = names.iter().filter(|n| self.sets.remove(*n).is_none()).count();
                        status = i64::from(missing > 0);
                    }
                }
                Reply::Send(Apdu::DeleteResponse { reference, status }.encode())
            }
            Apdu::Other { reference, tag } => match Apdu::unsupported(tag, &reference) {
                Some(answer) => Reply::Send(answer),
                None => protocol_error("a service that was not agreed on"),
            },
            _ => protocol_error("not a request that a client makes"),
        }
    }

    fn init(&mut self, r: InitRequest, not_ready: bool) -> Reply {
        let intersect = |a: &[u8], b: &[u8]| a.iter().zip(b).map(|(a, b)| a & b).collect::<Vec<u8>>();
        let agree_size = |n: i64| usize::try_from(n).unwrap_or(0).clamp(MIN_MESSAGE_BYTES, MAX_MESSAGE_BYTES);
        let versions = intersect(&r.versions, &VERSIONS);
        // The services offered here need version 2 or later.
        let accepted = !not_ready && versions.first().is_some_and(|v| v & 0b0110_0000 != 0);
        self.version3 = versions.first().is_some_and(|v| v & 0b0010_0000 != 0);
        (self.message_size, self.largest_record) =
            (agree_size(r.preferred_size), agree_size(r.largest_record));
        let response = Apdu::InitResponse(InitResponse {
            reference: r.reference,
            versions,
            options: intersect(&r.options, &OPTIONS),
            preferred_size: self.message_size as i64,
            largest_record: self.largest_record as i64,
            accepted,
        });
        self.open = accepted;
        if accepted { Reply::Send(response.encode()) } else { Reply::SendAndClose(response.encode()) }
    }

    fn search(&mut self, r: SearchRequest, now: Nanos, catalogue: &impl Catalogue) -> Reply {
        match self.begin_search(&r, catalogue) {
            Err(d) => {
                // A failed search leaves no result set under its name.
                if r.replace {
                    self.sets.remove(&r.result_set);
                }
                Reply::Send(self.encode(search_failure(r.reference, d)))
            }
            Ok((plan, time_limit, syntax)) => {
                let requested = r.small_upper.max(r.medium_number).max(0) as u64;
                let count = requested.min(catalogue.max_records());
                self.pending = Some(Pending::Search { request: r, syntax, time_limit });
                Reply::Run(Job::search(plan, 1, count, now + time_limit))
            }
        }
    }

    fn begin_search(
        &self,
        r: &SearchRequest,
        catalogue: &impl Catalogue,
    ) -> Result<(PlannedSearch, Nanos, Syntax), Diagnostic> {
        let fail = |condition, details: &str| Err(Diagnostic::new(condition, details));
        let [database] = &r.databases[..] else {
            return fail(Condition::TooManyDatabases, &r.databases.len().to_string());
        };
        let exists = self.sets.contains_key(&r.result_set);
        if exists && !r.replace {
            return fail(Condition::ResultSetExists, &r.result_set);
        }
        if r.result_set.len() > MAX_SET_NAME_BYTES
            || (!exists && self.sets.len() >= catalogue.max_result_sets())
        {
            return fail(Condition::TooManyResultSets, &catalogue.max_result_sets().to_string());
        }
        let syntax = parse_syntax(&r.syntax)?;
        let stored = |name: &str| self.sets.get(name).map(|s| s.plan.search.as_ref().clone());
        let search = match &r.query {
            Query::Rpn(content) => rpn::read(content, &stored)?,
            Query::Cql(text) => cql::parse(text)?,
            Query::Other(tag) => return fail(Condition::UnsupportedQueryType, &tag.to_string()),
        };
        let (plan, time_limit) = catalogue.plan_search(database, search)?;
        Ok((plan, time_limit, syntax))
    }

    fn present(&mut self, r: PresentRequest, now: Nanos, catalogue: &impl Catalogue) -> Reply {
        let fail = |condition, details: String| {
            Reply::Send(
                self.encode(present_failure(r.reference.clone(), Diagnostic::new(condition, details))),
            )
        };
        let Some(set) = self.sets.get(&r.result_set) else {
            return fail(Condition::NoSuchResultSet, r.result_set);
        };
        if r.complex {
            return fail(Condition::UnsupportedOperation, "ranges or a complex composition".into());
        }
        let syntax = match parse_syntax(&r.syntax) {
            Ok(syntax) => syntax,
            Err(d) => return Reply::Send(self.encode(present_failure(r.reference, d))),
        };
        let total = set.counts.total();
        let (start, number) = (u64::try_from(r.start).unwrap_or(0), u64::try_from(r.number).unwrap_or(0));
        if start == 0 || start > total || number > total - start + 1 {
            return fail(Condition::FirstPositionOutOfRange, format!("{start} and {number} of {total}"));
        }
        if number == 0 {
            let records = Records::None;
            let answer = PresentResponse { reference: r.reference, next: r.start, status: 0, records };
            return Reply::Send(Apdu::PresentResponse(answer).encode());
        }
        let count = number.min(catalogue.max_records());
        let job = Job::fetch(set.plan.clone(), set.counts.clone(), start, count, now + set.time_limit);
        self.pending = Some(Pending::Present { reference: r.reference, start, syntax });
        Reply::Run(job)
    }

    /// The response to the pending request, whose job is done.
    pub fn job_done(&mut self, plan: &PlannedSearch, outcome: SearchResult) -> Option<Vec<u8>> {
        match self.pending.take()? {
            Pending::Search { request: r, syntax, time_limit } => {
                let (total, partial) = (outcome.counts.total(), outcome.counts.diagnostic());
                let set = ResultSet { plan: plan.clone(), counts: outcome.counts, time_limit };
                self.sets.insert(r.result_set, set);
                let count = total.min(i64::MAX as u64) as i64;
                let mut answer = SearchResponse {
                    reference: r.reference,
                    count,
                    next: 1,
                    success: true,
                    set_status: None,
                    present_status: None,
                    records: Records::None,
                };
                if let Some(d) = partial {
                    // Status 1, a valid subset: the records that were found can be presented.
                    (answer.success, answer.set_status) = (false, Some(1));
                    answer.records = Records::Diagnostic(d);
                    return Some(self.encode(Apdu::SearchResponse(answer)));
                }
                let wanted = match count {
                    0 => 0,
                    n if n <= r.small_upper => n,
                    n if n >= r.large_lower => 0,
                    n => n.min(r.medium_number.max(0)),
                };
                if wanted > 0 {
                    let items = outcome.items.into_iter().take(wanted as usize).collect();
                    let (records, truncated) = self.pack(items, syntax);
                    answer.next = if records.len() as i64 == count { 0 } else { records.len() as i64 + 1 };
                    answer.present_status =
                        Some(if truncated || (records.len() as i64) < wanted { 2 } else { 0 });
                    answer.records = records;
                }
                Some(self.encode(Apdu::SearchResponse(answer)))
            }
            Pending::Present { reference, start, syntax } => {
                let requested = outcome.items.len();
                let (records, truncated) = self.pack(outcome.items, syntax);
                let next = start + records.len() as u64;
                let next = if next > outcome.counts.total() { 0 } else { next as i64 };
                let status = if truncated || records.len() < requested { 2 } else { 0 };
                Some(self.encode(Apdu::PresentResponse(PresentResponse { reference, next, status, records })))
            }
        }
    }

    /// The response to the pending request, whose job failed.
    pub fn job_failed(&mut self, d: Diagnostic) -> Option<Vec<u8>> {
        Some(match self.pending.take()? {
            Pending::Search { request: r, .. } => {
                if r.replace {
                    self.sets.remove(&r.result_set);
                }
                self.encode(search_failure(r.reference, d))
            }
            Pending::Present { reference, .. } => self.encode(present_failure(reference, d)),
        })
    }

    fn encode(&self, apdu: Apdu) -> Vec<u8> {
        if self.version3 { apdu.encode() } else { apdu.encode_v2() }
    }

    /// As many records as fit into a message, and whether any were left out.
    fn pack(&self, items: Vec<Item>, syntax: Syntax) -> (Records, bool) {
        let (mut out, mut size) = (Vec::new(), 0);
        for item in items {
            let mut r = to_retrieved(item, syntax);
            if r.size() > self.largest_record {
                r = Retrieved::Diagnostic(Diagnostic::new(Condition::RecordTooLarge, r.size().to_string()));
            }
            if !out.is_empty() && size + r.size() > self.message_size {
                return (Records::Some(out), true);
            }
            size += r.size();
            out.push(r);
        }
        (Records::Some(out), false)
    }
}

fn parse_syntax(oid: &Option<String>) -> Result<Syntax, Diagnostic> {
    match oid.as_deref() {
        None | Some(USMARC) => Ok(Syntax::Marc),
        Some(XML) => Ok(Syntax::Xml),
        Some(other) => Err(Diagnostic::new(Condition::UnknownSchema, other)),
    }
}

fn to_retrieved(item: Item, syntax: Syntax) -> Retrieved {
    let encode = |r: &Record| match syntax {
        Syntax::Marc => r.to_iso2709().map(|bytes| Retrieved::Record { syntax: USMARC.into(), bytes }),
        Syntax::Xml => Ok(Retrieved::Record { syntax: XML.into(), bytes: r.to_marcxml().into_bytes() }),
    };
    match item {
        Item::Diagnostic(d) => Retrieved::Diagnostic(d),
        Item::Record(r) => encode(&r).unwrap_or_else(|e| {
            Retrieved::Diagnostic(Diagnostic::new(Condition::RecordNotInSchema, e.to_string()))
        }),
    }
}

fn search_failure(reference: Reference, d: Diagnostic) -> Apdu {
    let (set_status, records) = (Some(3), Records::Diagnostic(d));
    let answer = SearchResponse {
        reference,
        count: 0,
        next: 1,
        success: false,
        set_status,
        present_status: None,
        records,
    };
    Apdu::SearchResponse(answer)
}

fn present_failure(reference: Reference, d: Diagnostic) -> Apdu {
    Apdu::PresentResponse(PresentResponse { reference, next: 0, status: 5, records: Records::Diagnostic(d) })
}
