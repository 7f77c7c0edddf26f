//! What any schedule of calls can have from a discovery service that pays as much for a call that it turns away as for one that it
//! answers: the model of `unit_asking: a_herd_of_restarts_is_answered`. Proxies that start together have to call within 2 s, and
//! again so soon after a call that brought nothing that a drain is heard of within 6 s of discovery's word. It shows from which
//! size of a fleet no pause that keeps these terms ever has all of them answered.

use std::time::Duration;

/// Of each call, turned away or answered.
const COST: Duration = Duration::from_millis(60);
/// A call that would wait longer is turned away.
const LONGEST_QUEUE: Duration = Duration::from_secs(3);
/// How soon a call that is turned away has its answer.
const REFUSAL: Duration = Duration::from_millis(20);
/// The latest first call of a new process.
const LATEST_FIRST: Duration = Duration::from_secs(2);
/// The longest pause behind a call that was turned away at once: what discovery tells counts 6 s after it could be reached,
/// 50 ms of that are the operators' slack, and the answer has to be read and obeyed.
const LONGEST_PAUSE: Duration = Duration::from_millis(5500);
/// Whoever is not answered by then never is.
const GIVEN_UP: Duration = Duration::from_secs(600);

/// When the last of a fleet is answered, if all are: first calls lie evenly over `first`, and each that is turned away is made again
/// after `pause`, so that the calls stay as evenly spread as they were: no schedule by chance does better.
fn last_answer(fleet: u32, first: Duration, pause: Duration) -> Option<Duration> {
    let mut waiting: Vec<Duration> = (0..fleet).map(|at| first * at / fleet).collect();
    let (mut free_at, mut last) = (Duration::ZERO, Duration::ZERO);
    while !waiting.is_empty() {
        let mut again = Vec::new();
        for at in waiting {
            if at > GIVEN_UP {
                return None;
            }
            free_at = free_at.max(at) + COST;
            if free_at - at <= LONGEST_QUEUE {
                last = last.max(free_at);
            } else {
                again.push(at + REFUSAL + pause);
            }
        }
        waiting = again;
    }
    Some(last)
}

/// The pause with which a fleet is answered soonest, and when that is.
fn best(fleet: u32, longest_pause: Duration) -> Option<(Duration, Duration)> {
    let step = Duration::from_millis(250);
    let pauses = (1..).map(|count| step * count);
    let pauses = pauses.take_while(|pause| *pause <= longest_pause);
    let tried = pauses.filter_map(|pause| Some((last_answer(fleet, LATEST_FIRST, pause)?, pause)));
    tried.min()
}

/// The smallest fleet for which no pause up to this one has all answered.
fn smallest_never_answered(longest_pause: Duration) -> u32 {
    let never = |fleet: &u32| best(*fleet, longest_pause).is_none();
    (90..300).find(never).expect("one below 300")
}

#[test]
fn no_pause_within_the_terms_has_three_hundred_proxies_answered() {
    let by_terms = smallest_never_answered(LONGEST_PAUSE);
    let by_limits = smallest_never_answered(Duration::from_millis(2500));
    println!("never answered: {by_terms} proxies with pauses up to 5.5 s, {by_limits} up to 2.5 s");
    for fleet in [3, 50, 100, 150, 200, 300, 900] {
        println!("{fleet} proxies: {:?}", best(fleet, LONGEST_PAUSE));
    }
    assert!(
        by_terms < 300 && by_limits <= by_terms,
        "{by_terms} {by_limits}"
    );
    assert!(best(300, LONGEST_PAUSE).is_none() && best(900, LONGEST_PAUSE).is_none());
    // The model is not at fault: a pause that the fleet's size asks for has them answered, drains unheard meanwhile.
    assert!(best(300, Duration::from_secs(40)).is_some());
}
