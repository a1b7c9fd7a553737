//! Every mistake of a TOML file at once, each with its line.
//!
//! A deserializer stops at the first mistake. Here each record is read on its own, and what is wrong in it is
//! taken out and told, until the rest can be read.

use serde::Deserialize;
use serde::de::IntoDeserializer;
use std::fmt;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// One mistake.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Diagnostic {
    /// Its line, from 1; 0: the file as a whole.
    pub line: usize,
    /// What is wrong.
    pub message: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line > 0 {
            write!(f, "line {}: {}", self.line, self.message)
        } else {
            write!(f, "{}", self.message)
        }
    }
}

/// The text of a file, its values with their places, and what is wrong with it so far.
pub struct TomlDocument<'t> {
    text: &'t str,
    root: DeTable<'t>,
    /// What is wrong.
    pub diagnostics: Vec<Diagnostic>,
}

fn line_of(text: &str, at: usize) -> usize {
    text.get(..at).map_or(0, |before| before.matches('\n').count() + 1)
}

fn first_line(message: &str) -> String {
    message.replace('\n', " ").trim().to_owned()
}

impl<'t> TomlDocument<'t> {
    /// Takes a text apart. One that is no TOML has one fault.
    pub fn new(text: &'t str) -> TomlDocument<'t> {
        let (root, diagnostics) = match DeTable::parse(text) {
            Ok(root) => (root.into_inner(), Vec::new()),
            Err(e) => {
                let line = e.span().map_or(0, |s| line_of(text, s.start));
                (DeTable::new(), vec![Diagnostic { line, message: first_line(e.message()) }])
            }
        };
        TomlDocument { text, root, diagnostics }
    }

    /// Something is wrong with a setting: with a field of the record `n` of a section, or with all of the section.
    pub fn report(&mut self, (section, n, field): (&str, usize, &str), what: impl Into<String>) {
        let line = self.position(section, n, field).map_or(0, |at| line_of(self.text, at));
        self.diagnostics.push(Diagnostic { line, message: what.into() });
    }

    fn position(&self, section: &str, n: usize, field: &str) -> Option<usize> {
        let (key, value) = self.root.get_key_value(section)?;
        let record = match value.get_ref() {
            DeValue::Array(all) => all.get(n)?,
            _ => value,
        };
        let within = record.get_ref().as_table().and_then(|t| t.get_key_value(field));
        let start = |s: std::ops::Range<usize>| Some(s.start).filter(|s| *s > 0);
        within.map(|(k, _)| k.span().start).or(start(record.span())).or(start(key.span()))
    }

    /// Reads one value of the top, told or not.
    pub fn value<T: Deserialize<'t>>(&mut self, name: &str) -> Option<T> {
        let value = self.root.get(name)?.clone();
        self.record(name, value)
    }

    /// Reads all records of a section.
    pub fn records<T: Deserialize<'t>>(&mut self, name: &str) -> Vec<T> {
        let Some(value) = self.root.get(name).cloned() else { return Vec::new() };
        let at = value.span().start;
        match value.into_inner() {
            DeValue::Array(all) => {
                let records: Vec<_> = all.into_iter().collect();
                records.into_iter().filter_map(|r| self.record(name, r)).collect()
            }
            _ => {
                let line = line_of(self.text, at);
                self.diagnostics
                    .push(Diagnostic { line, message: format!("{name} must be a list, as in [[{name}]]") });
                Vec::new()
            }
        }
    }

    fn record<T: Deserialize<'t>>(&mut self, name: &str, mut value: Spanned<DeValue<'t>>) -> Option<T> {
        let mut removed = Vec::new();
        loop {
            let e = match T::deserialize(value.clone().into_deserializer()) {
                Ok(read) => return Some(read).filter(|_| removed.is_empty()),
                Err(e) => e,
            };
            let what = first_line(e.message());
            // What was taken out is missed now: that is no further mistake.
            if removed.iter().any(|k: &String| what == format!("missing field `{k}`")) {
                return None;
            }
            let at = e.span().unwrap_or(value.span());
            let start = if at.start > 0 { at.start } else { self.position(name, 0, "").unwrap_or(0) };
            self.diagnostics
                .push(Diagnostic { line: line_of(self.text, start), message: format!("{name}: {what}") });
            let DeValue::Table(table) = value.get_mut() else { return None };
            let covers = |s: std::ops::Range<usize>| s.start <= at.start && at.end <= s.end;
            let found = table.iter().find(|(k, v)| covers(k.span()) || covers(v.span()));
            let key = found.map(|(k, _)| k.get_ref().to_string())?;
            table.remove(key.as_str());
            removed.push(key);
        }
    }

    /// Finds settings of the top that are not known, and known ones that must be there and are not.
    pub fn check_names(&mut self, known: &[&str], required: &[&str]) {
        let unknown: Vec<(usize, String)> = self
            .root
            .iter()
            .filter(|(k, _)| !known.contains(&k.get_ref().as_ref()))
            .map(|(k, _)| (k.span().start, k.get_ref().to_string()))
            .collect();
        for (at, name) in unknown {
            let what = format!("unknown setting {name}, expected one of {}", known.join(", "));
            self.diagnostics.push(Diagnostic { line: line_of(self.text, at), message: what });
        }
        for name in required.iter().filter(|n| !self.root.contains_key(**n)) {
            self.diagnostics.push(Diagnostic { line: 0, message: format!("{name} is not told") });
        }
    }
}
