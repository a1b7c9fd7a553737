//! Settings and endpoint list entries for tests of the policy and of the engine that drives it.
#![allow(dead_code)]

use pebbleturn::*;

pub const MS: Nanos = 1_000_000;
pub const S: Nanos = 1_000 * MS;

pub fn class(idempotency: Idempotency) -> Class {
    Class {
        idempotency,
        latency_objective: S,
        objective_per_work: 0.0,
        deadline: 3 * S,
        priority_weight: 1.0,
        late_weight: 0.5,
        complete_share: 1.0,
        min_answer_share: 1.0,
        partial_value: 0.9,
        fetch_parts: 0,
    }
}

/// Six shards on six replicas in six cells, three replicas to a shard; every optional action is allowed.
pub fn settings(idempotency: Idempotency) -> Settings {
    Settings {
        classes: vec![class(idempotency)],
        tenants: vec![],
        over_quota_weight: 1.0,
        brokers: 2,
        zone: 0,
        shards: 6,
        cells: 6,
        span: 3,
        parts_per_call: 1,
        call_work: 0,
        discovery: Discovery::Pushed,
        max_poll_interval: 10 * S,
        may_cancel: true,
        may_health_check: true,
        may_hedge: true,
        max_attempts: 3,
        max_in_flight: 1000,
        may_send_retry_after: true,
        max_retry_after: S,
        retry_budget: Some(RetryBudget { free: 20.0, share: 0.1, window: 10 * S }),
        answer_slack: 20 * MS,
        slow_start_share: 0.2,
        slow_start_time: 16 * S,
        overload_multiple: 3.0,
        overload_time: 3 * S,
        round_interval: 5 * MS,
        late_failure_cost: 0.05,
    }
}

pub fn replica_entry(n: u32, state: ReplicaState, started: Option<Nanos>) -> ReplicaEntry {
    ReplicaEntry { replica: ReplicaId(n), zone: 0, cell: n % 6, state, started, weight: 1.0 }
}
