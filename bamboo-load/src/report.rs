//! Prints the results of loads as a table.

use hdrhistogram::Histogram;

use crate::online::OnlineResult;

/// Column headings of the table.
const HEADINGS: &str = "part            sent  whole refused broken | first token ms: p50    p95    p99 \
                        | between ms: p50    p95    p99 | online tok/s  batch items/s";

/// Prints the column headings.
pub(crate) fn print_headings() {
    println!("{HEADINGS}");
}

/// Prints the row of one phase of a run.
pub(crate) fn print_phase(
    phase: &str,
    online: Option<&OnlineResult>,
    seconds: f64,
    items_per_s: Option<f64>,
) {
    let items = items_per_s.map_or("-".to_owned(), |rate| format!("{rate:.1}"));
    let Some(online) = online else {
        println!(
            "{phase:<14} {:>5} {:>6} {:>7} {:>6} | {:>36} | {:>30} | {:>12}  {items:>13}",
            "-", "-", "-", "-", "-", "-", "-"
        );
        return;
    };
    println!(
        "{phase:<14} {:>5} {:>6} {:>7} {:>6} | {:>20} {:>6} {:>8} | {:>14} {:>6} {:>8} | {:>12.0}  {items:>13}",
        online.sent_count,
        online.complete_count,
        online.refused_count,
        online.failed_count,
        percentile_ms(&online.first_token_us, 50.0),
        percentile_ms(&online.first_token_us, 95.0),
        percentile_ms(&online.first_token_us, 99.0),
        percentile_ms(&online.inter_token_us, 50.0),
        percentile_ms(&online.inter_token_us, 95.0),
        percentile_ms(&online.inter_token_us, 99.0),
        online.token_count as f64 / seconds,
    );
    if let Some(reason) = &online.first_failure {
        println!("  first failure: {reason}");
    }
}

fn percentile_ms(histogram: &Histogram<u64>, percentile: f64) -> String {
    format!(
        "{:.1}",
        histogram.value_at_percentile(percentile) as f64 / 1000.0
    )
}
