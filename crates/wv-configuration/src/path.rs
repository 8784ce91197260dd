//! A small reader of paths over a parsed value: `limits.headerBytes`, `listenAddrs.front`.

#[derive(thiserror::Error, Debug, PartialEq, Eq)]
pub enum PathError {
    #[error("{0} is missing")]
    Missing(String),
    #[error("{0} is not {1}")]
    Kind(String, &'static str),
}

pub struct Reader<'a> {
    value: &'a serde_json::Value,
    base: String,
}

impl<'a> Reader<'a> {
    pub fn new(value: &'a serde_json::Value) -> Reader<'a> {
        Reader { value, base: String::new() }
    }

    pub fn name(&self, path: &str) -> String {
        if self.base.is_empty() {
            path.to_owned()
        } else {
            format!("{}.{}", self.base, path)
        }
    }

    fn find(&self, path: &str) -> Option<&'a serde_json::Value> {
        path.split('.').try_fold(self.value, |value, step| value.get(step)).filter(|value| !value.is_null())
    }

    pub fn has(&self, path: &str) -> bool {
        self.find(path).is_some()
    }

    fn want<T>(
        &self,
        path: &str,
        kind: &'static str,
        read: impl FnOnce(&'a serde_json::Value) -> Option<T>,
    ) -> Result<T, PathError> {
        self.find(path)
            .ok_or_else(|| PathError::Missing(self.name(path)))
            .and_then(|value| read(value).ok_or_else(|| PathError::Kind(self.name(path), kind)))
    }

    pub fn text(&self, path: &str) -> Result<&'a str, PathError> {
        self.want(path, "a text", |value| value.as_str())
    }

    pub fn flag(&self, path: &str) -> Result<bool, PathError> {
        self.want(path, "true or false", |value| value.as_bool())
    }

    /// Zero or more, whole or not.
    pub fn number(&self, path: &str) -> Result<f64, PathError> {
        self.want(path, "a number of 0 or more", |value| {
            value.as_f64().filter(|number| number.is_finite() && *number >= 0.0)
        })
    }

    /// Zero or more and whole.
    pub fn whole(&self, path: &str) -> Result<u64, PathError> {
        self.want(path, "a whole number of 0 or more", |value| {
            value.as_u64().or_else(|| {
                value
                    .as_f64()
                    .filter(|number| *number >= 0.0 && number.fract() == 0.0 && *number < 9e15)
                    .map(|n| n as u64)
            })
        })
    }

    pub fn whole_or(&self, path: &str, default: u64) -> Result<u64, PathError> {
        if self.has(path) {
            self.whole(path)
        } else {
            Ok(default)
        }
    }

    pub fn list(&self, path: &str) -> Result<Vec<Reader<'a>>, PathError> {
        self.want(path, "a list", |value| value.as_array()).map(|entries| {
            entries
                .iter()
                .enumerate()
                .map(|(at, value)| Reader { value, base: format!("{}[{at}]", self.name(path)) })
                .collect()
        })
    }

    /// This value itself as a text, for entries of a list of texts.
    pub fn itself(&self) -> Result<&'a str, PathError> {
        self.value.as_str().ok_or_else(|| PathError::Kind(self.base.clone(), "a text"))
    }

    /// The value itself, where it is not what a reader of paths expects.
    pub(crate) fn value(&self) -> &'a serde_json::Value {
        self.value
    }

    pub fn itself_whole(&self) -> Result<u64, PathError> {
        self.value.as_u64().ok_or_else(|| PathError::Kind(self.base.clone(), "a whole number"))
    }
}
