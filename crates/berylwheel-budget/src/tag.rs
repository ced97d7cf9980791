//! Tags under which engines record the usage of requests.

use std::fmt;
use std::str::FromStr;

use berylwheel_types::BillKey;
use berylwheel_types::BudgetId;
use berylwheel_types::ParseIdError;
use berylwheel_types::stable_hash;

/// The data that a reclaim needs about a request, short enough to be part of an engine's request
/// id.
///
/// ```
/// use berylwheel_budget::UsageTag;
/// let tag = UsageTag::new(&"w1/main".parse().unwrap(), 17, None);
/// assert_eq!(tag.to_string().parse(), Ok(tag));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UsageTag {
    /// A hash of the budget's name.
    pub budget: u64,
    /// The serial number that the holder assigned to the request.
    pub serial: u64,
    /// The bill key, if the request has an idempotency key.
    pub key: Option<BillKey>,
}

impl UsageTag {
    /// Creates the tag of a request.
    pub fn new(budget: &BudgetId, serial: u64, key: Option<BillKey>) -> Self {
        Self { budget: stable_hash(&[budget.as_str()]), serial, key }
    }

    /// Returns whether the tagged request is charged to `budget`.
    pub fn is_for(&self, budget: &BudgetId) -> bool {
        self.budget == stable_hash(&[budget.as_str()])
    }
}

impl fmt::Display for UsageTag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}.{:x}", self.budget, self.serial)?;
        match self.key {
            Some(key) => write!(f, ".{key}"),
            None => Ok(()),
        }
    }
}

impl FromStr for UsageTag {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = ParseIdError { expected: "a usage tag, such as 00000000000000ab.1f" };
        let mut parts = text.split('.');
        let mut number = || {
            let part = parts.next().ok_or(error.clone())?;
            u64::from_str_radix(part, 16).map_err(|_| error.clone())
        };
        let (budget, serial) = (number()?, number()?);
        let key = parts.next().map(str::parse).transpose()?;
        if parts.next().is_some() {
            return Err(error);
        }
        Ok(Self { budget, serial, key })
    }
}
