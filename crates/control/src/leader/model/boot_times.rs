//! Statistics of the boot times of a machine type.

#[cfg(test)]
mod tests;

/// Standard deviations above the mean beyond which a boot counts as late.
const LATE_DEVIATIONS: f64 = 2.0;
/// Seconds added to that bound, so that a type whose boot times hardly vary has some tolerance too.
const LATE_MARGIN_S: f64 = 1.0;

/// Mean and variance of the boot times of a machine type (Welford's online algorithm).
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct BootTimes {
    count: f64,
    mean_s: f64,
    /// Sum of squared deviations from the mean.
    squared_deviations: f64,
}

impl BootTimes {
    /// Adds a boot time, in seconds.
    pub fn add(&mut self, secs: f64) {
        self.count += 1.0;
        let deviation = secs - self.mean_s;
        self.mean_s += deviation / self.count;
        self.squared_deviations += deviation * (secs - self.mean_s);
    }

    /// Seconds after which a machine that is not up counts as late; `None` until enough boots were seen.
    pub fn late_after_s(&self) -> Option<f64> {
        let deviation = (self.squared_deviations / self.count.max(1.0)).sqrt();
        let late_after_s = self.mean_s + LATE_DEVIATIONS * deviation + LATE_MARGIN_S;
        (self.count >= constants::BOOT_SAMPLES_MIN).then_some(late_after_s)
    }
}
