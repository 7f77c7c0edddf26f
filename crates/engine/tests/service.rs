//! Operators' changes in an engine without a catalogue: bans against lists, drain and re-join of the proxy, and
//! settings that change at run time.

mod common;

use std::time::Duration;

use common::{EngineHarness, listed_server};
use violetwind_balancer::api::*;
use violetwind_common::NameTable;
use violetwind_engine::{ConnectionCommand, EngineEvent, OperatorReply};
use violetwind_service::OperatorChange;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn ban(uid: &str) -> OperatorChange {
    OperatorChange::Offline(uid.into())
}

fn unban(uid: &str) -> OperatorChange {
    OperatorChange::Online(uid.into())
}

#[test]
fn banned_server_gets_no_requests_whatever_lists_report() {
    let mut harness = EngineHarness::new(&["a", "b"]);
    assert_eq!(harness.apply_change(ban("nobody")), OperatorReply::Unknown);
    assert_eq!(
        harness.apply_change(unban("nobody")),
        OperatorReply::Unknown
    );
    assert!(matches!(
        harness.apply_change(ban("a")),
        OperatorReply::Changed(_)
    ));
    let b = harness.server_id("b");
    for kind in [ListKind::Update, ListKind::Replace] {
        for status in [Status::Up, Status::Draining, Status::Up] {
            harness.send_list(
                kind,
                vec![
                    listed_server("a", status, None),
                    listed_server("b", Status::Up, None),
                ],
            );
            assert!((0..20).all(|_| harness.place_and_close() == Some(b)));
        }
    }
    // The server is dropped from the list and listed again with a new start time.
    harness.send_list(
        ListKind::Replace,
        vec![listed_server("b", Status::Up, None)],
    );
    harness.send_list(
        ListKind::Update,
        vec![listed_server("a", Status::Up, Some(harness.unix_seconds()))],
    );
    assert!((0..20).all(|_| harness.place_and_close() == Some(b)));
    // One unban undoes two bans.
    assert!(matches!(
        harness.apply_change(ban("a")),
        OperatorReply::Same(_)
    ));
    assert!(matches!(
        harness.apply_change(unban("a")),
        OperatorReply::Changed(_)
    ));
    assert!(matches!(
        harness.apply_change(unban("a")),
        OperatorReply::Same(_)
    ));
    harness.advance(ms(5000));
    let a = harness.server_id("a");
    assert!((0..60).any(|_| harness.place_and_close() == Some(a)));
}

/// An attempt that is pending at the time of the ban has not sent anything yet, so it is recalled.
#[test]
fn ban_recalls_pending_attempts_and_moves_connected_clients() {
    let mut harness = EngineHarness::new(&["a"]);
    let connected = harness.request_default_class();
    harness.mark_up(connected);
    let pending = harness.request_default_class();
    harness.apply_change(ban("a"));
    assert!(matches!(
        harness.next_command(pending),
        Some(ConnectionCommand::Recall)
    ));
    assert!(harness.next_command(connected).is_none());
    harness.advance(ms(1600));
    assert!(matches!(
        harness.next_command(connected),
        Some(ConnectionCommand::Move)
    ));
    // A ban applies to the last server too, so no request is served.
    assert_eq!(harness.place_and_close(), None);
}

#[test]
fn server_that_was_dropped_from_the_list_can_be_unbanned() {
    let mut harness = EngineHarness::new(&["a", "b"]);
    harness.apply_change(ban("a"));
    harness.send_list(
        ListKind::Replace,
        vec![listed_server("b", Status::Up, None)],
    );
    assert!(matches!(
        harness.apply_change(unban("a")),
        OperatorReply::Changed(_)
    ));
    // The unban does not put the server back on the list.
    let b = harness.server_id("b");
    assert!((0..20).all(|_| harness.place_and_close() == Some(b)));
}

/// A banned server may have been restarted, so an unban starts its slow start even if the list shows the old start
/// time. It has to be in use within 5 s.
#[test]
fn unbanned_server_starts_slowly_and_is_in_use_within_5_s() {
    for seed in 0..20 {
        let mut harness = EngineHarness::with_seed(&["a", "b"], seed);
        harness.apply_change(ban("a"));
        harness.advance(ms(3000));
        harness.apply_change(unban("a"));
        let (a, mut early_requests, mut first_used_ms) = (harness.server_id("a"), 0, None);
        for step in 0..100 {
            let used = (0..3)
                .filter(|_| harness.place_and_close() == Some(a))
                .count();
            early_requests += if step < 10 { used } else { 0 };
            if used > 0 && first_used_ms.is_none() {
                first_used_ms = Some(step * 50);
            }
            harness.advance(ms(50));
        }
        // A warm server would get about half of 30 requests.
        assert!(
            early_requests <= 4,
            "seed {seed}: {early_requests} requests in the first half second"
        );
        assert!(
            first_used_ms.is_some(),
            "seed {seed}: server was never used"
        );
    }
}

#[test]
fn draining_proxy_admits_late_requests_moves_all_clients_and_then_refuses() {
    let mut harness = EngineHarness::new(&["a"]);
    let clients: Vec<RequestId> = (0..40).map(|_| harness.request_default_class()).collect();
    clients.iter().for_each(|id| harness.mark_up(*id));
    let pending = harness.request_default_class();
    assert!(matches!(
        harness.apply_change(OperatorChange::Leave),
        OperatorReply::Changed(_)
    ));
    assert!(matches!(
        harness.apply_change(OperatorChange::Leave),
        OperatorReply::Same(_)
    ));
    // The front end has not stopped sending new clients yet.
    let late = harness.request_default_class();
    assert!(matches!(
        harness.last_command(late),
        Some(ConnectionCommand::Send { .. })
    ));
    harness.advance(ms(350));
    assert!(clients.iter().all(|id| harness.next_command(*id).is_none()));
    // The moves are spread evenly: about half of the clients are moved at half of the time.
    harness.advance(ms(1350));
    let moved = clients.iter().filter(|id| harness.is_moved(**id)).count();
    assert!((15..=25).contains(&moved), "{moved}");
    assert!(matches!(
        harness.answer_to_new_request(),
        Some(ConnectionCommand::Refuse(_))
    ));
    harness.mark_up(late);
    harness.advance(ms(1400));
    assert!(
        clients
            .iter()
            .chain([&late])
            .all(|id| harness.is_moved(*id))
    );
    // A request whose server has not answered by the end of the drain gets a final answer.
    assert!(
        harness
            .last_command(pending)
            .is_some_and(|command| matches!(command, ConnectionCommand::Send { .. }))
    );
    harness.advance(ms(600));
    assert!(matches!(
        harness.last_command(pending),
        Some(ConnectionCommand::Refuse(_) | ConnectionCommand::Fail)
    ));
}

#[test]
fn join_during_a_drain_cancels_the_remaining_moves() {
    let mut harness = EngineHarness::new(&["a"]);
    let clients: Vec<RequestId> = (0..40).map(|_| harness.request_default_class()).collect();
    clients.iter().for_each(|id| harness.mark_up(*id));
    assert!(matches!(
        harness.apply_change(OperatorChange::Join),
        OperatorReply::Same(_)
    ));
    harness.apply_change(OperatorChange::Leave);
    harness.advance(ms(1500));
    assert!(matches!(
        harness.apply_change(OperatorChange::Join),
        OperatorReply::Changed(_)
    ));
    let moved = clients.iter().filter(|id| harness.is_moved(**id)).count();
    assert!((5..35).contains(&moved), "{moved}");
    harness.advance(ms(6000));
    assert_eq!(
        clients.iter().filter(|id| harness.is_moved(**id)).count(),
        moved
    );
    assert!(harness.place_and_close().is_some());
}

/// A ban during the drain of the proxy must still recall pending attempts.
#[test]
fn ban_applies_in_a_draining_proxy_and_join_is_rejected_during_shutdown() {
    let mut harness = EngineHarness::new(&["a"]);
    harness.apply_change(OperatorChange::Leave);
    let pending = harness.request_default_class();
    harness.apply_change(ban("a"));
    assert!(matches!(
        harness.next_command(pending),
        Some(ConnectionCommand::Recall)
    ));
    harness.handle_event(EngineEvent::Shutdown(ms(1000)..ms(2000)));
    assert_eq!(
        harness.apply_change(OperatorChange::Join),
        OperatorReply::Ending
    );
    assert!(matches!(
        harness.apply_change(unban("a")),
        OperatorReply::Changed(_)
    ));
}

/// New settings add a class with stricter idempotency: a request that was admitted as safe to repeat stays so, a
/// request of the strict class is not repeated. Classes and the number of attempts change with the settings; the
/// numbers of the classes never do.
#[test]
fn connections_keep_the_class_they_were_admitted_with() {
    let mut harness = EngineHarness::new(&["a", "b", "c"]);
    let safe_request = harness.send_request(0);
    harness.next_command(safe_request);
    let mut new_settings = common::settings();
    new_settings.classes = vec![
        common::class(Idempotency::Safe),
        common::class(Idempotency::Unsafe),
    ];
    new_settings.max_attempts = 2;
    harness.handle_event(EngineEvent::Settings(
        Box::new(new_settings),
        NameTable::default(),
    ));
    let unsafe_request = harness.send_request(1);
    harness.next_command(unsafe_request);
    // The server's answer is lost: the request of the strict class may have run and is not retried.
    for id in [safe_request, unsafe_request] {
        harness.end_attempt(id, Outcome::Reset);
    }
    assert!(matches!(
        harness.last_command(safe_request),
        Some(ConnectionCommand::Send { .. })
    ));
    assert!(matches!(
        harness.last_command(unsafe_request),
        Some(ConnectionCommand::Fail)
    ));
    // The new limit of two attempts also applies to requests that were admitted before.
    harness.end_attempt(safe_request, Outcome::Reset);
    assert!(matches!(
        harness.last_command(safe_request),
        Some(ConnectionCommand::Refuse(_))
    ));
}

/// While a successor serves, all established connections are handed over, also those that are established later; the
/// remaining ones are moved in time. After the successor has gone, new connections stay.
#[test]
fn connections_are_handed_over_to_a_successor_and_the_rest_is_moved() {
    let mut harness = EngineHarness::new(&["a"]);
    let connected = harness.request_default_class();
    harness.mark_up(connected);
    let pending = harness.request_default_class();
    harness.handle_event(EngineEvent::SuccessorChanged(Some(ms(600)..ms(2000))));
    assert!(matches!(
        harness.next_command(connected),
        Some(ConnectionCommand::HandOver)
    ));
    harness.mark_up(pending);
    assert!(matches!(
        harness.next_command(pending),
        Some(ConnectionCommand::HandOver)
    ));
    harness.advance(ms(500));
    assert!(!harness.is_moved(connected) && !harness.is_moved(pending));
    harness.advance(ms(1600));
    assert!(harness.is_moved(connected) && harness.is_moved(pending));
    harness.handle_event(EngineEvent::SuccessorChanged(None));
    let later = harness.request_default_class();
    harness.mark_up(later);
    harness.advance(ms(3000));
    assert!(harness.next_command(later).is_none());
}

/// An adopted connection counts at its server and is moved when that drains; it is moved at once if no list has named
/// the server.
#[test]
fn adopted_connection_is_moved_when_its_server_drains_or_is_unknown() {
    let mut harness = EngineHarness::new(&["a"]);
    let (listed, unlisted) = (
        harness.adopt_connection("a"),
        harness.adopt_connection("nobody"),
    );
    assert!(matches!(
        harness.next_command(unlisted),
        Some(ConnectionCommand::Move)
    ));
    assert!(harness.next_command(listed).is_none());
    harness.send_list(
        ListKind::Update,
        vec![listed_server("a", Status::Draining, None)],
    );
    harness.advance(ms(1600));
    assert!(harness.is_moved(listed));
}
