//! TOML files whose faults are reported by file, line and column.

use std::{
    fmt, fs, io,
    path::{
        Path,
        PathBuf, //
    },
};

use serde::de::DeserializeOwned;
use sesamebeam_core::fleet::check::{
    Fault,
    PathSegment,
    most_similar, //
};
use smol_str::SmolStr;
use thiserror::Error;
use toml::{
    Spanned,
    de::{
        DeTable,
        DeValue, //
    },
};

/// Largest file in bytes that is read.
const MAX_FILE: u64 = 8 << 20;

/// Why a TOML file could not be used.
#[derive(Debug, Error)]
pub enum FileError {
    /// The file could not be read.
    #[error("cannot read {path}: {source}")]
    Read {
        /// File that was to be read.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The file is too large.
    #[error("{path} is larger than {MAX_FILE} bytes")]
    TooLarge {
        /// File that was to be read.
        path: PathBuf,
    },
    /// The file has faults; nothing of it is used.
    #[error("{}", lines(.0))]
    Faulty(Vec<FileFault>),
}

/// A fault with its place in a file.
#[derive(Clone, Debug, PartialEq)]
pub struct FileFault {
    /// File that has the fault.
    pub path: PathBuf,
    /// Line, counted from 1.
    pub line: usize,
    /// Column in characters, counted from 1.
    pub column: usize,
    /// What is wrong, in one sentence.
    pub message: String,
    /// What the writer may have meant.
    pub suggestion: Option<SmolStr>,
}

impl fmt::Display for FileFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = self.path.display();
        write!(f, "{path}:{}:{}: {}", self.line, self.column, self.message)?;
        match &self.suggestion {
            Some(text) => write!(f, "; did you mean `{text}`?"),
            None => Ok(()),
        }
    }
}

/// The text of a TOML file.
#[derive(Clone, Debug)]
pub struct TomlFile {
    path: PathBuf,
    text: String,
}

impl TomlFile {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, is too large or is not UTF-8.
    pub fn read(path: &Path) -> Result<Self, FileError> {
        let fault = |source| FileError::Read {
            path: path.to_owned(),
            source,
        };
        if fs::metadata(path).map_err(fault)?.len() > MAX_FILE {
            return Err(FileError::TooLarge {
                path: path.to_owned(),
            });
        }
        let text = fs::read_to_string(path).map_err(fault)?;
        Ok(Self::new(path, text))
    }

    /// Takes a text as if it had been read from `path`.
    pub fn new(path: &Path, text: impl Into<String>) -> Self {
        Self {
            path: path.to_owned(),
            text: text.into(),
        }
    }

    /// Returns the text.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Reads a value and checks it.
    ///
    /// # Errors
    ///
    /// Fails with the first fault of syntax or type, or else with every fault
    /// that `check` finds.
    pub fn parse<T: DeserializeOwned>(
        &self,
        check: impl Fn(&T) -> Vec<Fault>,
    ) -> Result<T, FileError> {
        let value = toml::from_str(&self.text)
            .map_err(|e| FileError::Faulty(vec![self.syntax_fault(&e)]))?;
        let faults = check(&value);
        if faults.is_empty() {
            return Ok(value);
        }
        let root = DeTable::parse(&self.text)
            .map_err(|e| FileError::Faulty(vec![self.syntax_fault(&e)]))?;
        let mut found: Vec<_> = faults
            .into_iter()
            .map(|fault| self.placed(&root, fault))
            .collect();
        found.sort_by_key(|fault| (fault.line, fault.column));
        Err(FileError::Faulty(found))
    }

    fn syntax_fault(&self, e: &toml::de::Error) -> FileFault {
        let at = e.span().map_or(0, |span| span.start);
        // The library's message may go on about what it expected on more lines.
        let message = e.message().trim().replace('\n', ", ");
        self.fault_at(at, suggestion_in(&message), message)
    }

    fn placed(&self, root: &Spanned<DeTable<'_>>, fault: Fault) -> FileFault {
        let at = offset_of(root, &fault.path);
        self.fault_at(at, fault.suggestion, fault.message)
    }

    fn fault_at(&self, at: usize, suggestion: Option<SmolStr>, message: String) -> FileFault {
        let before = self.text.get(..at).unwrap_or(&self.text);
        let line_start = before.rfind('\n').map_or(0, |n| n + 1);
        FileFault {
            path: self.path.clone(),
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
            message,
            suggestion,
        }
    }
}

fn lines(faults: &[FileFault]) -> String {
    let lines: Vec<_> = faults.iter().map(FileFault::to_string).collect();
    lines.join("\n")
}

/// Finds a suggestion for an unknown key or value in serde's message, which
/// names the wrong word first and the right ones after it, in backquotes.
fn suggestion_in(message: &str) -> Option<SmolStr> {
    if !message.starts_with("unknown ") {
        return None;
    }
    let mut words = message.split('`').skip(1).step_by(2);
    let wrong = words.next()?;
    most_similar(wrong, words)
}

/// Finds where the value at a path starts, or the nearest part round it if the
/// value is not written in the file.
fn offset_of(root: &Spanned<DeTable<'_>>, path: &[PathSegment]) -> usize {
    let mut at = root.span().start;
    let mut rest = path.iter();
    let mut value = match rest.next() {
        Some(PathSegment::Key(key)) => root.get_ref().get(*key),
        Some(PathSegment::Index(_)) | None => None,
    };
    while let Some(found) = value {
        at = found.span().start;
        value = match (rest.next(), found.get_ref()) {
            (Some(PathSegment::Key(key)), DeValue::Table(table)) => table.get(*key),
            (Some(PathSegment::Index(n)), DeValue::Array(array)) => array.get(*n),
            _ => None,
        };
    }
    at
}
