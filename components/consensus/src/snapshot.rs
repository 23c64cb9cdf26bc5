//! Sends and receives snapshots in chunks.

use ids::{Blob, LogIndex, Term};
use schema::consensus::{ConsensusBody, InstallReply, InstallSnapshot, Snapshot};

use crate::{
    action::Action, leadership::Progress, message::Received, replica::Replica,
    settings::SNAPSHOT_CHUNK_BYTES,
};

/// A partially received snapshot.
pub(crate) struct IncomingSnapshot {
    index: LogIndex,
    term: Term,
    data: Vec<u8>,
}

/// Sends the next chunk of the snapshot.
pub(crate) fn send_chunk(replica: &mut Replica, progress: &mut Progress) {
    let snapshot = replica.log.snapshot();
    let data = snapshot.data.to_bytes();
    let start = usize::try_from(progress.snapshot_offset).unwrap_or(0).min(data.len());
    let end = data.len().min(start + SNAPSHOT_CHUNK_BYTES);
    let install = InstallSnapshot {
        index: snapshot.index,
        snapshot_term: snapshot.term,
        members: snapshot.members.clone(),
        offset: start as u64,
        total: data.len() as u64,
        data: data.slice(start..end).into(),
        sent_us: replica.now.0,
    };
    replica.send(progress.member.host, ConsensusBody::InstallSnapshot(install));
}

/// Records how many bytes of the snapshot a member has received.
pub(crate) fn record_received(replica: &Replica, progress: &mut Progress, reply: &InstallReply) {
    let snapshot = replica.log.snapshot();
    let is_complete = reply.received >= snapshot.data.as_slice().len() as u64;
    if reply.index != snapshot.index {
        progress.snapshot_offset = 0;
    } else if is_complete {
        progress.snapshot_offset = 0;
        progress.record_match(snapshot.index, replica.now);
    } else {
        progress.snapshot_offset = reply.received;
    }
}

/// Collects the chunks of a snapshot and installs the snapshot once it is complete.
pub(crate) fn handle_install(
    replica: &mut Replica,
    received: &Received,
    install: &InstallSnapshot,
) {
    let received_bytes = match install.index <= replica.commit_index {
        true => install.total,
        false => append_chunk(replica, install),
    };
    if received_bytes == install.total && install.index > replica.commit_index {
        install_snapshot(replica, install);
    }
    let reply =
        InstallReply { index: install.index, received: received_bytes, sent_us: install.sent_us };
    replica.send(received.from.host, ConsensusBody::InstallReply(reply));
}

/// Appends a chunk if it follows the received ones; returns the number of bytes received.
fn append_chunk(replica: &mut Replica, install: &InstallSnapshot) -> u64 {
    let is_same_snapshot =
        |it: &&mut IncomingSnapshot| it.index == install.index && it.term == install.snapshot_term;
    if replica.incoming_snapshot.as_mut().filter(is_same_snapshot).is_none() {
        let (index, term) = (install.index, install.snapshot_term);
        replica.incoming_snapshot = Some(IncomingSnapshot { index, term, data: Vec::new() });
    }
    let incoming = replica.incoming_snapshot.as_mut().expect("was just set");
    if incoming.data.len() as u64 == install.offset {
        incoming.data.extend_from_slice(install.data.as_slice());
    }
    incoming.data.len() as u64
}

fn install_snapshot(replica: &mut Replica, install: &InstallSnapshot) {
    let Some(incoming) = replica.incoming_snapshot.take() else {
        return;
    };
    let data = Blob::from(incoming.data);
    let snapshot = Snapshot {
        index: install.index,
        term: install.snapshot_term,
        members: install.members.clone(),
        data: data.clone(),
    };
    let conflicts = replica.log.term_at(install.index) != Some(install.snapshot_term);
    if conflicts && replica.log.last_index() >= install.index {
        replica.truncate(install.index);
    }
    replica.log.install_snapshot(snapshot.clone());
    replica.track_members();
    replica.commit_index = install.index;
    replica.push_action(Action::SaveSnapshot(snapshot));
    replica.push_action(Action::RestoreState { index: install.index, data });
}
