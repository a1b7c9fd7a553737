//! The platform's configuration: the file named by `GW_CONFIG`, and environment variables.

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

/// Limit on open descriptors if the file has none.
const DEFAULT_SOCKETS: usize = 1024;
/// Smallest limit on open descriptors with which a broker works.
const MIN_SOCKETS: usize = 64;
/// Memory limit if the file has none, MB.
const DEFAULT_MEMORY_MB: usize = 192;
/// Smallest memory limit with which a broker works, MB.
const MIN_MEMORY_MB: usize = 16;
/// Lowest descriptor that can be inherited; those below are the standard streams.
const FIRST_INHERITED_DESCRIPTOR: i32 = 3;
/// Name of the directory for hot restarts, in `$TMPDIR`.
const HOT_RESTART_DIRECTORY: &str = "pebbleturn-handover";

/// The configuration of one broker on the platform.
#[derive(Clone, Debug)]
pub struct PlatformConfig {
    /// The broker's name.
    pub name: String,
    /// The address at which clients connect.
    pub listen: SocketAddr,
    /// The address of the discovery service.
    pub discovery: SocketAddr,
    /// The address of the admin endpoint; `None` disables it.
    pub ops: Option<SocketAddr>,
    /// Descriptor of the inherited listening socket for clients; if `None`, a socket is opened.
    pub inherited: Option<i32>,
    /// The directory through which processes at this address coordinate a hot restart; `None` if this is the
    /// only process.
    pub hot_restart_directory: Option<PathBuf>,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Limit on open descriptors.
    pub sockets: usize,
    /// Memory limit, MB.
    pub memory_mb: usize,
    /// The endpoint list to start with: the last one that this broker had.
    pub initial_list: Option<EndpointList>,
    /// The directory in which the endpoint list is cached across restarts; `None` disables the cache.
    pub cache_directory: Option<PathBuf>,
    /// The settings object of the platform.
    pub platform_settings: PlatformSettings,
    /// The file that this was read from; it is reloaded on SIGHUP.
    pub file: Option<PathBuf>,
}

impl PlatformConfig {
    /// Reads the file named by `GW_CONFIG`. A name or an address that is not in the file is taken from its
    /// environment variable.
    pub fn from_env() -> Result<PlatformConfig, ConfigError> {
        let path = var("GW_CONFIG").ok_or(ConfigErrorKind::NoFile)?;
        PlatformConfig::from_file(Path::new(&path))
    }

    /// Reads a file. A name or an address that is not in it is taken from its environment variable.
    pub fn from_file(path: &Path) -> Result<PlatformConfig, ConfigError> {
        let text = std::fs::read_to_string(path).map_err(|e| ConfigError::from(e).in_file(path))?;
        let config = PlatformConfig::read(&text, var)?;
        Ok(PlatformConfig { file: Some(path.to_owned()), ..config })
    }

    /// Reads a configuration; `var` looks up environment variables.
    pub fn read(text: &str, var: impl Fn(&str) -> Option<String>) -> Result<PlatformConfig, ConfigError> {
        let file: File = serde_json::from_str(text)?;
        let ops = file.ops.or_else(|| var("GW_OPS"));
        let ops = ops.map(|text| parse_address(text, "GW_OPS")).transpose()?;
        let inherited = var("GW_INHERITED_FD").map(parse_descriptor).transpose()?;
        // The platform starts a second process beside this one only if it holds the listening socket.
        let hot_restart_directory =
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
            hot_restart_directory,
            seed,
            sockets,
            memory_mb,
            initial_list: file.known,
            cache_directory: file.keep.or_else(|| var("PEBBLETURN_KEEP").map(PathBuf::from)),
            platform_settings: file.settings,
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

/// The limit on open descriptors, and the memory limit in MB.
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

/// An environment variable; an empty one counts as missing.
fn var(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|v| !v.is_empty())
}
