//! Importers, which convert balancer configurations of other programs to the operator's file.
//!
//! Every setting without a counterpart is reported as a note with its line.

mod apache;
mod jk;

pub use apache::read as read_apache;
pub use jk::read as read_jk;

use std::fmt;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// A remark on something in the source that has no counterpart or needs a check by the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Note {
    /// Line number, from 1; 0 for the file as a whole.
    pub line: usize,
    /// The remark, without the line number.
    pub text: String,
}

impl fmt::Display for Note {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => write!(f, "note: {}", self.text),
            n => write!(f, "line {n}: {}", self.text),
        }
    }
}

/// The error for a source that can't be imported, with the reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ImportError(pub String);

impl fmt::Display for ImportError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "nothing to import: {}", self.0)
    }
}

impl std::error::Error for ImportError {}

/// The result of an import.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Imported {
    /// The text of the operator's file.
    pub file: String,
    /// Remarks for the operator, ordered by line.
    pub notes: Vec<Note>,
}

/// A member of the imported balancer, which becomes a node.
#[derive(Clone, Debug)]
struct Member {
    id: String,
    address: SocketAddr,
    zone: Option<String>,
    line: usize,
    /// The name by which other members' redirects refer to it.
    route: String,
    routing: RoutingSettings,
}

/// A member's routing settings that have a counterpart in the operator's file.
#[derive(Clone, Debug, Default)]
struct RoutingSettings {
    admin_state: Option<&'static str>,
    weight: Option<f64>,
    set: Option<u32>,
    spare: Option<&'static str>,
    /// Line of the setting, and route of the member that replaces this one after a failure. The route is
    /// replaced by the member's id in `resolve_redirects`.
    redirect: Option<(usize, String)>,
    retry_ms: Option<u64>,
}

impl RoutingSettings {
    /// Writes the settings that are set as lines of a `[[node]]` section.
    fn write(&self) -> String {
        let mut out = String::new();
        let mut append = |line: Option<String>| out += &line.unwrap_or_default();
        append(self.admin_state.map(|s| format!("standing = \"{s}\"\n")));
        append(self.weight.map(|w| format!("weight = {w:?}\n")));
        append(self.set.map(|s| format!("set = {s}\n")));
        append(self.spare.map(|s| format!("spare = \"{s}\"\n")));
        append(self.redirect.as_ref().map(|(_, to)| format!("redirect = \"{to}\"\n")));
        append(self.retry_ms.map(|ms| format!("retry_ms = {ms}\n")));
        out
    }
}

/// Parses a weight; `None` if it is not a number from 0 to 1e6.
fn parse_weight(text: &str) -> Option<f64> {
    text.parse::<f64>().ok().filter(|w| (0.0..=1e6).contains(w))
}

/// The imported settings, common to all importers, from which the operator's file is written.
#[derive(Debug, Default)]
struct Draft {
    name: String,
    database: Option<String>,
    members: Vec<Member>,
    deadline_ms: Option<u64>,
    dial_timeout_ms: Option<u64>,
    connections: Option<u64>,
    idle_s: Option<u64>,
    attempts: Option<u64>,
    /// Time after a failure during which a member gets no queries, for all members.
    retry_ms: Option<u64>,
    notes: Vec<Note>,
}

/// Largest number that is imported: a day in milliseconds, the longest time in the operator's file.
const MAX_NUMBER: u64 = 86_400_000;

/// Deadline if the source has no time-out.
const DEFAULT_DEADLINE_MS: u64 = 30_000;

/// Makes a name valid in the operator's file: characters other than ASCII letters, digits, `-`, `_` and `.`
/// become `-`.
fn sanitize_name(name: &str) -> String {
    let kept = |c: char| if c.is_ascii_alphanumeric() || "-_.".contains(c) { c } else { '-' };
    let name: String = name.chars().map(kept).collect();
    if name.trim_matches('-').is_empty() { "unnamed".into() } else { name }
}

/// Parses an address; `None` for host names other than `localhost`, since names are not resolved.
fn parse_address(host: &str, port: u16) -> Option<SocketAddr> {
    let host = host.trim_start_matches('[').trim_end_matches(']');
    let ip = if host.eq_ignore_ascii_case("localhost") {
        Ok(IpAddr::V4(Ipv4Addr::LOCALHOST))
    } else {
        host.parse()
    };
    ip.ok().map(|ip| SocketAddr::new(ip, port))
}

impl Draft {
    fn note(&mut self, line: usize, text: impl Into<String>) {
        self.notes.push(Note { line, text: text.into() });
    }

    fn add(&mut self, mut member: Member) {
        member.id = sanitize_name(&member.id);
        let line = member.line;
        // Names that differ only in case are easily confused in logs, and some tools treat them as the same.
        let other = self.members.iter().find(|m| m.id.eq_ignore_ascii_case(&member.id));
        if let Some((before, first)) = other.map(|m| (m.id.clone(), m.line)) {
            let id = (2..)
                .map(|n| format!("{}-{n}", member.id))
                .find(|id| !self.members.iter().any(|m| m.id.eq_ignore_ascii_case(id)))
                .unwrap_or_default();
            let how = if before == member.id { "has the name of" } else { "differs only in case from" };
            self.note(
                line,
                format!("member {} {how} {before} in line {first}: it is called {id}", member.id),
            );
            member.id = id;
        }
        self.members.push(member);
    }

    /// Replaces the routes in redirects by the ids of their members.
    fn resolve_redirects(&mut self) {
        let known: Vec<(String, String)> =
            self.members.iter().map(|m| (m.route.clone(), m.id.clone())).collect();
        for n in 0..self.members.len() {
            let Some((line, to)) = self.members[n].routing.redirect.take() else { continue };
            let target = known.iter().find(|(route, id)| *route == to && *id != self.members[n].id);
            match target {
                Some((_, id)) => self.members[n].routing.redirect = Some((line, id.clone())),
                None => self.note(line, format!("redirect to {to}, which is no other member, is left out")),
            }
        }
    }

    /// Writes the operator's file.
    fn write(mut self) -> Result<Imported, ImportError> {
        if self.members.is_empty() {
            return Err(ImportError(format!(
                "{} has no member that can be reached by an address",
                self.name
            )));
        }
        self.resolve_redirects();
        let name = sanitize_name(&self.name);
        let database = sanitize_name(self.database.as_deref().unwrap_or(&name));
        let deadline = self.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
        let zone = |m: &Member| m.zone.as_deref().map_or("default".into(), sanitize_name);
        let mut out = format!("name = \"{name}\"\nzone = \"{}\"\n\n[limits]\n", zone(&self.members[0]));
        let limits = [
            ("max_attempts", self.attempts),
            ("dial_timeout_ms", self.dial_timeout_ms),
            ("connections_per_node", self.connections),
            ("node_idle_s", self.idle_s),
        ];
        for (key, value) in limits {
            out += &value.map_or(String::new(), |v| format!("{key} = {v}\n"));
        }
        // All members of a balancer are replicas: there is one partition, which every node holds.
        out += &format!(
            "\n[partitions]\ncount = 1\ncells = 1\nholders = 1\ndatabase = \"{database}\"\n\n[[class]]\n\
             name = \"{database}\"\naim_ms = {}\ndeadline_ms = {deadline}\nlate_worth = 0.3\n\n[[database]]\n\
             name = \"{database}\"\nclass = \"{database}\"\n",
            (deadline / 2).max(1)
        );
        for (protocol, port) in [("sru", 8210), ("z3950", 2100)] {
            out += &format!("\n[[listener]]\nprotocol = \"{protocol}\"\nlisten = \"127.0.0.1:{port}\"\n");
        }
        for m in &self.members {
            out += &format!(
                "\n[[node]]\nid = \"{}\"\nprotocol = \"sru\"\naddress = \"{}\"\nzone = \"{}\"\ncell = 0\n{}",
                m.id,
                m.address,
                zone(m),
                m.routing.write()
            );
        }
        if self.deadline_ms.is_none() {
            self.note(0, format!("no time-out is told: the class has {DEFAULT_DEADLINE_MS} ms"));
        }
        self.note(0, "listeners are not in the source: those written are to be checked");
        self.notes.sort_by_key(|n| if n.line == 0 { usize::MAX } else { n.line });
        Ok(Imported { file: out, notes: self.notes })
    }
}
