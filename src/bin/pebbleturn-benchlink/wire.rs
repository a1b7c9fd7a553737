//! The wire's messages as types, and their translation to and from the library's. No decision here.

use pebbleturn::config::{Names, PlatformSettings};
use pebbleturn::*;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

#[derive(Deserialize)]
#[serde(tag = "verb")]
pub enum In {
    #[serde(rename = "CLOCK")]
    Clock { now_ns: u64, batch: u64 },
    #[serde(rename = "EOF_BATCH")]
    EndOfBatch {},
    #[serde(rename = "POWER_ON")]
    PowerOn { root_id: String, init_seed: u64, params: Box<PlatformSettings> },
    #[serde(rename = "KILL")]
    Kill { root_id: String },
    #[serde(rename = "SNAPSHOT_ROWS")]
    Rows { bank: u32, entries: Vec<Row> },
    #[serde(rename = "DIRECTORY_UPDATE")]
    Directory { root_id: String, form: Form, bank: Option<u32> },
    #[serde(rename = "ORDER")]
    Order(Order),
    #[serde(rename = "UNDER_WAY")]
    UnderWay { root_id: String },
    #[serde(rename = "RESPONSE")]
    Response(Response),
    #[serde(rename = "HANGUP")]
    Hangup { root_id: String, xid: String },
    #[serde(rename = "CHECKED")]
    Checked { root_id: String, leaf: u32, how: String, rtt_ns: u64, pressure: Option<Report> },
    #[serde(rename = "WAKEUP")]
    Wakeup { root_id: String },
    #[serde(rename = "INBOX")]
    Inbox { root_id: String },
}

#[derive(Deserialize, Clone, Copy, PartialEq)]
pub enum Form {
    #[serde(rename = "D")]
    Changes,
    #[serde(rename = "F")]
    Full,
    #[serde(rename = "C")]
    LastHeld,
    #[serde(rename = "X")]
    Failed,
}

pub type Report = HashMap<String, Option<f64>>;

#[derive(Deserialize)]
pub struct Row {
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
pub struct Order {
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
pub struct Response {
    pub root_id: String,
    pub xid: String,
    pub leaf: u32,
    pub rtt_ns: u64,
    pub how: How,
    pub attempt: u32,
    pub pressure: Option<Report>,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
pub enum How {
    Ok,
    Error,
    Full,
    Timeout,
    ConnectFailed,
    Reset,
    Cancelled,
    Moot,
}

pub fn listed(rows: &[Row], names: &Names) -> Vec<ReplicaEntry> {
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

pub fn order(o: &Order, names: &Names) -> Result<Event, String> {
    let id = request_id(&o.xid)?;
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

pub fn response(r: &Response) -> Result<Event, String> {
    Ok(Event::AttemptEnded {
        part: request_id(&r.xid)?,
        replica: ReplicaId(r.leaf),
        attempt: r.attempt,
        latency: r.rtt_ns,
        outcome: match r.how {
            How::Ok => Outcome::Ok,
            How::Error => Outcome::Error,
            How::Full => Outcome::Rejected,
            How::Timeout => Outcome::TimedOut,
            How::ConnectFailed => Outcome::ConnectFailed,
            How::Reset => Outcome::ConnectionReset,
            How::Cancelled => Outcome::Cancelled,
            How::Moot => Outcome::NotSent,
        },
        utilization: busy(&r.pressure),
    })
}

pub fn busy(report: &Option<Report>) -> Option<f64> {
    report.as_ref().and_then(|r| r.get("busy").copied().flatten())
}

/// Reads the 36 characters of an id; only the form that `id_text` writes back unaltered is taken.
pub fn request_id(text: &str) -> Result<RequestId, String> {
    let digits: String = text.chars().filter(|c| *c != '-').collect();
    let id = u128::from_str_radix(&digits, 16).map(RequestId).map_err(|_| format!("bad id {text}"))?;
    if id_text(id) == text { Ok(id) } else { Err(format!("bad id {text}")) }
}

pub fn id_text(id: RequestId) -> String {
    let h = format!("{:032x}", id.0);
    format!("{}-{}-{}-{}-{}", &h[..8], &h[8..12], &h[12..16], &h[16..20], &h[20..])
}

#[derive(Serialize)]
#[serde(tag = "verb")]
pub enum Out<'a> {
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

pub fn action<'a>(root_id: &'a str, a: &Action) -> Out<'a> {
    match *a {
        Action::Send { part, replica, timeout } => {
            Out::PassOn { root_id, xid: id_text(part), leaf: replica.0, within_ns: timeout }
        }
        Action::Cancel { part, attempt } => Out::CallOff { root_id, xid: id_text(part), attempt },
        Action::Answer { query, complete: whole } => {
            Out::HandIn { root_id, xid: id_text(query), full: whole }
        }
        Action::Reject { query, retry_after: wait } => {
            Out::SayNo { root_id, xid: id_text(query), not_before_for_ns: wait }
        }
        Action::Fail { query } => Out::ReportFailure { root_id, xid: id_text(query) },
        Action::HealthCheck { replica } => Out::HealthCheck { root_id, leaf: replica.0 },
        Action::WatchEndpoints => Out::Watch { root_id, full: true },
        Action::SetTimer { after } => Out::WakeMe { root_id, token: "look", wait_ns: after },
    }
}
