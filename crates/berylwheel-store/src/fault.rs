//! Faults that tests inject into a [`MemoryStore`](crate::MemoryStore).

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

/// How many of the next calls lose their response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LossCount {
    /// The next calls, up to this number.
    Count(u64),
    /// All further calls.
    All,
    /// No call.
    #[default]
    None,
}

impl LossCount {
    /// Returns whether the current call loses its response, and decrements the count if so.
    pub(crate) fn take_one(&mut self) -> bool {
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

impl Serialize for LossCount {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        match self {
            Self::None => s.serialize_u64(0),
            Self::Count(n) => s.serialize_u64(*n),
            Self::All => s.serialize_str("all"),
        }
    }
}

impl<'de> Deserialize<'de> for LossCount {
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
            Order::Word(word) => Err(serde::de::Error::custom(format!(
                "expected a number or \"all\", found \"{word}\""
            ))),
        }
    }
}

/// The faults that a store injects.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Whether every call fails without effect.
    pub down: bool,
    /// Delay of every response in milliseconds. Calls take effect before the delay.
    pub slow_ms: u64,
    /// Writes that take effect but lose their response.
    pub lose_answers: LossCount,
    /// Writes that have no effect and lose their response.
    pub lose_writes: LossCount,
}
