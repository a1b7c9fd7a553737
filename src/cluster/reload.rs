//! Reads the operator's file again, on a thread of its own, and takes over the peers that it names.

use super::Cluster;
use crate::api::Nanos;
use crate::config::OperatorConfig;
use std::sync::mpsc::{Receiver, TryRecvError, sync_channel};

impl Cluster {
    /// The word to read the operator's file again has come: the peers that it names may have changed. It is
    /// read on a thread of its own; a disk that hangs must not stop the loop.
    pub fn start_reload(&mut self) {
        let Some(file) = self.operator_file.clone() else { return };
        let (tell, told) = sync_channel(1);
        let read = move || drop(tell.send(OperatorConfig::from_file(&file)));
        match std::thread::Builder::new().name("peers".into()).spawn(read) {
            Ok(_) => self.reload = Some(told),
            Err(e) => tracing::error!("cluster: the operator's file can't be read: {e}"),
        }
    }

    pub(super) fn finish_reload(&mut self, now: Nanos) {
        let read = match self.reload.as_ref().map(Receiver::try_recv) {
            None | Some(Err(TryRecvError::Empty)) => return,
            Some(read) => read,
        };
        self.reload = None;
        let told = match read {
            Ok(Ok(told)) => told.cluster,
            Ok(Err(e)) => return tracing::error!("cluster: the peers stay as they were: {e}"),
            Err(_) => return,
        };
        // Guards against a file that takes the cluster away: that needs a restart.
        let Some(told) = told.filter(|c| c.name == self.settings.cluster) else {
            return tracing::error!("cluster: the peers stay as they were: the file names another cluster");
        };
        self.settings.peers = told.peers.iter().map(|p| (p.name.clone(), p.address)).collect();
        tracing::info!("cluster: file read again: {} peers", told.peers.len());
        if let Some(member) = &mut self.node {
            member.set_peers(&self.settings.peers, now);
        }
    }
}
