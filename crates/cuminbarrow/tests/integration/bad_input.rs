//! Invalid requests are answered with a precise error and change nothing.

use std::time::Duration;

use bytes::Bytes;
use cuminbarrow_entry::api_types::StatusView;
use cuminbarrow_resources::http_client::CallRequest;
use cuminbarrow_resources::http_client::HttpClient;
use expect_test::expect;
use http::Method;
use serde_json::Value;

use crate::cluster_builder::ClusterBuilder;
use crate::cluster_builder::TEAM;
use crate::cluster_builder::job_body;
use crate::cluster_builder::wait_for_end;

struct BadRequest {
    name: &'static str,
    method: Method,
    path: &'static str,
    token: &'static str,
    key: &'static str,
    body: Vec<u8>,
}

fn submission(name: &'static str, body: Vec<u8>) -> BadRequest {
    BadRequest { name, method: Method::POST, path: "/v1/jobs", token: TEAM, key: "bad", body }
}

/// JSON of a valid submission, changed by `change`.
fn json<F>(change: F) -> Vec<u8>
where
    F: FnOnce(&mut Value),
{
    let mut value = serde_json::to_value(job_body(1, 1, "x")).unwrap();
    change(&mut value);
    serde_json::to_vec(&value).unwrap()
}

/// Requests that must be refused, with a name for the expected output.
fn bad_requests() -> Vec<BadRequest> {
    let valid = json(|_| {});
    let other = json(|value| value["job"]["payload"] = "other".into());
    vec![
        submission("malformed JSON", b"{\"team\":".to_vec()),
        submission("unknown field", json(|value| value["job"]["colour"] = "red".into())),
        submission("oversized body", vec![b' '; 70_000]),
        submission("oversized payload", json(|v| v["job"]["payload"] = "x".repeat(1_025).into())),
        submission("other team", json(|value| value["team"] = "gallery".into())),
        submission("too many members", json(|v| v["job"]["shape"]["members"] = 65.into())),
        submission("no members", json(|v| v["job"]["shape"]["members"] = 0.into())),
        submission(
            "impossible shape",
            json(|v| {
                v["job"]["shape"]["per_member"]["accelerators"] = 9.into();
            }),
        ),
        submission("no run time", json(|v| v["job"]["declared_run_ms"] = 0.into())),
        BadRequest { key: "", ..submission("no key", valid.clone()) },
        BadRequest { key: "known", ..submission("same key, other content", other) },
        BadRequest { token: "guess", ..submission("wrong token", valid.clone()) },
        BadRequest {
            method: Method::GET,
            path: "/v1/jobs/gallery/known",
            ..submission("another team's job", Vec::new())
        },
        BadRequest {
            method: Method::GET,
            path: "/v1/jobs/museum/nothing",
            ..submission("unknown job", Vec::new())
        },
        BadRequest {
            path: "/v1/workers/w0/drain",
            ..submission("operator's action by a team", Vec::new())
        },
        BadRequest {
            method: Method::PUT,
            path: "/v1/sheet",
            token: "operator",
            ..submission("stale sheet", br#"{"sheet":{"base":7,"teams":[],"jobs":[]}}"#.to_vec())
        },
        BadRequest {
            method: Method::PUT,
            path: "/v1/sheet",
            token: "operator",
            ..submission(
                "sheet without the team",
                br#"{"sheet":{"base":1,"teams":[],"jobs":[]}}"#.to_vec(),
            )
        },
        BadRequest { method: Method::GET, path: "/v1/nowhere", ..submission("path", Vec::new()) },
    ]
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_return_errors_and_change_nothing() {
    let cluster = ClusterBuilder::new().agents(2).start().await;
    let known = job_body(1, 1, "x");
    cluster.caller().submit("known", &known).await.unwrap();
    wait_for_end(&cluster.caller(), "known").await;
    let client = HttpClient::new(cluster.urls()[0].clone());
    let mut responses = String::new();
    for bad_request in bad_requests() {
        let mut request = CallRequest::post(bad_request.path, Bytes::from(bad_request.body))
            .with_header("authorization", format!("Bearer {}", bad_request.token));
        request.method = bad_request.method;
        if !bad_request.key.is_empty() {
            request = request.with_header("idempotency-key", bad_request.key);
        }
        let response = client.call(request, Duration::from_secs(10)).await.unwrap();
        let text = String::from_utf8(response.body.to_vec()).unwrap();
        responses.push_str(&format!("{}: {text}\n", bad_request.name));
    }
    let status: StatusView = cluster.operator().get("/v1/status").await.unwrap();
    let jobs: Vec<Value> = cluster.operator().get("/v1/jobs").await.unwrap();
    responses.push_str(&format!(
        "afterwards: sheet version {}, {} jobs, {} pending, {} workers up\n",
        status.sheet_version,
        jobs.len(),
        status.pending,
        status.workers_up
    ));
    expect![[r#"
        malformed JSON: {"type":"malformed_body","status":400,"detail":"EOF while parsing a value at line 1 column 8","outcome":"not_run"}
        unknown field: {"type":"malformed_body","status":400,"detail":"unknown field `colour`, expected one of `shape`, `repeatable`, `checkpointable`, `urgent`, `deadline_ms`, `declared_run_ms`, `payload` at line 1 column 39","outcome":"not_run"}
        oversized body: {"type":"body_too_large","status":413,"detail":"the body is larger than this resource takes","outcome":"not_run"}
        oversized payload: {"type":"bad_job","status":400,"detail":"payload must have at most 1024 bytes","outcome":"not_run"}
        other team: {"type":"forbidden","status":403,"detail":"the token does not allow this","outcome":"not_run"}
        too many members: {"type":"shape_impossible","status":422,"detail":"shape 65x(1 accelerators, 1 cores, 1 GiB)/data_centre can never be placed: a gang has 1 to 64 members","outcome":"not_run"}
        no members: {"type":"shape_impossible","status":422,"detail":"shape 0x(1 accelerators, 1 cores, 1 GiB)/data_centre can never be placed: a gang has 1 to 64 members","outcome":"not_run"}
        impossible shape: {"type":"shape_impossible","status":422,"detail":"shape 1x(9 accelerators, 1 cores, 1 GiB)/data_centre can never be placed: no such span of the known workers is large enough","outcome":"not_run"}
        no run time: {"type":"bad_job","status":400,"detail":"declared_run_ms must be at least 1","outcome":"not_run"}
        no key: {"type":"bad_idempotency_key","status":400,"detail":"the header Idempotency-Key is missing","outcome":"not_run"}
        same key, other content: {"type":"key_reused","status":409,"detail":"key \"known\" of team \"museum\" was used for another job","outcome":"not_run"}
        wrong token: {"type":"unauthorized","status":401,"detail":"a known token is needed: Authorization: Bearer TOKEN","outcome":"not_run"}
        another team's job: {"type":"forbidden","status":403,"detail":"the token does not allow this","outcome":"not_run"}
        unknown job: {"type":"not_found","status":404,"detail":"the job is not known","outcome":"not_run"}
        operator's action by a team: {"type":"forbidden","status":403,"detail":"the token does not allow this","outcome":"not_run"}
        stale sheet: {"type":"sheet_stale","status":409,"detail":"the sheet is based on version 7, version 1 by \"operator\" is in force","outcome":"not_run"}
        sheet without the team: {"type":"sheet_removes_too_much","status":409,"detail":"the sheet removes 1 of 1 teams and guarantees, the limit is 200 in 1000","outcome":"not_run"}
        path: {"type":"not_found","status":404,"detail":"the resource is not known","outcome":"not_run"}
        afterwards: sheet version 1, 1 jobs, 0 pending, 2 workers up
    "#]].assert_eq(&responses);
}
