//! The indexes that searches may use: their CQL names and their Bib-1 access points.

/// CQL index names with their Bib-1 access points. If several names have the same access point, the first is
/// used when a query is written.
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

/// The access point of a CQL index; `None` if the index is unknown.
pub fn access_of(index: &str) -> Option<u16> {
    let index = index.to_ascii_lowercase();
    NAMES.iter().find(|(name, _)| *name == index).map(|(_, n)| *n)
}

/// The CQL index of an access point; `None` if no known index has it.
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

/// All known indexes and their access points, as the explain response lists them.
pub fn indexes() -> impl Iterator<Item = (&'static str, u16)> {
    NAMES.iter().copied()
}
