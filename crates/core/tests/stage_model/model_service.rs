use verbenahub_core::{
    clock::ClockTime,
    ids::{TargetId, ZoneName},
    routes::StageService,
    staging::{QueueBacklog, StageQueue},
};

/// A service of stages: its collectors and what the others know of them.
#[derive(Debug)]
pub struct ModelService {
    pub spec: StageService,
    pub targets: usize,
    pub collectors: Vec<StageQueue>,
    /// When each collector has to look at its queue.
    pub wakes: Vec<ClockTime>,
    /// What a collector has said last.
    pub heard: QueueBacklog,
}

impl ModelService {
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
            targets,
            collectors: collectors.collect(),
            wakes: vec![ClockTime::ZERO; shards],
            heard: QueueBacklog::default(),
        }
    }
}
