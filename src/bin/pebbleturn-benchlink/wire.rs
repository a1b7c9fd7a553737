//! The wire's messages as types, and their translation to and from the library's. No decision here.

use pebbleturn::config::{Names, PlatformSettings};
use pebbleturn::*;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

#[derive(Deserialize)]
#[serde(tag = "verb")]
pub enum InboundMessage {
    #[serde(rename = "CLOCK")]
    Clock { now_ns: u64, batch: u64 },
    #[serde(rename = "EOF_BATCH")]
    EndOfBatch {},
    #[serde(rename = "POWER_ON")]
    PowerOn { root_id: String, init_seed: u64, params: Box<PlatformSettings> },
    #[serde(rename = "KILL")]
    Kill { root_id: String },
    #[serde(rename = "SNAPSHOT_ROWS")]
    Rows { bank: u32, entries: Vec<ReplicaRow> },
    #[serde(rename = "DIRECTORY_UPDATE")]
    Directory { root_id: String, form: ListKind, bank: Option<u32> },
    #[serde(rename = "ORDER")]
    Order(OrderMessage),
    #[serde(rename = "UNDER_WAY")]
    UnderWay { root_id: String },
    #[serde(rename = "RESPONSE")]
    Response(ResponseMessage),
    #[serde(rename = "HANGUP")]
    Hangup { root_id: String, xid: String },
    #[serde(rename = "CHECKED")]
    Checked { root_id: String, leaf: u32, how: String, rtt_ns: u64, pressure: Option<LoadReport> },
    #[serde(rename = "WAKEUP")]
    Wakeup { root_id: String },
    #[serde(rename = "INBOX")]
    Inbox { root_id: String },
}

#[derive(Deserialize, Clone, Copy, PartialEq)]
pub enum ListKind {
    #[serde(rename = "D")]
    Changes,
    #[serde(rename = "F")]
    Full,
    #[serde(rename = "C")]
    LastKnown,
    #[serde(rename = "X")]
    Failed,
}

pub type LoadReport = HashMap<String, Option<f64>>;

#[derive(Deserialize)]
pub struct ReplicaRow {
    pub leaf: u32,
    pub campus: Option<String>,
    #[serde(default)]
    pub place: Option<u32>,
    pub lifecycle: Lifecycle,
    pub online_since_ns: Option<u64>,
}

#[derive(Deserialize, Clone, Copy)]
pub enum Lifecycle {
    #[serde(rename = "IN")]
    In,
    #[serde(rename = "LAME")]
    Lame,
    #[serde(rename = "OUT")]
    Out,
}

#[derive(Deserialize)]
pub struct OrderMessage {
    pub root_id: String,
    pub xid: String,
    pub repeat: Option<bool>,
    pub tier_class: String,
    pub work_ns: Option<u64>,
    pub job_no: u64,
    pub team: Option<serde_json::Value>,
    pub ttl_ns: u64,
    pub amount: Option<f64>,
    pub segment_no: i64,
}

#[derive(Deserialize)]
pub struct ResponseMessage {
    pub root_id: String,
    pub xid: String,
    pub leaf: u32,
    pub rtt_ns: u64,
    pub how: AttemptResult,
    pub attempt: u32,
    pub pressure: Option<LoadReport>,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
pub enum AttemptResult {
    Ok,
    Error,
    Full,
    Timeout,
    ConnectFailed,
    Reset,
    Cancelled,
    Moot,
}

pub fn endpoint_entries(rows: &[ReplicaRow], names: &Names) -> Vec<ReplicaEntry> {
    rows.iter()
        .map(|r| ReplicaEntry {
            replica: ReplicaId(r.leaf),
            zone: r.campus.as_ref().and_then(|z| names.zone(z)).unwrap_or(u32::MAX),
            cell: r.place.unwrap_or(0),
            state: match r.lifecycle {
                Lifecycle::In => ReplicaState::Active,
                Lifecycle::Lame => ReplicaState::Draining,
                Lifecycle::Out => ReplicaState::Removed,
            },
            started: r.online_since_ns.filter(|t| *t > 0),
            weight: 1.0,
        })
        .collect()
}

pub fn order_event(o: &OrderMessage, names: &Names) -> Result<Event, String> {
    let id = parse_id(&o.xid)?;
    if o.segment_no >= 0 {
        let shard = u32::try_from(o.segment_no).map_err(|_| "segment_no is too large")?;
        return Ok(Event::Part { part: id, job: o.job_no, shard, weight: o.amount.unwrap_or(0.0) });
    }
    let class = names.class(&o.tier_class).ok_or_else(|| format!("unknown class {}", o.tier_class))?;
    let tenant = o.team.as_ref().and_then(|t| t.as_str()).and_then(|t| names.tenant(t));
    Ok(Event::Query {
        query: id,
        job: o.job_no,
        class,
        tenant,
        time_left: o.ttl_ns,
        parts: o.amount.unwrap_or(0.0) as u32,
        work: o.work_ns,
        is_retry: o.repeat.unwrap_or(false),
    })
}

pub fn attempt_ended(r: &ResponseMessage) -> Result<Event, String> {
    Ok(Event::AttemptEnded {
        part: parse_id(&r.xid)?,
        replica: ReplicaId(r.leaf),
        attempt: r.attempt,
        latency: r.rtt_ns,
        outcome: match r.how {
            AttemptResult::Ok => Outcome::Ok,
            AttemptResult::Error => Outcome::Error,
            AttemptResult::Full => Outcome::Rejected,
            AttemptResult::Timeout => Outcome::TimedOut,
            AttemptResult::ConnectFailed => Outcome::ConnectFailed,
            AttemptResult::Reset => Outcome::ConnectionReset,
            AttemptResult::Cancelled => Outcome::Cancelled,
            AttemptResult::Moot => Outcome::NotSent,
        },
        utilization: utilization(&r.pressure),
    })
}

pub fn utilization(report: &Option<LoadReport>) -> Option<f64> {
    report.as_ref().and_then(|r| r.get("busy").copied().flatten())
}

/// Reads the 36 characters of an id; only the form that `format_id` writes back unaltered is taken.
pub fn parse_id(text: &str) -> Result<RequestId, String> {
    let digits: String = text.chars().filter(|c| *c != '-').collect();
    let id = u128::from_str_radix(&digits, 16).map(RequestId).map_err(|_| format!("bad id {text}"))?;
    if format_id(id) == text { Ok(id) } else { Err(format!("bad id {text}")) }
}

pub fn format_id(id: RequestId) -> String {
    let h = format!("{:032x}", id.0);
    format!("{}-{}-{}-{}-{}", &h[..8], &h[8..12], &h[12..16], &h[16..20], &h[20..])
}

#[derive(Serialize)]
#[serde(tag = "verb")]
pub enum OutboundMessage<'a> {
    #[serde(rename = "PASS_ON")]
    PassOn { root_id: &'a str, xid: String, leaf: u32, within_ns: u64 },
    #[serde(rename = "CALL_OFF")]
    CallOff { root_id: &'a str, xid: String, attempt: u32 },
    #[serde(rename = "HAND_IN")]
    HandIn { root_id: &'a str, xid: String, full: bool },
    #[serde(rename = "SAY_NO")]
    SayNo { root_id: &'a str, xid: String, not_before_for_ns: u64 },
    #[serde(rename = "REPORT_FAILURE")]
    ReportFailure { root_id: &'a str, xid: String },
    #[serde(rename = "HEALTH_CHECK")]
    HealthCheck { root_id: &'a str, leaf: u32 },
    #[serde(rename = "WATCH")]
    Watch { root_id: &'a str, full: bool },
    #[serde(rename = "WAKE_ME")]
    WakeMe { root_id: &'a str, token: &'a str, wait_ns: u64 },
    #[serde(rename = "NEXT")]
    Next { batch: u64 },
}

pub fn outbound_message<'a>(root_id: &'a str, a: &Action) -> OutboundMessage<'a> {
    match *a {
        Action::Send { part, replica, timeout } => {
            OutboundMessage::PassOn { root_id, xid: format_id(part), leaf: replica.0, within_ns: timeout }
        }
        Action::Cancel { part, attempt } => {
            OutboundMessage::CallOff { root_id, xid: format_id(part), attempt }
        }
        Action::Answer { query, complete: whole } => {
            OutboundMessage::HandIn { root_id, xid: format_id(query), full: whole }
        }
        Action::Reject { query, retry_after: wait } => {
            OutboundMessage::SayNo { root_id, xid: format_id(query), not_before_for_ns: wait }
        }
        Action::Fail { query } => OutboundMessage::ReportFailure { root_id, xid: format_id(query) },
        Action::HealthCheck { replica } => OutboundMessage::HealthCheck { root_id, leaf: replica.0 },
        Action::WatchEndpoints => OutboundMessage::Watch { root_id, full: true },
        Action::SetTimer { after } => OutboundMessage::WakeMe { root_id, token: "look", wait_ns: after },
    }
}
