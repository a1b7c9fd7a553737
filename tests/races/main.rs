//! Races between two consecutive steps of the broker. Each test forces one order of events deterministically,
//! with a stand-in that holds, cuts or releases a connection at a stated byte or event. Time-outs only catch
//! a hang.

#[path = "../fronts/clients.rs"]
#[allow(dead_code)]
mod clients;
mod dials;
mod ending;
mod fixture;
mod hangups;
mod lists;
mod settings;

use clients::*;
use std::time::Duration;

/// Longer than any operation takes unless it hangs.
pub const HANG_TIMEOUT: Duration = Duration::from_secs(20);
