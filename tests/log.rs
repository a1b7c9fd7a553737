//! The program's log: its rate limit, and the fields of its lines.

use pebbleturn::log::{LogFormat, LogLevel, MAX_LINES_PER_SECOND, RateLimit, subscriber};
use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tracing_subscriber::util::SubscriberInitExt;

#[test]
fn lines_over_the_rate_limit_are_dropped_and_counted() {
    let start = Instant::now();
    let limit = RateLimit::new(start);
    let admitted = (0..1000).filter(|_| limit.admit(start).is_some()).count();
    assert_eq!(admitted, MAX_LINES_PER_SECOND as usize);
    assert_eq!(limit.admit(start + Duration::from_secs(2)), Some(1000 - MAX_LINES_PER_SECOND));
    assert_eq!(limit.admit(start + Duration::from_secs(2)), Some(0));
}

/// A writer that collects its output in memory.
#[derive(Clone, Default)]
struct Output(Arc<Mutex<Vec<u8>>>);

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The output in `format` of an event with two fields, one of which contains a line break. An event below the
/// level follows, which must not be written.
fn logged(format: LogFormat) -> String {
    let output = Output::default();
    let writer = output.clone();
    let subscriber = subscriber(LogLevel::Info, format, move || writer.clone());
    {
        let _guard = subscriber.set_default();
        let address = "127.0.0.1:80\nerror log: forged";
        tracing::info!(target: "pebbleturn::server", node = 7, addr = %address, "node is reachable again");
        tracing::debug!(target: "pebbleturn::server", "below the level");
    }
    let bytes = output.0.lock().unwrap().clone();
    String::from_utf8(bytes).unwrap()
}

#[test]
fn a_text_line_has_the_message_and_then_the_fields() {
    let line = "info server: node is reachable again node=7 addr=127.0.0.1:80 error log: forged\n";
    assert_eq!(logged(LogFormat::Text), line);
}

#[test]
fn a_json_line_has_the_fields_beside_the_message() {
    let text = logged(LogFormat::Json);
    assert_eq!(text.matches('\n').count(), 1, "{text}");
    let line: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!(line["level"], "INFO");
    assert_eq!(line["target"], "pebbleturn::server");
    assert_eq!(line["message"], "node is reachable again");
    assert_eq!(line["node"], 7);
    assert_eq!(line["addr"], "127.0.0.1:80\nerror log: forged");
}

/// A flood of lines caused by peers, or of lines at debug level, must not displace a line about a change in
/// the broker's state: each class has its own rate limit.
#[test]
fn lines_that_peers_cause_do_not_displace_those_of_the_state() {
    let output = Output::default();
    let writer = output.clone();
    let subscriber = subscriber(LogLevel::Debug, LogFormat::Text, move || writer.clone());
    {
        let _guard = subscriber.set_default();
        for _ in 0..=MAX_LINES_PER_SECOND {
            tracing::info!(target: "pebbleturn::frontends::platform::downstream", "a bad request");
            tracing::debug!(target: "pebbleturn::engine::server_side", "a detail");
        }
        tracing::info!(target: "pebbleturn::membership::registry", "endpoint list was merged");
    }
    let text = String::from_utf8(output.0.lock().unwrap().clone()).unwrap();
    assert!(text.contains("endpoint list was merged"), "{}", &text[..200]);
}
