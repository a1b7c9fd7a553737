//! Diagnostics of SRU and Z39.50: a condition has a number in each protocol's diagnostic set.

use std::fmt;

/// The condition that a diagnostic reports. Each has a number in both protocols.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
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

/// Each condition's number in the SRU diagnostic set, its number in Bib-1, and its message.
const CONDITIONS: &[(Condition, u16, u16, &str)] = &[
    (Condition::GeneralError, 1, 1, "General system error"),
    (Condition::TemporarilyUnavailable, 2, 2, "System temporarily unavailable"),
    (Condition::OutOfTime, 1, 31, "Resources exhausted, no results available"),
    (Condition::UnsupportedOperation, 4, 100, "Unsupported operation"),
    (Condition::UnsupportedVersion, 5, 100, "Unsupported version"),
    (Condition::UnsupportedParameterValue, 6, 100, "Unsupported parameter value"),
    (Condition::MissingParameter, 7, 100, "Mandatory parameter not supplied"),
    (Condition::UnsupportedParameter, 8, 100, "Unsupported parameter"),
    (Condition::QuerySyntax, 10, 108, "Query syntax error"),
    (Condition::UnsupportedQueryType, 11, 107, "Unsupported query type"),
    (Condition::UnsupportedContextSet, 15, 121, "Unsupported context set"),
    (Condition::UnsupportedAttributeSet, 15, 121, "Unsupported attribute set"),
    (Condition::UnsupportedIndex, 16, 114, "Unsupported index"),
    (Condition::UnsupportedRelation, 19, 117, "Unsupported relation"),
    (Condition::UnsupportedRelationModifier, 20, 117, "Unsupported relation modifier"),
    (Condition::UnsupportedStructure, 48, 118, "Unsupported structure"),
    (Condition::UnsupportedCombination, 22, 123, "Unsupported combination of attributes"),
    (Condition::UnsupportedAttributeType, 48, 113, "Unsupported attribute type"),
    (Condition::EmptyTerm, 27, 125, "Empty term unsupported"),
    (Condition::MaskingUnsupported, 28, 120, "Masking character not supported"),
    (Condition::AnchorUnsupported, 31, 119, "Anchoring character not supported"),
    (Condition::MalformedTerm, 36, 125, "Term in invalid format"),
    (Condition::UnsupportedOperator, 37, 110, "Unsupported boolean operator"),
    (Condition::TooManyOperators, 38, 4, "Too many boolean operators"),
    (Condition::ProximityUnsupported, 39, 110, "Proximity not supported"),
    (Condition::OperatorModifier, 46, 110, "Unsupported boolean modifier"),
    (Condition::ResultSetsUnsupported, 50, 18, "Result sets not supported"),
    (Condition::NoSuchResultSet, 51, 30, "Result set does not exist"),
    (Condition::PartialResult, 59, 33, "Result set created with valid partial results available"),
    (Condition::FirstPositionOutOfRange, 61, 13, "First record position out of range"),
    (Condition::RecordUnavailable, 64, 14, "Record temporarily unavailable"),
    (Condition::UnknownSchema, 66, 239, "Unknown schema for retrieval"),
    (Condition::RecordNotInSchema, 67, 238, "Record not available in this schema"),
    (Condition::RecordTooLarge, 70, 17, "Record too large to send"),
    (Condition::UnsupportedPacking, 71, 239, "Unsupported record packing"),
    (Condition::UnsupportedSort, 80, 100, "Sort not supported"),
    (Condition::NoSuchDatabase, 235, 235, "Database does not exist"),
    (Condition::TooManyDatabases, 1, 23, "Combination of specified databases not supported"),
    (Condition::TooManyResultSets, 50, 112, "Too many result sets created"),
    (Condition::ResultSetExists, 50, 21, "Result set exists and replace indicator is off"),
];

/// Bib-1's "unspecified error", which gives no cause and is therefore not read as a condition.
const UNSPECIFIED: u16 = 100;

/// A condition with its additional information.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    pub condition: Condition,
    /// What the condition applies to: `details` in SRU, `addinfo` in Z39.50.
    pub details: String,
}

impl Diagnostic {
    pub fn new(condition: Condition, details: impl Into<String>) -> Diagnostic {
        Diagnostic { condition, details: details.into() }
    }

    /// The diagnostic for a search with more than `limit` operators.
    pub fn too_many_operators(limit: usize) -> Diagnostic {
        Diagnostic::new(Condition::TooManyOperators, limit.to_string())
    }

    fn definition(&self) -> (u16, u16, &'static str) {
        let found = CONDITIONS.iter().find(|(t, ..)| *t == self.condition);
        found.map_or((1, 1, "General system error"), |(_, sru, bib1, message)| (*sru, *bib1, message))
    }

    /// The number in the SRU diagnostic set, `info:srw/diagnostic/1`.
    pub fn sru(&self) -> u16 {
        self.definition().0
    }

    /// The number in Bib-1.
    pub fn bib1(&self) -> u16 {
        self.definition().1
    }

    pub fn message(&self) -> &'static str {
        self.definition().2
    }

    /// The diagnostic of an SRU server; a general error if the number is unknown.
    pub fn from_sru(number: u16, details: &str) -> Diagnostic {
        let found = CONDITIONS.iter().find(|(_, sru, ..)| *sru == number);
        match found {
            Some((condition, ..)) => Diagnostic::new(*condition, details),
            None => Diagnostic::new(Condition::GeneralError, format!("SRU diagnostic {number} {details}")),
        }
    }

    /// The diagnostic of a Z39.50 server; a general error if the number is unknown or the
    /// unspecified error.
    pub fn from_bib1(number: u16, details: &str) -> Diagnostic {
        let found = CONDITIONS.iter().find(|(_, _, bib1, _)| *bib1 == number && number != UNSPECIFIED);
        match found {
            Some((condition, ..)) => Diagnostic::new(*condition, details),
            None => Diagnostic::new(Condition::GeneralError, format!("Bib-1 diagnostic {number} {details}")),
        }
    }

    /// Whether the server failed and not the search, so that another replica may succeed.
    pub fn is_server_failure(&self) -> bool {
        matches!(
            self.condition,
            Condition::GeneralError | Condition::TemporarilyUnavailable | Condition::OutOfTime
        )
    }
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.message(), self.details)
    }
}

impl std::error::Error for Diagnostic {}
