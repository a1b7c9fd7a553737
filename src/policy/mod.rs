//! The policy: where parts are sent, when they are retried, and which queries are rejected.
//!
//! It has no I/O and no clock. `docs/decision-constants.md` explains the value of each constant. Constants
//! named `*_OBJECTIVES` are multiples of the shortest latency objective, `*_FLEET_MEANS` of the fleet's mean
//! latency.

#![deny(missing_docs, rust_2018_idioms)]
#![deny(clippy::too_many_lines, clippy::type_complexity, clippy::cognitive_complexity)]

mod admission;
mod answer;
mod balancer;
mod hedging;
mod latency_estimate;
mod list_lease;
mod outlier_ejection;
mod replica;
mod replica_selection;
mod request;
mod retry;
mod slow_start;

use self::{admission::*, answer::*, balancer::*, latency_estimate::*, outlier_ejection::*};
use self::{hedging::*, list_lease::*, replica::*, request::*, retry::*};
use crate::api::*;
use std::collections::{BTreeMap, HashMap, VecDeque};

pub use balancer::Balancer;
