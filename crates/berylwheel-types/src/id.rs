//! Identifier newtypes.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use sha2::Digest;
use sha2::Sha256;

use crate::parse_whole;

/// Number of hexadecimal digits of a [`BillKey`].
const BILL_KEY_DIGITS: usize = 32;
/// The maximum length of a name, in bytes.
const NAME_LIMIT_BYTES: usize = 128;

/// An error from parsing an identifier.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseIdError {
    /// A description of the expected format.
    pub expected: &'static str,
}

impl fmt::Display for ParseIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "expected {}", self.expected)
    }
}

impl std::error::Error for ParseIdError {}

fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b':' | b'/')
}

fn check_name(text: &str) -> Result<(), ParseIdError> {
    if text.is_empty() || text.len() > NAME_LIMIT_BYTES || !text.bytes().all(is_name_byte) {
        return Err(ParseIdError {
            expected: "a name of 1 to 128 letters, digits or any of - _ . : /",
        });
    }
    Ok(())
}

macro_rules! name_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                check_name(text)?;
                Ok(Self(text.into()))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
                s.serialize_str(&self.0)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
                let text = String::deserialize(d)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    };
}

name_id!(
    /// A workspace: the unit of administration, billing and limits.
    WorkspaceId
);
name_id!(
    /// A prepaid budget, written `WORKSPACE/NAME`.
    BudgetId
);
name_id!(
    /// A kind of work, such as chat or booking.
    KindId
);
name_id!(
    /// A model served by model engines.
    ModelId
);
name_id!(
    /// A backend server: a model engine or a plain service.
    BackendId
);
name_id!(
    /// The name of a router, which is stable across restarts.
    RouterId
);
name_id!(
    /// The name of a failure domain.
    FailureDomain
);
name_id!(
    /// The ID of one attempt at a request, unique in the fleet.
    RequestId
);
name_id!(
    /// The idempotent ID of a top-up: repeating it does not credit the budget again.
    CreditId
);
name_id!(
    /// The idempotent ID of a configuration change: repeating it does not apply the change again.
    ChangeId
);

/// Identifies one run of a router process by the router's name and a number unique to the run.
///
/// ```
/// use berylwheel_types::Incarnation;
/// let i: Incarnation = "r1@42".parse().unwrap();
/// assert_eq!((i.router.as_str(), i.number), ("r1", 42));
/// assert_eq!(i.to_string(), "r1@42");
/// ```
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation {
    /// The router's name.
    pub router: RouterId,
    /// A number that increases with every run of the same router.
    pub number: u64,
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.router, self.number)
    }
}

impl FromStr for Incarnation {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = ParseIdError { expected: "an incarnation, such as r1@42" };
        let (router, number) = text.rsplit_once('@').ok_or(error.clone())?;
        Ok(Self { router: router.parse()?, number: number.parse().map_err(|_| error)? })
    }
}

impl Serialize for Incarnation {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Incarnation {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let text = String::deserialize(d)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// Identifies a request across retries by the caller, so that it is billed once: a hash of the
/// workspace and the idempotency key.
///
/// ```
/// use berylwheel_types::BillKey;
/// let w = "w1".parse().unwrap();
/// assert_eq!(BillKey::new(&w, "k"), BillKey::new(&w, "k"));
/// assert_ne!(BillKey::new(&w, "k"), BillKey::new(&w, "l"));
/// assert_eq!(BillKey::new(&w, "k").to_string().parse(), Ok(BillKey::new(&w, "k")));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BillKey(u128);

impl BillKey {
    /// Returns the key of the request that `workspace` sends with `idempotency_key`.
    pub fn new(workspace: &WorkspaceId, idempotency_key: &str) -> Self {
        // The hash is cryptographic because a caller that could produce a collision would be billed
        // only once for two requests.
        let mut hasher = Sha256::new();
        hasher.update(workspace.as_str());
        hasher.update([0]);
        hasher.update(idempotency_key);
        let digest = hasher.finalize();
        Self(digest.iter().take(16).fold(0, |n, byte| n << 8 | u128::from(*byte)))
    }
}

impl fmt::Display for BillKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for BillKey {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = ParseIdError { expected: "32 hexadecimal digits" };
        if text.len() != BILL_KEY_DIGITS || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(error);
        }
        u128::from_str_radix(text, 16).map(Self).map_err(|_| error)
    }
}

impl Serialize for BillKey {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for BillKey {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let text = String::deserialize(d)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the next higher number.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let error = ParseIdError { expected: "a whole number" };
                parse_whole(text).map(Self).ok_or(error)
            }
        }
    };
}

number_id!(
    /// A configuration version. Versions increase monotonically.
    Version
);
number_id!(
    /// A fencing number, with which a backend server rejects outdated orders.
    FenceNumber
);
number_id!(
    /// The era of a store, which differs after each restore from a copy. 0 stands for a store that
    /// states no era.
    StoreEra
);
