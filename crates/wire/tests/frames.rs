//! Frames between controllers, whole, split and unreadable.

use constants::PEER_VERSION;
use vetchmount_wire::peers::*;

#[test]
fn frames_survive_splitting_and_bad_ones_are_named() {
    let message = PeerMessage::Hello { node: "n".into() };
    let mut bytes = Vec::new();
    encode_frame(&mut bytes, &message);
    let (mut buf, mut seen) = (Vec::new(), Vec::new());
    for b in &bytes {
        buf.push(*b);
        seen.extend(decode_frame(&mut buf).expect("good frame"));
    }
    assert_eq!(seen, vec![message]);
    let mut other = bytes.clone();
    other[4] = PEER_VERSION + 1;
    assert_eq!(decode_frame(&mut other), Err(FrameError::Version));
    let mut huge = u32::MAX.to_le_bytes().to_vec();
    assert_eq!(decode_frame(&mut huge), Err(FrameError::Length));
    let mut junk = vec![3, 0, 0, 0, PEER_VERSION, 250, 250];
    assert_eq!(decode_frame(&mut junk), Err(FrameError::Content));
}
