//! The figures as a Markdown table.

use std::fmt::Write;

use super::{
    model::{
        Limit,
        Quantity,
        Row, //
    },
    size::Size,
};

/// Writes the table of a size.
pub fn table(size: &Size, rows: &[Row]) -> String {
    let mut out = format!(
        "{}: {} entries, {} control, {} runners, {} requests/s, {} tokens/s, {} changes a day, \
         {:.0}% of requests with a key\n\n",
        size.name,
        size.entries,
        size.controls,
        size.runners,
        size.requests.round(),
        size.tokens.round(),
        size.changes,
        size.keyed * 100.0,
    );
    out.push_str("| role | figure | built | limit | worked out from | mechanism |\n");
    out.push_str("|---|---|---|---|---|---|\n");
    for row in rows {
        let mark = if row.breaks() { "**over** " } else { "" };
        let _ = writeln!(
            out,
            "| {} | {} | {mark}{} | {} | {} | {} |",
            row.role,
            row.what,
            amount(row.built),
            limit(row),
            row.from,
            mechanism(row),
        );
    }
    out
}

fn mechanism(row: &Row) -> String {
    let needed = row.limit.is_none() || row.breaks();
    match &row.change {
        Some((change, after)) if needed => {
            let semicolon = if row.mechanism.is_empty() { "" } else { "; " };
            format!(
                "{}{semicolon}to change: {change}, then {}",
                row.mechanism,
                amount(*after)
            )
        }
        _ => row.mechanism.to_owned(),
    }
}

fn limit(row: &Row) -> String {
    match row.limit {
        None => String::new(),
        Some(Limit::Letter(x)) => amount(with(row.built, x)),
        Some(Limit::Aim(x)) => format!("{} (aim)", amount(with(row.built, x))),
    }
}

fn with(like: Quantity, number: f64) -> Quantity {
    match like {
        Quantity::Core(_) => Quantity::Core(number),
        Quantity::Memory(_) => Quantity::Memory(number),
        Quantity::Traffic(_) => Quantity::Traffic(number),
        Quantity::Rate(_) => Quantity::Rate(number),
        Quantity::Time(_) => Quantity::Time(number),
        Quantity::Count(_) => Quantity::Count(number),
    }
}

fn amount(quantity: Quantity) -> String {
    match quantity {
        Quantity::Core(x) => format!("{:.2}% of a core", x * 100.0),
        Quantity::Memory(x) => format!("{} B", scaled(x)),
        Quantity::Traffic(x) => format!("{} B/s", scaled(x)),
        Quantity::Rate(x) if x < 1.0 => format!("{x:.3}/s"),
        Quantity::Rate(x) => format!("{}/s", scaled(x)),
        Quantity::Time(x) => format!("{x:.3} s"),
        Quantity::Count(x) => format!("{x:.0}"),
    }
}

fn scaled(x: f64) -> String {
    match x {
        x if x >= 1e9 => format!("{:.1} G", x / 1e9),
        x if x >= 1e6 => format!("{:.1} M", x / 1e6),
        x if x >= 1e3 => format!("{:.1} k", x / 1e3),
        x => format!("{x:.1} "),
    }
}
