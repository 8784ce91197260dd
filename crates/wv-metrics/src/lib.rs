//! Metrics of a process in the Prometheus text exposition format.
//!
//! Invariant: a page is built from the current state for each scrape. This package keeps no counters.
use prometheus::{Encoder, IntGaugeVec, Opts, Registry, TextEncoder};

#[derive(thiserror::Error, Debug)]
pub enum MetricsError {
    #[error("metrics page: {0}")]
    Encode(#[from] prometheus::Error),
}

/// The metrics of one scrape.
#[derive(Default)]
pub struct MetricsPage {
    registry: Registry,
}

impl MetricsPage {
    /// Adds a gauge with one time series for each of `rows`, which hold the label values and the value.
    pub fn add_gauges(
        &mut self,
        (name, help): (&str, &str),
        labels: &[&str],
        rows: impl IntoIterator<Item = (Vec<String>, u64)>,
    ) -> Result<(), MetricsError> {
        let family = IntGaugeVec::new(Opts::new(name, help), labels)?;
        for (label_values, value) in rows {
            let label_values: Vec<&str> = label_values.iter().map(String::as_str).collect();
            family.get_metric_with_label_values(&label_values)?.set(i64::try_from(value).unwrap_or(i64::MAX));
        }
        self.registry.register(Box::new(family))?;
        Ok(())
    }

    /// Adds a gauge without labels.
    pub fn add_gauge(&mut self, name_and_help: (&str, &str), value: u64) -> Result<(), MetricsError> {
        self.add_gauges(name_and_help, &[], [(Vec::new(), value)])
    }

    pub fn encode(&self) -> Result<Vec<u8>, MetricsError> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use googletest::prelude::*;

    #[gtest]
    fn given_gauges_with_and_without_labels_then_each_time_series_has_its_line() -> googletest::Result<()> {
        let mut page = MetricsPage::default();
        page.add_gauge(("sessions", "Open client sessions"), 7).or_fail()?;
        let rows = [("a", 1), ("b", 2)].map(|(id, value)| (vec![id.to_owned()], value));
        page.add_gauges(("leaving_ms", "How long ago"), &["id"], rows).or_fail()?;
        let text = String::from_utf8(page.encode().or_fail()?).or_fail()?;
        expect_that!(text, contains_substring("\nsessions 7\n"));
        expect_that!(text, contains_substring("leaving_ms{id=\"a\"} 1\nleaving_ms{id=\"b\"} 2\n"));
        expect_that!(page.add_gauge(("sessions", "Twice"), 1).is_err(), eq(true));
        Ok(())
    }
}
