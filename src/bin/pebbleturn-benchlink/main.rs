//! Speaks the wire on standard input and output, with one `Balancer` for each instance. It decides nothing.
#![forbid(unsafe_code)]

mod wire;

use pebbleturn::config::{self, Names};
use pebbleturn::{Action, Balancer, Event};
use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, Write};
use std::process::ExitCode;
use wire::{InboundMessage, ListKind, OutboundMessage, ReplicaRow};

struct Instance {
    balancer: Balancer,
    names: Names,
    events: Vec<Event>,
    in_batch: bool,
}

#[derive(Default)]
struct Adapter {
    instances: BTreeMap<String, Instance>,
    lists: HashMap<u32, Vec<ReplicaRow>>,
    clock: Option<(u64, u64)>,
    reply: Vec<u8>,
}

fn main() -> ExitCode {
    let stdin = std::io::stdin().lock();
    let mut stdout = std::io::stdout().lock();
    let mut adapter = Adapter::default();
    for (n, line) in stdin.lines().enumerate() {
        let error = match line {
            Ok(text) if text.trim().is_empty() => continue,
            Ok(text) => adapter.handle_line(&text).and_then(|ready| {
                if ready {
                    stdout
                        .write_all(&adapter.reply)
                        .and_then(|_| stdout.flush())
                        .map_err(|e| e.to_string())?;
                    adapter.reply.clear();
                }
                Ok(())
            }),
            Err(e) => Err(e.to_string()),
        };
        if let Err(error) = error {
            eprintln!("pebbleturn-benchlink: line {}: {error}", n + 1);
            return ExitCode::FAILURE;
        }
    }
    if adapter.clock.is_some() {
        eprintln!("pebbleturn-benchlink: input ended inside a batch");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

impl Adapter {
    /// Takes in one line; true when a whole reply stands in `reply`.
    fn handle_line(&mut self, text: &str) -> Result<bool, String> {
        let message: InboundMessage = serde_json::from_str(text).map_err(|e| e.to_string())?;
        let Some((now, batch)) = self.clock else {
            let InboundMessage::Clock { now_ns, batch } = message else {
                return Err("a batch starts with CLOCK".into());
            };
            self.clock = Some((now_ns, batch));
            return Ok(false);
        };
        match message {
            InboundMessage::Clock { .. } => return Err("CLOCK inside a batch".into()),
            InboundMessage::EndOfBatch {} => {
                self.finish_batch(now, batch)?;
                self.clock = None;
                return Ok(true);
            }
            InboundMessage::PowerOn { root_id, init_seed, params } => {
                let (settings, names) = config::settings(&params)?;
                let balancer = Balancer::new(settings, init_seed, now).map_err(|e| e.to_string())?;
                let events = Vec::new();
                self.instances.insert(root_id, Instance { balancer, names, events, in_batch: true });
            }
            InboundMessage::Kill { root_id } => {
                self.instances.remove(&root_id).ok_or_else(|| unknown_instance(&root_id))?;
            }
            InboundMessage::Rows { bank, entries } => {
                self.lists.insert(bank, entries);
            }
            InboundMessage::Directory { root_id, form, bank } => {
                let instance = self.instances.get_mut(&root_id).ok_or_else(|| unknown_instance(&root_id))?;
                instance.in_batch = true;
                if form == ListKind::Failed {
                    instance.events.push(Event::WatchFailed);
                } else {
                    let bank = bank.ok_or("a list without its bank")?;
                    let rows = self.lists.get(&bank).ok_or_else(|| format!("no list in bank {bank}"))?;
                    let lines = wire::endpoint_entries(rows, &instance.names);
                    instance
                        .events
                        .push(Event::EndpointList { full: form != ListKind::Changes, entries: lines });
                }
            }
            InboundMessage::Order(o) => {
                let instance = self.instance(&o.root_id)?;
                let event = wire::order_event(&o, &instance.names)?;
                instance.events.push(event);
            }
            InboundMessage::Response(r) => {
                let event = wire::attempt_ended(&r)?;
                self.instance(&r.root_id)?.events.push(event);
            }
            InboundMessage::Hangup { root_id, xid } => {
                let query = wire::parse_id(&xid)?;
                self.instance(&root_id)?.events.push(Event::ClientDisconnected { query });
            }
            InboundMessage::Checked { root_id, leaf, how, rtt_ns, pressure } => {
                let (replica, ok, busy) =
                    (pebbleturn::ReplicaId(leaf), how == "ok", wire::utilization(&pressure));
                self.instance(&root_id)?.events.push(Event::HealthChecked {
                    replica,
                    ok,
                    latency: rtt_ns,
                    utilization: busy,
                });
            }
            InboundMessage::Wakeup { root_id } => self.instance(&root_id)?.events.push(Event::TimerFired),
            // Parts of a query are not streamed, and no messages are sent between roots.
            InboundMessage::UnderWay { root_id } | InboundMessage::Inbox { root_id } => {
                self.instance(&root_id)?;
            }
        }
        Ok(false)
    }

    fn instance(&mut self, root_id: &str) -> Result<&mut Instance, String> {
        let instance = self.instances.get_mut(root_id).ok_or_else(|| unknown_instance(root_id))?;
        instance.in_batch = true;
        Ok(instance)
    }

    fn finish_batch(&mut self, now: u64, batch: u64) -> Result<(), String> {
        let mut actions: Vec<Action> = Vec::new();
        for (root_id, instance) in self.instances.iter_mut().filter(|(_, i)| i.in_batch) {
            instance.in_batch = false;
            actions.clear();
            instance.balancer.round(now, &instance.events, &mut actions);
            instance.events.clear();
            for a in &actions {
                write_message(&mut self.reply, &wire::outbound_message(root_id, a))?;
            }
        }
        write_message(&mut self.reply, &OutboundMessage::Next { batch })
    }
}

fn write_message(reply: &mut Vec<u8>, out: &OutboundMessage) -> Result<(), String> {
    serde_json::to_writer(&mut *reply, out).map_err(|e| e.to_string())?;
    reply.push(b'\n');
    Ok(())
}

fn unknown_instance(root_id: &str) -> String {
    format!("unknown instance {root_id}")
}
