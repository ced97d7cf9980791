//! Serialization of bill keys as 16 bytes. Their text form would double the size of a page.

use std::collections::BTreeMap;

use berylwheel_types::BillKey;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serializer;
use serde::de::Error;

use crate::BilledAt;

fn to_bytes(key: &BillKey) -> [u8; 16] {
    // `BillKey` displays as 32 hexadecimal digits, so the conversion cannot fail.
    u128::from_str_radix(&key.to_string(), 16).unwrap_or_default().to_be_bytes()
}

pub(crate) fn serialize<S: Serializer>(
    keys: &BTreeMap<BillKey, BilledAt>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.collect_seq(keys.iter().map(|(key, billed_at)| (to_bytes(key), billed_at)))
}

pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<BTreeMap<BillKey, BilledAt>, D::Error> {
    let entries = Vec::<([u8; 16], BilledAt)>::deserialize(deserializer)?;
    let parse = |(bytes, billed_at): ([u8; 16], BilledAt)| {
        let key = format!("{:032x}", u128::from_be_bytes(bytes)).parse();
        key.map(|key| (key, billed_at)).map_err(D::Error::custom)
    };
    entries.into_iter().map(parse).collect()
}
