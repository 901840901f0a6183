/// Location of a value in a TOML text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct KeyPlace {
    /// Path of the key.
    pub(crate) path: String,
    /// Byte offset of the value.
    pub(crate) offset: usize,
}

impl KeyPlace {
    /// Location of the key `key` in the table at this location.
    pub(crate) fn child(&self, key: &str, offset: usize) -> Self {
        let path = if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        };
        Self { path, offset }
    }

    /// Location of an element of the array at this location.
    pub(crate) fn element(&self, index: usize, offset: usize) -> Self {
        let path = format!("{}[{index}]", self.path);
        Self { path, offset }
    }
}
