//! Graceful shutdown: an entry answers its requests in flight, an agent finishes its running work.

use cuminbarrow_entry::api_types::PhaseName;
use nix::sys::signal::Signal;

use crate::cluster_builder::ClusterBuilder;
use crate::cluster_builder::TEAM;
use crate::cluster_builder::job_body;
use crate::cluster_builder::wait_for_end;

/// Number of waits, and of submissions, in flight at the shutdown.
const REQUESTS: usize = 50;

#[tokio::test(flavor = "multi_thread")]
async fn shutdown_completes_requests_in_flight() {
    let mut cluster = ClusterBuilder::new().start().await;
    let mut waits = Vec::new();
    for index in 0..REQUESTS {
        let key = format!("job-{index}");
        let client = cluster.client_of(0, TEAM);
        client.submit(&key, &job_body(1, 0, "run_ms=4000")).await.unwrap();
        waits.push(tokio::spawn(async move { client.wait_once(TEAM, &key).await }));
    }
    let mut submissions = Vec::new();
    for index in 0..REQUESTS {
        let client = cluster.client_of(0, TEAM);
        let key = format!("late-{index}");
        submissions.push(tokio::spawn(async move {
            client.submit(&key, &job_body(1, 0, "run_ms=10")).await
        }));
    }
    cluster.entries[0].signal(Signal::SIGTERM);
    for wait in waits {
        wait.await.unwrap().expect("a wait in flight gets a response");
    }
    for submission in submissions {
        submission.await.unwrap().expect("a submission in flight gets a response");
    }
    assert!(cluster.entries[0].wait_for_exit(), "the entry exits after its drain");

    let other = cluster.client_of(1, TEAM);
    for index in 0..REQUESTS {
        let view = wait_for_end(&other, &format!("job-{index}")).await;
        assert_eq!(view.phase, PhaseName::Completed, "{view:?}");
        let view = wait_for_end(&other, &format!("late-{index}")).await;
        assert_eq!(view.phase, PhaseName::Completed, "{view:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn terminated_agent_finishes_its_running_work() {
    let mut cluster = ClusterBuilder::new().agents(2).start().await;
    let caller = cluster.caller();
    caller.submit("job", &job_body(1, 8, "run_ms=1500")).await.unwrap();
    let view = cluster.wait_for_phase("job", PhaseName::Running).await;
    let lead = crate::cluster_builder::Cluster::lead_index(&view);
    cluster.agents[lead].signal(Signal::SIGTERM);
    let view = wait_for_end(&caller, "job").await;
    assert_eq!((view.phase, view.attempts), (PhaseName::Completed, 1), "{view:?}");
    assert!(cluster.agents[lead].wait_for_exit(), "the agent exits after its drain");
    cluster.wait_for_workers(1).await;
}
