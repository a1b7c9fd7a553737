//! The sections `listener` and `operation`: the addresses at which the broker listens.

use crate::config::diagnostics::{Setting, TomlDocument};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Lowest descriptor that can be inherited; those below are the standard streams.
const FIRST_INHERITED_DESCRIPTOR: i32 = 3;

/// A protocol of catalogue clients and nodes.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Protocol {
    /// SRU 1.1 and 1.2 over HTTP.
    Sru,
    /// Z39.50 version 3.
    Z3950,
}

impl Protocol {
    /// Its name in configuration files and in discovery.
    pub fn name(self) -> &'static str {
        match self {
            Protocol::Sru => "sru",
            Protocol::Z3950 => "z3950",
        }
    }

    /// The protocol with this name.
    pub fn named(name: &str) -> Option<Protocol> {
        [Protocol::Sru, Protocol::Z3950].into_iter().find(|p| p.name() == name)
    }
}

/// An address at which clients connect.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listener {
    /// The protocol of clients at this address.
    pub protocol: Protocol,
    /// The address to listen on.
    pub listen: SocketAddr,
    /// Descriptor of an inherited socket that is bound to the address; if `None`, a socket is opened.
    pub descriptor: Option<i32>,
}

/// The admin endpoint and hot restarts.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Operation {
    /// The address of the admin endpoint; `None` disables it.
    pub listen: Option<SocketAddr>,
    /// The directory through which processes at the same addresses coordinate a hot restart.
    pub hand_over: Option<PathBuf>,
}

/// Checks the addresses and descriptors of both sections.
pub(super) fn check(listeners: &[Listener], operation: &Operation, document: &mut TomlDocument<'_>) {
    if let Some(address) = operation.listen.filter(|address| address.port() != 0)
        && listeners.iter().any(|l| l.listen == address)
    {
        let what = format!("operation: clients connect to {address} already");
        document.report(Setting::new("operation", "listen"), what);
    }
    for (n, listener) in listeners.iter().enumerate() {
        let Some(descriptor) = listener.descriptor else { continue };
        let setting = Setting::nth("listener", n, "descriptor");
        if descriptor < FIRST_INHERITED_DESCRIPTOR {
            document.report(setting, format!("listener: descriptor {descriptor} must be over 2"));
        }
        if listeners[..n].iter().any(|other| other.descriptor == Some(descriptor)) {
            document.report(setting, format!("listener: descriptor {descriptor} is there twice"));
        }
    }
    if operation.hand_over.is_some() && listeners.iter().any(|l| l.descriptor.is_none()) {
        let what = "operation: hand_over needs a descriptor for each listener, which both processes hold";
        document.report(Setting::new("operation", "hand_over"), what);
    }
}
