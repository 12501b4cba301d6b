//! From arguments to a typed command.

use std::{
    env,
    ffi::OsString,
    fmt,
    net::SocketAddr,
    path::PathBuf,
    str::FromStr, //
};

use pico_args::Arguments;
use sesamebeam_core::{
    fleet::check::most_similar,
    ids::{
        BillSeq,
        IdempotencyKey,
        OrgId,
        RequestId,
        Revision, //
    },
    message::{
        control::Replace,
        record::{
            ClaimKey,
            SettleRequest,
            Usage, //
        },
    },
};
use smol_str::SmolStr;
use thiserror::Error;

use super::help::Topic;
use crate::{
    dev::DevOptions,
    keys::Role, //
};

/// Settings file if neither `--settings` nor the environment names one.
const SETTINGS_FILE: &str = "sesamebeam.toml";

/// Variable of the environment that names the settings file.
const SETTINGS_VARIABLE: &str = "SESAMEBEAM_SETTINGS";

/// Hex digits of a 128-bit number.
const HEX_DIGITS: usize = 32;

/// Arguments as typed values.
#[derive(Clone, Debug, PartialEq)]
pub struct Parsed {
    /// What to do.
    pub command: Command,
    /// Whether to write JSON.
    pub json: bool,
    /// Settings file of the operator.
    pub settings: PathBuf,
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Show a page of help.
    Help(Topic),
    /// Show the version.
    Version,
    /// Check a fleet file.
    Check {
        /// The file.
        file: PathBuf,
    },
    /// Apply a fleet file.
    Apply(Apply),
    /// Show the fleet file in force.
    Current,
    /// Show the state of the group, or of one entry.
    Status {
        /// Name of the entry.
        entry: Option<SmolStr>,
    },
    /// Explain the decision on a request.
    Explain {
        /// Number of the request.
        request: RequestId,
    },
    /// Report the burn of the objectives.
    ReportBurn {
        /// The one organisation to report on.
        org: Option<OrgId>,
        /// File for a plot.
        svg: Option<PathBuf>,
    },
    /// List billing entries.
    ReportBills {
        /// First position wanted.
        from: BillSeq,
        /// Most entries wanted.
        limit: Option<u64>,
    },
    /// Settle an open billing entry.
    Settle(SettleRequest),
    /// Make keys and certificates.
    Keys(KeysCommand),
    /// Replace a control replica whose disk is lost.
    ControlReplace(Replace),
    /// Run everything on loopback.
    Dev(DevOptions),
}

/// A change of the fleet file.
#[derive(Clone, Debug, PartialEq)]
pub struct Apply {
    /// The file.
    pub file: PathBuf,
    /// Revision that it was made from.
    pub base: Revision,
    /// Whether to wait until it is in force everywhere.
    pub wait: bool,
}

/// Keys and certificates to make.
#[derive(Clone, Debug, PartialEq)]
pub enum KeysCommand {
    /// The fleet's certificate authority.
    Ca {
        /// Name of the fleet.
        fleet: SmolStr,
        /// Folder to write to.
        out: PathBuf,
    },
    /// A certificate for a process or an operator.
    Issue {
        /// Whom it vouches for.
        role: Role,
        /// Folder of the authority.
        ca: PathBuf,
        /// Folder to write to.
        out: PathBuf,
    },
    /// A key for an organisation's callers.
    Organisation,
    /// A key for announcements of backend servers.
    Announce,
    /// A secret that signs session tokens.
    Session {
        /// File to write to.
        out: PathBuf,
    },
}

/// What is wrong with the arguments.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("{fault}{}\ntry `{topic} --help`", Suggested(.suggestion))]
pub struct UsageError {
    /// What is wrong, naming the argument.
    pub fault: UsageFault,
    /// What the operator may have meant.
    pub suggestion: Option<SmolStr>,
    /// Page that says more.
    pub topic: Topic,
}

/// A fault in the arguments.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum UsageFault {
    /// No command is given.
    #[error("no command is given")]
    NoCommand,
    /// There is no such command.
    #[error("there is no command `{0}`")]
    UnknownCommand(SmolStr),
    /// The command has no such option.
    #[error("there is no option `{0}`")]
    UnknownOption(SmolStr),
    /// An option has no value.
    #[error("option `{0}` has no value")]
    NoValue(&'static str),
    /// A needed option is missing.
    #[error("option `{0}` is missing")]
    MissingOption(&'static str),
    /// A needed argument is missing.
    #[error("argument {0} is missing")]
    MissingArgument(&'static str),
    /// There is an argument too many.
    #[error("argument `{0}` is one too many")]
    Extra(SmolStr),
    /// A value cannot be understood.
    #[error("{argument} is `{value}`, which is not {wanted}")]
    Value {
        /// Name of the option or argument.
        argument: &'static str,
        /// What was given.
        value: SmolStr,
        /// What is wanted.
        wanted: &'static str,
    },
    /// Exactly one of two options is needed.
    #[error("exactly one of `{0}` and `{1}` is needed")]
    OneOf(&'static str, &'static str),
}

/// Writes a suggestion behind a message.
struct Suggested<'a>(&'a Option<SmolStr>);

impl fmt::Display for Suggested<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(text) => write!(f, "; did you mean `{text}`?"),
            None => Ok(()),
        }
    }
}

/// Parses arguments, without the program's name.
///
/// # Errors
///
/// Fails if they name no command, or a part of them is not understood.
pub fn parse(args: Vec<OsString>) -> Result<Parsed, UsageError> {
    let mut args = Args {
        rest: Arguments::from_vec(args),
        topic: Topic::All,
    };
    let help = args.flag(["-h", "--help"]);
    let version = args.flag(["-V", "--version"]);
    let json = args.flag(["-j", "--json"]);
    let settings = args.optional("--settings", "a file", |text| Some(PathBuf::from(text)))?;
    let topic = args.command(help || version)?;
    args.topic = topic;
    let command = if version {
        Command::Version
    } else if help {
        Command::Help(topic)
    } else {
        args.command_of(topic)?
    };
    if !help && !version {
        args.finish()?;
    }
    Ok(Parsed {
        command,
        json,
        settings: settings.unwrap_or_else(default_settings),
    })
}

fn default_settings() -> PathBuf {
    env::var_os(SETTINGS_VARIABLE).map_or_else(|| SETTINGS_FILE.into(), PathBuf::from)
}

/// The arguments that are not parsed yet.
struct Args {
    rest: Arguments,
    /// Command that they belong to.
    topic: Topic,
}

impl Args {
    /// Takes the command off, of one or two words.
    fn command(&mut self, may_be_missing: bool) -> Result<Topic, UsageError> {
        let mut topic = Topic::All;
        while topic.is_group() {
            self.topic = topic;
            let Some(word) = self.word()? else {
                if may_be_missing || topic != Topic::All {
                    return Ok(topic);
                }
                return Err(self.fault(UsageFault::NoCommand));
            };
            topic = topic.child(&word).ok_or_else(|| UsageError {
                suggestion: most_similar(&word, topic.children().iter().map(|child| child.word())),
                fault: UsageFault::UnknownCommand(word.clone()),
                topic,
            })?;
        }
        Ok(topic)
    }

    fn command_of(&mut self, topic: Topic) -> Result<Command, UsageError> {
        Ok(match topic {
            Topic::All => Command::Help(topic),
            Topic::Help => Command::Help(self.command(true)?),
            // A group without its second word shows what there is.
            Topic::Report | Topic::Keys | Topic::Control => {
                return Err(self.fault(UsageFault::MissingArgument("COMMAND")));
            }
            Topic::Check => Command::Check {
                file: self.argument("FILE", "a file", path)?,
            },
            Topic::Apply => Command::Apply(Apply {
                base: self.needed("--base", "a revision", number)?,
                wait: self.flag(["-w", "--wait"]),
                file: self.argument("FILE", "a file", path)?,
            }),
            Topic::Current => Command::Current,
            Topic::Status => Command::Status {
                entry: self.optional("--entry", "a name", name)?,
            },
            Topic::Explain => Command::Explain {
                request: self.argument("REQUEST", "32 hex digits", hex)?,
            },
            Topic::ReportBurn => Command::ReportBurn {
                org: self.optional("--organisation", "a name", name)?,
                svg: self.optional("--svg", "a file", path)?,
            },
            Topic::ReportBills => Command::ReportBills {
                from: self.optional("--from", "a position", number)?.unwrap_or(1),
                limit: self.optional("--limit", "a number", number)?,
            },
            Topic::Settle => Command::Settle(self.settle()?),
            Topic::KeysCa => Command::Keys(KeysCommand::Ca {
                fleet: self.needed("--fleet", "a name", name)?,
                out: self.needed("--out", "a folder", path)?,
            }),
            Topic::KeysIssue => Command::Keys(KeysCommand::Issue {
                ca: self.needed("--ca", "a folder", path)?,
                out: self.needed("--out", "a folder", path)?,
                role: self.argument(
                    "ROLE",
                    "`entry.NAME`, `control.NUMBER` or `operator.NAME`",
                    parsed,
                )?,
            }),
            Topic::KeysOrganisation => Command::Keys(KeysCommand::Organisation),
            Topic::KeysAnnounce => Command::Keys(KeysCommand::Announce),
            Topic::KeysSession => Command::Keys(KeysCommand::Session {
                out: self.needed("--out", "a file", path)?,
            }),
            Topic::ControlReplace => Command::ControlReplace(self.replace()?),
            Topic::Dev => Command::Dev(DevOptions {
                once: self.flag(["-1", "--once"]),
            }),
        })
    }

    fn settle(&mut self) -> Result<SettleRequest, UsageError> {
        let ran = self.flag(["-r", "--ran"]);
        let not_run = self.flag(["-n", "--not-run"]);
        let prompt_tokens = self.optional("--prompt-tokens", "a number", number)?;
        let completion_tokens = self.optional("--completion-tokens", "a number", number)?;
        if ran == not_run {
            return Err(self.fault(UsageFault::OneOf("--ran", "--not-run")));
        }
        let org: OrgId = self.argument("ORGANISATION", "a name", name)?;
        let key: IdempotencyKey = self.argument("KEY", "a key", name)?;
        Ok(SettleRequest {
            key: ClaimKey { org, key },
            ran,
            usage: Usage {
                prompt_tokens: prompt_tokens.unwrap_or_default(),
                completion_tokens: completion_tokens.unwrap_or_default(),
            },
        })
    }

    fn replace(&mut self) -> Result<Replace, UsageError> {
        let addr: SocketAddr = self.needed("--addr", "an address such as 10.0.0.1:8401", parsed)?;
        Ok(Replace {
            incarnation: self.needed("--incarnation", "32 hex digits", hex)?,
            addr,
            old: self.argument("GONE", "the number of a replica", number)?,
            new: self.argument("NEW", "the number of a replica", number)?,
        })
    }

    fn flag(&mut self, names: [&'static str; 2]) -> bool {
        self.rest.contains(names)
    }

    fn optional<T>(
        &mut self,
        option: &'static str,
        wanted: &'static str,
        read: impl Fn(&str) -> Option<T>,
    ) -> Result<Option<T>, UsageError> {
        let text: Option<SmolStr> = self
            .rest
            .opt_value_from_fn(option, |text| Ok::<_, fmt::Error>(SmolStr::from(text)))
            .map_err(|_| self.fault(UsageFault::NoValue(option)))?;
        text.map(|text| self.value(option, wanted, text, read))
            .transpose()
    }

    fn needed<T>(
        &mut self,
        option: &'static str,
        wanted: &'static str,
        read: impl Fn(&str) -> Option<T>,
    ) -> Result<T, UsageError> {
        self.optional(option, wanted, read)?
            .ok_or_else(|| self.missing(option))
    }

    /// Tells that an option is missing, or rather of one that may be it,
    /// mistyped.
    fn missing(&self, option: &'static str) -> UsageError {
        let rest = self.rest.clone().finish();
        let texts = rest.iter().map(|text| text.to_string_lossy());
        let mut unknown = texts.filter(|text| {
            let name = text.split('=').next().unwrap_or(text);
            name.starts_with("--") && !self.topic.options().contains(&name)
        });
        match unknown.next() {
            Some(text) => self.unknown_option(&text),
            None => self.fault(UsageFault::MissingOption(option)),
        }
    }

    /// Takes the next argument that is no option.
    fn argument<T>(
        &mut self,
        argument: &'static str,
        wanted: &'static str,
        read: impl Fn(&str) -> Option<T>,
    ) -> Result<T, UsageError> {
        self.refuse_options()?;
        let text: SmolStr = self
            .rest
            .free_from_fn(|text| Ok::<_, fmt::Error>(text.into()))
            .map_err(|_| self.fault(UsageFault::MissingArgument(argument)))?;
        self.value(argument, wanted, text, read)
    }

    fn value<T>(
        &self,
        argument: &'static str,
        wanted: &'static str,
        value: SmolStr,
        read: impl Fn(&str) -> Option<T>,
    ) -> Result<T, UsageError> {
        read(&value).ok_or_else(|| {
            self.fault(UsageFault::Value {
                argument,
                value,
                wanted,
            })
        })
    }

    /// Takes the next word of the command.
    fn word(&mut self) -> Result<Option<SmolStr>, UsageError> {
        self.refuse_options()?;
        let word = self.rest.subcommand();
        Ok(word.unwrap_or_default().map(SmolStr::from))
    }

    /// Refuses an option in the next place: every known one was taken before.
    fn refuse_options(&self) -> Result<(), UsageError> {
        let rest = self.rest.clone().finish();
        match rest.first().map(|text| text.to_string_lossy()) {
            Some(text) if text.starts_with('-') => Err(self.unknown_option(&text)),
            _ => Ok(()),
        }
    }

    fn finish(self) -> Result<(), UsageError> {
        self.refuse_options()?;
        match self.rest.clone().finish().first() {
            None => Ok(()),
            Some(text) => {
                let text = text.to_string_lossy().as_ref().into();
                Err(self.fault(UsageFault::Extra(text)))
            }
        }
    }

    fn unknown_option(&self, text: &str) -> UsageError {
        let option = text.split('=').next().unwrap_or(text);
        UsageError {
            suggestion: most_similar(option, self.topic.options().iter().copied()),
            fault: UsageFault::UnknownOption(option.into()),
            topic: self.topic,
        }
    }

    fn fault(&self, fault: UsageFault) -> UsageError {
        UsageError {
            fault,
            suggestion: None,
            topic: self.topic,
        }
    }
}

fn path(text: &str) -> Option<PathBuf> {
    (!text.is_empty()).then(|| text.into())
}

fn name(text: &str) -> Option<SmolStr> {
    (!text.is_empty()).then(|| text.into())
}

fn number<T: FromStr>(text: &str) -> Option<T> {
    // `parse` would take a sign.
    let digits = text.bytes().all(|c| c.is_ascii_digit());
    digits.then(|| text.parse().ok()).flatten()
}

fn parsed<T: FromStr>(text: &str) -> Option<T> {
    text.parse().ok()
}

fn hex(text: &str) -> Option<u128> {
    let digits = text.len() == HEX_DIGITS && text.bytes().all(|c| c.is_ascii_hexdigit());
    digits
        .then(|| u128::from_str_radix(text, 16).ok())
        .flatten()
}
