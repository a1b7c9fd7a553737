//! Parts of membership that need no registry: probation, poll backoff, staleness, the schedule of calls to
//! discovery.

mod poll_backoff;
mod probation;
mod shared_discovery;
mod staleness;
mod watch_schedule;
