//! Whether a part of the request decisions is in use: as operators say, or as the deployment calls
//! for it.

/// The use of one part.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// Where the deployment calls for it.
    #[default]
    Auto,
    /// Always.
    On,
    /// Never.
    Off,
}

impl Mode {
    /// Whether the part is in use; `called_for` says whether the deployment calls for it.
    pub fn is_on(self, called_for: bool) -> bool {
        match self {
            Self::Auto => called_for,
            Self::On => true,
            Self::Off => false,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn operators_take_precedence_over_the_deployment() {
        assert!(Mode::On.is_on(false) && !Mode::Off.is_on(true));
        assert!(Mode::Auto.is_on(true) && !Mode::Auto.is_on(false));
    }
}
