//! The program's logger: one line an event, on standard error.

use log::{LevelFilter, Log, Metadata, Record};
use std::io::Write;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Most lines in a second. Guards the poll loop: peers must not be able to make it write all day.
const MOST_LINES: u32 = 200;

/// Lines written in this second, and lines left out.
struct Lines(Mutex<Option<(Instant, u32, u32)>>);

static LINES: Lines = Lines(Mutex::new(None));

impl Lines {
    /// Whether one more line may be written, and how many were left out before it.
    fn admit(&self) -> Option<u32> {
        let now = Instant::now();
        let Ok(mut held) = self.0.lock() else { return Some(0) };
        let (start, written, left_out) = held.get_or_insert((now, 0, 0));
        let mut before = 0;
        if now.duration_since(*start) >= Duration::from_secs(1) {
            before = *left_out;
            (*start, *written, *left_out) = (now, 0, 0);
        }
        if *written >= MOST_LINES {
            *left_out += 1;
            return None;
        }
        *written += 1;
        Some(before)
    }
}

impl Log for Lines {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.level() <= log::max_level()
    }

    fn log(&self, record: &Record) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let Some(left_out) = self.admit() else { return };
        let target = record.target().strip_prefix("pebbleturn::").unwrap_or(record.target());
        let level = record.level().as_str().to_ascii_lowercase();
        // One line an event, whatever a peer sent.
        let text = record.args().to_string().replace(|c: char| c.is_control(), " ");
        let mut out = std::io::stderr().lock();
        if left_out > 0 {
            let _ = writeln!(out, "warn log: {left_out} lines were left out");
        }
        let _ = writeln!(out, "{level} {target}: {text}");
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
