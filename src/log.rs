//! The program's logger: one line an event, on standard error.

use log::{LevelFilter, Log, Metadata, Record};
use std::io::Write;

struct Lines;

static LINES: Lines = Lines;

impl Log for Lines {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.level() <= log::max_level()
    }

    fn log(&self, record: &Record) {
        if self.enabled(record.metadata()) {
            let target = record.target().strip_prefix("pebbleturn::").unwrap_or(record.target());
            let level = record.level().as_str().to_ascii_lowercase();
            // One line an event, whatever a peer sent.
            let text = record.args().to_string().replace(['\n', '\r'], " ");
            let _ = writeln!(std::io::stderr().lock(), "{level} {target}: {text}");
        }
    }

    fn flush(&self) {}
}

/// Sends all log lines to standard error. `PEBBLETURN_LOG` sets the level: error, warn, info or debug.
pub fn start() {
    let told = std::env::var("PEBBLETURN_LOG").ok();
    let level = told.and_then(|l| l.parse().ok()).unwrap_or(LevelFilter::Info);
    if log::set_logger(&LINES).is_ok() {
        log::set_max_level(level);
    }
}
