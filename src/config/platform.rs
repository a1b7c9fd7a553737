//! The platform's configuration: the file that `GW_CONFIG` names, and the variables beside it.

use super::error::{ConfigError, ConfigErrorKind};
use super::settings::PlatformSettings;
use crate::membership::endpoint_list::EndpointList;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

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

/// Most descriptors where the file has no limit.
const DEFAULT_SOCKETS: usize = 1024;
/// Fewest descriptors that a broker can do with.
const MIN_SOCKETS: usize = 64;
/// Most memory where the file has no limit, MB.
const DEFAULT_MEMORY_MB: usize = 192;
/// Least memory that a broker can do with, MB.
const MIN_MEMORY_MB: usize = 16;
/// Descriptors below it are the standard streams.
const FIRST_INHERITED_DESCRIPTOR: i32 = 3;
/// The directory of hot restarts, in `$TMPDIR`.
const HOT_RESTART_DIRECTORY: &str = "pebbleturn-handover";

/// The configuration of one broker on the platform.
#[derive(Clone, Debug)]
pub struct PlatformConfig {
    /// The broker's name.
    pub name: String,
    /// The address at which clients connect.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The address of the admin endpoint; without one there is none.
    pub ops: Option<SocketAddr>,
    /// Descriptor of the inherited listening socket for clients; without one a socket is opened.
    pub inherited: Option<i32>,
    /// The directory through which processes at this address coordinate a hot restart; without one there are
    /// no others.
    pub hand_over: Option<PathBuf>,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Most open descriptors.
    pub sockets: usize,
    /// Most memory, MB.
    pub memory_mb: usize,
    /// The endpoint list that this broker had last.
    pub known: Option<EndpointList>,
    /// The directory in which the endpoint list is cached over restarts; without one it is not.
    pub keep: Option<PathBuf>,
    /// The settings object.
    pub params: PlatformSettings,
    /// The file that this was read from; it is read again on SIGHUP.
    pub file: Option<PathBuf>,
}

impl PlatformConfig {
    /// Reads the file that `GW_CONFIG` names. A name or an address that it leaves out comes from its
    /// variable.
    pub fn from_env() -> Result<PlatformConfig, ConfigError> {
        let path = var("GW_CONFIG").ok_or(ConfigErrorKind::NoFile)?;
        PlatformConfig::from_file(Path::new(&path))
    }

    /// Reads a file. A name or an address that it leaves out comes from its variable.
    pub fn from_file(path: &Path) -> Result<PlatformConfig, ConfigError> {
        let text = std::fs::read_to_string(path).map_err(|e| ConfigError::from(e).in_file(path))?;
        let config = PlatformConfig::read(&text, var)?;
        Ok(PlatformConfig { file: Some(path.to_owned()), ..config })
    }

    /// Reads a configuration; `var` gives the variables.
    pub fn read(text: &str, var: impl Fn(&str) -> Option<String>) -> Result<PlatformConfig, ConfigError> {
        let file: File = serde_json::from_str(text)?;
        let ops = file.ops.or_else(|| var("GW_OPS"));
        let ops = ops.map(|text| parse_address(text, "GW_OPS")).transpose()?;
        let inherited = var("GW_INHERITED_FD").map(parse_descriptor).transpose()?;
        // Only where the platform holds the socket does it start a process beside this one.
        let hand_over =
            inherited.and(var("TMPDIR")).map(|tmp| PathBuf::from(tmp).join(HOT_RESTART_DIRECTORY));
        let seed = file.seed.map(parse_seed).transpose()?.unwrap_or_else(|| std::process::id().into());
        let (sockets, memory_mb) = limits(file.limits)?;
        let address = |text: Option<String>, variable: &'static str| {
            let text = text.or_else(|| var(variable)).ok_or(ConfigErrorKind::NoAddress { variable })?;
            parse_address(text, variable)
        };
        Ok(PlatformConfig {
            name: file.name.or_else(|| var("GW_NAME")).unwrap_or_else(|| "broker".into()),
            listen: address(file.listen, "GW_LISTEN")?,
            discovery: address(file.discovery, "GW_DISCOVERY")?,
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

fn parse_address(text: String, variable: &'static str) -> Result<SocketAddr, ConfigErrorKind> {
    text.parse().map_err(|source| ConfigErrorKind::Address { variable, text, source })
}

fn parse_descriptor(text: String) -> Result<i32, ConfigErrorKind> {
    let descriptor = text.parse().ok().filter(|fd| *fd >= FIRST_INHERITED_DESCRIPTOR);
    descriptor.ok_or(ConfigErrorKind::InheritedDescriptor { text })
}

fn parse_seed(text: String) -> Result<u64, ConfigErrorKind> {
    u64::from_str_radix(&text, 16).map_err(|source| ConfigErrorKind::Seed { text, source })
}

/// Most descriptors, and most memory in MB.
fn limits(limits: Option<Limits>) -> Result<(usize, usize), ConfigErrorKind> {
    let sockets = limits.and_then(|l| l.sockets).unwrap_or(DEFAULT_SOCKETS);
    if sockets < MIN_SOCKETS {
        return Err(ConfigErrorKind::TooFewSockets { sockets });
    }
    let megabytes = limits.and_then(|l| l.memory_mb).unwrap_or(DEFAULT_MEMORY_MB);
    if megabytes < MIN_MEMORY_MB {
        return Err(ConfigErrorKind::TooLittleMemory { megabytes });
    }
    Ok((sockets, megabytes))
}

/// A variable of the process; an empty one counts as missing.
fn var(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|v| !v.is_empty())
}
