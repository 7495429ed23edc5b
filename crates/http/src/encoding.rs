//! Encoding of requests and responses.

/// The reason phrase of a status code.
fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        503 => "Service Unavailable",
        _ => "Status",
    }
}

/// Appends a response to `out`.
pub fn encode_response(
    out: &mut Vec<u8>,
    status: u16,
    retry_after_s: Option<u32>,
    body: &[u8],
    close: bool,
) {
    let mut head = format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status));
    if !body.is_empty() {
        head.push_str("Content-Type: application/cbor\r\n");
    }
    if let Some(seconds) = retry_after_s {
        head.push_str(&format!("Retry-After: {seconds}\r\n"));
    }
    if close {
        head.push_str("Connection: close\r\n");
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    out.extend_from_slice(head.as_bytes());
    out.extend_from_slice(body);
}

/// Appends a request to `out`.
pub fn encode_request(out: &mut Vec<u8>, method: &str, host: &str, target: &str, body: &[u8]) {
    let mut head = format!("{method} {target} HTTP/1.1\r\nHost: {host}\r\n");
    if !body.is_empty() {
        head.push_str("Content-Type: application/cbor\r\n");
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    out.extend_from_slice(head.as_bytes());
    out.extend_from_slice(body);
}
