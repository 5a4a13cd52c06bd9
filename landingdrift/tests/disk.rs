//! The data folder with incomplete writes, damaged files, files of others and folders of other clusters.

use landingdrift::disk::{verify, DataFolder, StorageError};
use landingdrift::sans_io::{HardState, Snapshot, WriteBatch};
use landingdrift::wire::{DurabilityWitness, Entry};
use std::fs;
use std::path::{Path, PathBuf};

fn folder(name: &str) -> PathBuf {
    let p = std::env::temp_dir().join(format!("landingdrift-disk-{}-{name}", std::process::id()));
    let _ = fs::remove_dir_all(&p);
    p
}

fn entry(index: u64, term: u64) -> Entry {
    Entry {
        index,
        term,
        at: index * 10,
        command: format!("\"e{index}\"").into_bytes(),
    }
}

fn write(f: &mut DataFolder, from: u64, to: u64) {
    for i in from..=to {
        f.save(&[WriteBatch {
            entries: vec![entry(i, 1)],
            ..WriteBatch::default()
        }])
        .expect("saved");
    }
}

fn segments(p: &Path) -> Vec<PathBuf> {
    let mut s: Vec<PathBuf> = fs::read_dir(p)
        .expect("a folder")
        .filter_map(|e| e.ok().map(|e| e.path()))
        .filter(|p| p.extension().is_some_and(|x| x == "segment"))
        .collect();
    s.sort();
    s
}

#[test]
fn saved_data_is_loaded_again_and_a_torn_tail_is_truncated() {
    let p = folder("torn");
    let (mut f, loaded) = DataFolder::open(&p, "c", 1 << 20, 7).expect("created");
    assert_eq!((loaded.disk, loaded.entries.len()), (7, 0));
    write(&mut f, 1, 5);
    let hard_state = HardState {
        term: 3,
        vote: "a".into(),
        no_vote_through: 2,
        founders: vec!["10.0.0.1:7000".into()],
    };
    let witnesses = vec![DurabilityWitness {
        replica: "b".into(),
        disk: 9,
        index: 4,
        term: 1,
    }];
    f.save(&[WriteBatch {
        hard_state: Some(hard_state.clone()),
        witnesses: witnesses.clone(),
        truncate_from: Some(5),
        entries: vec![entry(5, 2), entry(6, 2)],
        ..WriteBatch::default()
    }])
    .expect("saved");
    drop(f);
    let last = segments(&p).pop().expect("a segment");
    let mut bytes = fs::read(&last).expect("read");
    bytes.extend([40, 0, 0, 0, 1, 2, 3, 4, 9, 9]);
    fs::write(&last, &bytes).expect("written");
    assert!(verify(&p).expect("verified").torn_tail);
    let (_, l) = DataFolder::open(&p, "c", 1 << 20, 8).expect("opened");
    assert_eq!(l.disk, 7);
    assert!(!l.damaged);
    assert_eq!((l.hard_state, l.witnesses), (hard_state, witnesses));
    assert_eq!(
        l.entries
            .iter()
            .map(|e| (e.index, e.term))
            .collect::<Vec<_>>(),
        [(1, 1), (2, 1), (3, 1), (4, 1), (5, 2), (6, 2)]
    );
}

#[test]
fn damage_in_the_middle_is_reported_and_does_not_lose_the_term() {
    let p = folder("damage");
    let (mut f, _) = DataFolder::open(&p, "c", 1 << 20, 7).expect("created");
    write(&mut f, 1, 20);
    f.save(&[WriteBatch {
        hard_state: Some(HardState {
            term: 9,
            ..HardState::default()
        }),
        ..WriteBatch::default()
    }])
    .expect("saved");
    drop(f);
    let first = segments(&p).remove(0);
    let mut bytes = fs::read(&first).expect("read");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 0xff;
    fs::write(&first, &bytes).expect("written");
    assert!(verify(&p).expect("verified").damaged);
    let (f, l) = DataFolder::open(&p, "c", 1 << 20, 8).expect("opened");
    assert!(l.damaged && l.hard_state.term == 9);
    let n = l.entries.len() as u64;
    assert!(n > 3 && n < 20, "kept {n}");
    assert!(l
        .entries
        .iter()
        .enumerate()
        .all(|(i, e)| e.index == i as u64 + 1));
    drop(f);
    // Intact entries are kept, and the folder can be used again.
    let (_, again) = DataFolder::open(&p, "c", 1 << 20, 8).expect("opened again");
    assert_eq!(again.entries.len() as u64, n);
}

#[test]
fn a_snapshot_lets_old_segments_be_removed() {
    let p = folder("captures");
    let (mut f, _) = DataFolder::open(&p, "c", 600, 7).expect("created");
    write(&mut f, 1, 60);
    let before = segments(&p).len();
    f.save(&[WriteBatch {
        snapshot: Some(Snapshot {
            index: 50,
            term: 1,
            bytes: b"state".to_vec(),
        }),
        ..WriteBatch::default()
    }])
    .expect("saved");
    write(&mut f, 61, 62);
    assert!(
        before > 4 && segments(&p).len() < before,
        "{before} segments before, {} after",
        segments(&p).len()
    );
    drop(f);
    let (_, l) = DataFolder::open(&p, "c", 600, 7).expect("opened");
    assert_eq!(l.snapshot.map(|c| c.index), Some(50));
    assert_eq!(
        l.entries.iter().map(|e| e.index).collect::<Vec<_>>(),
        (51..=62).collect::<Vec<_>>()
    );
}

#[test]
fn unknown_folders_folders_in_use_and_folders_of_other_clusters_are_rejected() {
    let p = folder("foreign");
    fs::create_dir_all(&p).expect("created");
    fs::write(p.join("photos.txt"), "mine").expect("written");
    assert!(matches!(
        DataFolder::open(&p, "c", 600, 7),
        Err(StorageError::NotADataFolder(_))
    ));
    let q = folder("cluster");
    let kept = DataFolder::open(&q, "c", 600, 7).expect("created");
    assert!(matches!(
        DataFolder::open(&q, "c", 600, 7),
        Err(StorageError::InUse(_))
    ));
    drop(kept);
    assert!(matches!(
        DataFolder::open(&q, "d", 600, 7),
        Err(StorageError::Cluster { .. })
    ));
}
