//! A client's request on the platform's port, and the answer to it.

use super::RequestContext;
use crate::api::Nanos;
use crate::config::Names;
use crate::engine::{Answer, PartRequest, QueryRequest};
use crate::http::Head;
use serde::{Deserialize, Serialize};
use std::rc::Rc;

#[derive(Deserialize)]
struct Body {
    segments: Vec<Segment>,
    #[serde(default)]
    text: String,
}

#[derive(Deserialize)]
struct Segment {
    segment: u32,
    boost: f64,
    work: Option<f64>,
}

/// Longest request id.
const MAX_ID_BYTES: usize = 128;
/// What the shares of a query's parts may miss 1 by: clients round them.
const WEIGHT_SUM_TOLERANCE: f64 = 1e-3;
/// Longest time a client may ask for.
const MAX_TIME_LEFT_MS: f64 = 3_600_000.0;

/// Reads a query over so many shards; says in a few words what is wrong with one that can't be used.
pub fn read(
    head: &Head,
    body: &[u8],
    names: &Names,
    shards: u32,
) -> Result<QueryRequest<RequestContext>, &'static str> {
    let id = head.header("req-id").ok_or("no Req-Id")?;
    // Guards the frames that the id stands in: it must be one word.
    if id.is_empty() || id.len() > MAX_ID_BYTES || !id.bytes().all(|b| b.is_ascii_graphic()) {
        return Err("an unusable Req-Id");
    }
    let class = head.header("req-kind").ok_or("no Req-Kind")?;
    let class = names.class(class).ok_or("an unknown class")?;
    let time_left = head.header("req-deadline").ok_or("no Req-Deadline")?;
    let time_left = parse_duration(time_left).ok_or("an unusable Req-Deadline")?;
    // Traffic of nobody known has no share to keep to.
    let tenant = head.header("req-owner").and_then(|name| names.tenant(name));
    let key = head.header("cookie").and_then(cookie_key);
    let body: Body = serde_json::from_slice(body).map_err(|_| "a body that is no query")?;
    if body.segments.is_empty() {
        return Err("a query without parts");
    }
    let mut seen = vec![false; shards as usize];
    let mut parts = Vec::with_capacity(body.segments.len());
    for s in &body.segments {
        let is_seen = seen.get_mut(s.segment as usize).ok_or("a shard that is not there")?;
        if std::mem::replace(is_seen, true) {
            return Err("a shard that is named twice");
        }
        if !(0.0..=1.0).contains(&s.boost) {
            return Err("a boost that is no share");
        }
        let work = s.work.filter(|w| w.is_finite() && *w >= 0.0).map(|us| (us * 1e3) as Nanos);
        parts.push(PartRequest { shard: s.segment, weight: s.boost, work });
    }
    // Guards the rule on partial answers: shares that are none would make any answer look whole.
    if (parts.iter().map(|p| p.weight).sum::<f64>() - 1.0).abs() > WEIGHT_SUM_TOLERANCE {
        return Err("boosts that do not add up to 1");
    }
    let retried = head.header("req-retry") == Some("1");
    let payload = Rc::new(RequestContext { id: id.into(), text: body.text });
    Ok(QueryRequest { class, tenant, key, time_left, is_retry: retried, parts, payload })
}

/// A number plus a unit: `m` for milliseconds or `u` for microseconds.
fn parse_duration(text: &str) -> Option<Nanos> {
    let scale = match text.as_bytes().last()? {
        b'm' => 1.0,
        b'u' => 1e-3,
        _ => return None,
    };
    let ms = text[..text.len() - 1].parse::<f64>().ok()? * scale;
    (ms.is_finite() && ms >= 0.0).then(|| (ms.min(MAX_TIME_LEFT_MS) * 1e6) as Nanos)
}

fn cookie_key(cookies: &str) -> Option<u64> {
    let named = cookies.split(';').filter_map(|c| c.trim().split_once('='));
    let (_, value) = named.into_iter().find(|(name, _)| *name == "key")?;
    u64::from_str_radix(value, 16).ok()
}

#[derive(Serialize)]
struct Reply<'a> {
    all_in: bool,
    matches: Vec<Match<'a>>,
}

#[derive(Serialize)]
struct Match<'a> {
    segment: u32,
    payload: &'a str,
}

/// The body of an answer.
pub fn answer(answered: &Answer<String>) -> Vec<u8> {
    let matches = answered.values.iter().map(|v| Match { segment: v.shard, payload: &v.value }).collect();
    serde_json::to_vec(&Reply { all_in: answered.complete, matches }).unwrap_or_default()
}
