//! BER: the size of the APDU at the start of a stream, and values as a tree. bcder decodes values and writes
//! headers; this module limits the nesting depth and finds the end of a message that may be incomplete.

use bcder::decode::{Constructed, Content, DecodeError, Source};
use bcder::encode::Values;
use bcder::{Mode, Tag};
use std::fmt;
use std::io;

/// Maximum nesting depth. Protects the stack: a peer needs only a few bytes to open a level.
const MAX_DEPTH: usize = 80;
/// Largest APDU that is read, in bytes.
pub const MAX_APDU: usize = crate::net::MAX_BODY;

/// Bytes that are not valid or not supported BER, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BerError(pub &'static str);

impl fmt::Display for BerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "bad BER: {}", self.0)
    }
}

impl std::error::Error for BerError {}

/// A tagged value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Element {
    pub tag: Tag,
    pub content: ElementContent,
}

/// The contents of a value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ElementContent {
    Primitive(Vec<u8>),
    Constructed(Vec<Element>),
}

impl Element {
    /// A primitive value.
    pub fn bytes(tag: Tag, bytes: impl Into<Vec<u8>>) -> Element {
        Element { tag, content: ElementContent::Primitive(bytes.into()) }
    }

    /// A constructed value.
    pub fn constructed(tag: Tag, values: Vec<Element>) -> Element {
        Element { tag, content: ElementContent::Constructed(values) }
    }

    /// An integer in the shortest encoding.
    pub fn integer(tag: Tag, n: i64) -> Element {
        let bytes = n.to_be_bytes();
        let has_redundant_byte = |w: &&[u8]| {
            matches!(w, [0, b, ..] if b & 0x80 == 0) || matches!(w, [0xff, b, ..] if b & 0x80 != 0)
        };
        let mut rest = &bytes[..];
        while has_redundant_byte(&rest) {
            rest = &rest[1..];
        }
        Element::bytes(tag, rest)
    }

    /// A boolean.
    pub fn boolean(tag: Tag, b: bool) -> Element {
        Element::bytes(tag, [if b { 0xff } else { 0 }])
    }

    /// An object identifier from its dotted form.
    pub fn oid(tag: Tag, dotted: &str) -> Element {
        let mut arcs = dotted.split('.').filter_map(|a| a.parse::<u32>().ok());
        let (a, b) = (arcs.next().unwrap_or(0), arcs.next().unwrap_or(0));
        let mut bytes = Vec::new();
        for arc in std::iter::once(a * 40 + b).chain(arcs) {
            let groups = (1..5).rev().filter(|g| arc >> (7 * g) > 0);
            bytes.extend(groups.map(|g| (arc >> (7 * g)) as u8 & 0x7f | 0x80));
            bytes.push(arc as u8 & 0x7f);
        }
        Element::bytes(tag, bytes)
    }

    /// The bytes; the segments of a constructed string are joined.
    pub fn as_bytes(&self) -> Vec<u8> {
        match &self.content {
            ElementContent::Primitive(b) => b.clone(),
            ElementContent::Constructed(v) => v.iter().flat_map(Element::as_bytes).collect(),
        }
    }

    /// Text; none if it is not UTF-8.
    pub fn as_text(&self) -> Option<String> {
        String::from_utf8(self.as_bytes()).ok()
    }

    /// An integer; none if it is constructed, empty or longer than 8 bytes.
    pub fn as_integer(&self) -> Option<i64> {
        let ElementContent::Primitive(b) = &self.content else { return None };
        let first = *b.first()?;
        let start = if first & 0x80 != 0 { -1 } else { 0 };
        (b.len() <= 8).then(|| b.iter().fold(start, |n: i64, b| n << 8 | i64::from(*b)))
    }

    /// A boolean; none if the value is not a single byte.
    pub fn as_boolean(&self) -> Option<bool> {
        match &self.content {
            ElementContent::Primitive(b) if b.len() == 1 => Some(b[0] != 0),
            _ => None,
        }
    }

    /// An object identifier in dotted form; none if an arc exceeds 32 bits.
    pub fn as_oid(&self) -> Option<String> {
        let ElementContent::Primitive(b) = &self.content else { return None };
        let mut arcs: Vec<u32> = Vec::new();
        let mut arc: u32 = 0;
        for byte in b {
            arc = arc.checked_mul(128)? | u32::from(byte & 0x7f);
            if byte & 0x80 == 0 {
                arcs.push(arc);
                arc = 0;
            }
        }
        let (first, rest) = arcs.split_first()?;
        let top = (first / 40).min(2);
        let mut text = format!("{top}.{}", first - top * 40);
        for a in rest {
            text += &format!(".{a}");
        }
        Some(text)
    }

    /// The values in a constructed value; empty for a primitive one.
    pub fn values(&self) -> &[Element] {
        match &self.content {
            ElementContent::Constructed(v) => v,
            ElementContent::Primitive(_) => &[],
        }
    }

    /// The first contained value with this context tag.
    pub fn get(&self, number: u32) -> Option<&Element> {
        self.values().iter().find(|e| e.tag == Tag::ctx(number))
    }

    /// Encodes the value with its header.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(self.encoded_len(Mode::Ber));
        // Writing to memory can't fail.
        let _ = self.write_encoded(Mode::Ber, &mut out);
        out
    }

    /// Decodes exactly one value.
    pub fn decode(bytes: &[u8]) -> Result<Element, BerError> {
        let read = Constructed::decode(bytes, Mode::Ber, |cons| {
            let value = decode_element(cons, 0)?;
            value.ok_or_else(|| cons.content_err("no value"))
        });
        read.map_err(|_| BerError("a value that is broken or nested too deep"))
    }
}

fn decode_element<S: Source>(
    cons: &mut Constructed<S>,
    depth: usize,
) -> Result<Option<Element>, DecodeError<S::Error>> {
    cons.take_opt_value(|tag, content| {
        let content = match content {
            Content::Primitive(p) => ElementContent::Primitive(p.take_all()?.to_vec()),
            Content::Constructed(_) if depth >= MAX_DEPTH => return Err(content.content_err("too deep")),
            Content::Constructed(inner) => {
                let mut values = Vec::new();
                while let Some(e) = decode_element(inner, depth + 1)? {
                    values.push(e);
                }
                ElementContent::Constructed(values)
            }
        };
        Ok(Element { tag, content })
    })
}

impl Values for Element {
    fn encoded_len(&self, mode: Mode) -> usize {
        match &self.content {
            ElementContent::Primitive(b) => bcder::encode::total_encoded_len(self.tag, b.len()),
            ElementContent::Constructed(v) => bcder::encode::total_encoded_len(self.tag, v.encoded_len(mode)),
        }
    }

    fn write_encoded<W: io::Write>(&self, mode: Mode, target: &mut W) -> Result<(), io::Error> {
        match &self.content {
            ElementContent::Primitive(b) => {
                bcder::encode::write_header(target, self.tag, false, b.len())?;
                target.write_all(b)
            }
            ElementContent::Constructed(v) => {
                bcder::encode::write_header(target, self.tag, true, v.encoded_len(mode))?;
                v.write_encoded(mode, target)
            }
        }
    }
}

/// Size in bytes of the value at the start of `data`; none if the value is incomplete. Does not recurse.
pub fn size(data: &[u8]) -> Result<Option<usize>, BerError> {
    let mut offset = 0;
    // Values of indefinite length whose end has not been reached.
    let mut open = 0usize;
    loop {
        let Some(header) = header(&data[offset.min(data.len())..])? else { return Ok(None) };
        offset += header.size;
        match header.length {
            // The end-of-contents octets of a value of indefinite length.
            Some(0) if header.is_end_of_contents => match open {
                0 => return Err(BerError("an end without a start")),
                n => open = n - 1,
            },
            Some(n) => offset = offset.saturating_add(n),
            None if !header.constructed => return Err(BerError("bytes without a length")),
            None => open += 1,
        }
        if offset > MAX_APDU {
            return Err(BerError("larger than may be"));
        }
        if open > MAX_DEPTH {
            return Err(BerError("nested too deep"));
        }
        if open == 0 {
            return Ok((offset <= data.len()).then_some(offset));
        }
    }
}

struct Header {
    size: usize,
    /// Length of the contents in bytes; none if it is indefinite.
    length: Option<usize>,
    constructed: bool,
    is_end_of_contents: bool,
}

fn header(data: &[u8]) -> Result<Option<Header>, BerError> {
    let Some(first) = data.first() else { return Ok(None) };
    let mut offset = 1;
    if first & 0x1f == 0x1f {
        loop {
            let Some(byte) = data.get(offset) else { return Ok(None) };
            offset += 1;
            if byte & 0x80 == 0 {
                break;
            }
            if offset > 3 {
                return Err(BerError("a tag number out of range"));
            }
        }
    }
    let Some(byte) = data.get(offset).copied() else { return Ok(None) };
    offset += 1;
    let length = match byte {
        0x80 => None,
        n if n < 0x80 => Some(usize::from(n)),
        n => {
            let count = usize::from(n & 0x7f);
            if count > 4 {
                return Err(BerError("a length out of range"));
            }
            let Some(bytes) = data.get(offset..offset + count) else { return Ok(None) };
            offset += count;
            Some(bytes.iter().fold(0, |n, b| n << 8 | usize::from(*b)))
        }
    };
    let is_end_of_contents = data[0] == 0 && length == Some(0);
    Ok(Some(Header { size: offset, length, constructed: first & 0x20 != 0, is_end_of_contents }))
}
