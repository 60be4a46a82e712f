//! A directory for one fleet's files, removed when it is dropped.

use std::path::{Path, PathBuf};

use crate::error::BenchError;

/// The directory.
pub struct Directory {
    path: PathBuf,
}

impl Directory {
    /// A new one.
    pub fn new() -> Result<Directory, BenchError> {
        let name = format!(
            "hornbeamrock-bench.{}.{:08x}",
            std::process::id(),
            rand::random::<u32>()
        );
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir(&path)?;
        Ok(Directory { path })
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Writes a file of random bytes in hexadecimal digits.
    pub fn key_file(&self) -> Result<PathBuf, BenchError> {
        let key: [u8; 32] = rand::random();
        let digits: String = key.iter().map(|byte| format!("{byte:02x}")).collect();
        let path = self.path.join("key");
        std::fs::write(&path, digits + "\n")?;
        Ok(path)
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        // What is left lies in the directory for temporary files.
        let _ = std::fs::remove_dir_all(&self.path);
    }
}
