//! The bytes of frames between members, with their length and checksum.

#[path = "../../consensus/tests/encoding/fixture.rs"]
mod fixture;

use bytes::BytesMut;
use fixture::check;
use tokio_util::codec::{Decoder, Encoder};
use violetwind_consensus::NodeId;
use violetwind_fleet::{LeaderRequest, PeerMessage};
use violetwind_proxy::fleet::frames::{
    Handshake, Hello, decode_handshake, decode_peer, encode_handshake, encode_peer, encode_ping,
    frame_codec,
};

/// The bytes of a frame on a link.
fn to_wire(frame: bytes::Bytes) -> Vec<u8> {
    let mut bytes = BytesMut::new();
    frame_codec(1 << 20).encode(frame, &mut bytes).unwrap();
    bytes.to_vec()
}

fn from_wire(bytes: &[u8]) -> BytesMut {
    let mut bytes = BytesMut::from(bytes);
    let frame = frame_codec(1 << 20).decode(&mut bytes).unwrap();
    frame.expect("a whole frame")
}

/// Names each variant: a new one needs a sample.
fn handshake_name(handshake: &Handshake) -> &'static str {
    match handshake {
        Handshake::Hello(_) => "hello",
        Handshake::Refused(_) => "refused",
    }
}

#[test]
fn handshake_frames() {
    let hello = |node_id| Hello {
        fleet: "brink".into(),
        from: "a".into(),
        to: "b".into(),
        node_id,
    };
    let samples = [
        Handshake::Hello(hello(Some(NodeId(301)))),
        Handshake::Hello(hello(None)),
        Handshake::Refused("no".into()),
    ];
    let encode = |sample: &Handshake| to_wire(encode_handshake(sample));
    check(
        "first_frames.hex",
        &samples,
        handshake_name,
        encode,
        |bytes| decode_handshake(&from_wire(bytes)).unwrap(),
    );
}

/// The messages themselves are tested in the crate that defines them; this covers the frame around them.
#[test]
fn peer_frames() {
    let begin_leave = PeerMessage::Request(301, LeaderRequest::BeginLeave { session: 302 });
    let samples = [Some(begin_leave), None];
    let encode = |sample: &Option<PeerMessage>| {
        to_wire(sample.as_ref().map_or_else(encode_ping, encode_peer))
    };
    let name = |sample: &Option<PeerMessage>| if sample.is_some() { "peer" } else { "ping" };
    check("peer_frames.hex", &samples, name, encode, |bytes| {
        decode_peer(&from_wire(bytes)).unwrap()
    });
}
