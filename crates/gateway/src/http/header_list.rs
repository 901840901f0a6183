use bytes::{Bytes, BytesMut};

/// A header field as it was received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderField {
    /// Name in the sender's spelling.
    pub name: Bytes,
    /// Value without surrounding whitespace.
    pub value: Bytes,
}

/// The headers of a message in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeaderList {
    fields: Vec<HeaderField>,
}

impl HeaderList {
    /// Copies parsed headers.
    #[must_use]
    pub fn from_parsed(parsed: &[httparse::Header<'_>]) -> Self {
        let fields = parsed.iter().map(|header| HeaderField {
            name: Bytes::copy_from_slice(header.name.as_bytes()),
            value: Bytes::copy_from_slice(header.value),
        });
        Self {
            fields: fields.collect(),
        }
    }

    /// Appends a header.
    pub fn push<Value>(&mut self, name: &'static str, value: Value)
    where
        Value: Into<Bytes>,
    {
        self.fields.push(HeaderField {
            name: Bytes::from_static(name.as_bytes()),
            value: value.into(),
        });
    }

    /// Appends a header that was received with another message.
    pub fn push_field(&mut self, field: HeaderField) {
        self.fields.push(field);
    }

    /// All headers.
    pub fn iter(&self) -> impl Iterator<Item = &HeaderField> {
        self.fields.iter()
    }

    /// Values of all headers with a name, ignoring case.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Bytes> {
        let fields = self.fields.iter().filter(move |field| field.is_named(name));
        fields.map(|field| &field.value)
    }

    /// Value of the first header with a name, ignoring case.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Bytes> {
        let field = self.fields.iter().find(|field| field.is_named(name))?;
        Some(&field.value)
    }

    /// Value of the first header with a name, if it is valid UTF-8.
    #[must_use]
    pub fn text(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.get(name)?).ok()
    }

    /// Value of the first header with a name, if it is an unsigned integer.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<u64> {
        self.text(name)?.trim().parse().ok()
    }

    /// Whether a comma-separated header contains a token, ignoring case, such as
    /// `close` in `Connection`.
    #[must_use]
    pub fn contains_token(&self, name: &str, token: &str) -> bool {
        let values = self
            .all(name)
            .filter_map(|value| std::str::from_utf8(value).ok());
        let mut tokens = values.flat_map(|value| value.split(','));
        tokens.any(|listed| listed.trim().eq_ignore_ascii_case(token))
    }

    /// Writes the headers to `buffer`, one line each.
    pub fn write(&self, buffer: &mut BytesMut) {
        for field in &self.fields {
            buffer.extend_from_slice(&field.name);
            buffer.extend_from_slice(b": ");
            buffer.extend_from_slice(&field.value);
            buffer.extend_from_slice(b"\r\n");
        }
    }
}

impl HeaderField {
    /// Whether the header has the given name, ignoring case.
    #[must_use]
    pub fn is_named(&self, name: &str) -> bool {
        self.name.eq_ignore_ascii_case(name.as_bytes())
    }
}
