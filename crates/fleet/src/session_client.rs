//! A member as the client of whoever leads: its session, and what it holds by it. All times are its own; a lease
//! counts from before it was asked for.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use violetwind_consensus::Millis;

use crate::budget::{Acquisition, BudgetDefinition, BudgetKind, Meters, Part};
use crate::events::{Event, LossReason};
use crate::limits::Limits;
use crate::messages::{LeaderReply, LeaderRequest, Name, Number, SessionId, VersionedShares};

/// Asks whose answers may still come, and words about lowered shares among them: a thousand budgets that shrink at
/// once must not push the renewal out whose answer keeps the lease.
const OUT: usize = 64;
const LOWERS: usize = 16;

#[derive(Clone, Debug, PartialEq, Eq)]
enum What {
    Join,
    Renew,
    Release(Name, Number),
    Lower(Name),
    Retire,
    Leave,
}

#[derive(Clone, Debug)]
struct Session {
    id: SessionId,
    /// The lease ends then; what is held is held until a margin before.
    until: Millis,
    /// What was held was given up, as the lease was not renewed in time.
    lapsed: bool,
}

/// A program of an operator that works on a duty.
#[derive(Clone, Debug)]
struct Hold {
    token: Name,
    /// It was told that it may work until then.
    until: Millis,
}

/// A duty that is given up and not released yet.
#[derive(Clone, Debug)]
struct Giving {
    fence: Number,
    to: Option<Name>,
}

#[derive(Clone, Debug)]
pub struct SessionClient {
    wants: Vec<Name>,
    nonce: Number,
    /// The same for as long as the process runs.
    process: Number,
    seen: Number,
    /// It has said what it uses and that it leaves: no share counts from then on.
    leaves: bool,
    budgets: Vec<BudgetDefinition>,
    meters: Meters,
    /// The last leader's term.
    term: u64,
    renewed_at: Millis,
    retired: bool,
    session: Option<Session>,
    held: BTreeMap<Name, Number>,
    giving: BTreeMap<Name, Giving>,
    /// The number up to which a duty was given up here: late answers do not bring it back.
    given: BTreeMap<Name, Number>,
    holds: BTreeMap<Name, Hold>,
    out: VecDeque<(Number, Millis, What)>,
    /// How far the log was in the newest answer about this session.
    at: u64,
    /// The last ask that was answered.
    heard: Number,
    answered: Millis,
    /// The last ask that was not answered in time.
    missed: Number,
    hurried: Millis,
    next: Number,
    ask_at: Millis,
    ticked: Millis,
    quits: Option<Millis>,
    /// It leaves once the log has it that this process serves nobody, if that comes soon.
    waits: bool,
    left: bool,
    no_session: Option<LossReason>,
    /// That nobody leads has been told.
    alone: bool,
}

impl SessionClient {
    /// `nonce` is another one with each process.
    pub fn new(
        wants: Vec<Name>,
        budgets: Vec<BudgetDefinition>,
        outside: &BTreeSet<Name>,
        nonce: Number,
        now: Millis,
        limits: &Limits,
    ) -> Self {
        Self {
            wants,
            nonce,
            process: nonce,
            seen: 0,
            leaves: false,
            meters: Meters::new(&budgets, outside, now, limits),
            budgets,
            term: 0,
            renewed_at: 0,
            retired: false,
            session: None,
            held: BTreeMap::new(),
            giving: BTreeMap::new(),
            given: BTreeMap::new(),
            holds: BTreeMap::new(),
            out: VecDeque::new(),
            at: 0,
            heard: 0,
            answered: now,
            missed: 0,
            hurried: 0,
            next: 0,
            ask_at: now,
            ticked: now,
            quits: None,
            waits: false,
            left: false,
            no_session: None,
            alone: false,
        }
    }

    pub fn session(&self) -> Option<SessionId> {
        self.session
            .as_ref()
            .filter(|session| !session.lapsed)
            .map(|session| session.id)
    }

    pub fn set_leave_after_drain(&mut self, waits: bool) {
        self.waits = waits;
    }

    pub fn has_left(&self) -> bool {
        self.left
    }

    pub fn last_answered_at(&self) -> Millis {
        self.answered
    }

    /// Until when all that is held is held.
    fn end(&self, limits: &Limits) -> Millis {
        let session = self.session.as_ref().filter(|session| !session.lapsed);
        session.map_or(0, |session| {
            session.until.saturating_sub(limits.lease_margin)
        })
    }

    /// The fencing number of a duty that is held now, and for how long at least.
    pub fn held_fence(&self, duty: &str, now: Millis, limits: &Limits) -> Option<(Number, Millis)> {
        let fence = *self.held.get(duty)?;
        let left = self.end(limits).checked_sub(now).filter(|left| *left > 0)?;
        Some((fence, left))
    }

    fn leased(&self, now: Millis, limits: &Limits) -> bool {
        now < self.end(limits)
    }

    /// One unit of a budget, if it may be used now.
    pub fn acquire_unit(&mut self, budget: &str, now: Millis, limits: &Limits) -> Acquisition {
        let leased = self.leased(now, limits);
        let taken = self.meters.acquire(budget, now, leased, limits);
        if matches!(taken, Acquisition::Denied { .. }) {
            self.press(now, limits);
        }
        taken
    }

    /// What whoever counts budgets elsewhere in this process is to be told.
    pub fn changed_parts(&mut self, now: Millis, limits: &Limits) -> Vec<(Name, u64, Part)> {
        let end = if self.leaves { 0 } else { self.end(limits) };
        self.meters.changed_parts(now, end, limits)
    }

    pub fn record_external_usage(
        &mut self,
        (budget, seq, busy, denied): (&str, u64, u64, u64),
        now: Millis,
        limits: &Limits,
    ) {
        self.meters
            .record_external_usage(budget, seq, busy, denied, now);
        self.press(now, limits);
    }

    /// Somebody waits: the leader is told sooner, but not again and again.
    fn press(&mut self, now: Millis, limits: &Limits) {
        if self.meters.has_unreported_need() {
            self.ask_at = self
                .ask_at
                .min(now.max(self.renewed_at + limits.renew_interval / 8));
        }
    }

    pub fn release_unit(&mut self, budget: &str) {
        self.meters.release(budget);
    }

    /// In use and allowed now, of a budget that the file has.
    pub fn budget_usage(
        &mut self,
        budget: &str,
        now: Millis,
        limits: &Limits,
    ) -> Option<(u64, u64)> {
        let leased = self.leased(now, limits);
        self.meters.usage(budget, now, leased, limits)
    }

    pub fn budgets(&self) -> &[BudgetDefinition] {
        &self.budgets
    }

    /// A program may work on a duty from now on, for so long.
    ///
    /// # Errors
    /// Not held here, or another program works on it.
    pub fn hold_duty(
        &mut self,
        duty: &str,
        token: &str,
        now: Millis,
        limits: &Limits,
    ) -> Result<(Number, Millis), String> {
        let Some((fence, left)) = self.held_fence(duty, now, limits) else {
            return Err(match self.wants.iter().any(|name| name == duty) {
                true => "not held here".into(),
                false => "this member has no such duty".into(),
            });
        };
        if let Some(hold) = self.holds.get(duty)
            && hold.token != token
            && now < hold.until
        {
            return Err("another program works on it".into());
        }
        let hold = Hold {
            token: token.to_string(),
            until: now + left,
        };
        self.holds.insert(duty.to_string(), hold);
        Ok((fence, left))
    }

    /// That program has ended.
    pub fn end_hold(&mut self, duty: &str, token: &str) {
        self.holds
            .retain(|name, hold| name != duty || hold.token != token);
    }

    /// Gives all up, then leaves.
    pub fn quit(&mut self, now: Millis, limits: &Limits, events: &mut Vec<Event>) {
        if self.quits.is_some() {
            return;
        }
        self.quits = Some(now + limits.handoff_timeout);
        self.lose_all(&LossReason::Ending, events);
        self.ask_at = now;
        if self.session.is_none() {
            self.left = true;
        }
    }

    /// News is at the leader.
    pub fn renew_now(&mut self, now: Millis) {
        self.ask_at = self.ask_at.min(now);
        self.out.retain(|(_, _, what)| *what != What::Renew);
    }

    /// Shares as the log has them, and what they are to go down to.
    pub fn apply_session_update(
        &mut self,
        session: SessionId,
        at: u64,
        shares: &VersionedShares,
        lower: &[(Name, u64)],
    ) {
        let known = self.session.as_ref();
        let counts = known.is_some_and(|known| known.id == session && !known.lapsed);
        if counts && !self.leaves {
            self.meters.set_shares(shares.0, &shares.1);
            if at >= self.at {
                self.meters.set_lower_targets(lower);
            }
        }
    }

    /// The leader was found: it is asked at once, but two that take each other for it are not asked in turns.
    pub fn request_soon(&mut self, now: Millis, limits: &Limits) {
        if now >= self.hurried + limits.retry_delay {
            self.hurried = now;
            self.ask_at = self.ask_at.min(now);
        }
    }

    /// Time has passed. `true` if whoever was asked has not answered.
    pub fn tick(&mut self, now: Millis, limits: &Limits, events: &mut Vec<Event>) -> bool {
        let stalled = now.saturating_sub(self.ticked);
        self.ticked = now;
        let end = self.end(limits);
        if now >= end && self.session.as_ref().is_some_and(|session| !session.lapsed) {
            let why = match stalled > limits.lease_margin {
                true => LossReason::Stalled { by: now - end },
                false => LossReason::NotRenewed {
                    since: now.saturating_sub(self.answered),
                },
            };
            self.lose_all(&why, events);
            if let Some(session) = &mut self.session {
                session.lapsed = true;
            }
            self.giving.clear();
            self.meters.clear_shares();
            self.renounce(now);
        }
        self.press(now, limits);
        self.holds.retain(|_, hold| now < hold.until);
        let waits = if self.waits { limits.drain_timeout } else { 0 };
        if self.quits.is_some_and(|until| now >= until + waits) {
            self.left = true;
        }
        let since = now.saturating_sub(self.answered);
        if since >= limits.lease_duration && !self.alone {
            self.alone = true;
            events.push(Event::NoLeader { since });
        }
        let patience = limits.renew_interval / 2;
        let late = |(number, at, _): &(Number, Millis, What)| {
            *number > self.heard.max(self.missed) && now >= *at + patience
        };
        if let Some((number, ..)) = self.out.back().filter(|out| late(out)) {
            self.missed = *number;
            self.ask_at = self.ask_at.min(now);
            return true;
        }
        false
    }

    /// Another session is wanted, under another nonce.
    fn renounce(&mut self, now: Millis) {
        self.nonce = self.nonce.wrapping_add(1);
        self.ask_at = now;
        self.out.clear();
    }

    fn lose_all(&mut self, why: &LossReason, events: &mut Vec<Event>) {
        for (duty, fence) in std::mem::take(&mut self.held) {
            self.given.insert(duty.clone(), fence);
            events.push(Event::Lost {
                duty,
                fence,
                why: why.clone(),
            });
        }
    }

    /// What is to be asked now, if anything.
    pub fn next_request(
        &mut self,
        now: Millis,
        limits: &Limits,
    ) -> Option<(Number, LeaderRequest)> {
        if self.left {
            return None;
        }
        let quits = self.quits.is_some();
        let released = |duty: &&Name| !self.holds.contains_key(*duty);
        let release = self.giving.keys().find(released).cloned();
        let session = self.session.clone();
        let patience = limits.renew_interval / 2;
        let lately = self.out.iter().filter(|(_, at, _)| now < *at + patience);
        let out: Vec<What> = lately.map(|(.., what)| what.clone()).collect();
        let asked = |what: &What| out.contains(what);
        let lowers = out
            .iter()
            .filter(|what| matches!(what, What::Lower(_)))
            .count();
        let may_go = quits && self.holds.is_empty() && self.may_go(now, limits);
        let lowered = match &session {
            Some(session) if !session.lapsed && lowers < LOWERS => {
                let is_out = |budget: &Name| asked(&What::Lower(budget.clone()));
                self.meters.next_share_to_lower(now, limits, is_out)
            }
            _ => None,
        };
        let (what, ask) = match (session, release) {
            // Programs that work on something have until they have ended, or were told to.
            (Some(session), _) if may_go && !session.lapsed => {
                let (what, ask) = match self.retired || (self.budgets.is_empty() && !self.waits) {
                    true => {
                        // From here on no share counts; then what is in use is what is said.
                        if !std::mem::replace(&mut self.leaves, true) {
                            self.meters.clear_shares();
                        }
                        if !self.meters.is_usage_confirmed() {
                            return None;
                        }
                        let uses = self.meters.units_in_use(now, limits);
                        (
                            What::Leave,
                            LeaderRequest::Leave {
                                session: session.id,
                                units_in_use: uses,
                            },
                        )
                    }
                    false => (
                        What::Retire,
                        LeaderRequest::BeginLeave {
                            session: session.id,
                        },
                    ),
                };
                if asked(&what) {
                    return None;
                }
                (what, ask)
            }
            (session, _) if quits && session.as_ref().is_none_or(|session| session.lapsed) => {
                self.left = true;
                return None;
            }
            (Some(session), Some(duty))
                if !asked(&What::Release(duty.clone(), self.giving[&duty].fence)) =>
            {
                let giving = &self.giving[&duty];
                let ask = LeaderRequest::ReleaseDuty {
                    session: session.id,
                    duty: duty.clone(),
                    fence: giving.fence,
                    preferred_holder: giving.to.clone(),
                };
                (What::Release(duty, giving.fence), ask)
            }
            (Some(session), _) if lowered.is_some() => {
                let (need, to, version) = lowered.expect("just seen");
                (
                    What::Lower(need.budget.clone()),
                    LeaderRequest::LowerShare {
                        session: session.id,
                        need,
                        units: to,
                        share_version: version,
                    },
                )
            }
            _ if now < self.ask_at => return None,
            (Some(session), _) if !session.lapsed => {
                self.ask_at = now + limits.renew_interval;
                self.renewed_at = now;
                (
                    What::Renew,
                    LeaderRequest::Renew {
                        session: session.id,
                        needs: self.meters.next_needs(now, self.term, limits),
                        known_version: self.meters.shares_version(),
                    },
                )
            }
            // What is said of use has to hold: whoever counts elsewhere knows by then that no share counts.
            _ if !self.meters.is_usage_confirmed() => return None,
            (session, _) => {
                self.ask_at = now + limits.renew_interval;
                let ask = LeaderRequest::Join {
                    nonce: self.nonce,
                    wanted_duties: self.wants.clone(),
                    replaced_session: session.map(|session| session.id),
                    incarnation: self.process,
                    last_seen_number: self.seen,
                    weight: limits.weight,
                    budgets: self.budgets.clone(),
                    units_in_use: self.meters.units_in_use(now, limits),
                };
                (What::Join, ask)
            }
        };
        self.next += 1;
        if self.out.len() >= OUT {
            self.out.pop_front();
        }
        self.out.push_back((self.next, now, what));
        Some((self.next, ask))
    }

    /// An answer. `false` for one that does not count any more.
    pub fn handle_reply(
        &mut self,
        number: Number,
        told: &LeaderReply,
        now: Millis,
        limits: &Limits,
        events: &mut Vec<Event>,
    ) -> bool {
        let Some(at) = self.out.iter().position(|(out, ..)| *out == number) else {
            return false;
        };
        let (_, asked, what) = self.out.remove(at).expect("just seen");
        match (what, told) {
            (
                What::Join,
                LeaderReply::Joined {
                    session,
                    applied_index: at,
                    held_duties: held,
                    shares,
                },
            ) => {
                let until = asked + limits.lease_duration;
                match &mut self.session {
                    // Asked for more than once.
                    Some(known) if known.id == *session && !known.lapsed => {
                        known.until = known.until.max(until);
                    }
                    known => {
                        *known = Some(Session {
                            id: *session,
                            until,
                            lapsed: false,
                        });
                        self.giving.clear();
                        self.no_session = None;
                        self.at = 0;
                        self.meters.clear_shares();
                        self.seen = self.seen.max(*session);
                        events.push(Event::Session { number: *session });
                    }
                }
                self.renewed(*at, now, held, &[], limits, events);
                if !self.leaves {
                    self.meters.set_shares(shares.0, &shares.1);
                }
            }
            (
                What::Renew,
                LeaderReply::Renewed {
                    applied_index: at,
                    held_duties: held,
                    duties_to_release: give_up,
                    shares,
                    lower_targets: lower,
                    term,
                },
            ) => {
                let Some(session) = self.session.as_mut().filter(|session| !session.lapsed) else {
                    return false;
                };
                session.until = session.until.max(asked + limits.lease_duration);
                if let Some((version, shares)) = shares
                    && !self.leaves
                {
                    self.meters.set_shares(*version, shares);
                }
                if *at >= self.at {
                    self.meters.set_lower_targets(lower);
                    self.term = *term;
                }
                let took = now.saturating_sub(asked);
                let term = *term;
                for need in self.meters.update_unmet_needs(now, limits) {
                    events.push(Event::NeedLeftOpen { need, term, took });
                }
                self.renewed(*at, now, held, give_up, limits, events);
            }
            (What::Renew, LeaderReply::SessionNotFound) => {
                self.lose_all(&LossReason::SessionOver, events);
                self.giving.clear();
                self.meters.clear_shares();
                self.session = None;
                self.no_session(LossReason::SessionOver, events);
                self.renounce(now);
            }
            // The word may be about a holding before the one that is given up now.
            (What::Release(duty, fence), LeaderReply::Done) => {
                self.giving
                    .retain(|name, giving| *name != duty || giving.fence != fence);
            }
            // Once it has said what it uses and that it leaves, no share counts again.
            (What::Lower(_), LeaderReply::ShareLowered(_)) if self.leaves => {}
            (What::Lower(budget), LeaderReply::ShareLowered(share)) => {
                self.meters.update_share(&budget, *share)
            }
            (What::Retire, LeaderReply::Done) => self.retired = true,
            (What::Leave | What::Retire, LeaderReply::Done | LeaderReply::SessionNotFound) => {
                self.left = true
            }
            (What::Join, LeaderReply::JoinOutdated(seen)) => {
                self.seen = self.seen.max(*seen);
                self.ask_at = now;
            }
            (What::Join, LeaderReply::Refused(why)) => {
                self.no_session(LossReason::Refused(why.clone()), events);
                self.ask_at = now + limits.lease_duration;
            }
            (What::Join, LeaderReply::RetryLater(_)) => {
                self.no_session(LossReason::NameInUse, events);
                self.ask_at = now + limits.retry_delay;
            }
            (_, LeaderReply::NotLeader(_) | LeaderReply::RetryLater(_)) => {
                self.ask_at = now + limits.retry_delay;
                return false;
            }
            _ => {}
        }
        self.heard = self.heard.max(number);
        self.answered = now;
        if std::mem::take(&mut self.alone) {
            events.push(Event::LeaderAgain);
        }
        true
    }

    /// Whether nothing that is held of budgets keeps the session: what is still in use when time is up is
    /// stranded.
    fn may_go(&mut self, now: Millis, limits: &Limits) -> bool {
        if !self.retired {
            return true;
        }
        if self.waits {
            return false;
        }
        let soon = self
            .quits
            .is_some_and(|until| now + limits.retry_delay >= until);
        let held = |name: &Name| {
            let def = self.budgets.iter().find(|def| def.name == *name);
            def.is_some_and(|def| def.kind == BudgetKind::Concurrent)
        };
        soon || !self
            .meters
            .units_in_use(now, limits)
            .iter()
            .any(|(name, _)| held(name))
    }

    fn no_session(&mut self, why: LossReason, events: &mut Vec<Event>) {
        if self.no_session.as_ref() != Some(&why) {
            self.no_session = Some(why.clone());
            events.push(Event::NoSession { why });
        }
    }

    fn renewed(
        &mut self,
        at: u64,
        now: Millis,
        held: &[(Name, Number)],
        give_up: &[(Name, Option<Name>)],
        limits: &Limits,
        events: &mut Vec<Event>,
    ) {
        // Answers may overtake each other: the newest state of the log counts, whichever ask it answers.
        if at < self.at {
            return;
        }
        self.at = at;
        let gone: Vec<Name> = self.held.keys().cloned().collect();
        for duty in gone {
            let fence = self.held[&duty];
            if !held.contains(&(duty.clone(), fence)) {
                self.held.remove(&duty);
                self.given.insert(duty.clone(), fence);
                events.push(Event::Lost {
                    duty,
                    fence,
                    why: LossReason::SessionOver,
                });
            }
        }
        for (duty, fence) in held {
            let given = self.given.get(duty).is_some_and(|given| fence <= given);
            let in_time = now < self.end(limits) && self.quits.is_none();
            if !given && in_time && self.held.insert(duty.clone(), *fence).is_none() {
                events.push(Event::Gained {
                    duty: duty.clone(),
                    fence: *fence,
                });
            }
        }
        for (duty, to) in give_up {
            if let Some(fence) = self.held.remove(duty) {
                self.given.insert(duty.clone(), fence);
                self.giving.insert(
                    duty.clone(),
                    Giving {
                        fence,
                        to: to.clone(),
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
