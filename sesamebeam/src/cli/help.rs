//! The pages of help, one for each command.

use std::fmt;

/// A page of help.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    /// The program as a whole.
    All,
    /// `help`
    Help,
    /// `check`
    Check,
    /// `apply`
    Apply,
    /// `current`
    Current,
    /// `status`
    Status,
    /// `explain`
    Explain,
    /// `report`
    Report,
    /// `report burn`
    ReportBurn,
    /// `report bills`
    ReportBills,
    /// `settle`
    Settle,
    /// `keys`
    Keys,
    /// `keys ca`
    KeysCa,
    /// `keys issue`
    KeysIssue,
    /// `keys organisation`
    KeysOrganisation,
    /// `keys announce`
    KeysAnnounce,
    /// `keys session`
    KeysSession,
    /// `control`
    Control,
    /// `control replace`
    ControlReplace,
    /// `dev`
    Dev,
}

impl Topic {
    /// Every page.
    pub const ALL: [Self; 20] = [
        Self::All,
        Self::Help,
        Self::Check,
        Self::Apply,
        Self::Current,
        Self::Status,
        Self::Explain,
        Self::Report,
        Self::ReportBurn,
        Self::ReportBills,
        Self::Settle,
        Self::Keys,
        Self::KeysCa,
        Self::KeysIssue,
        Self::KeysOrganisation,
        Self::KeysAnnounce,
        Self::KeysSession,
        Self::Control,
        Self::ControlReplace,
        Self::Dev,
    ];

    /// Returns the page.
    pub fn page(self) -> &'static str {
        match self {
            Self::All | Self::Help => include_str!("help/sesamebeam.txt"),
            Self::Check => include_str!("help/check.txt"),
            Self::Apply => include_str!("help/apply.txt"),
            Self::Current => include_str!("help/current.txt"),
            Self::Status => include_str!("help/status.txt"),
            Self::Explain => include_str!("help/explain.txt"),
            Self::Report => include_str!("help/report.txt"),
            Self::ReportBurn => include_str!("help/report-burn.txt"),
            Self::ReportBills => include_str!("help/report-bills.txt"),
            Self::Settle => include_str!("help/settle.txt"),
            Self::Keys => include_str!("help/keys.txt"),
            Self::KeysCa => include_str!("help/keys-ca.txt"),
            Self::KeysIssue => include_str!("help/keys-issue.txt"),
            Self::KeysOrganisation => include_str!("help/keys-organisation.txt"),
            Self::KeysAnnounce => include_str!("help/keys-announce.txt"),
            Self::KeysSession => include_str!("help/keys-session.txt"),
            Self::Control => include_str!("help/control.txt"),
            Self::ControlReplace => include_str!("help/control-replace.txt"),
            Self::Dev => include_str!("help/dev.txt"),
        }
    }

    /// Returns the last word of the command.
    pub fn word(self) -> &'static str {
        match self {
            Self::All => "sesamebeam",
            Self::Help => "help",
            Self::Check => "check",
            Self::Apply => "apply",
            Self::Current => "current",
            Self::Status => "status",
            Self::Explain => "explain",
            Self::Report => "report",
            Self::ReportBurn => "burn",
            Self::ReportBills => "bills",
            Self::Settle => "settle",
            Self::Keys => "keys",
            Self::KeysCa => "ca",
            Self::KeysIssue => "issue",
            Self::KeysOrganisation => "organisation",
            Self::KeysAnnounce => "announce",
            Self::KeysSession => "session",
            Self::Control => "control",
            Self::ControlReplace => "replace",
            Self::Dev => "dev",
        }
    }

    /// Returns the options of the command.
    pub fn options(self) -> &'static [&'static str] {
        match self {
            Self::Apply => &["--base", "--wait", "--json", "--settings", "--help"],
            Self::Status => &["--entry", "--json", "--settings", "--help"],
            Self::ReportBurn => &["--organisation", "--svg", "--json", "--settings", "--help"],
            Self::ReportBills => &["--from", "--limit", "--json", "--settings", "--help"],
            Self::Settle => &[
                "--ran",
                "--not-run",
                "--prompt-tokens",
                "--completion-tokens",
                "--json",
                "--settings",
                "--help",
            ],
            Self::KeysCa => &["--fleet", "--out", "--help"],
            Self::KeysIssue => &["--ca", "--out", "--help"],
            Self::KeysSession => &["--out", "--help"],
            Self::ControlReplace => &["--addr", "--incarnation", "--settings", "--help"],
            Self::Dev => &["--once", "--help"],
            Self::All | Self::Help => &["--help", "--json", "--settings", "--version"],
            Self::Current | Self::Explain => &["--json", "--settings", "--help"],
            Self::Check | Self::KeysOrganisation | Self::KeysAnnounce => &["--json", "--help"],
            Self::Report | Self::Keys | Self::Control => &["--help"],
        }
    }

    /// Returns whether a further word follows.
    pub(super) fn is_group(self) -> bool {
        !self.children().is_empty()
    }

    /// Returns the commands of a group.
    pub(super) fn children(self) -> &'static [Self] {
        match self {
            Self::All => &[
                Self::Help,
                Self::Check,
                Self::Apply,
                Self::Current,
                Self::Status,
                Self::Explain,
                Self::Report,
                Self::Settle,
                Self::Keys,
                Self::Control,
                Self::Dev,
            ],
            Self::Report => &[Self::ReportBurn, Self::ReportBills],
            Self::Keys => &[
                Self::KeysCa,
                Self::KeysIssue,
                Self::KeysOrganisation,
                Self::KeysAnnounce,
                Self::KeysSession,
            ],
            Self::Control => &[Self::ControlReplace],
            _ => &[],
        }
    }

    /// Finds a command of a group by its word.
    pub(super) fn child(self, word: &str) -> Option<Self> {
        let mut children = self.children().iter().copied();
        children.find(|child| child.word() == word)
    }

    fn parent(self) -> Option<Self> {
        let mut groups = Self::ALL.into_iter();
        groups.find(|group| group.children().contains(&self))
    }
}

impl fmt::Display for Topic {
    /// Writes the command as it is typed.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(parent) = self.parent() {
            write!(f, "{parent} ")?;
        }
        f.write_str(self.word())
    }
}
