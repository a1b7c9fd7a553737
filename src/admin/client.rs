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
const NO: u8 = 1;
const NO_ANSWER: u8 = 3;
const WAITED: u8 = 4;
/// Time between two questions while waiting.
const AGAIN: Duration = Duration::from_millis(200);
/// Longest answer that is read, bytes.
const MOST: u64 = 1 << 20;

/// Calls a broker's second address. Exits with 0 for a yes, 1 for a no, 2 for a mistake in the command, 3 where nobody
/// answers, 4 where what `--wait` waits for does not come in time.
#[derive(Debug, Args)]
pub struct Operate {
    /// Where the broker takes calls: the `ops` of its configuration.
    address: SocketAddr,
    #[command(subcommand)]
    what: What,
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
    holds: Option<u64>,
}

#[derive(Clone, Debug, Subcommand)]
enum What {
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

impl What {
    /// The line of the call.
    fn line(&self) -> String {
        match self {
            What::Status => "STATUS".into(),
            What::Metrics => "METRICS".into(),
            What::Suspend { id } => format!("SUSPEND {id}"),
            What::Restore { id } => format!("RESTORE {id}"),
            What::Pause { broker } => {
                format!("PAUSE {}", broker.as_deref().unwrap_or_default()).trim_end().into()
            }
            What::Resume { broker } => {
                format!("RESUME {}", broker.as_deref().unwrap_or_default()).trim_end().into()
            }
            What::Peers => "PEERS".into(),
            What::State => "STATE".into(),
            What::Conflicts => "CONFLICTS".into(),
            What::Remove { broker } => format!("REMOVE {broker}"),
            What::Admit { broker } => format!("ADMIT {broker}"),
        }
    }

    /// Whether it is a word by hand, with which more can be said.
    fn is_word(&self) -> bool {
        !matches!(self, What::Status | What::Metrics | What::Peers | What::State | What::Conflicts)
    }

    /// The call that tells whether it is done: what it asks, how many are still to come, as it tells, and of what.
    fn progress(&self) -> Option<(String, &'static str)> {
        match self {
            What::Pause { broker: None } => Some(("CLIENTS".into(), "clients are connected")),
            What::Suspend { id } => Some((format!("OUT {id}"), "attempts are out at the server")),
            What::Status | What::Resume { broker: None } => Some(("STATUS".into(), "it does not serve yet")),
            _ => None,
        }
    }
}

/// One call: a yes with its words, or a no with the reason.
type Answer = Result<String, String>;

fn call(address: SocketAddr, line: &str, within: Duration) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, within.min(Duration::from_secs(5)))?;
    stream.set_read_timeout(Some(within))?;
    stream.set_write_timeout(Some(within))?;
    stream.write_all(format!("{line}\n").as_bytes())?;
    let mut text = String::new();
    stream.take(MOST).read_to_string(&mut text)?;
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
fn table(line: &str) -> Option<String> {
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

fn text<'v>(value: &'v Value, name: &str) -> &'v str {
    value.get(name).and_then(Value::as_str).unwrap_or("-")
}

/// The peers as a table.
fn peers(line: &str) -> Option<String> {
    let told: Value = serde_json::from_str(line).ok()?;
    let mut out = format!(
        "{} of cluster {}: {}\n",
        text(&told, "name"),
        text(&told, "cluster"),
        text(&told, "standing")
    );
    let _ =
        writeln!(out, "{:<24} {:<22} {:<14} {:<8} {:>12}", "peer", "address", "is", "copy", "heard ms ago");
    for peer in told.get("peers")?.as_array()? {
        let same = match peer.get("same_copy").and_then(Value::as_bool) {
            Some(true) => "same",
            Some(false) => "differs",
            None => "-",
        };
        let heard = peer.get("heard_ms_ago").filter(|h| !h.is_null()).map_or("-".into(), Value::to_string);
        let _ = writeln!(
            out,
            "{:<24} {:<22} {:<14} {same:<8} {heard:>12}",
            text(peer, "name"),
            text(peer, "address"),
            text(peer, "is")
        );
    }
    for (why, n) in told.get("dropped")?.as_object()? {
        let _ = writeln!(out, "not listened to, {n} times: {why}");
    }
    Some(out)
}

/// Words by hand, with what was said of each thing by whom.
pub(crate) fn facts(line: &str) -> Option<String> {
    let told: Value = serde_json::from_str(line).ok()?;
    let mut out = String::new();
    for name in ["standing", "digest", "facts", "on_disk", "words", "conflicts"] {
        if let Some(value) = told.get(name) {
            let _ = writeln!(out, "{name}: {}", value.as_str().map_or(value.to_string(), str::to_owned));
        }
    }
    for thing in told.get("first")?.as_array()? {
        out += &words(thing);
    }
    Some(out)
}

/// What was said of one thing.
pub(crate) fn words(thing: &Value) -> String {
    let yes = |name: &str| thing.get(name).and_then(Value::as_bool) == Some(true);
    let mark = match (yes("conflict"), yes("out")) {
        (true, _) => " (conflict: out until it is settled)",
        (false, true) => " (out)",
        _ => "",
    };
    let mut out = format!("{}{mark}\n", text(thing, "of"));
    for word in thing.get("words").and_then(Value::as_array).unwrap_or(&Vec::new()) {
        let until =
            word.get("until_ms").and_then(Value::as_u64).map_or(String::new(), |t| format!(", until {t} ms"));
        let _ = writeln!(
            out,
            "  {} by {} at {}, {} ms{until}: {} [{}]",
            text(word, "says"),
            text(word, "by"),
            text(word, "at_broker"),
            word.get("at_ms").unwrap_or(&Value::Null),
            text(word, "why"),
            text(word, "stamp")
        );
    }
    out
}

impl Operate {
    /// Calls, tells, and waits where that was asked for.
    pub fn run(self) -> ExitCode {
        let within = Duration::from_secs(self.within.clamp(1, 24 * 3600));
        let until = Instant::now() + within;
        let line = self.line();
        let answer = match self.call_until(&line, until) {
            Ok(answer) => answer,
            Err(e) => {
                eprintln!("{}: {e}", self.address);
                return ExitCode::from(NO_ANSWER);
            }
        };
        self.tell(&line, &answer);
        match answer {
            Err(_) => ExitCode::from(NO),
            Ok(_) if self.wait => self.wait_for(until),
            Ok(_) => ExitCode::SUCCESS,
        }
    }

    /// The line of the call, with what is said beside it.
    fn line(&self) -> String {
        let mut line = self.what.line();
        if self.what.is_word() {
            for (name, value) in [
                ("by", self.by.clone()),
                ("for", self.holds.map(|s| s.to_string())),
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
    fn call_until(&self, line: &str, until: Instant) -> io::Result<Answer> {
        let patient = self.wait && matches!(self.what, What::Status);
        loop {
            let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
            let answer = call(self.address, line, left);
            let yes = matches!(answer, Ok(Ok(_)));
            if yes || !patient || Instant::now() + AGAIN >= until {
                return answer;
            }
            std::thread::sleep(AGAIN);
        }
    }

    fn tell(&self, line: &str, answer: &Answer) {
        let in_words: Option<fn(&str) -> Option<String>> = match self.what {
            What::Metrics => Some(table),
            What::Peers => Some(peers),
            What::State | What::Conflicts => Some(facts),
            _ => None,
        };
        match answer {
            Ok(words) if in_words.is_some() && self.json => println!("{words}"),
            Ok(words) if let Some(in_words) = in_words => {
                print!("{}", in_words(words).unwrap_or_else(|| format!("{words}\n")));
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
        let Some((line, left_of)) = self.what.progress() else { return ExitCode::SUCCESS };
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
            if Instant::now() + AGAIN >= until {
                eprintln!("waited for {} s", self.within);
                return ExitCode::from(WAITED);
            }
            std::thread::sleep(AGAIN);
        }
    }
}
