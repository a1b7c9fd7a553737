//! A listening socket inherited from the process that started this one, by the number of its descriptor.

use filedescriptor::FileDescriptor;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{OwnedFd, RawFd};

/// A listener on a duplicate of the descriptor `fd`; `fd` itself stays open, since whoever passed it may rely
/// on it.
///
/// # Errors
///
/// Fails where `fd` is no open socket, or one that is not bound to `addr`.
pub fn listener(fd: RawFd, addr: SocketAddr) -> io::Result<TcpListener> {
    let file = FileDescriptor::dup(&fd).and_then(|d| d.as_file()).map_err(io::Error::other)?;
    let listener = TcpListener::from(OwnedFd::from(file));
    let bound = listener.local_addr()?;
    // Guards against a descriptor that is something else: the program would serve nobody and never know.
    if bound != addr {
        return Err(io::Error::other(format!("descriptor {fd} is bound to {bound}, not to {addr}")));
    }
    Ok(listener)
}
