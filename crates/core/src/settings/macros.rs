use thiserror::Error;

/// Error for a text that is not one of the values of a setting.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{text}` is not one of {choices}")]
pub struct ChoiceError {
    /// The text that was given.
    pub text: String,
    /// The valid values, as listed in the message.
    pub choices: &'static str,
}

/// Declares an enum setting that is parsed from and printed as fixed strings.
macro_rules! choice {
    (
        $(#[$meta:meta])* $name:ident, $choices:literal,
        $($(#[$value_meta:meta])* $value:ident = $text:literal),+ $(,)?
    ) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
        pub enum $name {
            $($(#[$value_meta])* $value),+
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str(match self {
                    $(Self::$value => $text),+
                })
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::settings::ChoiceError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                match text {
                    $($text => Ok(Self::$value),)+
                    _ => Err($crate::settings::ChoiceError {
                        text: text.to_owned(),
                        choices: $choices,
                    }),
                }
            }
        }
    };
}
