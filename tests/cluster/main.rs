//! Brokers that know each other: in simulated time, as frames, and as processes of the real program.

mod frames;
mod links;
mod model;
mod processes;
mod simulated;
