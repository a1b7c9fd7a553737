//! The calls of the second address: one line each, and what is answered.

use std::fmt;

/// Longest line, bytes, without its end.
pub const LONGEST: usize = 512;
/// Longest time for which a word may hold, seconds: a hundred years.
const LONGEST_TIME: u64 = 100 * 366 * 86_400;

/// What staff say beside the thing itself: `by=WHO for=SECONDS why=WORDS`, in this order, the reason to the line's end.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CommandOptions {
    /// Who says it.
    pub by: String,
    /// Why.
    pub why: String,
    /// For how long it holds, seconds; none: until the next word.
    pub holds: Option<u64>,
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
    Out(String),
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
    Unknown(String),
    /// The word needs an id behind it.
    NoId(&'static str),
    /// The word takes nothing behind it, or nothing more.
    Extra(&'static str),
    /// `for=` is no number of seconds.
    NoTime(String),
}

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RequestError::Empty => write!(f, "the line is empty"),
            RequestError::TooLong => write!(f, "the line has more than {LONGEST} bytes"),
            RequestError::NotText => write!(f, "the line is no text"),
            RequestError::Unknown(word) => write!(
                f,
                "unknown call {word:?}; known are STATUS, METRICS, SUSPEND ID, RESTORE ID, PAUSE, RESUME, \
                 CLIENTS, OUT ID, PEERS, STATE, CONFLICTS, REMOVE NAME and ADMIT NAME"
            ),
            RequestError::NoId(word @ ("REMOVE" | "ADMIT")) => write!(f, "{word} needs the name of a broker"),
            RequestError::NoId(word) => write!(f, "{word} needs the id of a server"),
            RequestError::Extra(word) => write!(f, "{word} takes nothing more behind it"),
            RequestError::NoTime(text) => write!(f, "for={text} is no number of seconds, or too many"),
        }
    }
}

impl std::error::Error for RequestError {}

/// Reads a line without its end.
pub fn read(line: &[u8]) -> Result<AdminRequest, RequestError> {
    if line.len() > LONGEST {
        return Err(RequestError::TooLong);
    }
    let text = std::str::from_utf8(line).map_err(|_| RequestError::NotText)?;
    let (word, rest) = cut(text).ok_or(RequestError::Empty)?;
    let alone = |word, call| if rest.is_empty() { Ok(call) } else { Err(RequestError::Extra(word)) };
    let named = |word, call: fn(String, CommandOptions) -> AdminRequest| match cut(rest) {
        None => Err(RequestError::NoId(word)),
        Some((id, rest)) => Ok(call(id.to_owned(), aside(word, rest)?)),
    };
    // Without a name it is this broker.
    let mine_or_named = |word, call: fn(Option<String>, CommandOptions) -> AdminRequest| match cut(rest) {
        Some((name, rest)) if !name.contains('=') => Ok(call(Some(name.to_owned()), aside(word, rest)?)),
        _ => Ok(call(None, aside(word, rest)?)),
    };
    match word {
        "STATUS" => alone("STATUS", AdminRequest::Status),
        "METRICS" => alone("METRICS", AdminRequest::Metrics),
        "SUSPEND" => named("SUSPEND", AdminRequest::Suspend),
        "RESTORE" => named("RESTORE", AdminRequest::Restore),
        "PAUSE" => mine_or_named("PAUSE", AdminRequest::Pause),
        "RESUME" => mine_or_named("RESUME", AdminRequest::Resume),
        "REMOVE" => named("REMOVE", AdminRequest::Remove),
        "ADMIT" => named("ADMIT", AdminRequest::Admit),
        "CLIENTS" => alone("CLIENTS", AdminRequest::Clients),
        "PEERS" => alone("PEERS", AdminRequest::Peers),
        "STATE" => alone("STATE", AdminRequest::State),
        "CONFLICTS" => alone("CONFLICTS", AdminRequest::Conflicts),
        "OUT" => match cut(rest) {
            None => Err(RequestError::NoId("OUT")),
            Some((_, more)) if !more.is_empty() => Err(RequestError::Extra("OUT")),
            Some((id, _)) => Ok(AdminRequest::Out(id.to_owned())),
        },
        other => Err(RequestError::Unknown(other.chars().take(32).collect())),
    }
}

/// The first word of a text, and the rest.
fn cut(text: &str) -> Option<(&str, &str)> {
    let text = text.trim_ascii();
    let end = text.find(|c: char| c.is_ascii_whitespace()).unwrap_or(text.len());
    if text.is_empty() { None } else { Some((&text[..end], text[end..].trim_ascii())) }
}

fn aside(word: &'static str, mut rest: &str) -> Result<CommandOptions, RequestError> {
    let mut aside = CommandOptions::default();
    while let Some((one, more)) = cut(rest) {
        if let Some(why) = rest.trim_ascii().strip_prefix("why=") {
            aside.why = why.trim_matches('"').to_owned();
            return Ok(aside);
        } else if let Some(by) = one.strip_prefix("by=") {
            aside.by = by.to_owned();
        } else if let Some(time) = one.strip_prefix("for=") {
            let seconds: Option<u64> = time.parse().ok().filter(|s| (1..=LONGEST_TIME).contains(s));
            aside.holds = Some(seconds.ok_or_else(|| RequestError::NoTime(time.chars().take(32).collect()))?);
        } else {
            return Err(RequestError::Extra(word));
        }
        rest = more;
    }
    Ok(aside)
}

/// What is answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminResponse {
    /// It is so, or done; a word on it.
    Yes(String),
    /// The figures, a line.
    Figures(String),
    /// It is not so, or not done, and why.
    No(String),
}

impl AdminResponse {
    /// The bytes of the answer.
    pub fn text(&self) -> String {
        match self {
            AdminResponse::Yes(words) => format!("SUCCESS {words}\n"),
            AdminResponse::Figures(line) => format!("{line}\nEOT\n"),
            AdminResponse::No(why) => format!("FAILURE {why}\n"),
        }
    }
}
