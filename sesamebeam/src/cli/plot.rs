//! A plot of burn rates as SVG.

use std::{
    path::{
        Path,
        PathBuf, //
    },
    time::Duration,
};

use plotters::prelude::*;
use sesamebeam_core::policy::burn::ObjectiveBurn;
use thiserror::Error;

/// Objectives that are drawn: those that burn fastest.
const MOST: usize = 8;

/// Size of the picture in pixels.
const SIZE: (u32, u32) = (960, 480);

/// Why a plot could not be written.
#[derive(Debug, Error)]
#[error("cannot write the plot {file}: {why}")]
pub struct PlotError {
    /// File that was to be written.
    file: PathBuf,
    /// What the library says.
    why: String,
}

/// Draws the burn rate of the fastest burning objectives over windows of
/// growing length. A line above 1 uses up more than its objective allows.
///
/// # Errors
///
/// Fails if the file cannot be written.
pub(super) fn burn(objectives: &[ObjectiveBurn], file: &Path) -> Result<(), PlotError> {
    draw(objectives, file).map_err(|e| PlotError {
        file: file.to_path_buf(),
        why: e.to_string(),
    })
}

fn draw(objectives: &[ObjectiveBurn], file: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let mut fastest: Vec<&ObjectiveBurn> =
        objectives.iter().filter(|o| o.objective > 0.0).collect();
    fastest.sort_by(|a, b| peak(b).total_cmp(&peak(a)));
    fastest.truncate(MOST);
    let top = fastest.iter().map(|o| peak(o)).fold(2.0, f64::max) * 1.1;
    let root = SVGBackend::new(file, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(12)
        .caption("Burn rate by window", ("sans-serif", 18))
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d((4.0_f64..1600.0).log_scale(), 0.0..top)?;
    chart
        .configure_mesh()
        .x_desc("window in minutes")
        .y_desc("burn rate")
        .draw()?;
    chart.draw_series(LineSeries::new([(4.0, 1.0), (1600.0, 1.0)], BLACK))?;
    for (n, objective) in fastest.iter().enumerate() {
        let colour = Palette99::pick(n).to_rgba();
        chart
            .draw_series(LineSeries::new(points(objective), colour.stroke_width(2)))?
            .label(label(objective))
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], colour));
    }
    if !fastest.is_empty() {
        chart
            .configure_series_labels()
            .background_style(WHITE)
            .border_style(BLACK)
            .draw()?;
    }
    root.present()?;
    Ok(())
}

/// Windows in minutes with their rates, from short to long.
fn points(objective: &ObjectiveBurn) -> Vec<(f64, f64)> {
    let mut points: Vec<(f64, f64)> = objective
        .pairs
        .iter()
        .flat_map(|pair| [&pair.short, &pair.long])
        .map(|window| (minutes(window.window), window.rate))
        .collect();
    points.sort_by(|a, b| a.0.total_cmp(&b.0));
    points
}

fn peak(objective: &ObjectiveBurn) -> f64 {
    points(objective).iter().map(|p| p.1).fold(0.0, f64::max)
}

fn minutes(window: Duration) -> f64 {
    window.as_secs_f64() / 60.0
}

fn label(objective: &ObjectiveBurn) -> String {
    let indicator = format!("{:?}", objective.indicator).to_lowercase();
    format!("{} {} {indicator}", objective.org, objective.class)
}
