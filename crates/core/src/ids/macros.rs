/// Declares a string identifier of this project, which is cheap to clone. It holds
/// only characters that need no escaping in keys, paths and tickets.
macro_rules! text_id {
    ($(#[$meta:meta])* $name:ident, $kind:literal) => {
        name_type! {
            $(#[$meta])*
            $name, $kind, $crate::ids::name_error::check_name
        }
    };
}

/// Declares a name that others have chosen, which is cheap to clone. It may hold any
/// text of a limited length that passes the check, and is only ever compared as a
/// whole.
macro_rules! opaque_name {
    ($(#[$meta:meta])* $name:ident, $kind:literal) => {
        name_type! {
            $(#[$meta])*
            $name, $kind, $crate::ids::name_error::check_length
        }
    };
    ($(#[$meta:meta])* $name:ident, $kind:literal, $check:path) => {
        name_type! {
            $(#[$meta])*
            $name, $kind, $crate::ids::name_error::check_length, $check
        }
    };
}

/// Declares a string type whose values pass all checks.
macro_rules! name_type {
    ($(#[$meta:meta])* $name:ident, $kind:literal, $($check:path),+) => {
        $(#[$meta])*
        #[derive(
            Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize,
            serde::Deserialize,
        )]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// Validates `text` and creates an identifier from it.
            ///
            /// # Errors
            ///
            /// Fails when the text is empty, too long or contains a character that
            /// is not allowed.
            pub fn new(text: &str) -> Result<Self, $crate::ids::NameError> {
                $($check($kind, text)?;)+
                Ok(Self(text.into()))
            }

            /// The identifier as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::ids::NameError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                Self::new(text)
            }
        }

        impl TryFrom<String> for $name {
            type Error = $crate::ids::NameError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                Self::new(&text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }
    };
}

/// Declares a `u64` newtype used as an identifier or for ordering.
macro_rules! number_id {
    ($(#[$meta:meta])* $name:ident, $kind:literal) => {
        $(#[$meta])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize,
            serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(u64);

        impl $name {
            /// The lowest value.
            pub const ZERO: Self = Self(0);

            /// Wraps a number.
            #[must_use]
            pub const fn new(number: u64) -> Self {
                Self(number)
            }

            /// The wrapped number.
            #[must_use]
            pub const fn get(self) -> u64 {
                self.0
            }

            /// The next higher number; saturates at `u64::MAX`.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                std::fmt::Display::fmt(&self.0, formatter)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::ids::NameError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self).map_err(|_| $crate::ids::NameError::NotNumber {
                    kind: $kind,
                    text: text.to_owned(),
                })
            }
        }
    };
}
