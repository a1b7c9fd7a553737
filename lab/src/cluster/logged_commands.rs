//! Operators' commands in the logs of a cluster's brokers: which commands brokers accepted, and of which they
//! were notified.

use serde_json::Value;
use std::collections::BTreeMap;

/// A log line that lists the commands currently in force on a key.
struct Notified {
    broker: usize,
    text: String,
}

impl Notified {
    /// The stamps of the commands that it names.
    fn stamps(&self) -> impl Iterator<Item = &str> {
        self.text.split(" as ").skip(1).map(|t| t.split([',', ' ']).next().unwrap_or_default())
    }
}

/// The commands in the logs of all brokers.
#[derive(Default)]
pub(super) struct LoggedCommands {
    /// Commands that a broker accepted from an operator, by their stamp.
    accepted: BTreeMap<String, String>,
    notified: Vec<Notified>,
}

impl LoggedCommands {
    /// Reads the logs of all brokers. Panics if a line is not JSON, a broker panicked, or a stamp is used
    /// twice.
    pub(super) fn read(logs: impl Iterator<Item = Vec<String>>) -> LoggedCommands {
        let mut logged = LoggedCommands::default();
        for (broker, lines) in logs.enumerate() {
            for line in lines {
                let line: Value = serde_json::from_str(&line)
                    .unwrap_or_else(|e| panic!("broker {broker} logged {line:?}, which is not JSON: {e}"));
                logged.add(broker, line["message"].as_str().unwrap_or_default());
            }
        }
        logged
    }

    fn add(&mut self, broker: usize, text: &str) {
        assert!(!text.contains("panicked"), "broker {broker} panicked: {text}");
        if let Some((what, stamp)) = text.strip_prefix("cluster: ").and_then(|t| t.split_once(" here as ")) {
            let before = self.accepted.insert(stamp.to_owned(), what.to_owned());
            assert_eq!(before, None, "stamp {stamp} is used twice");
        } else if text.contains(" is now ") {
            self.notified.push(Notified { broker, text: text.to_owned() });
        }
    }

    /// Stamps of which a broker was notified and that no broker has logged as accepted: broker, stamp and
    /// line.
    pub(super) fn unknown(&self) -> impl Iterator<Item = (usize, &str, &str)> {
        self.notified.iter().flat_map(|n| {
            let unknown = n.stamps().filter(|stamp| !self.accepted.contains_key(*stamp));
            unknown.map(|stamp| (n.broker, stamp, n.text.as_str()))
        })
    }
}
