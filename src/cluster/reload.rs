//! Reloads the list of peers from the operator's file, which is read on a separate thread.

use super::Cluster;
use crate::api::Nanos;
use crate::config::OperatorConfig;
use std::sync::mpsc::{Receiver, TryRecvError, sync_channel};

impl Cluster {
    /// Starts to read the operator's file again, after a request to reload it: its list of peers may have
    /// changed. It is read on a separate thread, as a disk that hangs must not block the poll loop.
    pub fn start_reload(&mut self) {
        let Some(file) = self.operator_file.clone() else { return };
        let (sender, receiver) = sync_channel(1);
        let read = move || drop(sender.send(OperatorConfig::from_file(&file)));
        match std::thread::Builder::new().name("peers".into()).spawn(read) {
            Ok(_) => self.reload = Some(receiver),
            Err(e) => tracing::error!("cluster: the operator's file can't be read: {e}"),
        }
    }

    pub(super) fn finish_reload(&mut self, now: Nanos) {
        let result = match self.reload.as_ref().map(Receiver::try_recv) {
            None | Some(Err(TryRecvError::Empty)) => return,
            Some(result) => result,
        };
        self.reload = None;
        let config = match result {
            Ok(Ok(config)) => config.cluster,
            Ok(Err(e)) => return tracing::error!("cluster: the peers stay as they were: {e}"),
            Err(_) => return,
        };
        // A file without the cluster, or with another one, is not applied: that change needs a restart.
        let Some(cluster) = config.filter(|c| c.name == self.settings.cluster) else {
            return tracing::error!("cluster: the peers stay as they were: the file names another cluster");
        };
        self.settings.peers = cluster.peers.iter().map(|p| (p.name.clone(), p.address)).collect();
        tracing::info!("cluster: operator's file was reloaded: {} peers", cluster.peers.len());
        if let Some(member) = &mut self.node {
            member.set_peers(&self.settings.peers, now);
        }
    }
}
