//! A fleet in simulated time: the broker's own exchange, decisions and roster against modelled nodes.
//!
//! Nodes queue parts before their cores, start cold, warm up, and fall over when they are pushed while cold.
//! Nothing waits: a day of many nodes takes as long as its events take to work off, and the same seed gives the
//! same figures.

mod node;
mod world;

pub use node::{Node, NodeBehavior, NodeModel};
pub use world::{Broker, Counts, Disturbances, EndpointSource, World, WorldSettings};

use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::Rng;

/// A number in [0, 1).
pub fn uniform(rng: &mut Pcg64Mcg) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

/// A waiting time of this mean, as between events that come by chance.
pub fn exponential(rng: &mut Pcg64Mcg, mean: f64) -> f64 {
    -mean * (1.0 - uniform(rng)).ln()
}
