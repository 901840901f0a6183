use bytes::{Bytes, BytesMut};

/// One header as it was received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderField {
    /// Name, in the sender's case.
    pub name: Bytes,
    /// Value, without surrounding white space.
    pub value: Bytes,
}

/// The headers of a message, in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeaderList {
    fields: Vec<HeaderField>,
}

impl HeaderList {
    /// Copies the headers of a parsed head.
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

    /// Adds a header at the end.
    pub fn push<Value>(&mut self, name: &'static str, value: Value)
    where
        Value: Into<Bytes>,
    {
        self.fields.push(HeaderField {
            name: Bytes::from_static(name.as_bytes()),
            value: value.into(),
        });
    }

    /// Adds a header as it was received elsewhere.
    pub fn push_field(&mut self, field: HeaderField) {
        self.fields.push(field);
    }

    /// All headers.
    pub fn iter(&self) -> impl Iterator<Item = &HeaderField> {
        self.fields.iter()
    }

    /// Values of all headers of a name, whatever its case.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Bytes> {
        let fields = self.fields.iter().filter(move |field| field.is_named(name));
        fields.map(|field| &field.value)
    }

    /// Value of the first header of a name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Bytes> {
        let field = self.fields.iter().find(|field| field.is_named(name))?;
        Some(&field.value)
    }

    /// Value of the first header of a name, if it is text.
    #[must_use]
    pub fn text(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.get(name)?).ok()
    }

    /// Value of the first header of a name, if it is a whole number.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<u64> {
        self.text(name)?.trim().parse().ok()
    }

    /// Whether a header lists a token, as `Connection` lists `close`.
    #[must_use]
    pub fn contains_token(&self, name: &str, token: &str) -> bool {
        let values = self
            .all(name)
            .filter_map(|value| std::str::from_utf8(value).ok());
        let mut tokens = values.flat_map(|value| value.split(','));
        tokens.any(|listed| listed.trim().eq_ignore_ascii_case(token))
    }

    /// Writes all headers as lines.
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
    /// Whether the header has a name, whatever its case.
    #[must_use]
    pub fn is_named(&self, name: &str) -> bool {
        self.name.eq_ignore_ascii_case(name.as_bytes())
    }
}
