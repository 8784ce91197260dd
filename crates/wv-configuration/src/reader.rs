//! Typed access to a parsed value by dotted path, such as `limits.headerBytes` or `listenAddrs.front`.

#[derive(thiserror::Error, Debug, PartialEq, Eq)]
pub enum PathError {
    #[error("{0} is missing")]
    Missing(String),
    #[error("{0} is not {1}")]
    InvalidValue(String, &'static str),
}

/// A value and the path at which it was found, for error messages.
pub struct Reader<'a> {
    value: &'a serde_json::Value,
    base: String,
}

impl<'a> Reader<'a> {
    pub fn new(value: &'a serde_json::Value) -> Reader<'a> {
        Reader { value, base: String::new() }
    }

    /// The path from the root of the document.
    pub fn full_path(&self, path: &str) -> String {
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

    fn get<T>(
        &self,
        path: &str,
        expected: &'static str,
        read: impl FnOnce(&'a serde_json::Value) -> Option<T>,
    ) -> Result<T, PathError> {
        self.find(path)
            .ok_or_else(|| PathError::Missing(self.full_path(path)))
            .and_then(|value| read(value).ok_or_else(|| PathError::InvalidValue(self.full_path(path), expected)))
    }

    pub fn string(&self, path: &str) -> Result<&'a str, PathError> {
        self.get(path, "a string", |value| value.as_str())
    }

    pub fn boolean(&self, path: &str) -> Result<bool, PathError> {
        self.get(path, "true or false", |value| value.as_bool())
    }

    /// A finite number that is not negative.
    pub fn number(&self, path: &str) -> Result<f64, PathError> {
        self.get(path, "a non-negative number", |value| {
            value.as_f64().filter(|number| number.is_finite() && *number >= 0.0)
        })
    }

    /// A non-negative integer, also one written as a float such as `5.0`.
    pub fn integer(&self, path: &str) -> Result<u64, PathError> {
        self.get(path, "a non-negative integer", |value| {
            value.as_u64().or_else(|| {
                value
                    .as_f64()
                    .filter(|number| *number >= 0.0 && number.fract() == 0.0 && *number < 9e15)
                    .map(|n| n as u64)
            })
        })
    }

    pub fn integer_or(&self, path: &str, default: u64) -> Result<u64, PathError> {
        if self.has(path) {
            self.integer(path)
        } else {
            Ok(default)
        }
    }

    pub fn list(&self, path: &str) -> Result<Vec<Reader<'a>>, PathError> {
        self.get(path, "a list", |value| value.as_array()).map(|entries| {
            entries
                .iter()
                .enumerate()
                .map(|(index, value)| Reader { value, base: format!("{}[{index}]", self.full_path(path)) })
                .collect()
        })
    }

    /// This value as a string, for entries of a list.
    pub fn as_str(&self) -> Result<&'a str, PathError> {
        self.value.as_str().ok_or_else(|| PathError::InvalidValue(self.base.clone(), "a string"))
    }

    pub(crate) fn value(&self) -> &'a serde_json::Value {
        self.value
    }

    /// This value as an integer, for entries of a list.
    pub fn as_integer(&self) -> Result<u64, PathError> {
        self.value.as_u64().ok_or_else(|| PathError::InvalidValue(self.base.clone(), "a non-negative integer"))
    }
}
