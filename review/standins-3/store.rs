//! Stand-in of the platform's store: topics, keyed topics and groups, as the users' pages describe.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Reply;
use crate::http::Request;
use crate::json::Json;

/// Time that an append takes, beside its size.
const APPEND_TIME: Duration = Duration::from_millis(3);
const PART_BYTES_PER_S: f64 = 20e6;
/// How long records are kept.
const KEEP: Duration = Duration::from_secs(20);
const RECORD_BYTES: usize = 262_144;
const CALL_BYTES: usize = 2_097_152;
const STORED_BYTES: usize = 400_000_000;
const PARTS: u64 = 16;
const PAGE_KEYS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

#[derive(Default)]
struct Topic {
    first: u64,
    records: VecDeque<(Instant, Arc<Vec<u8>>)>,
    newest: BTreeMap<String, (Vec<u8>, u64)>,
    bytes: usize,
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn expire(&mut self) {
        while self.records.front().is_some_and(|(at, _)| at.elapsed() > KEEP) {
            if let Some((_, record)) = self.records.pop_front() {
                self.bytes -= record.len();
                self.first += 1;
            }
        }
    }

    fn push(&mut self, record: Vec<u8>, is_keyed: bool) {
        if is_keyed {
            let length = usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..1 + length]).into_owned();
            let value = record[1 + length..].to_vec();
            if value.is_empty() {
                self.newest.remove(&key);
            } else {
                self.newest.insert(key, (value, self.end()));
            }
        }
        self.bytes += record.len();
        self.records.push_back((Instant::now(), Arc::new(record)));
    }

    fn stored_bytes(&self) -> usize {
        self.bytes + self.newest.values().map(|(value, _)| value.len()).sum::<usize>()
    }
}

#[derive(Default)]
struct Group {
    generation: u64,
    members: BTreeMap<String, (BTreeSet<String>, Instant, Duration)>,
}

impl Group {
    fn expire(&mut self) {
        let count = self.members.len();
        self.members.retain(|_, (_, at, ttl)| at.elapsed() < *ttl);
        if self.members.len() != count {
            self.generation += 1;
        }
    }

    /// Rows of topic, partition and member.
    fn rows(&self) -> Vec<(String, u64, String)> {
        let mut joined: BTreeMap<&String, Vec<&String>> = BTreeMap::new();
        for (member, (topics, ..)) in &self.members {
            for topic in topics {
                joined.entry(topic).or_default().push(member);
            }
        }
        let mut rows = Vec::new();
        for (topic, members) in joined {
            for part in 0..PARTS {
                let member = members[part as usize % members.len()];
                rows.push((topic.clone(), part, member.clone()));
            }
        }
        rows
    }
}

#[derive(Default)]
struct Inner {
    topics: BTreeMap<String, Topic>,
    groups: BTreeMap<String, Group>,
}

/// A running stand-in of the store.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<Inner>, Condvar)>,
    appending: Arc<Mutex<BTreeMap<String, Arc<Mutex<()>>>>>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Self {
        let mut store = Store {
            shared: Arc::default(),
            appending: Arc::default(),
            address: "127.0.0.1:1".parse().unwrap(),
        };
        let handler = store.clone();
        store.address = http::serve(None, move |request| handler.handle(request));
        store
    }

    /// Writes a configuration as the operator does.
    pub fn configure(&self, configuration: &str) {
        let mut record = vec![6];
        record.extend(b"config");
        record.extend(configuration.bytes());
        self.push("keyed.op", vec![record]);
    }

    fn push(&self, name: &str, records: Vec<Vec<u8>>) -> (u64, u64) {
        let mut inner = self.shared.0.lock().unwrap();
        let topic = inner.topics.entry(name.to_owned()).or_default();
        let offset = topic.end();
        for record in records {
            topic.push(record, name.starts_with("keyed."));
        }
        let end = topic.end();
        self.shared.1.notify_all();
        (offset, end)
    }

    fn handle(&self, request: &Request) -> Reply {
        match request.path.as_str() {
            "/cuminbarrow/log-append" => self.append(request),
            "/cuminbarrow/log-read" => self.read(request),
            "/cuminbarrow/log-newest" => self.newest(request),
            "/cuminbarrow/log-join" => self.join(request),
            "/cuminbarrow/log-owners" => self.owners(request),
            _ => Reply::json(404, "{}"),
        }
    }

    fn append(&self, request: &Request) -> Reply {
        let name = request.query.get("topic").cloned().unwrap_or_default();
        if name == "keyed.op" || name == "keyed.servers" {
            return Reply::json(403, "{}");
        }
        let mut records = Vec::new();
        let mut rest = &request.body[..];
        while let Some((length, after)) = rest.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            let Some((record, after)) = after.split_at_checked(length) else {
                return Reply::json(400, "{}");
            };
            if length > RECORD_BYTES {
                return Reply::json(413, "{}");
            }
            records.push(record.to_vec());
            rest = after;
        }
        if request.body.len() > CALL_BYTES {
            return Reply::json(413, "{}");
        }
        let turn = Arc::clone(self.appending.lock().unwrap().entry(name.clone()).or_default());
        let turn = turn.lock().unwrap();
        let stored: usize = {
            let mut inner = self.shared.0.lock().unwrap();
            inner.topics.values_mut().for_each(Topic::expire);
            inner.topics.values().map(Topic::stored_bytes).sum()
        };
        if stored + request.body.len() > STORED_BYTES {
            return Reply::json(507, "{}");
        }
        let transfer = Duration::from_secs_f64(request.body.len() as f64 / PART_BYTES_PER_S);
        thread::sleep(APPEND_TIME + transfer);
        let (offset, end) = self.push(&name, records);
        drop(turn);
        Reply::json(200, format!("{{\"offset\":{offset},\"end\":{end}}}"))
    }

    fn read(&self, request: &Request) -> Reply {
        let number = |name: &str| request.query.get(name).and_then(|text| text.parse::<u64>().ok());
        let name = request.query.get("topic").cloned().unwrap_or_default();
        let from = number("from").unwrap_or(0);
        let max_bytes = number("max-kb").unwrap_or(1_024) as usize * 1_024;
        let until = Instant::now() + Duration::from_millis(number("wait-ms").unwrap_or(0));
        let mut inner = self.shared.0.lock().unwrap();
        loop {
            let topic = inner.topics.entry(name.clone()).or_default();
            topic.expire();
            if from < topic.first {
                return Reply::json(410, format!("{{\"first\":{}}}", topic.first));
            }
            let now = Instant::now();
            if from < topic.end() || now >= until {
                let mut body = topic.end().to_be_bytes().to_vec();
                body.extend(topic.first.to_be_bytes());
                let skipped = (from - topic.first) as usize;
                for (_, record) in topic.records.iter().skip(skipped) {
                    if body.len() + record.len() > max_bytes {
                        break;
                    }
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend(record.iter());
                }
                return Reply::Answer(200, body);
            }
            inner = self.shared.1.wait_timeout(inner, until - now).unwrap().0;
        }
    }

    fn newest(&self, request: &Request) -> Reply {
        let name = request.query.get("topic").cloned().unwrap_or_default();
        let cursor = request.query.get("depends-on").cloned();
        let mut inner = self.shared.0.lock().unwrap();
        let topic = inner.topics.entry(name).or_default();
        let mut items = Vec::new();
        let mut bytes = 0;
        let mut has_more = false;
        for (key, (value, offset)) in &topic.newest {
            if cursor.as_ref().is_some_and(|cursor| key <= cursor) {
                continue;
            }
            if items.len() == PAGE_KEYS || (bytes > 0 && bytes + value.len() > PAGE_BYTES) {
                has_more = true;
                break;
            }
            bytes += value.len();
            let key = Json::Text(key.clone());
            let value = base64(value);
            items.push(format!("{{\"key\":{key},\"value\":\"{value}\",\"offset\":{offset}}}"));
        }
        let (items, end) = (items.join(","), topic.end());
        Reply::json(200, format!("{{\"items\":[{items}],\"has-more\":{has_more},\"end\":{end}}}"))
    }

    fn join(&self, request: &Request) -> Reply {
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let mut inner = self.shared.0.lock().unwrap();
        let group = inner.groups.entry(body.get("group").text().to_owned()).or_default();
        group.expire();
        let member = body.get("member").text().to_owned();
        let topics =
            body.get("topics").list().iter().map(|topic| topic.text().to_owned()).collect();
        let ttl = Duration::from_millis(body.get("ttl-ms").number());
        if group.members.get(&member).is_none_or(|(known, ..)| *known != topics) {
            group.generation += 1;
        }
        group.members.insert(member.clone(), (topics, Instant::now(), ttl));
        let rows = group.rows();
        let own = rows.iter().filter(|(_, _, owner)| *owner == member);
        let own: Vec<String> =
            own.map(|(topic, part, _)| format!("[\"{topic}\",{part},0]")).collect();
        let (generation, rows) = (group.generation, own.join(","));
        Reply::json(200, format!("{{\"generation\":{generation},\"parts\":[{rows}]}}"))
    }

    fn owners(&self, request: &Request) -> Reply {
        let mut inner = self.shared.0.lock().unwrap();
        let name = request.query.get("group").cloned().unwrap_or_default();
        let group = inner.groups.entry(name).or_default();
        group.expire();
        let rows: Vec<String> = group
            .rows()
            .into_iter()
            .map(|(topic, part, member)| format!("[\"{topic}\",{part},\"{member}\",0]"))
            .collect();
        Reply::json(200, format!("{{\"parts\":[{}]}}", rows.join(",")))
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let group = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            if index <= chunk.len() {
                text.push(char::from(DIGITS[(group >> (18 - 6 * index) & 63) as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
