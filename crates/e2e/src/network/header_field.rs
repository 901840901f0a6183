/// A header of a call or an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderField {
    /// The name in lower case.
    pub name: String,
    /// The value.
    pub value: String,
}

impl HeaderField {
    /// Creates a header.
    #[must_use]
    pub fn new(name: &str, value: &str) -> Self {
        Self {
            name: name.to_ascii_lowercase(),
            value: value.to_owned(),
        }
    }
}
