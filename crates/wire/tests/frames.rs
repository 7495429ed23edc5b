//! Frames between controllers: split into pieces, and invalid ones.

use constants::PEER_VERSION;
use vetchmount_wire::peers::*;

#[test]
fn split_frames_are_decoded_and_invalid_frames_give_distinct_errors() {
    let message = PeerMessage::Hello { node: "n".into() };
    let mut bytes = Vec::new();
    encode_frame(&mut bytes, &message);
    let (mut buffer, mut decoded) = (Vec::new(), Vec::new());
    for byte in &bytes {
        buffer.push(*byte);
        decoded.extend(decode_frame(&mut buffer).expect("valid frame"));
    }
    assert_eq!(decoded, vec![message]);
    let mut other_version = bytes.clone();
    other_version[4] = PEER_VERSION + 1;
    assert_eq!(decode_frame(&mut other_version), Err(FrameError::Version));
    let mut oversized = u32::MAX.to_le_bytes().to_vec();
    assert_eq!(decode_frame(&mut oversized), Err(FrameError::Length));
    let mut undecodable = vec![3, 0, 0, 0, PEER_VERSION, 250, 250];
    assert_eq!(decode_frame(&mut undecodable), Err(FrameError::Content));
}
