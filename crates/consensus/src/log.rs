//! The log in memory: a snapshot and the entries after it.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::messages::{Entry, Index, Members, Payload, Snapshot, Term};

/// A snapshot and the entries after it, with the membership at each of them.
#[derive(Clone, Debug)]
pub struct Log {
    /// The state up to the first entry.
    pub snapshot: Arc<Snapshot>,
    entries: VecDeque<Entry>,
    /// The index and the members of each membership entry, after those of the snapshot.
    members: Vec<(Index, Members)>,
}

impl Log {
    /// Creates a log; `entries` directly follow the snapshot.
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let mut log = Self {
            members: vec![(snapshot.index, snapshot.members.clone())],
            snapshot: Arc::new(snapshot),
            entries: VecDeque::new(),
        };
        entries.into_iter().for_each(|entry| log.push(entry));
        log
    }

    /// The index of the last entry, or of the snapshot if there are no entries.
    pub fn last_index(&self) -> Index {
        self.snapshot.index + self.entries.len() as Index
    }

    /// The term of the last entry, or of the snapshot if there are no entries.
    pub fn last_term(&self) -> Term {
        self.entries
            .back()
            .map_or(self.snapshot.term, |entry| entry.term)
    }

    /// The term of an entry, or `None` if the entry is absent or compacted into the snapshot.
    pub fn term(&self, index: Index) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// The entry at an index, or `None` if it is absent or compacted into the snapshot.
    pub fn get(&self, index: Index) -> Option<&Entry> {
        let position = index.checked_sub(self.snapshot.index + 1)?;
        self.entries.get(position as usize)
    }

    /// Returns the entries from `from` on that fit into `max_bytes`, and at least one if there is any.
    pub fn entries_from(&self, from: Index, max_bytes: usize) -> Vec<Entry> {
        let mut remaining_bytes = max_bytes;
        let mut batch = Vec::new();
        while let Some(entry) = self.get(from + batch.len() as Index) {
            if !batch.is_empty() && entry.byte_len() > remaining_bytes {
                break;
            }
            remaining_bytes = remaining_bytes.saturating_sub(entry.byte_len());
            batch.push(entry.clone());
        }
        batch
    }

    /// Appends the next entry.
    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        if let Payload::Members(members) = &entry.payload {
            self.members.push((entry.index, members.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Drops the entries from `from` on.
    pub fn truncate_from(&mut self, from: Index) {
        let remaining = from.saturating_sub(self.snapshot.index + 1) as usize;
        self.entries.truncate(remaining);
        self.members
            .retain(|(index, _)| *index < from || *index == self.snapshot.index);
    }

    /// The index of the first entry in the run of entries that have the same term as the entry at `index`.
    pub fn first_index_of_term(&self, index: Index) -> Index {
        let term = self.term(index);
        let mut first = index;
        while first > self.snapshot.index + 1 && self.term(first - 1) == term {
            first -= 1;
        }
        first
    }

    /// The latest membership, committed or not, and the index of its entry.
    pub fn members(&self) -> (Index, &Members) {
        let (index, members) = self
            .members
            .last()
            .expect("the snapshot's members are never dropped");
        (*index, members)
    }

    /// The membership after the entry at `index`.
    pub fn members_at(&self, index: Index) -> &Members {
        let found = self.members.iter().rev().find(|(from, _)| *from <= index);
        &found.unwrap_or(&self.members[0]).1
    }

    /// Replaces all entries up to the snapshot's index with the snapshot.
    pub fn compact(&mut self, snapshot: Snapshot) {
        let compacted = (snapshot.index - self.snapshot.index) as usize;
        self.entries.drain(..compacted.min(self.entries.len()));
        self.members.retain(|(index, _)| *index > snapshot.index);
        self.members
            .insert(0, (snapshot.index, snapshot.members.clone()));
        self.snapshot = Arc::new(snapshot);
    }
}
