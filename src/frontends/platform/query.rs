//! Parses client requests on the platform's port and serializes answers.

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

/// Maximum length of a request id.
const MAX_ID_BYTES: usize = 128;
/// Largest accepted deviation from 1 of the sum of a query's weights, which clients round.
const WEIGHT_SUM_TOLERANCE: f64 = 1e-3;
/// Upper bound of the deadline that a client requests.
const MAX_TIME_LEFT_MS: f64 = 3_600_000.0;

/// Parses a query over `shards` shards.
///
/// # Errors
///
/// A short description of the first error found, which is the body of the response.
pub fn read(
    head: &Head,
    body: &[u8],
    names: &Names,
    shards: u32,
) -> Result<QueryRequest<RequestContext>, &'static str> {
    let id = head.header("req-id").ok_or("no Req-Id")?;
    // Frames contain the id as a field between spaces: it must not contain any white space.
    if id.is_empty() || id.len() > MAX_ID_BYTES || !id.bytes().all(|b| b.is_ascii_graphic()) {
        return Err("an unusable Req-Id");
    }
    let class = head.header("req-kind").ok_or("no Req-Kind")?;
    let class = names.class(class).ok_or("an unknown class")?;
    let time_left = head.header("req-deadline").ok_or("no Req-Deadline")?;
    let time_left = parse_duration(time_left).ok_or("an unusable Req-Deadline")?;
    // Queries of unknown tenants are not limited to a share.
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
    // The rule on partial answers needs weights that add up to 1: with others, any answer could count as
    // complete.
    if (parts.iter().map(|p| p.weight).sum::<f64>() - 1.0).abs() > WEIGHT_SUM_TOLERANCE {
        return Err("boosts that do not add up to 1");
    }
    let retried = head.header("req-retry") == Some("1");
    let payload = Rc::new(RequestContext { id: id.into(), text: body.text });
    Ok(QueryRequest { class, tenant, key, time_left, is_retry: retried, parts, payload })
}

/// Parses a number followed by a unit: `m` for milliseconds or `u` for microseconds.
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

/// The response body of an answered query.
pub fn answer(answered: &Answer<String>) -> Vec<u8> {
    let matches = answered.values.iter().map(|v| Match { segment: v.shard, payload: &v.value }).collect();
    serde_json::to_vec(&Reply { all_in: answered.complete, matches }).unwrap_or_default()
}
