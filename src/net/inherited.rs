//! Listening sockets inherited from the parent process by descriptor number.

use filedescriptor::FileDescriptor;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{OwnedFd, RawFd};

/// A listener on a duplicate of the descriptor `fd`. `fd` itself stays open, since the parent process may
/// rely on it.
///
/// # Errors
///
/// Fails if `fd` is not an open socket or is not bound to `addr`.
pub fn listener(fd: RawFd, addr: SocketAddr) -> io::Result<TcpListener> {
    let file = FileDescriptor::dup(&fd).and_then(|d| d.as_file()).map_err(io::Error::other)?;
    let listener = TcpListener::from(OwnedFd::from(file));
    let bound = listener.local_addr()?;
    // With a wrong descriptor the process would receive no connections and report no error.
    if bound != addr {
        return Err(io::Error::other(format!("descriptor {fd} is bound to {bound}, not to {addr}")));
    }
    Ok(listener)
}
