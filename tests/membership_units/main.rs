//! The parts of membership that need no registry: probation, backoff of polls, staleness.

mod poll_backoff;
mod probation;
mod shared_discovery;
mod staleness;
mod watch_schedule;
