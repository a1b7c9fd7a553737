//! What comes between two neighbouring steps of the broker: each test forces one order of events, every time, by a
//! stand-in that holds, cuts or releases at a stated byte or event. Time-outs here only catch a hang.

mod bed;
#[path = "../fronts/clients.rs"]
#[allow(dead_code)]
mod clients;
mod dials;
mod ending;
mod hangups;
mod lists;
mod settings;

use clients::*;
use std::time::Duration;

/// Longer than anything takes that is not hung.
pub const HUNG: Duration = Duration::from_secs(20);
