//! Value types and validation of single values.

use std::fmt;
use std::net::Ipv6Addr;
use std::net::SocketAddr;
use std::str::FromStr;

use berylwheel_types::BackendId;
use berylwheel_types::BitRate;
use berylwheel_types::BudgetId;
use berylwheel_types::ByteSize;
use berylwheel_types::Decimal;
use berylwheel_types::KindId;
use berylwheel_types::Millis;
use berylwheel_types::Rank;
use berylwheel_types::RouterId;
use berylwheel_types::Share;
use berylwheel_types::Tokens;
use berylwheel_types::parse_whole;

use crate::Adapter;
use crate::Answer;
use crate::Fencing;
use crate::Repeat;
use crate::Service;

/// The type of a value, with its bounds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ValueType {
    /// A whole number within bounds.
    Count(u32, u32),
    /// A number of tokens within bounds.
    Tokens(u64, u64),
    /// A duration within bounds, in milliseconds.
    Duration(u64, u64),
    /// A size within bounds, in bytes.
    Size(u64, u64),
    /// The bit rate of a network link.
    Rate,
    /// A share from 0% to 100%.
    Share,
    /// A decimal number of at least 0.
    Decimal,
    /// `yes` or `no`.
    YesNo,
    /// A rank.
    Rank,
    /// `engine` or `plain`.
    Service,
    /// `idempotent`, `never`, `by-key` or `once`.
    Repeat,
    /// `whole` or `stream`.
    Answer,
    /// `none` or `platform`.
    Adapter,
    /// A host name without a port.
    Host,
    /// A prefix of URL paths, which begins and ends with a slash.
    UrlPath,
    /// A list of names, each followed by a colon and a weight unless that is 1.
    Weights,
    /// `checked` or `ignored`.
    Fencing,
    /// A name.
    Name,
    /// The name of a budget within its workspace.
    Budget,
    /// A list of names, separated by commas.
    Names,
    /// A list of budget names, separated by commas.
    Budgets,
    /// An address to listen on; with port 0 the system chooses a free port.
    Listen,
    /// The address of another process.
    Address,
    /// A list of addresses, separated by commas.
    Addresses,
    /// A list of `NAME=IP:port`, separated by commas.
    Peers,
    /// The path of a file.
    Path,
    /// A SHA-256 digest.
    Digest,
    /// A SHA-256 digest, and the name of a budget if it is not the default one.
    CallerKey,
}

impl ValueType {
    /// Checks that `text` is a valid value of this type.
    ///
    /// # Errors
    ///
    /// Returns a description of the expected value.
    ///
    /// ```
    /// use berylwheel_settings::ValueType;
    /// assert!(ValueType::Count(1, 64).check("2").is_ok());
    /// assert!(ValueType::Count(1, 64).check("+2").is_err());
    /// assert_eq!(
    ///     ValueType::Count(1, 64).check("65"),
    ///     Err("a whole number from 1 to 64".to_owned())
    /// );
    /// ```
    pub fn check(self, text: &str) -> Result<(), String> {
        let ok = match self {
            Self::Count(low, high) => in_range(parse_whole(text).ok_or(()), low, high),
            Self::Tokens(low, high) => in_range(text.parse(), Tokens(low), Tokens(high)),
            Self::Duration(low, high) => in_range(text.parse(), Millis(low), Millis(high)),
            Self::Size(low, high) => in_range(text.parse(), ByteSize(low), ByteSize(high)),
            Self::Rate => parses::<BitRate>(text),
            Self::Share => parses::<Share>(text),
            Self::Decimal => parses::<Decimal>(text),
            Self::YesNo => parse_yes_no(text).is_some(),
            Self::Rank => parses::<Rank>(text),
            Self::Service => parses::<Service>(text),
            Self::Repeat => parses::<Repeat>(text),
            Self::Answer => parses::<Answer>(text),
            Self::Adapter => parses::<Adapter>(text),
            Self::Host => is_host(text),
            Self::UrlPath => is_url_path(text),
            Self::Weights => list_items(text).all(|item| parse_weighted_name(item).is_some()),
            Self::Fencing => parses::<Fencing>(text),
            Self::Name => parses::<BackendId>(text),
            Self::Budget => is_budget_name(text),
            Self::Names => is_list(text, parses::<BackendId>),
            Self::Budgets => is_list(text, is_budget_name),
            Self::Listen => parses::<SocketAddr>(text),
            Self::Address => is_address(text),
            Self::Addresses => is_list(text, is_address),
            Self::Peers => is_list(text, |item| parse_peer(item).is_some()),
            Self::Path => !text.is_empty(),
            Self::Digest => is_digest(text),
            Self::CallerKey => parse_caller_key(text).is_some(),
        };
        if ok { Ok(()) } else { Err(self.to_string()) }
    }
}

impl ValueType {
    /// Returns the valid value that is closest to `text`, if `text` is a number that may be out of
    /// bounds. It may be negative, or have any number of digits.
    ///
    /// ```
    /// use berylwheel_settings::ValueType;
    /// assert_eq!(ValueType::Count(1, 64).nearest("65"), Some("64".to_owned()));
    /// assert_eq!(ValueType::Duration(1, 5_000).nearest("-2.5ms"), Some("1ms".to_owned()));
    /// assert_eq!(ValueType::Name.nearest("a b"), None);
    /// ```
    pub fn nearest(self, text: &str) -> Option<String> {
        match self {
            Self::Count(low, high) => clamp(text, u64::from(low), u64::from(high)),
            Self::Tokens(low, high) => clamp(text, Tokens(low), Tokens(high)),
            Self::Duration(low, high) => clamp(text, Millis(low), Millis(high)),
            Self::Size(low, high) => clamp(text, ByteSize(low), ByteSize(high)),
            _ => None,
        }
    }
}

/// Number of digits from which a number counts as larger than any bound.
const LONG_NUMBER_DIGITS: usize = 17;

fn clamp<T: FromStr + PartialOrd + fmt::Display>(text: &str, low: T, high: T) -> Option<String> {
    let (is_negative, number) = match text.strip_prefix('-') {
        Some(number) => (true, number),
        None => (false, text),
    };
    let digits = number.bytes().take_while(u8::is_ascii_digit).count();
    if digits == 0 {
        return None;
    }
    match text.parse::<T>() {
        _ if is_negative => Some(low.to_string()),
        Ok(value) if value < low => Some(low.to_string()),
        Ok(value) if value > high => Some(high.to_string()),
        Ok(_) => Some(text.to_owned()),
        Err(_) => (digits >= LONG_NUMBER_DIGITS).then(|| high.to_string()),
    }
}

impl fmt::Display for ValueType {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self {
            Self::Count(low, high) => write!(f, "a whole number from {low} to {high}"),
            Self::Tokens(low, high) => {
                write!(f, "a number of tokens from {low} to {high}, such as 500, 20k or 3M")
            }
            Self::Duration(low, high) => write!(
                f,
                "a span of time from {} to {}, such as 250ms, 5s or 10m",
                Millis(low),
                Millis(high)
            ),
            Self::Size(low, high) => write!(
                f,
                "a size from {} to {}, such as 512, 64KB or 1MB",
                ByteSize(low),
                ByteSize(high)
            ),
            Self::Rate => f.write_str("a rate in bits a second, such as 10Mbit"),
            Self::Share => f.write_str("a share from 0% to 100%, such as 50%, 12.5% or 0.2"),
            Self::Decimal => f.write_str("a decimal number from 0, such as 52 or 0.2"),
            Self::YesNo => f.write_str("yes or no"),
            Self::Rank => f.write_str("urgent, normal or batch"),
            Self::Service => f.write_str("engine or plain"),
            Self::Repeat => f.write_str("idempotent, never, by-key or once"),
            Self::Answer => f.write_str("whole or stream"),
            Self::Adapter => f.write_str("none or platform"),
            Self::Host => f.write_str("a host name without a port, such as shop.example"),
            Self::UrlPath => f.write_str("a path that begins and ends with a slash, such as /a/"),
            Self::Weights => f.write_str("a list of names with weights, such as a:90, b:10"),
            Self::Fencing => f.write_str("checked or ignored"),
            Self::Name => f.write_str("a name of letters, digits or any of - _ . : /"),
            Self::Budget => f.write_str("a budget name of letters, digits or any of - _ . :"),
            Self::Names => f.write_str("a list of names, each once, such as a, b"),
            Self::Budgets => f.write_str("a list of budget names, each once, such as main, trial"),
            Self::Listen => f.write_str("an address IP:port, such as 127.0.0.1:8080"),
            Self::Address => {
                f.write_str("an address IP:port with a port above 0, such as 127.0.0.1:8080")
            }
            Self::Addresses => {
                f.write_str("a list of addresses IP:port, such as 10.0.0.1:2379, 10.0.0.2:2379")
            }
            Self::Peers => {
                f.write_str("a list of NAME=IP:port, such as r2=10.0.0.2:7000, r3=10.0.0.3:7000")
            }
            Self::Path => f.write_str("the path of a file"),
            Self::Digest => f.write_str("a SHA-256 digest of 64 lower-case hexadecimal digits"),
            Self::CallerKey => f.write_str(
                "a SHA-256 digest of 64 lower-case hexadecimal digits, then a budget name \
                 if it is not the default one",
            ),
        }
    }
}

fn in_range<T: PartialOrd, E>(value: Result<T, E>, low: T, high: T) -> bool {
    value.is_ok_and(|value| low <= value && value <= high)
}

fn parses<T: FromStr>(text: &str) -> bool {
    text.parse::<T>().is_ok()
}

fn is_address(text: &str) -> bool {
    text.parse::<SocketAddr>().is_ok_and(|address| address.port() > 0)
}

fn is_budget_name(text: &str) -> bool {
    parses::<BudgetId>(text) && !text.contains('/')
}

fn is_digest(text: &str) -> bool {
    text.len() == 64 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'))
}

/// Returns whether all items of the list `text` pass `is_item` and none is repeated.
fn is_list(text: &str, is_item: fn(&str) -> bool) -> bool {
    let items: Vec<&str> = list_items(text).collect();
    items.iter().enumerate().all(|(i, item)| is_item(item) && !items[..i].contains(item))
}

/// Returns the items of a comma-separated list; none if `text` is empty.
pub(crate) fn list_items(text: &str) -> impl Iterator<Item = &str> {
    text.split(',').map(str::trim).filter(move |_| !text.is_empty())
}

/// Parses `yes` or `no`. Also accepts `true` and `false`, which deployment templates produce.
pub(crate) fn parse_yes_no(text: &str) -> Option<bool> {
    match text {
        "yes" | "true" => Some(true),
        "no" | "false" => Some(false),
        _ => None,
    }
}

/// Returns whether `text` is the host of a URL without a port: a name, or an IP address, which has
/// brackets in version 6.
fn is_host(text: &str) -> bool {
    if let Some(address) = text.strip_prefix('[').and_then(|text| text.strip_suffix(']')) {
        return address.parse::<Ipv6Addr>().is_ok();
    }
    let is_name_byte = |b: u8| b.is_ascii_alphanumeric() || b"-._~%!$&'()*+,;=".contains(&b);
    !text.is_empty() && text.bytes().all(is_name_byte)
}

fn is_url_path(text: &str) -> bool {
    text.starts_with('/') && text.ends_with('/') && text.bytes().all(|b| b.is_ascii_graphic())
}

/// Parses `NAME` or `NAME:WEIGHT`.
pub(crate) fn parse_weighted_name(text: &str) -> Option<(KindId, u32)> {
    let (name, weight) = text.rsplit_once(':').unwrap_or((text, "1"));
    Some((name.trim().parse().ok()?, parse_whole(weight.trim())?))
}

/// Parses `NAME=IP:port`.
pub(crate) fn parse_peer(text: &str) -> Option<(RouterId, SocketAddr)> {
    let (name, address) = text.split_once('=')?;
    Some((name.trim().parse().ok()?, Some(address.trim()).filter(|a| is_address(a))?.parse().ok()?))
}

/// Parses `SHA256HEX [BUDGET]`.
pub(crate) fn parse_caller_key(text: &str) -> Option<(&str, Option<&str>)> {
    let mut words = text.split_whitespace();
    let digest = words.next().filter(|digest| is_digest(digest))?;
    let budget = words.next();
    if words.next().is_some() || !budget.is_none_or(is_budget_name) {
        return None;
    }
    Some((digest, budget))
}
