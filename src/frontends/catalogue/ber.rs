//! BER: where an APDU ends in a stream, and values as a tree. Decoding and headers are bcder's; what is here
//! is the bound on depth and the search for the end of a message that is not whole yet.

use bcder::decode::{Constructed, Content, DecodeError, Source};
use bcder::encode::Values;
use bcder::{Mode, Tag};
use std::fmt;
use std::io;

/// Deepest nesting that is read. Guards the stack: a few bytes from a peer open one level.
const DEEPEST: usize = 80;
/// Largest APDU that is read.
pub const MAX_APDU: usize = crate::net::MAX_BODY;

/// Bytes that are no usable BER.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BerError(pub &'static str);

impl fmt::Display for BerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "bad BER: {}", self.0)
    }
}

impl std::error::Error for BerError {}

/// One value: a tag, and bytes or further values.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Element {
    /// Its tag.
    pub tag: Tag,
    /// Its content.
    pub content: ElementContent,
}

/// The content of a value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ElementContent {
    /// Bytes.
    Primitive(Vec<u8>),
    /// Values.
    Constructed(Vec<Element>),
}

impl Element {
    /// A value of bytes.
    pub fn bytes(tag: Tag, bytes: impl Into<Vec<u8>>) -> Element {
        Element { tag, content: ElementContent::Primitive(bytes.into()) }
    }

    /// A value of values.
    pub fn constructed(tag: Tag, values: Vec<Element>) -> Element {
        Element { tag, content: ElementContent::Constructed(values) }
    }

    /// An integer, in the fewest bytes.
    pub fn integer(tag: Tag, n: i64) -> Element {
        let bytes = n.to_be_bytes();
        let spare = |w: &&[u8]| {
            matches!(w, [0, b, ..] if b & 0x80 == 0) || matches!(w, [0xff, b, ..] if b & 0x80 != 0)
        };
        let mut rest = &bytes[..];
        while spare(&rest) {
            rest = &rest[1..];
        }
        Element::bytes(tag, rest)
    }

    /// A truth value.
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

    /// The bytes; those of a string cut in pieces are put together.
    pub fn as_bytes(&self) -> Vec<u8> {
        match &self.content {
            ElementContent::Primitive(b) => b.clone(),
            ElementContent::Constructed(v) => v.iter().flat_map(Element::as_bytes).collect(),
        }
    }

    /// Text; none where it is not UTF-8.
    pub fn as_text(&self) -> Option<String> {
        String::from_utf8(self.as_bytes()).ok()
    }

    /// An integer; none where it is too large.
    pub fn as_integer(&self) -> Option<i64> {
        let ElementContent::Primitive(b) = &self.content else { return None };
        let first = *b.first()?;
        let start = if first & 0x80 != 0 { -1 } else { 0 };
        (b.len() <= 8).then(|| b.iter().fold(start, |n: i64, b| n << 8 | i64::from(*b)))
    }

    /// A truth value.
    pub fn as_boolean(&self) -> Option<bool> {
        match &self.content {
            ElementContent::Primitive(b) if b.len() == 1 => Some(b[0] != 0),
            _ => None,
        }
    }

    /// An object identifier in dotted form.
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

    /// The values within; none for bytes.
    pub fn values(&self) -> &[Element] {
        match &self.content {
            ElementContent::Constructed(v) => v,
            ElementContent::Primitive(_) => &[],
        }
    }

    /// The first value within that has this context tag.
    pub fn get(&self, number: u32) -> Option<&Element> {
        self.values().iter().find(|e| e.tag == Tag::ctx(number))
    }

    /// The whole value as bytes.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(self.encoded_len(Mode::Ber));
        // Writing to memory can't fail.
        let _ = self.write_encoded(Mode::Ber, &mut out);
        out
    }

    /// Reads exactly one value.
    pub fn decode(bytes: &[u8]) -> Result<Element, BerError> {
        let read = Constructed::decode(bytes, Mode::Ber, |cons| {
            let value = take(cons, 0)?;
            value.ok_or_else(|| cons.content_err("nothing there"))
        });
        read.map_err(|_| BerError("a value that is broken or nested too deep"))
    }
}

fn take<S: Source>(
    cons: &mut Constructed<S>,
    depth: usize,
) -> Result<Option<Element>, DecodeError<S::Error>> {
    cons.take_opt_value(|tag, content| {
        let content = match content {
            Content::Primitive(p) => ElementContent::Primitive(p.take_all()?.to_vec()),
            Content::Constructed(_) if depth >= DEEPEST => return Err(content.content_err("too deep")),
            Content::Constructed(inner) => {
                let mut values = Vec::new();
                while let Some(e) = take(inner, depth + 1)? {
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

/// Size of the value that `data` starts with; none while it is not whole. Works without recursion.
pub fn size(data: &[u8]) -> Result<Option<usize>, BerError> {
    let mut at = 0;
    let mut open = 0usize;
    loop {
        let Some(header) = header(&data[at.min(data.len())..])? else { return Ok(None) };
        at += header.size;
        match header.length {
            // The end of an indefinite length.
            Some(0) if header.is_end => match open {
                0 => return Err(BerError("an end without a start")),
                n => open = n - 1,
            },
            Some(n) => at = at.saturating_add(n),
            None if !header.constructed => return Err(BerError("bytes without a length")),
            None => open += 1,
        }
        if at > MAX_APDU {
            return Err(BerError("larger than may be"));
        }
        if open > DEEPEST {
            return Err(BerError("nested too deep"));
        }
        if open == 0 {
            return Ok((at <= data.len()).then_some(at));
        }
    }
}

struct Header {
    size: usize,
    length: Option<usize>,
    constructed: bool,
    is_end: bool,
}

fn header(data: &[u8]) -> Result<Option<Header>, BerError> {
    let Some(first) = data.first() else { return Ok(None) };
    let mut at = 1;
    if first & 0x1f == 0x1f {
        loop {
            let Some(byte) = data.get(at) else { return Ok(None) };
            at += 1;
            if byte & 0x80 == 0 {
                break;
            }
            if at > 3 {
                return Err(BerError("a tag number out of range"));
            }
        }
    }
    let Some(byte) = data.get(at).copied() else { return Ok(None) };
    at += 1;
    let length = match byte {
        0x80 => None,
        n if n < 0x80 => Some(usize::from(n)),
        n => {
            let count = usize::from(n & 0x7f);
            if count > 4 {
                return Err(BerError("a length out of range"));
            }
            let Some(bytes) = data.get(at..at + count) else { return Ok(None) };
            at += count;
            Some(bytes.iter().fold(0, |n, b| n << 8 | usize::from(*b)))
        }
    };
    let is_end = data[0] == 0 && length == Some(0);
    Ok(Some(Header { size: at, length, constructed: first & 0x20 != 0, is_end }))
}
