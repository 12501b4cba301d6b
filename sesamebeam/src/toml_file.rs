//! TOML files with faults reported by file, line and column.

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

/// Maximum file size in bytes.
const MAX_FILE_SIZE: u64 = 8 << 20;

/// Error when loading a TOML file.
#[derive(Debug, Error)]
pub enum FileError {
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The file is too large.
    #[error("{path} is larger than {MAX_FILE_SIZE} bytes")]
    TooLarge {
        /// Path of the file.
        path: PathBuf,
    },
    /// The file has faults, and none of its content is used.
    #[error("{}", join_faults(.0))]
    Faulty(Vec<FileFault>),
}

/// Fault with its location in a file.
#[derive(Clone, Debug, PartialEq)]
pub struct FileFault {
    /// File with the fault.
    pub path: PathBuf,
    /// Line number, starting at 1.
    pub line: usize,
    /// Column in characters, starting at 1.
    pub column: usize,
    /// Description in one sentence.
    pub message: String,
    /// Known name similar to the one in the file.
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

/// Text of a TOML file.
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
        if fs::metadata(path).map_err(fault)?.len() > MAX_FILE_SIZE {
            return Err(FileError::TooLarge {
                path: path.to_owned(),
            });
        }
        let text = fs::read_to_string(path).map_err(fault)?;
        Ok(Self::new(path, text))
    }

    /// Creates a file from a text. `path` is used only to report faults.
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

    /// Deserializes a value and validates it with `check`.
    ///
    /// # Errors
    ///
    /// Fails with the first syntax or type error, or otherwise with every fault that
    /// `check` returns.
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
            .map(|fault| self.locate(&root, fault))
            .collect();
        found.sort_by_key(|fault| (fault.line, fault.column));
        Err(FileError::Faulty(found))
    }

    fn syntax_fault(&self, e: &toml::de::Error) -> FileFault {
        let at = e.span().map_or(0, |span| span.start);
        // The message of the TOML library may list the expected tokens on further lines.
        let message = e.message().trim().replace('\n', ", ");
        self.fault_at(at, suggestion_in(&message), message)
    }

    fn locate(&self, root: &Spanned<DeTable<'_>>, fault: Fault) -> FileFault {
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

fn join_faults(faults: &[FileFault]) -> String {
    let lines: Vec<_> = faults.iter().map(FileFault::to_string).collect();
    lines.join("\n")
}

/// Returns a suggestion for an unknown key or value from serde's error message, which
/// lists the unknown word first and the known ones after it, each in backquotes.
fn suggestion_in(message: &str) -> Option<SmolStr> {
    if !message.starts_with("unknown ") {
        return None;
    }
    let mut words = message.split('`').skip(1).step_by(2);
    let unknown = words.next()?;
    most_similar(unknown, words)
}

/// Returns the byte offset of the value at a path, or that of the innermost enclosing
/// value in the file if the value itself is missing.
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
