//! The encoded form of what members of the replicated log send each other and keep on disk.

#[path = "encoding/fixture.rs"]
mod fixture;

use std::collections::BTreeMap;
use std::fmt::Debug;

use fixture::check;
use serde::Serialize;
use serde::de::DeserializeOwned;
use violetwind_consensus::{
    Body, Disk, Entry, Member, Members, Message, NodeId, Payload, Snapshot, Write,
};

fn check_postcard<T: Debug + PartialEq + Serialize + DeserializeOwned>(
    file: &str,
    samples: &[T],
    name: impl Fn(&T) -> &'static str,
) {
    let encode = |sample: &T| postcard::to_stdvec(sample).unwrap();
    check(file, samples, name, encode, |bytes| {
        postcard::from_bytes(bytes).unwrap()
    });
}

fn members() -> Members {
    let member = |id, name: &str, votes| {
        let name = name.into();
        (NodeId(id), Member { name, votes })
    };
    Members([member(301, "a", true), member(302, "b", false)].into())
}

fn entries() -> Vec<Entry> {
    let payloads = [
        Payload::Nothing,
        Payload::Command(vec![1, 2, 3]),
        Payload::Members(members()),
    ];
    let entry = |(index, payload)| Entry {
        term: 11,
        index,
        payload,
    };
    (21..).zip(payloads).map(entry).collect()
}

fn snapshot() -> Snapshot {
    Snapshot {
        index: 20,
        term: 10,
        members: members(),
        data: vec![4, 5],
    }
}

fn bodies() -> Vec<Body> {
    vec![
        Body::Hello,
        Body::Seen(31),
        Body::PreVote {
            last: 32,
            last_term: 33,
        },
        Body::PreVoted { granted: true },
        Body::PreVoted { granted: false },
        Body::Vote {
            last: 34,
            last_term: 35,
            transfer: true,
        },
        Body::Voted { granted: true },
        Body::Append {
            prev: 36,
            prev_term: 37,
            entries: entries(),
            commit: 38,
            round: 39,
        },
        Body::Appended {
            matched: 40,
            next: Some(41),
            round: 42,
        },
        Body::Appended {
            matched: 40,
            next: None,
            round: 42,
        },
        Body::Piece {
            index: 43,
            term: 44,
            members: members(),
            offset: 45,
            data: vec![6, 7],
            last: true,
            round: 46,
        },
        Body::Pieced {
            index: 47,
            offset: 48,
            round: 49,
        },
        Body::TimeoutNow,
    ]
}

/// Names each variant: a new one needs a sample.
fn body_name(message: &Message) -> &'static str {
    match message.body {
        Body::Hello => "hello",
        Body::Seen(_) => "seen",
        Body::PreVote { .. } => "pre-vote",
        Body::PreVoted { .. } => "pre-voted",
        Body::Vote { .. } => "vote",
        Body::Voted { .. } => "voted",
        Body::Append { .. } => "append",
        Body::Appended { .. } => "appended",
        Body::Piece { .. } => "piece",
        Body::Pieced { .. } => "pieced",
        Body::TimeoutNow => "timeout-now",
    }
}

#[test]
fn messages() {
    let message = |body| Message {
        term: 300,
        durable: 51,
        body,
    };
    let samples: Vec<Message> = bodies().into_iter().map(message).collect();
    check_postcard("messages.hex", &samples, body_name);
}

/// Names each variant: a new one needs a sample.
fn payload_name(entry: &Entry) -> &'static str {
    match entry.payload {
        Payload::Nothing => "nothing",
        Payload::Command(_) => "command",
        Payload::Members(_) => "members",
    }
}

#[test]
fn entries_of_the_log() {
    check_postcard("entries.hex", &entries(), payload_name);
}

#[test]
fn snapshots() {
    check_postcard("snapshot.hex", &[snapshot()], |_| "snapshot");
}

#[test]
fn writes() {
    let full = Write {
        seq: 61,
        term: 62,
        vote: Some(NodeId(63)),
        seen: vec![(NodeId(64), 65)],
        snapshot: Some(snapshot()),
        keep: true,
        truncate: Some(66),
        append: entries(),
    };
    let samples = [full, Write::default()];
    check_postcard("writes.hex", &samples, |_| "write");
}

#[test]
fn what_a_directory_holds() {
    let full = Disk {
        seq: 71,
        term: 72,
        vote: Some(NodeId(73)),
        seen: BTreeMap::from([(NodeId(74), 75)]),
        snapshot: Some(snapshot()),
        entries: entries(),
    };
    check_postcard("disk.hex", &[full, Disk::default()], |_| "disk");
}
