//! The bounded part of the descriptors for connections whose request is not admitted yet. Many that
//! say nothing must not keep others out: when it is full, the one that was heard of longest ago is told to go.
//! Its task looks at its socket once more before it does: a request may lie there unread.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

use crate::limits::{DescriptorPermit, DescriptorPool, Limits};

#[derive(Clone, Debug)]
pub struct PendingSlots(Rc<Places>);

#[derive(Debug)]
struct Places {
    limits: Rc<Limits>,
    descriptors: DescriptorPool,
    next: Cell<u64>,
    /// By turn: those heard of longest ago first.
    waiting: RefCell<BTreeMap<u64, (Instant, Rc<Notify>)>>,
    freed: Notify,
    /// The process is about to end: all are told to go, and who still comes is so at once.
    closing: Cell<bool>,
}

/// The descriptor of one connection, until it is dropped.
#[derive(Debug)]
pub struct PendingSlot {
    turn: u64,
    places: Rc<Places>,
    go: Rc<Notify>,
    _permit: DescriptorPermit,
}

impl PendingSlots {
    pub fn new(limits: &Rc<Limits>, places: usize) -> Self {
        Self(Rc::new(Places {
            limits: limits.clone(),
            descriptors: DescriptorPool::new(places),
            next: Cell::new(0),
            waiting: RefCell::default(),
            freed: Notify::new(),
            closing: Cell::new(false),
        }))
    }

    /// A place for the next connection; the oldest goes for it, once its line has had time to come.
    pub async fn acquire(&self) -> PendingSlot {
        let places = &self.0;
        loop {
            if let Some(permit) = places.descriptors.try_acquire(1) {
                return PendingSlot {
                    turn: places.next.replace(places.next.get() + 1),
                    places: places.clone(),
                    go: Rc::default(),
                    _permit: permit,
                };
            }
            let oldest = places.oldest();
            let ripe =
                oldest.map(|(turn, since)| (turn, since + places.limits.min_first_line_timeout));
            match ripe {
                Some((_, at)) if Instant::now() < at => tokio::select! {
                    () = sleep_until(at) => {}
                    () = places.freed.notified() => {}
                },
                Some((turn, _)) => {
                    if let Some((_, go)) = places.waiting.borrow_mut().remove(&turn) {
                        go.notify_one();
                    }
                    places.freed.notified().await;
                }
                None => places.freed.notified().await,
            }
        }
    }

    /// Tells all to go, and from here on whoever comes.
    pub fn close(&self) {
        self.0.closing.set(true);
        for (_, go) in std::mem::take(&mut *self.0.waiting.borrow_mut()).into_values() {
            go.notify_one();
        }
    }

    pub fn is_closing(&self) -> bool {
        self.0.closing.get()
    }

    /// How many hold a place.
    pub fn in_use(&self) -> usize {
        self.0.descriptors.in_use()
    }
}

impl Places {
    fn oldest(&self) -> Option<(u64, Instant)> {
        let waiting = self.waiting.borrow();
        let (turn, (since, _)) = waiting.first_key_value()?;
        Some((*turn, *since))
    }
}

impl PendingSlot {
    /// Its connection has come: from here on it may be told to go.
    pub fn allow_eviction(&self) {
        if self.places.closing.get() {
            return self.go.notify_one();
        }
        let mut waiting = self.places.waiting.borrow_mut();
        waiting.insert(self.turn, (Instant::now(), self.go.clone()));
    }

    /// Told when its connection has to go.
    pub fn eviction_signal(&self) -> Rc<Notify> {
        self.go.clone()
    }

    /// Returns when it has to go for another connection; at the end of the process nobody waits for it.
    pub fn wait_for_eviction(&self) -> impl Future<Output = ()> + use<> {
        let (go, places) = (self.go.clone(), self.places.clone());
        async move {
            go.notified().await;
            while places.closing.get() {
                go.notified().await;
            }
        }
    }

    /// It goes for nobody from here on.
    pub fn forbid_eviction(&self) {
        self.places.waiting.borrow_mut().remove(&self.turn);
    }

    /// The connection has been heard of: others are older now.
    pub fn touch(&mut self) {
        let mut waiting = self.places.waiting.borrow_mut();
        if let Some((_, go)) = waiting.remove(&self.turn) {
            self.turn = self.places.next.replace(self.places.next.get() + 1);
            waiting.insert(self.turn, (Instant::now(), go));
        }
    }
}

impl Drop for PendingSlot {
    fn drop(&mut self) {
        self.places.waiting.borrow_mut().remove(&self.turn);
        // Its descriptor is free before anyone woken runs.
        self.places.freed.notify_one();
    }
}
