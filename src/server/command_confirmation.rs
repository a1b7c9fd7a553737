//! Responses to operators' commands that wait until another process at this address would read the command.

use crate::admin::AdminResponse;
use crate::api::Nanos;
use crate::hot_restart::state_directory::UpdateNumber;
use crate::net::ConnId;

/// Longest time for which a response waits, ns: callers are owed one within a second, also while the disk hangs.
const LONGEST_WAIT: Nanos = 500_000_000;
/// Time between two looks whether the command is written, ns.
const CHECK_INTERVAL: Nanos = 2_000_000;

/// A response that waits.
#[derive(Debug)]
struct WaitingResponse {
    caller: ConnId,
    response: AdminResponse,
    /// The update that has the command, once one was published.
    update: Option<UpdateNumber>,
    respond_by: Nanos,
}

/// The responses that wait.
#[derive(Debug, Default)]
pub(super) struct CommandConfirmations(Vec<WaitingResponse>);

impl CommandConfirmations {
    /// The response to a command that was carried out waits from now on.
    pub(super) fn add(&mut self, caller: ConnId, response: AdminResponse, now: Nanos) {
        self.0.push(WaitingResponse { caller, response, update: None, respond_by: now + LONGEST_WAIT });
    }

    /// An update was published, which has all commands that were carried out before.
    pub(super) fn on_published(&mut self, update: UpdateNumber) {
        self.0.iter_mut().for_each(|waiting| _ = waiting.update.get_or_insert(update));
    }

    /// The responses that have waited for long enough.
    pub(super) fn take_due(
        &mut self,
        now: Nanos,
        is_written: impl Fn(UpdateNumber) -> bool,
    ) -> Vec<(ConnId, AdminResponse)> {
        let is_due = |waiting: &WaitingResponse| {
            let is_overdue = now >= waiting.respond_by;
            if is_overdue {
                tracing::warn!("command is confirmed before it is written for the next process");
            }
            is_overdue || waiting.update.is_some_and(&is_written)
        };
        let due = self.0.extract_if(.., |waiting| is_due(waiting));
        due.map(|waiting| (waiting.caller, waiting.response)).collect()
    }

    /// When [`CommandConfirmations::take_due`] is next worth calling.
    pub(super) fn next_deadline(&self, now: Nanos) -> Option<Nanos> {
        (!self.0.is_empty()).then_some(now + CHECK_INTERVAL)
    }
}
