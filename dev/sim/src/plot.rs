//! Lines of reports by the size of the fleet, as a picture.

use std::path::Path;

use plotters::prelude::*;

use crate::{Report, SimError};

/// Size of the picture in pixels.
const SIZE: (u32, u32) = (760, 460);

/// Draws calls a second and their refused part by the number of fronts; SVG.
pub fn plot(reports: &[Report], path: &Path) -> Result<(), SimError> {
    draw(reports, path).map_err(|why| SimError::Picture(path.to_owned(), why))
}

fn draw(reports: &[Report], path: &Path) -> Result<(), String> {
    let why = |error: &dyn std::fmt::Display| error.to_string();
    let fronts_max = reports
        .iter()
        .map(|report| report.fronts)
        .max()
        .unwrap_or(1);
    let calls_max = reports
        .iter()
        .map(|report| report.calls_per_s)
        .fold(1.0, f64::max);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|error| why(&error))?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .caption("Calls to the store by fronts", ("sans-serif", 18))
        .x_label_area_size(36)
        .y_label_area_size(60)
        .build_cartesian_2d(0..fronts_max, 0.0..calls_max * 1.1)
        .map_err(|error| why(&error))?;
    chart
        .configure_mesh()
        .x_desc("fronts")
        .y_desc("calls a second")
        .draw()
        .map_err(|error| why(&error))?;
    let served = reports.iter().map(|report| {
        (
            report.fronts,
            report.calls_per_s * (1.0 - report.refused_hundredths / 100.0),
        )
    });
    let all = reports
        .iter()
        .map(|report| (report.fronts, report.calls_per_s));
    for (points, color) in [(all.collect::<Vec<_>>(), RED), (served.collect(), BLUE)] {
        chart
            .draw_series(LineSeries::new(points.clone(), color))
            .map_err(|error| why(&error))?;
        chart
            .draw_series(
                points
                    .into_iter()
                    .map(|point| Circle::new(point, 3, color.filled())),
            )
            .map_err(|error| why(&error))?;
    }
    area.present().map_err(|error| why(&error))
}
