//! Measurements of the time that servers take, and expectations of it.

use berylwheel_types::Millis;
use berylwheel_types::Tokens;
use serde::Serialize;

/// A class of work. A server may be slower than others in one class only.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum WorkClass {
    /// Reading a prompt, until the first event.
    Prompt,
    /// Generating tokens.
    Generation,
    /// A plain call.
    Plain,
}

impl WorkClass {
    /// All classes, in the order of their index.
    pub const ALL: [Self; 3] = [Self::Prompt, Self::Generation, Self::Plain];

    /// Returns the name that logs use.
    ///
    /// ```
    /// use berylwheel_route::WorkClass;
    /// assert_eq!(WorkClass::Prompt.name(), "prompt");
    /// ```
    pub const fn name(self) -> &'static str {
        match self {
            Self::Prompt => "prompt",
            Self::Generation => "generation",
            Self::Plain => "plain",
        }
    }

    /// Returns the number of the class, which is also its code in messages.
    ///
    /// ```
    /// use berylwheel_route::WorkClass;
    /// assert_eq!(WorkClass::ALL[WorkClass::Plain.index()], WorkClass::Plain);
    /// ```
    pub const fn index(self) -> usize {
        match self {
            Self::Prompt => 0,
            Self::Generation => 1,
            Self::Plain => 2,
        }
    }
}

/// The work that a time was measured for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Work {
    /// Reading a prompt of this length.
    Prompt(Tokens),
    /// Generating this number of tokens after the first event.
    Generation(Tokens),
    /// A plain call.
    Plain,
}

impl Work {
    /// Returns the class of the work.
    ///
    /// ```
    /// use berylwheel_route::{Work, WorkClass};
    /// use berylwheel_types::Tokens;
    /// assert_eq!(Work::Prompt(Tokens(900)).class(), WorkClass::Prompt);
    /// ```
    pub const fn class(self) -> WorkClass {
        match self {
            Self::Prompt(_) => WorkClass::Prompt,
            Self::Generation(_) => WorkClass::Generation,
            Self::Plain => WorkClass::Plain,
        }
    }
}

/// The time that a server took for some work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkSample {
    /// The work.
    pub work: Work,
    /// The time that it took.
    pub took: Millis,
    /// Whether the work has not ended, so that `took` is a lower bound.
    pub unfinished: bool,
    /// How long work took on the server's machine according to itself, in percent of the usual time.
    pub stated: Option<u32>,
}

/// The time that a server is expected to take for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExpectedTime {
    /// Time to the first event of a stream, or to the whole response of a plain call.
    pub first: Millis,
    /// Time per generated token, in microseconds; `None` if it is unknown or there are no tokens.
    pub token_micros: Option<u64>,
}

impl ExpectedTime {
    /// Returns the time to the end of an answer with `generated` tokens, or `None` if the time per
    /// token is unknown.
    ///
    /// ```
    /// use berylwheel_route::ExpectedTime;
    /// use berylwheel_types::{Millis, Tokens};
    /// let expected = ExpectedTime { first: Millis(100), token_micros: Some(5_000) };
    /// assert_eq!(expected.whole(Tokens(20)), Some(Millis(200)));
    /// ```
    pub fn whole(self, generated: Tokens) -> Option<Millis> {
        if generated == Tokens::ZERO {
            return Some(self.first);
        }
        let rest = self.token_micros?.saturating_mul(generated.0) / 1_000;
        Some(Millis(self.first.0.saturating_add(rest)))
    }
}
