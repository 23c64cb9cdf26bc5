//! Routing: the service and backend server of a request, and the entry hosts that callers use.

mod chooser;
mod directory;
mod route_table;

pub use crate::{
    chooser::{Attempt, AttemptEnd, Candidate, Distance, ServerChooser},
    directory::{
        CallerLocation, Directory, DirectoryAddress, DirectoryAnswer, EntryHost, EntryHostState,
        SPILLOVER_LOAD_MILLI,
    },
    route_table::{RouteTable, normalise_host},
};
