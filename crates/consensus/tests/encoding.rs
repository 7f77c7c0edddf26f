//! The encoding of the messages between members of the replicated log, and of their durable state.

#[path = "encoding/fixture.rs"]
mod fixture;

use std::collections::BTreeMap;
use std::fmt::Debug;

use fixture::check;
use serde::Serialize;
use serde::de::DeserializeOwned;
use violetwind_consensus::{
    DurableState, DurableWrite, Entry, Member, Members, Message, MessageBody, NodeId, Payload,
    Snapshot,
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
    let member = |id, name: &str, is_voter| {
        let name = name.into();
        (NodeId(id), Member { name, is_voter })
    };
    Members([member(301, "a", true), member(302, "b", false)].into())
}

fn entries() -> Vec<Entry> {
    let payloads = [
        Payload::Noop,
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

fn bodies() -> Vec<MessageBody> {
    vec![
        MessageBody::StalenessRequest,
        MessageBody::StalenessResponse(31),
        MessageBody::PreVoteRequest {
            last_index: 32,
            last_term: 33,
        },
        MessageBody::PreVoteResponse { granted: true },
        MessageBody::PreVoteResponse { granted: false },
        MessageBody::VoteRequest {
            last_index: 34,
            last_term: 35,
            is_transfer: true,
        },
        MessageBody::VoteResponse { granted: true },
        MessageBody::AppendRequest {
            prev_index: 36,
            prev_term: 37,
            entries: entries(),
            commit_index: 38,
            round: 39,
        },
        MessageBody::AppendResponse {
            match_index: 40,
            next_index_hint: Some(41),
            round: 42,
        },
        MessageBody::AppendResponse {
            match_index: 40,
            next_index_hint: None,
            round: 42,
        },
        MessageBody::SnapshotChunk {
            index: 43,
            term: 44,
            members: members(),
            offset: 45,
            data: vec![6, 7],
            is_last: true,
            round: 46,
        },
        MessageBody::SnapshotChunkResponse {
            index: 47,
            next_offset: 48,
            round: 49,
        },
        MessageBody::TimeoutNow,
    ]
}

/// Names each variant: a new one needs a sample.
fn body_name(message: &Message) -> &'static str {
    match message.body {
        MessageBody::StalenessRequest => "hello",
        MessageBody::StalenessResponse(_) => "seen",
        MessageBody::PreVoteRequest { .. } => "pre-vote",
        MessageBody::PreVoteResponse { .. } => "pre-voted",
        MessageBody::VoteRequest { .. } => "vote",
        MessageBody::VoteResponse { .. } => "voted",
        MessageBody::AppendRequest { .. } => "append",
        MessageBody::AppendResponse { .. } => "appended",
        MessageBody::SnapshotChunk { .. } => "piece",
        MessageBody::SnapshotChunkResponse { .. } => "pieced",
        MessageBody::TimeoutNow => "timeout-now",
    }
}

#[test]
fn messages() {
    let message = |body| Message {
        term: 300,
        durable_seq: 51,
        body,
    };
    let samples: Vec<Message> = bodies().into_iter().map(message).collect();
    check_postcard("messages.hex", &samples, body_name);
}

/// Names each variant: a new one needs a sample.
fn payload_name(entry: &Entry) -> &'static str {
    match entry.payload {
        Payload::Noop => "nothing",
        Payload::Command(_) => "command",
        Payload::Members(_) => "members",
    }
}

#[test]
fn log_entries() {
    check_postcard("entries.hex", &entries(), payload_name);
}

#[test]
fn snapshots() {
    check_postcard("snapshot.hex", &[snapshot()], |_| "snapshot");
}

#[test]
fn writes() {
    let full = DurableWrite {
        seq: 61,
        term: 62,
        voted_for: Some(NodeId(63)),
        seen_seqs: vec![(NodeId(64), 65)],
        snapshot: Some(snapshot()),
        keep_suffix: true,
        truncate_from: Some(66),
        entries: entries(),
    };
    let samples = [full, DurableWrite::default()];
    check_postcard("writes.hex", &samples, |_| "write");
}

#[test]
fn durable_states() {
    let full = DurableState {
        seq: 71,
        term: 72,
        voted_for: Some(NodeId(73)),
        seen_seqs: BTreeMap::from([(NodeId(74), 75)]),
        snapshot: Some(snapshot()),
        entries: entries(),
    };
    check_postcard("disk.hex", &[full, DurableState::default()], |_| "disk");
}
