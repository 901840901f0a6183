use std::{
    fmt::{self, Debug, Formatter},
    io::Result,
    process::{Child, Command, ExitStatus, Stdio},
    thread::JoinHandle,
};

use rustix::process::{Pid, Signal, kill_process};

use super::{OutputLog, ProgramFile};
use crate::poll_until;

/// A process that is killed when the guard is dropped.
pub struct ProcessGuard {
    name: String,
    child: Child,
    log: OutputLog,
    collectors: Vec<JoinHandle<()>>,
}

impl ProcessGuard {
    /// Starts a program.
    ///
    /// # Errors
    ///
    /// Fails when the program cannot be started.
    pub fn start(name: &str, program: ProgramFile, arguments: &[String]) -> Result<Self> {
        let mut child = Command::new(program.path())
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()?;
        let log = OutputLog::default();
        let outputs = child.stdout.take().map(|output| log.collect(output));
        let errors = child.stderr.take().map(|output| log.collect(output));
        Ok(Self {
            name: name.to_owned(),
            child,
            log,
            collectors: outputs.into_iter().chain(errors).collect(),
        })
    }

    /// What the test calls the process.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// What the process wrote.
    #[must_use]
    pub fn log(&self) -> &OutputLog {
        &self.log
    }

    /// Sends a signal to the process.
    ///
    /// # Panics
    ///
    /// Panics when the process has been waited for.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).expect("a process that was not waited for");
    }

    /// Freezes the process.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets a frozen process go on.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks the process to stop gracefully.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether the process has ended, and how.
    #[must_use]
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits until the process has ended by itself.
    #[must_use]
    pub fn wait(&mut self) -> ExitStatus {
        let what = format!("the end of {}", self.name);
        poll_until(&what, || self.ended())
    }
}

impl Drop for ProcessGuard {
    fn drop(&mut self) {
        self.kill();
        for collector in self.collectors.drain(..) {
            let _ = collector.join();
        }
    }
}

impl Debug for ProcessGuard {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("ProcessGuard")
            .field("name", &self.name)
            .field("pid", &self.child.id())
            .finish_non_exhaustive()
    }
}
