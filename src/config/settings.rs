//! The settings object that the platform and the simulator hand an instance, in the library's terms.

use crate::api::*;
use serde::Deserialize;
use std::collections::HashMap;

/// The settings object.
#[derive(Clone, Debug, Deserialize)]
pub struct PlatformSettings {
    areas: Vec<String>,
    ceilings: Ceilings,
    discovery: String,
    family_info: FamilyInfo,
    fleet_size: u32,
    my_zone: Option<String>,
    over_share_worth: Option<f64>,
    request_classes: Vec<WireClass>,
    rules: Rules,
    tariffs: Option<Tariffs>,
    tenants: Option<Vec<WireTenant>>,
    tick_ns: u64,
}

#[derive(Clone, Debug, Deserialize)]
struct Ceilings {
    cancel: bool,
    probes: bool,
    second_copies: bool,
    retry_after: Option<bool>,
    max_retry_after_ns: Option<u64>,
    open_cap: u32,
    try_limit: u32,
    conn_idle_ns: Option<u64>,
    dial_timeout_ns: Option<u64>,
    streams_per_conn: Option<u64>,
}

#[derive(Clone, Debug, Deserialize)]
struct FamilyInfo {
    fetch_parts: Option<Vec<f64>>,
    min_share: Vec<f64>,
    need_by_class: Vec<f64>,
    partial_earns: Option<Vec<f64>>,
    per_call: Option<u32>,
    per_call_work_ns: Option<u64>,
    positions: u32,
    slices: u32,
    span: u32,
}

#[derive(Clone, Debug, Deserialize)]
struct WireClass {
    name: String,
    aim_stretch: Option<f64>,
    deadline_ns: u64,
    effect: String,
    goal_time_ns: u64,
    group: Option<String>,
    late_worth: Option<f64>,
    window_ns: Option<u64>,
    worth: f64,
}

#[derive(Clone, Debug, Deserialize)]
struct Rules {
    answer_slack_ns: Option<u64>,
    budget_free: Option<f64>,
    extra_share: Option<f64>,
    counted_over_ns: Option<u64>,
    cold_ns: Option<u64>,
    cold_share: Option<f64>,
    drain_grace_ns: Option<u64>,
    fall_multiple: Option<f64>,
    must_ask_in_ns: Option<u64>,
    tip_after_ns: Option<u64>,
}

#[derive(Clone, Debug, Deserialize)]
struct Tariffs {
    late_fail: Option<f64>,
}

#[derive(Clone, Debug, Deserialize)]
struct WireTenant {
    name: String,
    quota_per_s: f64,
}

/// The names of one instance's settings, as numbers.
#[derive(Clone, Debug, Default)]
pub struct Names {
    zones: HashMap<String, u32>,
    classes: HashMap<String, usize>,
    tenants: HashMap<String, usize>,
}

impl Names {
    /// The place of a zone.
    pub fn zone(&self, name: &str) -> Option<u32> {
        self.zones.get(name).copied()
    }

    /// All zones and their places.
    pub fn zones(&self) -> &HashMap<String, u32> {
        &self.zones
    }

    /// The place of a class.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.get(name).copied()
    }

    /// All classes' names in the order of their places.
    pub fn classes(&self) -> Vec<String> {
        let mut classes: Vec<(&String, &usize)> = self.classes.iter().collect();
        classes.sort_unstable_by_key(|(_, place)| **place);
        classes.into_iter().map(|(name, _)| name.clone()).collect()
    }

    /// The place of a tenant.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.tenants.get(name).copied()
    }
}

/// The settings in the library's terms; an error where the object's can't be read so.
pub fn settings(p: &PlatformSettings) -> Result<(Settings, Names), String> {
    let f = &p.family_info;
    let at = |v: &Option<Vec<f64>>, i: usize| v.as_ref().and_then(|v| v.get(i).copied()).unwrap_or(0.0);
    let mut classes = Vec::new();
    for (i, c) in p.request_classes.iter().enumerate() {
        let window = c.window_ns.unwrap_or(0);
        let effect = match (c.effect.as_str(), c.group.as_deref()) {
            ("safe", _) => Idempotency::Idempotent,
            ("keyed", None | Some("all")) => Idempotency::IdempotencyKey { window },
            ("keyed" | "unsafe", _) => Idempotency::NonIdempotent,
            (other, _) => return Err(format!("class {}: unknown effect {other}", c.name)),
        };
        let need = *f.need_by_class.get(i).ok_or("need_by_class is shorter than request_classes")?;
        let min_share = *f.min_share.get(i).ok_or("min_share is shorter than request_classes")?;
        classes.push(Class {
            idempotency: effect,
            latency_objective: c.goal_time_ns,
            objective_per_work: c.aim_stretch.unwrap_or(0.0),
            deadline: c.deadline_ns,
            priority_weight: c.worth,
            late_weight: c.late_worth.unwrap_or(0.0),
            complete_share: need,
            min_answer_share: min_share,
            partial_value: at(&f.partial_earns, i),
            fetch_parts: at(&f.fetch_parts, i) as u32,
        });
    }
    let discovery = match p.discovery.as_str() {
        "pushed" => Discovery::Pushed,
        "on_request" => Discovery::Polled,
        other => return Err(format!("unknown discovery {other}")),
    };
    let r = &p.rules;
    let budget = match (r.extra_share, r.counted_over_ns) {
        (Some(share), Some(window)) => {
            Some(RetryBudget { free: r.budget_free.unwrap_or(0.0), share, window })
        }
        _ => None,
    };
    let zones: HashMap<String, u32> = p.areas.iter().cloned().zip(0..).collect();
    let tenants = p.tenants.as_deref().unwrap_or(&[]);
    let names = Names {
        classes: p.request_classes.iter().map(|c| c.name.clone()).zip(0..).collect(),
        tenants: tenants.iter().map(|t| t.name.clone()).zip(0..).collect(),
        zones,
    };
    let zone = p.my_zone.as_ref().and_then(|z| names.zones.get(z).copied()).unwrap_or(u32::MAX);
    let settings = Settings {
        classes,
        tenants: tenants.iter().map(|t| Tenant { quota_per_s: t.quota_per_s }).collect(),
        over_quota_weight: p.over_share_worth.unwrap_or(1.0),
        brokers: p.fleet_size,
        zone,
        shards: f.slices,
        cells: f.positions,
        span: f.span,
        parts_per_call: f.per_call.unwrap_or(1),
        call_work: f.per_call_work_ns.unwrap_or(0),
        discovery,
        max_poll_interval: r.must_ask_in_ns.unwrap_or(0),
        may_cancel: p.ceilings.cancel,
        may_health_check: p.ceilings.probes,
        may_hedge: p.ceilings.second_copies,
        max_attempts: p.ceilings.try_limit,
        max_in_flight: p.ceilings.open_cap,
        may_send_retry_after: p.ceilings.retry_after.unwrap_or(false),
        max_retry_after: p.ceilings.max_retry_after_ns.unwrap_or(0),
        retry_budget: budget,
        answer_slack: r.answer_slack_ns.unwrap_or(0),
        slow_start_share: r.cold_share.unwrap_or(1.0),
        slow_start_time: r.cold_ns.unwrap_or(0),
        overload_multiple: r.fall_multiple.unwrap_or(0.0),
        overload_time: r.tip_after_ns.unwrap_or(0),
        round_interval: p.tick_ns,
        late_failure_cost: p.tariffs.as_ref().and_then(|t| t.late_fail).unwrap_or(0.0),
    };
    Ok((settings, names))
}

impl PlatformSettings {
    /// Parts that one connection carries at once.
    pub fn streams(&self) -> usize {
        self.ceilings.streams_per_conn.unwrap_or(32).max(1) as usize
    }

    /// Time in which a connection must be up.
    pub fn dial_timeout(&self) -> Nanos {
        self.ceilings.dial_timeout_ns.unwrap_or(250_000_000)
    }

    /// Time in which sends to a server must cease once it is told that this drains.
    pub fn drain_grace(&self) -> Nanos {
        self.rules.drain_grace_ns.unwrap_or(2_000_000_000)
    }

    /// Time after which an idle connection is closed by its peer.
    pub fn idle(&self) -> Nanos {
        self.ceilings.conn_idle_ns.unwrap_or(30_000_000_000)
    }
}
