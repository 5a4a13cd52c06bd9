//! One wire message of each kind, with distinct values in the numeric fields of a message, except those added
//! later, which are 0.

use landingdrift::wire::{
    AppendRequest, AppendResponse, Body, DurabilityWitness, Entry, ForwardRequest, ForwardResponse,
    Hello, InstallSnapshot, InstallSnapshotResponse, JoinCluster, NodeProgress, Offer,
    OfferOutcome, OfferResponse, PeerView, ProposeRequest, ProposeResponse, ReadIndexRequest,
    ReadIndexResponse, RequestToken, Reservation, Reserve, Shuffle, Sizes, TransferLeadership,
    VoteRequest, VoteResponse, WatchBatch, WatchRequest, WatchSnapshotChunk,
};

/// Number of message kinds; must match the highest result of [`number`].
pub const KINDS: usize = 23;

/// The number of a message's kind in the union of the schema, from 1. A new kind must get a fixture.
pub fn number(body: &Body) -> usize {
    match body {
        Body::Shuffle(_) => 1,
        Body::Hello(_) => 2,
        Body::VoteRequest(_) => 3,
        Body::VoteResponse(_) => 4,
        Body::AppendRequest(_) => 5,
        Body::AppendResponse(_) => 6,
        Body::InstallSnapshot(_) => 7,
        Body::TransferLeadership(_) => 8,
        Body::JoinCluster(_) => 9,
        Body::WatchRequest(_) => 10,
        Body::WatchBatch(_) => 11,
        Body::ProposeRequest(_) => 12,
        Body::ProposeResponse(_) => 13,
        Body::ReadIndexRequest(_) => 14,
        Body::ReadIndexResponse(_) => 15,
        Body::Reserve(_) => 16,
        Body::Offer(_) => 17,
        Body::OfferResponse(_) => 18,
        Body::OfferOutcome(_) => 19,
        Body::ForwardRequest(_) => 20,
        Body::ForwardResponse(_) => 21,
        Body::InstallSnapshotResponse(_) => 22,
        Body::WatchSnapshotChunk(_) => 23,
    }
}

/// One message of each kind.
pub fn all() -> Vec<Body> {
    [
        elections(),
        replication(),
        watch(),
        proposals(),
        placement(),
    ]
    .concat()
}

fn witness(index: u64) -> DurabilityWitness {
    DurabilityWitness {
        replica: format!("core-{index}"),
        disk: 71,
        index,
        term: 73,
    }
}

fn entry() -> Entry {
    Entry {
        index: 61,
        term: 62,
        at: 63,
        command: vec![64, 65],
    }
}

fn token() -> RequestToken {
    RequestToken {
        incarnation: 51,
        number: 52,
        attempt: 53,
    }
}

fn elections() -> Vec<Body> {
    let hello = Hello {
        disk: 1,
        term: 2,
        last_index: 3,
        last_term: 4,
        reply: true,
        knows: false,
        witnessed: Box::new(witness(5)),
        members: vec!["a".into(), "b".into()],
        witnesses: vec![witness(6)],
        zone: "z".into(),
    };
    let vote = VoteRequest {
        pre: true,
        leadership_transfer: false,
        term: 1,
        last_index: 2,
        last_term: 3,
        disk: 4,
    };
    let vote_response = VoteResponse {
        pre: false,
        term: 1,
        granted: true,
        disk: 2,
    };
    let join = JoinCluster {
        disk: 1,
        zone: "z".into(),
        standby_only: true,
    };
    vec![
        Body::Hello(Box::new(hello)),
        Body::VoteRequest(Box::new(vote)),
        Body::VoteResponse(Box::new(vote_response)),
        Body::TransferLeadership(Box::new(TransferLeadership { term: 9 })),
        Body::JoinCluster(Box::new(join)),
    ]
}

fn replication() -> Vec<Body> {
    let append = AppendRequest {
        term: 1,
        prev_index: 2,
        prev_term: 3,
        commit: 4,
        round: 5,
        entries: vec![entry()],
        witnesses: vec![witness(6)],
        clock: 7,
        may_leave: true,
        echo: None,
    };
    let append_response = AppendResponse {
        term: 1,
        ok: true,
        matched: 2,
        last_index: 3,
        round: 4,
        clock: 5,
        carried: false,
        disk: 6,
        leaving: true,
        refuses: false,
        stamp: None,
    };
    let install = InstallSnapshot {
        term: 1,
        round: 2,
        index: 3,
        index_term: 4,
        snapshot: vec![5, 6],
        offset: 7,
        total: 8,
        checksum: 9,
    };
    let install_response = InstallSnapshotResponse {
        term: 1,
        index: 2,
        index_term: 3,
        checksum: 4,
        received: 5,
        refused: true,
    };
    vec![
        Body::AppendRequest(Box::new(append)),
        Body::AppendResponse(Box::new(append_response)),
        Body::InstallSnapshot(Box::new(install)),
        Body::InstallSnapshotResponse(Box::new(install_response)),
    ]
}

fn watch() -> Vec<Body> {
    let shuffle = Shuffle {
        reply: true,
        view: vec![PeerView {
            addr: "a".into(),
            role: "core".into(),
            zone: "z".into(),
            age: 1,
        }],
        replicas: vec!["c".into()],
    };
    let batch = WatchBatch {
        replica: "c".into(),
        leader: "l".into(),
        ok: true,
        sent: 1,
        quorum_age: 2,
        clock: 3,
        commit: 4,
        snapshot: vec![5],
        snapshot_index: 6,
        entries: vec![entry()],
        replicas: vec!["a".into()],
        light: false,
        reached: 7,
        incarnation: 0,
        follows: 0,
        config_index: 0,
        stamp: None,
    };
    let chunk = WatchSnapshotChunk {
        commit: 1,
        light: true,
        index: 2,
        term: 3,
        offset: 4,
        total: 5,
        checksum: 6,
        bytes: vec![7, 8],
        requested_from: 0,
    };
    vec![
        Body::Shuffle(Box::new(shuffle)),
        Body::WatchRequest(Box::new(watch_request())),
        Body::WatchBatch(Box::new(batch)),
        Body::WatchSnapshotChunk(Box::new(chunk)),
    ]
}

fn watch_request() -> WatchRequest {
    WatchRequest {
        node: "n".into(),
        zone: "z".into(),
        http: "h".into(),
        log_index: 1,
        sent: 2,
        leaving: true,
        successor: "s".into(),
        clock: 3,
        carried: false,
        share: 4,
        beside_core: true,
        light: false,
        part_index: 5,
        part_checksum: 6,
        part_received: 7,
        incarnation: 0,
        echo: None,
    }
}

fn proposals() -> Vec<Body> {
    let propose = ProposeRequest {
        token: token(),
        command: vec![1, 2],
    };
    let propose_response = ProposeResponse {
        token: token(),
        outcome: 1,
        log_index: 2,
        leader: "l".into(),
        response: vec![3],
    };
    let read_index_response = ReadIndexResponse {
        token: token(),
        ok: true,
        log_index: 1,
        leader: "l".into(),
        nodes: vec![NodeProgress {
            node: "n".into(),
            log_index: 2,
            version: 3,
            age: 4,
        }],
    };
    let forward = ForwardRequest {
        token: token(),
        method: "GET".into(),
        path: "/p".into(),
        query: "q=1".into(),
        body: vec![1],
    };
    let forward_response = ForwardResponse {
        token: token(),
        status: 200,
        retry_ms: 1,
        body: vec![2],
        by: "n".into(),
        config_version: 0,
    };
    vec![
        Body::ProposeRequest(Box::new(propose)),
        Body::ProposeResponse(Box::new(propose_response)),
        Body::ReadIndexRequest(Box::new(ReadIndexRequest { token: token() })),
        Body::ReadIndexResponse(Box::new(read_index_response)),
        Body::ForwardRequest(Box::new(forward)),
        Body::ForwardResponse(Box::new(forward_response)),
    ]
}

fn placement() -> Vec<Body> {
    let reservation = Reservation {
        job: "j".into(),
        worker: "w".into(),
        scheduler: "s".into(),
        remaining: 1,
        size: 2.5,
        starved: true,
        local: false,
        asked: 3,
    };
    let sizes = Sizes {
        job: "j".into(),
        scheduler: "s".into(),
        remaining: 1,
        size: 2.5,
        starved: true,
        unsatisfied: false,
    };
    let offer = Offer {
        token: token(),
        job: "j".into(),
        worker: "w".into(),
        incarnation: 1,
        zone_scheduler: "c".into(),
        epoch: 2,
        cpu: 3,
        memory: 4,
        accelerators: 5,
        refusable: true,
    };
    let offer_response = OfferResponse {
        token: token(),
        worker: "w".into(),
        accepted: true,
        cpu: 1,
        memory: 2,
        accelerators: 3,
        gone: false,
        sizes: vec![sizes],
    };
    let outcome = OfferOutcome {
        token: token(),
        worker: "w".into(),
        placed: true,
    };
    vec![
        Body::Reserve(Box::new(Reserve {
            reservations: vec![reservation],
        })),
        Body::Offer(Box::new(offer)),
        Body::OfferResponse(Box::new(offer_response)),
        Body::OfferOutcome(Box::new(outcome)),
    ]
}
