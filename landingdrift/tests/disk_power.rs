//! The data folder after a power failure: each change of a directory entry that was not synced may be kept or lost
//! independently, and no confirmed data may be lost.

use landingdrift::disk::{DataFolder, Directory, FileSystem};
use landingdrift::sans_io::{HardState, Snapshot, WriteBatch};
use landingdrift::wire::{DurabilityWitness, Entry};
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

const SEGMENT_BYTES: u64 = 600;
/// The maximum number of unsynced changes of which every subset is lost in turn. With more, only the subsets that lose
/// none, one, all but one or all of them are checked.
const MAX_EXHAUSTIVE_CHANGES: usize = 6;

/// A change of a directory entry that is not synced yet, with the data to undo it.
#[derive(Clone, Debug)]
enum Unsynced {
    Created(PathBuf),
    Renamed {
        to: PathBuf,
        replaced: Option<Vec<u8>>,
    },
    Removed {
        path: PathBuf,
        bytes: Vec<u8>,
    },
}

/// The folder at a point in time: its files, and the changes that a power failure may undo.
#[derive(Clone)]
struct Image {
    files: Vec<(String, Vec<u8>)>,
    unsynced: Vec<Unsynced>,
}

#[derive(Default)]
struct TrackerState {
    unsynced: Vec<Unsynced>,
    images: Vec<Image>,
}

/// The file system, with a record of all changes of directory entries that are not durable.
#[derive(Clone)]
struct UnsyncedTracker {
    folder: PathBuf,
    state: Arc<Mutex<TrackerState>>,
}

impl UnsyncedTracker {
    fn new(folder: &Path) -> Self {
        Self {
            folder: folder.into(),
            state: Arc::default(),
        }
    }

    fn record_change(&self, change: Unsynced) {
        self.state
            .lock()
            .expect("not poisoned")
            .unsynced
            .push(change);
        self.record_image();
    }

    fn record_image(&self) {
        let files = fs::read_dir(&self.folder).expect("a folder").map(|e| {
            let path = e.expect("an entry").path();
            let name = path.file_name().expect("a name").to_string_lossy();
            (name.into_owned(), fs::read(&path).expect("read"))
        });
        let files = files.filter(|(name, _)| name != "lock").collect();
        let mut state = self.state.lock().expect("not poisoned");
        let unsynced = state.unsynced.clone();
        state.images.push(Image { files, unsynced });
    }

    fn take_images(&self) -> Vec<Image> {
        self.record_image();
        std::mem::take(&mut self.state.lock().expect("not poisoned").images)
    }
}

impl Directory for UnsyncedTracker {
    fn create(&self, path: &Path) -> io::Result<File> {
        let new = !path.exists();
        let file = FileSystem.create(path)?;
        if new {
            self.record_change(Unsynced::Created(path.into()));
        }
        Ok(file)
    }
    fn append(&self, path: &Path) -> io::Result<File> {
        let new = !path.exists();
        let file = FileSystem.append(path)?;
        if new {
            self.record_change(Unsynced::Created(path.into()));
        }
        Ok(file)
    }
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        let replaced = fs::read(to).ok();
        FileSystem.rename(from, to)?;
        self.record_change(Unsynced::Renamed {
            to: to.into(),
            replaced,
        });
        Ok(())
    }
    fn remove(&self, path: &Path) -> io::Result<()> {
        let bytes = fs::read(path)?;
        FileSystem.remove(path)?;
        self.record_change(Unsynced::Removed {
            path: path.into(),
            bytes,
        });
        Ok(())
    }
    fn sync(&self, folder: &Path) -> io::Result<()> {
        FileSystem.sync(folder)?;
        if folder == self.folder {
            self.state.lock().expect("not poisoned").unsynced.clear();
        }
        Ok(())
    }
}

fn file_name(path: &Path) -> PathBuf {
    path.file_name().expect("a name").into()
}

/// Writes an image to a folder, and undoes the changes whose bits are set in `lost`.
fn restore(image: &Image, lost: usize, to: &Path) {
    let _ = fs::remove_dir_all(to);
    fs::create_dir_all(to).expect("made");
    for (name, bytes) in &image.files {
        fs::write(to.join(name), bytes).expect("written");
    }
    for (n, change) in image.unsynced.iter().enumerate().rev() {
        if lost & (1 << n) == 0 {
            continue;
        }
        match change {
            Unsynced::Created(path) => {
                let _ = fs::remove_file(to.join(file_name(path)));
            }
            Unsynced::Renamed { to: path, replaced } => {
                let path = to.join(file_name(path));
                let _ = fs::remove_file(&path);
                if let Some(bytes) = replaced {
                    fs::write(path, bytes).expect("written");
                }
            }
            Unsynced::Removed { path, bytes } => {
                fs::write(to.join(file_name(path)), bytes).expect("written");
            }
        }
    }
}

fn lost_subsets(changes: usize) -> Vec<usize> {
    if changes <= MAX_EXHAUSTIVE_CHANGES {
        return (0..1 << changes).collect();
    }
    let all = (1 << changes) - 1;
    let single = (0..changes).map(|n| 1 << n);
    single
        .clone()
        .chain(single.map(|one| all & !one))
        .chain([0, all])
        .collect()
}

/// The data confirmed so far.
#[derive(Clone, Debug, Default)]
struct Confirmed {
    term: u64,
    last: u64,
    snapshot_index: u64,
    witnesses: usize,
    /// An index and a term: entries from this index on with a lower term were truncated, and must not reappear.
    truncated_from: Option<(u64, u64)>,
}

/// A data folder, the record of its unsynced changes, and the data that it must contain after a power failure.
struct PowerFailureTest {
    folder: DataFolder,
    tracker: UnsyncedTracker,
    path: PathBuf,
    confirmed: Confirmed,
    images_checked: usize,
}

fn temp_folder(name: &str) -> PathBuf {
    let path =
        std::env::temp_dir().join(format!("landingdrift-power-{}-{name}", std::process::id()));
    let _ = fs::remove_dir_all(&path);
    path
}

impl PowerFailureTest {
    fn new(name: &str) -> Self {
        let path = temp_folder(name);
        fs::create_dir_all(&path).expect("made");
        let tracker = UnsyncedTracker::new(&path);
        let opened = DataFolder::open_with(Box::new(tracker.clone()), &path, "c", SEGMENT_BYTES, 7);
        let (folder, _) = opened.expect("made");
        tracker.take_images();
        Self {
            folder,
            tracker,
            path,
            confirmed: Confirmed::default(),
            images_checked: 0,
        }
    }

    /// Saves a batch and checks every state that a power failure may leave. Every state during the save must contain
    /// the data confirmed before it, and the state after the save must contain the batch as well.
    fn save(&mut self, batch: WriteBatch) {
        let before = self.confirmed.clone();
        self.folder
            .save(std::slice::from_ref(&batch))
            .expect("saved");
        let confirmed = &mut self.confirmed;
        confirmed.term = batch.hard_state.map_or(confirmed.term, |h| h.term);
        confirmed.snapshot_index = batch.snapshot.map_or(confirmed.snapshot_index, |x| x.index);
        confirmed.last = batch.truncate_from.map_or(confirmed.last, |first_removed| {
            confirmed.last.min(first_removed - 1)
        });
        confirmed.last = batch
            .entries
            .last()
            .map_or(confirmed.last, |e| e.index)
            .max(confirmed.snapshot_index);
        confirmed.witnesses = confirmed.witnesses.max(batch.witnesses.len());
        let mut images = self.tracker.take_images();
        let last = images.pop().expect("an image");
        let confirmed = self.confirmed.clone();
        images.iter().for_each(|i| self.check_image(i, &before));
        self.check_image(&last, &confirmed);
    }

    fn check_image(&mut self, image: &Image, confirmed: &Confirmed) {
        let scratch = self.path.with_extension("scratch");
        for lost in lost_subsets(image.unsynced.len()) {
            restore(image, lost, &scratch);
            let context = format!(
                "{confirmed:?}, lost {lost:b} of {:?}",
                image.unsynced_summaries()
            );
            let opened = DataFolder::open(&scratch, "c", SEGMENT_BYTES, 8);
            let (_, loaded) = opened.unwrap_or_else(|e| panic!("{e}: {context}"));
            self.images_checked += 1;
            assert!(!loaded.damaged, "{context}");
            assert!(loaded.hard_state.term >= confirmed.term, "{context}");
            assert!(loaded.witnesses.len() >= confirmed.witnesses, "{context}");
            let snapshot_index = loaded
                .snapshot
                .as_ref()
                .map_or(0, |snapshot| snapshot.index);
            assert!(snapshot_index >= confirmed.snapshot_index, "{context}");
            let last = loaded.entries.last().map_or(snapshot_index, |e| e.index);
            assert!(last >= confirmed.last, "{last}: {context}");
            let first = loaded
                .entries
                .first()
                .map_or(snapshot_index + 1, |e| e.index);
            assert!(
                first == snapshot_index + 1,
                "{first} after {snapshot_index}: {context}"
            );
            if let Some((from, term)) = confirmed.truncated_from {
                let reappeared = loaded
                    .entries
                    .iter()
                    .find(|e| e.index >= from && e.term < term);
                assert!(
                    reappeared.is_none(),
                    "truncated entries must not reappear: {context}"
                );
            }
        }
    }
}

impl Image {
    fn unsynced_summaries(&self) -> Vec<String> {
        self.unsynced
            .iter()
            .map(|change| format!("{change:.60?}"))
            .collect()
    }
}

fn entries(from: u64, to: u64, term: u64) -> WriteBatch {
    let entry = |index| Entry {
        index,
        term,
        at: index,
        command: format!("\"e{index}\"").into_bytes(),
    };
    WriteBatch {
        entries: (from..=to).map(entry).collect(),
        ..WriteBatch::default()
    }
}

fn snapshot(index: u64, term: u64) -> Option<Snapshot> {
    Some(Snapshot {
        index,
        term,
        bytes: vec![b's'; 300],
    })
}

fn hard_state(term: u64) -> Option<HardState> {
    Some(HardState {
        term,
        vote: "a".into(),
        no_vote_through: 0,
        founders: Vec::new(),
    })
}

#[test]
fn confirmed_data_survives_any_loss_of_unsynced_directory_changes() {
    let mut test = PowerFailureTest::new("snapshots");
    test.save(WriteBatch {
        hard_state: hard_state(3),
        witnesses: vec![DurabilityWitness {
            replica: "b".into(),
            disk: 9,
            index: 1,
            term: 1,
        }],
        ..WriteBatch::default()
    });
    for round in 0..4 {
        let from = round * 30 + 1;
        (from..from + 30).for_each(|i| test.save(entries(i, i, 3)));
        test.save(WriteBatch {
            snapshot: snapshot(from + 19, 3),
            ..WriteBatch::default()
        });
    }
    assert!(test.images_checked > 200, "{} images", test.images_checked);
}

#[test]
fn replacing_the_log_with_a_snapshot_never_restores_truncated_entries() {
    let mut test = PowerFailureTest::new("installs");
    test.save(WriteBatch {
        hard_state: hard_state(2),
        ..WriteBatch::default()
    });
    // An uncommitted log that is longer than the snapshot that replaces it.
    (1..=60).for_each(|i| test.save(entries(i, i, 1)));
    test.confirmed.last = 0;
    test.save(WriteBatch {
        hard_state: hard_state(5),
        truncate_from: Some(1),
        snapshot: snapshot(40, 4),
        ..WriteBatch::default()
    });
    test.confirmed.truncated_from = Some((41, 4));
    test.save(WriteBatch {
        witnesses: vec![DurabilityWitness::default()],
        ..WriteBatch::default()
    });
    test.save(entries(41, 43, 5));
    test.save(entries(44, 60, 5));
    test.save(WriteBatch {
        snapshot: snapshot(55, 5),
        ..WriteBatch::default()
    });
    assert!(test.images_checked > 60, "{} images", test.images_checked);
}
