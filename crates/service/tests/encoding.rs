//! The encoded form of what a proxy and its successor say to each other, and of the file of bans.

#[path = "../../consensus/tests/encoding/fixture.rs"]
mod fixture;

use fixture::check;
use violetwind_service::handover::{Connection, Message, State, frame, read_bans, unframe};
use violetwind_service::{Bans, Change, Limits};

/// One server that is out, and one that is back.
fn bans() -> Bans {
    let (mut bans, limits) = (Bans::default(), Limits::default());
    bans.put_out("out", 301, &limits);
    bans.put_out("back", 302, &limits);
    bans.call_back("back", 303, &limits);
    bans
}

fn changes() -> Vec<Message> {
    let changes = [
        Change::Offline("a".into()),
        Change::Online("b".into()),
        Change::Leave,
        Change::Join,
    ];
    (11..)
        .zip(changes)
        .map(|(n, change)| Message::Change(n, change))
        .collect()
}

fn messages() -> Vec<Message> {
    let full = State {
        bans: bans(),
        left: true,
        discovery: Some("127.0.0.1:7".into()),
        holds: 21,
    };
    let connection = Connection {
        line: b"OPEN".to_vec(),
        server: 22,
        load: Some(0.5),
        waits_ms: Some(23),
    };
    let bare = Connection {
        load: None,
        waits_ms: None,
        ..connection.clone()
    };
    let mut messages = vec![
        Message::Hello,
        Message::State(full),
        Message::State(State::default()),
        Message::Serving,
        Message::Stopped,
        Message::Holds(31),
    ];
    messages.extend(changes());
    messages.extend([
        Message::InForce(32),
        Message::Connection(33, connection),
        Message::Connection(34, bare),
        Message::Taken(35),
        Message::NotTaken(36),
        Message::Yours(37),
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
        Message::Holds(_) => "holds",
        Message::Change(_, Change::Offline(_)) => "change-offline",
        Message::Change(_, Change::Online(_)) => "change-online",
        Message::Change(_, Change::Leave) => "change-leave",
        Message::Change(_, Change::Join) => "change-join",
        Message::InForce(_) => "in-force",
        Message::Connection(..) => "connection",
        Message::Taken(_) => "taken",
        Message::NotTaken(_) => "not-taken",
        Message::Yours(_) => "yours",
    }
}

#[test]
fn messages_of_a_hand_over() {
    let limits = Limits::default();
    let encode = |message: &Message| frame(message, &limits).unwrap();
    check("messages.hex", &messages(), name, encode, |bytes| {
        let (message, end) = unframe(bytes, &limits).unwrap().expect("a whole frame");
        assert_eq!(end, bytes.len());
        message
    });
}

#[test]
fn the_file_of_bans() {
    let limits = Limits::default();
    let encode = |bans: &Bans| frame(bans, &limits).unwrap();
    check(
        "bans.hex",
        &[bans()],
        |_| "bans",
        encode,
        |bytes| read_bans(bytes, &limits).unwrap(),
    );
}
