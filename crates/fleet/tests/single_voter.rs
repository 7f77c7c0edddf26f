//! A fleet of one voter, driven directly: a leader that is full, whose disk is stalled, or that can't read its log.

use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

use violetwind_consensus::{DurableState, Member as Voter, Members, NodeId, Snapshot};
use violetwind_fleet::{
    Config, Event, FleetAction, Input, LeaderReply, LeaderRequest, Limits, Member, Number,
    OperatorCall, Output, PeerMessage, SavedState,
};
use violetwind_storm::fleet::node_name;

/// How long a member may take for some simulated seconds.
const RETURN_TIMEOUT: Duration = Duration::from_secs(20);

/// The configuration of the only voter, which can hold the duty `export`.
fn config(limits: Limits) -> Config {
    Config {
        work_enabled: false,
        node: node_name(0),
        peers: [(node_name(0), true)].into(),
        duties: vec!["export".into()],
        budgets: Vec::new(),
        external_budgets: Default::default(),
        limits,
    }
}

/// A fleet of one voter that leads it and holds a duty; its log is saved at once unless `is_disk_stalled`.
struct SingleVoter {
    member: Member,
    now: u64,
    is_disk_stalled: bool,
    unsaved_records: Vec<Number>,
    /// Replies to other members.
    replies: Vec<LeaderReply>,
}

impl SingleVoter {
    fn start(limits: Limits) -> Self {
        let mut voter = Self {
            member: Member::new(config(limits), Some(SavedState::new(NodeId(7))), 1, 1000),
            now: 1000,
            is_disk_stalled: false,
            unsaved_records: Vec::new(),
            replies: Vec::new(),
        };
        voter.run_for(5000);
        assert!(voter.member.held_fence("export", voter.now).is_some());
        voter
    }

    fn handle(&mut self, input: Input) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for output in self.member.handle(self.now, input) {
                match output {
                    Output::SaveRecord(number, _) => self.unsaved_records.push(number),
                    Output::Send(_, PeerMessage::Reply(_, reply)) => self.replies.push(reply),
                    _ => {}
                }
            }
            if !self.is_disk_stalled {
                inputs.extend(self.unsaved_records.drain(..).map(Input::RecordsSaved));
            }
        }
    }

    /// Handles a request of another member.
    fn request(&mut self, number: u64, request: LeaderRequest) {
        let message = PeerMessage::Request(number, request);
        self.handle(Input::PeerMessage(node_name(5), message));
    }

    fn run_for(&mut self, duration: u64) {
        let end = self.now + duration;
        while self.now < end {
            self.now += 5;
            self.handle(Input::Tick);
        }
    }
}

/// Guards against an endless loop in a leader that can't serve its own requests for a moment: it answered its own
/// release of a duty, or its own leave, with "retry later", and sent it again at once, for ever. Here it has as many
/// requests pending as it may, while its disk is stalled.
#[test]
fn a_full_leader_does_not_repeat_its_own_requests_without_end() {
    for quits in [true, false] {
        let (sender, receiver) = channel();
        thread::spawn(move || {
            let limits = Limits {
                max_pending_leader_requests: 4,
                ..Limits::default()
            };
            let mut voter = SingleVoter::start(limits);
            if !quits {
                // The duty is to be released when the next renewal is answered.
                let hand_off = FleetAction::HandOffDuty {
                    duty: "export".into(),
                    preferred_holder: None,
                };
                voter.handle(Input::Call(1, OperatorCall::FleetAction(hand_off)));
            }
            voter.is_disk_stalled = true;
            for number in 0..4 {
                let lost = FleetAction::DeclareMemberLost { node: node_name(9) };
                voter.request(number, LeaderRequest::FleetAction(lost));
            }
            if quits {
                voter.handle(Input::Quit);
            }
            voter.run_for(1000);
            sender.send(()).unwrap();
        });
        let outcome = receiver.recv_timeout(RETURN_TIMEOUT);
        assert!(
            outcome.is_ok(),
            "quits: {quits}: the member does not return"
        );
    }
}

/// Guards against a session that stays for ever: a member asked to leave while the leader could take no entries, and
/// died before it could ask again. Its lease counted as being ended already, so nobody ended it, and its duties stayed
/// with it.
#[test]
fn a_session_whose_leave_was_rejected_ends_with_its_lease() {
    let mut limits = Limits::default();
    limits.consensus.max_uncommitted_entries = 4;
    let lease = limits.granted_lease_duration();
    let mut voter = SingleVoter::start(limits);
    let join = LeaderRequest::Join {
        nonce: 11,
        wanted_duties: Vec::new(),
        replaced_session: None,
        incarnation: 11,
        last_seen_number: 0,
        weight: 1,
        budgets: Vec::new(),
        units_in_use: Vec::new(),
    };
    voter.request(1, join);
    let Some(LeaderReply::Joined { session, .. }) = voter.replies.pop() else {
        panic!("{:?}", voter.replies);
    };
    voter.is_disk_stalled = true;
    for number in 2..8 {
        let lost = FleetAction::DeclareMemberLost { node: node_name(9) };
        voter.request(number, LeaderRequest::FleetAction(lost));
    }
    voter.replies.clear();
    let leave = LeaderRequest::Leave {
        session,
        units_in_use: Vec::new(),
    };
    voter.request(8, leave);
    assert!(
        matches!(&voter.replies[..], [LeaderReply::RetryLater(_)]),
        "{:?}",
        voter.replies
    );
    voter.is_disk_stalled = false;
    voter.run_for(lease + 1000);
    let sessions = voter.member.state().unwrap().sessions();
    assert!(
        !sessions.contains_key(&session),
        "the session has not ended"
    );
}

#[test]
fn a_member_that_can_not_read_its_log_reports_it_and_applies_nothing() {
    let members = Members(
        [(
            NodeId(7),
            Voter {
                name: node_name(0),
                is_voter: true,
            },
        )]
        .into(),
    );
    let snapshot = Snapshot {
        index: 5,
        term: 1,
        members,
        data: vec![9, 1, 2],
    };
    let durable_state = DurableState {
        term: 1,
        snapshot: Some(snapshot),
        ..DurableState::default()
    };
    let saved = SavedState {
        is_formed: true,
        consensus_state: durable_state,
        ..SavedState::new(NodeId(7))
    };
    let mut member = Member::new(config(Limits::default()), Some(saved), 1, 1000);
    let mut halted_count = 0;
    for now in (1000..12_000).step_by(5) {
        let mut record_numbers = Vec::new();
        let outputs = member.handle(now, Input::Tick);
        for output in outputs {
            match output {
                Output::Event(Event::Halted { why }) => {
                    assert!(why.contains("version 9"), "{why}");
                    halted_count += 1;
                }
                Output::SaveRecord(number, _) => record_numbers.push(number),
                _ => {}
            }
        }
        record_numbers
            .into_iter()
            .for_each(|number| drop(member.handle(now, Input::RecordsSaved(number))));
    }
    assert_eq!(
        (
            halted_count,
            member.session(),
            member.held_fence("export", 12_000)
        ),
        (1, None, None)
    );
}
