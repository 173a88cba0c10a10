//! Exit codes of the programs.

use std::process;

/// Section on exit codes in the programs' help texts.
pub const HELP: &str = "Exit codes:
  0  done
  1  failed; trying again may help (the store is down, a reply was lost)
  2  the command line, a settings file or a setting is wrong
  3  somebody else changed the same settings first
  4  refused: the change would exceed a cap or a limit
  5  an objective burns its error budget too fast
  6  the key may not sign for the team";

/// The result of a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCode {
    /// The command succeeded.
    Success,
    /// The command failed; a retry may succeed.
    Failure,
    /// The command line, a settings file or a setting is invalid.
    Usage,
    /// Another operator changed the same settings first.
    Conflict,
    /// The change would exceed a cap or a limit.
    Refused,
    /// The key is not authorised to sign for the team.
    Unauthorised,
    /// An objective consumes its error budget too fast.
    Burning,
}

impl ExitCode {
    /// The numeric code for the shell.
    pub fn code(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::Failure => 1,
            Self::Usage => 2,
            Self::Conflict => 3,
            Self::Refused => 4,
            Self::Burning => 5,
            Self::Unauthorised => 6,
        }
    }
}

impl From<ExitCode> for process::ExitCode {
    fn from(code: ExitCode) -> Self {
        code.code().into()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_help_text_lists_every_code() {
        let codes = [
            ExitCode::Success,
            ExitCode::Failure,
            ExitCode::Usage,
            ExitCode::Conflict,
            ExitCode::Refused,
            ExitCode::Burning,
            ExitCode::Unauthorised,
        ];
        for code in codes {
            assert!(HELP.contains(&format!("\n  {}  ", code.code())));
        }
    }
}
