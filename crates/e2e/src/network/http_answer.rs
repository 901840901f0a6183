use serde::de::DeserializeOwned;

use super::HeaderField;

/// What came back on a call.
#[derive(Clone, Debug)]
pub struct HttpAnswer {
    /// The status.
    pub status: u16,
    /// The headers.
    pub headers: Vec<HeaderField>,
    /// The body as far as it came.
    pub body: Vec<u8>,
    /// Whether the body broke off.
    pub broken: bool,
}

impl HttpAnswer {
    /// The value of a header.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut fields = self.headers.iter();
        let field = fields.find(|field| field.name == name)?;
        Some(&field.value)
    }

    /// The body from JSON, if it is that.
    #[must_use]
    pub fn json<T>(&self) -> Option<T>
    where
        T: DeserializeOwned,
    {
        serde_json::from_slice(&self.body).ok()
    }

    /// The body as text.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}
