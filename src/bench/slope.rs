//! Slopes: the growth of a measured quantity with one size of a deployment.

use serde::Serialize;

use super::fit::Line;

/// How a value was obtained.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    /// Counted or encoded; the same in each run.
    Exact,
    /// Wall time of a single thread; depends on the machine.
    Time,
    /// Growth of the resident memory; depends on the allocator.
    Memory,
}

/// A quantity measured at several sizes, with the line fitted through the points.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Slope {
    /// Name on the page and of the chart's file.
    pub name: &'static str,
    /// Role of the measured process.
    pub role: &'static str,
    /// Item that the size counts.
    pub per: &'static str,
    /// Unit of the value.
    pub unit: &'static str,
    /// How the values were obtained.
    pub source: Source,
    /// Pairs of size and value.
    pub points: Vec<(f64, f64)>,
    /// Growth of the value per unit of size.
    pub slope: f64,
    /// Value at size 0.
    pub intercept: f64,
    /// Largest distance of a point from the line, as a share of the largest value.
    pub error: f64,
}

/// Description of a slope.
#[derive(Debug, Clone, Copy)]
pub struct Label {
    /// Name on the page and of the chart's file.
    pub name: &'static str,
    /// Role of the measured process.
    pub role: &'static str,
    /// Item that the size counts.
    pub per: &'static str,
    /// Unit of the value.
    pub unit: &'static str,
    /// How the values are obtained.
    pub source: Source,
}

impl Slope {
    /// Fits a line through measured points.
    pub fn new(label: Label, points: Vec<(f64, f64)>) -> Self {
        let Label { name, role, per, unit, source } = label;
        let Line { slope, intercept, error } = Line::through(&points);
        Self { name, role, per, unit, source, points, slope, intercept, error }
    }

    /// Value of the line at `size`.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}
