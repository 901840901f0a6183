use std::{
    cmp::{Ordering, Reverse},
    collections::BinaryHeap,
    mem,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use async_channel::{Receiver, Sender};
use thiserror::Error;

use super::SlotGuard;

/// Slots of a target and the calls that wait for one, by priority.
#[derive(Debug)]
pub struct SlotQueue {
    slots: usize,
    queue_limit: usize,
    state: Mutex<QueueState>,
}

/// A place in the queue, or a slot that was free at once.
#[derive(Debug)]
pub struct SlotWait {
    receiver: Receiver<SlotGuard>,
}

/// The queue takes no more calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the queue is full")]
pub struct QueueFull;

#[derive(Debug, Default)]
struct QueueState {
    running: usize,
    arrivals: u64,
    waiting: BinaryHeap<WaitingCall>,
}

#[derive(Debug)]
struct WaitingCall {
    priority: u8,
    arrival: Reverse<u64>,
    sender: Sender<SlotGuard>,
}

impl SlotQueue {
    /// Creates a queue before a number of slots.
    #[must_use]
    pub fn new(slots: usize, queue_limit: usize) -> Arc<Self> {
        Arc::new(Self {
            slots: slots.max(1),
            queue_limit,
            state: Mutex::default(),
        })
    }

    /// Takes a slot or a place in the queue.
    ///
    /// # Errors
    ///
    /// Fails when as many calls wait as may wait.
    pub fn enter(self: &Arc<Self>, priority: u8) -> Result<SlotWait, QueueFull> {
        let (sender, receiver) = async_channel::bounded(1);
        let mut state = self.state();
        if state.running < self.slots {
            state.running += 1;
            drop(state);
            hand_over(&sender, SlotGuard::new(self.clone()));
            return Ok(SlotWait { receiver });
        }
        state.forget_leavers();
        if state.waiting.len() >= self.queue_limit {
            return Err(QueueFull);
        }
        state.arrivals += 1;
        let arrival = Reverse(state.arrivals);
        state.waiting.push(WaitingCall {
            priority,
            arrival,
            sender,
        });
        Ok(SlotWait { receiver })
    }

    /// Gives a slot to the most urgent call that waits.
    pub(super) fn release(self: &Arc<Self>) {
        loop {
            let next = {
                let mut state = self.state();
                let next = state.waiting.pop();
                if next.is_none() {
                    state.running -= 1;
                }
                next
            };
            let Some(call) = next else { return };
            if hand_over(&call.sender, SlotGuard::new(self.clone())) {
                return;
            }
        }
    }

    /// Calls in execution.
    #[must_use]
    pub fn running(&self) -> usize {
        self.state().running
    }

    /// Calls that wait.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.state().waiting.len()
    }

    /// Calls that can be in execution at once.
    #[must_use]
    pub fn slots(&self) -> usize {
        self.slots
    }

    fn state(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl SlotWait {
    /// Waits for the slot.
    pub async fn slot(self) -> SlotGuard {
        let received = self.receiver.recv().await;
        received.unwrap_or_else(|_| SlotGuard::none())
    }
}

impl QueueState {
    fn forget_leavers(&mut self) {
        let waiting = mem::take(&mut self.waiting);
        self.waiting = waiting
            .into_iter()
            .filter(|call| !call.sender.is_closed())
            .collect();
    }
}

/// Sends a slot to a waiting call; says whether the call was still there.
fn hand_over(sender: &Sender<SlotGuard>, guard: SlotGuard) -> bool {
    match sender.try_send(guard) {
        Ok(()) => true,
        Err(error) => {
            error.into_inner().disarm();
            false
        }
    }
}

impl PartialEq for WaitingCall {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for WaitingCall {}

impl PartialOrd for WaitingCall {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for WaitingCall {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.priority, self.arrival).cmp(&(other.priority, other.arrival))
    }
}
