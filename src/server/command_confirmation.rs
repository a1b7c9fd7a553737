//! Responses to operators' commands, delayed until other processes at this address can read the command.

use crate::admin::AdminResponse;
use crate::api::Nanos;
use crate::hot_restart::state_directory::UpdateNumber;
use crate::net::ConnId;

/// Longest delay of a response, ns: callers must get one within a second, even while the disk hangs.
const MAX_RESPONSE_DELAY: Nanos = 500_000_000;
/// Time between two checks whether the commands have been written, ns.
const CHECK_INTERVAL: Nanos = 2_000_000;

/// A response whose command has not been written yet.
#[derive(Debug)]
struct PendingResponse {
    caller: ConnId,
    response: AdminResponse,
    /// The update that contains the command, once it has been published.
    update: Option<UpdateNumber>,
    respond_by: Nanos,
}

/// The pending responses.
#[derive(Debug, Default)]
pub(super) struct CommandConfirmations(Vec<PendingResponse>);

impl CommandConfirmations {
    /// Adds the response to a command that was carried out.
    pub(super) fn add(&mut self, caller: ConnId, response: AdminResponse, now: Nanos) {
        self.0.push(PendingResponse { caller, response, update: None, respond_by: now + MAX_RESPONSE_DELAY });
    }

    /// Records that an update was published. It contains all commands that were carried out before.
    pub(super) fn on_published(&mut self, update: UpdateNumber) {
        self.0.iter_mut().for_each(|pending| _ = pending.update.get_or_insert(update));
    }

    /// Removes and returns the responses whose commands are written or whose delay is over.
    pub(super) fn take_due(
        &mut self,
        now: Nanos,
        is_written: impl Fn(UpdateNumber) -> bool,
    ) -> Vec<(ConnId, AdminResponse)> {
        let is_due = |pending: &PendingResponse| {
            let is_overdue = now >= pending.respond_by;
            if is_overdue {
                tracing::warn!("command is confirmed before it is written for the next process");
            }
            is_overdue || pending.update.is_some_and(&is_written)
        };
        let due = self.0.extract_if(.., |pending| is_due(pending));
        due.map(|pending| (pending.caller, pending.response)).collect()
    }

    /// When [`CommandConfirmations::take_due`] is next worth calling.
    pub(super) fn next_deadline(&self, now: Nanos) -> Option<Nanos> {
        (!self.0.is_empty()).then_some(now + CHECK_INTERVAL)
    }
}
