//! Signals as bytes on a pipe, so that the poll loop sees them as it sees sockets.

use mio::net::UnixStream;
use signal_hook::consts::{SIGINT, SIGTERM};
use std::io;

/// A pipe that has something to read once the program was told to end.
pub fn signals() -> io::Result<UnixStream> {
    let (read, write) = std::os::unix::net::UnixStream::pair()?;
    read.set_nonblocking(true)?;
    write.set_nonblocking(true)?;
    signal_hook::low_level::pipe::register(SIGTERM, write.try_clone()?)?;
    signal_hook::low_level::pipe::register(SIGINT, write)?;
    Ok(UnixStream::from_std(read))
}
