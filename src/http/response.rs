//! Formatting of responses.

use crate::api::Nanos;

/// Formats a whole response, with its `Content-Length`.
pub fn response(status: u16, headers: &[(&str, &str)], keep_alive: bool, body: &[u8]) -> Vec<u8> {
    let mut out =
        format!("HTTP/1.1 {status} {}\r\nContent-Length: {}\r\n", reason_phrase(status), body.len());
    for (name, value) in headers {
        out += &format!("{name}: {value}\r\n");
    }
    out += if keep_alive { "\r\n" } else { "Connection: close\r\n\r\n" };
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

/// Formats a response 503 that closes the connection, with a `Retry-After` of `wait` nanoseconds unless
/// `wait` is 0.
pub fn service_unavailable(wait: Nanos) -> Vec<u8> {
    let text = retry_after(wait);
    let headers: &[(&str, &str)] = if wait > 0 { &[("Retry-After", &text)] } else { &[] };
    response(503, headers, false, b"")
}

/// The value of `Retry-After` for a wait in nanoseconds: seconds with three decimals.
pub fn retry_after(wait: Nanos) -> String {
    format!("{:.3}", wait as f64 / 1e9)
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        415 => "Unsupported Media Type",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Error",
    }
}
