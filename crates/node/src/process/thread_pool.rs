use std::{
    future::Future,
    sync::Arc,
    thread::{self, JoinHandle},
};

use async_channel::{Receiver, Sender};
use smol::{Executor, future};

/// The threads that run the process's tasks.
///
/// Dropping the pool stops the threads and joins them.
#[derive(Debug)]
pub struct ThreadPool {
    executor: Arc<Executor<'static>>,
    stop: Sender<()>,
    threads: Vec<JoinHandle<()>>,
}

impl ThreadPool {
    /// Starts `count` threads.
    ///
    /// # Errors
    ///
    /// Fails when the operating system gives no thread.
    pub fn start(count: usize) -> std::io::Result<Self> {
        let executor = Arc::new(Executor::new());
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let mut threads = Vec::with_capacity(count);
        for index in 0..count {
            threads.push(start_worker(index, Arc::clone(&executor), stopped.clone())?);
        }
        Ok(Self {
            executor,
            stop,
            threads,
        })
    }

    /// The executor that the threads drive.
    #[must_use]
    pub const fn executor(&self) -> &Arc<Executor<'static>> {
        &self.executor
    }

    /// Runs a future on the calling thread while the pool runs its tasks.
    pub fn block_on<Work>(&self, work: Work) -> Work::Output
    where
        Work: Future,
    {
        smol::block_on(self.executor.run(work))
    }
}

impl Drop for ThreadPool {
    fn drop(&mut self) {
        self.stop.close();
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

fn start_worker(
    index: usize,
    executor: Arc<Executor<'static>>,
    stopped: Receiver<()>,
) -> std::io::Result<JoinHandle<()>> {
    thread::Builder::new()
        .name(format!("worker-{index}"))
        .spawn(move || {
            let _ = future::block_on(executor.run(stopped.recv()));
        })
}
