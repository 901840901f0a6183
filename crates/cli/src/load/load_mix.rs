use std::{env, path::Path};

use serde::Deserialize;
use serde_with::{DisplayFromStr, serde_as};
use verbenahub_core::{
    clock::TimeSpan,
    ids::{PipelineName, WorkspaceId},
    units::ByteSize,
};

use crate::{
    consts::{BODY_LIMIT, FILE_LIMIT, SECRET_VARIABLE},
    input,
    tool_error::ToolError,
};

/// Which requests a load is made of.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadMix {
    /// The sorts of requests.
    #[serde(rename = "part")]
    pub parts: Vec<MixPart>,
}

/// One sort of requests of a load.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MixPart {
    /// The pipeline.
    pub pipeline: PipelineName,
    /// The workspace on whose behalf the requests run.
    pub workspace: WorkspaceId,
    /// Its secret; from the environment if there is none.
    pub secret: Option<String>,
    /// Share of all requests, relative to the other parts.
    pub share: f64,
    /// Size of a body.
    #[serde_as(as = "DisplayFromStr")]
    pub body: ByteSize,
    /// Time within which an answer counts as attained.
    #[serde_as(as = "DisplayFromStr")]
    pub deadline: TimeSpan,
    /// Size of the part of a body that it has in common with others.
    #[serde_as(as = "Option<DisplayFromStr>")]
    #[serde(default)]
    pub prefix: Option<ByteSize>,
    /// Number of different such parts.
    #[serde(default = "default_prefixes")]
    pub prefixes: u32,
}

fn default_prefixes() -> u32 {
    1
}

impl LoadMix {
    /// Reads a mix file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read or is no mix.
    pub fn read(path: &Path) -> Result<Self, ToolError> {
        let fault = |message: String| ToolError::Mix {
            path: path.to_owned(),
            message,
        };
        let bytes = input::read_input(path, FILE_LIMIT)?;
        let mut mix: Self = toml::from_slice(&bytes).map_err(|error| fault(error.to_string()))?;
        mix.check().map_err(fault)?;
        for part in &mut mix.parts {
            part.fill_secret()?;
        }
        Ok(mix)
    }

    /// The part that a number from 0 to 1 falls to.
    #[must_use]
    pub fn choose(&self, draw: f64) -> usize {
        let total: f64 = self.parts.iter().map(|part| part.share).sum();
        let mut rest = draw * total;
        for (index, part) in self.parts.iter().enumerate() {
            rest -= part.share;
            if rest < 0.0 {
                return index;
            }
        }
        self.parts.len() - 1
    }

    fn check(&self) -> Result<(), String> {
        if self.parts.is_empty() {
            return Err("a mix has at least one [[part]]".to_owned());
        }
        self.parts.iter().try_for_each(MixPart::check)
    }
}

impl MixPart {
    fn check(&self) -> Result<(), String> {
        let pipeline = &self.pipeline;
        if !self.share.is_finite() || self.share <= 0.0 {
            return Err(format!("{pipeline}: share must be over 0"));
        }
        if self.body > BODY_LIMIT {
            return Err(format!("{pipeline}: body must be at most {BODY_LIMIT}"));
        }
        if self.deadline.is_zero() || self.prefixes == 0 {
            return Err(format!("{pipeline}: deadline and prefixes must not be 0"));
        }
        if self.prefix.unwrap_or_default() > self.body {
            return Err(format!("{pipeline}: prefix must not be larger than body"));
        }
        Ok(())
    }

    fn fill_secret(&mut self) -> Result<(), ToolError> {
        if self.secret.is_none() {
            let secret = env::var(SECRET_VARIABLE);
            self.secret = Some(secret.map_err(|_| ToolError::NoSecret(SECRET_VARIABLE))?);
        }
        Ok(())
    }
}
