use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    fmt,
    future::Future,
    rc::Rc,
};

use smol::{LocalExecutor, Task};

/// Tasks on the process's only thread that belong together and end together.
///
/// A task that has ended is forgotten. Tasks that are still in the group when
/// it is cancelled are dropped.
#[derive(Clone)]
pub struct LocalTasks {
    executor: Rc<LocalExecutor<'static>>,
    shared: Rc<SharedTasks>,
}

#[derive(Default)]
struct SharedTasks {
    next: Cell<u64>,
    tasks: RefCell<HashMap<u64, Option<Task<()>>>>,
}

impl LocalTasks {
    /// Creates an empty group whose tasks run on `executor`.
    #[must_use]
    pub fn new(executor: Rc<LocalExecutor<'static>>) -> Self {
        Self {
            executor,
            shared: Rc::default(),
        }
    }

    /// Creates an empty group on the same executor.
    #[must_use]
    pub fn new_group(&self) -> Self {
        Self::new(Rc::clone(&self.executor))
    }

    /// Runs a future as a task of the group.
    pub fn spawn<Work>(&self, work: Work)
    where
        Work: Future<Output = ()> + 'static,
    {
        let key = self.shared.next.get();
        self.shared.next.set(key + 1);
        self.shared.tasks.borrow_mut().insert(key, None);
        let shared = Rc::clone(&self.shared);
        let task = self.executor.spawn(async move {
            work.await;
            shared.tasks.borrow_mut().remove(&key);
        });
        // One thread: the task runs only after this.
        self.shared.tasks.borrow_mut().insert(key, Some(task));
    }

    /// Runs a future as a task that the caller owns: dropping the handle
    /// cancels it.
    pub fn spawn_owned<Work>(&self, work: Work) -> Task<()>
    where
        Work: Future<Output = ()> + 'static,
    {
        self.executor.spawn(work)
    }

    /// Number of tasks that run.
    #[must_use]
    pub fn len(&self) -> usize {
        self.shared.tasks.borrow().len()
    }

    /// Whether no task runs.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Cancels all tasks and waits until they are gone.
    pub async fn cancel(&self) {
        loop {
            let keys: Vec<u64> = self.shared.tasks.borrow().keys().copied().collect();
            if keys.is_empty() {
                return;
            }
            for key in keys {
                let task = self.shared.tasks.borrow_mut().remove(&key);
                if let Some(task) = task.flatten() {
                    task.cancel().await;
                }
            }
        }
    }
}

impl fmt::Debug for LocalTasks {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "LocalTasks({})", self.len())
    }
}
