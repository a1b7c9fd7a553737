//! The calls of the second address: one line each, and what is answered.

use std::fmt;

/// Longest line, bytes, without its end.
pub const MAX_LINE_BYTES: usize = 512;
/// Longest time for which a word may hold, seconds: a hundred years.
const MAX_VALIDITY_S: u64 = 100 * 366 * 86_400;

/// What staff say beside the thing itself: `by=WHO for=SECONDS why=WORDS`, in this order, the reason to the line's end.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CommandOptions {
    /// Who says it.
    pub operator: String,
    /// Why.
    pub reason: String,
    /// For how long it holds, seconds; none: until the next word.
    pub valid_for_s: Option<u64>,
}

/// What staff ask for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminRequest {
    /// Whether this process takes clients.
    Status,
    /// The figures.
    Metrics,
    /// Take a server out.
    Suspend(String, CommandOptions),
    /// Put a server back.
    Restore(String, CommandOptions),
    /// Send clients away: this broker's, or those of the peer that is named.
    Pause(Option<String>, CommandOptions),
    /// Take clients again.
    Resume(Option<String>, CommandOptions),
    /// Remove a peer for good.
    Remove(String, CommandOptions),
    /// Let a peer in again that was removed.
    Admit(String, CommandOptions),
    /// Who the peers are, and who is up.
    Peers,
    /// What this broker knows with its peers.
    State,
    /// On what words that know nothing of each other differ.
    Conflicts,
    /// How many clients are connected: a pause is done at 0.
    Clients,
    /// How many attempts are out at a server: work on it can begin at 0.
    InFlight(String),
}

/// A line that is no call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// Nothing but space.
    Empty,
    /// Longer than may be.
    TooLong,
    /// Not text.
    NotText,
    /// No such word.
    UnknownCommand(String),
    /// The word needs an id behind it.
    MissingName(&'static str),
    /// The word takes nothing behind it, or nothing more.
    UnexpectedArgument(&'static str),
    /// `for=` is no number of seconds.
    InvalidDuration(String),
}

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RequestError::Empty => write!(f, "the line is empty"),
            RequestError::TooLong => write!(f, "the line has more than {MAX_LINE_BYTES} bytes"),
            RequestError::NotText => write!(f, "the line is no text"),
            RequestError::UnknownCommand(word) => write!(
                f,
                "unknown call {word:?}; known are STATUS, METRICS, SUSPEND ID, RESTORE ID, PAUSE, RESUME, \
                 CLIENTS, OUT ID, PEERS, STATE, CONFLICTS, REMOVE NAME and ADMIT NAME"
            ),
            RequestError::MissingName(word @ ("REMOVE" | "ADMIT")) => {
                write!(f, "{word} needs the name of a broker")
            }
            RequestError::MissingName(word) => write!(f, "{word} needs the id of a server"),
            RequestError::UnexpectedArgument(word) => write!(f, "{word} takes nothing more behind it"),
            RequestError::InvalidDuration(text) => {
                write!(f, "for={text} is no number of seconds, or too many")
            }
        }
    }
}

impl std::error::Error for RequestError {}

/// Reads a line without its end.
pub fn parse(line: &[u8]) -> Result<AdminRequest, RequestError> {
    if line.len() > MAX_LINE_BYTES {
        return Err(RequestError::TooLong);
    }
    let text = std::str::from_utf8(line).map_err(|_| RequestError::NotText)?;
    let (word, rest) = split_word(text).ok_or(RequestError::Empty)?;
    let without_argument =
        |word, call| if rest.is_empty() { Ok(call) } else { Err(RequestError::UnexpectedArgument(word)) };
    let named = |word, call: fn(String, CommandOptions) -> AdminRequest| match split_word(rest) {
        None => Err(RequestError::MissingName(word)),
        Some((id, rest)) => Ok(call(id.to_owned(), parse_options(word, rest)?)),
    };
    // Without a name it is this broker.
    let optionally_named =
        |word, call: fn(Option<String>, CommandOptions) -> AdminRequest| match split_word(rest) {
            Some((name, rest)) if !name.contains('=') => {
                Ok(call(Some(name.to_owned()), parse_options(word, rest)?))
            }
            _ => Ok(call(None, parse_options(word, rest)?)),
        };
    match word {
        "STATUS" => without_argument("STATUS", AdminRequest::Status),
        "METRICS" => without_argument("METRICS", AdminRequest::Metrics),
        "SUSPEND" => named("SUSPEND", AdminRequest::Suspend),
        "RESTORE" => named("RESTORE", AdminRequest::Restore),
        "PAUSE" => optionally_named("PAUSE", AdminRequest::Pause),
        "RESUME" => optionally_named("RESUME", AdminRequest::Resume),
        "REMOVE" => named("REMOVE", AdminRequest::Remove),
        "ADMIT" => named("ADMIT", AdminRequest::Admit),
        "CLIENTS" => without_argument("CLIENTS", AdminRequest::Clients),
        "PEERS" => without_argument("PEERS", AdminRequest::Peers),
        "STATE" => without_argument("STATE", AdminRequest::State),
        "CONFLICTS" => without_argument("CONFLICTS", AdminRequest::Conflicts),
        "OUT" => match split_word(rest) {
            None => Err(RequestError::MissingName("OUT")),
            Some((_, more)) if !more.is_empty() => Err(RequestError::UnexpectedArgument("OUT")),
            Some((id, _)) => Ok(AdminRequest::InFlight(id.to_owned())),
        },
        other => Err(RequestError::UnknownCommand(other.chars().take(32).collect())),
    }
}

/// The first word of a text, and the rest.
fn split_word(text: &str) -> Option<(&str, &str)> {
    let text = text.trim_ascii();
    let end = text.find(|c: char| c.is_ascii_whitespace()).unwrap_or(text.len());
    if text.is_empty() { None } else { Some((&text[..end], text[end..].trim_ascii())) }
}

fn parse_options(word: &'static str, mut rest: &str) -> Result<CommandOptions, RequestError> {
    let mut options = CommandOptions::default();
    while let Some((argument, remaining)) = split_word(rest) {
        if let Some(reason) = rest.trim_ascii().strip_prefix("why=") {
            options.reason = reason.trim_matches('"').to_owned();
            return Ok(options);
        } else if let Some(by) = argument.strip_prefix("by=") {
            options.operator = by.to_owned();
        } else if let Some(time) = argument.strip_prefix("for=") {
            let seconds: Option<u64> = time.parse().ok().filter(|s| (1..=MAX_VALIDITY_S).contains(s));
            options.valid_for_s =
                Some(seconds.ok_or_else(|| RequestError::InvalidDuration(time.chars().take(32).collect()))?);
        } else {
            return Err(RequestError::UnexpectedArgument(word));
        }
        rest = remaining;
    }
    Ok(options)
}

/// What is answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminResponse {
    /// It is so, or done; a word on it.
    Success(String),
    /// The figures, a line.
    Report(String),
    /// It is not so, or not done, and why.
    Failure(String),
}

impl AdminResponse {
    /// The bytes of the answer.
    pub fn encode(&self) -> String {
        match self {
            AdminResponse::Success(words) => format!("SUCCESS {words}\n"),
            AdminResponse::Report(line) => format!("{line}\nEOT\n"),
            AdminResponse::Failure(reason) => format!("FAILURE {reason}\n"),
        }
    }
}
