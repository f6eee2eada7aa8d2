//! `explain --unsent`: previews of jobs at the product's entries and at those of the users' platform.

use std::path::PathBuf;
use std::process::Command;
use std::sync::Arc;
use std::sync::Mutex;

use axum::Router;
use axum::body::Bytes;
use axum::http::HeaderMap;
use axum::http::StatusCode;
use axum::http::Uri;
use axum::routing::post;
use cuminbarrow_entry::api_types::PhaseName;
use cuminbarrow_entry::api_types::StatusView;
use cuminbarrow_entry::api_types::SubmitBody;
use cuminbarrow_model::team::Guarantee;
use cuminbarrow_model::team::TeamSpec;
use expect_test::expect;
use serde_json::Value;
use serde_json::json;

use crate::cluster_builder::Cluster;
use crate::cluster_builder::ClusterBuilder;
use crate::cluster_builder::eventually;
use crate::cluster_builder::job_body;
use crate::cluster_builder::plain_sheet;

/// Path of a new file.
fn unsent_file(name: &str, content: &[u8]) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("unsent-{name}.json"));
    std::fs::write(&path, content).unwrap();
    path
}

/// Preview of a job, as soon as an entry permits one.
async fn preview(cluster: &Cluster, name: &str, body: &SubmitBody) -> Value {
    let file = unsent_file(name, &serde_json::to_vec(body).unwrap());
    let path = file.display().to_string();
    eventually("a preview is permitted", async || {
        let run = cluster.run_client(&["--json", "explain", "--unsent", &path]);
        let is_limited = run.exit_code == Some(3) && run.errors.contains("preview_limited");
        assert!(is_limited || run.exit_code == Some(0), "{run:?}");
        serde_json::from_str(&run.output).ok()
    })
    .await
}

/// Fails if the product's entry previews another outcome than that of the submission, submits the job,
/// hides what is stopped for it, or serves a team without its permission.
#[tokio::test(flavor = "multi_thread")]
async fn product_entry_previews_a_job_without_submitting_it() {
    let cluster = ClusterBuilder::new().agents(3).start().await;
    let caller = cluster.caller();
    let starts = preview(&cluster, "starts", &job_body(2, 8, "x")).await;
    assert_eq!((&starts["outcome"], &starts["expected_wait_ms"]), (&"starts".into(), &0.into()));
    assert_eq!(starts["placements"].as_array().unwrap().len(), 2, "{starts}");
    let impossible = preview(&cluster, "impossible", &job_body(1, 9, "x")).await;
    assert_eq!(impossible["outcome"], "impossible");
    assert_eq!(impossible["exclusions"][0]["workers"], 3, "{impossible}");
    caller.submit("running", &job_body(3, 8, "run_ms=60000")).await.unwrap();
    cluster.wait_for_phase("running", PhaseName::Running).await;
    let waits = preview(&cluster, "waits", &job_body(3, 8, "x")).await;
    assert_eq!(waits["outcome"], "waits", "{waits}");
    assert_eq!(waits["reason"], "no span has room for its shape");
    assert_eq!(waits["exclusions"][0]["reason"], "0 of 8 accelerators free");
    assert!(waits["expected_wait_ms"].is_u64() && waits["state_age_ms"].is_u64(), "{waits}");
    let status: StatusView = cluster.operator().get("/v1/status").await.unwrap();
    assert_eq!((status.pending, status.placed), (0, 1), "only the submitted job");
    let (mut foreign, mut sheet) = (job_body(3, 8, "x"), plain_sheet(1, 100));
    foreign.team = "other".into();
    let body = serde_json::to_vec(&foreign).unwrap();
    let refused = caller.post_bytes::<Value>("/v1/jobs/explain", body).await.unwrap_err();
    assert!(refused.to_string().contains("forbidden"), "{refused}");
    let guarantee = Guarantee { name: "all".into(), shape: foreign.job.shape, count: 1 };
    let other = TeamSpec { name: "other".into(), guarantees: vec![guarantee], max_pending: 1 };
    sheet.sheet.teams.push(other);
    cluster.operator().apply_sheet(&sheet).await.unwrap();
    let reclaims = preview(&cluster, "reclaims", &foreign).await;
    let stopped = json!([{ "job": "1", "tasks": 3 }]);
    assert_eq!(reclaims["preemptions"], stopped, "{reclaims}");
}

/// Fails if the client changes the file, drops the queue or team, sends its token to a metrics address, or
/// hides the reason of a refusal.
#[tokio::test(flavor = "multi_thread")]
async fn client_sends_the_file_unmodified_to_an_entry_of_the_platform() {
    let answer = r#"{"instance":"entry-0","state_age_ms":12,"outcome":"waits","reason":"no room",
        "placements":[],"preemptions":[{"job":"0000000000000001","tasks":2}],
        "exclusions":[{"reason":"it is draining","workers":7,"examples":["w1","w2"]}],
        "waiting_before":3,"expected_wait_ms":2500,"retry_after_s":null}"#;
    let seen: Arc<Mutex<Vec<(String, bool, Bytes)>>> = Arc::default();
    let recorder = Arc::clone(&seen);
    let explain = move |uri: Uri, headers: HeaderMap, body: Bytes| {
        let has_token = headers.contains_key("authorization");
        recorder.lock().unwrap().push((uri.to_string(), has_token, body));
        let refusal = (StatusCode::BAD_REQUEST, r#"{"error":"there is no such queue"}"#);
        let is_known = uri.to_string().contains("team");
        std::future::ready(if is_known { (StatusCode::OK, answer) } else { refusal })
    };
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let entry = format!("http://{}", listener.local_addr().unwrap());
    let server = Router::new().route("/explain", post(explain));
    tokio::spawn(async move { axum::serve(listener, server).await });
    let content = b"{ \"steps\" : [ ] ,\t\"future\": 1}\n";
    let file = unsent_file("platform", content);
    let run = |arguments: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_cuminbarrow"));
        command.env("CUMINBARROW_TOKEN", "secret").args(["--entry", &entry, "explain"]);
        command.arg("--unsent").arg(&file).args(arguments).output().unwrap()
    };
    let shown = run(&["--queue", "a b&c", "--team", "t/1"]);
    expect![[r#"
        outcome           waits
        reason            no room
        waiting before    3
        expected wait     2500 ms
        entry             entry-0
        age of its state  12 ms

        Running tasks that would be stopped for it:
        JOB               TASKS
        0000000000000001  2

        Workers that take none of its tasks now:
        WORKERS  RULE            EXAMPLES
        7        it is draining  w1,w2
    "#]]
    .assert_eq(&String::from_utf8_lossy(&shown.stdout));
    let refused = run(&["--queue", "none"]);
    assert_eq!(refused.status.code(), Some(3));
    assert!(String::from_utf8_lossy(&refused.stderr).contains("there is no such queue"));
    let seen = seen.lock().unwrap();
    let first =
        ("/explain?queue=a%20b%26c&team=t%2F1".to_owned(), false, Bytes::from_static(content));
    assert_eq!(seen.first(), Some(&first));
    assert_eq!(run(&["--team", "t1"]).status.code(), Some(1), "a team without a queue");
}
