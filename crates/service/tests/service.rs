//! Calls, bans and messages as tables of events, and properties: any split into pieces reads the same,
//! any cut or flipped byte is an error.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use violetwind_balancer::api::AdmissionMode;
use violetwind_service::call::{Call, Calls, Change, Fault, read};
use violetwind_service::handover::{self, Connection, Message, Messages, State};
use violetwind_service::{Bans, Kept, Limits, taking};

fn limits() -> Limits {
    Limits::default()
}

#[test]
fn calls_are_read_and_the_rest_is_told_by_its_fault() {
    let call = |line: &str| read(line.as_bytes(), &limits());
    let change = |change| Ok(Call::Change(change));
    assert_eq!(call("HEALTH"), Ok(Call::Health));
    assert_eq!(call("LEAVE"), change(Change::Leave));
    assert_eq!(call("JOIN"), change(Change::Join));
    assert_eq!(call("OFFLINE s-1"), change(Change::Offline("s-1".into())));
    assert_eq!(call("ONLINE ü"), change(Change::Online("ü".into())));
    // As a person types.
    assert_eq!(call(" ONLINE  s-1 "), change(Change::Online("s-1".into())));
    let long = format!("OFFLINE {}", "x".repeat(600));
    for (line, fault) in [
        ("", Fault::Unknown),
        ("health", Fault::Unknown),
        ("STOP", Fault::Unknown),
        ("OFFLINE", Fault::NoId),
        ("OFFLINE ", Fault::NoId),
        ("OFFLINE s-1 s-2", Fault::TooMany),
        ("OFFLINE s-1 s-2 s-3", Fault::TooMany),
        ("LEAVE now", Fault::TooMany),
        ("HEALTH\0", Fault::NotText),
        (long.as_str(), Fault::LongId),
    ] {
        assert_eq!(call(line), Err(fault), "{line:?}");
    }
    assert_eq!(read(b"OFFLINE \xff", &limits()), Err(Fault::NotText));
}

#[test]
fn a_line_without_end_is_given_up_at_its_limit() {
    let mut calls = Calls::default();
    let mut fed = 0;
    let end = loop {
        fed += 100;
        if let Some(end) = calls.feed(&[b'x'; 100], &limits()) {
            break end;
        }
    };
    assert_eq!(end, Err(Fault::TooLong));
    assert!(fed <= limits().call_bytes + 100);
}

/// Called out twice and back once it is in use; and it was restarted while it was out.
#[test]
fn one_call_back_undoes_any_number_of_calls_out() {
    let (mut bans, limits) = (Bans::default(), limits());
    assert_eq!(bans.put_out("a", 1000, &limits), Kept::Changed);
    assert_eq!(bans.put_out("a", 2000, &limits), Kept::Same);
    assert!(bans.is_out("a"));
    assert_eq!(bans.call_back("a", 5000, &limits), Kept::Changed);
    assert!(!bans.is_out("a"));
    assert_eq!(bans.call_back("a", 6000, &limits), Kept::Same);
    // The list shows no start since it went out: it may have been at the last moment.
    assert_eq!(bans.born("a", None), Some(5000));
    assert_eq!(bans.born("a", Some(500)), Some(5000));
    // It shows one: that holds.
    assert_eq!(bans.born("a", Some(1500)), Some(1500));
    assert_eq!(bans.born("b", Some(7)), Some(7));
    assert_eq!(bans.put_out("a", 9000, &limits), Kept::Changed);
    assert_eq!(bans.born("a", Some(500)), Some(500));
}

#[test]
fn what_is_out_and_what_is_back_are_bounded() {
    let limits = Limits {
        bans: 2,
        ..limits()
    };
    let mut bans = Bans::default();
    for (at, uid) in ["a", "b"].into_iter().enumerate() {
        assert_eq!(bans.put_out(uid, at as u64, &limits), Kept::Changed);
    }
    assert_eq!(bans.put_out("c", 3, &limits), Kept::Full);
    for (at, uid) in ["a", "b", "c"].into_iter().enumerate() {
        bans.put_out(uid, 1, &limits);
        bans.call_back(uid, 10 + at as u64, &limits);
    }
    // The one that was called back first is forgotten.
    assert_eq!(bans.born("a", None), None);
    assert_eq!(bans.born("c", None), Some(12));
}

/// The front stops 0.2 s after it hears no; nothing may be held at 4 s.
#[test]
fn a_leave_takes_then_turns_away_then_ends() {
    let at = |ms| taking(Duration::from_millis(ms), &limits());
    assert_eq!(at(0).0, AdmissionMode::All);
    assert_eq!(at(300).0, AdmissionMode::All);
    let (mut since, mut seen) = (Duration::ZERO, vec![]);
    loop {
        let (taken, next) = taking(since, &limits());
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
    assert!(since < Duration::from_millis(4000) && limits().leave_moved < since);
}

fn state() -> State {
    let mut bans = Bans::default();
    bans.put_out("s-1", 1000, &limits());
    bans.put_out("s-2", 1000, &limits());
    bans.call_back("s-2", 4000, &limits());
    State {
        bans,
        left: true,
        discovery: Some("127.0.0.1:8500".into()),
        holds: 70,
    }
}

fn messages() -> Vec<Message> {
    vec![
        Message::Hello,
        Message::State(state()),
        Message::Serving,
        Message::Stopped,
        Message::Holds(3),
        Message::Change(9, Change::Online("s-1".into())),
        Message::InForce(9),
        Message::Connection(
            1,
            Connection {
                line: b"OPEN 9b1f 7f3a c=chat,d=2000".to_vec(),
                server: 77,
                load: Some(4.5),
                waits_ms: Some(12),
            },
        ),
        Message::Taken(1),
        Message::NotTaken(2),
        Message::Yours(3),
    ]
}

fn frame(message: &Message) -> Vec<u8> {
    handover::frame(message, &limits()).unwrap()
}

#[test]
fn a_file_of_bans_reads_back_and_a_bad_one_is_an_error() {
    let bans = state().bans;
    let bytes = handover::frame(&bans, &limits()).unwrap();
    assert_eq!(handover::read_bans(&bytes, &limits()), Ok(bans));
    for bad in [
        &bytes[..bytes.len() - 1],
        b"",
        b"text",
        &[&bytes[..], b"x"].concat(),
    ] {
        assert!(handover::read_bans(bad, &limits()).is_err());
    }
}

#[test]
fn another_version_and_a_huge_length_are_told_before_they_are_read() {
    let mut bytes = frame(&Message::Hello);
    bytes[4] = 2;
    let mut messages = Messages::default();
    messages.feed(&bytes[..5]);
    assert_eq!(messages.next(&limits()), Err(handover::Fault::Version(2)));
    let mut messages = Messages::default();
    messages.feed(b"VWHO\x01\xff\xff\xff\xff");
    assert_eq!(messages.next(&limits()), Err(handover::Fault::TooLong));
    let mut huge = Limits {
        frame_bytes: 3,
        ..limits()
    };
    assert_eq!(handover::frame(&Message::State(state()), &huge), None);
    huge.frame_bytes = 1 << 20;
    assert!(handover::frame(&Message::State(state()), &huge).is_some());
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
        let whole = Calls::default().feed(&bytes, &limits());
        let mut calls = Calls::default();
        let split = pieces(&bytes, &lengths).find_map(|piece| calls.feed(piece, &limits()));
        prop_assert!(whole.is_some());
        prop_assert_eq!(whole, split);
    }

    #[test]
    fn any_split_of_messages_reads_the_same(lengths in prop::collection::vec(1_usize..40, 1..6)) {
        let bytes: Vec<u8> = messages().iter().flat_map(frame).collect();
        let (mut reader, mut got) = (Messages::default(), vec![]);
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
        let mut reader = Messages::default();
        reader.feed(&whole[..at]);
        prop_assert_eq!(reader.next(&limits()), Ok(None));
        let mut flipped = whole;
        flipped[at] ^= 1_u8 << bit;
        let mut reader = Messages::default();
        reader.feed(&flipped);
        // A length that has grown leaves it waiting for more; else it is an error.
        prop_assert!(!matches!(reader.next(&limits()), Ok(Some(_))));
    }
}

/// Orders for work as staff word them: defaults, ranges, bounds, and a plain word where it makes no sense.
#[test]
fn calls_about_work_are_read_whole_or_refused_with_a_word() {
    use violetwind_service::call::{Fault, Fleet, Work, read};
    let limits = Limits::default();
    let read = |line: &str| read(line.as_bytes(), &limits);
    let work = |line: &str| match read(line) {
        Ok(Call::Fleet(Fleet::Work(work))) => work,
        other => panic!("{line}: {other:?}"),
    };
    assert_eq!(work("FLEET WORK"), Work::Show);
    assert_eq!(work("FLEET WORK PAUSE"), Work::Pause(None));
    assert_eq!(work("FLEET WORK RESUME 7"), Work::Resume(Some(7)));
    assert_eq!(work("FLEET WORK DONE m-1"), Work::Done("m-1".into()));
    let Work::Plan(plan) =
        work("FLEET WORK PLAN kernel m-08..m-11,x most=2 spare=zone wait=0 back=9")
    else {
        panic!("a plan")
    };
    let names: Vec<&str> = plan.machines.iter().map(String::as_str).collect();
    assert_eq!(names, ["m-08", "m-09", "m-10", "m-11", "x"]);
    assert_eq!((plan.most, plan.zone_most, plan.floor), (2, 1, 800));
    assert_eq!(
        (plan.spare.as_str(), plan.wait, plan.back_ms),
        ("zone", false, 9)
    );
    for (line, fault) in [
        ("FLEET WORK PLAN kernel", Fault::NoWorkCall),
        ("FLEET WORK PAUSE x", Fault::NoWorkCall),
        ("FLEET WORK PAUSE 1 2", Fault::TooMany),
        ("FLEET WORK PLAN k m-2..m-1", Fault::NoMachines),
        ("FLEET WORK PLAN k m-1..n-2", Fault::NoMachines),
        ("FLEET WORK PLAN k m-1,,m-2", Fault::NoMachines),
        ("FLEET WORK PLAN k m-1..m-2000", Fault::NoMachines),
        (
            "FLEET WORK PLAN k m-1..m-99999999999999999999",
            Fault::NoMachines,
        ),
        ("FLEET WORK PLAN k m most=0", Fault::NoBound),
        ("FLEET WORK PLAN k m floor=1001", Fault::NoBound),
        ("FLEET WORK PLAN k m most=1 most=2", Fault::NoBound),
        ("FLEET WORK PLAN k m spare=all", Fault::NoBound),
        ("FLEET WORK PLAN k m width=1", Fault::NoBound),
    ] {
        assert_eq!(read(line), Err(fault), "{line}");
    }
}

/// Machines by the operator's file, and servers that are out by an order whatever lists say later.
#[test]
fn outs_go_by_machines_also_for_servers_that_no_list_has_named_yet() {
    use std::collections::BTreeSet;
    use violetwind_service::{Machines, Outs};
    let machines = Machines {
        until: Some("/".into()),
        named: [("odd".to_string(), "m-2".to_string())].into(),
    };
    let mut outs = Outs::new(machines);
    assert!(!outs.is_out("m-2/a"));
    let on = BTreeSet::from(["elsewhere/x".to_string()]);
    outs.set([("m-2".to_string(), on)].into());
    assert!(
        ["m-2/a", "odd", "elsewhere/x"]
            .iter()
            .all(|uid| outs.is_out(uid))
    );
    assert!(!outs.is_out("m-20/a") && !outs.is_out("m-3/odd"));
    // An operator's word is stronger, until the machine is back.
    let limits = Limits::default();
    outs.note("odd", 1000, &limits);
    assert!(outs.word("odd", true) && !outs.word("odd", true) && !outs.is_out("odd"));
    assert!(!outs.word("m-3/odd", true));
    assert!(outs.word("odd", false) && outs.is_out("odd"));
    outs.word("odd", true);
    outs.set([].into());
    assert!(!outs.is_out("odd") && !outs.is_opened("odd"));
    // Started anew while it was out, as far as is known: cold from when it came back.
    outs.note("odd", 5000, &limits);
    assert_eq!(outs.born("odd", Some(10)), Some(5000));
    assert_eq!(outs.born("odd", Some(2000)), Some(2000));
}

/// Times of an earlier process that went by another clock, or before the machine was started anew.
#[test]
fn times_that_are_still_to_come_count_as_now() {
    let limits = Limits::default();
    let mut bans = Bans::default();
    let unix = 1_700_000_000_000;
    bans.put_out("s-1", unix, &limits);
    bans.put_out("s-2", unix, &limits);
    bans.call_back("s-2", unix + 5, &limits);
    let mut bans = bans.taken_over(1000);
    assert!(bans.is_out("s-1") && !bans.is_out("s-2"));
    assert_eq!(bans.born("s-2", Some(500)), Some(1000));
    // A start that is seen from here on is a newer one.
    assert_eq!(bans.born("s-2", Some(1500)), Some(1500));
    bans.call_back("s-1", 2000, &limits);
    assert_eq!(bans.born("s-1", Some(900)), Some(2000));
}
