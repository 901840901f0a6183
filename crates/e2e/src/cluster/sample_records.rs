use std::{fs, path::PathBuf};

/// A record of the samples.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SampleRecord {
    /// Pipeline that streams, schema 1.
    Chat,
    /// Pipeline that streams after four stages, schema 2.
    Survey,
    /// Pipeline with a booking, schema 2.
    Visit,
    /// Workspace of the chat and the survey.
    Sealwise,
    /// Workspace of the visit.
    Pinehollow,
    /// The model.
    Trade8b,
}

impl SampleRecord {
    /// All samples.
    pub const ALL: [Self; 6] = [
        Self::Sealwise,
        Self::Pinehollow,
        Self::Trade8b,
        Self::Chat,
        Self::Survey,
        Self::Visit,
    ];

    /// The text of the sample.
    ///
    /// # Panics
    ///
    /// Panics when the file is missing.
    #[must_use]
    pub fn text(self) -> String {
        let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
            .join("../../examples/records")
            .join(self.file());
        fs::read_to_string(path).expect("a sample record")
    }

    /// The text of the sample as a later generation.
    #[must_use]
    pub fn revised(self, generation: u64) -> String {
        let line = format!("generation = {generation}");
        self.text().replace("generation = 1", &line)
    }

    const fn file(self) -> &'static str {
        match self {
            Self::Chat => "chat.toml",
            Self::Survey => "survey.toml",
            Self::Visit => "visit.toml",
            Self::Sealwise => "sealwise.toml",
            Self::Pinehollow => "pinehollow.toml",
            Self::Trade8b => "trade-8b.toml",
        }
    }
}
