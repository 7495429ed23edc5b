//! Converts between JSON and CBOR from standard input to standard output, for requests to the service by hand: JSON to
//! CBOR by default, CBOR to JSON with `--decode`.

use std::io::{self, Read, Write};

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let decode = std::env::args().any(|argument| argument == "--decode");
    let mut input = Vec::new();
    io::stdin().read_to_end(&mut input)?;
    let mut output = Vec::new();
    if decode {
        let value: serde_json::Value = ciborium::from_reader(input.as_slice())?;
        serde_json::to_writer_pretty(&mut output, &value)?;
        output.push(b'\n');
    } else {
        let value: serde_json::Value = serde_json::from_slice(&input)?;
        ciborium::into_writer(&value, &mut output)?;
    }
    io::stdout().write_all(&output)?;
    Ok(())
}
