//! Requests and responses, whole, split and malformed.

use constants::MAX_HEADER_BYTES;
use vetchmount_http::*;

#[test]
fn a_request_split_at_every_byte_is_read_once_and_whole() {
    let mut bytes = Vec::new();
    encode_request(&mut bytes, "POST", "h", "/submissions", b"abc");
    encode_request(&mut bytes, "GET", "h", "/ready", b"");
    let (mut parser, mut seen) = (RequestParser::default(), Vec::new());
    for b in &bytes {
        parser.feed(&[*b]);
        while let Some(r) = parser.next_request().expect("valid") {
            seen.push((r.method, r.target, r.body, r.close));
        }
    }
    let post = (
        "POST".to_string(),
        "/submissions".to_string(),
        b"abc".to_vec(),
        false,
    );
    let get = ("GET".to_string(), "/ready".to_string(), Vec::new(), false);
    assert_eq!(seen, vec![post, get]);
    assert!(!parser.is_partial());
}

#[test]
fn bad_and_oversized_requests_are_told_apart() {
    for (text, wanted) in [
        ("nonsense\r\n\r\n", ParseError::Malformed),
        ("GET / HTTP/2\r\n\r\n", ParseError::Malformed),
        (
            "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
            ParseError::Malformed,
        ),
        (
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
            ParseError::Malformed,
        ),
        (
            "POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n",
            ParseError::TooLarge,
        ),
    ] {
        let mut parser = RequestParser::default();
        parser.feed(text.as_bytes());
        assert_eq!(parser.next_request(), Err(wanted), "{text:?}");
    }
    let mut parser = RequestParser::default();
    parser.feed(&vec![b'a'; MAX_HEADER_BYTES + 1]);
    assert_eq!(parser.next_request(), Err(ParseError::TooLarge));
}

#[test]
fn responses_keep_status_body_and_close() {
    let mut bytes = Vec::new();
    encode_response(&mut bytes, 503, Some(2), b"", true);
    encode_response(&mut bytes, 200, None, b"xy", false);
    let mut parser = ResponseParser::default();
    parser.feed(&bytes);
    let first = parser.next_response().expect("valid").expect("whole");
    assert!(first.status == 503 && first.close && first.body.is_empty());
    let second = parser.next_response().expect("valid").expect("whole");
    assert!(second.status == 200 && !second.close && second.body == b"xy");
}
