//! Sends one request to the admin endpoint and reads its response.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Maximum length of a response, bytes. The rest of a longer one is not read.
const MAX_RESPONSE_BYTES: u64 = 1 << 20;
/// Maximum time for a connection to be established.
const MAX_CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// A response of the broker.
#[derive(Debug)]
pub(super) enum Response {
    /// The request was executed, or a report was sent.
    Success(String),
    /// The request was rejected, for this reason.
    Failure(String),
}

/// Sends a request line and reads the response.
///
/// # Errors
///
/// If the broker can't be reached, does not respond in time, or sends anything but a valid response.
pub(super) fn call(address: SocketAddr, line: &str, timeout: Duration) -> io::Result<Response> {
    let mut stream = TcpStream::connect_timeout(&address, timeout.min(MAX_CONNECT_TIMEOUT))?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    stream.write_all(format!("{line}\n").as_bytes())?;
    let mut text = String::new();
    stream.take(MAX_RESPONSE_BYTES).read_to_string(&mut text)?;
    parse_response(&text)
}

fn parse_response(text: &str) -> io::Result<Response> {
    if let Some(rest) = text.strip_prefix("SUCCESS") {
        Ok(Response::Success(rest.trim().to_owned()))
    } else if let Some(rest) = text.strip_prefix("FAILURE") {
        Ok(Response::Failure(rest.trim().to_owned()))
    } else if let Some(report) = text.strip_suffix("\nEOT\n") {
        Ok(Response::Success(report.trim().to_owned()))
    } else {
        Err(io::Error::new(ErrorKind::InvalidData, "not a response of the admin endpoint"))
    }
}
