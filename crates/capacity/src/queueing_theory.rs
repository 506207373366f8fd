//! Closed-form results of queueing theory, which the tests compare the simulated queues with.

/// Returns the mean wait in an M/M/c queue, in mean service times (Erlang C formula), or `None` if
/// the queue has no steady state. `load` is the offered load in servers.
pub fn erlang_c_mean_wait(load: f64, servers: usize) -> Option<f64> {
    let server_count = servers as f64;
    if load >= server_count || servers == 0 {
        return None;
    }
    // The Erlang B blocking probability by recursion, then Erlang C from it.
    let blocking =
        (1..=servers).fold(1.0, |previous, n| load * previous / (n as f64 + load * previous));
    let waiting = blocking / (1.0 - load / server_count * (1.0 - blocking));
    Some(waiting / (server_count - load))
}

/// Returns the mean time that a job spends in an M/G/1 queue with processor sharing, in mean
/// service times, or `None` if the queue has no steady state. `load` is the offered load in
/// servers.
pub fn processor_sharing_mean_time(load: f64) -> Option<f64> {
    (load < 1.0).then(|| 1.0 / (1.0 - load))
}
