//! Frames on a connection.

use quick_error::quick_error;
use relay::{FrameError, LENGTH_BYTES, RelayFrame, decode_frame, encode_frame, frame_length};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

quick_error! {
    /// Why no frame was read or written.
    #[derive(Debug)]
    pub enum WireError {
        /// The connection ended or failed.
        Connection(reason: std::io::Error) {
            source(reason)
            from()
            display("connection failed: {}", reason)
        }
        /// The frame is malformed or too large.
        Frame(reason: FrameError) {
            source(reason)
            from()
            display("{}", reason)
        }
        /// The frame is valid but not allowed here.
        Unexpected(what: &'static str) {
            display("{}", what)
        }
    }
}

/// Reads the length of the next frame's content.
pub async fn read_length(from: &mut (impl AsyncRead + Unpin)) -> Result<usize, WireError> {
    let mut field = [0; LENGTH_BYTES];
    from.read_exact(&mut field).await?;
    Ok(frame_length(field)?)
}

/// Reads the content of a frame.
pub async fn read_content(
    from: &mut (impl AsyncRead + Unpin),
    bytes: usize,
) -> Result<RelayFrame, WireError> {
    let mut content = vec![0; bytes];
    from.read_exact(&mut content).await?;
    Ok(decode_frame(&content)?)
}

/// Reads a frame.
pub async fn read_frame(from: &mut (impl AsyncRead + Unpin)) -> Result<RelayFrame, WireError> {
    let bytes = read_length(from).await?;
    read_content(from, bytes).await
}

/// Writes a frame.
pub async fn write_frame(
    to: &mut (impl AsyncWrite + Unpin),
    frame: &RelayFrame,
) -> Result<(), WireError> {
    Ok(to.write_all(&encode_frame(frame)?).await?)
}
