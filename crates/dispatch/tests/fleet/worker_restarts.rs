//! Workers that restart: how soon their tasks run again.

use std::time::Duration;

use tokio::time::Instant;

use crate::fake_fleet::FakeFleet;
use crate::fake_fleet::gang;
use crate::fake_fleet::tasks;

/// Time from a worker's registration until its tasks run again: two polls, the stop of what the
/// worker before it ran, and four appends.
const RERUN_LIMIT: Duration = Duration::from_millis(500);

/// Load pattern: all machines lose power at once, and all work of the fleet waits until the new workers
/// are known to run nothing of it.
#[tokio::test(start_paused = true)]
async fn tasks_run_again_soon_after_all_workers_have_restarted() {
    // The members of one run of a gang count as one start.
    for (step, starts) in [(tasks(4, 8), 4), (gang(4, 8), 1)] {
        let mut fleet = FakeFleet::start(1, 4).await;
        let job = fleet.submit(step, Duration::from_secs(30)).await;
        fleet.wait_for("all runs", |fleet| fleet.start_count(job) == starts).await;
        tokio::time::sleep(Duration::from_secs(3)).await;
        let earlier = fleet.entries[0].replica.state().workers.keys().max().copied();
        for node in &fleet.nodes {
            node.host.crash();
            node.boot_renamed();
        }
        let is_replaced = |fleet: &FakeFleet| {
            let state = fleet.entries[0].replica.state();
            state.workers.len() == 4 && state.workers.keys().all(|key| Some(*key) > earlier)
        };
        fleet.wait_for("the new workers", |fleet| is_replaced(fleet)).await;
        let registered = Instant::now();
        fleet.wait_for("all runs again", |fleet| fleet.start_count(job) == 2 * starts).await;
        assert!(registered.elapsed() < RERUN_LIMIT, "{:?}", registered.elapsed());
        assert_eq!(fleet.violations(), Vec::<String>::new());
    }
}
