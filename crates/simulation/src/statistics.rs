//! The peak and the mean of a sampled quantity.

/// The peak and the mean of a quantity. The two take their values separately, because the peak may
/// be taken over more values than the mean.
#[derive(Clone, Copy, Debug, Default)]
pub struct Samples {
    peak: f64,
    sum: f64,
    count: u64,
}

impl Samples {
    /// The largest value passed to [`Samples::raise_peak`]; 0 if there was none.
    pub fn peak(&self) -> f64 {
        self.peak
    }

    /// The mean of the values passed to [`Samples::add`]; `None` if there were none.
    pub fn mean(&self) -> Option<f64> {
        (self.count > 0).then(|| self.sum / self.count as f64)
    }

    /// Includes a value in the peak, but not in the mean.
    pub fn raise_peak(&mut self, value: f64) {
        self.peak = self.peak.max(value);
    }

    /// Includes a value in the mean, but not in the peak.
    pub fn add(&mut self, value: f64) {
        self.sum += value;
        self.count += 1;
    }
}
