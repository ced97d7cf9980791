//! Identifiers of the parts of a prompt.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::ParseIdError;

/// Identifies the content of one part of a prompt. Requests with the same part share its id.
///
/// ```
/// use berylwheel_types::PromptPartId;
/// let part: PromptPartId = "5c1e07a2".parse().unwrap();
/// assert_eq!(part, PromptPartId(0x5c1e_07a2));
/// assert_eq!(part.to_string(), "5c1e07a2");
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PromptPartId(pub u64);

impl fmt::Display for PromptPartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl FromStr for PromptPartId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        // `from_str_radix` accepts a sign.
        let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let error = ParseIdError { expected: "1 to 16 hexadecimal digits" };
        if !is_hex {
            return Err(error);
        }
        u64::from_str_radix(text, 16).map(Self).map_err(|_| error)
    }
}
