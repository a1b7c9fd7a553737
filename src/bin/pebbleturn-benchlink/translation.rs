//! Translates the platform's messages to the library's events, and its actions to messages. It makes no
//! decisions.

use crate::error::LineError;
use crate::wire::{
    AttemptResult, Lifecycle, LoadReport, OrderMessage, OutboundMessage, ReplicaRow, ResponseMessage,
};
use pebbleturn::config::Names;
use pebbleturn::{Action, Event, Nanos, Outcome, ReplicaEntry, ReplicaId, ReplicaState, RequestId};

/// The entries of an endpoint list; a zone that is not in the settings becomes `u32::MAX`.
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

/// The event for a query or a part.
///
/// # Errors
/// A malformed id, an unknown class, or a shard number above `u32`.
pub fn order_event(o: &OrderMessage, names: &Names) -> Result<Event, LineError> {
    let id = parse_id(&o.xid)?;
    if o.segment_no >= 0 {
        let shard = u32::try_from(o.segment_no).map_err(|_| LineError::ShardTooLarge)?;
        return Ok(Event::Part { part: id, job: o.job_no, shard, weight: o.amount.unwrap_or(0.0) });
    }
    let unknown = || LineError::UnknownClass(o.tier_class.clone());
    let class = names.class(&o.tier_class).ok_or_else(unknown)?;
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

/// The event for the end of an attempt.
///
/// # Errors
/// A malformed id.
pub fn attempt_ended(r: &ResponseMessage) -> Result<Event, LineError> {
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

/// The event for the result of a health check.
pub fn health_checked(leaf: u32, how: &str, latency: Nanos, report: &Option<LoadReport>) -> Event {
    let (replica, utilization) = (ReplicaId(leaf), utilization(report));
    Event::HealthChecked { replica, ok: how == "ok", latency, utilization }
}

fn utilization(report: &Option<LoadReport>) -> Option<f64> {
    report.as_ref().and_then(|r| r.get("busy").copied().flatten())
}

/// Parses an id of 36 characters.
///
/// # Errors
/// Any text that `format_id` would not reproduce unaltered.
pub fn parse_id(text: &str) -> Result<RequestId, LineError> {
    let digits: String = text.chars().filter(|c| *c != '-').collect();
    let id = u128::from_str_radix(&digits, 16).ok().map(RequestId);
    id.filter(|id| format_id(*id) == text).ok_or_else(|| LineError::MalformedId(text.to_string()))
}

fn format_id(id: RequestId) -> String {
    let h = format!("{:032x}", id.0);
    format!("{}-{}-{}-{}-{}", &h[..8], &h[8..12], &h[12..16], &h[16..20], &h[20..])
}

/// The message for an action.
pub fn outbound_message<'a>(root_id: &'a str, action: &Action) -> OutboundMessage<'a> {
    match *action {
        Action::Send { part, replica, timeout } => {
            OutboundMessage::PassOn { root_id, xid: format_id(part), leaf: replica.0, within_ns: timeout }
        }
        Action::Cancel { part, attempt } => {
            OutboundMessage::CallOff { root_id, xid: format_id(part), attempt }
        }
        Action::Answer { query, complete } => {
            OutboundMessage::HandIn { root_id, xid: format_id(query), full: complete }
        }
        Action::Reject { query, retry_after } => {
            OutboundMessage::SayNo { root_id, xid: format_id(query), not_before_for_ns: retry_after }
        }
        Action::Fail { query } => OutboundMessage::ReportFailure { root_id, xid: format_id(query) },
        Action::HealthCheck { replica } => OutboundMessage::HealthCheck { root_id, leaf: replica.0 },
        Action::WatchEndpoints => OutboundMessage::Watch { root_id, full: true },
        Action::SetTimer { after } => OutboundMessage::WakeMe { root_id, token: "look", wait_ns: after },
    }
}
