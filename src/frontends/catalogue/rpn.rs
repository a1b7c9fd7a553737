//! Type-1 (RPN) queries of Z39.50 with Bib-1 attributes, converted to and from a search.

use super::ber::Element;
use super::diagnostic::{Condition, Diagnostic};
use super::search::*;
use bcder::Tag;

/// The Bib-1 attribute set.
pub const BIB1: &str = "1.2.840.10003.3.1";

/// Reads the content of an RPNQuery. `stored` returns the search that created the result set of a name.
pub fn read(query: &[Element], stored: &impl Fn(&str) -> Option<Search>) -> Result<Search, Diagnostic> {
    let [set, structure] = query else { return Err(malformed("an RPN query has two parts")) };
    let set = set.as_oid().ok_or_else(|| malformed("no attribute set"))?;
    check_set(&set)?;
    // Counted first: each operand may be a stored search, which is copied.
    if operator_count(structure) > MAX_OPERATORS {
        return Err(Diagnostic::too_many_operators(MAX_OPERATORS));
    }
    read_structure(structure, stored, 0)?.check_size()
}

fn malformed(what: &str) -> Diagnostic {
    Diagnostic::new(Condition::QuerySyntax, what)
}

fn check_set(oid: &str) -> Result<(), Diagnostic> {
    if oid == BIB1 { Ok(()) } else { Err(Diagnostic::new(Condition::UnsupportedAttributeSet, oid)) }
}

/// The number of operators in a structure, not counting those of stored searches.
fn operator_count(structure: &Element) -> usize {
    match (structure.tag, structure.values()) {
        (tag, [left, right, _]) if tag == Tag::ctx(1) => 1 + operator_count(left) + operator_count(right),
        _ => 0,
    }
}

fn read_structure(
    e: &Element,
    stored: &impl Fn(&str) -> Option<Search>,
    depth: usize,
) -> Result<Search, Diagnostic> {
    if depth > MAX_OPERATORS {
        return Err(Diagnostic::too_many_operators(MAX_OPERATORS));
    }
    match (e.tag, e.values()) {
        (tag, [operand]) if tag == Tag::ctx(0) => match operand.tag {
            t if t == Tag::ctx(102) => read_clause(operand).map(Search::Clause),
            t if t == Tag::ctx(31) => {
                let name = operand.as_text().unwrap_or_default();
                stored(&name).ok_or_else(|| Diagnostic::new(Condition::NoSuchResultSet, name))
            }
            _ => Err(malformed("an unknown operand")),
        },
        (tag, [left, right, operator]) if tag == Tag::ctx(1) => {
            let [op] = operator.values() else { return Err(malformed("no operator")) };
            let op = match op.tag {
                t if operator.tag != Tag::ctx(46) || t.is_universal() => {
                    return Err(malformed("no operator"));
                }
                t if t == Tag::ctx(0) => Operator::And,
                t if t == Tag::ctx(1) => Operator::Or,
                t if t == Tag::ctx(2) => Operator::AndNot,
                t if t == Tag::ctx(3) => {
                    return Err(Diagnostic::new(Condition::ProximityUnsupported, "prox"));
                }
                t => return Err(Diagnostic::new(Condition::UnsupportedOperator, t.number().to_string())),
            };
            let left = read_structure(left, stored, depth + 1)?;
            Ok(Search::join(op, left, read_structure(right, stored, depth + 1)?))
        }
        _ => Err(malformed("neither an operand nor an operation")),
    }
}

fn read_clause(e: &Element) -> Result<Clause, Diagnostic> {
    let [attributes, term] = e.values() else { return Err(malformed("a term has two parts")) };
    if attributes.tag != Tag::ctx(44) {
        return Err(malformed("no list of attributes"));
    }
    let text = match term.tag {
        t if t == Tag::ctx(45) || t == Tag::ctx(216) => term.as_text(),
        t if t == Tag::ctx(215) => term.as_integer().map(|n| n.to_string()),
        _ => None,
    };
    let text =
        text.ok_or_else(|| Diagnostic::new(Condition::MalformedTerm, "a kind of term that is not read"))?;
    if text.trim().is_empty() {
        return Err(Diagnostic::new(Condition::EmptyTerm, ""));
    }
    // 1016 is the use attribute "any", which applies if the query has none.
    let mut c = Clause::new(1016, text);
    for attribute in attributes.values() {
        if let Some(set) = attribute.get(1) {
            check_set(&set.as_oid().unwrap_or_default())?;
        }
        let kind =
            attribute.get(120).and_then(Element::as_integer).ok_or_else(|| malformed("no attribute type"))?;
        let value = attribute.get(121).and_then(Element::as_integer);
        let value =
            value.ok_or_else(|| Diagnostic::new(Condition::UnsupportedAttributeType, "a complex value"))?;
        let unsupported = |condition| Diagnostic::new(condition, value.to_string());
        match (kind, value) {
            (1, n) => c.access = u16::try_from(n).map_err(|_| unsupported(Condition::UnsupportedIndex))?,
            (2, 1) => c.relation = Relation::Less,
            (2, 2) => c.relation = Relation::LessOrEqual,
            (2, 3) => c.relation = Relation::Equal,
            (2, 4) => c.relation = Relation::GreaterOrEqual,
            (2, 5) => c.relation = Relation::Greater,
            (2, 6) => c.relation = Relation::NotEqual,
            (2, _) => return Err(unsupported(Condition::UnsupportedRelation)),
            (3, 1 | 2) => c.first_in_field = true,
            (3, 3) => {}
            (3, _) => return Err(unsupported(Condition::AnchorUnsupported)),
            (4, 1) => c.structure = Structure::Phrase,
            (4, 2) => c.structure = Structure::Word,
            (4, 6) => c.structure = Structure::WordList,
            // Key, year, date, URX, number and string structures: the term is used as written.
            (4, 3 | 4 | 5 | 100 | 104 | 107 | 108 | 109) => {}
            (4, _) => return Err(unsupported(Condition::UnsupportedStructure)),
            (5, 1) => c.truncation = Truncation::Right,
            (5, 2) => c.truncation = Truncation::Left,
            (5, 3) => c.truncation = Truncation::Both,
            (5, 100) => c.truncation = Truncation::None,
            (5, _) => return Err(unsupported(Condition::MaskingUnsupported)),
            (6, 1 | 2) => {}
            (6, 3) => c.complete_field = true,
            (6, _) => return Err(unsupported(Condition::UnsupportedStructure)),
            (other, _) => {
                return Err(Diagnostic::new(Condition::UnsupportedAttributeType, other.to_string()));
            }
        }
    }
    if index_of(c.access).is_none() {
        return Err(Diagnostic::new(Condition::UnsupportedIndex, c.access.to_string()));
    }
    if c.complete_field {
        (c.first_in_field, c.structure) = (true, Structure::Phrase);
    }
    Ok(c)
}

/// Writes the content of an RPNQuery.
pub fn write(search: &Search) -> Vec<Element> {
    vec![Element::oid(Tag::OID, BIB1), write_structure(search)]
}

fn write_structure(search: &Search) -> Element {
    match search {
        Search::Clause(c) => Element::constructed(Tag::ctx(0), vec![write_operand(c)]),
        Search::Binary(operator, l, r) => {
            let number = match operator {
                Operator::And => 0,
                Operator::Or => 1,
                Operator::AndNot => 2,
            };
            let op = Element::constructed(Tag::ctx(46), vec![Element::bytes(Tag::ctx(number), [])]);
            Element::constructed(Tag::ctx(1), vec![write_structure(l), write_structure(r), op])
        }
    }
}

fn write_operand(c: &Clause) -> Element {
    let relation = match c.relation {
        Relation::Less => 1,
        Relation::LessOrEqual => 2,
        Relation::Equal => 3,
        Relation::GreaterOrEqual => 4,
        Relation::Greater => 5,
        Relation::NotEqual => 6,
    };
    let structure = match c.structure {
        Structure::Phrase => 1,
        Structure::Word => 2,
        Structure::WordList => 6,
    };
    let truncation = match c.truncation {
        Truncation::Right => 1,
        Truncation::Left => 2,
        Truncation::Both => 3,
        Truncation::None => 100,
    };
    let position = if c.first_in_field { 1 } else { 3 };
    let completeness = if c.complete_field { 3 } else { 1 };
    let pairs = [
        (1, c.access.into()),
        (2, relation),
        (3, position),
        (4, structure),
        (5, truncation),
        (6, completeness),
    ];
    let attributes = pairs.map(|(kind, value)| {
        Element::constructed(
            Tag::SEQUENCE,
            vec![Element::integer(Tag::ctx(120), kind), Element::integer(Tag::ctx(121), value)],
        )
    });
    let attribute_list = Element::constructed(Tag::ctx(44), attributes.into());
    Element::constructed(Tag::ctx(102), vec![attribute_list, Element::bytes(Tag::ctx(45), c.term.as_bytes())])
}
