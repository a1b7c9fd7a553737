//! The command that calls a broker's second address, for people and for scripts.

use clap::{Args, Subcommand};
use serde_json::{Value, json};
use std::fmt::Write as _;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Exit codes beside 0 (yes) and 2 (the command can't be made out): the broker says no; it can't be reached or does not
/// answer; what was waited for did not come in time.
const EXIT_REJECTED: u8 = 1;
const EXIT_NO_RESPONSE: u8 = 3;
const EXIT_TIMED_OUT: u8 = 4;
/// Time between two questions while waiting.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Longest answer that is read, bytes.
const MAX_RESPONSE_BYTES: u64 = 1 << 20;

/// Calls a broker's second address. Exits with 0 for a yes, 1 for a no, 2 for a mistake in the command, 3 where nobody
/// answers, 4 where what `--wait` waits for does not come in time.
#[derive(Debug, Args)]
pub struct OperateArgs {
    /// Where the broker takes calls: the `ops` of its configuration.
    address: SocketAddr,
    #[command(subcommand)]
    command: AdminCommand,
    /// Write one JSON object.
    #[arg(long, global = true)]
    json: bool,
    /// Wait until it is done: after `pause` until no client is connected, after `suspend` until nothing is out at the
    /// server, after `resume` and `status` until the broker serves.
    #[arg(long, global = true)]
    wait: bool,
    /// Seconds for an answer, and for what is waited for.
    #[arg(long, global = true, default_value_t = 30, value_name = "SECONDS")]
    within: u64,
    /// Who says it, one word; kept with the word and shown to others.
    #[arg(long, global = true, value_name = "WHO")]
    by: Option<String>,
    /// Why it is said; kept with the word and shown to others.
    #[arg(long, global = true, value_name = "WORDS")]
    why: Option<String>,
    /// Seconds after which the word ends by itself; in a cluster.
    #[arg(long = "for", global = true, value_name = "SECONDS")]
    valid_for_s: Option<u64>,
}

#[derive(Clone, Debug, Subcommand)]
enum AdminCommand {
    /// Whether the process takes clients.
    Status,
    /// The figures.
    Metrics,
    /// Take a server out.
    Suspend {
        /// Its id in the list.
        id: String,
    },
    /// Put a server back.
    Restore {
        /// Its id in the list.
        id: String,
    },
    /// Send clients away.
    Pause {
        /// The broker of the cluster; without a name the one that is called.
        broker: Option<String>,
    },
    /// Take clients again.
    Resume {
        /// The broker of the cluster; without a name the one that is called.
        broker: Option<String>,
    },
    /// Who the brokers of the cluster are, and who is up.
    Peers,
    /// What the cluster knows: words by hand, and whether all of it is on disk.
    State,
    /// On what words by hand differ that know nothing of each other.
    Conflicts,
    /// Remove a broker from the cluster for good.
    Remove {
        /// Its name.
        broker: String,
    },
    /// Let a broker in again that was removed.
    Admit {
        /// Its name.
        broker: String,
    },
}

impl AdminCommand {
    /// The line of the call.
    fn request_line(&self) -> String {
        match self {
            AdminCommand::Status => "STATUS".into(),
            AdminCommand::Metrics => "METRICS".into(),
            AdminCommand::Suspend { id } => format!("SUSPEND {id}"),
            AdminCommand::Restore { id } => format!("RESTORE {id}"),
            AdminCommand::Pause { broker } => {
                format!("PAUSE {}", broker.as_deref().unwrap_or_default()).trim_end().into()
            }
            AdminCommand::Resume { broker } => {
                format!("RESUME {}", broker.as_deref().unwrap_or_default()).trim_end().into()
            }
            AdminCommand::Peers => "PEERS".into(),
            AdminCommand::State => "STATE".into(),
            AdminCommand::Conflicts => "CONFLICTS".into(),
            AdminCommand::Remove { broker } => format!("REMOVE {broker}"),
            AdminCommand::Admit { broker } => format!("ADMIT {broker}"),
        }
    }

    /// Whether it is a word by hand, with which more can be said.
    fn is_operator_command(&self) -> bool {
        !matches!(
            self,
            AdminCommand::Status
                | AdminCommand::Metrics
                | AdminCommand::Peers
                | AdminCommand::State
                | AdminCommand::Conflicts
        )
    }

    /// The call that tells whether it is done: what it asks, how many are still to come, as it tells, and of what.
    fn progress(&self) -> Option<(String, &'static str)> {
        match self {
            AdminCommand::Pause { broker: None } => Some(("CLIENTS".into(), "clients are connected")),
            AdminCommand::Suspend { id } => Some((format!("OUT {id}"), "attempts are out at the server")),
            AdminCommand::Status | AdminCommand::Resume { broker: None } => {
                Some(("STATUS".into(), "it does not serve yet"))
            }
            _ => None,
        }
    }
}

/// One call: a yes with its words, or a no with the reason.
type CallResult = Result<String, String>;

fn call(address: SocketAddr, line: &str, within: Duration) -> io::Result<CallResult> {
    let mut stream = TcpStream::connect_timeout(&address, within.min(Duration::from_secs(5)))?;
    stream.set_read_timeout(Some(within))?;
    stream.set_write_timeout(Some(within))?;
    stream.write_all(format!("{line}\n").as_bytes())?;
    let mut text = String::new();
    stream.take(MAX_RESPONSE_BYTES).read_to_string(&mut text)?;
    let words = |rest: &str| rest.trim().to_owned();
    if let Some(rest) = text.strip_prefix("SUCCESS") {
        Ok(Ok(words(rest)))
    } else if let Some(rest) = text.strip_prefix("FAILURE") {
        Ok(Err(words(rest)))
    } else if let Some(figures) = text.strip_suffix("\nEOT\n") {
        Ok(Ok(words(figures)))
    } else {
        Err(io::Error::new(ErrorKind::InvalidData, "what came is no answer to a call"))
    }
}

/// The figures as a table: a line for each class, then what stands alone.
fn metrics_table(line: &str) -> Option<String> {
    let figures: Value = serde_json::from_str(line).ok()?;
    let figures = figures.as_object()?;
    let mut out = format!("{:<24} {:>10} {:>10} {:>10}\n", "class", "ok", "shed", "errors");
    for class in figures.get("ok")?.as_object()?.keys() {
        let of =
            |name: &str| figures.get(name).and_then(|f| f.get(class)).map_or("-".into(), Value::to_string);
        let _ = writeln!(out, "{class:<24} {:>10} {:>10} {:>10}", of("ok"), of("shed"), of("errors"));
    }
    for (name, value) in figures.iter().filter(|(_, v)| v.is_number()) {
        let _ = writeln!(out, "{name:<24} {value:>10}");
    }
    Some(out)
}

fn string_field<'v>(value: &'v Value, name: &str) -> &'v str {
    value.get(name).and_then(Value::as_str).unwrap_or("-")
}

/// The peers as a table.
fn peers_table(line: &str) -> Option<String> {
    let report: Value = serde_json::from_str(line).ok()?;
    let mut out = format!(
        "{} of cluster {}: {}\n",
        string_field(&report, "name"),
        string_field(&report, "cluster"),
        string_field(&report, "standing")
    );
    let _ =
        writeln!(out, "{:<24} {:<22} {:<14} {:<8} {:>12}", "peer", "address", "is", "copy", "heard ms ago");
    for peer in report.get("peers")?.as_array()? {
        let same = match peer.get("same_copy").and_then(Value::as_bool) {
            Some(true) => "same",
            Some(false) => "differs",
            None => "-",
        };
        let heard = peer.get("heard_ms_ago").filter(|h| !h.is_null()).map_or("-".into(), Value::to_string);
        let _ = writeln!(
            out,
            "{:<24} {:<22} {:<14} {same:<8} {heard:>12}",
            string_field(peer, "name"),
            string_field(peer, "address"),
            string_field(peer, "is")
        );
    }
    for (why, n) in report.get("dropped")?.as_object()? {
        let _ = writeln!(out, "not listened to, {n} times: {why}");
    }
    Some(out)
}

/// Words by hand, with what was said of each thing by whom.
pub(crate) fn cluster_state_text(line: &str) -> Option<String> {
    let report: Value = serde_json::from_str(line).ok()?;
    let mut out = String::new();
    for name in ["standing", "digest", "facts", "on_disk", "words", "conflicts"] {
        if let Some(value) = report.get(name) {
            let _ = writeln!(out, "{name}: {}", value.as_str().map_or(value.to_string(), str::to_owned));
        }
    }
    for thing in report.get("first")?.as_array()? {
        out += &key_history(thing);
    }
    Some(out)
}

/// What was said of one thing.
pub(crate) fn key_history(thing: &Value) -> String {
    let yes = |name: &str| thing.get(name).and_then(Value::as_bool) == Some(true);
    let mark = match (yes("conflict"), yes("out")) {
        (true, _) => " (conflict: out until it is settled)",
        (false, true) => " (out)",
        _ => "",
    };
    let mut out = format!("{}{mark}\n", string_field(thing, "of"));
    for word in thing.get("words").and_then(Value::as_array).unwrap_or(&Vec::new()) {
        let until =
            word.get("until_ms").and_then(Value::as_u64).map_or(String::new(), |t| format!(", until {t} ms"));
        let _ = writeln!(
            out,
            "  {} by {} at {}, {} ms{until}: {} [{}]",
            string_field(word, "says"),
            string_field(word, "by"),
            string_field(word, "at_broker"),
            word.get("at_ms").unwrap_or(&Value::Null),
            string_field(word, "why"),
            string_field(word, "stamp")
        );
    }
    out
}

impl OperateArgs {
    /// Calls, tells, and waits where that was asked for.
    pub fn run(self) -> ExitCode {
        let within = Duration::from_secs(self.within.clamp(1, 24 * 3600));
        let until = Instant::now() + within;
        let line = self.request_line();
        let answer = match self.call_until(&line, until) {
            Ok(answer) => answer,
            Err(e) => {
                eprintln!("{}: {e}", self.address);
                return ExitCode::from(EXIT_NO_RESPONSE);
            }
        };
        self.print(&line, &answer);
        match answer {
            Err(_) => ExitCode::from(EXIT_REJECTED),
            Ok(_) if self.wait => self.wait_for(until),
            Ok(_) => ExitCode::SUCCESS,
        }
    }

    /// The line of the call, with what is said beside it.
    fn request_line(&self) -> String {
        let mut line = self.command.request_line();
        if self.command.is_operator_command() {
            for (name, value) in [
                ("by", self.by.clone()),
                ("for", self.valid_for_s.map(|s| s.to_string())),
                ("why", self.why.clone()),
            ] {
                if let Some(value) = value {
                    line += &format!(" {name}={}", value.replace(char::is_control, " "));
                }
            }
        }
        line
    }

    /// Asks once; where the status is waited for, until somebody says yes.
    fn call_until(&self, line: &str, until: Instant) -> io::Result<CallResult> {
        let wait_until_success = self.wait && matches!(self.command, AdminCommand::Status);
        loop {
            let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
            let answer = call(self.address, line, left);
            let yes = matches!(answer, Ok(Ok(_)));
            if yes || !wait_until_success || Instant::now() + POLL_INTERVAL >= until {
                return answer;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    fn print(&self, line: &str, answer: &CallResult) {
        let formatter: Option<fn(&str) -> Option<String>> = match self.command {
            AdminCommand::Metrics => Some(metrics_table),
            AdminCommand::Peers => Some(peers_table),
            AdminCommand::State | AdminCommand::Conflicts => Some(cluster_state_text),
            _ => None,
        };
        match answer {
            Ok(words) if formatter.is_some() && self.json => println!("{words}"),
            Ok(words) if let Some(formatter) = formatter => {
                print!("{}", formatter(words).unwrap_or_else(|| format!("{words}\n")));
            }
            _ if self.json => {
                let words = answer.as_ref().unwrap_or_else(|e| e);
                println!("{}", json!({ "call": line, "ok": answer.is_ok(), "answer": words }));
            }
            Ok(words) => println!("{words}"),
            Err(why) => eprintln!("{}: {why}", self.address),
        }
    }

    /// Asks again until nothing is left, with a line whenever the number changes.
    fn wait_for(&self, until: Instant) -> ExitCode {
        let Some((line, left_of)) = self.command.progress() else { return ExitCode::SUCCESS };
        let mut last = String::new();
        loop {
            let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
            let seen = match call(self.address, &line, left) {
                Ok(Ok(words)) if words == "0" || words == "serving" => return ExitCode::SUCCESS,
                Ok(Ok(words) | Err(words)) => words,
                // It may be between two processes.
                Err(e) => e.to_string(),
            };
            if seen != last {
                eprintln!("waiting: {left_of}: {seen}");
                last = seen;
            }
            if Instant::now() + POLL_INTERVAL >= until {
                eprintln!("waited for {} s", self.within);
                return ExitCode::from(EXIT_TIMED_OUT);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}
