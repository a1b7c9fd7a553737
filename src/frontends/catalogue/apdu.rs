//! The Z39.50 version 3 APDUs of the catalogue frontend, which is a server to clients and a client to nodes.

use super::ber::{BerError, Element, ElementContent};
use super::diagnostic::Diagnostic;
use bcder::Tag;

/// Record syntax of MARC 21 in ISO 2709.
pub const USMARC: &str = "1.2.840.10003.5.10";
/// Record syntax of XML, used for MARCXML.
pub const XML: &str = "1.2.840.10003.5.109.10";
/// The Bib-1 diagnostic set.
pub const BIB1_DIAGNOSTICS: &str = "1.2.840.10003.4.1";
/// CQL in a type-104 query.
pub const CQL: &str = "1.2.840.10003.16.2";

/// Options offered in Init: search, present, delete and named result sets.
pub const OPTIONS: [u8; 2] = [0b1110_0000, 0b0000_0010];
/// Protocol versions 1 to 3.
pub const VERSIONS: [u8; 1] = [0b1110_0000];

/// The `referenceId` of a request, returned unchanged in its response.
pub type Reference = Option<Vec<u8>>;

/// The query of a search, by its type.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Query {
    /// Type 1: the content of an RPNQuery.
    Rpn(Vec<Element>),
    /// Type 104: CQL.
    Cql(String),
    /// An unsupported query type, by its tag.
    Other(u32),
}

/// Opens a session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InitRequest {
    pub reference: Reference,
    pub versions: Vec<u8>,
    pub options: Vec<u8>,
    pub preferred_size: i64,
    pub largest_record: i64,
}

/// The response to Init.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InitResponse {
    pub reference: Reference,
    pub versions: Vec<u8>,
    pub options: Vec<u8>,
    pub preferred_size: i64,
    pub largest_record: i64,
    pub accepted: bool,
}

/// Runs a query and creates a result set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SearchRequest {
    pub reference: Reference,
    /// `smallSetUpperBound`: up to this count, the response contains all records.
    pub small_upper: i64,
    /// `largeSetLowerBound`: from this count on, the response contains no records.
    pub large_lower: i64,
    /// `mediumSetPresentNumber`: how many records the response contains for counts in between.
    pub medium_number: i64,
    /// `replaceIndicator`: whether an existing result set of that name may be replaced.
    pub replace: bool,
    pub result_set: String,
    pub databases: Vec<String>,
    pub element_set: Option<String>,
    pub syntax: Option<String>,
    pub query: Query,
}

/// The response to Search.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SearchResponse {
    pub reference: Reference,
    pub count: i64,
    pub next: i64,
    pub success: bool,
    /// `resultSetStatus` of a failed search: 1 for a valid subset, 3 for no result set.
    pub set_status: Option<i64>,
    pub present_status: Option<i64>,
    pub records: Records,
}

/// Retrieves a range of records of a result set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PresentRequest {
    pub reference: Reference,
    pub result_set: String,
    pub start: i64,
    pub number: i64,
    pub element_set: Option<String>,
    pub syntax: Option<String>,
    /// Whether the request has additional ranges or a complex record composition.
    pub complex: bool,
}

/// The response to Present.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PresentResponse {
    pub reference: Reference,
    pub next: i64,
    pub status: i64,
    pub records: Records,
}

/// The records of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Records {
    /// No records.
    None,
    /// Records; a diagnostic can take the place of one.
    Some(Vec<Retrieved>),
    /// A diagnostic for the whole request.
    Diagnostic(Diagnostic),
}

/// A record, or the diagnostic in its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Retrieved {
    /// The record, encoded in its record syntax.
    Record { syntax: String, bytes: Vec<u8> },
    /// Why the record is not available.
    Diagnostic(Diagnostic),
}

/// The reason in a Close.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    Finished = 0,
    Shutdown = 1,
    SystemProblem = 2,
    ProtocolError = 6,
    LackOfActivity = 7,
}

/// An application protocol data unit: one message of Z39.50.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Apdu {
    InitRequest(InitRequest),
    InitResponse(InitResponse),
    SearchRequest(SearchRequest),
    SearchResponse(SearchResponse),
    PresentRequest(PresentRequest),
    PresentResponse(PresentResponse),
    /// Deletes the named result sets, or all if `sets` is `None`.
    DeleteRequest {
        reference: Reference,
        sets: Option<Vec<String>>,
    },
    /// The response to Delete. Status 0 is success, 1 a result set that does not exist.
    DeleteResponse {
        reference: Reference,
        status: i64,
    },
    /// Ends a session.
    Close {
        reference: Reference,
        reason: i64,
        diagnostic_information: String,
    },
    /// Any other APDU, by its tag.
    Other {
        reference: Reference,
        tag: u32,
    },
}

fn reference(r: &Reference) -> Vec<Element> {
    r.iter().map(|bytes| Element::bytes(Tag::ctx(2), bytes.clone())).collect()
}

fn bit_string(tag: u32, bytes: &[u8]) -> Element {
    // The first byte is the number of unused bits in the last byte.
    let mut content = vec![0];
    content.extend_from_slice(bytes);
    Element::bytes(Tag::ctx(tag), content)
}

fn int(tag: u32, n: i64) -> Element {
    Element::integer(Tag::ctx(tag), n)
}

fn text(tag: u32, s: &str) -> Element {
    Element::bytes(Tag::ctx(tag), s.as_bytes())
}

fn diagnostic(tag: Tag, d: &Diagnostic) -> Element {
    let set = Element::oid(Tag::OID, BIB1_DIAGNOSTICS);
    let number = Element::integer(Tag::INTEGER, d.bib1().into());
    let details = Element::bytes(Tag::GENERAL_STRING, d.details.as_bytes());
    Element::constructed(tag, vec![set, number, details])
}

fn read_diagnostic(e: &Element) -> Diagnostic {
    match e.values() {
        [_, number, details, ..] => {
            let number = number.as_integer().and_then(|n| u16::try_from(n).ok()).unwrap_or(0);
            Diagnostic::from_bib1(number, &details.as_text().unwrap_or_default())
        }
        _ => Diagnostic::from_bib1(0, "a diagnostic in a form that is not read"),
    }
}

impl Records {
    fn write(&self, out: &mut Vec<Element>) {
        match self {
            Records::None => {}
            Records::Some(records) => {
                out.push(Element::constructed(Tag::ctx(28), records.iter().map(Retrieved::write).collect()));
            }
            Records::Diagnostic(d) => out.push(diagnostic(Tag::ctx(130), d)),
        }
    }

    fn read(e: &Element) -> Result<Records, BerError> {
        if let Some(d) = e.get(130) {
            return Ok(Records::Diagnostic(read_diagnostic(d)));
        }
        if let Some(d) = e.get(205) {
            let first = d.values().first().map_or_else(|| Diagnostic::from_bib1(0, ""), read_diagnostic);
            return Ok(Records::Diagnostic(first));
        }
        let Some(list) = e.get(28) else { return Ok(Records::None) };
        list.values().iter().map(Retrieved::read).collect::<Result<_, _>>().map(Records::Some)
    }

    /// The number of records, including diagnostics in place of a record.
    pub fn len(&self) -> usize {
        if let Records::Some(r) = self { r.len() } else { 0 }
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Retrieved {
    fn write(&self) -> Element {
        let inner = match self {
            Retrieved::Record { syntax, bytes } => {
                let oid = Element::oid(Tag::OID, syntax);
                let octets = Element::bytes(Tag::ctx(1), bytes.clone());
                Element::constructed(
                    Tag::ctx(1),
                    vec![Element::constructed(Tag::EXTERNAL, vec![oid, octets])],
                )
            }
            Retrieved::Diagnostic(d) => Element::constructed(Tag::ctx(2), vec![diagnostic(Tag::SEQUENCE, d)]),
        };
        Element::constructed(Tag::SEQUENCE, vec![Element::constructed(Tag::ctx(1), vec![inner])])
    }

    fn read(e: &Element) -> Result<Retrieved, BerError> {
        let inner = e.get(1).and_then(|r| r.values().first()).ok_or(BerError("a record without content"))?;
        if inner.tag == Tag::ctx(2) {
            let d = inner.values().first().ok_or(BerError("an empty diagnostic"))?;
            return Ok(Retrieved::Diagnostic(read_diagnostic(d)));
        }
        let external = inner.values().first().ok_or(BerError("an empty record"))?;
        let syntax =
            external.values().first().and_then(Element::as_oid).ok_or(BerError("no record syntax"))?;
        let octets = external.get(1).or_else(|| external.get(0)).ok_or(BerError("no record content"))?;
        Ok(Retrieved::Record { syntax, bytes: octets.as_bytes() })
    }

    /// Approximate size on the wire, in bytes.
    pub fn size(&self) -> usize {
        match self {
            Retrieved::Record { bytes, .. } => bytes.len() + 64,
            Retrieved::Diagnostic(d) => d.details.len() + 64,
        }
    }
}

impl Apdu {
    /// Encodes the APDU for a version 3 session.
    pub fn encode(&self) -> Vec<u8> {
        self.element().encode()
    }

    /// Encodes the APDU for a version 2 session, where the details of a diagnostic are a VisibleString.
    pub fn encode_v2(&self) -> Vec<u8> {
        let mut element = self.element();
        use_visible_strings(&mut element);
        element.encode()
    }

    fn element(&self) -> Element {
        let (tag, body) = match self {
            Apdu::InitRequest(r) => {
                (20, init(&r.reference, &r.versions, &r.options, [r.preferred_size, r.largest_record], None))
            }
            Apdu::InitResponse(r) => {
                let sizes = [r.preferred_size, r.largest_record];
                (21, init(&r.reference, &r.versions, &r.options, sizes, Some(r.accepted)))
            }
            Apdu::SearchRequest(r) => (22, r.write()),
            Apdu::SearchResponse(r) => (23, r.write()),
            Apdu::PresentRequest(r) => (24, r.write()),
            Apdu::PresentResponse(r) => (25, r.write()),
            Apdu::DeleteRequest { reference: r, sets } => {
                let mut out = reference(r);
                out.push(int(32, if sets.is_some() { 0 } else { 1 }));
                if let Some(sets) = sets {
                    // The list has no context tag, only that of a SEQUENCE; each name has context tag 31.
                    out.push(Element::constructed(Tag::SEQUENCE, sets.iter().map(|s| text(31, s)).collect()));
                }
                (26, out)
            }
            Apdu::DeleteResponse { reference: r, status } => {
                let mut out = reference(r);
                out.push(int(0, *status));
                (27, out)
            }
            Apdu::Close { reference: r, reason, diagnostic_information } => {
                let mut out = reference(r);
                out.extend([int(211, *reason), text(3, diagnostic_information)]);
                (48, out)
            }
            Apdu::Other { reference: r, tag } => (*tag, reference(r)),
        };
        Element::constructed(Tag::ctx(tag), body)
    }

    /// Decodes exactly one APDU.
    pub fn decode(bytes: &[u8]) -> Result<Apdu, BerError> {
        let e = Element::decode(bytes)?;
        if !e.tag.is_context_specific() {
            return Err(BerError("no APDU"));
        }
        let reference = e.get(2).map(Element::as_bytes);
        let number = |tag: u32| e.get(tag).and_then(Element::as_integer);
        let required = |tag: u32, error| number(tag).ok_or(BerError(error));
        let bit_string = |tag: u32| {
            e.get(tag).map(|b| b.as_bytes().into_iter().skip(1).collect::<Vec<u8>>()).unwrap_or_default()
        };
        Ok(match e.tag.number() {
            20 => Apdu::InitRequest(InitRequest {
                reference,
                versions: bit_string(3),
                options: bit_string(4),
                preferred_size: required(5, "Init without a message size")?,
                largest_record: required(6, "Init without a record size")?,
            }),
            21 => Apdu::InitResponse(InitResponse {
                reference,
                versions: bit_string(3),
                options: bit_string(4),
                preferred_size: number(5).unwrap_or(0),
                largest_record: number(6).unwrap_or(0),
                accepted: e.get(12).and_then(Element::as_boolean).ok_or(BerError("Init without a result"))?,
            }),
            22 => Apdu::SearchRequest(SearchRequest::read(&e, reference)?),
            23 => Apdu::SearchResponse(SearchResponse {
                reference,
                count: required(23, "a search without a count")?,
                next: number(25).unwrap_or(0),
                success: e
                    .get(22)
                    .and_then(Element::as_boolean)
                    .ok_or(BerError("a search without a status"))?,
                set_status: number(26),
                present_status: number(27),
                records: Records::read(&e)?,
            }),
            24 => Apdu::PresentRequest(PresentRequest {
                reference,
                result_set: e.get(31).and_then(Element::as_text).ok_or(BerError("no result set"))?,
                start: required(30, "no start")?,
                number: required(29, "no number of records")?,
                element_set: e.get(19).and_then(|s| s.get(0)).and_then(Element::as_text),
                syntax: e.get(104).and_then(Element::as_oid),
                complex: e.get(209).is_some() || e.get(212).is_some(),
            }),
            25 => Apdu::PresentResponse(PresentResponse {
                reference,
                next: number(25).unwrap_or(0),
                status: required(27, "no status")?,
                records: Records::read(&e)?,
            }),
            26 => {
                let all = required(32, "no function")? == 1;
                let names = e.values().iter().filter(|v| v.tag == Tag::SEQUENCE).flat_map(Element::values);
                let sets = (!all).then(|| names.filter_map(Element::as_text).collect());
                Apdu::DeleteRequest { reference, sets }
            }
            27 => Apdu::DeleteResponse { reference, status: required(0, "no status")? },
            48 => {
                let diagnostic_information = e.get(3).and_then(Element::as_text).unwrap_or_default();
                Apdu::Close { reference, reason: number(211).unwrap_or(9), diagnostic_information }
            }
            tag => Apdu::Other { reference, tag },
        })
    }

    /// The response to a request for a service that was not negotiated; none if the session must be closed.
    pub fn unsupported(tag: u32, reference_id: &Reference) -> Option<Vec<u8>> {
        let condition = super::diagnostic::Condition::UnsupportedOperation;
        let record = diagnostic(Tag::SEQUENCE, &Diagnostic::new(condition, "service not supported"));
        let mut out = reference(reference_id);
        let response_tag = match tag {
            // Scan: status 6 is failure.
            35 => {
                let diagnostics = Element::constructed(Tag::ctx(2), vec![record]);
                out.extend([int(4, 6), int(5, 0), Element::constructed(Tag::ctx(7), vec![diagnostics])]);
                36
            }
            // Sort: status 2 is failure.
            43 => {
                out.extend([int(3, 2), Element::constructed(Tag::ctx(5), vec![record])]);
                44
            }
            // Extended services: status 3 is failure.
            46 => {
                out.extend([int(3, 3), Element::constructed(Tag::ctx(4), vec![record])]);
                47
            }
            _ => return None,
        };
        Some(Element::constructed(Tag::ctx(response_tag), out).encode())
    }
}

/// Turns each GeneralString into a VisibleString, with `?` for bytes that are not printable ASCII. In a
/// response only the details of a diagnostic are a GeneralString.
fn use_visible_strings(e: &mut Element) {
    match &mut e.content {
        ElementContent::Constructed(values) => values.iter_mut().for_each(use_visible_strings),
        ElementContent::Primitive(bytes) if e.tag == Tag::GENERAL_STRING => {
            e.tag = Tag::VISIBLE_STRING;
            bytes.iter_mut().filter(|b| !(0x20..0x7f).contains(*b)).for_each(|b| *b = b'?');
        }
        ElementContent::Primitive(_) => {}
    }
}

fn init(
    reference_id: &Reference,
    versions: &[u8],
    options: &[u8],
    sizes: [i64; 2],
    accepted: Option<bool>,
) -> Vec<Element> {
    let mut out = reference(reference_id);
    out.extend([bit_string(3, versions), bit_string(4, options), int(5, sizes[0]), int(6, sizes[1])]);
    out.extend(accepted.map(|a| Element::boolean(Tag::ctx(12), a)));
    out.extend([text(110, "pebbleturn"), text(111, "pebbleturn"), text(112, env!("CARGO_PKG_VERSION"))]);
    out
}

fn element_set(tag: u32, name: &Option<String>) -> Option<Element> {
    name.as_ref().map(|n| Element::constructed(Tag::ctx(tag), vec![text(0, n)]))
}

impl SearchRequest {
    fn write(&self) -> Vec<Element> {
        let mut out = reference(&self.reference);
        out.extend([int(13, self.small_upper), int(14, self.large_lower), int(15, self.medium_number)]);
        out.extend([Element::boolean(Tag::ctx(16), self.replace), text(17, &self.result_set)]);
        out.push(Element::constructed(Tag::ctx(18), self.databases.iter().map(|d| text(105, d)).collect()));
        out.extend(element_set(100, &self.element_set));
        out.extend(element_set(101, &self.element_set));
        out.extend(self.syntax.as_ref().map(|s| Element::oid(Tag::ctx(104), s)));
        let query = match &self.query {
            Query::Rpn(content) => Element::constructed(Tag::ctx(1), content.clone()),
            Query::Cql(cql) => {
                let oid = Element::oid(Tag::OID, CQL);
                let query = Element::constructed(
                    Tag::ctx(0),
                    vec![Element::bytes(Tag::GENERAL_STRING, cql.as_bytes())],
                );
                Element::constructed(Tag::ctx(104), vec![oid, query])
            }
            Query::Other(tag) => Element::bytes(Tag::ctx(*tag), []),
        };
        out.push(Element::constructed(Tag::ctx(21), vec![query]));
        out
    }

    fn read(e: &Element, reference: Reference) -> Result<SearchRequest, BerError> {
        let number = |tag: u32, error| e.get(tag).and_then(Element::as_integer).ok_or(BerError(error));
        let query = e.get(21).and_then(|q| q.values().first()).ok_or(BerError("a search without a query"))?;
        let query = match query.tag {
            t if t == Tag::ctx(1) || t == Tag::ctx(101) => Query::Rpn(query.values().to_vec()),
            t if t == Tag::ctx(104) => {
                let is_cql = query.values().first().and_then(Element::as_oid).is_some_and(|o| o == CQL);
                let text = query.get(0).or_else(|| query.get(1)).and_then(Element::as_text);
                match text.filter(|_| is_cql) {
                    Some(cql) => Query::Cql(cql),
                    None => Query::Other(104),
                }
            }
            t => Query::Other(t.number()),
        };
        let databases = e.get(18).ok_or(BerError("a search without databases"))?;
        let databases =
            databases.values().iter().map(|d| d.as_text().ok_or(BerError("a database's name is no text")));
        let element_set = |tag: u32| e.get(tag).and_then(|s| s.get(0)).and_then(Element::as_text);
        Ok(SearchRequest {
            reference,
            small_upper: number(13, "a search without its small set")?,
            large_lower: number(14, "a search without its large set")?,
            medium_number: number(15, "a search without its medium set")?,
            replace: e
                .get(16)
                .and_then(Element::as_boolean)
                .ok_or(BerError("a search without its indicator"))?,
            result_set: e
                .get(17)
                .and_then(Element::as_text)
                .ok_or(BerError("a search without a result set"))?,
            databases: databases.collect::<Result<_, _>>()?,
            element_set: element_set(100).or_else(|| element_set(101)),
            syntax: e.get(104).and_then(Element::as_oid),
            query,
        })
    }
}

impl SearchResponse {
    fn write(&self) -> Vec<Element> {
        let mut out = reference(&self.reference);
        out.extend([int(23, self.count), int(24, self.records.len() as i64), int(25, self.next)]);
        out.push(Element::boolean(Tag::ctx(22), self.success));
        out.extend(self.set_status.map(|s| int(26, s)));
        out.extend(self.present_status.map(|s| int(27, s)));
        self.records.write(&mut out);
        out
    }
}

impl PresentRequest {
    fn write(&self) -> Vec<Element> {
        let mut out = reference(&self.reference);
        out.extend([text(31, &self.result_set), int(30, self.start), int(29, self.number)]);
        out.extend(element_set(19, &self.element_set));
        out.extend(self.syntax.as_ref().map(|s| Element::oid(Tag::ctx(104), s)));
        out
    }
}

impl PresentResponse {
    fn write(&self) -> Vec<Element> {
        let mut out = reference(&self.reference);
        out.extend([int(24, self.records.len() as i64), int(25, self.next), int(27, self.status)]);
        self.records.write(&mut out);
        out
    }
}
