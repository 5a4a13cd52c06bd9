//! The data folder when the power goes: whatever was not synced may be kept or lost, each change of a name by itself.

use landingdrift::disk::{DataFolder, Directory, FileSystem};
use landingdrift::sans_io::{HardState, Snapshot, WriteBatch};
use landingdrift::wire::{DurabilityWitness, Entry};
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

const SEGMENT_BYTES: u64 = 600;
/// Images with more unsynced changes are looked at with each change lost alone, and each kept alone.
const ALL_SUBSETS_UP_TO: usize = 6;

/// A change of a name that is not synced yet, with what it takes to undo it.
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

/// The folder as it was at a moment: its files, and the changes that the loss of power may undo.
#[derive(Clone)]
struct Image {
    files: Vec<(String, Vec<u8>)>,
    unsynced: Vec<Unsynced>,
}

#[derive(Default)]
struct State {
    unsynced: Vec<Unsynced>,
    images: Vec<Image>,
}

/// The file system, with a note of all that is not durable.
#[derive(Clone)]
struct Lossy {
    folder: PathBuf,
    state: Arc<Mutex<State>>,
}

impl Lossy {
    fn new(folder: &Path) -> Self {
        Self {
            folder: folder.into(),
            state: Arc::default(),
        }
    }

    fn changed(&self, change: Unsynced) {
        self.state.lock().expect("free").unsynced.push(change);
        self.keep_image();
    }

    fn keep_image(&self) {
        let files = fs::read_dir(&self.folder).expect("a folder").map(|e| {
            let path = e.expect("an entry").path();
            let name = path.file_name().expect("a name").to_string_lossy();
            (name.into_owned(), fs::read(&path).expect("read"))
        });
        let files = files.filter(|(name, _)| name != "lock").collect();
        let mut state = self.state.lock().expect("free");
        let unsynced = state.unsynced.clone();
        state.images.push(Image { files, unsynced });
    }

    fn take_images(&self) -> Vec<Image> {
        self.keep_image();
        std::mem::take(&mut self.state.lock().expect("free").images)
    }
}

impl Directory for Lossy {
    fn create(&self, path: &Path) -> io::Result<File> {
        let new = !path.exists();
        let file = FileSystem.create(path)?;
        if new {
            self.changed(Unsynced::Created(path.into()));
        }
        Ok(file)
    }
    fn append(&self, path: &Path) -> io::Result<File> {
        let new = !path.exists();
        let file = FileSystem.append(path)?;
        if new {
            self.changed(Unsynced::Created(path.into()));
        }
        Ok(file)
    }
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        let replaced = fs::read(to).ok();
        FileSystem.rename(from, to)?;
        self.changed(Unsynced::Renamed {
            to: to.into(),
            replaced,
        });
        Ok(())
    }
    fn remove(&self, path: &Path) -> io::Result<()> {
        let bytes = fs::read(path)?;
        FileSystem.remove(path)?;
        self.changed(Unsynced::Removed {
            path: path.into(),
            bytes,
        });
        Ok(())
    }
    fn sync(&self, folder: &Path) -> io::Result<()> {
        FileSystem.sync(folder)?;
        if folder == self.folder {
            self.state.lock().expect("free").unsynced.clear();
        }
        Ok(())
    }
}

fn name(path: &Path) -> PathBuf {
    path.file_name().expect("a name").into()
}

/// Writes an image out, with the changes undone whose bit is set.
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
                let _ = fs::remove_file(to.join(name(path)));
            }
            Unsynced::Renamed { to: path, replaced } => {
                let path = to.join(name(path));
                let _ = fs::remove_file(&path);
                if let Some(bytes) = replaced {
                    fs::write(path, bytes).expect("written");
                }
            }
            Unsynced::Removed { path, bytes } => {
                fs::write(to.join(name(path)), bytes).expect("written");
            }
        }
    }
}

fn losses(changes: usize) -> Vec<usize> {
    if changes <= ALL_SUBSETS_UP_TO {
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

/// What was confirmed so far.
#[derive(Clone, Debug, Default)]
struct Confirmed {
    term: u64,
    last: u64,
    captured: u64,
    witnesses: usize,
    /// From here on the log is of this term.
    newer: Option<(u64, u64)>,
}

struct Model {
    folder: DataFolder,
    lossy: Lossy,
    at: PathBuf,
    confirmed: Confirmed,
    seen: usize,
}

fn place(name: &str) -> PathBuf {
    let at = std::env::temp_dir().join(format!("landingdrift-power-{}-{name}", std::process::id()));
    let _ = fs::remove_dir_all(&at);
    at
}

impl Model {
    fn new(name: &str) -> Self {
        let at = place(name);
        fs::create_dir_all(&at).expect("made");
        let lossy = Lossy::new(&at);
        let made = DataFolder::open_with(Box::new(lossy.clone()), &at, "c", SEGMENT_BYTES, 7);
        let (folder, _) = made.expect("made");
        lossy.take_images();
        Self {
            folder,
            lossy,
            at,
            confirmed: Confirmed::default(),
            seen: 0,
        }
    }

    /// Saves, and looks at all that the power may leave: before the end what was confirmed so far, then all.
    fn save(&mut self, save: WriteBatch) {
        let before = self.confirmed.clone();
        self.folder
            .save(std::slice::from_ref(&save))
            .expect("saved");
        let c = &mut self.confirmed;
        c.term = save.hard_state.map_or(c.term, |h| h.term);
        c.captured = save.snapshot.map_or(c.captured, |x| x.index);
        c.last = save.truncate_from.map_or(c.last, |cut| c.last.min(cut - 1));
        c.last = save
            .entries
            .last()
            .map_or(c.last, |e| e.index)
            .max(c.captured);
        c.witnesses = c.witnesses.max(save.witnesses.len());
        let mut images = self.lossy.take_images();
        let last = images.pop().expect("an image");
        let confirmed = self.confirmed.clone();
        images.iter().for_each(|i| self.look(i, &before));
        self.look(&last, &confirmed);
    }

    fn look(&mut self, image: &Image, confirmed: &Confirmed) {
        let scratch = self.at.with_extension("scratch");
        for lost in losses(image.unsynced.len()) {
            restore(image, lost, &scratch);
            let told = format!("{confirmed:?}, lost {lost:b} of {:?}", image.names());
            let term_start_index = DataFolder::open(&scratch, "c", SEGMENT_BYTES, 8);
            let (_, l) = term_start_index.unwrap_or_else(|e| panic!("{e}: {told}"));
            self.seen += 1;
            assert!(!l.damaged, "{told}");
            assert!(l.hard_state.term >= confirmed.term, "{told}");
            assert!(l.witnesses.len() >= confirmed.witnesses, "{told}");
            let captured = l.snapshot.as_ref().map_or(0, |c| c.index);
            assert!(captured >= confirmed.captured, "{told}");
            let last = l.entries.last().map_or(captured, |e| e.index);
            assert!(last >= confirmed.last, "{last}: {told}");
            let first = l.entries.first().map_or(captured + 1, |e| e.index);
            assert!(first == captured + 1, "{first} after {captured}: {told}");
            if let Some((from, term)) = confirmed.newer {
                let old = l.entries.iter().find(|e| e.index >= from && e.term < term);
                assert!(old.is_none(), "void entries are back: {told}");
            }
        }
    }
}

impl Image {
    fn names(&self) -> Vec<String> {
        self.unsynced.iter().map(|u| format!("{u:.60?}")).collect()
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
fn what_was_confirmed_survives_any_loss_of_unsynced_names() {
    let mut m = Model::new("captures");
    m.save(WriteBatch {
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
        (from..from + 30).for_each(|i| m.save(entries(i, i, 3)));
        m.save(WriteBatch {
            snapshot: snapshot(from + 19, 3),
            ..WriteBatch::default()
        });
    }
    assert!(m.seen > 200, "{} images", m.seen);
}

#[test]
fn a_snapshot_that_replaces_the_log_brings_no_void_entry_back() {
    let mut m = Model::new("installs");
    m.save(WriteBatch {
        hard_state: hard_state(2),
        ..WriteBatch::default()
    });
    // A log that nobody else has, longer than the snapshot that takes its place.
    (1..=60).for_each(|i| m.save(entries(i, i, 1)));
    m.confirmed.last = 0;
    m.save(WriteBatch {
        hard_state: hard_state(5),
        truncate_from: Some(1),
        snapshot: snapshot(40, 4),
        ..WriteBatch::default()
    });
    m.confirmed.newer = Some((41, 4));
    m.save(WriteBatch {
        witnesses: vec![DurabilityWitness::default()],
        ..WriteBatch::default()
    });
    m.save(entries(41, 43, 5));
    m.save(entries(44, 60, 5));
    m.save(WriteBatch {
        snapshot: snapshot(55, 5),
        ..WriteBatch::default()
    });
    assert!(m.seen > 60, "{} images", m.seen);
}
