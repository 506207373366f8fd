//! A peak and a mean over samples.

/// The peak and the mean of a quantity. They are fed apart: the peak may be looked at more often
/// than the mean.
#[derive(Clone, Copy, Debug, Default)]
pub struct Samples {
    peak: f64,
    sum: f64,
    count: u64,
}

impl Samples {
    /// The largest value seen; 0 if there was none.
    pub fn peak(&self) -> f64 {
        self.peak
    }

    /// The mean of the samples, if there are any.
    pub fn mean(&self) -> Option<f64> {
        (self.count > 0).then(|| self.sum / self.count as f64)
    }

    /// Takes a value into the peak only.
    pub fn raise_peak(&mut self, value: f64) {
        self.peak = self.peak.max(value);
    }

    /// Takes a value into the mean only.
    pub fn add(&mut self, value: f64) {
        self.sum += value;
        self.count += 1;
    }
}
