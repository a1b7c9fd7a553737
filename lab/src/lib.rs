//! pebbleturn's laboratory: stand-ins for index nodes and discovery on real sockets, a simulated fleet, and
//! the measurements that use them. The broker does not depend on it; its tests do.
#![forbid(unsafe_code)]

pub mod cluster;
pub mod demo;
pub mod directory;
pub mod fleet;
pub mod herd;
pub mod operation;
pub mod plot;
pub mod restart;
pub mod routing;
pub mod running;
pub mod sim;
pub mod sockets;
pub mod standins;
