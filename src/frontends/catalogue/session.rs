//! A Z39.50 session: what its client may ask for, its result sets, and the answers.

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

/// Least size of a message that is kept to, whatever a client prefers.
const LEAST_MESSAGE: usize = 4 * 1024;
/// Largest message that is sent.
const LARGEST_MESSAGE: usize = 512 * 1024;
/// Longest name of a result set.
const LONGEST_NAME: usize = 128;

/// What a session is told about the catalogue.
pub trait Catalogue {
    /// How a search in a database is put to the nodes, and how long its clients wait.
    fn shape(&self, database: &str, search: Search) -> Result<(PlannedSearch, Nanos), Diagnostic>;
    /// Most records in one answer.
    fn most_records(&self) -> u64;
    /// Most result sets.
    fn most_sets(&self) -> usize;
}

#[derive(Clone, Debug)]
struct ResultSet {
    shape: PlannedSearch,
    counts: HitCounts,
    wait: Nanos,
}

#[derive(Debug)]
enum Pending {
    Search { request: SearchRequest, syntax: Syntax, wait: Nanos },
    Present { reference: Reference, start: u64, syntax: Syntax },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Syntax {
    Marc,
    Xml,
}

/// What a request leads to.
#[derive(Debug)]
pub enum Reply {
    /// This is sent.
    Send(Vec<u8>),
    /// This is sent, and the session ends.
    Last(Vec<u8>),
    /// The session ends.
    End,
    /// The answer waits for this job.
    Work(Job),
}

/// A session.
#[derive(Debug, Default)]
pub struct Session {
    open: bool,
    /// Version 3 was agreed on.
    version3: bool,
    message: usize,
    largest_record: usize,
    sets: BTreeMap<String, ResultSet>,
    pending: Option<Pending>,
}

impl Session {
    /// Init was answered.
    pub fn is_open(&self) -> bool {
        self.open
    }

    /// The message that ends the session.
    pub fn close(reason: CloseReason, words: &str) -> Vec<u8> {
        Apdu::Close { reference: None, reason: reason as i64, diagnostic_information: words.into() }.encode()
    }

    /// Takes a request. No other may be given before its answer is out.
    pub fn request(&mut self, apdu: Apdu, draining: bool, now: Nanos, catalogue: &impl Catalogue) -> Reply {
        let protocol = |words| Reply::Last(Session::close(CloseReason::ProtocolError, words));
        match apdu {
            Apdu::InitRequest(r) if !self.open => self.init(r, draining),
            Apdu::Close { .. } if self.open => Reply::Last(Session::close(CloseReason::Finished, "")),
            Apdu::Close { .. } => Reply::End,
            _ if !self.open => protocol("Init comes first"),
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
                None => protocol("a service that was not agreed on"),
            },
            _ => protocol("not a request that a client makes"),
        }
    }

    fn init(&mut self, r: InitRequest, draining: bool) -> Reply {
        let both = |a: &[u8], b: &[u8]| a.iter().zip(b).map(|(a, b)| a & b).collect::<Vec<u8>>();
        let size = |n: i64| usize::try_from(n).unwrap_or(0).clamp(LEAST_MESSAGE, LARGEST_MESSAGE);
        let versions = both(&r.versions, &VERSIONS);
        // Version 2 is the least that has what is offered here.
        let accepted = !draining && versions.first().is_some_and(|v| v & 0b0110_0000 != 0);
        self.version3 = versions.first().is_some_and(|v| v & 0b0010_0000 != 0);
        (self.message, self.largest_record) = (size(r.preferred_size), size(r.largest_record));
        let response = Apdu::InitResponse(InitResponse {
            reference: r.reference,
            versions,
            options: both(&r.options, &OPTIONS),
            preferred_size: self.message as i64,
            largest_record: self.largest_record as i64,
            accepted,
        });
        self.open = accepted;
        if accepted { Reply::Send(response.encode()) } else { Reply::Last(response.encode()) }
    }

    fn search(&mut self, r: SearchRequest, now: Nanos, catalogue: &impl Catalogue) -> Reply {
        match self.begin_search(&r, catalogue) {
            Err(d) => {
                // A search that failed leaves no set under its name.
                if r.replace {
                    self.sets.remove(&r.result_set);
                }
                Reply::Send(self.write(search_failed(r.reference, d)))
            }
            Ok((shape, wait, syntax)) => {
                let ahead = r.small_upper.max(r.medium_number).max(0) as u64;
                let count = ahead.min(catalogue.most_records());
                self.pending = Some(Pending::Search { request: r, syntax, wait });
                Reply::Work(Job::search(shape, 1, count, now + wait))
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
        let known = self.sets.contains_key(&r.result_set);
        if known && !r.replace {
            return fail(Condition::ResultSetExists, &r.result_set);
        }
        if r.result_set.len() > LONGEST_NAME || (!known && self.sets.len() >= catalogue.most_sets()) {
            return fail(Condition::TooManyResultSets, &catalogue.most_sets().to_string());
        }
        let syntax = syntax(&r.syntax)?;
        let stored = |name: &str| self.sets.get(name).map(|s| s.shape.search.as_ref().clone());
        let search = match &r.query {
            Query::Rpn(content) => rpn::read(content, &stored)?,
            Query::Cql(text) => cql::parse(text)?,
            Query::Other(tag) => return fail(Condition::UnsupportedQueryType, &tag.to_string()),
        };
        let (shape, wait) = catalogue.shape(database, search)?;
        Ok((shape, wait, syntax))
    }

    fn present(&mut self, r: PresentRequest, now: Nanos, catalogue: &impl Catalogue) -> Reply {
        let fail = |condition, details: String| {
            Reply::Send(self.write(present_failed(r.reference.clone(), Diagnostic::new(condition, details))))
        };
        let Some(set) = self.sets.get(&r.result_set) else {
            return fail(Condition::NoSuchResultSet, r.result_set);
        };
        if r.complex {
            return fail(Condition::UnsupportedOperation, "ranges or a complex composition".into());
        }
        let syntax = match syntax(&r.syntax) {
            Ok(syntax) => syntax,
            Err(d) => return Reply::Send(self.write(present_failed(r.reference, d))),
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
        let count = number.min(catalogue.most_records());
        let job = Job::fetch(set.shape.clone(), set.counts.clone(), start, count, now + set.wait);
        self.pending = Some(Pending::Present { reference: r.reference, start, syntax });
        Reply::Work(job)
    }

    /// The answer to the request whose job is done.
    pub fn done(&mut self, shape: &PlannedSearch, outcome: SearchResult) -> Option<Vec<u8>> {
        match self.pending.take()? {
            Pending::Search { request: r, syntax, wait } => {
                let (total, partial) = (outcome.counts.total(), outcome.counts.diagnostic());
                let set = ResultSet { shape: shape.clone(), counts: outcome.counts, wait };
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
                    // A valid subset: the records that were found can be presented.
                    (answer.success, answer.set_status) = (false, Some(1));
                    answer.records = Records::Diagnostic(d);
                    return Some(self.write(Apdu::SearchResponse(answer)));
                }
                let wanted = match count {
                    0 => 0,
                    n if n <= r.small_upper => n,
                    n if n >= r.large_lower => 0,
                    n => n.min(r.medium_number.max(0)),
                };
                if wanted > 0 {
                    let items = outcome.items.into_iter().take(wanted as usize).collect();
                    let (records, cut) = self.pack(items, syntax);
                    answer.next = if records.len() as i64 == count { 0 } else { records.len() as i64 + 1 };
                    answer.present_status = Some(if cut || (records.len() as i64) < wanted { 2 } else { 0 });
                    answer.records = records;
                }
                Some(self.write(Apdu::SearchResponse(answer)))
            }
            Pending::Present { reference, start, syntax } => {
                let asked = outcome.items.len();
                let (records, cut) = self.pack(outcome.items, syntax);
                let next = start + records.len() as u64;
                let next = if next > outcome.counts.total() { 0 } else { next as i64 };
                let status = if cut || records.len() < asked { 2 } else { 0 };
                Some(self.write(Apdu::PresentResponse(PresentResponse { reference, next, status, records })))
            }
        }
    }

    /// The answer to the request whose job failed.
    pub fn failed(&mut self, d: Diagnostic) -> Option<Vec<u8>> {
        Some(match self.pending.take()? {
            Pending::Search { request: r, .. } => {
                if r.replace {
                    self.sets.remove(&r.result_set);
                }
                self.write(search_failed(r.reference, d))
            }
            Pending::Present { reference, .. } => self.write(present_failed(reference, d)),
        })
    }

    fn write(&self, apdu: Apdu) -> Vec<u8> {
        if self.version3 { apdu.encode() } else { apdu.encode_v2() }
    }

    /// As many records as fit into a message; true if there are more.
    fn pack(&self, items: Vec<Item>, syntax: Syntax) -> (Records, bool) {
        let (mut out, mut size) = (Vec::new(), 0);
        for item in items {
            let mut r = retrieved(item, syntax);
            if r.size() > self.largest_record {
                r = Retrieved::Diagnostic(Diagnostic::new(Condition::RecordTooLarge, r.size().to_string()));
            }
            if !out.is_empty() && size + r.size() > self.message {
                return (Records::Some(out), true);
            }
            size += r.size();
            out.push(r);
        }
        (Records::Some(out), false)
    }
}

fn syntax(oid: &Option<String>) -> Result<Syntax, Diagnostic> {
    match oid.as_deref() {
        None | Some(USMARC) => Ok(Syntax::Marc),
        Some(XML) => Ok(Syntax::Xml),
        Some(other) => Err(Diagnostic::new(Condition::UnknownSchema, other)),
    }
}

fn retrieved(item: Item, syntax: Syntax) -> Retrieved {
    let written = |r: &Record| match syntax {
        Syntax::Marc => r.to_iso2709().map(|bytes| Retrieved::Record { syntax: USMARC.into(), bytes }),
        Syntax::Xml => Ok(Retrieved::Record { syntax: XML.into(), bytes: r.to_marcxml().into_bytes() }),
    };
    match item {
        Item::Diagnostic(d) => Retrieved::Diagnostic(d),
        Item::Record(r) => written(&r).unwrap_or_else(|e| {
            Retrieved::Diagnostic(Diagnostic::new(Condition::RecordNotInSchema, e.to_string()))
        }),
    }
}

fn search_failed(reference: Reference, d: Diagnostic) -> Apdu {
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

fn present_failed(reference: Reference, d: Diagnostic) -> Apdu {
    Apdu::PresentResponse(PresentResponse { reference, next: 0, status: 5, records: Records::Diagnostic(d) })
}
