//! Checks that the capacity page matches its data: recomputes the slopes from the recorded runs and the products.
use googletest::prelude::*;
use std::collections::BTreeMap;

fn docs(name: &str) -> String {
    let path = format!("{}/../../docs/{name}", env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{path}: {error}"))
}

fn number(run: &serde_json::Value, name: &str) -> f64 {
    let field = |name: &str| run[name].as_f64().unwrap_or(f64::NAN);
    name.split_once('/').map_or_else(|| field(name), |(numerator, denominator)| field(numerator) / field(denominator))
}

/// The least-squares slope of `y` over `x` among the runs that the fit selects.
fn slope(runs: &[serde_json::Value], fit: &serde_json::Value) -> f64 {
    let filters = fit["among"].as_object().cloned().unwrap_or_default();
    let is_selected = |run: &&serde_json::Value| filters.iter().all(|(name, value)| run[name] == *value);
    let name = |field: &str| fit[field].as_str().unwrap_or_default().to_owned();
    let points: Vec<(f64, f64)> = runs
        .iter()
        .filter(|run| run["failed"].is_null())
        .filter(is_selected)
        .map(|run| (number(run, &name("x")), number(run, &name("y"))))
        .collect();
    let count = points.len() as f64;
    let (mean_x, mean_y) =
        points.iter().fold((0.0, 0.0), |sum, point| (sum.0 + point.0 / count, sum.1 + point.1 / count));
    let (covariance, variance) = points
        .iter()
        .fold((0.0, 0.0), |sum, (x, y)| (sum.0 + (x - mean_x) * (y - mean_y), sum.1 + (x - mean_x) * (x - mean_x)));
    covariance / variance
}

/// Parses a number from the page, which may have thousands separators.
fn parse_number(cell: &str) -> f64 {
    cell.replace([',', ' '], "").parse().unwrap_or_else(|_| panic!("{cell:?} is not a number"))
}

fn is_close(actual: f64, expected: f64) -> bool {
    (actual - expected).abs() <= 0.02 * expected.abs().max(1e-12)
}

#[gtest]
fn given_the_recorded_runs_then_all_slopes_and_products_on_the_page_match_them() {
    let data: serde_json::Value = serde_json::from_str(&docs("capacity.json")).expect("the data is JSON");
    let runs = data["runs"].as_array().cloned().unwrap_or_default();
    expect_that!(runs.len(), ge(8));
    let mut slopes: BTreeMap<String, f64> = BTreeMap::new();
    for fit in data["fits"].as_array().into_iter().flatten() {
        slopes.insert(fit["key"].as_str().unwrap_or_default().to_owned(), slope(&runs, fit));
    }
    for measurement in data["measured"].as_array().into_iter().flatten() {
        slopes.insert(
            measurement["key"].as_str().unwrap_or_default().to_owned(),
            measurement["value"].as_f64().unwrap_or(f64::NAN),
        );
    }
    let mut found = Vec::new();
    for line in docs("CAPACITY.md").lines().filter(|line| line.starts_with("| `")) {
        let cells: Vec<&str> = line.trim_matches('|').split('|').map(str::trim).collect();
        let key = cells[0].trim_matches('`');
        let (slope, size, product) = (parse_number(cells[1]), parse_number(cells[2]), parse_number(cells[3]));
        let expected = slopes.get(key).copied().unwrap_or(f64::NAN);
        expect_that!(is_close(slope, expected), eq(true), "{key}: the page has {slope}, the runs give {expected}");
        expect_that!(is_close(product, slope * size), eq(true), "{key}: {slope} * {size} is not {product}");
        found.push(key.to_owned());
    }
    let all: Vec<String> = slopes.into_keys().collect();
    for key in all {
        expect_that!(found.contains(&key), eq(true), "{key} is in the data but not on the page");
    }
}
