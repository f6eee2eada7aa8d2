//! Cases of the review that need real processes. Usage: `cases NAME FOLDER`, in the repository's root.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With `TROUBLE=0` the
//! disruption is left out.

mod deploy;
mod http;
mod json;
mod record;
mod store;
mod worker;

mod flood;
mod moved_queue;
mod other_writer;
mod renamed_route;
mod wide_job;

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use deploy::Trouble;
use record::Record;

/// How long callers wait for an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// What a case has shown.
pub enum Verdict {
    Held,
    Broken(String),
}

/// What a case runs with.
pub struct Case {
    pub root: PathBuf,
    pub record: Record,
    /// Whether the disruption happens.
    pub has_trouble: bool,
}

impl Case {
    /// Submits a job to an entry; 0 for no answer.
    pub fn submit(&self, entry: SocketAddr, path: &str, body: &str) -> u16 {
        let headers = [("Host", deploy::HOST), ("Key", deploy::KEY), ("Deadline-Ms", "3000")];
        let answer = http::call(entry, "POST", path, &headers, body.as_bytes(), CALL_TIMEOUT);
        let status = answer.map_or(0, |(status, _)| status);
        self.record.line(&format!("caller POST {path} ({} bytes) -> {status}", body.len()));
        status
    }
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let (Some(name), Some(folder)) = (words.get(1), words.get(2)) else {
        eprintln!("usage: cases NAME FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match Record::create(&Path::new(folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    record.line(if has_trouble { "with the disruption" } else { "without the disruption" });
    let root = std::env::current_dir().unwrap_or_default();
    let case = Case { root, record: record.clone(), has_trouble };
    let result = match name.as_str() {
        "flood" => flood::run(&case),
        "moved-queue" => moved_queue::run(&case),
        "other-writer" => other_writer::run(&case),
        "wide-job" => wide_job::run(&case),
        "renamed-route" => renamed_route::run(&case),
        _ => Err(Trouble(format!("there is no case {name}"))),
    };
    let (text, code) = match result {
        Ok(Verdict::Held) => ("held".to_owned(), 0),
        Ok(Verdict::Broken(what)) => (format!("BROKEN: {what}"), 1),
        Err(Trouble(what)) => (format!("could not run: {what}"), 2),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
