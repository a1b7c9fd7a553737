//! Collects all errors in a TOML file, each with its line.
//!
//! A deserializer stops at the first error. Here each record is deserialized separately: a field that fails
//! is reported and removed, and the record is deserialized again until the rest of it can be read.

use serde::Deserialize;
use serde::de::IntoDeserializer;
use std::fmt;
use std::ops::Range;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// One error in a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Diagnostic {
    /// Line number, from 1; 0 for the file as a whole.
    pub line: usize,
    /// The error, without the line number.
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

/// The location of a setting in a file: section, record and field.
#[derive(Clone, Copy, Debug)]
pub(super) struct Setting<'a> {
    section: &'a str,
    /// Index of the record in a section that is a list, from 0.
    record: usize,
    field: &'a str,
}

impl<'a> Setting<'a> {
    /// A field of a section. An empty `field` means the whole section.
    pub fn new(section: &'a str, field: &'a str) -> Setting<'a> {
        Setting::nth(section, 0, field)
    }

    /// A field of the record with index `record` in a section that is a list.
    pub fn nth(section: &'a str, record: usize, field: &'a str) -> Setting<'a> {
        Setting { section, record, field }
    }
}

/// The text of a file, its values with their spans, and the errors found so far.
#[derive(Debug)]
pub(super) struct TomlDocument<'t> {
    text: &'t str,
    root: DeTable<'t>,
    /// All errors found so far.
    pub diagnostics: Vec<Diagnostic>,
}

fn line_of(text: &str, at: usize) -> usize {
    text.get(..at).map_or(0, |before| before.matches('\n').count() + 1)
}

/// A message on one line.
fn single_line(message: &str) -> String {
    message.replace('\n', " ").trim().to_owned()
}

impl<'t> TomlDocument<'t> {
    /// Parses a text. Text that is not valid TOML gives one diagnostic and no values.
    pub fn new(text: &'t str) -> TomlDocument<'t> {
        let (root, diagnostics) = match DeTable::parse(text) {
            Ok(root) => (root.into_inner(), Vec::new()),
            Err(e) => {
                let line = e.span().map_or(0, |s| line_of(text, s.start));
                (DeTable::new(), vec![Diagnostic { line, message: single_line(e.message()) }])
            }
        };
        TomlDocument { text, root, diagnostics }
    }

    /// Reports an error in a setting.
    pub fn report(&mut self, setting: Setting<'_>, message: impl Into<String>) {
        let line = self.position(setting).map_or(0, |at| line_of(self.text, at));
        self.diagnostics.push(Diagnostic { line, message: message.into() });
    }

    fn report_at(&mut self, at: usize, message: String) {
        self.diagnostics.push(Diagnostic { line: line_of(self.text, at), message });
    }

    /// Byte offset of a setting: of its key, or else of its record or section.
    fn position(&self, setting: Setting<'_>) -> Option<usize> {
        let (key, value) = self.root.get_key_value(setting.section)?;
        let record = match value.get_ref() {
            DeValue::Array(records) => records.get(setting.record)?,
            _ => value,
        };
        let field = record.get_ref().as_table().and_then(|t| t.get_key_value(setting.field));
        let start = |span: Range<usize>| Some(span.start).filter(|start| *start > 0);
        field.map(|(k, _)| k.span().start).or(start(record.span())).or(start(key.span()))
    }

    /// Reads one top-level value; `None` if it is missing or can't be read.
    pub fn value<T: Deserialize<'t>>(&mut self, name: &str) -> Option<T> {
        let value = self.root.get(name)?.clone();
        self.record(name, value)
    }

    /// Reads all records of a section, skipping those that can't be read.
    pub fn records<T: Deserialize<'t>>(&mut self, name: &str) -> Vec<T> {
        let Some(value) = self.root.get(name).cloned() else { return Vec::new() };
        let at = value.span().start;
        let DeValue::Array(records) = value.into_inner() else {
            self.report_at(at, format!("{name} must be a list, as in [[{name}]]"));
            return Vec::new();
        };
        let records: Vec<_> = records.into_iter().collect();
        records.into_iter().filter_map(|r| self.record(name, r)).collect()
    }

    fn record<T: Deserialize<'t>>(&mut self, name: &str, mut value: Spanned<DeValue<'t>>) -> Option<T> {
        let mut removed = Vec::new();
        loop {
            let error = match T::deserialize(value.clone().into_deserializer()) {
                Ok(read) => return Some(read).filter(|_| removed.is_empty()),
                Err(error) => error,
            };
            let message = single_line(error.message());
            // A removed field is now reported as missing, which is not a further error.
            if removed.iter().any(|key: &String| message == format!("missing field `{key}`")) {
                return None;
            }
            let at = error.span().unwrap_or(value.span());
            let section = Setting::new(name, "");
            let start = if at.start > 0 { at.start } else { self.position(section).unwrap_or(0) };
            self.report_at(start, format!("{name}: {message}"));
            removed.push(remove_field_at(&mut value, &at)?);
        }
    }

    /// Reports unknown top-level settings, and required ones that are missing.
    pub fn check_setting_names(&mut self, known: &[&str], required: &[&str]) {
        let unknown: Vec<(usize, String)> = self
            .root
            .iter()
            .filter(|(k, _)| !known.contains(&k.get_ref().as_ref()))
            .map(|(k, _)| (k.span().start, k.get_ref().to_string()))
            .collect();
        for (at, name) in unknown {
            self.report_at(at, format!("unknown setting {name}, expected one of {}", known.join(", ")));
        }
        for name in required.iter().filter(|n| !self.root.contains_key(**n)) {
            self.diagnostics
                .push(Diagnostic { line: 0, message: format!("required setting {name} is missing") });
        }
    }
}

/// Removes the field whose key or value covers the span `at` from a record, and returns its name; `None` if
/// there is no such field.
fn remove_field_at(record: &mut Spanned<DeValue<'_>>, at: &Range<usize>) -> Option<String> {
    let DeValue::Table(table) = record.get_mut() else { return None };
    let covers = |span: Range<usize>| span.start <= at.start && at.end <= span.end;
    let found = table.iter().find(|(k, v)| covers(k.span()) || covers(v.span()));
    let key = found.map(|(k, _)| k.get_ref().to_string())?;
    table.remove(key.as_str());
    Some(key)
}
