//! The encoding of the messages between a proxy and its successor, and of the file of bans.

#[path = "../../consensus/tests/encoding/fixture.rs"]
mod fixture;

use fixture::check;
use violetwind_service::handover::{
    Connection, HandoverState, Message, decode_bans, decode_frame, encode_frame,
};
use violetwind_service::{Bans, Limits, OperatorChange};

/// One server that is banned, and one whose ban was lifted.
fn bans() -> Bans {
    let (mut bans, limits) = (Bans::default(), Limits::default());
    bans.ban("out", 301, &limits);
    bans.ban("back", 302, &limits);
    bans.unban("back", 303, &limits);
    bans
}

fn changes() -> Vec<Message> {
    let changes = [
        OperatorChange::Offline("a".into()),
        OperatorChange::Online("b".into()),
        OperatorChange::Leave,
        OperatorChange::Join,
    ];
    (11..)
        .zip(changes)
        .map(|(n, change)| Message::Change(n, change))
        .collect()
}

fn messages() -> Vec<Message> {
    let full = HandoverState {
        bans: bans(),
        has_left: true,
        discovery_address: Some("127.0.0.1:7".into()),
        descriptors_in_use: 21,
    };
    let connection = Connection {
        first_line: b"OPEN".to_vec(),
        server: 22,
        load: Some(0.5),
        unanswered_ms: Some(23),
    };
    let bare = Connection {
        load: None,
        unanswered_ms: None,
        ..connection.clone()
    };
    let mut messages = vec![
        Message::Hello,
        Message::State(full),
        Message::State(HandoverState::default()),
        Message::Serving,
        Message::Stopped,
        Message::DescriptorsInUse(31),
    ];
    messages.extend(changes());
    messages.extend([
        Message::ChangeApplied(32),
        Message::ConnectionOffer(33, connection),
        Message::ConnectionOffer(34, bare),
        Message::ConnectionAccepted(35),
        Message::ConnectionDeclined(36),
        Message::ConnectionTransferred(37),
        Message::ConfigReloaded,
        Message::UNDERSTANDS_RELOADS,
    ]);
    messages
}

/// Names each variant: a new one needs a sample.
fn name(message: &Message) -> &'static str {
    match message {
        Message::Hello => "hello",
        Message::State(_) => "state",
        Message::Serving => "serving",
        Message::Stopped => "stopped",
        Message::DescriptorsInUse(_) => "holds",
        Message::Change(_, OperatorChange::Offline(_)) => "change-offline",
        Message::Change(_, OperatorChange::Online(_)) => "change-online",
        Message::Change(_, OperatorChange::Leave) => "change-leave",
        Message::Change(_, OperatorChange::Join) => "change-join",
        Message::ChangeApplied(0) => "understands-reloads",
        Message::ChangeApplied(_) => "in-force",
        Message::ConnectionOffer(..) => "connection",
        Message::ConnectionAccepted(_) => "taken",
        Message::ConnectionDeclined(_) => "not-taken",
        Message::ConnectionTransferred(_) => "yours",
        Message::ConfigReloaded => "config-reloaded",
    }
}

#[test]
fn handover_messages() {
    let limits = Limits::default();
    let encode = |message: &Message| encode_frame(message, &limits).unwrap();
    check("messages.hex", &messages(), name, encode, |bytes| {
        let (message, end) = decode_frame(bytes, &limits)
            .unwrap()
            .expect("a whole frame");
        assert_eq!(end, bytes.len());
        message
    });
}

#[test]
fn bans_file() {
    let limits = Limits::default();
    let encode = |bans: &Bans| encode_frame(bans, &limits).unwrap();
    check(
        "bans.hex",
        &[bans()],
        |_| "bans",
        encode,
        |bytes| decode_bans(bytes, &limits).unwrap(),
    );
}
