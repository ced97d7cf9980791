//! Decimal numbers of settings.

use std::fmt;
use std::str::FromStr;

use crate::ParseQuantityError;

/// Millionths in one.
const SCALE: f64 = 1e6;
/// Largest accepted number.
const MAX: f64 = 1e9;

/// A decimal number from 0 to a thousand million, stored in millionths.
///
/// ```
/// use berylwheel_types::Decimal;
/// let ratio: Decimal = "33.157894736842103".parse().unwrap();
/// assert_eq!(ratio.value(), 33.157895);
/// assert_eq!(ratio.to_string(), "33.157895");
/// assert!("-1".parse::<Decimal>().is_err());
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Decimal(u64);

impl Decimal {
    /// Returns the decimal number nearest to `value`, limited to the range of the type.
    pub fn from_value(value: f64) -> Self {
        Self((value.clamp(0.0, MAX) * SCALE).round() as u64)
    }

    /// Returns the number as a float.
    pub fn value(self) -> f64 {
        self.0 as f64 / SCALE
    }
}

impl FromStr for Decimal {
    type Err = ParseQuantityError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let value = parse_number(text.trim()).filter(|value| *value <= MAX);
        value
            .map(Self::from_value)
            .ok_or(ParseQuantityError { expected: "a decimal number, such as 52 or 0.2" })
    }
}

impl fmt::Display for Decimal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.value(), f)
    }
}

/// Parses a whole number. Unlike the standard parser, it rejects a leading plus sign.
///
/// ```
/// use berylwheel_types::parse_whole;
/// assert_eq!(parse_whole::<u32>("20"), Some(20));
/// assert_eq!(parse_whole::<u32>("+20"), None);
/// assert_eq!(parse_whole::<u8>("256"), None);
/// ```
pub fn parse_whole<T: FromStr>(text: &str) -> Option<T> {
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    text.parse().ok()
}

/// Parses a number without a sign, such as `20`, `0.25` or `5e-05`.
pub(crate) fn parse_number(text: &str) -> Option<f64> {
    // The standard parser also takes a leading plus sign, `inf` and `nan`.
    if !text.starts_with(|c: char| c.is_ascii_digit()) {
        return None;
    }
    text.parse::<f64>().ok().filter(|value| value.is_finite())
}
