//! The protocol between the system's own processes: typed messages in `bincode` over `h2` streams.
//!
//! Agents open one link to an entry of their region, and links to the agents of the gangs they
//! share. Entries open links to one another. Each link is one stream both ways.

pub mod byte_counter;
pub mod link;
pub mod message;
pub mod relay_message;
pub mod shared_key;
