//! Operators' calls whose leader is slow to reply, leads no longer, or can't serve them for a moment.

use violetwind_fleet::{
    Config, FleetAction, FleetView, Input, LeaderReply, LeaderRequest, Limits, Member, Name,
    Number, OperatorAnswer, OperatorCall, Output, PeerMessage,
};
use violetwind_storm::fleet::{World, node_name};

/// The interval of the ticks, in milliseconds.
const TICK_INTERVAL: u64 = 10;

/// A member without a vote, whose voters are played by the test.
struct CallingMember {
    member: Member,
    now: u64,
    /// Each request for a view of the fleet: when it was sent, to whom, and its number.
    view_requests: Vec<(u64, Name, Number)>,
    answers: Vec<OperatorAnswer>,
}

impl CallingMember {
    /// Starts the member, and calls it for a view of the fleet.
    fn start(limits: Limits) -> Self {
        let config = Config {
            node: node_name(3),
            peers: (0..4).map(|index| (node_name(index), index < 3)).collect(),
            duties: Vec::new(),
            budgets: Vec::new(),
            external_budgets: Default::default(),
            work_enabled: false,
            limits,
        };
        let mut calling = Self {
            member: Member::new(config, None, 1, 1000),
            now: 1000,
            view_requests: Vec::new(),
            answers: Vec::new(),
        };
        calling.handle(Input::Call(1, OperatorCall::FleetView));
        calling
    }

    fn handle(&mut self, input: Input) {
        for output in self.member.handle(self.now, input) {
            match output {
                Output::Send(to, PeerMessage::Request(number, LeaderRequest::FleetView)) => {
                    self.view_requests.push((self.now, to, number));
                }
                Output::Answer(_, answer) => self.answers.push(answer),
                _ => {}
            }
        }
    }

    fn run_for(&mut self, duration: u64) {
        let end = self.now + duration;
        while self.now < end {
            self.now += TICK_INTERVAL;
            self.handle(Input::Tick);
        }
    }

    fn reply(&mut self, from: &Name, number: Number, reply: LeaderReply) {
        let message = PeerMessage::Reply(number, reply);
        self.handle(Input::PeerMessage(from.clone(), message));
    }

    fn has_view_of_majority(&self) -> bool {
        matches!(&self.answers[..], [OperatorAnswer::FleetView(view)] if view.majority)
    }
}

fn view_with_majority() -> LeaderReply {
    LeaderReply::FleetView(FleetView {
        node: node_name(0),
        leader: Some(node_name(0)),
        term: 1,
        commit: 1,
        majority: true,
        members: Vec::new(),
        duties: Vec::new(),
        budgets: Vec::new(),
        why: None,
    })
}

/// Guards against a reply that is dropped because it takes longer than half a renewal interval: each retry had a new
/// number, and the replies to the earlier ones were dropped, so a leader whose replies all came that late was reported
/// as missing.
#[test]
fn a_reply_that_comes_after_a_retry_answers_the_call() {
    let limits = Limits::default();
    let mut calling = CallingMember::start(limits.clone());
    calling.run_for(limits.renew_interval / 2 + 2 * TICK_INTERVAL);
    assert!(calling.view_requests.len() > 1, "no retry");
    let (_, first_target, first_number) = calling.view_requests[0].clone();
    calling.reply(&first_target, first_number, view_with_majority());
    assert!(calling.has_view_of_majority(), "{:?}", calling.answers);
}

/// Guards against calls that wait for a timeout after a voter has named the leader.
#[test]
fn a_call_is_sent_to_the_leader_as_soon_as_a_voter_names_it() {
    let mut calling = CallingMember::start(Limits::default());
    let (_, first_target, number) = calling.view_requests[0].clone();
    let leader = (0..3)
        .map(node_name)
        .find(|name| *name != first_target)
        .unwrap();
    let redirected_at = calling.now;
    let redirect = LeaderReply::NotLeader(Some(leader.clone()));
    calling.reply(&first_target, number, redirect);
    calling.run_for(50);
    let (sent_at, target, number) = calling.view_requests.last().unwrap().clone();
    assert_eq!(target, leader, "{:?}", calling.view_requests);
    assert!(sent_at <= redirected_at + 50);
    calling.reply(&leader, number, view_with_majority());
    assert!(calling.has_view_of_majority(), "{:?}", calling.answers);
}

/// Guards against a member that reports a missing leader after 0.3 s of a lease of 1 s, though its proxy waits 0.8 s for
/// the answer. Until then the call is retried, at a bounded rate.
#[test]
fn a_call_waits_for_the_next_leader_and_is_retried_at_a_bounded_rate() {
    let mut calling = CallingMember::start(Limits::with_timeouts(1000, 200));
    let called_at = calling.now;
    let mut replied = 0;
    while calling.now < called_at + 550 {
        let unreplied = calling.view_requests[replied..].to_vec();
        replied += unreplied.len();
        for (_, target, number) in unreplied {
            let busy = LeaderReply::RetryLater("an election".into());
            calling.reply(&target, number, busy);
        }
        calling.run_for(TICK_INTERVAL);
    }
    assert_eq!(calling.answers, [], "given up too early");
    assert!((10..=60).contains(&replied), "{replied} requests");
    // Without any leader the call ends before its proxy stops waiting for it, after 0.8 s.
    calling.run_for(200);
    let [OperatorAnswer::FleetView(view)] = &calling.answers[..] else {
        panic!("{:?}", calling.answers);
    };
    let why = view.why.clone().unwrap_or_default();
    assert!(!view.majority && why.contains("nobody that leads"), "{why}");
}

/// Guards against the same fault in a whole fleet: round trips of more than half a renewal interval, with a leader that
/// serves all the time.
#[test]
fn slow_links_to_a_serving_leader_do_not_end_calls_without_an_answer() {
    for seed in 0..10 {
        let mut world = World::new(seed, 3, 2);
        world.run_for(4000);
        world.delay_range = (60, 75);
        world.run_for(2000);
        let leader = world.leader();
        let mut calls = Vec::new();
        for index in 0..5 {
            calls.push(world.submit_call(&node_name(index), OperatorCall::FleetView));
        }
        world.run_for(1500);
        for number in calls {
            let answer = world.answers.remove(&number);
            assert!(
                matches!(&answer, Some(OperatorAnswer::FleetView(view)) if view.majority),
                "seed {seed}: {answer:?}"
            );
        }
        assert!(leader.is_some() && leader == world.leader(), "seed {seed}");
        assert_eq!(world.violation, None, "seed {seed}");
    }
}

/// Guards against a retry that ends the call it belongs to: a leader whose disk takes longer than half a renewal
/// interval took the retry of an eviction for another operator's order, and refused the first one.
#[test]
fn a_retried_action_is_not_refused_as_another_operators() {
    for seed in 0..10 {
        let mut world = World::new(seed, 3, 2);
        world.run_for(4000);
        for host in world.hosts.values_mut() {
            host.sync_latency = 250;
        }
        let node = node_name(3);
        let eviction = FleetAction::EvictMember { node };
        // An eviction takes several commits; a call that ends before them continues it.
        let mut answers = Vec::new();
        while answers.len() < 5 && !answers.contains(&OperatorAnswer::Done) {
            let number = world.submit_action(&node_name(4), eviction.clone());
            world.run_for(1000);
            answers.extend(world.answers.remove(&number));
        }
        assert_eq!(answers.pop(), Some(OperatorAnswer::Done), "seed {seed}");
        for answer in answers {
            assert!(
                matches!(&answer, OperatorAnswer::Refused(why) if why.starts_with("not done yet")),
                "seed {seed}: {answer:?}"
            );
        }
        assert_eq!(world.violation, None, "seed {seed}");
    }
}
