//! The client side of a session with the leader: the lease, and the duties and shares that a member holds under it. All
//! times are of the member's own clock; a lease counts from when the request for it was sent.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use violetwind_consensus::Millis;

use crate::budget::{Acquisition, BudgetDefinition, BudgetKind, Meters, Part};
use crate::events::{Event, LossReason};
use crate::limits::Limits;
use crate::messages::{LeaderReply, LeaderRequest, Name, Number, SessionId, VersionedShares};

/// The number of requests whose replies are still accepted.
const MAX_PENDING_REQUESTS: usize = 64;
/// The number of pending requests that lower shares. If a thousand budgets shrink at once, they must not displace the
/// renewal whose reply extends the lease.
const MAX_PENDING_LOWERS: usize = 16;

/// The kind of a pending request, with the identifiers of its subject.
#[derive(Clone, Debug, PartialEq, Eq)]
enum RequestKind {
    Join,
    Renew,
    ReleaseDuty(Name, Number),
    LowerShare(Name),
    BeginLeave,
    Leave,
}

impl RequestKind {
    /// Whether it changes the session through the log; the others are repeated at intervals.
    fn is_change(&self) -> bool {
        !matches!(self, Self::Join | Self::Renew)
    }
}

#[derive(Clone, Debug)]
struct Session {
    id: SessionId,
    /// The end of the lease. Duties and shares are given up a margin before it.
    expires_at: Millis,
    /// Whether the duties and shares were given up because the lease was not renewed in time. Set a margin before the
    /// lease itself expires; from then on the session is not used.
    has_expired: bool,
}

/// An operator's program that works on a duty.
#[derive(Clone, Debug)]
struct Hold {
    token: Name,
    /// The time until which the program was allowed to work.
    valid_until: Millis,
}

/// A duty that this member has given up, and whose release the leader has not confirmed yet.
#[derive(Clone, Debug)]
struct PendingRelease {
    fence: Number,
    preferred_holder: Option<Name>,
}

/// The client side of a member's session with the leader.
#[derive(Clone, Debug)]
pub struct SessionClient {
    wanted_duties: Vec<Name>,
    nonce: Number,
    /// Identifies the process; constant for as long as it runs.
    incarnation: Number,
    /// The last number of the log that the leader has reported; sent with requests for a session.
    last_seen_number: Number,
    /// Whether this process has begun to report its final usage and leave: no share is valid from then on.
    reports_final_usage: bool,
    budgets: Vec<BudgetDefinition>,
    meters: Meters,
    /// The term of the last leader that answered a renewal.
    leader_term: u64,
    last_renewal_sent_at: Millis,
    /// Whether the leader has confirmed [`LeaderRequest::BeginLeave`].
    has_begun_leave: bool,
    session: Option<Session>,
    /// Duties held now, with their fencing numbers.
    held_duties: BTreeMap<Name, Number>,
    pending_releases: BTreeMap<Name, PendingRelease>,
    /// For each duty the last fencing number under which it was given up here, so that a late reply does not restore
    /// it.
    given_up_fences: BTreeMap<Name, Number>,
    operator_holds: BTreeMap<Name, Hold>,
    /// Requests without a reply, with the time at which each was sent.
    pending_requests: VecDeque<(Number, Millis, RequestKind)>,
    /// The applied index of the newest reply about this session.
    applied_index: u64,
    /// The last request that was answered.
    last_answered_request: Number,
    last_answered_at: Millis,
    /// The last request that was not answered in time.
    last_missed_request: Number,
    /// When the next request was last brought forward because a leader was found.
    last_early_request_at: Millis,
    last_request_number: Number,
    next_request_at: Millis,
    /// No change is requested before: the last one could not be served.
    next_change_at: Millis,
    last_tick_at: Millis,
    /// When the session is abandoned if leaving has not completed; `None` while the process does not shut down.
    quit_deadline: Option<Millis>,
    /// Whether to leave only once it is committed that this process has stopped serving, for at most the drain timeout.
    leaves_after_drain: bool,
    has_left: bool,
    /// The last reported reason for having no session.
    no_session_reason: Option<LossReason>,
    /// Whether the absence of a leader has been reported.
    no_leader_reported: bool,
}

impl SessionClient {
    /// A client without a session. `external_budgets` are the budgets that are counted elsewhere in this process;
    /// `nonce` must differ between processes.
    pub fn new(
        wanted_duties: Vec<Name>,
        budgets: Vec<BudgetDefinition>,
        external_budgets: &BTreeSet<Name>,
        nonce: Number,
        now: Millis,
        limits: &Limits,
    ) -> Self {
        Self {
            wanted_duties,
            nonce,
            incarnation: nonce,
            last_seen_number: 0,
            reports_final_usage: false,
            meters: Meters::new(&budgets, external_budgets, now, limits),
            budgets,
            leader_term: 0,
            last_renewal_sent_at: 0,
            has_begun_leave: false,
            session: None,
            held_duties: BTreeMap::new(),
            pending_releases: BTreeMap::new(),
            given_up_fences: BTreeMap::new(),
            operator_holds: BTreeMap::new(),
            pending_requests: VecDeque::new(),
            applied_index: 0,
            last_answered_request: 0,
            last_answered_at: now,
            last_missed_request: 0,
            last_early_request_at: 0,
            last_request_number: 0,
            next_request_at: now,
            next_change_at: now,
            last_tick_at: now,
            quit_deadline: None,
            leaves_after_drain: false,
            has_left: false,
            no_session_reason: None,
            no_leader_reported: false,
        }
    }

    /// The session, if its lease has not expired.
    pub fn session(&self) -> Option<SessionId> {
        self.session
            .as_ref()
            .filter(|session| !session.has_expired)
            .map(|session| session.id)
    }

    /// Sets whether to leave only once it is committed that this process has stopped serving.
    pub fn set_leave_after_drain(&mut self, leaves_after_drain: bool) {
        self.leaves_after_drain = leaves_after_drain;
    }

    /// Whether the session is over, or abandoned, after [`Self::quit`].
    pub fn has_left(&self) -> bool {
        self.has_left
    }

    /// The time of the last reply of a leader.
    pub fn last_answered_at(&self) -> Millis {
        self.last_answered_at
    }

    /// The time until which duties and shares are held: the end of the lease less the margin.
    fn held_until(&self, limits: &Limits) -> Millis {
        let session = self.session.as_ref().filter(|session| !session.has_expired);
        session.map_or(0, |session| {
            session.expires_at.saturating_sub(limits.lease_margin)
        })
    }

    /// The fencing number of a duty that is held now, and the milliseconds for which it is held at least.
    pub fn held_fence(&self, duty: &str, now: Millis, limits: &Limits) -> Option<(Number, Millis)> {
        let fence = *self.held_duties.get(duty)?;
        let remaining = self
            .held_until(limits)
            .checked_sub(now)
            .filter(|remaining| *remaining > 0)?;
        Some((fence, remaining))
    }

    fn has_lease(&self, now: Millis, limits: &Limits) -> bool {
        now < self.held_until(limits)
    }

    /// Acquires one unit of a budget, if it may be used now.
    pub fn acquire_unit(&mut self, budget: &str, now: Millis, limits: &Limits) -> Acquisition {
        let has_lease = self.has_lease(now, limits);
        let acquisition = self.meters.acquire(budget, now, has_lease, limits);
        if matches!(acquisition, Acquisition::Denied { .. }) {
            self.renew_early_if_needed(now, limits);
        }
        acquisition
    }

    /// The parts of externally counted budgets that have changed, each with its number.
    pub fn changed_parts(&mut self, now: Millis, limits: &Limits) -> Vec<(Name, u64, Part)> {
        let end = if self.reports_final_usage {
            0
        } else {
            self.held_until(limits)
        };
        self.meters.changed_parts(now, end, limits)
    }

    /// Records the usage of a budget that is counted elsewhere in this process: the budget, the number of the part that
    /// was in force, the units in use, and how often the part was too small.
    pub fn record_external_usage(
        &mut self,
        (budget, part_number, in_use, denied): (&str, u64, u64, u64),
        now: Millis,
        limits: &Limits,
    ) {
        self.meters
            .record_external_usage(budget, part_number, in_use, denied, now);
        self.renew_early_if_needed(now, limits);
    }

    /// Brings the next renewal forward if there is a need that the leader has no report of, to at most eight renewals
    /// in a renewal interval.
    fn renew_early_if_needed(&mut self, now: Millis, limits: &Limits) {
        if self.meters.has_unreported_need() {
            self.next_request_at = self
                .next_request_at
                .min(now.max(self.last_renewal_sent_at + limits.renew_interval / 8));
        }
    }

    /// Releases one unit of a budget.
    pub fn release_unit(&mut self, budget: &str) {
        self.meters.release(budget);
    }

    /// The units in use and the units allowed now, of a configured budget.
    pub fn budget_usage(
        &mut self,
        budget: &str,
        now: Millis,
        limits: &Limits,
    ) -> Option<(u64, u64)> {
        let has_lease = self.has_lease(now, limits);
        self.meters.usage(budget, now, has_lease, limits)
    }

    /// The configured budgets.
    pub fn budgets(&self) -> &[BudgetDefinition] {
        &self.budgets
    }

    /// Lets an operator's program work on a duty from now on. Returns the fencing number, and the milliseconds for
    /// which the program may work.
    ///
    /// # Errors
    /// The duty is not held here, or another program works on it.
    pub fn hold_duty(
        &mut self,
        duty: &str,
        token: &str,
        now: Millis,
        limits: &Limits,
    ) -> Result<(Number, Millis), String> {
        let Some((fence, remaining)) = self.held_fence(duty, now, limits) else {
            return Err(match self.wanted_duties.iter().any(|name| name == duty) {
                true => "not held here".into(),
                false => "this member has no such duty".into(),
            });
        };
        if let Some(hold) = self.operator_holds.get(duty)
            && hold.token != token
            && now < hold.valid_until
        {
            return Err("another program works on it".into());
        }
        let hold = Hold {
            token: token.to_string(),
            valid_until: now + remaining,
        };
        self.operator_holds.insert(duty.to_string(), hold);
        Ok((fence, remaining))
    }

    /// The operator's program has stopped working on the duty.
    pub fn end_hold(&mut self, duty: &str, token: &str) {
        self.operator_holds
            .retain(|name, hold| name != duty || hold.token != token);
    }

    /// Gives up all duties, then leaves the session.
    pub fn quit(&mut self, now: Millis, limits: &Limits, events: &mut Vec<Event>) {
        if self.quit_deadline.is_some() {
            return;
        }
        self.quit_deadline = Some(now + limits.handoff_timeout);
        self.lose_all_duties(&LossReason::Ending, events);
        self.next_request_at = now;
        if self.session.is_none() {
            self.has_left = true;
        }
    }

    /// Renews at once, since the leader has reported a change.
    pub fn renew_now(&mut self, now: Millis) {
        self.next_request_at = self.next_request_at.min(now);
        self.pending_requests
            .retain(|(_, _, kind)| *kind != RequestKind::Renew);
    }

    /// Applies the committed shares and the targets to lower them to, as of the log index `applied_index`.
    pub fn apply_session_update(
        &mut self,
        session: SessionId,
        applied_index: u64,
        shares: &VersionedShares,
        lower_targets: &[(Name, u64)],
    ) {
        let current = self.session.as_ref();
        let is_current =
            current.is_some_and(|current| current.id == session && !current.has_expired);
        if is_current && !self.reports_final_usage {
            self.meters.set_shares(shares.0, &shares.1);
            if applied_index >= self.applied_index {
                self.meters.set_lower_targets(lower_targets);
            }
        }
    }

    /// Sends the next request at once, since a leader was found; at most once in the retry delay, so that two members
    /// that each name the other as the leader do not get requests in turns.
    pub fn request_soon(&mut self, now: Millis, limits: &Limits) {
        if now >= self.last_early_request_at + limits.retry_delay {
            self.last_early_request_at = now;
            self.next_request_at = self.next_request_at.min(now);
        }
    }

    /// Handles the passing of time. Returns `true` if a request has not been answered in time.
    pub fn tick(&mut self, now: Millis, limits: &Limits, events: &mut Vec<Event>) -> bool {
        let stalled = now.saturating_sub(self.last_tick_at);
        self.last_tick_at = now;
        let held_until = self.held_until(limits);
        if now >= held_until
            && self
                .session
                .as_ref()
                .is_some_and(|session| !session.has_expired)
        {
            let why = match stalled > limits.lease_margin {
                true => LossReason::Stalled {
                    by: now - held_until,
                },
                false => LossReason::NotRenewed {
                    since: now.saturating_sub(self.last_answered_at),
                },
            };
            self.lose_all_duties(&why, events);
            if let Some(session) = &mut self.session {
                session.has_expired = true;
            }
            self.pending_releases.clear();
            self.meters.clear_shares();
            self.abandon_session(now);
        }
        self.renew_early_if_needed(now, limits);
        self.operator_holds.retain(|_, hold| now < hold.valid_until);
        let drain_wait = if self.leaves_after_drain {
            limits.drain_timeout
        } else {
            0
        };
        if self
            .quit_deadline
            .is_some_and(|until| now >= until + drain_wait)
        {
            self.has_left = true;
        }
        let since = now.saturating_sub(self.last_answered_at);
        if since >= limits.lease_duration && !self.no_leader_reported {
            self.no_leader_reported = true;
            events.push(Event::NoLeader { since });
        }
        let reply_timeout = limits.renew_interval / 2;
        let is_late = |(number, sent_at, _): &(Number, Millis, RequestKind)| {
            *number > self.last_answered_request.max(self.last_missed_request)
                && now >= *sent_at + reply_timeout
        };
        if let Some((number, ..)) = self
            .pending_requests
            .back()
            .filter(|pending| is_late(pending))
        {
            self.last_missed_request = *number;
            self.next_request_at = self.next_request_at.min(now);
            return true;
        }
        false
    }

    /// Abandons the session: the next request is for a new one, under a new nonce.
    fn abandon_session(&mut self, now: Millis) {
        self.nonce = self.nonce.wrapping_add(1);
        self.next_request_at = now;
        self.pending_requests.clear();
    }

    /// Gives up all duties.
    fn lose_all_duties(&mut self, why: &LossReason, events: &mut Vec<Event>) {
        for (duty, fence) in std::mem::take(&mut self.held_duties) {
            self.given_up_fences.insert(duty.clone(), fence);
            events.push(Event::Lost {
                duty,
                fence,
                why: why.clone(),
            });
        }
    }

    /// The request to send now, if any, with its number.
    pub fn next_request(
        &mut self,
        now: Millis,
        limits: &Limits,
    ) -> Option<(Number, LeaderRequest)> {
        if self.has_left {
            return None;
        }
        let is_quitting = self.quit_deadline.is_some();
        let is_unused = |duty: &&Name| !self.operator_holds.contains_key(*duty);
        let may_change = now >= self.next_change_at;
        let unused_release = self.pending_releases.keys().find(is_unused).cloned();
        let release = unused_release.filter(|_| may_change);
        let session = self.session.clone();
        let reply_timeout = limits.renew_interval / 2;
        let recent = self
            .pending_requests
            .iter()
            .filter(|(_, sent_at, _)| now < *sent_at + reply_timeout);
        let pending: Vec<RequestKind> = recent.map(|(.., kind)| kind.clone()).collect();
        let is_pending = |kind: &RequestKind| pending.contains(kind);
        let lower_count = pending
            .iter()
            .filter(|kind| matches!(kind, RequestKind::LowerShare(_)))
            .count();
        let may_leave = may_change
            && is_quitting
            && self.operator_holds.is_empty()
            && self.can_leave(now, limits);
        let share_to_lower = match &session {
            Some(session)
                if may_change && !session.has_expired && lower_count < MAX_PENDING_LOWERS =>
            {
                let is_lower_pending =
                    |budget: &Name| is_pending(&RequestKind::LowerShare(budget.clone()));
                self.meters
                    .next_share_to_lower(now, limits, is_lower_pending)
            }
            _ => None,
        };
        let (kind, request) = match (session, release) {
            // The session is kept until operators' programs have ended, or the time granted to them is over.
            (Some(session), _) if may_leave && !session.has_expired => {
                let (kind, request) = match self.has_begun_leave
                    || (self.budgets.is_empty() && !self.leaves_after_drain)
                {
                    true => {
                        // No share is valid from here on, so the units in use beyond floors do not grow after they are
                        // reported.
                        if !std::mem::replace(&mut self.reports_final_usage, true) {
                            self.meters.clear_shares();
                        }
                        if !self.meters.is_usage_confirmed() {
                            return None;
                        }
                        let units_in_use = self.meters.units_in_use(now, limits);
                        (
                            RequestKind::Leave,
                            LeaderRequest::Leave {
                                session: session.id,
                                units_in_use,
                            },
                        )
                    }
                    false => (
                        RequestKind::BeginLeave,
                        LeaderRequest::BeginLeave {
                            session: session.id,
                        },
                    ),
                };
                if is_pending(&kind) {
                    return None;
                }
                (kind, request)
            }
            (session, _)
                if is_quitting && session.as_ref().is_none_or(|session| session.has_expired) =>
            {
                self.has_left = true;
                return None;
            }
            (Some(session), Some(duty))
                if !is_pending(&RequestKind::ReleaseDuty(
                    duty.clone(),
                    self.pending_releases[&duty].fence,
                )) =>
            {
                let release = &self.pending_releases[&duty];
                let request = LeaderRequest::ReleaseDuty {
                    session: session.id,
                    duty: duty.clone(),
                    fence: release.fence,
                    preferred_holder: release.preferred_holder.clone(),
                };
                (RequestKind::ReleaseDuty(duty, release.fence), request)
            }
            (Some(session), _) if share_to_lower.is_some() => {
                let (need, units, share_version) = share_to_lower.expect("checked by the guard");
                (
                    RequestKind::LowerShare(need.budget.clone()),
                    LeaderRequest::LowerShare {
                        session: session.id,
                        need,
                        units,
                        share_version,
                    },
                )
            }
            _ if now < self.next_request_at => return None,
            (Some(session), _) if !session.has_expired => {
                self.next_request_at = now + limits.renew_interval;
                self.last_renewal_sent_at = now;
                (
                    RequestKind::Renew,
                    LeaderRequest::Renew {
                        session: session.id,
                        needs: self.meters.next_needs(now, self.leader_term, limits),
                        known_version: self.meters.shares_version(),
                    },
                )
            }
            // The reported usage has to be final: budgets that are counted elsewhere must have confirmed that no share
            // is valid any more.
            _ if !self.meters.is_usage_confirmed() => return None,
            (session, _) => {
                self.next_request_at = now + limits.renew_interval;
                let request = LeaderRequest::Join {
                    nonce: self.nonce,
                    wanted_duties: self.wanted_duties.clone(),
                    replaced_session: session.map(|session| session.id),
                    incarnation: self.incarnation,
                    last_seen_number: self.last_seen_number,
                    weight: limits.weight,
                    budgets: self.budgets.clone(),
                    units_in_use: self.meters.units_in_use(now, limits),
                };
                (RequestKind::Join, request)
            }
        };
        self.last_request_number += 1;
        if self.pending_requests.len() >= MAX_PENDING_REQUESTS {
            self.pending_requests.pop_front();
        }
        self.pending_requests
            .push_back((self.last_request_number, now, kind));
        Some((self.last_request_number, request))
    }

    /// Handles a reply. Returns `false` if the request is not pending any more, or if the reply is that another member
    /// leads or that the request has to be repeated.
    pub fn handle_reply(
        &mut self,
        number: Number,
        reply: &LeaderReply,
        now: Millis,
        limits: &Limits,
        events: &mut Vec<Event>,
    ) -> bool {
        let Some(position) = self
            .pending_requests
            .iter()
            .position(|(pending, ..)| *pending == number)
        else {
            return false;
        };
        let (_, sent_at, kind) = self.pending_requests.remove(position).expect("found above");
        let is_done = matches!(reply, LeaderReply::Done | LeaderReply::ShareLowered(_));
        if kind.is_change() && !is_done {
            // A leader replies to itself at once: without a delay it would repeat the request without end.
            self.next_change_at = now + limits.request_retry_delay;
        }
        match (kind, reply) {
            (
                RequestKind::Join,
                LeaderReply::Joined {
                    session,
                    applied_index,
                    held_duties,
                    shares,
                },
            ) => {
                let expires_at = sent_at + limits.lease_duration;
                match &mut self.session {
                    // The reply to a repeated request.
                    Some(current) if current.id == *session && !current.has_expired => {
                        current.expires_at = current.expires_at.max(expires_at);
                    }
                    current => {
                        *current = Some(Session {
                            id: *session,
                            expires_at,
                            has_expired: false,
                        });
                        self.pending_releases.clear();
                        self.no_session_reason = None;
                        self.applied_index = 0;
                        self.meters.clear_shares();
                        self.last_seen_number = self.last_seen_number.max(*session);
                        events.push(Event::Session { number: *session });
                    }
                }
                self.update_held_duties(*applied_index, now, held_duties, &[], limits, events);
                if !self.reports_final_usage {
                    self.meters.set_shares(shares.0, &shares.1);
                }
            }
            (
                RequestKind::Renew,
                LeaderReply::Renewed {
                    applied_index,
                    held_duties,
                    duties_to_release,
                    shares,
                    lower_targets,
                    term,
                },
            ) => {
                let Some(session) = self.session.as_mut().filter(|session| !session.has_expired)
                else {
                    return false;
                };
                session.expires_at = session.expires_at.max(sent_at + limits.lease_duration);
                if let Some((version, shares)) = shares
                    && !self.reports_final_usage
                {
                    self.meters.set_shares(*version, shares);
                }
                if *applied_index >= self.applied_index {
                    self.meters.set_lower_targets(lower_targets);
                    self.leader_term = *term;
                }
                let took = now.saturating_sub(sent_at);
                let term = *term;
                for need in self.meters.update_unmet_needs(now, limits) {
                    events.push(Event::NeedLeftOpen { need, term, took });
                }
                self.update_held_duties(
                    *applied_index,
                    now,
                    held_duties,
                    duties_to_release,
                    limits,
                    events,
                );
            }
            (RequestKind::Renew, LeaderReply::SessionNotFound) => {
                self.lose_all_duties(&LossReason::SessionOver, events);
                self.pending_releases.clear();
                self.meters.clear_shares();
                self.session = None;
                self.report_no_session(LossReason::SessionOver, events);
                self.abandon_session(now);
            }
            // The reply may be about an earlier holding of the duty than the one that is being released now.
            (RequestKind::ReleaseDuty(duty, fence), LeaderReply::Done) => {
                self.pending_releases
                    .retain(|name, release| *name != duty || release.fence != fence);
            }
            // Once the final usage is reported, no share becomes valid again.
            (RequestKind::LowerShare(_), LeaderReply::ShareLowered(_))
                if self.reports_final_usage => {}
            (RequestKind::LowerShare(budget), LeaderReply::ShareLowered(share)) => {
                self.meters.update_share(&budget, *share)
            }
            (RequestKind::BeginLeave, LeaderReply::Done) => self.has_begun_leave = true,
            (
                RequestKind::Leave | RequestKind::BeginLeave,
                LeaderReply::Done | LeaderReply::SessionNotFound,
            ) => self.has_left = true,
            (RequestKind::Join, LeaderReply::JoinOutdated(required_number)) => {
                self.last_seen_number = self.last_seen_number.max(*required_number);
                self.next_request_at = now;
            }
            (RequestKind::Join, LeaderReply::Refused(why)) => {
                self.report_no_session(LossReason::Refused(why.clone()), events);
                self.next_request_at = now + limits.lease_duration;
            }
            (RequestKind::Join, LeaderReply::RetryLater(_)) => {
                self.report_no_session(LossReason::NameInUse, events);
                self.next_request_at = now + limits.retry_delay;
            }
            (_, LeaderReply::NotLeader(_) | LeaderReply::RetryLater(_)) => {
                self.next_request_at = now + limits.retry_delay;
                return false;
            }
            _ => {}
        }
        self.last_answered_request = self.last_answered_request.max(number);
        self.last_answered_at = now;
        if std::mem::take(&mut self.no_leader_reported) {
            events.push(Event::LeaderAgain);
        }
        true
    }

    /// Whether no units of concurrent budgets require the session to be kept. Units that are still in use shortly
    /// before the quit deadline are stranded.
    fn can_leave(&mut self, now: Millis, limits: &Limits) -> bool {
        if !self.has_begun_leave {
            return true;
        }
        if self.leaves_after_drain {
            return false;
        }
        let is_deadline_near = self
            .quit_deadline
            .is_some_and(|until| now + limits.retry_delay >= until);
        let is_concurrent = |name: &Name| {
            let definition = self
                .budgets
                .iter()
                .find(|definition| definition.name == *name);
            definition.is_some_and(|definition| definition.kind == BudgetKind::Concurrent)
        };
        is_deadline_near
            || !self
                .meters
                .units_in_use(now, limits)
                .iter()
                .any(|(name, _)| is_concurrent(name))
    }

    /// Reports the reason for having no session, once for as long as it stays the same.
    fn report_no_session(&mut self, why: LossReason, events: &mut Vec<Event>) {
        if self.no_session_reason.as_ref() != Some(&why) {
            self.no_session_reason = Some(why.clone());
            events.push(Event::NoSession { why });
        }
    }

    /// Updates the held duties to those of a reply as of the log index `applied_index`, and gives up the duties to
    /// release.
    fn update_held_duties(
        &mut self,
        applied_index: u64,
        now: Millis,
        held_duties: &[(Name, Number)],
        duties_to_release: &[(Name, Option<Name>)],
        limits: &Limits,
        events: &mut Vec<Event>,
    ) {
        // Replies may arrive out of order: the newest applied index counts, whichever request the reply answers.
        if applied_index < self.applied_index {
            return;
        }
        self.applied_index = applied_index;
        let known_duties: Vec<Name> = self.held_duties.keys().cloned().collect();
        for duty in known_duties {
            let fence = self.held_duties[&duty];
            if !held_duties.contains(&(duty.clone(), fence)) {
                self.held_duties.remove(&duty);
                self.given_up_fences.insert(duty.clone(), fence);
                // Only this duty is missing from the leader's reply; the session may continue.
                events.push(Event::Lost {
                    duty,
                    fence,
                    why: LossReason::SessionOver,
                });
            }
        }
        for (duty, fence) in held_duties {
            let was_given_up = self
                .given_up_fences
                .get(duty)
                .is_some_and(|released| fence <= released);
            let may_hold = now < self.held_until(limits) && self.quit_deadline.is_none();
            if !was_given_up && may_hold && self.held_duties.insert(duty.clone(), *fence).is_none()
            {
                events.push(Event::Gained {
                    duty: duty.clone(),
                    fence: *fence,
                });
            }
        }
        for (duty, preferred_holder) in duties_to_release {
            if let Some(fence) = self.held_duties.remove(duty) {
                self.given_up_fences.insert(duty.clone(), fence);
                self.pending_releases.insert(
                    duty.clone(),
                    PendingRelease {
                        fence,
                        preferred_holder: preferred_holder.clone(),
                    },
                );
                events.push(Event::Lost {
                    duty: duty.clone(),
                    fence,
                    why: LossReason::HandedOn,
                });
            }
        }
    }
}
