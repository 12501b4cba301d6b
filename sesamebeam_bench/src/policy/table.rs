//! Tables and plots of replays.

use std::{
    fmt::Write,
    path::Path, //
};

use plotters::prelude::*;
use smol_str::SmolStr;

use super::{
    PolicyError,
    replay::Setting,
    result::{
        Refusal,
        Run, //
    },
    router::Strategy,
    world::Fault, //
};

/// Colours of the strategies in plots, in the order of [`Strategy::ALL`].
const COLOURS: [RGBColor; 6] = [
    RGBColor(200, 30, 30),
    RGBColor(30, 30, 30),
    RGBColor(40, 90, 200),
    RGBColor(40, 160, 80),
    RGBColor(220, 140, 20),
    RGBColor(140, 60, 170),
];

/// One replay in the table.
pub(crate) struct Row {
    deployment: SmolStr,
    strategy: Strategy,
    load: f64,
    fault: Fault,
    seed: u64,
    run: Run,
}

/// A figure of the table.
struct Column {
    title: &'static str,
    digits: usize,
    value: fn(&Run) -> f64,
}

const COLUMNS: [Column; 13] = [
    Column {
        title: "cost",
        digits: 3,
        value: |run| run.cost(),
    },
    Column {
        title: "margin",
        digits: 3,
        value: |run| run.margin(),
    },
    Column {
        title: "whole",
        digits: 3,
        value: |run| run.whole(),
    },
    Column {
        title: "tokens/s",
        digits: 0,
        value: |run| run.useful(),
    },
    Column {
        title: "conf p50",
        digits: 2,
        value: |run| run.confirmations(0.5),
    },
    Column {
        title: "conf p99",
        digits: 2,
        value: |run| run.confirmations(0.99),
    },
    Column {
        title: "fairness",
        digits: 2,
        value: |run| run.fairness(),
    },
    Column {
        title: "attempts",
        digits: 3,
        value: |run| run.attempts(),
    },
    Column {
        title: "in fault",
        digits: 3,
        value: |run| run.attempts_in_fault(),
    },
    Column {
        title: "to bad",
        digits: 0,
        value: |run| run.shown_to_bad as f64,
    },
    Column {
        title: "unknown",
        digits: 0,
        value: |run| unknown(run),
    },
    Column {
        title: "crashes",
        digits: 0,
        value: |run| run.crashes as f64,
    },
    Column {
        title: "leaving",
        digits: 0,
        value: |run| run.sent_to_leaving as f64,
    },
];

impl Row {
    pub(crate) fn new(deployment: &str, setting: &Setting, run: Run) -> Self {
        Self {
            deployment: deployment.into(),
            strategy: setting.strategy,
            load: setting.load,
            fault: setting.fault,
            seed: setting.seed,
            run,
        }
    }

    fn cells(&self) -> Vec<String> {
        let mut cells = vec![
            self.deployment.to_string(),
            self.fault.name().to_owned(),
            format!("{}", self.load),
            self.strategy.name().to_owned(),
        ];
        for column in &COLUMNS {
            cells.push(format!("{:.*}", column.digits, (column.value)(&self.run)));
        }
        cells
    }
}

/// Prints the table, as text or as Markdown.
pub(crate) fn print(rows: &[Row], markdown: bool) {
    let mut head = vec!["deployment", "fault", "load", "strategy"];
    head.extend(COLUMNS.iter().map(|column| column.title));
    let head = head.into_iter().map(str::to_owned).collect();
    let body = rows.iter().map(Row::cells).collect();
    print!("{}", render(head, body, markdown));
}

/// Renders a table, as text or as Markdown.
pub(crate) fn render(head: Vec<String>, body: Vec<Vec<String>>, markdown: bool) -> String {
    let width = |at: usize| {
        body.iter()
            .map(|row| row[at].len())
            .max()
            .unwrap_or(0)
            .max(head[at].len())
    };
    let widths: Vec<usize> = (0..head.len()).map(width).collect();
    let (open, between, close) = if markdown {
        ("| ", " | ", " |")
    } else {
        ("", "  ", "")
    };
    let line = |cells: &[String]| {
        let padded: Vec<String> = cells
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:>width$}"))
            .collect();
        format!("{open}{}{close}\n", padded.join(between))
    };
    let mut text = line(&head);
    if markdown {
        let rule: Vec<String> = widths.iter().map(|width| "-".repeat(*width)).collect();
        text.push_str(&line(&rule));
    }
    for row in &body {
        text.push_str(&line(row));
    }
    text
}

/// Writes every figure, with those of each class, as CSV.
///
/// # Errors
///
/// Fails if the file cannot be written.
pub(crate) fn write_csv(rows: &[Row], path: &Path) -> Result<(), PolicyError> {
    let mut text = String::from("deployment,fault,load,strategy,seed,figure,class,value\n");
    for row in rows {
        let key = format!(
            "{},{},{},{},{}",
            row.deployment,
            row.fault.name(),
            row.load,
            row.strategy.name(),
            row.seed
        );
        for column in &COLUMNS {
            let _ = writeln!(text, "{key},{},,{}", column.title, (column.value)(&row.run));
        }
        for why in Refusal::ALL {
            let _ = writeln!(text, "{key},{},,{}", why.name(), row.run.refused(why));
        }
        for class in &row.run.classes {
            let name = &class.name;
            let _ = writeln!(text, "{key},p50,{name},{}", class.latency(0.5));
            let _ = writeln!(text, "{key},p99,{name},{}", class.latency(0.99));
            let _ = writeln!(text, "{key},cost,{name},{}", class.cost());
            let _ = writeln!(text, "{key},quality,{name},{}", class.quality());
            let whole = class.whole as f64 / class.offered.max(1) as f64;
            let _ = writeln!(text, "{key},whole,{name},{whole}");
        }
    }
    std::fs::write(path, text).map_err(|error| PolicyError::Write(path.to_owned(), error))
}

/// Plots each figure over load, for every deployment and fault.
///
/// # Errors
///
/// Fails if a plot cannot be drawn.
pub(crate) fn plot(rows: &[Row], dir: &Path) -> Result<(), PolicyError> {
    std::fs::create_dir_all(dir).map_err(|error| PolicyError::Write(dir.to_owned(), error))?;
    let mut done: Vec<(&SmolStr, Fault)> = Vec::new();
    for row in rows {
        if done.contains(&(&row.deployment, row.fault)) {
            continue;
        }
        done.push((&row.deployment, row.fault));
        let part: Vec<&Row> = rows
            .iter()
            .filter(|other| other.deployment == row.deployment && other.fault == row.fault)
            .collect();
        let path = dir.join(format!("{}-{}.svg", row.deployment, row.fault.name()));
        draw(&part, &path)
            .map_err(|error| PolicyError::Plot(smol_str::format_smolstr!("{error}")))?;
    }
    Ok(())
}

fn draw(rows: &[&Row], path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, (1000, 640)).into_drawing_area();
    root.fill(&WHITE)?;
    let shown = [0, 1, 2, 3, 5, 6];
    for (area, at) in root.split_evenly((2, 3)).iter().zip(shown) {
        draw_column(rows, &COLUMNS[at], area)?;
    }
    root.present()?;
    Ok(())
}

fn draw_column<'a, B: DrawingBackend>(
    rows: &[&Row],
    column: &Column,
    area: &DrawingArea<B, plotters::coord::Shift>,
) -> Result<(), Box<dyn std::error::Error + 'a>>
where
    B::ErrorType: 'a,
{
    let values = || {
        rows.iter()
            .map(|row| (column.value)(&row.run))
            .filter(|v| v.is_finite())
    };
    let low = values().fold(0.0f64, f64::min);
    let high = values().fold(low + 1e-6, f64::max);
    let mut chart = ChartBuilder::on(area)
        .margin(8)
        .caption(column.title, ("sans-serif", 16))
        .x_label_area_size(24)
        .y_label_area_size(48)
        .build_cartesian_2d(0.45..1.55, low..high * 1.05)?;
    chart.configure_mesh().x_labels(5).y_labels(5).draw()?;
    for (strategy, colour) in Strategy::ALL.into_iter().zip(COLOURS) {
        let points: Vec<(f64, f64)> = rows
            .iter()
            .filter(|row| row.strategy == strategy)
            .map(|row| (row.load, (column.value)(&row.run)))
            .filter(|(_, value)| value.is_finite())
            .collect();
        if points.is_empty() {
            continue;
        }
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(strategy.name())
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 12, y)], colour));
    }
    chart
        .configure_series_labels()
        .label_font(("sans-serif", 10))
        .draw()?;
    Ok(())
}

fn unknown(run: &Run) -> f64 {
    run.classes.iter().map(|class| class.unknown).sum::<u64>() as f64
}
