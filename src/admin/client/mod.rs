//! The command `operate`, which sends a request to a broker's admin endpoint, interactively or in a script.

mod connection;
mod output;

pub(crate) use output::cluster_state_text;

use clap::{Args, Subcommand};
use connection::{Response, call};
use serde_json::json;
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Exit code if the broker rejected the request. 0 is success, and 2 a usage error.
const EXIT_REJECTED: u8 = 1;
/// Exit code if the broker can't be reached or does not respond.
const EXIT_NO_RESPONSE: u8 = 3;
/// Exit code if the condition of `--wait` was not met in time.
const EXIT_TIMED_OUT: u8 = 4;
/// Interval between two requests of `--wait`.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum value of `--within`, seconds.
const MAX_TIMEOUT_S: u64 = 24 * 3600;

/// Sends a request to a broker's admin endpoint. Exits with 0 on success, 1 if the broker rejected the
/// request, 2 on a usage error, 3 if the broker did not respond, and 4 if the condition of `--wait` was not
/// met in time.
#[derive(Debug, Args)]
pub struct OperateArgs {
    /// Address of the broker's admin endpoint: `ops` in its configuration.
    address: SocketAddr,
    #[command(subcommand)]
    command: AdminCommand,
    /// Write one JSON object.
    #[arg(long, global = true)]
    json: bool,
    /// Wait until the command is complete: after `pause` until no client is connected, after `suspend` until
    /// no attempt is in flight at the server, after `resume` and `status` until the broker serves clients.
    #[arg(long, global = true)]
    wait: bool,
    /// Timeout for the whole command, including `--wait`, seconds.
    #[arg(long, global = true, default_value_t = 30, value_name = "SECONDS")]
    within: u64,
    /// Name of the operator, one word; recorded with the command and shown to other operators.
    #[arg(long, global = true, value_name = "WHO")]
    by: Option<String>,
    /// Reason for the command; recorded with it and shown to other operators.
    #[arg(long, global = true, value_name = "WORDS")]
    why: Option<String>,
    /// Seconds after which the command expires; only in a cluster.
    #[arg(long = "for", global = true, value_name = "SECONDS")]
    valid_for_s: Option<u64>,
}

#[derive(Clone, Debug, Subcommand)]
enum AdminCommand {
    /// Show whether the broker serves clients.
    Status,
    /// Show the metrics.
    Metrics,
    /// Suspend a server: it receives no new work.
    Suspend {
        /// The server's id in the list of nodes.
        id: String,
    },
    /// Restore a suspended server.
    Restore {
        /// The server's id in the list of nodes.
        id: String,
    },
    /// Pause a broker: it turns clients away.
    Pause {
        /// The name of a broker of the cluster; defaults to the broker at the address.
        broker: Option<String>,
    },
    /// End a broker's pause: it accepts clients again.
    Resume {
        /// The name of a broker of the cluster; defaults to the broker at the address.
        broker: Option<String>,
    },
    /// Show the brokers of the cluster, and which of them are up.
    Peers,
    /// Show the replicated state of the cluster: operator commands, and whether all of it is on disk.
    State,
    /// Show concurrent operator commands that contradict each other.
    Conflicts,
    /// Remove a broker from the cluster for good.
    Remove {
        /// The broker's name.
        broker: String,
    },
    /// Readmit a removed broker.
    Admit {
        /// The broker's name.
        broker: String,
    },
}

impl AdminCommand {
    /// The request line without the arguments from `--by`, `--for` and `--why`.
    fn request_line(&self) -> String {
        match self {
            AdminCommand::Status => "STATUS".into(),
            AdminCommand::Metrics => "METRICS".into(),
            AdminCommand::Suspend { id } => format!("SUSPEND {id}"),
            AdminCommand::Restore { id } => format!("RESTORE {id}"),
            AdminCommand::Pause { broker } => with_optional_broker("PAUSE", broker.as_deref()),
            AdminCommand::Resume { broker } => with_optional_broker("RESUME", broker.as_deref()),
            AdminCommand::Peers => "PEERS".into(),
            AdminCommand::State => "STATE".into(),
            AdminCommand::Conflicts => "CONFLICTS".into(),
            AdminCommand::Remove { broker } => format!("REMOVE {broker}"),
            AdminCommand::Admit { broker } => format!("ADMIT {broker}"),
        }
    }

    /// Whether it changes state, and so accepts `--by`, `--for` and `--why`.
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

    /// How `--wait` checks whether the command is complete; `None` if there is nothing to wait for.
    fn completion_check(&self) -> Option<CompletionCheck> {
        let (request, awaited) = match self {
            AdminCommand::Pause { broker: None } => ("CLIENTS".into(), "clients are connected"),
            AdminCommand::Suspend { id } => (format!("OUT {id}"), "attempts are in flight at the server"),
            AdminCommand::Status | AdminCommand::Resume { broker: None } => {
                ("STATUS".into(), "it does not serve yet")
            }
            _ => return None,
        };
        Some(CompletionCheck { request, awaited })
    }
}

fn with_optional_broker(command: &str, broker: Option<&str>) -> String {
    format!("{command} {}", broker.unwrap_or_default()).trim_end().into()
}

/// A request that is repeated until its response shows that a command is complete.
struct CompletionCheck {
    request: String,
    /// The unmet condition, as printed with each response.
    awaited: &'static str,
}

impl OperateArgs {
    /// Sends the command, prints the response, and waits for completion if `--wait` is set.
    pub fn run(self) -> ExitCode {
        let timeout = Duration::from_secs(self.within.clamp(1, MAX_TIMEOUT_S));
        let deadline = Instant::now() + timeout;
        let line = self.request_line();
        let response = match self.call_until(&line, deadline) {
            Ok(response) => response,
            Err(error) => {
                eprintln!("{}: {error}", self.address);
                return ExitCode::from(EXIT_NO_RESPONSE);
            }
        };
        self.print(&line, &response);
        match response {
            Response::Failure(_) => ExitCode::from(EXIT_REJECTED),
            Response::Success(_) if self.wait => self.wait_for_completion(deadline),
            Response::Success(_) => ExitCode::SUCCESS,
        }
    }

    /// The complete request line.
    fn request_line(&self) -> String {
        let mut line = self.command.request_line();
        if self.command.is_operator_command() {
            let valid_for_s = self.valid_for_s.map(|seconds| seconds.to_string());
            for (name, value) in [("by", self.by.clone()), ("for", valid_for_s), ("why", self.why.clone())] {
                if let Some(value) = value {
                    line += &format!(" {name}={}", value.replace(char::is_control, " "));
                }
            }
        }
        line
    }

    /// Sends the request once; with `--wait`, repeats `status` until the broker responds with a success.
    fn call_until(&self, line: &str, deadline: Instant) -> io::Result<Response> {
        let wait_until_success = self.wait && matches!(self.command, AdminCommand::Status);
        loop {
            let response = call(self.address, line, time_left(deadline));
            let succeeded = matches!(response, Ok(Response::Success(_)));
            if succeeded || !wait_until_success || Instant::now() + POLL_INTERVAL >= deadline {
                return response;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    fn print(&self, line: &str, response: &Response) {
        let formatter: Option<fn(&str) -> Option<String>> = match self.command {
            AdminCommand::Metrics => Some(output::metrics_table),
            AdminCommand::Peers => Some(output::peers_table),
            AdminCommand::State | AdminCommand::Conflicts => Some(output::cluster_state_text),
            _ => None,
        };
        match (response, formatter) {
            (Response::Success(report), Some(_)) if self.json => println!("{report}"),
            (Response::Success(report), Some(format)) => {
                print!("{}", format(report).unwrap_or_else(|| format!("{report}\n")));
            }
            (Response::Success(text), None) if self.json => print_json(line, true, text),
            (Response::Failure(text), _) if self.json => print_json(line, false, text),
            (Response::Success(text), None) => println!("{text}"),
            (Response::Failure(reason), _) => eprintln!("{}: {reason}", self.address),
        }
    }

    /// Repeats the completion check until it succeeds, and prints its response whenever that changes.
    fn wait_for_completion(&self, deadline: Instant) -> ExitCode {
        let Some(check) = self.command.completion_check() else { return ExitCode::SUCCESS };
        let mut last_response = String::new();
        loop {
            let response = match call(self.address, &check.request, time_left(deadline)) {
                Ok(Response::Success(text)) if text == "0" || text == "serving" => return ExitCode::SUCCESS,
                Ok(Response::Success(text) | Response::Failure(text)) => text,
                // Calls may fail while the process hands over to its successor, so the check is repeated.
                Err(error) => error.to_string(),
            };
            if response != last_response {
                eprintln!("waiting: {}: {response}", check.awaited);
                last_response = response;
            }
            if Instant::now() + POLL_INTERVAL >= deadline {
                eprintln!("waited for {} s", self.within);
                return ExitCode::from(EXIT_TIMED_OUT);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

/// The time until `deadline`, but never 0, which is not a valid timeout for a socket.
fn time_left(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now()).max(Duration::from_millis(1))
}

fn print_json(line: &str, succeeded: bool, text: &str) {
    println!("{}", json!({ "call": line, "ok": succeeded, "answer": text }));
}
