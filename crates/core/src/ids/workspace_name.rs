use super::NameError;

opaque_name! {
    /// Name of a workspace as the operator of the platform chose it, which targets
    /// get in a header. It is not restricted to the characters of a
    /// [`WorkspaceId`](super::WorkspaceId).
    WorkspaceName, "workspace name", check_header_value
}

/// Checks that a name arrives unchanged if it is sent as the value of a header.
fn check_header_value(kind: &'static str, text: &str) -> Result<(), NameError> {
    if let Some(character) = text.chars().find(char::is_ascii_control) {
        return Err(NameError::ControlCharacter { kind, character });
    }
    if text.starts_with(' ') || text.ends_with(' ') {
        return Err(NameError::OuterSpace { kind });
    }
    Ok(())
}
