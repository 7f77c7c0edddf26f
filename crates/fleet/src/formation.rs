//! How a fleet begins. Every voter of the file puts the same list of directories on disk before any of them
//! votes, and each knows that all have done so: *Unanimous Formation*. Whoever comes later with another
//! directory, an emptied one for instance, finds a fleet that does not name it.

use std::collections::{BTreeMap, BTreeSet};

use violetwind_consensus::{Member, Members, NodeId};

use crate::messages::{FormationStatus, Name};

#[derive(Clone, Debug)]
pub struct Formation {
    me: Name,
    id: NodeId,
    voters: BTreeSet<Name>,
    /// On disk.
    agreed: Option<Members>,
    /// On its way there.
    agreeing: bool,
    forming: bool,
    heard: BTreeMap<Name, FormationStatus>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FormationStep {
    Wait,
    /// To be put on disk.
    RecordAgreed(Members),
    /// All have agreed: to be put on disk, then to begin.
    RecordFormed,
}

impl Formation {
    pub fn new(me: Name, id: NodeId, voters: BTreeSet<Name>, agreed: Option<Members>) -> Self {
        let heard = BTreeMap::new();
        Self {
            me,
            id,
            voters,
            agreed,
            agreeing: false,
            forming: false,
            heard,
        }
    }

    pub fn status(&self) -> FormationStatus {
        FormationStatus {
            id: self.id,
            known_ids: self
                .heard
                .iter()
                .map(|(name, form)| (name.clone(), form.id))
                .collect(),
            agreed_members: self.agreed.clone(),
            is_formed: false,
        }
    }

    pub fn receive_status(&mut self, from: Name, form: FormationStatus) {
        if self.voters.contains(&from) {
            self.heard.insert(from, form);
        }
    }

    /// What is agreed is on disk.
    pub fn mark_agreed(&mut self, members: Members) {
        (self.agreed, self.agreeing) = (Some(members), false);
    }

    pub fn next_step(&mut self) -> FormationStep {
        let others = || self.voters.iter().filter(|name| **name != self.me);
        if self.agreeing || self.forming || others().any(|name| !self.heard.contains_key(name)) {
            return FormationStep::Wait;
        }
        let member = |name: &Name, id| {
            (
                id,
                Member {
                    name: name.clone(),
                    is_voter: true,
                },
            )
        };
        let mut all: BTreeMap<_, _> = others()
            .map(|name| member(name, self.heard[name].id))
            .collect();
        all.extend([member(&self.me, self.id)]);
        let all = Members(all);
        match &self.agreed {
            None => {
                // Whoever has agreed to something else will not take it back. And all must have heard of the
                // same directories: one that was emptied a moment ago would hold everybody up for good.
                let free = |name: &Name| {
                    let form = &self.heard[name];
                    let same = |id: NodeId, of: &Name| {
                        id == form.id || form.known_ids.get(of) == Some(&id)
                    };
                    let alike = all.0.iter().all(|(id, member)| same(*id, &member.name));
                    let open = form
                        .agreed_members
                        .as_ref()
                        .is_none_or(|agreed| *agreed == all);
                    !form.is_formed && alike && open
                };
                if !others().all(free) || all.0.len() != self.voters.len() {
                    return FormationStep::Wait;
                }
                self.agreeing = true;
                FormationStep::RecordAgreed(all)
            }
            Some(agreed) => {
                let agrees = |name: &Name| self.heard[name].agreed_members.as_ref() == Some(agreed);
                if !others().all(agrees) {
                    return FormationStep::Wait;
                }
                self.forming = true;
                FormationStep::RecordFormed
            }
        }
    }

    /// Why there is no fleet yet, in a few words.
    pub fn pending_reason(&self) -> String {
        let others = || self.voters.iter().filter(|name| **name != self.me);
        let silent: Vec<_> = others()
            .filter(|name| !self.heard.contains_key(*name))
            .collect();
        if !silent.is_empty() {
            return format!("not formed: nothing heard of {silent:?}");
        }
        let mine = self.agreed.as_ref();
        let differ = |name: &&Name| {
            let theirs = self.heard[*name].agreed_members.as_ref();
            theirs.is_some() && mine.is_some() && theirs != mine
        };
        let differ: Vec<_> = others().filter(differ).collect();
        if !differ.is_empty() {
            return format!("not formed: {differ:?} agreed to another list of directories");
        }
        if self.heard.values().any(|form| form.is_formed) {
            return "the fleet was formed with another directory of this name: let it in".into();
        }
        "being formed".into()
    }

    /// Whether a fleet exists that was formed without this directory.
    pub fn is_stranger(&self) -> bool {
        self.heard.values().any(|form| {
            let names = |members: &Members| members.0.contains_key(&self.id);
            form.is_formed && !form.agreed_members.as_ref().is_some_and(names)
        })
    }
}
