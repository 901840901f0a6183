use std::{
    collections::VecDeque,
    io::{BufRead, BufReader, Read},
    sync::{Arc, Condvar, Mutex, PoisonError},
    thread::{self, JoinHandle},
    time::Duration,
};

/// Lines that are kept of a process.
const LINE_LIMIT: usize = 2_000;

/// The last lines that a process wrote.
#[derive(Clone, Debug, Default)]
pub struct OutputLog {
    shared: Arc<SharedLines>,
}

#[derive(Debug, Default)]
struct SharedLines {
    lines: Mutex<VecDeque<String>>,
    grown: Condvar,
}

impl OutputLog {
    /// Collects the lines of an output until it ends.
    pub(super) fn collect<R>(&self, output: R) -> JoinHandle<()>
    where
        R: Read + Send + 'static,
    {
        let log = self.clone();
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                log.push(line);
            }
        })
    }

    /// Waits for a line that begins with `prefix` and gives the rest of it.
    #[must_use]
    pub fn wait_for(&self, prefix: &str, limit: Duration) -> Option<String> {
        let find = |lines: &VecDeque<String>| {
            let mut rests = lines.iter().filter_map(|line| line.strip_prefix(prefix));
            rests.next().map(str::to_owned)
        };
        let lines = self.shared.lines.lock();
        let lines = lines.unwrap_or_else(PoisonError::into_inner);
        let absent = |lines: &mut VecDeque<String>| find(lines).is_none();
        let waited = self.shared.grown.wait_timeout_while(lines, limit, absent);
        let (lines, _) = waited.unwrap_or_else(PoisonError::into_inner);
        find(&lines)
    }

    /// The last lines as one text.
    #[must_use]
    pub fn tail(&self, count: usize) -> String {
        let lines = self.shared.lines.lock();
        let lines = lines.unwrap_or_else(PoisonError::into_inner);
        let skipped = lines.len().saturating_sub(count);
        let tail: Vec<&str> = lines.iter().skip(skipped).map(String::as_str).collect();
        tail.join("\n")
    }

    fn push(&self, line: String) {
        let lines = self.shared.lines.lock();
        let mut lines = lines.unwrap_or_else(PoisonError::into_inner);
        if lines.len() == LINE_LIMIT {
            lines.pop_front();
        }
        lines.push_back(line);
        self.shared.grown.notify_all();
    }
}
