//! The program's log: one line per event on standard error, as text or JSON, at a limited rate.
#![deny(
    missing_docs,
    rust_2018_idioms,
    clippy::too_many_lines,
    clippy::type_complexity,
    clippy::cognitive_complexity
)]

use std::fmt;
use std::io::{self, Write as _};
use std::sync::Mutex;
use std::time::{Duration, Instant};
use tracing::level_filters::LevelFilter;
use tracing::{Event, Level, Metadata, Subscriber};
use tracing_subscriber::Layer;
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields, MakeWriter};
use tracing_subscriber::layer::{Context, SubscriberExt};
use tracing_subscriber::registry::LookupSpan;
use tracing_subscriber::util::SubscriberInitExt;

/// Maximum number of lines of one class per second. Keeps peers from occupying the poll loop with log writes.
pub const MAX_LINES_PER_SECOND: u32 = 200;

/// The environment variable that sets the level if the command line does not.
const LEVEL_VARIABLE: &str = "PEBBLETURN_LOG";
/// The environment variable that sets the format if the command line does not.
const FORMAT_VARIABLE: &str = "PEBBLETURN_LOG_FORMAT";
/// The message that reports dropped lines, with their number in the field `dropped`.
const DROPPED_LINES: &str = "lines over the rate limit were dropped";
/// The common prefix of the targets of this crate's modules.
const TARGET_PREFIX: &str = "pebbleturn::";

/// Modules whose lines at info level and above are caused by what peers send.
const PEER_TARGETS: [&str; 3] = ["frontends::", "net::", "admin::"];

/// The output format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum LogFormat {
    /// Plain text, `LEVEL PART: TEXT`.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// The lowest level that is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum LogLevel {
    /// Failures that need attention.
    Error,
    /// Problems that may need attention.
    Warn,
    /// Notable events, such as state changes and rejected requests.
    #[default]
    Info,
    /// Details of single requests, attempts and connections.
    Debug,
}

impl From<LogLevel> for LevelFilter {
    fn from(level: LogLevel) -> LevelFilter {
        match level {
            LogLevel::Error => LevelFilter::ERROR,
            LogLevel::Warn => LevelFilter::WARN,
            LogLevel::Info => LevelFilter::INFO,
            LogLevel::Debug => LevelFilter::DEBUG,
        }
    }
}

/// The number of lines in the second that began at `start`.
#[derive(Debug)]
struct RateWindow {
    start: Instant,
    admitted: u32,
    dropped: u32,
}

/// Limits the rate of lines to [`MAX_LINES_PER_SECOND`].
#[derive(Debug)]
pub struct RateLimit {
    window: Mutex<RateWindow>,
}

impl RateLimit {
    /// A limit with no lines counted yet. The first second begins at `now`.
    pub fn new(now: Instant) -> RateLimit {
        RateLimit { window: Mutex::new(RateWindow { start: now, admitted: 0, dropped: 0 }) }
    }

    /// Counts one more line. `None` if it is over the limit; otherwise the number of dropped lines that are
    /// to be reported before it: those of the last second, at the first line of a new one.
    pub fn admit(&self, now: Instant) -> Option<u32> {
        // A mutex poisoned by a panic in another thread must not stop the log.
        let Ok(mut window) = self.window.lock() else { return Some(0) };
        let mut dropped_before = 0;
        if now.duration_since(window.start) >= Duration::from_secs(1) {
            dropped_before = window.dropped;
            *window = RateWindow { start: now, admitted: 0, dropped: 0 };
        }
        if window.admitted >= MAX_LINES_PER_SECOND {
            window.dropped += 1;
            return None;
        }
        window.admitted += 1;
        Some(dropped_before)
    }
}

/// What a line is about. Each class has its own rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LineClass {
    /// A detail of one request or attempt, at debug level.
    Detail,
    /// An action of a client, a node or a caller of the admin endpoint. Peers control how many there are.
    Peer,
    /// A change in this broker: its endpoint list, its watch, its phase.
    State,
}

impl LineClass {
    fn of(metadata: &Metadata<'_>) -> LineClass {
        let target = metadata.target().strip_prefix(TARGET_PREFIX).unwrap_or(metadata.target());
        if *metadata.level() > Level::INFO {
            LineClass::Detail
        } else if PEER_TARGETS.iter().any(|peer| target.starts_with(peer)) {
            LineClass::Peer
        } else {
            LineClass::State
        }
    }
}

/// Drops lines over the rate limit and reports their number.
///
/// A flood of bad requests or of debug lines must not displace the lines that explain a decision, so each
/// class of lines has its own limit.
struct RateLimitLayer {
    format: LogFormat,
    details: RateLimit,
    peers: RateLimit,
    state: RateLimit,
}

impl RateLimitLayer {
    fn report_dropped(&self, dropped: u32) {
        let mut out = io::stderr().lock();
        // A failed write to standard error can't be reported anywhere.
        let _ = match self.format {
            LogFormat::Text => writeln!(out, "warn log: {DROPPED_LINES} dropped={dropped}"),
            LogFormat::Json => writeln!(
                out,
                r#"{{"level":"WARN","target":"log","message":"{DROPPED_LINES}","dropped":{dropped}}}"#
            ),
        };
    }
}

impl<S: Subscriber> Layer<S> for RateLimitLayer {
    /// Called before a line is formatted, so that a dropped one costs no formatting.
    fn event_enabled(&self, event: &Event<'_>, _: Context<'_, S>) -> bool {
        let limit = match LineClass::of(event.metadata()) {
            LineClass::Detail => &self.details,
            LineClass::Peer => &self.peers,
            LineClass::State => &self.state,
        };
        let Some(dropped) = limit.admit(Instant::now()) else { return false };
        if dropped > 0 {
            self.report_dropped(dropped);
        }
        true
    }
}

/// `LEVEL PART: TEXT`, with fields after the text. Control characters are replaced by spaces, so that data
/// from a peer can't start a new line.
struct TextFormat;

impl<S, N> FormatEvent<S, N> for TextFormat
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        context: &FmtContext<'_, S, N>,
        mut out: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        let metadata = event.metadata();
        let target = metadata.target().strip_prefix(TARGET_PREFIX).unwrap_or(metadata.target());
        let level = metadata.level().as_str().to_ascii_lowercase();
        let mut text = String::new();
        context.field_format().format_fields(Writer::new(&mut text), event)?;
        writeln!(out, "{level} {target}: {}", text.replace(|c: char| c.is_control(), " "))
    }
}

/// The value of an environment variable, if it is set to a known one.
fn from_environment<T: clap::ValueEnum>(name: &str) -> Option<T> {
    std::env::var(name).ok().and_then(|value| T::from_str(&value, true).ok())
}

/// A subscriber that writes lines of at least this level to `writer`. The number of dropped lines goes to
/// standard error.
pub fn subscriber<W>(level: LogLevel, format: LogFormat, writer: W) -> impl Subscriber + Send + Sync
where
    W: for<'w> MakeWriter<'w> + Send + Sync + 'static,
{
    let lines = tracing_subscriber::fmt::layer().with_ansi(false).with_writer(writer);
    let lines = match format {
        LogFormat::Text => lines.event_format(TextFormat).boxed(),
        LogFormat::Json => lines.json().flatten_event(true).boxed(),
    };
    let start = Instant::now();
    let limit = RateLimitLayer {
        format,
        details: RateLimit::new(start),
        peers: RateLimit::new(start),
        state: RateLimit::new(start),
    };
    tracing_subscriber::registry().with(LevelFilter::from(level)).with(limit).with(lines)
}

/// Installs a global subscriber that writes to standard error. Where an argument is `None`, `PEBBLETURN_LOG`
/// (error, warn, info, debug) or `PEBBLETURN_LOG_FORMAT` (text, json) applies.
pub fn start(level: Option<LogLevel>, format: Option<LogFormat>) {
    let level = level.or_else(|| from_environment(LEVEL_VARIABLE)).unwrap_or_default();
    let format = format.or_else(|| from_environment(FORMAT_VARIABLE)).unwrap_or_default();
    // Has no effect if a subscriber is already installed: by an earlier call, or by a program that embeds the
    // library.
    let _ = subscriber(level, format, io::stderr).try_init();
}
