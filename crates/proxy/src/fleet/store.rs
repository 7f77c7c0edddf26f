//! The directory of a member that may vote: who it is, and its records in the order in which they were written.
//!
//! `member` says whose directory it is; `log.N` holds checksummed records, the first of which is all that went
//! before; `acked` says up to where records were acknowledged; `lock` is held while a process uses it. A record
//! that ends early behind what was acknowledged was never answered for and is cut off. Anything else that can't
//! be read is refused with its file and place: it is never guessed over.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write as _};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use rustix::fs::{FlockOperation, flock};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tracing::{info, warn};
use violetwind_consensus::NodeId;
use violetwind_fleet::{Number, Record, Saved};

/// Length and checksum before each record.
const HEAD: usize = 8;
/// The longest record: a snapshot, or a batch of entries.
const RECORD: usize = 64 << 20;
const VERSION: u8 = 1;

#[derive(Debug, Error)]
pub enum Fault {
    #[error("{}: {error}", path.display())]
    Io { path: PathBuf, error: io::Error },
    #[error("{}: another process uses this directory", path.display())]
    InUse { path: PathBuf },
    #[error("{}: byte {at}: {what}; nothing is guessed: empty the directory, and let it in anew", path.display())]
    Damaged {
        path: PathBuf,
        at: u64,
        what: String,
    },
    #[error("{}: it belongs to \"{node}\" of fleet \"{fleet}\"", path.display())]
    Foreign {
        path: PathBuf,
        fleet: String,
        node: String,
    },
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Owner {
    fleet: String,
    node: String,
    id: NodeId,
}

#[derive(Debug, Serialize, Deserialize)]
enum Kept {
    /// Everything up to here, the first record of a file.
    Whole(Saved),
    Record(Record),
}

/// Up to where records of which file were acknowledged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Acked {
    segment: u64,
    bytes: u64,
}

#[derive(Debug)]
pub struct Store {
    dir: PathBuf,
    /// Held for as long as this is.
    _lock: File,
    file: File,
    acked: File,
    segment: u64,
    bytes: u64,
    /// The size of the file after it was written anew.
    fresh: u64,
    segment_bytes: u64,
    sync: bool,
    saved: Saved,
}

fn io_at(path: &Path) -> impl Fn(io::Error) -> Fault + '_ {
    move |error| Fault::Io {
        path: path.to_path_buf(),
        error,
    }
}

fn framed(what: &impl Serialize) -> Vec<u8> {
    let bytes = postcard::to_extend(what, vec![0; HEAD]).expect("plain data can be written");
    let mut bytes: Vec<u8> = bytes;
    let length = (bytes.len() - HEAD) as u32;
    bytes[..4].copy_from_slice(&length.to_le_bytes());
    let crc = checksum(&bytes);
    bytes[4..HEAD].copy_from_slice(&crc.to_le_bytes());
    bytes
}

fn checksum(framed: &[u8]) -> u32 {
    let mut crc = crc32fast::Hasher::new();
    crc.update(&framed[..4]);
    crc.update(&framed[HEAD..]);
    crc.finalize()
}

/// A record and what follows it; none where it is not whole or not sound.
fn unframed<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<(T, usize), String> {
    if bytes.len() < HEAD {
        return Err("a record ends early".into());
    }
    let word = |at: usize| u32::from_le_bytes(bytes[at..at + 4].try_into().expect("four bytes"));
    let length = word(0) as usize;
    if length > RECORD {
        return Err(format!("a record of {length} bytes"));
    }
    if bytes.len() < HEAD + length {
        return Err("a record ends early".into());
    }
    let whole = &bytes[..HEAD + length];
    if checksum(whole) != word(4) {
        return Err("a record is altered: its checksum differs".into());
    }
    let read =
        postcard::from_bytes(&whole[HEAD..]).map_err(|error| format!("a record: {error}"))?;
    Ok((read, HEAD + length))
}

/// Writes a small file so that it is there whole or not at all.
fn replace(dir: &Path, name: &str, bytes: &[u8]) -> Result<File, Fault> {
    let (path, new) = (dir.join(name), dir.join(format!("{name}.new")));
    let mut file = OpenOptions::new()
        .create(true)
        .truncate(true)
        .read(true)
        .write(true)
        .open(&new)
        .map_err(io_at(&new))?;
    file.write_all(bytes).map_err(io_at(&new))?;
    file.sync_all().map_err(io_at(&new))?;
    fs::rename(&new, &path).map_err(io_at(&path))?;
    File::open(dir)
        .and_then(|dir| dir.sync_all())
        .map_err(io_at(dir))?;
    Ok(file)
}

impl Store {
    /// Opens or makes the directory of a member; `fresh` is the id that a new one gets.
    ///
    /// # Errors
    /// In use, somebody else's, damaged, or a disk that does not do what it should.
    pub fn open(
        dir: &Path,
        (fleet, node): (&str, &str),
        fresh: NodeId,
        segment_bytes: u64,
        sync: bool,
    ) -> Result<Self, Fault> {
        fs::create_dir_all(dir).map_err(io_at(dir))?;
        let path = dir.join("lock");
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(&path);
        let lock = lock.map_err(io_at(&path))?;
        flock(&lock, FlockOperation::NonBlockingLockExclusive).map_err(|_| Fault::InUse {
            path: dir.to_path_buf(),
        })?;
        let (owner_path, segments) = (dir.join("member"), segments(dir)?);
        let owner = match read(&owner_path)? {
            Some(bytes) => {
                let damaged = |what| Fault::Damaged {
                    path: owner_path.clone(),
                    at: 0,
                    what,
                };
                let (&version, rest) = bytes.split_first().ok_or(damaged("empty".into()))?;
                if version != VERSION {
                    return Err(damaged(format!(
                        "version {version}, and this program knows {VERSION}"
                    )));
                }
                unframed::<Owner>(rest).map_err(damaged)?.0
            }
            None if !segments.is_empty() => {
                let what = "it is missing, and there are records".to_string();
                return Err(Fault::Damaged {
                    path: owner_path,
                    at: 0,
                    what,
                });
            }
            None => {
                let (fleet, node) = (fleet.to_string(), node.to_string());
                let owner = Owner {
                    fleet,
                    node,
                    id: fresh,
                };
                let bytes = [&[VERSION][..], &framed(&owner)].concat();
                replace(dir, "member", &bytes)?;
                owner
            }
        };
        if (owner.fleet.as_str(), owner.node.as_str()) != (fleet, node) {
            return Err(Fault::Foreign {
                path: owner_path,
                fleet: owner.fleet,
                node: owner.node,
            });
        }
        let acked_path = dir.join("acked");
        let known: Acked = match read(&acked_path)? {
            // Half of a mark says nothing; all that is lost by it is that a cut and an alteration look alike.
            Some(bytes) => unframed(&bytes).map(|(acked, _)| acked).unwrap_or_default(),
            None => Acked::default(),
        };
        let acked = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(&acked_path);
        let acked = acked.map_err(io_at(&acked_path))?;
        let Some(segment) = segments.last().copied() else {
            if known != Acked::default() {
                let what = format!("log.{} is missing", known.segment);
                return Err(Fault::Damaged {
                    path: acked_path,
                    at: 0,
                    what,
                });
            }
            let saved = Saved::new(owner.id);
            let bytes = framed(&Kept::Whole(saved.clone()));
            let file = replace(dir, "log.1", &bytes)?;
            let bytes = bytes.len() as u64;
            let dir = dir.to_path_buf();
            let (fresh, segment) = (bytes, 1);
            return Ok(Self {
                dir,
                _lock: lock,
                file,
                acked,
                segment,
                bytes,
                fresh,
                segment_bytes,
                sync,
                saved,
            });
        };
        if segment < known.segment {
            let what = format!("log.{} is missing", known.segment);
            return Err(Fault::Damaged {
                path: acked_path,
                at: 0,
                what,
            });
        }
        let path = dir.join(format!("log.{segment}"));
        let mut file = OpenOptions::new()
            .read(true)
            .write(true)
            .open(&path)
            .map_err(io_at(&path))?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes).map_err(io_at(&path))?;
        let answered = if known.segment == segment {
            known.bytes as usize
        } else {
            0
        };
        let damaged = |at: usize, what| Fault::Damaged {
            path: path.clone(),
            at: at as u64,
            what,
        };
        if bytes.len() < answered {
            return Err(damaged(
                bytes.len(),
                format!("it ends before byte {answered}, which was acknowledged"),
            ));
        }
        let (mut saved, mut at, mut fresh_bytes) = (None, 0, 0);
        while at < bytes.len() {
            match unframed::<Kept>(&bytes[at..]) {
                Ok((Kept::Whole(whole), length)) if at == 0 => {
                    if whole.id != owner.id {
                        return Err(damaged(0, "it is another directory's".into()));
                    }
                    (saved, fresh_bytes) = (Some(whole), length as u64);
                    at += length;
                }
                Ok((Kept::Record(record), length)) if at > 0 => {
                    let saved = saved.as_mut().expect("the first record is whole");
                    saved.apply(record).map_err(|what| damaged(at, what))?;
                    at += length;
                }
                Ok(_) => {
                    return Err(damaged(
                        at,
                        "a record in a place that is not its own".into(),
                    ));
                }
                // The first record was there whole before the file got its name.
                Err(what) if at < answered || at == 0 => return Err(damaged(at, what)),
                Err(what) => {
                    warn!(file = %path.display(), at, what, "the last record was never acknowledged: it is cut off");
                    file.set_len(at as u64).map_err(io_at(&path))?;
                    file.sync_all().map_err(io_at(&path))?;
                    break;
                }
            }
        }
        let Some(saved) = saved else {
            return Err(damaged(0, "it is empty".into()));
        };
        file.seek(SeekFrom::Start(at as u64))
            .map_err(io_at(&path))?;
        for older in &segments[..segments.len() - 1] {
            let _ = fs::remove_file(dir.join(format!("log.{older}")));
        }
        let dir = dir.to_path_buf();
        let (bytes, fresh) = (at as u64, fresh_bytes);
        Ok(Self {
            dir,
            _lock: lock,
            file,
            acked,
            segment,
            bytes,
            fresh,
            segment_bytes,
            sync,
            saved,
        })
    }

    pub fn saved(&self) -> &Saved {
        &self.saved
    }

    /// Puts the files of this directory aside, under a name that says why; who opens it next is somebody else.
    pub fn set_aside(self, why: &str) -> Result<PathBuf, Fault> {
        let id = self.saved.id.0;
        let aside = self.dir.join(format!("{why}-{id:x}"));
        fs::create_dir_all(&aside).map_err(io_at(&aside))?;
        for name in segments(&self.dir)?
            .iter()
            .map(|n| format!("log.{n}"))
            .chain(["acked".into(), "member".into()])
        {
            let from = self.dir.join(&name);
            if from.exists() {
                fs::rename(&from, aside.join(&name)).map_err(io_at(&from))?;
            }
        }
        Ok(aside)
    }

    /// Writes records behind what is there; they are on disk when this returns.
    ///
    /// # Errors
    /// A disk that is full leaves the file as it was; after any other fault nothing more may be written.
    fn append(&mut self, records: Vec<Record>) -> Result<(), Fault> {
        let path = self.dir.join(format!("log.{}", self.segment));
        let bytes: Vec<u8> = records
            .iter()
            .flat_map(|record| framed(&Kept::Record(record.clone())))
            .collect();
        if let Err(error) = self.file.write_all(&bytes) {
            // Half of it may be there.
            self.file.set_len(self.bytes).map_err(io_at(&path))?;
            self.file
                .seek(SeekFrom::Start(self.bytes))
                .map_err(io_at(&path))?;
            return Err(Fault::Io { path, error });
        }
        if self.sync {
            self.file.sync_data().map_err(io_at(&path))?;
        }
        self.bytes += bytes.len() as u64;
        for record in records {
            self.saved.apply(record).map_err(|what| Fault::Damaged {
                path: path.clone(),
                at: self.bytes,
                what,
            })?;
        }
        // Not synced: it tells a cut from an alteration, and only makes the reader stricter.
        let acked = framed(&Acked {
            segment: self.segment,
            bytes: self.bytes,
        });
        self.acked
            .write_all_at(&acked, 0)
            .map_err(io_at(&self.dir.join("acked")))?;
        if self.bytes > self.fresh + self.segment_bytes {
            self.rewrite();
        }
        Ok(())
    }

    /// Puts all that is there into a new file. Without room for it the old one goes on.
    fn rewrite(&mut self) {
        let bytes = framed(&Kept::Whole(self.saved.clone()));
        let next = self.segment + 1;
        self.fresh = self.bytes;
        match replace(&self.dir, &format!("log.{next}"), &bytes) {
            Ok(file) => {
                let _ = fs::remove_file(self.dir.join(format!("log.{}", self.segment)));
                (self.file, self.segment) = (file, next);
                self.bytes = bytes.len() as u64;
                self.fresh = self.bytes;
                info!(
                    segment = next,
                    bytes = self.bytes,
                    "the log is written anew"
                );
            }
            Err(error) => warn!(%error, "the log can't be written anew: the old file goes on"),
        }
    }
}

fn read(path: &Path) -> Result<Option<Vec<u8>>, Fault> {
    match fs::read(path) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(Fault::Io {
            path: path.to_path_buf(),
            error,
        }),
    }
}

/// The numbers of the log's files, in order.
fn segments(dir: &Path) -> Result<Vec<u64>, Fault> {
    let mut found = Vec::new();
    for entry in fs::read_dir(dir).map_err(io_at(dir))? {
        let name = entry.map_err(io_at(dir))?.file_name();
        let number = name
            .to_str()
            .and_then(|name| name.strip_prefix("log."))
            .and_then(|n| n.parse::<u64>().ok());
        found.extend(number);
    }
    found.sort_unstable();
    Ok(found)
}

/// What the thread of the disk says.
#[derive(Debug)]
pub enum Told {
    Saved(Number),
    /// Nothing more will be saved.
    Failed(String),
}

/// A disk, a quota or a limit that is full: it may have room again.
fn no_room(error: &io::Error) -> bool {
    use io::ErrorKind::{FileTooLarge, QuotaExceeded, StorageFull};
    matches!(error.kind(), StorageFull | QuotaExceeded | FileTooLarge)
}

/// The way to the thread of the disk.
pub type Records = mpsc::Sender<(Number, Record)>;

/// Writes on a thread of its own: all records that wait go with one sync. Ends with the channel, and returns the
/// store then.
pub fn run(
    mut store: Store,
    told: impl Fn(Told) + Send + 'static,
    retry: Duration,
) -> io::Result<(Records, thread::JoinHandle<Store>)> {
    let (records, queue) = mpsc::channel::<(Number, Record)>();
    let thread = thread::Builder::new().name("fleet-disk".into()).spawn(move || {
        while let Ok(first) = queue.recv() {
            let batch: Vec<_> = std::iter::once(first).chain(queue.try_iter()).collect();
            let last = batch.last().map_or(0, |(number, _)| *number);
            let records: Vec<Record> = batch.into_iter().map(|(_, record)| record).collect();
            let mut said = false;
            loop {
                match store.append(records.clone()) {
                    Ok(()) => {
                        if said {
                            info!(dir = %store.dir.display(), "the disk takes records again");
                        }
                        told(Told::Saved(last));
                        break;
                    }
                    Err(Fault::Io { path, error }) if no_room(&error) => {
                        // Nothing is acknowledged meanwhile: the others go on without this voter.
                        if !std::mem::replace(&mut said, true) {
                            warn!(file = %path.display(), %error, "no room: this voter answers for nothing");
                        }
                        thread::sleep(retry);
                    }
                    Err(error) => {
                        told(Told::Failed(error.to_string()));
                        return store;
                    }
                }
            }
        }
        store
    })?;
    Ok((records, thread))
}

#[cfg(test)]
mod tests {
    use super::*;
    use violetwind_consensus::{Disk, Entry, Member, Members, Payload, Write};

    struct Dir(PathBuf);

    impl Dir {
        fn new(name: &str) -> Self {
            let path = std::env::temp_dir()
                .join(format!("violetwind-store-{}-{name}", std::process::id()));
            let _ = fs::remove_dir_all(&path);
            Self(path)
        }

        fn open(&self) -> Result<Store, Fault> {
            Store::open(&self.0, ("f", "n"), NodeId(7), 1 << 20, true)
        }

        fn log(&self) -> PathBuf {
            self.0.join("log.1")
        }
    }

    impl Drop for Dir {
        fn drop(&mut self) {
            let _ = fs::remove_dir_all(&self.0);
        }
    }

    fn write(seq: u64) -> Record {
        let entry = Entry {
            term: 1,
            index: seq,
            payload: Payload::Command(vec![seq as u8; 100]),
        };
        Record::Write(Write {
            seq,
            term: 1,
            append: vec![entry],
            ..Write::default()
        })
    }

    fn filled(dir: &Dir, writes: u64) -> Saved {
        let mut store = dir.open().unwrap();
        let members = Members(
            [(
                NodeId(7),
                Member {
                    name: "n".into(),
                    votes: true,
                },
            )]
            .into(),
        );
        store
            .append(vec![Record::Agreed(members), Record::Formed])
            .unwrap();
        for seq in 1..=writes {
            store.append(vec![write(seq)]).unwrap();
        }
        store.saved().clone()
    }

    #[test]
    fn what_was_acknowledged_is_there_again_and_the_directory_is_used_once() {
        let dir = Dir::new("again");
        let saved = filled(&dir, 5);
        let store = dir.open().unwrap();
        assert_eq!(*store.saved(), saved);
        assert_eq!(store.saved().disk.entries.len(), 5);
        assert!(matches!(dir.open(), Err(Fault::InUse { .. })));
        drop(store);
        let other = Store::open(&dir.0, ("f", "m"), NodeId(8), 1 << 20, true);
        assert!(matches!(other, Err(Fault::Foreign { .. })));
    }

    /// A kill in the middle of a write leaves any part of it. Cut at every byte of the last record.
    #[test]
    fn a_torn_last_record_is_cut_off_unless_it_was_acknowledged() {
        let dir = Dir::new("torn");
        filled(&dir, 3);
        let before = fs::metadata(dir.log()).unwrap().len();
        let record = framed(&Kept::Record(write(4)));
        let sound = fs::read(dir.log()).unwrap();
        for cut in 0..record.len() {
            fs::write(dir.log(), [&sound[..], &record[..cut]].concat()).unwrap();
            let store = dir.open().unwrap();
            assert_eq!(store.saved().disk.entries.len(), 3, "cut at {cut}");
            drop(store);
            assert_eq!(fs::metadata(dir.log()).unwrap().len(), before);
        }
        // Shorter than what was acknowledged.
        fs::write(dir.log(), &sound[..sound.len() - 1]).unwrap();
        assert!(matches!(dir.open(), Err(Fault::Damaged { .. })));
    }

    #[test]
    fn an_altered_byte_is_refused_with_file_and_place_wherever_it_is() {
        let dir = Dir::new("altered");
        filled(&dir, 3);
        let sound = fs::read(dir.log()).unwrap();
        for at in 0..sound.len() {
            let mut altered = sound.clone();
            altered[at] ^= 0x10;
            fs::write(dir.log(), &altered).unwrap();
            let fault = dir
                .open()
                .map(|store| store.saved().clone())
                .unwrap_err()
                .to_string();
            assert!(fault.contains("log.1: byte "), "{at}: {fault}");
        }
        fs::write(dir.log(), &sound).unwrap();
        assert!(dir.open().is_ok());
        let mut member = fs::read(dir.0.join("member")).unwrap();
        *member.last_mut().unwrap() ^= 1;
        fs::write(dir.0.join("member"), member).unwrap();
        assert!(matches!(dir.open(), Err(Fault::Damaged { .. })));
    }

    #[test]
    fn a_log_that_is_missing_is_told_and_one_that_grew_is_written_anew() {
        let dir = Dir::new("anew");
        let mut store = Store::open(&dir.0, ("f", "n"), NodeId(7), 1 << 12, true).unwrap();
        for seq in 1..=200 {
            store.append(vec![write(seq)]).unwrap();
        }
        let saved = store.saved().clone();
        drop(store);
        assert!(segments(&dir.0).unwrap()[0] > 1, "written anew");
        assert_eq!(*dir.open().unwrap().saved(), saved);
        for segment in segments(&dir.0).unwrap() {
            fs::remove_file(dir.0.join(format!("log.{segment}"))).unwrap();
        }
        let fault = dir.open().map(|_| ()).unwrap_err().to_string();
        assert!(fault.contains("is missing"), "{fault}");
    }

    #[test]
    fn a_directory_that_is_set_aside_is_another_next_time() {
        let dir = Dir::new("aside");
        filled(&dir, 1);
        let aside = dir.open().unwrap().set_aside("stale").unwrap();
        assert!(aside.join("member").exists());
        let store = Store::open(&dir.0, ("f", "n"), NodeId(9), 1 << 20, true).unwrap();
        assert_eq!(
            (store.saved().id, store.saved().disk.clone()),
            (NodeId(9), Disk::default())
        );
    }
}
