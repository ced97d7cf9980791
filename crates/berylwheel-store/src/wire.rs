//! Messages of the JSON gateway of etcd v3. Fields with default values are omitted, 64-bit integers
//! are decimal strings, and byte strings are base64.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

use crate::Entry;

/// A byte string, encoded as base64.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Bytes(pub Vec<u8>);

impl Bytes {
    /// Returns whether the byte string is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Converts the bytes of a key to a string.
    ///
    /// # Errors
    /// Fails if the key is not valid UTF-8.
    pub fn into_string(self) -> Result<String, String> {
        String::from_utf8(self.0).map_err(|_| "key is not valid UTF-8".to_owned())
    }
}

impl From<&str> for Bytes {
    fn from(text: &str) -> Self {
        Self(text.as_bytes().to_vec())
    }
}

impl Serialize for Bytes {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Bytes {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let text = String::deserialize(d)?;
        STANDARD.decode(text).map(Self).map_err(serde::de::Error::custom)
    }
}

/// A 64-bit integer, encoded as a decimal string.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Int64(pub u64);

impl Int64 {
    fn is_zero(&self) -> bool {
        self.0 == 0
    }
}

impl Serialize for Int64 {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Int64 {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Form {
            Number(u64),
            Text(String),
        }
        match Form::deserialize(d)? {
            Form::Number(n) => Ok(Self(n)),
            Form::Text(text) => text.parse().map(Self).map_err(serde::de::Error::custom),
        }
    }
}

/// Returns the exclusive end of the range of keys that start with `prefix`.
///
/// ```
/// assert_eq!(berylwheel_store::wire::prefix_end(b"a/").0, b"a0");
/// assert_eq!(berylwheel_store::wire::prefix_end(b"a\xff").0, b"b");
/// ```
pub fn prefix_end(prefix: &[u8]) -> Bytes {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return Bytes(end);
        }
    }
    // In etcd, a range end of a single zero byte means no upper bound.
    Bytes(vec![0])
}

macro_rules! define_messages {
    ($($(#[$doc:meta])* $name:ident { $($(#[$attr:meta])* $field:ident: $kind:ty,)* })*) => {
        $(
            $(#[$doc])*
            #[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
            #[serde(default)]
            #[allow(missing_docs)]
            pub struct $name { $($(#[$attr])* pub $field: $kind,)* }
        )*
    };
}

define_messages! {
    /// The header of a response.
    Header {
        revision: Int64,
    }
    /// A key with its value.
    KeyValue {
        key: Bytes,
        #[serde(skip_serializing_if = "Int64::is_zero")]
        mod_revision: Int64,
        #[serde(skip_serializing_if = "Bytes::is_empty")]
        value: Bytes,
        #[serde(skip_serializing_if = "Int64::is_zero")]
        lease: Int64,
    }
    /// The request of `/v3/kv/range`.
    RangeRequest {
        key: Bytes,
        #[serde(skip_serializing_if = "Bytes::is_empty")]
        range_end: Bytes,
        #[serde(skip_serializing_if = "Int64::is_zero")]
        limit: Int64,
    }
    /// The response of `/v3/kv/range`.
    RangeResponse {
        header: Header,
        #[serde(skip_serializing_if = "Vec::is_empty")]
        kvs: Vec<KeyValue>,
    }
    /// A put operation of a transaction.
    PutRequest {
        key: Bytes,
        value: Bytes,
        #[serde(skip_serializing_if = "Int64::is_zero")]
        lease: Int64,
    }
    /// A delete operation of a transaction.
    DeleteRequest {
        key: Bytes,
    }
    /// A condition of a transaction.
    CompareRequest {
        result: String,
        target: String,
        key: Bytes,
        mod_revision: Int64,
    }
    /// One operation of a transaction.
    RequestOp {
        #[serde(skip_serializing_if = "Option::is_none")]
        request_range: Option<RangeRequest>,
        #[serde(skip_serializing_if = "Option::is_none")]
        request_put: Option<PutRequest>,
        #[serde(skip_serializing_if = "Option::is_none")]
        request_delete_range: Option<DeleteRequest>,
    }
    /// The request of `/v3/kv/txn`.
    TxnRequest {
        compare: Vec<CompareRequest>,
        success: Vec<RequestOp>,
        failure: Vec<RequestOp>,
    }
    /// The result of one operation of a transaction.
    ResponseOp {
        #[serde(skip_serializing_if = "Option::is_none")]
        response_range: Option<RangeResponse>,
    }
    /// The response of `/v3/kv/txn`.
    TxnResponse {
        header: Header,
        #[serde(skip_serializing_if = "std::ops::Not::not")]
        succeeded: bool,
        #[serde(skip_serializing_if = "Vec::is_empty")]
        responses: Vec<ResponseOp>,
    }
    /// The request and response of `/v3/lease/grant`, and the request of `/v3/lease/keepalive` with
    /// the result in its response.
    LeaseMessage {
        #[serde(rename = "ID", skip_serializing_if = "Int64::is_zero")]
        id: Int64,
        #[serde(rename = "TTL", skip_serializing_if = "Int64::is_zero")]
        ttl: Int64,
    }
    /// One message in the response of `/v3/lease/keepalive`.
    KeepAliveResponse {
        result: LeaseMessage,
    }
    /// The key range and start revision of a new watch.
    WatchCreate {
        key: Bytes,
        range_end: Bytes,
        #[serde(skip_serializing_if = "Int64::is_zero")]
        start_revision: Int64,
    }
    /// The request of `/v3/watch`.
    WatchRequest {
        create_request: WatchCreate,
    }
    /// A change reported by a watch.
    Event {
        #[serde(rename = "type", skip_serializing_if = "String::is_empty")]
        kind: String,
        kv: KeyValue,
    }
    /// One batch of events, or a change in the state of the watch.
    WatchResult {
        header: Header,
        #[serde(skip_serializing_if = "std::ops::Not::not")]
        created: bool,
        #[serde(skip_serializing_if = "std::ops::Not::not")]
        canceled: bool,
        #[serde(skip_serializing_if = "Int64::is_zero")]
        compact_revision: Int64,
        #[serde(skip_serializing_if = "Vec::is_empty")]
        events: Vec<Event>,
    }
    /// One line in the response of `/v3/watch`.
    WatchResponse {
        result: WatchResult,
    }
    /// The body of an error response.
    ErrorResponse {
        code: u32,
        message: String,
    }
}

impl KeyValue {
    /// Converts the message to an entry.
    ///
    /// # Errors
    /// Fails if the key is not valid UTF-8.
    pub fn into_entry(self, deleted: bool) -> Result<Entry, String> {
        let (value, revision) = (self.value.0, self.mod_revision.0);
        Ok(Entry { key: self.key.into_string()?, value, revision, deleted })
    }
}

impl From<Entry> for KeyValue {
    fn from(entry: Entry) -> Self {
        Self {
            key: Bytes(entry.key.into_bytes()),
            mod_revision: Int64(entry.revision),
            value: Bytes(entry.value),
            lease: Int64(0),
        }
    }
}

/// Converts the results of a range read, or of the range reads in a transaction, to entries.
///
/// # Errors
/// Fails if a key is not valid UTF-8.
pub fn entries(kvs: Vec<KeyValue>) -> Result<Vec<Entry>, String> {
    kvs.into_iter().map(|kv| kv.into_entry(false)).collect()
}

impl Event {
    /// Converts the event to an entry.
    ///
    /// # Errors
    /// Fails if the key is not valid UTF-8 or the event type is unknown.
    pub fn into_entry(self) -> Result<Entry, String> {
        match self.kind.as_str() {
            "" | "PUT" => self.kv.into_entry(false),
            "DELETE" => self.kv.into_entry(true),
            kind => Err(format!("unknown event type: {kind}")),
        }
    }
}
