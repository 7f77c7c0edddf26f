//! Tests of commands, bans, machines and handover messages. Property tests check that input decodes to the same
//! result for any split into pieces, and that truncated or altered frames never decode to a message.

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
fn valid_commands_are_parsed_and_invalid_ones_return_their_error() {
    let parse = |line: &str| parse_command(line.as_bytes(), &limits());
    let change = |change| Ok(OperatorCommand::Change(change));
    assert_eq!(parse("HEALTH"), Ok(OperatorCommand::Health));
    assert_eq!(parse("LEAVE"), change(OperatorChange::Leave));
    assert_eq!(parse("JOIN"), change(OperatorChange::Join));
    assert_eq!(
        parse("OFFLINE s-1"),
        change(OperatorChange::Offline("s-1".into()))
    );
    assert_eq!(
        parse("ONLINE ü"),
        change(OperatorChange::Online("ü".into()))
    );
    // Extra spaces, as an operator may type them.
    assert_eq!(
        parse(" ONLINE  s-1 "),
        change(OperatorChange::Online("s-1".into()))
    );
    let long_id_line = format!("OFFLINE {}", "x".repeat(600));
    for (line, error) in [
        ("", CommandError::Unknown),
        ("health", CommandError::Unknown),
        ("STOP", CommandError::Unknown),
        ("OFFLINE", CommandError::MissingId),
        ("OFFLINE ", CommandError::MissingId),
        ("OFFLINE s-1 s-2", CommandError::TooManyWords),
        ("OFFLINE s-1 s-2 s-3", CommandError::TooManyWords),
        ("LEAVE now", CommandError::TooManyWords),
        ("HEALTH\0", CommandError::NotText),
        (long_id_line.as_str(), CommandError::IdTooLong),
    ] {
        assert_eq!(parse(line), Err(error), "{line:?}");
    }
    assert_eq!(
        parse_command(b"OFFLINE \xff", &limits()),
        Err(CommandError::NotText)
    );
}

#[test]
fn line_without_end_is_rejected_at_the_length_limit() {
    let mut decoder = CommandDecoder::default();
    let mut fed_bytes = 0;
    let result = loop {
        fed_bytes += 100;
        if let Some(result) = decoder.feed(&[b'x'; 100], &limits()) {
            break result;
        }
    };
    assert_eq!(result, Err(CommandError::TooLong));
    assert!(fed_bytes <= limits().max_command_bytes + 100);
}

/// One unban undoes two bans, and the server is assumed to have been restarted while it was banned.
#[test]
fn one_unban_undoes_any_number_of_bans() {
    let (mut bans, limits) = (Bans::default(), limits());
    assert_eq!(bans.ban("a", 1000, &limits), ChangeOutcome::Changed);
    assert_eq!(bans.ban("a", 2000, &limits), ChangeOutcome::Same);
    assert!(bans.is_banned("a"));
    assert_eq!(bans.unban("a", 5000, &limits), ChangeOutcome::Changed);
    assert!(!bans.is_banned("a"));
    assert_eq!(bans.unban("a", 6000, &limits), ChangeOutcome::Same);
    // The list shows no start time after the ban: the restart is assumed at the time of the unban.
    assert_eq!(bans.started_at("a", None), Some(5000));
    assert_eq!(bans.started_at("a", Some(500)), Some(5000));
    // The list shows a start time after the ban: that one is used.
    assert_eq!(bans.started_at("a", Some(1500)), Some(1500));
    assert_eq!(bans.started_at("b", Some(7)), Some(7));
    assert_eq!(bans.ban("a", 9000, &limits), ChangeOutcome::Changed);
    assert_eq!(bans.started_at("a", Some(500)), Some(500));
}

#[test]
fn numbers_of_bans_and_of_remembered_unbans_are_bounded() {
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
    // The entry of the server that was unbanned first is removed.
    assert_eq!(bans.started_at("a", None), None);
    assert_eq!(bans.started_at("c", None), Some(12));
}

/// The front end stops sending clients 0.2 s after a negative health answer; no client may be left at 4 s.
#[test]
fn drain_admits_all_then_refuses_new_then_refuses_all() {
    let at = |ms| admission_during_drain(Duration::from_millis(ms), &limits());
    assert_eq!(at(0).0, AdmissionMode::All);
    assert_eq!(at(300).0, AdmissionMode::All);
    let (mut elapsed, mut modes) = (Duration::ZERO, vec![]);
    loop {
        let (mode, next) = admission_during_drain(elapsed, &limits());
        modes.push(mode);
        match next {
            Some(next) => elapsed = next,
            None => break,
        }
    }
    assert_eq!(
        modes,
        [
            AdmissionMode::All,
            AdmissionMode::NothingNew,
            AdmissionMode::Nothing
        ]
    );
    assert!(elapsed < Duration::from_millis(4000) && limits().drain_move_end < elapsed);
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
fn file_of_bans_round_trips_and_an_invalid_one_is_an_error() {
    let bans = state().bans;
    let bytes = handover::encode_frame(&bans, &limits()).unwrap();
    assert_eq!(handover::decode_bans(&bytes, &limits()), Ok(bans));
    for invalid in [
        &bytes[..bytes.len() - 1],
        b"",
        b"text",
        &[&bytes[..], b"x"].concat(),
    ] {
        assert!(handover::decode_bans(invalid, &limits()).is_err());
    }
}

#[test]
fn unknown_version_and_excessive_length_are_rejected_before_the_body_arrives() {
    let mut bytes = frame(&Message::Hello);
    bytes[4] = 2;
    let mut decoder = MessageDecoder::default();
    decoder.feed(&bytes[..5]);
    assert_eq!(
        decoder.next(&limits()),
        Err(handover::FrameError::UnknownVersion(2))
    );
    let mut decoder = MessageDecoder::default();
    decoder.feed(b"VWHO\x01\xff\xff\xff\xff");
    assert_eq!(decoder.next(&limits()), Err(handover::FrameError::TooLong));
    let mut frame_limits = Limits {
        max_frame_bytes: 3,
        ..limits()
    };
    assert_eq!(
        handover::encode_frame(&Message::State(state()), &frame_limits),
        None
    );
    frame_limits.max_frame_bytes = 1 << 20;
    assert!(handover::encode_frame(&Message::State(state()), &frame_limits).is_some());
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(28),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Cuts bytes into pieces of these lengths, which are used in turn.
fn pieces<'a>(bytes: &'a [u8], lengths: &'a [usize]) -> impl Iterator<Item = &'a [u8]> {
    let (mut position, mut turn) = (0, 0);
    std::iter::from_fn(move || {
        let from = position;
        position = (position + lengths[turn % lengths.len()]).min(bytes.len());
        turn += 1;
        (from < bytes.len()).then(|| &bytes[from..position])
    })
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn any_split_of_a_command_decodes_alike(
        line in prop::collection::vec(any::<u8>(), 0..40),
        verb in prop::sample::select(vec!["", "HEALTH", "OFFLINE ", "ONLINE s-1", "LEAVE ", "JOIN"]),
        crlf: bool,
        lengths in prop::collection::vec(1_usize..9, 1..6),
    ) {
        let line: Vec<u8> = line.into_iter().filter(|byte| *byte != b'\n').collect();
        let line_end: &[u8] = if crlf { b"\r\n" } else { b"\n" };
        let bytes = [verb.as_bytes(), &line, line_end, b"more"].concat();
        let result_of_whole = CommandDecoder::default().feed(&bytes, &limits());
        let mut decoder = CommandDecoder::default();
        let result_of_pieces = pieces(&bytes, &lengths).find_map(|piece| decoder.feed(piece, &limits()));
        prop_assert!(result_of_whole.is_some());
        prop_assert_eq!(result_of_whole, result_of_pieces);
    }

    #[test]
    fn any_split_of_messages_decodes_alike(lengths in prop::collection::vec(1_usize..40, 1..6)) {
        let bytes: Vec<u8> = messages().iter().flat_map(frame).collect();
        let (mut decoder, mut decoded) = (MessageDecoder::default(), vec![]);
        for piece in pieces(&bytes, &lengths) {
            decoder.feed(piece);
            while let Some(message) = decoder.next(&limits()).unwrap() {
                decoded.push(message);
            }
        }
        prop_assert_eq!(decoded, messages());
    }

    /// An incomplete or altered message is never delivered.
    #[test]
    fn truncated_frame_waits_and_frame_with_a_flipped_bit_is_no_message(
        which in 0_usize..11,
        at: prop::sample::Index,
        bit in 0_u32..8,
    ) {
        let whole = frame(&messages()[which]);
        let at = at.index(whole.len());
        let mut decoder = MessageDecoder::default();
        decoder.feed(&whole[..at]);
        prop_assert_eq!(decoder.next(&limits()), Ok(None));
        let mut flipped = whole;
        flipped[at] ^= 1_u8 << bit;
        let mut decoder = MessageDecoder::default();
        decoder.feed(&flipped);
        // With an increased length the decoder waits for more bytes; any other change is an error.
        prop_assert!(!matches!(decoder.next(&limits()), Ok(Some(_))));
    }
}

/// Work commands: defaults, ranges of machines, bounds, and an error for each kind of invalid command.
#[test]
fn work_commands_are_parsed_completely_or_rejected_with_their_error() {
    use violetwind_service::command::{CommandError, FleetCommand, WorkCommand, parse_command};
    let limits = Limits::default();
    let parse = |line: &str| parse_command(line.as_bytes(), &limits);
    let work = |line: &str| match parse(line) {
        Ok(OperatorCommand::Fleet(FleetCommand::Work(work))) => work,
        other => panic!("{line}: {other:?}"),
    };
    assert_eq!(work("FLEET WORK"), WorkCommand::Show);
    assert_eq!(work("FLEET WORK PAUSE"), WorkCommand::Pause(None));
    assert_eq!(work("FLEET WORK RESUME 7"), WorkCommand::Resume(Some(7)));
    assert_eq!(work("FLEET WORK DONE m-1"), WorkCommand::Done("m-1".into()));
    let WorkCommand::Plan(order) =
        work("FLEET WORK PLAN kernel m-08..m-11,x most=2 spare=zone wait=0 back=9")
    else {
        panic!("expected a PLAN command")
    };
    let names: Vec<&str> = order.machines.iter().map(String::as_str).collect();
    assert_eq!(names, ["m-08", "m-09", "m-10", "m-11", "x"]);
    assert_eq!(
        (
            order.max_out,
            order.max_out_per_zone,
            order.min_capacity_permille
        ),
        (2, 1, 800)
    );
    assert_eq!(
        (
            order.failure_tolerance.as_str(),
            order.waits_for_done,
            order.return_timeout_ms
        ),
        ("zone", false, 9)
    );
    for (line, error) in [
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
        assert_eq!(parse(line), Err(error), "{line}");
    }
}

/// Servers are out of service if their machine is out according to the operator's file or the fleet's log, even if a
/// list names them only later.
#[test]
fn servers_of_machines_that_are_out_are_out_even_if_no_list_has_named_them() {
    use std::collections::BTreeSet;
    use violetwind_service::{MachineMap, MachinesOut};
    let machines = MachineMap {
        name_delimiter: Some("/".into()),
        by_server: [("odd".to_string(), "m-2".to_string())].into(),
    };
    let mut machines_out = MachinesOut::new(machines);
    assert!(!machines_out.is_out("m-2/a"));
    let servers_in_log = BTreeSet::from(["elsewhere/x".to_string()]);
    machines_out.replace_machines([("m-2".to_string(), servers_in_log)].into());
    assert!(
        ["m-2/a", "odd", "elsewhere/x"]
            .iter()
            .all(|uid| machines_out.is_out(uid))
    );
    assert!(!machines_out.is_out("m-20/a") && !machines_out.is_out("m-3/odd"));
    // An operator's override takes precedence until the machine returns.
    let limits = Limits::default();
    machines_out.record_transition("odd", 1000, &limits);
    assert!(
        machines_out.set_override("odd", true)
            && !machines_out.set_override("odd", true)
            && !machines_out.is_out("odd")
    );
    assert!(!machines_out.set_override("m-3/odd", true));
    assert!(machines_out.set_override("odd", false) && machines_out.is_out("odd"));
    machines_out.set_override("odd", true);
    machines_out.replace_machines([].into());
    assert!(!machines_out.is_out("odd") && !machines_out.is_overridden("odd"));
    // The server may have been restarted while it was out: its start is assumed at its return.
    machines_out.record_transition("odd", 5000, &limits);
    assert_eq!(machines_out.started_at("odd", Some(10)), Some(5000));
    assert_eq!(machines_out.started_at("odd", Some(2000)), Some(2000));
}

/// The times of an earlier process may come from another clock or from before a reboot of the machine.
#[test]
fn times_in_the_future_are_set_to_now() {
    let limits = Limits::default();
    let mut bans = Bans::default();
    let unix_ms = 1_700_000_000_000;
    bans.ban("s-1", unix_ms, &limits);
    bans.ban("s-2", unix_ms, &limits);
    bans.unban("s-2", unix_ms + 5, &limits);
    let mut bans = bans.with_times_clamped(1000);
    assert!(bans.is_banned("s-1") && !bans.is_banned("s-2"));
    assert_eq!(bans.started_at("s-2", Some(500)), Some(1000));
    // A later listed start time is used.
    assert_eq!(bans.started_at("s-2", Some(1500)), Some(1500));
    bans.unban("s-1", 2000, &limits);
    assert_eq!(bans.started_at("s-1", Some(900)), Some(2000));
}
