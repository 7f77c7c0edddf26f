//! Calls, bans and messages as tables of events, and properties: any split into pieces reads the same,
//! any cut or flipped byte is an error.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use violetwind_balancer::api::AdmissionMode;
use violetwind_service::command::{
    CommandDecoder, CommandError, OperatorChange, OperatorCommand, parse_command,
};
use violetwind_service::handover::{self, Connection, HandoverState, Message, MessageDecoder};
use violetwind_service::{Bans, ChangeOutcome, Limits, admission_during_drain};

fn limits() -> Limits {
    Limits::default()
}

#[test]
fn calls_are_read_and_the_rest_is_told_by_its_fault() {
    let call = |line: &str| parse_command(line.as_bytes(), &limits());
    let change = |change| Ok(OperatorCommand::Change(change));
    assert_eq!(call("HEALTH"), Ok(OperatorCommand::Health));
    assert_eq!(call("LEAVE"), change(OperatorChange::Leave));
    assert_eq!(call("JOIN"), change(OperatorChange::Join));
    assert_eq!(
        call("OFFLINE s-1"),
        change(OperatorChange::Offline("s-1".into()))
    );
    assert_eq!(call("ONLINE ü"), change(OperatorChange::Online("ü".into())));
    // As a person types.
    assert_eq!(
        call(" ONLINE  s-1 "),
        change(OperatorChange::Online("s-1".into()))
    );
    let long = format!("OFFLINE {}", "x".repeat(600));
    for (line, fault) in [
        ("", CommandError::Unknown),
        ("health", CommandError::Unknown),
        ("STOP", CommandError::Unknown),
        ("OFFLINE", CommandError::MissingId),
        ("OFFLINE ", CommandError::MissingId),
        ("OFFLINE s-1 s-2", CommandError::TooManyWords),
        ("OFFLINE s-1 s-2 s-3", CommandError::TooManyWords),
        ("LEAVE now", CommandError::TooManyWords),
        ("HEALTH\0", CommandError::NotText),
        (long.as_str(), CommandError::IdTooLong),
    ] {
        assert_eq!(call(line), Err(fault), "{line:?}");
    }
    assert_eq!(
        parse_command(b"OFFLINE \xff", &limits()),
        Err(CommandError::NotText)
    );
}

#[test]
fn a_line_without_end_is_given_up_at_its_limit() {
    let mut calls = CommandDecoder::default();
    let mut fed = 0;
    let end = loop {
        fed += 100;
        if let Some(end) = calls.feed(&[b'x'; 100], &limits()) {
            break end;
        }
    };
    assert_eq!(end, Err(CommandError::TooLong));
    assert!(fed <= limits().max_command_bytes + 100);
}

/// Called out twice and back once it is in use; and it was restarted while it was out.
#[test]
fn one_call_back_undoes_any_number_of_calls_out() {
    let (mut bans, limits) = (Bans::default(), limits());
    assert_eq!(bans.ban("a", 1000, &limits), ChangeOutcome::Changed);
    assert_eq!(bans.ban("a", 2000, &limits), ChangeOutcome::Same);
    assert!(bans.is_banned("a"));
    assert_eq!(bans.unban("a", 5000, &limits), ChangeOutcome::Changed);
    assert!(!bans.is_banned("a"));
    assert_eq!(bans.unban("a", 6000, &limits), ChangeOutcome::Same);
    // The list shows no start since it went out: it may have been at the last moment.
    assert_eq!(bans.started_at("a", None), Some(5000));
    assert_eq!(bans.started_at("a", Some(500)), Some(5000));
    // It shows one: that holds.
    assert_eq!(bans.started_at("a", Some(1500)), Some(1500));
    assert_eq!(bans.started_at("b", Some(7)), Some(7));
    assert_eq!(bans.ban("a", 9000, &limits), ChangeOutcome::Changed);
    assert_eq!(bans.started_at("a", Some(500)), Some(500));
}

#[test]
fn what_is_out_and_what_is_back_are_bounded() {
    let limits = Limits {
        max_bans: 2,
        ..limits()
    };
    let mut bans = Bans::default();
    for (at, uid) in ["a", "b"].into_iter().enumerate() {
        assert_eq!(bans.ban(uid, at as u64, &limits), ChangeOutcome::Changed);
    }
    assert_eq!(bans.ban("c", 3, &limits), ChangeOutcome::Full);
    for (at, uid) in ["a", "b", "c"].into_iter().enumerate() {
        bans.ban(uid, 1, &limits);
        bans.unban(uid, 10 + at as u64, &limits);
    }
    // The one that was called back first is forgotten.
    assert_eq!(bans.started_at("a", None), None);
    assert_eq!(bans.started_at("c", None), Some(12));
}

/// The front stops 0.2 s after it hears no; nothing may be held at 4 s.
#[test]
fn a_leave_takes_then_turns_away_then_ends() {
    let at = |ms| admission_during_drain(Duration::from_millis(ms), &limits());
    assert_eq!(at(0).0, AdmissionMode::All);
    assert_eq!(at(300).0, AdmissionMode::All);
    let (mut since, mut seen) = (Duration::ZERO, vec![]);
    loop {
        let (taken, next) = admission_during_drain(since, &limits());
        seen.push(taken);
        match next {
            Some(next) => since = next,
            None => break,
        }
    }
    assert_eq!(
        seen,
        [
            AdmissionMode::All,
            AdmissionMode::NothingNew,
            AdmissionMode::Nothing
        ]
    );
    assert!(since < Duration::from_millis(4000) && limits().drain_move_end < since);
}

fn state() -> HandoverState {
    let mut bans = Bans::default();
    bans.ban("s-1", 1000, &limits());
    bans.ban("s-2", 1000, &limits());
    bans.unban("s-2", 4000, &limits());
    HandoverState {
        bans,
        has_left: true,
        discovery_address: Some("127.0.0.1:8500".into()),
        descriptors_in_use: 70,
    }
}

fn messages() -> Vec<Message> {
    vec![
        Message::Hello,
        Message::State(state()),
        Message::Serving,
        Message::Stopped,
        Message::DescriptorsInUse(3),
        Message::Change(9, OperatorChange::Online("s-1".into())),
        Message::ChangeApplied(9),
        Message::ConnectionOffer(
            1,
            Connection {
                first_line: b"OPEN 9b1f 7f3a c=chat,d=2000".to_vec(),
                server: 77,
                load: Some(4.5),
                unanswered_ms: Some(12),
            },
        ),
        Message::ConnectionAccepted(1),
        Message::ConnectionDeclined(2),
        Message::ConnectionTransferred(3),
    ]
}

fn frame(message: &Message) -> Vec<u8> {
    handover::encode_frame(message, &limits()).unwrap()
}

#[test]
fn a_file_of_bans_reads_back_and_a_bad_one_is_an_error() {
    let bans = state().bans;
    let bytes = handover::encode_frame(&bans, &limits()).unwrap();
    assert_eq!(handover::decode_bans(&bytes, &limits()), Ok(bans));
    for bad in [
        &bytes[..bytes.len() - 1],
        b"",
        b"text",
        &[&bytes[..], b"x"].concat(),
    ] {
        assert!(handover::decode_bans(bad, &limits()).is_err());
    }
}

#[test]
fn another_version_and_a_huge_length_are_told_before_they_are_read() {
    let mut bytes = frame(&Message::Hello);
    bytes[4] = 2;
    let mut messages = MessageDecoder::default();
    messages.feed(&bytes[..5]);
    assert_eq!(
        messages.next(&limits()),
        Err(handover::FrameError::UnknownVersion(2))
    );
    let mut messages = MessageDecoder::default();
    messages.feed(b"VWHO\x01\xff\xff\xff\xff");
    assert_eq!(messages.next(&limits()), Err(handover::FrameError::TooLong));
    let mut huge = Limits {
        max_frame_bytes: 3,
        ..limits()
    };
    assert_eq!(
        handover::encode_frame(&Message::State(state()), &huge),
        None
    );
    huge.max_frame_bytes = 1 << 20;
    assert!(handover::encode_frame(&Message::State(state()), &huge).is_some());
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(28),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Cuts bytes into pieces of these lengths, in turn.
fn pieces<'a>(bytes: &'a [u8], lengths: &'a [usize]) -> impl Iterator<Item = &'a [u8]> {
    let (mut at, mut turn) = (0, 0);
    std::iter::from_fn(move || {
        let from = at;
        at = (at + lengths[turn % lengths.len()]).min(bytes.len());
        turn += 1;
        (from < bytes.len()).then(|| &bytes[from..at])
    })
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn any_split_of_a_call_reads_the_same(
        line in prop::collection::vec(any::<u8>(), 0..40),
        verb in prop::sample::select(vec!["", "HEALTH", "OFFLINE ", "ONLINE s-1", "LEAVE ", "JOIN"]),
        crlf: bool,
        lengths in prop::collection::vec(1_usize..9, 1..6),
    ) {
        let line: Vec<u8> = line.into_iter().filter(|byte| *byte != b'\n').collect();
        let end: &[u8] = if crlf { b"\r\n" } else { b"\n" };
        let bytes = [verb.as_bytes(), &line, end, b"more"].concat();
        let whole = CommandDecoder::default().feed(&bytes, &limits());
        let mut calls = CommandDecoder::default();
        let split = pieces(&bytes, &lengths).find_map(|piece| calls.feed(piece, &limits()));
        prop_assert!(whole.is_some());
        prop_assert_eq!(whole, split);
    }

    #[test]
    fn any_split_of_messages_reads_the_same(lengths in prop::collection::vec(1_usize..40, 1..6)) {
        let bytes: Vec<u8> = messages().iter().flat_map(frame).collect();
        let (mut reader, mut got) = (MessageDecoder::default(), vec![]);
        for piece in pieces(&bytes, &lengths) {
            reader.feed(piece);
            while let Some(message) = reader.next(&limits()).unwrap() {
                got.push(message);
            }
        }
        prop_assert_eq!(got, messages());
    }

    /// Nobody acts on half a message or an altered one.
    #[test]
    fn any_cut_waits_and_any_flipped_bit_is_no_message(which in 0_usize..11, at: prop::sample::Index, bit in 0_u32..8) {
        let whole = frame(&messages()[which]);
        let at = at.index(whole.len());
        let mut reader = MessageDecoder::default();
        reader.feed(&whole[..at]);
        prop_assert_eq!(reader.next(&limits()), Ok(None));
        let mut flipped = whole;
        flipped[at] ^= 1_u8 << bit;
        let mut reader = MessageDecoder::default();
        reader.feed(&flipped);
        // A length that has grown leaves it waiting for more; else it is an error.
        prop_assert!(!matches!(reader.next(&limits()), Ok(Some(_))));
    }
}

/// Orders for work as staff word them: defaults, ranges, bounds, and a plain word where it makes no sense.
#[test]
fn calls_about_work_are_read_whole_or_refused_with_a_word() {
    use violetwind_service::command::{CommandError, FleetCommand, WorkCommand, parse_command};
    let limits = Limits::default();
    let read = |line: &str| parse_command(line.as_bytes(), &limits);
    let work = |line: &str| match read(line) {
        Ok(OperatorCommand::Fleet(FleetCommand::Work(work))) => work,
        other => panic!("{line}: {other:?}"),
    };
    assert_eq!(work("FLEET WORK"), WorkCommand::Show);
    assert_eq!(work("FLEET WORK PAUSE"), WorkCommand::Pause(None));
    assert_eq!(work("FLEET WORK RESUME 7"), WorkCommand::Resume(Some(7)));
    assert_eq!(work("FLEET WORK DONE m-1"), WorkCommand::Done("m-1".into()));
    let WorkCommand::Plan(plan) =
        work("FLEET WORK PLAN kernel m-08..m-11,x most=2 spare=zone wait=0 back=9")
    else {
        panic!("a plan")
    };
    let names: Vec<&str> = plan.machines.iter().map(String::as_str).collect();
    assert_eq!(names, ["m-08", "m-09", "m-10", "m-11", "x"]);
    assert_eq!(
        (
            plan.max_out,
            plan.max_out_per_zone,
            plan.min_capacity_permille
        ),
        (2, 1, 800)
    );
    assert_eq!(
        (
            plan.failure_tolerance.as_str(),
            plan.waits_for_done,
            plan.return_timeout_ms
        ),
        ("zone", false, 9)
    );
    for (line, fault) in [
        ("FLEET WORK PLAN kernel", CommandError::InvalidWorkCommand),
        ("FLEET WORK PAUSE x", CommandError::InvalidWorkCommand),
        ("FLEET WORK PAUSE 1 2", CommandError::TooManyWords),
        ("FLEET WORK PLAN k m-2..m-1", CommandError::InvalidMachines),
        ("FLEET WORK PLAN k m-1..n-2", CommandError::InvalidMachines),
        ("FLEET WORK PLAN k m-1,,m-2", CommandError::InvalidMachines),
        (
            "FLEET WORK PLAN k m-1..m-2000",
            CommandError::InvalidMachines,
        ),
        (
            "FLEET WORK PLAN k m-1..m-99999999999999999999",
            CommandError::InvalidMachines,
        ),
        ("FLEET WORK PLAN k m most=0", CommandError::InvalidBound),
        ("FLEET WORK PLAN k m floor=1001", CommandError::InvalidBound),
        (
            "FLEET WORK PLAN k m most=1 most=2",
            CommandError::InvalidBound,
        ),
        ("FLEET WORK PLAN k m spare=all", CommandError::InvalidBound),
        ("FLEET WORK PLAN k m width=1", CommandError::InvalidBound),
    ] {
        assert_eq!(read(line), Err(fault), "{line}");
    }
}

/// Machines by the operator's file, and servers that are out by an order whatever lists say later.
#[test]
fn outs_go_by_machines_also_for_servers_that_no_list_has_named_yet() {
    use std::collections::BTreeSet;
    use violetwind_service::{MachineMap, MachinesOut};
    let machines = MachineMap {
        name_delimiter: Some("/".into()),
        by_server: [("odd".to_string(), "m-2".to_string())].into(),
    };
    let mut outs = MachinesOut::new(machines);
    assert!(!outs.is_out("m-2/a"));
    let on = BTreeSet::from(["elsewhere/x".to_string()]);
    outs.replace_machines([("m-2".to_string(), on)].into());
    assert!(
        ["m-2/a", "odd", "elsewhere/x"]
            .iter()
            .all(|uid| outs.is_out(uid))
    );
    assert!(!outs.is_out("m-20/a") && !outs.is_out("m-3/odd"));
    // An operator's word is stronger, until the machine is back.
    let limits = Limits::default();
    outs.record_transition("odd", 1000, &limits);
    assert!(
        outs.set_override("odd", true) && !outs.set_override("odd", true) && !outs.is_out("odd")
    );
    assert!(!outs.set_override("m-3/odd", true));
    assert!(outs.set_override("odd", false) && outs.is_out("odd"));
    outs.set_override("odd", true);
    outs.replace_machines([].into());
    assert!(!outs.is_out("odd") && !outs.is_overridden("odd"));
    // Started anew while it was out, as far as is known: cold from when it came back.
    outs.record_transition("odd", 5000, &limits);
    assert_eq!(outs.started_at("odd", Some(10)), Some(5000));
    assert_eq!(outs.started_at("odd", Some(2000)), Some(2000));
}

/// Times of an earlier process that went by another clock, or before the machine was started anew.
#[test]
fn times_that_are_still_to_come_count_as_now() {
    let limits = Limits::default();
    let mut bans = Bans::default();
    let unix = 1_700_000_000_000;
    bans.ban("s-1", unix, &limits);
    bans.ban("s-2", unix, &limits);
    bans.unban("s-2", unix + 5, &limits);
    let mut bans = bans.with_times_clamped(1000);
    assert!(bans.is_banned("s-1") && !bans.is_banned("s-2"));
    assert_eq!(bans.started_at("s-2", Some(500)), Some(1000));
    // A start that is seen from here on is a newer one.
    assert_eq!(bans.started_at("s-2", Some(1500)), Some(1500));
    bans.unban("s-1", 2000, &limits);
    assert_eq!(bans.started_at("s-1", Some(900)), Some(2000));
}
