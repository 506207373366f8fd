//! The report as a self-contained HTML page with plots.

use super::{Named, Report, SecondWeights};
use plotters::coord::Shift;
use plotters::prelude::*;

/// Width of every plot, in pixels.
const PLOT_WIDTH: u32 = 900;
/// Height of the plot over time, in pixels.
const TIME_PLOT_HEIGHT: u32 = 280;
/// Height of one bar, in pixels.
const BAR_HEIGHT: u32 = 24;
/// Height of a bar plot without its bars, in pixels: the title, the axis and the margins.
const BAR_PLOT_FRAME: u32 = 60;
/// Number of the most used resources that the page shows.
const MAX_BARS: usize = 12;

/// The error of a plot that could not be drawn.
#[derive(Debug, thiserror::Error)]
#[error("could not draw the plot \"{plot}\": {reason}")]
pub struct PageError {
    /// The title of the plot that could not be drawn.
    plot: &'static str,
    /// The text of the plotting library's error.
    reason: String,
}

type DrawResult = Result<(), Box<dyn std::error::Error>>;

impl Report {
    /// Renders a page with the text of the report and two plots: the share of the weight that was
    /// earned in each second, and the use of the most used resources.
    ///
    /// # Errors
    /// The plotting library fails to draw a plot.
    pub fn html(&self) -> Result<String, PageError> {
        let shares = earned_shares(&self.seconds);
        let bars = &self.resource_use[..self.resource_use.len().min(MAX_BARS)];
        let served = draw("worth served, by second", |svg, title| draw_line(svg, title, &shares))?;
        let used = draw("use of the busiest resources", |svg, title| draw_bars(svg, title, bars))?;
        let text = self.text().replace('&', "&amp;").replace('<', "&lt;");
        Ok(format!(
            "<!doctype html><meta charset=\"utf-8\"><title>hollymux lab</title>\n\
             <h1>A day of the laboratory</h1>\n<pre>{text}</pre>\n{served}\n{used}\n"
        ))
    }
}

/// The share of the offered weight that was earned, by second; seconds in which nothing was offered
/// are left out.
fn earned_shares(seconds: &[SecondWeights]) -> Vec<(f64, f64)> {
    let numbered = (0..).zip(seconds).filter(|(_, second)| second.offered > 0.0);
    numbered.map(|(number, second)| (f64::from(number), second.earned / second.offered)).collect()
}

fn draw(
    plot: &'static str,
    draw_plot: impl Fn(&mut String, &str) -> DrawResult,
) -> Result<String, PageError> {
    let mut svg = String::new();
    match draw_plot(&mut svg, plot) {
        Ok(()) => Ok(svg),
        Err(error) => Err(PageError { plot, reason: error.to_string() }),
    }
}

fn white_area(
    svg: &mut String,
    height: u32,
) -> Result<DrawingArea<SVGBackend<'_>, Shift>, Box<dyn std::error::Error>> {
    let area = SVGBackend::with_string(svg, (PLOT_WIDTH, height)).into_drawing_area();
    match area.fill(&WHITE) {
        Ok(()) => Ok(area),
        Err(error) => Err(error.to_string().into()),
    }
}

fn draw_line(svg: &mut String, title: &str, points: &[(f64, f64)]) -> DrawResult {
    let area = white_area(svg, TIME_PLOT_HEIGHT)?;
    let last = points.last().map_or(1.0, |point| point.0.max(1.0));
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(8)
        .x_label_area_size(30)
        .y_label_area_size(45)
        .build_cartesian_2d(0.0..last, 0.0..1.05)?;
    chart.configure_mesh().x_desc("seconds").draw()?;
    chart.draw_series(LineSeries::new(points.iter().copied(), &BLUE))?;
    area.present()?;
    Ok(())
}

fn draw_bars(svg: &mut String, title: &str, bars: &[Named<f64>]) -> DrawResult {
    let area = white_area(svg, BAR_PLOT_FRAME + BAR_HEIGHT * bars.len() as u32)?;
    let longest = bars.iter().map(|bar| bar.value).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(8)
        .x_label_area_size(30)
        .y_label_area_size(190)
        .build_cartesian_2d(0.0..longest * 1.05, (0..bars.len().max(1)).into_segmented())?;
    let name = |position: &SegmentValue<usize>| match position {
        SegmentValue::CenterOf(index) => bars.get(*index).map(|bar| bar.name.clone()).unwrap_or_default(),
        _ => String::new(),
    };
    chart.configure_mesh().disable_y_mesh().y_label_formatter(&name).draw()?;
    chart.draw_series(bars.iter().enumerate().map(|(index, bar)| rectangle(index, bar.value)))?;
    area.present()?;
    Ok(())
}

fn rectangle(index: usize, value: f64) -> Rectangle<(f64, SegmentValue<usize>)> {
    let low = SegmentValue::Exact(index);
    let high = SegmentValue::Exact(index + 1);
    let mut rectangle = Rectangle::new([(0.0, low), (value, high)], BLUE.mix(0.6).filled());
    rectangle.set_margin(3, 3, 0, 0);
    rectangle
}
