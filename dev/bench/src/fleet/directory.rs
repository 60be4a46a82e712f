//! A temporary directory for the files of one fleet.

use std::path::{Path, PathBuf};

use crate::error::BenchError;

/// A directory with a random name, removed with its files on drop.
pub struct TempDirectory {
    path: PathBuf,
}

impl TempDirectory {
    /// Creates the directory below the system's directory for temporary files.
    pub fn new() -> Result<TempDirectory, BenchError> {
        let name = format!(
            "hornbeamrock-bench.{}.{:08x}",
            std::process::id(),
            rand::random::<u32>()
        );
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir(&path)?;
        Ok(TempDirectory { path })
    }

    /// Path of the directory.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Writes a key file: 32 random bytes in hexadecimal.
    pub fn write_key_file(&self) -> Result<PathBuf, BenchError> {
        let key: [u8; 32] = rand::random();
        let digits: String = key.iter().map(|byte| format!("{byte:02x}")).collect();
        let path = self.path.join("key");
        std::fs::write(&path, digits + "\n")?;
        Ok(path)
    }
}

impl Drop for TempDirectory {
    fn drop(&mut self) {
        // A failure leaves files only in the system's directory for temporary files.
        let _ = std::fs::remove_dir_all(&self.path);
    }
}
