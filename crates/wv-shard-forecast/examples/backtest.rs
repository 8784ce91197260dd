//! Compares the forecasting methods on generated histories: `cargo run -p wv-shard-forecast --example backtest`.
#[path = "../tests/histories/mod.rs"]
mod histories;

use wv_shard_forecast::Method;

fn main() {
    println!(
        "mean absolute error of the growth over the next days, as a share of what came; \
         then how many of a hundred 90% intervals held it"
    );
    println!("{:<12} {:>4}  {:>16} {:>16} {:>16}", "history", "days", "naive", "smoothed", "trended");
    for (name, history) in histories::all() {
        for horizon_days in [1, 3, 7] {
            let cell = |method| {
                histories::backtest(&history, horizon_days, method).map_or_else(
                    || "too short".to_owned(),
                    |(error, coverage)| format!("{error:.3} {:.0}", coverage * 100.0),
                )
            };
            let (naive, smoothed, trended) =
                (cell(Method::Naive), cell(Method::ExponentialSmoothing), cell(Method::HoltLinear));
            println!("{name:<12} {horizon_days:>4}  {naive:>16} {smoothed:>16} {trended:>16}");
        }
    }
}
