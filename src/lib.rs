//! pebbleturn is a broker for sharded, replicated services: it takes a query, sends its parts to replicas
//! of their shards, and gives one answer.
//!
//! The decisions stand apart from everything else. Hand a [`Balancer`] what was heard, carry out the actions it gives back:
//!
//! ```
//! use pebbleturn::*;
//!
//! let class = Class {
//!     effect: Effect::Safe,
//!     aim: 1_000_000_000,
//!     aim_stretch: 0.0,
//!     deadline: 3_000_000_000,
//!     worth: 1.0,
//!     late_worth: 0.2,
//!     need: 1.0,
//!     min_share: 1.0,
//!     partial_earns: 0.0,
//!     fetch_parts: 0,
//! };
//! let settings = Settings {
//!     classes: vec![class],
//!     tenants: vec![],
//!     over_share_worth: 1.0,
//!     roots: 1,
//!     zone: 0,
//!     shards: 2,
//!     cells: 2,
//!     span: 2,
//!     parts_per_call: 1,
//!     call_work: 0,
//!     discovery: Discovery::Pushed,
//!     must_ask_in: 10_000_000_000,
//!     may_cancel: true,
//!     may_probe: true,
//!     may_copy: true,
//!     max_attempts: 3,
//!     max_open: 1000,
//!     may_advise_wait: false,
//!     max_wait: 0,
//!     budget: Some(AttemptBudget { free: 10.0, share: 0.1, window: 10_000_000_000 }),
//!     answer_slack: 20_000_000,
//!     cold_share: 0.2,
//!     cold_time: 15_000_000_000,
//!     fall_multiple: 3.0,
//!     fall_time: 3_000_000_000,
//!     tick: 5_000_000,
//!     late_fail_price: 0.05,
//! };
//! let mut balancer = Balancer::new(settings, 7, 0).unwrap();
//! let listed = |n| {
//!     let (replica, standing) = (ReplicaId(n), Standing::In);
//!     Listed { replica, zone: 0, cell: n, standing, started: None, weight: 1.0 }
//! };
//! let (query, part) = (RequestId(1), RequestId(2));
//! let heard = [
//!     Event::Replicas { full: true, lines: vec![listed(0), listed(1)] },
//!     Event::Query { query, job: 1, class: 0, tenant: None, ttl: 2_000_000_000, parts: 1, work: None, again: false },
//!     Event::Part { part, job: 1, shard: 0, weight: 1.0 },
//! ];
//! let mut actions = Vec::new();
//! balancer.round(0, &heard, &mut actions);
//! let Action::Send { part: sent, replica, .. } = actions[0] else { panic!("the part goes out at once") };
//! assert_eq!(sent, part);
//!
//! let (attempt, latency, outcome) = (0, 90_000_000, Outcome::Ok);
//! actions.clear();
//! balancer.round(latency, &[Event::Ended { part, replica, attempt, latency, outcome, busy: None }], &mut actions);
//! assert!(actions.contains(&Action::Answer { query, whole: true }));
//! ```
#![forbid(unsafe_code)]

pub mod admin;
pub mod api;
pub mod cli;
pub mod cluster;
pub mod config;
pub mod engine;
pub mod frontends;
pub mod gossip;
pub mod hot_restart;
pub mod http;
pub mod import;
pub mod log;
pub mod maintenance;
pub mod membership;
pub mod metrics;
pub mod net;
mod policy;
pub mod replication;
pub mod routing;
pub mod server;
pub mod storage;

pub use api::*;
pub use policy::Balancer;
