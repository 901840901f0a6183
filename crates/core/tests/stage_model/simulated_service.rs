use verbenahub_core::{
    clock::ClockTime,
    ids::{TargetId, ZoneName},
    routes::StageService,
    staging::{QueueBacklog, StageQueue},
};

/// A simulated service of stages with its collectors.
#[derive(Debug)]
pub struct SimulatedService {
    pub spec: StageService,
    /// Ratio of the time that calls take to the published one.
    pub slowdown: f64,
    pub targets: usize,
    pub collectors: Vec<StageQueue>,
    /// When each collector processes its queue next.
    pub wakeups: Vec<ClockTime>,
    /// Backlog that a collector reported last.
    pub known_backlog: QueueBacklog,
}

impl SimulatedService {
    pub fn new(name: &str, spec: StageService, targets: usize, zones: usize) -> Self {
        let shards = targets.div_ceil(16);
        let collectors = (0..shards).map(|shard| {
            let mut queue = StageQueue::new(spec);
            let own = (0..targets).filter(|target| target % shards == shard);
            queue.set_targets(own.map(|target| {
                let id = TargetId::new(&format!("{name}{target}")).expect("an id");
                let zone = ZoneName::new(&format!("z{}", target / shards % zones)).expect("a zone");
                (id, zone, spec.slots)
            }));
            queue
        });
        Self {
            spec,
            slowdown: 1.0,
            targets,
            collectors: collectors.collect(),
            wakeups: vec![ClockTime::ZERO; shards],
            known_backlog: QueueBacklog::default(),
        }
    }
}
