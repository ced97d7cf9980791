//! Newtypes for quantities with units: tokens, durations, sizes, bit rates and shares.

use std::fmt;
use std::iter::Sum;
use std::ops::Add;
use std::ops::AddAssign;
use std::ops::Sub;
use std::ops::SubAssign;
use std::str::FromStr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::decimal::parse_number;

/// An error from parsing a quantity.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseQuantityError {
    /// A description of the expected format, with an example.
    pub expected: &'static str,
}

impl fmt::Display for ParseQuantityError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "expected {}", self.expected)
    }
}

impl std::error::Error for ParseQuantityError {}

/// Parses a whole number followed by a unit, and returns the number in the base unit.
fn parse_with_unit(
    text: &str,
    units: &[(&str, u64)],
    expected: &'static str,
) -> Result<u64, ParseQuantityError> {
    let error = ParseQuantityError { expected };
    let text = text.trim();
    let unit_start = text.find(|c: char| !c.is_ascii_digit() && c != '_').unwrap_or(text.len());
    let (digits, unit) = text.split_at(unit_start);
    let number: u64 = digits.replace('_', "").parse().map_err(|_| error.clone())?;
    let unit = unit.trim();
    let Some((_, factor)) = units.iter().find(|(name, _)| *name == unit) else {
        return Err(error);
    };
    number.checked_mul(*factor).ok_or(error)
}

/// A number of tokens.
///
/// Addition and subtraction panic on overflow in debug builds, like the primitive integers. Use
/// [`Tokens::saturating_sub`] where the difference may be negative.
///
/// ```
/// use berylwheel_types::Tokens;
/// assert_eq!("2k".parse::<Tokens>().unwrap(), Tokens(2_000));
/// assert_eq!(Tokens(5).to_string(), "5");
/// assert!("-5".parse::<Tokens>().is_err());
/// ```
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Tokens(pub u64);

impl Tokens {
    /// Zero tokens.
    pub const ZERO: Self = Self(0);

    /// Returns the difference, or zero if `other` is larger.
    pub fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Returns the sum, or the largest number if the sum is larger.
    pub fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl FromStr for Tokens {
    type Err = ParseQuantityError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let units = [("", 1), ("k", 1_000), ("M", 1_000_000), ("G", 1_000_000_000)];
        parse_with_unit(text, &units, "a whole number of tokens, such as 500, 20k or 3M").map(Self)
    }
}

impl fmt::Display for Tokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl Add for Tokens {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0 + other.0)
    }
}

impl AddAssign for Tokens {
    fn add_assign(&mut self, other: Self) {
        self.0 += other.0;
    }
}

impl Sub for Tokens {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self(self.0 - other.0)
    }
}

impl SubAssign for Tokens {
    fn sub_assign(&mut self, other: Self) {
        self.0 -= other.0;
    }
}

impl Sum for Tokens {
    fn sum<I: Iterator<Item = Self>>(items: I) -> Self {
        Self(items.map(|t| t.0).sum())
    }
}

/// Largest duration that may be written as a fraction: a float is exact up to here.
const MAX_FRACTIONAL_MILLIS: f64 = (1_u64 << 53) as f64;

/// A duration in milliseconds. A fraction is rounded to the nearest millisecond.
///
/// ```
/// use berylwheel_types::Millis;
/// assert_eq!("2s".parse::<Millis>().unwrap(), Millis(2_000));
/// assert_eq!("250ms".parse::<Millis>().unwrap(), Millis(250));
/// assert_eq!("8.5s".parse::<Millis>().unwrap(), Millis(8_500));
/// assert!("soon".parse::<Millis>().is_err());
/// ```
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Millis(pub u64);

impl Millis {
    /// Converts the value to a [`Duration`].
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl FromStr for Millis {
    type Err = ParseQuantityError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let units = [("ms", 1), ("s", 1_000), ("m", 60_000), ("h", 3_600_000)];
        let expected = "a duration with a unit, such as 250ms, 5s or 10m";
        if !text.contains('.') {
            return parse_with_unit(text, &units, expected).map(Self);
        }
        let error = ParseQuantityError { expected };
        let text = text.trim();
        let unit_start = text.find(|c: char| c.is_ascii_alphabetic()).unwrap_or(text.len());
        let (number, unit) = text.split_at(unit_start);
        let factor = units.iter().find(|(name, _)| *name == unit).map(|(_, factor)| *factor as f64);
        let number = parse_number(number.trim()).ok_or_else(|| error.clone())?;
        let millis = (number * factor.ok_or_else(|| error.clone())?).round();
        if millis > MAX_FRACTIONAL_MILLIS {
            return Err(error);
        }
        Ok(Self(millis as u64))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0 >= 1_000 && self.0.is_multiple_of(1_000) {
            return write!(f, "{}s", self.0 / 1_000);
        }
        write!(f, "{}ms", self.0)
    }
}

/// A size in bytes.
///
/// ```
/// use berylwheel_types::ByteSize;
/// assert_eq!("64KB".parse::<ByteSize>().unwrap(), ByteSize(65_536));
/// ```
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ByteSize(pub u64);

impl FromStr for ByteSize {
    type Err = ParseQuantityError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let units = [("", 1), ("B", 1), ("KB", 1 << 10), ("MB", 1 << 20)];
        parse_with_unit(text, &units, "a size in bytes, such as 512, 64KB or 1MB").map(Self)
    }
}

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            n if n >= 1 << 20 && n.is_multiple_of(1 << 20) => write!(f, "{}MB", n >> 20),
            n if n >= 1 << 10 && n.is_multiple_of(1 << 10) => write!(f, "{}KB", n >> 10),
            n => write!(f, "{n}B"),
        }
    }
}

/// The bandwidth of a network link, in bits per second.
///
/// ```
/// use berylwheel_types::BitRate;
/// assert_eq!("10.0Mbit".parse::<BitRate>().unwrap(), BitRate(10_000_000));
/// assert_eq!(BitRate(200_000_000).to_string(), "200Mbit");
/// assert!("10".parse::<BitRate>().is_err());
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BitRate(pub u64);

impl BitRate {
    /// Returns the bandwidth in bytes per second.
    pub const fn bytes_per_second(self) -> u64 {
        self.0 / 8
    }
}

impl FromStr for BitRate {
    type Err = ParseQuantityError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = ParseQuantityError { expected: "a rate in bits per second, such as 10Mbit" };
        let units = [("kbit", 1e3), ("Mbit", 1e6), ("Gbit", 1e9), ("bit", 1.0)];
        let text = text.trim();
        let parsed = units.iter().find_map(|(unit, scale)| Some((text.strip_suffix(unit)?, scale)));
        let (number, scale) = parsed.ok_or_else(|| error.clone())?;
        let rate = parse_number(number.trim()).ok_or_else(|| error.clone())? * scale;
        if !(1e3..=1e12).contains(&rate) {
            return Err(error);
        }
        Ok(Self(rate.round() as u64))
    }
}

impl fmt::Display for BitRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            n if n.is_multiple_of(1_000_000) => write!(f, "{}Mbit", n / 1_000_000),
            n if n.is_multiple_of(1_000) => write!(f, "{}kbit", n / 1_000),
            n => write!(f, "{n}bit"),
        }
    }
}

/// A fraction of a whole, stored in thousandths.
///
/// ```
/// use berylwheel_types::Share;
/// assert_eq!("12.5%".parse::<Share>().unwrap(), Share::from_permille(125));
/// assert_eq!(Share::from_permille(500).to_string(), "50%");
/// assert_eq!("0.2".parse::<Share>().unwrap(), Share::from_permille(200));
/// assert!("150%".parse::<Share>().is_err());
/// ```
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Share(u32);

impl Share {
    /// Creates a share from a number of thousandths.
    pub const fn from_permille(permille: u32) -> Self {
        Self(permille)
    }

    /// Returns the share as a fraction from 0 to 1.
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / 1_000.0
    }
}

impl FromStr for Share {
    type Err = ParseQuantityError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error =
            ParseQuantityError { expected: "a share from 0% to 100%, such as 50%, 12.5% or 0.2" };
        let text = text.trim();
        let (number, scale) = text.strip_suffix('%').map_or((text, 100.0), |number| (number, 1.0));
        let percent = parse_number(number).ok_or_else(|| error.clone())? * scale;
        if !(0.0..=100.0).contains(&percent) {
            return Err(error);
        }
        Ok(Self((percent * 10.0).round() as u32))
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", f64::from(self.0) / 10.0)
    }
}
