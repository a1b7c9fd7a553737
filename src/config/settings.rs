//! The settings object that the platform and the simulator pass to a broker, and its conversion to the
//! policy's settings.

use crate::api::*;
use serde::Deserialize;
use std::collections::HashMap;

/// The settings object as the platform writes it.
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

/// The names of zones, classes and tenants in a settings object, with the policy's numbers for them.
#[derive(Clone, Debug, Default)]
pub struct Names {
    zones: HashMap<String, u32>,
    classes: HashMap<String, usize>,
    tenants: HashMap<String, usize>,
}

impl Names {
    /// The number of a zone.
    pub fn zone(&self, name: &str) -> Option<u32> {
        self.zones.get(name).copied()
    }

    /// All zones and their numbers.
    pub fn zones(&self) -> &HashMap<String, u32> {
        &self.zones
    }

    /// The number of a class.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.get(name).copied()
    }

    /// The names of all classes, ordered by their numbers.
    pub fn classes(&self) -> Vec<String> {
        let mut classes: Vec<(&String, &usize)> = self.classes.iter().collect();
        classes.sort_unstable_by_key(|(_, number)| **number);
        classes.into_iter().map(|(name, _)| name.clone()).collect()
    }

    /// The number of a tenant.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.tenants.get(name).copied()
    }
}

/// The error for a settings object that can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlatformSettingsError {
    /// A request class has an unknown effect.
    #[error("class {class}: unknown effect {effect}")]
    UnknownEffect {
        /// Name of the class.
        class: String,
        /// The effect.
        effect: String,
    },
    /// A list has fewer values than there are request classes.
    #[error("{list} is shorter than request_classes")]
    ShortList {
        /// Name of the list.
        list: &'static str,
    },
    /// The kind of discovery is unknown.
    #[error("unknown discovery {0}")]
    UnknownDiscovery(String),
}

/// Converts a settings object to the policy's settings, with the names behind the policy's numbers.
///
/// # Errors
///
/// Fails if an effect or the kind of discovery is unknown, or a list has fewer values than there are request
/// classes.
pub fn settings(platform: &PlatformSettings) -> Result<(Settings, Names), PlatformSettingsError> {
    let classes = (0..platform.request_classes.len()).map(|n| platform.class(n));
    let classes: Vec<Class> = classes.collect::<Result<_, _>>()?;
    let discovery = platform.discovery()?;
    let names = platform.names();
    let zone = platform.my_zone.as_ref().and_then(|z| names.zone(z)).unwrap_or(u32::MAX);
    let tenants = platform.tenants();
    let (family, ceilings, rules) = (&platform.family_info, &platform.ceilings, &platform.rules);
    let settings = Settings {
        classes,
        tenants: tenants.iter().map(|t| Tenant { quota_per_s: t.quota_per_s }).collect(),
        over_quota_weight: platform.over_share_worth.unwrap_or(1.0),
        brokers: platform.fleet_size,
        zone,
        shards: family.slices,
        cells: family.positions,
        span: family.span,
        parts_per_call: family.per_call.unwrap_or(1),
        call_work: family.per_call_work_ns.unwrap_or(0),
        discovery,
        max_poll_interval: rules.must_ask_in_ns.unwrap_or(0),
        may_cancel: ceilings.cancel,
        may_health_check: ceilings.probes,
        may_hedge: ceilings.second_copies,
        max_attempts: ceilings.try_limit,
        max_in_flight: ceilings.open_cap,
        may_send_retry_after: ceilings.retry_after.unwrap_or(false),
        max_retry_after: ceilings.max_retry_after_ns.unwrap_or(0),
        retry_budget: rules.retry_budget(),
        answer_slack: rules.answer_slack_ns.unwrap_or(0),
        slow_start_share: rules.cold_share.unwrap_or(1.0),
        slow_start_time: rules.cold_ns.unwrap_or(0),
        overload_multiple: rules.fall_multiple.unwrap_or(0.0),
        overload_time: rules.tip_after_ns.unwrap_or(0),
        round_interval: platform.tick_ns,
        late_failure_cost: platform.tariffs.as_ref().and_then(|t| t.late_fail).unwrap_or(0.0),
    };
    Ok((settings, names))
}

impl WireClass {
    fn idempotency(&self) -> Result<Idempotency, PlatformSettingsError> {
        let window = self.window_ns.unwrap_or(0);
        match (self.effect.as_str(), self.group.as_deref()) {
            ("safe", _) => Ok(Idempotency::Idempotent),
            ("keyed", None | Some("all")) => Ok(Idempotency::IdempotencyKey { window }),
            ("keyed" | "unsafe", _) => Ok(Idempotency::NonIdempotent),
            (effect, _) => {
                let (class, effect) = (self.name.clone(), effect.to_owned());
                Err(PlatformSettingsError::UnknownEffect { class, effect })
            }
        }
    }
}

impl Rules {
    /// The retry budget; `None` if the object has no share or no window.
    fn retry_budget(&self) -> Option<RetryBudget> {
        let (share, window) = (self.extra_share?, self.counted_over_ns?);
        Some(RetryBudget { free: self.budget_free.unwrap_or(0.0), share, window })
    }
}

/// The value of class `n` in an optional list; 0 if it is missing.
fn optional_value(list: &Option<Vec<f64>>, n: usize) -> f64 {
    list.as_ref().and_then(|values| values.get(n).copied()).unwrap_or(0.0)
}

impl PlatformSettings {
    fn class(&self, n: usize) -> Result<Class, PlatformSettingsError> {
        let (class, family) = (&self.request_classes[n], &self.family_info);
        let required = |list: &'static str, values: &[f64]| {
            values.get(n).copied().ok_or(PlatformSettingsError::ShortList { list })
        };
        Ok(Class {
            idempotency: class.idempotency()?,
            latency_objective: class.goal_time_ns,
            objective_per_work: class.aim_stretch.unwrap_or(0.0),
            deadline: class.deadline_ns,
            priority_weight: class.worth,
            late_weight: class.late_worth.unwrap_or(0.0),
            complete_share: required("need_by_class", &family.need_by_class)?,
            min_answer_share: required("min_share", &family.min_share)?,
            partial_value: optional_value(&family.partial_earns, n),
            fetch_parts: optional_value(&family.fetch_parts, n) as u32,
        })
    }

    fn discovery(&self) -> Result<Discovery, PlatformSettingsError> {
        match self.discovery.as_str() {
            "pushed" => Ok(Discovery::Pushed),
            "on_request" => Ok(Discovery::Polled),
            other => Err(PlatformSettingsError::UnknownDiscovery(other.to_owned())),
        }
    }

    fn tenants(&self) -> &[WireTenant] {
        self.tenants.as_deref().unwrap_or(&[])
    }

    fn names(&self) -> Names {
        Names {
            classes: self.request_classes.iter().map(|c| c.name.clone()).zip(0..).collect(),
            tenants: self.tenants().iter().map(|t| t.name.clone()).zip(0..).collect(),
            zones: self.areas.iter().cloned().zip(0..).collect(),
        }
    }

    /// Maximum number of concurrent parts on one connection.
    pub fn streams_per_connection(&self) -> usize {
        self.ceilings.streams_per_conn.unwrap_or(32).max(1) as usize
    }

    /// Timeout for establishing a connection.
    pub fn dial_timeout(&self) -> Nanos {
        self.ceilings.dial_timeout_ns.unwrap_or(250_000_000)
    }

    /// Time after a server's drain notification within which sends to it must stop.
    pub fn drain_grace(&self) -> Nanos {
        self.rules.drain_grace_ns.unwrap_or(2_000_000_000)
    }

    /// Time after which servers close an idle connection.
    pub fn idle_timeout(&self) -> Nanos {
        self.ceilings.conn_idle_ns.unwrap_or(30_000_000_000)
    }
}
