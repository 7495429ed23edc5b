//! Statistics of the start latency of tasks.

use std::fmt;

/// Mean and maximum of a latency, in milliseconds; displayed as `mean/maximum`.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LatencyStats {
    sum_ms: u64,
    /// Number of samples.
    pub count: u64,
    max_ms: u64,
}

impl LatencyStats {
    /// Adds a sample.
    pub fn add(&mut self, ms: u64) {
        self.sum_ms += ms;
        self.count += 1;
        self.max_ms = self.max_ms.max(ms);
    }
}

impl fmt::Display for LatencyStats {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mean_ms = self.sum_ms / self.count.max(1);
        write!(f, "{}/{}", mean_ms, self.max_ms)
    }
}

/// Latencies since the decision to assign a task, collected since the last summary in the log.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct StartLatencies {
    /// Until `launch` was sent.
    pub sent: LatencyStats,
    /// Until the worker first reported the task.
    pub seen: LatencyStats,
    /// Until the task was running.
    pub ran: LatencyStats,
}
