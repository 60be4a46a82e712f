//! Establishes a connection: connects and exchanges the `Hello` messages of the handshake.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use protocol::{
    CodecError, Direction, FrameReader, FrameWriter, Hello, Key, Nonce, Session, VERSION_MAX,
    VERSION_MIN, negotiate_version, read_callee_hello, read_caller_hello, write_callee_hello,
    write_caller_hello,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::connection::EstablishedConnection;
use crate::{LinkError, LinkSettings};

/// Connects to `to` and performs the caller's side of the handshake. `boot` is the random
/// number that identifies this run of the calling process.
pub(crate) async fn connect(
    to: SocketAddr,
    settings: &LinkSettings,
    boot: u64,
) -> Result<EstablishedConnection, LinkError> {
    let limit = Duration::from_millis(settings.connect_timeout_ms);
    let established = timeout(limit, connect_and_handshake(to, settings, boot));
    established.await.unwrap_or(Err(LinkError::TimedOut))
}

/// Performs the callee's side of the handshake on an accepted connection.
pub(crate) async fn accept(
    stream: TcpStream,
    settings: &LinkSettings,
    boot: u64,
) -> Result<EstablishedConnection, LinkError> {
    let limit = Duration::from_millis(settings.connect_timeout_ms);
    let established = timeout(limit, respond_to_handshake(stream, settings, boot));
    established.await.unwrap_or(Err(LinkError::TimedOut))
}

async fn connect_and_handshake(
    to: SocketAddr,
    settings: &LinkSettings,
    boot: u64,
) -> Result<EstablishedConnection, LinkError> {
    let mut stream = TcpStream::connect(to).await?;
    stream.set_nodelay(true)?;
    let hello = own_hello(settings, boot);
    let mut out = BytesMut::new();
    write_caller_hello(&hello, settings.keys.signing(), &mut out)?;
    send_hello(&mut stream, &out, settings).await?;
    let read = |buffer: &mut BytesMut| read_callee_hello(buffer, &settings.keys, &hello.nonce);
    let (peer, key, unread) = read_hello(&mut stream, settings, read).await?;
    negotiate_version(&peer)?;
    let own = (&hello.nonce, Direction::FromCaller);
    Ok(establish(stream, settings, (peer, key, unread), own))
}

async fn respond_to_handshake(
    mut stream: TcpStream,
    settings: &LinkSettings,
    boot: u64,
) -> Result<EstablishedConnection, LinkError> {
    stream.set_nodelay(true)?;
    let read = |buffer: &mut BytesMut| read_caller_hello(buffer, &settings.keys);
    let (peer, key, unread) = read_hello(&mut stream, settings, read).await?;
    let hello = own_hello(settings, boot);
    let mut out = BytesMut::new();
    write_callee_hello(&hello, key, &peer.nonce, &mut out)?;
    // Sent before the versions are compared, so that the caller can detect a mismatch too.
    send_hello(&mut stream, &out, settings).await?;
    negotiate_version(&peer)?;
    let own = (&hello.nonce, Direction::FromCallee);
    Ok(establish(stream, settings, (peer, key, unread), own))
}

fn own_hello(settings: &LinkSettings, boot: u64) -> Hello {
    Hello {
        version_min: VERSION_MIN,
        version_max: VERSION_MAX,
        node: settings.node,
        role: settings.role,
        failure_domain: settings.failure_domain.clone(),
        nonce: rand::random(),
        boot,
    }
}

async fn send_hello(
    stream: &mut TcpStream,
    out: &[u8],
    settings: &LinkSettings,
) -> Result<(), LinkError> {
    stream.write_all(out).await?;
    settings.counters.record_sent(false, out.len());
    Ok(())
}

async fn read_hello<'k>(
    stream: &mut TcpStream,
    settings: &'k LinkSettings,
    read: impl Fn(&mut BytesMut) -> Result<Option<(Hello, &'k Key)>, CodecError>,
) -> Result<(Hello, &'k Key, BytesMut), LinkError> {
    let mut buffer = BytesMut::new();
    loop {
        let buffered_bytes = buffer.len();
        if let Some((hello, key)) = read(&mut buffer)? {
            settings
                .counters
                .record_received(false, buffered_bytes - buffer.len());
            return Ok((hello, key, buffer));
        }
        if stream.read_buf(&mut buffer).await? == 0 {
            return Err(LinkError::ClosedByPeer);
        }
    }
}

/// Builds the established connection. Both nonces are part of the session key, so that frames
/// of another connection fail the authentication.
fn establish(
    stream: TcpStream,
    settings: &LinkSettings,
    (peer, key, unread): (Hello, &Key, BytesMut),
    (own_nonce, own): (&Nonce, Direction),
) -> EstablishedConnection {
    let (caller_nonce, callee_nonce) = match own {
        Direction::FromCaller => (own_nonce, &peer.nonce),
        Direction::FromCallee => (&peer.nonce, own_nonce),
    };
    let session = Session {
        key,
        caller_nonce,
        callee_nonce,
        frame_bytes_max: settings.frame_bytes_max,
    };
    let reader = FrameReader::new(&session, own.reversed());
    let writer = FrameWriter::new(&session, own);
    EstablishedConnection {
        stream,
        peer,
        reader,
        writer,
        unread,
    }
}
