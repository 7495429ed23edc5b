//! The head of a message: the start line and the headers that this codec interprets.

use crate::ParseError;
use constants::MAX_HEADER_BYTES;

/// The empty line that separates the head from the body, with the line break before it.
const HEAD_TERMINATOR: &[u8] = b"\r\n\r\n";

/// The head of a request or a response.
pub(crate) struct Head {
    /// The start line.
    pub start_line: String,
    /// Value of `Content-Length`, if the header is present.
    pub content_length: Option<usize>,
    /// Whether the connection is to be closed after the message.
    pub close: bool,
    /// Size of the head in bytes, including its terminator.
    pub size: usize,
}

/// Parses the head at the start of `buf`, if it is complete. `scanned` is the number of bytes that earlier calls have
/// searched for the terminator.
pub(crate) fn parse_head(buf: &[u8], scanned: &mut usize) -> Result<Option<Head>, ParseError> {
    let from = scanned.saturating_sub(HEAD_TERMINATOR.len() - 1);
    let end = buf[from..]
        .windows(HEAD_TERMINATOR.len())
        .position(|window| window == HEAD_TERMINATOR)
        .map(|position| from + position);
    let Some(end) = end else {
        if buf.len() > MAX_HEADER_BYTES {
            return Err(ParseError::TooLarge);
        }
        *scanned = buf.len();
        return Ok(None);
    };
    if end > MAX_HEADER_BYTES {
        return Err(ParseError::TooLarge);
    }
    let text = std::str::from_utf8(&buf[..end]).map_err(|_| ParseError::Malformed)?;
    let mut lines = text.split("\r\n");
    let mut head = Head {
        start_line: lines.next().unwrap_or_default().to_string(),
        content_length: None,
        close: false,
        size: end + HEAD_TERMINATOR.len(),
    };
    for line in lines {
        head.parse_header(line)?;
    }
    Ok(Some(head))
}

impl Head {
    /// Parses a header line. Headers that this codec does not interpret only need to be well-formed.
    fn parse_header(&mut self, line: &str) -> Result<(), ParseError> {
        let (name, value) = line.split_once(':').ok_or(ParseError::Malformed)?;
        if name.is_empty() || name.contains([' ', '\t']) {
            return Err(ParseError::Malformed);
        }
        let value = value.trim();
        if name.eq_ignore_ascii_case("content-length") {
            let length = parse_content_length(value)?;
            if self.content_length.is_some_and(|known| known != length) {
                return Err(ParseError::Malformed);
            }
            self.content_length = Some(length);
        } else if name.eq_ignore_ascii_case("connection") {
            let mut options = value.split(',');
            self.close |= options.any(|option| option.trim().eq_ignore_ascii_case("close"));
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(ParseError::Malformed);
        }
        Ok(())
    }
}

fn parse_content_length(value: &str) -> Result<usize, ParseError> {
    if value.is_empty() || !value.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(ParseError::Malformed);
    }
    value.parse().map_err(|_| ParseError::TooLarge)
}
