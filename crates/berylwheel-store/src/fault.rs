//! Faults that a test orders from a [`MemoryStore`](crate::MemoryStore).

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

/// How many answers get lost.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Lost {
    /// This many more.
    Count(u64),
    /// All from now on.
    All,
    /// None.
    #[default]
    None,
}

impl Lost {
    /// Counts one answer down and returns whether it gets lost.
    pub(crate) fn take(&mut self) -> bool {
        match *self {
            Self::None | Self::Count(0) => false,
            Self::Count(n) => {
                *self = Self::Count(n - 1);
                true
            }
            Self::All => true,
        }
    }
}

impl Serialize for Lost {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        match self {
            Self::None => s.serialize_u64(0),
            Self::Count(n) => s.serialize_u64(*n),
            Self::All => s.serialize_str("all"),
        }
    }
}

impl<'de> Deserialize<'de> for Lost {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Order {
            Count(u64),
            Word(String),
        }
        match Order::deserialize(d)? {
            Order::Count(n) => Ok(Self::Count(n)),
            Order::Word(word) if word == "all" => Ok(Self::All),
            Order::Word(word) => Err(serde::de::Error::custom(format!("{word}: not a count"))),
        }
    }
}

/// The faults in force.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Whether every call is refused without effect.
    pub down: bool,
    /// Milliseconds by which every answer is late. Calls take effect before the delay.
    pub slow_ms: u64,
    /// Writes that take effect and whose answers are lost.
    pub lose_answers: Lost,
    /// Writes that have no effect and whose answers are lost.
    pub lose_writes: Lost,
}
