//! Floods of requests against real entry and agent processes with lowered limits. Each test checks that
//! the process lives, that its memory and descriptors stay under a bound, and that an ordinary request
//! is answered afterwards.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod agent_floods;
#[allow(dead_code, reason = "shared with the adapter's tests, which use the rest of it")]
#[path = "../../../../platform/tests/adapter/consumer_group.rs"]
mod consumer_group;
mod entry_floods;
mod flood;
mod link_floods;
mod product_floods;
mod product_process;
mod served_process;
#[allow(dead_code, reason = "shared with the adapter's tests, which use the rest of it")]
#[path = "../../../../platform/tests/adapter/store_standin.rs"]
mod store_standin;
mod unread_bytes;
#[allow(dead_code, reason = "shared with the adapter's tests, which use the rest of it")]
#[path = "../../../../platform/tests/adapter/wire_fixtures.rs"]
mod wire_fixtures;
