//! The methods against each other on generated histories: `cargo run -p wv-shard-forecast --example backtest`.
#[path = "../tests/histories/mod.rs"]
mod histories;

use wv_shard_forecast::Method;

fn main() {
    println!("mean absolute error of the growth over the next days, as a share of what came; then how many of a hundred 90% intervals held it");
    println!("{:<12} {:>4}  {:>16} {:>16} {:>16}", "history", "days", "naive", "smoothed", "trended");
    for (name, history) in histories::all() {
        for ahead in [1, 3, 7] {
            let cell = |method| {
                histories::backtest(&history, ahead, method)
                    .map_or_else(|| "too short".to_owned(), |(error, held)| format!("{error:.3} {:.0}", held * 100.0))
            };
            let (naive, smoothed, trended) = (cell(Method::Naive), cell(Method::Smoothed), cell(Method::Trended));
            println!("{name:<12} {ahead:>4}  {naive:>16} {smoothed:>16} {trended:>16}");
        }
    }
}
