//! The metrics of a broker: counters since its start, and gauges of its current state.
//!
//! Each counter is incremented in one place: that of queries where the only final response is given, that of
//! attempts where the last byte of the frame is written. This module does no I/O and reads no clock.
#![deny(
    missing_docs,
    rust_2018_idioms,
    clippy::too_many_lines,
    clippy::type_complexity,
    clippy::cognitive_complexity
)]

use serde_json::{Map, Value, json};

/// The result of a query, as seen by its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryResult {
    /// It was answered, completely or in part.
    Ok,
    /// It was rejected to shed load; a retry is harmless.
    Shed,
    /// It failed.
    Error,
}

/// Counters of the queries of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueryCounts {
    /// Answered, completely or in part.
    pub ok: u64,
    /// Rejected to shed load.
    pub shed: u64,
    /// Failed.
    pub errors: u64,
}

/// Counters since the start of the process.
#[derive(Clone, Debug, PartialEq, Eq)]
#[must_use]
pub struct Metrics {
    classes: Vec<QueryCounts>,
    attempts: u64,
}

/// Gauges of the current state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Queries that were accepted and have not ended.
    pub active: usize,
    /// Nodes in the endpoint list.
    pub pool_size: usize,
    /// Those of them that receive no work: suspended by an operator, or ejected as outliers.
    pub pool_ejected: usize,
}

impl Metrics {
    /// Creates counters, at 0, for this number of classes.
    pub fn new(classes: usize) -> Metrics {
        Metrics { classes: vec![QueryCounts::default(); classes], attempts: 0 }
    }

    /// Counts a query that ended. A class that does not exist is ignored.
    pub fn record_query(&mut self, class: usize, result: QueryResult) {
        let Some(counts) = self.classes.get_mut(class) else { return };
        match result {
            QueryResult::Ok => counts.ok += 1,
            QueryResult::Shed => counts.shed += 1,
            QueryResult::Error => counts.errors += 1,
        }
    }

    /// Counts attempts whose frames were written completely.
    pub fn record_attempts(&mut self, attempts: u64) {
        self.attempts += attempts;
    }

    /// The counters of queries, in the order of the classes.
    pub fn classes(&self) -> &[QueryCounts] {
        &self.classes
    }

    /// Attempts whose frames were written completely.
    pub fn attempts(&self) -> u64 {
        self.attempts
    }

    /// The metrics as one line of JSON. `class_names` are in the order of the classes.
    pub fn to_json_line(&self, class_names: &[String], gauges: Gauges) -> String {
        let by_class = |count: fn(&QueryCounts) -> u64| -> Value {
            let by_name = class_names
                .iter()
                .zip(&self.classes)
                .map(|(name, counts)| (name.clone(), count(counts).into()));
            by_name.collect::<Map<String, Value>>().into()
        };
        json!({
            "ok": by_class(|c| c.ok),
            "shed": by_class(|c| c.shed),
            "errors": by_class(|c| c.errors),
            "tries": self.attempts,
            "active": gauges.active,
            "pool_size": gauges.pool_size,
            "pool_ejected": gauges.pool_ejected,
        })
        .to_string()
    }
}
