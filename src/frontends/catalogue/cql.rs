//! CQL 1.1 and 1.2: parses queries into searches and writes searches as queries.

use super::diagnostic::{Condition, Diagnostic};
use super::search::*;

/// Maximum nesting of parentheses. Bounds the recursion depth of the parser.
const MAX_NESTING: usize = 32;
/// Maximum length of a query in bytes.
const MAX_QUERY_BYTES: usize = 8 * 1024;

#[derive(Clone, Debug, PartialEq, Eq)]
enum Token {
    /// A word, or the content of a quoted string with its escapes.
    Text {
        raw: String,
        quoted: bool,
    },
    Symbol(&'static str),
}

const SYMBOLS: &[&str] = &["<=", ">=", "<>", "==", "=", "<", ">", "(", ")", "/"];

fn syntax(what: &str) -> Diagnostic {
    Diagnostic::new(Condition::QuerySyntax, what)
}

fn tokenize(query: &str) -> Result<Vec<Token>, Diagnostic> {
    let mut out = Vec::new();
    let mut rest = query;
    loop {
        rest = rest.trim_start();
        let Some(first) = rest.chars().next() else { return Ok(out) };
        if first == '"' {
            let mut escaped = false;
            let end = rest[1..].find(|c| {
                let ends = c == '"' && !escaped;
                escaped = c == '\\' && !escaped;
                ends
            });
            let end = end.ok_or_else(|| syntax("a quote that is not closed"))?;
            out.push(Token::Text { raw: rest[1..1 + end].to_owned(), quoted: true });
            rest = &rest[end + 2..];
        } else if let Some(symbol) = SYMBOLS.iter().find(|s| rest.starts_with(**s)) {
            out.push(Token::Symbol(symbol));
            rest = &rest[symbol.len()..];
        } else {
            let end = rest.find(|c: char| c.is_whitespace() || "()=<>/\"".contains(c)).unwrap_or(rest.len());
            out.push(Token::Text { raw: rest[..end].to_owned(), quoted: false });
            rest = &rest[end..];
        }
    }
}

/// Parses a query.
pub fn parse(query: &str) -> Result<Search, Diagnostic> {
    if query.len() > MAX_QUERY_BYTES {
        return Err(syntax("the query is too long"));
    }
    let mut p = Parser { tokens: tokenize(query)?, position: 0, operators: 0, prefixes: Vec::new() };
    let search = p.query(0)?;
    match p.peek() {
        None => search.check_size(),
        Some(Token::Text { raw, .. }) if raw.eq_ignore_ascii_case("sortby") => {
            Err(Diagnostic::new(Condition::UnsupportedSort, "sortBy"))
        }
        Some(_) => Err(syntax("something after the end of the query")),
    }
}

struct Parser {
    tokens: Vec<Token>,
    position: usize,
    operators: usize,
    /// Prefixes that the query assigns to known context sets.
    prefixes: Vec<(String, &'static str)>,
}

impl Parser {
    fn peek(&self) -> Option<&Token> {
        self.tokens.get(self.position)
    }

    fn take(&mut self) -> Option<Token> {
        self.position += 1;
        self.tokens.get(self.position - 1).cloned()
    }

    fn accept_symbol(&mut self, symbol: &str) -> bool {
        let matched = matches!(self.peek(), Some(Token::Symbol(s)) if *s == symbol);
        self.position += usize::from(matched);
        matched
    }

    fn expect_text(&mut self) -> Result<(String, bool), Diagnostic> {
        match self.take() {
            Some(Token::Text { raw, quoted }) => Ok((raw, quoted)),
            _ => Err(syntax("a word is missing")),
        }
    }

    fn query(&mut self, depth: usize) -> Result<Search, Diagnostic> {
        if depth > MAX_NESTING {
            return Err(syntax("parentheses nested too deep"));
        }
        while self.accept_symbol(">") {
            self.prefix_assignment()?;
        }
        let mut left = self.clause(depth)?;
        while let Some(operator) = self.operator()? {
            self.operators += 1;
            if self.operators > MAX_OPERATORS {
                return Err(Diagnostic::too_many_operators(MAX_OPERATORS));
            }
            left = Search::join(operator, left, self.clause(depth)?);
        }
        Ok(left)
    }

    fn prefix_assignment(&mut self) -> Result<(), Diagnostic> {
        let (first, _) = self.expect_text()?;
        let (name, uri) =
            if self.accept_symbol("=") { (first, self.expect_text()?.0) } else { (String::new(), first) };
        let set = CONTEXT_SETS.iter().find(|(_, known)| *known == uri);
        let (set, _) = set.ok_or_else(|| Diagnostic::new(Condition::UnsupportedContextSet, uri.as_str()))?;
        self.prefixes.push((name.to_ascii_lowercase(), set));
        Ok(())
    }

    fn operator(&mut self) -> Result<Option<Operator>, Diagnostic> {
        let Some(Token::Text { raw, quoted: false }) = self.peek() else { return Ok(None) };
        let operator = match raw.to_ascii_lowercase().as_str() {
            "and" => Operator::And,
            "or" => Operator::Or,
            "not" => Operator::AndNot,
            "prox" => return Err(Diagnostic::new(Condition::ProximityUnsupported, "prox")),
            "sortby" => return Ok(None),
            other => return Err(Diagnostic::new(Condition::UnsupportedOperator, other)),
        };
        self.position += 1;
        if self.accept_symbol("/") {
            let modifier = self.expect_text().map(|t| t.0).unwrap_or_default();
            return Err(Diagnostic::new(Condition::OperatorModifier, modifier));
        }
        Ok(Some(operator))
    }

    fn clause(&mut self, depth: usize) -> Result<Search, Diagnostic> {
        if self.accept_symbol("(") {
            let inner = self.query(depth + 1)?;
            return if self.accept_symbol(")") {
                Ok(inner)
            } else {
                Err(syntax("a parenthesis is not closed"))
            };
        }
        let (first, quoted) = self.expect_text()?;
        let reserved =
            |w: &str| ["and", "or", "not", "prox", "sortby"].contains(&w.to_ascii_lowercase().as_str());
        let relation = match self.peek() {
            Some(Token::Symbol(s)) if !matches!(*s, "(" | ")" | "/") => Some((*s).to_owned()),
            Some(Token::Text { raw, quoted: false }) if !quoted && !reserved(raw) => {
                Some(raw.to_ascii_lowercase())
            }
            _ => None,
        };
        let Some(relation) = relation else {
            if !quoted && reserved(&first) {
                return Err(syntax("an operator without its term"));
            }
            return apply_relation(1016, "=", &first);
        };
        self.position += 1;
        if self.accept_symbol("/") {
            let modifier = self.expect_text().map(|t| t.0).unwrap_or_default();
            return Err(Diagnostic::new(Condition::UnsupportedRelationModifier, modifier));
        }
        let (term, _) = self.expect_text()?;
        let access = self.access_point(&first)?;
        apply_relation(access, relation.strip_prefix("cql.").unwrap_or(&relation), &term)
    }

    fn access_point(&self, index: &str) -> Result<u16, Diagnostic> {
        let unknown = || Diagnostic::new(Condition::UnsupportedIndex, index);
        let (prefix, name) = index.split_once('.').unwrap_or(("", index));
        let prefix = prefix.to_ascii_lowercase();
        if let Some((_, set)) = self.prefixes.iter().rev().find(|(p, _)| *p == prefix) {
            return access_of(&format!("{set}.{name}")).ok_or_else(unknown);
        }
        if !prefix.is_empty() {
            if !CONTEXT_SETS.iter().any(|(set, _)| *set == prefix) {
                return Err(Diagnostic::new(Condition::UnsupportedContextSet, prefix));
            }
            return access_of(index).ok_or_else(unknown);
        }
        // An index without a prefix is looked up in every set.
        let mut sets = ["dc", "cql", "rec", "bath", "music"].iter();
        sets.find_map(|set| access_of(&format!("{set}.{name}"))).ok_or_else(unknown)
    }
}

/// Builds one clause; for `any`, one clause per word, joined by `or`.
fn apply_relation(access: u16, relation: &str, raw: &str) -> Result<Search, Diagnostic> {
    let mut clause = term(access, raw)?;
    match relation {
        "=" | "scr" => {}
        "adj" => clause.structure = Structure::Phrase,
        "==" | "exact" => {
            (clause.first_in_field, clause.complete_field) = (true, true);
            clause.structure = Structure::Phrase;
        }
        "<" => clause.relation = Relation::Less,
        "<=" => clause.relation = Relation::LessOrEqual,
        ">" => clause.relation = Relation::Greater,
        ">=" => clause.relation = Relation::GreaterOrEqual,
        "<>" => clause.relation = Relation::NotEqual,
        "all" => clause.structure = Structure::WordList,
        "any" => {
            let clauses = raw.split_whitespace().map(|w| term(access, w).map(Search::Clause));
            let mut clauses = clauses.collect::<Result<Vec<_>, _>>()?.into_iter();
            let first = clauses.next().ok_or_else(|| Diagnostic::new(Condition::EmptyTerm, ""))?;
            return Ok(clauses.fold(first, |l, r| Search::join(Operator::Or, l, r)));
        }
        other => return Err(Diagnostic::new(Condition::UnsupportedRelation, other)),
    }
    Ok(Search::Clause(clause))
}

/// Parses a term: escapes, truncation by `*` at either end, and the anchor `^` at its start.
fn term(access: u16, raw: &str) -> Result<Clause, Diagnostic> {
    let mut chars: Vec<(char, bool)> = Vec::new();
    let mut escaped = false;
    for c in raw.chars() {
        match (c, escaped) {
            ('\\', false) => escaped = true,
            (c, was_escaped) => {
                chars.push((c, was_escaped));
                escaped = false;
            }
        }
    }
    if escaped {
        return Err(Diagnostic::new(Condition::MalformedTerm, raw));
    }
    let first_in_field = chars.first() == Some(&('^', false));
    chars.drain(..usize::from(first_in_field));
    let left = chars.first() == Some(&('*', false));
    let right = chars.len() > 1 && chars.last() == Some(&('*', false));
    chars.drain(..usize::from(left));
    chars.truncate(chars.len() - usize::from(right));
    if let Some((c, _)) = chars.iter().find(|(c, escaped)| !escaped && matches!(c, '*' | '?' | '^')) {
        let condition = if *c == '^' { Condition::AnchorUnsupported } else { Condition::MaskingUnsupported };
        return Err(Diagnostic::new(condition, raw));
    }
    let text: String = chars.into_iter().map(|(c, _)| c).collect();
    if text.trim().is_empty() {
        return Err(Diagnostic::new(Condition::EmptyTerm, raw));
    }
    let truncation = match (left, right) {
        (false, false) => Truncation::None,
        (false, true) => Truncation::Right,
        (true, false) => Truncation::Left,
        (true, true) => Truncation::Both,
    };
    Ok(Clause { truncation, first_in_field, ..Clause::new(access, text) })
}

/// Writes a search in the syntax that versions 1.1 and 1.2 share.
pub fn write(search: &Search) -> Result<String, Diagnostic> {
    match search {
        Search::Clause(c) => write_clause(c),
        Search::Binary(operator, l, r) => {
            let word = match operator {
                Operator::And => "and",
                Operator::Or => "or",
                Operator::AndNot => "not",
            };
            Ok(format!("({}) {word} ({})", write(l)?, write(r)?))
        }
    }
}

fn write_clause(c: &Clause) -> Result<String, Diagnostic> {
    let index = index_of(c.access)
        .ok_or_else(|| Diagnostic::new(Condition::UnsupportedIndex, c.access.to_string()))?;
    let relation = match (c.relation, c.structure) {
        (Relation::Less, _) => "<",
        (Relation::LessOrEqual, _) => "<=",
        (Relation::GreaterOrEqual, _) => ">=",
        (Relation::Greater, _) => ">",
        (Relation::NotEqual, _) => "<>",
        (Relation::Equal, _) if c.complete_field => "exact",
        (Relation::Equal, Structure::WordList) => "all",
        (Relation::Equal, Structure::Phrase) if Structure::default_for(&c.term) == Structure::Word => "adj",
        (Relation::Equal, _) => "=",
    };
    let (left, right) = match c.truncation {
        Truncation::None => ("", ""),
        Truncation::Right => ("", "*"),
        Truncation::Left => ("*", ""),
        Truncation::Both => ("*", "*"),
    };
    let anchor = if c.first_in_field && !c.complete_field { "^" } else { "" };
    let mut term = String::with_capacity(c.term.len() + 2);
    for ch in c.term.chars() {
        if matches!(ch, '"' | '\\' | '*' | '?' | '^') {
            term.push('\\');
        }
        term.push(ch);
    }
    Ok(format!("{index} {relation} \"{anchor}{left}{term}{right}\""))
}
