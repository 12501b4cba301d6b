//! Log lines as JSON objects with the time, level, module and event, and a field for
//! each key-value pair of the record.

use std::{
    io,
    sync::Arc,
    time::SystemTime, //
};

use flexi_logger::{
    DeferredNow,
    writers::LogWriter, //
};
use log::{
    Record,
    kv::{
        Key,
        Value,
        VisitSource, //
    },
};
use serde_json::{
    Map,
    Value as Json, //
};

use super::LogQueue;

/// Formats records of the `log` crate as JSON and enqueues them.
pub(super) struct Writer(Arc<LogQueue>);

impl Writer {
    pub(super) fn new(queue: Arc<LogQueue>) -> Self {
        Self(queue)
    }
}

impl LogWriter for Writer {
    fn write(&self, _now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let event = record.args().to_string();
        let mut line = begin_line(record.level().as_str(), record.target(), event);
        // Collecting the fields never fails; a number that JSON cannot represent becomes null.
        let _ = record.key_values().visit(&mut FieldCollector(&mut line));
        self.0.push(end_line(line));
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}

/// Formats the line that reports the number of dropped lines.
pub(super) fn dropped_line(count: u64) -> String {
    let mut line = begin_line("WARN", module_path!(), "lines dropped".to_owned());
    line.insert("count".to_owned(), count.into());
    end_line(line)
}

/// Visitor that adds the key-value pairs of a record to a JSON object.
struct FieldCollector<'a>(&'a mut Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for FieldCollector<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let json = if let Some(n) = value.to_u64() {
            n.into()
        } else if let Some(n) = value.to_f64() {
            n.into()
        } else if let Some(b) = value.to_bool() {
            b.into()
        } else {
            value.to_string().into()
        };
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}

fn begin_line(level: &str, at: &str, event: String) -> Map<String, Json> {
    let time = humantime::format_rfc3339_millis(SystemTime::now());
    let mut line = Map::new();
    line.insert("time".to_owned(), time.to_string().into());
    line.insert("level".to_owned(), level.into());
    line.insert("at".to_owned(), at.into());
    line.insert("event".to_owned(), event.into());
    line
}

fn end_line(line: Map<String, Json>) -> String {
    let mut text = Json::Object(line).to_string();
    text.push('\n');
    text
}
