//! A stand-in of the platform's store: topics of one partition, in memory.

use std::collections::BTreeMap;
use std::io;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Message;
use crate::http::read_request;
use crate::http::respond;

const OPERATOR_TOPIC: &str = "keyed.op";
const SERVER_TOPIC: &str = "keyed.servers";
const HEARTBEAT: Duration = Duration::from_millis(1_200);

type Topics = BTreeMap<String, Vec<Vec<u8>>>;

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    inner: Arc<Inner>,
}

#[derive(Default)]
struct Inner {
    topics: Mutex<Topics>,
    changed: Condvar,
    /// What each server writes of itself.
    servers: Mutex<BTreeMap<String, ServerText>>,
}

/// What a server writes of itself.
#[derive(Clone)]
pub struct ServerText {
    pub service: String,
    pub address: SocketAddr,
    pub slots: u32,
    pub state: &'static str,
    /// Name of the model that it runs; empty for a plain service.
    pub model: String,
    pub weights: u64,
    pub sequence: u64,
}

impl ServerText {
    fn json(&self) -> String {
        let models = match self.model.is_empty() {
            true => String::new(),
            false => format!(
                "{{\"name\":\"{}\",\"version\":{},\"adapters\":[]}}",
                self.model, self.weights
            ),
        };
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"north\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{}\",\"coldRemainingMs\":0,\"born\":1700000000000,\"models\":[{models}],\"sequence\":{}}}",
            self.service, self.address, self.slots, self.state, self.sequence
        )
    }
}

impl Store {
    pub fn start() -> io::Result<Store> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let store = Store { address, inner: Arc::default() };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream, false));
            }
        });
        let beating = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                beating.write_heartbeats();
            }
        });
        Ok(store)
    }

    /// Another address of the store, for a host whose way to the servers leads over links of its own: their addresses are
    /// told there with the IP address 127.0.0.2 in place of 127.0.0.1.
    pub fn start_view(&self) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve(stream, true));
            }
        });
        Ok(address)
    }

    /// Keys of a topic.
    pub fn keys(&self, topic: &str) -> Vec<String> {
        let topics = self.inner.topics.lock().unwrap();
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let key = |record: &Vec<u8>| {
            let (length, rest) = record.split_first()?;
            rest.get(..usize::from(*length)).map(|key| String::from_utf8_lossy(key).into_owned())
        };
        records.iter().filter_map(key).collect()
    }

    /// Publishes a configuration.
    pub fn put_config(&self, json: &str) {
        self.put(OPERATOR_TOPIC, "config", json.as_bytes());
    }

    /// Writes what a server says of itself, now and with each heartbeat.
    pub fn put_server(&self, name: &str, text: ServerText) {
        self.put(SERVER_TOPIC, name, text.json().as_bytes());
        self.inner.servers.lock().unwrap().insert(name.to_owned(), text);
    }

    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        self.inner.topics.lock().unwrap().entry(topic.to_owned()).or_default().push(record);
        self.inner.changed.notify_all();
    }

    fn write_heartbeats(&self) {
        let mut servers = self.inner.servers.lock().unwrap();
        let texts: Vec<(String, String)> = servers
            .iter_mut()
            .map(|(name, text)| {
                text.sequence += 1;
                (name.clone(), text.json())
            })
            .collect();
        drop(servers);
        for (name, json) in texts {
            self.put(SERVER_TOPIC, &name, json.as_bytes());
        }
    }

    fn serve(&self, stream: TcpStream, is_view: bool) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            let (status, body) = self.answer(&request, is_view);
            let headers = [("store-era", "1"), ("content-type", "application/json")];
            if respond(&mut writer, status, &headers, &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, is_view: bool) -> (&'static str, Vec<u8>) {
        let topic = request.query("topic").unwrap_or_default();
        let linked = is_view && topic == SERVER_TOPIC;
        match request.path() {
            "/log-append" => self.append(&topic, request),
            "/log-read" => self.read(&topic, request, linked),
            "/log-newest" => self.newest(&topic, request, linked),
            _ => ("404 Not Found", Vec::new()),
        }
    }

    fn append(&self, topic: &str, request: &Message) -> (&'static str, Vec<u8>) {
        if topic == OPERATOR_TOPIC || topic == SERVER_TOPIC {
            return ("403 Forbidden", Vec::new());
        }
        let mut topics = self.inner.topics.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        let at = request.query("at").and_then(|text| text.parse::<usize>().ok());
        if at.is_some_and(|at| at != records.len()) {
            let body = format!("{{\"end\":{}}}", records.len());
            return ("412 Precondition Failed", body.into_bytes());
        }
        let offset = records.len();
        let mut rest = &request.body[..];
        while let Some((length, after)) = rest.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            let (record, next) = after.split_at(length.min(after.len()));
            records.push(record.to_vec());
            rest = next;
        }
        let body = format!("{{\"offset\":{offset},\"end\":{}}}", records.len());
        drop(topics);
        self.inner.changed.notify_all();
        ("200 OK", body.into_bytes())
    }

    fn read(&self, topic: &str, request: &Message, linked: bool) -> (&'static str, Vec<u8>) {
        let number = |name: &str| request.query(name).and_then(|text| text.parse::<u64>().ok());
        let from = number("from").unwrap_or_default() as usize;
        let max_bytes = number("maxKb").unwrap_or(1_024) as usize * 1_024;
        let deadline = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or_default());
        let mut topics = self.inner.topics.lock().unwrap();
        loop {
            let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
            let left = deadline.saturating_duration_since(Instant::now());
            if from < records.len() || left.is_zero() {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for record in records.iter().skip(from).map(|record| seen_from(record, linked)) {
                    if max_bytes < body.len() + record.len() {
                        break;
                    }
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(&record);
                }
                return ("200 OK", body);
            }
            topics = self.inner.changed.wait_timeout(topics, left).unwrap().0;
        }
    }

    fn newest(&self, topic: &str, request: &Message, linked: bool) -> (&'static str, Vec<u8>) {
        let topics = self.inner.topics.lock().unwrap();
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest: BTreeMap<String, (usize, Vec<u8>)> = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let Some((length, rest)) = record.split_first() else { continue };
            let (key, value) = rest.split_at(usize::from(*length).min(rest.len()));
            let key = String::from_utf8_lossy(key).into_owned();
            match value.is_empty() {
                true => newest.remove(&key),
                false => newest.insert(key, (offset, value.to_vec())),
            };
        }
        let after = request.query("after");
        let listed = newest.iter().filter(|(key, _)| after.as_ref().is_none_or(|after| after < key));
        let items: Vec<String> = listed
            .map(|(key, (offset, value))| {
                let value = base64(&seen_from(value, linked));
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let (items, end) = (items.join(","), records.len());
        ("200 OK", format!("{{\"items\":[{items}],\"hasMore\":false,\"end\":{end}}}").into_bytes())
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or_default());
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    text
}

/// A record as a host with links of its own sees it.
fn seen_from(record: &[u8], linked: bool) -> Vec<u8> {
    const PLAIN: &[u8] = b"\"127.0.0.1:";
    const LINKED: &[u8] = b"\"127.0.0.2:";
    let mut seen = record.to_vec();
    if let Some(start) = seen.windows(PLAIN.len()).position(|bytes| bytes == PLAIN)
        && linked
    {
        seen[start..start + PLAIN.len()].copy_from_slice(LINKED);
    }
    seen
}
