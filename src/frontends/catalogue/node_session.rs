//! One connection to an index node as a conversation: what is written, and what the answers mean.

use super::apdu::*;
use super::ber;
use super::diagnostic::{Condition, Diagnostic};
use super::marc::Record;
use super::plan::{PartValue, PartitionResult};
use super::search::Search;
use super::sru::{self, Item};
use super::{cql, rpn};
use crate::api::Outcome;
use crate::config::Protocol;
use crate::http::{MessageKind, Reader};
use crate::net::Pool;
use std::rc::Rc;

/// Longest target of a GET; a longer search goes as a form.
const LONGEST_TARGET: usize = 1500;
/// What the broker takes in one APDU.
const MESSAGE_SIZE: i64 = 60 * 1024;

/// A part at a node: a search in one database, and the run of records that is wanted.
#[derive(Clone, Debug)]
pub struct Task {
    /// The search.
    pub search: Rc<Search>,
    /// The database.
    pub database: String,
    /// The first record.
    pub start: u64,
    /// How many.
    pub count: u64,
    /// Most records to ask for at once.
    pub page: u64,
    total: Option<u64>,
    items: Vec<Item>,
}

impl Task {
    /// A task of which nothing is done.
    pub fn new(search: Rc<Search>, database: String, start: u64, count: u64, page: u64) -> Task {
        Task { search, database, start, count, page, total: None, items: Vec::new() }
    }

    fn next(&self) -> u64 {
        self.start + self.items.len() as u64
    }

    /// Records that are still to be asked for now.
    fn wanted(&self) -> u64 {
        let open = self.count - self.items.len() as u64;
        let there = self.total.map_or(open, |t| (t + 1).saturating_sub(self.next()));
        open.min(there).min(self.page)
    }

    fn take(&mut self, mut items: Vec<Item>) {
        items.truncate((self.count as usize).saturating_sub(self.items.len()));
        self.items.append(&mut items);
    }

    fn found(&mut self) -> Step {
        let items = std::mem::take(&mut self.items);
        Step::Done(Ok(Ok(PartitionResult { total: self.total.unwrap_or(0), items })))
    }
}

/// What an answer leads to.
#[derive(Debug)]
pub enum Step {
    /// More must come.
    Wait,
    /// The node is ready for a task.
    Ready,
    /// This is to be sent.
    Send(Vec<u8>),
    /// The task is over: its value, or how the attempt ended.
    Done(Result<PartValue, Outcome>),
}

/// Why a conversation can't go on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken(pub String);

#[derive(Debug)]
enum Speech {
    Sru { reader: Reader, host: String },
    Z3950 { greeted: bool },
}

/// One conversation.
#[derive(Debug)]
pub struct Talk {
    speech: Speech,
    task: Option<Task>,
    over: bool,
}

impl Talk {
    /// A conversation with a node at `host`.
    pub fn new(protocol: Protocol, host: String) -> Talk {
        let speech = match protocol {
            Protocol::Sru => Speech::Sru { reader: Reader::new(MessageKind::Response), host },
            Protocol::Z3950 => Speech::Z3950 { greeted: false },
        };
        Talk { speech, task: None, over: false }
    }

    /// What is to be sent at the start. Without it the node is ready at once.
    pub fn greeting(&self) -> Option<Vec<u8>> {
        match self.speech {
            Speech::Sru { .. } => None,
            Speech::Z3950 { .. } => Some(
                Apdu::InitRequest(InitRequest {
                    reference: None,
                    versions: VERSIONS.into(),
                    options: OPTIONS.into(),
                    preferred_size: MESSAGE_SIZE,
                    largest_record: MESSAGE_SIZE,
                })
                .encode(),
            ),
        }
    }

    /// What is to be sent before a connection is closed.
    pub fn farewell(&self) -> Option<Vec<u8>> {
        let words = "idle".into();
        let close = Apdu::Close {
            reference: None,
            reason: CloseReason::Finished as i64,
            diagnostic_information: words,
        };
        matches!(self.speech, Speech::Z3950 { greeted: true }).then(|| close.encode())
    }

    /// Begins a task: what is to be sent, or why this search can't be put to such a node.
    pub fn begin(&mut self, task: Task) -> Result<Vec<u8>, Diagnostic> {
        let message = match &self.speech {
            Speech::Sru { host, .. } => ask_sru(&task, host)?,
            Speech::Z3950 { .. } => Apdu::SearchRequest(SearchRequest {
                reference: None,
                small_upper: 0,
                large_lower: 1,
                medium_number: 0,
                replace: true,
                result_set: "default".into(),
                databases: vec![task.database.clone()],
                element_set: None,
                syntax: Some(USMARC.into()),
                query: Query::Rpn(rpn::write(&task.search)),
            })
            .encode(),
        };
        self.task = Some(task);
        Ok(message)
    }

    /// The node ends the connection after the answer that was just read.
    pub fn is_over(&self) -> bool {
        self.over
    }

    /// The connection has ended. Where that makes an answer whole, this is what it leads to.
    pub fn end(&mut self) -> Option<Step> {
        let (Speech::Sru { reader, host }, Some(task)) = (&mut self.speech, &mut self.task) else {
            return None;
        };
        self.over = true;
        let step = if reader.on_eof() { sru_answer(reader, task, host).ok() } else { None };
        step.filter(|s| matches!(s, Step::Done(_)))
    }

    /// Takes in what came: how much of it was used, and what it leads to.
    pub fn take(&mut self, data: &[u8], pool: &Pool) -> Result<(usize, Step), Broken> {
        let Talk { speech, task, over } = self;
        let (used, step) = match speech {
            Speech::Sru { reader, host } => {
                let used = reader.advance(data, pool).map_err(|e| Broken(e.to_string()))?;
                if !reader.is_done() {
                    return Ok((used, Step::Wait));
                }
                let task = task.as_mut().ok_or(Broken("an answer that nobody asked for".into()))?;
                let step = sru_answer(reader, task, host)?;
                *over = reader.head().is_some_and(|h| !h.keep_alive);
                reader.reset();
                if *over && matches!(step, Step::Send(_)) {
                    return Err(Broken("the node closes between two pages".into()));
                }
                (used, step)
            }
            Speech::Z3950 { greeted } => {
                let broken = |e: ber::BerError| Broken(e.to_string());
                let Some(size) = ber::size(data).map_err(broken)? else { return Ok((0, Step::Wait)) };
                let apdu = Apdu::decode(&data[..size]).map_err(broken)?;
                (size, z3950_answer(apdu, greeted, task)?)
            }
        };
        if matches!(step, Step::Done(_)) {
            *task = None;
        }
        Ok((used, step))
    }
}

fn ask_sru(task: &Task, host: &str) -> Result<Vec<u8>, Diagnostic> {
    let fields = format!(
        "version=1.1&operation=searchRetrieve&query={}&startRecord={}&maximumRecords={}\
         &recordPacking=xml&recordSchema=marcxml",
        sru::percent_encode(&cql::write(&task.search)?),
        task.next(),
        task.wanted()
    );
    let database = sru::percent_encode(&task.database);
    Ok(if fields.len() <= LONGEST_TARGET {
        format!("GET /{database}?{fields} HTTP/1.1\r\nHost: {host}\r\n\r\n").into_bytes()
    } else {
        format!(
            "POST /{database} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/x-www-form-urlencoded\r\n\
             Content-Length: {}\r\n\r\n{fields}",
            fields.len()
        )
        .into_bytes()
    })
}

/// What a diagnostic for a whole search means for the attempt.
fn refused(d: Diagnostic) -> Step {
    Step::Done(match d.condition {
        Condition::TemporarilyUnavailable => Err(Outcome::Rejected),
        // Half of a partition is not that partition's answer; another replica may have all of it.
        Condition::PartialResult => Err(Outcome::Error),
        _ if d.is_server_failure() => Err(Outcome::Error),
        _ => Ok(Err(d)),
    })
}

fn sru_answer(reader: &Reader, task: &mut Task, host: &str) -> Result<Step, Broken> {
    match reader.head().map_or(0, |h| h.status) {
        200 => {}
        429 | 503 => return Ok(Step::Done(Err(Outcome::Rejected))),
        status => {
            tracing::warn!("node {host} answered with status {status}");
            return Ok(Step::Done(Err(Outcome::Error)));
        }
    }
    let response = match sru::read_response(reader.body()) {
        Ok(response) => response,
        Err(why) => {
            tracing::warn!("node {host} answered with {why}");
            return Ok(Step::Done(Err(Outcome::Error)));
        }
    };
    match response.diagnostics.into_iter().next() {
        Some(d) if d.condition == Condition::FirstPositionOutOfRange => {}
        Some(d) => return Ok(refused(d)),
        None => {}
    }
    let before = task.items.len();
    task.total = Some(response.total);
    task.take(response.items);
    // A node may give fewer records than it was asked for, but not none.
    if task.wanted() == 0 || task.items.len() == before {
        return Ok(task.found());
    }
    ask_sru(task, host).map(Step::Send).map_err(|d| Broken(d.to_string()))
}

fn present(task: &Task) -> Step {
    let request = PresentRequest {
        reference: None,
        result_set: "default".into(),
        start: task.next() as i64,
        number: task.wanted() as i64,
        element_set: Some("F".into()),
        syntax: Some(USMARC.into()),
        complex: false,
    };
    Step::Send(Apdu::PresentRequest(request).encode())
}

fn z3950_answer(apdu: Apdu, greeted: &mut bool, task: &mut Option<Task>) -> Result<Step, Broken> {
    let unasked = || Broken("an answer that nobody asked for".into());
    match apdu {
        Apdu::InitResponse(r) if !*greeted => {
            if !r.accepted {
                return Err(Broken("the node refused the session".into()));
            }
            *greeted = true;
            Ok(Step::Ready)
        }
        Apdu::SearchResponse(r) => {
            let task = task.as_mut().ok_or_else(unasked)?;
            if let Records::Diagnostic(d) = r.records {
                return Ok(refused(d));
            }
            if !r.success {
                return Ok(Step::Done(Err(Outcome::Error)));
            }
            task.total = Some(u64::try_from(r.count).map_err(|_| Broken("a count below 0".into()))?);
            Ok(if task.wanted() == 0 { task.found() } else { present(task) })
        }
        Apdu::PresentResponse(r) => {
            let task = task.as_mut().ok_or_else(unasked)?;
            let records = match r.records {
                Records::Some(records) => records,
                Records::Diagnostic(d) if d.condition == Condition::FirstPositionOutOfRange => vec![],
                Records::Diagnostic(d) => return Ok(refused(d)),
                Records::None => vec![],
            };
            let none = records.is_empty();
            task.take(records.into_iter().map(item).collect());
            Ok(if none || task.wanted() == 0 { task.found() } else { present(task) })
        }
        Apdu::Close { reason, diagnostic_information, .. } => {
            Err(Broken(format!("closed by the node, reason {reason} {diagnostic_information:?}")))
        }
        _ => Err(unasked()),
    }
}

fn item(r: Retrieved) -> Item {
    let why = |e: String| Item::Diagnostic(Diagnostic::new(Condition::RecordUnavailable, e));
    match r {
        Retrieved::Diagnostic(d) => Item::Diagnostic(d),
        Retrieved::Record { syntax, bytes } if syntax == USMARC => {
            Record::from_iso2709(&bytes).map_or_else(|e| why(e.to_string()), Item::Record)
        }
        Retrieved::Record { syntax, bytes } if syntax == XML => {
            let record = Record::from_marcxml(&String::from_utf8_lossy(&bytes));
            record.map_or_else(|e| why(e.to_string()), Item::Record)
        }
        Retrieved::Record { syntax, .. } => why(format!("record syntax {syntax}")),
    }
}
