//! Signals, delivered over socket pairs so that the poll loop handles them like sockets.

use mio::net::UnixStream;
use mio::{Registry, Token};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::io;
use std::sync::Arc;

/// The action that a signal requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// A graceful shutdown: SIGTERM and SIGINT.
    Shutdown,
    /// A reload of the configuration: SIGHUP.
    Reload,
}

/// The caught signals, each with the read end of its pipe.
#[derive(Debug)]
pub struct Signals(pub(super) Vec<(Signal, UnixStream)>);

impl Signals {
    /// Installs handlers for SIGTERM, SIGINT and SIGHUP; from then on none of them terminates the process.
    /// Returns the operating system's error on failure.
    pub fn catch() -> io::Result<Signals> {
        let pipe = |signal: Signal, numbers: &[i32]| -> io::Result<(Signal, UnixStream)> {
            let (read, write) = std::os::unix::net::UnixStream::pair()?;
            read.set_nonblocking(true)?;
            write.set_nonblocking(true)?;
            for number in numbers {
                signal_hook::low_level::pipe::register(*number, write.try_clone()?)?;
            }
            Ok((signal, UnixStream::from_std(read)))
        };
        Ok(Signals(vec![pipe(Signal::Shutdown, &[SIGTERM, SIGINT])?, pipe(Signal::Reload, &[SIGHUP])?]))
    }
}

/// Wakes the poll loop from another thread with `Signal::Shutdown`. Clones wake the same loop.
#[derive(Clone, Debug)]
pub struct Waker(Arc<mio::Waker>);

impl Waker {
    pub(super) fn new(registry: &Registry, token: Token) -> io::Result<Waker> {
        Ok(Waker(Arc::new(mio::Waker::new(registry, token)?)))
    }

    /// Wakes the loop. Returns the operating system's error on failure.
    pub fn wake(&self) -> io::Result<()> {
        self.0.wake()
    }
}
