//! A process's own figures as a text page that monitoring fetches, in the Prometheus exposition format.
//!
//! A page is made anew for each fetch from the state of that moment; nothing is counted or kept here.
use prometheus::{Encoder, IntGaugeVec, Opts, Registry, TextEncoder};

#[derive(thiserror::Error, Debug)]
pub enum MetricsError {
    #[error("metrics page: {0}")]
    Encode(#[from] prometheus::Error),
}

/// One page of figures.
#[derive(Default)]
pub struct Page {
    registry: Registry,
}

impl Page {
    /// Adds one figure for each of `rows`, which give the values of `labels` and the figure itself.
    pub fn figures(
        &mut self,
        (name, help): (&str, &str),
        labels: &[&str],
        rows: impl IntoIterator<Item = (Vec<String>, u64)>,
    ) -> Result<(), MetricsError> {
        let family = IntGaugeVec::new(Opts::new(name, help), labels)?;
        for (values, figure) in rows {
            let values: Vec<&str> = values.iter().map(String::as_str).collect();
            family.get_metric_with_label_values(&values)?.set(i64::try_from(figure).unwrap_or(i64::MAX));
        }
        self.registry.register(Box::new(family))?;
        Ok(())
    }

    /// Adds a figure that has no labels.
    pub fn figure(&mut self, name_and_help: (&str, &str), figure: u64) -> Result<(), MetricsError> {
        self.figures(name_and_help, &[], [(Vec::new(), figure)])
    }

    pub fn text(&self) -> Result<Vec<u8>, MetricsError> {
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
    fn given_figures_with_and_without_labels_then_each_has_its_line() -> googletest::Result<()> {
        let mut page = Page::default();
        page.figure(("sessions", "Open client sessions"), 7).or_fail()?;
        let rows = [("a", 1), ("b", 2)].map(|(id, figure)| (vec![id.to_owned()], figure));
        page.figures(("leaving_ms", "How long ago"), &["id"], rows).or_fail()?;
        let text = String::from_utf8(page.text().or_fail()?).or_fail()?;
        expect_that!(text, contains_substring("\nsessions 7\n"));
        expect_that!(text, contains_substring("leaving_ms{id=\"a\"} 1\nleaving_ms{id=\"b\"} 2\n"));
        expect_that!(page.figure(("sessions", "Twice"), 1).is_err(), eq(true));
        Ok(())
    }
}
