//! Planted bugs: each shows that an invariant catches what it is meant for.

use landingdrift::wire::Body;
use serde_json::json;

/// How a machine misbehaves on purpose, to show that an invariant catches it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlantedBug {
    /// It gives its vote to everybody target outputs.
    VotesForAll,
    /// Its disk confirms writes before they are durable.
    ConfirmsUnsaved,
    /// It answers reads at once with an old index.
    AnswersOldReads,
    /// It tells every proposer that its change has won.
    AcknowledgesRivals,
    /// Its disk forgets the log when it ends, keeps its number, and nobody remembers what it confirmed.
    ForgetsSilently,
    /// It replicates entries with another time than in its own log.
    AltersTimes,
    /// It gives its vote to nobody.
    VotesForNobody,
    /// Requests to be admitted say that the newcomer may not vote.
    IgnoresNewcomers,
}

/// The message that a misbehaving machine sends in place of the right one.
pub(super) fn distort(planted_bug: PlantedBug, body: Body) -> Body {
    match (planted_bug, body) {
        (PlantedBug::VotesForAll, Body::VoteResponse(mut response)) => {
            response.granted = true;
            Body::VoteResponse(response)
        }
        (PlantedBug::AnswersOldReads, Body::ReadIndexResponse(mut response)) => {
            response.ok = true;
            response.log_index = 0;
            Body::ReadIndexResponse(response)
        }
        (PlantedBug::AcknowledgesRivals, Body::ProposeResponse(mut response)) => {
            let won = json!({"done": {"version": 1, "place": response.log_index}});
            response.response = serde_json::to_vec(&won).unwrap_or_default();
            Body::ProposeResponse(response)
        }
        (PlantedBug::VotesForNobody, Body::VoteResponse(mut response)) => {
            response.granted = false;
            Body::VoteResponse(response)
        }
        (PlantedBug::ForgetsSilently, Body::Hello(mut hello)) => {
            hello.witnessed.index = 0;
            hello.witnesses.clear();
            Body::Hello(hello)
        }
        (PlantedBug::ForgetsSilently, Body::AppendRequest(mut append)) => {
            append.witnesses.clear();
            Body::AppendRequest(append)
        }
        (PlantedBug::IgnoresNewcomers, Body::JoinCluster(mut join)) => {
            join.standby_only = true;
            Body::JoinCluster(join)
        }
        (PlantedBug::AltersTimes, Body::AppendRequest(mut append)) => {
            append.entries.iter_mut().for_each(|e| e.at += 1);
            Body::AppendRequest(append)
        }
        (_, body) => body,
    }
}
