//! Plot of store calls by fleet size.

use std::path::Path;

use plotters::prelude::*;

use crate::{Report, SimError};

/// Width and height of the plot in pixels.
const SIZE: (u32, u32) = (760, 460);

/// Plots all calls (red) and served calls (blue) per second by number of fronts as an SVG file.
pub fn plot(reports: &[Report], path: &Path) -> Result<(), SimError> {
    draw(reports, path).map_err(|reason| SimError::Plot(path.to_owned(), reason))
}

fn draw(reports: &[Report], path: &Path) -> Result<(), String> {
    let reason = |error: &dyn std::fmt::Display| error.to_string();
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
    area.fill(&WHITE).map_err(|error| reason(&error))?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .caption("Store calls by number of fronts", ("sans-serif", 18))
        .x_label_area_size(36)
        .y_label_area_size(60)
        .build_cartesian_2d(0..fronts_max, 0.0..calls_max * 1.1)
        .map_err(|error| reason(&error))?;
    chart
        .configure_mesh()
        .x_desc("fronts")
        .y_desc("calls per second")
        .draw()
        .map_err(|error| reason(&error))?;
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
            .map_err(|error| reason(&error))?;
        chart
            .draw_series(
                points
                    .into_iter()
                    .map(|point| Circle::new(point, 3, color.filled())),
            )
            .map_err(|error| reason(&error))?;
    }
    area.present().map_err(|error| reason(&error))
}
