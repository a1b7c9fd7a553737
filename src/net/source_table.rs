//! The sockets and pipes registered with the poll, each in a slot whose number is its token.

use super::connection::Connection;
use super::datagram::DatagramSocket;
use super::event::{ConnId, DatagramSocketId};
use super::listener::Listener;
use super::signals::Signal;
use mio::net::UnixStream;
use mio::{Interest, Registry, Token};
use slab::Slab;
use std::io;

/// A registered socket or pipe.
#[derive(Debug)]
pub(super) enum Source {
    Listener(Listener),
    Datagrams(DatagramSocket),
    Connection(Box<Connection>),
    Signal { signal: Signal, pipe: UnixStream },
}

impl Source {
    fn register(&mut self, registry: &Registry, token: Token) -> io::Result<()> {
        match self {
            Source::Listener(listener) => registry.register(&mut listener.socket, token, Interest::READABLE),
            Source::Datagrams(datagrams) => {
                registry.register(&mut datagrams.socket, token, Interest::READABLE)
            }
            Source::Connection(connection) => {
                registry.register(&mut connection.stream, token, Interest::READABLE | Interest::WRITABLE)
            }
            Source::Signal { pipe, .. } => registry.register(pipe, token, Interest::READABLE),
        }
    }
}

#[derive(Debug)]
struct Slot {
    serial: u32,
    source: Source,
}

/// All sources. Slots are reused, serial numbers are not.
#[derive(Debug, Default)]
pub(super) struct SourceTable {
    slots: Slab<Slot>,
    last_serial: u32,
}

impl SourceTable {
    /// Registers and stores a source. On an error the source is dropped, which closes it.
    pub fn insert(&mut self, registry: &Registry, mut source: Source) -> io::Result<ConnId> {
        let entry = self.slots.vacant_entry();
        let slot = entry.key();
        source.register(registry, Token(slot))?;
        self.last_serial = self.last_serial.wrapping_add(1);
        let serial = self.last_serial;
        entry.insert(Slot { serial, source });
        Ok(ConnId { slot, serial })
    }

    /// Number of sources.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// The source in a slot, and its identifier, which is meaningful for a connection.
    pub fn get_mut(&mut self, slot: usize) -> Option<(ConnId, &mut Source)> {
        let Slot { serial, source } = self.slots.get_mut(slot)?;
        Some((ConnId { slot, serial: *serial }, source))
    }

    /// The connection, unless it is closed.
    pub fn connection(&self, id: ConnId) -> Option<&Connection> {
        match self.slots.get(id.slot) {
            Some(Slot { serial, source: Source::Connection(c) }) if *serial == id.serial => Some(c),
            _ => None,
        }
    }

    /// The connection, unless it is closed.
    pub fn connection_mut(&mut self, id: ConnId) -> Option<&mut Connection> {
        match self.slots.get_mut(id.slot) {
            Some(Slot { serial, source: Source::Connection(c) }) if *serial == id.serial => Some(c),
            _ => None,
        }
    }

    /// Removes and deregisters a connection.
    pub fn remove_connection(&mut self, registry: &Registry, id: ConnId) -> Option<Box<Connection>> {
        self.connection(id)?;
        let Source::Connection(mut connection) = self.slots.remove(id.slot).source else { return None };
        let _ = registry.deregister(&mut connection.stream);
        Some(connection)
    }

    /// The listener in a slot.
    pub fn listener(&self, slot: usize) -> Option<&Listener> {
        match self.slots.get(slot) {
            Some(Slot { source: Source::Listener(listener), .. }) => Some(listener),
            _ => None,
        }
    }

    /// The slots of an owner's listeners.
    pub fn listeners_of(&self, owner: u8) -> Vec<usize> {
        let owned = |s: &Source| matches!(s, Source::Listener(listener) if listener.owner == owner);
        self.slots.iter().filter(|(_, slot)| owned(&slot.source)).map(|(key, _)| key).collect()
    }

    /// Closes the listener in a slot.
    pub fn remove_listener(&mut self, registry: &Registry, slot: usize) {
        if self.listener(slot).is_some()
            && let Source::Listener(mut listener) = self.slots.remove(slot).source
        {
            let _ = registry.deregister(&mut listener.socket);
        }
    }

    /// The datagram socket.
    pub fn datagram_socket(&self, id: DatagramSocketId) -> Option<&DatagramSocket> {
        match self.slots.get(id.slot) {
            Some(Slot { source: Source::Datagrams(socket), .. }) => Some(socket),
            _ => None,
        }
    }
}
