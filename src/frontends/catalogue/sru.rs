//! SRU 1.1 and 1.2: reads and writes requests and responses, for the server and the client side.

use super::diagnostic::{Condition, Diagnostic};
use super::marc::{MARCXML, Record, escape, unescape};
use super::search::{CONTEXT_SETS, indexes};
use quick_xml::events::{BytesStart, Event};
use quick_xml::reader::Reader;

/// Identifier of the record schema.
pub const SCHEMA: &str = "info:srw/schema/1/marcxml-v1.1";
/// The names by which a request may select the record schema.
const SCHEMA_NAMES: &[&str] = &[SCHEMA, MARCXML, "marcxml", "marcxml-v1.1"];
const DIAGNOSTIC_SCHEMA: &str = "info:srw/schema/1/diagnostics-v1.1";
const NAMESPACE: &str = "http://www.loc.gov/zing/srw/";
const DIAGNOSTIC_NAMESPACE: &str = "http://www.loc.gov/zing/srw/diagnostic/";

/// How records are embedded in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordPacking {
    /// As XML elements of the response.
    Xml,
    /// As escaped text.
    String,
}

/// A request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// A request for the description of the server.
    Explain { version: &'static str, packing: RecordPacking },
    /// A search.
    Search(SearchRetrieve),
}

/// A search and the requested range of records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SearchRetrieve {
    /// The protocol version of the response.
    pub version: &'static str,
    /// The search, in CQL.
    pub query: String,
    /// The first record, from 1.
    pub start: u64,
    /// Maximum number of records; none leaves the number to the server.
    pub maximum: Option<u64>,
    /// How records are embedded in the response.
    pub packing: RecordPacking,
}

/// The request's parameters, from the query string of the target and from a form body.
pub fn parameters(target: &str, form: &str) -> Vec<(String, String)> {
    let query = target.split_once('?').map_or("", |(_, q)| q);
    let pairs = query.split('&').chain(form.trim().split('&')).filter(|p| !p.is_empty());
    pairs
        .map(|pair| {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            (percent_decode(name), percent_decode(value))
        })
        .collect()
}

/// Decodes `%XX` and `+`.
pub fn percent_decode(text: &str) -> String {
    let mut out = Vec::with_capacity(text.len());
    let mut bytes = text.as_bytes();
    while let Some((first, rest)) = bytes.split_first() {
        let code = rest.get(..2).and_then(|h| std::str::from_utf8(h).ok());
        let code = code.filter(|h| h.bytes().all(|b| b.is_ascii_hexdigit()));
        match (first, code.and_then(|h| u8::from_str_radix(h, 16).ok())) {
            (b'%', Some(byte)) => {
                out.push(byte);
                bytes = &rest[2..];
                continue;
            }
            (b'+', _) => out.push(b' '),
            (b, _) => out.push(*b),
        }
        bytes = rest;
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Percent-encodes text for use in a request target.
pub fn percent_encode(text: &str) -> String {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"-._~".contains(&b);
    text.bytes().map(|b| if plain(b) { char::from(b).to_string() } else { format!("%{b:02X}") }).collect()
}

/// Reads a request. A diagnostic comes with the protocol version of the response that reports it.
pub fn read(parameters: &[(String, String)]) -> Result<Request, (Diagnostic, &'static str)> {
    let get = |name: &str| parameters.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str());
    // A URL without these parameters is an explain request.
    if get("operation").is_none() && get("query").is_none() && get("version").is_none() {
        return Ok(Request::Explain { version: "1.2", packing: RecordPacking::Xml });
    }
    let fail = |condition, details: &str, version| Err((Diagnostic::new(condition, details), version));
    let version = match get("version") {
        Some("1.1") => "1.1",
        Some("1.2") => "1.2",
        Some(_) => return fail(Condition::UnsupportedVersion, "1.2", "1.2"),
        None => return fail(Condition::MissingParameter, "version", "1.2"),
    };
    let packing = match get("recordPacking") {
        None | Some("xml") => RecordPacking::Xml,
        Some("string") => RecordPacking::String,
        Some(other) => return fail(Condition::UnsupportedPacking, other, version),
    };
    match get("operation") {
        Some("explain") => return Ok(Request::Explain { version, packing }),
        Some("searchRetrieve") => {}
        Some(other) => return fail(Condition::UnsupportedOperation, other, version),
        None => return fail(Condition::MissingParameter, "operation", version),
    }
    for (name, value) in parameters {
        match name.as_str() {
            "version" | "operation" | "query" | "startRecord" | "maximumRecords" | "recordPacking"
            | "recordSchema" | "resultSetTTL" | "stylesheet" | "extraRequestData" => {}
            "sortKeys" if value.is_empty() => {}
            "sortKeys" => return fail(Condition::UnsupportedSort, value, version),
            name if name.starts_with("x-") => {}
            other => return fail(Condition::UnsupportedParameter, other, version),
        }
    }
    if let Some(schema) = get("recordSchema").filter(|s| !s.is_empty())
        && !SCHEMA_NAMES.contains(&schema)
    {
        return fail(Condition::UnknownSchema, schema, version);
    }
    let number = |name: &'static str, least: u64| match get(name) {
        None => Ok(None),
        Some(text) => match text.parse::<u64>() {
            Ok(n) if n >= least => Ok(Some(n)),
            _ => Err((Diagnostic::new(Condition::UnsupportedParameterValue, name), version)),
        },
    };
    let (start, maximum) = (number("startRecord", 1)?.unwrap_or(1), number("maximumRecords", 0)?);
    let Some(query) = get("query") else { return fail(Condition::MissingParameter, "query", version) };
    Ok(Request::Search(SearchRetrieve { version, query: query.to_owned(), start, maximum, packing }))
}

/// One record of a response, or the reason why it is missing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Item {
    /// A record.
    Record(Record),
    /// The reason why the record is missing.
    Diagnostic(Diagnostic),
}

/// A response to a search.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Response {
    /// The number of hits.
    pub total: u64,
    /// Records, in order.
    pub items: Vec<Item>,
    /// The position of the next record, if there is one.
    pub next: Option<u64>,
    /// Diagnostics of the whole response.
    pub diagnostics: Vec<Diagnostic>,
}

fn write_diagnostic(d: &Diagnostic) -> String {
    format!(
        "<diagnostic xmlns=\"{DIAGNOSTIC_NAMESPACE}\"><uri>info:srw/diagnostic/1/{}</uri><details>{}</details>\
         <message>{}</message></diagnostic>",
        d.sru(),
        escape(&d.details),
        escape(d.message())
    )
}

fn write_record(schema: &str, packing: RecordPacking, data: &str, position: u64) -> String {
    let (word, data) = match packing {
        RecordPacking::Xml => ("xml", data.to_owned()),
        RecordPacking::String => ("string", escape(data)),
    };
    format!(
        "<record><recordSchema>{schema}</recordSchema><recordPacking>{word}</recordPacking>\
         <recordData>{data}</recordData><recordPosition>{position}</recordPosition></record>"
    )
}

/// Writes a response whose first record has the position `start`.
pub fn write(r: &Response, version: &str, packing: RecordPacking, start: u64) -> Vec<u8> {
    let mut out = format!(
        "<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n<searchRetrieveResponse xmlns=\"{NAMESPACE}\">\
         <version>{version}</version><numberOfRecords>{}</numberOfRecords>",
        r.total
    );
    if !r.items.is_empty() {
        out += "<records>";
        for (item, position) in r.items.iter().zip(start..) {
            out += &match item {
                Item::Record(record) => write_record(SCHEMA, packing, &record.to_marcxml(), position),
                Item::Diagnostic(d) => {
                    write_record(DIAGNOSTIC_SCHEMA, packing, &write_diagnostic(d), position)
                }
            };
        }
        out += "</records>";
    }
    if let Some(next) = r.next {
        out += &format!("<nextRecordPosition>{next}</nextRecordPosition>");
    }
    if !r.diagnostics.is_empty() {
        out += "<diagnostics>";
        for d in &r.diagnostics {
            out += &write_diagnostic(d);
        }
        out += "</diagnostics>";
    }
    (out + "</searchRetrieveResponse>").into_bytes()
}

/// Writes the explain response for the database at `host` and `port`.
pub fn explain(
    version: &str,
    packing: RecordPacking,
    host: &str,
    port: u16,
    database: &str,
    max_records: u64,
) -> Vec<u8> {
    let mut info = format!(
        "<explain xmlns=\"http://explain.z3950.org/dtd/2.0/\"><serverInfo protocol=\"SRU\" version=\"1.2\" \
         transport=\"http\" method=\"GET POST\"><host>{}</host><port>{port}</port><database>{}</database>\
         </serverInfo><databaseInfo><title>{}</title></databaseInfo><indexInfo>",
        escape(host),
        escape(database),
        escape(database)
    );
    for (set, uri) in CONTEXT_SETS {
        info += &format!("<set identifier=\"{uri}\" name=\"{set}\"/>");
    }
    for (index, _) in indexes() {
        let (set, name) = index.split_once('.').unwrap_or(("", index));
        info += &format!("<index><map><name set=\"{set}\">{name}</name></map></index>");
    }
    info += &format!(
        "</indexInfo><schemaInfo><schema identifier=\"{SCHEMA}\" name=\"marcxml\" sort=\"false\" \
         retrieve=\"true\"><title>MARCXML</title></schema></schemaInfo><configInfo>\
         <default type=\"numberOfRecords\">{max_records}</default>\
         <setting type=\"maximumRecords\">{max_records}</setting>\
         </configInfo></explain>"
    );
    let record = write_record("http://explain.z3950.org/dtd/2.0/", packing, &info, 1);
    let record = record.replace("<recordPosition>1</recordPosition>", "");
    format!(
        "<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n<explainResponse xmlns=\"{NAMESPACE}\">\
         <version>{version}</version>{record}</explainResponse>"
    )
    .into_bytes()
}

/// Reads a response to a search. The error is a short reason for the log.
pub fn read_response(body: &[u8]) -> Result<Response, &'static str> {
    let xml = std::str::from_utf8(body).map_err(|_| "invalid UTF-8")?;
    let mut reader = Reader::from_str(xml);
    let (mut out, mut total) = (Response::default(), None);
    let (mut packing, mut schema) = (RecordPacking::Xml, String::new());
    let mut root = false;
    loop {
        let event = reader.read_event().map_err(|_| "malformed XML")?;
        let Event::Start(e) = event else {
            match event {
                Event::End(e) if root && e.local_name().as_ref() == "searchRetrieveResponse" => break,
                // A truncated response is an error, even if all its records were read.
                Event::Eof => return Err("an incomplete searchRetrieve response"),
                _ => continue,
            }
        };
        match e.local_name().as_ref() {
            "searchRetrieveResponse" => root = true,
            "numberOfRecords" => {
                total = Some(
                    text(&mut reader, &e)?
                        .trim()
                        .parse()
                        .map_err(|_| "a numberOfRecords that is not a number")?,
                );
            }
            "nextRecordPosition" => out.next = text(&mut reader, &e)?.trim().parse().ok(),
            "record" => (packing, schema) = (RecordPacking::Xml, String::new()),
            "recordSchema" => schema = text(&mut reader, &e)?,
            "recordPacking" => {
                packing = if text(&mut reader, &e)?.trim() == "string" {
                    RecordPacking::String
                } else {
                    RecordPacking::Xml
                };
            }
            "recordData" => {
                let raw = reader.read_text(e.name()).map_err(|_| "malformed XML")?;
                let data = match packing {
                    RecordPacking::Xml => raw.to_string(),
                    RecordPacking::String => unescape(&raw).ok_or("an unknown XML entity")?,
                };
                out.items.push(if schema.trim() == DIAGNOSTIC_SCHEMA {
                    Item::Diagnostic(read_diagnostic(&data)?)
                } else {
                    let why = |e| Diagnostic::new(Condition::RecordUnavailable, format!("{e}"));
                    Record::from_marcxml(&data).map_or_else(|e| Item::Diagnostic(why(e)), Item::Record)
                });
            }
            "diagnostics" => {
                let raw = reader.read_text(e.name()).map_err(|_| "malformed XML")?;
                out.diagnostics.push(read_diagnostic(&raw)?);
            }
            _ => {}
        }
    }
    match total {
        Some(total) => out.total = total,
        None if out.diagnostics.is_empty() => return Err("neither numberOfRecords nor a diagnostic"),
        None => {}
    }
    Ok(out)
}

fn text(reader: &mut Reader<&[u8]>, start: &BytesStart) -> Result<String, &'static str> {
    let raw = reader.read_text(start.name()).map_err(|_| "malformed XML")?;
    unescape(&raw).ok_or("an unknown XML entity")
}

/// Reads the first diagnostic in `xml`.
fn read_diagnostic(xml: &str) -> Result<Diagnostic, &'static str> {
    let mut reader = Reader::from_str(xml);
    let (mut number, mut details) = (None, String::new());
    loop {
        match reader.read_event().map_err(|_| "malformed XML")? {
            Event::Start(e) => match e.local_name().as_ref() {
                "uri" => {
                    number = text(&mut reader, &e)?.trim().rsplit('/').next().and_then(|n| n.parse().ok())
                }
                "details" => details = text(&mut reader, &e)?,
                _ => {}
            },
            Event::End(e) if e.local_name().as_ref() == "diagnostic" => break,
            Event::Eof => break,
            _ => {}
        }
    }
    Ok(Diagnostic::from_sru(number.unwrap_or(0), &details))
}
