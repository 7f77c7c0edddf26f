//! The log in memory: entries behind a snapshot.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::messages::{Entry, Index, Members, Payload, Snapshot, Term};

#[derive(Clone, Debug)]
pub struct Log {
    pub snapshot: Arc<Snapshot>,
    entries: VecDeque<Entry>,
    /// The members by the entries that name them, the snapshot's first.
    members: Vec<(Index, Members)>,
}

impl Log {
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let mut log = Self {
            members: vec![(snapshot.index, snapshot.members.clone())],
            snapshot: Arc::new(snapshot),
            entries: VecDeque::new(),
        };
        entries.into_iter().for_each(|entry| log.push(entry));
        log
    }

    pub fn last_index(&self) -> Index {
        self.snapshot.index + self.entries.len() as Index
    }

    pub fn last_term(&self) -> Term {
        self.entries
            .back()
            .map_or(self.snapshot.term, |entry| entry.term)
    }

    /// The term of an entry; none for one that is not there, or that the snapshot has swallowed.
    pub fn term(&self, index: Index) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub fn get(&self, index: Index) -> Option<&Entry> {
        let at = index.checked_sub(self.snapshot.index + 1)?;
        self.entries.get(at as usize)
    }

    /// Entries from `from` on, as many as fit `bytes`, and one at least.
    pub fn entries_from(&self, from: Index, bytes: usize) -> Vec<Entry> {
        let mut left = bytes;
        let mut batch = Vec::new();
        while let Some(entry) = self.get(from + batch.len() as Index) {
            if !batch.is_empty() && entry.byte_len() > left {
                break;
            }
            left = left.saturating_sub(entry.byte_len());
            batch.push(entry.clone());
        }
        batch
    }

    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        if let Payload::Members(members) = &entry.payload {
            self.members.push((entry.index, members.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Drops entries from `from` on.
    pub fn truncate_from(&mut self, from: Index) {
        let left = from.saturating_sub(self.snapshot.index + 1) as usize;
        self.entries.truncate(left);
        self.members
            .retain(|(index, _)| *index < from || *index == self.snapshot.index);
    }

    /// The first entry of the run of one term that `index` belongs to.
    pub fn first_index_of_term(&self, index: Index) -> Index {
        let term = self.term(index);
        let mut first = index;
        while first > self.snapshot.index + 1 && self.term(first - 1) == term {
            first -= 1;
        }
        first
    }

    /// Who the members are by the last entry that says so, committed or not, and where it stands.
    pub fn members(&self) -> (Index, &Members) {
        let (index, members) = self
            .members
            .last()
            .expect("the snapshot's are never dropped");
        (*index, members)
    }

    /// Who the members were after the entry at `index`.
    pub fn members_at(&self, index: Index) -> &Members {
        let at = self.members.iter().rev().find(|(from, _)| *from <= index);
        &at.unwrap_or(&self.members[0]).1
    }

    /// Puts a snapshot in the place of all entries up to its own.
    pub fn compact(&mut self, snapshot: Snapshot) {
        let swallowed = (snapshot.index - self.snapshot.index) as usize;
        self.entries.drain(..swallowed.min(self.entries.len()));
        self.members.retain(|(index, _)| *index > snapshot.index);
        self.members
            .insert(0, (snapshot.index, snapshot.members.clone()));
        self.snapshot = Arc::new(snapshot);
    }
}
