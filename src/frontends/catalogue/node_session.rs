//! The protocol on one connection to an index node: which requests are sent, and how responses are read.

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

/// Longest query string of a GET request; a longer one is sent as a form with POST.
const MAX_QUERY_STRING_BYTES: usize = 1500;
/// Largest APDU that the broker accepts, bytes.
const MESSAGE_SIZE: i64 = 60 * 1024;

/// A part to be run at a node: a search in one database, and the range of records to return.
#[derive(Clone, Debug)]
pub struct Task {
    /// The search.
    pub search: Rc<Search>,
    /// The database.
    pub database: String,
    /// Position of the first record, from 1.
    pub start: u64,
    /// Number of records.
    pub count: u64,
    /// Most records to request at once.
    pub page: u64,
    total: Option<u64>,
    items: Vec<Item>,
}

impl Task {
    /// A task that has not been started.
    pub fn new(search: Rc<Search>, database: String, start: u64, count: u64, page: u64) -> Task {
        Task { search, database, start, count, page, total: None, items: Vec::new() }
    }

    fn next_position(&self) -> u64 {
        self.start + self.items.len() as u64
    }

    /// Number of records to request next: those still missing, at most a page and none beyond the last hit.
    fn next_count(&self) -> u64 {
        let missing = self.count - self.items.len() as u64;
        let available = self.total.map_or(missing, |t| (t + 1).saturating_sub(self.next_position()));
        missing.min(available).min(self.page)
    }

    fn add_items(&mut self, mut items: Vec<Item>) {
        items.truncate((self.count as usize).saturating_sub(self.items.len()));
        self.items.append(&mut items);
    }

    fn finish(&mut self) -> Step {
        let items = std::mem::take(&mut self.items);
        Step::Done(Ok(Ok(PartitionResult { total: self.total.unwrap_or(0), items })))
    }
}

/// What to do after data was received.
#[derive(Debug)]
pub enum Step {
    /// Wait for more data.
    Wait,
    /// The node is ready for a task.
    Ready,
    /// Send this message.
    Send(Vec<u8>),
    /// End the task with its value, or with the outcome of the failed attempt.
    Done(Result<PartValue, Outcome>),
}

/// Why a session can't go on: the connection must be closed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SessionError(pub String);

/// The protocol of a node, with the state of the session.
#[derive(Debug)]
enum ProtocolState {
    Sru { reader: Reader, host: String },
    Z3950(Z3950State),
}

/// The state of a Z39.50 session.
#[derive(Debug, Default)]
struct Z3950State {
    initialized: bool,
    /// Number of the last request, which is sent as its reference id.
    last_request: u32,
    /// Whether the node returns reference ids, as the standard requires.
    returns_references: bool,
}

impl Z3950State {
    /// The reference id of the last request.
    fn reference(&self) -> Reference {
        Some(self.last_request.to_be_bytes().to_vec())
    }

    /// The reference id of the next request.
    fn next_reference(&mut self) -> Reference {
        self.last_request = self.last_request.wrapping_add(1);
        self.reference()
    }

    /// Checks that a response belongs to the last request.
    fn check_reference(&self, returned: &Reference) -> Result<(), SessionError> {
        if self.returns_references && *returned != self.reference() {
            return Err(SessionError("a response belongs to another request".into()));
        }
        Ok(())
    }
}

/// The state of one session with a node.
#[derive(Debug)]
pub struct NodeSession {
    protocol_state: ProtocolState,
    task: Option<Task>,
    closing: bool,
}

impl NodeSession {
    /// A session with a node at `host`.
    pub fn new(protocol: Protocol, host: String) -> NodeSession {
        let protocol_state = match protocol {
            Protocol::Sru => ProtocolState::Sru { reader: Reader::new(MessageKind::Response), host },
            Protocol::Z3950 => ProtocolState::Z3950(Z3950State::default()),
        };
        NodeSession { protocol_state, task: None, closing: false }
    }

    /// The message to send on a new connection. If there is none, the node is ready at once.
    pub fn opening_message(&self) -> Option<Vec<u8>> {
        match &self.protocol_state {
            ProtocolState::Sru { .. } => None,
            ProtocolState::Z3950(state) => Some(
                Apdu::InitRequest(InitRequest {
                    reference: state.reference(),
                    versions: VERSIONS.into(),
                    options: OPTIONS.into(),
                    preferred_size: MESSAGE_SIZE,
                    largest_record: MESSAGE_SIZE,
                })
                .encode(),
            ),
        }
    }

    /// The message to send before the connection is closed, if the protocol has one.
    pub fn closing_message(&self) -> Option<Vec<u8>> {
        let text = "idle".into();
        let close = Apdu::Close {
            reference: None,
            reason: CloseReason::Finished as i64,
            diagnostic_information: text,
        };
        matches!(self.protocol_state, ProtocolState::Z3950(Z3950State { initialized: true, .. }))
            .then(|| close.encode())
    }

    /// Starts a task. Returns the request to send, or why the protocol can't express this search.
    pub fn start(&mut self, task: Task) -> Result<Vec<u8>, Diagnostic> {
        let message = match &mut self.protocol_state {
            ProtocolState::Sru { host, .. } => sru_request(&task, host)?,
            ProtocolState::Z3950(state) => Apdu::SearchRequest(SearchRequest {
                reference: state.next_reference(),
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

    /// Whether a response states to which request it belongs. If not, it belongs to the only request in
    /// flight.
    pub fn identifies_responses(&self) -> bool {
        matches!(self.protocol_state, ProtocolState::Z3950(Z3950State { returns_references: true, .. }))
    }

    /// Why data that arrives while no request is in flight ends the session.
    pub fn unsolicited(&self, data: &[u8]) -> SessionError {
        if let ProtocolState::Z3950(_) = &self.protocol_state
            && let Ok(Some(size)) = ber::size(data)
            && let Ok(Apdu::Close { reason, diagnostic_information, .. }) = Apdu::decode(&data[..size])
        {
            return closed_by_node(reason, &diagnostic_information);
        }
        SessionError("it sent data that belongs to no request".into())
    }

    /// Whether the node closes the connection after the response that was just read.
    pub fn is_closing(&self) -> bool {
        self.closing
    }

    /// Handles the end of the connection. Returns a step if that end completes a response.
    pub fn connection_closed(&mut self) -> Option<Step> {
        let (ProtocolState::Sru { reader, host }, Some(task)) = (&mut self.protocol_state, &mut self.task)
        else {
            return None;
        };
        self.closing = true;
        let step = if reader.on_eof() { handle_sru_response(reader, task, host).ok() } else { None };
        step.filter(|s| matches!(s, Step::Done(_)))
    }

    /// Handles received data. Returns how many bytes were consumed, and what to do next.
    pub fn receive(&mut self, data: &[u8], pool: &Pool) -> Result<(usize, Step), SessionError> {
        let NodeSession { protocol_state, task, closing } = self;
        let (consumed, step) = match protocol_state {
            ProtocolState::Sru { reader, host } => {
                let consumed = reader.advance(data, pool).map_err(|e| SessionError(e.to_string()))?;
                if !reader.is_done() {
                    return Ok((consumed, Step::Wait));
                }
                let task = task.as_mut().ok_or(SessionError("unsolicited response".into()))?;
                let step = handle_sru_response(reader, task, host)?;
                *closing = reader.head().is_some_and(|h| !h.keep_alive);
                reader.reset();
                if *closing && matches!(step, Step::Send(_)) {
                    return Err(SessionError("the node closed the connection between two pages".into()));
                }
                (consumed, step)
            }
            ProtocolState::Z3950(state) => {
                let session_error = |e: ber::BerError| SessionError(e.to_string());
                let Some(size) = ber::size(data).map_err(session_error)? else { return Ok((0, Step::Wait)) };
                let apdu = Apdu::decode(&data[..size]).map_err(session_error)?;
                (size, handle_apdu(apdu, state, task)?)
            }
        };
        if matches!(step, Step::Done(_)) {
            *task = None;
        }
        Ok((consumed, step))
    }
}

fn sru_request(task: &Task, host: &str) -> Result<Vec<u8>, Diagnostic> {
    let fields = format!(
        "version=1.1&operation=searchRetrieve&query={}&startRecord={}&maximumRecords={}\
         &recordPacking=xml&recordSchema=marcxml",
        sru::percent_encode(&cql::write(&task.search)?),
        task.next_position(),
        task.next_count()
    );
    let database = sru::percent_encode(&task.database);
    Ok(if fields.len() <= MAX_QUERY_STRING_BYTES {
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

/// How a diagnostic for a whole search ends the attempt.
fn diagnostic_step(d: Diagnostic) -> Step {
    Step::Done(match d.condition {
        Condition::TemporarilyUnavailable => Err(Outcome::Rejected),
        // A partial result is no answer for the partition; another replica may have all of it.
        Condition::PartialResult => Err(Outcome::Error),
        _ if d.is_server_failure() => Err(Outcome::Error),
        _ => Ok(Err(d)),
    })
}

fn handle_sru_response(reader: &Reader, task: &mut Task, host: &str) -> Result<Step, SessionError> {
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
            tracing::warn!("node {host} sent an invalid response: {why}");
            return Ok(Step::Done(Err(Outcome::Error)));
        }
    };
    match response.diagnostics.into_iter().next() {
        Some(d) if d.condition == Condition::FirstPositionOutOfRange => {}
        Some(d) => return Ok(diagnostic_step(d)),
        None => {}
    }
    let previous_count = task.items.len();
    task.total = Some(response.total);
    task.add_items(response.items);
    // A node may return fewer records than requested, but a response without any is the last.
    if task.next_count() == 0 || task.items.len() == previous_count {
        return Ok(task.finish());
    }
    sru_request(task, host).map(Step::Send).map_err(|d| SessionError(d.to_string()))
}

fn closed_by_node(reason: i64, diagnostic_information: &str) -> SessionError {
    SessionError(format!("closed by the node, reason {reason} {diagnostic_information:?}"))
}

fn present_request(task: &Task, reference: Reference) -> Step {
    let request = PresentRequest {
        reference,
        result_set: "default".into(),
        start: task.next_position() as i64,
        number: task.next_count() as i64,
        element_set: Some("F".into()),
        syntax: Some(USMARC.into()),
        complex: false,
    };
    Step::Send(Apdu::PresentRequest(request).encode())
}

fn handle_apdu(apdu: Apdu, state: &mut Z3950State, task: &mut Option<Task>) -> Result<Step, SessionError> {
    let unsolicited = || SessionError("unsolicited response".into());
    match apdu {
        Apdu::InitResponse(r) if !state.initialized => {
            if !r.accepted {
                return Err(SessionError("the node refused the session".into()));
            }
            state.initialized = true;
            state.returns_references = r.reference == state.reference();
            Ok(Step::Ready)
        }
        Apdu::SearchResponse(r) => {
            state.check_reference(&r.reference)?;
            let task = task.as_mut().ok_or_else(unsolicited)?;
            if let Records::Diagnostic(d) = r.records {
                return Ok(diagnostic_step(d));
            }
            if !r.success {
                return Ok(Step::Done(Err(Outcome::Error)));
            }
            task.total =
                Some(u64::try_from(r.count).map_err(|_| SessionError("negative result count".into()))?);
            Ok(if task.next_count() == 0 {
                task.finish()
            } else {
                present_request(task, state.next_reference())
            })
        }
        Apdu::PresentResponse(r) => {
            state.check_reference(&r.reference)?;
            let task = task.as_mut().ok_or_else(unsolicited)?;
            let records = match r.records {
                Records::Some(records) => records,
                Records::Diagnostic(d) if d.condition == Condition::FirstPositionOutOfRange => vec![],
                Records::Diagnostic(d) => return Ok(diagnostic_step(d)),
                Records::None => vec![],
            };
            let is_empty = records.is_empty();
            task.add_items(records.into_iter().map(to_item).collect());
            Ok(if is_empty || task.next_count() == 0 {
                task.finish()
            } else {
                present_request(task, state.next_reference())
            })
        }
        Apdu::Close { reason, diagnostic_information, .. } => {
            Err(closed_by_node(reason, &diagnostic_information))
        }
        _ => Err(unsolicited()),
    }
}

fn to_item(r: Retrieved) -> Item {
    let unavailable = |e: String| Item::Diagnostic(Diagnostic::new(Condition::RecordUnavailable, e));
    match r {
        Retrieved::Diagnostic(d) => Item::Diagnostic(d),
        Retrieved::Record { syntax, bytes } if syntax == USMARC => {
            Record::from_iso2709(&bytes).map_or_else(|e| unavailable(e.to_string()), Item::Record)
        }
        Retrieved::Record { syntax, bytes } if syntax == XML => {
            let record = Record::from_marcxml(&String::from_utf8_lossy(&bytes));
            record.map_or_else(|e| unavailable(e.to_string()), Item::Record)
        }
        Retrieved::Record { syntax, .. } => unavailable(format!("record syntax {syntax}")),
    }
}
