//! A harness that drives a balancer alone, with its own clock, and shorthands for events.
#![allow(dead_code)]

use violetwind_balancer::Balancer;
use violetwind_balancer::api::*;

/// A balancer under test and its clock.
pub struct BalancerHarness {
    pub balancer: Balancer,
    pub now: Seconds,
}

pub fn class(idempotency: Idempotency, dedup_scope: DedupScope) -> Class {
    Class {
        idempotency,
        dedup_scope,
        dedup_window: 5.0,
        setup_target: 0.5,
        worth: 1.0,
    }
}

pub fn settings() -> Settings {
    Settings {
        fleet_size: 1,
        balancer_index: 0,
        zone: Some(0),
        zones: 1,
        classes: vec![class(Idempotency::Safe, DedupScope::All)],
        tenants: Vec::new(),
        report_fields: vec![ReportField::Load],
        max_attempts: 3,
        max_retry_after: 1.0,
        may_retry_after: true,
        may_probe: true,
        may_cancel: true,
        requires_subscription: false,
        resubscribe_within: 10.0,
        slow_start_min_share: 0.2,
        slow_start_window: 10.0,
        overload_multiple: 3.0,
        overload_duration: 2.0,
        group_affinity: false,
        price_cross_zone: 0.1,
        price_probe: 0.0,
        over_share_worth: 0.1,
        retry_budget: None,
        message_delay_target: None,
    }
}

pub fn entry(server: ServerId) -> Entry {
    Entry {
        server,
        status: Status::Up,
        zone: Some(0),
        kind: Some(0),
        cell: 0,
        size: None,
        started_at: None,
    }
}

pub fn request(id: RequestId) -> Request {
    Request {
        id,
        class: 0,
        tenant: None,
        group: None,
        hint: Some(0.1),
        client_timeout: 2.0,
        is_repeat: false,
    }
}

pub fn grouped_request(id: RequestId, group: u64) -> Request {
    Request {
        group: Some(group),
        hint: Some(0.02),
        ..request(id)
    }
}

pub fn load_report(load: f64) -> Report {
    Report {
        load: Some(load),
        ..Report::default()
    }
}

/// The server to which the request was sent, if it was sent.
pub fn sent_to(actions: &[Action], id: RequestId) -> Option<ServerId> {
    actions.iter().find_map(|action| match action {
        Action::Send(sent, server, ..) if *sent == id => Some(*server),
        _ => None,
    })
}

pub fn refused_requests(actions: &[Action]) -> Vec<RequestId> {
    let refused = |action: &Action| match action {
        Action::Refuse(id, _) => Some(*id),
        _ => None,
    };
    actions.iter().filter_map(refused).collect()
}

pub fn moved_requests(actions: &[Action]) -> Vec<RequestId> {
    let moved = |action: &Action| match action {
        Action::Move(id) => Some(*id),
        _ => None,
    };
    actions.iter().filter_map(moved).collect()
}

impl BalancerHarness {
    pub fn new(settings: Settings, entries: Vec<Entry>, seed: u64) -> Self {
        let mut harness = Self {
            balancer: Balancer::new(settings, seed),
            now: 100.0,
        };
        harness.handle_and_answer_probes(Event::Start);
        harness.handle_and_answer_probes(Event::Servers(ListKind::Restored, entries));
        harness
    }

    /// Returns the actions that follow from an event. Every probe is answered at once with `Full` and an empty report.
    pub fn handle_and_answer_probes(&mut self, event: Event) -> Vec<Action> {
        let mut actions = self.handle_event(event);
        let mut answered = 0;
        while let Some(action) = actions.get(answered).cloned() {
            answered += 1;
            if let Action::Probe(server) = action {
                let result = Event::Probed(server, Outcome::Full, Report::default());
                actions.extend(self.handle_event(result));
            }
        }
        actions
    }

    /// Returns the actions that follow from an event alone; the test answers probes.
    pub fn handle_event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle_event(self.now, event, &mut actions);
        actions
    }

    pub fn report_load(&mut self, server: ServerId, load: f64) -> Vec<Action> {
        self.answer_periodic_probe(server, load_report(load))
    }

    /// Triggers a periodic probe and answers it with `report`.
    pub fn answer_periodic_probe(&mut self, server: ServerId, report: Report) -> Vec<Action> {
        self.handle_event(Event::Timer((1 << 32) + u64::from(server)));
        self.handle_event(Event::Probed(server, Outcome::Ok, report))
    }

    pub fn time_out_probe(&mut self, server: ServerId) {
        self.handle_and_answer_probes(Event::Probed(server, Outcome::TimedOut, Report::default()));
    }

    pub fn place_request(&mut self, id: RequestId) -> Option<ServerId> {
        let actions = self.handle_and_answer_probes(Event::Request(request(id)));
        sent_to(&actions, id)
    }

    pub fn end_attempt(
        &mut self,
        id: RequestId,
        server: ServerId,
        outcome: Outcome,
    ) -> Vec<Action> {
        self.report_outcome(id, server, outcome, false)
    }

    pub fn report_outcome(
        &mut self,
        id: RequestId,
        server: ServerId,
        outcome: Outcome,
        is_final: bool,
    ) -> Vec<Action> {
        let report = Report::default();
        self.handle_and_answer_probes(Event::Outcome(AttemptEnd {
            id,
            server,
            outcome,
            is_final,
            report,
        }))
    }

    /// Opens connections with these loads on a server, with request ids from `first` on.
    pub fn open_connections(&mut self, server: ServerId, first: RequestId, loads: &[f64]) {
        for (id, load) in (first..).zip(loads) {
            self.handle_and_answer_probes(Event::Open(
                Request {
                    hint: Some(*load),
                    ..request(id)
                },
                server,
            ));
        }
    }
}
