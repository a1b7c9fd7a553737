//! MARC records in ISO 2709 and in MARCXML.

use quick_xml::events::Event;
use quick_xml::reader::Reader;
use std::fmt;

/// The namespace of MARCXML.
pub const MARCXML: &str = "http://www.loc.gov/MARC21/slim";

// Separators of ISO 2709.
const FIELD_TERMINATOR: u8 = 0x1e;
const RECORD_TERMINATOR: u8 = 0x1d;
const SUBFIELD_DELIMITER: u8 = 0x1f;
/// Longest record in ISO 2709, in bytes: the leader has five digits for the length.
const MAX_RECORD_LENGTH: usize = 99_999;

/// Bytes or text that are not a MARC record, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MarcError(pub &'static str);

impl fmt::Display for MarcError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no MARC record: {}", self.0)
    }
}

impl std::error::Error for MarcError {}

/// A field of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Field {
    /// A control field: only a value.
    Control { tag: String, value: String },
    /// A data field, with indicators and subfields.
    Data { tag: String, indicators: [char; 2], subfields: Vec<(char, String)> },
}

/// A MARC record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The 24 characters of the leader. The lengths in it are recomputed when ISO 2709 is written.
    pub leader: String,
    /// The fields, in order.
    pub fields: Vec<Field>,
}

/// A leader with fixed values where it describes the encoding of a record. Characters 0 to 4 (record length)
/// and 12 to 16 (base address of data) are lengths that hold for one encoding only, and become zeros. The
/// character set is UTF-8, and the sizes of indicators, subfield codes and directory entries are those of
/// MARC 21.
fn normalize_leader(leader: &str) -> String {
    let mut out: Vec<char> = leader.chars().map(|c| if c.is_ascii_graphic() { c } else { ' ' }).collect();
    out.resize(24, ' ');
    for position in (0..5).chain(12..17) {
        out[position] = '0';
    }
    (out[9], out[10], out[11]) = ('a', '2', '2');
    (out[20], out[21], out[22], out[23]) = ('4', '5', '0', '0');
    out.into_iter().collect()
}

impl Record {
    /// A record without fields.
    pub fn new(leader: &str) -> Record {
        Record { leader: normalize_leader(leader), fields: Vec::new() }
    }

    /// Reads ISO 2709 in UTF-8. A record that declares another character set must be ASCII.
    pub fn from_iso2709(bytes: &[u8]) -> Result<Record, MarcError> {
        let leader = bytes.get(..24).ok_or(MarcError("no leader"))?;
        let number = |b: &[u8]| -> Result<usize, MarcError> {
            let text = std::str::from_utf8(b).ok().filter(|t| t.bytes().all(|b| b.is_ascii_digit()));
            text.and_then(|t| t.parse().ok()).ok_or(MarcError("a length that is no number"))
        };
        let length = number(&leader[..5])?;
        let base = number(&leader[12..17])?;
        let record = bytes.get(..length).ok_or(MarcError("shorter than it says"))?;
        if record.last() != Some(&RECORD_TERMINATOR) || base < 25 || base > length {
            return Err(MarcError("its parts don't fit"));
        }
        let directory = &record[24..base - 1];
        let utf8 = leader[9] == b'a';
        let text = |b: &[u8]| -> Result<String, MarcError> {
            // Text in another character set must not be passed on as UTF-8.
            if !utf8 && !b.is_ascii() {
                return Err(MarcError("a character set that is not read"));
            }
            String::from_utf8(b.to_vec()).map_err(|_| MarcError("not in UTF-8"))
        };
        let mut out = Record::new(&String::from_utf8_lossy(leader));
        for entry in directory.chunks(12) {
            let [tag, field_length, start] = [entry.get(..3), entry.get(3..7), entry.get(7..12)]
                .map(|part| part.ok_or(MarcError("a broken directory")));
            let (tag, field_length, start) = (text(tag?)?, number(field_length?)?, number(start?)?);
            let end = base + start + field_length;
            let body = record.get(base + start..end).ok_or(MarcError("a field past the end"))?;
            let body = body.strip_suffix(&[FIELD_TERMINATOR]).ok_or(MarcError("a field without its end"))?;
            if tag.starts_with("00") {
                out.fields.push(Field::Control { tag, value: text(body)? });
                continue;
            }
            let mut pieces = body.split(|b| *b == SUBFIELD_DELIMITER);
            let indicators = text(pieces.next().unwrap_or(&[]))?;
            let mut indicators = indicators.chars();
            let indicators = [indicators.next().unwrap_or(' '), indicators.next().unwrap_or(' ')];
            let mut subfields = Vec::new();
            for piece in pieces {
                let piece = text(piece)?;
                let mut chars = piece.chars();
                let code = chars.next().ok_or(MarcError("a subfield without its code"))?;
                subfields.push((code, chars.as_str().to_owned()));
            }
            out.fields.push(Field::Data { tag, indicators, subfields });
        }
        Ok(out)
    }

    /// Writes ISO 2709 in UTF-8.
    pub fn to_iso2709(&self) -> Result<Vec<u8>, MarcError> {
        let (mut directory, mut data) = (Vec::new(), Vec::new());
        for field in &self.fields {
            let start = data.len();
            let tag = match field {
                Field::Control { tag, value } => {
                    data.extend_from_slice(value.as_bytes());
                    tag
                }
                Field::Data { tag, indicators, subfields } => {
                    data.extend(indicators.iter().collect::<String>().bytes());
                    for (code, value) in subfields {
                        data.push(SUBFIELD_DELIMITER);
                        data.extend(code.to_string().bytes());
                        data.extend_from_slice(value.as_bytes());
                    }
                    tag
                }
            };
            data.push(FIELD_TERMINATOR);
            let field_length = data.len() - start;
            if tag.len() != 3 || !tag.is_ascii() || field_length > 9_999 || start > MAX_RECORD_LENGTH {
                return Err(MarcError("a field that ISO 2709 has no room for"));
            }
            directory.extend(format!("{tag}{field_length:04}{start:05}").bytes());
        }
        directory.push(FIELD_TERMINATOR);
        data.push(RECORD_TERMINATOR);
        let base = 24 + directory.len();
        let length = base + data.len();
        if length > MAX_RECORD_LENGTH {
            return Err(MarcError("longer than ISO 2709 has room for"));
        }
        let leader = &self.leader;
        let mut out = format!("{length:05}{}{base:05}{}", &leader[5..12], &leader[17..24]).into_bytes();
        out.extend(directory);
        out.extend(data);
        Ok(out)
    }

    /// Writes MARCXML.
    pub fn to_marcxml(&self) -> String {
        let mut out = format!("<record xmlns=\"{MARCXML}\"><leader>{}</leader>", escape(&self.leader));
        for field in &self.fields {
            match field {
                Field::Control { tag, value } => {
                    out += &format!("<controlfield tag=\"{}\">{}</controlfield>", escape(tag), escape(value));
                }
                Field::Data { tag, indicators: [a, b], subfields } => {
                    let (a, b) = (escape(&a.to_string()), escape(&b.to_string()));
                    out += &format!("<datafield tag=\"{}\" ind1=\"{a}\" ind2=\"{b}\">", escape(tag));
                    for (code, value) in subfields {
                        let code = escape(&code.to_string());
                        out += &format!("<subfield code=\"{code}\">{}</subfield>", escape(value));
                    }
                    out += "</datafield>";
                }
            }
        }
        out + "</record>"
    }

    /// Reads the first record in MARCXML.
    pub fn from_marcxml(xml: &str) -> Result<Record, MarcError> {
        let mut reader = Reader::from_str(xml);
        let mut record = Record::new("");
        let mut text = String::new();
        let mut subfield: Option<char> = None;
        let mut in_record = false;
        loop {
            let event = reader.read_event().map_err(|_| MarcError("broken XML"))?;
            match &event {
                Event::Start(e) | Event::Empty(e) => {
                    let attribute = |name: &str| {
                        let found = e.try_get_attribute(name).ok().flatten();
                        found.and_then(|a| unescape(&a.value))
                    };
                    text.clear();
                    match e.local_name().as_ref() {
                        "record" => in_record = true,
                        "controlfield" => {
                            let tag = attribute("tag").ok_or(MarcError("a field without a tag"))?;
                            record.fields.push(Field::Control { tag, value: String::new() });
                        }
                        "datafield" => {
                            let tag = attribute("tag").ok_or(MarcError("a field without a tag"))?;
                            let indicator =
                                |name| attribute(name).and_then(|v| v.chars().next()).unwrap_or(' ');
                            let indicators = [indicator("ind1"), indicator("ind2")];
                            record.fields.push(Field::Data { tag, indicators, subfields: Vec::new() });
                        }
                        "subfield" => subfield = attribute("code").and_then(|v| v.chars().next()),
                        _ => {}
                    }
                }
                Event::Text(t) => {
                    text += t;
                }
                Event::GeneralRef(r) => {
                    let name: &str = r;
                    text += &unescape(&format!("&{name};")).ok_or(MarcError("an unknown entity"))?;
                }
                Event::CData(t) => text += t,
                Event::End(e) => {
                    match (e.local_name().as_ref(), record.fields.last_mut()) {
                        ("leader", _) => record.leader = normalize_leader(&text),
                        ("controlfield", Some(Field::Control { value, .. })) => {
                            *value = std::mem::take(&mut text)
                        }
                        ("subfield", Some(Field::Data { subfields, .. })) => {
                            let code = subfield.take().ok_or(MarcError("a subfield without its code"))?;
                            subfields.push((code, std::mem::take(&mut text)));
                        }
                        ("record", _) if in_record => return Ok(record),
                        _ => {}
                    }
                    text.clear();
                }
                Event::Eof => return Err(MarcError("no whole record")),
                _ => {}
            }
        }
    }
}

/// Escapes text for XML content or an attribute. Control characters that XML 1.0 cannot represent are
/// omitted.
pub fn escape(text: &str) -> String {
    let allowed = |c: &char| !c.is_control() || matches!(c, '\t' | '\n' | '\r');
    let plain: String = text.chars().filter(allowed).collect();
    quick_xml::escape::escape(plain.as_str()).into_owned()
}

/// Unescapes XML content or an attribute; none if it has an unknown entity.
pub fn unescape(text: &str) -> Option<String> {
    quick_xml::escape::unescape(text).ok().map(|t| t.into_owned())
}
