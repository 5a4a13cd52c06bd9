//! The data folder with incomplete writes, damaged files or unknown files, and folders of other clusters.

use landingdrift::disk::{verify, DataFolder, StorageError};
use landingdrift::sans_io::{HardState, Snapshot, WriteBatch};
use landingdrift::wire::{DurabilityWitness, Entry};
use std::fs;
use std::path::{Path, PathBuf};

fn folder(name: &str) -> PathBuf {
    let path =
        std::env::temp_dir().join(format!("landingdrift-disk-{}-{name}", std::process::id()));
    let _ = fs::remove_dir_all(&path);
    path
}

fn entry(index: u64, term: u64) -> Entry {
    Entry {
        index,
        term,
        at: index * 10,
        command: format!("\"e{index}\"").into_bytes(),
    }
}

fn save_entries(data: &mut DataFolder, from: u64, to: u64) {
    for i in from..=to {
        data.save(&[WriteBatch {
            entries: vec![entry(i, 1)],
            ..WriteBatch::default()
        }])
        .expect("saved");
    }
}

fn segments(path: &Path) -> Vec<PathBuf> {
    let mut paths: Vec<PathBuf> = fs::read_dir(path)
        .expect("a folder")
        .filter_map(|e| e.ok().map(|e| e.path()))
        .filter(|path| path.extension().is_some_and(|x| x == "segment"))
        .collect();
    paths.sort();
    paths
}

#[test]
fn saved_data_is_loaded_again_and_a_torn_tail_is_truncated() {
    let path = folder("torn");
    let (mut data, loaded) = DataFolder::open(&path, "c", 1 << 20, 7).expect("created");
    assert_eq!((loaded.disk, loaded.entries.len()), (7, 0));
    save_entries(&mut data, 1, 5);
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
    data.save(&[WriteBatch {
        hard_state: Some(hard_state.clone()),
        witnesses: witnesses.clone(),
        truncate_from: Some(5),
        entries: vec![entry(5, 2), entry(6, 2)],
        ..WriteBatch::default()
    }])
    .expect("saved");
    drop(data);
    let last = segments(&path).pop().expect("a segment");
    let mut bytes = fs::read(&last).expect("read");
    bytes.extend([40, 0, 0, 0, 1, 2, 3, 4, 9, 9]);
    fs::write(&last, &bytes).expect("written");
    assert!(verify(&path).expect("verified").torn_tail);
    let (_, loaded) = DataFolder::open(&path, "c", 1 << 20, 8).expect("opened");
    assert_eq!(loaded.disk, 7);
    assert!(!loaded.damaged);
    assert_eq!(
        (loaded.hard_state, loaded.witnesses),
        (hard_state, witnesses)
    );
    assert_eq!(
        loaded
            .entries
            .iter()
            .map(|e| (e.index, e.term))
            .collect::<Vec<_>>(),
        [(1, 1), (2, 1), (3, 1), (4, 1), (5, 2), (6, 2)]
    );
}

#[test]
fn damage_in_the_middle_is_reported_and_does_not_lose_the_term() {
    let path = folder("damage");
    let (mut data, _) = DataFolder::open(&path, "c", 1 << 20, 7).expect("created");
    save_entries(&mut data, 1, 20);
    data.save(&[WriteBatch {
        hard_state: Some(HardState {
            term: 9,
            ..HardState::default()
        }),
        ..WriteBatch::default()
    }])
    .expect("saved");
    drop(data);
    let first = segments(&path).remove(0);
    let mut bytes = fs::read(&first).expect("read");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 0xff;
    fs::write(&first, &bytes).expect("written");
    assert!(verify(&path).expect("verified").damaged);
    let (data, loaded) = DataFolder::open(&path, "c", 1 << 20, 8).expect("opened");
    assert!(loaded.damaged && loaded.hard_state.term == 9);
    let intact_entries = loaded.entries.len() as u64;
    assert!(
        intact_entries > 3 && intact_entries < 20,
        "{intact_entries} entries were kept"
    );
    assert!(loaded
        .entries
        .iter()
        .enumerate()
        .all(|(i, e)| e.index == i as u64 + 1));
    drop(data);
    // Intact entries are kept, and the folder can be used again.
    let (_, reopened) = DataFolder::open(&path, "c", 1 << 20, 8).expect("opened again");
    assert_eq!(reopened.entries.len() as u64, intact_entries);
}

#[test]
fn segments_covered_by_a_snapshot_are_removed() {
    let path = folder("snapshots");
    let (mut data, _) = DataFolder::open(&path, "c", 600, 7).expect("created");
    save_entries(&mut data, 1, 60);
    let before = segments(&path).len();
    data.save(&[WriteBatch {
        snapshot: Some(Snapshot {
            index: 50,
            term: 1,
            bytes: b"state".to_vec(),
        }),
        ..WriteBatch::default()
    }])
    .expect("saved");
    save_entries(&mut data, 61, 62);
    assert!(
        before > 4 && segments(&path).len() < before,
        "{before} segments before, {} after",
        segments(&path).len()
    );
    drop(data);
    let (_, loaded) = DataFolder::open(&path, "c", 600, 7).expect("opened");
    assert_eq!(loaded.snapshot.map(|snapshot| snapshot.index), Some(50));
    assert_eq!(
        loaded.entries.iter().map(|e| e.index).collect::<Vec<_>>(),
        (51..=62).collect::<Vec<_>>()
    );
}

#[test]
fn unknown_folders_folders_in_use_and_folders_of_other_clusters_are_rejected() {
    let path = folder("foreign");
    fs::create_dir_all(&path).expect("created");
    fs::write(path.join("photos.txt"), "mine").expect("written");
    assert!(matches!(
        DataFolder::open(&path, "c", 600, 7),
        Err(StorageError::NotADataFolder(_))
    ));
    let other_path = folder("cluster");
    let locked_folder = DataFolder::open(&other_path, "c", 600, 7).expect("created");
    assert!(matches!(
        DataFolder::open(&other_path, "c", 600, 7),
        Err(StorageError::InUse(_))
    ));
    drop(locked_folder);
    assert!(matches!(
        DataFolder::open(&other_path, "d", 600, 7),
        Err(StorageError::Cluster { .. })
    ));
}
