//! Unit test of the frames exchanged between peers.

use bytes::BytesMut;
use violetwind_fleet::{LeaderRequest, PeerMessage};
use violetwind_proxy::fleet::frames::*;

#[test]
fn frames_round_trip_and_any_altered_byte_is_an_error() {
    let sent = PeerMessage::Request(
        7,
        LeaderRequest::Leave {
            session: 300,
            units_in_use: vec![],
        },
    );
    let mut frame = BytesMut::from(&encode_peer(&sent)[..]);
    assert_eq!(decode_peer(&frame), Ok(Some(sent)));
    for index in 0..frame.len() {
        frame[index] ^= 1;
        assert!(decode_peer(&frame).is_err(), "byte {index}");
        frame[index] ^= 1;
    }
    assert_eq!(decode_peer(&BytesMut::from(&encode_ping()[..])), Ok(None));
    assert!(decode_peer(&BytesMut::from(&b"abc"[..])).is_err());
    let mut handshake = encode_handshake(&Handshake::Refused("no".into())).to_vec();
    handshake[4 + MAGIC.len()] = 9;
    let handshake = with_checksum(handshake);
    let error = decode_handshake(&BytesMut::from(&handshake[..])).unwrap_err();
    assert!(error.contains("version 9"), "{error}");
}
