//! Output for people and for programs.

use std::{
    io::{
        self,
        Write, //
    },
    time::Duration,
};

use serde::Serialize;

use super::CliError;

/// Where a command writes, in one of two forms.
pub(super) struct Output<'a, W> {
    to: &'a mut W,
    json: bool,
}

impl<'a, W: Write> Output<'a, W> {
    pub(super) fn new(to: &'a mut W, json: bool) -> Self {
        Self { to, json }
    }

    /// Returns whether a program reads.
    pub(super) fn is_json(&self) -> bool {
        self.json
    }

    /// Writes text as it stands.
    pub(super) fn text(&mut self, text: &str) -> io::Result<()> {
        self.to.write_all(text.as_bytes())
    }

    /// Writes one line of text.
    pub(super) fn line(&mut self, text: impl AsRef<str>) -> io::Result<()> {
        writeln!(self.to, "{}", text.as_ref())
    }

    /// Writes one line of JSON.
    pub(super) fn json(&mut self, value: &impl Serialize) -> Result<(), CliError> {
        let text = serde_json::to_string(value)?;
        Ok(self.line(text)?)
    }

    /// Writes rows below their heads, in columns as wide as needed.
    pub(super) fn table<const N: usize>(
        &mut self,
        heads: [&str; N],
        rows: &[[String; N]],
    ) -> io::Result<()> {
        let mut widths = heads.map(|head| head.chars().count());
        for row in rows {
            for (width, cell) in widths.iter_mut().zip(row) {
                *width = (*width).max(cell.chars().count());
            }
        }
        self.row(&heads.map(str::to_owned), &widths)?;
        for row in rows {
            self.row(row, &widths)?;
        }
        Ok(())
    }

    fn row(&mut self, cells: &[String], widths: &[usize]) -> io::Result<()> {
        let cells: Vec<_> = cells
            .iter()
            .zip(widths)
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        self.line(cells.join("  ").trim_end())
    }
}

/// Writes a time for people, in whole milliseconds or, from a minute on, seconds.
pub(super) fn time(time: Duration) -> String {
    let whole = if time < Duration::from_secs(60) {
        Duration::from_millis(time.as_millis() as u64)
    } else {
        Duration::from_secs(time.as_secs())
    };
    humantime::format_duration(whole).to_string()
}

/// Writes a 128-bit number as hex digits, as headers and logs do.
pub(super) fn hex(number: u128) -> String {
    format!("{number:032x}")
}
