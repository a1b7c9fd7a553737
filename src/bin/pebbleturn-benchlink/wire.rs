//! The wire messages of the benchmark platform. Fields and serialized names are as the platform defines them.

use pebbleturn::config::PlatformSettings;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// A message from the platform.
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

/// The kind of an endpoint list.
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

/// A load report: metrics by name. `busy` is the CPU utilization.
pub type LoadReport = HashMap<String, Option<f64>>;

/// A replica in an endpoint list.
#[derive(Deserialize)]
pub struct ReplicaRow {
    pub leaf: u32,
    pub campus: Option<String>,
    #[serde(default)]
    pub place: Option<u32>,
    pub lifecycle: Lifecycle,
    pub online_since_ns: Option<u64>,
}

/// The state of a replica in an endpoint list.
#[derive(Deserialize, Clone, Copy)]
pub enum Lifecycle {
    #[serde(rename = "IN")]
    In,
    #[serde(rename = "LAME")]
    Lame,
    #[serde(rename = "OUT")]
    Out,
}

/// A query, or one of its parts if `segment_no` is not negative.
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

/// The end of an attempt.
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

/// How an attempt ended.
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

/// A message from the adapter.
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
