//! Handles batches of messages: each instance that takes part in a batch runs one round with its events.

use crate::error::{LineError, RunError};
use crate::translation;
use crate::wire::{InboundMessage, ListKind, OutboundMessage, ReplicaRow};
use pebbleturn::config::{self, Names, PlatformSettings};
use pebbleturn::{Action, Balancer, Event, Nanos};
use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, Write};

/// One simulated broker of the platform.
struct Instance {
    balancer: Balancer,
    names: Names,
    events: Vec<Event>,
    in_batch: bool,
}

/// The batch that is being read.
#[derive(Clone, Copy)]
struct Batch {
    now: Nanos,
    number: u64,
}

/// The instances, and the state of the current batch.
#[derive(Default)]
pub struct Adapter {
    instances: BTreeMap<String, Instance>,
    rows_by_bank: HashMap<u32, Vec<ReplicaRow>>,
    batch: Option<Batch>,
    reply: Vec<u8>,
}

impl Adapter {
    /// Processes the batches of the input until it ends, and writes the reply to each.
    ///
    /// # Errors
    /// The error of the first invalid line; nothing of the reply to its batch is written.
    pub fn run(&mut self, input: impl BufRead, output: &mut impl Write) -> Result<(), RunError> {
        for (index, line) in input.lines().enumerate() {
            let handled = line.map_err(LineError::from).and_then(|text| self.handle_line(&text, output));
            handled.map_err(|source| RunError::Line { number: index + 1, source })?;
        }
        if self.batch.is_some() { Err(RunError::UnfinishedBatch) } else { Ok(()) }
    }

    fn handle_line(&mut self, text: &str, output: &mut impl Write) -> Result<(), LineError> {
        if text.trim().is_empty() {
            return Ok(());
        }
        let message: InboundMessage = serde_json::from_str(text)?;
        match (self.batch, message) {
            (None, InboundMessage::Clock { now_ns, batch }) => {
                self.batch = Some(Batch { now: now_ns, number: batch });
            }
            (None, _) => return Err(LineError::OutsideBatch),
            (Some(_), InboundMessage::Clock { .. }) => return Err(LineError::ClockInsideBatch),
            (Some(batch), InboundMessage::EndOfBatch {}) => {
                self.finish_batch(batch)?;
                self.batch = None;
                output.write_all(&self.reply)?;
                output.flush()?;
                self.reply.clear();
            }
            (Some(batch), message) => self.handle_message(batch.now, message)?,
        }
        Ok(())
    }

    fn handle_message(&mut self, now: Nanos, message: InboundMessage) -> Result<(), LineError> {
        match message {
            // Handled in `handle_line`.
            InboundMessage::Clock { .. } | InboundMessage::EndOfBatch {} => {}
            InboundMessage::PowerOn { root_id, init_seed, params } => {
                self.start_instance(root_id, init_seed, &params, now)?;
            }
            InboundMessage::Kill { root_id } => {
                let killed = self.instances.remove(&root_id);
                killed.ok_or(LineError::UnknownInstance(root_id))?;
            }
            InboundMessage::Rows { bank, entries } => _ = self.rows_by_bank.insert(bank, entries),
            InboundMessage::Directory { root_id, form, bank } => self.on_list(&root_id, form, bank)?,
            InboundMessage::Order(order) => {
                let instance = self.instance(&order.root_id)?;
                let event = translation::order_event(&order, &instance.names)?;
                instance.events.push(event);
            }
            InboundMessage::Response(response) => {
                let event = translation::attempt_ended(&response)?;
                self.instance(&response.root_id)?.events.push(event);
            }
            InboundMessage::Hangup { root_id, xid } => {
                let query = translation::parse_id(&xid)?;
                self.instance(&root_id)?.events.push(Event::ClientDisconnected { query });
            }
            InboundMessage::Checked { root_id, leaf, how, rtt_ns, pressure } => {
                let event = translation::health_checked(leaf, &how, rtt_ns, &pressure);
                self.instance(&root_id)?.events.push(event);
            }
            InboundMessage::Wakeup { root_id } => self.instance(&root_id)?.events.push(Event::TimerFired),
            // Ignored: parts of a query are not streamed, and no messages are sent between instances.
            InboundMessage::UnderWay { root_id } | InboundMessage::Inbox { root_id } => {
                self.instance(&root_id)?;
            }
        }
        Ok(())
    }

    fn start_instance(
        &mut self,
        root_id: String,
        seed: u64,
        params: &PlatformSettings,
        now: Nanos,
    ) -> Result<(), LineError> {
        let (settings, names) = config::settings(params).map_err(|e| LineError::Settings(e.into()))?;
        let balancer = Balancer::new(settings, seed, now).map_err(|e| LineError::Settings(e.into()))?;
        let instance = Instance { balancer, names, events: Vec::new(), in_batch: true };
        self.instances.insert(root_id, instance);
        Ok(())
    }

    fn on_list(&mut self, root_id: &str, kind: ListKind, bank: Option<u32>) -> Result<(), LineError> {
        let unknown = || LineError::UnknownInstance(root_id.to_string());
        let instance = self.instances.get_mut(root_id).ok_or_else(unknown)?;
        instance.in_batch = true;
        if kind == ListKind::Failed {
            instance.events.push(Event::WatchFailed);
            return Ok(());
        }
        let bank = bank.ok_or(LineError::ListWithoutBank)?;
        let rows = self.rows_by_bank.get(&bank).ok_or(LineError::UnknownBank(bank))?;
        let entries = translation::endpoint_entries(rows, &instance.names);
        instance.events.push(Event::EndpointList { full: kind != ListKind::Changes, entries });
        Ok(())
    }

    /// The instance, marked as taking part in the batch.
    fn instance(&mut self, root_id: &str) -> Result<&mut Instance, LineError> {
        let unknown = || LineError::UnknownInstance(root_id.to_string());
        let instance = self.instances.get_mut(root_id).ok_or_else(unknown)?;
        instance.in_batch = true;
        Ok(instance)
    }

    fn finish_batch(&mut self, batch: Batch) -> Result<(), LineError> {
        let mut actions: Vec<Action> = Vec::new();
        for (root_id, instance) in self.instances.iter_mut().filter(|(_, i)| i.in_batch) {
            instance.in_batch = false;
            actions.clear();
            instance.balancer.round(batch.now, &instance.events, &mut actions);
            instance.events.clear();
            for action in &actions {
                write_message(&mut self.reply, &translation::outbound_message(root_id, action))?;
            }
        }
        write_message(&mut self.reply, &OutboundMessage::Next { batch: batch.number })
    }
}

fn write_message(reply: &mut Vec<u8>, message: &OutboundMessage<'_>) -> Result<(), LineError> {
    serde_json::to_writer(&mut *reply, message)?;
    reply.push(b'\n');
    Ok(())
}
