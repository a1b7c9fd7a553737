//! The requests of the admin endpoint, one line each, and its responses.

/// Maximum length of a request line without its terminator, bytes.
pub const MAX_LINE_BYTES: usize = 512;
/// Maximum validity of a command, seconds: a hundred years.
const MAX_VALIDITY_S: u64 = 100 * 366 * 86_400;
/// Maximum length of the part of an invalid request that its response quotes, characters.
const MAX_QUOTED_CHARS: usize = 32;

/// The optional arguments of a command: `by=WHO for=SECONDS why=WORDS`. The reason comes last and extends to
/// the end of the line.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CommandOptions {
    /// Who issued the command; empty if not stated.
    pub operator: String,
    /// Why it was issued; empty if not stated.
    pub reason: String,
    /// How long it is valid, seconds; `None`: until the next command on the same node or broker.
    pub valid_for_s: Option<u64>,
}

/// A request of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminRequest {
    /// Whether this process serves clients.
    Status,
    /// The metrics.
    Metrics,
    /// Suspend a node: it receives no new work.
    Suspend(String, CommandOptions),
    /// Restore a suspended node.
    Restore(String, CommandOptions),
    /// Pause a broker of the cluster, by default this one: it turns clients away.
    Pause(Option<String>, CommandOptions),
    /// End a pause.
    Resume(Option<String>, CommandOptions),
    /// Remove a broker from the cluster for good.
    Remove(String, CommandOptions),
    /// Readmit a removed broker.
    Admit(String, CommandOptions),
    /// The brokers of the cluster, and which of them are up.
    Peers,
    /// The replicated state of the cluster.
    State,
    /// Concurrent commands that contradict each other.
    Conflicts,
    /// The number of connected clients: a pause is complete at 0.
    Clients,
    /// The number of attempts in flight at a node: maintenance of a suspended one can begin at 0.
    InFlight(String),
}

/// Why a line is not a valid request. The text is sent as the response.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The line is blank.
    #[error("the line is empty")]
    Empty,
    /// The line is longer than [`MAX_LINE_BYTES`].
    #[error("the line has more than {MAX_LINE_BYTES} bytes")]
    TooLong,
    /// The line is not UTF-8.
    #[error("the line is no text")]
    NotText,
    /// There is no request of this name.
    #[error(
        "unknown call {0:?}; known are STATUS, METRICS, SUSPEND ID, RESTORE ID, PAUSE, RESUME, \
         CLIENTS, OUT ID, PEERS, STATE, CONFLICTS, REMOVE NAME and ADMIT NAME"
    )]
    UnknownCommand(String),
    /// The request needs the id of a node.
    #[error("{0} needs the id of a server")]
    MissingNode(&'static str),
    /// The request needs the name of a broker.
    #[error("{0} needs the name of a broker")]
    MissingBroker(&'static str),
    /// The request takes no argument, or no further ones.
    #[error("{0} takes nothing more behind it")]
    UnexpectedArgument(&'static str),
    /// The value of `for=` is not a number of seconds, or is out of range.
    #[error("for={0} is no number of seconds, or too many")]
    InvalidDuration(String),
}

/// Parses a line without its terminator.
///
/// # Errors
///
/// If the line is not a valid request.
pub fn parse(line: &[u8]) -> Result<AdminRequest, RequestError> {
    if line.len() > MAX_LINE_BYTES {
        return Err(RequestError::TooLong);
    }
    let text = std::str::from_utf8(line).map_err(|_| RequestError::NotText)?;
    let (command, arguments) = split_word(text).ok_or(RequestError::Empty)?;
    match command {
        "STATUS" => without_argument("STATUS", arguments, AdminRequest::Status),
        "METRICS" => without_argument("METRICS", arguments, AdminRequest::Metrics),
        "CLIENTS" => without_argument("CLIENTS", arguments, AdminRequest::Clients),
        "PEERS" => without_argument("PEERS", arguments, AdminRequest::Peers),
        "STATE" => without_argument("STATE", arguments, AdminRequest::State),
        "CONFLICTS" => without_argument("CONFLICTS", arguments, AdminRequest::Conflicts),
        "OUT" => parse_in_flight(arguments),
        "SUSPEND" => with_node("SUSPEND", arguments, AdminRequest::Suspend),
        "RESTORE" => with_node("RESTORE", arguments, AdminRequest::Restore),
        "REMOVE" => with_broker("REMOVE", arguments, AdminRequest::Remove),
        "ADMIT" => with_broker("ADMIT", arguments, AdminRequest::Admit),
        "PAUSE" => with_optional_broker("PAUSE", arguments, AdminRequest::Pause),
        "RESUME" => with_optional_broker("RESUME", arguments, AdminRequest::Resume),
        other => Err(RequestError::UnknownCommand(truncated(other))),
    }
}

fn without_argument(
    command: &'static str,
    arguments: &str,
    request: AdminRequest,
) -> Result<AdminRequest, RequestError> {
    if arguments.is_empty() { Ok(request) } else { Err(RequestError::UnexpectedArgument(command)) }
}

fn parse_in_flight(arguments: &str) -> Result<AdminRequest, RequestError> {
    let (id, rest) = split_word(arguments).ok_or(RequestError::MissingNode("OUT"))?;
    without_argument("OUT", rest, AdminRequest::InFlight(id.to_owned()))
}

fn with_node(
    command: &'static str,
    arguments: &str,
    request: fn(String, CommandOptions) -> AdminRequest,
) -> Result<AdminRequest, RequestError> {
    let (id, options) = split_word(arguments).ok_or(RequestError::MissingNode(command))?;
    Ok(request(id.to_owned(), parse_options(command, options)?))
}

fn with_broker(
    command: &'static str,
    arguments: &str,
    request: fn(String, CommandOptions) -> AdminRequest,
) -> Result<AdminRequest, RequestError> {
    let (name, options) = split_word(arguments).ok_or(RequestError::MissingBroker(command))?;
    Ok(request(name.to_owned(), parse_options(command, options)?))
}

/// Without a name, the request applies to the broker that receives it.
fn with_optional_broker(
    command: &'static str,
    arguments: &str,
    request: fn(Option<String>, CommandOptions) -> AdminRequest,
) -> Result<AdminRequest, RequestError> {
    match split_word(arguments) {
        Some((name, options)) if !name.contains('=') => {
            Ok(request(Some(name.to_owned()), parse_options(command, options)?))
        }
        _ => Ok(request(None, parse_options(command, arguments)?)),
    }
}

/// Splits a text into its first word and the rest.
fn split_word(text: &str) -> Option<(&str, &str)> {
    let text = text.trim_ascii();
    let end = text.find(|c: char| c.is_ascii_whitespace()).unwrap_or(text.len());
    if text.is_empty() { None } else { Some((&text[..end], text[end..].trim_ascii())) }
}

/// Limits a quotation from an invalid request to [`MAX_QUOTED_CHARS`].
fn truncated(word: &str) -> String {
    word.chars().take(MAX_QUOTED_CHARS).collect()
}

fn parse_options(command: &'static str, text: &str) -> Result<CommandOptions, RequestError> {
    let mut options = CommandOptions::default();
    let mut rest = text;
    while let Some((argument, remaining)) = split_word(rest) {
        // The reason extends to the end of the line.
        if let Some(reason) = rest.trim_ascii().strip_prefix("why=") {
            options.reason = reason.trim_matches('"').to_owned();
            return Ok(options);
        } else if let Some(operator) = argument.strip_prefix("by=") {
            options.operator = operator.to_owned();
        } else if let Some(seconds) = argument.strip_prefix("for=") {
            options.valid_for_s = Some(parse_validity(seconds)?);
        } else {
            return Err(RequestError::UnexpectedArgument(command));
        }
        rest = remaining;
    }
    Ok(options)
}

fn parse_validity(text: &str) -> Result<u64, RequestError> {
    let seconds: Option<u64> = text.parse().ok();
    let valid = seconds.filter(|seconds| (1..=MAX_VALIDITY_S).contains(seconds));
    valid.ok_or_else(|| RequestError::InvalidDuration(truncated(text)))
}

/// A response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminResponse {
    /// The request was executed, or the queried condition holds; with a short text.
    Success(String),
    /// A report, one line of JSON.
    Report(String),
    /// The request was rejected, or the queried condition does not hold; with the reason.
    Failure(String),
}

impl AdminResponse {
    /// The response in its wire format.
    pub fn encode(&self) -> String {
        match self {
            AdminResponse::Success(text) => format!("SUCCESS {text}\n"),
            AdminResponse::Report(line) => format!("{line}\nEOT\n"),
            AdminResponse::Failure(reason) => format!("FAILURE {reason}\n"),
        }
    }
}
