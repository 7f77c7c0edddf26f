//! Operators' words in the engine, with the platform's discovery taken at its word: bans against lists,
//! leaving and coming back, settings that change under way.

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

fn out(uid: &str) -> OperatorChange {
    OperatorChange::Offline(uid.into())
}

fn back(uid: &str) -> OperatorChange {
    OperatorChange::Online(uid.into())
}

#[test]
fn a_banned_server_gets_nothing_whatever_lists_say() {
    let mut world = EngineHarness::new(&["a", "b"]);
    assert_eq!(world.apply_change(out("nobody")), OperatorReply::Unknown);
    assert_eq!(world.apply_change(back("nobody")), OperatorReply::Unknown);
    assert!(matches!(
        world.apply_change(out("a")),
        OperatorReply::Changed(_)
    ));
    let b = world.server_id("b");
    for kind in [ListKind::Update, ListKind::Replace] {
        for status in [Status::Up, Status::Draining, Status::Up] {
            world.send_list(
                kind,
                vec![
                    listed_server("a", status, None),
                    listed_server("b", Status::Up, None),
                ],
            );
            assert!((0..20).all(|_| world.place_and_close() == Some(b)));
        }
    }
    // Off the list and on it again, with a new start.
    world.send_list(
        ListKind::Replace,
        vec![listed_server("b", Status::Up, None)],
    );
    world.send_list(
        ListKind::Update,
        vec![listed_server("a", Status::Up, Some(world.unix_seconds()))],
    );
    assert!((0..20).all(|_| world.place_and_close() == Some(b)));
    // Out twice, back once.
    assert!(matches!(
        world.apply_change(out("a")),
        OperatorReply::Same(_)
    ));
    assert!(matches!(
        world.apply_change(back("a")),
        OperatorReply::Changed(_)
    ));
    assert!(matches!(
        world.apply_change(back("a")),
        OperatorReply::Same(_)
    ));
    world.advance(ms(5000));
    let a = world.server_id("a");
    assert!((0..60).any(|_| world.place_and_close() == Some(a)));
}

/// A request on its way there when the word comes has not sent anything yet: it goes elsewhere.
#[test]
fn what_is_on_its_way_to_a_banned_server_is_called_back_and_clients_there_are_moved() {
    let mut world = EngineHarness::new(&["a"]);
    let up = world.request_default_class();
    world.mark_up(up);
    let waits = world.request_default_class();
    world.apply_change(out("a"));
    assert!(matches!(
        world.next_command(waits),
        Some(ConnectionCommand::Recall)
    ));
    assert!(world.next_command(up).is_none());
    world.advance(ms(1600));
    assert!(matches!(
        world.next_command(up),
        Some(ConnectionCommand::Move)
    ));
    // The last server is out: obeyed, and nobody is served.
    assert_eq!(world.place_and_close(), None);
}

#[test]
fn a_server_that_the_list_has_dropped_can_be_called_back() {
    let mut world = EngineHarness::new(&["a", "b"]);
    world.apply_change(out("a"));
    world.send_list(
        ListKind::Replace,
        vec![listed_server("b", Status::Up, None)],
    );
    assert!(matches!(
        world.apply_change(back("a")),
        OperatorReply::Changed(_)
    ));
    // It is not on the list: the operators' word does not bring it there.
    let b = world.server_id("b");
    assert!((0..20).all(|_| world.place_and_close() == Some(b)));
}

/// It was restarted while it was out. All proxies give it their turns as to a cold server, though the
/// list shows the old start, and it is in use within 5 s.
#[test]
fn a_server_comes_back_cold_and_is_in_use_within_5_s() {
    for seed in 0..20 {
        let mut world = EngineHarness::with_seed(&["a", "b"], seed);
        world.apply_change(out("a"));
        world.advance(ms(3000));
        world.apply_change(back("a"));
        let (a, mut at_once, mut first) = (world.server_id("a"), 0, None);
        for step in 0..100 {
            let used = (0..3)
                .filter(|_| world.place_and_close() == Some(a))
                .count();
            at_once += if step < 10 { used } else { 0 };
            if used > 0 && first.is_none() {
                first = Some(step * 50);
            }
            world.advance(ms(50));
        }
        // Warm, it would get about half of 30.
        assert!(at_once <= 4, "seed {seed}: {at_once} in half a second");
        assert!(first.is_some(), "seed {seed}: never used");
    }
}

#[test]
fn a_left_proxy_takes_what_still_comes_moves_all_and_then_turns_away() {
    let mut world = EngineHarness::new(&["a"]);
    let clients: Vec<RequestId> = (0..40).map(|_| world.request_default_class()).collect();
    clients.iter().for_each(|id| world.mark_up(*id));
    let waits = world.request_default_class();
    assert!(matches!(
        world.apply_change(OperatorChange::Leave),
        OperatorReply::Changed(_)
    ));
    assert!(matches!(
        world.apply_change(OperatorChange::Leave),
        OperatorReply::Same(_)
    ));
    // The front has not stopped yet.
    let late = world.request_default_class();
    assert!(matches!(
        world.last_command(late),
        Some(ConnectionCommand::Send { .. })
    ));
    world.advance(ms(350));
    assert!(clients.iter().all(|id| world.next_command(*id).is_none()));
    // Evenly: at half of the time about half have gone.
    world.advance(ms(1350));
    let moved = clients.iter().filter(|id| world.is_moved(**id)).count();
    assert!((15..=25).contains(&moved), "{moved}");
    assert!(matches!(
        world.answer_to_new_request(),
        Some(ConnectionCommand::Refuse(_))
    ));
    world.mark_up(late);
    world.advance(ms(1400));
    assert!(clients.iter().chain([&late]).all(|id| world.is_moved(*id)));
    // One whose server has not answered by now is not held any longer.
    assert!(
        world
            .last_command(waits)
            .is_some_and(|o| matches!(o, ConnectionCommand::Send { .. }))
    );
    world.advance(ms(600));
    assert!(matches!(
        world.last_command(waits),
        Some(ConnectionCommand::Refuse(_) | ConnectionCommand::Fail)
    ));
}

#[test]
fn a_join_in_the_middle_stops_what_moving_is_left() {
    let mut world = EngineHarness::new(&["a"]);
    let clients: Vec<RequestId> = (0..40).map(|_| world.request_default_class()).collect();
    clients.iter().for_each(|id| world.mark_up(*id));
    assert!(matches!(
        world.apply_change(OperatorChange::Join),
        OperatorReply::Same(_)
    ));
    world.apply_change(OperatorChange::Leave);
    world.advance(ms(1500));
    assert!(matches!(
        world.apply_change(OperatorChange::Join),
        OperatorReply::Changed(_)
    ));
    let moved = clients.iter().filter(|id| world.is_moved(**id)).count();
    assert!((5..35).contains(&moved), "{moved}");
    world.advance(ms(6000));
    assert_eq!(
        clients.iter().filter(|id| world.is_moved(**id)).count(),
        moved
    );
    assert!(world.place_and_close().is_some());
}

/// A ban while the proxy is left must still call back what is on its way there.
#[test]
fn a_ban_holds_in_a_left_proxy_and_an_end_takes_no_words() {
    let mut world = EngineHarness::new(&["a"]);
    world.apply_change(OperatorChange::Leave);
    let waits = world.request_default_class();
    world.apply_change(out("a"));
    assert!(matches!(
        world.next_command(waits),
        Some(ConnectionCommand::Recall)
    ));
    world.handle_event(EngineEvent::Shutdown(ms(1000)..ms(2000)));
    assert_eq!(
        world.apply_change(OperatorChange::Join),
        OperatorReply::Ending
    );
    assert!(matches!(
        world.apply_change(back("a")),
        OperatorReply::Changed(_)
    ));
}

/// A class that gets a stricter effect: what was taken as harmless to repeat still is, what comes under the
/// new settings is not; classes and attempts change with the settings, and numbers never do.
#[test]
fn connections_keep_the_class_they_were_taken_with() {
    let mut world = EngineHarness::new(&["a", "b", "c"]);
    let old = world.send_request(0);
    world.next_command(old);
    let mut new = common::settings();
    new.classes = vec![
        common::class(Idempotency::Safe),
        common::class(Idempotency::Unsafe),
    ];
    new.max_attempts = 2;
    world.handle_event(EngineEvent::Settings(Box::new(new), NameTable::default()));
    let strict = world.send_request(1);
    world.next_command(strict);
    // The server's answer is lost: the strict one may have run, and is not tried again.
    for id in [old, strict] {
        world.end_attempt(id, Outcome::Reset);
    }
    assert!(matches!(
        world.last_command(old),
        Some(ConnectionCommand::Send { .. })
    ));
    assert!(matches!(
        world.last_command(strict),
        Some(ConnectionCommand::Fail)
    ));
    // Two attempts are all there is now, also for what came before.
    world.end_attempt(old, Outcome::Reset);
    assert!(matches!(
        world.last_command(old),
        Some(ConnectionCommand::Refuse(_))
    ));
}

/// With a successor all that is up is handed over, what comes up later too, and what is left is moved in
/// time. Without it again, the rest stays.
#[test]
fn connections_are_handed_to_a_successor_and_the_rest_is_moved() {
    let mut world = EngineHarness::new(&["a"]);
    let up = world.request_default_class();
    world.mark_up(up);
    let waits = world.request_default_class();
    world.handle_event(EngineEvent::SuccessorChanged(Some(ms(600)..ms(2000))));
    assert!(matches!(
        world.next_command(up),
        Some(ConnectionCommand::HandOver)
    ));
    world.mark_up(waits);
    assert!(matches!(
        world.next_command(waits),
        Some(ConnectionCommand::HandOver)
    ));
    world.advance(ms(500));
    assert!(!world.is_moved(up) && !world.is_moved(waits));
    world.advance(ms(1600));
    assert!(world.is_moved(up) && world.is_moved(waits));
    world.handle_event(EngineEvent::SuccessorChanged(None));
    let again = world.request_default_class();
    world.mark_up(again);
    world.advance(ms(3000));
    assert!(world.next_command(again).is_none());
}

/// A connection that was another process's: it counts on its server, moves when that drains, and at once
/// where no list has named the server.
#[test]
fn an_adopted_connection_is_in_the_books() {
    let mut world = EngineHarness::new(&["a"]);
    let (known, stray) = (
        world.adopt_connection("a"),
        world.adopt_connection("nobody"),
    );
    assert!(matches!(
        world.next_command(stray),
        Some(ConnectionCommand::Move)
    ));
    assert!(world.next_command(known).is_none());
    world.send_list(
        ListKind::Update,
        vec![listed_server("a", Status::Draining, None)],
    );
    world.advance(ms(1600));
    assert!(world.is_moved(known));
}
