//! The head of a message: the start line, and the headers that matter here.

use crate::ParseError;
use constants::MAX_HEADER_BYTES;

/// What separates the head from the body.
const END_OF_HEAD: &[u8] = b"\r\n\r\n";

/// The head of a request or a response.
pub(crate) struct Head {
    /// The start line.
    pub start: String,
    /// `Content-Length`, if given.
    pub length: Option<usize>,
    /// Whether the connection is to be closed after the message.
    pub close: bool,
    /// Bytes of the head, its end included.
    pub size: usize,
}

/// Parses the head at the start of `buf`, if it is complete. `scanned` are the bytes that were searched for its end
/// before.
pub(crate) fn parse_head(buf: &[u8], scanned: &mut usize) -> Result<Option<Head>, ParseError> {
    let from = scanned.saturating_sub(END_OF_HEAD.len() - 1);
    let end = buf[from..]
        .windows(END_OF_HEAD.len())
        .position(|window| window == END_OF_HEAD)
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
        start: lines.next().unwrap_or_default().to_string(),
        length: None,
        close: false,
        size: end + END_OF_HEAD.len(),
    };
    for line in lines {
        head.add_header(line)?;
    }
    Ok(Some(head))
}

impl Head {
    /// Takes in a header. Those that do not matter here only have to be well-formed.
    fn add_header(&mut self, line: &str) -> Result<(), ParseError> {
        let (name, value) = line.split_once(':').ok_or(ParseError::Malformed)?;
        if name.is_empty() || name.contains([' ', '\t']) {
            return Err(ParseError::Malformed);
        }
        let value = value.trim();
        if name.eq_ignore_ascii_case("content-length") {
            let length = parse_length(value)?;
            if self.length.is_some_and(|known| known != length) {
                return Err(ParseError::Malformed);
            }
            self.length = Some(length);
        } else if name.eq_ignore_ascii_case("connection") {
            let mut options = value.split(',');
            self.close |= options.any(|option| option.trim().eq_ignore_ascii_case("close"));
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(ParseError::Malformed);
        }
        Ok(())
    }
}

fn parse_length(value: &str) -> Result<usize, ParseError> {
    if value.is_empty() || !value.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(ParseError::Malformed);
    }
    value.parse().map_err(|_| ParseError::TooLarge)
}
