//! Decides what a process holds for its clients: connections, heads, bodies and responses, within the
//! memory of its host, and which clients give way when there is no room.
//!
//! [`ClientMemory`] is a plain state machine without sockets or clocks. Its owner reports what arrives
//! and what is written, asks before it allocates, and closes the connections of clients that give way.

mod client;
mod limits;
mod memory;
mod report;

pub use crate::{
    client::{Eviction, Stage},
    limits::{
        LARGE_RECEIVE_BUFFER_BYTES, LARGE_SEND_BUFFER_BYTES, Limits, RECEIVE_BUFFER_BYTES,
        SEND_BUFFER_BYTES, SMALL_BYTES,
    },
    memory::{ClientMemory, Listener, Refusal, RefusalCause},
    report::{Report, Reporter},
};
