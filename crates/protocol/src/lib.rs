//! The protocol between agents and entries: typed messages, encoded with `bincode`, over HTTP/2.
//!
//! Each agent opens a link to one entry of its region, and links to the agents that it shares gangs
//! with. Entries open links to one another. Each link is one bidirectional HTTP/2 stream.

pub mod byte_counter;
pub mod link;
mod link_acceptor;
pub mod link_guard;
pub mod link_limits;
pub mod link_metrics;
pub mod message;
pub mod relay_message;
pub mod shared_key;
