//! Bounds of the memory and connections that a process uses for requests from outside.
//!
//! `body_ledger`, `connection_choice`, `progress_meter` and `request_limits` decide on plain data; the
//! other modules apply the decisions to bodies and connections.

mod answer_body;
pub mod body_budget;
pub mod body_ledger;
pub mod body_reader;
pub mod bounded_listener;
pub mod connection_choice;
pub mod connection_table;
pub mod guarded_stream;
pub mod http_server;
pub mod observed_stream;
pub mod preview_gate;
pub mod progress_meter;
pub mod request_counters;
pub mod request_guard;
pub mod request_limits;
pub mod service_call;
