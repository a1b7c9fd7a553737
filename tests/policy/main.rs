//! Tests of the policy with scripted events: its rules, its mechanisms, and its behaviour under faults.

#[path = "../common/mod.rs"]
mod common;

mod admission;
mod answer;
mod broker;
mod hedging;
mod interface;
mod list_lease;
mod outlier_ejection;
mod replica_selection;
mod retry;
mod rules;
mod slow_start;
