//! Conversion of the operator's file to the policy's settings.

use super::OperatorConfig;
use super::bounds::MILLISECOND;
use super::classes::QueryClass;
use crate::api::{Class, Discovery, Idempotency, Settings};

/// Value of a partial answer relative to a complete one.
const PARTIAL_ANSWER_VALUE: f64 = 0.9;
/// A node that has just started fails if it gets more than this multiple of its capacity for
/// `OVERLOAD_TIME_MS`.
const OVERLOAD_CAPACITY_MULTIPLE: f64 = 3.0;
/// How long that load must last for the node to fail, ms.
const OVERLOAD_TIME_MS: u64 = 1_500;

impl QueryClass {
    fn policy_class(&self) -> Class {
        Class {
            idempotency: Idempotency::Idempotent,
            latency_objective: self.aim_ms * MILLISECOND,
            objective_per_work: 0.0,
            deadline: self.deadline_ms * MILLISECOND,
            priority_weight: self.worth,
            late_weight: self.late_worth,
            complete_share: 1.0,
            min_answer_share: self.floor,
            partial_value: PARTIAL_ANSWER_VALUE,
            fetch_parts: 0,
        }
    }
}

impl OperatorConfig {
    /// The number of a zone; `u32::MAX` if no node is in it.
    pub fn zone_number(&self, zone: &str) -> u32 {
        let mut zones: Vec<&str> = self.node.iter().map(|n| n.zone.as_str()).collect();
        zones.sort_unstable();
        zones.dedup();
        zones.iter().position(|z| *z == zone).map_or(u32::MAX, |n| n as u32)
    }

    /// The policy's settings.
    pub fn settings(&self) -> Settings {
        let (partitions, limits) = (&self.partitions, &self.limits);
        Settings {
            classes: self.class.iter().map(QueryClass::policy_class).collect(),
            tenants: vec![],
            over_quota_weight: 1.0,
            brokers: self.brokers,
            zone: self.zone_number(&self.zone),
            shards: partitions.count,
            cells: partitions.cells,
            span: partitions.holders,
            // Neither protocol supports several searches in one request.
            parts_per_call: 1,
            call_work: 0,
            discovery: Discovery::Pushed,
            max_poll_interval: 0,
            may_cancel: true,
            may_health_check: false,
            may_hedge: limits.second_copies,
            max_attempts: limits.max_attempts,
            max_in_flight: limits.max_open,
            may_send_retry_after: limits.max_retry_after_ms > 0,
            max_retry_after: limits.max_retry_after_ms * MILLISECOND,
            retry_budget: None,
            answer_slack: 0,
            slow_start_share: 1.0,
            slow_start_time: 0,
            overload_multiple: OVERLOAD_CAPACITY_MULTIPLE,
            overload_time: OVERLOAD_TIME_MS * MILLISECOND,
            round_interval: limits.tick_ms * MILLISECOND,
            late_failure_cost: 0.0,
        }
    }
}
