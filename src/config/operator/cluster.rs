//! The sections `cluster` and `peer`: the cluster that the broker belongs to.

use super::OperatorConfig;
use super::bounds::TEN_YEARS_S;
use crate::config::diagnostics::{Setting, TomlDocument};
use crate::gossip::codec;
use crate::replication::multi_value_register::MAX_NAME_BYTES;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Another broker of the cluster, a `[[peer]]` section.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub struct PeerBroker {
    /// Its name, as in its own configuration file.
    pub name: String,
    /// The address at which its peers reach it, by UDP and by TCP.
    pub address: SocketAddr,
}

/// The cluster that a broker belongs to.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClusterConfig {
    /// The cluster's name; messages from brokers of other clusters are ignored.
    pub name: String,
    /// The address at which peers reach this broker, by UDP and by TCP.
    pub listen: SocketAddr,
    /// The directory for the journal of replicated state.
    pub keep: PathBuf,
    /// Interval between probes of a peer, ms.
    #[serde(default = "probe_ms")]
    pub probe_ms: u64,
    /// Retention time of ended commands, seconds.
    #[serde(default = "keep_words_s")]
    pub keep_words_s: u64,
    /// The latest frame version to send; it may be lowered while a cluster is being upgraded.
    #[serde(default = "speak")]
    pub speak: u8,
    /// The other brokers.
    #[serde(skip)]
    pub peers: Vec<PeerBroker>,
    /// The file that this was read from; its peers are reloaded on SIGHUP.
    #[serde(skip)]
    pub file: Option<PathBuf>,
}

fn probe_ms() -> u64 {
    1000
}

fn keep_words_s() -> u64 {
    7 * 86_400
}

fn speak() -> u8 {
    codec::LATEST_VERSION
}

/// Checks the cluster and its peers against each other and against the other addresses in the file.
pub(super) fn check(config: &OperatorConfig, document: &mut TomlDocument<'_>) {
    let Some(cluster) = &config.cluster else { return };
    check_identity(config, cluster, document);
    check_protocol(cluster, document);
    for n in 0..cluster.peers.len() {
        check_peer(config, cluster, n, document);
    }
}

fn is_unusable_name(name: &str) -> bool {
    name.is_empty() || name.len() > MAX_NAME_BYTES
}

fn is_unreachable(address: SocketAddr) -> bool {
    address.port() == 0 || address.ip().is_unspecified()
}

fn check_identity(config: &OperatorConfig, cluster: &ClusterConfig, document: &mut TomlDocument<'_>) {
    let mut report = |field: &str, what: String| {
        document.report(Setting::new("cluster", field), format!("cluster: {what}"))
    };
    if is_unusable_name(&cluster.name) {
        report("name", format!("name {:?} must have from 1 to {} bytes", cluster.name, MAX_NAME_BYTES));
    }
    if is_unusable_name(&config.name) {
        report("name", format!("the broker's own name must have from 1 to {} bytes", MAX_NAME_BYTES));
    }
    if is_unreachable(cluster.listen) {
        report("listen", format!("listen {} must be an address that peers can name", cluster.listen));
    }
    let admin = config.operation.listen.into_iter();
    let mut others = admin.chain(config.listener.iter().map(|l| l.listen));
    if others.any(|address| address == cluster.listen) {
        report("listen", format!("something else listens at {} already", cluster.listen));
    }
}

fn check_protocol(cluster: &ClusterConfig, document: &mut TomlDocument<'_>) {
    let mut report = |field: &str, what: String| {
        document.report(Setting::new("cluster", field), format!("cluster: {what}"))
    };
    if !(20..=60_000).contains(&cluster.probe_ms) {
        report("probe_ms", format!("probe_ms {} must be from 20 to 60000", cluster.probe_ms));
    }
    if cluster.keep_words_s == 0 || cluster.keep_words_s > TEN_YEARS_S {
        let what = format!("keep_words_s {} must be from 1 to ten years", cluster.keep_words_s);
        report("keep_words_s", what);
    }
    if !(codec::FIRST_VERSION..=codec::LATEST_VERSION).contains(&cluster.speak) {
        let what = format!(
            "speak {} must be from {} to {}",
            cluster.speak,
            codec::FIRST_VERSION,
            codec::LATEST_VERSION
        );
        report("speak", what);
    }
}

fn check_peer(config: &OperatorConfig, cluster: &ClusterConfig, n: usize, document: &mut TomlDocument<'_>) {
    let (peer, earlier) = (&cluster.peers[n], &cluster.peers[..n]);
    let mut report = |field: &str, what: String| {
        document.report(Setting::nth("peer", n, field), format!("peer {:?}: {what}", peer.name));
    };
    if is_unusable_name(&peer.name) {
        report("name", format!("a name must have from 1 to {} bytes", MAX_NAME_BYTES));
    }
    if peer.name == config.name {
        report("name", "it is this broker's own name".into());
    }
    if earlier.iter().any(|p| p.name == peer.name) {
        report("name", "it is there twice".into());
    }
    if peer.address == cluster.listen || earlier.iter().any(|p| p.address == peer.address) {
        report("address", format!("{} is another broker's already", peer.address));
    }
    if is_unreachable(peer.address) {
        report("address", format!("{} is no address to send to", peer.address));
    }
}
