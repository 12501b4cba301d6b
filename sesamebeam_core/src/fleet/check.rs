//! Checks of a fleet file that look at more than one key.

use std::fmt;

use smol_str::SmolStr;

use super::Fleet;

/// A fault in a fleet file.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// Keys and positions that lead to the faulty value.
    pub path: Vec<Step>,
    /// What is wrong, in one sentence.
    pub message: String,
    /// What the operator may have meant.
    pub suggestion: Option<SmolStr>,
}

/// One step of a path into a fleet file.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// A key of a table.
    Key(&'static str),
    /// A position in an array, from 0.
    At(usize),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)?;
        match &self.suggestion {
            Some(text) => write!(f, "; did you mean `{text}`?"),
            None => Ok(()),
        }
    }
}

/// Lists every fault of a fleet file; an empty list means that it may be applied.
pub fn check(fleet: &Fleet) -> Vec<Fault> {
    let mut faults = Vec::new();
    for (at, org) in fleet.organisations.iter().enumerate() {
        for (n, version) in org.allow.iter().enumerate() {
            if fleet.version(version).is_none() {
                faults.push(Fault {
                    path: vec![
                        Step::Key("organisation"),
                        Step::At(at),
                        Step::Key("allow"),
                        Step::At(n),
                    ],
                    message: format!(
                        "organisation `{}` allows `{version}`, which no model lists",
                        org.name
                    ),
                    suggestion: None,
                });
            }
        }
    }
    faults
}
