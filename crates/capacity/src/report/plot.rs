//! SVG plot of a plan: the share of priority weight served in time against the load.

use super::CapacityPlan;
use crate::confidence::Estimate;
use crate::error::PlotError;
use plotters::prelude::*;

/// Width and height of the plot, in pixels.
const SIZE_PIXELS: (u32, u32) = (900, 420);
/// Ratio of the end of the horizontal axis to the highest load.
const LOAD_AXIS_MARGIN: f64 = 1.05;
/// Upper end of the vertical axis: slightly above a share of 1.
const SHARE_AXIS_TOP: f64 = 1.02;

/// A point of the curve: a load, and the share of weight served in time at it.
struct PlotPoint {
    load: f64,
    in_time: Estimate,
}

impl CapacityPlan {
    /// Plots the share of priority weight served in time against the load as SVG, with the goal as
    /// a horizontal line and the confidence intervals as vertical bars.
    ///
    /// # Errors
    /// The plotting library fails to draw.
    pub fn plot(&self) -> Result<String, PlotError> {
        let mut svg = String::new();
        self.draw(&mut svg)?;
        Ok(svg)
    }

    fn draw(&self, svg: &mut String) -> Result<(), PlotError> {
        let area = SVGBackend::with_string(svg, SIZE_PIXELS).into_drawing_area();
        area.fill(&WHITE)?;
        let end = self.loads.last().map_or(1.0, |outcome| outcome.load) * LOAD_AXIS_MARGIN;
        let mut chart = ChartBuilder::on(&area)
            .caption("worth served in time", ("sans-serif", 20))
            .margin(10)
            .x_label_area_size(36)
            .y_label_area_size(50)
            .build_cartesian_2d(0.0..end, 0.0..SHARE_AXIS_TOP)?;
        chart.configure_mesh().x_desc("times the recorded load").draw()?;
        chart.draw_series(LineSeries::new([(0.0, self.goal), (end, self.goal)], &RED))?;
        let points = self.plot_points();
        let curve = points.iter().map(|point| (point.load, point.in_time.value));
        chart.draw_series(LineSeries::new(curve, &BLUE))?;
        for point in &points {
            if let Some(interval) = point.in_time.interval {
                let ends = [(point.load, interval.low), (point.load, interval.high)];
                chart.draw_series(LineSeries::new(ends, &BLUE))?;
            }
        }
        area.present()?;
        Ok(())
    }

    fn plot_points(&self) -> Vec<PlotPoint> {
        let known = self.loads.iter().filter_map(|outcome| {
            Some(PlotPoint { load: outcome.load, in_time: outcome.in_time? })
        });
        known.collect()
    }
}
