use std::net::SocketAddr;

use toml::de::DeTable;

use super::{
    ClusterSecret, DrainSettings, LogSettings, NodeLimits, PolicySettings, SettingOverride,
    TicketSettings, TraceSettings,
};
use crate::{
    findings::{FindingList, FindingLog, KeyPlace, Placed, TableReader},
    ids::{NodeId, RegionName, ZoneName},
};

/// Maximum number of worker threads.
const MAX_THREADS: u32 = 256;
/// Default number of worker threads.
const DEFAULT_THREADS: u32 = 2;

/// Settings of the daemon.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Id of the node; stays the same across restarts.
    pub node: NodeId,
    /// Region of the VM.
    pub region: RegionName,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Listen address for callers and operators.
    pub listen: SocketAddr,
    /// Listen address for other nodes.
    pub internal_listen: SocketAddr,
    /// Secret shared by all nodes.
    pub cluster_secret: ClusterSecret,
    /// Addresses of the configuration service.
    pub config_service: Vec<SocketAddr>,
    /// Addresses of the membership service.
    pub membership_service: Vec<SocketAddr>,
    /// Internal addresses of some other nodes, used to join the cluster.
    pub seeds: Vec<SocketAddr>,
    /// Number of worker threads.
    pub threads: u32,
    /// Limits on requests and connections.
    pub limits: NodeLimits,
    /// Limits on tickets.
    pub tickets: TicketSettings,
    /// Timing of a graceful shutdown.
    pub drain: DrainSettings,
    /// Log level and format.
    pub log: LogSettings,
    /// Export of traces.
    pub trace: TraceSettings,
    /// Routing and admission policies.
    pub policy: PolicySettings,
}

impl NodeSettings {
    /// Reads the settings from the text of a file. Overrides from the command
    /// line take precedence.
    ///
    /// # Errors
    ///
    /// Returns all findings together; `source` is the file name they show.
    pub fn load(
        source: &str,
        text: &str,
        overrides: &[SettingOverride],
    ) -> Result<Self, FindingList> {
        let mut log = FindingLog::new(source, text);
        let settings = parse_table(text, &log).and_then(|mut table| {
            apply_overrides(overrides, &mut table, &mut log);
            let reader = TableReader::new(&table, KeyPlace::default(), &log);
            Self::read(reader, &log)
        });
        let findings = log.into_list();
        match settings {
            Some(settings) if findings.is_empty() => Ok(settings),
            _ => Err(findings),
        }
    }

    fn read(mut reader: TableReader<'_>, log: &FindingLog<'_>) -> Option<Self> {
        let node = reader.required("node");
        let region = reader.required("region");
        let zone = reader.required("zone");
        let listen = reader.required_text("listen");
        let internal_listen = reader.required_text("internal_listen");
        let cluster_secret = reader.required_secret("cluster_secret");
        let config_service = reader.required("config_service");
        let membership_service = reader.required("membership_service");
        let seeds: Option<Placed<Vec<SocketAddr>>> = reader.optional("seeds");
        let threads = read_threads(&mut reader, log);
        let limits = reader.table("limits");
        let tickets = reader.table("tickets");
        let drain = reader.table("drain");
        let log_table = reader.table("log");
        let trace = reader.table("trace");
        let policy = reader.table("policy");
        reader.finish();
        check_listen(listen.as_ref(), internal_listen.as_ref(), log);
        check_addresses(config_service.as_ref(), log);
        check_addresses(membership_service.as_ref(), log);
        let limits = limits.map(|reader| NodeLimits::read(reader, log));
        let tickets = tickets.map(|reader| TicketSettings::read(reader, log));
        let drain = drain.map(|reader| DrainSettings::read(reader, log));
        let log_settings = log_table.map(LogSettings::read);
        let trace = trace.map(TraceSettings::read);
        let policy = policy.map(PolicySettings::read);
        Some(Self {
            node: node?.value,
            region: region?.value,
            zone: zone?.value,
            listen: listen?.value,
            internal_listen: internal_listen?.value,
            cluster_secret: cluster_secret?.value,
            config_service: config_service?.value,
            membership_service: membership_service?.value,
            seeds: seeds.map_or_else(Vec::new, |seeds| seeds.value),
            threads,
            limits: limits.unwrap_or_default(),
            tickets: tickets.unwrap_or_default(),
            drain: drain.unwrap_or_default(),
            log: log_settings.unwrap_or_default(),
            trace: trace.unwrap_or_default(),
            policy: policy.unwrap_or_default(),
        })
    }
}

fn parse_table<'text>(text: &'text str, log: &FindingLog<'_>) -> Option<DeTable<'text>> {
    let (table, errors) = DeTable::parse_recoverable(text);
    log.report_syntax(&errors);
    errors.is_empty().then(|| table.into_inner())
}

fn apply_overrides<'a>(
    overrides: &'a [SettingOverride],
    table: &mut DeTable<'a>,
    log: &mut FindingLog<'_>,
) {
    for setting in overrides {
        log.mark_override(setting.path().to_owned());
        if !setting.apply(table) {
            let place = KeyPlace {
                path: setting.path().to_owned(),
                offset: 0,
            };
            log.report(&place, "a part of this path is not a table".to_owned());
        }
    }
}

fn read_threads(reader: &mut TableReader<'_>, log: &FindingLog<'_>) -> u32 {
    let Some(threads) = reader.optional::<u32>("threads") else {
        return DEFAULT_THREADS;
    };
    threads.check_range(&(1..=MAX_THREADS), log);
    threads.value
}

fn check_listen(
    listen: Option<&Placed<SocketAddr>>,
    internal: Option<&Placed<SocketAddr>>,
    log: &FindingLog<'_>,
) {
    let Some((listen, internal)) = listen.zip(internal) else {
        return;
    };
    if listen.value == internal.value && listen.value.port() != 0 {
        let message = "must differ from `listen`".to_owned();
        log.report(&internal.place, message);
    }
}

fn check_addresses(addresses: Option<&Placed<Vec<SocketAddr>>>, log: &FindingLog<'_>) {
    if let Some(addresses) = addresses
        && addresses.value.is_empty()
    {
        let message = "must name at least one address".to_owned();
        log.report(&addresses.place, message);
    }
}
