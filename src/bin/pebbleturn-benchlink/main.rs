//! Speaks the wire on standard input and output, with one `Balancer` for each instance. It decides nothing.
#![forbid(unsafe_code)]

mod wire;

use pebbleturn::config::{self, Names};
use pebbleturn::{Action, Balancer, Event};
use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, Write};
use std::process::ExitCode;
use wire::{Form, In, Out, Row};

struct Instance {
    balancer: Balancer,
    names: Names,
    heard: Vec<Event>,
    touched: bool,
}

#[derive(Default)]
struct Adapter {
    instances: BTreeMap<String, Instance>,
    banks: HashMap<u32, Vec<Row>>,
    clock: Option<(u64, u64)>,
    reply: Vec<u8>,
}

fn main() -> ExitCode {
    let stdin = std::io::stdin().lock();
    let mut stdout = std::io::stdout().lock();
    let mut adapter = Adapter::default();
    for (n, line) in stdin.lines().enumerate() {
        let fault = match line {
            Ok(text) if text.trim().is_empty() => continue,
            Ok(text) => adapter.line(&text).and_then(|ready| {
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
        if let Err(fault) = fault {
            eprintln!("pebbleturn-benchlink: line {}: {fault}", n + 1);
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
    fn line(&mut self, text: &str) -> Result<bool, String> {
        let message: In = serde_json::from_str(text).map_err(|e| e.to_string())?;
        let Some((now, batch)) = self.clock else {
            let In::Clock { now_ns, batch } = message else { return Err("a batch starts with CLOCK".into()) };
            self.clock = Some((now_ns, batch));
            return Ok(false);
        };
        match message {
            In::Clock { .. } => return Err("CLOCK inside a batch".into()),
            In::EndOfBatch {} => {
                self.answer(now, batch)?;
                self.clock = None;
                return Ok(true);
            }
            In::PowerOn { root_id, init_seed, params } => {
                let (settings, names) = config::settings(&params).map_err(|e| e.to_string())?;
                let balancer = Balancer::new(settings, init_seed, now).map_err(|e| e.to_string())?;
                let heard = Vec::new();
                self.instances.insert(root_id, Instance { balancer, names, heard, touched: true });
            }
            In::Kill { root_id } => {
                self.instances.remove(&root_id).ok_or_else(|| unknown(&root_id))?;
            }
            In::Rows { bank, entries } => {
                self.banks.insert(bank, entries);
            }
            In::Directory { root_id, form, bank } => {
                let instance = self.instances.get_mut(&root_id).ok_or_else(|| unknown(&root_id))?;
                instance.touched = true;
                if form == Form::Failed {
                    instance.heard.push(Event::WatchFailed);
                } else {
                    let bank = bank.ok_or("a list without its bank")?;
                    let rows = self.banks.get(&bank).ok_or_else(|| format!("no list in bank {bank}"))?;
                    let lines = wire::listed(rows, &instance.names);
                    instance.heard.push(Event::EndpointList { full: form != Form::Changes, entries: lines });
                }
            }
            In::Order(o) => {
                let instance = self.instance(&o.root_id)?;
                let event = wire::order(&o, &instance.names)?;
                instance.heard.push(event);
            }
            In::Response(r) => {
                let event = wire::response(&r)?;
                self.instance(&r.root_id)?.heard.push(event);
            }
            In::Hangup { root_id, xid } => {
                let query = wire::request_id(&xid)?;
                self.instance(&root_id)?.heard.push(Event::ClientDisconnected { query });
            }
            In::Checked { root_id, leaf, how, rtt_ns, pressure } => {
                let (replica, ok, busy) = (pebbleturn::ReplicaId(leaf), how == "ok", wire::busy(&pressure));
                self.instance(&root_id)?.heard.push(Event::HealthChecked {
                    replica,
                    ok,
                    latency: rtt_ns,
                    utilization: busy,
                });
            }
            In::Wakeup { root_id } => self.instance(&root_id)?.heard.push(Event::TimerFired),
            // Parts of a query are not streamed, and no messages are sent between roots.
            In::UnderWay { root_id } | In::Inbox { root_id } => {
                self.instance(&root_id)?;
            }
        }
        Ok(false)
    }

    fn instance(&mut self, root_id: &str) -> Result<&mut Instance, String> {
        let instance = self.instances.get_mut(root_id).ok_or_else(|| unknown(root_id))?;
        instance.touched = true;
        Ok(instance)
    }

    fn answer(&mut self, now: u64, batch: u64) -> Result<(), String> {
        let mut actions: Vec<Action> = Vec::new();
        for (root_id, instance) in self.instances.iter_mut().filter(|(_, i)| i.touched) {
            instance.touched = false;
            actions.clear();
            instance.balancer.round(now, &instance.heard, &mut actions);
            instance.heard.clear();
            for a in &actions {
                put(&mut self.reply, &wire::action(root_id, a))?;
            }
        }
        put(&mut self.reply, &Out::Next { batch })
    }
}

fn put(reply: &mut Vec<u8>, out: &Out) -> Result<(), String> {
    serde_json::to_writer(&mut *reply, out).map_err(|e| e.to_string())?;
    reply.push(b'\n');
    Ok(())
}

fn unknown(root_id: &str) -> String {
    format!("unknown instance {root_id}")
}
