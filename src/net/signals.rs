//! Signals as bytes on pipes, so that the poll loop sees them as it sees sockets.

use mio::net::UnixStream;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::io;

/// What a signal tells the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// To end in an orderly way: SIGTERM and SIGINT.
    End,
    /// To read its configuration again: SIGHUP.
    Reload,
}

/// The signals that the program catches; from here on none of them kills it.
#[derive(Debug)]
pub struct Signals(pub(super) Vec<(Signal, UnixStream)>);

impl Signals {
    /// Catches them.
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
        Ok(Signals(vec![pipe(Signal::End, &[SIGTERM, SIGINT])?, pipe(Signal::Reload, &[SIGHUP])?]))
    }
}
