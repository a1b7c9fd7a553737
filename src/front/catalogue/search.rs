//! A search as both languages of the catalogue's fronts mean it: Bib-1 attributes on terms, and operators.

use super::diagnostic::Diagnostic;

/// Most operators in one search. Guards the stack and the nodes.
pub const MOST_OPERATORS: usize = 64;

/// An operator between two searches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operator {
    /// Both.
    And,
    /// Either.
    Or,
    /// The first and not the second.
    AndNot,
}

/// A term with its attributes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Clause {
    /// Use attribute: what is searched.
    pub access: u16,
    /// Relation attribute.
    pub relation: Relation,
    /// Structure attribute.
    pub structure: Structure,
    /// Truncation attribute.
    pub truncation: Truncation,
    /// Position attribute: the term stands at the start of the field.
    pub first_in_field: bool,
    /// Completeness attribute: the term is the whole field.
    pub complete_field: bool,
    /// The term.
    pub term: String,
}

/// How a field's value is held against the term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Relation {
    /// Less than.
    Less,
    /// Less than or equal.
    LessOrEqual,
    /// Equal.
    Equal,
    /// Greater than or equal.
    GreaterOrEqual,
    /// Greater than.
    Greater,
    /// Not equal.
    NotEqual,
}

/// How the term is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Structure {
    /// Words next to each other.
    Phrase,
    /// One word.
    Word,
    /// All of these words, wherever they stand.
    WordList,
}

/// Where the term was cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Truncation {
    /// Nowhere.
    None,
    /// Anything may follow.
    Right,
    /// Anything may come before.
    Left,
    /// Both.
    Both,
}

/// A search.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Search {
    /// One term.
    Clause(Clause),
    /// Two searches and the operator between them.
    Both(Operator, Box<Search>, Box<Search>),
}

impl Clause {
    /// A clause as plain as it gets: words anywhere.
    pub fn new(access: u16, term: impl Into<String>) -> Clause {
        let term = term.into();
        Clause {
            access,
            relation: Relation::Equal,
            structure: Structure::plain(&term),
            truncation: Truncation::None,
            first_in_field: false,
            complete_field: false,
            term,
        }
    }
}

impl Structure {
    /// What a term reads as where nothing is said: a word, or a phrase if there are more.
    pub fn plain(term: &str) -> Structure {
        if term.split_whitespace().nth(1).is_some() { Structure::Phrase } else { Structure::Word }
    }
}

impl Search {
    /// Two searches joined.
    pub fn join(operator: Operator, left: Search, right: Search) -> Search {
        Search::Both(operator, Box::new(left), Box::new(right))
    }

    /// Operators in it.
    pub fn operators(&self) -> usize {
        match self {
            Search::Clause(_) => 0,
            Search::Both(_, l, r) => 1 + l.operators() + r.operators(),
        }
    }

    /// Refuses what is too long to be worked on.
    pub fn check(self) -> Result<Search, Diagnostic> {
        if self.operators() > MOST_OPERATORS {
            return Err(Diagnostic::too_many_operators(MOST_OPERATORS));
        }
        Ok(self)
    }

    /// The key that every hit must have: an exact term on the key's access point, joined only by `and`.
    pub fn key(&self, access: u16) -> Option<&str> {
        match self {
            Search::Clause(c) => {
                let exact = c.relation == Relation::Equal
                    && c.truncation == Truncation::None
                    && c.structure != Structure::WordList;
                (exact && c.access == access).then_some(c.term.as_str())
            }
            Search::Both(Operator::And, l, r) => l.key(access).or_else(|| r.key(access)),
            Search::Both(Operator::AndNot, l, _) => l.key(access),
            Search::Both(Operator::Or, ..) => None,
        }
    }
}

/// CQL's names of the access points that are known, and their Bib-1 numbers. The first name of a number is
/// the one that is written.
const NAMES: &[(&str, u16)] = &[
    ("cql.serverchoice", 1016),
    ("cql.anywhere", 1035),
    ("dc.title", 4),
    ("bath.title", 4),
    ("dc.creator", 1003),
    ("dc.author", 1003),
    ("bath.author", 1003),
    ("dc.contributor", 1002),
    ("bath.name", 1002),
    ("dc.subject", 21),
    ("bath.subject", 21),
    ("dc.description", 62),
    ("dc.publisher", 1018),
    ("dc.date", 31),
    ("dc.type", 1031),
    ("dc.format", 1034),
    ("dc.identifier", 1007),
    ("dc.language", 54),
    ("bath.isbn", 7),
    ("bath.issn", 8),
    ("bath.lccn", 9),
    ("rec.identifier", 12),
    ("rec.id", 12),
    ("rec.lastmodificationdate", 1012),
    ("music.compositionid", 5030),
    ("music.key", 5031),
    ("music.instrumentation", 5032),
];

/// The access point that a CQL index means.
pub fn access_of(index: &str) -> Option<u16> {
    let index = index.to_ascii_lowercase();
    NAMES.iter().find(|(name, _)| *name == index).map(|(_, n)| *n)
}

/// The CQL index for an access point.
pub fn index_of(access: u16) -> Option<&'static str> {
    NAMES.iter().find(|(_, n)| *n == access).map(|(name, _)| *name)
}

/// The context sets of the known indexes: prefix and identifier.
pub const CONTEXT_SETS: &[(&str, &str)] = &[
    ("cql", "info:srw/cql-context-set/1/cql-v1.1"),
    ("dc", "info:srw/cql-context-set/1/dc-v1.1"),
    ("bath", "http://zing.z3950.org/cql/bath/2.0/"),
    ("rec", "info:srw/cql-context-set/2/rec-1.1"),
    ("music", "info:srw/cql-context-set/5/music"),
];

/// All known indexes, for explain.
pub fn indexes() -> impl Iterator<Item = (&'static str, u16)> {
    NAMES.iter().copied()
}
