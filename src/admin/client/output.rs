//! Formats the JSON reports of the admin endpoint as text.

use serde_json::Value;
use std::fmt::Write as _;

/// The metrics as a table: a row for each class, then the metrics of the whole broker. `None` if `line` is
/// not such a report.
pub(super) fn metrics_table(line: &str) -> Option<String> {
    let report: Value = serde_json::from_str(line).ok()?;
    let metrics = report.as_object()?;
    let mut out = format!("{:<24} {:>10} {:>10} {:>10}\n", "class", "ok", "shed", "errors");
    for class in metrics.get("ok")?.as_object()?.keys() {
        let count_of =
            |name: &str| metrics.get(name).and_then(|m| m.get(class)).map_or("-".into(), Value::to_string);
        let _ = writeln!(
            out,
            "{class:<24} {:>10} {:>10} {:>10}",
            count_of("ok"),
            count_of("shed"),
            count_of("errors")
        );
    }
    for (name, value) in metrics.iter().filter(|(_, v)| v.is_number()) {
        let _ = writeln!(out, "{name:<24} {value:>10}");
    }
    Some(out)
}

fn string_field<'v>(value: &'v Value, name: &str) -> &'v str {
    value.get(name).and_then(Value::as_str).unwrap_or("-")
}

/// The brokers of the cluster as a table. `None` if `line` is not such a report.
pub(super) fn peers_table(line: &str) -> Option<String> {
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
        let copy = match peer.get("same_copy").and_then(Value::as_bool) {
            Some(true) => "same",
            Some(false) => "differs",
            None => "-",
        };
        let heard_ms_ago =
            peer.get("heard_ms_ago").filter(|h| !h.is_null()).map_or("-".into(), Value::to_string);
        let _ = writeln!(
            out,
            "{:<24} {:<22} {:<14} {copy:<8} {heard_ms_ago:>12}",
            string_field(peer, "name"),
            string_field(peer, "address"),
            string_field(peer, "is")
        );
    }
    for (reason, count) in report.get("dropped")?.as_object()? {
        let _ = writeln!(out, "not listened to, {count} times: {reason}");
    }
    Some(out)
}

/// The replicated state: an overview, then the commands on each key. `None` if `line` is not such a report.
pub(crate) fn cluster_state_text(line: &str) -> Option<String> {
    let report: Value = serde_json::from_str(line).ok()?;
    let mut out = String::new();
    for name in ["standing", "digest", "facts", "on_disk", "words", "conflicts"] {
        if let Some(value) = report.get(name) {
            let _ = writeln!(out, "{name}: {}", value.as_str().map_or(value.to_string(), str::to_owned));
        }
    }
    for key in report.get("first")?.as_array()? {
        out += &key_history(key);
    }
    Some(out)
}

/// The commands on one key.
fn key_history(key: &Value) -> String {
    let is_set = |name: &str| key.get(name).and_then(Value::as_bool) == Some(true);
    let status = match (is_set("conflict"), is_set("out")) {
        (true, _) => " (conflict: out until it is settled)",
        (false, true) => " (out)",
        _ => "",
    };
    let mut out = format!("{}{status}\n", string_field(key, "of"));
    for command in key.get("words").and_then(Value::as_array).unwrap_or(&Vec::new()) {
        let until = command
            .get("until_ms")
            .and_then(Value::as_u64)
            .map_or(String::new(), |t| format!(", until {t} ms"));
        let _ = writeln!(
            out,
            "  {} by {} at {}, {} ms{until}: {} [{}]",
            string_field(command, "says"),
            string_field(command, "by"),
            string_field(command, "at_broker"),
            command.get("at_ms").unwrap_or(&Value::Null),
            string_field(command, "why"),
            string_field(command, "stamp")
        );
    }
    out
}
