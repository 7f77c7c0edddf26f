//! A bounded share of the descriptors, for connections whose request is not admitted yet. Many idle connections must
//! not keep others out: when all slots are in use, the connection that has been idle the longest is evicted. Its task
//! reads its socket once more before it closes: a request may be unread there.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

use crate::limits::{DescriptorPermit, DescriptorPool, Limits};

/// The slots of all connections whose request is not admitted yet.
#[derive(Clone, Debug)]
pub struct PendingSlots(Rc<SlotState>);

#[derive(Debug)]
struct SlotState {
    limits: Rc<Limits>,
    descriptors: DescriptorPool,
    next_sequence: Cell<u64>,
    /// Connections that may be evicted, with the time of their last activity, in the order of their sequence numbers,
    /// so that the connection that has been idle the longest comes first.
    evictable: RefCell<BTreeMap<u64, (Instant, Rc<Notify>)>>,
    slot_freed: Notify,
    /// The process is about to end: all connections are evicted, and new ones as soon as they are accepted.
    closing: Cell<bool>,
}

/// The slot and descriptor of one connection; dropping it frees both.
#[derive(Debug)]
pub struct PendingSlot {
    sequence: u64,
    state: Rc<SlotState>,
    eviction: Rc<Notify>,
    _permit: DescriptorPermit,
}

impl PendingSlots {
    pub fn new(limits: &Rc<Limits>, capacity: usize) -> Self {
        Self(Rc::new(SlotState {
            limits: limits.clone(),
            descriptors: DescriptorPool::new(capacity),
            next_sequence: Cell::new(0),
            evictable: RefCell::default(),
            slot_freed: Notify::new(),
            closing: Cell::new(false),
        }))
    }

    /// Waits for a free slot. If there is none, evicts the connection that has been idle the longest, once it has
    /// had `min_first_line_timeout` to send its line.
    pub async fn acquire(&self) -> PendingSlot {
        let state = &self.0;
        loop {
            if let Some(permit) = state.descriptors.try_acquire(1) {
                return PendingSlot {
                    sequence: state.next_sequence.replace(state.next_sequence.get() + 1),
                    state: state.clone(),
                    eviction: Rc::default(),
                    _permit: permit,
                };
            }
            let oldest = state.oldest();
            let eviction_due = oldest
                .map(|(sequence, since)| (sequence, since + state.limits.min_first_line_timeout));
            match eviction_due {
                Some((_, evict_at)) if Instant::now() < evict_at => tokio::select! {
                    () = sleep_until(evict_at) => {}
                    () = state.slot_freed.notified() => {}
                },
                Some((sequence, _)) => {
                    if let Some((_, eviction)) = state.evictable.borrow_mut().remove(&sequence) {
                        eviction.notify_one();
                    }
                    state.slot_freed.notified().await;
                }
                None => state.slot_freed.notified().await,
            }
        }
    }

    /// Evicts all connections, and every later one as soon as `allow_eviction` is called on its slot.
    pub fn close(&self) {
        self.0.closing.set(true);
        for (_, eviction) in std::mem::take(&mut *self.0.evictable.borrow_mut()).into_values() {
            eviction.notify_one();
        }
    }

    pub fn is_closing(&self) -> bool {
        self.0.closing.get()
    }

    /// The number of slots in use.
    pub fn in_use(&self) -> usize {
        self.0.descriptors.in_use()
    }
}

impl SlotState {
    fn oldest(&self) -> Option<(u64, Instant)> {
        let evictable = self.evictable.borrow();
        let (sequence, (since, _)) = evictable.first_key_value()?;
        Some((*sequence, *since))
    }
}

impl PendingSlot {
    /// Allows the eviction of the connection from now on; called once it is accepted.
    pub fn allow_eviction(&self) {
        if self.state.closing.get() {
            return self.eviction.notify_one();
        }
        let mut evictable = self.state.evictable.borrow_mut();
        evictable.insert(self.sequence, (Instant::now(), self.eviction.clone()));
    }

    /// Notified when the connection has to close.
    pub fn eviction_signal(&self) -> Rc<Notify> {
        self.eviction.clone()
    }

    /// Returns when the connection is evicted in favour of another one. Once the process closes all slots, no
    /// connection waits for this one: the signal is ignored, and this does not return.
    pub fn wait_for_eviction(&self) -> impl Future<Output = ()> + use<> {
        let (eviction, state) = (self.eviction.clone(), self.state.clone());
        async move {
            eviction.notified().await;
            while state.closing.get() {
                eviction.notified().await;
            }
        }
    }

    /// Protects the connection from eviction from now on.
    pub fn forbid_eviction(&self) {
        self.state.evictable.borrow_mut().remove(&self.sequence);
    }

    /// Records activity on the connection: it moves to the end of the eviction order.
    pub fn touch(&mut self) {
        let mut evictable = self.state.evictable.borrow_mut();
        if let Some((_, eviction)) = evictable.remove(&self.sequence) {
            self.sequence = self
                .state
                .next_sequence
                .replace(self.state.next_sequence.get() + 1);
            evictable.insert(self.sequence, (Instant::now(), eviction));
        }
    }
}

impl Drop for PendingSlot {
    fn drop(&mut self) {
        self.state.evictable.borrow_mut().remove(&self.sequence);
        // The permit is dropped before the woken task runs, so the descriptor is free by then.
        self.state.slot_freed.notify_one();
    }
}
