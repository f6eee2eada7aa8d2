//! Output and exit codes of the command-line client for operators.

use cuminbarrow_entry::api_types::PhaseName;
use expect_test::Expect;
use expect_test::expect;

use crate::cluster_builder::Cluster;
use crate::cluster_builder::ClusterBuilder;
use crate::cluster_builder::job_body;
use crate::cluster_builder::wait_for_end;

const SHEET: &str = "\
kind,team,name,count,members,accelerators,cores,memory_gib,slots,connections,span,repeatable,\
checkpointable,urgent,deadline,run_minutes,payload,max_pending
sheet,,2026-12-04,1,,,,,,,,,,,,,,
team,museum,,,,,,,,,,,,,,,,5000
team,galéria,,,,,,,,,,,,,,,,50
guarantee,galéria,mould,1,6,8,1,1,1,1,data_centre,,,,,,,
job,galéria,folio,,1,0,1,1,1,1,worker,yes,no,no,,0.01,,
end,,,5,,,,,,,,,,,,,,
";

/// Runs a command and compares its exit code and output.
fn check(cluster: &Cluster, arguments: &[&str], expected: Expect) {
    let run = cluster.run_client(arguments);
    let text = format!("exit code {:?}\n{}{}", run.exit_code, run.output, run.errors);
    expected.assert_eq(&text);
}

#[tokio::test(flavor = "multi_thread")]
async fn operator_commands_print_expected_output() {
    let cluster = ClusterBuilder::new().start().await;
    let file = std::env::temp_dir().join(format!("cuminbarrow-{}.csv", std::process::id()));
    std::fs::write(&file, SHEET).unwrap();
    let file = file.display().to_string();
    let caller = cluster.caller();
    let running = job_body(6, 8, "run_ms=60000");
    caller.submit("running", &running).await.unwrap();
    cluster.wait_for_phase("running", PhaseName::Running).await;
    check(
        &cluster,
        &["sheet", "diff", &file],
        expect![[r#"
            exit code Some(0)
            based on version 1, version 1 is in force
            + guarantee galéria/mould: 1 of 6x(8 accelerators, 1 cores, 1 GiB)/data_centre
            + team galéria: at most 50 jobs wait
            + job galéria/folio@2026-12-04
            ~ place of galéria/mould: none -> w0,w1,w2,w3,w4,w5
            ! museum/running runs on newly promised room and may be stopped for it
        "#]],
    );
    let applied = cluster.run_client(&["--json", "sheet", "apply", &file]);
    assert_eq!(applied.exit_code, Some(0), "{applied:?}");
    let applied: serde_json::Value = serde_json::from_str(&applied.output).unwrap();
    assert_eq!((&applied["version"], &applied["in_force_on"]), (&2.into(), &2.into()));
    let again = cluster.run_client(&["--json", "sheet", "apply", &file]);
    assert!(again.output.contains("\"version\": 2"), "{again:?}");

    caller.submit("waits", &job_body(6, 8, "x")).await.unwrap();
    check(
        &cluster,
        &["explain", "--team", "museum", "waits"],
        expect![[r#"
            exit code Some(0)
            JOB  TEAM    KEY    PHASE    ATTEMPTS  WORKERS  REASON
            3    museum  waits  Pending  0

            shape             6x(8 accelerators, 1 cores, 1 GiB)/data_centre
            queue position    1
            explanation       no span has room for its shape

            Workers for one member:
            WORKER  STATE
            w0      0 of 8 accelerators free
            w1      0 of 8 accelerators free
            w2      0 of 8 accelerators free
            w3      0 of 8 accelerators free
            w4      0 of 8 accelerators free
            w5      0 of 8 accelerators free
        "#]],
    );
    cluster.operator().post_action("/v1/jobs/museum/running/cancel").await.unwrap();
    wait_for_end(&caller, "running").await;
    let explained = cluster.run_client(&["--json", "explain", "--team", "museum", "running"]);
    let explained: serde_json::Value = serde_json::from_str(&explained.output).unwrap();
    assert_eq!(explained["past"][0]["was_started"], true, "{explained}");
    assert_eq!(explained["past"][0]["reason"], "it was cancelled after its start");

    let report = cluster.run_client(&["--json", "report"]);
    let report: serde_json::Value = serde_json::from_str(&report.output).unwrap();
    assert_eq!(
        (&report["teams"][0]["team"], &report["teams"][1]["promised"]),
        (&"museum".into(), &48.into())
    );
    assert!(report["teams"][0]["used_hours"].as_f64().unwrap() > 0.0, "{report}");
    let page = format!("{file}.html");
    let written = cluster.run_client(&["report", "--html", &page]);
    assert_eq!(written.exit_code, Some(0), "{written:?}");
    let html = std::fs::read_to_string(&page).unwrap();
    assert_eq!(html.matches("<svg").count(), 2, "two plots");
    assert!(html.contains("galéria"));

    let audit = cluster.run_client(&["audit"]);
    assert_eq!(audit.output.lines().count(), 3, "a header and two versions: {audit:?}");
    let status = cluster.run_client(&["status"]);
    assert_eq!(status.output.matches("current").count(), 2, "{status:?}");
    let _ = (std::fs::remove_file(&file), std::fs::remove_file(&page));
}
