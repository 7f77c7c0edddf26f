//! Frames of peers by themselves.

use bytes::BytesMut;
use violetwind_fleet::{LeaderRequest, PeerMessage};
use violetwind_proxy::fleet::frames::*;

#[test]
fn frames_are_read_as_written_and_any_altered_byte_is_told() {
    let sent = PeerMessage::Request(
        7,
        LeaderRequest::Leave {
            session: 300,
            units_in_use: vec![],
        },
    );
    let mut frame = BytesMut::from(&encode_peer(&sent)[..]);
    assert_eq!(decode_peer(&frame), Ok(Some(sent)));
    for at in 0..frame.len() {
        frame[at] ^= 1;
        assert!(decode_peer(&frame).is_err(), "byte {at}");
        frame[at] ^= 1;
    }
    assert_eq!(decode_peer(&BytesMut::from(&encode_ping()[..])), Ok(None));
    assert!(decode_peer(&BytesMut::from(&b"abc"[..])).is_err());
    let mut other = encode_handshake(&Handshake::Refused("no".into())).to_vec();
    other[4 + MAGIC.len()] = 9;
    let other = with_checksum(other);
    let error = decode_handshake(&BytesMut::from(&other[..])).unwrap_err();
    assert!(error.contains("version 9"), "{error}");
}
