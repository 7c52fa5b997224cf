//! Charts of slopes as SVG files.

use std::fs;
use std::path::Path;

use plotters::prelude::*;

use super::slope::Slope;
use crate::error::{Error, Result};

const SIZE_PX: (u32, u32) = (640, 400);

/// Writes one chart for each slope into `directory`, named after the slope.
///
/// # Errors
///
/// Fails if a chart cannot be drawn, or if the directory or a file cannot be written.
pub fn write(directory: &Path, slopes: &[Slope]) -> Result<()> {
    let what = || format!("write {}", directory.display());
    fs::create_dir_all(directory).map_err(|error| Error::io(what(), error))?;
    for slope in slopes {
        let path = directory.join(format!("{}.svg", slope.name));
        let text = draw(slope).map_err(|reason| Error::call(format!("draw {}", slope.name), reason))?;
        fs::write(&path, text).map_err(|error| Error::io(what(), error))?;
    }
    Ok(())
}

/// Draws the measured points and the fitted line, and returns the SVG text.
fn draw(slope: &Slope) -> std::result::Result<String, String> {
    let mut text = String::new();
    plot(&mut text, slope).map_err(|error| match error.source() {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    })?;
    Ok(text)
}

fn plot(text: &mut String, slope: &Slope) -> std::result::Result<(), Box<dyn std::error::Error>> {
    let end = slope.points.iter().map(|point| point.0).fold(0.0, f64::max) * 1.05;
    let highest = slope.points.iter().map(|point| point.1).fold(slope.at(end), f64::max) * 1.05;
    let lowest = slope.intercept.min(0.0);
    let root = SVGBackend::with_string(text, SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(16)
        .caption(slope.name, ("sans-serif", 18))
        .x_label_area_size(40)
        .y_label_area_size(80)
        .build_cartesian_2d(0.0..end, lowest..highest.max(1e-9))?;
    chart.configure_mesh().x_desc(slope.per).y_desc(slope.unit).draw()?;
    chart.draw_series(LineSeries::new([(0.0, slope.intercept), (end, slope.at(end))], &BLUE))?;
    chart.draw_series(slope.points.iter().map(|point| Circle::new(*point, 4, RED.filled())))?;
    root.present()?;
    Ok(())
}
