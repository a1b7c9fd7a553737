//! The platform's configuration: the file that `GW_CONFIG` names, and the variables beside it.

use super::settings::PlatformSettings;
use crate::membership::endpoint_list::EndpointList;
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// A configuration that can't be used, in one line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError(pub String);

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "unusable configuration: {}", self.0)
    }
}

impl std::error::Error for ConfigError {}

#[derive(Deserialize)]
struct File {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    ops: Option<String>,
    seed: Option<String>,
    limits: Option<Limits>,
    known: Option<EndpointList>,
    keep: Option<PathBuf>,
    settings: PlatformSettings,
}

#[derive(Clone, Copy, Debug, Deserialize)]
struct Limits {
    sockets: Option<usize>,
    memory_mb: Option<usize>,
}

/// Descriptors of a broker that is told no limit.
const DEFAULT_SOCKETS: usize = 1024;
/// Memory of a broker that is told no limit, MB.
const DEFAULT_MEMORY_MB: usize = 192;

/// Where processes at one address hand over, in `$TMPDIR`.
const HOT_RESTART_DIRECTORY: &str = "pebbleturn-handover";

/// What one broker on the platform is told.
#[derive(Clone, Debug)]
pub struct PlatformConfig {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// The second address, for operation; none: there is no such.
    pub ops: Option<SocketAddr>,
    /// The descriptor on which the clients' listening socket stands open already; none: it is to be opened.
    pub inherited: Option<i32>,
    /// The directory in which processes at this address hand over; none: there are no others.
    pub hand_over: Option<PathBuf>,
    /// For random numbers.
    pub seed: u64,
    /// Most descriptors.
    pub sockets: usize,
    /// Most memory, MB.
    pub memory_mb: usize,
    /// The list of servers as this broker last had it.
    pub known: Option<EndpointList>,
    /// The directory in which the list is kept over restarts; none: it is not kept.
    pub keep: Option<PathBuf>,
    /// The settings object.
    pub params: PlatformSettings,
    /// The file that all this was read from, to be read again when its content is replaced.
    pub file: Option<PathBuf>,
}

impl PlatformConfig {
    /// Reads the file that `GW_CONFIG` names. Where it leaves a name or an address out, the variable tells.
    pub fn from_env() -> Result<PlatformConfig, ConfigError> {
        let path = var("GW_CONFIG").ok_or(ConfigError("GW_CONFIG is not set".into()))?;
        PlatformConfig::from_file(Path::new(&path))
    }

    /// Reads a file. Where it leaves a name or an address out, the variable tells.
    pub fn from_file(path: &Path) -> Result<PlatformConfig, ConfigError> {
        let text =
            std::fs::read_to_string(path).map_err(|e| ConfigError(format!("{}: {e}", path.display())))?;
        let config = PlatformConfig::read(&text, var)?;
        Ok(PlatformConfig { file: Some(path.to_owned()), ..config })
    }

    /// Reads a configuration; `var` gives the variables.
    pub fn read(text: &str, var: impl Fn(&str) -> Option<String>) -> Result<PlatformConfig, ConfigError> {
        let file: File = serde_json::from_str(text).map_err(|e| ConfigError(e.to_string()))?;
        let addr = |text: Option<String>, name: &str| {
            let text = text.or_else(|| var(name)).ok_or(ConfigError(format!("{name} is not told")))?;
            text.parse::<SocketAddr>().map_err(|e| ConfigError(format!("{name} {text:?}: {e}")))
        };
        let ops = file.ops.or_else(|| var("GW_OPS"));
        let ops = ops.map(|ops| addr(Some(ops), "GW_OPS")).transpose()?;
        let inherited = var("GW_INHERITED_FD").map(|fd| {
            let fd_of = |fd: &str| fd.parse::<i32>().ok().filter(|fd| *fd > 2);
            fd_of(&fd).ok_or(ConfigError(format!("GW_INHERITED_FD {fd:?} is no descriptor")))
        });
        let inherited = inherited.transpose()?;
        // Only where the platform holds the socket does it start a process beside this one.
        let hand_over =
            inherited.and(var("TMPDIR")).map(|tmp| PathBuf::from(tmp).join(HOT_RESTART_DIRECTORY));
        let seed = match file.seed {
            Some(text) => u64::from_str_radix(&text, 16)
                .map_err(|_| ConfigError(format!("seed {text:?} is no hexadecimal number")))?,
            None => std::process::id().into(),
        };
        let sockets = file.limits.and_then(|l| l.sockets).unwrap_or(DEFAULT_SOCKETS);
        if sockets < 64 {
            return Err(ConfigError(format!("{sockets} sockets are too few")));
        }
        let memory_mb = file.limits.and_then(|l| l.memory_mb).unwrap_or(DEFAULT_MEMORY_MB);
        if memory_mb < 16 {
            return Err(ConfigError(format!("{memory_mb} MB of memory are too little")));
        }
        Ok(PlatformConfig {
            name: file.name.or_else(|| var("GW_NAME")).unwrap_or_else(|| "broker".into()),
            listen: addr(file.listen, "GW_LISTEN")?,
            discovery: addr(file.discovery, "GW_DISCOVERY")?,
            ops,
            inherited,
            hand_over,
            seed,
            sockets,
            memory_mb,
            known: file.known,
            keep: file.keep.or_else(|| var("PEBBLETURN_KEEP").map(PathBuf::from)),
            params: file.settings,
            file: None,
        })
    }
}

fn var(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|v| !v.is_empty())
}
