//! Requests and responses: complete, split into pieces, malformed and too large.

use constants::MAX_HEADER_BYTES;
use vetchmount_http::*;

#[test]
fn requests_that_arrive_byte_by_byte_are_parsed_once_and_completely() {
    let mut bytes = Vec::new();
    encode_request(&mut bytes, "POST", "h", "/submissions", b"abc");
    encode_request(&mut bytes, "GET", "h", "/ready", b"");
    let (mut parser, mut requests) = (RequestParser::default(), Vec::new());
    for byte in &bytes {
        parser.feed(&[*byte]);
        while let Some(request) = parser.next_request().expect("valid") {
            requests.push((request.method, request.target, request.body, request.close));
        }
    }
    let post = (
        "POST".to_string(),
        "/submissions".to_string(),
        b"abc".to_vec(),
        false,
    );
    let get = ("GET".to_string(), "/ready".to_string(), Vec::new(), false);
    assert_eq!(requests, vec![post, get]);
    assert!(!parser.is_partial());
}

#[test]
fn malformed_and_oversized_requests_give_different_errors() {
    for (text, expected) in [
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
        assert_eq!(parser.next_request(), Err(expected), "{text:?}");
    }
    let mut parser = RequestParser::default();
    parser.feed(&vec![b'a'; MAX_HEADER_BYTES + 1]);
    assert_eq!(parser.next_request(), Err(ParseError::TooLarge));
}

#[test]
fn responses_round_trip_with_status_body_and_close() {
    let mut bytes = Vec::new();
    encode_response(&mut bytes, 503, Some(2), b"", true);
    encode_response(&mut bytes, 200, None, b"xy", false);
    let mut parser = ResponseParser::default();
    parser.feed(&bytes);
    let first = parser.next_response().expect("valid").expect("complete");
    assert!(first.status == 503 && first.close && first.body.is_empty());
    let second = parser.next_response().expect("valid").expect("complete");
    assert!(second.status == 200 && !second.close && second.body == b"xy");
}
