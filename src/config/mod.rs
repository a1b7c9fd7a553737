//! What the program is told at its start.

mod platform;
mod settings;

pub use platform::{ConfigError, Platform};
pub use settings::{Names, Params, settings};
