//! What the broker reports of itself: counts that only grow, and how things stand at the moment.
//!
//! Each count has one place: a query where its one final answer is given, an attempt where its frame's last byte is
//! written. There is no second bookkeeping beside that. Free of I/O and clock.

use serde_json::{Map, Value, json};

/// How a query ended, as clients see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryResult {
    /// Served, whole or in part.
    Ok,
    /// Refused: asking again is harmless.
    Shed,
    /// Failed.
    Error,
}

/// Queries of one class that have ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueryCounts {
    /// Served.
    pub ok: u64,
    /// Refused.
    pub shed: u64,
    /// Failed.
    pub errors: u64,
}

/// Counts from the process's start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Metrics {
    classes: Vec<QueryCounts>,
    attempts: u64,
}

/// How things stand.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Queries taken and not ended.
    pub active: usize,
    /// Servers in the list.
    pub pool_size: usize,
    /// Those of them that get nothing, by hand or by the decision module's choice.
    pub pool_ejected: usize,
}

impl Metrics {
    /// All at 0, for so many classes.
    pub fn new(classes: usize) -> Metrics {
        Metrics { classes: vec![QueryCounts::default(); classes], attempts: 0 }
    }

    /// A query of this class has its final answer.
    pub fn record_query(&mut self, class: usize, result: QueryResult) {
        let Some(counts) = self.classes.get_mut(class) else { return };
        match result {
            QueryResult::Ok => counts.ok += 1,
            QueryResult::Shed => counts.shed += 1,
            QueryResult::Error => counts.errors += 1,
        }
    }

    /// So many more attempts are written whole.
    pub fn record_attempts(&mut self, attempts: u64) {
        self.attempts += attempts;
    }

    /// Queries that ended, class by class.
    pub fn classes(&self) -> &[QueryCounts] {
        &self.classes
    }

    /// Attempts written whole to servers.
    pub fn attempts(&self) -> u64 {
        self.attempts
    }

    /// One line of JSON; `names` are the classes' names in their order.
    pub fn to_json_line(&self, names: &[String], gauges: Gauges) -> String {
        let by_class = |count: fn(&QueryCounts) -> u64| -> Value {
            let counts = names.iter().zip(&self.classes).map(|(n, c)| (n.clone(), count(c).into()));
            counts.collect::<Map<String, Value>>().into()
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
