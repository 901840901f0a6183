use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    fmt,
    future::Future,
    rc::Rc,
};

use smol::{LocalExecutor, Task};

/// A group of tasks on the process's only thread that are cancelled together.
///
/// A task leaves the group when it completes. Clones refer to the same group.
#[derive(Clone)]
pub struct LocalTasks {
    executor: Rc<LocalExecutor<'static>>,
    table: Rc<TaskTable>,
}

#[derive(Default)]
struct TaskTable {
    next_key: Cell<u64>,
    tasks: RefCell<HashMap<u64, Option<Task<()>>>>,
}

impl LocalTasks {
    /// Creates an empty group whose tasks run on `executor`.
    #[must_use]
    pub fn new(executor: Rc<LocalExecutor<'static>>) -> Self {
        Self {
            executor,
            table: Rc::default(),
        }
    }

    /// Creates another, empty group on the same executor.
    #[must_use]
    pub fn new_group(&self) -> Self {
        Self::new(Rc::clone(&self.executor))
    }

    /// Spawns a future as a task of the group.
    pub fn spawn<Work>(&self, work: Work)
    where
        Work: Future<Output = ()> + 'static,
    {
        let key = self.table.next_key.get();
        self.table.next_key.set(key + 1);
        self.table.tasks.borrow_mut().insert(key, None);
        let table = Rc::clone(&self.table);
        let task = self.executor.spawn(async move {
            work.await;
            table.tasks.borrow_mut().remove(&key);
        });
        // The executor is single-threaded, so the task can't complete before its
        // handle is stored here.
        self.table.tasks.borrow_mut().insert(key, Some(task));
    }

    /// Spawns a future as a task outside the group. Dropping the returned handle
    /// cancels it.
    pub fn spawn_owned<Work>(&self, work: Work) -> Task<()>
    where
        Work: Future<Output = ()> + 'static,
    {
        self.executor.spawn(work)
    }

    /// Number of running tasks.
    #[must_use]
    pub fn len(&self) -> usize {
        self.table.tasks.borrow().len()
    }

    /// Whether no task is running.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Cancels all tasks of the group and waits until they have ended.
    pub async fn cancel(&self) {
        loop {
            let keys: Vec<u64> = self.table.tasks.borrow().keys().copied().collect();
            if keys.is_empty() {
                return;
            }
            for key in keys {
                let task = self.table.tasks.borrow_mut().remove(&key);
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
