//! The search tree that CQL and RPN queries are parsed into: terms with Bib-1 attributes, and operators.

use super::diagnostic::{Condition, Diagnostic};
pub use crate::config::index::{CONTEXT_SETS, access_of, index_of, indexes};

/// Maximum number of operators in one search. Bounds the recursion depth and the load on nodes.
pub const MAX_OPERATORS: usize = 64;

/// Maximum size of all terms of one search together, bytes. Bounds what a session keeps with a result set, and the
/// requests to nodes.
pub const MAX_TERM_BYTES: usize = 8 * 1024;

/// An operator between two searches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operator {
    /// Hits of both searches.
    And,
    /// Hits of either search.
    Or,
    /// Hits of the first search that are not hits of the second.
    AndNot,
}

/// A term with its attributes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Clause {
    /// Use attribute: the access point that is searched.
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

/// How a field's value is compared with the term.
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

/// How the term is interpreted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Structure {
    /// Adjacent words.
    Phrase,
    /// One word.
    Word,
    /// All of these words, in any place and order.
    WordList,
}

/// Where the term is truncated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Truncation {
    /// Not truncated.
    None,
    /// Anything may follow.
    Right,
    /// Anything may come before.
    Left,
    /// Anything may come before and follow.
    Both,
}

/// A search, as a tree.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Search {
    /// One term.
    Clause(Clause),
    /// Two searches and the operator between them.
    Binary(Operator, Box<Search>, Box<Search>),
}

impl Clause {
    /// A clause with default attributes: equality, no truncation, any position in the field.
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
    /// The structure of a term without a structure attribute: a word, or a phrase if it has several words.
    pub fn default_for(term: &str) -> Structure {
        if term.split_whitespace().nth(1).is_some() { Structure::Phrase } else { Structure::Word }
    }
}

impl Search {
    /// Joins two searches with an operator.
    pub fn join(operator: Operator, left: Search, right: Search) -> Search {
        Search::Binary(operator, Box::new(left), Box::new(right))
    }

    /// The number of operators in the search.
    pub fn operator_count(&self) -> usize {
        match self {
            Search::Clause(_) => 0,
            Search::Binary(_, l, r) => 1 + l.operator_count() + r.operator_count(),
        }
    }

    /// The size of all terms in the search, bytes.
    pub fn term_bytes(&self) -> usize {
        match self {
            Search::Clause(clause) => clause.term.len(),
            Search::Binary(_, left, right) => left.term_bytes() + right.term_bytes(),
        }
    }

    /// Rejects a search with more than `MAX_OPERATORS` operators or `MAX_TERM_BYTES` bytes of terms.
    pub fn check_size(self) -> Result<Search, Diagnostic> {
        if self.operator_count() > MAX_OPERATORS {
            return Err(Diagnostic::too_many_operators(MAX_OPERATORS));
        }
        if self.term_bytes() > MAX_TERM_BYTES {
            let details = format!("terms over {MAX_TERM_BYTES} bytes");
            return Err(Diagnostic::new(Condition::QuerySyntax, details));
        }
        Ok(self)
    }

    /// The key that every hit must have: an exact term on the key's access point that is required by
    /// every operator above it (either side of `and`, the left side of `not`).
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
