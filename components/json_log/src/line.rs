//! Formats a log record as one line of JSON.

use log::{
    Record,
    kv::{self, Key, Value, VisitSource},
};
use serde_json::{Map, Value as Json};

/// Collects the key-value pairs of a record.
struct Collector(Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for Collector {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        self.0.insert(key.as_str().to_owned(), to_json(&value));
        Ok(())
    }
}

/// Formats a record with its time, level, message and key-value pairs.
pub fn format_line(millis: u64, record: &Record<'_>) -> Vec<u8> {
    let mut collector = Collector(Map::new());
    collector.0.insert("ts_ms".to_owned(), millis.into());
    collector.0.insert("level".to_owned(), record.level().as_str().into());
    collector.0.insert("msg".to_owned(), record.args().to_string().into());
    // The only possible error is one of the collector, which returns none.
    let _ = record.key_values().visit(&mut collector);
    let mut line = Json::Object(collector.0).to_string().into_bytes();
    line.push(b'\n');
    line
}

fn to_json(value: &Value<'_>) -> Json {
    if let Some(number) = value.to_u64() {
        return number.into();
    }
    if let Some(number) = value.to_i64() {
        return number.into();
    }
    if let Some(flag) = value.to_bool() {
        return flag.into();
    }
    value.to_string().into()
}
