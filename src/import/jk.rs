//! Importer for mod_jk's `workers.properties`.

use super::{Draft, ImportError, Imported, MAX_NUMBER, Member, RoutingSettings, parse_address, parse_weight};
use std::collections::BTreeMap;

/// Maximum number of replacements of `$(name)` in one value, and of references that are followed from one
/// worker. Stops definitions that refer to themselves.
const MAX_REPLACEMENTS: usize = 32;

/// A worker's properties, each with its line number.
type Worker = BTreeMap<String, (usize, String)>;

/// Replaces each `$(name)` in a value by the value of that property.
fn expand_variables(value: &str, variables: &BTreeMap<String, String>) -> String {
    let mut value = value.to_owned();
    for _ in 0..MAX_REPLACEMENTS {
        let variable = value.find("$(").and_then(|at| Some((at, at + value[at..].find(')')?)));
        let Some((at, end)) = variable else { break };
        let Some(replacement) = variables.get(&value[at + 2..end]) else { break };
        value.replace_range(at..=end, replacement);
    }
    value
}

/// Imports a load-balancing worker: the one named `wanted`, or the first in the file. If there is none, all
/// workers are imported as members.
pub fn read(text: &str, wanted: Option<&str>) -> Result<Imported, ImportError> {
    let mut draft = Draft::default();
    let mut workers: BTreeMap<String, Worker> = BTreeMap::new();
    let mut variables = BTreeMap::new();
    let mut order: Vec<String> = Vec::new();
    for (line, text) in (1..).zip(text.lines()) {
        let text = text.trim();
        if text.is_empty() || text.starts_with(['#', '!']) {
            continue;
        }
        let Some((key, value)) = text.split_once('=').map(|(k, v)| (k.trim(), v.trim())) else {
            draft.note(line, "missing `=`");
            continue;
        };
        let value = expand_variables(value, &variables);
        variables.insert(key.to_owned(), value.clone());
        match key.strip_prefix("worker.") {
            Some("list" | "maintain") => {}
            Some(rest) => match rest.rsplit_once('.') {
                Some((name, property)) => {
                    if !workers.contains_key(name) {
                        order.push(name.to_owned());
                    }
                    let worker = workers.entry(name.to_owned()).or_default();
                    let before = worker.insert(property.to_owned(), (line, value.clone()));
                    // These properties may be repeated; their values add up.
                    if let Some((first, before)) = before
                        && matches!(property, "balance_workers" | "balanced_workers")
                    {
                        worker.insert(property.to_owned(), (first, format!("{before},{value}")));
                    }
                }
                None => draft.note(line, format!("{key} has no counterpart")),
            },
            // Settings of mod_jk as a whole; all other keys only define variables.
            None if text.starts_with("workers.") => draft.note(line, format!("{key} has no counterpart")),
            None => {}
        }
    }
    let templates: Vec<String> = workers
        .values()
        .filter_map(|w| w.get("reference"))
        .map(|(_, from)| from.trim_start_matches("worker.").to_owned())
        .collect();
    resolve_references(&mut workers, &mut draft);
    let kind = |w: &Worker| w.get("type").map_or("ajp13", |(_, t)| t.as_str()).to_owned();
    let is_lb = |name: &&String| kind(&workers[*name]) == "lb";
    let lb = match wanted {
        Some(name) => Some(name.to_owned()),
        None => order.iter().find(is_lb).cloned(),
    };
    if let Some(name) = lb.as_ref().filter(|n| !workers.contains_key(*n)) {
        return Err(ImportError(format!("there is no worker {name}")));
    }
    draft.name = lb.clone().unwrap_or_else(|| "workers".into());
    let members: Vec<String> = match &lb {
        Some(lb) => {
            let lists = ["balance_workers", "balanced_workers"].iter().filter_map(|k| workers[lb].get(*k));
            let names: Vec<String> = lists
                .flat_map(|(_, v)| v.split([',', ' ', '\t']))
                .filter(|n| !n.is_empty())
                .map(str::to_owned)
                .collect();
            apply_balancer(&workers[lb], &mut draft);
            names
        }
        None => order.clone(),
    };
    for name in &members {
        match workers.get(name) {
            Some(worker) => add_member(name, worker, &kind(worker), &mut draft),
            None => draft.note(0, format!("worker {name} is listed but not defined")),
        }
    }
    let not_imported = order.iter().filter(|n| !members.contains(n) && lb.as_ref() != Some(n));
    // A template is imported through the workers that refer to it.
    for name in not_imported.filter(|n| !templates.contains(n)) {
        let line = workers[name].values().map(|(l, _)| *l).min().unwrap_or(0);
        draft.note(
            line,
            format!("worker {name} belongs to no member of {} and is left out", draft.name.clone()),
        );
    }
    draft.write()
}

/// Fills in the properties that workers inherit from others by `reference`.
fn resolve_references(workers: &mut BTreeMap<String, Worker>, draft: &mut Draft) {
    // References can be chained. Each round follows one step, and a chain has no more steps than workers.
    for _ in 0..workers.len().min(MAX_REPLACEMENTS) {
        let before = workers.clone();
        for worker in workers.values_mut() {
            let Some((_, from)) = worker.get("reference") else { continue };
            let Some(from) = before.get(from.trim_start_matches("worker.")) else { continue };
            for (key, value) in from.iter().filter(|(k, _)| *k != "reference") {
                worker.entry(key.clone()).or_insert_with(|| value.clone());
            }
        }
    }
    let known = workers.clone();
    for worker in workers.values_mut() {
        if let Some((line, from)) = worker.remove("reference")
            && !known.contains_key(from.trim_start_matches("worker."))
        {
            draft.note(line, format!("reference to {from}, which is not defined"));
        }
    }
}

/// Applies the properties of the load-balancing worker.
fn apply_balancer(worker: &Worker, draft: &mut Draft) {
    for (key, (line, value)) in worker {
        match key.as_str() {
            "type" | "balance_workers" | "balanced_workers" => {}
            "retries" => store_number(&mut draft.attempts, value, |n| n, *line, key, &mut draft.notes),
            "recover_time" => match value.parse::<u64>().ok().filter(|s| *s <= MAX_NUMBER / 1000) {
                Some(s) => draft.retry_ms = Some(s * 1000),
                None => draft.note(*line, format!("{key}={value} has no counterpart")),
            },
            _ => draft.note(*line, format!("{key}={value} has no counterpart")),
        }
    }
}

/// Parses a number of at least 1 and stores it, scaled, in a setting that holds for all nodes; notes a value
/// that is replaced or can't be used.
fn store_number(
    field: &mut Option<u64>,
    value: &str,
    scale: impl Fn(u64) -> u64,
    line: usize,
    key: &str,
    notes: &mut Vec<super::Note>,
) {
    let mut note = |text: String| notes.push(super::Note { line, text });
    match value.parse::<u64>() {
        Ok(n) if (1..=MAX_NUMBER / 1000).contains(&n) => {
            if let Some(before) = field.replace(scale(n)).filter(|b| *b != scale(n)) {
                note(format!("{key}={value} replaces {before}: there is one value for all nodes"));
            }
        }
        _ => note(format!("{key}={value} has no counterpart")),
    }
}

fn add_member(name: &str, worker: &Worker, kind: &str, draft: &mut Draft) {
    let line = worker.values().map(|(l, _)| *l).min().unwrap_or(0);
    let get = |key: &str| worker.get(key).map(|(_, v)| v.as_str());
    if !matches!(kind, "ajp13" | "ajp14") {
        return draft.note(line, format!("worker {name} of type {kind} has no counterpart and is left out"));
    }
    let activation = get("activation").unwrap_or("active").to_ascii_lowercase();
    let mut routing = RoutingSettings { retry_ms: draft.retry_ms, ..RoutingSettings::default() };
    match activation.as_str() {
        "active" | "a" => {}
        "disabled" | "d" => routing.admin_state = Some("disabled"),
        "stopped" | "s" => routing.admin_state = Some("stopped"),
        other => draft.note(line, format!("worker {name}: activation {other:?} is none that there is")),
    }
    // The older form of `activation=disabled`.
    if get("disabled").is_some_and(|d| d == "1" || d.eq_ignore_ascii_case("true")) {
        routing.admin_state = Some("disabled");
    }
    draft.note(
        line,
        format!("worker {name}: AJP has no counterpart: the node must speak SRU at this address"),
    );
    let (mut id, mut zone, mut route) = (name.to_owned(), None, name.to_owned());
    for (key, (line, value)) in worker {
        let d = &mut *draft;
        match key.as_str() {
            "type" | "host" | "port" | "activation" | "disabled" => {}
            "route" | "jvm_route" => (id, route) = (value.clone(), value.clone()),
            "redirect" => routing.redirect = Some((*line, value.clone())),
            "lbfactor" if parse_weight(value).is_some() => routing.weight = parse_weight(value),
            // mod_jk uses the nearest worker that is usable; sets have the same effect.
            "distance" if value.parse::<u32>().is_ok() => routing.set = value.parse().ok(),
            "domain" => zone = Some(value.clone()),
            "reply_timeout" => store_number(&mut d.deadline_ms, value, |ms| ms, *line, key, &mut d.notes),
            "socket_connect_timeout" | "connect_timeout" => {
                store_number(&mut d.dial_timeout_ms, value, |ms| ms, *line, key, &mut d.notes);
            }
            "connection_pool_size" | "cachesize" => {
                store_number(&mut d.connections, value, |n| n, *line, key, &mut d.notes);
            }
            "connection_pool_timeout" | "cache_timeout" => {
                store_number(&mut d.idle_s, value, |s| s, *line, key, &mut d.notes);
            }
            "retries" => store_number(&mut d.attempts, value, |n| n, *line, key, &mut d.notes),
            _ => d.note(*line, format!("{key}={value} has no counterpart")),
        }
    }
    let host = get("host").unwrap_or("localhost");
    let Ok(port) = get("port").unwrap_or("8009").parse::<u16>() else {
        return draft.note(line, format!("worker {name}: the port is not a number from 0 to 65535"));
    };
    match parse_address(host, port) {
        Some(address) => draft.add(Member { id, address, zone, line, route, routing }),
        None => draft.note(line, format!("{host} is a name: a node needs an address, so {name} is left out")),
    }
}
