//! Diagnostics of both protocols: one kind of trouble, with its number in each.

use std::fmt;

/// What went wrong, in terms that both protocols have a number for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    GeneralError,
    TemporarilyUnavailable,
    OutOfTime,
    UnsupportedOperation,
    UnsupportedVersion,
    UnsupportedParameterValue,
    MissingParameter,
    UnsupportedParameter,
    QuerySyntax,
    UnsupportedQueryType,
    UnsupportedContextSet,
    UnsupportedIndex,
    UnsupportedRelation,
    UnsupportedRelationModifier,
    UnsupportedStructure,
    EmptyTerm,
    MaskingUnsupported,
    AnchorUnsupported,
    MalformedTerm,
    UnsupportedOperator,
    TooManyOperators,
    ProximityUnsupported,
    OperatorModifier,
    ResultSetsUnsupported,
    NoSuchResultSet,
    PartialResult,
    FirstPositionOutOfRange,
    RecordUnavailable,
    UnknownSchema,
    RecordNotInSchema,
    UnsupportedPacking,
    UnsupportedSort,
    NoSuchDatabase,
    TooManyDatabases,
    TooManyResultSets,
    ResultSetExists,
    UnsupportedAttributeType,
    UnsupportedAttributeSet,
    UnsupportedCombination,
    RecordTooLarge,
}

/// Each trouble's number in the SRU diagnostic set, in Bib-1, and its words.
const NUMBERS: &[(Trouble, u16, u16, &str)] = &[
    (Trouble::GeneralError, 1, 1, "General system error"),
    (Trouble::TemporarilyUnavailable, 2, 2, "System temporarily unavailable"),
    (Trouble::OutOfTime, 1, 31, "Resources exhausted, no results available"),
    (Trouble::UnsupportedOperation, 4, 100, "Unsupported operation"),
    (Trouble::UnsupportedVersion, 5, 100, "Unsupported version"),
    (Trouble::UnsupportedParameterValue, 6, 100, "Unsupported parameter value"),
    (Trouble::MissingParameter, 7, 100, "Mandatory parameter not supplied"),
    (Trouble::UnsupportedParameter, 8, 100, "Unsupported parameter"),
    (Trouble::QuerySyntax, 10, 108, "Query syntax error"),
    (Trouble::UnsupportedQueryType, 11, 107, "Unsupported query type"),
    (Trouble::UnsupportedContextSet, 15, 121, "Unsupported context set"),
    (Trouble::UnsupportedAttributeSet, 15, 121, "Unsupported attribute set"),
    (Trouble::UnsupportedIndex, 16, 114, "Unsupported index"),
    (Trouble::UnsupportedRelation, 19, 117, "Unsupported relation"),
    (Trouble::UnsupportedRelationModifier, 20, 117, "Unsupported relation modifier"),
    (Trouble::UnsupportedStructure, 48, 118, "Unsupported structure"),
    (Trouble::UnsupportedCombination, 22, 123, "Unsupported combination of attributes"),
    (Trouble::UnsupportedAttributeType, 48, 113, "Unsupported attribute type"),
    (Trouble::EmptyTerm, 27, 125, "Empty term unsupported"),
    (Trouble::MaskingUnsupported, 28, 120, "Masking character not supported"),
    (Trouble::AnchorUnsupported, 31, 119, "Anchoring character not supported"),
    (Trouble::MalformedTerm, 36, 125, "Term in invalid format"),
    (Trouble::UnsupportedOperator, 37, 110, "Unsupported boolean operator"),
    (Trouble::TooManyOperators, 38, 4, "Too many boolean operators"),
    (Trouble::ProximityUnsupported, 39, 110, "Proximity not supported"),
    (Trouble::OperatorModifier, 46, 110, "Unsupported boolean modifier"),
    (Trouble::ResultSetsUnsupported, 50, 18, "Result sets not supported"),
    (Trouble::NoSuchResultSet, 51, 30, "Result set does not exist"),
    (Trouble::PartialResult, 59, 33, "Result set created with valid partial results available"),
    (Trouble::FirstPositionOutOfRange, 61, 13, "First record position out of range"),
    (Trouble::RecordUnavailable, 64, 14, "Record temporarily unavailable"),
    (Trouble::UnknownSchema, 66, 239, "Unknown schema for retrieval"),
    (Trouble::RecordNotInSchema, 67, 238, "Record not available in this schema"),
    (Trouble::RecordTooLarge, 70, 17, "Record too large to send"),
    (Trouble::UnsupportedPacking, 71, 239, "Unsupported record packing"),
    (Trouble::UnsupportedSort, 80, 100, "Sort not supported"),
    (Trouble::NoSuchDatabase, 235, 235, "Database does not exist"),
    (Trouble::TooManyDatabases, 1, 23, "Combination of specified databases not supported"),
    (Trouble::TooManyResultSets, 50, 112, "Too many result sets created"),
    (Trouble::ResultSetExists, 50, 21, "Result set exists and replace indicator is off"),
];

/// Bib-1's unspecified error, which tells nothing of its cause.
const UNSPECIFIED: u16 = 100;

/// A trouble with what it is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// What went wrong.
    pub trouble: Trouble,
    /// What it is about; the protocols' additional information.
    pub details: String,
}

impl Diagnostic {
    /// A diagnostic.
    pub fn new(trouble: Trouble, details: impl Into<String>) -> Diagnostic {
        Diagnostic { trouble, details: details.into() }
    }

    /// The one for a search that is too long.
    pub fn too_many_operators(most: usize) -> Diagnostic {
        Diagnostic::new(Trouble::TooManyOperators, most.to_string())
    }

    fn line(&self) -> (u16, u16, &'static str) {
        let line = NUMBERS.iter().find(|(t, ..)| *t == self.trouble);
        line.map_or((1, 1, "General system error"), |(_, sru, bib1, words)| (*sru, *bib1, words))
    }

    /// Its number in the set info:srw/diagnostic/1.
    pub fn sru(&self) -> u16 {
        self.line().0
    }

    /// Its number in Bib-1.
    pub fn bib1(&self) -> u16 {
        self.line().1
    }

    /// What it says.
    pub fn message(&self) -> &'static str {
        self.line().2
    }

    /// The diagnostic that a server of SRU gave.
    pub fn from_sru(number: u16, details: &str) -> Diagnostic {
        let line = NUMBERS.iter().find(|(_, sru, ..)| *sru == number);
        match line {
            Some((trouble, ..)) => Diagnostic::new(*trouble, details),
            None => Diagnostic::new(Trouble::GeneralError, format!("SRU diagnostic {number} {details}")),
        }
    }

    /// The diagnostic that a server of Z39.50 gave.
    pub fn from_bib1(number: u16, details: &str) -> Diagnostic {
        let line = NUMBERS.iter().find(|(_, _, bib1, _)| *bib1 == number && number != UNSPECIFIED);
        match line {
            Some((trouble, ..)) => Diagnostic::new(*trouble, details),
            None => Diagnostic::new(Trouble::GeneralError, format!("Bib-1 diagnostic {number} {details}")),
        }
    }

    /// Whether another replica may do better: the server is in trouble, not the search.
    pub fn is_of_server(&self) -> bool {
        matches!(self.trouble, Trouble::GeneralError | Trouble::TemporarilyUnavailable | Trouble::OutOfTime)
    }
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.message(), self.details)
    }
}

impl std::error::Error for Diagnostic {}
