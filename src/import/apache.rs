//! Importer for the balancers of an Apache httpd configuration: `BalancerMember`, `ProxySet` and `ProxyPass`.

use super::{Draft, ImportError, Imported, MAX_NUMBER, Member, RoutingSettings, parse_address, parse_weight};
use std::collections::BTreeMap;

/// Splits a configuration into directives and section tags, each with the number of its first line. A line
/// that ends in a backslash continues on the next one.
fn split_directives(text: &str) -> Vec<(usize, Vec<String>)> {
    let (mut out, mut continued, mut first) = (Vec::new(), String::new(), 0);
    for (n, line) in (1..).zip(text.lines()) {
        if continued.is_empty() {
            first = n;
        }
        if let Some(start) = line.strip_suffix('\\') {
            continued += start;
            continued.push(' ');
            continue;
        }
        continued += line;
        let words = split_words(std::mem::take(&mut continued).trim());
        if words.first().is_some_and(|w| !w.starts_with('#')) {
            out.push((first, words));
        }
    }
    out
}

/// Splits a line into words and removes quotes.
fn split_words(line: &str) -> Vec<String> {
    let (mut out, mut word, mut quote, mut is_quoted) = (Vec::new(), String::new(), None, false);
    for c in line.chars() {
        match (c, quote) {
            (c, Some(q)) if c == q => quote = None,
            ('"' | '\'', None) => (quote, is_quoted) = (Some(c), true),
            (c, None) if c.is_whitespace() => {
                if is_quoted || !word.is_empty() {
                    out.push(std::mem::take(&mut word));
                }
                is_quoted = false;
            }
            (c, _) => word.push(c),
        }
    }
    if is_quoted || !word.is_empty() {
        out.push(word);
    }
    out
}

/// Replaces each `${NAME}` in a word by its value from `Define`. Undefined names are left unchanged and added
/// to `unknown`.
fn expand_variables(word: &str, defined: &BTreeMap<String, String>, unknown: &mut Vec<String>) -> String {
    let (mut out, mut rest) = (String::new(), word);
    while let Some((before, after)) = rest.split_once("${") {
        let Some((name, behind)) = after.split_once('}') else { break };
        out += before;
        match defined.get(name) {
            Some(value) => out += value,
            None => {
                out += &format!("${{{name}}}");
                unknown.push(name.to_owned());
            }
        }
        rest = behind;
    }
    out + rest
}

/// Evaluates `Define` and `UnDefine`, and expands variables in all other directives.
fn evaluate_definitions(
    directives: Vec<(usize, Vec<String>)>,
    draft: &mut Draft,
) -> Vec<(usize, Vec<String>)> {
    let (mut names, mut out) = (BTreeMap::new(), Vec::with_capacity(directives.len()));
    for (line, words) in directives {
        let mut unknown = Vec::new();
        let words: Vec<String> = words.iter().map(|w| expand_variables(w, &names, &mut unknown)).collect();
        for name in unknown {
            draft.note(line, format!("${{{name}}} is nowhere defined and stays as it is"));
        }
        match (words[0].to_ascii_lowercase().as_str(), &words[1..]) {
            ("define", [name, rest @ ..]) => {
                names.insert(name.clone(), rest.first().cloned().unwrap_or_default());
            }
            ("undefine", [name, ..]) => {
                names.remove(name);
            }
            _ => out.push((line, words)),
        }
    }
    out
}

/// The name of the balancer in a `balancer://` URL.
fn balancer_name(url: &str) -> Option<&str> {
    let rest = url.get(..11).filter(|s| s.eq_ignore_ascii_case("balancer://")).map(|_| &url[11..])?;
    rest.split('/').next().filter(|n| !n.is_empty())
}

/// Parses a time of httpd: seconds, or a number with the unit `ms`, `s`, `mi`, `min` or `h`.
fn parse_milliseconds(text: &str) -> Option<u64> {
    let digits = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
    let n: u64 = text[..digits].parse().ok()?;
    let scale = match &text[digits..] {
        "" | "s" => 1000,
        "ms" => 1,
        "min" | "mi" => 60_000,
        "h" => 3_600_000,
        _ => return None,
    };
    n.checked_mul(scale).filter(|ms| (1..=MAX_NUMBER).contains(ms))
}

/// Imports a balancer: the one named `wanted`, or the first in the file.
pub fn read(text: &str, wanted: Option<&str>) -> Result<Imported, ImportError> {
    let mut draft = Draft::default();
    let directives = evaluate_definitions(split_directives(text), &mut draft);
    let wanted = wanted.map(str::to_owned).or_else(|| first_balancer(&directives));
    let wanted = wanted.ok_or_else(|| ImportError("there is no balancer".into()))?;
    draft.name = wanted.clone();
    // The balancer of the open section; empty if the section is not about a balancer.
    let mut section: Option<String> = None;
    for (line, words) in &directives {
        let line = *line;
        let name = words[0].to_ascii_lowercase();
        let mut args: Vec<&str> = words[1..].iter().map(String::as_str).collect();
        match name.as_str() {
            "<proxy" => {
                let url = args.first().map_or("", |u| u.trim_end_matches('>'));
                section = Some(balancer_name(url).unwrap_or("").to_owned());
            }
            "</proxy>" => section = None,
            "balancermember" | "proxyset" => {
                // Outside a section, the balancer's URL is the first argument.
                let target = match args.first().and_then(|u| balancer_name(u)) {
                    Some(name) => {
                        args.remove(0);
                        name.to_owned()
                    }
                    None => section.clone().unwrap_or_default(),
                };
                if target != wanted {
                    draft.note(line, format!("{} of another balancer ({target}) is left out", words[0]));
                } else if name == "proxyset" {
                    args.iter().for_each(|a| apply_setting(&mut draft, line, a));
                } else {
                    add_member(&mut draft, line, &args);
                }
            }
            "proxypass" | "proxypassmatch" => {
                let (path, url) = match args[..] {
                    [path, url, ..] => (path, url),
                    [path] => ("", path),
                    [] => ("", ""),
                };
                match balancer_name(url) {
                    Some(target) if target == wanted && name == "proxypass" => {
                        let path = path.trim_matches('/');
                        draft.database = (!path.is_empty()).then(|| path.to_owned());
                        args.iter().skip(2).for_each(|a| apply_setting(&mut draft, line, a));
                    }
                    Some(_) | None => draft.note(line, format!("{} has no counterpart", words[0])),
                }
            }
            _ => draft.note(line, format!("{} has no counterpart", words[0])),
        }
    }
    draft.write()
}

fn first_balancer(directives: &[(usize, Vec<String>)]) -> Option<String> {
    let balancer_of = |w: &Vec<String>| {
        let named = ["<proxy", "balancermember"].contains(&w[0].to_ascii_lowercase().as_str());
        let url = w.get(1).filter(|_| named)?.trim_end_matches('>');
        balancer_name(url).map(str::to_owned)
    };
    directives.iter().find_map(|(_, w)| balancer_of(w))
}

fn add_member(draft: &mut Draft, line: usize, args: &[&str]) {
    let Some((url, settings)) = args.split_first() else {
        return draft.note(line, "BalancerMember has no URL");
    };
    let (scheme, rest) = url.split_once("://").unwrap_or(("", url));
    let default = match scheme.to_ascii_lowercase().as_str() {
        "http" | "h2c" => 80,
        "ajp" => {
            draft.note(line, "AJP has no counterpart: the node must speak SRU at this address");
            8009
        }
        other => {
            return draft.note(line, format!("a member over {other:?} has no counterpart and is left out"));
        }
    };
    let authority = rest.split('/').next().unwrap_or("");
    let path = rest[authority.len()..].trim_matches('/');
    if !path.is_empty() {
        draft
            .note(line, format!("a member's path ({path}) has no counterpart: partitions name the database"));
    }
    let port = authority.rsplit_once(':').filter(|(h, _)| !h.contains('[') || h.ends_with(']'));
    let (host, port) = match port.map(|(h, p)| (h, p.parse::<u16>())) {
        Some((host, Ok(port))) => (host, port),
        Some((_, Err(_))) => {
            return draft.note(line, format!("{url}: the port is not a number from 0 to 65535"));
        }
        None => (authority, default),
    };
    let (mut id, mut route, mut routing) = (authority.to_owned(), String::new(), RoutingSettings::default());
    for s in settings {
        let (key, value) = s.split_once('=').unwrap_or((s, ""));
        let is_imported = match key.to_ascii_lowercase().as_str() {
            "route" => {
                (id, route) = (value.to_owned(), value.to_owned());
                true
            }
            "status" => {
                apply_status(draft, line, value, &mut routing);
                true
            }
            "loadfactor" => parse_weight(value).map(|w| routing.weight = Some(w)).is_some(),
            "lbset" => value.parse().map(|n| routing.set = Some(n)).is_ok(),
            "redirect" if !value.is_empty() => {
                routing.redirect = Some((line, value.to_owned()));
                true
            }
            // Seconds; with 0 the member is retried at once.
            "retry" if value == "0" => {
                routing.retry_ms = Some(0);
                true
            }
            "retry" => parse_milliseconds(value).map(|ms| routing.retry_ms = Some(ms)).is_some(),
            _ => false,
        };
        if !is_imported {
            apply_setting(draft, line, s);
        }
    }
    match parse_address(host, port) {
        Some(address) => draft.add(Member { id, address, zone: None, line, route, routing }),
        None => draft.note(line, format!("{host} is a name: a node needs an address, so it is left out")),
    }
}

/// Applies the letters of `status`: those after a `-` are cleared, those after a `+` are set again.
fn apply_status(draft: &mut Draft, line: usize, letters: &str, routing: &mut RoutingSettings) {
    let mut set = true;
    for c in letters.chars() {
        let value = |name: &'static str| set.then_some(name);
        match c.to_ascii_uppercase() {
            '+' => set = true,
            '-' => set = false,
            'D' => routing.admin_state = value("disabled"),
            'S' => routing.admin_state = value("stopped"),
            'N' => routing.admin_state = value("draining"),
            'R' => routing.spare = value("hot"),
            'H' => routing.spare = value("standby"),
            other => draft.note(line, format!("status {other:?} has no counterpart")),
        }
    }
}

/// Applies a setting that holds for all nodes, or notes that it has no counterpart.
fn apply_setting(draft: &mut Draft, line: usize, word: &str) {
    let (key, value) = word.split_once('=').unwrap_or((word, ""));
    let (ms, n) = (parse_milliseconds(value), value.parse::<u64>().ok().filter(|n| *n > 0));
    let field = match key.to_ascii_lowercase().as_str() {
        "timeout" => ms.map(|_| &mut draft.deadline_ms).zip(ms),
        "connectiontimeout" => ms.map(|_| &mut draft.dial_timeout_ms).zip(ms),
        "ttl" => ms.map(|_| &mut draft.idle_s).zip(ms.map(|ms| ms.div_ceil(1000))),
        "max" => n.map(|_| &mut draft.connections).zip(n),
        // httpd counts only the attempts after the first.
        "maxattempts" => n.map(|_| &mut draft.attempts).zip(n.map(|n| n + 1)),
        _ => None,
    };
    match field {
        Some((field, value)) => {
            if let Some(before) = field.replace(value).filter(|b| *b != value) {
                draft.note(line, format!("{word} replaces {before}: there is one value for all nodes"));
            }
        }
        None => draft.note(line, format!("{word} has no counterpart")),
    }
}
