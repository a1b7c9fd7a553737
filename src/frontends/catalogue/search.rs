//! A search as both languages of the catalogue's fronts mean it: Bib-1 attributes on terms, and operators.

use super::diagnostic::Diagnostic;
pub use crate::config::index::{CONTEXT_SETS, access_of, index_of, indexes};

/// Most operators in one search. Guards the stack and the nodes.
pub const MAX_OPERATORS: usize = 64;

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
    Binary(Operator, Box<Search>, Box<Search>),
}

impl Clause {
    /// A clause as plain as it gets: words anywhere.
    pub fn new(access: u16, term: impl Into<String>) -> Clause {
        let term = term.into();
        Clause {
            access,
            relation: Relation::Equal,
            structure: Structure::default_for(&term),
            truncation: Truncation::None,
            first_in_field: false,
            complete_field: false,
            term,
        }
    }
}

impl Structure {
    /// What a term reads as where nothing is said: a word, or a phrase if there are more.
    pub fn default_for(term: &str) -> Structure {
        if term.split_whitespace().nth(1).is_some() { Structure::Phrase } else { Structure::Word }
    }
}

impl Search {
    /// Two searches joined.
    pub fn join(operator: Operator, left: Search, right: Search) -> Search {
        Search::Binary(operator, Box::new(left), Box::new(right))
    }

    /// Operators in it.
    pub fn operator_count(&self) -> usize {
        match self {
            Search::Clause(_) => 0,
            Search::Binary(_, l, r) => 1 + l.operator_count() + r.operator_count(),
        }
    }

    /// Refuses what is too long to be worked on.
    pub fn check_operator_count(self) -> Result<Search, Diagnostic> {
        if self.operator_count() > MAX_OPERATORS {
            return Err(Diagnostic::too_many_operators(MAX_OPERATORS));
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
            Search::Binary(Operator::And, l, r) => l.key(access).or_else(|| r.key(access)),
            Search::Binary(Operator::AndNot, l, _) => l.key(access),
            Search::Binary(Operator::Or, ..) => None,
        }
    }
}
