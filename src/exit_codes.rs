//! What the programs' exit codes mean.

use std::process;

/// How a program ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCode {
    /// Everything asked for was done.
    Success,
    /// Something failed that trying again may mend.
    Failure,
    /// The command line, a settings file or a setting is wrong.
    Usage,
    /// Somebody else changed the same settings first.
    Conflict,
    /// The change would pass a cap or a limit.
    Refused,
    /// An objective burns its error budget too fast.
    Burning,
}

impl ExitCode {
    /// The number that the shell sees.
    pub fn code(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::Failure => 1,
            Self::Usage => 2,
            Self::Conflict => 3,
            Self::Refused => 4,
            Self::Burning => 5,
        }
    }
}

impl From<ExitCode> for process::ExitCode {
    fn from(code: ExitCode) -> Self {
        code.code().into()
    }
}
