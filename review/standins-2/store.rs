//! Stand-in of the platform's store, as the users' page of the protocol describes it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use super::http;
use super::http::Reply;
use super::http::Request;
use super::json::Value;
use super::json::quote;
use super::record::Record;

/// Limits of the settings: `platform.record-bytes` and `platform.call-bytes`.
const RECORD_BYTES: usize = 262_144;
const CALL_BYTES: usize = 2_097_152;
/// Time of an answer, and of an append.
const ANSWER_TIME: Duration = Duration::from_millis(4);
const APPEND_TIME: Duration = Duration::from_millis(3);
/// Partitions of a topic, `platform.parts`.
const PARTS: usize = 16;
/// Largest page of a list of keys.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

struct StoredRecord {
    body: Vec<u8>,
    at: Instant,
}

#[derive(Default)]
struct Topic {
    first: u64,
    records: Vec<StoredRecord>,
    /// Newest value and offset of each key; only of topics with keys.
    newest: BTreeMap<Vec<u8>, (Vec<u8>, u64)>,
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn drop_first(&mut self, count: usize) {
        self.records.drain(..count);
        self.first += count as u64;
    }
}

#[derive(Default)]
struct Group {
    generation: u64,
    /// Topics and end of life of each member.
    members: BTreeMap<String, (Vec<String>, Instant)>,
}

impl Group {
    fn expire(&mut self) {
        let count = self.members.len();
        self.members.retain(|_, (_, until)| Instant::now() < *until);
        self.generation += u64::from(self.members.len() < count);
    }

    /// Rows of topic, partition and member; the members of a topic share it evenly.
    fn rows(&self) -> Vec<(String, usize, String)> {
        let mut by_topic: BTreeMap<&String, Vec<&String>> = BTreeMap::new();
        for (member, (topics, _)) in &self.members {
            for topic in topics {
                by_topic.entry(topic).or_default().push(member);
            }
        }
        let mut rows = Vec::new();
        for (topic, members) in by_topic {
            for part in 0..PARTS {
                rows.push((topic.clone(), part, members[part % members.len()].clone()));
            }
        }
        rows
    }
}

/// Appends with this text get no answer and are carried out late.
struct LateAppends {
    text: Vec<u8>,
    count: usize,
    delay: Duration,
}

#[derive(Default)]
struct State {
    topics: BTreeMap<String, Topic>,
    groups: BTreeMap<String, Group>,
    late: Option<LateAppends>,
    /// Number of times that open reads were cut.
    cuts: u64,
    /// Write calls so far, and those of them that got no answer.
    writes: u64,
    unanswered: u64,
    /// Appends refused because they were too large.
    oversized: u64,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    appending: Mutex<()>,
    keep: Duration,
    record: Record,
}

impl Store {
    /// Starts a store that keeps `keep` of history.
    pub fn start(address: SocketAddr, keep: Duration, record: Record) -> Arc<Self> {
        let store = Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            appending: Mutex::new(()),
            keep,
            record,
        });
        let served = Arc::clone(&store);
        http::serve(address, Arc::new(move |request| Arc::clone(&served).answer(request)));
        store
    }

    /// Writes a value as the operator does.
    pub fn write_key(&self, topic: &str, key: &str, value: &str) {
        let mut body = vec![key.len() as u8];
        body.extend(key.bytes());
        body.extend(value.bytes());
        self.append(topic, vec![body]);
    }

    /// Drops the history of all topics without keys, and cuts the open reads.
    pub fn forget_history(&self) {
        let mut state = self.state();
        for (name, topic) in state.topics.iter_mut().filter(|(name, _)| !name.starts_with("keyed."))
        {
            let count = topic.records.len();
            topic.drop_first(count);
            self.record
                .line(format!("store: forgets {count} records of {name}, up to {}", topic.first));
        }
        state.cuts += 1;
        drop(state);
        self.changed.notify_all();
    }

    /// Leaves the next `count` appends that contain `text` unanswered, and carries each out after `delay`.
    pub fn delay_appends(&self, text: &str, count: usize, delay: Duration) {
        self.state().late = Some(LateAppends { text: text.as_bytes().to_vec(), count, delay });
    }

    /// Write calls so far, and those of them that got no answer.
    pub fn write_counts(&self) -> (u64, u64) {
        let state = self.state();
        (state.writes, state.unanswered)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn append(&self, name: &str, bodies: Vec<Vec<u8>>) -> (u64, u64) {
        let _appending = self.appending.lock().unwrap();
        thread::sleep(APPEND_TIME);
        let mut state = self.state();
        let topic = state.topics.entry(name.to_owned()).or_default();
        let offset = topic.end();
        for body in bodies {
            if name.starts_with("keyed.") {
                let at = topic.end();
                let key_end = 1 + usize::from(body[0]);
                let (key, value) = (body[1..key_end].to_vec(), body[key_end..].to_vec());
                if value.is_empty() {
                    topic.newest.remove(&key);
                } else {
                    topic.newest.insert(key, (value, at));
                }
            }
            topic.records.push(StoredRecord { body, at: Instant::now() });
        }
        let end = topic.end();
        drop(state);
        self.changed.notify_all();
        (offset, end)
    }

    fn expire(&self, topic: &mut Topic) {
        let count =
            topic.records.iter().take_while(|record| record.at.elapsed() > self.keep).count();
        topic.drop_first(count);
    }

    fn answer(self: Arc<Self>, request: Request) -> Reply {
        thread::sleep(ANSWER_TIME);
        match request.path.as_str() {
            "/cuminbarrow/log-append" => self.answer_append(&request),
            "/cuminbarrow/log-read" => self.answer_read(&request),
            "/cuminbarrow/log-newest" => self.answer_newest(&request),
            "/cuminbarrow/log-join" => self.answer_join(&request),
            "/cuminbarrow/log-owners" => self.answer_owners(&request),
            _ => Reply::json(404, "{}"),
        }
    }

    fn answer_append(self: Arc<Self>, request: &Request) -> Reply {
        let topic = request.parameter("topic").unwrap_or_default().to_owned();
        self.state().writes += 1;
        if topic == "keyed.op" || topic == "keyed.servers" {
            return Reply::json(403, "{}");
        }
        if request.body.len() > CALL_BYTES {
            self.record_oversized(&topic, request.body.len());
            return Reply::json(413, "{\"reason\":\"call-bytes\"}");
        }
        let Some(bodies) = split_records(&request.body) else { return Reply::json(400, "{}") };
        if let Some(body) = bodies.iter().find(|body| body.len() > RECORD_BYTES) {
            self.record_oversized(&topic, body.len());
            return Reply::json(413, "{\"reason\":\"record-bytes\"}");
        }
        let mut state = self.state();
        if let Some(late) = &mut state.late
            && late.count > 0
            && request.body.windows(late.text.len()).any(|part| part == late.text)
        {
            late.count -= 1;
            let delay = late.delay;
            state.unanswered += 1;
            drop(state);
            self.record.line(format!(
                "store: leaves an append to {topic} unanswered, carries it out {} ms later",
                delay.as_millis()
            ));
            let store = Arc::clone(&self);
            thread::spawn(move || {
                thread::sleep(delay);
                let (offset, _) = store.append(&topic, bodies);
                store
                    .record
                    .line(format!("store: carries out the late append to {topic} at {offset}"));
            });
            return Reply::Silence;
        }
        drop(state);
        let (offset, end) = self.append(&topic, bodies);
        Reply::json(200, format!("{{\"offset\":{offset},\"end\":{end}}}"))
    }

    /// Records a call that is too large, one in 100.
    fn record_oversized(&self, topic: &str, bytes: usize) {
        let mut state = self.state();
        state.oversized += 1;
        if state.oversized % 100 == 1 {
            let count = state.oversized;
            self.record.line(format!("store: refuses {bytes} bytes for {topic}, the {count}th call or record that is too large"));
        }
    }

    fn answer_read(&self, request: &Request) -> Reply {
        let number = |name: &str| request.parameter(name).and_then(|text| text.parse::<u64>().ok());
        let name = request.parameter("topic").unwrap_or_default();
        let from = number("from").unwrap_or(0);
        let max_bytes = number("max-kb").unwrap_or(1_024) as usize * 1_024;
        let until =
            Instant::now() + Duration::from_millis(number("wait-ms").unwrap_or(0).min(30_000));
        let mut state = self.state();
        let cuts = state.cuts;
        loop {
            let topic = state.topics.entry(name.to_owned()).or_default();
            self.expire(topic);
            if from < topic.first {
                return Reply::json(410, format!("{{\"first\":{}}}", topic.first));
            }
            let now = Instant::now();
            if from < topic.end() || now >= until {
                let mut body = Vec::new();
                body.extend(topic.end().to_be_bytes());
                body.extend(topic.first.to_be_bytes());
                let mut bytes = 0;
                for record in topic.records.iter().skip((from - topic.first) as usize) {
                    bytes += record.body.len() + 4;
                    if bytes > max_bytes && body.len() > 16 {
                        break;
                    }
                    body.extend((record.body.len() as u32).to_be_bytes());
                    body.extend(&record.body);
                }
                return Reply::Answer(200, body);
            }
            state = self.changed.wait_timeout(state, until - now).unwrap().0;
            if state.cuts != cuts {
                return Reply::Close;
            }
        }
    }

    fn answer_newest(&self, request: &Request) -> Reply {
        let name = request.parameter("topic").unwrap_or_default();
        let cursor = request.parameter("depends-on").map(|key| key.as_bytes().to_vec());
        let mut state = self.state();
        let topic = state.topics.entry(name.to_owned()).or_default();
        let mut items = Vec::new();
        let mut bytes = 0;
        let mut has_more = false;
        for (key, (value, offset)) in &topic.newest {
            if cursor.as_ref().is_some_and(|cursor| key <= cursor) {
                continue;
            }
            let item = format!(
                "{{\"key\":{},\"value\":\"{}\",\"offset\":{offset}}}",
                quote(&String::from_utf8_lossy(key)),
                base64(value)
            );
            bytes += item.len();
            if !items.is_empty() && (items.len() == PAGE_ITEMS || bytes > PAGE_BYTES) {
                has_more = true;
                break;
            }
            items.push(item);
        }
        let items = items.join(",");
        Reply::json(
            200,
            format!("{{\"items\":[{items}],\"has-more\":{has_more},\"end\":{}}}", topic.end()),
        )
    }

    fn answer_join(&self, request: &Request) -> Reply {
        let Some(body) = Value::parse(&request.body) else { return Reply::json(400, "{}") };
        let (Some(name), Some(member)) = (body.text("group"), body.text("member")) else {
            return Reply::json(400, "{}");
        };
        let topics: Vec<String> = body.list("topics").iter().filter_map(text_of).collect();
        let ttl = Duration::from_millis(body.number("ttl-ms").unwrap_or(3_000).max(1_000));
        let mut state = self.state();
        let group = state.groups.entry(name.to_owned()).or_default();
        group.expire();
        let joined = (topics.clone(), Instant::now() + ttl);
        let known = group.members.insert(member.to_owned(), joined);
        group.generation += u64::from(known.is_none_or(|(known, _)| known != topics));
        let own = group.rows().into_iter().filter(|(_, _, owner)| owner == member);
        let parts: Vec<String> =
            own.map(|(topic, part, _)| format!("[{},{part},0]", quote(&topic))).collect();
        Reply::json(
            200,
            format!("{{\"generation\":{},\"parts\":[{}]}}", group.generation, parts.join(",")),
        )
    }

    fn answer_owners(&self, request: &Request) -> Reply {
        let name = request.parameter("group").unwrap_or_default();
        let mut state = self.state();
        let group = state.groups.entry(name.to_owned()).or_default();
        group.expire();
        let rows = group.rows().into_iter();
        let rows: Vec<String> = rows
            .map(|(topic, part, member)| format!("[{},{part},{},0]", quote(&topic), quote(&member)))
            .collect();
        Reply::json(200, format!("{{\"parts\":[{}]}}", rows.join(",")))
    }
}

fn text_of(value: &Value) -> Option<String> {
    match value {
        Value::Text(text) => Some(text.clone()),
        _ => None,
    }
}

fn split_records(mut body: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut records = Vec::new();
    while !body.is_empty() {
        let (length, rest) = body.split_first_chunk::<4>()?;
        let (record, rest) = rest.split_at_checked(u32::from_be_bytes(*length) as usize)?;
        records.push(record.to_vec());
        body = rest;
    }
    Some(records)
}

fn base64(bytes: &[u8]) -> String {
    const SYMBOLS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for part in bytes.chunks(3) {
        let group = part
            .iter()
            .enumerate()
            .fold(0_u32, |group, (index, byte)| group | u32::from(*byte) << (16 - 8 * index));
        for index in 0..4 {
            let symbol = SYMBOLS[(group >> (18 - 6 * index)) as usize & 63];
            text.push(if index <= part.len() { symbol as char } else { '=' });
        }
    }
    text
}
