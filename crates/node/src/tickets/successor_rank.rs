use verbenahub_core::{
    cluster::{MemberList, ViewMember},
    ticket::IncarnationKey,
};

/// The live nodes to which the node process `run` offers its tickets, in order
/// of preference, at most `count`. Nodes of its own availability zone come
/// first, so that calls stay within the zone.
///
/// All nodes with the same member list compute the same order.
pub(super) fn rank_successors<'list>(
    members: &'list MemberList,
    run: &IncarnationKey,
    count: usize,
) -> Vec<&'list ViewMember> {
    let zone = members.get(&run.node).map(|member| &member.zone);
    let ranked = members.owners(&run.to_string(), members.live.len());
    let others = ranked.into_iter().filter(|member| member.node != run.node);
    let (same_zone, other_zones): (Vec<_>, Vec<_>) =
        others.partition(|member| Some(&member.zone) == zone);
    same_zone
        .into_iter()
        .chain(other_zones)
        .take(count)
        .collect()
}
