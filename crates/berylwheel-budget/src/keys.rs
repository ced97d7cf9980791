//! Serialization of bill keys as 16 bytes. Their text form would double the size of a page.

use std::collections::BTreeMap;

use berylwheel_types::BillKey;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serializer;
use serde::de::Error;

use crate::KeyMark;

fn to_bytes(key: &BillKey) -> [u8; 16] {
    // `BillKey` displays as 32 hexadecimal digits, so the conversion cannot fail.
    u128::from_str_radix(&key.to_string(), 16).unwrap_or_default().to_be_bytes()
}

pub(crate) fn serialize<S: Serializer>(
    keys: &BTreeMap<BillKey, KeyMark>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.collect_seq(keys.iter().map(|(key, mark)| (to_bytes(key), mark)))
}

pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<BTreeMap<BillKey, KeyMark>, D::Error> {
    let entries = Vec::<([u8; 16], KeyMark)>::deserialize(deserializer)?;
    let parse = |(bytes, mark): ([u8; 16], KeyMark)| {
        let key = format!("{:032x}", u128::from_be_bytes(bytes)).parse();
        key.map(|key| (key, mark)).map_err(D::Error::custom)
    };
    entries.into_iter().map(parse).collect()
}
