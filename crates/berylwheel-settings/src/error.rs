//! Errors in a settings file.

use std::fmt;

/// An error in a settings file, with its place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingError {
    /// The name of the file.
    pub file: String,
    /// The line number, counted from 1; 0 if the error has no line.
    pub line: usize,
    /// The section, without brackets.
    pub section: String,
    /// The key; empty if the error concerns the section itself.
    pub key: String,
    /// What was found.
    pub found: String,
    /// What was expected.
    pub expected: String,
    /// A similar known name, if the error may be a misspelling.
    pub suggestion: Option<String>,
}

impl fmt::Display for SettingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.file)?;
        if self.line > 0 {
            write!(f, ":{}", self.line)?;
        }
        match (self.section.as_str(), self.key.as_str()) {
            ("", "") => {}
            ("", key) => write!(f, ": {key}")?,
            (section, "") => write!(f, ": [{section}]")?,
            (section, key) => write!(f, ": [{section}] {key}")?,
        }
        write!(f, ": {}, expected {}", self.found, self.expected)?;
        if let Some(suggestion) = &self.suggestion {
            write!(f, "; did you mean `{suggestion}`?")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingError {}

/// All errors of a file, sorted by line; never empty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingErrors(pub Vec<SettingError>);

impl fmt::Display for SettingErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, error) in self.0.iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingErrors {}
