//! Formation of a fleet. Every voter of the configuration file records the same list of data directories on disk before
//! any of them votes, and each has been notified that all others have done so: *Unanimous Formation*. A member that
//! comes later with another directory, for example an emptied one, finds a fleet whose list does not contain it.

use std::collections::{BTreeMap, BTreeSet};

use violetwind_consensus::{Member, Members, NodeId};

use crate::messages::{FormationStatus, Name};

/// The formation of a fleet as one voter takes part in it.
#[derive(Clone, Debug)]
pub struct Formation {
    own_name: Name,
    /// Identifies the data directory of this voter.
    id: NodeId,
    voters: BTreeSet<Name>,
    /// The list that this voter has agreed to and that is on disk.
    agreed: Option<Members>,
    /// The list is being written to disk.
    is_recording_agreed: bool,
    /// The formation is being written to disk.
    is_recording_formed: bool,
    /// The latest status of each other voter.
    statuses: BTreeMap<Name, FormationStatus>,
}

/// The next action of a voter during the formation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FormationStep {
    Wait,
    /// Write this list to disk, then call [`Formation::mark_agreed`].
    RecordAgreed(Members),
    /// All voters have agreed: write to disk that the fleet is formed, then start the node.
    RecordFormed,
}

impl Formation {
    /// A formation among `voters`, of whom this process is one; `agreed` is the list that it has on disk already.
    pub fn new(
        own_name: Name,
        id: NodeId,
        voters: BTreeSet<Name>,
        agreed: Option<Members>,
    ) -> Self {
        let statuses = BTreeMap::new();
        Self {
            own_name,
            id,
            voters,
            agreed,
            is_recording_agreed: false,
            is_recording_formed: false,
            statuses,
        }
    }

    /// The status that this voter sends to the others.
    pub fn status(&self) -> FormationStatus {
        FormationStatus {
            id: self.id,
            known_ids: self
                .statuses
                .iter()
                .map(|(name, status)| (name.clone(), status.id))
                .collect(),
            agreed_members: self.agreed.clone(),
            is_formed: false,
        }
    }

    /// Records the status of another voter; that of a member that is not a voter is ignored.
    pub fn receive_status(&mut self, from: Name, status: FormationStatus) {
        if self.voters.contains(&from) {
            self.statuses.insert(from, status);
        }
    }

    /// Records that the agreed list is on disk.
    pub fn mark_agreed(&mut self, members: Members) {
        (self.agreed, self.is_recording_agreed) = (Some(members), false);
    }

    /// The next step, according to the statuses received so far.
    pub fn next_step(&mut self) -> FormationStep {
        let others = || self.voters.iter().filter(|name| **name != self.own_name);
        if self.is_recording_agreed
            || self.is_recording_formed
            || others().any(|name| !self.statuses.contains_key(name))
        {
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
        let mut members: BTreeMap<_, _> = others()
            .map(|name| member(name, self.statuses[name].id))
            .collect();
        members.extend([member(&self.own_name, self.id)]);
        let members = Members(members);
        match &self.agreed {
            None => {
                // A voter that has agreed to another list never revokes that. And all voters must know the same
                // directories: agreeing to a directory that has just been replaced by an emptied one would block the
                // formation for good.
                let can_agree = |name: &Name| {
                    let status = &self.statuses[name];
                    let knows_id = |id: NodeId, voter: &Name| {
                        id == status.id || status.known_ids.get(voter) == Some(&id)
                    };
                    let knows_all_ids = members
                        .0
                        .iter()
                        .all(|(id, member)| knows_id(*id, &member.name));
                    let has_no_other_list = status
                        .agreed_members
                        .as_ref()
                        .is_none_or(|agreed| *agreed == members);
                    !status.is_formed && knows_all_ids && has_no_other_list
                };
                if !others().all(can_agree) || members.0.len() != self.voters.len() {
                    return FormationStep::Wait;
                }
                self.is_recording_agreed = true;
                FormationStep::RecordAgreed(members)
            }
            Some(agreed) => {
                let has_agreed =
                    |name: &Name| self.statuses[name].agreed_members.as_ref() == Some(agreed);
                if !others().all(has_agreed) {
                    return FormationStep::Wait;
                }
                self.is_recording_formed = true;
                FormationStep::RecordFormed
            }
        }
    }

    /// The reason why the fleet is not formed yet, for operators.
    pub fn pending_reason(&self) -> String {
        let others = || self.voters.iter().filter(|name| **name != self.own_name);
        let missing: Vec<_> = others()
            .filter(|name| !self.statuses.contains_key(*name))
            .collect();
        if !missing.is_empty() {
            return format!("not formed: nothing heard of {missing:?}");
        }
        let own_list = self.agreed.as_ref();
        let differs = |name: &&Name| {
            let other_list = self.statuses[*name].agreed_members.as_ref();
            other_list.is_some() && own_list.is_some() && other_list != own_list
        };
        let differing: Vec<_> = others().filter(differs).collect();
        if !differing.is_empty() {
            return format!("not formed: {differing:?} agreed to another list of directories");
        }
        if self.statuses.values().any(|status| status.is_formed) {
            return "the fleet was formed with another directory of this name: let it in".into();
        }
        "being formed".into()
    }

    /// Whether a fleet exists that was formed without this directory.
    pub fn is_stranger(&self) -> bool {
        self.statuses.values().any(|status| {
            let contains_own = |members: &Members| members.0.contains_key(&self.id);
            status.is_formed && !status.agreed_members.as_ref().is_some_and(contains_own)
        })
    }
}
