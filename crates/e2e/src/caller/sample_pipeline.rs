use verbenahub_standins::{
    engine::GeneratedText,
    pool::{DEFAULT_OUTPUT_LIMIT, input_digest, stage_output},
};

/// Token limit of the sample pipelines that stream.
const SAMPLE_TOKENS: u64 = 64;

/// A pipeline of the sample records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SamplePipeline {
    /// Retrieve, rerank, generate.
    Chat,
    /// Encode, retrieve, rerank, generate.
    Survey,
    /// Encode, retrieve, rerank, book.
    Visit,
}

impl SamplePipeline {
    /// All pipelines.
    pub const ALL: [Self; 3] = [Self::Chat, Self::Survey, Self::Visit];

    /// Name of the record.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Chat => "chat",
            Self::Survey => "survey",
            Self::Visit => "visit",
        }
    }

    /// Credentials of a workspace that calls the pipeline.
    #[must_use]
    pub const fn credentials(self) -> &'static str {
        match self {
            Self::Chat | Self::Survey => "Bearer sealwise:clear-pane-secret",
            Self::Visit => "Bearer pinehollow:rest-well-secret",
        }
    }

    /// Whether the answer is a stream.
    #[must_use]
    pub const fn streams(self) -> bool {
        !matches!(self, Self::Visit)
    }

    /// The whole answer to a body.
    #[must_use]
    pub fn expected(self, body: &[u8]) -> Vec<u8> {
        let input = self.last_input(body);
        if self.streams() {
            let text = GeneratedText::of_prompt(&input, SAMPLE_TOKENS);
            text.text().into_bytes()
        } else {
            stage_output("booking", &input, DEFAULT_OUTPUT_LIMIT)
        }
    }

    /// Digest of the input of the last stage, as a ledger shows it.
    #[must_use]
    pub fn last_digest(self, body: &[u8]) -> u64 {
        input_digest(&self.last_input(body))
    }

    fn last_input(self, body: &[u8]) -> Vec<u8> {
        let stages: &[&str] = match self {
            Self::Chat => &["retrieve", "rerank"],
            Self::Survey | Self::Visit => &["encode", "retrieve", "rerank"],
        };
        let run = |input: Vec<u8>, stage: &&str| stage_output(stage, &input, DEFAULT_OUTPUT_LIMIT);
        stages.iter().fold(body.to_vec(), run)
    }
}
