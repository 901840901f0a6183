use std::{
    collections::HashMap,
    future::Future,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use smol::{Executor, Task, future};

/// Tasks that belong together and are joined together.
///
/// A task that has ended is forgotten. Tasks that are still in the group when
/// it is dropped are cancelled.
#[derive(Clone, Debug)]
pub struct TaskGroup {
    executor: Arc<Executor<'static>>,
    shared: Arc<SharedTasks>,
}

#[derive(Debug, Default)]
struct SharedTasks {
    next: AtomicU64,
    tasks: Mutex<HashMap<u64, Option<Task<()>>>>,
}

impl TaskGroup {
    /// Creates an empty group whose tasks run on `executor`.
    #[must_use]
    pub fn new(executor: Arc<Executor<'static>>) -> Self {
        Self {
            executor,
            shared: Arc::default(),
        }
    }

    /// Creates an empty group on the same executor.
    #[must_use]
    pub fn sibling(&self) -> Self {
        Self::new(Arc::clone(&self.executor))
    }

    /// Runs a future as a task of the group.
    pub fn spawn<Work>(&self, work: Work)
    where
        Work: Future<Output = ()> + Send + 'static,
    {
        let key = self.shared.next.fetch_add(1, Ordering::Relaxed);
        self.shared.lock().insert(key, None);
        let shared = Arc::clone(&self.shared);
        let task = self.executor.spawn(async move {
            work.await;
            shared.lock().remove(&key);
        });
        // The task may have ended before it could be stored.
        let mut tasks = self.shared.lock();
        match tasks.get_mut(&key) {
            Some(slot) => *slot = Some(task),
            None => task.detach(),
        }
    }

    /// Runs a future as a task that the caller owns: dropping the handle
    /// cancels it.
    pub fn spawn_owned<Work>(&self, work: Work) -> Task<()>
    where
        Work: Future<Output = ()> + Send + 'static,
    {
        self.executor.spawn(work)
    }

    /// Number of tasks that run.
    #[must_use]
    pub fn len(&self) -> usize {
        self.shared.lock().len()
    }

    /// Whether no task runs.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Waits until all tasks have ended, those included that are spawned
    /// meanwhile.
    pub async fn join(&self) {
        while !self.is_empty() {
            match self.take_one() {
                Some(task) => task.await,
                None => future::yield_now().await,
            }
        }
    }

    /// Cancels all tasks and waits until they are gone.
    pub async fn cancel(&self) {
        while let Some(task) = self.take_one() {
            task.cancel().await;
        }
    }

    fn take_one(&self) -> Option<Task<()>> {
        let mut tasks = self.shared.lock();
        let key = tasks
            .iter()
            .find(|(_, task)| task.is_some())
            .map(|(key, _)| *key)?;
        tasks.remove(&key).flatten()
    }
}

impl SharedTasks {
    fn lock(&self) -> MutexGuard<'_, HashMap<u64, Option<Task<()>>>> {
        self.tasks.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
