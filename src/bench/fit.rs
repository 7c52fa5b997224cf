//! Least-squares lines through measured points.

/// A line fitted through points.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Line {
    /// Growth of the value per unit of size.
    pub slope: f64,
    /// Value at size 0.
    pub intercept: f64,
    /// Largest distance of a point from the line, as a share of the largest value; 0.05 is 5%.
    pub error: f64,
}

impl Line {
    /// Fits a line through `points` of (size, value) by least squares.
    pub fn through(points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let mean = |coordinate: fn(&(f64, f64)) -> f64| points.iter().map(coordinate).sum::<f64>() / count;
        let (x, y) = (mean(|point| point.0), mean(|point| point.1));
        let spread: f64 = points.iter().map(|point| (point.0 - x).powi(2)).sum();
        let product: f64 = points.iter().map(|point| (point.0 - x) * (point.1 - y)).sum();
        let slope = if spread > 0.0 { product / spread } else { 0.0 };
        let line = Self { slope, intercept: y - slope * x, error: 0.0 };
        let largest = points.iter().map(|point| point.1.abs()).fold(0.0, f64::max);
        let distance = points.iter().map(|point| (line.at(point.0) - point.1).abs()).fold(0.0, f64::max);
        Self { error: if largest > 0.0 { distance / largest } else { 0.0 }, ..line }
    }

    /// Value of the line at `size`.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a fit that hides how far the points are from the line.
    #[test]
    fn error_is_the_largest_distance() {
        let straight = Line::through(&[(1.0, 5.0), (2.0, 7.0), (64.0, 131.0)]);
        assert!((straight.slope - 2.0).abs() < 1e-9 && (straight.intercept - 3.0).abs() < 1e-9);
        assert!(straight.error < 1e-9);
        let bent = Line::through(&[(0.0, 0.0), (1.0, 0.0), (2.0, 6.0)]);
        assert!((bent.error - 2.0 / 6.0).abs() < 1e-9, "{bent:?}");
    }
}
