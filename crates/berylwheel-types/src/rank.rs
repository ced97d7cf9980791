//! The three ranks of work.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::ParseIdError;

/// How urgent a piece of work is. The order of the variants is the order of service.
///
/// ```
/// use berylwheel_types::Rank;
/// assert!(Rank::Urgent < Rank::Batch);
/// assert_eq!("normal".parse::<Rank>().unwrap(), Rank::Normal);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Rank {
    /// Served first.
    Urgent,
    /// Served after urgent work.
    Normal,
    /// Served with what the other ranks leave, above its floor.
    Batch,
}

impl Rank {
    /// All ranks in the order of service.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Normal, Self::Batch];

    /// Returns the position in [`Rank::ALL`], which is also the priority that engines get.
    pub const fn index(self) -> usize {
        self as usize
    }

    /// Returns the name used in settings and figures.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Normal => "normal",
            Self::Batch => "batch",
        }
    }
}

impl fmt::Display for Rank {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for Rank {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|rank| rank.name() == text)
            .ok_or(ParseIdError { expected: "urgent, normal or batch" })
    }
}
