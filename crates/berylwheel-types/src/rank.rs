//! Priority classes of requests.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::ParseIdError;

/// The priority class of a request. Variants are in descending order of priority.
///
/// ```
/// use berylwheel_types::Rank;
/// assert!(Rank::Urgent < Rank::Batch);
/// assert_eq!("normal".parse::<Rank>().unwrap(), Rank::Normal);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Rank {
    /// Work that is served first.
    Urgent,
    /// Work that is served after urgent work.
    Normal,
    /// Work that is served with the capacity left by the other ranks, and at least with its floor.
    Batch,
}

impl Rank {
    /// All ranks in descending order of priority.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Normal, Self::Batch];

    /// Returns the index in [`Rank::ALL`], which is also the priority value sent to model engines.
    pub const fn index(self) -> usize {
        self as usize
    }

    /// Returns the name used in settings and metrics.
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
