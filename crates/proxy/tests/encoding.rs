//! The bytes of frames between members, with their length and checksum.

#[path = "../../consensus/tests/encoding/fixture.rs"]
mod fixture;

use bytes::BytesMut;
use fixture::check;
use tokio_util::codec::{Decoder, Encoder};
use violetwind_consensus::NodeId;
use violetwind_fleet::{Ask, Peer};
use violetwind_proxy::fleet::frames::{
    First, Hello, codec, first, peer, ping, read_first, read_peer,
};

/// A frame as it is on a link.
fn on_the_link(frame: bytes::Bytes) -> Vec<u8> {
    let mut bytes = BytesMut::new();
    codec(1 << 20).encode(frame, &mut bytes).unwrap();
    bytes.to_vec()
}

fn off_the_link(bytes: &[u8]) -> BytesMut {
    let mut bytes = BytesMut::from(bytes);
    let frame = codec(1 << 20).decode(&mut bytes).unwrap();
    frame.expect("a whole frame")
}

/// Names each variant: a new one needs a sample.
fn first_name(first: &First) -> &'static str {
    match first {
        First::Hello(_) => "hello",
        First::Refused(_) => "refused",
    }
}

#[test]
fn first_frames() {
    let hello = |id| Hello {
        fleet: "brink".into(),
        from: "a".into(),
        to: "b".into(),
        id,
    };
    let samples = [
        First::Hello(hello(Some(NodeId(301)))),
        First::Hello(hello(None)),
        First::Refused("no".into()),
    ];
    let encode = |sample: &First| on_the_link(first(sample));
    check("first_frames.hex", &samples, first_name, encode, |bytes| {
        read_first(&off_the_link(bytes)).unwrap()
    });
}

/// What peers say is held in full where it is defined; here is the frame around it.
#[test]
fn frames_of_peers() {
    let retire = Peer::Ask(301, Ask::Retire { session: 302 });
    let samples = [Some(retire), None];
    let encode = |sample: &Option<Peer>| on_the_link(sample.as_ref().map_or_else(ping, peer));
    let name = |sample: &Option<Peer>| if sample.is_some() { "peer" } else { "ping" };
    check("peer_frames.hex", &samples, name, encode, |bytes| {
        read_peer(&off_the_link(bytes)).unwrap()
    });
}
