use std::{env, path::PathBuf};

/// A program of the workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProgramFile {
    /// The daemon.
    Daemon,
    /// The command-line tool.
    Tool,
    /// The stand-ins.
    Standin,
}

impl ProgramFile {
    /// Where the built program stands: beside the directory of the test.
    ///
    /// # Panics
    ///
    /// Panics when the program was not built.
    #[must_use]
    pub fn path(self) -> PathBuf {
        let test = env::current_exe().expect("path of the test");
        let directory = test
            .parent()
            .and_then(|directory| directory.parent())
            .expect("directory of the build");
        let path = directory.join(self.name());
        assert!(path.exists(), "{} is not built", self.name());
        path
    }

    const fn name(self) -> &'static str {
        match self {
            Self::Daemon => "verbenahubd",
            Self::Tool => "verbenahub",
            Self::Standin => "verbenahub-standin",
        }
    }
}
