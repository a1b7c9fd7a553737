//! A fleet in simulated time: the broker's own query engine, decisions and node registry against modelled
//! nodes.
//!
//! Nodes queue parts before their cores, start cold, warm up, and crash when they are overloaded while cold.
//! The simulation is event driven and never sleeps: its run time depends only on the number of events. The
//! same seed gives the same results.

mod node;
mod world;

pub use node::{Node, NodeBehavior, NodeModel};
pub use world::{Broker, Counts, Disturbances, EndpointSource, World, WorldSettings};

use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::Rng;

/// Draws a number uniformly from [0, 1).
pub fn uniform(rng: &mut Pcg64Mcg) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

/// Draws an exponentially distributed interval with this mean, as between the events of a Poisson process.
pub fn exponential(rng: &mut Pcg64Mcg, mean: f64) -> f64 {
    -mean * (1.0 - uniform(rng)).ln()
}
