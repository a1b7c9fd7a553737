//! The decision module: where each part is sent, when it is sent again, and which queries are rejected.
//! It has no I/O and no clock. Its settings, events, actions and ids are in `src/api.rs`.

#![deny(missing_docs, rust_2018_idioms)]
#![deny(clippy::too_many_lines, clippy::type_complexity, clippy::cognitive_complexity)]

mod admission;
mod answer;
mod balancer;
mod hedging;
mod latency_estimate;
mod outlier_ejection;
mod replica;
mod replica_selection;
mod request;
mod retry;
mod slow_start;

use self::{admission::*, answer::*, balancer::*, latency_estimate::*, outlier_ejection::*};
use self::{hedging::*, replica::*, request::*, retry::*};
use crate::api::*;

pub use balancer::Balancer;
